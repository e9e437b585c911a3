"""Hand the slots of one database to statements, and wake those that wait for one."""

import anyio

from bronzescale_core.admission import AdmissionQueue, Admitted, Refused
from bronzescale_core.work import Outcome, Reach, WorkAnswer
from bronzescale_proxy.clock import now_ms

# Statements that may wait for the slots of one database.
MAX_QUEUED = 200
# When to come back if the slots did not move at all; few statements take as long.
RETRY_AFTER_STALL_MS = 300


class Slots:
    """Slots of one database at its owner.

    Parameters
    ----------
    count : int
        Statements that the database runs side by side.
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
            Read or save.
        deadline_ms : int
            When the caller gives up.

        Returns
        -------
        ticket : Ticket or None
            To be given back; None without a slot.
        refusal : WorkAnswer or None
            Why there is no slot.
        """
        self._deliver(self._queue.release_overdue(now_ms()))
        decision = self._queue.offer(work_class, deadline_ms, now_ms())
        if isinstance(decision, Refused):
            return None, _refuse(decision)
        if isinstance(decision, Admitted):
            return decision.ticket, None
        refusal = await self._wait(decision.ticket)
        return (decision.ticket if refusal is None else None), refusal

    def acquire_immediately(self, deadline_ms):
        """Return the ticket of a statement of an open transaction, which never waits.

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
        """Give a slot back.

        Parameters
        ----------
        ticket : Ticket
            What `acquire` or `acquire_immediately` returned.
        held_ms : int or None
            How long the database took; None if it did not answer.
        """
        self._deliver(self._queue.finish(ticket, held_ms, now_ms()))

    async def _wait(self, ticket):
        """Return None once the ticket has its slot, or why it gets none."""
        event = anyio.Event()
        decided = {}
        self._waiting[ticket.ticket_id] = (event, decided)
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
            has_slot = isinstance(decided.get("decision"), Admitted)
            if not is_decided and not self._queue.withdraw(ticket) and has_slot:
                # The slot was granted in the moment of giving up.
                self.release(ticket, None)
        decision = decided.get("decision")
        if is_decided and isinstance(decision, Admitted):
            return None
        if isinstance(decision, Refused):
            return _refuse(decision)
        return WorkAnswer(
            Outcome.BUSY,
            Reach.NOT_SENT,
            "no slot became free in time",
            retry_after_ms=RETRY_AFTER_STALL_MS,
        )

    def _deliver(self, decisions):
        """Tell those who wait for a slot what became of them."""
        for decision in decisions:
            waiting = self._waiting.get(decision.ticket.ticket_id)
            if waiting is None:
                if isinstance(decision, Admitted):
                    self.release(decision.ticket, None)
                continue
            event, decided = waiting
            decided["decision"] = decision
            event.set()


def _refuse(decision):
    return WorkAnswer(
        Outcome.BUSY,
        Reach.NOT_SENT,
        decision.reason,
        retry_after_ms=decision.retry_after_ms,
    )
