"""Start, signal and end the project's processes by the command of the deploy file."""

import asyncio
import os
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import tomllib
from contextlib import ExitStack
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
METRICS_PORT = 9_464
PASSED_VARIABLES = ("PATH", "HOME", "JAVA_HOME", "LANG")
BOUNDS = {
    "seed_lag_s": "3",
    "addr_reuse_s": "2",
    "stability_ms": "5000",
    "ack_ms": "6000",
    "catch_up_s": "4",
    "drain_ms": "7000",
    "grace_s": "6",
    "loss_slack_ms": "200",
    "config_apply_ms": "4000",
    "back_ms": "250",
    "max_skew_ms": "15000",
    "recovery_s": "12",
    "require_fence": "false",
    "thaw_ms": "300",
}
REGIONS = {
    "st-hyacinthe": "monteregie",
    "granby": "monteregie",
    "rimouski": "bsl",
}


def find_network():
    """Return the first three numbers of a loopback network that nobody uses."""
    for _ in range(200):
        prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            with socket.socket() as candidate:
                candidate.bind((f"{prefix}.1", METRICS_PORT))
        except OSError:
            continue
        return prefix
    raise OSError("no loopback network is free")


def _free_port(host):
    with socket.socket() as candidate:
        candidate.bind((host, 0))
        return candidate.getsockname()[1]


class Machine:
    """One machine with one process of the project."""

    def __init__(self, fleet, number, zone):
        self._fleet = fleet
        self.zone = zone
        self.name = f"front-{zone}-{number}"
        self.host = f"{fleet.prefix}.{number}"
        self._ports = {p: _free_port(self.host) for p in ("front", "ready", "control")}
        self.process = None

    @property
    def front(self):
        """Return the address for consumers."""
        return f"{self.host}:{self._ports['front']}"

    @property
    def control(self):
        """Return the address for the other machines."""
        return f"{self.host}:{self._ports['control']}"

    def _settings(self):
        fleet = self._fleet
        seeds = [machine.control for machine in fleet.machines[:3]]
        fields = {
            "node": self.name,
            "role": "proxy",
            "machine_class": "front",
            "serves": "front,control",
            "ip": self.host,
            "zone": self.zone,
            "region": REGIONS[self.zone],
            **{f"zones.{zone}": region for zone, region in REGIONS.items()},
            **{f"listen.{n}": f"{self.host}:{p}" for n, p in self._ports.items()},
            "port_range": "7440,7455",
            "seeds": ",".join(seeds),
            "bootstrap": str(self.process is None).lower(),
            "loss_counts": "false",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4200",
            "limits.link_mbps": "1000.0",
            "limits.disk_mb": "0",
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": "1200",
            "contracts": "base,drain,config,cost,recover,sql,platform",
            "fault_tolerance.machines": "2",
            "fault_tolerance.zones": "0",
            "fault_tolerance.regions": "0",
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
            "platform.address": fleet.platform.address,
            "platform.form": "objects",
            "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000",
            "platform.history_s": "20",
            "platform.value_bytes": "1048576",
            "platform.min_ttl_ms": "1000",
            "cloud_api.address": fleet.platform.address,
            "cloud_api.rate_per_s": "50.0",
            "cloud_api.duties": "failover",
            "cloud_api.duty_per_s": "50.0",
        }
        return "".join(f"{name}={value}\n" for name, value in fields.items())

    def start(self):
        """Start the process."""
        fleet = self._fleet
        path = fleet.folder / f"{self.name}.conf"
        path.write_text(self._settings(), encoding="utf-8")
        env = {n: os.environ[n] for n in PASSED_VARIABLES if n in os.environ}
        env["PYTHONPATH"] = "target/deps"
        env["BRONZESCALE_CONFIG"] = str(path)
        with open(fleet.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                shlex.split(fleet.command), cwd=ROOT, env=env, stdout=log, stderr=log
            )
        fleet.record.add("started", machine=self.name, pid=self.process.pid)

    def send_signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)
            name = signal.Signals(number).name
            self._fleet.record.add("signal", machine=self.name, signal=name)

    def kill(self):
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.send_signal(signal.SIGKILL)
            self.process.wait()

    async def wait_for_end(self, timeout_s):
        """Wait until the process has ended; return whether it did in time."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.process.poll() is None:
                    await asyncio.sleep(0.02)
        except TimeoutError:
            return False
        self._fleet.record.add(
            "ended", machine=self.name, status=self.process.returncode
        )
        return True

    async def is_ready(self):
        """Ask the process as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.host, self._ports["ready"]
                )
                try:
                    writer.write(
                        f"GET /-/ready HTTP/1.1\r\nHost: {self.host}\r\n"
                        "Connection: close\r\n\r\n".encode()
                    )
                    line = await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False
        return line.split(b" ")[1:2] == [b"200"]

    def metrics_folder_log(self):
        """Return the text of the process's log."""
        path = self._fleet.folder / f"{self.name}.log"
        return path.read_text(encoding="utf-8", errors="replace")


class Fleet:
    """Machines of one small deployment; a context that ends all processes.

    Parameters
    ----------
    platform : Platform
        Store and interface for promotions.
    record : Record
        Gets starts, signals and ends.
    prefix : str
        First three numbers of the loopback network.
    zones : list of str
        Zone of each machine.
    """

    def __init__(self, platform, record, prefix, zones):
        self.platform = platform
        self.record = record
        self.prefix = prefix
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            (role,) = tomllib.load(file)["roles"].values()
        self.command = role["run"]
        self.folder = None
        self.machines = []
        self.machines += [Machine(self, n, zone) for n, zone in enumerate(zones, 1)]
        self._stack = ExitStack()

    def __enter__(self):
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.folder = Path(folder)
        for machine in self.machines:
            self._stack.callback(machine.kill)
        return self

    def __exit__(self, *error):
        self._stack.close()

    async def start(self, timeout_s=20.0):
        """Start every process and wait until all are ready.

        Raises
        ------
        TimeoutError
            If one is not ready in time.
        """
        for machine in self.machines:
            machine.start()
        await self.wait_until_ready(self.machines, timeout_s)

    async def wait_until_ready(self, machines, timeout_s):
        """Wait until machines answer that they are ready."""
        async with asyncio.timeout(timeout_s):
            for machine in machines:
                while not await machine.is_ready():
                    await asyncio.sleep(0.05)
                self.record.add("ready", machine=machine.name)
