"""Let statements wait until they may open a transaction at one database."""

import anyio

from bronzescale_core.transaction_room import TransactionRoom
from bronzescale_proxy.clock import now_ms


class _Place:
    """Room for one transaction, from before it is opened until it ends."""

    def __init__(self, gate):
        self._gate = gate
        self._is_kept = False
        self.entered_at_ms = now_ms()

    def keep_for(self, transaction_id):
        """Keep the place until a transaction ends."""
        self._is_kept = True
        self._gate.keep(transaction_id, self)

    def leave_unless_kept(self):
        """Give the place up if no transaction was opened."""
        if not self._is_kept:
            self._gate.give_up()


class TransactionGate:
    """Gate to the connections of one database that transactions hold.

    Parameters
    ----------
    slots : int
        Statements that the database runs concurrently.
    """

    def __init__(self, slots):
        self._room = TransactionRoom(slots)
        self._events = {}
        self._connections = 0
        self._open_count = 0
        self._kept = {}

    @property
    def waiting(self):
        """Return how many statements wait to open a transaction."""
        return self._room.waiting

    async def enter(self, work, connections):
        """Wait for room for a transaction.

        Parameters
        ----------
        work : Work
            Statement that opens the transaction.
        connections : int
            Connections that the database accepts.

        Returns
        -------
        place : _Place or None
            None if there is no room before the statement's deadline.
        wait_ms : float
            Expected wait; 0 if there was room at once.
        """
        self._connections = connections
        started_ms = now_ms()
        number, wait_ms = self._room.offer(
            work.priority, work.deadline_ms, self._open_count, connections, started_ms
        )
        if number is None:
            return (None, wait_ms) if wait_ms else (self._open_place(), 0.0)
        event = self._events[number] = anyio.Event()
        has_entered = False
        try:
            with anyio.move_on_after((work.deadline_ms - started_ms) / 1_000):
                await event.wait()
                has_entered = True
        finally:
            del self._events[number]
            if not has_entered:
                self._room.withdraw(number)
                if event.is_set():
                    # Admitted just as the wait was cancelled or timed out.
                    self._open_count -= 1
                    self._admit()
        return (_Place(self) if has_entered else None), wait_ms

    def keep(self, transaction_id, place):
        """Keep a place until a transaction ends."""
        self._kept[transaction_id] = place

    def leave(self, transaction_id):
        """Give up the place of a transaction that has ended, if it has one."""
        place = self._kept.pop(transaction_id, None)
        if place is not None:
            self._room.record_hold(now_ms() - place.entered_at_ms)
            self.give_up()

    def give_up(self):
        """Give up a place and let the next statements in."""
        self._open_count -= 1
        self._admit()

    def _open_place(self):
        self._open_count += 1
        return _Place(self)

    def _admit(self):
        for number in self._room.admit(self._open_count, self._connections):
            self._open_count += 1
            event = self._events.get(number)
            if event is None:
                self._open_count -= 1
                continue
            event.set()
