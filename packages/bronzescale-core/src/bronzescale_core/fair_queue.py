"""Queue the statements of one priority, in fair shares between customers.

Load answered: one customer of many sends several times its usual load. Its statements
wait behind each other, not in front of the other customers' statements.

Start-time fair queueing: each customer has a start tag, which grows by the expected
work of its statements divided by its weight. The customer with the lowest tag is next;
one that was idle starts from the queue's current tag.
"""

import heapq
import math
from typing import NamedTuple

from bronzescale_core.admission import Ticket
from bronzescale_core.work_estimates import WorkEstimate

# Time kept for running a statement is at most this share of its time limit, so that
# statements of a very slow database still may wait.
MAX_RUN_SHARE = 0.5
# The weight of work that started halves in this time.
RECENT_HALF_LIFE_MS = 1_000.0
# Idle customers whose tag is still ahead; more are pruned.
MAX_IDLE_CUSTOMERS = 64


class Request(NamedTuple):
    """A statement that needs a slot.

    Parameters
    ----------
    ticket_class : WorkClass
        Whether it must run at this database (``WRITE``) or also may run elsewhere.
    deadline_ms : int
        When its caller stops waiting for the answer.
    target_at_ms : int
        When its answer becomes late. It may be after the deadline, if its caller has
        time to try again.
    priority : int
        Priority of its route; 0 is the most urgent.
    customer : str
        Its customer; empty for none.
    customer_priority : int
        Priority of the customer among statements of equal routes.
    weight : float
        Share of its customer relative to other customers.
    kind : hashable
        Route and kind of the statement, for the estimate of its work.
    """

    ticket_class: int
    deadline_ms: int
    target_at_ms: int
    priority: int = 1
    customer: str = ""
    customer_priority: int = 1
    weight: float = 1.0
    kind: object = None


class Waiting:
    """A statement that waits for a slot.

    Parameters
    ----------
    ticket : Ticket
        Its ticket.
    request : Request
        Its request.
    work : WorkEstimate
        Its expected work.
    now_ms : int
        When it arrived.
    """

    def __init__(self, ticket: Ticket, request: Request, work: WorkEstimate, now_ms):
        self.ticket = ticket
        self.request = request
        self.work = work
        self.is_gone = False
        longest_ms = MAX_RUN_SHARE * (ticket.deadline_ms - now_ms)
        run_ms = max(work.mean_ms, min(work.high_ms, longest_ms))
        self.start_by_ms = ticket.deadline_ms - run_ms
        # What would be late even without a wait can still be in time for its deadline.
        is_late_anyway = now_ms + work.mean_ms > request.target_at_ms
        target_at_ms = ticket.deadline_ms if is_late_anyway else request.target_at_ms
        self.due_ms = min(target_at_ms, ticket.deadline_ms)

    def __lt__(self, other):
        return (self.due_ms, self.ticket.ticket_id) < (
            other.due_ms,
            other.ticket.ticket_id,
        )


class _CustomerQueue:
    """Waiting statements of one customer, earliest due first."""

    def __init__(self, start_tag):
        self.start_tag = start_tag
        self.weight = 1.0
        self.count = 0
        self.work_ms = 0.0
        self._heap = []

    def push(self, waiting):
        heapq.heappush(self._heap, waiting)
        self.weight = waiting.request.weight
        self.count += 1
        self.work_ms += waiting.work.mean_ms

    def remove(self, waiting):
        waiting.is_gone = True
        self.count -= 1
        self.work_ms -= waiting.work.mean_ms
        if not self.count:
            self.work_ms = 0.0
            self._heap.clear()

    def peek(self):
        while self._heap[0].is_gone:
            heapq.heappop(self._heap)
        return self._heap[0]

    def work_before_ms(self, due_ms):
        return sum(
            waiting.work.mean_ms
            for waiting in self._heap
            if not waiting.is_gone and waiting.due_ms <= due_ms
        )

    def in_order(self):
        return sorted(waiting for waiting in self._heap if not waiting.is_gone)


class FairQueue:
    """Waiting statements of one priority.

    Parameters
    ----------
    is_fair : bool
        Whether customers get fair shares; otherwise all statements are ordered by
        the time at which they are due.
    """

    def __init__(self, is_fair=True):
        self._is_fair = is_fair
        self._customers = {}
        self._tag = 0.0
        self._active_count = 0
        self.count = 0
        self.work_ms = 0.0
        # When a statement last started, and the work started lately.
        self.last_start_ms = 0
        self._recent_work_ms = 0.0
        self._recent_at_ms = 0

    def push(self, waiting):
        """Add a statement."""
        name = self._name(waiting.request)
        customer = self._customers.get(name)
        if customer is None:
            if len(self._customers) >= self._active_count + MAX_IDLE_CUSTOMERS:
                self._prune()
            customer = self._customers[name] = _CustomerQueue(self._tag)
        if not customer.count:
            customer.start_tag = max(customer.start_tag, self._tag)
            self._active_count += 1
        customer.push(waiting)
        self.count += 1
        self.work_ms += waiting.work.mean_ms

    def remove(self, waiting):
        """Remove a statement that waits."""
        customer = self._customers[self._name(waiting.request)]
        customer.remove(waiting)
        self.count -= 1
        self.work_ms = self.work_ms - waiting.work.mean_ms if self.count else 0.0
        self._active_count -= not customer.count

    def peek(self):
        """Return the statement that is next; at least one must wait."""
        active = (c for c in self._customers.values() if c.count)
        return min(active, key=lambda customer: customer.start_tag).peek()

    def start(self, waiting, now_ms):
        """Remove a statement that `peek` returned and charge its customer."""
        customer = self._customers[self._name(waiting.request)]
        self._tag = max(self._tag, customer.start_tag)
        customer.start_tag += waiting.work.mean_ms / customer.weight
        self.remove(waiting)
        self.record_start(waiting.work.mean_ms, now_ms)

    def record_start(self, work_ms, now_ms):
        """Count work that starts, also work that did not wait."""
        self._recent_work_ms = self._decay(now_ms) + work_ms
        self._recent_at_ms = self.last_start_ms = now_ms

    def busy_slots(self, now_ms):
        """Return how many slots this priority's statements used lately."""
        return self._decay(now_ms) * math.log(2) / RECENT_HALF_LIFE_MS

    def _decay(self, now_ms):
        age_ms = now_ms - self._recent_at_ms
        return self._recent_work_ms * 0.5 ** (age_ms / RECENT_HALF_LIFE_MS)

    def work_ahead_ms(self, waiting):
        """Return the expected work that starts before a statement that arrives now.

        Parameters
        ----------
        waiting : Waiting
            The statement, not yet in the queue.

        Returns
        -------
        float
            Work of the statements here that start first.
        """
        if not self.count:
            return 0.0
        name = self._name(waiting.request)
        own = self._customers.get(name)
        ahead_ms = own.work_before_ms(waiting.due_ms) if own is not None else 0.0
        share_ms = (ahead_ms + waiting.work.mean_ms) / waiting.request.weight
        for other_name, other in self._customers.items():
            if other.count and other_name != name:
                ahead_ms += min(other.work_ms, share_ms * other.weight)
        return ahead_ms

    def newcomer_work_ms(self, work_ms):
        """Return the work ahead of a customer of whom nothing waits here.

        Statements without a customer share one queue, in which a newcomer is last.
        """
        shared = self._customers.get("")
        shared_ms = shared.work_ms if shared is not None else 0.0
        fair_ms = self._active_count * work_ms
        return shared_ms + min(self.work_ms - shared_ms, fair_ms)

    def in_order(self):
        """Return, for each customer, the waiting statements in order."""
        return [c.in_order() for c in self._customers.values() if c.count]

    def last(self):
        """Return the waiting statement that can wait longest, of the largest customer.

        Returns
        -------
        Waiting or None
        """
        if not self.count:
            return None
        active = [c for c in self._customers.values() if c.count]
        largest = max(active, key=lambda customer: customer.work_ms / customer.weight)
        return largest.in_order()[-1]

    def work_by_customer(self):
        """Return the waiting work in ms of each customer that waits."""
        return {n: c.work_ms for n, c in self._customers.items() if c.count}

    def _name(self, request):
        return request.customer if self._is_fair else ""

    def _prune(self):
        for name, customer in list(self._customers.items()):
            if not customer.count and customer.start_tag <= self._tag:
                del self._customers[name]
