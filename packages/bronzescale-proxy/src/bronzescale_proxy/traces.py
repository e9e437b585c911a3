"""Record the events and actions of failover state machines as lines of JSON."""

import json
from enum import Enum

from bronzescale_core.detection import Verdict
from bronzescale_core.failover import PrimaryFinding, Tick


def to_plain(value):
    """Convert an event or action to a JSON value.

    Parameters
    ----------
    value : object
        A named tuple, enum, sequence or plain value.

    Returns
    -------
    object
    """
    if isinstance(value, Enum):
        return value.value
    if hasattr(value, "_asdict"):
        fields = {name: to_plain(each) for name, each in value._asdict().items()}
        return {"type": type(value).__name__, **fields}
    if isinstance(value, (list, tuple)):
        return [to_plain(each) for each in value]
    return value


class TraceWriter:
    """Write a failover trace, which an operator can send in to be replayed.

    Parameters
    ----------
    stream : file object or None
        File to write to; None to record nothing.
    node : str
        Name of this node.
    """

    def __init__(self, stream, node):
        self._stream = stream
        self._node = node
        self._verdicts = {}

    def __call__(self, service, event, actions, now_ms):
        """Record an event and the actions that it caused.

        Parameters
        ----------
        service : str
            Name of the service.
        event : NamedTuple
            The event.
        actions : list of NamedTuple
            The actions.
        now_ms : int
            Time of the event.
        """
        if self._stream is None or self._is_redundant(service, event, actions):
            return
        line = {
            "now_ms": now_ms,
            "node": self._node,
            "service": service,
            "event": to_plain(event),
            "actions": to_plain(actions),
        }
        self._stream.write(json.dumps(line) + "\n")
        self._stream.flush()

    def _is_redundant(self, service, event, actions):
        """Return whether a replay has the same result without the event."""
        if isinstance(event, PrimaryFinding):
            previous = self._verdicts.get(service, Verdict.ALIVE)
            self._verdicts[service] = event.verdict
            return event.verdict is previous and not actions
        return isinstance(event, Tick) and not actions
