"""Run the copies of one database group with an asynchronously replicated log."""

import logging
import time
from typing import NamedTuple

import anyio

from bronzescale_standins.engine import BusyError, LogEntry, Tables

logger = logging.getLogger("standins.group")

BUSY_PAUSE_S = 0.001


class CopySettings(NamedTuple):
    """One copy of a group.

    Parameters
    ----------
    name : str
        Name of the database.
    zone : str
        Availability zone.
    host : str
        IP number to listen on.
    port : int
        Port to listen on; 0 takes a free one.
    slots : int
        Statements run side by side.
    max_connections : int
        Connections accepted.
    """

    name: str
    zone: str
    host: str = "127.0.0.1"
    port: int = 0
    slots: int = 3
    max_connections: int = 20


class Latencies(NamedTuple):
    """Times that the stand-in takes.

    Parameters
    ----------
    connect_ms : float
        For a new connection.
    read_ms, save_ms : float
        A statement holds its slot this long.
    lag_ms : float
        A replica applies an entry this long after receiving it.
    one_way_ms : dict
        Delay between two zones, keyed by a frozenset of both.
    """

    connect_ms: float = 12.0
    read_ms: float = 0.0
    save_ms: float = 0.0
    lag_ms: float = 0.0
    one_way_ms: dict = {}


class Faults:
    """Faults in force at one copy; all of them can be switched while it runs."""

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
        """Let whatever waits for the end of a cut go on."""
        self.healed.set()
        self.healed = anyio.Event()


class Copy:
    """One database of the group: its log, its terms and its tables.

    Parameters
    ----------
    settings : CopySettings
        Its place and limits.
    latencies : Latencies
        Times that it takes.
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
        self.following = ""
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
        """Return whether it takes writes: it leads and was not fenced since."""
        return self.role == "primary" and self.promised_term == self.leading_term

    leading_term = 0

    def status(self):
        """Return the row that every order answers with."""
        role = "primary" if self.is_writable else "replica"
        if self.role == "primary" and not self.is_writable:
            role = "fenced"
        return (role, self.promised_term, self.log_term, self.received, self.applied)

    def append(self, statements):
        """Log a commit of this primary.

        Parameters
        ----------
        statements : tuple of str
            What it ran.

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
        """Promise a term; refuse writes and log entries of earlier ones.

        Parameters
        ----------
        term : int
            The term.

        Returns
        -------
        bool
            Whether the promise was given.
        """
        if term < self.promised_term:
            return False
        self.promised_term = term
        self.notify()
        return True

    def lead(self, term):
        """Begin a term as its primary.

        Parameters
        ----------
        term : int
            The promised term.

        Returns
        -------
        bool
            Whether this copy leads it now.
        """
        if term != self.promised_term:
            return False
        if self.role == "primary" and self.leading_term == term:
            return True
        self.apply_all()
        self.role = "primary"
        self.leading_term = term
        self.following = ""
        self.append(())
        return True

    def apply_all(self):
        """Apply every received entry."""
        for entry in self.log[self.applied :]:
            self.tables.apply(entry.statements)
            self.applied = entry.offset

    def truncate(self, offset):
        """Drop entries past an offset; rebuild the tables if they show them.

        Parameters
        ----------
        offset : int
            Last offset to keep.
        """
        del self.log[offset:]
        if self.applied > offset:
            logger.info("group: %s rebuilds from offset %d.", self.name, offset)
            self.tables = Tables()
            self.applied = 0
            self.apply_all()
        self.notify()

    def notify(self):
        """Wake whoever waits for a change of this copy."""
        self.changed.set()
        self.changed = anyio.Event()

    def one_way_s(self, zone):
        """Return the delay to a zone.

        Parameters
        ----------
        zone : str
            The zone.

        Returns
        -------
        float
            Seconds.
        """
        key = frozenset((zone, self.settings.zone))
        return self.latencies.one_way_ms.get(key, 0.0) / 1_000


class DatabaseGroup:
    """The copies of one service and the log that flows between them.

    Parameters
    ----------
    copies : list of CopySettings
        The copies.
    primary : str
        Name of the first primary.
    latencies : Latencies
        Times that they take.
    """

    def __init__(self, copies, primary, latencies):
        self.copies = {c.name: Copy(c, latencies) for c in copies}
        self._tasks = None
        first = self.copies[primary]
        first.lead(1)
        for copy in self.copies.values():
            if copy is not first:
                copy.following = primary

    async def run(self):
        """Replicate until cancelled."""
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
            The copy.
        term : int
            The term.
        primary_name : str
            Its primary.

        Returns
        -------
        bool
            Whether the copy follows it now.
        """
        primary = self.copies.get(primary_name)
        if primary is None or term < copy.promised_term:
            return False
        copy.promised_term = term
        copy.role = "replica"
        copy.following = primary_name
        copy.stream_generation += 1
        copy.notify()
        return True

    def is_connected(self, copy, other):
        """Return whether two copies reach each other.

        Parameters
        ----------
        copy, other : Copy
            The copies.

        Returns
        -------
        bool
        """
        if copy.faults.is_stopped or other.faults.is_stopped:
            return False
        is_cut = other.settings.zone in copy.faults.cut_zones
        return not is_cut and copy.settings.zone not in other.faults.cut_zones

    async def _replicate(self, copy):
        """Ship the log to one copy from whomever it follows."""
        while True:
            source = self.copies.get(copy.following)
            if copy.role == "primary" or source is None:
                await copy.changed.wait()
                continue
            changed = source.changed
            if not self._can_ship(copy, source) or not self._has_news(copy, source):
                with anyio.move_on_after(0.05):
                    await changed.wait()
                continue
            generation = copy.stream_generation
            start = _shared_start(copy.log, source.log)
            entries = source.log[start:]
            term = source.leading_term
            await anyio.sleep(copy.one_way_s(source.settings.zone))
            is_current = generation == copy.stream_generation
            if is_current and self._can_ship(copy, source):
                self._receive(copy, term, start, entries)

    def _can_ship(self, copy, source):
        is_leading = source.role == "primary"
        is_accepted = source.leading_term == copy.promised_term
        is_open = not copy.faults.is_ship_paused and self.is_connected(copy, source)
        return is_leading and is_accepted and is_open

    def _has_news(self, copy, source):
        return copy.received != source.received or copy.log_term != source.log_term

    def _receive(self, copy, term, start, entries):
        """Take the entries after ``start``, up to which both logs are the same."""
        if copy.promised_term != term or copy.role == "primary":
            return
        if start < copy.received:
            copy.truncate(start)
        copy.log.extend(entries)
        copy.notify()

    async def _apply(self, copy):
        """Apply received entries once their lag has passed."""
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
                await anyio.sleep(BUSY_PAUSE_S)
                continue
            due_at_s.pop(entry.offset)
            copy.applied += 1
            copy.notify()

    def _lag_s(self, copy):
        lag_ms = copy.faults.lag_ms
        return (copy.latencies.lag_ms if lag_ms is None else lag_ms) / 1_000


def _shared_start(log, source):
    """Return how many leading entries a copy shares with its source."""
    common = min(len(log), len(source))
    while common and log[common - 1].term != source[common - 1].term:
        common -= 1
    return common
