"""Run a fleet of real processes against stand-ins while injecting faults.

    python -m bronzescale_standins.fleet.soak --seed 7 --seconds 30 --nodes 6

Databases, the store and the callers run in this process; each node of the fleet is a
separate process with its own loopback address. Faults are signals to the processes that
this run started, cut or delayed links to databases and store, and errors of databases
and store. At the end, the run checks the guarantees of the fleet; after a violation, it
writes the history beside the logs.
"""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Annotated

import anyio
import cyclopts
from cyclopts import Parameter

from bronzescale_core.check_duty import rank_watchers
from bronzescale_core.rendezvous import Node, rank_nodes
from bronzescale_standins.fleet.callers import LineCaller
from bronzescale_standins.fleet.soak_callers import SoakCaller
from bronzescale_standins.fleet.soak_faults import FAULTS, put_foreign_entries
from bronzescale_standins.fleet.soak_history import Violation, check, find_cut_off
from bronzescale_standins.fleet.world import ROUTES, ZONES, World, run_with_status
from bronzescale_standins.links import Forwarder, LinkTable

ROOT = Path(__file__).resolve().parents[5]
RUN_SCRIPT = ROOT / "platform" / "run.py"
STOP_GRACE_S = 6
# A node that serves no write within this time after the fault injection has not
# recovered, which is a violation.
RECOVERY_TIMEOUT_S = 12.0
# Bounds of the smallest deployments on the users' platform.
STABILITY_S = 5.0
CONFIGURATION_IN_FORCE_S = 4.0
# Two heartbeats that are not answered, and one more.
HEARTBEATS_S = 3.0
# What a process writes about an error that no code expected.
UNEXPECTED_ERRORS = (b'"task_failed"', b"failed unexpectedly")
# How long statements run, usually and while a process is stopped.
WORK_S = 0.002
STOP_WORK_S = 0.15
# Callers that use the process that is stopped until it is gone.
STOP_CALLERS = 8
# Callers that pause inside transactions, and restarts meanwhile. Nodes that have just
# started hold few transactions, which are the easiest to confuse.
PATIENT_CALLERS = 12
RESTARTS = 6
LISTEN_PORTS = {"front": 8784, "ready": 8785, "control": 8782}
# Loopback networks 127.0.N.x; a run takes the first free one from that of its seed on.
SUBNETS = 200
# Address and port that a run holds while it uses a network; no node listens there.
RESERVED_HOST = 254
RESERVED_PORT = 8780

app = cyclopts.App(name="soak", help=__doc__)


@contextmanager
def reserve_subnet(seed):
    """Yield the number of a loopback network that no other run uses meanwhile.

    Raises
    ------
    OSError
        If all are in use.
    """
    for offset in range(SUBNETS):
        subnet = 1 + (seed + offset) % SUBNETS
        with socket.socket() as reservation:
            try:
                reservation.bind((f"127.0.{subnet}.{RESERVED_HOST}", RESERVED_PORT))
                reservation.listen(1)
            except OSError:
                continue
            yield subnet
            return
    raise OSError("every loopback network is in use; end other runs of the soak")


class SoakMember:
    """One node of the fleet, as a process."""

    def __init__(self, soak, number, zone):
        self.soak = soak
        self.name = f"n{number}"
        self.zone = zone
        self.host = f"127.0.{soak.subnet}.{number}"
        self.caller_port = LISTEN_PORTS["front"]
        self.store = Forwarder(soak.links, self.name, "store", soak.store_address)
        self.process = None
        self._is_killed = False

    def _settings(self):
        lines = {
            "node": self.name,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "ip": self.host,
            **{f"zones.{zone}": region for zone, region in ZONES.items()},
            **{
                f"listen.{key}": f"{self.host}:{port}"
                for key, port in LISTEN_PORTS.items()
            },
            "seeds": ",".join(
                f"{member.host}:{LISTEN_PORTS['control']}"
                for member in self.soak.members[:3]
            ),
            "limits.max_fds": 1024,
            "bootstrap": str(self.process is None).lower(),
            "bounds.grace_s": STOP_GRACE_S,
            "platform.address": self.store.address,
            "cloud_api.address": self.store.address,
        }
        return "".join(f"{name}={value}\n" for name, value in lines.items())

    def start(self):
        """Start the process unless it is running.

        One that was killed may take a while to end on a busy machine.
        """
        if self._is_killed:
            self.process.wait()
            self._is_killed = False
        if self.process is not None and self.process.poll() is None:
            return
        path = self.soak.folder / f"{self.name}.conf"
        path.write_text(self._settings())
        log = open(self.soak.folder / f"{self.name}.log", "ab")  # noqa: SIM115
        with log:
            self.process = subprocess.Popen(
                [sys.executable, str(RUN_SCRIPT)],
                env={**os.environ, "BRONZESCALE_CONFIG": str(path)},
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number):
        """Send a signal if the process is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self._is_killed |= number == signal.SIGKILL

    def kill(self):
        """Kill the process, even a suspended one, and wait for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Soak:
    """One run of the soak test.

    Parameters
    ----------
    seed : int
        Seed of the choice of faults, times and operations of callers.
    node_count : int
        Number of processes of the fleet.
    folder : pathlib.Path
        Folder for settings and logs.
    customer_count : int
        Number of customers, who share the callers; 0 for none.
    """

    def __init__(self, seed, node_count, folder, customer_count):
        self.rng = random.Random(seed)
        self.seed = seed
        self.subnet = None
        self.folder = folder
        self.links = LinkTable({})
        customers = {f"c{n}": [f"{n}-1", f"{n}-2"] for n in range(customer_count)}
        self.world = World(nodes=0, customers=customers or None)
        self.group = self.world.group
        self.platform = self.world.platform
        self.store_address = ""
        self.node_count = node_count
        self.members = []
        self.operations = []
        self.caller_count = max(6, node_count)
        self.faults = []
        self.forwarders = {}

    async def run(self, seconds, fault_names):
        """Inject faults for some seconds and return the violated guarantees."""
        async with anyio.create_task_group() as tasks:
            with ExitStack() as stack:
                self.subnet = stack.enter_context(reserve_subnet(self.seed))
                self.world.tasks = tasks
                await self._start_standins(tasks)
                await self._start_members(tasks, stack)
                start_violation = await self._wait_until_serving("start")
                for number in range(self.caller_count):
                    rng = random.Random(self.rng.random())
                    tasks.start_soon(SoakCaller(number, self, rng).run)
                await self._inject_faults(seconds, fault_names)
                ends = [
                    start_violation,
                    await self._wait_until_serving("recovery"),
                    await self._lose_all_beside_foreign_entries(),
                    await self._restart_under_transactions(),
                    *await self._stop_one_under_load(),
                    await self._drop_route_after_lost_watches(),
                    self._find_unexpected_errors(),
                ]
                tasks.cancel_scope.cancel()
        violations = check(self.operations, self.group, self.world.customer_versions)
        return violations + [violation for violation in ends if violation]

    # What is done at the end of each run, with no other fault in force

    async def _lose_all_beside_foreign_entries(self):
        """Kill every process while the store holds entries that cannot be read."""
        keys = put_foreign_entries(self.platform, self.rng)
        for member in self.members:
            member.kill()
        violation = await self._wait_until_serving("a start beside foreign entries")
        # Long enough for heartbeats to every host that stands in the store.
        await anyio.sleep(HEARTBEATS_S)
        for kind, name in keys:
            self.platform.delete(kind, name)
        return violation

    async def _restart_under_transactions(self):
        """Restart nodes and databases while callers pause inside transactions."""
        async with anyio.create_task_group() as tasks:
            for number in range(PATIENT_CALLERS):
                rng = random.Random(self.rng.random())
                number += self.caller_count + STOP_CALLERS
                caller = SoakCaller(number, self, rng, is_patient=True)
                tasks.start_soon(caller.run)
            for number in range(RESTARTS):
                await anyio.sleep(self.rng.uniform(0.6, 1.2))
                if number % 2:
                    await self._inject_fault("restart_database")
                    continue
                owner = self._owner_of_primary()
                owner.kill()
                owner.start()
                # Until then it holds no transactions that could be confused.
                with anyio.move_on_after(RECOVERY_TIMEOUT_S):
                    while not await self._is_serving(owner):
                        await anyio.sleep(0.1)
            tasks.cancel_scope.cancel()
        return await self._wait_until_serving("restarts under transactions")

    def _owner_of_primary(self):
        """Return the member that holds the connections to the primary."""
        primary = self.group.primary() or next(iter(self.group.databases.values()))
        region = ZONES[primary.zone]
        (first,) = rank_nodes(primary.instance, self._nodes(), primary.zone, region, 1)
        return next(member for member in self.members if member.name == first.name)

    def _nodes(self):
        return [Node(m.name, m.host, m.zone, ZONES[m.zone]) for m in self.members]

    async def _stop_one_under_load(self):
        """Stop a process whose callers go on until it is gone; nothing is cut off."""
        for database in self.group.databases.values():
            database.work_s = STOP_WORK_S
        await anyio.sleep(STABILITY_S)
        member = self.rng.choice(self.members)
        async with anyio.create_task_group() as tasks:
            # A balancer sends callers to a stopping process while it has no other one.
            for number in range(STOP_CALLERS):
                rng = random.Random(self.rng.random())
                number += self.caller_count
                caller = SoakCaller(number, self, rng, member, is_patient=True)
                tasks.start_soon(caller.run)
            await anyio.sleep(STOP_WORK_S * 2)
            began_s = time.monotonic()
            member.send_signal(signal.SIGTERM)
            with anyio.move_on_after(STOP_GRACE_S):
                while member.process.poll() is None:
                    await anyio.sleep(0.02)
            ended_s = time.monotonic()
            member.kill()
            await anyio.sleep(STOP_WORK_S * 2)
            tasks.cancel_scope.cancel()
        for database in self.group.databases.values():
            database.work_s = WORK_S
        cut_off = find_cut_off(
            self.operations, self.group, member.name, began_s, ended_s
        )
        return [*cut_off, await self._wait_until_serving("a planned stop")]

    async def _drop_route_after_lost_watches(self):
        """Lose an answer of every watch; the next configuration must come in force.

        In every second run the host that checks the watches is cut off from the store.
        """
        checker = rank_watchers(self._nodes(), 2)[0].node.name
        if self.rng.random() < 0.5:
            await anyio.sleep(STABILITY_S)
            self.links.cut({frozenset((checker, "store"))})
        lost = self.platform.faults.kinds_with_lost_watches
        lost.add("config")
        self.world.configure()
        await anyio.sleep(0.3)
        lost.clear()
        self.world.configure(ROUTES[:2])
        await anyio.sleep(CONFIGURATION_IN_FORCE_S)
        dropped = ROUTES[2]["host"]
        using = [m.name for m in self.members if await self._has_route(m, dropped)]
        self.links.cut(set())
        if using:
            return Violation(
                "configuration", f"{using} use the dropped route {dropped}"
            )
        return None

    def _find_unexpected_errors(self):
        """Return a violation if a process logged an error that no code expected."""
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_bytes().splitlines():
                if any(mark in line for mark in UNEXPECTED_ERRORS):
                    return Violation("unexpected error", f"{path.stem}: {line[:300]}")
        return None

    async def _has_route(self, member, database):
        try:
            caller = await LineCaller.connect(
                member.caller_port, database, host=member.host, key=self.key_of(0)
            )
        except (OSError, TimeoutError):
            return False
        await caller.close()
        return True

    async def _start_standins(self, tasks):
        await tasks.start(run_with_status, self.platform)
        self.store_address = f"127.0.0.1:{self.platform.port}"
        for database in self.group.databases.values():
            await self.start_database(database)
        self.world.configure()
        tasks.start_soon(self.world._send_heartbeats)

    async def start_database(self, database):
        """Start a database behind a forwarder that can cut or delay its connections."""
        await self.world.tasks.start(run_with_status, database)
        forwarder = self.forwarders.get(database.instance)
        if forwarder is None:
            target = f"127.0.0.1:{database.port}"
            forwarder = Forwarder(self.links, "fleet", database.instance, target)
            await forwarder.listen()
            self.world.tasks.start_soon(forwarder.run)
            self.forwarders[database.instance] = forwarder
            database.published_address = forwarder.address
        self.world.register(database)

    async def _start_members(self, tasks, stack):
        zones = list(ZONES)
        for number in range(1, self.node_count + 1):
            member = SoakMember(self, number, zones[number % len(zones)])
            await member.store.listen()
            tasks.start_soon(member.store.run)
            self.members.append(member)
        for member in self.members:
            member.start()
            stack.callback(member.kill)

    async def _inject_faults(self, seconds, fault_names):
        """Start a random fault every 0.5 to 2.5 s; faults may overlap.

        Return when the last of them has ended, so that the time to recover starts
        without any fault in force.
        """
        end_s = time.monotonic() + seconds
        async with anyio.create_task_group() as faults:
            while time.monotonic() < end_s:
                name = self.rng.choice(fault_names)
                self.faults.append((round(time.monotonic(), 2), name))
                faults.start_soon(self._inject_fault, name)
                await anyio.sleep(self.rng.uniform(0.5, 2.5))

    async def _inject_fault(self, name):
        rng = random.Random(self.rng.random())
        await FAULTS[name](self, rng)

    async def _wait_until_serving(self, stage):
        """Start stopped nodes and wait until every node serves a write.

        Returns
        -------
        Violation or None
            A violation that names the nodes that do not serve in time.
        """
        for member in self.members:
            member.start()
        deadline_s = time.monotonic() + RECOVERY_TIMEOUT_S
        pending = list(self.members)
        while pending and time.monotonic() < deadline_s:
            pending = [m for m in pending if not await self._is_serving(m)]
            await anyio.sleep(0.1)
        if pending:
            names = [member.name for member in pending]
            return Violation("recovery", f"after {stage}, {names} do not serve writes")
        return None

    def key_of(self, number):
        """Return a key of the customer of a caller."""
        customers = self.world.customers
        if not customers:
            return "test"
        return self.rng.choice(customers[f"c{number % len(customers)}"])

    async def _is_serving(self, member):
        try:
            caller = await LineCaller.connect(
                member.caller_port,
                "lead",
                timeout_s=1,
                host=member.host,
                key=self.key_of(0),
            )
            answer = await caller.query("WRITE probe 1", timeout_s=2)
            await caller.close()
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            return False
        return answer.is_done


@app.default
def main(
    *,
    seed: Annotated[int, Parameter(help="First seed.")] = 1,
    seeds: Annotated[int, Parameter(help="Number of seeds.")] = 1,
    seconds: Annotated[float, Parameter(help="Time with faults in a run.")] = 20,
    nodes: Annotated[int, Parameter(help="Number of processes of the fleet.")] = 6,
    customers: Annotated[int, Parameter(help="Number of customers; 0 for none.")] = 4,
    faults: Annotated[
        str, Parameter(help="Names of faults, separated by commas; empty for all.")
    ] = "",
    folder: Annotated[
        str, Parameter(help="Folder for settings, logs and histories.")
    ] = "build/soak",
):
    """Run seeds one after the other; exit with 1 if a guarantee was violated."""
    fault_names = [name for name in faults.split(",") if name] or sorted(FAULTS)
    failed_count = 0
    for each_seed in range(seed, seed + seeds):
        failed_count += not _run_seed(
            each_seed, seconds, nodes, customers, fault_names, Path(folder)
        )
    print(f"soak: {seeds - failed_count} passed, {failed_count} failed")
    sys.exit(1 if failed_count else 0)


def _run_seed(seed, seconds, node_count, customer_count, fault_names, folder):
    seed_folder = folder / f"seed-{seed}"
    seed_folder.mkdir(parents=True, exist_ok=True)
    soak = Soak(seed, node_count, seed_folder, customer_count)
    violations = anyio.run(soak.run, seconds, fault_names)
    done_count = sum(operation.code == "DONE" for operation in soak.operations)
    print(
        f"seed {seed}: {len(soak.operations)} operations, {done_count} done, "
        f"{len(soak.faults)} faults, {len(violations)} violations",
        flush=True,
    )
    if violations:
        _write_history(seed_folder, soak, violations)
    return not violations


def _write_history(seed_folder, soak, violations):
    for violation in violations[:5]:
        print(f"  {violation.guarantee}: {violation.detail}"[:400])
    document = {
        "faults": soak.faults,
        "violations": violations,
        "operations": soak.operations,
        "databases": soak.group.history,
        "customers": soak.world.customer_versions,
        "connections": soak.group.customer_by_connection,
    }
    (seed_folder / "history.json").write_text(json.dumps(document, default=str))
    print(f"  history written to {seed_folder}")


if __name__ == "__main__":
    app()
