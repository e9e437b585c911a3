"""Compare log positions across terms and carry them in session tokens."""

from typing import NamedTuple

from bronzescale_core.exceptions import InvalidTokenError
from bronzescale_core.field_checks import parse_whole

TOKEN_PREFIX = "bz1"
MAX_TERM_STARTS = 16


class Position(NamedTuple):
    """A position in the log of a database group.

    Parameters
    ----------
    term : int
        Term of the primary that wrote the entry.
    offset : int
        Number of log entries up to and including this one; no term restarts it.
    """

    term: int
    offset: int


class TermStart(NamedTuple):
    """The last offset that a term inherited from earlier terms.

    Parameters
    ----------
    term : int
        The term that began.
    offset : int
        Highest offset of the entries of earlier terms that survived.
    """

    term: int
    offset: int


class SessionToken(NamedTuple):
    """The position that a session's reads must see, carried by the caller.

    Parameters
    ----------
    service : str
        Name of the service that the session used.
    position : Position
        Newest position that was acknowledged to the session.
    """

    service: str
    position: Position


ORIGIN = Position(0, 0)


def required_offset(floor, current_term, term_starts):
    """Return the offset that a copy of the current term must have applied.

    Parameters
    ----------
    floor : Position
        Lowest position that a read must see.
    current_term : int
        Term of the copy's log.
    term_starts : sequence of TermStart
        Known term starts, oldest first.

    Returns
    -------
    int or None
        The offset, or None if the copy's term is older than that of the floor.

    Notes
    -----
    Entries of an earlier term past the start of its successor did not survive.
    They were never acknowledged, so the floor is capped at the start of the successor.
    """
    if current_term < floor.term:
        return None
    offset = floor.offset
    for start in term_starts:
        if floor.term < start.term <= current_term:
            offset = min(offset, start.offset)
    return offset


def covers(applied, floor, term_starts):
    """Return whether a copy at ``applied`` has applied everything up to ``floor``.

    Parameters
    ----------
    applied : Position
        Term of the copy's log and the last offset it applied.
    floor : Position
        Lowest position that a read must see.
    term_starts : sequence of TermStart
        Known term starts, oldest first.

    Returns
    -------
    bool
    """
    offset = required_offset(floor, applied.term, term_starts)
    return offset is not None and applied.offset >= offset


def add_term_start(term_starts, start):
    """Return term starts with one added; at most `MAX_TERM_STARTS` are kept.

    Parameters
    ----------
    term_starts : sequence of TermStart
        Known term starts, oldest first.
    start : TermStart
        Term start to add; it replaces those of the same or a later term.

    Returns
    -------
    tuple of TermStart
    """
    kept = [known for known in term_starts if known.term < start.term]
    return tuple([*kept, start][-MAX_TERM_STARTS:])


def render_token(token):
    """Return the text form of a session token.

    Parameters
    ----------
    token : SessionToken
        The token.

    Returns
    -------
    str
        ``bz1:SERVICE:TERM:OFFSET``.
    """
    position = token.position
    return f"{TOKEN_PREFIX}:{token.service}:{position.term}:{position.offset}"


def parse_token(text):
    """Parse a session token.

    Parameters
    ----------
    text : str
        ``bz1:SERVICE:TERM:OFFSET``.

    Returns
    -------
    SessionToken

    Raises
    ------
    InvalidTokenError
        If the text is not a session token.
    """
    parts = text.split(":")
    has_valid_form = len(parts) == 4 and parts[0] == TOKEN_PREFIX and parts[1]
    numbers = [parse_whole(part) for part in parts[2:4]]
    if not has_valid_form or None in numbers:
        raise InvalidTokenError(
            f"{text[:80]!r} is not a session token; pass the value of "
            "@bronzescale_token unchanged, or an empty string for a new session"
        )
    return SessionToken(parts[1], Position(*numbers))
