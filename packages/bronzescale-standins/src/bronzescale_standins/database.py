"""Serve one copy of a database group over the MySQL protocol."""

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

CON_COUNT_CODE = 1040
ORDER_CODE = 1644
LOCK_TIMEOUT_S = 5.0
BUSY_PAUSE_S = 0.001
ROWS_PER_BATCH = 2_000
GONE_GRACE_S = 0.01
_ORDER = re.compile(r"\s*call\s+bronzescale\.(\w+)\((.*)\)\s*;?\s*$", re.I | re.S)
_GLOBAL_VARIABLES = GlobalVariables()
_BEGIN = re.compile(r"\s*(begin|start\s+transaction)\b", re.I)
_LOCK = re.compile(r"WHEN GET_LOCK\('([\w.]+)', 0\) = 1 THEN (\d+)")


class StandinSession(BaseSession):
    """What the MySQL library needs to know of a session."""

    def __init__(self):
        self.variables = SessionVariables(_GLOBAL_VARIABLES)
        self.username = None
        self.database = None


class AnyIdentity(IdentityProvider):
    """Accept every login; the stand-in guards nothing."""

    async def get_user(self, username):
        """Return a login without a password."""
        return MimicUser(name=username, auth_plugin=NativePasswordAuthPlugin.name)


class StandinConnection(Connection):
    """One client of a copy.

    Parameters
    ----------
    server : CopyServer
        The copy's server.
    **options : dict
        What the library's connection takes.
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
        """Log in and learn the client's zone from its program name."""
        await super().connection_phase()
        words = self.client_connect_attrs.get("program_name", "").split()
        self.zone = words[2] if len(words) == 3 else self._copy.settings.zone

    async def handle_query(self, data):
        """Run one statement, under the faults in force."""
        query = packets.parse_com_query(
            capabilities=self.capabilities,
            client_charset=self.client_charset,
            data=data,
        )
        one_way_s = self._copy.one_way_s(self.zone)
        await self._pass_network(one_way_s)
        try:
            await self._run(query.sql.strip(), one_way_s)
        except EngineError as error:
            await self._pass_network(one_way_s)
            await self._write_error(error)

    async def handle_ping(self, data):
        """Answer a ping, under the faults in force."""
        await self._pass_network(2 * self._copy.one_way_s(self.zone))
        await super().handle_ping(data)

    def release(self):
        """Free what the connection held."""
        if self._tables is not None:
            self._tables.close()
        for name in self.held_locks:
            if self._copy.locks.get(name) is self:
                del self._copy.locks[name]

    async def _pass_network(self, delay_s):
        """Wait as long as the network takes; for ever on a silent connection."""
        faults = self._copy.faults
        if self._opened_at_ms < faults.silent_before_ms:
            await anyio.sleep_forever()
        while self.zone in faults.cut_zones:
            await faults.healed.wait()
        if delay_s:
            await anyio.sleep(delay_s)

    async def _run(self, sql, one_way_s):
        order = _ORDER.match(sql)
        if order:
            status = await self._run_order(order.group(1).lower(), order.group(2))
            await self._before_answer(one_way_s)
            text = " ".join(str(each) for each in status)
            await self._write_rows(["status"], [[(text,)]])
            return
        locks = _LOCK.findall(sql)
        if locks:
            await self._before_answer(one_way_s)
            await self._write_rows(["permit"], [[(self._take_lock(locks),)]])
            return
        await self._run_statement(sql, one_way_s)

    async def _before_answer(self, one_way_s):
        faults = self._copy.faults
        if faults.answer_delay_ms:
            await anyio.sleep(faults.answer_delay_ms / 1_000)
        await self._pass_network(one_way_s)
        if faults.lose_answers:
            faults.lose_answers -= 1
            await anyio.sleep_forever()
        if faults.cross_answers:
            faults.cross_answers -= 1
            # An answer that belongs to an earlier statement arrives first.
            next(self.stream.seq)
            next(self.stream.seq)

    def _take_lock(self, locks):
        for name, number in locks:
            holder = self._copy.locks.get(name)
            if holder is None or holder is self:
                self._copy.locks[name] = self
                self.held_locks.add(name)
                return int(number)
        return -1

    async def _run_order(self, name, text):
        arguments = [
            each.strip().strip("'") for each in text.split(",") if each.strip()
        ]
        copy = self._copy
        if name == "status":
            return copy.status()
        if name == "wait":
            await self._wait_change(*(int(each) for each in arguments))
            return copy.status()
        if name == "fence":
            is_done = copy.fence(int(arguments[0]))
        elif name == "promote":
            is_done = await _retry_busy(lambda: copy.lead(int(arguments[0])))
        elif name == "follow":
            is_done = self._server.group.follow(copy, int(arguments[0]), arguments[1])
        else:
            raise EngineError(f"order {name} is unknown", ORDER_CODE)
        if not is_done:
            text = f"{copy.name} has promised term {copy.promised_term}"
            raise EngineError(text, ORDER_CODE)
        return copy.status()

    async def _wait_change(self, received, applied, term, wait_ms):
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
        tables = self._session()
        is_write = is_write_statement(sql)
        latencies = self._copy.latencies
        hold_ms = latencies.save_ms if is_write else latencies.read_ms
        # A statement that waits for a lock afterwards does not hold a slot.
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

    def _session(self):
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
        if not tables.is_open:
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
        # A small result gives its lock back before the network takes its time.
        first = cursor.fetchmany(ROWS_PER_BATCH)
        rest = _batches(cursor) if len(first) == ROWS_PER_BATCH else ()
        await self._before_answer(one_way_s)
        batches = itertools.chain([first] if first else (), rest)
        await self._write_rows(names, batches)

    async def _write_ok(self, one_way_s, affected=0, insert_id=0, entry=None):
        await self._before_answer(one_way_s)
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
        first = rows[0] if rows else [None] * len(names)
        kinds = [
            ColumnType.VARCHAR if value is None else infer_type(value)
            for value in first
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
        head = struct.pack("<BH", 0xFF, error.code)
        text = b"#" + error.sqlstate.encode() + str(error).encode()
        await self.stream.write(head + text)


def _batches(cursor):
    while True:
        batch = cursor.fetchmany(ROWS_PER_BATCH)
        if not batch:
            return
        yield batch


async def _retry_busy(run):
    deadline_s = time.monotonic() + LOCK_TIMEOUT_S
    while True:
        try:
            return run()
        except BusyError:
            if time.monotonic() > deadline_s:
                raise EngineError(
                    "lock wait timeout exceeded", LOCK_TIMEOUT_CODE
                ) from None
            await anyio.sleep(BUSY_PAUSE_S)


class CopyServer:
    """Listener of one copy.

    Parameters
    ----------
    group : DatabaseGroup
        The group.
    copy : Copy
        The copy.
    """

    def __init__(self, group, copy):
        self.group = group
        self.copy = copy
        self.slots = anyio.Semaphore(copy.settings.slots)
        self._control = LocalControl()
        self._identities = AnyIdentity()
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
        """Die: refuse new connections and reset the open ones."""
        self.copy.faults.is_stopped = True
        self._server.close()
        for connection in list(self._connections):
            connection.stream.writer.transport.abort()
        self.copy.notify()

    async def restart(self):
        """Come back with everything that was logged, believing what it believed."""
        self.copy.faults.is_stopped = False
        await self.start()
        self.copy.notify()

    def silence(self):
        """Make every open connection silent for good; new ones work."""
        self.copy.faults.silent_before_ms = time.monotonic() * 1_000

    def cut(self, zones):
        """Cut the copy off from zones, its own callers' zone included or not.

        Parameters
        ----------
        zones : iterable of str
            The zones; an empty one heals the cut.
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
            error = EngineError("Too many connections", CON_COUNT_CODE, "08004")
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
        """Serve until the client is gone, also while a statement hangs."""
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        feed_eof = reader.feed_eof

        def note_end():
            feed_eof()
            loop.call_later(GONE_GRACE_S, task.cancel)

        reader.feed_eof = note_end
        try:
            await connection.start()
        except (ConnectionError, ConnectionClosed, struct.error, AttributeError):
            logger.debug("database: a client broke off.")
        except asyncio.CancelledError:
            logger.debug("database: a client left a statement behind.")
