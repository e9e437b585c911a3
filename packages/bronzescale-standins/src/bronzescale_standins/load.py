"""Offer statements on an open schedule and measure what came of them."""

import itertools
import os
import time
from collections import Counter
from typing import NamedTuple

import anyio
import asyncmy
from asyncmy import errors
from hdrh.histogram import HdrHistogram

from bronzescale_standins.standin_fleet import ask

MAX_LATENCY_US = 60_000_000
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class LoadReport(NamedTuple):
    """Outcome of one load.

    Parameters
    ----------
    offered, started, answered, in_time : int
        Arrivals that were due, begun, answered without an error, and answered within
        the caller's patience.
    errors : dict of str to int
        Errors by SQLSTATE.
    elapsed_s : float
        From the first arrival to the last answer.
    p50_ms, p99_ms : float
        Latency from the scheduled arrival.
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
        """Return whether every arrival that was due began."""
        return self.offered == self.started


class ProcessUse(NamedTuple):
    """What a process used so far.

    Parameters
    ----------
    cpu_s : float
        Processor time, user and system.
    rss_bytes : int
        Resident memory.
    """

    cpu_s: float
    rss_bytes: int


def read_use(pid):
    """Return what a process used so far.

    Parameters
    ----------
    pid : int
        Its number.

    Returns
    -------
    ProcessUse
    """
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
    return ProcessUse(cpu_s, int(fields[21]) * PAGE_BYTES)


class Target(NamedTuple):
    """Where callers connect.

    Parameters
    ----------
    address : str
        IP number and port.
    user : str
        Login name.
    service : str
        Service, or database name.
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


async def closed_load(target, statements, connections, duration_s):
    """Send statements back to back on some connections.

    Parameters
    ----------
    target : Target
        Where.
    statements : callable
        Return the next statement.
    connections : int
        How many callers.
    duration_s : float
        For how long.

    Returns
    -------
    LoadReport
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    failures = Counter()
    counts = Counter()
    until_s = time.monotonic() + duration_s

    async def run():
        connection = await target.connect()
        while time.monotonic() < until_s:
            started_s = time.monotonic()
            counts["started"] += 1
            try:
                await ask(connection, statements())
                counts["answered"] += 1
            except errors.Error as error:
                failures[str(getattr(error, "sqlstate", None))] += 1
            histogram.record_value(int((time.monotonic() - started_s) * 1e6) + 1)
        connection.close()

    started_s = time.monotonic()
    async with anyio.create_task_group() as tasks:
        for _ in range(connections):
            tasks.start_soon(run)
    return _report(counts["started"], counts, failures, started_s, histogram)


async def open_load(
    target, statements, connections, rate, duration_s, settings=(), patience_s=8.0
):
    """Send statements at their scheduled times, whatever the answers do.

    Parameters
    ----------
    target : Target
        Where.
    statements : callable
        Return the next statement.
    connections : int
        How many callers share the arrivals.
    rate : float
        Arrivals a second.
    duration_s : float
        For how long.
    settings : sequence of str
        Statements that each caller sends first.
    patience_s : float
        How long after its arrival an answer is of use.

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
            await ask(connection, sql)
        idle.append(connection)
    offered = int(rate * duration_s)
    freed = anyio.Semaphore(connections)

    async def run(due_s):
        async with freed:
            connection = idle.pop()
            counts["started"] += 1
            try:
                await ask(connection, statements())
                counts["answered"] += 1
                counts["in_time"] += time.monotonic() - due_s <= patience_s
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
            tasks.start_soon(run, due_s)
    for connection in idle:
        connection.close()
    return _report(offered, counts, failures, started_s, histogram)


def _report(offered, counts, failures, started_s, histogram):
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


def reads(rows=1_000):
    """Return a source of point reads.

    Parameters
    ----------
    rows : int
        Rows in the table.

    Returns
    -------
    callable
    """
    numbers = itertools.count()
    return lambda: f"SELECT v FROM bench WHERE id = {next(numbers) % rows}"


def writes(start=1_000_000):
    """Return a source of inserts.

    Parameters
    ----------
    start : int
        First key.

    Returns
    -------
    callable
    """
    numbers = itertools.count(start)
    return lambda: f"INSERT INTO bench VALUES ({next(numbers)}, 'x')"
