"""Write down what was sent, answered and run."""

import time


class Record:
    """Events of one script, kept in memory and written to a file.

    Parameters
    ----------
    path : pathlib.Path
        The file; replaced at the start.
    """

    def __init__(self, path):
        self.started_s = time.monotonic()
        self.events = []
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115

    def add(self, kind, **fields):
        """Add an event and return it."""
        event = {"at_s": round(time.monotonic() - self.started_s, 4), "kind": kind}
        event.update(fields)
        self.events.append(event)
        text = " ".join(f"{name}={value!r}" for name, value in fields.items())
        self._file.write(f"{event['at_s']:9.4f} {kind} {text}\n")
        return event

    def find(self, kind, **fields):
        """Return the events of a kind that have all the given fields."""
        return [
            event
            for event in self.events
            if event["kind"] == kind
            and all(event.get(name) == value for name, value in fields.items())
        ]

    def close(self):
        """Close the file."""
        self._file.close()
