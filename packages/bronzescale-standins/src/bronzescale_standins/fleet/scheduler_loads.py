"""Loads and queues that the scheduler's bench compares."""

from collections import deque
from typing import NamedTuple

from bronzescale_core.admission import AdmissionQueue, Admitted, Queued, Refused

MAX_QUEUED = 200
# Index of the customer that sends `Shape.hot_factor` times its usual load.
HOT_CUSTOMER = 3


class Route(NamedTuple):
    """Statements of one route.

    Parameters
    ----------
    priority : int
        0 is the most urgent.
    mean_ms, longest_ms : float
        Work of a statement.
    share : float
        Share of all statements.
    timeout_ms, target_ms, budget_ms : int
        Time limit of a try, latency objective, and time limit with further tries.
    tail : tuple of float
        Share of long statements, and how many times as long they are.
    """

    priority: int
    mean_ms: float
    longest_ms: float
    share: float
    timeout_ms: int
    target_ms: int
    budget_ms: int
    tail: tuple


class Shape(NamedTuple):
    """Load on one database.

    Parameters
    ----------
    slots : int
        Statements that it runs concurrently.
    routes : tuple of Route
        Its statements.
    customers : int
        Number of customers of very uneven size; 0 if there are none.
    hot_factor : float
        How many times its usual load one customer sends.
    wave : float
        Amplitude of the load, as a share of its mean.
    loads : tuple of float
        Mean loads to compare, relative to the capacity.
    has_burst : bool
        Whether the recovery after a burst is measured.
    has_route_each : bool
        Whether each customer uses one route only.
    """

    slots: int
    routes: tuple
    customers: int = 0
    hot_factor: float = 1
    wave: float = 0
    loads: tuple = (0.8, 1.0, 1.5, 2.0)
    has_burst: bool = False
    has_route_each: bool = False


TAIL, LONG_TAIL = (0.01, 5), (0.03, 7)
SHAPES = {
    "80 customers, one at five times its load": Shape(
        6,
        (
            Route(0, 11, 82, 0.13, 1_000, 1_000, 10_000, TAIL),
            Route(1, 55, 410, 0.23, 3_000, 1_500, 15_000, TAIL),
            Route(2, 33, 82, 0.63, 1_000, 4_000, 10_000, TAIL),
        ),
        customers=80,
        hot_factor=5,
        loads=(0.8, 1.0, 1.5, 2.0, 4.0),
        has_burst=True,
    ),
    "Waves, long tails": Shape(
        4,
        (
            Route(1, 5, 54, 0.15, 800, 800, 5_000, LONG_TAIL),
            Route(2, 26, 270, 0.15, 2_000, 1_200, 8_000, LONG_TAIL),
            Route(2, 15, 160, 0.7, 800, 1_500, 5_000, LONG_TAIL),
        ),
        wave=0.55,
        has_burst=True,
    ),
    "Customers of short and of long statements": Shape(
        6,
        (
            Route(2, 11, 82, 0.5, 1_000, 1_000, 10_000, TAIL),
            Route(2, 55, 410, 0.5, 1_000, 1_000, 10_000, TAIL),
        ),
        customers=20,
        loads=(1.5, 2.0),
        has_route_each=True,
    ),
    "Short statements that fill the queue": Shape(
        4,
        (
            Route(0, 1, 20, 0.2, 1_000, 1_000, 10_000, TAIL),
            Route(2, 2, 20, 0.8, 1_000, 1_000, 10_000, TAIL),
        ),
        loads=(2.0,),
    ),
}


class FirstCome(AdmissionQueue):
    """Serve in order of arrival; refuse only when full."""

    def __init__(self, slots):
        super().__init__(slots, MAX_QUEUED)
        self._line = deque()

    def offer(self, request, now_ms):
        """Admit, queue or refuse a statement."""
        ticket = self.table.create_ticket(0, request.deadline_ms)
        if len(self._line) >= MAX_QUEUED:
            return Refused(ticket, 50, "full")
        self._line.append(ticket)
        return (self.fill_slots(now_ms) or [Queued(ticket)])[0]

    def fill_slots(self, now_ms):
        """Start the next statements."""
        decisions = []
        while self._line and self.table.has_free_slot:
            decisions.append(Admitted(self._line.popleft()))
            self.table.start(decisions[-1].ticket, now_ms)
        return decisions

    def withdraw(self, ticket):
        """Remove a statement whose caller is gone."""
        is_waiting = ticket in self._line
        if is_waiting:
            self._line.remove(ticket)
        return is_waiting


class Present(AdmissionQueue):
    """The queue of deployments without priorities and customers."""

    def offer(self, request, now_ms):
        """Admit, queue or refuse a statement."""
        return super().offer(0, request.deadline_ms, now_ms)
