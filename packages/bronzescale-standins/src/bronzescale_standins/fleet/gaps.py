"""Print how long services had no primary, from the logs of all processes of a fleet.

    python -m bronzescale_standins.fleet.gaps LOG...

A gap lasts from the last commit that was served at the old primary to the first one at
the new primary. What stands before the structured part of a line is skipped.
"""

import json
import statistics
from collections import defaultdict
from pathlib import Path
from typing import NamedTuple

import cyclopts

app = cyclopts.App(name="gaps", help="Measure changes of primary from logs.")

COMMIT_STEPS = ("commit", "open_and_commit")
# Clocks of the processes differ, and a commit may be logged before the new state is.
EARLY_COMMIT_MS = 200


class Gap(NamedTuple):
    """A change of primary and the time without commits.

    Parameters
    ----------
    service : str
        Its service.
    cause : str
        ``refused``, ``silent`` or what the log says of the cause.
    gap_ms : int
        From the last commit before it to the first one after.
    """

    service: str
    cause: str
    gap_ms: int


def read_events(lines):
    """Return the structured events of log lines, oldest first.

    Parameters
    ----------
    lines : iterable of str
        Log lines; those without an event are skipped.

    Returns
    -------
    list of dict
    """
    events = []
    for line in lines:
        start = line.find('{"time_ms"')
        if start < 0:
            continue
        try:
            events.append(json.loads(line[start:]))
        except json.JSONDecodeError:
            # The last line of a process that was killed may be cut off.
            continue
    return sorted(events, key=lambda event: event["time_ms"])


def find_gaps(events):
    """Return the gap of each change of primary that commits surround.

    Parameters
    ----------
    events : iterable of dict
        Events of all processes, oldest first.

    Returns
    -------
    list of Gap
    """
    commits = defaultdict(list)
    begun = {}
    changes = {}
    for event in events:
        if event["event"] == "served" and event["step"] in COMMIT_STEPS:
            commits[event["upstream"]].append(event["time_ms"])
        elif event["event"] == "change_begun":
            begun[event["service"]] = event["primary"]
        elif event["event"] == "group_state" and event["phase"] == "active":
            key = event["service"], event["primary"], event["term"]
            changes.setdefault(key, (event, begun.get(event["service"])))
    found = [_measure(event, old, commits) for event, old in changes.values()]
    return [gap for gap in found if gap is not None]


def _measure(event, old, commits):
    at_ms = event["time_ms"]
    before = [each for each in commits[old] if each < at_ms]
    after = [
        each for each in commits[event["primary"]] if each > at_ms - EARLY_COMMIT_MS
    ]
    if not before or not after or old == event["primary"]:
        return None
    return Gap(event["service"], _name_cause(event["reason"]), min(after) - max(before))


def _name_cause(reason):
    for word in ("refused", "silent"):
        if word in reason:
            return word
    return reason.partition(":")[0]


@app.default
def main(*logs: Path):
    """Print minimum, median and maximum of the gaps of each cause."""
    by_cause = defaultdict(list)
    for log in logs:
        with log.open(encoding="utf-8", errors="replace") as lines:
            for gap in find_gaps(read_events(lines)):
                by_cause[gap.cause].append(gap.gap_ms / 1_000)
    for cause, gaps_s in sorted(by_cause.items()):
        middle_s = statistics.median(gaps_s)
        print(
            f"{cause}: {len(gaps_s)} changes, min {min(gaps_s):.2f} s, "
            f"median {middle_s:.2f} s, max {max(gaps_s):.2f} s"
        )


if __name__ == "__main__":
    app()
