"""Replay a recorded trace through the failover state machine and compare the actions.

A trace has one line of JSON for each event that a node handled, with the actions that
the event caused.
"""

import json
import sys
from pathlib import Path
from typing import NamedTuple

import cyclopts

from bronzescale_core import failover
from bronzescale_core.acknowledgement import CopyReport
from bronzescale_core.detection import Verdict
from bronzescale_core.groups import GroupState, Phase
from bronzescale_core.positions import TermStart
from bronzescale_proxy.traces import to_plain

_TYPES_BY_NAME = {
    named_type.__name__: named_type
    for named_type in (
        failover.PrimaryFinding,
        failover.EvidenceReceived,
        failover.GroupObserved,
        failover.ClaimWritten,
        failover.ClaimFailed,
        failover.CopyFenced,
        failover.CopyPromoted,
        failover.CopyFailed,
        failover.CopyCaughtUp,
        failover.PlannedChange,
        failover.Tick,
        failover.AskEvidence,
        failover.WriteGroup,
        failover.FenceCopy,
        failover.AwaitCopy,
        failover.PromoteCopy,
        failover.FollowCopy,
        failover.PublishGroup,
        failover.NoteStep,
        CopyReport,
        GroupState,
        TermStart,
    )
}

app = cyclopts.App(
    name="replay", help="Replay a trace through the failover state machine."
)


class Difference(NamedTuple):
    """Line of a trace for which the replay gave other actions than recorded.

    Parameters
    ----------
    line : int
        Line number, from 1.
    recorded, replayed : list
        Actions as JSON values.
    """

    line: int
    recorded: list
    replayed: list


def from_plain(value):
    """Rebuild an event, action or field from a JSON value; reverses ``to_plain``.

    Parameters
    ----------
    value : object
        JSON value of a trace.

    Returns
    -------
    object
    """
    if isinstance(value, list):
        return tuple(from_plain(item) for item in value)
    if not isinstance(value, dict):
        return value
    named_type = _TYPES_BY_NAME[value["type"]]
    fields = {name: from_plain(item) for name, item in value.items() if name != "type"}
    if "verdict" in fields:
        fields["verdict"] = Verdict(fields["verdict"])
    if "phase" in fields:
        fields["phase"] = Phase(fields["phase"])
    return named_type(**fields)


def replay(lines, node, zone, upstreams, state, rank=0):
    """Pass the events of one node's trace to a new state machine.

    Parameters
    ----------
    lines : iterable of str
        Lines of the trace.
    node, zone : str
        Name and zone of the node that recorded the trace.
    upstreams : tuple of str
        Names of the group's databases.
    state : GroupState
        State at the beginning of the trace.
    rank : int, default=0
        Rank of the node among the group's watchers.

    Returns
    -------
    machine : FailoverMachine
        State machine after the last event.
    differences : list of Difference
        Empty if every event caused the recorded actions.
    """
    documents = [json.loads(line) for line in lines]
    nonces = iter(_recorded_nonces(documents))
    machine = failover.FailoverMachine(
        state, upstreams, node, zone, lambda: next(nonces)
    )
    machine.set_rank(rank)
    differences = []
    for number, document in enumerate(documents, start=1):
        actions = machine.handle(from_plain(document["event"]), document["now_ms"])
        # Decode and encode the recorded actions again, so that a field added after the
        # trace was recorded is compared with its default.
        recorded = _plain_json(from_plain(document["actions"]))
        replayed = _plain_json(actions)
        if replayed != recorded:
            differences.append(Difference(number, recorded, replayed))
    return machine, differences


def _plain_json(actions):
    return json.loads(json.dumps(to_plain(actions)))


def _recorded_nonces(documents):
    """Return the nonces that the recorded machine generated, in order."""
    return [
        action["state"]["nonce"]
        for document in documents
        for action in document["actions"]
        if action["type"] == "WriteGroup"
    ]


@app.default
def main(
    file: Path, *, service: str, zone: str, primary: str, upstream: list[str], rank: int
):
    """Replay the trace of one service; exit with status 1 if any action differs."""
    lines = [
        line
        for line in file.read_text().splitlines()
        if json.loads(line)["service"] == service
    ]
    node = json.loads(lines[0])["node"]
    state = GroupState(service, 1, primary, version=1)
    machine, differences = replay(lines, node, zone, tuple(upstream), state, rank)
    for difference in differences:
        print(f"line {difference.line}: {difference.replayed}")
    print(f"{len(lines)} events, {len(differences)} differences, {machine.state}")
    sys.exit(1 if differences else 0)


if __name__ == "__main__":
    app()
