"""Describe a database group and the store object that records its agreed primary."""

from enum import StrEnum
from typing import NamedTuple

from bronzescale_core.exceptions import UnreadableGroupError
from bronzescale_core.field_checks import (
    MAX_WHOLE,
    is_label,
    require,
    require_text,
    require_whole,
)
from bronzescale_core.host_checks import MAX_INCARNATION
from bronzescale_core.partial_json import describe_unreadable
from bronzescale_core.positions import TermStart


class Phase(StrEnum):
    """Whether a primary is in force or a change of primary is under way."""

    ACTIVE = "active"
    FENCING = "fencing"


class Upstream(NamedTuple):
    """One database of a group.

    Parameters
    ----------
    name : str
        Unique within the fleet.
    address : str
        IP address and port, ``A.B.C.D:PORT``.
    zone : str
        Availability zone of the host.
    region : str
        Region of the availability zone.
    slots : int
        Statements that it runs concurrently.
    max_connections : int
        Connections that it accepts from all nodes together.
    is_leaving : bool
        Whether it is being drained and must not get new work.
    """

    name: str
    address: str
    zone: str
    region: str
    slots: int
    max_connections: int
    is_leaving: bool = False


class GroupState(NamedTuple):
    """The agreed state of a group, stored in the platform's store.

    Parameters
    ----------
    service : str
        Name of the service whose data the group holds.
    term : int
        Term of ``primary``; in phase ``fencing`` the term of the next primary.
    primary : str
        Name of the primary; in phase ``fencing`` the one that is being replaced, empty
        if none is known.
    phase : Phase
        Whether a change of primary is under way.
    writer : str
        Node that wrote the state.
    nonce : str
        Random value that identifies the write. If the store's answer is lost, the
        writer reads the object back and compares nonces to learn whether it took
        effect.
    reason : str
        Evidence for the change, for operators.
    term_starts : tuple of TermStart
        Starts of the newest terms, oldest first.
    version : int
        Version of the store object; 0 if it has not been written yet.
    planned_primary : str
        Copy to promote in a planned change; empty to promote the most advanced one.
    fenced_term : int
        Newest term that copies were paused for. In phase ``active``, a copy that is
        still paused for this term or an earlier one was missed when its change ended
        and can be resumed.
    writer_incarnation : int
        Incarnation of the writer's process. If the node runs a later one, the driver of
        an unfinished change is dead.
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
    era: int = 0
    writer_incarnation: int = 0


def dump_group(state):
    """Return the JSON form of a group state.

    Parameters
    ----------
    state : GroupState
        The state. Its version is left out, since the store keeps it.

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
        "era": state.era,
        "writer_incarnation": state.writer_incarnation,
        "term_starts": [list(start) for start in state.term_starts],
    }


def load_group(document, version):
    """Read a group state from its JSON form.

    Parameters
    ----------
    document : dict
        Output of `dump_group`, possibly of a newer release.
    version : int
        Version of the store object.

    Returns
    -------
    GroupState

    Raises
    ------
    UnreadableGroupError
        If the document is not such a form.
    """
    unreadable = describe_unreadable(document)
    if unreadable is not None:
        raise UnreadableGroupError(f"the group's state cannot be read: {unreadable}")
    try:
        return _load_group(document, version)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise UnreadableGroupError(
            f"the group's state cannot be read: {error!r}; write it again"
        ) from error


def _load_group(document, version):
    starts = tuple(TermStart(*start) for start in document.get("term_starts", ()))
    for start in starts:
        require_whole("the term of a start", start.term)
        require_whole("the offset of a start", start.offset)
    phase = Phase(document["phase"])
    require(is_label(document["service"]), "the service", document["service"])
    primary = document["primary"]
    # A service may be left without a primary that any node knows; its change begins so.
    is_unknown = primary == "" and phase is Phase.FENCING
    require(is_unknown or is_label(primary), "the primary", primary)

    def text(key):
        return require_text(key, document.get(key, ""))

    def whole(key, high=MAX_WHOLE):
        return require_whole(key, document.get(key, 0), 0, high)

    return GroupState(
        service=document["service"],
        term=require_whole("the term", document["term"]),
        primary=primary,
        phase=phase,
        writer=text("writer"),
        nonce=text("nonce"),
        reason=text("reason"),
        term_starts=starts,
        version=version,
        planned_primary=text("planned_primary"),
        fenced_term=whole("fenced_term"),
        era=whole("era"),
        writer_incarnation=whole("writer_incarnation", MAX_INCARNATION),
    )


def majority(copies):
    """Return the smallest number of ``copies`` databases that is a majority.

    Parameters
    ----------
    copies : int
        Databases in the group.

    Returns
    -------
    int
    """
    return copies // 2 + 1
