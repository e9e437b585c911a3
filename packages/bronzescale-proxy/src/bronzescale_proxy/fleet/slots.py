"""Assign the slots of one database to statements, which wait for them in a queue."""

import anyio

from bronzescale_core.admission import AdmissionQueue, Admitted, Refused
from bronzescale_core.work import Outcome, Reach, WorkAnswer
from bronzescale_proxy.clock import now_ms

# Limit of statements that wait for one database; further ones are refused at once.
MAX_QUEUED = 200
# Sent as `retry_after_ms` when no slot became free; few statements take as long.
RETRY_AFTER_STALL_MS = 300


class Slots:
    """Slots of one database, as managed by the database's owner.

    Parameters
    ----------
    count : int
        Number of statements that the database runs concurrently.
    """

    def __init__(self, count):
        self._queue = AdmissionQueue(count, MAX_QUEUED)
        self._waiting = {}

    @property
    def busy(self):
        """Return how many statements run or wait."""
        return self._queue.queued + self._queue.running

    @property
    def service_time_ms(self):
        """Return the smoothed time that a statement holds a slot."""
        return self._queue.service_time_ms

    async def acquire(self, work_class, deadline_ms):
        """Wait for a slot.

        Parameters
        ----------
        work_class : WorkClass
            Read or write.
        deadline_ms : int
            When the caller gives up.

        Returns
        -------
        ticket : Ticket or None
            Ticket of the slot, to be released; None if there is no slot.
        refusal : WorkAnswer or None
            Answer for the caller if there is no slot.
        """
        self._deliver(self._queue.release_overdue(now_ms()))
        decision = self._queue.offer(work_class, deadline_ms, now_ms())
        if isinstance(decision, Refused):
            return None, _build_refusal(decision)
        if isinstance(decision, Admitted):
            return decision.ticket, None
        refusal = await self._wait(decision.ticket)
        return (decision.ticket if refusal is None else None), refusal

    def acquire_immediately(self, deadline_ms):
        """Return a ticket without waiting, for a statement of an open transaction.

        Parameters
        ----------
        deadline_ms : int
            When the caller gives up.

        Returns
        -------
        Ticket
        """
        return self._queue.admit_immediately(deadline_ms, now_ms()).ticket

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

    async def _wait(self, ticket):
        """Wait for a decision; return None if it is a slot, or else the refusal."""
        event = anyio.Event()
        result = {}
        self._waiting[ticket.ticket_id] = (event, result)
        is_decided = False
        try:
            while not is_decided and now_ms() < ticket.deadline_ms:
                pause_ms = min(self._queue.overdue_ms, ticket.deadline_ms - now_ms())
                with anyio.move_on_after(max(0, pause_ms) / 1_000):
                    await event.wait()
                is_decided = event.is_set()
                if not is_decided:
                    self._deliver(self._queue.release_overdue(now_ms()))
        finally:
            self._waiting.pop(ticket.ticket_id, None)
            has_slot = isinstance(result.get("decision"), Admitted)
            if not is_decided and not self._queue.withdraw(ticket) and has_slot:
                # The slot was granted just as the wait was cancelled or timed out.
                self.release(ticket, None)
        decision = result.get("decision")
        if is_decided and isinstance(decision, Admitted):
            return None
        if isinstance(decision, Refused):
            return _build_refusal(decision)
        return WorkAnswer(
            Outcome.BUSY,
            Reach.NOT_SENT,
            "no slot became free in time",
            retry_after_ms=RETRY_AFTER_STALL_MS,
        )

    def _deliver(self, decisions):
        """Pass the queue's decisions to the waiting statements and wake them."""
        for decision in decisions:
            waiting = self._waiting.get(decision.ticket.ticket_id)
            if waiting is None:
                if isinstance(decision, Admitted):
                    self.release(decision.ticket, None)
                continue
            event, result = waiting
            result["decision"] = decision
            event.set()


def _build_refusal(decision):
    return WorkAnswer(
        Outcome.BUSY,
        Reach.NOT_SENT,
        decision.reason,
        retry_after_ms=decision.retry_after_ms,
    )
