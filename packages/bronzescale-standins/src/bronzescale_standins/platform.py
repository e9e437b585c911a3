"""Simulate the platform: object store with versions and watches, and host list."""

import logging
from collections import Counter
from contextlib import nullcontext

import anyio
import uvicorn
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.middleware.gzip import GZipMiddleware
from starlette.responses import JSONResponse
from starlette.routing import Route

logger = logging.getLogger("standins.platform")

MAX_VALUE_BYTES = 1_000_000
# Longer than the timeouts of the proxies' store calls and watches, so that each call
# during a simulated hang times out.
HANG_DURATION_S = 30.0


class PlatformFaults:
    """Faults injected into the platform; each can be changed while it runs.

    ``PUT /standin/faults`` names the attributes to set, so their names are fixed.
    """

    def __init__(self):
        self.is_down = False
        self.is_hanging = False
        self.delay_ms = 0.0
        self.lose_answers = 0
        self.cut_zones = set()


class Platform:
    """Object store with watches, and a host list that can lag behind.

    Parameters
    ----------
    hosts_lag_ms : float
        Delay until a change of the hosts shows in the host list.
    """

    def __init__(self, hosts_lag_ms=0.0):
        self.faults = PlatformFaults()
        self.calls = Counter()
        self.revision = 0
        self._objects = {}
        self._changed = anyio.Event()
        self._hosts = {"nodes": [], "leaving_upstreams": []}
        self._addresses = {}
        self._hosts_lag_ms = hosts_lag_ms
        self.waiting = 0
        self.most_waiting = 0

    def app(self):
        """Return the ASGI application.

        Returns
        -------
        starlette.applications.Starlette
        """
        return Starlette(
            middleware=[Middleware(GZipMiddleware, minimum_size=1_000)],
            routes=[
                Route("/objects/{kind}/{name}", self._get, methods=["GET"]),
                Route("/objects/{kind}/{name}", self._put, methods=["PUT"]),
                Route("/changes", self._changes, methods=["GET"]),
                Route("/hosts", self._get_hosts, methods=["GET"]),
                Route("/standin/hosts", self._put_hosts, methods=["PUT"]),
                Route("/standin/faults", self._put_faults, methods=["PUT"]),
                Route("/standin/meter", self._meter, methods=["GET"]),
            ],
        )

    def put(self, kind, name, value, if_version):
        """Write an object if its current version is the expected one.

        Parameters
        ----------
        kind, name : str
            Key of the object.
        value : object
            New JSON value.
        if_version : int
            Expected version; 0 if the object must not exist.

        Returns
        -------
        version : int
            Version of the object after the call.
        is_done : bool
            Whether the write took effect.
        """
        current = self._objects.get((kind, name))
        version = current["version"] if current else 0
        if version != if_version:
            return version, False
        self.revision += 1
        self._objects[(kind, name)] = {
            "kind": kind,
            "name": name,
            "version": self.revision,
            "value": value,
        }
        self._changed.set()
        self._changed = anyio.Event()
        return self.revision, True

    def get(self, kind, name):
        """Return the document of an object, or None if there is none.

        Parameters
        ----------
        kind, name : str
            Key of the object.

        Returns
        -------
        dict or None
        """
        return self._objects.get((kind, name))

    def set_hosts(self, document):
        """Replace the host list.

        Parameters
        ----------
        document : dict
            ``nodes``, ``leaving_upstreams`` and ``addresses``, which maps a zone to the
            addresses at which it reaches the nodes.
        """
        self._hosts = {
            "nodes": document.get("nodes", []),
            "leaving_upstreams": document.get("leaving_upstreams", []),
        }
        self._addresses = document.get("addresses", {})

    async def _apply_faults(self, kind):
        """Count a call and apply the faults; return an error response or None."""
        self.calls[kind] += 1
        faults = self.faults
        if faults.is_hanging:
            await anyio.sleep(HANG_DURATION_S)
        if faults.is_down:
            return JSONResponse({"error": "out"}, status_code=503)
        if faults.delay_ms:
            await anyio.sleep(faults.delay_ms / 1_000)
        return None

    async def _get(self, request):
        refusal = await self._apply_faults("read")
        if refusal is not None:
            return refusal
        found = self.get(request.path_params["kind"], request.path_params["name"])
        if found is None:
            return JSONResponse({"error": "no such object"}, status_code=404)
        return JSONResponse(found)

    async def _put(self, request):
        refusal = await self._apply_faults("write")
        if refusal is not None:
            return refusal
        body = await request.body()
        if len(body) > MAX_VALUE_BYTES:
            return JSONResponse({"error": "too large"}, status_code=413)
        version, is_done = self.put(
            request.path_params["kind"],
            request.path_params["name"],
            await request.json(),
            int(request.query_params["if_version"]),
        )
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return JSONResponse({"error": "the answer was lost"}, status_code=504)
        return JSONResponse({"version": version}, status_code=200 if is_done else 409)

    async def _changes(self, request):
        refusal = await self._apply_faults("watch")
        if refusal is not None:
            return refusal
        since = int(request.query_params["since"])
        wait_s = int(request.query_params.get("wait_ms", "0")) / 1_000
        self.waiting += 1
        self.most_waiting = max(self.most_waiting, self.waiting)
        try:
            with anyio.move_on_after(wait_s):
                while self.revision <= since:
                    await self._changed.wait()
        finally:
            self.waiting -= 1
        if self.faults.is_down:
            return JSONResponse({"error": "out"}, status_code=503)
        changed_objects = [o for o in self._objects.values() if o["version"] > since]
        return JSONResponse({"revision": self.revision, "objects": changed_objects})

    async def _get_hosts(self, request):
        refusal = await self._apply_faults("hosts")
        if refusal is not None:
            return refusal
        addresses = self._addresses.get(request.query_params.get("zone", ""), {})
        nodes = [
            {**node, "address": addresses.get(node["name"], node["address"])}
            for node in self._hosts["nodes"]
        ]
        leaving_upstreams = self._hosts["leaving_upstreams"]
        return JSONResponse({"nodes": nodes, "leaving_upstreams": leaving_upstreams})

    async def _put_hosts(self, request):
        document = await request.json()
        if self._hosts_lag_ms:
            await anyio.sleep(self._hosts_lag_ms / 1_000)
        self.set_hosts(document)
        return JSONResponse({"nodes": len(document.get("nodes", []))})

    async def _put_faults(self, request):
        for name, value in (await request.json()).items():
            if not hasattr(self.faults, name):
                return JSONResponse({"error": f"{name}?"}, status_code=400)
            setattr(self.faults, name, value)
        self._changed.set()
        self._changed = anyio.Event()
        return JSONResponse({"faults": sorted(vars(self.faults))})

    async def _meter(self, request):
        return JSONResponse(
            {"calls": dict(self.calls), "most_waiting": self.most_waiting}
        )


class HttpServer:
    """Serve an ASGI application on a free port in the running event loop.

    Parameters
    ----------
    app : object
        ASGI application.
    host : str
        IP address to listen on.
    """

    def __init__(self, app, host="127.0.0.1"):
        config = uvicorn.Config(app, host=host, port=0, log_level="critical")
        self._server = _EmbeddedServer(config)
        self._host = host
        self.url = ""

    async def run(self, started):
        """Serve until cancelled.

        Parameters
        ----------
        started : anyio.Event
            Set when the server accepts connections and ``url`` is set.
        """

        async def publish_url():
            while not self._server.started:
                await anyio.sleep(0.005)
            port = self._server.servers[0].sockets[0].getsockname()[1]
            self.url = f"http://{self._host}:{port}"
            started.set()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(publish_url)
            try:
                await self._server.serve()
            finally:
                self._server.should_exit = True


class _EmbeddedServer(uvicorn.Server):
    """Uvicorn server that leaves signal handling to its process."""

    def install_signal_handlers(self):
        """Install no signal handlers."""

    def capture_signals(self):
        """Capture no signals."""
        return nullcontext()
