"""Decide which connections to one database are reused, opened and closed.

A connection belongs to one customer for its life, since the database is told the
customer when it is opened. The load that this answers: 80 to 88 customers, a few of
them large, share the 46 to 82 connections that a database accepts from all hosts, and
each new connection takes 12 ms and one of the database's slots.

Without customers, every connection belongs to the customer ``""``: an idle one is
reused, otherwise one is opened, and the number is not limited here.
"""

from collections import Counter, deque
from enum import Enum
from typing import NamedTuple

# Pause in opening connections after the database refused one because it has too many.
# Without it, each statement would ask the full database again.
FULL_RETRY_DELAY_MS = 150
# Time in which past demand loses half of its weight. Customers come back after seconds,
# and their load changes within minutes.
DEMAND_HALF_LIFE_MS = 30_000
# Demand below this is forgotten, so that customers that left hold no memory.
MIN_DEMAND = 0.01
DEMAND_SWEEP_INTERVAL_MS = 10_000
# Connections of the hosts that probe the database or ask for its position: the owners
# of the copies of its service, and a host that replaces one of them.
CONTROL_RESERVE = 6


class ConnectionAction(Enum):
    """What to do for a statement that needs a connection."""

    REUSE = "reuse"
    OPEN = "open"
    REPLACE = "replace"
    WAIT = "wait"


class ConnectionDecision(NamedTuple):
    """A decision for one statement.

    Parameters
    ----------
    action : ConnectionAction
        What to do.
    victim : object or None
        Idle connection to close first; only for ``REPLACE``.
    """

    action: ConnectionAction
    victim: object = None


def connection_cap(max_connections, slots):
    """Return how many connections the owner of a database may open for customers.

    The rest is left for control connections, and for a new owner: until the previous
    one has closed its idle connections, it needs one for each slot.

    Parameters
    ----------
    max_connections : int
        Connections that the database accepts from all hosts; 0 for no limit.
    slots : int
        Statements that the database runs concurrently.

    Returns
    -------
    int
        0 for no limit.
    """
    if not max_connections:
        return 0
    least = max(1, min(slots, max_connections))
    return max(least, max_connections - CONTROL_RESERVE - slots)


class _Demand:
    """How often a customer lately needed its first, second and further connection."""

    def __init__(self):
        self._counts = []
        self._updated_at_ms = 0

    def add(self, depth, now_ms):
        """Count a statement that needed the connection of a depth, from 0."""
        self._decay(now_ms)
        self._counts += [0.0] * (depth + 1 - len(self._counts))
        self._counts[depth] += 1

    def beyond(self, depth, now_ms):
        """Return the weight of statements that needed a depth or a greater one."""
        self._decay(now_ms)
        return sum(self._counts[depth:])

    def _decay(self, now_ms):
        if now_ms > self._updated_at_ms:
            share = 0.5 ** ((now_ms - self._updated_at_ms) / DEMAND_HALF_LIFE_MS)
            self._counts = [count * share for count in self._counts]
            self._updated_at_ms = now_ms


class ConnectionBudget:
    """Connections to one database by customer, and the statements that wait for one.

    Connections are opaque here; the caller opens and closes them as decided.

    Parameters
    ----------
    max_opening : int
        Connections that may be opened at the same time; 0 for no limit.
    """

    def __init__(self, max_opening=0):
        self.max_opening = max_opening
        self.max_open = 0
        self._opening = 0
        self._in_use = Counter()
        self._in_use_count = 0
        # Connections of each customer with their times of release, oldest first.
        self._idle = {}
        self._idle_count = 0
        self._demand = {}
        self._demand_swept_at_ms = 0
        self._waiting = deque()
        self._full_until_ms = 0

    @property
    def in_use(self):
        """Return how many connections are in use or being opened."""
        return self._in_use_count

    @property
    def size(self):
        """Return how many connections are open or being opened."""
        return self._idle_count + self._in_use_count

    def idle(self, customer):
        """Return the idle connections of a customer, most recently used last."""
        return [connection for _, connection in self._idle.get(customer, ())]

    def all_idle(self):
        """Return every idle connection."""
        return [
            connection
            for connections in self._idle.values()
            for _, connection in connections
        ]

    def counts(self):
        """Return the number of connections of each customer, idle or in use."""
        counts = Counter({name: len(idle) for name, idle in self._idle.items()})
        counts.update(self._in_use)
        return counts

    def decide(self, customer, now_ms):
        """Return what to do for a statement of a customer.

        Parameters
        ----------
        customer : str
            Name of the customer; empty for none.
        now_ms : int
            Current time.

        Returns
        -------
        ConnectionDecision
        """
        if self._idle.get(customer):
            return ConnectionDecision(ConnectionAction.REUSE)
        if self.max_opening and self._opening >= self.max_opening:
            # Each of them takes a slot of the database; more would only greet later.
            return ConnectionDecision(ConnectionAction.WAIT)
        is_refused = now_ms < self._full_until_ms
        if not is_refused and not (self.max_open and self.size >= self.max_open):
            return ConnectionDecision(ConnectionAction.OPEN)
        # The database may count a closed connection for a moment longer; openings one
        # after the other keep it from refusing many of them.
        if self._idle_count and not (is_refused and self._opening):
            return ConnectionDecision(
                ConnectionAction.REPLACE, self._choose_victim(now_ms)
            )
        return ConnectionDecision(ConnectionAction.WAIT)

    def _choose_victim(self, now_ms):
        """Return the idle connection that is least likely to be used soon.

        A customer with several connections needs the last of them only while the others
        are in use. How often that happened lately tells how soon it will again; among
        equals the one that has been idle for longest goes.
        """
        self._forget_old_demand(now_ms)
        candidates = [
            (self._expected_use(customer, now_ms), *idle[0])
            for customer, idle in self._idle.items()
        ]
        return min(candidates, key=lambda candidate: candidate[:2])[2]

    def _expected_use(self, customer, now_ms):
        """Return how often a customer lately needed all of its connections at once."""
        demand = self._demand.get(customer)
        count = len(self._idle[customer]) + self._in_use[customer]
        return demand.beyond(count - 1, now_ms) if demand is not None else 0.0

    def _forget_old_demand(self, now_ms):
        if now_ms < self._demand_swept_at_ms + DEMAND_SWEEP_INTERVAL_MS:
            return
        self._demand_swept_at_ms = now_ms
        self._demand = {
            customer: demand
            for customer, demand in self._demand.items()
            if demand.beyond(0, now_ms) >= MIN_DEMAND
        }

    # Transitions

    def begin_open(self, customer, now_ms):
        """Count a connection that is being opened for a statement."""
        self._record_demand(customer, now_ms)
        self._in_use[customer] += 1
        self._in_use_count += 1
        self._opening += 1

    def finish_open(self, customer, is_open):
        """Count an attempt to open a connection as ended.

        Parameters
        ----------
        customer : str
            Customer that the connection belongs to.
        is_open : bool
            Whether the connection is open, and in use.
        """
        self._opening -= 1
        if not is_open:
            self.drop(customer)

    def record_full(self, now_ms):
        """Record that the database refused a connection because it has too many."""
        self._full_until_ms = now_ms + FULL_RETRY_DELAY_MS

    def take(self, customer, connection, now_ms):
        """Take an idle connection into use."""
        self._record_demand(customer, now_ms)
        self.remove_idle(customer, connection)
        self._in_use[customer] += 1
        self._in_use_count += 1

    def remove_idle(self, customer, connection):
        """Forget an idle connection, which the caller closes or takes into use."""
        idle = self._idle[customer]
        idle[:] = [entry for entry in idle if entry[1] is not connection]
        if not idle:
            del self._idle[customer]
        self._idle_count -= 1

    def release(self, customer, connection, now_ms):
        """Count a connection that was in use as idle."""
        self.drop(customer)
        self._idle.setdefault(customer, []).append((now_ms, connection))
        self._idle_count += 1

    def drop(self, customer):
        """Forget a connection that was in use, which the caller closes."""
        self._in_use_count -= 1
        self._in_use[customer] -= 1
        if not self._in_use[customer]:
            del self._in_use[customer]

    def _record_demand(self, customer, now_ms):
        if not self.max_open:
            return
        demand = self._demand.get(customer)
        if demand is None:
            demand = self._demand[customer] = _Demand()
        demand.add(self._in_use[customer], now_ms)

    # Waiting

    @property
    def has_waiting(self):
        """Return whether statements wait for a connection."""
        return bool(self._waiting)

    @property
    def first_waiting(self):
        """Return the statement that waits for longest; it is served next."""
        return self._waiting[0] if self._waiting else None

    def enqueue(self, statement):
        """Let a statement wait, behind those that wait already."""
        self._waiting.append(statement)

    def leave(self, statement):
        """Remove a statement that got a connection or gave up."""
        self._waiting.remove(statement)

    def pause_ms(self, now_ms):
        """Return how long the database is not asked for connections; 0 for no pause."""
        return max(0, self._full_until_ms - now_ms)
