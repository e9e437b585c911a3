"""Define statements and answers of pooled connections, independent of the protocol."""

from enum import Enum
from typing import NamedTuple

from bronzescale_core.positions import ORIGIN, Position

NO_AGE_LIMIT = -1
NO_TRANSACTION = 0


class Action(Enum):
    """Kind of a caller's statement."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"


class Outcome(Enum):
    """How a statement ended."""

    DONE = "done"
    BUSY = "busy"
    BEHIND = "behind"
    READ_ONLY = "read_only"
    WRONG_INSTANCE = "wrong_instance"
    TOO_MANY = "too_many"
    FAILED = "failed"
    NO_STATEMENT = "no_statement"
    TIMEOUT = "timeout"
    ABORTED = "aborted"
    UNKNOWN = "unknown"
    MALFORMED = "malformed"
    NO_DATABASE = "no_database"
    UNAUTHORIZED = "unauthorized"
    TOO_BIG = "too_big"


# Outcomes with which a database reports that it did not run the statement.
NOT_RUN_OUTCOMES = frozenset(
    (
        Outcome.BUSY,
        Outcome.BEHIND,
        Outcome.READ_ONLY,
        Outcome.WRONG_INSTANCE,
        Outcome.TOO_MANY,
        Outcome.NO_STATEMENT,
    )
)


class Shape(NamedTuple):
    """Definition of a prepared statement, without its name and its arguments.

    Parameters
    ----------
    is_write : bool
        Whether it writes.
    text : str
        Text of the definition, opaque to the proxy.
    """

    is_write: bool
    text: str


class CallerStatement(NamedTuple):
    """One statement of a caller.

    Parameters
    ----------
    request_id : str
        Id that the caller gave the request.
    action : Action
        Kind of the statement.
    text : str
        Its text, unchanged.
    name : str
        Name of the session value or prepared statement that it refers to.
    argument : str
        Value of a ``set``, shape of a ``prepare``, arguments of an ``execute``.
    is_write : bool
        Whether a prepared statement writes.
    """

    request_id: str
    action: Action
    text: str
    name: str = ""
    argument: str = ""
    is_write: bool = False


class WorkStep(Enum):
    """Role of a statement in its transaction."""

    SINGLE = "single"
    OPEN = "open"
    CONTINUE = "continue"
    COMMIT = "commit"
    OPEN_AND_COMMIT = "open_and_commit"


class Work(NamedTuple):
    """A statement sent to the owner of a database.

    Parameters
    ----------
    service : str
        Service that the caller's route names.
    upstream : str
        Database that should run it.
    step : WorkStep
        Role of the statement in its transaction.
    request_id : str
        Id that the caller gave the request.
    text : str
        Text for the database.
    is_write : bool
        Whether it may change data.
    is_read_only : bool
        For step ``OPEN``: whether the transaction only reads.
    values : tuple of (str, str)
        Session values that must be set on the connection, sorted by name.
    prepared_name : str
        Prepared statement that it executes; empty for none.
    prepared : Shape or None
        Shape that must be prepared under that name.
    floor : Position
        Position that a read must see.
    max_age_ms : int
        Maximum age of the data that a read sees; `NO_AGE_LIMIT` for no limit.
    needs_lead : bool
        Whether only a primary that holds its lease may run it.
    transaction_id : int
        Transaction at the owner; `NO_TRANSACTION` outside of one.
    priority : int
        0 is the most urgent.
    deadline_ms : int
        When the statement must have ended, on this node's clock.
    received_at_ms : int
        When this node received it, on this node's clock.
    customer : str
        Name of the customer whose caller sent it; empty for none.
    route : str
        Database name that the caller connected to.
    """

    service: str
    upstream: str
    step: WorkStep
    request_id: str
    text: str
    is_write: bool = False
    is_read_only: bool = False
    values: tuple = ()
    prepared_name: str = ""
    prepared: Shape | None = None
    floor: Position = ORIGIN
    max_age_ms: int = NO_AGE_LIMIT
    needs_lead: bool = False
    transaction_id: int = NO_TRANSACTION
    priority: int = 1
    deadline_ms: int = 0
    received_at_ms: int = 0
    customer: str = ""
    route: str = ""


class Reach(Enum):
    """How far a statement got."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    SENT = "sent"
    ANSWERED = "answered"


class WorkAnswer(NamedTuple):
    """The answer to a `Work`.

    Parameters
    ----------
    outcome : Outcome
        How it ended.
    reach : Reach
        How far it got; only ``SENT`` leaves the outcome unknown.
    reason : str
        The database's error text, or why there is no answer.
    rows : tuple of str
        Rows of the answer.
    signature : str
        Signature that proves that the database ran the statement.
    position : Position
        End of the database's log after the statement.
    transaction_id : int
        Transaction that stays open at the owner.
    retry_after_ms : int
        Time after which a retry may succeed; 0 for an immediate retry.
    load : float
        Statements per slot at the database, running and queued.
    service_ms : float
        How long a statement holds a slot there; 0 if unknown.
    ejected_until_ms : int
        When the database's ejection ends, on the clock of the node that holds the
        answer; other databases are preferred until then, since statements fail there.
    is_unreachable : bool
        Whether the owner did not reach the database; another owner may.
    waits_ms : tuple of int
        Expected wait for a slot there of a statement that arrives now, for each
        priority from 0; empty if unknown.
    """

    outcome: Outcome
    reach: Reach = Reach.ANSWERED
    reason: str = ""
    rows: tuple = ()
    signature: str = ""
    position: Position = ORIGIN
    transaction_id: int = NO_TRANSACTION
    retry_after_ms: int = 0
    load: float = 0.0
    service_ms: float = 0.0
    ejected_until_ms: int = 0
    is_unreachable: bool = False
    waits_ms: tuple = ()


def may_commit(work):
    """Return whether a statement commits, so that it may have taken effect.

    Parameters
    ----------
    work : Work
        The statement.

    Returns
    -------
    bool
    """
    return work.step in (WorkStep.COMMIT, WorkStep.OPEN_AND_COMMIT) or (
        work.step is WorkStep.SINGLE and work.is_write
    )


def may_run_elsewhere(work, answer):
    """Return whether a failed statement may be sent to another database or owner.

    Parameters
    ----------
    work : Work
        The statement.
    answer : WorkAnswer
        Its answer.

    Returns
    -------
    bool
    """
    if answer.outcome is Outcome.DONE or work.step in (
        WorkStep.CONTINUE,
        WorkStep.COMMIT,
    ):
        return False
    if answer.reach in (Reach.NOT_SENT, Reach.REFUSED):
        return True
    if answer.reach is Reach.ANSWERED and answer.outcome in NOT_RUN_OUTCOMES:
        return True
    # A transaction whose first statement may have run stays on that connection, or is
    # rolled back.
    return work.step is WorkStep.SINGLE and not work.is_write


def is_capacity_refusal(answer):
    """Return whether a database had no free slot for a statement before its deadline.

    Parameters
    ----------
    answer : WorkAnswer
        Answer to the statement.

    Returns
    -------
    bool
    """
    is_refused = answer.outcome is Outcome.BUSY and answer.reach is Reach.NOT_SENT
    return is_refused and not answer.is_unreachable and answer.retry_after_ms > 0


def choose_refusal(answers):
    """Return the final refusal of a statement that no database can run in time.

    Parameters
    ----------
    answers : sequence of WorkAnswer
        Latest answer of every database that could run it.

    Returns
    -------
    WorkAnswer or None
        The refusal with the shortest retry time. None if no database refused for lack
        of capacity, or if one may still run the statement, because it failed there for
        another reason than load or a log that is behind.
    """
    refused = [answer for answer in answers if is_capacity_refusal(answer)]
    behind = [answer for answer in answers if answer.outcome is Outcome.BEHIND]
    if not refused or len(refused) + len(behind) < len(answers):
        return None
    return min(refused, key=lambda answer: answer.retry_after_ms)
