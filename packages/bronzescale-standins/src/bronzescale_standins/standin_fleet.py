"""Run databases, platform and proxies in one process, for tests."""

import copy as copying

import anyio
import asyncmy

from bronzescale_core.declaration import load_declaration
from bronzescale_proxy.compose import Application
from bronzescale_proxy.conf import Settings
from bronzescale_standins.database import CopyServer
from bronzescale_standins.group import CopySettings, DatabaseGroup, Latencies
from bronzescale_standins.links import Forwarder, LinkTable
from bronzescale_standins.platform import HttpServer, Platform

USER = "crew"


def make_document(services=1, zones=("a", "b", "c"), regions=("north",) * 3):
    """Return a declaration document for tests.

    Parameters
    ----------
    services : int
        Number of services.
    zones, regions : sequence of str
        Availability zones and their regions.

    Returns
    -------
    DeclarationDocument
    """
    return {
        "schema_version": 1,
        "name": "test",
        "place": [
            {"zone": zone, "region": region}
            for zone, region in zip(zones, regions, strict=True)
        ],
        "user": [{"name": USER}],
        "service": [
            {
                "name": f"service-{index}",
                "schema_versions": [1, 2],
                "upstream": [
                    {
                        "name": f"db-{index}-{zone}",
                        "address": "127.0.0.1:1",
                        "zone": zone,
                        "slots": 3,
                        "max_connections": 20,
                    }
                    for zone in zones
                ],
            }
            for index in range(services)
        ],
    }


class StandinFleet:
    """Deployment with stand-in databases and platform; tests start the proxies.

    Parameters
    ----------
    document : DeclarationDocument
        Declaration of the deployment; the addresses of the databases are filled in.
    latencies : Latencies
        Simulated latencies of the databases.
    with_links : bool
        Whether proxies reach each other and the platform through forwarders between
        zones, which can simulate partitions. The platform is in the first zone.
    """

    def __init__(self, document=None, latencies=None, with_links=False):
        self.document = copying.deepcopy(document or make_document())
        self._latencies = latencies or Latencies(connect_ms=0.0)
        self.platform = Platform()
        self.groups = {}
        self.servers = {}
        self.proxies = {}
        self._tasks = anyio.create_task_group()
        self._proxy_scopes = {}
        self._stopped_events = {}
        self.links = LinkTable({}) if with_links else None
        self._forwarded_addresses = {}
        self.platform_url = ""

    async def __aenter__(self):
        await self._tasks.__aenter__()
        http = HttpServer(self.platform.app())
        started = anyio.Event()
        self._tasks.start_soon(http.run, started)
        await started.wait()
        self.platform_url = http.url
        for service in self.document["service"]:
            await self._start_group(service)
        self.platform.put("declaration", "main", self.document, 0)
        return self

    async def __aexit__(self, *exception_info):
        for server in self.servers.values():
            server.stop()
        self._tasks.cancel_scope.cancel()
        return await self._tasks.__aexit__(*exception_info)

    async def _start_group(self, service):
        copies = [
            CopySettings(
                u["name"],
                u["zone"],
                slots=u.get("slots", 3),
                max_connections=u.get("max_connections", 20),
            )
            for u in service["upstream"]
        ]
        primary = service.get("initial_primary", copies[0].name)
        group = DatabaseGroup(copies, primary, self._latencies)
        self.groups[service["name"]] = group
        self._tasks.start_soon(group.run)
        for upstream in service["upstream"]:
            server = CopyServer(group, group.copies[upstream["name"]])
            await server.start()
            upstream["address"] = f"127.0.0.1:{server.port}"
            self.servers[upstream["name"]] = server

    def declaration(self):
        """Return the declaration of the deployment.

        Returns
        -------
        Declaration
        """
        return load_declaration(self.document, 1)

    async def start_proxy(self, name, zone, **options):
        """Start a proxy and add it to the platform's host list.

        Parameters
        ----------
        name : str
            Name of the node.
        zone : str
            Availability zone of the node.
        **options : dict
            Additional settings.

        Returns
        -------
        Application
        """
        regions = {p["zone"]: p["region"] for p in self.document["place"]}
        store_url = await self._store_url(zone)
        settings = Settings(name, zone, regions[zone], store_url, **options)
        app = Application(settings)
        scope = anyio.CancelScope()

        stopped = anyio.Event()

        async def run():
            with scope:
                await app.run()
            stopped.set()

        self.proxies[name] = app
        self._stopped_events[name] = stopped
        self._proxy_scopes[name] = scope
        self._tasks.start_soon(run)
        await app.started.wait()
        await self._forward_peers(app)
        self.register_hosts()
        for proxy in self.proxies.values():
            await proxy.disseminator.fetch_initial_objects()
        return app

    async def start_proxies(self, **options):
        """Start one proxy in each zone and wait until the deployment has settled.

        Parameters
        ----------
        **options : dict
            Additional settings of every proxy.
        """
        for place in self.document["place"]:
            await self.start_proxy(f"p-{place['zone']}", place["zone"], **options)
        await self.settle()

    async def settle(self, timeout_s=10.0):
        """Wait until each proxy lists all as live and each database has one owner.

        Every proxy must also have a report of every copy of the groups that it watches.

        Parameters
        ----------
        timeout_s : float
            Raise ``TimeoutError`` if the deployment has not settled by then.
        """
        with anyio.fail_after(timeout_s):
            while not self._is_settled():
                await anyio.sleep(0.02)

    def _is_settled(self):
        names = [u["name"] for s in self.document["service"] for u in s["upstream"]]
        owned = []
        for app in self.proxies.values():
            if len(app.node.membership.eligible_owners()) < len(self.proxies):
                return False
            owned += [owner.upstream.name for owner in app.node.owners()]
            for group in app.node.groups():
                if any(watch.report is None for watch in group.watches()):
                    return False
        return sorted(owned) == sorted(names)

    def primary_of(self, service="service-0"):
        """Return the copy that the store names as the primary.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        Copy
        """
        state = self.platform.get("group", service)["value"]
        return self.groups[service].copies[state["primary"]]

    def register_hosts(self, leaving_nodes=(), leaving_upstreams=()):
        """Write the running proxies to the platform's host list.

        Parameters
        ----------
        leaving_nodes, leaving_upstreams : sequence of str
            Names of the nodes and databases to mark as leaving.
        """
        nodes = [
            {
                "name": name,
                "address": f"127.0.0.1:{app.peer_port}",
                "zone": app.settings.zone,
                "region": app.settings.region,
                "admin_address": f"127.0.0.1:{app.admin_port}",
                "is_leaving": name in leaving_nodes,
            }
            for name, app in self.proxies.items()
        ]
        self.platform.set_hosts(
            {
                "nodes": nodes,
                "leaving_upstreams": list(leaving_upstreams),
                "addresses": self._forwarded_addresses,
            }
        )

    def cut(self, pairs):
        """Replace the partitions between zones; requires ``with_links``.

        Parameters
        ----------
        pairs : list of (str, str)
            Pairs of zones that cannot reach each other; an empty list ends all
            partitions.
        """
        self.links.cut({frozenset(pair) for pair in pairs})
        for server in self.servers.values():
            zone = server.copy.settings.zone
            server.cut({a if b == zone else b for a, b in pairs if zone in (a, b)})

    async def _store_url(self, zone):
        platform_zone = self.document["place"][0]["zone"]
        if self.links is None or zone == platform_zone:
            return self.platform_url
        target = self.platform_url.removeprefix("http://")
        return f"http://{await self._start_forwarder(zone, platform_zone, target)}"

    async def _forward_peers(self, app):
        """Start a forwarder to a proxy for each other zone."""
        if self.links is None:
            return
        target = f"127.0.0.1:{app.peer_port}"
        for place in self.document["place"]:
            zone = place["zone"]
            if zone != app.settings.zone:
                address = await self._start_forwarder(zone, app.settings.zone, target)
                self._forwarded_addresses.setdefault(zone, {})[app.settings.node] = (
                    address
                )

    async def _start_forwarder(self, from_zone, to_zone, target):
        forwarder = Forwarder(self.links, from_zone, to_zone, target)
        await forwarder.listen()
        self._tasks.start_soon(forwarder.run)
        return forwarder.address

    async def stop_proxy(self, name):
        """Stop a proxy gracefully and wait until it has stopped.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        self.proxies[name].request_stop()
        await self._stopped_events[name].wait()
        self.proxies.pop(name)

    def kill_proxy(self, name):
        """Cancel a proxy without a graceful stop, as if it had crashed.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        self._proxy_scopes.pop(name).cancel()
        self.proxies.pop(name)

    async def connect(self, proxy, service="service-0"):
        """Open a connection to a proxy as a caller.

        Parameters
        ----------
        proxy : str
            Name of the node.
        service : str
            Name of the service.

        Returns
        -------
        asyncmy.Connection
        """
        return await asyncmy.connect(
            host="127.0.0.1",
            port=self.proxies[proxy].callers.port,
            user=USER,
            password="",
            db=service,
            autocommit=True,
        )


async def run_query(connection, sql):
    """Run a statement as a caller and return its rows.

    Parameters
    ----------
    connection : asyncmy.Connection
        Connection of the caller.
    sql : str
        Statement to run.

    Returns
    -------
    tuple of tuple
    """
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return await cursor.fetchall()
