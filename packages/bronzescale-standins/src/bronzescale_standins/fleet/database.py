"""Stand in for a replicated database group that speaks the line protocol.

Every run, commit and promotion is kept in the group's history, which the checks of
promises read; nothing of it goes through the proxy.
"""

import itertools
import socket
import time
from typing import NamedTuple

import anyio
from anyio.abc import SocketListener

CONNECT_SLOT_S = 0.002
REPLICATION_POLL_S = 0.004
OLD_PRIMARY_YIELDS_S = 1.0
SIGNATURE_MARK = "r"


class Entry(NamedTuple):
    """One commit in a log."""

    term: int
    number: int
    writes: tuple
    request_id: str


class Event(NamedTuple):
    """Something that happened at a database.

    Parameters
    ----------
    at_s : float
        Monotonic time.
    kind : str
        ``read``, ``write``, ``commit``, ``promote`` and so on.
    instance : str
        Database.
    connection : int
        Connection that asked.
    request_id : str
        Request.
    detail : object
        Text, position or values.
    """

    at_s: float
    kind: str
    instance: str
    connection: int
    request_id: str
    detail: object


class Group:
    """Databases of one service.

    Parameters
    ----------
    service : str
        Its name.
    promote_s : float
        How long a promotion takes.
    """

    def __init__(self, service, promote_s=0.1):
        self.service = service
        self.promote_s = promote_s
        self.databases = {}
        self.history = []
        self.connections = itertools.count(1)

    def note(self, kind, instance, connection=0, request_id="", detail=None):
        """Add to the history."""
        event = Event(time.monotonic(), kind, instance, connection, request_id, detail)
        self.history.append(event)

    def add(self, instance, zone, **options):
        """Add a database; the first one leads."""
        database = Database(self, instance, zone, **options)
        database.is_primary = not self.databases
        self.databases[instance] = database
        return database

    def primary(self):
        """Return the database that leads the newest term."""
        leading = [d for d in self.databases.values() if d.is_primary]
        return max(leading, key=lambda d: d.term, default=None)

    async def promote(self, instance, holder, token):
        """Put a database in the lead.

        Returns
        -------
        bool
            Whether it runs.
        """
        database = self.databases.get(instance)
        self.note("order", instance, detail=(holder, token))
        if database is None or not database.is_running:
            return False
        if database is self.primary() and not database.is_stepped_down:
            return True
        await anyio.sleep(self.promote_s)
        if not database.is_running:
            return False
        terms = [d.term for d in self.databases.values()]
        terms += [d.held_term for d in self.databases.values()]
        database.lead(max(terms) + 1)
        return True


class Database:
    """One database.

    Parameters
    ----------
    group : Group
        Its group.
    instance : str
        Its id.
    zone : str
        Availability zone.
    slots : int
        Statements side by side.
    max_connections : int
        Connections that it accepts.
    work_s : float
        Time that a statement holds a slot.
    lag_s : float
        How late a replica applies.
    """

    def __init__(
        self,
        group,
        instance,
        zone,
        slots=3,
        max_connections=21,
        work_s=0.002,
        lag_s=0.005,
    ):
        self.group = group
        self.instance = instance
        self.zone = zone
        self.slots = slots
        self.max_connections = max_connections
        self.work_s = work_s
        self.lag_s = lag_s
        self.port = 0
        self.is_primary = False
        self.is_stepped_down = False
        self.is_running = False
        self.is_listening = False
        self.is_deaf = False
        self.is_silent = False
        self.lose_next_answers = 0
        self.fail_share = 0.0
        self.hang_share = 0.0
        self.refuse_next = []
        self.term = 1
        self.held_term = 0
        self.log = []
        self.received_at = []
        self.born_ms = time.time_ns() // 1_000_000
        self.open_connections = set()
        self.most_connections = 0
        self._slots = anyio.Semaphore(slots)
        self._signatures = itertools.count(1)
        self._scope = None

    @property
    def address(self):
        """Return IP number and port."""
        return f"127.0.0.1:{self.port}"

    def lead(self, term):
        """Begin a term."""
        self.is_primary = True
        self.is_stepped_down = False
        self.term = term
        self.held_term = 0
        self.group.note("promote", self.instance, detail=(term, len(self.log)))

    def step_down(self, term):
        """End the lead of an earlier term."""
        if term > self.term:
            self.is_primary = False
            self.is_stepped_down = True

    # Running

    async def run(self, task_status):
        """Serve until stopped."""
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        raw.setblocking(False)
        raw.bind(("127.0.0.1", self.port))
        raw.listen(128)
        self.port = raw.getsockname()[1]
        with anyio.CancelScope() as self._scope:
            async with await SocketListener.from_socket(raw) as listener:
                self.is_running = self.is_listening = True
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._replicate)
                    task_status.started()
                    await listener.serve(self._serve, tasks)
        self.is_running = self.is_listening = False

    def stop(self):
        """Crash: every connection breaks and nothing listens any more."""
        self.is_running = False
        self.group.note("crash", self.instance)
        if self._scope is not None:
            self._scope.cancel()

    async def _replicate(self):
        """Receive from the newest primary that this copy can hear."""
        while True:
            await anyio.sleep(REPLICATION_POLL_S)
            primary = self.group.primary()
            if primary is None or primary is self or not primary.is_running:
                continue
            if self.is_primary and primary.term > self.term:
                await anyio.sleep(OLD_PRIMARY_YIELDS_S)
                self.step_down(primary.term)
                continue
            is_held = self.held_term > primary.term
            if self.is_primary or self.is_deaf or is_held:
                continue
            self._take_log(primary)

    def _take_log(self, primary):
        common = 0
        for own, theirs in zip(self.log, primary.log, strict=False):
            if own != theirs:
                break
            common += 1
        del self.log[common:]
        del self.received_at[common:]
        for entry in primary.log[common:]:
            self.log.append(entry)
            self.received_at.append(time.monotonic())
        self.term = primary.term
        self.is_stepped_down = False

    # What it holds

    def received(self):
        """Return the position of the newest entry."""
        return f"{self.term}.{len(self.log)}"

    def applied_count(self):
        """Return how many entries reads see."""
        if self.is_primary:
            return len(self.log)
        limit = time.monotonic() - self.lag_s
        return sum(at <= limit for at in self.received_at)

    def covers(self, term, number):
        """Tell whether reads see a position."""
        if number > self.applied_count() or term > self.term:
            return False
        return number == 0 or self.log[number - 1].term <= term or term == self.term

    def value(self, item, writes=()):
        """Return the newest value of an item."""
        for name, value in reversed(writes):
            if name == item:
                return value
        for entry in reversed(self.log[: self.applied_count()]):
            for name, value in reversed(entry.writes):
                if name == item:
                    return value
        return "-"

    def append(self, writes, request_id):
        """Commit writes."""
        entry = Entry(self.term, len(self.log) + 1, tuple(writes), request_id)
        self.log.append(entry)
        self.received_at.append(time.monotonic())
        return entry

    def signature(self):
        """Return a new signature."""
        return f"{SIGNATURE_MARK}.{self.instance}.{next(self._signatures)}"

    async def _serve(self, stream):
        from bronzescale_standins.fleet.database_session import DatabaseSession

        self.open_connections.add(stream)
        self.most_connections = max(self.most_connections, len(self.open_connections))
        try:
            async with stream:
                await DatabaseSession(self, stream).run()
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            return
        finally:
            self.open_connections.discard(stream)

    def slot(self):
        """Return the semaphore of the slots."""
        return self._slots
