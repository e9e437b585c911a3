"""Keep a caller's session apart from the upstream connections that serve it."""

from hashlib import blake2b
from typing import NamedTuple

from bronzescale_core.positions import ORIGIN
from bronzescale_core.work import NO_TRANSACTION, Action, Shape


class OpenTransaction:
    """A transaction of a caller; it gets its upstream with its first statement.

    Parameters
    ----------
    is_read_only : bool
        Whether the caller announced that it only reads.
    """

    def __init__(self, is_read_only):
        self.is_read_only = is_read_only
        self.is_failed = False
        self.has_written = False
        self.upstream = ""
        self.owner = None
        self.transaction_id = NO_TRANSACTION

    @property
    def is_bound(self):
        """Return whether an upstream connection holds it."""
        return self.transaction_id != NO_TRANSACTION


class Resolved(NamedTuple):
    """A read or write with the prepared statement that it uses."""

    is_write: bool
    prepared_name: str = ""
    prepared: Shape | None = None


class CallerSession:
    """Values, prepared statements, transaction and floor of one caller."""

    def __init__(self):
        self._values = {}
        self._prepared = {}
        self.transaction = None
        self.floor = ORIGIN
        self.values = ()

    def set_value(self, name, value):
        """Remember a session value."""
        self._values[name] = value
        self.values = tuple(sorted(self._values.items()))

    def prepare(self, name, shape):
        """Remember a prepared statement."""
        self._prepared[name] = shape

    def deallocate(self, name):
        """Forget a prepared statement.

        Returns
        -------
        bool
            Whether the name was known.
        """
        return self._prepared.pop(name, None) is not None

    def resolve(self, statement):
        """Return what a read, write or execute does.

        Parameters
        ----------
        statement : CallerStatement
            The statement.

        Returns
        -------
        Resolved or None
            None for a prepared name that the session does not have.
        """
        if statement.action is not Action.EXECUTE:
            return Resolved(statement.action is Action.WRITE)
        shape = self._prepared.get(statement.name)
        if shape is None:
            return None
        return Resolved(shape.is_write, upstream_name(shape), shape)


def upstream_name(shape):
    """Return the name under which all sessions share a prepared statement.

    Parameters
    ----------
    shape : Shape
        What it does.

    Returns
    -------
    str
    """
    kind = "w" if shape.is_write else "r"
    digest = blake2b(shape.text.encode("utf-8", "surrogateescape"), digest_size=8)
    return f"{kind}{digest.hexdigest()}"
