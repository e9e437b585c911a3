"""Hold a caller's session state, independent of the upstream connections."""

from hashlib import blake2b
from typing import NamedTuple

from bronzescale_core.positions import ORIGIN
from bronzescale_core.work import NO_TRANSACTION, Action, Shape


class OpenTransaction:
    """A transaction of a caller; its first statement binds it to a connection.

    Parameters
    ----------
    is_read_only : bool
        Whether the caller announced that it only reads.
    customer : str or None
        Customer that it runs for; empty for none. None once it was ended because its
        key was withdrawn or moved to another customer.
    """

    def __init__(self, is_read_only, customer=""):
        self.is_read_only = is_read_only
        self.customer = customer
        self.is_failed = False
        self.has_written = False
        self.upstream = ""
        self.owner = None
        self.transaction_id = NO_TRANSACTION

    @property
    def is_bound(self):
        """Return whether it is bound to an upstream connection."""
        return self.transaction_id != NO_TRANSACTION


class ResolvedStatement(NamedTuple):
    """Whether a statement writes, and the prepared statement that it uses."""

    is_write: bool
    prepared_name: str = ""
    prepared: Shape | None = None


class CallerSession:
    """Session values, prepared statements, transaction and floor of one caller."""

    def __init__(self):
        self._values = {}
        self._prepared = {}
        self.transaction = None
        self.floor = ORIGIN
        self.values = ()

    def set_value(self, name, value):
        """Set a session value."""
        self._values[name] = value
        self.values = tuple(sorted(self._values.items()))

    def prepare(self, name, shape):
        """Store a prepared statement."""
        self._prepared[name] = shape

    def deallocate(self, name):
        """Drop a prepared statement.

        Returns
        -------
        bool
            Whether the name was known.
        """
        return self._prepared.pop(name, None) is not None

    def resolve(self, statement):
        """Resolve a read, write or execute to what it runs.

        Parameters
        ----------
        statement : CallerStatement
            The statement.

        Returns
        -------
        ResolvedStatement or None
            None if the session has no prepared statement of that name.
        """
        if statement.action is not Action.EXECUTE:
            return ResolvedStatement(statement.action is Action.WRITE)
        shape = self._prepared.get(statement.name)
        if shape is None:
            return None
        return ResolvedStatement(shape.is_write, shared_statement_name(shape), shape)


def shared_statement_name(shape):
    """Return the name under which all sessions share a prepared statement.

    Parameters
    ----------
    shape : Shape
        Shape of the statement.

    Returns
    -------
    str
    """
    kind = "w" if shape.is_write else "r"
    digest = blake2b(shape.text.encode("utf-8", "surrogateescape"), digest_size=8)
    return f"{kind}{digest.hexdigest()}"
