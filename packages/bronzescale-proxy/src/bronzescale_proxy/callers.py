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

READ_LIMIT_BYTES = 16 * 1024
STOP_POLL_S = 0.05
STOP_IDLE_MS = 2_000
EXECUTE_FLAGS_AT = 4
EXECUTE_HEAD_BYTES = 9
PARAMETER_COUNT_AVAILABLE = 8
ER_SHUTDOWN = 1053
ER_NET_READ_TIMEOUT = 1159
_GLOBAL_VARIABLES = GlobalVariables()
_SHUTDOWN_TEXT = "not run: the proxy is stopping; connect again to reach another"


class CallerSession(BaseSession):
    """The session that the MySQL library holds for one caller."""

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
            Its name.
        """
        self.state.use(database)
        self._database = database

    async def close(self):
        """Roll back what the caller left open."""
        with anyio.CancelScope(shield=True):
            await self.state.close()

    async def reset(self):
        """Forget settings and transaction."""
        await self.state.reset()


class CallerConnection(Connection):
    """One caller's connection.

    Parameters
    ----------
    server : CallerServer
        The server that accepted it.
    **options : dict
        What the library's connection takes.
    """

    def __init__(self, server, **options):
        super().__init__(**options)
        self._server = server
        self.is_busy = False
        self.used_at_ms = now_ms()

    async def connection_phase(self):
        """Let the caller log in before the login deadline."""
        timeout_s = self._server.settings.login_timeout_ms / 1_000
        try:
            with anyio.fail_after(timeout_s):
                await super().connection_phase()
        except TimeoutError as error:
            raise MysqlError(
                f"no login within {timeout_s:g} s; connect again", ER_NET_READ_TIMEOUT
            ) from error
        self._refuse_failed_login()
        self.status_flags = types.ServerStatus.SERVER_STATUS_AUTOCOMMIT

    def _refuse_failed_login(self):
        """Close after a wrong login; the library has told the caller why."""
        if self.session.username is None:
            raise ConnectionClosed()

    async def handle_change_user(self, data):
        """Let the caller log in anew; close if that fails.

        Parameters
        ----------
        data : bytes
            Payload of the command.
        """
        self.session.username = None
        await super().handle_change_user(data)
        self._refuse_failed_login()

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
            Its text.
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
        reader.seek(EXECUTE_FLAGS_AT)
        flags = reader.read(1)[0]
        reader.seek(EXECUTE_HEAD_BYTES)
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

        The library ends the parameters with an EOF packet also for callers that
        agreed to none.
        """
        yield packets.make_com_stmt_prepare_ok(statement)
        for _ in range(statement.num_params):
            yield packets.make_column_definition_41(
                server_charset=self.server_charset, name="?"
            )
        if statement.num_params and not self.deprecate_eof():
            yield self.eof()

    async def handle_reset_connection(self, data):
        """Forget settings and transaction.

        Parameters
        ----------
        data : bytes
            Payload of the command; empty.
        """
        await self.session.reset()
        self._update_status()
        await self.stream.write(self.ok())

    async def handle_init_db(self, data):
        """Select a service.

        Parameters
        ----------
        data : bytes
            Its name.
        """
        try:
            await super().handle_init_db(data)
        except StatementError as error:
            await self._write_statement_error(error)

    async def _answer(self, sql, attributes, writer):
        state = self.session.state
        if self._server.is_stopping and not state.in_transaction:
            packet = make_error_packet(ER_SHUTDOWN, "08S01", _SHUTDOWN_TEXT)
            await self.stream.write(packet)
            self.stream.writer.close()
            return
        self.is_busy = True
        try:
            await self._server.kill_if_asked(sql, state)
            end = await state.run(sql, attributes, writer.write_part)
            self._update_status()
            await writer.finish(end)
        except LocalAnswer as answer:
            self._update_status()
            await writer.write_local(answer)
        except StatementError as error:
            # After some rows the error takes the place of the end of the answer, so
            # that the rows so far do not pass for the whole.
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
        """Serve commands until the caller leaves or the answer broke off."""
        try:
            await super().command_phase()
        except ConnectionClosed:
            self.stream.writer.close()
        except ConnectionError:
            self.stream.writer.transport.abort()

    def error(self, **kwargs):
        """Return an error packet with a SQLSTATE for codes the library lacks."""
        code = kwargs.get("code", ErrorCode.UNKNOWN_ERROR)
        message = kwargs.get("msg", "")
        if isinstance(message, MysqlError):
            code = message.code
            message = message.msg
        if isinstance(code, ErrorCode):
            return super().error(msg=message, code=code)
        return make_error_packet(code, "HY000", str(message))


class DeclaredIdentities(IdentityProvider):
    """Logins from the declaration in force."""

    def __init__(self, node):
        self._node = node

    async def get_user(self, username):
        """Return a declared login, or None.

        Parameters
        ----------
        username : str
            Login name.

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
    """Accept callers and hold their connections.

    Parameters
    ----------
    node : NodeRuntime
        What this node knows.
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

    @property
    def open_connections(self):
        """Return how many callers are connected."""
        return len(self._connections)

    async def start(self):
        """Listen for callers."""
        self._server = await asyncio.start_server(
            self._accept,
            self.settings.caller_host,
            self.settings.caller_port,
            limit=READ_LIMIT_BYTES,
            backlog=1_024,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Take no new callers, finish what is in flight, then close the rest."""
        self.is_stopping = True
        self._server.close()
        with anyio.move_on_after(self.settings.stop_grace_ms / 1_000):
            while self._connections:
                for connection in list(self._connections):
                    self._close_if_idle(connection)
                await anyio.sleep(STOP_POLL_S)
        self.abort()

    def abort(self):
        """Close the listener and every connection at once."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.stream.writer.transport.abort()

    def _close_if_idle(self, connection):
        """Close a session that stands between statements and sends none.

        One that sends a statement meanwhile is told that it did not run; closing
        under it would leave its caller to guess.
        """
        is_between = connection.stream.is_reading and not connection.is_busy
        is_quiet = now_ms() - connection.used_at_ms >= STOP_IDLE_MS
        if not is_between or not is_quiet or connection.session.state.in_transaction:
            return
        transport = connection.stream.writer.transport
        if not transport.is_closing():
            packet = make_error_packet(ER_SHUTDOWN, "08S01", _SHUTDOWN_TEXT)
            header = struct.pack("<I", len(packet))
            transport.write(header + packet)
            transport.close()

    async def kill_if_asked(self, sql, state):
        """Carry out ``KILL``, which names a connection of this node.

        Parameters
        ----------
        sql : str
            The statement.
        state : SessionState
            Session that sent it.
        """
        if sql.lstrip()[:4].lower() != "kill":
            return
        words = sql.strip().rstrip(";").split()
        number = words[-1]
        if not number.isdecimal():
            return
        is_query = len(words) == 3 and words[1].lower() == "query"
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
            logger.debug("callers: a caller left before its login.")
        except Exception:
            logger.exception("callers: a connection failed; report this.")
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
