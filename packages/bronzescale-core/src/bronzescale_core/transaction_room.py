"""Decide which statements may open a transaction when few connections are left.

Load answered: callers that rest inside transactions. Each one holds a connection all
the while, until urgent statements find none although slots are free.
"""

import heapq
import itertools

# Weight of the newest transaction in the average time that one stays open.
NEWEST_WEIGHT = 0.1
# Priorities from this one on share one reserve.
LAST_RESERVE = 2
# A reserve takes at most this share of the connections.
MAX_RESERVE_SHARE = 0.125


class TransactionRoom:
    """Connections of one database for open transactions, the most urgent first.

    Each priority leaves a connection per slot free for single statements, and as many
    again for each more urgent priority.

    Parameters
    ----------
    slots : int
        Statements that the database runs concurrently.
    """

    def __init__(self, slots):
        self._slots = slots
        self._numbers = itertools.count(1)
        self._heap = []
        self._waiting = set()
        self._hold_ms = 0.0

    @property
    def waiting(self):
        """Return how many statements wait to open a transaction."""
        return len(self._waiting)

    def offer(self, priority, deadline_ms, open_count, connections, now_ms):
        """Decide on a statement that opens a transaction.

        Parameters
        ----------
        priority : int
            Priority of the statement; 0 is the most urgent.
        deadline_ms : int
            When its caller stops waiting for the answer.
        open_count : int
            Transactions that are open or being opened.
        connections : int
            Connections that the database accepts.
        now_ms : int
            Current time.

        Returns
        -------
        number : int or None
            Number under which it waits; None if it does not wait.
        wait_ms : float
            Expected wait; 0 if it may open the transaction now.
        """
        limit = self._limit(priority, connections)
        is_first = not self._heap or priority < self._next()[0]
        if open_count < limit and is_first:
            return None, 0.0
        ahead = sum(entry[0] <= priority for entry in self._heap)
        wait_ms = max(1.0, (ahead + 1) * self._hold_ms / max(1, limit))
        if now_ms + wait_ms > deadline_ms:
            return None, wait_ms
        number = next(self._numbers)
        self._waiting.add(number)
        heapq.heappush(self._heap, (priority, deadline_ms, number))
        return number, wait_ms

    def admit(self, open_count, connections):
        """Return the numbers of the waiting statements that may go on now."""
        admitted = []
        while self._next() is not None:
            priority, _, number = self._heap[0]
            if open_count + len(admitted) >= self._limit(priority, connections):
                break
            heapq.heappop(self._heap)
            self._waiting.discard(number)
            admitted.append(number)
        return admitted

    def withdraw(self, number):
        """Remove a statement whose caller no longer waits."""
        self._waiting.discard(number)
        self._next()

    def record_hold(self, hold_ms):
        """Record how long a transaction was open."""
        self._hold_ms += NEWEST_WEIGHT * (hold_ms - self._hold_ms)

    def _limit(self, priority, connections):
        reserve = min(self._slots, int(MAX_RESERVE_SHARE * connections))
        return max(1, connections - reserve * (1 + min(priority, LAST_RESERVE)))

    def _next(self):
        while self._heap and self._heap[0][2] not in self._waiting:
            heapq.heappop(self._heap)
        return self._heap[0] if self._heap else None
