"""Describe what a caller asks for: statements, consistency and session settings."""

from enum import Enum
from typing import NamedTuple

from bronzescale_core.positions import ORIGIN, Position

DEFAULT_DEADLINE_AFTER_MS = 8_000
MAX_DEADLINE_AFTER_MS = 600_000


class StatementKind(Enum):
    """What a statement does, as far as routing needs to know."""

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
    """What a read must see.

    Parameters
    ----------
    mode : ConsistencyMode
        The rule.
    max_age_ms : int
        For mode ``age``: how old the answer may be.
    """

    mode: ConsistencyMode = ConsistencyMode.SESSION
    max_age_ms: int = 0


class StatementRequest(NamedTuple):
    """One statement on its way to the owner of a database.

    Parameters
    ----------
    service : str
        Name of the service.
    upstream : str
        Database that should run it.
    sql : str
        Text of the statement.
    kind : StatementKind
        What it does.
    consistency : Consistency
        What a read must see.
    floor : Position
        Position that the session needs.
    deadline_ms : int
        When the caller gives up, on this node's clock.
    wait_until_ms : int
        Until when a replica may wait to reach ``floor``.
    transaction_id : int
        Open transaction at the owner; 0 outside of one.
    request_key : str
        Makes a save run at most once; empty for none.
    arrived_at_ms : int
        When the statement reached the first node.
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
        Warnings at the database.
    position : Position
        For a save: where it was logged; for a read: what the copy had applied.
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
    """Read a consistency setting.

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
        If the text is none of these.
    """
    name, _, value = text.strip().lower().partition(":")
    if name == "age" and value.isdecimal():
        return Consistency(ConsistencyMode.AGE, int(value))
    if name in ("session", "primary") and not value:
        return Consistency(ConsistencyMode(name))
    raise ValueError(
        f"{text[:40]!r} is no consistency; use 'session', 'primary' or 'age:MS'"
    )
