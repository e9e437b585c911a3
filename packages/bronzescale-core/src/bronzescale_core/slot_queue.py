"""Queue statements for the slots of one database, in the order of its policy.

Statements are ordered by deadline alone, or scheduled by priority and customer while
there is a policy. What runs and waits moves along when the policy comes or goes.
"""

from bronzescale_core.admission import AdmissionQueue, Queued, SlotTable, SlotUser
from bronzescale_core.scheduling import Scheduler


class SlotQueue(SlotUser):
    """Queue in front of the slots of one database.

    Parameters
    ----------
    slots : int
        Statements that the database runs concurrently.
    max_queued : int
        Maximum number of waiting statements.
    """

    def __init__(self, slots, max_queued):
        super().__init__(SlotTable(slots))
        self._queue = AdmissionQueue(slots, max_queued, table=self._table)
        self._max_queued = max_queued
        self._waiting = {}
        self.policy = None

    @property
    def queued(self):
        """Return how many statements wait."""
        return self._queue.queued

    @property
    def is_scheduled(self):
        """Return whether statements are scheduled by priority and customer."""
        return self.policy is not None

    def set_policy(self, policy, now_ms):
        """Order statements by a policy from now on, or by deadline alone if it is None.

        Parameters
        ----------
        policy : SchedulingPolicy or None
            The policy.
        now_ms : int
            Current time.

        Returns
        -------
        list of Admitted or Refused
            Decisions on waiting statements.
        """
        was_scheduled, self.policy = self.is_scheduled, policy
        if was_scheduled == self.is_scheduled:
            return []
        table = self._table
        if self.is_scheduled:
            self._queue = Scheduler(self._max_queued, table)
        else:
            self._queue = AdmissionQueue(table.slots, self._max_queued, table=table)
        for ticket, request in self._waiting.values():
            self._queue.adopt(ticket, request, now_ms)
        return self.fill_slots(now_ms)

    def offer(self, request, now_ms):
        """Admit, queue or refuse a statement.

        Parameters
        ----------
        request : Request
            The statement.
        now_ms : int
            Time of arrival on the clock of the request's deadline.

        Returns
        -------
        Admitted, Queued or Refused
            Call `fill_slots` for decisions on other statements that follow from it.
        """
        if self.is_scheduled:
            decision = self._queue.offer(request, now_ms)
        else:
            decision = self._queue.offer(
                request.ticket_class, request.deadline_ms, now_ms
            )
        if isinstance(decision, Queued):
            self._waiting[decision.ticket.ticket_id] = decision.ticket, request
        return decision

    def admit_immediately(self, deadline_ms, now_ms, kind):
        """Admit a statement of an open transaction, even if no slot is free.

        Parameters
        ----------
        deadline_ms : int
            When its caller stops waiting for the answer.
        now_ms : int
            Current time.
        kind : hashable
            Route and kind of the statement, for the estimate of its work.

        Returns
        -------
        Admitted
        """
        if self.is_scheduled:
            return self._queue.admit_immediately(deadline_ms, now_ms, kind)
        return self._queue.admit_immediately(deadline_ms, now_ms)

    def fill_slots(self, now_ms):
        """Give free slots to waiting statements, and return the decisions."""
        return self._forget(self._queue.fill_slots(now_ms))

    def release_overdue(self, now_ms):
        """Release the slots of overdue statements, and return the decisions."""
        return self._forget(self._queue.release_overdue(now_ms))

    def finish(self, ticket, held_ms, now_ms):
        """Release the slot of a ticket, and return the decisions.

        Parameters
        ----------
        ticket : Ticket
            The ticket.
        held_ms : float or None
            How long it held the slot; None if it got no answer.
        now_ms : int
            Current time.

        Returns
        -------
        list of Admitted or Refused
        """
        return self._forget(self._queue.finish(ticket, held_ms, now_ms))

    def withdraw(self, ticket):
        """Remove a statement whose caller is gone; return whether it still waited."""
        self._waiting.pop(ticket.ticket_id, None)
        return self._queue.withdraw(ticket)

    def waits_ms(self, now_ms):
        """Return the expected wait for each priority; empty if nothing is scheduled."""
        if not self.is_scheduled:
            return ()
        return self._queue.waits_ms(self.policy.priorities, now_ms)

    def snapshot(self):
        """Return what runs and waits, as a document for operators."""
        state = {"running": self.running, "queued": self.queued}
        return state | self._queue.snapshot() if self.is_scheduled else state

    def _forget(self, decisions):
        for decision in decisions:
            self._waiting.pop(decision.ticket.ticket_id, None)
        return decisions
