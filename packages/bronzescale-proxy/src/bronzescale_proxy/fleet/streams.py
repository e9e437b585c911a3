"""Open, accept and read TCP streams with bounds on silence and size."""

import socket

import anyio
from anyio.abc import SocketAttribute, SocketListener

from bronzescale_core.exceptions import BronzescaleError

# The kernel gives up on unacknowledged data after this time.
USER_TIMEOUT_MS = 2_500
# A resting connection to a database that went silent is noticed within 3 s.
UPSTREAM_KEEPALIVE_S = 1
# Requests notice a silent node by themselves; this only frees what it left behind.
PEER_KEEPALIVE_S = 15
# Thousands of sessions rest; each probe costs a packet both ways, and a dead caller
# holds nothing but memory, since its transactions end by their own limit.
CALLER_KEEPALIVE_S = 30
# One lost packet is no silence.
KEEPALIVE_PROBES = 2
# All callers of a host may come back in the second after its restart.
ACCEPT_BACKLOG = 1_024
# As much as the kernel usually holds for a stream.
READ_BYTES = 65_536


class LineTooLongError(BronzescaleError):
    """The other side sent a line past the limit; close the connection."""


def split_address(address):
    """Return host and port of ``A.B.C.D:PORT``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def bind_listener(address):
    """Return a bound, listening socket for ``A.B.C.D:PORT``."""
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    raw.setblocking(False)
    raw.bind(split_address(address))
    raw.listen(ACCEPT_BACKLOG)
    return raw


async def wrap_listener(raw):
    """Return an anyio listener for a listening socket."""
    return await SocketListener.from_socket(raw)


async def connect_stream(address, timeout_s):
    """Open a stream whose silence the kernel notices.

    Parameters
    ----------
    address : str
        IP number and port.
    timeout_s : float
        How long to try.

    Raises
    ------
    OSError
        If it cannot be opened; TimeoutError if the host is silent.
    """
    host, port = split_address(address)
    with anyio.fail_after(timeout_s):
        stream = await anyio.connect_tcp(host, port)
    tune_stream(stream, UPSTREAM_KEEPALIVE_S)
    return stream


def tune_stream(stream, keepalive_s):
    """Set the bounds on silence.

    Parameters
    ----------
    stream : anyio.abc.SocketStream
        The stream.
    keepalive_s : int
        Pause before and between probes of a resting connection.
    """
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, keepalive_s)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, keepalive_s)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class LineReader:
    """Split a stream into lines.

    Parameters
    ----------
    stream : anyio.abc.ByteStream
        The stream.
    terminator : bytes
        What ends a line.
    max_line_bytes : int
        Longest line that is taken.
    """

    def __init__(self, stream, terminator, max_line_bytes):
        self._stream = stream
        self._terminator = terminator
        self._max_line_bytes = max_line_bytes
        self._buffer = bytearray()
        self._scanned = 0

    @property
    def has_partial_line(self):
        """Return whether part of a line has arrived."""
        return bool(self._buffer)

    async def receive_line(self):
        """Return the next line without its terminator.

        Raises
        ------
        LineTooLongError
            If the line is longer than allowed.
        anyio.EndOfStream
            If the stream ended.
        """
        while True:
            end = self._buffer.find(self._terminator, self._scanned)
            if end >= 0:
                if end > self._max_line_bytes:
                    raise LineTooLongError(f"a line of {end} bytes")
                line = bytes(self._buffer[:end])
                del self._buffer[: end + len(self._terminator)]
                self._scanned = 0
                return line
            if len(self._buffer) > self._max_line_bytes:
                raise LineTooLongError(f"a line of over {len(self._buffer)} bytes")
            self._scanned = max(0, len(self._buffer) - len(self._terminator) + 1)
            self._buffer += await self._stream.receive(READ_BYTES)
