"""Order the databases that may serve a read by distance, load and recent failures."""

from typing import NamedTuple

from bronzescale_core.outliers import choose_avoided

# Wait for one statement per slot ahead in the queue: the time of a typical read.
QUEUE_COST_MS = 25.0
# Round trips within a zone, within a region and between regions.
ZONE_COST_MS = 0.5
REGION_COST_MS = 4.0
FAR_COST_MS = 62.0
# Only the primary can run writes, so reads avoid it while replicas have free slots.
PRIMARY_COST_MS = 12.0
# The weight of a load report halves in this time.
LOAD_HALF_LIFE_MS = 150.0
# After a failure, a database is ordered last until this time has passed.
PENALTY_MS = 500
# Above this mean service time, the database rather than its statements is slow.
SLOW_SERVICE_MS = 2 * QUEUE_COST_MS
# A measured service time halves in this time, so that a slow database is tried again
# after a few half-lives.
SERVICE_HALF_LIFE_MS = 2_000.0


class _LoadReport(NamedTuple):
    load: float
    service_ms: float
    at_ms: int


class Placement:
    """Load and recent failures of databases, as seen by one node.

    Parameters
    ----------
    zone, region : str
        Availability zone and region of this node.
    regions : dict of str to str
        Region of each availability zone.
    """

    def __init__(self, zone, region, regions):
        self._zone = zone
        self._region = region
        self._regions = regions
        self._load_reports = {}
        self._penalised_until_ms = {}
        self._ejected_until_ms = {}
        self._in_flight = {}

    def record_load(self, instance, load, service_ms, now_ms):
        """Record the load that a database's owner reported.

        Parameters
        ----------
        instance : str
            The database.
        load : float
            Statements per slot, running and queued.
        service_ms : float
            How long a statement holds a slot; 0 if unknown.
        now_ms : int
            Current time.
        """
        self._load_reports[instance] = _LoadReport(load, service_ms, now_ms)

    def record_ejection(self, instance, until_ms):
        """Record an ejection that a database's owner reported."""
        self._ejected_until_ms[instance] = until_ms

    def penalise(self, instance, now_ms, penalty_ms=PENALTY_MS):
        """Order a database last for the duration of a penalty."""
        self._penalised_until_ms[instance] = now_ms + penalty_ms

    def begin(self, instance):
        """Count a statement that this node has sent to a database."""
        self._in_flight[instance] = self._in_flight.get(instance, 0) + 1

    def end(self, instance):
        """Count the end of a statement that this node has sent to a database."""
        remaining = self._in_flight.get(instance, 1) - 1
        if remaining:
            self._in_flight[instance] = remaining
        else:
            self._in_flight.pop(instance, None)

    def order(self, copies, primary, now_ms):
        """Return databases for a read, best first.

        Parameters
        ----------
        copies : iterable of Copy
            Databases of the service.
        primary : str or None
            The presumed primary.
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
                *self._sort_key(copy, primary, now_ms),
            ),
        )

    def cost_ms(self, copy, primary, now_ms):
        """Return an estimate of the time until a read starts at a database."""
        cost_ms = self._distance_ms(copy)
        if copy.instance == primary:
            cost_ms += PRIMARY_COST_MS
        own_load = self._in_flight.get(copy.instance, 0) / max(1, copy.slots)
        load = max(self._load(copy.instance, now_ms), own_load)
        service_ms = self._service_ms(copy.instance, now_ms)
        slow_ms = max(0.0, service_ms - SLOW_SERVICE_MS)
        return cost_ms + slow_ms + max(QUEUE_COST_MS, service_ms) * load

    def _sort_key(self, copy, primary, now_ms):
        is_penalised = self._penalised_until_ms.get(copy.instance, 0) > now_ms
        return is_penalised, self.cost_ms(copy, primary, now_ms), copy.instance

    def _load(self, instance, now_ms):
        report = self._load_reports.get(instance)
        if report is None:
            return 0.0
        return report.load * 0.5 ** ((now_ms - report.at_ms) / LOAD_HALF_LIFE_MS)

    def _service_ms(self, instance, now_ms):
        report = self._load_reports.get(instance)
        if report is None:
            return 0.0
        return report.service_ms * 0.5 ** (
            (now_ms - report.at_ms) / SERVICE_HALF_LIFE_MS
        )

    def _distance_ms(self, copy):
        if copy.zone == self._zone:
            return ZONE_COST_MS
        is_same_region = self._regions.get(copy.zone, "") == self._region
        return REGION_COST_MS if is_same_region else FAR_COST_MS
