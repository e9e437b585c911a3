"""Replay a recorded trace through the failover machine that ships."""

import json
import sys
from pathlib import Path
from typing import NamedTuple

import cyclopts

from bronzescale_core import failover as f
from bronzescale_core.acknowledgement import CopyReport
from bronzescale_core.detection import Verdict
from bronzescale_core.groups import GroupState, Phase
from bronzescale_core.positions import TermStart
from bronzescale_proxy.traces import to_plain

_NAMED = {
    each.__name__: each
    for each in (
        f.PrimaryFinding,
        f.EvidenceReceived,
        f.GroupObserved,
        f.ClaimWritten,
        f.ClaimFailed,
        f.CopyFenced,
        f.CopyPromoted,
        f.CopyFailed,
        f.CopyCaughtUp,
        f.PlannedChange,
        f.Tick,
        f.AskEvidence,
        f.WriteGroup,
        f.FenceCopy,
        f.AwaitCopy,
        f.PromoteCopy,
        f.FollowCopy,
        f.PublishGroup,
        f.NoteStep,
        CopyReport,
        GroupState,
        TermStart,
    )
}

app = cyclopts.App(name="replay", help="Replay a trace through the shipped core.")


class Difference(NamedTuple):
    """A line whose actions are not those that were recorded.

    Parameters
    ----------
    line : int
        Line of the trace.
    recorded, replayed : list
        The actions.
    """

    line: int
    recorded: list
    replayed: list


def load(value):
    """Return the event or field for a JSON value of a trace.

    Parameters
    ----------
    value : object
        The JSON value.

    Returns
    -------
    object
    """
    if isinstance(value, list):
        return tuple(load(each) for each in value)
    if not isinstance(value, dict):
        return value
    kind = _NAMED[value["type"]]
    fields = {name: load(each) for name, each in value.items() if name != "type"}
    if "verdict" in fields:
        fields["verdict"] = Verdict(fields["verdict"])
    if "phase" in fields:
        fields["phase"] = Phase(fields["phase"])
    return kind(**fields)


def replay(lines, node, zone, upstreams, state, rank=0):
    """Feed the events of one node's trace to a fresh machine.

    Parameters
    ----------
    lines : iterable of str
        The trace.
    node, zone : str
        The node that recorded it.
    upstreams : tuple of str
        Databases of the group.
    state : GroupState
        State at the beginning of the trace.
    rank : int, default=0
        Rank of the node as a watcher.

    Returns
    -------
    machine : FailoverMachine
        As it stands at the end.
    differences : list of Difference
        Empty when the core decides as it did.
    """
    documents = [json.loads(line) for line in lines]
    nonces = iter(_nonces(documents))
    machine = f.FailoverMachine(state, upstreams, node, zone, lambda: next(nonces))
    machine.set_rank(rank)
    differences = []
    for number, document in enumerate(documents, start=1):
        actions = machine.handle(load(document["event"]), document["now_ms"])
        # Read and written again, so that a field that is newer than the trace is
        # compared with its default.
        recorded = _plain_json(load(document["actions"]))
        replayed = _plain_json(actions)
        if replayed != recorded:
            differences.append(Difference(number, recorded, replayed))
    return machine, differences


def _plain_json(actions):
    return json.loads(json.dumps(to_plain(actions)))


def _nonces(documents):
    """Return the marks that the recorded machine drew, in order."""
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
    """Replay the trace of one service and exit 1 if the core decides differently."""
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
