"""Exchange Thrift frames with other proxies over TCP.

One connection carries many requests at a time. Each frame holds the number of its
request, and results are sent under credit-based flow control.
"""

import logging
from contextlib import AsyncExitStack, asynccontextmanager

import anyio

from bronzescale_core.exceptions import BronzescaleError
from bronzescale_proxy import wire
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import (
    PeerRestartedError,
    PeerUnavailableError,
    UnsendableMessageError,
)
from bronzescale_proxy.fleet.streams import (
    PEER_KEEPALIVE_S,
    connect_stream,
    tune_stream,
)

logger = logging.getLogger("bronzescale.peers")

# Bounds opening a connection to a peer, waiting for its `Hello` and sending a one-way
# message. Without it, an unreachable host would block the task until the kernel's own
# timeout.
CONNECT_TIMEOUT_S = 1.0
# Parts of a result that a peer may send ahead of credit. Without a limit, a slow caller
# would make the receiving node buffer the whole result.
WINDOW_PARTS = 8
IDLE_CLOSE_MS = 60_000
# A stopping server looks this often for requests in flight. Two looks in a row without
# any cover a request that was received but not yet handled.
DRAIN_POLL_INTERVAL_S = 0.05

# Messages that nobody waits for: an error of theirs costs the connection's requests
# nothing.
_ONE_WAY_MESSAGES = (wire.Objects, wire.EndTransaction)


class FrameStream:
    """Send and receive frames over one TCP stream, and count their bytes.

    Parameters
    ----------
    stream : anyio.abc.ByteStream
        The stream.
    counter : callable
        Called with ``(direction, message, size_bytes)`` for each frame.
    """

    def __init__(self, stream, counter):
        self._stream = stream
        self._buffer = bytearray()
        self._lock = anyio.Lock(fast_acquire=True)
        self._counter = counter

    async def send(self, request_id, message):
        """Send one message.

        Parameters
        ----------
        request_id : int
            Request that the message belongs to.
        message : NamedTuple
            The message.

        Raises
        ------
        UnsendableMessageError
            If the message holds a value that has no place in a frame.
        """
        try:
            frame = wire.encode(request_id, message, now_ms())
        except Exception as error:
            # The encoders of the codec raise errors of many types.
            name = type(message).__name__
            logger.exception("peers: a %s cannot be encoded.", name)
            raise UnsendableMessageError(
                f"a {name} cannot be encoded: {error!r}; report it with the log"
            ) from error
        self._counter("sent", message, len(frame))
        async with self._lock:
            await self._stream.send(frame)

    async def receive(self):
        """Return the next message.

        Returns
        -------
        request_id : int
        message : NamedTuple or None

        Raises
        ------
        PeerUnavailableError
            If the stream ended, or a frame is too large or malformed.
        """
        try:
            header = await self._receive_exactly(wire.HEADER.size)
            (size_bytes,) = wire.HEADER.unpack(header)
            if size_bytes > wire.MAX_FRAME_BYTES:
                raise PeerUnavailableError("a peer sent an oversize frame", True)
            payload = await self._receive_exactly(size_bytes)
        except (anyio.EndOfStream, OSError) as error:
            raise PeerUnavailableError("the peer closed the stream", True) from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise PeerUnavailableError("the stream to the peer broke", True) from error
        try:
            request_id, message = wire.decode(payload, now_ms())
        except Exception as error:
            # The decoders of the codec raise errors of many types.
            logger.warning("peers: a frame cannot be decoded: %r.", error)
            raise PeerUnavailableError("a peer sent a malformed frame", True) from error
        self._counter("received", message, size_bytes + wire.HEADER.size)
        return request_id, message

    async def _receive_exactly(self, size_bytes):
        while len(self._buffer) < size_bytes:
            self._buffer += await self._stream.receive()
        data = bytes(self._buffer[:size_bytes])
        del self._buffer[:size_bytes]
        return data

    async def aclose(self):
        """Close the stream."""
        await anyio.aclose_forcefully(self._stream)


class PeerClientConnection:
    """Client side of a connection to one peer, shared by many requests.

    Parameters
    ----------
    frames : FrameStream
        The open stream.
    name : str
        Name of the peer.
    incarnation : int
        Incarnation of the peer's process.
    """

    def __init__(self, frames, name, incarnation):
        self._frames = frames
        self._name = name
        self.incarnation = incarnation
        self._answer_streams = {}
        self._next_id = 1
        self.is_open = True
        self.used_at_ms = now_ms()
        # When the newest frame of the peer arrived, whichever request it answers.
        self.received_at_ms = now_ms()

    async def receive_answers(self):
        """Route incoming messages to their requests until the stream ends."""
        try:
            while True:
                request_id, message = await self._frames.receive()
                self.received_at_ms = now_ms()
                answers = self._answer_streams.get(request_id)
                if answers is not None and message is not None:
                    answers.send_nowait(message)
        except PeerUnavailableError as error:
            logger.debug("peers: the connection to %s ended: %s.", self._name, error)
        except anyio.WouldBlock:
            logger.warning("peers: %s sends past its credit.", self._name)
        finally:
            self.is_open = False
            for answers in list(self._answer_streams.values()):
                answers.close()
            with anyio.CancelScope(shield=True):
                await self._frames.aclose()

    @asynccontextmanager
    async def request(self, message):
        """Send a request and yield the exchange that receives its answers.

        A request that is left before its answer is complete is cancelled at the peer.

        Parameters
        ----------
        message : NamedTuple
            The message that opens the request.

        Yields
        ------
        PeerExchange
        """
        request_id = self._next_id
        self._next_id += 1
        self.used_at_ms = now_ms()
        answers, received = anyio.create_memory_object_stream(WINDOW_PARTS + 4)
        self._answer_streams[request_id] = answers
        exchange = PeerExchange(self, self._frames, request_id, received)
        try:
            await self._send_opening_message(request_id, message)
            yield exchange
        finally:
            self._answer_streams.pop(request_id, None)
            answers.close()
            received.close()
            if not exchange.is_finished and self.is_open:
                await self._cancel(request_id)

    async def _send_opening_message(self, request_id, message):
        if not self.is_open:
            raise PeerUnavailableError(f"the stream to {self._name} is closed", False)
        try:
            await self._frames.send(request_id, message)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise PeerUnavailableError(f"sending to {self._name} failed", True) from (
                error
            )

    async def _cancel(self, request_id):
        with anyio.move_on_after(1, shield=True):
            try:
                await self._frames.send(request_id, wire.Cancel(is_caller_gone=True))
            except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                self.is_open = False


class PeerExchange:
    """One request in flight, with its stream of answers."""

    def __init__(self, connection, frames, request_id, received):
        self._connection = connection
        self._frames = frames
        self._request_id = request_id
        self._received = received
        self.is_finished = False

    async def receive(self):
        """Return the next message of the answer.

        Returns
        -------
        NamedTuple

        Raises
        ------
        PeerUnavailableError
            If the connection ended before the message arrived.
        """
        try:
            return await self._received.receive()
        except (anyio.EndOfStream, anyio.ClosedResourceError) as error:
            raise PeerUnavailableError("the peer was lost in mid-answer", True) from (
                error
            )

    async def grant_credit(self, parts):
        """Grant the peer credit to send more parts.

        Parameters
        ----------
        parts : int
            Number of parts.
        """
        await self._frames.send(self._request_id, wire.Credit(parts))

    def finish(self):
        """Mark the answer as complete, so that the request is not cancelled."""
        self.is_finished = True


class PeerClient:
    """Connections to other proxies, opened on first use.

    Parameters
    ----------
    task_group : anyio.abc.TaskGroup
        Runs the receive loop of each connection.
    counter : callable
        Called with ``(direction, message, size_bytes)`` for each frame.
    """

    def __init__(self, task_group, counter):
        self._task_group = task_group
        self._counter = counter
        self._connections = {}
        self._locks = {}

    async def connect(self, node, incarnation=None):
        """Return an open connection to a node.

        Parameters
        ----------
        node : Node
            The other proxy.
        incarnation : int or None
            Incarnation of the process that must answer; None for any.

        Returns
        -------
        PeerClientConnection

        Raises
        ------
        PeerRestartedError
            If another process of the node answers.
        PeerUnavailableError
            If the node cannot be reached.
        """
        connection = self._connections.get(node.address)
        if connection is None or not connection.is_open:
            connection = await self._reconnect(node)
        if incarnation not in (None, connection.incarnation):
            raise PeerRestartedError(f"{node.name} has started again", False)
        return connection

    async def _reconnect(self, node):
        async with self._locks.setdefault(node.address, anyio.Lock()):
            connection = self._connections.get(node.address)
            if connection is None or not connection.is_open:
                connection = await self._open(node)
                self._connections[node.address] = connection
        return connection

    def incarnation(self, node):
        """Return the incarnation of the process that answers for a node.

        Parameters
        ----------
        node : Node
            The other proxy.

        Returns
        -------
        int or None
            None if no connection to it was opened yet.
        """
        connection = self._connections.get(node.address)
        return None if connection is None else connection.incarnation

    def discard(self, node):
        """Stop using the connection to a node; the next request opens a new one.

        Parameters
        ----------
        node : Node
            The other proxy.
        """
        connection = self._connections.pop(node.address, None)
        if connection is not None:
            connection.is_open = False

    def has_heard_since(self, node, since_ms):
        """Return whether a node has sent anything since a time.

        A node with much to do may answer one request late while it answers others.
        That is no sign that it failed.

        Parameters
        ----------
        node : Node
            The other proxy.
        since_ms : int
            The time.

        Returns
        -------
        bool
            False also if the connection to it has ended.
        """
        connection = self._connections.get(node.address)
        if connection is None or not connection.is_open:
            return False
        return connection.received_at_ms >= since_ms

    async def request(self, node, message, timeout_s, incarnation=None):
        """Send a request and return its single answer.

        Parameters
        ----------
        node : Node
            The other proxy.
        message : NamedTuple
            The request.
        timeout_s : float
            Time limit for connecting, sending and receiving the answer.
        incarnation : int or None
            Incarnation of the process that must answer; None for any.

        Returns
        -------
        NamedTuple

        Raises
        ------
        PeerRestartedError
            If another process of the node answers.
        PeerUnavailableError
            If the node did not answer in time.
        """
        try:
            with anyio.fail_after(timeout_s):
                connection = await self.connect(node, incarnation)
                async with connection.request(message) as exchange:
                    answer = await exchange.receive()
                    exchange.finish()
                    return answer
        except TimeoutError as error:
            raise PeerUnavailableError(
                f"{node.name} did not answer in time", True
            ) from error
        except BronzescaleError:
            raise
        except Exception as error:
            raise _unexpected(node, error, is_sent=True) from error

    async def send_one_way(self, node, message, incarnation=None):
        """Send a message that has no answer; it may be lost, which must do no harm.

        Parameters
        ----------
        node : Node
            The other proxy.
        message : NamedTuple
            The message.
        incarnation : int or None
            Incarnation of the process that the message is for; None for any.
        """
        try:
            with anyio.move_on_after(CONNECT_TIMEOUT_S):
                connection = await self.connect(node, incarnation)
                async with connection.request(message) as exchange:
                    exchange.finish()
        except PeerUnavailableError:
            logger.debug("peers: could not send a message to %s.", node.name)
        except Exception as error:
            _unexpected(node, error, is_sent=True)

    async def _open(self, node):
        try:
            stream = await connect_stream(
                node.address, CONNECT_TIMEOUT_S, PEER_KEEPALIVE_S
            )
        except (OSError, TimeoutError) as error:
            raise PeerUnavailableError(
                f"cannot connect to {node.name} at {node.address}", False
            ) from error
        except Exception as error:
            raise _unexpected(node, error, is_sent=False) from error
        frames = FrameStream(stream, self._counter)
        try:
            hello = await self._check_hello(node, frames)
        except BaseException:
            await frames.aclose()
            raise
        connection = PeerClientConnection(frames, node.name, hello.incarnation)
        self._task_group.start_soon(connection.receive_answers)
        return connection

    async def _check_hello(self, node, frames):
        """Check the peer's `Hello` before any statement is sent.

        After a restart, another node may listen at an address that is still on record.
        """
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                _, hello = await frames.receive()
        except (PeerUnavailableError, TimeoutError) as error:
            raise PeerUnavailableError(
                f"{node.name} does not greet at {node.address}", False
            ) from error
        is_expected = isinstance(hello, wire.Hello) and node.name in ("", hello.node)
        if not is_expected:
            raise PeerUnavailableError(
                f"another node answers at {node.address} of {node.name}", False
            )
        return hello


def _unexpected(node, error, is_sent):
    """Return the error of a peer that is taken as unavailable, and log its cause.

    Whatever made the call fail, the peer cannot be used for it.
    """
    logger.error("peers: asking %s failed unexpectedly.", node.name, exc_info=error)
    return PeerUnavailableError(
        f"asking {node.name} failed unexpectedly: {error!r}", is_sent
    )


class PeerServer:
    """Serve the requests of other proxies.

    Parameters
    ----------
    handler : callable
        ``async (message, channel)``, called for each new request.
    hello : callable
        Returns the `Hello` of this node.
    counter : callable
        Called with ``(direction, message, size_bytes)`` for each frame.
    """

    def __init__(self, handler, hello, counter):
        self._handler = handler
        self._hello = hello
        self._counter = counter
        self._connections = set()
        self._find_refusal = None

    @property
    def in_flight(self):
        """Return how many requests have no complete answer yet."""
        return sum(connection.in_flight for connection in self._connections)

    def refuse(self, find_refusal):
        """Refuse some messages from now on.

        Parameters
        ----------
        find_refusal : callable
            Return the answer that refuses a message, or None to handle the message.
        """
        self._find_refusal = find_refusal

    async def drain(self, find_refusal):
        """Refuse new statements and wait until every accepted one is answered.

        Parameters
        ----------
        find_refusal : callable
            Return the answer that refuses a message, or None to handle the message.
        """
        self.refuse(find_refusal)
        idle_looks = 0
        while idle_looks < 2:
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)
            idle_looks = 0 if self.in_flight else idle_looks + 1

    async def _handle(self, message, channel):
        refusal = None
        if self._find_refusal is not None:
            refusal = self._find_refusal(message)
        if refusal is not None:
            await channel.send(refusal)
        else:
            await self._handler(message, channel)

    async def serve_stream(self, stream):
        """Serve one connection until it ends.

        Parameters
        ----------
        stream : anyio.abc.ByteStream
            The connection.
        """
        tune_stream(stream, PEER_KEEPALIVE_S)
        frames = FrameStream(stream, self._counter)
        async with AsyncExitStack() as stack:
            stack.push_async_callback(frames.aclose)
            connection = PeerServerConnection(frames)
            stack.callback(connection.close)
            self._connections.add(connection)
            stack.callback(self._connections.discard, connection)
            async with anyio.create_task_group() as tasks:
                await self._receive(frames, connection, tasks)
                tasks.cancel_scope.cancel()

    async def _receive(self, frames, connection, tasks):
        try:
            await frames.send(0, self._hello())
            while True:
                request_id, message = await frames.receive()
                connection.dispatch(tasks, self._handle, request_id, message)
        except (PeerUnavailableError, anyio.BrokenResourceError):
            logger.debug("peers: a peer closed its connection.")


class PeerServerConnection:
    """Server side of a connection from one peer, with its requests in flight."""

    def __init__(self, frames):
        self._frames = frames
        self._channels = {}
        self.closed_callbacks = []

    @property
    def in_flight(self):
        """Return how many requests of this connection are being answered."""
        return len(self._channels)

    def dispatch(self, tasks, handler, request_id, message):
        """Pass credit or a cancellation to its request, or start a new request.

        Parameters
        ----------
        tasks : anyio.abc.TaskGroup
            Runs the handlers.
        handler : callable
            ``async (message, channel)``.
        request_id : int
            Request that the message belongs to.
        message : NamedTuple or None
            The message; None if this release does not know its type.
        """
        channel = self._channels.get(request_id)
        if isinstance(message, wire.Credit):
            if channel is not None:
                channel.add_credit(message.parts)
        elif isinstance(message, wire.Cancel):
            if channel is not None:
                channel.cancel()
        else:
            channel = PeerChannel(self, self._frames, request_id)
            self._channels[request_id] = channel
            tasks.start_soon(self._run, handler, message, channel)

    def close(self):
        """Run the callbacks registered for the end of the connection."""
        for callback in self.closed_callbacks:
            callback()
        self.closed_callbacks.clear()

    async def _run(self, handler, message, channel):
        try:
            with channel.scope:
                await handler(message, channel)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            logger.debug("peers: a peer disconnected before its request was answered.")
        except Exception:
            logger.exception("peers: a request of a peer failed unexpectedly.")
            if not isinstance(message, _ONE_WAY_MESSAGES):
                # The peer learns from the broken connection that the outcome is
                # unknown.
                await self._frames.aclose()
        finally:
            self._channels.pop(channel.request_id, None)


class PeerChannel:
    """Server side of one request; sends its answer under flow control."""

    def __init__(self, connection, frames, request_id):
        self.connection = connection
        self.request_id = request_id
        self.scope = anyio.CancelScope()
        self._frames = frames
        self._credit = WINDOW_PARTS
        self._credit_added = anyio.Event()

    def add_credit(self, parts):
        """Allow more parts to be sent.

        Parameters
        ----------
        parts : int
            Number of parts granted.
        """
        self._credit += parts
        self._credit_added.set()

    def cancel(self):
        """Cancel the handler; the peer no longer waits for the answer."""
        self.scope.cancel()

    async def send(self, message):
        """Send one message of the answer.

        Parameters
        ----------
        message : NamedTuple
            The message.
        """
        await self._frames.send(self.request_id, message)

    async def send_part(self, part):
        """Send a part of a result, after waiting for credit if there is none.

        Parameters
        ----------
        part : ResultPart
            The part.
        """
        while self._credit <= 0:
            self._credit_added = anyio.Event()
            await self._credit_added.wait()
        self._credit -= 1
        await self.send(part)
