"""Replicated databases that speak the users' line protocol, for the review's scripts.

Only what PROTOCOL.md says is implemented. Everything runs on loopback addresses.
"""

import asyncio
import itertools
import time

REPLICATION_INTERVAL_S = 0.002
# A replaced primary goes on until a second after it can reach the new one.
DEMOTION_DELAY_S = 1.0
# A message is at most 1 MiB.
MAX_LINE_BYTES = 1_048_576


class Entry:
    """One commit in a log."""

    def __init__(self, term, number, request_ids):
        self.term = term
        self.number = number
        self.request_ids = request_ids
        self.at_s = time.monotonic()


class Group:
    """Databases of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    record : Record
        Receives what the databases run.
    promote_s : float
        Duration of a promotion.
    sync_replicas : int
        Replicas that must have received a commit before it is acknowledged.
    """

    def __init__(self, service, record, promote_s=0.3, sync_replicas=0):
        self.service = service
        self.record = record
        self.promote_s = promote_s
        self.sync_replicas = sync_replicas
        self.databases = {}
        # For each promotion the database, and the request ids in all logs just then.
        self.promotions = []

    def add(self, instance, address, zone, **options):
        """Add a database; the first one is the primary."""
        database = Database(self, instance, address, zone, **options)
        database.is_primary = not self.databases
        self.databases[instance] = database
        return database

    def primary(self):
        """Return the running primary of the newest term, or None."""
        found = [d for d in self.databases.values() if d.is_primary and d.is_running]
        return max(found, key=lambda d: d.term, default=None)

    async def promote(self, instance):
        """Make a database the primary of the next term; return the HTTP status."""
        database = self.databases.get(instance)
        if database is None or not database.is_running:
            return 409
        if database is self.primary():
            return 200
        await asyncio.sleep(self.promote_s)
        if not database.is_running:
            return 409
        terms = [max(d.term, d.paused_term) for d in self.databases.values()]
        database.lead(max(terms) + 1)
        logs = {name: d.request_ids() for name, d in self.databases.items()}
        self.promotions.append((instance, logs))
        self.record.write("promoted", instance, term=database.term)
        return 200


class Database:
    """One database of a group.

    Parameters
    ----------
    group : Group
        Group that it belongs to.
    instance : str
        Id of the database.
    address : tuple of (str, int)
        Where it listens.
    zone : str
        Availability zone.
    slots : int
        Statements that run at a time.
    work_s : float
        Time that a statement holds a slot.
    one_way_s : float
        Time that the primary's log takes to this database.
    """

    def __init__(
        self, group, instance, address, zone, slots=3, work_s=0.006, one_way_s=0.001
    ):
        self.group = group
        self.instance = instance
        self.address = address
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.one_way_s = one_way_s
        self.state = "ready"
        self.born_ms = time.time_ns() // 1_000_000
        self.is_primary = False
        self.is_running = False
        # Keeps its listener and its connections but answers nothing, like a host that
        # has lost power.
        self.is_dark = False
        self.term = 1
        self.paused_term = 0
        self.log = []
        self.semaphore = asyncio.Semaphore(slots)
        self.signatures = itertools.count(1)
        self.received = asyncio.Event()
        # When each statement of a caller arrived, by its id.
        self.arrived_at_s = {}
        self._writers = set()
        self._tasks = []
        self._server = None

    # Life

    async def start(self):
        """Listen, and follow the primary."""
        self._server = await asyncio.start_server(
            self._serve, *self.address, limit=MAX_LINE_BYTES
        )
        self.is_running = True
        self._tasks = [asyncio.create_task(self._replicate())]

    def crash(self, is_dark=False):
        """End; a dark database leaves its connections open and silent.

        Parameters
        ----------
        is_dark : bool
            Whether its host no longer answers, instead of refusing.
        """
        self.is_running = False
        self.is_dark = is_dark
        for task in self._tasks:
            task.cancel()
        if is_dark:
            return
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def lead(self, term):
        """Become the primary of a term."""
        self.is_primary = True
        self.term = term
        self.paused_term = 0

    def entry(self):
        """Return the database's entry in the platform's store."""
        host, port = self.address
        return {
            "service": self.group.service,
            "address": f"{host}:{port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "db_role": "primary" if self.is_primary else "replica",
            "seq": 1,
            "born": self.born_ms,
        }

    # Log

    def position(self):
        """Return the end of the log as text."""
        return f"{self.term}.{len(self.log)}"

    def request_ids(self):
        """Return the ids of all requests whose commits are in the log."""
        return {name for entry in self.log for name in entry.request_ids}

    async def _replicate(self):
        while True:
            await asyncio.sleep(REPLICATION_INTERVAL_S)
            primary = self.group.primary()
            if primary is None or primary is self:
                continue
            if self.is_primary:
                if primary.term > self.term:
                    await asyncio.sleep(DEMOTION_DELAY_S)
                    self.is_primary = False
                continue
            if self.paused_term <= primary.term and self.term <= primary.term:
                self._follow(primary)

    def _follow(self, primary):
        """Take what the primary's log held one way ago; drop what it lacks."""
        common = len(self.log)
        if self.term != primary.term:
            pairs = zip(self.log, primary.log, strict=False)
            common = sum(1 for _ in itertools.takewhile(lambda p: p[0] is p[1], pairs))
            del self.log[common:]
            self.term = primary.term
        until_s = time.monotonic() - self.one_way_s
        fresh = [e for e in primary.log[common:] if e.at_s <= until_s]
        if fresh:
            self.log += fresh
            primary.received.set()

    async def commit(self, request_ids):
        """Append a commit; return once enough replicas have received it."""
        entry = Entry(self.term, len(self.log) + 1, request_ids)
        self.log.append(entry)
        for request_id in request_ids:
            self.group.record.write("committed", self.instance, request=request_id)
        while not self._is_received(entry):
            self.received.clear()
            await self.received.wait()

    def _is_received(self, entry):
        holders = [
            database
            for database in self.group.databases.values()
            if database is not self
            and len(database.log) >= entry.number
            and database.log[entry.number - 1] is entry
        ]
        return len(holders) >= self.group.sync_replicas

    # Connections

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await Session(self, reader, writer).run()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Session:
    """One connection to a database."""

    def __init__(self, database, reader, writer):
        self._database = database
        self._reader = reader
        self._writer = writer
        self._state = "I"
        self._is_read_only = False
        self._term = 0
        self._writes = []
        self._prepared = {}

    async def run(self):
        """Serve the connection until it ends."""
        database = self._database
        fields = (await self._line()).split(" ")
        if fields[:1] != ["CONNECT"] or fields[1:2] != [database.group.service]:
            self._send("ERROR WRONGNODE service")
            return
        if fields[3:4] not in ([], [database.instance]):
            self._send(f"ERROR WRONGNODE {database.instance}")
            return
        self._send(f"READY I {database.position()}")
        while True:
            word, _, rest = (await self._line()).partition(" ")
            if word != "QUERY":
                return
            request_id, _, text = rest.partition(" ")
            database.arrived_at_s[request_id] = time.monotonic()
            answer = await self._answer(request_id, text)
            await self._wait_while_dark()
            self._send(*answer, f"READY {self._state} {database.position()}")

    async def _wait_while_dark(self):
        while self._database.is_dark:
            await asyncio.sleep(0.05)

    async def _line(self):
        line = (await self._reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
        await self._wait_while_dark()
        return line

    def _send(self, *lines):
        self._writer.write("".join(f"{line}\r\n" for line in lines).encode("latin-1"))

    def _fail(self, code):
        if self._state == "T":
            self._state = "E"
        return [f"ERROR {code} {self._database.instance}"]

    def _done(self):
        number = next(self._database.signatures)
        return f"DONE {self._database.instance}.{number}"

    async def _answer(self, request_id, text):
        database = self._database
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, _, number = position.partition(".")
            if (database.term, len(database.log)) < (int(term), int(number)):
                return self._fail("LAGGING")
        word, _, rest = text.partition(" ")
        if self._state == "E" and word not in ("COMMIT", "ROLLBACK"):
            return ["ERROR MALFORMED failed"]
        handler = getattr(self, f"_on_{word.lower()}", None)
        if handler is None:
            return ["ERROR MALFORMED word"]
        return await handler(request_id, rest)

    async def _on_set(self, request_id, rest):
        return ["DONE -"]

    async def _on_reset(self, request_id, rest):
        self._prepared.clear()
        return ["DONE -"]

    async def _on_prepare(self, request_id, rest):
        name, kind, _ = rest.split(" ", 2)
        self._prepared[name] = kind
        return ["DONE -"]

    async def _on_execute(self, request_id, rest):
        name, _, arguments = rest.partition(" ")
        if name not in self._prepared:
            return self._fail("NOSTMT")
        is_write = self._prepared[name] == "WRITE"
        handler = self._on_write if is_write else self._on_read
        return await handler(request_id, arguments)

    async def _on_begin(self, request_id, rest):
        if rest != "READ" and not self._database.is_primary:
            return self._fail("READONLY")
        self._state = "T"
        self._is_read_only = rest == "READ"
        self._term = self._database.term
        self._writes = []
        return ["DONE -"]

    async def _on_rollback(self, request_id, rest):
        self._state = "I"
        return ["DONE -"]

    def _has_lost_lead(self):
        database = self._database
        if self._state != "T":
            return not database.is_primary
        is_same = database.is_primary and database.term == self._term
        return not (self._is_read_only or is_same)

    async def _on_commit(self, request_id, rest):
        if self._state == "E":
            self._state = "I"
            return ["ERROR ABORTED failed"]
        async with self._database.semaphore:
            await asyncio.sleep(self._database.work_s)
            if self._writes and self._has_lost_lead():
                self._state = "I"
                return self._fail("READONLY")
            if self._writes:
                await self._database.commit([*self._writes, request_id])
        self._state = "I"
        return [self._done()]

    async def _on_read(self, request_id, rest):
        if self._state == "T" and self._has_lost_lead():
            return self._fail("READONLY")
        async with self._database.semaphore:
            await asyncio.sleep(self._database.work_s)
            self._run(request_id, "read")
        return ["ROW x", self._done()]

    async def _on_write(self, request_id, rest):
        if self._has_lost_lead():
            return self._fail("READONLY")
        async with self._database.semaphore:
            await asyncio.sleep(self._database.work_s)
            if self._has_lost_lead():
                return self._fail("READONLY")
            self._run(request_id, "write")
            if self._state == "T":
                self._writes.append(request_id)
            else:
                await self._database.commit([request_id])
        return [self._done()]

    def _run(self, request_id, kind):
        database = self._database
        database.group.record.write(
            "ran", database.instance, request=request_id, statement=kind
        )

    async def _on_status(self, request_id, rest):
        database = self._database
        role = "primary" if database.is_primary else "replica"
        running = database.slots - database.semaphore._value
        row = f"{role} {database.term} {database.position()} {database.paused_term}"
        return [f"ROW {row} 1 {running} 5", "DONE -"]

    async def _on_pause(self, request_id, rest):
        database = self._database
        if not database.is_primary and int(rest) > database.term:
            database.paused_term = int(rest)
        return await self._on_status(request_id, rest)

    async def _on_resume(self, request_id, rest):
        self._database.paused_term = 0
        return await self._on_status(request_id, rest)

    async def _on_stepdown(self, request_id, rest):
        if int(rest) > self._database.term:
            self._database.is_primary = False
        return await self._on_status(request_id, rest)
