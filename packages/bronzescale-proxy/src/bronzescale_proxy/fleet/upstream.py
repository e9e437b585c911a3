"""Run statements on a connection to a database and track its session state."""

import logging
from typing import NamedTuple

import anyio

from bronzescale_core.codec import IDLE, Done, Failed, Ready, Row
from bronzescale_core.exceptions import BronzescaleError
from bronzescale_core.positions import ORIGIN, Position
from bronzescale_core.work import Outcome
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import UpstreamUnavailableError
from bronzescale_proxy.fleet.streams import (
    DISCONNECT_ERRORS,
    LineReader,
    LineTooLongError,
    connect_stream,
    is_refused,
)

logger = logging.getLogger("bronzescale.upstream")

# Opening a connection takes about 12 ms; a slow database may need far longer.
OPEN_TIMEOUT_S = 1.0
_CONNECTION_ERRORS = (*DISCONNECT_ERRORS, LineTooLongError)


class Reply(NamedTuple):
    """A database's answer to one statement.

    Parameters
    ----------
    outcome : Outcome
        How the statement ended.
    reason : str
        Text of an error.
    rows : tuple of str
        Rows of the result.
    signature : str
        Signature with which the database shows that it ran the statement.
    state : str
        Transaction state of the connection.
    position : Position
        End of the database's log.
    """

    outcome: Outcome
    reason: str = ""
    rows: tuple = ()
    signature: str = ""
    state: str = IDLE
    position: Position = ORIGIN

    @property
    def is_done(self):
        """Return whether the statement succeeded."""
        return self.outcome is Outcome.DONE


class UpstreamConnection:
    """A connection to a database, with the session state set on it.

    Parameters
    ----------
    stream : anyio.abc.ByteStream
        The open stream.
    codec : LineCodec
        The line protocol.
    customer : str
        Customer that the connection belongs to for its life; empty for none.
    """

    def __init__(self, stream, codec, customer=""):
        self._stream = stream
        self._codec = codec
        self._reader = LineReader(stream, codec.terminator, codec.max_line_bytes)
        self.customer = customer
        self.values = ()
        self.prepared = {}
        self.is_usable = True
        self.is_closed = False
        # Whether a single answer is outstanding, for which `drain` can wait.
        self.can_drain = False
        self.used_at_ms = now_ms()

    async def run(self, request_id, text):
        """Run a caller's statement.

        Returns
        -------
        Reply

        Raises
        ------
        UpstreamUnavailableError
            If the connection broke; the statement may have run anyway.
        """
        (reply,) = await self._exchange(
            self._codec.statement(request_id, text), count=1
        )
        return reply

    async def run_own(self, texts):
        """Run statements of the proxy itself, sent in one batch.

        Returns
        -------
        list of Reply

        Raises
        ------
        UpstreamUnavailableError
            If the connection broke; the statements may have run anyway.
        """
        message = b"".join(self._codec.proxy_statement(text) for text in texts)
        return await self._exchange(message, count=len(texts))

    async def apply_session_state(self, values, name, shape):
        """Set session values and a prepared statement where they differ.

        Parameters
        ----------
        values : tuple of (str, str)
            Session values to set; all others are reset.
        name : str
            Name of a prepared statement; empty for none.
        shape : Shape or None
            Statement to prepare under this name.

        Raises
        ------
        UpstreamUnavailableError
            If the database did not confirm; the caller's statement was not sent.
        """
        texts = self._state_texts(values, name, shape)
        if not texts:
            return
        replies = await self.run_own(texts)
        if not all(reply.is_done for reply in replies):
            self.is_usable = False
            raise UpstreamUnavailableError(
                "the database did not take the session's values", is_sent=False
            )
        self.values = values
        if shape is not None:
            self.prepared[name] = shape

    def _state_texts(self, values, name, shape):
        codec = self._codec
        texts = []
        if self.values != values:
            current = dict(self.values)
            wanted = dict(values)
            if any(key not in wanted for key in current):
                texts.append(codec.reset)
                current.clear()
                self.prepared.clear()
            texts += [
                codec.set_value(key, value)
                for key, value in values
                if current.get(key) != value
            ]
        if shape is not None and name not in self.prepared:
            texts.append(codec.prepare(name, shape))
        return texts

    async def _exchange(self, message, count):
        self.is_usable = False
        try:
            await self._stream.send(message)
            self.can_drain = count == 1
            replies = [await self._read_reply() for _ in range(count)]
        except _CONNECTION_ERRORS as error:
            raise UpstreamUnavailableError(
                f"the connection broke: {type(error).__name__}"
            ) from error
        except BronzescaleError:
            raise
        except Exception as error:
            raise _unexpected("a statement", error) from error
        self._finish_exchange()
        return replies

    def _finish_exchange(self):
        self.can_drain = False
        self.is_usable = not self._reader.has_partial_line
        self.used_at_ms = now_ms()

    async def drain(self):
        """Read the rest of an answer that nobody waits for; the connection is usable.

        Raises
        ------
        UpstreamUnavailableError
            If the connection broke.
        """
        try:
            message = None
            while not isinstance(message, Ready):
                line = await self._reader.receive_line()
                message = self._codec.decode_upstream(line)
        except _CONNECTION_ERRORS as error:
            raise UpstreamUnavailableError(
                f"the connection broke: {type(error).__name__}"
            ) from error
        self._finish_exchange()

    async def _read_reply(self):
        rows = []
        result = None
        while True:
            message = self._codec.decode_upstream(await self._reader.receive_line())
            if isinstance(message, Row):
                rows.append(message.text)
            elif isinstance(message, Done | Failed) and result is None:
                result = message
            elif isinstance(message, Ready) and result is not None:
                return _build_reply(result, rows, message)
            else:
                raise UpstreamUnavailableError("an answer makes no sense")

    async def open_session(self, service, instance):
        """Request a session with a database by its id and wait for the greeting.

        Raises
        ------
        UpstreamUnavailableError
            If the database closed the connection or refused the session; a refusal's
            outcome is in the attribute ``outcome``.
        """
        try:
            await self._stream.send(
                self._codec.connect(service, instance, self.customer)
            )
            line = await self._reader.receive_line()
        except _CONNECTION_ERRORS as error:
            raise UpstreamUnavailableError(
                "the database closed a new connection", is_sent=False
            ) from error
        message = self._codec.decode_upstream(line)
        if isinstance(message, Ready):
            return
        is_failed = isinstance(message, Failed)
        outcome = message.outcome if is_failed else Outcome.FAILED
        reason = f"{outcome.value}: {message.reason}" if is_failed else "no greeting"
        error = UpstreamUnavailableError(
            f"the database refused a connection: {reason}", is_sent=False
        )
        error.outcome = outcome
        raise error

    def close(self):
        """Close without delay; the database rolls back an open transaction."""
        self.is_usable = False
        self.is_closed = True
        self._stream.abort()


def _build_reply(result, rows, ready):
    if isinstance(result, Done):
        return Reply(
            Outcome.DONE,
            rows=tuple(rows),
            signature=result.signature,
            state=ready.state,
            position=ready.position,
        )
    return Reply(
        result.outcome,
        reason=result.reason,
        state=ready.state,
        position=ready.position,
    )


async def open_connection(copy, codec, timeout_s=OPEN_TIMEOUT_S, *, customer=""):
    """Open a connection to a database and check that it has the expected id.

    Parameters
    ----------
    copy : Copy
        The database.
    codec : LineCodec
        The line protocol.
    timeout_s : float
        Limit for connecting and for the greeting.
    customer : str
        Customer whose statements the connection will run; empty for none.

    Returns
    -------
    UpstreamConnection

    Raises
    ------
    UpstreamUnavailableError
        If it cannot be opened.
    """
    stream = None
    try:
        with anyio.fail_after(timeout_s):
            stream = await connect_stream(copy.address, timeout_s)
            connection = UpstreamConnection(stream, codec, customer)
            await connection.open_session(copy.service, copy.instance)
            return connection
    except TimeoutError as error:
        await _close_stream(stream)
        raise UpstreamUnavailableError(
            f"{copy.instance} is silent", is_sent=False
        ) from error
    except OSError as error:
        await _close_stream(stream)
        raise UpstreamUnavailableError(
            f"cannot connect to {copy.instance}: {error}",
            is_refused=is_refused(error),
            is_sent=False,
        ) from error
    except UpstreamUnavailableError:
        await _close_stream(stream)
        raise
    except Exception as error:
        await _close_stream(stream)
        task = f"connecting to {copy.instance}"
        raise _unexpected(task, error, is_sent=False) from error
    except BaseException:
        await _close_stream(stream)
        raise


def _unexpected(task, error, is_sent=True):
    """Return the error of a database that is taken as unavailable, and log its cause.

    Whatever made the call fail, the connection cannot be used any more.
    """
    logger.error("upstream: %s failed unexpectedly.", task, exc_info=error)
    return UpstreamUnavailableError(
        f"{task} failed unexpectedly: {error!r}", is_sent=is_sent
    )


async def _close_stream(stream):
    if stream is not None:
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)
