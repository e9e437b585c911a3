"""Start a whole deployment on this machine: one process for each stand-in and proxy."""

import json
import os
import signal
import subprocess
import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path
from typing import NamedTuple

import httpx

from bronzescale_core.declaration import parse_toml

START_TIMEOUT_S = 30.0
# A process that has not stopped gracefully by then is killed.
STOP_TIMEOUT_S = 10.0


class FleetOptions(NamedTuple):
    """Options of a deployment.

    Parameters
    ----------
    file : Path
        Declaration of the deployment.
    proxies : int
        Number of proxies; they are distributed over the zones in turn.
    with_delays : bool
        Whether to simulate the declared delays between zones.
    lag_ms : float
        Replication lag.
    read_ms, save_ms : float
        Time for which a read or a write occupies its slot.
    services : int
        Number of declared services to start; 0 for all.
    max_queued : int
        Maximum number of statements that wait at each database; 0 for the declared
        number.
    proxy_flags : tuple of str
        Additional flags for every proxy.
    log_dir : Path or None
        Directory for the logs of the proxies; None discards them.
    """

    file: Path
    proxies: int = 3
    with_delays: bool = False
    lag_ms: float = 0.0
    read_ms: float = 0.0
    save_ms: float = 0.0
    services: int = 0
    max_queued: int = 0
    proxy_flags: tuple = ()
    log_dir: Path | None = None


class Child:
    """Child process that printed one line of JSON to report that it is ready.

    Parameters
    ----------
    command : list of str
        Command line of the process.
    log : file object or None
        File for its standard error; None discards it.

    Raises
    ------
    RuntimeError
        If the process exits before it prints the line.
    """

    def __init__(self, command, log=None):
        self.process = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=log or subprocess.DEVNULL,
            text=True,
            start_new_session=True,
        )
        line = self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"{command[:4]} exited before it was ready; see its log")
        self.ready = json.loads(line)

    def kill(self):
        """Kill the process."""
        self.process.kill()
        self.process.wait()

    def pause(self):
        """Suspend the process with SIGSTOP."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        """Resume a suspended process."""
        self.process.send_signal(signal.SIGCONT)

    def request_stop(self):
        """Request a graceful stop with SIGTERM; do not wait for it."""
        if self.process.poll() is None:
            self.process.terminate()

    def close(self):
        """Stop the process gracefully; kill it if it does not stop in time."""
        self.request_stop()
        if self.process.poll() is None:
            try:
                self.process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.process.kill()
        self.process.wait()
        self.process.stdout.close()


class ProcessFleet:
    """Deployment of stand-ins and proxies, each in a process of its own.

    Parameters
    ----------
    options : FleetOptions
        Options of the deployment.
    """

    def __init__(self, options):
        self._options = options
        self._stack = ExitStack()
        self.document = parse_toml(options.file.read_text())
        if options.services:
            self.document["service"] = self.document["service"][: options.services]
        if options.max_queued:
            for service in self.document["service"]:
                service["max_queued"] = options.max_queued
        self.regions = {p["zone"]: p["region"] for p in self.document["place"]}
        self.zones = list(self.regions)
        self.platform = None
        self.links = None
        self.databases = {}
        self.proxies = {}
        self._http = None

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *exception_info):
        for child in self.proxies.values():
            child.request_stop()
        self._stack.close()

    @property
    def platform_url(self):
        """Return the base URL of the platform."""
        return self.platform.ready["url"]

    def callers(self):
        """Return the addresses that callers connect to.

        Returns
        -------
        list of str
        """
        return [child.ready["callers"] for child in self.proxies.values()]

    def fault(self, service, **details):
        """Inject a fault into the databases of a service.

        Parameters
        ----------
        service : str
            Name of the service.
        **details : dict
            ``copies``, ``kind`` and the arguments of that kind of fault.
        """
        url = self.databases[service].ready["url"]
        self._http.put(f"{url}/fault", json=details).raise_for_status()

    def copies(self, service):
        """Return the states of the databases of a service by their names.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        dict of str to dict
        """
        url = self.databases[service].ready["url"]
        return self._http.get(f"{url}/state").json()

    def platform_faults(self, **faults):
        """Set faults of the platform.

        Parameters
        ----------
        **faults : dict
            Attributes of ``PlatformFaults`` and their values.
        """
        url = f"{self.platform_url}/standin/faults"
        self._http.put(url, json=faults).raise_for_status()

    def cut(self, pairs):
        """Replace the partitions between zones; requires ``with_delays``.

        Parameters
        ----------
        pairs : list of (str, str)
            Pairs of zones that cannot reach each other; an empty list ends all
            partitions.
        """
        url = self.links.ready["url"]
        self._http.put(f"{url}/cuts", json={"pairs": pairs}).raise_for_status()
        for service in self.document["service"]:
            for upstream in service["upstream"]:
                zone = upstream["zone"]
                unreachable_zones = [
                    a if b == zone else b for a, b in pairs if zone in (a, b)
                ]
                self.fault(
                    service["name"],
                    copies=[upstream["name"]],
                    kind="cut",
                    zones=unreachable_zones,
                )

    def link_bytes(self):
        """Return the number of bytes sent between each pair of zones."""
        return self._http.get(f"{self.links.ready['url']}/meter").json()

    def dump(self, node):
        """Return the dump of a proxy.

        Parameters
        ----------
        node : str
            Name of the node.

        Returns
        -------
        dict
        """
        admin = self.proxies[node].ready["admin"]
        return self._http.get(f"http://{admin}/dump").json()

    def start_proxy(self, name, zone):
        """Start one proxy.

        Parameters
        ----------
        name : str
            Name of the node.
        zone : str
            Availability zone of the node.
        """
        command = [
            str(Path(sys.executable).with_name("bronzescale-proxy")),
            "--node",
            name,
            "--zone",
            zone,
            "--region",
            self.regions[zone],
            "--platform-url",
            self._store_url(zone),
            *self._options.proxy_flags,
        ]
        self.proxies[name] = self._start_child(command, self._open_log(name))

    def register_hosts(self):
        """Register the proxies on the platform, with their addresses for each zone."""
        nodes = [
            {
                "name": name,
                "address": child.ready["peers"],
                "zone": self._zone_of(name),
                "region": self.regions[self._zone_of(name)],
                "admin_address": child.ready["admin"],
            }
            for name, child in self.proxies.items()
        ]
        addresses = {}
        if self.links is not None:
            addresses = {zone: self._addresses_from(zone, nodes) for zone in self.zones}
        self._http.put(
            f"{self.platform_url}/standin/hosts",
            json={"nodes": nodes, "addresses": addresses},
        ).raise_for_status()

    def _start(self):
        self._http = self._stack.enter_context(
            httpx.Client(trust_env=False, timeout=10.0)
        )
        folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        options = self._options
        runner = [sys.executable, "-m", "bronzescale_standins.runner"]
        self.platform = self._start_child([*runner, "platform"])
        if options.with_delays:
            self.links = self._start_child([*runner, "links", str(options.file)])
        for service in self.document["service"]:
            self._start_databases(runner, service)
        declaration = folder / "declaration.toml"
        declaration.write_text(to_toml(self.document))
        ctl = Path(sys.executable).with_name("bronzescalectl")
        subprocess.run(
            [ctl, "apply", declaration, "--wait-s", "0"],
            check=True,
            stdout=subprocess.DEVNULL,
            env={**os.environ, "BRONZESCALE_PLATFORM_URL": self.platform_url},
        )
        for index in range(options.proxies):
            zone = self.zones[index % len(self.zones)]
            self.start_proxy(f"proxy-{index}-{zone}", zone)
        self.register_hosts()

    def _start_databases(self, runner, service):
        options = self._options
        flags = ["--read-ms", str(options.read_ms), "--save-ms", str(options.save_ms)]
        flags += ["--lag-ms", str(options.lag_ms)]
        if options.with_delays:
            flags.append("--with-delays")
        command = [*runner, "databases", str(options.file), service["name"], *flags]
        child = self._start_child(command)
        self.databases[service["name"]] = child
        for upstream in service["upstream"]:
            upstream["address"] = child.ready["addresses"][upstream["name"]]

    def _start_child(self, command, log=None):
        child = Child(command, log)
        self._stack.callback(child.close)
        return child

    def _open_log(self, name):
        if self._options.log_dir is None:
            return None
        path = self._options.log_dir / f"{name}.log"
        return self._stack.enter_context(path.open("a"))

    def _zone_of(self, name):
        """Return the zone in the name of a proxy, ``proxy-INDEX-ZONE``."""
        return name.split("-", 2)[2]

    def _store_url(self, zone):
        """Return the URL at which a zone reaches the platform."""
        if self.links is None or zone == self.zones[0]:
            return self.platform_url
        target = self.platform_url.removeprefix("http://")
        return f"http://{self._start_forwarder(zone, self.zones[0], target)}"

    def _addresses_from(self, zone, nodes):
        return {
            node["name"]: self._start_forwarder(zone, node["zone"], node["address"])
            for node in nodes
            if node["zone"] != zone
        }

    def _start_forwarder(self, from_zone, to_zone, target):
        url = f"{self.links.ready['url']}/forward"
        link = {"from": from_zone, "to": to_zone, "target": target}
        return self._http.post(url, json=link).json()["address"]


def to_toml(document):
    """Return a declaration as TOML text.

    Parameters
    ----------
    document : DeclarationDocument
        Declaration to convert.

    Returns
    -------
    str
    """
    lines = []
    _append_table(document, "", lines)
    return "\n".join(lines) + "\n"


def _append_table(table, path, lines):
    for name, value in table.items():
        if not _is_array_of_tables(value):
            lines.append(f"{name} = {json.dumps(value)}")
    for name, value in table.items():
        if _is_array_of_tables(value):
            item_path = f"{path}.{name}" if path else name
            for item in value:
                lines.append(f"\n[[{item_path}]]")
                _append_table(item, item_path, lines)


def _is_array_of_tables(value):
    return isinstance(value, list) and bool(value) and isinstance(value[0], dict)
