"""Keep the routes, services and databases that the platform announces."""

from enum import Enum
from types import MappingProxyType
from typing import NamedTuple

from bronzescale_core.groups import Phase

# Grace period after an outage of the platform's store. Databases whose entries expired
# during the outage register again within it; without it they would be dropped although
# they still run.
LAPSE_GRACE_MS = 2_200


class RouteKind(Enum):
    """Consistency of the reads of a route."""

    PRIMARY = "primary"
    BOUNDED_AGE = "bounded_age"
    READ_YOUR_WRITES = "read_your_writes"


class Route(NamedTuple):
    """Rules for statements on one database name.

    Parameters
    ----------
    database : str
        Database name that callers connect to.
    service : str
        Service that runs the statements.
    kind : RouteKind
        Consistency of reads.
    timeout_ms : int
        Time limit of a single statement.
    target_ms : int
        Latency objective of a whole operation.
    max_age_ms : int
        Maximum staleness of a read; -1 for no limit.
    priority : int
        Priority of the statements; 0 is the most urgent.
    is_public : bool
        Whether callers need no customer's key.
    is_marked_public : bool
        Whether that is so in a deployment with customers, too.
    """

    database: str
    service: str
    kind: RouteKind
    timeout_ms: int
    target_ms: int
    max_age_ms: int
    priority: int
    is_public: bool = False
    is_marked_public: bool = False


class ServiceLimits(NamedTuple):
    """Limits that the configuration sets for a service.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Connections that each of its databases accepts from all nodes together.
    confirming_replicas : int
        Replicas that have received a commit before it is acknowledged.
    """

    name: str
    max_connections: int
    confirming_replicas: int = 0


class Configuration(NamedTuple):
    """The configuration that is in force.

    Parameters
    ----------
    version : int
        Version of the configuration; it never decreases.
    routes : dict of str to Route
        Routes by database name.
    services : dict of str to ServiceLimits
        Services by name.
    transaction_idle_ms : int
        Longest idle time of an open transaction.
    max_message_bytes : int
        Size limit of a caller's message.
    customers : dict of str to Customer
        Customers by name; empty if the deployment has none.
    customer_by_key : dict of bytes to str
        Name of the customer that holds a key, by the key's digest.
    findings : tuple of str
        Bad values, how each was read, and what to do about it.
    has_customers : bool
        Whether routes that aren't public are for customers only, even if none is left.
    """

    version: int
    routes: dict
    services: dict
    transaction_idle_ms: int
    max_message_bytes: int
    customers: dict = MappingProxyType({})
    customer_by_key: dict = MappingProxyType({})
    findings: tuple = ()
    has_customers: bool = False

    def keep_closed(self, previous):
        """Return the configuration that follows another one.

        A route that was for customers isn't opened by their absence, only by a mark.

        Parameters
        ----------
        previous : Configuration or None
            The configuration that was in force.

        Returns
        -------
        Configuration
        """
        if previous is None or not previous.has_customers or self.has_customers:
            return self
        routes = {
            name: route._replace(is_public=route.is_marked_public)
            for name, route in self.routes.items()
        }
        return self._replace(routes=routes, has_customers=True)

    def keeps_acknowledged(self, service):
        """Return whether a service's acknowledged commits must survive its primary.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        bool
            Also True for a service that is not configured, whose databases may wait for
            replicas.
        """
        limits = self.services.get(service)
        return limits is None or limits.confirming_replicas > 0


class Copy(NamedTuple):
    """One database of a service, as it registered itself.

    Parameters
    ----------
    instance : str
        Unique id.
    service : str
        Service that it belongs to.
    address : str
        IP address and port.
    zone : str
        Availability zone.
    slots : int
        Statements that it runs concurrently.
    is_leaving : bool
        Whether it is being drained and must not get new work.
    is_primary : bool
        Whether it considers itself the primary.
    incarnation : int
        Start time, in ms since 1970.
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

    An entry that is removed within `LAPSE_GRACE_MS` of a store outage is kept until
    this time has passed, and is then dropped unless it was registered again.
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
            Name of the service.

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
        """Return the names of all services that have databases."""
        return {copy.service for copy in self._copies.values()}

    def record_outage(self, now_ms):
        """Start the grace period for removed entries; the store was unreachable."""
        self._grace_until_ms = now_ms + LAPSE_GRACE_MS

    def put(self, copy):
        """Add or replace an entry.

        Parameters
        ----------
        copy : Copy
            The entry.

        Returns
        -------
        bool
            Whether the entry is new or differs from the known one.
        """
        self._missing_since_ms.pop(copy.instance, None)
        if self._copies.get(copy.instance) == copy:
            return False
        self._copies[copy.instance] = copy
        self.version += 1
        return True

    def remove(self, instance, now_ms):
        """Remove an entry, or mark it as missing during the grace period.

        Parameters
        ----------
        instance : str
            Id of the database.
        now_ms : int
            Current time.

        Returns
        -------
        bool
            Whether it was removed immediately.
        """
        if instance not in self._copies:
            return False
        if now_ms < self._grace_until_ms:
            self._missing_since_ms.setdefault(instance, now_ms)
            return False
        self._delete(instance)
        return True

    def replace_all(self, copies, now_ms):
        """Replace all entries by a list; entries that it lacks are removed."""
        listed = {copy.instance for copy in copies}
        for copy in copies:
            self.put(copy)
        for instance in set(self._copies) - listed:
            self.remove(instance, now_ms)

    def sweep(self, now_ms):
        """Drop the entries that are still missing after the grace period.

        Returns
        -------
        list of str
            Ids of the dropped databases.
        """
        if now_ms < self._grace_until_ms:
            return []
        dropped = list(self._missing_since_ms)
        for instance in dropped:
            self._delete(instance)
        return dropped

    def _delete(self, instance):
        self._missing_since_ms.pop(instance, None)
        self._copies.pop(instance, None)
        self.version += 1


def presumed_primary(copies, state):
    """Return the database that is most likely the primary, or None.

    Parameters
    ----------
    copies : iterable of Copy
        Databases of the service.
    state : GroupState or None
        The agreed state; None if no change of primary was ever claimed.

    Returns
    -------
    str or None
        Id of the database. None while a change of primary is under way, or if there
        is no agreed state and no database considers itself the primary.
    """
    if state is not None:
        return state.primary if state.phase is Phase.ACTIVE else None
    primaries = [copy for copy in copies if copy.is_primary]
    if not primaries:
        return None
    return max(primaries, key=lambda copy: (copy.incarnation, copy.instance)).instance
