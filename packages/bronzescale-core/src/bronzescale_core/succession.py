"""Choose the copy that replaces a primary, and the term of the new primary."""

from enum import Enum
from typing import NamedTuple

# A driver abandons its claim after this time. Other nodes take the change over only
# later, when the driver no longer acts on it.
CLAIM_TIMEOUT_MS = 3_000


class Cause(Enum):
    """Kind of reason for replacing a primary."""

    DOWN = "down"
    # Its entry was removed, or no registered database is the primary.
    UNREGISTERED = "gone"
    LEAVING = "leaving"
    UNFINISHED = "left_open"


class Trigger(NamedTuple):
    """A decision to replace a primary.

    Parameters
    ----------
    cause : Cause
        Why it is replaced.
    primary : str
        Id of the primary to replace; empty if none is known.
    reason : str
        Description of the evidence.
    """

    cause: Cause
    primary: str
    reason: str


class Candidate(NamedTuple):
    """A copy that answered a status request and could become the primary.

    Parameters
    ----------
    instance : str
        Id of the copy.
    zone : str
        Availability zone of the copy.
    is_leaving : bool
        Whether it is being drained and must not get new work.
    status : CopyStatus
        The status that it reported.
    """

    instance: str
    zone: str
    is_leaving: bool
    status: object


def next_term(known, candidates):
    """Return a term that is higher than every known term.

    Parameters
    ----------
    known : GroupState or None
        The agreed state; None if there is none yet.
    candidates : sequence of Candidate
        Copies that answered.

    Returns
    -------
    int
    """
    terms = [c.status.term for c in candidates]
    terms += [c.status.paused_term for c in candidates]
    if known is not None:
        terms += [known.term, known.fenced_term]
    return max(terms, default=0) + 1


def choose_successor(paused, trigger, keeps_acknowledged=False):
    """Return the copy to promote, or None if there is no candidate.

    Among the copies that are considered, one that reports itself as the primary of the
    newest term comes first, since an unfinished change has promoted it already. Next is
    the one with the most advanced log, so that no write is lost that any of them has,
    and of equal ones one that stays. A primary of an older term, which has not learned
    of its replacement, is not considered.

    Parameters
    ----------
    paused : sequence of Candidate
        Copies that no longer replicate from the old primary, and those that report
        themselves as the primary.
    trigger : Trigger
        The primary to replace, and why.
    keeps_acknowledged : bool, default=False
        Whether acknowledged commits must survive the primary. If so, a copy that is
        leaving is considered like any other, since it may alone have confirmed some of
        them; it is replaced in turn. Otherwise copies that are leaving are considered
        only if there is no other.

    Returns
    -------
    Candidate or None
    """
    newest_term = max((c.status.term for c in paused), default=0)
    eligible = [
        c
        for c in paused
        if c.instance != trigger.primary
        and not (c.status.is_primary and c.status.term < newest_term)
    ]
    staying = [c for c in eligible if not c.is_leaving]
    considered = eligible if keeps_acknowledged else staying or eligible
    return max(
        considered,
        key=lambda c: (
            c.status.is_primary,
            c.status.received,
            not c.is_leaving,
            c.instance,
        ),
        default=None,
    )


def find_substitutes(chosen, candidates):
    """Return the copies that may take the place of a chosen one that failed.

    A copy that lacks what the chosen one has received would lose acknowledged writes,
    while the chosen one may return with them.

    Parameters
    ----------
    chosen : Candidate
        Copy that was to be promoted.
    candidates : sequence of Candidate
        Paused copies with their status.

    Returns
    -------
    list of Candidate
    """
    return [
        c
        for c in candidates
        if c.instance != chosen.instance
        and not c.is_leaving
        and c.status.received >= chosen.status.received
    ]
