"""Run a small deployment for a case: processes, databases, platform and consumers."""

import asyncio
import itertools
import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from databases import Group
from platform_store import Platform

ROOT = Path(__file__).resolve().parents[2]
PORTS = {"front": 8784, "ready": 8785, "control": 8782}
HEARTBEAT_S = 1.2
ZONES = {"st-hyacinthe": "monteregie", "granby": "monteregie", "rimouski": "bsl"}
ZONE_NUMBERS = {zone: number for number, zone in enumerate(ZONES, 1)}
SERVICE = "bookings"
ROUTES = (
    {"host": "confirm", "type": "primary", "timeout_ms": 800, "slo_ms": 800},
    {
        "host": "manifest",
        "type": "bounded_staleness",
        "timeout_ms": 2000,
        "slo_ms": 1200,
        "max_staleness_ms": 1500,
    },
    {
        "host": "permit",
        "type": "read_your_writes",
        "timeout_ms": 800,
        "slo_ms": 1500,
        "max_staleness_ms": 2500,
    },
)


class Record:
    """What was sent, answered and run, a line for each event."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._started_s = time.monotonic()
        # Requests that a database has received.
        self.received = set()

    def write(self, event, **fields):
        """Add an event."""
        if event == "received":
            self.received.add(fields["request"])
        at_s = round(time.monotonic() - self._started_s, 3)
        self._file.write(json.dumps({"at_s": at_s, "event": event, **fields}) + "\n")

    def close(self):
        """Write everything out."""
        self._file.close()


class Machine:
    """One machine with its process."""

    def __init__(self, fleet, number, zone):
        self.fleet = fleet
        self.zone = zone
        self.name = f"front-{zone}-{number}"
        self.host = f"127.{fleet.subnet}.{ZONE_NUMBERS[zone]}.{number}"
        self.process = None
        self._has_started = False

    def _settings(self):
        seeds = ",".join(f"{m.host}:{PORTS['control']}" for m in self.fleet.seeds())
        store = "{}:{}".format(*self.fleet.store_address)
        lines = {
            "node": self.name,
            "role": "proxy",
            "machine_class": "front",
            "serves": "front,control",
            "ip": self.host,
            "zone": self.zone,
            "region": ZONES[self.zone],
            **{f"zones.{zone}": region for zone, region in ZONES.items()},
            **{f"listen.{key}": f"{self.host}:{port}" for key, port in PORTS.items()},
            "port_range": "7440,7455",
            "seeds": seeds,
            "bootstrap": "false" if self._has_started else "true",
            "loss_counts": "false",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4200",
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": "1200",
            "contracts": "base,drain,config,cost,recover,sql,platform",
            "bounds.stability_ms": "5000",
            "bounds.ack_ms": "6000",
            "bounds.drain_ms": "7000",
            "bounds.grace_s": "6",
            "bounds.loss_slack_ms": "200",
            "bounds.config_apply_ms": "4000",
            "bounds.back_ms": "250",
            "bounds.max_skew_ms": "15000",
            "bounds.recovery_s": "12",
            "bounds.require_fence": "false",
            "bounds.thaw_ms": "300",
            "platform.address": store,
            "platform.form": "objects",
            "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000",
            "platform.history_s": "20",
            "platform.value_bytes": "1048576",
            "cloud_api.address": store,
            "cloud_api.duties": "failover",
            "cloud_api.duty_per_s": "50.0",
        }
        return "".join(f"{name}={value}\n" for name, value in lines.items())

    def start(self):
        """Start the process with the command of the deploy file."""
        folder = self.fleet.folder
        path = folder / f"{self.name}.conf"
        path.write_text(self._settings(), encoding="utf-8")
        self._has_started = True
        names = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in names if n in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BRONZESCALE_CONFIG"] = str(path)
        with open(folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                self.fleet.command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        """Return whether the process answers the ready check with 200."""
        try:
            reader, writer = await asyncio.open_connection(self.host, PORTS["ready"])
        except OSError:
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
        except (OSError, asyncio.TimeoutError):  # noqa: UP041
            return False
        finally:
            writer.transport.abort()
        return b" 200 " in line


class Fleet:
    """The deployment.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings and logs of the processes.
    record : Record
        Receives what was sent, answered and run.
    sync_replicas : int
        Replicas that have received a commit before it is acknowledged.
    machines : dict of str to int
        Machines of each zone.
    """

    def __init__(self, folder, record, sync_replicas=0, machines=None):
        self.folder = Path(folder)
        self.record = record
        self.subnet = find_subnet()
        self.store_address = (f"127.{self.subnet}.200.1", 8783)
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            role = tomllib.load(file)["roles"]["proxy"]
        self.command = shlex.split(role["run"])
        self.command[0] = sys.executable
        self.group = Group(SERVICE, record, sync_replicas)
        self.platform = Platform({SERVICE: self.group}, record)
        machines = machines or {"st-hyacinthe": 3, "granby": 2, "rimouski": 3}
        self.machines = [
            Machine(self, number, zone)
            for zone, count in machines.items()
            for number in range(1, count + 1)
        ]
        self.version = 0
        self._tasks = []

    def seeds(self):
        """Return one machine of each zone."""
        by_zone = {machine.zone: machine for machine in self.machines}
        return list(by_zone.values())

    def add_database(self, name, zone, **options):
        """Add a database with an address of its own."""
        number = 1 + len(self.group.databases)
        address = (f"127.{self.subnet}.100.{number}", 8080)
        return self.group.add(name, zone, address, **options)

    def configure(self, routes=ROUTES, limits=None, tenants=None):
        """Write the next version of the config."""
        self.version += 3
        spec = {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{route['host']}",
                    "path_prefix": "/",
                    "priority": 2,
                    "service": SERVICE,
                    "max_attempts": 2,
                    **route,
                }
                for route in routes
            ],
            "services": [
                {
                    "name": SERVICE,
                    "health_path": "/health",
                    "max_conns": 43,
                    "protocol": "h1",
                    "tls": False,
                    "sync_replicas": self.group.sync_replicas,
                }
            ],
            "limits": {"max_body_bytes": 262144, "tx_idle_ms": 3000, **(limits or {})},
        }
        if tenants is not None:
            spec["tenants"] = tenants
        self.platform.put("config", "main", spec)

    def register(self, database):
        """Write the entry of a database."""
        spec = {
            "service": SERVICE,
            "address": "{}:{}".format(*database.address),
            "zone": database.zone,
            "version": "v1",
            "slots": database.slots,
            "state": "draining" if database.is_leaving else "ready",
            "cold_left_ms": 0,
            "db_role": "primary" if database.is_primary else "replica",
            "seq": 1,
            "born": database.born_ms,
        }
        self.platform.put("servers", database.name, spec)

    async def _send_heartbeats(self):
        """Write entries at each change; remove those of databases that are silent."""
        alive_at_s = {}
        while True:
            now_s = time.monotonic()
            for database in self.group.databases.values():
                if database.is_running:
                    alive_at_s[database.name] = now_s
                    self.register(database)
                elif now_s - alive_at_s.get(database.name, now_s) > 3 * HEARTBEAT_S:
                    self.platform.delete("servers", database.name)
            await asyncio.sleep(0.05)

    async def start(self, routes=ROUTES):
        """Start everything; return whether all machines are ready in time."""
        await self.platform.start(self.store_address)
        for database in self.group.databases.values():
            await database.start()
        self.configure(routes)
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))
        for machine in self.machines:
            machine.start()
        return await self.wait_until_ready(20.0)

    async def wait_until_ready(self, timeout_s):
        """Wait until all machines are ready; return whether they are."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            states = await asyncio.gather(*(m.is_ready() for m in self.machines))
            if all(states):
                return True
            await asyncio.sleep(0.1)
        return False

    def stop(self):
        """End all processes."""
        for task in self._tasks:
            task.cancel()
        for machine in self.machines:
            machine.kill()


def find_subnet():
    """Return the second byte of a loopback network that is not in use."""
    for number in range(40 + os.getpid() % 100, 240):
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{number}.200.1", 8783))
            except OSError:
                continue
            return number
    raise OSError("no loopback network is free")


class Answer:
    """Answer to one statement."""

    def __init__(self, code, text, rows, state):
        self.code, self.text, self.rows, self.state = code, text, rows, state


class Consumer:
    """A session of a consumer at one machine."""

    numbers = itertools.count(1)

    def __init__(self, machine, record, reader, writer):
        self._machine = machine
        self._record = record
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, machine, database, key="key"):
        """Open a session; return None if it is refused."""
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(
                    machine.host, PORTS["front"], limit=2**21
                )
                writer.write(f"CONNECT {database} {key}\r\n".encode())
                line = await reader.readuntil(b"\r\n")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None
        if not line.startswith(b"READY"):
            writer.transport.abort()
            return None
        return cls(machine, machine.fleet.record, reader, writer)

    async def query(self, text, timeout_s=5.0):
        """Send a statement; return its id and its answer, None if there is none."""
        request_id = f"{next(self.numbers):016x}"
        self._record.write(
            "sent", request=request_id, machine=self._machine.name, text=text[:80]
        )
        answer = None
        try:
            async with asyncio.timeout(timeout_s):
                self._writer.write(f"QUERY {request_id} {text}\r\n".encode("latin-1"))
                answer = await self._receive()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
        self._record.write(
            "answered" if answer else "not_answered",
            request=request_id,
            code=answer.code if answer else None,
            text=answer.text[:120] if answer else None,
            rows=answer.rows if answer else None,
        )
        return request_id, answer

    async def _receive(self):
        rows, code, text = [], "", ""
        while True:
            line = (await self._reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
            word, _, rest = line.partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "DONE":
                code, text = word, rest
            elif word == "ERROR":
                code, _, text = rest.partition(" ")
            elif word == "READY":
                return Answer(code, text, rows, rest.split(" ")[0])

    def close(self):
        """Close the connection at once."""
        self._writer.transport.abort()


def run_case(folder, play):
    """Play a case and end the process with its exit status.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case, for its record.
    play : callable
        ``async (folder, record, is_disturbed)``; returns 0, 1 or 2.
    """
    record = Record(folder / "record.txt")
    # Raises `SystemExit`, so that the processes are ended first.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    try:
        with tempfile.TemporaryDirectory() as temporary:
            status = asyncio.run(play(Path(temporary), record, is_disturbed))
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                subprocess.run(["cp", "-r", temporary, keep], check=False)
    finally:
        record.close()
    sys.exit(status)
