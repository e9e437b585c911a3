"""Describe a database group and the store object that agrees on its primary."""

from enum import StrEnum
from typing import NamedTuple

from bronzescale_core.positions import TermStart


class Phase(StrEnum):
    """How far a change of primary has come."""

    ACTIVE = "active"
    FENCING = "fencing"


class Upstream(NamedTuple):
    """One database of a group.

    Parameters
    ----------
    name : str
        Unique within the fleet.
    address : str
        IP number and port, ``A.B.C.D:PORT``.
    zone : str
        Availability zone of the host.
    region : str
        Region of the availability zone.
    slots : int
        Statements that it runs side by side.
    max_connections : int
        Connections that it accepts from all nodes together.
    is_leaving : bool
        Whether it must get no new work.
    """

    name: str
    address: str
    zone: str
    region: str
    slots: int
    max_connections: int
    is_leaving: bool = False


class GroupState(NamedTuple):
    """The agreed state of a group, kept in the platform's store.

    Parameters
    ----------
    service : str
        Name of the service that the group holds.
    term : int
        Term of ``primary``, or the term that a promotion is fencing for.
    primary : str
        Name of the primary; in phase ``fencing`` the one being replaced.
    phase : Phase
        How far a change of primary has come.
    writer : str
        Node that wrote the state.
    nonce : str
        Random mark of the write; settles a lost answer.
    reason : str
        Evidence for the change, for operators.
    term_starts : tuple of TermStart
        Beginnings of the newest terms, oldest first.
    version : int
        Version of the store object; 0 for one not yet written.
    planned_primary : str
        Copy to promote in a planned change; empty for the most advanced.
    fenced_term : int
        Newest term that copies were paused for; in phase ``active`` a pause up to it
        has outlived its change.
    """

    service: str
    term: int
    primary: str
    phase: Phase = Phase.ACTIVE
    writer: str = ""
    nonce: str = ""
    reason: str = ""
    term_starts: tuple = ()
    version: int = 0
    planned_primary: str = ""
    fenced_term: int = 0


def dump_group(state):
    """Return the JSON form of a group state.

    Parameters
    ----------
    state : GroupState
        The state; its version belongs to the store and is left out.

    Returns
    -------
    dict
    """
    return {
        "schema_version": 1,
        "service": state.service,
        "term": state.term,
        "primary": state.primary,
        "phase": state.phase.value,
        "writer": state.writer,
        "nonce": state.nonce,
        "reason": state.reason,
        "planned_primary": state.planned_primary,
        "fenced_term": state.fenced_term,
        "term_starts": [list(start) for start in state.term_starts],
    }


def load_group(document, version):
    """Read a group state from its JSON form.

    Parameters
    ----------
    document : dict
        What `dump_group` returned, perhaps by a newer release.
    version : int
        Version of the store object.

    Returns
    -------
    GroupState
    """
    starts = tuple(TermStart(*start) for start in document.get("term_starts", ()))
    return GroupState(
        service=document["service"],
        term=document["term"],
        primary=document["primary"],
        phase=Phase(document["phase"]),
        writer=document.get("writer", ""),
        nonce=document.get("nonce", ""),
        reason=document.get("reason", ""),
        term_starts=starts,
        version=version,
        planned_primary=document.get("planned_primary", ""),
        fenced_term=document.get("fenced_term", 0),
    )


def majority(copies):
    """Return how many of ``copies`` databases are more than half.

    Parameters
    ----------
    copies : int
        Databases in the group.

    Returns
    -------
    int
    """
    return copies // 2 + 1
