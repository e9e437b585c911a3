"""Assign the slots of one database to statements, which wait for them in a queue."""

import anyio

from bronzescale_core.admission import Admitted, Refused
from bronzescale_core.scheduling_policy import build_request, find_policy, kind_of
from bronzescale_core.slot_queue import SlotQueue
from bronzescale_proxy.clock import now_ms

# Limit of statements that wait for one database; further ones are refused at once.
MAX_QUEUED = 200
# Sent as `retry_after_ms` when no slot became free; few statements take as long.
RETRY_AFTER_STALL_MS = 300


class _WaitingStatement:
    """A statement that waits for a decision of the queue."""

    def __init__(self, ticket, request):
        self.ticket = ticket
        self.request = request
        self.event = anyio.Event()
        self.decision = None


class Slots:
    """Slots of one database, as managed by the database's owner.

    Statements are scheduled by priority and customer if the configuration calls for
    it, and otherwise by deadline alone.

    Parameters
    ----------
    count : int
        Number of statements that the database runs concurrently.
    metrics : FleetMetrics
        Counts waiting statements by priority.
    """

    def __init__(self, count, metrics):
        self._queue = SlotQueue(count, MAX_QUEUED)
        self._configuration = None
        self._metrics = metrics
        self._waiting = {}

    @property
    def busy(self):
        """Return how many statements run or wait."""
        return self._queue.queued + self._queue.running

    @property
    def service_time_ms(self):
        """Return the smoothed time that a statement holds a slot."""
        return self._queue.service_time_ms

    @property
    def is_scheduled(self):
        """Return whether statements are scheduled by priority and customer."""
        return self._queue.is_scheduled

    def apply(self, configuration):
        """Order the statements as a configuration says; waiting ones stay.

        Parameters
        ----------
        configuration : Configuration or None
            The configuration that is in force.
        """
        if configuration is not self._configuration:
            self._configuration = configuration
            policy = find_policy(configuration)
            self._deliver(self._queue.set_policy(policy, now_ms()))

    def waits_ms(self):
        """Return the expected wait of a new statement for each priority, in ms.

        Returns
        -------
        tuple of int
            Empty if statements are not scheduled.
        """
        return self._queue.waits_ms(now_ms())

    def snapshot(self):
        """Return the queue by priority and its largest customers, for operators."""
        return self._queue.snapshot()

    async def acquire(self, work):
        """Wait for a slot.

        Parameters
        ----------
        work : Work
            The statement.

        Returns
        -------
        ticket : Ticket or None
            Ticket of the slot, to be released; None if there is no slot.
        refused : Refused or None
            The refusal if there is no slot.
        """
        request = build_request(work, self._queue.policy)
        self._deliver(self._queue.release_overdue(now_ms()))
        decision = self._queue.offer(request, now_ms())
        if isinstance(decision, Admitted):
            return decision.ticket, None
        if isinstance(decision, Refused):
            return None, decision
        refused = await self._wait(_WaitingStatement(decision.ticket, request))
        return (decision.ticket, None) if refused is None else (None, refused)

    def acquire_immediately(self, work):
        """Return a ticket without waiting, for a statement of an open transaction.

        Parameters
        ----------
        work : Work
            The statement.

        Returns
        -------
        Ticket
        """
        return self._queue.admit_immediately(
            work.deadline_ms, now_ms(), kind_of(work)
        ).ticket

    def release(self, ticket, held_ms):
        """Release a slot.

        Parameters
        ----------
        ticket : Ticket
            Ticket that `acquire` or `acquire_immediately` returned.
        held_ms : int or None
            How long the database took; None if it did not answer.
        """
        self._deliver(self._queue.finish(ticket, held_ms, now_ms()))

    async def _wait(self, statement):
        """Wait for a decision; return None if it is a slot, or else the refusal."""
        ticket = statement.ticket
        self._waiting[ticket.ticket_id] = statement
        self._metrics.count_waiting(statement.request.priority, 1)
        is_decided = False
        try:
            if self.is_scheduled:
                # This one may have taken the place of a less urgent statement.
                self._deliver(self._queue.fill_slots(now_ms()))
            while not is_decided and now_ms() < ticket.deadline_ms:
                pause_ms = min(self._queue.overdue_ms, ticket.deadline_ms - now_ms())
                with anyio.move_on_after(max(0, pause_ms) / 1_000):
                    await statement.event.wait()
                is_decided = statement.event.is_set()
                if not is_decided:
                    self._deliver(self._queue.release_overdue(now_ms()))
        finally:
            self._waiting.pop(ticket.ticket_id, None)
            self._metrics.count_waiting(statement.request.priority, -1)
            has_slot = isinstance(statement.decision, Admitted)
            if not is_decided and not self._queue.withdraw(ticket) and has_slot:
                # The slot was granted just as the wait was cancelled or timed out.
                self.release(ticket, None)
        decision = statement.decision
        if is_decided and isinstance(decision, Admitted):
            return None
        if isinstance(decision, Refused):
            return decision
        return Refused(ticket, RETRY_AFTER_STALL_MS, "no slot became free in time")

    def _deliver(self, decisions):
        """Pass the queue's decisions to the waiting statements and wake them."""
        for decision in decisions:
            statement = self._waiting.get(decision.ticket.ticket_id)
            if statement is None:
                if isinstance(decision, Admitted):
                    self.release(decision.ticket, None)
                continue
            statement.decision = decision
            statement.event.set()
