"""TCP streams on the event loop's transports, for connections with many messages.

They behave like those of `anyio` but keep reading into a bounded buffer between two
receives and do not yield to the loop for a message that needs no wait. A message then
costs no calls to change what the loop polls for.
"""

import asyncio

import anyio
from anyio.abc import ByteStream, SocketAttribute

# Reading pauses while more than this is buffered, so that a peer that sends faster than
# its messages are handled is slowed down by the kernel.
MAX_BUFFERED_BYTES = 262_144
# A closed connection is dropped after this time if the peer does not read its rest.
CLOSE_TIMEOUT_S = 1.0


class TransportStream(asyncio.Protocol, ByteStream):
    """One TCP connection.

    Parameters
    ----------
    on_connected : callable or None
        Called with the stream once the connection is established.
    """

    def __init__(self, on_connected=None):
        self._on_connected = on_connected
        self._transport = None
        self._chunks = []
        self._buffered_bytes = 0
        self._is_reading_paused = False
        self._is_at_end = False
        self._is_closed = False
        self._error = None
        self._received = None
        self._writable = None

    # Events of the transport

    def connection_made(self, transport):
        """Start with an established connection."""
        self._transport = transport
        # A send returns once the kernel has taken the data.
        transport.set_write_buffer_limits(0)
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, data):
        """Buffer received data."""
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > MAX_BUFFERED_BYTES and not self._is_reading_paused:
            self._is_reading_paused = True
            self._transport.pause_reading()
        _wake(self._received)

    def eof_received(self):
        """Keep the connection open for writing after the peer has stopped sending."""
        self._is_at_end = True
        _wake(self._received)
        return True

    def connection_lost(self, error):
        """Wake whoever waits for the connection."""
        self._is_at_end = True
        self._error = error
        _wake(self._received)
        _wake(self._writable)

    def pause_writing(self):
        """Make senders wait."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self):
        """Let senders go on."""
        writable, self._writable = self._writable, None
        _wake(writable)

    # Interface of a byte stream

    @property
    def buffered_bytes(self):
        """Return how many bytes were received and not yet returned by `receive`."""
        return self._buffered_bytes

    async def receive(self, max_bytes=65_536):
        """Return received bytes; wait if there are none.

        Raises
        ------
        anyio.EndOfStream
            If the peer has closed the connection.
        anyio.BrokenResourceError
            If the connection broke.
        anyio.ClosedResourceError
            If the stream was closed here.
        """
        while not self._chunks:
            self._check_receivable()
            self._received = asyncio.get_running_loop().create_future()
            try:
                await self._received
            finally:
                self._received = None
        return self._take(max_bytes)

    def _check_receivable(self):
        if self._is_closed:
            raise anyio.ClosedResourceError
        if self._error is not None:
            raise anyio.BrokenResourceError from self._error
        if self._is_at_end:
            raise anyio.EndOfStream

    def _take(self, max_bytes):
        data = self._chunks[0] if len(self._chunks) == 1 else b"".join(self._chunks)
        self._chunks.clear()
        if len(data) > max_bytes:
            self._chunks.append(data[max_bytes:])
            data = data[:max_bytes]
        self._buffered_bytes -= len(data)
        if self._is_reading_paused and self._buffered_bytes <= MAX_BUFFERED_BYTES:
            self._is_reading_paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()
        return data

    async def send(self, item):
        """Send bytes; wait until the kernel has taken them.

        Raises
        ------
        anyio.BrokenResourceError
            If the connection broke.
        anyio.ClosedResourceError
            If the stream was closed here.
        """
        self._check_sendable()
        if self._writable is not None:
            await asyncio.shield(self._writable)
            self._check_sendable()
        self._transport.write(item)
        if self._writable is not None:
            await asyncio.shield(self._writable)
            self._check_sendable()

    def _check_sendable(self):
        if self._is_closed:
            raise anyio.ClosedResourceError
        if self._error is not None or self._transport.is_closing():
            raise anyio.BrokenResourceError from self._error

    async def send_eof(self):
        """Tell the peer that nothing more will be sent."""
        if not self._transport.is_closing():
            self._transport.write_eof()

    def abort(self):
        """Close the connection and drop what was not sent."""
        self._is_closed = True
        self._transport.abort()

    async def aclose(self):
        """Close the connection without waiting for the peer."""
        if self._is_closed:
            return
        self._is_closed = True
        self._transport.close()
        if self._transport.get_write_buffer_size():
            loop = asyncio.get_running_loop()
            loop.call_later(CLOSE_TIMEOUT_S, self._transport.abort)

    @property
    def extra_attributes(self):
        """Return the typed attributes of the stream."""
        return {
            SocketAttribute.raw_socket: lambda: self._transport.get_extra_info("socket")
        }


class TransportListener:
    """Accept TCP connections.

    Parameters
    ----------
    raw : socket.socket
        A bound, listening socket.
    backlog : int
        Connections that the kernel holds until they are accepted.
    """

    def __init__(self, raw, backlog):
        self._raw = raw
        self._backlog = backlog

    async def serve(self, handler, tasks):
        """Run a handler for each accepted connection until cancelled.

        Parameters
        ----------
        handler : callable
            ``async (stream)``.
        tasks : anyio.abc.TaskGroup
            Runs the handlers.
        """

        def start(stream):
            tasks.start_soon(handler, stream)

        server = await asyncio.get_running_loop().create_server(
            lambda: TransportStream(start), sock=self._raw, backlog=self._backlog
        )
        try:
            await anyio.sleep_forever()
        finally:
            server.close()

    async def aclose(self):
        """Stop accepting connections."""
        self._raw.close()


async def open_stream(host, port):
    """Open a TCP connection to an IP address.

    Returns
    -------
    TransportStream

    Raises
    ------
    OSError
        If it cannot be opened.
    """
    _, stream = await asyncio.get_running_loop().create_connection(
        TransportStream, host, port
    )
    return stream


def _wake(future):
    if future is not None and not future.done():
        future.set_result(None)
