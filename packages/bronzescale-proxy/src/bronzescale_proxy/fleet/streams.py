"""Open, accept and read TCP streams with keepalive and a limit on line length."""

import errno
import socket

import anyio
from anyio.abc import SocketAttribute

from bronzescale_core.exceptions import BronzescaleError
from bronzescale_proxy.fleet.transports import TransportListener, open_stream

# The kernel closes a connection whose data stays unacknowledged for longer.
USER_TIMEOUT_MS = 2_500
# With the probes below, a failed database is noticed on an idle connection within 3 s.
UPSTREAM_KEEPALIVE_S = 1
# Requests to a failed node time out on their own; keepalive only frees the resources
# of its connections.
PEER_KEEPALIVE_S = 15
# Thousands of sessions are idle, and each probe costs a packet each way. A caller that
# has failed costs only memory, since its transactions end at the idle limit.
CALLER_KEEPALIVE_S = 30
# A single lost packet must not close a connection.
KEEPALIVE_PROBES = 2
# All callers of a host may reconnect within a second after its restart.
ACCEPT_BACKLOG = 1_024
# The usual size of the kernel's receive buffer.
READ_BYTES = 65_536


# Errors of a stream whose other side has gone.
DISCONNECT_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class LineTooLongError(BronzescaleError):
    """The peer sent a line over the limit; the connection must be closed."""


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


def wrap_listener(raw):
    """Return a listener for a listening socket."""
    return TransportListener(raw, ACCEPT_BACKLOG)


async def connect_stream(address, timeout_s, keepalive_s=UPSTREAM_KEEPALIVE_S):
    """Open a stream with keepalive, so that the kernel detects a failed peer.

    Parameters
    ----------
    address : str
        IP address and port.
    timeout_s : float
        Limit for the attempt.
    keepalive_s : int
        Interval of the probes of an idle connection.

    Returns
    -------
    TransportStream

    Raises
    ------
    OSError
        If it cannot be opened; `TimeoutError` if the host does not answer.
    """
    host, port = split_address(address)
    with anyio.fail_after(timeout_s):
        stream = await open_stream(host, port)
    tune_stream(stream, keepalive_s)
    return stream


def tune_stream(stream, keepalive_s):
    """Set keepalive and the timeout for unacknowledged data.

    Parameters
    ----------
    stream : anyio.abc.ByteStream
        The stream.
    keepalive_s : int
        Interval before the first and between further probes of an idle connection.
    """
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, keepalive_s)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, keepalive_s)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def is_refused(error):
    """Return whether a connection failed because no process listens at the address."""
    cause = error
    while cause is not None:
        if isinstance(cause, ConnectionRefusedError):
            return True
        if getattr(cause, "errno", None) == errno.ECONNREFUSED:
            return True
        cause = cause.__cause__ or cause.__context__
    return False


class LineReader:
    """Split a stream into lines.

    Parameters
    ----------
    stream : anyio.abc.ByteStream
        The stream.
    terminator : bytes
        Bytes that end a line.
    max_line_bytes : int
        Length of the longest line that is accepted.
    """

    def __init__(self, stream, terminator, max_line_bytes):
        self._stream = stream
        self._terminator = terminator
        self._max_line_bytes = max_line_bytes
        self._buffer = bytearray()
        self._scanned = 0

    @property
    def has_partial_line(self):
        """Return whether anything was received that no returned line holds."""
        return bool(self._buffer) or bool(getattr(self._stream, "buffered_bytes", 0))

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
                    raise LineTooLongError(f"line of {end} bytes is over the limit")
                line = bytes(self._buffer[:end])
                del self._buffer[: end + len(self._terminator)]
                self._scanned = 0
                return line
            if len(self._buffer) > self._max_line_bytes:
                raise LineTooLongError(
                    f"line of {len(self._buffer)} bytes or more is over the limit"
                )
            self._scanned = max(0, len(self._buffer) - len(self._terminator) + 1)
            self._buffer += await self._stream.receive(READ_BYTES)
