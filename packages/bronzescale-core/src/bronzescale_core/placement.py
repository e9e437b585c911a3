"""Order the databases that may serve a read by the expected time until they answer.

Distance, reported load and recent failures decide while a database has a free slot.
Three loads need more: replicas that are behind come last (`lagging`), hosts draw among
databases of which none is clearly free, so that they don't move together (`spread`),
and a database that returns gets its reads step by step (`slow_start`).
"""

from enum import Enum
from typing import NamedTuple

from bronzescale_core.backlog_reports import LOAD_HALF_LIFE_MS, LoadReport
from bronzescale_core.lagging import LaggingCopies
from bronzescale_core.outliers import choose_avoided
from bronzescale_core.positions import ORIGIN, Position
from bronzescale_core.slow_start import SlowStart
from bronzescale_core.spread import draw_first
from bronzescale_core.work import NO_AGE_LIMIT

# Wait for one statement per slot ahead in the queue: the time of a typical read.
QUEUE_COST_MS = 25.0
# Round trips within a zone, within a region and between regions.
ZONE_COST_MS = 0.5
REGION_COST_MS = 4.0
FAR_COST_MS = 62.0
# Only the primary can run writes, so reads avoid it while replicas have free slots.
PRIMARY_COST_MS = 12.0
# After a failure, a database is ordered last until this time has passed.
PENALTY_MS = 500
# Above this mean service time, the database rather than its statements is slow.
SLOW_SERVICE_MS = 2 * QUEUE_COST_MS
# A measured service time halves in this time, so that a slow database is tried again
# after a few half-lives.
SERVICE_HALF_LIFE_MS = 2_000.0
# Added while a database that has returned takes no more reads at once; less than the
# way to another region.
STARTING_COST_MS = 40.0


class ReadNeed(NamedTuple):
    """What a read needs of the database that serves it.

    Parameters
    ----------
    floor : Position
        Position that its session needs.
    max_age_ms : int
        Maximum age of the data; `NO_AGE_LIMIT` for any.
    priority : int
        0 is the most urgent.
    """

    floor: Position = ORIGIN
    max_age_ms: int = NO_AGE_LIMIT
    priority: int = 0


class Choice(Enum):
    """Why a database was chosen, or why it came last."""

    NEEDS_PRIMARY = "needs_primary"
    NEAREST = "nearest"
    DRAWN = "drawn"
    OTHERS_BEHIND = "others_behind"
    BEHIND = "behind"
    EJECTED = "ejected"
    PENALISED = "penalised"


class _Standing(NamedTuple):
    """Rank of one database for one read; the least is the best."""

    is_behind: bool
    is_avoided: bool
    is_penalised: bool
    cost_ms: float
    instance: str

    @property
    def group(self):
        """Return what ranks before the cost."""
        return self[:3]


class Placement:
    """Load and recent failures of databases, as seen by one node.

    Parameters
    ----------
    zone, region : str
        Availability zone and region of this node.
    regions : dict of str to str
        Region of each availability zone.
    draw : callable
        Returns a random number from 0 to below 1.
    """

    def __init__(self, zone, region, regions, draw):
        self._zone = zone
        self._region = region
        self._regions = regions
        self._draw_number = draw
        self._load_reports = {}
        self._penalised_until_ms = {}
        self._ejected_until_ms = {}
        self._in_flight = {}
        self._lagging = LaggingCopies()
        self._slow_start = SlowStart()
        self._seen = set()

    def record_load(self, instance, load, service_ms, now_ms, waits_ms=()):
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
        waits_ms : tuple of int
            Expected wait for a slot there, for each priority; empty if unknown.
        """
        self._load_reports[instance] = LoadReport(load, service_ms, waits_ms, now_ms)

    def record_ejection(self, instance, until_ms):
        """Record an ejection that a database's owner reported."""
        if until_ms > self._ejected_until_ms.get(instance, 0):
            self._slow_start.begin(instance, until_ms)
        self._ejected_until_ms[instance] = until_ms

    def record_behind(self, instance, had, need, now_ms, is_trailing=True):
        """Record that a replica is behind for a read.

        Parameters
        ----------
        instance : str
            The replica.
        had : Position
            Position that it had.
        need : ReadNeed
            What the read needed.
        now_ms : int
            Current time.
        is_trailing : bool
            Whether its owner says that it trails. If only the database refused the
            read, that may be its usual lag; it prolongs what is believed already.
        """
        if is_trailing or instance in self._lagging:
            self._lagging.record_behind(
                instance, had, need.floor, need.max_age_ms, now_ms
            )

    def record_served(self, copy, position, need, now_ms):
        """Record that a database served a read.

        Parameters
        ----------
        copy : Copy
            The database.
        position : Position
            Position that it has.
        need : ReadNeed
            What the read needed.
        now_ms : int
            Current time.
        """
        instance = copy.instance
        if self._lagging.record_served(instance, position, need.max_age_ms):
            self._slow_start.begin(instance, now_ms)
        self._slow_start.record_answer(instance, copy.slots)

    def penalise(self, instance, now_ms, penalty_ms=PENALTY_MS):
        """Order a database last for the duration of a penalty."""
        self._penalised_until_ms[instance] = now_ms + penalty_ms

    def begin(self, instance, now_ms):
        """Count a statement that this node sends to a database."""
        self._lagging.begin_attempt(instance, now_ms)
        self._in_flight[instance] = self._in_flight.get(instance, 0) + 1

    def end(self, instance):
        """Count the end of a statement that this node has sent to a database."""
        remaining = self._in_flight.get(instance, 1) - 1
        if remaining:
            self._in_flight[instance] = remaining
        else:
            self._in_flight.pop(instance, None)

    def order(self, copies, primary, now_ms, need=None):
        """Return databases for a read, best first.

        Parameters
        ----------
        copies : iterable of Copy
            Databases of the service.
        primary : str or None
            The presumed primary.
        now_ms : int
            Current time.
        need : ReadNeed or None
            What the read needs; None for nothing special.

        Returns
        -------
        list of Copy
        """
        return [copy for copy, _ in self.rank(copies, primary, now_ms, need)]

    def rank(self, copies, primary, now_ms, need=None):
        """Return databases for a read, best first, each with the reason for its place.

        Parameters
        ----------
        copies, primary, now_ms, need
            As for `order`.

        Returns
        -------
        list of (Copy, Choice)
        """
        need = need if need is not None else ReadNeed()
        self._see(copies, now_ms)
        usable = [copy for copy in copies if not copy.is_leaving] or list(copies)
        names = [copy.instance for copy in usable]
        avoided = choose_avoided(self._ejected_until_ms, names, now_ms)
        ranked = sorted(
            (self._stand(copy, primary, avoided, need, now_ms), index)
            for index, copy in enumerate(usable)
        )
        if not ranked:
            return []
        drawn = self._draw(ranked, usable, need, now_ms)
        if drawn:
            ranked.insert(0, ranked.pop(drawn))
        is_any_behind = any(standing.is_behind for standing, _ in ranked)
        choices = [_explain(standing) for standing, _ in ranked]
        if choices[0] is Choice.NEAREST and drawn is not None:
            choices[0] = Choice.DRAWN
        elif choices[0] is Choice.NEAREST and is_any_behind:
            choices[0] = Choice.OTHERS_BEHIND
        return [
            (usable[index], choice)
            for (_, index), choice in zip(ranked, choices, strict=True)
        ]

    def _see(self, copies, now_ms):
        """Start slowly on a database that joins others."""
        names = {copy.instance for copy in copies}
        if names <= self._seen:
            return
        if names & self._seen:
            for instance in names - self._seen:
                self._slow_start.begin(instance, now_ms)
        self._seen |= names

    def backlog_report(self, instance):
        """Return the newest report of a database's waits, or None."""
        return self._load_reports.get(instance)

    def may_have_room(self, instance, need, now_ms):
        """Return whether a database may have a free slot, as far as is known here."""
        report = self._load_reports.get(instance)
        return report is None or report.has_free_slot(need.priority, now_ms)

    def _draw(self, ranked, usable, need, now_ms):
        """Draw the database to try first; None while the best one is clearly free.

        A database in the region that has a free slot is never passed over for one in
        another region.
        """
        best = ranked[0][0]
        peers = [
            position
            for position, (standing, _) in enumerate(ranked)
            if standing.group == best.group
        ]
        if len(peers) < 2:
            return None
        copies = [usable[ranked[position][1]] for position in peers]
        has_room = [self.may_have_room(c.instance, need, now_ms) for c in copies]
        if all(has_room):
            return None
        is_near = [self._distance_ms(copy) < FAR_COST_MS for copy in copies]
        if any(near and room for near, room in zip(is_near, has_room, strict=True)):
            peers, copies = zip(
                *(
                    (position, copy)
                    for position, copy, near in zip(peers, copies, is_near, strict=True)
                    if near
                ),
                strict=True,
            )
        costs_ms = [ranked[position][0].cost_ms for position in peers]
        slots = [max(1, copy.slots) for copy in copies]
        return peers[draw_first(costs_ms, slots, self._draw_number)]

    def _stand(self, copy, primary, avoided, need, now_ms):
        instance = copy.instance
        is_behind = instance != primary and self._lagging.is_behind(
            instance, need.floor, need.max_age_ms, now_ms
        )
        return _Standing(
            is_behind,
            instance in avoided,
            self._penalised_until_ms.get(instance, 0) > now_ms,
            self.cost_ms(copy, primary, now_ms, need.priority),
            instance,
        )

    def cost_ms(self, copy, primary, now_ms, priority=0):
        """Return an estimate of the time until a read starts at a database."""
        cost_ms = self._distance_ms(copy)
        if copy.instance == primary:
            cost_ms += PRIMARY_COST_MS
        own_load = self._in_flight.get(copy.instance, 0) / max(1, copy.slots)
        load = max(self._load(copy.instance, now_ms), own_load)
        service_ms = self._service_ms(copy.instance, now_ms)
        slow_ms = max(0.0, service_ms - SLOW_SERVICE_MS)
        queue_ms = max(QUEUE_COST_MS, service_ms) * load
        in_flight = self._in_flight.get(copy.instance, 0)
        if self._slow_start.is_full(copy.instance, in_flight, now_ms):
            cost_ms += STARTING_COST_MS
        report = self._load_reports.get(copy.instance)
        if report is not None:
            queue_ms = max(queue_ms, report.backlog_ms(priority, now_ms))
        return cost_ms + slow_ms + queue_ms

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


def _explain(standing):
    if standing.is_behind:
        return Choice.BEHIND
    if standing.is_avoided:
        return Choice.EJECTED
    if standing.is_penalised:
        return Choice.PENALISED
    return Choice.NEAREST
