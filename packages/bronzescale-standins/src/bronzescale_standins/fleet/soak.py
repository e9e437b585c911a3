"""Run real processes against stand-ins while faults come from outside.

    python -m bronzescale_standins.fleet.soak --seed 7 --seconds 30 --nodes 6

Databases, the store and the callers live in this process; each node of the fleet is a
process of its own on a loopback address of its own. Faults come as signals to the
processes that this run started, as cuts, delays and resets on the way to databases and
store, and as trouble of databases and store. Promises are checked at the end, and the
history and the logs are kept where one is broken.
"""

import json
import os
import random
import signal
import subprocess
import sys
import time
from contextlib import ExitStack
from pathlib import Path
from typing import Annotated

import anyio
import cyclopts
from cyclopts import Parameter

from bronzescale_standins.fleet.callers import LineCaller
from bronzescale_standins.fleet.soak_callers import SoakCaller
from bronzescale_standins.fleet.soak_faults import FAULTS
from bronzescale_standins.fleet.soak_history import Violation, check
from bronzescale_standins.fleet.world import ZONES, World, run_with_status
from bronzescale_standins.links import Forwarder, LinkTable

ROOT = Path(__file__).resolve().parents[5]
RUN = ROOT / "platform" / "run.py"
STOP_S = 6
# The fleet serves again this long after the last fault.
RECOVERY_S = 12.0
PORTS = {"front": 8784, "ready": 8785, "control": 8782}

app = cyclopts.App(name="soak", help=__doc__)


class SoakMember:
    """One process of the fleet."""

    def __init__(self, soak, number, zone):
        self.soak = soak
        self.name = f"n{number}"
        self.zone = zone
        self.host = f"127.0.{soak.network}.{number}"
        self.caller_port = PORTS["front"]
        self.store = Forwarder(soak.links, self.name, "store", soak.store_address)
        self.process = None

    def _settings(self):
        lines = {
            "node": self.name,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "ip": self.host,
            **{f"zones.{zone}": region for zone, region in ZONES.items()},
            **{f"listen.{key}": f"{self.host}:{port}" for key, port in PORTS.items()},
            "seeds": ",".join(
                f"{member.host}:{PORTS['control']}" for member in self.soak.members[:3]
            ),
            "limits.max_fds": 1024,
            "bounds.grace_s": STOP_S,
            "platform.address": self.store.address,
            "cloud_api.address": self.store.address,
        }
        return "".join(f"{name}={value}\n" for name, value in lines.items())

    def start(self):
        """Start the process, unless it runs."""
        if self.process is not None and self.process.poll() is None:
            return
        path = self.soak.folder / f"{self.name}.conf"
        path.write_text(self._settings())
        log = open(self.soak.folder / f"{self.name}.log", "ab")  # noqa: SIM115
        with log:
            self.process = subprocess.Popen(
                [sys.executable, str(RUN)],
                env={**os.environ, "BRONZESCALE_CONFIG": str(path)},
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send a signal, if the process still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        """End the process for good."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Soak:
    """One run.

    Parameters
    ----------
    seed : int
        Chooses faults, times and what callers do.
    nodes : int
        Processes of the fleet.
    folder : pathlib.Path
        Takes settings and logs.
    """

    def __init__(self, seed, nodes, folder):
        self.random = random.Random(seed)
        self.network = 1 + seed % 200
        self.folder = folder
        self.links = LinkTable({})
        self.world = World(nodes=0)
        self.group = self.world.group
        self.platform = self.world.platform
        self.store_address = ""
        self.nodes = nodes
        self.members = []
        self.operations = []
        self.callers_count = max(6, nodes)
        self.faults = []
        self.forwarders = {}

    async def run(self, seconds, names):
        """Play faults for some seconds and return the broken promises."""
        async with anyio.create_task_group() as tasks:
            with ExitStack() as stack:
                self.world.tasks = tasks
                await self._start_standins(tasks)
                await self._start_members(tasks, stack)
                await self._until_serving("start")
                for number in range(self.callers_count):
                    chooser = random.Random(self.random.random())
                    tasks.start_soon(SoakCaller(number, self, chooser).run)
                await self._play(seconds, names, tasks)
                problem = await self._until_serving("recovery")
                await anyio.sleep(1.0)
                tasks.cancel_scope.cancel()
        found = check(self.operations, self.group)
        return found + ([problem] if problem else [])

    async def _start_standins(self, tasks):
        await tasks.start(run_with_status, self.platform)
        self.store_address = f"127.0.0.1:{self.platform.port}"
        for database in self.group.databases.values():
            await self.start_database(database)
        self.world.configure()
        tasks.start_soon(self.world._send_heartbeats)

    async def start_database(self, database):
        """Start a database behind a forwarder of its own."""
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
        for number in range(1, self.nodes + 1):
            member = SoakMember(self, number, zones[number % len(zones)])
            await member.store.listen()
            tasks.start_soon(member.store.run)
            self.members.append(member)
        for member in self.members:
            member.start()
            stack.callback(member.end)

    async def _play(self, seconds, names, tasks):
        """Begin a fault every second or two; they overlap."""
        ends_s = time.monotonic() + seconds
        while time.monotonic() < ends_s:
            name = self.random.choice(names)
            self.faults.append((round(time.monotonic(), 2), name))
            tasks.start_soon(self._fault, name)
            await anyio.sleep(self.random.uniform(0.5, 2.5))

    async def _fault(self, name):
        chooser = random.Random(self.random.random())
        await FAULTS[name](self, chooser)

    async def _until_serving(self, step):
        """Wait until every node serves a read and a save."""
        for member in self.members:
            member.start()
        deadline_s = time.monotonic() + RECOVERY_S
        waiting = list(self.members)
        while waiting and time.monotonic() < deadline_s:
            waiting = [m for m in waiting if not await self._serves(m)]
            await anyio.sleep(0.1)
        if waiting:
            names = [member.name for member in waiting]
            return Violation("recovery", f"after {step}, {names} do not serve")
        return None

    async def _serves(self, member):
        try:
            caller = await LineCaller.connect(
                member.caller_port, "lead", timeout_s=1, host=member.host
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
    seeds: Annotated[int, Parameter(help="How many seeds.")] = 1,
    seconds: Annotated[float, Parameter(help="Length of the faults of a run.")] = 20,
    nodes: Annotated[int, Parameter(help="Processes of the fleet.")] = 6,
    faults: Annotated[str, Parameter(help="Names, joined by commas.")] = "",
    folder: Annotated[str, Parameter(help="Where runs are kept.")] = "build/soak",
):
    """Run seeds one after the other; exit with 1 if a promise was broken."""
    names = [name for name in faults.split(",") if name] or sorted(FAULTS)
    broken = 0
    for number in range(seed, seed + seeds):
        broken += not _run_seed(number, seconds, nodes, names, Path(folder))
    print(f"soak: {seeds - broken} passed, {broken} failed")
    sys.exit(1 if broken else 0)


def _run_seed(seed, seconds, nodes, names, folder):
    place = folder / f"seed-{seed}"
    place.mkdir(parents=True, exist_ok=True)
    soak = Soak(seed, nodes, place)
    found = anyio.run(soak.run, seconds, names)
    done = sum(operation.code == "DONE" for operation in soak.operations)
    print(
        f"seed {seed}: {len(soak.operations)} operations, {done} done, "
        f"{len(soak.faults)} faults, {len(found)} broken promises",
        flush=True,
    )
    if found:
        _keep(place, soak, found)
    return not found


def _keep(place, soak, found):
    for violation in found[:5]:
        print(f"  {violation.promise}: {violation.detail}"[:400])
    document = {
        "faults": soak.faults,
        "violations": found,
        "operations": soak.operations,
        "databases": soak.group.history,
    }
    (place / "history.json").write_text(json.dumps(document, default=str))
    print(f"  kept in {place}")


if __name__ == "__main__":
    app()
