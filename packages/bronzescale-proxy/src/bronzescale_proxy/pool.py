"""Open connections to one database under permits, and pool them.

Every pooled connection holds a permit: a named lock in the database itself. The
connections of all nodes together therefore stay within its limit, even while the
nodes disagree about who owns the database. Closing the connection frees the lock.
"""

import logging
from collections import deque
from contextlib import asynccontextmanager
from typing import NamedTuple

import anyio
from asyncmy import errors as asyncmy_errors
from asyncmy.connection import Connection as AsyncmyConnection

from bronzescale_proxy.exceptions import (
    PermitUnavailableError,
    UpstreamUnavailableError,
)
from bronzescale_proxy.upstream import UpstreamConnection

logger = logging.getLogger("bronzescale.pool")

CONNECT_TIMEOUT_S = 1.0
RESERVED_CONNECTIONS = 2
MAX_CONTROL_CONNECTIONS = 6
# A connection that was idle for longer may have been lost, so it is pinged before use.
PING_AFTER_IDLE_MS = 2_000
# Answers outstanding for longer count as lost once a new connection works.
SILENCE_TIMEOUT_MS = 1_000
ER_CON_COUNT = 1040


class PermitRange(NamedTuple):
    """Range of the permit numbers for one purpose.

    Parameters
    ----------
    first : int
        First number.
    count : int
        How many numbers there are.
    """

    first: int
    count: int


class PermitPlan(NamedTuple):
    """Division of a database's connections by purpose.

    Parameters
    ----------
    work : PermitRange
        Connections that run callers' statements.
    control : PermitRange
        Connections that poll status and log positions.
    """

    work: PermitRange
    control: PermitRange


def plan_permits(max_connections):
    """Divide a database's connections between work, control and a reserve.

    The reserve is for connections that hold no permit.

    Parameters
    ----------
    max_connections : int
        Connections that the database accepts.

    Returns
    -------
    PermitPlan
    """
    control = min(MAX_CONTROL_CONNECTIONS, max_connections // 3)
    work = max_connections - control - RESERVED_CONNECTIONS
    return PermitPlan(PermitRange(0, work), PermitRange(work, control))


class UpstreamConnector:
    """Open connections to one database.

    Parameters
    ----------
    upstream : Upstream
        The database.
    settings : Settings
        Login and names of this node.
    """

    def __init__(self, upstream, settings):
        host, _, port = upstream.address.rpartition(":")
        self._upstream = upstream
        self._host = host
        self._port = int(port)
        self._settings = settings

    async def open(self, permits):
        """Open a connection that holds a permit of a range.

        Parameters
        ----------
        permits : PermitRange or None
            Permit numbers to choose from; None for a short-lived connection without a
            permit.

        Returns
        -------
        UpstreamConnection

        Raises
        ------
        PermitUnavailableError
            If every permit of the range is held.
        UpstreamUnavailableError
            If the database cannot be reached.
        """
        connection = UpstreamConnection(await self._connect(), -1)
        if permits is None:
            return connection
        try:
            connection.permit = await self._acquire_permit(connection, permits)
        except BaseException:
            connection.close()
            raise
        return connection

    async def _connect(self):
        raw = AsyncmyConnection(
            host=self._host,
            port=self._port,
            user=self._settings.upstream_user,
            password=self._settings.upstream_password,
            connect_timeout=CONNECT_TIMEOUT_S,
            program_name=f"bronzescale {self._settings.node} {self._settings.zone}",
            autocommit=None,
        )
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                await raw.connect()
        except (asyncmy_errors.Error, OSError, TimeoutError, RuntimeError) as error:
            raw.close()
            raise self._connect_error(error) from error
        return raw

    def _connect_error(self, error):
        text = str(error)
        name = self._upstream.name
        if isinstance(error, asyncmy_errors.Error) and error.args[:1] == (
            ER_CON_COUNT,
        ):
            return PermitUnavailableError(f"{name} has no connection free")
        cause = error.__cause__ or error.__context__ or error
        is_refused = isinstance(cause, ConnectionError) or "refused" in text.lower()
        return UpstreamUnavailableError(f"cannot connect to {name}: {text}", is_refused)

    async def _acquire_permit(self, connection, permits):
        numbers = range(permits.first, permits.first + permits.count)
        branches = " ".join(
            f"WHEN GET_LOCK('bronzescale.permit.{number}', 0) = 1 THEN {number}"
            for number in numbers
        )
        name = self._upstream.name
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                rows = await connection.run(f"SELECT CASE {branches} ELSE -1 END")
        except TimeoutError as error:
            text = f"{name} accepted a connection and then went silent"
            raise UpstreamUnavailableError(text, is_sent=False) from error
        permit = int(rows[0][0])
        if permit < 0:
            raise PermitUnavailableError(
                f"all {permits.count} connection permits of {name} are held"
            )
        return permit


class ConnectionPool:
    """Pool of one node's connections to one database.

    Each connection is used by one statement or transaction at a time.

    Parameters
    ----------
    connector : UpstreamConnector
        Opens connections.
    permits : PermitRange
        Permits of the connections; their count bounds the size of the pool.
    clock_ms : callable
        Return the current time.
    """

    def __init__(self, connector, permits, clock_ms):
        self._connector = connector
        self._permits = permits
        self._clock_ms = clock_ms
        self._idle = deque()
        self._waiters = deque()
        self._held = set()
        self._opening = 0
        self._is_closed = False
        self.opened_total = 0
        self.discarded_total = 0

    @property
    def size(self):
        """Return the number of connections that are open or being opened."""
        return len(self._idle) + len(self._held) + self._opening

    @asynccontextmanager
    async def connection(self):
        """Yield a connection and release it afterwards.

        Yields
        ------
        UpstreamConnection
        """
        connection = await self.acquire()
        try:
            yield connection
        finally:
            self.release(connection)

    async def acquire(self):
        """Return an idle connection, or open one; wait while the pool is full.

        Returns
        -------
        UpstreamConnection

        Raises
        ------
        PermitUnavailableError
            If other nodes hold the permits that a new connection would need.
        UpstreamUnavailableError
            If the database cannot be reached, or the pool is closed.
        """
        while True:
            connection = await self._acquire_idle()
            if connection is not None:
                return connection
            if self.size < self._permits.count:
                return await self._open()
            event = anyio.Event()
            self._waiters.append(event)
            try:
                await event.wait()
            finally:
                if event in self._waiters:
                    self._waiters.remove(event)

    def release(self, connection):
        """Return a connection to the pool, or close it.

        A connection whose last answer was not read to its end is closed, because the
        rest could be taken for the answer of the next statement.

        Parameters
        ----------
        connection : UpstreamConnection
            Connection that `acquire` returned.
        """
        self._held.discard(connection)
        if connection.is_clean and not self._is_closed:
            connection.used_at_ms = self._clock_ms()
            self._idle.append(connection)
        else:
            self.discarded_total += 1
            connection.close()
        self._wake_waiter()

    def discard_silent(self):
        """Close connections whose answer is overdue; ping idle ones before use.

        Call it when an open connection went silent although a new one works. Then the
        others have most likely been lost in the same place, and their statements
        would wait for their whole deadline.
        """
        now_ms = self._clock_ms()
        for connection in self._held:
            waiting_since_ms = connection.sent_at_ms
            if waiting_since_ms and now_ms - waiting_since_ms >= SILENCE_TIMEOUT_MS:
                logger.info("pool: closed a connection that stopped answering.")
                connection.close()
        self.mark_idle_stale()

    def mark_idle_stale(self):
        """Ping every idle connection before its next use."""
        for connection in self._idle:
            connection.used_at_ms = 0

    def close_idle(self):
        """Close the idle connections."""
        while self._idle:
            self._idle.popleft().close()

    def close(self):
        """Close idle connections now and the others when they are released."""
        self._is_closed = True
        self.close_idle()
        self._wake_waiter()

    async def _acquire_idle(self):
        while self._idle:
            connection = self._idle.pop()
            self._held.add(connection)
            if self._clock_ms() - connection.used_at_ms < PING_AFTER_IDLE_MS:
                return connection
            try:
                await connection.ping()
                return connection
            except UpstreamUnavailableError:
                logger.info("pool: closed a connection that did not answer a ping.")
                self.release(connection)
                self.close_idle()
            except BaseException:
                self.release(connection)
                raise
        return None

    async def _open(self):
        if self._is_closed:
            raise UpstreamUnavailableError("the pool is closed")
        self._opening += 1
        try:
            connection = await self._connector.open(self._permits)
        finally:
            self._opening -= 1
            self._wake_waiter()
        self.opened_total += 1
        self._held.add(connection)
        return connection

    def _wake_waiter(self):
        if self._waiters:
            self._waiters.popleft().set()
