"""Admit work to the slots of one database, ordered by deadline."""

import heapq
from collections import deque
from enum import IntEnum
from typing import NamedTuple

# Until statements have been measured; low, so that nothing is refused on a guess.
DEFAULT_SERVICE_TIME_MS = 5.0
# Some twenty statements move the smoothed time; one slow statement does not.
SERVICE_TIME_WEIGHT = 0.05
# Coming back sooner would meet the same queue.
MIN_RETRY_AFTER_MS = 50
# Then a read has its turn, so that saves cannot starve reads.
MAX_CONSECUTIVE_WRITES = 3
# A statement that holds its slot for this many usual service times, while later ones
# came and went, is overdue: the database has lost it, or its answer.
OVERDUE_FACTOR = 5.0
# One later statement may be quicker by chance.
MIN_OVERTAKEN = 2
# A fifth of the answers lost for a second leaves this many behind for each slot.
MAX_OVERDUE_PER_SLOT = 4
# The longest statements of known workloads take 60 ms, few of them 300 ms.
MIN_OVERDUE_MS = 100.0
# Share of a statement's time that it may wait. Smaller shares serve no more, see
# docs/design/partial-failures.md.
MAX_WAIT_SHARE = 1.0


class WorkClass(IntEnum):
    """Kind of work that shares the slots."""

    READ = 0
    WRITE = 1


class Ticket(NamedTuple):
    """One statement that asks for a slot.

    Parameters
    ----------
    ticket_id : int
        Unique within the queue.
    work_class : WorkClass
        Read or save.
    deadline_ms : int
        When the caller gives up, on the node's own clock.
    """

    ticket_id: int
    work_class: WorkClass
    deadline_ms: int


class Admitted(NamedTuple):
    """The ticket holds a slot and may run now."""

    ticket: Ticket


class Refused(NamedTuple):
    """The ticket did not run and will not.

    Parameters
    ----------
    ticket : Ticket
        The ticket.
    retry_after_ms : int
        When the backlog ahead of it should have drained.
    reason : str
        Why, for the caller and the log.
    """

    ticket: Ticket
    retry_after_ms: int
    reason: str


class Queued(NamedTuple):
    """The ticket waits for a slot."""

    ticket: Ticket


class _Running:
    """A ticket that holds a slot."""

    def __init__(self, started_at_ms, number):
        self.started_at_ms = started_at_ms
        self.number = number
        self.overtaken = 0


class _ClassQueue:
    """Tickets of one work class, earliest deadline first."""

    def __init__(self):
        self._heap = []
        self._gone = set()
        self._live = {}

    def __len__(self):
        return len(self._live)

    def push(self, ticket):
        heapq.heappush(self._heap, (ticket.deadline_ms, ticket.ticket_id, ticket))
        self._live[ticket.ticket_id] = ticket

    def discard(self, ticket_id):
        return self._live.pop(ticket_id, None) is not None

    def peek(self):
        while self._heap and self._heap[0][2].ticket_id not in self._live:
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None

    def pop(self):
        ticket = self.peek()
        if ticket is not None:
            heapq.heappop(self._heap)
            del self._live[ticket.ticket_id]
        return ticket

    def count_before(self, deadline_ms):
        """Return how many live tickets have an earlier deadline."""
        return sum(t.deadline_ms <= deadline_ms for t in self._live.values())


class AdmissionQueue:
    """Bounded queue in front of the slots of one database.

    Saves and reads have a queue each. A free slot goes to a save first, and to a
    read after `MAX_CONSECUTIVE_WRITES` saves in a row, so that neither starves.

    Parameters
    ----------
    slots : int
        Statements that the database runs side by side.
    max_queued : int
        Tickets that may wait, both classes together.
    max_wait_share : float
        Share of a ticket's time that it may wait.

    Notes
    -----
    The queue refuses a ticket that cannot start in time, by the measured service
    time, when it arrives and not when its deadline passes. A ticket that is overdue
    no longer counts as running, so that a few lost answers do not stop the rest. Their
    number is bounded, since a database that is merely slow must not get ever more work.
    """

    def __init__(self, slots, max_queued, max_wait_share=MAX_WAIT_SHARE):
        self._slots = slots
        self._max_queued = max_queued
        self._max_wait_share = max_wait_share
        self._queues = {work_class: _ClassQueue() for work_class in WorkClass}
        self._running = {}
        self._overdue = set()
        self._started = 0
        self._consecutive_writes = 0
        self._service_time_ms = DEFAULT_SERVICE_TIME_MS
        self._next_id = 1
        self.refused_total = 0

    @property
    def queued(self):
        """Return how many tickets wait."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def running(self):
        """Return how many tickets hold a slot."""
        return len(self._running)

    @property
    def service_time_ms(self):
        """Return the smoothed time that a statement holds a slot."""
        return self._service_time_ms

    @property
    def slots(self):
        """Return how many slots the database has."""
        return self._slots

    def offer(self, work_class, deadline_ms, now_ms):
        """Take in a statement.

        Parameters
        ----------
        work_class : WorkClass
            Read or save.
        deadline_ms : int
            When its caller gives up.
        now_ms : int
            Time of arrival on the same clock.

        Returns
        -------
        Admitted, Queued or Refused
        """
        ticket = Ticket(self._next_id, work_class, deadline_ms)
        self._next_id += 1
        if len(self._running) < self._slots and not self.queued:
            return self._admit(ticket, now_ms)
        wait_ms = self._expected_wait_ms(ticket)
        if self.queued >= self._max_queued:
            return self._refuse(ticket, wait_ms, "the queue is full")
        longest_wait_ms = self._max_wait_share * (deadline_ms - now_ms)
        if wait_ms + self._service_time_ms > longest_wait_ms:
            return self._refuse(ticket, wait_ms, "it cannot start before its deadline")
        self._queues[work_class].push(ticket)
        return Queued(ticket)

    def admit_immediately(self, deadline_ms, now_ms):
        """Admit a statement of an open transaction, also past the slots.

        Parameters
        ----------
        deadline_ms : int
            When its caller gives up.
        now_ms : int
            Current time.

        Returns
        -------
        Admitted

        Notes
        -----
        The statements that hold the slots may wait for a lock of this transaction,
        so making it wait for a slot could stop them all.
        """
        ticket = Ticket(self._next_id, WorkClass.WRITE, deadline_ms)
        self._next_id += 1
        self._start(ticket, now_ms)
        return Admitted(ticket)

    def _start(self, ticket, now_ms):
        self._started += 1
        self._running[ticket.ticket_id] = _Running(now_ms, self._started)

    @property
    def overdue_ms(self):
        """Return how long a statement may hold its slot."""
        return max(MIN_OVERDUE_MS, OVERDUE_FACTOR * self._service_time_ms)

    def release_overdue(self, now_ms):
        """Take the slots of statements that hold them for too long.

        Parameters
        ----------
        now_ms : int
            Current time.

        Returns
        -------
        list of Admitted or Refused
            What the free slots allow.
        """
        limit_ms = now_ms - self.overdue_ms
        overdue = [
            ticket_id
            for ticket_id, each in self._running.items()
            if each.started_at_ms < limit_ms and each.overtaken >= MIN_OVERTAKEN
        ]
        room = self._slots * MAX_OVERDUE_PER_SLOT - len(self._overdue)
        for ticket_id in overdue[:room]:
            del self._running[ticket_id]
            self._overdue.add(ticket_id)
        return self._fill(now_ms) if overdue else []

    def finish(self, ticket, held_ms, now_ms):
        """Give a slot back and hand it to whoever is next.

        Parameters
        ----------
        ticket : Ticket
            The ticket that held the slot.
        held_ms : float or None
            How long; None leaves the smoothed service time as it is, as for a
            statement without an answer.
        now_ms : int
            Current time.

        Returns
        -------
        list of Admitted or Refused
        """
        running = self._running.pop(ticket.ticket_id, None)
        self._overdue.discard(ticket.ticket_id)
        if held_ms is not None:
            self._count_overtaken(running)
            change_ms = held_ms - self._service_time_ms
            self._service_time_ms += SERVICE_TIME_WEIGHT * change_ms
        return self._fill(now_ms)

    def _count_overtaken(self, finished):
        """Note which statements began before one that the database has answered."""
        for each in self._running.values():
            if finished is not None and each.number < finished.number:
                each.overtaken += 1

    def withdraw(self, ticket):
        """Drop a waiting ticket whose caller has gone.

        Parameters
        ----------
        ticket : Ticket
            The ticket.

        Returns
        -------
        bool
            Whether it still waited.
        """
        return self._queues[ticket.work_class].discard(ticket.ticket_id)

    def _fill(self, now_ms):
        decisions = deque()
        while len(self._running) < self._slots:
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
        self._start(ticket, now_ms)
        return Admitted(ticket)

    def _refuse(self, ticket, wait_ms, reason):
        self.refused_total += 1
        return Refused(ticket, max(MIN_RETRY_AFTER_MS, int(wait_ms)), reason)

    def _expected_wait_ms(self, ticket):
        ahead = self._queues[ticket.work_class].count_before(ticket.deadline_ms)
        if ticket.work_class is WorkClass.READ:
            ahead += len(self._queues[WorkClass.WRITE])
        return (ahead + 1) * self._service_time_ms / self._slots
