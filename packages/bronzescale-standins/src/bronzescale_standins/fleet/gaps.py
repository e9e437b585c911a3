"""Print how long services had no primary, from the logs of all processes of a fleet.

    python -m bronzescale_standins.fleet.gaps LOG...

A gap lasts from the last commit that the old primary served to the first commit that
the new primary served. Text before the JSON document of a log line is ignored.
"""

import json
import statistics
from collections import defaultdict
from pathlib import Path
from typing import NamedTuple

import cyclopts

app = cyclopts.App(name="gaps", help="Measure changes of primary from logs.")

COMMIT_STEPS = ("commit", "open_and_commit")
# How much earlier than the new state of the group the first commit at the new primary
# may be logged: clocks of processes differ, and the state may be logged after a commit.
MAX_EARLY_COMMIT_MS = 200


class Gap(NamedTuple):
    """A change of primary and the time without commits.

    Parameters
    ----------
    service : str
        Name of the service.
    cause : str
        ``refused``, ``silent`` or the first part of the reason in the log.
    gap_ms : int
        Time from the last commit before the change to the first commit after it.
    """

    service: str
    cause: str
    gap_ms: int


def read_events(lines):
    """Return the JSON events of log lines, oldest first.

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
            # The last line of a killed process may be truncated.
            continue
    return sorted(events, key=lambda event: event["time_ms"])


def find_gaps(events):
    """Return the gap of each change of primary with commits before and after it.

    Parameters
    ----------
    events : iterable of dict
        Events of all processes, oldest first.

    Returns
    -------
    list of Gap
    """
    commits = defaultdict(list)
    old_primaries = {}
    changes = {}
    for event in events:
        if event["event"] == "served" and event["step"] in COMMIT_STEPS:
            commits[event["upstream"]].append(event["time_ms"])
        elif event["event"] == "change_begun":
            old_primaries[event["service"]] = event["primary"]
        elif event["event"] == "group_state" and event["phase"] == "active":
            key = event["service"], event["primary"], event["term"]
            changes.setdefault(key, (event, old_primaries.get(event["service"])))
    gaps = [
        _measure_gap(event, old_primary, commits)
        for event, old_primary in changes.values()
    ]
    return [gap for gap in gaps if gap is not None]


def _measure_gap(event, old_primary, commits):
    active_ms = event["time_ms"]
    before = [time_ms for time_ms in commits[old_primary] if time_ms < active_ms]
    after = [
        time_ms
        for time_ms in commits[event["primary"]]
        if time_ms > active_ms - MAX_EARLY_COMMIT_MS
    ]
    if not before or not after or old_primary == event["primary"]:
        return None
    return Gap(
        event["service"], _classify_cause(event["reason"]), min(after) - max(before)
    )


def _classify_cause(reason):
    for cause in ("refused", "silent"):
        if cause in reason:
            return cause
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
        median_s = statistics.median(gaps_s)
        print(
            f"{cause}: {len(gaps_s)} changes, min {min(gaps_s):.2f} s, "
            f"median {median_s:.2f} s, max {max(gaps_s):.2f} s"
        )


if __name__ == "__main__":
    app()
