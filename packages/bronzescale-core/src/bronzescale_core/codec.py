"""State what a line protocol must offer to the caller and upstream seams."""

from typing import NamedTuple, Protocol

from bronzescale_core.positions import ORIGIN, Position
from bronzescale_core.work import Outcome


class Connect(NamedTuple):
    """A caller names the database that it wants."""

    database: str


class Goodbye(NamedTuple):
    """A caller ends its session."""


class Malformed(NamedTuple):
    """A caller's message cannot be understood."""

    request_id: str
    reason: str


class Row(NamedTuple):
    """One row of an answer."""

    text: str


class Done(NamedTuple):
    """A statement ended well."""

    signature: str


class Failed(NamedTuple):
    """A statement ended with an error."""

    outcome: Outcome
    reason: str


class Ready(NamedTuple):
    """The other side takes the next statement.

    Parameters
    ----------
    state : SessionPhase
        Where the session stands.
    position : Position
        What the log held after the statement; `ORIGIN` where there is none.
    """

    state: str
    position: Position = ORIGIN


IDLE = "idle"
IN_TRANSACTION = "in_transaction"
TRANSACTION_FAILED = "transaction_failed"


class CopyStatus(NamedTuple):
    """What a database says of itself.

    Parameters
    ----------
    is_primary : bool
        Whether it takes itself for the primary.
    term : int
        Its newest term.
    received : Position
        Newest entry of its log.
    held_term : int
        Term that it was paused for; 0 for none.
    lag_ms : int
        How late it applies.
    running : int
        Slots in use.
    connections : int
        Open connections.
    """

    is_primary: bool
    term: int
    received: Position
    held_term: int
    lag_ms: int
    running: int
    connections: int


class LineCodec(Protocol):
    """Encode and decode one line protocol; see the adapter for an implementation."""

    terminator: bytes
    max_line_bytes: int

    def decode_caller(self, line):
        """Read one line of a caller."""

    def encode_ready(self, state, position):
        """Return the message that ends an answer."""

    def encode_rows(self, rows):
        """Return the messages of an answer's rows."""

    def encode_done(self, signature):
        """Return the message of a success."""

    def encode_failed(self, outcome, reason):
        """Return the message of an error."""

    def connect(self, service, instance):
        """Return the opening message to a database."""

    def statement(self, request_id, text):
        """Return a caller's statement for a database."""

    def own(self, text):
        """Return a statement of the proxy's own."""

    def decode_upstream(self, line):
        """Read one line of a database."""

    def decode_status(self, row):
        """Read a database's word on itself."""

    def begin(self, is_read_only, floor):
        """Return the text that opens a transaction."""

    def after(self, floor, text):
        """Return a read's text with the position that it must see."""

    def set_value(self, name, value):
        """Return the text that sets a session value."""

    def prepare(self, name, shape):
        """Return the text that prepares a statement."""

    def execute(self, name, arguments):
        """Return the text that runs a prepared statement."""
