"""Pool the connections to one database, shared by the sessions of each customer."""

import anyio

from bronzescale_core.connection_budget import (
    ConnectionAction,
    ConnectionBudget,
)
from bronzescale_core.work import Outcome
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import UpstreamUnavailableError
from bronzescale_proxy.fleet.upstream import open_connection

# Databases close connections that are idle for 60 s; closing them earlier here avoids
# using one that is about to be closed.
IDLE_CLOSE_MS = 45_000
# How often idle connections are checked for their age.
EXPIRY_CHECK_INTERVAL_MS = 1_000


class _Turn:
    """Place of a statement among those that wait for a connection."""

    def __init__(self):
        self._event = anyio.Event()

    def wake(self):
        self._event.set()

    async def wait(self, pause_ms):
        """Wait to be woken, or for the end of a pause; 0 for no pause."""
        with anyio.move_on_after(pause_ms / 1_000 if pause_ms else None):
            await self._event.wait()
        self._event = anyio.Event()


class _Opening:
    """A connection that is being opened for a statement."""

    def __init__(self):
        self.is_done = anyio.Event()
        self.is_abandoned = False
        self.connection = None
        self.error = None


class ConnectionPool:
    """Connections to one database, idle or in use.

    Parameters
    ----------
    copy : Copy
        The database.
    codec : LineCodec
        The line protocol.
    metrics : FleetMetrics
        Counts connections that are opened and closed.
    log : DecisionLog
        Log of this node.
    start_task : callable
        Starts a task that outlives a statement which gives up.
    """

    def __init__(self, copy, codec, metrics, log, start_task):
        self._copy = copy
        self._codec = codec
        self._metrics = metrics
        self._log = log
        self._start_task = start_task
        self._budget = ConnectionBudget(max_opening=max(1, copy.slots))
        self._is_closed = False
        self._expiry_checked_at_ms = 0

    @property
    def size(self):
        """Return how many connections are open or being opened."""
        return self._budget.size

    @property
    def in_use(self):
        """Return how many connections are in use or being opened."""
        return self._budget.in_use

    def counts(self):
        """Return the number of open connections of each customer."""
        return self._budget.counts()

    async def acquire(self, values, name, customer="", max_open=0):
        """Return a connection, preferably one that already holds the session's state.

        Parameters
        ----------
        values : tuple of (str, str)
            Session values that the statement needs.
        name : str
            Name of the prepared statement that it needs; empty for none.
        customer : str
            Customer that the connection must belong to; empty for none.
        max_open : int
            Connections that may be open; 0 for no limit.

        Returns
        -------
        UpstreamConnection

        Raises
        ------
        UpstreamUnavailableError
            If none is idle and a new one cannot be opened.
        """
        self._close_expired()
        budget = self._budget
        budget.max_open = max_open
        decision = None
        if not budget.has_waiting:
            decision = budget.decide(customer, now_ms())
        while True:
            if decision is None or decision.action is ConnectionAction.WAIT:
                decision = await self._wait_for_turn(customer)
            try:
                return await self._carry_out(decision, customer, values, name)
            except UpstreamUnavailableError as error:
                # Others fill the database. What is open here can be replaced, once the
                # database has noticed which connections were closed.
                if not (_is_full(error) and max_open and budget.size):
                    raise
                decision = None

    async def _wait_for_turn(self, customer):
        """Wait until a statement can get a connection; the longest waiting goes first.

        The caller limits the wait to the statement's deadline.
        """
        budget = self._budget
        turn = _Turn()
        budget.enqueue(turn)
        try:
            while True:
                if budget.first_waiting is turn:
                    decision = budget.decide(customer, now_ms())
                    if decision.action is not ConnectionAction.WAIT:
                        return decision
                await turn.wait(budget.pause_ms(now_ms()))
        finally:
            budget.leave(turn)
            self._wake_first()

    def _wake_first(self):
        turn = self._budget.first_waiting
        if turn is not None:
            turn.wake()

    async def _carry_out(self, decision, customer, values, name):
        if decision.action is ConnectionAction.REUSE:
            return self._reuse(customer, values, name)
        if decision.action is ConnectionAction.REPLACE:
            self._log.log_decision(
                "connection_replaced",
                upstream=self._copy.instance,
                customer=customer,
                closed=decision.victim.customer,
                open=self.size,
            )
            self._close_idle(decision.victim, "replaced")
        return await self._open_new(customer, decision.action.value)

    def _reuse(self, customer, values, name):
        best = max(
            self._budget.idle(customer),
            key=lambda connection: (
                connection.values == values,
                not connection.values,
                not name or name in connection.prepared,
                connection.used_at_ms,
            ),
        )
        self._budget.take(customer, best, now_ms())
        return best

    async def add_idle(self):
        """Open a connection of no customer and add it to the idle ones.

        Raises
        ------
        UpstreamUnavailableError
            If it cannot be opened.
        """
        self.release(await self._open_new("", "warm_up"))

    async def _open_new(self, customer, reason):
        """Open a connection; one whose statement gives up meanwhile is kept as idle.

        A database that is busy greets late. Were the attempt given up together with the
        statement, the next statement would begin anew, and no connection would ever be
        opened while the database spends its slots on greetings.
        """
        self._budget.begin_open(customer, now_ms())
        opening = _Opening()
        self._start_task(self._open, opening, customer, reason)
        try:
            await opening.is_done.wait()
        except BaseException:
            opening.is_abandoned = True
            if opening.connection is not None:
                self.release(opening.connection)
            raise
        if opening.error is not None:
            raise opening.error
        return opening.connection

    async def _open(self, opening, customer, reason):
        budget = self._budget
        try:
            opening.connection = await self._connect(customer, reason)
        except UpstreamUnavailableError as error:
            if _is_full(error):
                budget.record_full(now_ms())
                self._log.log_decision(
                    "connections_full", upstream=self._copy.instance, open=self.size
                )
            opening.error = error
        finally:
            budget.finish_open(customer, opening.connection is not None)
            opening.is_done.set()
            self._wake_first()
        if opening.is_abandoned and opening.connection is not None:
            self.release(opening.connection)

    async def _connect(self, customer, reason):
        if self._is_closed:
            raise UpstreamUnavailableError(
                f"{self._copy.instance} has left", is_sent=False
            )
        connection = await open_connection(self._copy, self._codec, customer=customer)
        self._metrics.count_connection(self._copy.service)
        self._metrics.count_pool_change("opened", reason)
        return connection

    def release(self, connection):
        """Return a connection to the pool; one in an unknown state is closed."""
        if connection.is_usable and not self._is_closed:
            self._budget.release(connection.customer, connection, now_ms())
        else:
            reason = "pool_closed" if connection.is_usable else "unusable"
            self._budget.drop(connection.customer)
            connection.close()
            self._metrics.count_pool_change("closed", reason)
        self._wake_first()

    def close_idle(self):
        """Close the idle connections."""
        for connection in self._budget.all_idle():
            self._close_idle(connection, "pool_closed")

    def _close_idle(self, connection, reason):
        self._budget.remove_idle(connection.customer, connection)
        connection.close()
        self._metrics.count_pool_change("closed", reason)

    def close(self):
        """Close idle connections now and the others when they are released."""
        self._is_closed = True
        self.close_idle()

    def _close_expired(self):
        now = now_ms()
        if now < self._expiry_checked_at_ms + EXPIRY_CHECK_INTERVAL_MS:
            return
        self._expiry_checked_at_ms = now
        self.close_unused(now - IDLE_CLOSE_MS, "expired")

    def close_unused(self, since_ms, reason):
        """Close the idle connections that were last used before a time.

        Parameters
        ----------
        since_ms : int
            The time.
        reason : str
            Why they are closed, for the metrics.
        """
        for connection in self._budget.all_idle():
            if connection.used_at_ms < since_ms:
                self._close_idle(connection, reason)


def _is_full(error):
    """Return whether a database refused a connection because it has too many."""
    return getattr(error, "outcome", None) is Outcome.TOO_MANY
