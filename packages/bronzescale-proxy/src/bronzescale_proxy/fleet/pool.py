"""Share a database's connections between sessions."""

import anyio

from bronzescale_core.work import Outcome
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import UpstreamUnavailableError
from bronzescale_proxy.fleet.upstream import open_connection

# Databases close connections that rest for a minute; drop them somewhat earlier.
IDLE_CLOSE_MS = 45_000
# A database that is full is asked for another connection this seldom.
FULL_PAUSE_MS = 150


class ConnectionPool:
    """Idle and lent connections to one database.

    Parameters
    ----------
    copy : Copy
        The database.
    codec : LineCodec
        The line protocol.
    metrics : FleetMetrics
        Counts new connections.
    """

    def __init__(self, copy, codec, metrics):
        self._copy = copy
        self._codec = codec
        self._metrics = metrics
        self._idle = []
        self.lent = 0
        self._is_closed = False
        self._full_until_ms = 0
        self._returned = anyio.Event()

    @property
    def size(self):
        """Return how many connections are open or being opened."""
        return len(self._idle) + self.lent

    async def acquire(self, values, name):
        """Lend a connection, the one whose state fits best.

        Parameters
        ----------
        values : tuple of (str, str)
            Session values that the statement needs.
        name : str
            Prepared statement that it needs.

        Returns
        -------
        UpstreamConnection
        """
        self._discard_old()
        if self._idle:
            best = max(
                self._idle,
                key=lambda link: (
                    link.values == values,
                    not link.values,
                    not name or name in link.prepared,
                    link.used_at_ms,
                ),
            )
            self._idle.remove(best)
            self.lent += 1
            return best
        if now_ms() < self._full_until_ms:
            return await self._wait_for_link(values, name)
        return await self._open()

    async def _wait_for_link(self, values, name):
        """Wait for a connection to come back; the database accepts no more now."""
        while now_ms() < self._full_until_ms and not self._idle:
            event = self._returned
            with anyio.move_on_after((self._full_until_ms - now_ms()) / 1_000):
                await event.wait()
        return await self.acquire(values, name)

    async def add_idle(self):
        """Open a connection and keep it for later."""
        self.release(await self._open())

    async def _open(self):
        if self._is_closed:
            raise UpstreamUnavailableError(
                f"{self._copy.instance} has left", is_sent=False
            )
        self.lent += 1
        try:
            link = await open_connection(self._copy, self._codec)
        except UpstreamUnavailableError as error:
            self.lent -= 1
            if getattr(error, "outcome", None) is Outcome.TOO_MANY:
                self._full_until_ms = now_ms() + FULL_PAUSE_MS
            raise
        except BaseException:
            self.lent -= 1
            raise
        self._metrics.count_connection(self._copy.service)
        return link

    def release(self, link):
        """Take a connection back; one in an unknown state is closed."""
        self.lent -= 1
        if link.is_usable and not self._is_closed:
            self._idle.append(link)
            self._returned.set()
            self._returned = anyio.Event()
        else:
            link.close()

    def close_idle(self):
        """Close the connections that nobody uses."""
        idle, self._idle = self._idle, []
        for link in idle:
            link.close()

    def close(self):
        """Close idle connections now and the others when they come back."""
        self._is_closed = True
        self.close_idle()

    def _discard_old(self):
        limit_ms = now_ms() - IDLE_CLOSE_MS
        old = [link for link in self._idle if link.used_at_ms < limit_ms]
        for link in old:
            self._idle.remove(link)
            link.close()
