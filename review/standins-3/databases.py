"""Stand in for the replicated databases of one service.

The databases follow PROTOCOL.md: sessions, slots, positions, replication with a delay,
`STATUS`, `PAUSE`, `RESUME`, `STEPDOWN`, and promotions. They run in the event loop of
the scenario, and report what they run to its record.
"""

import asyncio
import bisect
import itertools
import time
from typing import NamedTuple

QUEUE_LENGTH = 24
REPLICATION_POLL_S = 0.002
# A replaced primary gives up this long after it can reach its successor.
OLD_PRIMARY_S = 1.0


class Entry(NamedTuple):
    """A commit in the log of a database."""

    term: int
    number: int
    request_id: str
    writes: tuple
    at_s: float


class Group:
    """The databases of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    record : Record
        Receives what the databases run.
    sync_replicas : int
        Replicas that have received a commit before it is acknowledged.
    promote_s : float
        Duration of a promotion.
    """

    def __init__(self, service, record, sync_replicas=0, promote_s=0.3):
        self.service = service
        self.record = record
        self.sync_replicas = sync_replicas
        self.promote_s = promote_s
        self.databases = {}
        self.promotions = []
        self._last_leader = None
        self._led_until_s = 0.0
        self.receipts = itertools.count(1)
        self.connection_numbers = itertools.count(1)

    def add(self, name, zone, address, **options):
        """Add a database; the first one is the primary of term 1."""
        database = Database(self, name, zone, address, **options)
        database.is_primary = not self.databases
        self.databases[name] = database
        return database

    def leader(self):
        """Return the primary of the newest term, running or not."""
        primaries = [d for d in self.databases.values() if d.is_primary]
        return max(primaries, key=lambda d: d.term, default=None)

    def source(self, replica):
        """Return the database whose commits a replica receives, or None.

        What a primary sent before it stepped down still arrives at the replicas that
        ran then. A replica sends nothing to others.
        """
        leader = self.leader()
        if leader is not None:
            self._last_leader, self._led_until_s = leader, time.monotonic()
            return leader
        has_run = replica.started_at_s < self._led_until_s
        return self._last_leader if has_run else None

    async def promote(self, name):
        """Let a database lead the next term; return whether it runs."""
        database = self.databases.get(name)
        if database is None or not database.is_running:
            return False
        if database is self.leader():
            return True
        await asyncio.sleep(self.promote_s)
        if not database.is_running:
            return False
        database.term = max(d.term for d in self.databases.values()) + 1
        database.is_primary = True
        database.paused_term = 0
        self.promotions.append((time.monotonic(), name, tuple(database.log)))
        self.record.write(
            "promoted", database=name, term=database.term, log=len(database.log)
        )
        return True


class Database:
    """One database.

    Parameters
    ----------
    group : Group
        Its service.
    name : str
        Id of the database.
    zone : str
        Availability zone.
    address : tuple of (str, int)
        Loopback address and port.
    delay_s : float
        Time until a commit of the primary is received here.
    apply_s : float
        Time from receiving a commit to applying it.
    slots : int
        Statements that run at the same time.
    work_s : float
        How long a statement holds a slot.
    max_connections : int
        Connections from all callers together.
    """

    def __init__(
        self,
        group,
        name,
        zone,
        address,
        delay_s=0.001,
        apply_s=0.02,
        slots=3,
        work_s=0.006,
        max_connections=43,
    ):
        self.group = group
        self.name = name
        self.zone = zone
        self.address = address
        self.delay_s = delay_s
        self.apply_s = apply_s
        self.slots = slots
        self.work_s = work_s
        self.max_connections = max_connections
        self.is_primary = False
        self.is_running = False
        self.is_leaving = False
        self.term = 1
        self.paused_term = 0
        # Set by each `PAUSE`.
        self.paused = asyncio.Event()
        self.log = []
        self.received_at_s = []
        self._applied = 0
        self.born_ms = 0
        self.started_at_s = 0.0
        self.connections = set()
        self.waiting = 0
        self._semaphore = asyncio.Semaphore(slots)
        self._server = None
        self._tasks = []
        self._reached_successor_at_s = None

    async def start(self, is_empty=False):
        """Start; a primary that crashed comes back with its log.

        Parameters
        ----------
        is_empty : bool
            Whether it holds and knows nothing of before, as a replica that starts
            again under its id.
        """
        self.born_ms = time.time_ns() // 1_000_000
        self.started_at_s = time.monotonic()
        if is_empty:
            self.term, self.log, self.received_at_s = 1, [], []
            self._applied = 0
        leader = self.group.leader()
        if leader is not None and leader is not self:
            self.is_primary = False
        self._semaphore = asyncio.Semaphore(self.slots)
        self.waiting = 0
        self._server = await asyncio.start_server(
            self._serve, *self.address, limit=2**21
        )
        self.is_running = True
        self._tasks = [asyncio.create_task(self._replicate())]

    async def crash(self):
        """End at once: connections are reset and new ones refused."""
        self.is_running = False
        self.paused_term = 0
        self.group.record.write("crashed", database=self.name, log=len(self.log))
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for session in list(self.connections):
            session.abort()

    async def _replicate(self):
        while True:
            await asyncio.sleep(REPLICATION_POLL_S)
            leader = self.group.source(self)
            if leader is None or leader is self or not leader.is_running:
                self._reached_successor_at_s = None
                continue
            if self.is_primary:
                await self._give_up_lead()
                continue
            if self.paused_term > leader.term or leader.term < self.term:
                continue
            self._receive(leader)

    async def _give_up_lead(self):
        now_s = time.monotonic()
        if self._reached_successor_at_s is None:
            self._reached_successor_at_s = now_s
        if now_s - self._reached_successor_at_s >= OLD_PRIMARY_S:
            self.is_primary = False

    def _receive(self, leader):
        common = 0
        for own, other in zip(self.log, leader.log, strict=False):
            if own != other:
                break
            common += 1
        del self.log[common:]
        del self.received_at_s[common:]
        self._applied = min(self._applied, common)
        sent_before_s = time.monotonic() - self.delay_s
        for entry in leader.log[common:]:
            if entry.at_s > sent_before_s:
                break
            self.log.append(entry)
            self.received_at_s.append(time.monotonic())
        self.term = leader.term

    @property
    def applied(self):
        """Return how many entries of the log a read sees."""
        if self.is_primary:
            self._applied = len(self.log)
            return self._applied
        until_s = time.monotonic() - self.apply_s
        count = bisect.bisect_right(self.received_at_s, until_s)
        # A replica that begins to lag does not lose what it has applied.
        self._applied = min(len(self.log), max(self._applied, count))
        return self._applied

    def append(self, request_id, writes):
        """Commit; return the entry."""
        entry = Entry(
            self.term, len(self.log) + 1, request_id, tuple(writes), time.monotonic()
        )
        self.log.append(entry)
        self.received_at_s.append(entry.at_s)
        return entry

    async def wait_for_replicas(self, entry):
        """Wait until enough replicas have received a commit."""
        replicas = [d for d in self.group.databases.values() if d is not self]
        while True:
            count = sum(d.is_running and entry in d.log[-500:] for d in replicas)
            if count >= self.group.sync_replicas:
                return
            await asyncio.sleep(REPLICATION_POLL_S)

    async def _serve(self, reader, writer):
        await Session(self, reader, writer).run()

    def take_slot(self):
        """Return a context that holds a slot."""
        return self._semaphore


class Session:
    """One connection to a database."""

    def __init__(self, database, reader, writer):
        self._database = database
        self._reader = reader
        self._writer = writer
        self._number = next(database.group.connection_numbers)
        self._opener = ""
        self._values = {}
        self._prepared = {}
        self._writes = None
        self._is_read_only = False
        self._is_failed = False
        self._term = 0

    def abort(self):
        """Reset the connection."""
        self._writer.transport.abort()

    async def run(self):
        """Serve until the connection ends."""
        self._database.connections.add(self)
        try:
            if await self._greet():
                while True:
                    line = await self._read_line()
                    if not line.startswith("QUERY "):
                        return
                    _, request_id, text = line.split(" ", 2)
                    if request_id != "-":
                        self._database.group.record.write(
                            "received", database=self._database.name, request=request_id
                        )
                    lines = await self._run(request_id, text)
                    await self._send(
                        [*lines, f"READY {self._state()} {self._position()}"]
                    )
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._database.connections.discard(self)
            self.abort()

    async def _read_line(self):
        line = await self._reader.readuntil(b"\r\n")
        return line[:-2].decode("latin-1")

    async def _send(self, lines):
        self._writer.write("".join(f"{line}\r\n" for line in lines).encode("latin-1"))
        await self._writer.drain()

    async def _greet(self):
        fields = (await self._read_line()).split(" ")
        self._opener = fields[2] if len(fields) > 2 else ""
        database = self._database
        is_named = fields[:2] == ["CONNECT", database.group.service]
        if not is_named or (len(fields) > 3 and fields[3] != database.name):
            await self._send([f"ERROR WRONGNODE {database.name}"])
            return False
        if len(database.connections) > database.max_connections:
            await self._send(["ERROR TOOMANY connections"])
            return False
        async with database.take_slot():
            await asyncio.sleep(0.012)
        await self._send([f"READY I {self._position()}"])
        return True

    def _state(self):
        if self._writes is None:
            return "I"
        return "E" if self._is_failed else "T"

    def _position(self):
        return f"{self._database.term}.{self._database.applied}"

    def _fail(self, code, text):
        self._is_failed = self._writes is not None
        return [f"ERROR {code} {text}"]

    async def _run(self, request_id, text):
        floor = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            floor = tuple(int(part) for part in position.split("."))
        word, _, arguments = text.partition(" ")
        if self._is_failed and word not in ("COMMIT", "ROLLBACK"):
            return ["ERROR MALFORMED the transaction failed"]
        if floor is not None and not self._has(floor):
            return self._fail("LAGGING", "behind")
        handler = getattr(self, f"_on_{word.lower()}", None)
        if handler is None:
            return self._fail("MALFORMED", "unknown statement")
        return await handler(request_id, arguments)

    def _has(self, floor):
        database = self._database
        term, number = floor
        return term <= database.term and number <= database.applied

    async def _take_slot(self, work_s=None):
        """Hold a slot for a statement; return whether there was room for it."""
        database = self._database
        if database.waiting >= QUEUE_LENGTH:
            return False
        database.waiting += 1
        try:
            async with database.take_slot():
                await asyncio.sleep(database.work_s if work_s is None else work_s)
        finally:
            database.waiting -= 1
        return True

    def _has_lead(self):
        database = self._database
        return database.is_primary and self._term in (0, database.term)

    async def _on_set(self, request_id, arguments):
        name, _, value = arguments.partition(" ")
        self._values[name] = value
        return ["DONE -"]

    async def _on_reset(self, request_id, arguments):
        self._values.clear()
        self._prepared.clear()
        return ["DONE -"]

    async def _on_prepare(self, request_id, arguments):
        name, kind, shape = arguments.split(" ", 2)
        self._prepared[name] = (kind, shape)
        return ["DONE -"]

    async def _on_begin(self, request_id, arguments):
        self._is_read_only = arguments == "READ"
        if not self._is_read_only and not self._database.is_primary:
            return self._fail("READONLY", self._database.name)
        self._writes = []
        self._term = 0 if self._is_read_only else self._database.term
        return ["DONE -"]

    async def _on_rollback(self, request_id, arguments):
        self._end()
        return ["DONE -"]

    def _end(self):
        self._writes, self._is_failed, self._term = None, False, 0

    async def _on_commit(self, request_id, arguments):
        if self._writes is None:
            return ["ERROR MALFORMED no transaction"]
        writes, is_failed = self._writes, self._is_failed
        if not is_failed and not await self._take_slot():
            return self._fail("BUSY", "no free slot")
        has_lead = self._has_lead()
        self._end()
        if is_failed:
            return ["ERROR ABORTED the transaction failed"]
        if writes and not has_lead:
            return [f"ERROR READONLY {self._database.name}"]
        return await self._commit(request_id, writes)

    async def _commit(self, request_id, writes):
        database = self._database
        if writes:
            entry = database.append(request_id, writes)
            database.group.record.write(
                "commit", database=database.name, request=request_id, number=entry[:2]
            )
            await database.wait_for_replicas(entry)
        return [f"DONE {self._receipt()}"]

    def _receipt(self):
        return f"{self._database.term}.{next(self._database.group.receipts):x}"

    async def _on_read(self, request_id, arguments):
        return await self._read(request_id, arguments)

    async def _on_write(self, request_id, arguments):
        return await self._write(request_id, *arguments.split(" ", 1))

    async def _on_execute(self, request_id, arguments):
        name, _, rest = arguments.partition(" ")
        if name not in self._prepared:
            return self._fail("NOSTMT", name)
        if self._prepared[name][0] == "READ":
            return await self._read(request_id, rest)
        return await self._write(request_id, *rest.split(" ", 1))

    def _record(self, event, request_id):
        database = self._database
        database.group.record.write(
            event,
            database=database.name,
            request=request_id,
            at=self._position(),
            connection=self._number,
            opener=self._opener,
            values=dict(self._values),
            in_transaction=self._writes is not None,
        )

    async def _read(self, request_id, item):
        database = self._database
        is_plain = self._writes is not None and not self._is_read_only
        if is_plain and not self._has_lead():
            return self._fail("READONLY", database.name)
        if not await self._take_slot():
            return self._fail("BUSY", "no free slot")
        value = "-"
        for entry in database.log[: database.applied]:
            for name, data in entry.writes:
                value = data if name == item else value
        for name, data in self._writes or ():
            value = data if name == item else value
        self._record("read", request_id)
        return [f"ROW {value}", f"DONE {self._receipt()}"]

    async def _write(self, request_id, item, data):
        if not self._has_lead() or (self._writes is not None and self._is_read_only):
            return self._fail("READONLY", self._database.name)
        if not await self._take_slot():
            return self._fail("BUSY", "no free slot")
        if not self._has_lead():
            return self._fail("READONLY", self._database.name)
        self._record("write", request_id)
        if self._writes is None:
            return await self._commit(request_id, [(item, data)])
        self._writes.append((item, data))
        return [f"DONE {self._receipt()}"]

    async def _on_status(self, request_id, arguments):
        if not await self._take_slot(work_s=0.0):
            return ["ERROR BUSY no free slot"]
        return self._status()

    def _status(self):
        database = self._database
        role = "primary" if database.is_primary else "replica"
        position = f"{database.term}.{len(database.log)}"
        return [
            f"ROW {role} {database.term} {position} {database.paused_term} "
            f"{int(database.apply_s * 1_000)} {min(database.waiting, database.slots)} "
            f"{len(database.connections)}",
            "DONE -",
        ]

    async def _on_pause(self, request_id, arguments):
        database = self._database
        term = int(arguments)
        if not database.is_primary and term > database.term:
            database.paused_term = max(database.paused_term, term)
            database.paused.set()
        return self._status()

    async def _on_resume(self, request_id, arguments):
        self._database.paused_term = 0
        return self._status()

    async def _on_stepdown(self, request_id, arguments):
        database = self._database
        if int(arguments) > database.term:
            database.is_primary = False
        return self._status()
