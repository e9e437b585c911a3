"""Simulate the copies of one database group and the replication of their log.

The primary appends each commit to its log. Replicas receive new entries asynchronously,
after the delay between the zones, and apply them after a configurable lag.
"""

import logging
import time
from typing import NamedTuple

import anyio

from bronzescale_standins.engine import BusyError, LogEntry, Tables

logger = logging.getLogger("standins.group")

# Delay before a log entry is applied again after a reader held the lock.
BUSY_RETRY_INTERVAL_S = 0.001


class CopySettings(NamedTuple):
    """Settings of one copy of a group.

    Parameters
    ----------
    name : str
        Name of the database.
    zone : str
        Availability zone.
    host : str
        IP address to listen on.
    port : int
        Port to listen on; 0 picks a free port.
    slots : int
        Maximum number of statements that run at the same time.
    max_connections : int
        Maximum number of open connections; further ones are refused.
    """

    name: str
    zone: str
    host: str = "127.0.0.1"
    port: int = 0
    slots: int = 3
    max_connections: int = 20


class Latencies(NamedTuple):
    """Simulated latencies of the databases of a group.

    Parameters
    ----------
    connect_ms : float
        Time until a new connection is accepted.
    read_ms, save_ms : float
        Time for which a read or a write occupies its slot.
    lag_ms : float
        Time between receipt and application of a log entry on a replica.
    one_way_ms : dict
        One-way delay between two zones, keyed by a frozenset of both.
    """

    connect_ms: float = 12.0
    read_ms: float = 0.0
    save_ms: float = 0.0
    lag_ms: float = 0.0
    one_way_ms: dict = {}


class Faults:
    """Faults injected into one copy; each can be changed while the copy runs.

    A fault request names the attribute to set, so the attribute names are fixed.
    """

    def __init__(self):
        self.is_stopped = False
        self.cut_zones = set()
        self.answer_delay_ms = 0.0
        self.cross_answers = 0
        self.silent_before_ms = 0.0
        self.lag_ms = None
        self.is_ship_paused = False
        self.lose_answers = 0
        self.healed = anyio.Event()

    def heal(self):
        """Wake the tasks that wait for the end of a network partition."""
        self.healed.set()
        self.healed = anyio.Event()


class Copy:
    """One database of the group: its log, its terms and its tables.

    Parameters
    ----------
    settings : CopySettings
        Name, zone, address and limits.
    latencies : Latencies
        Simulated latencies.
    """

    def __init__(self, settings, latencies):
        self.settings = settings
        self.latencies = latencies
        self.faults = Faults()
        self.tables = Tables()
        self.log = []
        self.applied = 0
        self.promised_term = 1
        self.role = "replica"
        self.replication_source = ""
        self.changed = anyio.Event()
        self.connections = 0
        self.most_connections = 0
        self.refused_connections = 0
        self.locks = {}
        self.stream_generation = 0
        self.statements = 0

    @property
    def name(self):
        """Return the name of the database."""
        return self.settings.name

    @property
    def received(self):
        """Return the offset of the newest log entry."""
        return len(self.log)

    @property
    def log_term(self):
        """Return the term of the newest log entry."""
        return self.log[-1].term if self.log else 0

    @property
    def is_writable(self):
        """Return whether it accepts writes: it is the primary and was not fenced."""
        return self.role == "primary" and self.promised_term == self.primary_term

    primary_term = 0

    def status(self):
        """Return the row that answers every order (``CALL bronzescale.NAME(...)``).

        Its fields are the role (``primary``, ``fenced`` or ``replica``), the promised
        term, the term of the newest log entry, and the offsets of the newest entry and
        of the last applied entry.
        """
        role = "primary" if self.is_writable else "replica"
        if self.role == "primary" and not self.is_writable:
            role = "fenced"
        return (role, self.promised_term, self.log_term, self.received, self.applied)

    def append(self, statements):
        """Append a committed transaction to the log of this primary.

        Parameters
        ----------
        statements : tuple of str
            Statements of the transaction that changed tables.

        Returns
        -------
        LogEntry
        """
        entry = LogEntry(self.promised_term, self.received + 1, statements)
        self.log.append(entry)
        self.applied = entry.offset
        self.notify()
        return entry

    def fence(self, term):
        """Promise a term; from then on refuse writes and log entries of earlier terms.

        Parameters
        ----------
        term : int
            Term to promise.

        Returns
        -------
        bool
            False if the copy has already promised a later term.
        """
        if term < self.promised_term:
            return False
        self.promised_term = term
        self.notify()
        return True

    def promote(self, term):
        """Become the primary of the promised term.

        Parameters
        ----------
        term : int
            Term to start; it must be the promised term.

        Returns
        -------
        bool
            Whether this copy is the primary of the term now.
        """
        if term != self.promised_term:
            return False
        if self.role == "primary" and self.primary_term == term:
            return True
        self.apply_all()
        self.role = "primary"
        self.primary_term = term
        self.replication_source = ""
        self.append(())
        return True

    def apply_all(self):
        """Apply every received entry."""
        for entry in self.log[self.applied :]:
            self.tables.apply(entry.statements)
            self.applied = entry.offset

    def truncate(self, offset):
        """Remove the log entries after an offset.

        If some of them were already applied, rebuild the tables from the remaining log.

        Parameters
        ----------
        offset : int
            Last offset to keep.
        """
        del self.log[offset:]
        if self.applied > offset:
            logger.info(
                "Rebuilding the tables of %s after truncation of its log to offset %d.",
                self.name,
                offset,
            )
            self.tables = Tables()
            self.applied = 0
            self.apply_all()
        self.notify()

    def notify(self):
        """Wake the tasks that wait for a change of this copy."""
        self.changed.set()
        self.changed = anyio.Event()

    def one_way_s(self, zone):
        """Return the one-way delay between this copy and a zone.

        Parameters
        ----------
        zone : str
            Availability zone of the other end.

        Returns
        -------
        float
            Delay in seconds.
        """
        key = frozenset((zone, self.settings.zone))
        return self.latencies.one_way_ms.get(key, 0.0) / 1_000


class DatabaseGroup:
    """Copies of the database of one service, with replication between them.

    Parameters
    ----------
    copies : list of CopySettings
        Settings of the copies.
    primary : str
        Name of the primary of the first term.
    latencies : Latencies
        Simulated latencies of every copy.
    """

    def __init__(self, copies, primary, latencies):
        self.copies = {c.name: Copy(c, latencies) for c in copies}
        self._tasks = None
        primary_copy = self.copies[primary]
        primary_copy.promote(1)
        for copy in self.copies.values():
            if copy is not primary_copy:
                copy.replication_source = primary

    async def run(self):
        """Replicate and apply the log until cancelled."""
        async with anyio.create_task_group() as self._tasks:
            for copy in self.copies.values():
                self._tasks.start_soon(self._replicate, copy)
                self._tasks.start_soon(self._apply, copy)
            await anyio.sleep_forever()

    def follow(self, copy, term, primary_name):
        """Make a copy replicate from the primary of a term.

        Parameters
        ----------
        copy : Copy
            Copy to turn into a replica.
        term : int
            Term of the primary.
        primary_name : str
            Name of the primary.

        Returns
        -------
        bool
            False if the primary is unknown or the copy has promised a later term.
        """
        primary = self.copies.get(primary_name)
        if primary is None or term < copy.promised_term:
            return False
        copy.promised_term = term
        copy.role = "replica"
        copy.replication_source = primary_name
        copy.stream_generation += 1
        copy.notify()
        return True

    def is_connected(self, copy, other):
        """Return whether both copies run and no partition separates their zones.

        Parameters
        ----------
        copy, other : Copy
            Copies of this group.

        Returns
        -------
        bool
        """
        if copy.faults.is_stopped or other.faults.is_stopped:
            return False
        is_cut = other.settings.zone in copy.faults.cut_zones
        return not is_cut and copy.settings.zone not in other.faults.cut_zones

    async def _replicate(self, copy):
        """Ship the log from a copy's replication source to the copy."""
        while True:
            source = self.copies.get(copy.replication_source)
            if copy.role == "primary" or source is None:
                await copy.changed.wait()
                continue
            changed = source.changed
            if not self._can_ship(copy, source) or not self._logs_differ(copy, source):
                with anyio.move_on_after(0.05):
                    await changed.wait()
                continue
            generation = copy.stream_generation
            start = _common_prefix_length(copy.log, source.log)
            entries = source.log[start:]
            term = source.primary_term
            await anyio.sleep(copy.one_way_s(source.settings.zone))
            is_current = generation == copy.stream_generation
            if is_current and self._can_ship(copy, source):
                self._receive(copy, term, start, entries)

    def _can_ship(self, copy, source):
        is_primary = source.role == "primary"
        is_same_term = source.primary_term == copy.promised_term
        is_link_open = not copy.faults.is_ship_paused and self.is_connected(
            copy, source
        )
        return is_primary and is_same_term and is_link_open

    def _logs_differ(self, copy, source):
        return copy.received != source.received or copy.log_term != source.log_term

    def _receive(self, copy, term, start, entries):
        """Replace the log after ``start``, the length of the common prefix."""
        if copy.promised_term != term or copy.role == "primary":
            return
        if start < copy.received:
            copy.truncate(start)
        copy.log.extend(entries)
        copy.notify()

    async def _apply(self, copy):
        """Apply each received entry once the lag has passed since its receipt."""
        due_at_s = {}
        while True:
            if copy.role == "primary" or copy.applied >= copy.received:
                due_at_s.clear()
                await copy.changed.wait()
                continue
            lag_s = self._lag_s(copy)
            entry = copy.log[copy.applied]
            now_s = time.monotonic()
            for offset in range(copy.applied + 1, copy.received + 1):
                due_at_s.setdefault(offset, now_s + lag_s)
            wait_s = due_at_s[entry.offset] - now_s
            if wait_s > 0:
                with anyio.move_on_after(wait_s):
                    await copy.changed.wait()
                continue
            try:
                copy.tables.apply(entry.statements)
            except BusyError:
                await anyio.sleep(BUSY_RETRY_INTERVAL_S)
                continue
            due_at_s.pop(entry.offset)
            copy.applied += 1
            copy.notify()

    def _lag_s(self, copy):
        lag_ms = copy.faults.lag_ms
        return (copy.latencies.lag_ms if lag_ms is None else lag_ms) / 1_000


def _common_prefix_length(log, source):
    """Return the number of entries up to which two logs are the same."""
    common = min(len(log), len(source))
    while common and log[common - 1].term != source[common - 1].term:
        common -= 1
    return common
