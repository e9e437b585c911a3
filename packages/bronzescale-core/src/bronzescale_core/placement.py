"""Order the databases that may serve a read by distance, load and recent failures."""

from typing import NamedTuple

from bronzescale_core.outliers import choose_avoided

# Extra time for one statement per slot in front; a typical read takes as long.
QUEUE_COST_MS = 25.0
# Round trips within a zone, a region and between regions.
ZONE_COST_MS = 0.5
REGION_COST_MS = 4.0
FAR_COST_MS = 62.0
# The primary alone can serve saves; reads leave it alone while replicas have room.
PRIMARY_COST_MS = 12.0
# A word on load is half forgotten after this time.
LOAD_HALF_LIFE_MS = 150.0
# A database that failed comes last for this long.
PENALTY_MS = 500
# A mix of statements that is this slow is a slow database rather than slow work.
SLOW_SERVICE_MS = 2 * QUEUE_COST_MS
# A database that was slow is tried again after a few times this long.
SERVICE_HALF_LIFE_MS = 2_000.0


class _Seen(NamedTuple):
    load: float
    service_ms: float
    at_ms: int


class Placement:
    """What one node knows of the load and the failures of databases.

    Parameters
    ----------
    zone, region : str
        Where this node stands.
    regions : dict of str to str
        Region of each availability zone.
    """

    def __init__(self, zone, region, regions):
        self._zone = zone
        self._region = region
        self._regions = regions
        self._seen = {}
        self._penalised_until_ms = {}
        self._ejected_until_ms = {}
        self._in_flight = {}

    def record_load(self, instance, load, service_ms, now_ms):
        """Take the word of a database's owner on its load.

        Parameters
        ----------
        instance : str
            The database.
        load : float
            Statements per slot, running and waiting.
        service_ms : float
            How long a statement holds a slot; 0 if that is not known.
        now_ms : int
            Current time.
        """
        self._seen[instance] = _Seen(load, service_ms, now_ms)

    def record_ejection(self, instance, until_ms):
        """Take the word of a database's owner that its statements fail."""
        self._ejected_until_ms[instance] = until_ms

    def penalise(self, instance, now_ms, penalty_ms=PENALTY_MS):
        """Prefer other databases for a while."""
        self._penalised_until_ms[instance] = now_ms + penalty_ms

    def begin(self, instance):
        """Count a statement that this node has sent to a database."""
        self._in_flight[instance] = self._in_flight.get(instance, 0) + 1

    def end(self, instance):
        """Count the end of such a statement."""
        left = self._in_flight.get(instance, 1) - 1
        if left:
            self._in_flight[instance] = left
        else:
            self._in_flight.pop(instance, None)

    def order(self, copies, primary, now_ms):
        """Return databases for a read, best first.

        Parameters
        ----------
        copies : iterable of Copy
            Databases of the service.
        primary : str or None
            The believed primary.
        now_ms : int
            Current time.

        Returns
        -------
        list of Copy
        """
        usable = [copy for copy in copies if not copy.is_leaving] or list(copies)
        names = [copy.instance for copy in usable]
        avoided = choose_avoided(self._ejected_until_ms, names, now_ms)
        return sorted(
            usable,
            key=lambda copy: (
                copy.instance in avoided,
                *self._key(copy, primary, now_ms),
            ),
        )

    def cost_ms(self, copy, primary, now_ms):
        """Return about how long a read takes until it runs at a database."""
        cost_ms = self._distance_ms(copy)
        if copy.instance == primary:
            cost_ms += PRIMARY_COST_MS
        own = self._in_flight.get(copy.instance, 0) / max(1, copy.slots)
        load = max(self._load(copy.instance, now_ms), own)
        service_ms = self._service_ms(copy.instance, now_ms)
        slow_ms = max(0.0, service_ms - SLOW_SERVICE_MS)
        return cost_ms + slow_ms + max(QUEUE_COST_MS, service_ms) * load

    def _key(self, copy, primary, now_ms):
        is_penalised = self._penalised_until_ms.get(copy.instance, 0) > now_ms
        return is_penalised, self.cost_ms(copy, primary, now_ms), copy.instance

    def _load(self, instance, now_ms):
        seen = self._seen.get(instance)
        if seen is None:
            return 0.0
        return seen.load * 0.5 ** ((now_ms - seen.at_ms) / LOAD_HALF_LIFE_MS)

    def _service_ms(self, instance, now_ms):
        seen = self._seen.get(instance)
        if seen is None:
            return 0.0
        return seen.service_ms * 0.5 ** ((now_ms - seen.at_ms) / SERVICE_HALF_LIFE_MS)

    def _distance_ms(self, copy):
        if copy.zone == self._zone:
            return ZONE_COST_MS
        is_near = self._regions.get(copy.zone, "") == self._region
        return REGION_COST_MS if is_near else FAR_COST_MS
