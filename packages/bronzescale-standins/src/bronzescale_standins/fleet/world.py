"""Run nodes of the fleet, databases and the store in one event loop, for tests."""

import itertools
import os
import socket
import time
from contextlib import asynccontextmanager

import anyio

from bronzescale_core.store_era import StoreEra
from bronzescale_platform import documents
from bronzescale_platform.line_codec import PlatformLineCodec
from bronzescale_platform.objects import HttpClient, ObjectStore, PromotionClient
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.fleet.compose import Adapter, FleetProcess
from bronzescale_proxy.fleet.conf import FleetSettings
from bronzescale_proxy.fleet.metrics import FleetMetrics
from bronzescale_standins.fleet.callers import LineCaller
from bronzescale_standins.fleet.database import Group
from bronzescale_standins.fleet.objects import ObjectPlatform
from bronzescale_standins.links import Forwarder, LinkTable

ZONES = {"a": "north", "b": "north", "c": "south"}
HEARTBEAT_INTERVAL_S = 0.2
# Below the ephemeral range, so that no outgoing connection occupies a port.
FIRST_PORT = 20_000
PORT_COUNT = 10_000
ROUTES = (
    {"host": "lead", "type": "primary", "priority": 1},
    {"host": "aged", "type": "bounded_staleness", "max_staleness_ms": 1_500},
    {"host": "own", "type": "read_your_writes", "max_staleness_ms": 2_500},
)


class MemoryLog:
    """Collect entries of the decision log in memory, so that tests can read them."""

    def __init__(self):
        self.lines = []
        self.dropped_total = 0

    def log_decision(self, event, **fields):
        """Append an entry."""
        self.lines.append((event, fields))

    log_state_change = log_decision

    def flush(self):
        """Do nothing, since entries are kept in memory."""

    def events(self, name):
        """Return the fields of every entry of an event."""
        return [fields for event, fields in self.lines if event == name]


_port_numbers = itertools.count(FIRST_PORT + os.getpid() % 200 * 40)


def free_port():
    """Return an unused port outside of the ephemeral range."""
    while True:
        port = FIRST_PORT + (next(_port_numbers) - FIRST_PORT) % PORT_COUNT
        with socket.socket() as candidate:
            candidate.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                candidate.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Member:
    """One node of the fleet under test."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.caller_port = free_port()
        self.ready_port = free_port()
        self.peer_port = free_port()
        self.log = MemoryLog()
        # Set to reach the store through a link; empty for its own address.
        self.store_address = ""
        self.process = None
        self._scope = None
        self.ended = anyio.Event()

    def settings(self):
        """Return the node's settings."""
        store_address = f"127.0.0.1:{self.world.platform.port}"
        return FleetSettings(
            node=self.name,
            zone=self.zone,
            region=ZONES[self.zone],
            regions=ZONES,
            caller_address=f"127.0.0.1:{self.caller_port}",
            ready_address=f"127.0.0.1:{self.ready_port}",
            peer_address=f"127.0.0.1:{self.peer_port}",
            seeds=self.world.seeds(),
            store_address=self.store_address or store_address,
            orders_address=store_address,
            stop_grace_ms=4_000,
            is_first_start=self.world.is_first_start,
        )

    async def run(self):
        """Run until stopped or killed."""
        settings = self.settings()
        metrics = FleetMetrics()
        store = ObjectStore(
            HttpClient(settings.store_address, metrics),
            HttpClient(settings.store_address, metrics),
            StoreEra(now_ms, settings.is_first_start),
        )
        promotion_client = PromotionClient(
            HttpClient(settings.orders_address, metrics), settings.node
        )
        adapter = Adapter(
            PlatformLineCodec(), documents, store, promotion_client, self.settings
        )
        self.process = FleetProcess(
            settings, adapter, metrics, self.log, handles_signals=False
        )
        self.ended = anyio.Event()
        with anyio.CancelScope() as self._scope:
            await self.process.run()
        self.ended.set()

    def kill(self):
        """Cancel the node at once, without its graceful stop."""
        self._scope.cancel()

    async def caller(self, database, **options):
        """Connect to the node and return the caller."""
        return await LineCaller.connect(self.caller_port, database, **options)


class World:
    """Fleet, databases and store of one test.

    Parameters
    ----------
    nodes : int
        Number of nodes of the fleet, spread over the zones.
    customers : dict of str to list of str or None
        Keys of each customer; None for a deployment without customers.
    **database_options
        Further parameters of each `Database`.
    """

    def __init__(self, nodes=3, customers=None, **database_options):
        self.group = Group("svc")
        self.platform = ObjectPlatform({"svc": self.group})
        zones = list(ZONES)
        self.members = [
            Member(self, f"n{i + 1}", zones[i % len(zones)]) for i in range(nodes)
        ]
        for number, zone in enumerate(zones, 1):
            self.group.add(f"d{number}", zone, **database_options)
        self.version = 0
        self.customers = customers
        self.configuration = None
        # Times at which customers and their keys were written to the store.
        self.customer_versions = []
        self.tasks = None
        self.sends_heartbeats = True
        self.is_first_start = True
        # Written with the configuration; the databases themselves never wait.
        self.sync_replicas = 0

    def seeds(self):
        """Return the peer addresses of the first nodes, which new nodes contact."""
        return tuple(f"127.0.0.1:{m.peer_port}" for m in self.members[:3])

    def configure(self, routes=ROUTES, **limits):
        """Write the next version of the configuration to the store."""
        self.version += 3
        route_documents = [
            {
                "name": f"r-{route['host']}",
                "service": "svc",
                "timeout_ms": 1_500,
                "slo_ms": 1_000,
                "priority": 2,
                **route,
            }
            for route in routes
        ]
        spec = {
            "version": self.version,
            "routes": route_documents,
            "services": [
                {
                    "name": "svc",
                    "max_conns": next(
                        iter(self.group.databases.values())
                    ).max_connections,
                    "sync_replicas": self.sync_replicas,
                }
            ],
            "limits": {"tx_idle_ms": 3_000, "max_body_bytes": 262_144, **limits},
        }
        if self.customers is not None:
            version = {name: tuple(keys) for name, keys in self.customers.items()}
            self.customer_versions.append((time.monotonic(), version))
            spec["tenants"] = [
                {"name": name, "api_keys": list(keys), "priority": 1}
                for name, keys in self.customers.items()
            ]
        self.configuration = spec
        self.platform.put("config", "main", spec)

    async def restore_store(self, lost_s, away_s=0.3, rewrite_after_s=0.5):
        """Take the store away and return it from a copy.

        Parameters
        ----------
        lost_s : float
            Age of the copy.
        away_s : float
            How long the store is away.
        rewrite_after_s : float
            After what time the operator writes the configuration again. Databases
            register again at their next heartbeat.
        """
        self.platform.faults.is_down = True
        await anyio.sleep(away_s)
        self.platform.restore_copy(lost_s)
        self.platform.faults.is_down = False
        await anyio.sleep(rewrite_after_s)
        self.platform.put("config", "main", self.configuration)

    async def _send_heartbeats(self):
        """Register the databases at regular intervals, as their heartbeats would."""
        while True:
            for database in self.group.databases.values():
                if self.sends_heartbeats:
                    self.register(database)
            await anyio.sleep(HEARTBEAT_INTERVAL_S)

    def register_as_ready(self, name):
        """Write an entry that does not say that the database is leaving."""
        self._put_entry(self.group.databases[name], "ready")

    def register(self, database):
        """Write a database's entry in the store; delete it if the database is down."""
        name = database.instance
        if not database.is_running:
            self.platform.delete("servers", name)
            return
        is_leaving = getattr(database, "is_leaving", False)
        self._put_entry(database, "draining" if is_leaving else "ready")

    def _put_entry(self, database, state):
        spec = {
            "service": "svc",
            "address": getattr(database, "published_address", database.address),
            "zone": database.zone,
            "version": "v1",
            "slots": database.slots,
            "state": state,
            "cold_left_ms": 0,
            "db_role": "primary" if database.is_primary else "replica",
            "seq": 1,
            "born": database.started_at_ms,
        }
        self.platform.put("servers", database.instance, spec)

    async def start_database(self, database):
        """Start a database and wait until it listens."""
        await self.tasks.start(run_with_status, database)

    def start_member(self, member):
        """Start a node without waiting for it."""
        self.tasks.start_soon(member.run)

    async def restart_member(self, member):
        """Kill a node, start it again and wait until it is ready."""
        member.kill()
        await member.ended.wait()
        member.process = None
        self.start_member(member)
        await self.wait_until_ready([member])

    async def restart_all(self):
        """Kill every node, then start all and wait until each is ready."""
        for member in self.members:
            member.kill()
            await member.ended.wait()
            member.process = None
        for member in self.members:
            self.start_member(member)
        await self.wait_until_ready()

    async def restart_behind_links(self):
        """Start all nodes again, each with a link of its own to the store.

        Returns
        -------
        LinkTable
            Links from the name of each node to ``store``.
        """
        links = LinkTable({})
        for member in self.members:
            target = f"127.0.0.1:{self.platform.port}"
            link = Forwarder(links, member.name, "store", target)
            await link.listen()
            self.tasks.start_soon(link.run)
            member.store_address = link.address
        for member in self.members:
            await self.restart_member(member)
        return links

    async def wait_until_ready(self, members=None, timeout_s=10.0):
        """Wait until nodes are ready; raise `TimeoutError` after `timeout_s`."""
        with anyio.fail_after(timeout_s):
            for member in members or self.members:
                while member.process is None or not member.process.is_ready():
                    await anyio.sleep(0.01)

    async def wait_until(self, condition, timeout_s=10.0):
        """Wait until a condition holds and return how long that took, in s.

        Raises
        ------
        TimeoutError
            If the condition does not hold within `timeout_s`.
        """
        started = time.monotonic()
        with anyio.fail_after(timeout_s):
            while not condition():
                await anyio.sleep(0.01)
        return time.monotonic() - started


async def run_with_status(runner, *, task_status):
    """Run a stand-in; `TaskGroup.start` needs `task_status` as a keyword argument."""
    await runner.run(task_status)


@asynccontextmanager
async def running_world(nodes=3, customers=None, routes=ROUTES, **database_options):
    """Yield a world whose nodes are ready."""
    world = World(nodes, customers, **database_options)
    async with anyio.create_task_group() as tasks:
        world.tasks = tasks
        await tasks.start(run_with_status, world.platform)
        for database in world.group.databases.values():
            await tasks.start(run_with_status, database)
            world.register(database)
        world.configure(routes)
        tasks.start_soon(world._send_heartbeats)
        for member in world.members:
            world.start_member(member)
        await world.wait_until_ready()
        world.is_first_start = False
        yield world
        tasks.cancel_scope.cancel()
