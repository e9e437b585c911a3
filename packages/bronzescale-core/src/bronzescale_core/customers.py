"""Identify the customers whose callers share the databases, and their limits."""

from enum import Enum
from hashlib import blake2b
from typing import NamedTuple

# Enough that no two keys of a fleet's customers share a digest by chance.
KEY_DIGEST_BYTES = 16
# Bytes of a digest that a log shows: enough to compare two lines, too few to tell keys
# of a fleet's customers apart from others.
SHOWN_DIGEST_BYTES = 4
NO_CUSTOMER = ""


class Customer(NamedTuple):
    """A customer that the configuration declares.

    Parameters
    ----------
    name : str
        Unique name; the databases are told it when a connection is opened.
    priority : int
        Priority of its statements among equal routes; 0 is the most urgent.
    rate_per_s : float
        Operations per second that it may run on the whole fleet; 0 for no limit.
    burst : float
        Operations that it may run at once after it was idle.
    """

    name: str
    priority: int = 1
    rate_per_s: float = 0.0
    burst: float = 0.0


def digest_key(key):
    """Return the digest under which a customer's key is looked up.

    A lookup by digest takes a time that tells nothing about the keys in force.

    Parameters
    ----------
    key : str
        Key that a caller sent.

    Returns
    -------
    bytes
    """
    data = key.encode("utf-8", "surrogateescape")
    return blake2b(data, digest_size=KEY_DIGEST_BYTES).digest()


class Access(Enum):
    """What a session may do under the configuration in force."""

    ALLOWED = "allowed"
    WITHDRAWN = "withdrawn"
    # The open transaction runs for a customer that no longer holds the key.
    MOVED = "moved"


class CallerIdentity:
    """Who a caller is under the configuration in force.

    The key itself is not kept. The answer is cached for one configuration, since every
    statement asks for it.

    Parameters
    ----------
    key : str
        Key that the caller sent; empty for none.
    """

    def __init__(self, key):
        self._digest = digest_key(key) if key else b""
        self._configuration = None
        self._customer = NO_CUSTOMER

    @property
    def shown_digest(self):
        """Return the beginning of the key's digest, for logs."""
        return self._digest[:SHOWN_DIGEST_BYTES].hex()

    def customer(self, configuration):
        """Return the name of the customer that holds the key now; empty for none.

        Parameters
        ----------
        configuration : Configuration
            Configuration in force.

        Returns
        -------
        str
        """
        if configuration is not self._configuration:
            self._configuration = configuration
            self._customer = configuration.customer_by_key.get(
                self._digest, NO_CUSTOMER
            )
        return self._customer

    def may_use(self, route, configuration):
        """Return whether the caller may use a route.

        Parameters
        ----------
        route : Route
            The route.
        configuration : Configuration
            Configuration in force.

        Returns
        -------
        bool
        """
        return route.is_public or self.customer(configuration) != NO_CUSTOMER

    def access(self, configuration, route, transaction):
        """Return what the caller's session may do.

        Parameters
        ----------
        configuration : Configuration
            Configuration in force.
        route : Route or None
            Route of the session; None if the configuration no longer has it.
        transaction : OpenTransaction or None
            Open transaction of the session.

        Returns
        -------
        Access
        """
        if route is None and transaction is not None and transaction.is_bound:
            route = transaction.route
        if route is not None and not self.may_use(route, configuration):
            return Access.WITHDRAWN
        customer = self.customer(configuration)
        if transaction is not None and transaction.customer != customer:
            return Access.MOVED
        return Access.ALLOWED
