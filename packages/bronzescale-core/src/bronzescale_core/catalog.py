"""Know routes, services and databases as the platform announces them."""

from enum import Enum
from typing import NamedTuple

from bronzescale_core.groups import Phase

# An entry that lapsed while the platform's store was away is back within this time.
LAPSE_GRACE_MS = 2_200


class RouteKind(Enum):
    """What a route's reads must see."""

    PRIMARY = "primary"
    BOUNDED_AGE = "bounded_age"
    READ_YOUR_WRITES = "read_your_writes"


class Route(NamedTuple):
    """How statements for one database name are served.

    Parameters
    ----------
    database : str
        Name that callers connect to.
    service : str
        Service that runs them.
    kind : RouteKind
        What reads must see.
    timeout_ms : int
        Limit of a single statement.
    target_ms : int
        Latency objective of a whole operation.
    max_age_ms : int
        How old a read may be; -1 for no limit.
    priority : int
        0 is the most urgent.
    """

    database: str
    service: str
    kind: RouteKind
    timeout_ms: int
    target_ms: int
    max_age_ms: int
    priority: int


class ServiceLimits(NamedTuple):
    """What the configuration says of a service.

    Parameters
    ----------
    name : str
        Its name.
    max_connections : int
        Connections that each of its databases accepts from all nodes.
    """

    name: str
    max_connections: int


class Configuration(NamedTuple):
    """A configuration in force.

    Parameters
    ----------
    version : int
        Number of the configuration; it only grows.
    routes : dict of str to Route
        Routes by database name.
    services : dict of str to ServiceLimits
        Services by name.
    transaction_idle_ms : int
        How long an open transaction may rest.
    max_message_bytes : int
        Largest message of a caller.
    """

    version: int
    routes: dict
    services: dict
    transaction_idle_ms: int
    max_message_bytes: int


class Copy(NamedTuple):
    """One database of a service, as it announced itself.

    Parameters
    ----------
    instance : str
        Unique id.
    service : str
        Its service.
    address : str
        IP number and port.
    zone : str
        Availability zone.
    slots : int
        Statements that it runs side by side.
    is_leaving : bool
        Whether it must get no new work.
    is_primary : bool
        Whether it takes itself for the primary.
    incarnation : int
        When it started, ms since 1970.
    """

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    is_leaving: bool = False
    is_primary: bool = False
    incarnation: int = 0


class Catalog:
    """Databases known to one node.

    An entry that vanishes right after the store was away stays for `LAPSE_GRACE_MS`.
    """

    def __init__(self):
        self._copies = {}
        self._missing_since_ms = {}
        self._grace_until_ms = 0
        self.version = 0

    def copies(self, service):
        """Return the databases of a service.

        Parameters
        ----------
        service : str
            Its name.

        Returns
        -------
        list of Copy
        """
        return [c for c in self._copies.values() if c.service == service]

    def all(self):
        """Return every database."""
        return list(self._copies.values())

    def find(self, instance):
        """Return a database or None."""
        return self._copies.get(instance)

    def services(self):
        """Return the names of the services that have databases."""
        return {copy.service for copy in self._copies.values()}

    def record_outage(self, now_ms):
        """Keep entries that vanish for a while; the store was away until now."""
        self._grace_until_ms = now_ms + LAPSE_GRACE_MS

    def put(self, copy):
        """Take an entry.

        Parameters
        ----------
        copy : Copy
            The entry.

        Returns
        -------
        bool
            Whether anything changed.
        """
        self._missing_since_ms.pop(copy.instance, None)
        if self._copies.get(copy.instance) == copy:
            return False
        self._copies[copy.instance] = copy
        self.version += 1
        return True

    def remove(self, instance, now_ms):
        """Take the end of an entry.

        Parameters
        ----------
        instance : str
            Id of the database.
        now_ms : int
            Current time.

        Returns
        -------
        bool
            Whether it is gone at once.
        """
        if instance not in self._copies:
            return False
        if now_ms < self._grace_until_ms:
            self._missing_since_ms.setdefault(instance, now_ms)
            return False
        self._drop(instance)
        return True

    def replace_all(self, copies, now_ms):
        """Take a whole list; what it lacks is gone."""
        listed = {copy.instance for copy in copies}
        for copy in copies:
            self.put(copy)
        for instance in set(self._copies) - listed:
            self.remove(instance, now_ms)

    def sweep(self, now_ms):
        """Drop entries that stayed missing past the grace time.

        Returns
        -------
        list of str
            Ids that were dropped.
        """
        if now_ms < self._grace_until_ms:
            return []
        dropped = list(self._missing_since_ms)
        for instance in dropped:
            self._drop(instance)
        return dropped

    def _drop(self, instance):
        self._missing_since_ms.pop(instance, None)
        self._copies.pop(instance, None)
        self.version += 1


def presumed_primary(copies, state):
    """Return the database that most likely leads, or None.

    Parameters
    ----------
    copies : iterable of Copy
        Databases of the service.
    state : GroupState or None
        The agreed state; None if no change was ever claimed.

    Returns
    -------
    str or None
        None while a change of primary is under way.
    """
    if state is not None:
        return state.primary if state.phase is Phase.ACTIVE else None
    leading = [copy for copy in copies if copy.is_primary]
    if not leading:
        return None
    return max(leading, key=lambda copy: (copy.incarnation, copy.instance)).instance
