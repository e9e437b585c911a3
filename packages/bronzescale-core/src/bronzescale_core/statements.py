"""Define statement requests, their results and consistency settings."""

from enum import Enum
from typing import NamedTuple

from bronzescale_core.positions import ORIGIN, Position

DEFAULT_DEADLINE_AFTER_MS = 8_000
MAX_DEADLINE_AFTER_MS = 600_000


class StatementKind(Enum):
    """Kind of a statement, as far as it matters to routing."""

    READ = "read"
    WRITE = "save"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET = "set"
    KILL = "kill"
    SESSION_READ = "session_read"
    USE = "use"
    EMPTY = "empty"


class ConsistencyMode(Enum):
    """Which copies may serve a read."""

    SESSION = "session"
    AGE = "age"
    PRIMARY = "primary"


class Consistency(NamedTuple):
    """Consistency that a read requires.

    Parameters
    ----------
    mode : ConsistencyMode
        Which copies may serve it.
    max_age_ms : int
        For mode ``age``: maximum age of the data.
    """

    mode: ConsistencyMode = ConsistencyMode.SESSION
    max_age_ms: int = 0


class StatementRequest(NamedTuple):
    """One statement sent to the owner of a database.

    Parameters
    ----------
    service : str
        Name of the service.
    upstream : str
        Database that should run it.
    sql : str
        Text of the statement.
    kind : StatementKind
        Kind of the statement.
    consistency : Consistency
        Consistency that a read requires.
    floor : Position
        Lowest position that a read must see.
    deadline_ms : int
        When the caller gives up, on this node's clock.
    wait_until_ms : int
        Until when a replica may wait to reach ``floor``.
    transaction_id : int
        Open transaction at the owner; 0 outside of one.
    request_key : str
        Idempotency key with which a write runs at most once; empty for none.
    arrived_at_ms : int
        When the statement arrived at the first node.
    """

    service: str
    upstream: str
    sql: str
    kind: StatementKind
    consistency: Consistency = Consistency()
    floor: Position = ORIGIN
    deadline_ms: int = 0
    wait_until_ms: int = 0
    transaction_id: int = 0
    request_key: str = ""
    arrived_at_ms: int = 0


class ResultEnd(NamedTuple):
    """How a statement ended.

    Parameters
    ----------
    affected_rows : int
        Rows changed.
    insert_id : int
        First generated key.
    warnings : int
        Number of warnings at the database.
    position : Position
        For a write: its position in the log; for a read: what the copy had applied.
    upstream : str
        Database that ran it.
    is_replica : bool
        Whether that database was a replica.
    transaction_id : int
        Transaction that stays open at the owner; 0 for none.
    """

    affected_rows: int = 0
    insert_id: int = 0
    warnings: int = 0
    position: Position = ORIGIN
    upstream: str = ""
    is_replica: bool = False
    transaction_id: int = 0


class ResultPart(NamedTuple):
    """A piece of an answer, in the text protocol of MySQL.

    Parameters
    ----------
    columns : list of bytes
        Column definition packets; only in the first part.
    rows : list of bytes
        Row packets.
    end : ResultEnd or None
        Set in the last part.
    """

    columns: list
    rows: list
    end: ResultEnd | None = None


def parse_consistency(text):
    """Parse a consistency setting.

    Parameters
    ----------
    text : str
        ``session``, ``primary`` or ``age:MS``.

    Returns
    -------
    Consistency

    Raises
    ------
    ValueError
        If the text is not a consistency setting.
    """
    name, _, value = text.strip().lower().partition(":")
    if name == "age" and value.isdecimal():
        return Consistency(ConsistencyMode.AGE, int(value))
    if name in ("session", "primary") and not value:
        return Consistency(ConsistencyMode(name))
    raise ValueError(
        f"{text[:40]!r} is no consistency; use 'session', 'primary' or 'age:MS'"
    )
