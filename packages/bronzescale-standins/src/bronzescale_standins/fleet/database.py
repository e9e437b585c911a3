"""Stand in for a replicated database group that speaks the line protocol.

The group records every statement, commit and promotion in its history, which the
consistency checks compare with what callers saw. The proxy has no access to it.
"""

import itertools
import socket
import time
from typing import NamedTuple

import anyio
from anyio.abc import SocketListener

CONNECT_SLOT_S = 0.002
REPLICATION_POLL_INTERVAL_S = 0.004
# Time for which a replaced primary keeps its role beside the new one.
OLD_PRIMARY_DEMOTION_DELAY_S = 1.0
SIGNATURE_PREFIX = "r"


class LogEntry(NamedTuple):
    """One commit in a log; offsets start at 1."""

    term: int
    offset: int
    writes: tuple
    request_id: str


class HistoryEvent(NamedTuple):
    """One event in the history of a group.

    Parameters
    ----------
    at_s : float
        Monotonic time.
    kind : str
        ``read``, ``write``, ``commit``, ``promote`` and so on.
    instance : str
        Id of the database.
    connection : int
        Number of the connection that sent the request; 0 for none.
    request_id : str
        Id of the request; empty for none.
    detail : object
        Data that depends on the kind, such as a text, a log entry or values.
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
        Name of the service.
    promotion_s : float
        Duration of a promotion.
    """

    def __init__(self, service, promotion_s=0.1):
        self.service = service
        self.promotion_s = promotion_s
        self.databases = {}
        self.history = []
        self.connection_numbers = itertools.count(1)
        # Name that each connection was opened for, by its number.
        self.customer_by_connection = {}

    def record(self, kind, instance, connection=0, request_id="", detail=None):
        """Add an event to the history."""
        event = HistoryEvent(
            time.monotonic(), kind, instance, connection, request_id, detail
        )
        self.history.append(event)

    def customers_of(self, request_id):
        """Return the names of the customers that a request was run for."""
        return {
            self.customer_by_connection[event.connection]
            for event in self.history
            if event.request_id == request_id and event.connection
        }

    def add(self, instance, zone, **options):
        """Add a database; the first one is the primary."""
        database = Database(self, instance, zone, **options)
        database.is_primary = not self.databases
        self.databases[instance] = database
        return database

    def primary(self):
        """Return the primary with the newest term, or None."""
        primaries = [d for d in self.databases.values() if d.is_primary]
        return max(primaries, key=lambda d: d.term, default=None)

    async def promote(self, instance, holder, token):
        """Promote a database to primary of a new term.

        The holder and its fencing token are only recorded; the checks read them later.

        Returns
        -------
        bool
            Whether the database is running and is the primary now.
        """
        database = self.databases.get(instance)
        self.record("order", instance, detail=(holder, token))
        if database is None or not database.is_running:
            return False
        if database is self.primary() and not database.is_stepped_down:
            return True
        await anyio.sleep(self.promotion_s)
        if not database.is_running:
            return False
        terms = [d.term for d in self.databases.values()]
        terms += [d.paused_term for d in self.databases.values()]
        database.become_primary(max(terms) + 1)
        return True


class Database:
    """One database of a group, with switches for the faults that tests inject.

    Parameters
    ----------
    group : Group
        Group that the database belongs to.
    instance : str
        Id of the database.
    zone : str
        Availability zone.
    slots : int
        Number of statements that run concurrently.
    max_connections : int
        Maximum number of open connections.
    work_s : float
        Time that a statement holds a slot.
    lag_s : float
        Time between receiving and applying a log entry on a replica.
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
        self.is_replication_stopped = False
        self.is_silent = False
        # How long a new connection holds a slot before it is greeted.
        self.greeting_s = 0.001
        self.lose_next_answers = 0
        self.fail_share = 0.0
        self.hang_share = 0.0
        self.refuse_next = []
        self.term = 1
        self.paused_term = 0
        self.log = []
        self.received_at = []
        self.started_at_ms = time.time_ns() // 1_000_000
        self.open_connections = set()
        self.most_connections = 0
        self._slots = anyio.Semaphore(slots)
        self._signatures = itertools.count(1)
        self._scope = None

    @property
    def address(self):
        """Return IP address and port."""
        return f"127.0.0.1:{self.port}"

    def become_primary(self, term):
        """Become the primary of a new term."""
        self.is_primary = True
        self.is_stepped_down = False
        self.term = term
        self.paused_term = 0
        self.group.record("promote", self.instance, detail=(term, len(self.log)))

    def step_down(self, term):
        """Stop being the primary if a newer term has begun."""
        if term > self.term:
            # What it committed before is on its way to the replicas already.
            for replica in self.group.databases.values():
                if replica is not self and replica._takes_from(self):
                    replica._copy_log(self)
            self.is_primary = False
            self.is_stepped_down = True

    # Running

    async def run(self, task_status):
        """Serve until stopped."""
        server_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        server_socket.setblocking(False)
        server_socket.bind(("127.0.0.1", self.port))
        server_socket.listen(128)
        self.port = server_socket.getsockname()[1]
        with anyio.CancelScope() as self._scope:
            async with await SocketListener.from_socket(server_socket) as listener:
                self.is_running = self.is_listening = True
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._replicate)
                    task_status.started()
                    await listener.serve(self._serve, tasks)
        self.is_running = self.is_listening = False

    def stop(self):
        """Simulate a crash: close the listener and break every connection."""
        self.is_running = False
        self.group.record("crash", self.instance)
        if self._scope is not None:
            self._scope.cancel()

    async def _replicate(self):
        """Poll the newest primary for log entries, unless replication is blocked."""
        while True:
            await anyio.sleep(REPLICATION_POLL_INTERVAL_S)
            primary = self.group.primary()
            if primary is None or primary is self or not primary.is_running:
                continue
            if self.is_primary and primary.term > self.term:
                await anyio.sleep(OLD_PRIMARY_DEMOTION_DELAY_S)
                self.step_down(primary.term)
                continue
            if self._takes_from(primary):
                self._copy_log(primary)

    def _takes_from(self, primary):
        """Return whether it replicates from a primary."""
        is_fenced = max(self.paused_term, self.term) > primary.term
        is_blocked = self.is_primary or self.is_replication_stopped or is_fenced
        return self.is_running and not is_blocked

    def _copy_log(self, primary):
        """Drop entries that the primary does not have, then append the missing ones."""
        common_count = 0
        for own_entry, primary_entry in zip(self.log, primary.log, strict=False):
            if own_entry != primary_entry:
                break
            common_count += 1
        del self.log[common_count:]
        del self.received_at[common_count:]
        for entry in primary.log[common_count:]:
            self.log.append(entry)
            self.received_at.append(time.monotonic())
        self.term = primary.term
        self.is_stepped_down = False

    # Data

    def received_position(self):
        """Return the position of the newest log entry."""
        return f"{self.term}.{len(self.log)}"

    def applied_count(self):
        """Return the number of log entries that reads see."""
        if self.is_primary:
            return len(self.log)
        applied_until_s = time.monotonic() - self.lag_s
        return sum(at <= applied_until_s for at in self.received_at)

    def has_applied(self, term, offset):
        """Return whether reads see a position."""
        if offset > self.applied_count() or term > self.term:
            return False
        return offset == 0 or self.log[offset - 1].term <= term or term == self.term

    def value(self, item, writes=()):
        """Return the newest value of an item, uncommitted writes first."""
        for name, value in reversed(writes):
            if name == item:
                return value
        for entry in reversed(self.log[: self.applied_count()]):
            for name, value in reversed(entry.writes):
                if name == item:
                    return value
        return "-"

    def append(self, writes, request_id):
        """Append a commit to the log and return its entry."""
        entry = LogEntry(self.term, len(self.log) + 1, tuple(writes), request_id)
        self.log.append(entry)
        self.received_at.append(time.monotonic())
        return entry

    def new_signature(self):
        """Return a unique signature that proves that this database ran a statement."""
        return f"{SIGNATURE_PREFIX}.{self.instance}.{next(self._signatures)}"

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

    def slot_semaphore(self):
        """Return the semaphore that limits concurrent statements."""
        return self._slots
