"""Serve one copy of a database group over the MySQL protocol.

Besides SQL, a copy accepts the orders of the proxies, ``CALL bronzescale.NAME(...)``.
The OK packet that answers a commit holds the log position of the commit.
"""

import asyncio
import itertools
import logging
import re
import struct
import time

import anyio
from mysql_mimic import packets
from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin
from mysql_mimic.auth import User as MimicUser
from mysql_mimic.connection import Connection
from mysql_mimic.control import LocalControl
from mysql_mimic.results import ResultColumn, infer_type
from mysql_mimic.session import BaseSession
from mysql_mimic.stream import ConnectionClosed, MysqlStream
from mysql_mimic.types import ColumnType
from mysql_mimic.variables import GlobalVariables, SessionVariables

from bronzescale_standins.engine import (
    LOCK_TIMEOUT_CODE,
    READ_ONLY_CODE,
    BusyError,
    EngineError,
    TableSession,
    is_write_statement,
)

logger = logging.getLogger("standins.database")

# MySQL's numbers of the errors that the stand-in reports.
TOO_MANY_CONNECTIONS_CODE = 1040
REFUSED_ORDER_CODE = 1644
# A statement that finds the tables locked is retried until this timeout, then fails.
LOCK_TIMEOUT_S = 5.0
BUSY_RETRY_INTERVAL_S = 0.001
# Large results are fetched and sent in batches of this number of rows.
ROWS_PER_BATCH = 2_000
# A connection whose client disconnected may end by itself within this time; after that
# its task is cancelled.
DISCONNECT_GRACE_S = 0.01
_ORDER_CALL = re.compile(r"\s*call\s+bronzescale\.(\w+)\((.*)\)\s*;?\s*$", re.I | re.S)
_GLOBAL_VARIABLES = GlobalVariables()
_BEGIN = re.compile(r"\s*(begin|start\s+transaction)\b", re.I)
_GET_LOCK = re.compile(r"WHEN GET_LOCK\('([\w.]+)', 0\) = 1 THEN (\d+)")


class StandinSession(BaseSession):
    """Session state that mysql_mimic requires."""

    def __init__(self):
        self.variables = SessionVariables(_GLOBAL_VARIABLES)
        self.username = None
        self.database = None


class PermissiveIdentityProvider(IdentityProvider):
    """Accept every user without a password."""

    async def get_user(self, username):
        """Return a user without a password."""
        return MimicUser(name=username, auth_plugin=NativePasswordAuthPlugin.name)


class StandinConnection(Connection):
    """Connection of one client to a copy.

    Parameters
    ----------
    server : CopyServer
        Server of the copy.
    **options : dict
        Arguments of mysql_mimic's ``Connection``.
    """

    def __init__(self, server, **options):
        super().__init__(**options)
        self._server = server
        self._copy = server.copy
        self._tables = None
        self._opened_at_ms = time.monotonic() * 1_000
        self.held_locks = set()
        self.zone = ""

    async def connection_phase(self):
        """Log in and read the client's zone from its program name.

        A proxy sends ``bronzescale NODE ZONE``. Any other client is taken to be in the
        zone of the copy.
        """
        await super().connection_phase()
        parts = self.client_connect_attrs.get("program_name", "").split()
        self.zone = parts[2] if len(parts) == 3 else self._copy.settings.zone

    async def handle_query(self, data):
        """Run one statement with the simulated latencies and faults."""
        query = packets.parse_com_query(
            capabilities=self.capabilities,
            client_charset=self.client_charset,
            data=data,
        )
        one_way_s = self._copy.one_way_s(self.zone)
        await self._simulate_network(one_way_s)
        try:
            await self._run(query.sql.strip(), one_way_s)
        except EngineError as error:
            await self._simulate_network(one_way_s)
            await self._write_error(error)

    async def handle_ping(self, data):
        """Answer a ping with the simulated latencies and faults."""
        await self._simulate_network(2 * self._copy.one_way_s(self.zone))
        await super().handle_ping(data)

    def release(self):
        """Roll back the open transaction and release the locks of the connection."""
        if self._tables is not None:
            self._tables.close()
        for name in self.held_locks:
            if self._copy.locks.get(name) is self:
                del self._copy.locks[name]

    async def _simulate_network(self, delay_s):
        """Wait for the network delay, and for the end of a partition of the zone.

        Wait forever if the connection was made silent.
        """
        faults = self._copy.faults
        if self._opened_at_ms < faults.silent_before_ms:
            await anyio.sleep_forever()
        while self.zone in faults.cut_zones:
            await faults.healed.wait()
        if delay_s:
            await anyio.sleep(delay_s)

    async def _run(self, sql, one_way_s):
        order = _ORDER_CALL.match(sql)
        if order:
            status = await self._run_order(order.group(1).lower(), order.group(2))
            await self._simulate_answer_faults(one_way_s)
            text = " ".join(str(field) for field in status)
            await self._write_rows(["status"], [[(text,)]])
            return
        locks = _GET_LOCK.findall(sql)
        if locks:
            await self._simulate_answer_faults(one_way_s)
            await self._write_rows(["permit"], [[(self._acquire_lock(locks),)]])
            return
        await self._run_statement(sql, one_way_s)

    async def _simulate_answer_faults(self, one_way_s):
        """Simulate the network and the faults that delay, lose or cross an answer."""
        faults = self._copy.faults
        if faults.answer_delay_ms:
            await anyio.sleep(faults.answer_delay_ms / 1_000)
        await self._simulate_network(one_way_s)
        if faults.lose_answers:
            faults.lose_answers -= 1
            await anyio.sleep_forever()
        if faults.cross_answers:
            faults.cross_answers -= 1
            # Skip two packet sequence numbers, as if the answer to an earlier statement
            # had arrived first.
            next(self.stream.seq)
            next(self.stream.seq)

    def _acquire_lock(self, locks):
        """Acquire the first free lock; return its number, or -1 if none is free."""
        for name, number in locks:
            holder = self._copy.locks.get(name)
            if holder is None or holder is self:
                self._copy.locks[name] = self
                self.held_locks.add(name)
                return int(number)
        return -1

    async def _run_order(self, name, text):
        arguments = [
            argument.strip().strip("'")
            for argument in text.split(",")
            if argument.strip()
        ]
        copy = self._copy
        if name == "status":
            return copy.status()
        if name == "wait":
            await self._wait_change(*(int(argument) for argument in arguments))
            return copy.status()
        if name == "fence":
            is_done = copy.fence(int(arguments[0]))
        elif name == "promote":
            is_done = await _retry_busy(lambda: copy.promote(int(arguments[0])))
        elif name == "follow":
            is_done = self._server.group.follow(copy, int(arguments[0]), arguments[1])
        else:
            raise EngineError(f"order {name} is unknown", REFUSED_ORDER_CODE)
        if not is_done:
            text = f"{copy.name} has promised term {copy.promised_term}"
            raise EngineError(text, REFUSED_ORDER_CODE)
        return copy.status()

    async def _wait_change(self, received, applied, term, wait_ms):
        """Wait until the log, applied offset or promised term is not the one given.

        Return after ``wait_ms`` at the latest.
        """
        copy = self._copy
        with anyio.move_on_after(wait_ms / 1_000):
            while (copy.received, copy.applied, copy.promised_term) == (
                received,
                applied,
                term,
            ):
                await copy.changed.wait()

    async def _run_statement(self, sql, one_way_s):
        self._copy.statements += 1
        tables = self._table_session()
        is_write = is_write_statement(sql)
        latencies = self._copy.latencies
        hold_ms = latencies.save_ms if is_write else latencies.read_ms
        # The slot is released before the statement may wait for a lock.
        async with self._server.slots:
            if hold_ms:
                await anyio.sleep(hold_ms / 1_000)
        if _BEGIN.match(sql):
            tables.begin()
            await self._write_ok(one_way_s)
        elif sql[:4].lower() == "set ":
            await self._write_ok(one_way_s)
        elif sql[:6].lower() == "commit":
            await self._commit(tables, one_way_s)
        elif sql[:8].lower() == "rollback":
            tables.rollback()
            await self._write_ok(one_way_s)
        elif is_write:
            await self._write(tables, sql, one_way_s)
        else:
            await self._read(tables, sql, one_way_s)

    def _table_session(self):
        """Return the session; open a new one if the copy rebuilt its tables."""
        is_stale = self._tables is not None and (
            self._tables.tables is not self._copy.tables
        )
        if is_stale:
            self._tables.close()
            self._tables = None
        if self._tables is None:
            self._tables = TableSession(self._copy.tables)
        return self._tables

    def _require_writable(self):
        if not self._copy.is_writable:
            raise EngineError(
                f"{self._copy.name} is read-only under term {self._copy.promised_term}",
                READ_ONLY_CODE,
            )

    async def _write(self, tables, sql, one_way_s):
        self._require_writable()
        cursor = await _retry_busy(lambda: tables.execute(sql))
        affected = max(0, cursor.rowcount)
        insert_id = cursor.lastrowid or 0 if sql[:6].lower() == "insert" else 0
        entry = None
        if not tables.is_transaction_open:
            entry = await self._commit_changes(tables)
        await self._write_ok(one_way_s, affected, insert_id, entry)

    async def _commit(self, tables, one_way_s):
        entry = None
        if tables.changes:
            try:
                self._require_writable()
            except EngineError:
                tables.rollback()
                raise
            entry = await self._commit_changes(tables)
        else:
            tables.rollback()
        await self._write_ok(one_way_s, entry=entry)

    async def _commit_changes(self, tables):
        changes = await _retry_busy(tables.commit)
        return self._copy.append(changes) if changes else None

    async def _read(self, tables, sql, one_way_s):
        cursor = await _retry_busy(lambda: tables.execute(sql))
        if cursor.description is None:
            await self._write_ok(one_way_s)
            return
        names = [column[0] for column in cursor.description]
        # A reader locks the tables until its last row is fetched. A small result is
        # therefore fetched before the network delay.
        first_batch = cursor.fetchmany(ROWS_PER_BATCH)
        more_batches = (
            _fetch_batches(cursor) if len(first_batch) == ROWS_PER_BATCH else ()
        )
        await self._simulate_answer_faults(one_way_s)
        batches = itertools.chain([first_batch] if first_batch else (), more_batches)
        await self._write_rows(names, batches)

    async def _write_ok(self, one_way_s, affected=0, insert_id=0, entry=None):
        await self._simulate_answer_faults(one_way_s)
        payload = self.ok(affected_rows=affected, last_insert_id=insert_id)
        if entry is not None:
            payload += f"bronzescale position {entry.term}:{entry.offset}".encode()
        await self.stream.write(payload)

    async def _write_rows(self, names, batches):
        columns = None
        for batch in batches:
            if columns is None:
                columns = self._write_columns(names, batch)
            self.stream.write_text_rows(batch, columns)
            await self.stream.drain()
        if columns is None:
            self._write_columns(names, [])
        await self.stream.write(self.ok_or_eof())

    def _write_columns(self, names, rows):
        first_row = rows[0] if rows else [None] * len(names)
        kinds = [
            ColumnType.VARCHAR if value is None else infer_type(value)
            for value in first_row
        ]
        count = packets.make_column_count(
            capabilities=self.capabilities, column_count=len(names)
        )
        definitions = [
            packets.make_column_definition_41(
                server_charset=self.server_charset, name=name, column_type=kind
            )
            for name, kind in zip(names, kinds, strict=True)
        ]
        self.stream.write_many([count, *definitions])
        if not self.deprecate_eof():
            self.stream.write_many([self.eof()])
        return [
            ResultColumn(name, kind) for name, kind in zip(names, kinds, strict=True)
        ]

    async def _write_error(self, error):
        header = struct.pack("<BH", 0xFF, error.code)
        text = b"#" + error.sqlstate.encode() + str(error).encode()
        await self.stream.write(header + text)


def _fetch_batches(cursor):
    while True:
        batch = cursor.fetchmany(ROWS_PER_BATCH)
        if not batch:
            return
        yield batch


async def _retry_busy(run):
    """Call a function again while it raises ``BusyError``, up to the lock timeout."""
    deadline_s = time.monotonic() + LOCK_TIMEOUT_S
    while True:
        try:
            return run()
        except BusyError:
            if time.monotonic() > deadline_s:
                raise EngineError(
                    "lock wait timeout exceeded", LOCK_TIMEOUT_CODE
                ) from None
            await anyio.sleep(BUSY_RETRY_INTERVAL_S)


class CopyServer:
    """Listener for the clients of one copy.

    Parameters
    ----------
    group : DatabaseGroup
        Group of the copy.
    copy : Copy
        Copy to serve.
    """

    def __init__(self, group, copy):
        self.group = group
        self.copy = copy
        self.slots = anyio.Semaphore(copy.settings.slots)
        self._control = LocalControl()
        self._identities = PermissiveIdentityProvider()
        self._server = None
        self._connections = set()
        self.port = copy.settings.port

    async def start(self):
        """Listen for clients."""
        self._server = await asyncio.start_server(
            self._accept, self.copy.settings.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Simulate a crash: refuse new connections and reset the open ones."""
        self.copy.faults.is_stopped = True
        self._server.close()
        for connection in list(self._connections):
            connection.stream.writer.transport.abort()
        self.copy.notify()

    async def restart(self):
        """Listen again after ``stop``, with the log, role and terms from before."""
        self.copy.faults.is_stopped = False
        await self.start()
        self.copy.notify()

    def silence(self):
        """Never answer on the connections that are open now; new ones work."""
        self.copy.faults.silent_before_ms = time.monotonic() * 1_000

    def cut(self, zones):
        """Partition the copy from zones, which may include its own zone.

        Parameters
        ----------
        zones : iterable of str
            Zones that cannot reach the copy; an empty iterable ends the partition.
        """
        self.copy.faults.cut_zones = set(zones)
        self.copy.faults.heal()
        self.copy.notify()

    async def _accept(self, reader, writer):
        copy = self.copy
        await anyio.sleep(copy.latencies.connect_ms / 1_000)
        stream = MysqlStream(reader, writer)
        connection = StandinConnection(
            self,
            stream=stream,
            session=StandinSession(),
            control=self._control,
            identity_provider=self._identities,
        )
        if copy.connections >= copy.settings.max_connections:
            copy.refused_connections += 1
            error = EngineError(
                "Too many connections", TOO_MANY_CONNECTIONS_CODE, "08004"
            )
            await connection._write_error(error)
            writer.close()
            return
        copy.connections += 1
        copy.most_connections = max(copy.most_connections, copy.connections)
        self._connections.add(connection)
        connection.connection_id = await self._control.add(connection)
        try:
            await self._serve(connection, reader)
        finally:
            copy.connections -= 1
            self._connections.discard(connection)
            connection.release()
            writer.close()
            await self._control.remove(connection.connection_id)

    async def _serve(self, connection, reader):
        """Serve a client until it disconnects, also while a statement hangs.

        A task that waits in a statement does not read from the socket. It is therefore
        cancelled when the stream reader receives the end of the stream.
        """
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        feed_eof = reader.feed_eof

        def handle_eof():
            feed_eof()
            loop.call_later(DISCONNECT_GRACE_S, task.cancel)

        reader.feed_eof = handle_eof
        try:
            await connection.start()
        except (ConnectionError, ConnectionClosed, struct.error, AttributeError):
            logger.debug("A client closed its connection or broke the protocol.")
        except asyncio.CancelledError:
            logger.debug("A client disconnected while its statement was running.")
