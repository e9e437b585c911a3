"""Open connections to one database under permits, and pool them.

Every connection holds a permit, a named lock at the database itself, so that the
connections of all nodes together stay within its limit whatever they believe of
each other. The lock ends with the connection.
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
SLACK_CONNECTIONS = 2
MAX_CONTROL_CONNECTIONS = 6
IDLE_CHECK_AFTER_MS = 2_000
SILENT_AFTER_MS = 1_000
ER_CON_COUNT = 1040


class PermitRange(NamedTuple):
    """Numbers of the named locks that a use of connections may take.

    Parameters
    ----------
    first : int
        First number.
    count : int
        How many numbers.
    """

    first: int
    count: int


class PermitPlan(NamedTuple):
    """How a database's connections are divided.

    Parameters
    ----------
    work : PermitRange
        Connections that run callers' statements.
    control : PermitRange
        Connections that watch and sample.
    """

    work: PermitRange
    control: PermitRange


def plan_permits(max_connections):
    """Divide a database's connections between work, control and slack.

    Parameters
    ----------
    max_connections : int
        Connections that the database accepts.

    Returns
    -------
    PermitPlan
    """
    control = min(MAX_CONTROL_CONNECTIONS, max_connections // 3)
    work = max_connections - control - SLACK_CONNECTIONS
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
            Numbers to take a permit from; None for a short order without one.

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
            connection.permit = await self._take_permit(connection, permits)
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

    async def _take_permit(self, connection, permits):
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
    """Connections of one node to one database, used by one caller at a time.

    Parameters
    ----------
    connector : UpstreamConnector
        Opens connections.
    permits : PermitRange
        Permits for this use; their count bounds the pool.
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
        """Return how many connections are open or being opened."""
        return len(self._idle) + len(self._held) + self._opening

    @asynccontextmanager
    async def lease(self):
        """Yield a connection; it returns to the pool only when provably clean.

        Yields
        ------
        UpstreamConnection
        """
        connection = await self.take()
        try:
            yield connection
        finally:
            self.give_back(connection)

    async def take(self):
        """Take a connection out of the pool, opening one if need be.

        Returns
        -------
        UpstreamConnection
        """
        while True:
            connection = await self._take_idle()
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

    def give_back(self, connection):
        """Return a connection; close it unless it is provably clean.

        Parameters
        ----------
        connection : UpstreamConnection
            What `take` returned.
        """
        self._held.discard(connection)
        if connection.is_clean and not self._is_closed:
            connection.used_at_ms = self._clock_ms()
            self._idle.append(connection)
        else:
            self.discarded_total += 1
            connection.close()
        self._wake()

    def give_up_silent(self):
        """Close what has waited for an answer for long; ask idle ones before use.

        Call it when one open connection went silent while a new one works. Then the
        others have most likely been lost in the same place, and their statements
        would wait for their whole deadline.
        """
        now_ms = self._clock_ms()
        for connection in self._held:
            waits_since_ms = connection.sent_at_ms
            if waits_since_ms and now_ms - waits_since_ms >= SILENT_AFTER_MS:
                logger.info("pool: gave up on a connection that went silent.")
                connection.close()
        self.suspect_idle()

    def suspect_idle(self):
        """Ping every idle connection before its next use."""
        for connection in self._idle:
            connection.used_at_ms = 0

    def close_idle(self):
        """Close the connections that nobody uses."""
        while self._idle:
            self._idle.popleft().close()

    def close(self):
        """Close idle connections now and the others when they come back."""
        self._is_closed = True
        self.close_idle()
        self._wake()

    async def _take_idle(self):
        while self._idle:
            connection = self._idle.pop()
            self._held.add(connection)
            if self._clock_ms() - connection.used_at_ms < IDLE_CHECK_AFTER_MS:
                return connection
            try:
                await connection.ping()
                return connection
            except UpstreamUnavailableError:
                logger.info("pool: closed a connection that went silent.")
                self.give_back(connection)
                self.close_idle()
            except BaseException:
                self.give_back(connection)
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
            self._wake()
        self.opened_total += 1
        self._held.add(connection)
        return connection

    def _wake(self):
        if self._waiters:
            self._waiters.popleft().set()
