"""Bring about every fault at every step, and check every promise."""

import logging
from collections import Counter
from typing import NamedTuple

import anyio
import cyclopts

from bronzescale_standins.checker import Checker
from bronzescale_standins.group import Latencies
from bronzescale_standins.standin_fleet import StandinFleet, ask, make_document

HOLD_S = 1.0
WARM_S = 0.25
RECOVER_TIMEOUT_S = 20.0
KINDS = {
    "read": ("read",),
    "save": ("save", "keyed", "read"),
    "transaction": ("transaction",),
    "failover": ("save", "keyed", "transaction", "read"),
    "configuration": ("save", "read"),
    "drain": ("save", "transaction", "read"),
}


class CellReport(NamedTuple):
    """What happened in one cell.

    Parameters
    ----------
    fault, step : str
        The cell.
    outcomes : dict
        Saves by what their callers were told.
    reads : dict
        Reads by what their callers were told.
    violations : list of str
        Broken promises; empty in a good cell.
    """

    fault: str
    step: str
    outcomes: dict
    reads: dict
    violations: list


class Cell:
    """One fleet on which faults are brought about."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.group = fleet.groups["service-0"]

    @property
    def primary(self):
        """Return the server of the primary in force."""
        return self.fleet.servers[self.fleet.primary_of().name]

    @property
    def replicas(self):
        """Return the servers of the other copies."""
        names = [n for n in self.group.copies if n != self.fleet.primary_of().name]
        return [self.fleet.servers[name] for name in names]

    async def primary_dead(self):
        """Kill the primary, and bring it back later."""
        server = self.primary
        if not server.copy.faults.is_stopped:
            server.stop()
        yield
        await server.restart()

    async def primary_cut_off(self):
        """Cut the primary's zone off, so that it still believes it leads."""
        zone = self.primary.copy.settings.zone
        zones = [p["zone"] for p in self.fleet.document["place"]]
        self.fleet.cut([(zone, other) for other in zones if other != zone])
        yield
        self.fleet.cut([])

    async def replica_behind(self):
        """Stop one replica's log and make the other apply it late."""
        first, second = self.replicas
        first.copy.faults.is_ship_paused = True
        second.copy.faults.lag_ms = 5_000
        yield
        first.copy.faults.is_ship_paused = False
        second.copy.faults.lag_ms = None

    async def no_majority(self):
        """Stop the log of every replica, so that no save can be confirmed."""
        for server in self.replicas:
            server.copy.faults.is_ship_paused = True
        yield
        for server in self.replicas:
            server.copy.faults.is_ship_paused = False

    async def proxy_dead(self):
        """Kill the proxy that owns the primary."""
        zone = self.primary.copy.settings.zone
        if f"p-{zone}" in self.fleet.proxies:
            self.fleet.kill_proxy(f"p-{zone}")
        yield
        await self.fleet.start_proxy(f"p-{zone}", zone)

    async def store_down(self):
        """Let the platform's store answer nothing."""
        self.fleet.platform.faults.is_down = True
        yield
        self.fleet.platform.faults.is_down = False

    async def store_slow(self):
        """Let every call to the store take long."""
        self.fleet.platform.faults.delay_ms = 700
        yield
        self.fleet.platform.faults.delay_ms = 0

    async def store_answer_lost(self):
        """Lose answers of the store after the change took effect."""
        self.fleet.platform.faults.lose_answers = 2
        yield
        self.fleet.platform.faults.lose_answers = 0

    async def operators_race(self):
        """Let two operators change the declaration at once."""
        platform = self.fleet.platform
        known = platform.get("declaration", "main")
        results = [
            platform.put(
                "declaration",
                "main",
                {**known["value"], "comment": f"operator {n}"},
                known["version"],
            )
            for n in (1, 2)
        ]
        assert [is_done for _, is_done in results] == [True, False]
        yield

    async def silent_connections(self):
        """Make every open connection to the databases silent for good."""
        for server in self.fleet.servers.values():
            server.silence()
        yield

    async def answers_late(self):
        """Let answers of the databases come late."""
        for server in self.fleet.servers.values():
            server.copy.faults.answer_delay_ms = 350
        yield
        for server in self.fleet.servers.values():
            server.copy.faults.answer_delay_ms = 0

    async def answers_crossed(self):
        """Let answers come that belong to other statements."""
        for server in self.fleet.servers.values():
            server.copy.faults.cross_answers = 6
        yield
        for server in self.fleet.servers.values():
            server.copy.faults.cross_answers = 0

    async def answers_lost(self):
        """Lose answers of the databases after the change took effect."""
        for server in self.fleet.servers.values():
            server.copy.faults.lose_answers = 3
        yield
        for server in self.fleet.servers.values():
            server.copy.faults.lose_answers = 0

    async def zone_cut_off(self):
        """Cut a zone without the primary off from the others and the platform."""
        self.fleet.cut([("c", "a"), ("c", "b")])
        yield
        self.fleet.cut([])

    async def store_zone_cut_off(self):
        """Cut the zone of the platform's store off from the others."""
        self.fleet.cut([("a", "b"), ("a", "c")])
        yield
        self.fleet.cut([])

    async def region_cut_off(self):
        """Cut the region that stands alone off from the other."""
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
    """Bring about faults at a step and report.

    Parameters
    ----------
    faults : sequence of str
        One fault, or a pair that overlaps.
    step : str
        One of `KINDS`.

    Returns
    -------
    CellReport
    """
    document = make_document(regions=("north", "north", "south"))
    document["service"][0]["initial_primary"] = "db-0-b"
    latencies = Latencies(connect_ms=1.0, lag_ms=20.0)
    async with StandinFleet(document, latencies, with_links=True) as fleet:
        await fleet.start_proxies()
        await _make_tables(fleet)
        checker = Checker()
        cell = Cell(fleet)
        with anyio.fail_after(60):
            await _run_under_faults(cell, checker, faults, step)
            await _recover(fleet, checker)
        checker.check_logs(cell.group, fleet.primary_of().name)
        return CellReport(
            "+".join(faults),
            step,
            dict(checker.outcomes()),
            dict(checker.reads),
            checker.violations,
        )


async def _make_tables(fleet):
    connection = await fleet.connect("p-a")
    await ask(connection, "CREATE TABLE own (id INT PRIMARY KEY, v VARCHAR(20))")
    await ask(connection, "CREATE TABLE entries (v VARCHAR(20))")
    connection.close()


async def _run_under_faults(cell, checker, faults, step):
    def ports():
        apps = cell.fleet.proxies.values()
        return [app.callers.port for app in apps if app.is_ready()]

    async with anyio.create_task_group() as tasks:
        for number in range(6):
            tasks.start_soon(checker.caller, ports, KINDS[step], number)
        await anyio.sleep(WARM_S)
        await _begin_step(cell, step)
        running = [getattr(cell, fault)() for fault in faults]
        for fault in running:
            await anext(fault)
        await anyio.sleep(HOLD_S)
        for fault in running:
            async for _ in fault:
                pass
        await _end_step(cell, step)
        checker.stop()


async def _begin_step(cell, step):
    if step == "failover":
        cell.primary.stop()
        await anyio.sleep(0.9)
    elif step == "configuration":
        _declare(cell.fleet)
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


def _declare(fleet):
    known = fleet.platform.get("declaration", "main")
    document = {**known["value"], "comment": f"after {known['version']}"}
    fleet.platform.put("declaration", "main", document, known["version"])


async def _recover(fleet, checker):
    """Wait until a save through every proxy is acknowledged and read again."""
    with anyio.fail_after(RECOVER_TIMEOUT_S):
        for name in list(fleet.proxies):
            await _recover_proxy(fleet, name)
    version = fleet.platform.get("declaration", "main")["version"]
    for name, app in fleet.proxies.items():
        with anyio.move_on_after(9) as scope:
            while app.node.declaration.generation < version:
                await anyio.sleep(0.02)
        if scope.cancelled_caught:
            checker.violations.append(f"generation {version} is not in force on {name}")
    _check_connections(fleet, checker)


async def _recover_proxy(fleet, name):
    while True:
        try:
            connection = await fleet.connect(name)
            await ask(connection, "REPLACE INTO own VALUES (99, 'recovered')")
            rows = await ask(connection, "SELECT v FROM own WHERE id = 99")
            connection.close()
            if rows == (("recovered",),):
                return
        except Exception:
            await anyio.sleep(0.1)


def _check_connections(fleet, checker):
    for server in fleet.servers.values():
        most = server.copy.most_connections
        if most > server.copy.settings.max_connections:
            checker.violations.append(f"{server.copy.name} had {most} connections")


app = cyclopts.App(name="matrix", help="Run the fault matrix and print its table.")


@app.default
def main(*, only_fault: str = "", only_step: str = ""):
    """Run every cell and print what callers were told, as a Markdown table."""
    logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)
    logging.getLogger("sqlglot").setLevel(logging.CRITICAL)
    print("| fault | step | saves | reads | broken promises |")
    print("| --- | --- | --- | --- | --- |")
    red = Counter()
    for fault in FAULTS:
        for step in KINDS:
            if only_fault not in ("", fault) or only_step not in ("", step):
                continue
            report = anyio.run(run_cell, (fault,), step)
            red["cells"] += 1
            red["red"] += bool(report.violations)
            writes = ", ".join(f"{n} {k}" for k, n in sorted(report.outcomes.items()))
            reads = ", ".join(f"{n} {k}" for k, n in sorted(report.reads.items()))
            broken = "; ".join(report.violations) or "none"
            print(f"| {fault} | {step} | {writes} | {reads} | {broken} |", flush=True)
    print(f"\n{red['cells']} cells, {red['red']} with a broken promise")


if __name__ == "__main__":
    app()
