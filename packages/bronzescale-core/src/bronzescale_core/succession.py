"""Choose which copy takes over from a primary, and under which term."""

from enum import Enum
from typing import NamedTuple


class Cause(Enum):
    """Why a primary is replaced."""

    DOWN = "down"
    GONE = "gone"
    LEAVING = "leaving"
    LEFT_OPEN = "left_open"


class Trigger(NamedTuple):
    """A reason to replace a primary.

    Parameters
    ----------
    cause : Cause
        Why.
    primary : str
        The primary to replace.
    reason : str
        Evidence in words.
    """

    cause: Cause
    primary: str
    reason: str


class Candidate(NamedTuple):
    """A copy that answered.

    Parameters
    ----------
    instance : str
        Its id.
    zone : str
        Its availability zone.
    is_leaving : bool
        Whether it must get no new work.
    status : CopyStatus
        What it said.
    """

    instance: str
    zone: str
    is_leaving: bool
    status: object


def next_term(known, candidates):
    """Return a term above every term that is known.

    Parameters
    ----------
    known : GroupState or None
        The agreed state.
    candidates : sequence of Candidate
        What the copies said.

    Returns
    -------
    int
    """
    terms = [c.status.term for c in candidates]
    terms += [c.status.held_term for c in candidates]
    if known is not None:
        terms += [known.term, known.fenced_term]
    return max(terms, default=0) + 1


def choose_successor(paused, trigger):
    """Return the copy that takes over, or None.

    The most advanced log wins, so that no save is lost that any answering copy has;
    among equals one that stays is preferred.

    Parameters
    ----------
    paused : sequence of Candidate
        Copies that no longer receive from the old primary.
    trigger : Trigger
        Why the primary is replaced.

    Returns
    -------
    Candidate or None
    """
    eligible = [c for c in paused if c.instance != trigger.primary]
    staying = [c for c in eligible if not c.is_leaving]
    pool = staying or eligible
    return max(
        pool,
        key=lambda c: (c.status.is_primary, c.status.received, c.instance),
        default=None,
    )
