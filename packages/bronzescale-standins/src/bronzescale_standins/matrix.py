"""Test matrix: inject each fault during each step and check the guarantees.

Each cell of the matrix starts a fresh fleet of stand-ins and proxies, runs callers
against it, injects its faults for a while and waits until the fleet has recovered. It
then compares the outcomes that the callers got with the log of the primary.
"""

import logging
from collections import Counter
from typing import NamedTuple

import anyio
import cyclopts

from bronzescale_standins.checker import Checker
from bronzescale_standins.group import Latencies
from bronzescale_standins.standin_fleet import StandinFleet, make_document, run_query

FAULT_DURATION_S = 1.0
WARM_UP_S = 0.25
RECOVERY_TIMEOUT_S = 20.0
OPERATIONS_BY_STEP = {
    "read": ("read",),
    "save": ("save", "keyed", "read"),
    "transaction": ("transaction",),
    "failover": ("save", "keyed", "transaction", "read"),
    "configuration": ("save", "read"),
    "drain": ("save", "transaction", "read"),
}


class CellReport(NamedTuple):
    """Result of one cell.

    Parameters
    ----------
    fault, step : str
        Faults and step of the cell.
    outcomes : dict
        Number of writes by outcome.
    reads : dict
        Number of reads by outcome.
    violations : list of str
        Violated guarantees; empty if the cell passed.
    """

    fault: str
    step: str
    outcomes: dict
    reads: dict
    violations: list


class Cell:
    """Faults that can be injected into one fleet.

    Each fault is an asynchronous generator that injects the fault before its ``yield``
    and removes it afterwards.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.group = fleet.groups["service-0"]

    @property
    def primary(self):
        """Return the server of the current primary."""
        return self.fleet.servers[self.fleet.primary_of().name]

    @property
    def replicas(self):
        """Return the servers of the copies other than the primary."""
        names = [n for n in self.group.copies if n != self.fleet.primary_of().name]
        return [self.fleet.servers[name] for name in names]

    async def primary_dead(self):
        """Kill the primary and restart it later."""
        server = self.primary
        if not server.copy.faults.is_stopped:
            server.stop()
        yield
        await server.restart()

    async def primary_cut_off(self):
        """Partition the primary's zone, so that it still acts as the primary."""
        zone = self.primary.copy.settings.zone
        zones = [p["zone"] for p in self.fleet.document["place"]]
        self.fleet.cut([(zone, other) for other in zones if other != zone])
        yield
        self.fleet.cut([])

    async def replica_behind(self):
        """Pause replication to one replica and make the other apply the log late."""
        first, second = self.replicas
        first.copy.faults.is_ship_paused = True
        second.copy.faults.lag_ms = 5_000
        yield
        first.copy.faults.is_ship_paused = False
        second.copy.faults.lag_ms = None

    async def no_majority(self):
        """Pause replication to every replica, so that no write can be confirmed."""
        for server in self.replicas:
            server.copy.faults.is_ship_paused = True
        yield
        for server in self.replicas:
            server.copy.faults.is_ship_paused = False

    async def proxy_dead(self):
        """Kill the proxy in the primary's zone, which owns the primary."""
        zone = self.primary.copy.settings.zone
        if f"p-{zone}" in self.fleet.proxies:
            self.fleet.kill_proxy(f"p-{zone}")
        yield
        await self.fleet.start_proxy(f"p-{zone}", zone)

    async def store_down(self):
        """Make the platform's store unavailable."""
        self.fleet.platform.faults.is_down = True
        yield
        self.fleet.platform.faults.is_down = False

    async def store_slow(self):
        """Delay every call to the store."""
        self.fleet.platform.faults.delay_ms = 700
        yield
        self.fleet.platform.faults.delay_ms = 0

    async def store_answer_lost(self):
        """Drop answers of the store after the change took effect."""
        self.fleet.platform.faults.lose_answers = 2
        yield
        self.fleet.platform.faults.lose_answers = 0

    async def operators_race(self):
        """Let two operators change the same version of the declaration.

        Only the first conditional update may succeed.
        """
        platform = self.fleet.platform
        current = platform.get("declaration", "main")
        results = [
            platform.put(
                "declaration",
                "main",
                {**current["value"], "comment": f"operator {n}"},
                current["version"],
            )
            for n in (1, 2)
        ]
        assert [is_done for _, is_done in results] == [True, False]
        yield

    async def silent_connections(self):
        """Stop all traffic on every open connection to the databases for good."""
        for server in self.fleet.servers.values():
            server.silence()
        yield

    async def answers_late(self):
        """Delay the answers of the databases."""
        for server in self.fleet.servers.values():
            server.copy.faults.answer_delay_ms = 350
        yield
        for server in self.fleet.servers.values():
            server.copy.faults.answer_delay_ms = 0

    async def answers_crossed(self):
        """Return answers that belong to other statements."""
        for server in self.fleet.servers.values():
            server.copy.faults.cross_answers = 6
        yield
        for server in self.fleet.servers.values():
            server.copy.faults.cross_answers = 0

    async def answers_lost(self):
        """Drop answers of the databases after the change took effect."""
        for server in self.fleet.servers.values():
            server.copy.faults.lose_answers = 3
        yield
        for server in self.fleet.servers.values():
            server.copy.faults.lose_answers = 0

    async def zone_cut_off(self):
        """Partition a zone without the primary from other zones and the platform."""
        self.fleet.cut([("c", "a"), ("c", "b")])
        yield
        self.fleet.cut([])

    async def store_zone_cut_off(self):
        """Partition the zone of the platform's store from the other zones."""
        self.fleet.cut([("a", "b"), ("a", "c")])
        yield
        self.fleet.cut([])

    async def region_cut_off(self):
        """Partition the region that has a single zone and delay the store."""
        self.fleet.cut([("c", "a"), ("c", "b")])
        self.fleet.platform.faults.delay_ms = 100
        yield
        self.fleet.platform.faults.delay_ms = 0
        self.fleet.cut([])


FAULTS = (
    "primary_dead",
    "primary_cut_off",
    "replica_behind",
    "no_majority",
    "proxy_dead",
    "store_down",
    "store_slow",
    "store_answer_lost",
    "operators_race",
    "silent_connections",
    "answers_late",
    "answers_crossed",
    "answers_lost",
    "zone_cut_off",
    "store_zone_cut_off",
    "region_cut_off",
)


async def run_cell(faults, step):
    """Inject faults during a step and report the result.

    Parameters
    ----------
    faults : sequence of str
        One fault, or several that overlap.
    step : str
        Key of ``OPERATIONS_BY_STEP``.

    Returns
    -------
    CellReport
    """
    document = make_document(regions=("north", "north", "south"))
    document["service"][0]["initial_primary"] = "db-0-b"
    latencies = Latencies(connect_ms=1.0, lag_ms=20.0)
    async with StandinFleet(document, latencies, with_links=True) as fleet:
        await fleet.start_proxies()
        await _create_tables(fleet)
        checker = Checker()
        cell = Cell(fleet)
        with anyio.fail_after(60):
            await _run_under_faults(cell, checker, faults, step)
            await _await_recovery(fleet, checker)
        checker.check_logs(cell.group, fleet.primary_of().name)
        return CellReport(
            "+".join(faults),
            step,
            dict(checker.outcomes()),
            dict(checker.reads),
            checker.violations,
        )


async def _create_tables(fleet):
    connection = await fleet.connect("p-a")
    await run_query(connection, "CREATE TABLE own (id INT PRIMARY KEY, v VARCHAR(20))")
    await run_query(connection, "CREATE TABLE entries (v VARCHAR(20))")
    connection.close()


async def _run_under_faults(cell, checker, faults, step):
    def ready_ports():
        apps = cell.fleet.proxies.values()
        return [app.callers.port for app in apps if app.is_ready()]

    async with anyio.create_task_group() as tasks:
        for number in range(6):
            tasks.start_soon(
                checker.run_caller, ready_ports, OPERATIONS_BY_STEP[step], number
            )
        await anyio.sleep(WARM_UP_S)
        await _begin_step(cell, step)
        injections = [getattr(cell, fault)() for fault in faults]
        for injection in injections:
            await anext(injection)
        await anyio.sleep(FAULT_DURATION_S)
        for injection in injections:
            async for _ in injection:
                pass
        await _end_step(cell, step)
        checker.stop()


async def _begin_step(cell, step):
    if step == "failover":
        cell.primary.stop()
        await anyio.sleep(0.9)
    elif step == "configuration":
        _update_declaration(cell.fleet)
    elif step == "drain":
        name = f"p-{cell.primary.copy.settings.zone}"
        cell.fleet.proxies[name].request_stop()
        await anyio.sleep(0.1)


async def _end_step(cell, step):
    if step == "failover":
        for server in cell.fleet.servers.values():
            if server.copy.faults.is_stopped:
                await server.restart()
    elif step == "drain":
        for name, app in list(cell.fleet.proxies.items()):
            if not app.is_ready():
                await cell.fleet.stop_proxy(name)
                await cell.fleet.start_proxy(name, app.settings.zone)


def _update_declaration(fleet):
    current = fleet.platform.get("declaration", "main")
    document = {**current["value"], "comment": f"after {current['version']}"}
    fleet.platform.put("declaration", "main", document, current["version"])


async def _await_recovery(fleet, checker):
    """Wait until a write through every proxy is acknowledged and can be read.

    Raise ``TimeoutError`` if that takes longer than ``RECOVERY_TIMEOUT_S``. Record a
    violation for each proxy that does not apply the newest declaration in time, and for
    each database that had more connections than its limit.
    """
    with anyio.fail_after(RECOVERY_TIMEOUT_S):
        for name in list(fleet.proxies):
            await _await_proxy_recovery(fleet, name)
    version = fleet.platform.get("declaration", "main")["version"]
    for name, app in fleet.proxies.items():
        with anyio.move_on_after(9) as scope:
            while app.node.declaration.generation < version:
                await anyio.sleep(0.02)
        if scope.cancelled_caught:
            checker.violations.append(f"generation {version} is not applied on {name}")
    _check_connection_limits(fleet, checker)


async def _await_proxy_recovery(fleet, name):
    while True:
        try:
            connection = await fleet.connect(name)
            await run_query(connection, "REPLACE INTO own VALUES (99, 'recovered')")
            rows = await run_query(connection, "SELECT v FROM own WHERE id = 99")
            connection.close()
            if rows == (("recovered",),):
                return
        except Exception:
            await anyio.sleep(0.1)


def _check_connection_limits(fleet, checker):
    for server in fleet.servers.values():
        most_connections = server.copy.most_connections
        if most_connections > server.copy.settings.max_connections:
            checker.violations.append(
                f"{server.copy.name} had {most_connections} connections"
            )


app = cyclopts.App(name="matrix", help="Run the fault matrix and print its table.")


@app.default
def main(*, only_fault: str = "", only_step: str = ""):
    """Run every cell and print the outcomes of its statements as a Markdown table."""
    logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)
    logging.getLogger("sqlglot").setLevel(logging.CRITICAL)
    print("| fault | step | writes | reads | violations |")
    print("| --- | --- | --- | --- | --- |")
    totals = Counter()
    for fault in FAULTS:
        for step in OPERATIONS_BY_STEP:
            if only_fault not in ("", fault) or only_step not in ("", step):
                continue
            report = anyio.run(run_cell, (fault,), step)
            totals["cells"] += 1
            totals["failed"] += bool(report.violations)
            writes = ", ".join(f"{n} {k}" for k, n in sorted(report.outcomes.items()))
            reads = ", ".join(f"{n} {k}" for k, n in sorted(report.reads.items()))
            violations = "; ".join(report.violations) or "none"
            print(
                f"| {fault} | {step} | {writes} | {reads} | {violations} |", flush=True
            )
    print(f"\n{totals['cells']} cells, {totals['failed']} with a violated guarantee")


if __name__ == "__main__":
    app()
