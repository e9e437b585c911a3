"""Serve callers over the MySQL protocol."""

import asyncio
import io
import logging
import struct

import anyio
from mysql_mimic import packets, types
from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin
from mysql_mimic.auth import User as MimicUser
from mysql_mimic.connection import Connection
from mysql_mimic.constants import KillKind
from mysql_mimic.control import LocalControl, TooManyConnections
from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.prepared import PreparedStatement
from mysql_mimic.session import BaseSession
from mysql_mimic.stream import ConnectionClosed
from mysql_mimic.types import Capabilities
from mysql_mimic.variables import GlobalVariables, SessionVariables

from bronzescale_core.exceptions import StatementError
from bronzescale_proxy.caller_stream import BoundedStream
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.placeholders import fill_placeholders, split_placeholders
from bronzescale_proxy.result_writers import (
    BinaryWriter,
    TextWriter,
    make_error_packet,
)
from bronzescale_proxy.sessions import LocalAnswer, SessionState

logger = logging.getLogger("bronzescale.callers")

# Size of the read buffer of each caller's connection; asyncio pauses reading at twice
# this size. A larger buffer would cost memory for each of thousands of callers.
READ_BUFFER_BYTES = 16 * 1024
# Interval at which a graceful stop looks for connections that it may close.
STOP_POLL_INTERVAL_S = 0.05
# Idle time after which a graceful stop closes a connection. If this were shorter, the
# stop would close connections whose caller is about to send the next statement.
STOP_MIN_IDLE_MS = 2_000
# Share of the grace period during which statements of open transactions are passed on.
# The rest is left for the answers.
SERVING_GRACE_SHARE = 0.5
# Layout of COM_STMT_EXECUTE: statement id, flags, iteration count, then the parameters.
EXECUTE_FLAGS_OFFSET = 4
EXECUTE_HEADER_BYTES = 9
PARAMETER_COUNT_AVAILABLE = 8
ER_SERVER_SHUTDOWN = 1053
ER_NET_READ_INTERRUPTED = 1159
_GLOBAL_VARIABLES = GlobalVariables()
_SHUTDOWN_TEXT = "not run: the proxy is stopping; connect again to reach another"


class CallerSession(BaseSession):
    """Session object that the MySQL library expects for each caller."""

    def __init__(self, state):
        self.variables = SessionVariables(_GLOBAL_VARIABLES)
        self.username = None
        self._database = None
        self.state = state

    @property
    def database(self):
        """Return the selected service."""
        return self._database

    @database.setter
    def database(self, value):
        self._database = value
        self.state.service = value or ""

    async def use(self, database):
        """Select a service.

        Parameters
        ----------
        database : str
            Name of the service.
        """
        self.state.use(database)
        self._database = database

    async def close(self):
        """Roll back the open transaction, even if the task is being cancelled."""
        with anyio.CancelScope(shield=True):
            await self.state.close()

    async def reset(self):
        """Reset the settings and roll back the open transaction."""
        await self.state.reset()


class CallerConnection(Connection):
    """Connection of one caller.

    Parameters
    ----------
    server : CallerServer
        The server that accepted it.
    **options : dict
        Arguments for the base class.
    """

    def __init__(self, server, **options):
        super().__init__(**options)
        self._server = server
        self.is_busy = False
        self.used_at_ms = now_ms()

    async def connection_phase(self):
        """Authenticate the caller within the login timeout."""
        timeout_s = self._server.settings.login_timeout_ms / 1_000
        try:
            with anyio.fail_after(timeout_s):
                await super().connection_phase()
        except TimeoutError as error:
            raise MysqlError(
                f"no login within {timeout_s:g} s; connect again",
                ER_NET_READ_INTERRUPTED,
            ) from error
        self._close_if_login_failed()
        self.status_flags = types.ServerStatus.SERVER_STATUS_AUTOCOMMIT

    def _close_if_login_failed(self):
        """Close after a failed login; the library has already sent the error."""
        if self.session.username is None:
            raise ConnectionClosed()

    async def handle_change_user(self, data):
        """Authenticate the caller again; close the connection if that fails.

        Parameters
        ----------
        data : bytes
            Payload of the command.
        """
        self.session.username = None
        await super().handle_change_user(data)
        self._close_if_login_failed()

    async def handle_query(self, data):
        """Run a text statement.

        Parameters
        ----------
        data : bytes
            Payload of the command.
        """
        query = packets.parse_com_query(
            capabilities=self.capabilities,
            client_charset=self.client_charset,
            data=data,
        )
        await self._answer(query.sql, query.query_attrs, TextWriter(self))

    async def handle_stmt_execute(self, data):
        """Run a prepared statement.

        Parameters
        ----------
        data : bytes
            Payload of the command.
        """
        statement = self.get_stmt(int.from_bytes(data[:4], "little"))
        values, attributes = self._read_parameters(statement, data)
        statement.param_buffers = None
        sql = fill_placeholders(statement.pieces, values)
        await self._answer(sql, attributes, BinaryWriter(self))

    async def handle_stmt_prepare(self, data):
        """Prepare a statement.

        Parameters
        ----------
        data : bytes
            Text of the statement.
        """
        sql = self.client_charset.decode(data)
        pieces = split_placeholders(sql)
        statement = PreparedStatement(
            stmt_id=next(self.prepared_stmt_seq),
            sql=sql,
            num_params=len(pieces) - 1,
        )
        statement.pieces = pieces
        self.prepared_stmts[statement.stmt_id] = statement
        for packet in self.com_stmt_prepare_response(statement):
            await self.stream.write(packet, drain=False)
        await self.stream.drain()

    def _read_parameters(self, statement, data):
        """Return the values and query attributes of an execute command."""
        reader = io.BytesIO(data)
        reader.seek(EXECUTE_FLAGS_OFFSET)
        flags = reader.read(1)[0]
        reader.seek(EXECUTE_HEADER_BYTES)
        count = statement.num_params
        with_attributes = Capabilities.CLIENT_QUERY_ATTRIBUTES in self.capabilities
        if with_attributes and (count or flags & PARAMETER_COUNT_AVAILABLE):
            count = types.read_uint_len(reader)
        if not count:
            return [], {}
        found = packets._read_params(
            self.capabilities,
            self.client_charset,
            reader,
            count,
            statement.param_buffers,
        )
        values = [value for _, value in found[: statement.num_params]]
        named = {n: v for n, v in found[statement.num_params :] if n is not None}
        return values, named

    def com_stmt_prepare_response(self, statement):
        """Yield the packets that answer a prepare.

        Overrides the library, which ends the parameters with an EOF packet even if the
        caller negotiated ``CLIENT_DEPRECATE_EOF``.
        """
        yield packets.make_com_stmt_prepare_ok(statement)
        for _ in range(statement.num_params):
            yield packets.make_column_definition_41(
                server_charset=self.server_charset, name="?"
            )
        if statement.num_params and not self.deprecate_eof():
            yield self.eof()

    async def handle_reset_connection(self, data):
        """Reset the settings and roll back the open transaction.

        Parameters
        ----------
        data : bytes
            Payload of the command, which is empty.
        """
        await self.session.reset()
        self._update_status()
        await self.stream.write(self.ok())

    async def handle_init_db(self, data):
        """Select a service.

        Parameters
        ----------
        data : bytes
            Name of the service.
        """
        try:
            await super().handle_init_db(data)
        except StatementError as error:
            await self._write_statement_error(error)

    async def _answer(self, sql, attributes, writer):
        state = self.session.state
        if self._server.refuses(state):
            packet = make_error_packet(ER_SERVER_SHUTDOWN, "08S01", _SHUTDOWN_TEXT)
            await self.stream.write(packet)
            self.stream.writer.close()
            return
        self.is_busy = True
        try:
            await self._server.handle_kill(sql, state)
            end = await state.run(sql, attributes, writer.write_part)
            self._update_status()
            await writer.finish(end)
        except LocalAnswer as answer:
            self._update_status()
            await writer.write_local(answer)
        except StatementError as error:
            # After some rows, the error packet takes the place of the final packet, so
            # that the caller does not take a partial result for a complete one.
            self._update_status()
            await self._write_statement_error(error)
        finally:
            self.is_busy = False
            self.used_at_ms = now_ms()

    def _update_status(self):
        flags = types.ServerStatus(0)
        if self.session.state.in_transaction:
            flags |= types.ServerStatus.SERVER_STATUS_IN_TRANS
        if self.session.state.is_autocommit:
            flags |= types.ServerStatus.SERVER_STATUS_AUTOCOMMIT
        self.status_flags = flags

    async def _write_statement_error(self, error):
        self._server.metrics.count(f"statement.error.{error.kind}")
        text = str(error)
        if error.retry_after_ms:
            text = f"{text} (retry after {error.retry_after_ms} ms)"
        await self.stream.write(make_error_packet(error.code, error.sqlstate, text))

    async def command_phase(self):
        """Serve commands until the caller disconnects or a write fails."""
        try:
            await super().command_phase()
        except ConnectionClosed:
            self.stream.writer.close()
        except ConnectionError:
            self.stream.writer.transport.abort()

    def error(self, **kwargs):
        """Return an error packet, also for error codes that the library lacks."""
        code = kwargs.get("code", ErrorCode.UNKNOWN_ERROR)
        message = kwargs.get("msg", "")
        if isinstance(message, MysqlError):
            code = message.code
            message = message.msg
        if isinstance(code, ErrorCode):
            return super().error(msg=message, code=code)
        return make_error_packet(code, "HY000", str(message))


class DeclaredIdentities(IdentityProvider):
    """Identity provider for the users in the current declaration."""

    def __init__(self, node):
        self._node = node

    async def get_user(self, username):
        """Return a declared user, or None.

        Parameters
        ----------
        username : str
            Name of the user.

        Returns
        -------
        mysql_mimic.auth.User or None
        """
        declaration = self._node.declaration
        if declaration is None:
            return None
        for user in declaration.users:
            if user.name == username:
                return MimicUser(
                    name=username,
                    auth_string=user.password_sha1 or None,
                    auth_plugin=NativePasswordAuthPlugin.name,
                )
        return None


class CallerServer:
    """Accept callers and track their connections.

    Parameters
    ----------
    node : NodeRuntime
        Runtime state of this node.
    dispatcher : Dispatcher
        Runs statements.
    settings : Settings
        Settings of this node.
    metrics : Metrics
        Counters and timers.
    """

    def __init__(self, node, dispatcher, settings, metrics):
        self._node = node
        self._dispatcher = dispatcher
        self.settings = settings
        self.metrics = metrics
        self._control = LocalControl()
        self._identities = DeclaredIdentities(node)
        self._connections = set()
        self._server = None
        self.port = settings.caller_port
        self.is_stopping = False
        self._is_refusing = False

    @property
    def open_connections(self):
        """Return the number of connected callers."""
        return len(self._connections)

    async def start(self):
        """Listen for callers."""
        self._server = await asyncio.start_server(
            self._accept,
            self.settings.caller_host,
            self.settings.caller_port,
            limit=READ_BUFFER_BYTES,
            backlog=1_024,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stop gracefully.

        Refuse new callers and let running statements finish. Open transactions get a
        share of the grace period; a statement of one that is still open is refused and
        the transaction rolled back. Close the remaining connections at the end.
        """
        self.is_stopping = True
        self._server.close()
        grace_s = self.settings.stop_grace_ms / 1_000
        with anyio.move_on_after(grace_s * SERVING_GRACE_SHARE):
            await self._close_idle_connections()
        self._is_refusing = True
        with anyio.move_on_after(grace_s * (1 - SERVING_GRACE_SHARE)):
            await self._close_idle_connections()
        self.abort()

    def refuses(self, state):
        """Return whether statements of a session are refused, since the process stops.

        Closing the connection then rolls back an open transaction.
        """
        return self.is_stopping and (self._is_refusing or not state.in_transaction)

    async def _close_idle_connections(self):
        while self._connections:
            for connection in list(self._connections):
                self._close_if_idle(connection)
            await anyio.sleep(STOP_POLL_INTERVAL_S)

    def abort(self):
        """Close the listener and every connection immediately."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.stream.writer.transport.abort()

    def _close_if_idle(self, connection):
        """Close an idle connection unless it has an open transaction to wait for.

        A statement that arrives during a stop gets an error that says that it did not
        run. To close the connection instead would leave its outcome unknown.
        """
        is_waiting = connection.stream.is_reading and not connection.is_busy
        is_idle = now_ms() - connection.used_at_ms >= STOP_MIN_IDLE_MS
        if not is_waiting or not is_idle or not self.refuses(connection.session.state):
            return
        transport = connection.stream.writer.transport
        if not transport.is_closing():
            packet = make_error_packet(ER_SERVER_SHUTDOWN, "08S01", _SHUTDOWN_TEXT)
            header = struct.pack("<I", len(packet))
            transport.write(header + packet)
            transport.close()

    async def handle_kill(self, sql, state):
        """Run a ``KILL`` statement, which names a connection of this node.

        Parameters
        ----------
        sql : str
            Text of the statement; any other statement is ignored.
        state : SessionState
            Session that sent it.

        Raises
        ------
        LocalAnswer
            If the statement was a ``KILL``.
        """
        if sql.lstrip()[:4].lower() != "kill":
            return
        parts = sql.strip().rstrip(";").split()
        number = parts[-1]
        if not number.isdecimal():
            return
        is_query = len(parts) == 3 and parts[1].lower() == "query"
        kind = KillKind.QUERY if is_query else KillKind.CONNECTION
        await self._control.kill(int(number), kind)
        raise LocalAnswer()

    async def _accept(self, reader, writer):
        stream = BoundedStream(reader, writer, self.settings.max_packet_bytes)
        if self.is_stopping or len(self._connections) >= self.settings.max_callers:
            await self._refuse(stream)
            return
        state = SessionState(self._node, self._dispatcher)
        connection = CallerConnection(
            self,
            stream=stream,
            session=CallerSession(state),
            control=self._control,
            identity_provider=self._identities,
        )
        await self._serve(connection, state, writer)

    async def _serve(self, connection, state, writer):
        try:
            connection.connection_id = await self._control.add(connection)
        except TooManyConnections:
            await self._refuse(connection.stream)
            return
        state.connection_id = connection.connection_id
        self._connections.add(connection)
        self.metrics.count("caller.connected")
        try:
            await connection.start()
        except (ConnectionClosed, ConnectionError, MysqlError):
            logger.debug("callers: a caller disconnected before it logged in.")
        except Exception:
            logger.exception("callers: unexpected error on a connection; report this.")
        finally:
            self._connections.discard(connection)
            await self._control.remove(connection.connection_id)
            writer.close()

    async def _refuse(self, stream):
        text = _SHUTDOWN_TEXT if self.is_stopping else "too many callers; retry later"
        packet = make_error_packet(ErrorCode.CON_COUNT_ERROR, "08004", text)
        try:
            await stream.write(packet)
        except ConnectionError:
            pass
        stream.writer.close()
