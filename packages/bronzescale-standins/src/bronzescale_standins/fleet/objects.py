"""Stand in for the platform's object store and its orders to promote."""

import time

import anyio
import uvicorn
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from bronzescale_platform.objects import (
    HOLDER_HEADER,
    OBJECTS_PATH,
    PROMOTE_PATH,
    TOKEN_HEADER,
)

HISTORY_LIMIT = 1_000


class ObjectFaults:
    """Faults in force; all of them can be switched while it runs."""

    def __init__(self):
        self.is_down = False
        self.delay_s = 0.0
        self.lose_writes = 0
        self.turned_away = set()
        self.is_order_refused = False


class ObjectPlatform:
    """Objects by kind with one revision counter, watches, and promotions.

    Parameters
    ----------
    groups : dict of str to Group
        Services whose databases it can promote.
    """

    def __init__(self, groups):
        self.groups = groups
        self.faults = ObjectFaults()
        self.revision = 1
        self.calls = 0
        self.oldest_revision = 0
        self._objects = {}
        self._history = []
        self._changed = anyio.Event()
        self.port = 0

    def app(self):
        """Return the ASGI application."""
        path = OBJECTS_PATH + "/{kind}"
        return Starlette(
            routes=[
                Route(path, self._collection, methods=["GET", "POST"]),
                Route(path + "/{name}", self._single, methods=["GET", "PUT", "DELETE"]),
                Route(PROMOTE_PATH, self._promote, methods=["POST"]),
            ]
        )

    # Objects

    def put(self, kind, name, spec, revision=None):
        """Write an object, if a revision is given only at that one.

        Returns
        -------
        dict or None
            None if the object is at another revision.
        """
        known = self._objects.get((kind, name))
        if revision is not None:
            at = known["meta"]["revision"] if known is not None else 0
            if at != revision:
                return None
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["meta"]["created"] if known is not None else self.revision
        document = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects[(kind, name)] = document
        self._remember(kind, document, False)
        return document

    def delete(self, kind, name):
        """Remove an object."""
        known = self._objects.pop((kind, name), None)
        if known is not None:
            self.revision += 1
            meta = {**known["meta"], "revision": self.revision}
            self._remember(kind, {**known, "meta": meta}, True)

    def get(self, kind, name):
        """Return an object or None."""
        return self._objects.get((kind, name))

    def compact(self):
        """Forget the history; watches must list again."""
        self._history.clear()
        self.oldest_revision = self.revision
        self._wake()

    def _remember(self, kind, document, is_deleted):
        self._history.append((self.revision, kind, document, is_deleted))
        if len(self._history) > HISTORY_LIMIT:
            self.oldest_revision = self._history.pop(0)[0]
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = anyio.Event()

    # HTTP

    async def _gate(self, request):
        """Return why a call is refused, or None."""
        self.calls += 1
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        if self.faults.is_down:
            return JSONResponse({"error": "down"}, 503)
        return None

    async def _collection(self, request):
        refused = await self._gate(request)
        if refused is not None:
            return refused
        kind = request.path_params["kind"]
        if request.method == "POST":
            document = await request.json()
            name = document["meta"]["name"]
            made = self.put(kind, name, document["spec"], revision=0)
            return await self._written(made, kind, name)
        if "watch" in request.query_params:
            return await self._watch(kind, request.query_params)
        items = [d for (k, _), d in sorted(self._objects.items()) if k == kind]
        return JSONResponse(
            {"items": items, "has_more": False, "current_rev": self.revision}
        )

    async def _written(self, made, kind, name):
        if made is None:
            return JSONResponse(self.get(kind, name), 409)
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            await anyio.sleep(5)
        return JSONResponse(made)

    async def _watch(self, kind, query):
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1_000
        while True:
            if since < self.oldest_revision or self.faults.is_down:
                status = 503 if self.faults.is_down else 410
                return JSONResponse({"error": "gone"}, status)
            events = [
                {"object": document, "deleted": is_deleted}
                for revision, of_kind, document, is_deleted in self._history
                if revision > since and of_kind == kind
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return JSONResponse({"events": events, "current_rev": self.revision})
            event = self._changed
            with anyio.move_on_after(min(left, 0.5)):
                await event.wait()

    async def _single(self, request):
        refused = await self._gate(request)
        if refused is not None:
            return refused
        kind, name = request.path_params["kind"], request.path_params["name"]
        if request.method == "GET":
            found = self.get(kind, name)
            return JSONResponse(found, 200 if found is not None else 404)
        if request.method == "DELETE":
            self.delete(kind, name)
            return JSONResponse({})
        document = await request.json()
        if self.get(kind, name) is None:
            return JSONResponse({}, 404)
        made = self.put(kind, name, document["spec"], document["meta"].get("revision"))
        return await self._written(made, kind, name)

    async def _promote(self, request):
        if self.faults.is_order_refused:
            return JSONResponse({"error": "down"}, 503)
        document = await request.json()
        group = self.groups[document["service"]]
        token = int(request.headers[TOKEN_HEADER])
        holder = request.headers[HOLDER_HEADER]
        is_taken = await group.promote(document["id"], holder, token)
        return JSONResponse({}, 200 if is_taken else 409)

    async def run(self, task_status):
        """Serve until cancelled."""
        config = uvicorn.Config(
            self.app(), host="127.0.0.1", port=0, log_level="critical", lifespan="off"
        )
        server = uvicorn.Server(config)
        server.install_signal_handlers = lambda: None
        config.load()
        server.lifespan = config.lifespan_class(config)
        await server.startup()
        self.port = server.servers[0].sockets[0].getsockname()[1]
        task_status.started()
        try:
            await server.main_loop()
        finally:
            server.should_exit = True
            with anyio.CancelScope(shield=True), anyio.move_on_after(0.5):
                await server.shutdown()
