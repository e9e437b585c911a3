"""Record what hosts of other releases read: messages, stored objects and decisions.

    python -m bronzescale_standins.recordings 0.9 --folder tests/recordings

Run it at each release. `tests/test_recordings.py` checks that the current code reads
what each recorded release writes, and that it decides alike where hosts of two releases
that run side by side must agree.
"""

import json
from enum import Enum
from pathlib import Path
from typing import Annotated

import cyclopts
from cyclopts import Parameter
from thrift.Thrift import TType

from bronzescale_core.check_duty import rank_watchers
from bronzescale_core.groups import GroupState, Phase, dump_group
from bronzescale_core.lessor_ranks import rank_previous
from bronzescale_core.membership import Status
from bronzescale_core.positions import (
    Position,
    SessionToken,
    TermStart,
    render_token,
)
from bronzescale_core.rendezvous import Node, rank_nodes
from bronzescale_core.store_era import make_version
from bronzescale_core.work import Outcome, Reach, WorkStep
from bronzescale_proxy import wire
from bronzescale_proxy.thrift_gen import ttypes
from bronzescale_standins.samples import HOST, MESSAGES

GROUP = GroupState(
    "s", 3, "d1", Phase.FENCING, "n1", "n1:5", "down", (TermStart(3, 9),), 7, "", 2, 1
)
TOKEN = SessionToken("s", Position(3, 1_207))
ZONES = (
    ("a", "north"),
    ("b", "north"),
    ("c", "south"),
    ("d", "south"),
    ("e", "south"),
)
HOSTS = tuple(
    Node(f"n{number}", f"10.0.0.{number}:7440", *ZONES[number % len(ZONES)], number)
    for number in range(1, 13)
)
KEYS = ("d1", "i-7f3a91c2", "records-1", "c1")
WATCHERS_PER_ZONE = 2
LESSORS = 3
_TYPE_NAMES = {
    value: name.lower()
    for name, value in vars(TType).items()
    if isinstance(value, int) and name not in ("UTF7", "BYTE")
}


def describe_structs():
    """Return name and type of each field of each struct, by the field's number.

    Returns
    -------
    dict of str to dict of str to list of str
    """
    return {
        struct.__name__: {
            str(field[0]): [field[2], _describe_type(field[1], field[3])]
            for field in struct.thrift_spec
            if field is not None
        }
        for struct in vars(ttypes).values()
        if hasattr(struct, "thrift_spec")
    }


def _describe_type(kind, arguments):
    if kind == TType.STRUCT:
        return arguments[0].__name__
    if kind == TType.LIST:
        return f"list<{_describe_type(arguments[0], arguments[1])}>"
    if kind == TType.STRING and arguments == "BINARY":
        return "binary"
    return _TYPE_NAMES[kind]


def to_plain(value):
    """Return a message as JSON values: objects by field, enumerations by value."""
    if isinstance(value, Enum):
        return value.value
    if hasattr(value, "_asdict"):
        return {name: to_plain(each) for name, each in value._asdict().items()}
    if isinstance(value, list | tuple):
        return [to_plain(each) for each in value]
    return value


def record_frames():
    """Return each sample message with the frame that carries it."""
    return [
        {
            "message": type(message).__name__,
            "fields": to_plain(message),
            "frame": wire.encode(1, message, 0).hex(),
        }
        for message in MESSAGES
    ]


def record_decisions():
    """Return the decisions that hosts of two releases must take alike."""
    return {
        "owners": {
            key: [node.name for node in rank_nodes(key, HOSTS, "a", "north")]
            for key in KEYS
        },
        "lessors": {
            key: [node.name for node in rank_previous(key, HOSTS, LESSORS)]
            for key in KEYS
        },
        "watchers": [
            watcher.node.name for watcher in rank_watchers(HOSTS, WATCHERS_PER_ZONE)
        ],
        "fencing_token": make_version(3, 1_207),
    }


def record_words():
    """Return the words and numbers that stand for values in frames."""
    return {
        # A step crosses the wire as its place in this list.
        "steps": [step.name for step in WorkStep],
        "outcomes": sorted(outcome.value for outcome in Outcome),
        "reaches": sorted(reach.value for reach in Reach),
        "statuses": {status.name: status.value for status in Status},
        "phases": sorted(phase.value for phase in Phase),
    }


def record():
    """Return all that is recorded of a release.

    Returns
    -------
    dict
    """
    return {
        "structs": describe_structs(),
        "frames": record_frames(),
        "words": record_words(),
        "group": {"state": to_plain(GROUP), "document": dump_group(GROUP)},
        "host": {"address": HOST.address, "zone": HOST.zone, "region": HOST.region},
        "token": {"token": to_plain(TOKEN), "text": render_token(TOKEN)},
        "decisions": record_decisions(),
    }


app = cyclopts.App(name="recordings", help=__doc__)


@app.default
def main(
    release: Annotated[str, Parameter(help="Name of the release.")],
    *,
    folder: Annotated[Path, Parameter(help="Where to write.")] = Path(
        "tests/recordings"
    ),
):
    """Record a release."""
    path = folder / f"{release}.json"
    path.write_text(json.dumps(record(), sort_keys=True) + "\n")
    print(f"recordings: wrote {path}")


if __name__ == "__main__":
    app()
