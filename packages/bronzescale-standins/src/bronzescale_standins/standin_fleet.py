"""Run databases, platform and proxies together inside one process, for tests."""

import copy as copying

import anyio
import asyncmy

from bronzescale_core.declaration import load_declaration
from bronzescale_proxy.compose import Application
from bronzescale_proxy.conf import Settings
from bronzescale_standins.database import CopyServer
from bronzescale_standins.group import CopySettings, DatabaseGroup, Latencies
from bronzescale_standins.platform import HttpServer, Platform

USER = "crew"


def make_document(services=1, zones=("a", "b", "c"), regions=("north",) * 3):
    """Return a declaration document for tests.

    Parameters
    ----------
    services : int
        How many services.
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
    """Databases and platform, and proxies on request.

    Parameters
    ----------
    document : DeclarationDocument
        What is declared; addresses are filled in.
    latencies : Latencies
        Times that the databases take.
    """

    def __init__(self, document=None, latencies=None):
        self.document = copying.deepcopy(document or make_document())
        self._latencies = latencies or Latencies(connect_ms=0.0)
        self.platform = Platform()
        self.groups = {}
        self.servers = {}
        self.proxies = {}
        self._tasks = anyio.create_task_group()
        self._proxy_scopes = {}
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

    async def __aexit__(self, *details):
        for server in self.servers.values():
            server.stop()
        self._tasks.cancel_scope.cancel()
        return await self._tasks.__aexit__(*details)

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
        """Return what is declared.

        Returns
        -------
        Declaration
        """
        return load_declaration(self.document, 1)

    async def start_proxy(self, name, zone, **options):
        """Start a proxy and list it on the platform.

        Parameters
        ----------
        name : str
            Name of the node.
        zone : str
            Its availability zone.
        **options : dict
            More settings.

        Returns
        -------
        Application
        """
        regions = {p["zone"]: p["region"] for p in self.document["place"]}
        settings = Settings(name, zone, regions[zone], self.platform_url, **options)
        app = Application(settings)
        scope = anyio.CancelScope()

        async def run():
            with scope:
                await app.run()

        self.proxies[name] = app
        self._proxy_scopes[name] = scope
        self._tasks.start_soon(run)
        await app.started.wait()
        self.list_hosts()
        return app

    def list_hosts(self, leaving_nodes=(), leaving_upstreams=()):
        """Tell the platform's list which proxies there are.

        Parameters
        ----------
        leaving_nodes, leaving_upstreams : sequence of str
            Names marked as leaving.
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
            {"nodes": nodes, "leaving_upstreams": list(leaving_upstreams)}
        )

    def kill_proxy(self, name):
        """End a proxy without notice.

        Parameters
        ----------
        name : str
            Its name.
        """
        self._proxy_scopes.pop(name).cancel()
        self.proxies.pop(name)

    async def connect(self, proxy, service="service-0"):
        """Open a caller's connection.

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


async def ask(connection, sql):
    """Run a statement as a caller and return its rows.

    Parameters
    ----------
    connection : asyncmy.Connection
        The caller's connection.
    sql : str
        The statement.

    Returns
    -------
    tuple of tuple
    """
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return await cursor.fetchall()
