"""Databases of one service that speak the line protocol of PROTOCOL.md."""

import asyncio
import itertools
import time

REPLICATION_POLL_S = 0.005
OLD_PRIMARY_KEEPS_ROLE_S = 1.0


class Group:
    """The databases of one service; the first one added is the primary.

    Parameters
    ----------
    service : str
        Name of the service.
    record : Record
        Gets each statement that runs.
    **options
        `slots`, `max_conns`, `queue`, `handshake_s`, `lag_s`, `promote_s`, `work_s`.
    """

    def __init__(self, service, record, **options):
        self.service = service
        self.record = record
        self.slots = options.get("slots", 3)
        self.max_conns = options.get("max_conns", 43)
        self.queue = options.get("queue", 24)
        self.handshake_s = options.get("handshake_s", 0.012)
        self.lag_s = options.get("lag_s", 0.02)
        self.promote_s = options.get("promote_s", 0.3)
        # Work of one statement, in s; a script may change it while it runs.
        self.work_s = options.get("work_s", 0.006)
        self.databases = {}
        self.numbers = itertools.count(1)
        self.promotions = []

    def add(self, name, zone, host):
        """Add a database."""
        database = Database(self, name, zone, host)
        database.is_primary = not self.databases
        self.databases[name] = database
        return database

    def primary(self):
        """Return the database that leads the newest term, or None."""
        leading = [d for d in self.databases.values() if d.is_primary and d.is_running]
        return max(leading, key=lambda d: d.term, default=None)

    async def promote(self, name, holder, token):
        """Carry out an order to promote; return whether the database runs."""
        self.promotions.append((holder, token, name))
        self.record.add("promote_order", holder=holder, token=token, database=name)
        database = self.databases.get(name)
        if database is None or not database.is_running:
            return False
        if database is self.primary():
            return True
        await asyncio.sleep(self.promote_s)
        if not database.is_running:
            return False
        terms = [max(d.term, d.paused_term) for d in self.databases.values()]
        database.term = max(terms) + 1
        database.is_primary = True
        database.paused_term = 0
        self.record.add("promoted", database=name, term=database.term)
        return True

    async def replicate(self):
        """Copy the primary's log to the replicas until cancelled."""
        seen_since = {}
        while True:
            await asyncio.sleep(REPLICATION_POLL_S)
            primary = self.primary()
            if primary is None:
                continue
            for database in self.databases.values():
                if database is primary or not database.is_running:
                    continue
                if database.is_primary:
                    since_s = seen_since.setdefault(database.name, time.monotonic())
                    if time.monotonic() - since_s < OLD_PRIMARY_KEEPS_ROLE_S:
                        continue
                    database.is_primary = False
                seen_since.pop(database.name, None)
                if database.paused_term <= primary.term:
                    database.copy_log(primary)


class Database:
    """One database."""

    def __init__(self, group, name, zone, host):
        self.group = group
        self.name = name
        self.zone = zone
        self.host = host
        self.port = 0
        self.is_primary = False
        self.is_running = False
        self.state = "ready"
        self.term = 1
        self.paused_term = 0
        self.log = []
        self.received_at_s = []
        self.born_ms = 0
        self.sessions = set()
        self.busy = 0
        self.waiting = 0
        self._free = asyncio.Condition()
        self._receipts = itertools.count(1)
        self._server = None

    @property
    def address(self):
        """Return IP address and port."""
        return f"{self.host}:{self.port}"

    async def start(self):
        """Listen, at the same port after a crash."""
        self.born_ms = time.time_ns() // 1_000_000
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2_097_152
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_running = True

    def crash(self):
        """Stop at once and break every connection; the log stays."""
        self.is_running = False
        self._server.close()
        for session in list(self.sessions):
            session.abort()
        self.sessions.clear()

    def copy_log(self, primary):
        """Take over the log of a primary."""
        common = 0
        for own, other in zip(self.log, primary.log, strict=False):
            if own != other:
                break
            common += 1
        del self.log[common:], self.received_at_s[common:]
        for entry in primary.log[common:]:
            self.log.append(entry)
            self.received_at_s.append(time.monotonic())
        self.term = primary.term

    def applied(self):
        """Return how many entries of the log reads see."""
        if self.is_primary:
            return len(self.log)
        until_s = time.monotonic() - self.group.lag_s
        return sum(at_s <= until_s for at_s in self.received_at_s)

    def position(self):
        """Return the position that reads see."""
        return f"{self.term}.{self.applied()}"

    def has_applied(self, position):
        """Return whether reads see a position."""
        term, _, number = position.partition(".")
        return int(term) <= self.term and int(number) <= self.applied()

    def value(self, item, uncommitted):
        """Return what a read of an item finds."""
        for name, data in reversed(uncommitted):
            if name == item:
                return data
        for entry in reversed(self.log[: self.applied()]):
            for name, data in reversed(entry[2]):
                if name == item:
                    return data
        return "-"

    def receipt(self):
        """Return a new receipt."""
        return f"{self.name}.{next(self._receipts):x}.{self.born_ms:x}"

    async def take_slot(self):
        """Wait for a slot; return False if too many wait already."""
        if self.busy < self.group.slots:
            self.busy += 1
            return True
        if self.waiting >= self.group.queue:
            return False
        self.waiting += 1
        async with self._free:
            await self._free.wait_for(lambda: self.busy < self.group.slots)
            self.waiting -= 1
            self.busy += 1
        return True

    async def leave_slot(self):
        """Give a slot back."""
        async with self._free:
            self.busy -= 1
            self._free.notify()

    async def _serve(self, reader, writer):
        session = _Session(self, reader, writer)
        self.sessions.add(session)
        try:
            await session.run()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.sessions.discard(session)
            session.end()


class _Session:
    def __init__(self, database, reader, writer):
        self._database = database
        self._group = database.group
        self._reader = reader
        self._writer = writer
        self._number = next(database.group.numbers)
        self._values = {}
        self._prepared = {}
        # Number, kind and uncommitted writes of the open transaction.
        self._transaction = None
        self._is_failed = False

    def abort(self):
        self._writer.transport.abort()

    def end(self):
        """Roll back what is open and close."""
        if self._transaction is not None:
            self._record("rolled_back", "-", "connection closed")
            self._transaction = None
        self._writer.close()

    def _record(self, kind, request_id, text, **fields):
        transaction = self._transaction
        self._group.record.add(
            kind,
            database=self._database.name,
            connection=self._number,
            transaction=transaction["number"] if transaction else None,
            id=request_id,
            text=text,
            **fields,
        )

    async def _receive(self):
        line = await self._reader.readuntil(b"\r\n")
        return line[:-2].decode("latin-1")

    def _send(self, lines):
        self._writer.write("".join(f"{line}\r\n" for line in lines).encode("latin-1"))

    async def run(self):
        fields = (await self._receive()).split(" ")
        database = self._database
        is_known = len(fields) >= 3 and fields[:2] == ["CONNECT", self._group.service]
        if not is_known or (len(fields) > 3 and fields[3] != database.name):
            self._send([f"ERROR WRONGNODE {database.name}"])
            return
        if len(database.sessions) > self._group.max_conns:
            self._send(["ERROR TOOMANY connections"])
            return
        if not await database.take_slot():
            self._send(["ERROR BUSY"])
            return
        try:
            await asyncio.sleep(self._group.handshake_s)
        finally:
            await database.leave_slot()
        self._send([f"READY I {database.position()}"])
        while True:
            word, _, rest = (await self._receive()).partition(" ")
            if word != "QUERY":
                return
            request_id, _, text = rest.partition(" ")
            answer = await self._answer(request_id, text)
            state = "I" if self._transaction is None else "T"
            if self._is_failed:
                state = "E"
            self._send([*answer, f"READY {state} {database.position()}"])
            await self._writer.drain()

    def _fail(self, code, text):
        self._is_failed = self._transaction is not None
        return [f"ERROR {code} {text}"]

    async def _answer(self, request_id, text):
        full_text, floor = text, None
        if text.startswith("AFTER "):
            _, floor, text = text.split(" ", 2)
        word, _, rest = text.partition(" ")
        if self._is_failed and word not in ("ROLLBACK", "COMMIT"):
            return ["ERROR MALFORMED the transaction failed"]
        if floor is not None and not self._database.has_applied(floor):
            return self._fail("LAGGING", self._database.position())
        handler = getattr(self, f"_on_{word.lower()}", None)
        if handler is None:
            return ["ERROR MALFORMED"]
        return await handler(request_id, full_text, rest)

    # Session state

    async def _on_set(self, request_id, text, rest):
        name, _, value = rest.partition(" ")
        self._values[name] = value
        self._record("session_value", request_id, text)
        return ["DONE -"]

    async def _on_reset(self, request_id, text, rest):
        self._values.clear()
        self._prepared.clear()
        return ["DONE -"]

    async def _on_prepare(self, request_id, text, rest):
        name, kind, shape = rest.split(" ", 2)
        self._prepared[name] = kind, shape
        return ["DONE -"]

    async def _on_dealloc(self, request_id, text, rest):
        if self._prepared.pop(rest, None) is None:
            return self._fail("NOSTMT", rest)
        return ["DONE -"]

    # Transactions

    async def _on_begin(self, request_id, text, rest):
        if self._transaction is not None:
            return self._fail("MALFORMED", "a transaction is open")
        is_read_only = rest == "READ"
        if not is_read_only and not self._database.is_primary:
            return self._fail("READONLY", self._database.name)
        self._transaction = {
            "number": f"t{next(self._group.numbers)}",
            "is_read_only": is_read_only,
            "term": self._database.term,
            "writes": [],
        }
        self._record("begin", request_id, text)
        return ["DONE -"]

    async def _on_rollback(self, request_id, text, rest):
        self._record("rollback", request_id, text)
        self._transaction = None
        self._is_failed = False
        return ["DONE -"]

    async def _on_commit(self, request_id, text, rest):
        transaction = self._transaction
        if transaction is None:
            return ["ERROR MALFORMED no transaction"]
        if self._is_failed:
            self._transaction = None
            self._is_failed = False
            return ["ERROR ABORTED"]
        if not await self._database.take_slot():
            return self._fail("BUSY", "slots")
        try:
            await asyncio.sleep(self._group.work_s)
            if transaction["writes"]:
                if not self._leads():
                    self._transaction = None
                    return [f"ERROR READONLY {self._database.name}"]
                self._append(request_id, transaction["writes"])
            self._record("commit", request_id, text, writes=transaction["writes"])
            self._transaction = None
        finally:
            await self._database.leave_slot()
        return [f"DONE {self._database.receipt()}"]

    def _leads(self):
        transaction = self._transaction
        database = self._database
        is_same_term = transaction is None or transaction["term"] == database.term
        return database.is_primary and is_same_term

    def _append(self, request_id, writes):
        database = self._database
        number = len(database.log) + 1
        database.log.append((database.term, number, tuple(writes), request_id))
        database.received_at_s.append(time.monotonic())

    # Statements

    async def _on_read(self, request_id, text, rest):
        return await self._read(request_id, text, rest, "")

    async def _on_write(self, request_id, text, rest):
        item, _, data = rest.partition(" ")
        return await self._write(request_id, text, item, data, "")

    async def _on_execute(self, request_id, text, rest):
        name, _, arguments = rest.partition(" ")
        if name not in self._prepared:
            return self._fail("NOSTMT", name)
        kind, shape = self._prepared[name]
        if kind == "READ":
            return await self._read(request_id, text, arguments, shape)
        item, _, data = arguments.partition(" ")
        return await self._write(request_id, text, item, data, shape)

    async def _read(self, request_id, text, item, shape):
        transaction = self._transaction
        is_plain = transaction is not None and not transaction["is_read_only"]
        if is_plain and not self._leads():
            return self._fail("READONLY", self._database.name)
        if not await self._database.take_slot():
            return self._fail("BUSY", "slots")
        try:
            await asyncio.sleep(self._group.work_s)
            writes = transaction["writes"] if transaction else ()
            value = self._database.value(item, writes)
            self._record(
                "read", request_id, text, values=dict(self._values), shape=shape
            )
        finally:
            await self._database.leave_slot()
        return [f"ROW {value}", f"DONE {self._database.receipt()}"]

    async def _write(self, request_id, text, item, data, shape):
        transaction = self._transaction
        is_read_only = transaction is not None and transaction["is_read_only"]
        if is_read_only or not self._leads():
            return self._fail("READONLY", self._database.name)
        if not await self._database.take_slot():
            return self._fail("BUSY", "slots")
        try:
            await asyncio.sleep(self._group.work_s)
            if not self._leads():
                return self._fail("READONLY", self._database.name)
            self._record(
                "write", request_id, text, values=dict(self._values), shape=shape
            )
            if transaction is None:
                self._append(request_id, [(item, data)])
            else:
                transaction["writes"].append((item, data))
        finally:
            await self._database.leave_slot()
        return [f"DONE {self._database.receipt()}"]

    # Control

    async def _on_status(self, request_id, text, rest):
        database = self._database
        if not await database.take_slot():
            return ["ERROR BUSY"]
        await database.leave_slot()
        role = "primary" if database.is_primary else "replica"
        lag_ms = 0 if database.is_primary else int(self._group.lag_s * 1_000)
        return [
            f"ROW {role} {database.term} {database.term}.{len(database.log)} "
            f"{database.paused_term} {lag_ms} {database.busy} {len(database.sessions)}",
            "DONE -",
        ]

    async def _on_pause(self, request_id, text, rest):
        if not self._database.is_primary:
            self._database.paused_term = max(self._database.paused_term, int(rest))
        return await self._on_status(request_id, text, "")

    async def _on_resume(self, request_id, text, rest):
        self._database.paused_term = 0
        return await self._on_status(request_id, text, "")

    async def _on_stepdown(self, request_id, text, rest):
        if self._database.is_primary and int(rest) > self._database.term:
            self._database.is_primary = False
        return await self._on_status(request_id, text, "")
