"""Define the interface of a line protocol to callers and databases."""

from typing import NamedTuple, Protocol

from bronzescale_core.positions import ORIGIN, Position
from bronzescale_core.work import Outcome


class Connect(NamedTuple):
    """A caller opens a session on a database.

    Parameters
    ----------
    database : str
        Name of the database.
    key : str
        Key that identifies the caller's customer; empty if the caller sent none.
    """

    database: str
    key: str = ""


class Goodbye(NamedTuple):
    """A caller ends its session."""


class Malformed(NamedTuple):
    """A caller's message that cannot be parsed."""

    request_id: str
    reason: str


class Row(NamedTuple):
    """One row of a result."""

    text: str


class Done(NamedTuple):
    """A statement succeeded."""

    signature: str


class Failed(NamedTuple):
    """A statement failed."""

    outcome: Outcome
    reason: str


class Ready(NamedTuple):
    """The database is ready for the next statement.

    Parameters
    ----------
    state : str
        State of the session: `IDLE`, `IN_TRANSACTION` or `TRANSACTION_FAILED`.
    position : Position
        Newest log position after the statement; `ORIGIN` if there is none.
    """

    state: str
    position: Position = ORIGIN


IDLE = "idle"
IN_TRANSACTION = "in_transaction"
TRANSACTION_FAILED = "transaction_failed"


class CopyStatus(NamedTuple):
    """Status that a database reports of itself.

    Parameters
    ----------
    is_primary : bool
        Whether it considers itself the primary.
    term : int
        Newest term that it knows.
    received : Position
        Position of the newest entry in its log.
    paused_term : int
        Term that it is paused for; 0 if it is not paused.
    lag_ms : int
        Delay with which it applies its log.
    running : int
        Slots in use.
    connections : int
        Open connections.
    """

    is_primary: bool
    term: int
    received: Position
    paused_term: int
    lag_ms: int
    running: int
    connections: int


class LineCodec(Protocol):
    """Encoder and decoder of one line protocol, implemented by the platform's adapter.

    Lines to decode come without their terminator; encoded messages include it.
    """

    terminator: bytes
    max_line_bytes: int

    def decode_caller(self, line):
        """Decode one line from a caller.

        Returns
        -------
        Connect, CallerStatement, Goodbye or Malformed
        """

    def encode_ready(self, state, position):
        """Return the message that ends a result and reports the session's state."""

    def encode_rows(self, rows):
        """Return the messages for the rows of a result."""

    def encode_done(self, signature):
        """Return the message for a statement that succeeded."""

    def encode_failed(self, outcome, reason):
        """Return the message for a statement that failed."""

    def connect(self, service, instance, customer=""):
        """Return the message that opens a connection to a database.

        The connection serves one customer for its life; the database is told the
        customer's name, which is empty for statements that are no customer's.
        """

    def statement(self, request_id, text):
        """Return the message that sends a caller's statement to a database."""

    def proxy_statement(self, text):
        """Return the message for a statement that the proxy itself issues."""

    def decode_upstream(self, line):
        """Decode one line from a database.

        Returns
        -------
        Row, Done, Failed, Ready or None
            None for a line that is not a message of the protocol.
        """

    def decode_status(self, row):
        """Decode the row with a database's status.

        Returns
        -------
        CopyStatus or None
            None if the row is malformed.
        """

    def begin(self, is_read_only, floor):
        """Return the statement that opens a transaction."""

    def read_at_position(self, floor, text):
        """Return a read with the lowest log position that it must see."""

    def set_value(self, name, value):
        """Return the statement that sets a session value."""

    def prepare(self, name, shape):
        """Return the statement that prepares a statement."""

    def execute(self, name, arguments):
        """Return the statement that executes a prepared statement."""
