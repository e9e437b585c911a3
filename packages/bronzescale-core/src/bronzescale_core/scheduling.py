"""Order the statements that wait for one database, and refuse what comes too late.

Load answered: routes of different urgency and customers of very uneven size compete for
a few slots, at up to several times the capacity. Urgent statements go first, customers
share the room, and statements that cannot be answered in time are refused at once.
"""

import heapq

from bronzescale_core.admission import (
    MIN_RETRY_AFTER_MS,
    Admitted,
    Queued,
    Refused,
    SlotTable,
    SlotUser,
    WorkClass,
)
from bronzescale_core.fair_queue import Waiting
from bronzescale_core.priority_levels import PriorityLevels
from bronzescale_core.scheduling_rules import RefusalReason, Rules
from bronzescale_core.work_estimates import WorkEstimates

# Pause between two searches for waiting statements that can no longer be answered.
SWEEP_INTERVAL_MS = 50
# Customers that the state dump lists.
MAX_LISTED_CUSTOMERS = 5


class Scheduler(SlotUser):
    """Bounded queue in front of the slots of one database.

    The order is: priority of the route, priority of the customer, statements that can
    run nowhere else; then fair shares between customers; then, for each customer, what
    is due first.

    Parameters
    ----------
    max_queued : int
        Maximum number of waiting statements.
    table : SlotTable
        Slots of the database, perhaps taken over from another queue.
    rules : Rules
        Rules to apply.
    """

    def __init__(self, max_queued, table: SlotTable, rules=None):
        self._max_queued = max_queued
        super().__init__(table)
        self._rules = Rules() if rules is None else rules
        self._estimates = WorkEstimates()
        self._levels = PriorityLevels(table.slots, self._rules)
        self._waiting = {}
        self._deadlines = []
        self._kinds = {}
        self._swept_at_ms = 0
        self._decisions = []

    @property
    def queued(self):
        """Return how many statements wait."""
        return len(self._waiting)

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
            Decisions on other statements that follow from it are returned by the next
            call of `fill_slots`.
        """
        if not self._rules.keeps_target:
            request = request._replace(target_at_ms=request.deadline_ms)
        ticket = self._table.create_ticket(request.ticket_class, request.deadline_ms)
        work = self._estimate(request.kind)
        waiting = Waiting(ticket, request, work, now_ms)
        self._expire(now_ms)
        if self._table.has_free_slot and not self._waiting:
            self._levels.record_start(waiting, now_ms)
            return self._admit(waiting, now_ms)
        ahead_ms, wait_ms = self._expect(waiting, now_ms)
        if self._starts_too_late(waiting, now_ms + wait_ms):
            return self._refuse(waiting, RefusalReason.LATE, wait_ms, ahead_ms)
        if self.queued >= self._max_queued and not self._displace(waiting, now_ms):
            return self._refuse(waiting, RefusalReason.FULL, wait_ms, ahead_ms)
        self._push(waiting)
        return Queued(ticket)

    def admit_immediately(self, deadline_ms, now_ms, kind=None):
        """Admit a statement of an open transaction, even if no slot is free.

        Statements that hold the slots may be waiting for a lock of this transaction.

        Parameters
        ----------
        deadline_ms : int
            When its caller stops waiting for the answer.
        now_ms : int
            Current time.
        kind : hashable
            Route and kind of the statement.

        Returns
        -------
        Admitted
        """
        ticket = self._table.create_ticket(WorkClass.WRITE, deadline_ms)
        self._kinds[ticket.ticket_id] = kind
        self._table.start(ticket, now_ms)
        return Admitted(ticket)

    def adopt(self, ticket, request, now_ms):
        """Let a ticket wait here that waited in another queue of the same slots."""
        work = self._estimate(request.kind)
        self._push(Waiting(ticket, request, work, now_ms))

    def release_overdue(self, now_ms):
        """Release the slots of overdue statements and decide on waiting ones.

        Parameters
        ----------
        now_ms : int
            Current time.

        Returns
        -------
        list of Admitted or Refused
            Decisions on waiting tickets.
        """
        self._table.release_overdue(now_ms)
        return self.fill_slots(now_ms)

    def finish(self, ticket, held_ms, now_ms):
        """Release a slot and give it to the next waiting ticket.

        Parameters
        ----------
        ticket : Ticket
            The ticket that held the slot.
        held_ms : float or None
            How long it held the slot; None for a statement that got no answer, from
            which nothing is learned.
        now_ms : int
            Current time.

        Returns
        -------
        list of Admitted or Refused
            Decisions on waiting tickets.
        """
        kind = self._kinds.pop(ticket.ticket_id, None)
        if held_ms is not None:
            self._estimates.record(kind, held_ms)
        self._table.finish(ticket, held_ms)
        return self.fill_slots(now_ms)

    def withdraw(self, ticket):
        """Remove a waiting ticket whose caller no longer waits for it.

        Parameters
        ----------
        ticket : Ticket
            The ticket.

        Returns
        -------
        bool
            Whether the ticket was still waiting.
        """
        waiting = self._waiting.get(ticket.ticket_id)
        if waiting is None:
            return False
        self._remove(waiting)
        return True

    def fill_slots(self, now_ms):
        """Give free slots to waiting tickets; refuse those that come too late.

        Parameters
        ----------
        now_ms : int
            Current time.

        Returns
        -------
        list of Admitted or Refused
            Decisions on waiting tickets.
        """
        self._expire(now_ms)
        if now_ms - self._swept_at_ms >= SWEEP_INTERVAL_MS:
            self._swept_at_ms = now_ms
            self._sweep(now_ms)
        while self._waiting and self._table.has_free_slot:
            waiting, is_out_of_turn = self._levels.next()
            has_others = self._rules.skips_hopeless and self.queued > 1
            if has_others and now_ms > waiting.start_by_ms:
                self._give_up(waiting, RefusalReason.LATE, now_ms)
                continue
            del self._waiting[waiting.ticket.ticket_id]
            self._levels.start(waiting, is_out_of_turn, now_ms)
            self._decisions.append(self._admit(waiting, now_ms))
        decisions, self._decisions = self._decisions, []
        return decisions

    def waits_ms(self, priorities, now_ms):
        """Return the expected wait of a statement that arrives now, by priority.

        Parameters
        ----------
        priorities : int
            Number of priorities.
        now_ms : int
            Current time.

        Returns
        -------
        tuple of int
            Waits in ms of a customer of whom nothing waits, from priority 0.
        """
        if not self._waiting and self._table.has_free_slot:
            return (0,) * priorities
        work_ms = self.service_time_ms
        return tuple(
            int(
                self._levels.expect_newcomer_ms(priority, work_ms, now_ms)
                + self._first_slot_ms()
            )
            for priority in range(priorities)
        )

    def snapshot(self):
        """Return the queue by priority and the largest customers, for operators."""
        by_priority, by_customer = self._levels.snapshot()
        largest = sorted(by_customer.items(), key=lambda item: -item[1])
        return {
            "waiting": {
                priority: {"statements": count, "work_ms": round(work_ms)}
                for priority, (count, work_ms) in sorted(by_priority.items())
            },
            "customers": [
                {"customer": name, "work_ms": round(work_ms)}
                for name, work_ms in largest[:MAX_LISTED_CUSTOMERS]
            ],
        }

    # Waiting statements

    def _push(self, waiting):
        self._levels.push(waiting)
        self._waiting[waiting.ticket.ticket_id] = waiting
        deadline = waiting.ticket.deadline_ms, waiting.ticket.ticket_id
        heapq.heappush(self._deadlines, deadline)

    def _remove(self, waiting):
        del self._waiting[waiting.ticket.ticket_id]
        self._levels.remove(waiting)

    def _give_up(self, waiting, reason, now_ms):
        self._remove(waiting)
        ahead_ms, wait_ms = self._expect(waiting, now_ms)
        refused = self._refuse(waiting, reason, wait_ms, ahead_ms)
        self._decisions.append(refused)

    def _expire(self, now_ms):
        """Refuse the statements whose deadline has passed."""
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, ticket_id = heapq.heappop(self._deadlines)
            waiting = self._waiting.get(ticket_id)
            if waiting is not None:
                self._give_up(waiting, RefusalReason.EXPIRED, now_ms)

    def _sweep(self, now_ms):
        """Refuse the statements that more urgent ones keep from an answer in time."""
        if not self._rules.skips_hopeless or self.queued < 2:
            return
        slots = self._table.slots
        for urgent_ms, statements in list(self._levels.in_order()):
            own_ms = 0.0
            for waiting in statements:
                wait_ms = self._levels.wait_ms(urgent_ms, own_ms, slots)
                if now_ms + wait_ms > waiting.start_by_ms:
                    self._give_up(waiting, RefusalReason.DISPLACED, now_ms)
                else:
                    own_ms += waiting.work.mean_ms

    def _displace(self, newcomer, now_ms):
        """Refuse the least urgent statement for a more urgent one.

        Returns
        -------
        bool
            Whether there is a place for the newcomer now.
        """
        if not self._rules.displaces:
            return False
        last = self._levels.find_last(newcomer.request)
        if last is not None:
            self._give_up(last, RefusalReason.DISPLACED, now_ms)
        return last is not None

    # Expectations

    def _estimate(self, kind):
        return self._estimates.estimate(kind if self._rules.learns_kinds else None)

    def _first_slot_ms(self):
        return self.service_time_ms / self._table.slots

    def _expect(self, waiting, now_ms):
        """Return the work ahead of a statement and its expected wait, in ms."""
        ahead_ms, wait_ms = self._levels.expect(waiting, now_ms)
        return ahead_ms, wait_ms + self._first_slot_ms()

    def _starts_too_late(self, waiting, starts_at_ms):
        is_late = starts_at_ms + waiting.work.mean_ms > waiting.due_ms
        return is_late or starts_at_ms > waiting.start_by_ms

    # Decisions

    def _admit(self, waiting, now_ms):
        self._kinds[waiting.ticket.ticket_id] = waiting.request.kind
        self._table.start(waiting.ticket, now_ms)
        return Admitted(waiting.ticket)

    def _refuse(self, waiting, reason, wait_ms, ahead_ms):
        retry_after_ms = max(MIN_RETRY_AFTER_MS, int(wait_ms))
        return Refused(waiting.ticket, retry_after_ms, reason.value, wait_ms, ahead_ms)
