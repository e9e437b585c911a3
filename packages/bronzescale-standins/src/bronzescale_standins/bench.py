"""Benchmark the proxy against its stand-ins; ``make bench`` runs it.

Each command starts its deployments as separate processes, measures them and prints one
row for each case.
"""

import statistics
import time
from collections import Counter
from pathlib import Path

import anyio
import cyclopts
from asyncmy import errors

from bronzescale_standins.bench_control import control, membership, state
from bronzescale_standins.bench_output import (
    DEFAULT_FILE,
    AsJson,
    print_rows,
    run_measurement,
)
from bronzescale_standins.load import (
    Target,
    inserts,
    point_reads,
    read_usage,
    run_closed_load,
    run_open_load,
)
from bronzescale_standins.processes import FleetOptions, ProcessFleet
from bronzescale_standins.standin_fleet import run_query

TABLE_ROWS = 1_000
STATEMENTS_PER_WRITE = 20
CONNECT_BATCH_SIZE = 50
GOODPUT_DEADLINE_MS = 500
FAILOVER_FAULTS = ("stop", "cut", "store slow", "proxy dead", "silence")
OVERLOAD_CALLERS = 600

app = cyclopts.App(name="bench", help="Measure the proxy against its stand-ins.")
app.command(control)
app.command(membership)
app.command(state)


def _service_name(fleet):
    return fleet.document["service"][0]["name"]


def _proxy_target(fleet, index=0):
    user = fleet.document["user"][0]["name"]
    return Target(fleet.callers()[index], user, _service_name(fleet))


def _primary_target(fleet):
    """Return the database that starts as the primary, for load without a proxy."""
    service = fleet.document["service"][0]
    name = service.get("initial_primary", service["upstream"][0]["name"])
    upstream = next(u for u in service["upstream"] if u["name"] == name)
    return Target(upstream["address"], "crew", "")


async def _fill_table(fleet):
    connection = await _proxy_target(fleet).connect()
    await run_query(
        connection, "CREATE TABLE bench (id INT PRIMARY KEY, v VARCHAR(40))"
    )
    for start in range(0, TABLE_ROWS, 200):
        values = ", ".join(f"({n}, 'row {n}')" for n in range(start, start + 200))
        await run_query(connection, f"INSERT INTO bench VALUES {values}")
    connection.close()
    await anyio.sleep(1.0)


def _proxy_pid(fleet, index=0):
    return list(fleet.proxies.values())[index].process.pid


@app.command
def relay(
    file: Path = DEFAULT_FILE, *, duration_s: float = 5.0, as_json: AsJson = False
):
    """Measure throughput, latency and CPU time, through the proxy and direct."""
    rows = []
    for proxies, index in ((1, 0), (2, 1)):
        options = FleetOptions(file, proxies=proxies, services=1)
        with ProcessFleet(options) as fleet:
            where = "owner on the same node" if index == 0 else "owner on another node"
            rows += run_measurement(_measure_relay, fleet, index, where, duration_s)
    print_rows("relay", rows, as_json)


async def _measure_relay(fleet, index, where, duration_s):
    await _fill_table(fleet)
    rows = []
    target = _proxy_target(fleet, index)
    sources = (
        ("read", point_reads(TABLE_ROWS), point_reads(TABLE_ROWS)),
        ("save", inserts(), inserts(5_000_000)),
    )
    for kind, proxied_statements, direct_statements in sources:
        direct = await run_closed_load(
            _primary_target(fleet), direct_statements, 8, duration_s
        )
        before = [
            read_usage(_proxy_pid(fleet, i)).cpu_s for i in range(len(fleet.proxies))
        ]
        proxied = await run_closed_load(target, proxied_statements, 8, duration_s)
        after = [
            read_usage(_proxy_pid(fleet, i)).cpu_s for i in range(len(fleet.proxies))
        ]
        cpu_s = [(a - b) / proxied.answered for a, b in zip(after, before, strict=True)]
        rate = proxied.answered / proxied.elapsed_s
        direct_rate = direct.answered / direct.elapsed_s
        rows.append(
            {
                "kind": kind,
                "where": where,
                "statements_per_s": round(rate),
                "direct_per_s": round(direct_rate),
                "ratio": round(rate / direct_rate, 3),
                "p50_ms": proxied.p50_ms,
                "p99_ms": proxied.p99_ms,
                "direct_p50_ms": direct.p50_ms,
                "direct_p99_ms": direct.p99_ms,
                "cpu_ms_per_statement": [round(each * 1e3, 4) for each in cpu_s],
                "errors": sum(proxied.errors.values()),
            }
        )
    return rows


@app.command
def rate(
    file: Path = DEFAULT_FILE,
    *,
    per_s: float = 902.0,
    duration_s: float = 10.0,
    as_json: AsJson = False,
):
    """Measure latency and CPU time at one node's share of the target load.

    The load is open-loop, with 1 write in 20 statements.
    """
    options = FleetOptions(file, proxies=2, services=1)
    with ProcessFleet(options) as fleet:
        print_rows(
            "rate", run_measurement(_measure_rate, fleet, per_s, duration_s), as_json
        )


async def _measure_rate(fleet, per_s, duration_s):
    await _fill_table(fleet)
    next_read, next_write = point_reads(TABLE_ROWS), inserts()
    counts = Counter()

    def next_statement():
        counts["all"] += 1
        return (
            next_write() if counts["all"] % STATEMENTS_PER_WRITE == 0 else next_read()
        )

    before = [read_usage(_proxy_pid(fleet, i)).cpu_s for i in range(2)]
    report = await run_open_load(
        _proxy_target(fleet), next_statement, 64, per_s, duration_s
    )
    after = [read_usage(_proxy_pid(fleet, i)).cpu_s for i in range(2)]
    cores = [(a - b) / report.elapsed_s for a, b in zip(after, before, strict=True)]
    direct = await run_open_load(
        _primary_target(fleet), point_reads(TABLE_ROWS), 16, per_s, duration_s
    )
    return [
        {
            **report._asdict(),
            "schedule_delivered": report.is_schedule_delivered,
            "cores_used": [round(each, 3) for each in cores],
            "direct_p50_ms": direct.p50_ms,
            "p50_ratio": round(report.p50_ms / direct.p50_ms, 2),
        }
    ]


@app.command
def memory(file: Path = DEFAULT_FILE, *, callers: int = 3_500, as_json: AsJson = False):
    """Measure the memory of idle caller connections."""
    options = FleetOptions(file, proxies=1, services=1)
    with ProcessFleet(options) as fleet:
        print_rows("memory", run_measurement(_measure_memory, fleet, callers), as_json)


async def _measure_memory(fleet, callers):
    target = _proxy_target(fleet)
    pid = _proxy_pid(fleet)
    await anyio.sleep(1.0)
    empty_bytes = read_usage(pid).rss_bytes
    rows = []
    connections = []
    for count in (1_000, callers):
        while len(connections) < count:
            async with anyio.create_task_group() as tasks:
                for _ in range(min(CONNECT_BATCH_SIZE, count - len(connections))):
                    tasks.start_soon(_open_connection, target, connections)
        await anyio.sleep(1.0)
        used_bytes = read_usage(pid).rss_bytes - empty_bytes
        rows.append(
            {
                "callers": count,
                "process_mib_without": round(empty_bytes / 2**20, 1),
                "kib_per_caller": round(used_bytes / count / 1024, 2),
            }
        )
    for connection in connections:
        connection.close()
    return rows


async def _open_connection(target, connections):
    connections.append(await target.connect())


@app.command
def replicas(
    file: Path = DEFAULT_FILE,
    *,
    lag_ms: float = 100.0,
    sessions: int = 24,
    statements: int = 400,
    as_json: AsJson = False,
):
    """Measure the share of reads served by replicas, against three baselines."""
    options = FleetOptions(file, proxies=3, services=1, lag_ms=lag_ms, with_delays=True)
    with ProcessFleet(options) as fleet:
        rows = run_measurement(_measure_replicas, fleet, lag_ms, sessions, statements)
    print_rows("replicas", rows, as_json)


async def _measure_replicas(fleet, lag_ms, sessions, statements):
    await _fill_table(fleet)
    modes = (
        ("session", "session", 0.0, False),
        ("age 5000 ms", "age:5000", 0.0, False),
        ("baseline: all to the primary", "primary", 0.0, False),
        ("baseline: wait after a write", "age:60000", 1.5 * lag_ms, False),
        ("baseline: any replica, retry", "age:60000", 0.0, True),
    )
    rows = []
    for name, consistency, wait_ms, with_retry in modes:
        counts = Counter()
        latencies_ms = []
        before = _read_counts(fleet)
        cross_region_bytes = sum(_cross_region_bytes(fleet).values())
        async with anyio.create_task_group() as tasks:
            for number in range(sessions):
                target = _proxy_target(fleet, number % 3)
                session = _ReplicaSession(
                    target, number, consistency, wait_ms, with_retry, counts
                )
                tasks.start_soon(session.run, statements, latencies_ms)
        replica_reads, primary_reads = (
            a - b for a, b in zip(_read_counts(fleet), before, strict=True)
        )
        cross_region_bytes = (
            sum(_cross_region_bytes(fleet).values()) - cross_region_bytes
        )
        rows.append(
            {
                "mode": name,
                "replica_share": round(
                    replica_reads / max(1, replica_reads + primary_reads), 4
                ),
                "reads": counts["reads"],
                "stale": counts["stale"],
                "retries": counts["retries"],
                "p50_ms": round(statistics.median(latencies_ms), 2),
                "p99_ms": round(sorted(latencies_ms)[int(len(latencies_ms) * 0.99)], 1),
                "region_bytes_per_statement": round(
                    cross_region_bytes / max(1, counts["reads"] + counts["saves"]), 1
                ),
                "errors": counts["errors"],
            }
        )
    return rows


class _ReplicaSession:
    """Session that writes its own row once in 20 statements and reads it otherwise."""

    def __init__(self, target, number, consistency, wait_ms, with_retry, counts):
        self._target = target
        self._number = number
        self._consistency = consistency
        self._wait_ms = wait_ms
        self._with_retry = with_retry
        self._counts = counts

    async def run(self, statements, latencies_ms):
        connection = await self._target.connect()
        await run_query(
            connection, f"SET @bronzescale_consistency = '{self._consistency}'"
        )
        value = ""
        for index in range(statements):
            if index % STATEMENTS_PER_WRITE == 0:
                value = f"{self._consistency} {self._number} {index}"
                await self._write(connection, value)
            else:
                started_s = time.monotonic()
                await self._read(connection, value)
                latencies_ms.append((time.monotonic() - started_s) * 1e3)
            await anyio.sleep(0.01)
        connection.close()

    async def _write(self, connection, value):
        self._counts["saves"] += 1
        sql = f"UPDATE bench SET v = '{value}' WHERE id = {self._number}"
        await run_query(connection, sql)
        if self._wait_ms:
            await anyio.sleep(self._wait_ms / 1e3)

    async def _read(self, connection, value):
        sql = f"SELECT v FROM bench WHERE id = {self._number}"
        self._counts["reads"] += 1
        for _ in range(20):
            try:
                rows = await run_query(connection, sql)
            except errors.Error:
                self._counts["errors"] += 1
                return
            if rows[0][0] == value:
                return
            if not self._with_retry:
                break
            self._counts["retries"] += 1
        # An older value is allowed if reads may be up to 5 s old.
        if self._consistency != "age:5000":
            self._counts["stale"] += 1


def _cross_region_bytes(fleet):
    """Return the bytes sent between regions, by pair of zones."""
    regions = fleet.regions
    link_bytes = fleet.link_bytes()
    return {
        pair: size
        for pair, size in link_bytes.items()
        if len({regions[zone] for zone in pair.split("/")}) == 2
    }


def _read_counts(fleet):
    counters = [fleet.dump(name)["counters"] for name in fleet.proxies]
    names = ("read.replica", "read.primary")
    return [sum(counter.get(name, 0) for counter in counters) for name in names]


@app.command
def failover(
    file: Path = DEFAULT_FILE,
    *,
    rounds: int = 5,
    faults: tuple[str, ...] = FAILOVER_FAULTS,
    as_json: AsJson = False,
):
    """Measure how long callers cannot write during a failover, for several faults."""
    rows = []
    for fault in faults:
        gaps = []
        for _ in range(rounds):
            options = FleetOptions(
                file, proxies=3, services=1, lag_ms=100.0, with_delays=True
            )
            with ProcessFleet(options) as fleet:
                gaps.append(run_measurement(_measure_gap, fleet, fault))
        rows.append(
            {
                "fault": fault,
                "rounds": rounds,
                "median_s": round(statistics.median(gaps), 2),
                "worst_s": round(max(gaps), 2),
            }
        )
    print_rows("failover", rows, as_json)


async def _measure_gap(fleet, fault):
    """Return the longest time between two acknowledged writes around a fault."""
    await _fill_table(fleet)
    service = _service_name(fleet)
    primary = next(
        name
        for name, copy in fleet.copies(service).items()
        if copy["role"] == "primary"
    )
    acknowledged_s = []
    done = anyio.Event()
    async with anyio.create_task_group() as tasks:
        for number in range(4):
            tasks.start_soon(
                _write_until_done, _proxy_target(fleet, 1), number, acknowledged_s, done
            )
        await anyio.sleep(1.0)
        if fault == "store slow":
            fleet.platform_faults(delay_ms=300)
        if fault == "proxy dead":
            list(fleet.proxies.values())[0].kill()
        if fault in ("stop", "store slow", "proxy dead"):
            fleet.fault(service, copies=[primary], kind="stop")
        elif fault == "cut":
            zones = fleet.zones
            fleet.fault(service, copies=[primary], kind="cut", zones=zones)
        else:
            fleet.fault(service, copies=[primary], kind="silence")
        await anyio.sleep(9.0)
        done.set()
    acknowledged_s.sort()
    pairs = zip(acknowledged_s, acknowledged_s[1:], strict=False)
    return max(later - earlier for earlier, later in pairs)


async def _write_until_done(target, number, acknowledged_s, done):
    connection = await target.connect()
    index = 0
    while not done.is_set():
        index += 1
        key = 10_000_000 * (number + 1) + index
        try:
            await run_query(connection, f"INSERT INTO bench VALUES ({key}, 'x')")
            acknowledged_s.append(time.monotonic())
        except errors.Error:
            await anyio.sleep(0.05)
        await anyio.sleep(0.01)
    connection.close()


@app.command
def acknowledge(
    file: Path = DEFAULT_FILE, *, duration_s: float = 5.0, as_json: AsJson = False
):
    """Measure the cost of a replica's acknowledgement against the primary's alone."""
    rows = []
    for mode in ("primary", "replica"):
        options = FleetOptions(
            file,
            proxies=3,
            services=1,
            with_delays=True,
            proxy_flags=("--acknowledge", mode),
        )
        with ProcessFleet(options) as fleet:
            rows.append(
                {"mode": mode, **run_measurement(_measure_writes, fleet, duration_s)}
            )
    print_rows("acknowledge", rows, as_json)


async def _measure_writes(fleet, duration_s):
    await _fill_table(fleet)
    report = await run_closed_load(_proxy_target(fleet), inserts(), 8, duration_s)
    return {
        "saves_per_s": round(report.answered / report.elapsed_s),
        "p50_ms": report.p50_ms,
        "p99_ms": report.p99_ms,
    }


@app.command
def overload(
    file: Path = DEFAULT_FILE, *, duration_s: float = 6.0, as_json: AsJson = False
):
    """Measure goodput at 1, 2 and 5 times the capacity of one database."""
    rows = []
    variants = (
        ("deadline queue", 64, GOODPUT_DEADLINE_MS),
        ("plain queue", 10_000, 60_000),
        ("short queue", 4, GOODPUT_DEADLINE_MS),
    )
    for queue, max_queued, deadline_ms in variants:
        options = FleetOptions(
            file,
            proxies=1,
            services=1,
            read_ms=10.0,
            save_ms=10.0,
            max_queued=max_queued,
        )
        with ProcessFleet(options) as fleet:
            rows += run_measurement(
                _measure_overload, fleet, queue, deadline_ms, duration_s
            )
    print_rows("overload", rows, as_json)


async def _measure_overload(fleet, queue, deadline_ms, duration_s):
    await _fill_table(fleet)
    settings = (f"SET @bronzescale_deadline_ms = {deadline_ms}",)
    capacity_per_s = await _measure_capacity(fleet)
    rows = []
    for factor in (1, 2, 5):
        report = await run_open_load(
            _proxy_target(fleet),
            inserts(factor * 10_000_000),
            OVERLOAD_CALLERS,
            capacity_per_s * factor,
            duration_s,
            settings,
            GOODPUT_DEADLINE_MS / 1_000,
        )
        rows.append(
            {
                "queue": queue,
                "offered_of_capacity": factor,
                "offered": report.offered,
                "answered": report.answered,
                "in_time": report.in_time,
                "goodput_of_capacity": round(
                    report.in_time / duration_s / capacity_per_s, 3
                ),
                "p50_ms": report.p50_ms,
                "p99_ms": report.p99_ms,
                "refused": sum(report.errors.values()),
                "schedule_delivered": report.is_schedule_delivered,
            }
        )
    return rows


async def _measure_capacity(fleet):
    """Return the writes per second that the primary answers with all slots busy."""
    report = await run_closed_load(_proxy_target(fleet), inserts(), 6, 2.0)
    return report.answered / report.elapsed_s


@app.default
def everything(*, file: Path = DEFAULT_FILE, as_json: AsJson = False):
    """Run every measurement that takes less than a minute."""
    relay(file, as_json=as_json)
    rate(file, as_json=as_json)
    memory(file, as_json=as_json)
    replicas(file, as_json=as_json)
    acknowledge(file, as_json=as_json)
    overload(file, as_json=as_json)


def main():
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
