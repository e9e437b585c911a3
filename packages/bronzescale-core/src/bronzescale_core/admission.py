"""Control how many statements run on one database at a time.

A statement that finds no free slot waits in a bounded queue, earliest deadline first,
or is refused with a time after which a retry makes sense.
"""

import heapq
from collections import deque
from enum import IntEnum
from typing import NamedTuple

# Estimate that is used until statements have been timed. It is low, so that no
# statement is refused because of an estimate.
DEFAULT_SERVICE_TIME_MS = 5.0
# Weight of the newest statement in the moving average, which thus follows about the
# last twenty statements and hardly changes with a single slow one.
SERVICE_TIME_WEIGHT = 0.05
# A caller that retries earlier would find the same backlog.
MIN_RETRY_AFTER_MS = 50
# After this many writes in a row a waiting read gets the next slot, so that writes
# cannot starve reads.
MAX_CONSECUTIVE_WRITES = 3
# A statement is overdue if it has held its slot for this many average service times
# while statements that started later were answered: the database has lost the
# statement or its answer.
OVERDUE_SERVICE_TIMES = 5.0
# Number of later statements that must have been answered by then; a single one may be
# faster by chance.
MIN_OVERTAKING_STATEMENTS = 2
# Bounds the overdue statements that a slow database holds besides the running ones. It
# is as many per slot as losing a fifth of the answers for one second leaves behind.
MAX_OVERDUE_PER_SLOT = 4
# Lower bound of the time after which a statement is overdue. In known workloads, the
# longest statements usually take 60 ms, and a few of them 300 ms.
MIN_OVERDUE_MS = 100.0
# Share of the time until a statement's deadline that it may spend in the queue. Smaller
# shares do not serve more statements, see docs/design/partial-failures.md.
MAX_WAIT_SHARE = 1.0


class WorkClass(IntEnum):
    """Class of a statement; both classes share the slots."""

    READ = 0
    WRITE = 1


class Ticket(NamedTuple):
    """Request of one statement for a slot.

    Parameters
    ----------
    ticket_id : int
        Unique within the queue.
    work_class : WorkClass
        Read or write.
    deadline_ms : int
        When the caller stops waiting for the answer, on this node's clock.
    """

    ticket_id: int
    work_class: WorkClass
    deadline_ms: int


class Admitted(NamedTuple):
    """The ticket holds a slot and may run now."""

    ticket: Ticket


class Refused(NamedTuple):
    """The ticket was not run and will not be run.

    Parameters
    ----------
    ticket : Ticket
        The refused ticket.
    retry_after_ms : int
        Estimated time until the backlog ahead of it has drained.
    reason : str
        Why it was refused, for the caller and the log.
    wait_ms : float
        Wait that it would have had.
    ahead_ms : float
        Expected work ahead of it; 0 if the queue does not estimate work.
    """

    ticket: Ticket
    retry_after_ms: int
    reason: str
    wait_ms: float = 0.0
    ahead_ms: float = 0.0


class Queued(NamedTuple):
    """The ticket waits for a slot."""

    ticket: Ticket


class _Running:
    """A ticket that holds a slot."""

    def __init__(self, started_at_ms, start_number):
        self.started_at_ms = started_at_ms
        self.start_number = start_number
        self.overtaking_count = 0


class SlotTable:
    """Tickets that hold the slots of one database, and the overdue ones among them.

    Parameters
    ----------
    slots : int
        Statements that the database runs concurrently.
    """

    def __init__(self, slots):
        self.slots = slots
        self.service_time_ms = DEFAULT_SERVICE_TIME_MS
        self._running = {}
        self._overdue = set()
        self._started_total = 0
        self._next_id = 1

    @property
    def running(self):
        """Return how many tickets hold a slot."""
        return len(self._running)

    @property
    def has_free_slot(self):
        """Return whether a slot is free."""
        return len(self._running) < self.slots

    @property
    def overdue_ms(self):
        """Return how long a statement may hold its slot before it is overdue."""
        return max(MIN_OVERDUE_MS, OVERDUE_SERVICE_TIMES * self.service_time_ms)

    def create_ticket(self, work_class, deadline_ms):
        """Return a new ticket, which holds no slot yet."""
        ticket = Ticket(self._next_id, work_class, deadline_ms)
        self._next_id += 1
        return ticket

    def start(self, ticket, now_ms):
        """Give a slot to a ticket."""
        self._started_total += 1
        self._running[ticket.ticket_id] = _Running(now_ms, self._started_total)

    def release_overdue(self, now_ms):
        """Release the slots of overdue tickets; return whether any was overdue."""
        limit_ms = now_ms - self.overdue_ms
        overdue = [
            ticket_id
            for ticket_id, running in self._running.items()
            if running.started_at_ms < limit_ms
            and running.overtaking_count >= MIN_OVERTAKING_STATEMENTS
        ]
        max_releases = self.slots * MAX_OVERDUE_PER_SLOT - len(self._overdue)
        for ticket_id in overdue[:max_releases]:
            del self._running[ticket_id]
            self._overdue.add(ticket_id)
        return bool(overdue)

    def finish(self, ticket, held_ms):
        """Release the slot of a ticket.

        Parameters
        ----------
        ticket : Ticket
            The ticket.
        held_ms : float or None
            How long it held the slot; None if it got no answer.
        """
        running = self._running.pop(ticket.ticket_id, None)
        self._overdue.discard(ticket.ticket_id)
        if held_ms is not None:
            self._count_overtaking(running)
            change_ms = held_ms - self.service_time_ms
            self.service_time_ms += SERVICE_TIME_WEIGHT * change_ms

    def _count_overtaking(self, finished):
        """Count a finished statement for each running one that started before it."""
        for running in self._running.values():
            if finished is not None and running.start_number < finished.start_number:
                running.overtaking_count += 1


class SlotUser:
    """Base of the queues in front of one slot table.

    Parameters
    ----------
    table : SlotTable
        Slots of the database, perhaps with running tickets of another queue.
    """

    def __init__(self, table):
        self._table = table

    @property
    def running(self):
        """Return how many tickets hold a slot."""
        return self._table.running

    @property
    def service_time_ms(self):
        """Return the moving average of the time that a statement holds a slot."""
        return self._table.service_time_ms

    @property
    def overdue_ms(self):
        """Return how long a statement may hold its slot before it is overdue."""
        return self._table.overdue_ms


class _ClassQueue:
    """Tickets of one work class, earliest deadline first."""

    def __init__(self):
        self._heap = []
        self._discarded = set()
        self._waiting = {}

    def __len__(self):
        return len(self._waiting)

    def push(self, ticket):
        heapq.heappush(self._heap, (ticket.deadline_ms, ticket.ticket_id, ticket))
        self._waiting[ticket.ticket_id] = ticket

    def discard(self, ticket_id):
        return self._waiting.pop(ticket_id, None) is not None

    def peek(self):
        while self._heap and self._heap[0][2].ticket_id not in self._waiting:
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None

    def pop(self):
        ticket = self.peek()
        if ticket is not None:
            heapq.heappop(self._heap)
            del self._waiting[ticket.ticket_id]
        return ticket

    def count_before(self, deadline_ms):
        """Return how many waiting tickets have this deadline or an earlier one."""
        return sum(t.deadline_ms <= deadline_ms for t in self._waiting.values())


class AdmissionQueue(SlotUser):
    """Bounded queue in front of the slots of one database.

    Writes and reads have separate queues. A free slot goes to a write first, and to a
    read after `MAX_CONSECUTIVE_WRITES` writes in a row, so that neither starves.

    Parameters
    ----------
    slots : int
        Statements that the database runs concurrently.
    max_queued : int
        Maximum number of waiting tickets of both classes together.
    max_wait_share : float
        Share of the time until a ticket's deadline that it may wait.
    table : SlotTable or None
        Slots with running tickets, taken over from another queue; None for free slots.

    Notes
    -----
    A ticket that cannot start in time, judged by the measured service time, is refused
    when it arrives rather than when its deadline passes. An overdue ticket no longer
    counts as running, so that a few lost answers do not block the other statements. The
    number of overdue tickets is bounded, because a database that is merely slow must
    not be sent more and more statements.
    """

    def __init__(self, slots, max_queued, max_wait_share=MAX_WAIT_SHARE, *, table=None):
        super().__init__(SlotTable(slots) if table is None else table)
        self._max_queued = max_queued
        self._max_wait_share = max_wait_share
        self._queues = {work_class: _ClassQueue() for work_class in WorkClass}
        self._consecutive_writes = 0
        self.refused_total = 0

    @property
    def queued(self):
        """Return how many tickets are waiting."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def slots(self):
        """Return how many slots the database has."""
        return self._table.slots

    def offer(self, work_class, deadline_ms, now_ms):
        """Admit, queue or refuse a statement.

        Parameters
        ----------
        work_class : WorkClass
            Read or write.
        deadline_ms : int
            When its caller stops waiting for the answer.
        now_ms : int
            Time of arrival on the same clock.

        Returns
        -------
        Admitted, Queued or Refused
        """
        ticket = self._table.create_ticket(work_class, deadline_ms)
        if self._table.has_free_slot and not self.queued:
            return self._admit(ticket, now_ms)
        wait_ms = self._expected_wait_ms(ticket)
        if self.queued >= self._max_queued:
            return self._refuse(ticket, wait_ms, "the queue is full")
        longest_wait_ms = self._max_wait_share * (deadline_ms - now_ms)
        if wait_ms + self.service_time_ms > longest_wait_ms:
            return self._refuse(ticket, wait_ms, "it cannot start before its deadline")
        self._queues[work_class].push(ticket)
        return Queued(ticket)

    def admit_immediately(self, deadline_ms, now_ms):
        """Admit a statement of an open transaction, even if no slot is free.

        Parameters
        ----------
        deadline_ms : int
            When its caller stops waiting for the answer.
        now_ms : int
            Current time.

        Returns
        -------
        Admitted

        Notes
        -----
        The statements that hold the slots may be waiting for a lock of this
        transaction. If it had to wait for a slot, none of them could proceed.
        """
        ticket = self._table.create_ticket(WorkClass.WRITE, deadline_ms)
        self._table.start(ticket, now_ms)
        return Admitted(ticket)

    def adopt(self, ticket, request, now_ms):
        """Let a ticket wait here that waited in another queue of the same slots."""
        self._queues[ticket.work_class].push(ticket)

    def release_overdue(self, now_ms):
        """Release the slots of overdue statements and admit waiting ones.

        Parameters
        ----------
        now_ms : int
            Current time.

        Returns
        -------
        list of Admitted or Refused
            Decisions on waiting tickets.
        """
        is_released = self._table.release_overdue(now_ms)
        return self.fill_slots(now_ms) if is_released else []

    def finish(self, ticket, held_ms, now_ms):
        """Release a slot and give it to the next waiting ticket.

        Parameters
        ----------
        ticket : Ticket
            The ticket that held the slot.
        held_ms : float or None
            How long it held the slot. None leaves the average service time
            unchanged; pass it for a statement that got no answer.
        now_ms : int
            Current time.

        Returns
        -------
        list of Admitted or Refused
            Decisions on waiting tickets.
        """
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
        return self._queues[ticket.work_class].discard(ticket.ticket_id)

    def fill_slots(self, now_ms):
        """Give free slots to waiting tickets.

        Parameters
        ----------
        now_ms : int
            Current time.

        Returns
        -------
        list of Admitted or Refused
            Decisions on waiting tickets.
        """
        decisions = deque()
        while self._table.has_free_slot:
            ticket = self._pop_next()
            if ticket is None:
                break
            if ticket.deadline_ms <= now_ms:
                decisions.append(self._refuse(ticket, 0, "its deadline has passed"))
                continue
            decisions.append(self._admit(ticket, now_ms))
        return list(decisions)

    def _pop_next(self):
        reads = self._queues[WorkClass.READ]
        writes = self._queues[WorkClass.WRITE]
        is_turn_of_reads = self._consecutive_writes >= MAX_CONSECUTIVE_WRITES
        if len(writes) and not (len(reads) and is_turn_of_reads):
            return writes.pop()
        return reads.pop()

    def _admit(self, ticket, now_ms):
        is_write = ticket.work_class is WorkClass.WRITE
        self._consecutive_writes = self._consecutive_writes + 1 if is_write else 0
        self._table.start(ticket, now_ms)
        return Admitted(ticket)

    def _refuse(self, ticket, wait_ms, reason):
        self.refused_total += 1
        return Refused(ticket, max(MIN_RETRY_AFTER_MS, int(wait_ms)), reason)

    def _expected_wait_ms(self, ticket):
        ahead = self._queues[ticket.work_class].count_before(ticket.deadline_ms)
        if ticket.work_class is WorkClass.READ:
            ahead += len(self._queues[WorkClass.WRITE])
        return (ahead + 1) * self.service_time_ms / self.slots
