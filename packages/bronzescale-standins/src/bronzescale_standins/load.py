"""Generate load at a proxy or database and measure throughput, latency and errors.

Open-loop load sends each statement at its scheduled time, whether or not earlier ones
were answered, and measures latency from that time. Closed-loop load sends the next
statement of a connection once the previous one was answered.
"""

import itertools
import os
import time
from collections import Counter
from typing import NamedTuple

import anyio
import asyncmy
from asyncmy import errors
from hdrh.histogram import HdrHistogram

from bronzescale_standins.standin_fleet import run_query

MAX_LATENCY_US = 60_000_000
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class LoadReport(NamedTuple):
    """Result of one load.

    Parameters
    ----------
    offered, started, answered, in_time : int
        Statements that were scheduled, sent, answered without an error, and answered
        within the deadline. ``in_time`` is 0 under closed-loop load (no deadline).
    errors : dict of str to int
        Errors by SQLSTATE.
    elapsed_s : float
        Time from the first statement to the last answer.
    p50_ms, p99_ms : float
        Latency; under open-loop load, from the scheduled time.
    """

    offered: int
    started: int
    answered: int
    in_time: int
    errors: dict
    elapsed_s: float
    p50_ms: float
    p99_ms: float

    @property
    def is_schedule_delivered(self):
        """Return whether every scheduled statement was sent."""
        return self.offered == self.started


class ProcessUsage(NamedTuple):
    """Resources that a process used so far.

    Parameters
    ----------
    cpu_s : float
        CPU time, user and system.
    rss_bytes : int
        Resident memory.
    """

    cpu_s: float
    rss_bytes: int


def read_usage(pid):
    """Return the resources that a process used so far.

    Parameters
    ----------
    pid : int
        Process ID.

    Returns
    -------
    ProcessUsage
    """
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
    return ProcessUsage(cpu_s, int(fields[21]) * PAGE_BYTES)


class Target(NamedTuple):
    """Server that callers connect to, and their login.

    Parameters
    ----------
    address : str
        IP address and port.
    user : str
        Login name.
    service : str
        Name of the service or database; empty for none.
    """

    address: str
    user: str
    service: str

    async def connect(self):
        """Open a caller's connection.

        Returns
        -------
        asyncmy.Connection
        """
        host, _, port = self.address.rpartition(":")
        return await asyncmy.connect(
            host=host,
            port=int(port),
            user=self.user,
            password="",
            db=self.service,
            autocommit=True,
        )


async def run_closed_load(target, next_statement, connections, duration_s):
    """Send statements back to back on each of several connections.

    Parameters
    ----------
    target : Target
        Server to connect to.
    next_statement : callable
        Return the next statement.
    connections : int
        Number of connections.
    duration_s : float
        Duration of the load.

    Returns
    -------
    LoadReport
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    failures = Counter()
    counts = Counter()
    end_s = time.monotonic() + duration_s

    async def run_caller():
        connection = await target.connect()
        while time.monotonic() < end_s:
            started_s = time.monotonic()
            counts["started"] += 1
            try:
                await run_query(connection, next_statement())
                counts["answered"] += 1
            except errors.Error as error:
                failures[str(getattr(error, "sqlstate", None))] += 1
            histogram.record_value(int((time.monotonic() - started_s) * 1e6) + 1)
        connection.close()

    started_s = time.monotonic()
    async with anyio.create_task_group() as tasks:
        for _ in range(connections):
            tasks.start_soon(run_caller)
    return _make_report(counts["started"], counts, failures, started_s, histogram)


async def run_open_load(
    target, next_statement, connections, rate, duration_s, settings=(), deadline_s=8.0
):
    """Send statements at a fixed rate, whether or not earlier ones were answered.

    Parameters
    ----------
    target : Target
        Server to connect to.
    next_statement : callable
        Return the next statement.
    connections : int
        Number of connections that share the statements.
    rate : float
        Statements per second.
    duration_s : float
        Duration of the load.
    settings : sequence of str
        Statements to run on each new connection.
    deadline_s : float
        An answer later than this after the scheduled time does not count as in time.

    Returns
    -------
    LoadReport
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    failures = Counter()
    counts = Counter()
    idle = []
    for _ in range(connections):
        connection = await target.connect()
        for sql in settings:
            await run_query(connection, sql)
        idle.append(connection)
    offered = int(rate * duration_s)
    free_connections = anyio.Semaphore(connections)

    async def run_statement(due_s):
        async with free_connections:
            connection = idle.pop()
            counts["started"] += 1
            try:
                await run_query(connection, next_statement())
                counts["answered"] += 1
                counts["in_time"] += time.monotonic() - due_s <= deadline_s
                latency_us = int((time.monotonic() - due_s) * 1e6) + 1
                histogram.record_value(latency_us)
            except errors.Error as error:
                failures[str(getattr(error, "sqlstate", None))] += 1
            idle.append(connection)

    started_s = time.monotonic()
    async with anyio.create_task_group() as tasks:
        for index in range(offered):
            due_s = started_s + index / rate
            wait_s = due_s - time.monotonic()
            if wait_s > 0:
                await anyio.sleep(wait_s)
            tasks.start_soon(run_statement, due_s)
    for connection in idle:
        connection.close()
    return _make_report(offered, counts, failures, started_s, histogram)


def _make_report(offered, counts, failures, started_s, histogram):
    return LoadReport(
        offered,
        counts["started"],
        counts["answered"],
        counts["in_time"],
        dict(failures),
        round(time.monotonic() - started_s, 3),
        histogram.get_value_at_percentile(50) / 1e3,
        histogram.get_value_at_percentile(99) / 1e3,
    )


def point_reads(rows=1_000):
    """Make a function that returns the next point read.

    Parameters
    ----------
    rows : int
        Number of rows in the table.

    Returns
    -------
    callable
    """
    keys = itertools.count()
    return lambda: f"SELECT v FROM bench WHERE id = {next(keys) % rows}"


def inserts(start=1_000_000):
    """Make a function that returns the next insert.

    Parameters
    ----------
    start : int
        First primary key.

    Returns
    -------
    callable
    """
    keys = itertools.count(start)
    return lambda: f"INSERT INTO bench VALUES ({next(keys)}, 'x')"
