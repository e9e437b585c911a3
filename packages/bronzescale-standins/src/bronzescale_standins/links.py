"""Forward TCP connections between zones with simulated delays and partitions.

The forwarders also count the bytes that cross between each pair of zones.
"""

import logging
import time
from collections import Counter

import anyio

logger = logging.getLogger("standins.links")

CHUNK_BYTES = 64 * 1024


class LinkTable:
    """Delays, partitions and byte counts between zones, shared by all forwarders.

    Parameters
    ----------
    one_way_ms : dict
        One-way delay between two zones, keyed by a frozenset of both.
    """

    def __init__(self, one_way_ms):
        self.one_way_ms = one_way_ms
        self.cuts = set()
        self.byte_counts = Counter()
        self.healed = anyio.Event()

    def cut(self, pairs):
        """Replace the partitions between zones; an empty set ends all of them.

        Parameters
        ----------
        pairs : set of frozenset
            Pairs of zones that cannot reach each other.
        """
        self.cuts = set(pairs)
        self.healed.set()
        self.healed = anyio.Event()

    def delay_s(self, pair):
        """Return the one-way delay of a pair of zones in seconds."""
        return self.one_way_ms.get(pair, 0.0) / 1_000


class Forwarder:
    """Listener that forwards connections from one zone to a target in another zone.

    Parameters
    ----------
    table : LinkTable
        Delays and partitions.
    from_zone, to_zone : str
        Zones of the client and of the target.
    target : str
        IP address and port of the listener to connect to.
    """

    def __init__(self, table, from_zone, to_zone, target):
        self._table = table
        self._pair = frozenset((from_zone, to_zone))
        self._target = target
        self._listener = None
        self.address = ""

    async def listen(self):
        """Listen on a free port."""
        self._listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = self._listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f"127.0.0.1:{port}"

    async def run(self):
        """Forward until cancelled."""
        async with self._listener:
            await self._listener.serve(self._forward)

    async def _forward(self, stream):
        await self._wait_until_healed()
        host, _, port = self._target.rpartition(":")
        try:
            target_stream = await anyio.connect_tcp(host, int(port))
        except OSError:
            await anyio.aclose_forcefully(stream)
            return
        async with stream, target_stream:
            async with anyio.create_task_group() as tasks:
                for source, sink in ((stream, target_stream), (target_stream, stream)):
                    send, receive = anyio.create_memory_object_stream(1_000)
                    tasks.start_soon(
                        self._receive_chunks, source, send, tasks.cancel_scope
                    )
                    tasks.start_soon(
                        self._send_chunks, sink, receive, tasks.cancel_scope
                    )

    async def _receive_chunks(self, source, send, scope):
        async with send:
            try:
                while True:
                    data = await source.receive(CHUNK_BYTES)
                    due_s = time.monotonic() + self._table.delay_s(self._pair)
                    self._table.byte_counts[self._pair] += len(data)
                    await send.send((due_s, data))
            except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
                await anyio.sleep(self._table.delay_s(self._pair))
                scope.cancel()

    async def _send_chunks(self, sink, receive, scope):
        async with receive:
            async for due_s, data in receive:
                wait_s = due_s - time.monotonic()
                if wait_s > 0:
                    await anyio.sleep(wait_s)
                await self._wait_until_healed()
                try:
                    await sink.send(data)
                except (anyio.BrokenResourceError, OSError):
                    scope.cancel()

    async def _wait_until_healed(self):
        while self._pair in self._table.cuts:
            await self._table.healed.wait()
