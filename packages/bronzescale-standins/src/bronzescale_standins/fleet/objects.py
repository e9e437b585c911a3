"""Stand in for the platform's object store and its API for promotions."""

import itertools
import json
import time
from collections import deque

import anyio
import uvicorn
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from bronzescale_platform.objects import (
    ERA_HEADER,
    HOLDER_HEADER,
    OBJECTS_PATH,
    PROMOTE_PATH,
    TOKEN_HEADER,
)

# A watch that starts before the oldest kept change gets 410 and must list again.
MAX_HISTORY_CHANGES = 1_000


class RawValue(str):
    """A value that is sent as the bytes that another program wrote.

    Parameters
    ----------
    data : bytes
        What stands in answers in place of the value.
    """

    _numbers = itertools.count(1)

    def __new__(cls, data):
        """Return a text that stands for the data inside of the stand-in."""
        value = super().__new__(cls, f"raw value {next(cls._numbers)}")
        value.data = data
        return value


class JSONResponse(Response):
    """A JSON response, with raw values as they were written."""

    media_type = "application/json"

    def render(self, content):
        """Return the body."""
        raw_values = []

        def note(value):
            if isinstance(value, RawValue):
                raw_values.append(value)
            elif isinstance(value, dict | list):
                for child in value.values() if isinstance(value, dict) else value:
                    note(child)

        note(content)
        body = json.dumps(content).encode()
        for value in raw_values:
            body = body.replace(json.dumps(value).encode(), value.data)
        return body


class ObjectFaults:
    """Switches for the faults of the store; tests change them while it runs."""

    def __init__(self):
        self.is_down = False
        self.delay_s = 0.0
        self.lose_next_write_answers = 0
        # Kinds of which every watch loses its next answer.
        self.kinds_with_lost_watches = set()
        self.refuses_promotions = False


class ObjectPlatform:
    """HTTP server for objects with one revision counter, for watches and promotions.

    Parameters
    ----------
    groups : dict of str to Group
        Groups whose databases can be promoted, by service.
    """

    def __init__(self, groups):
        self.groups = groups
        self.faults = ObjectFaults()
        self.revision = 1
        # None for a store that reports no era.
        self.era = 1
        self.calls = 0
        # Times of the newest calls, to measure their rate.
        self.call_times_s = deque(maxlen=100_000)
        self.oldest_revision = 0
        self._objects = {}
        self._history = []
        self._undo = []
        self._changed = anyio.Event()
        self.port = 0

    def app(self):
        """Return the ASGI application."""
        path = OBJECTS_PATH + "/{kind}"
        return Starlette(
            routes=[
                Route(
                    path,
                    self._with_era(self._handle_collection),
                    methods=["GET", "POST"],
                ),
                Route(
                    path + "/{name}",
                    self._with_era(self._handle_object),
                    methods=["GET", "PUT", "DELETE"],
                ),
                Route(
                    PROMOTE_PATH,
                    self._with_era(self._handle_promotion),
                    methods=["POST"],
                ),
            ]
        )

    def _with_era(self, handler):
        """Return a handler whose responses name the era in which they were made.

        A middleware would add the era later, when the store may have returned from a
        copy: a write that was lost would then look like one of the new era.
        """

        async def handle(request):
            response = await handler(request)
            if self.era is not None:
                response.headers[ERA_HEADER] = str(self.era)
            return response

        return handle

    # Objects

    def put(self, kind, name, spec, revision=None):
        """Write an object; with a revision, only if the object is at that revision.

        Returns
        -------
        dict or None
            The object, or None if it is at another revision.
        """
        existing = self._objects.get((kind, name))
        if revision is not None:
            current = existing["meta"]["revision"] if existing is not None else 0
            if current != revision:
                return None
        if existing is not None and existing["spec"] == spec:
            return existing
        self.revision += 1
        created = existing["meta"]["created"] if existing is not None else self.revision
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
        self._undo.append((time.monotonic(), (kind, name), existing))
        self._objects[(kind, name)] = document
        self._append_change(kind, document, False)
        return document

    def delete(self, kind, name):
        """Remove an object."""
        existing = self._objects.pop((kind, name), None)
        if existing is not None:
            self.revision += 1
            self._undo.append((time.monotonic(), (kind, name), existing))
            meta = {**existing["meta"], "revision": self.revision}
            self._append_change(kind, {**existing, "meta": meta}, True)

    def get(self, kind, name):
        """Return an object or None."""
        return self._objects.get((kind, name))

    def list_keys(self):
        """Return the kind and the name of every object."""
        return set(self._objects)

    def compact(self):
        """Discard the history, so that open watches get 410 and must list again."""
        self._history.clear()
        self.oldest_revision = self.revision
        self._notify_watches()

    def restore_copy(self, lost_s):
        """Return to the state of some seconds ago, as from a copy.

        The changes since then are gone and their revisions are given out again; the era
        rises by one.

        Parameters
        ----------
        lost_s : float
            Age of the copy.
        """
        restored_to_s = time.monotonic() - lost_s
        while self._undo and self._undo[-1][0] > restored_to_s:
            _, key, previous = self._undo.pop()
            if previous is None:
                del self._objects[key]
            else:
                self._objects[key] = previous
            self.revision -= 1
        self._history = [c for c in self._history if c[0] <= self.revision]
        self.oldest_revision = min(self.oldest_revision, self.revision)
        if self.era is not None:
            self.era += 1
        self._notify_watches()

    def _append_change(self, kind, document, is_deleted):
        self._history.append((self.revision, kind, document, is_deleted))
        if len(self._history) > MAX_HISTORY_CHANGES:
            self.oldest_revision = self._history.pop(0)[0]
        self._notify_watches()

    def _notify_watches(self):
        self._changed.set()
        self._changed = anyio.Event()

    # HTTP

    async def _apply_faults(self, request):
        """Count a call and delay it; return the error response if the store is down."""
        self.calls += 1
        self.call_times_s.append(time.monotonic())
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        if self.faults.is_down:
            return JSONResponse({"error": "down"}, 503)
        return None

    async def _handle_collection(self, request):
        error_response = await self._apply_faults(request)
        if error_response is not None:
            return error_response
        kind = request.path_params["kind"]
        if request.method == "POST":
            document = await request.json()
            name = document["meta"]["name"]
            written = self.put(kind, name, document["spec"], revision=0)
            return await self._respond_to_write(written, kind, name)
        if "watch" in request.query_params:
            return await self._watch(kind, request.query_params)
        items = [
            item
            for (object_kind, _), item in sorted(self._objects.items())
            if object_kind == kind
        ]
        return JSONResponse(
            {"items": items, "has_more": False, "current_rev": self.revision}
        )

    async def _respond_to_write(self, written, kind, name):
        if written is None:
            return JSONResponse(self.get(kind, name), 409)
        if self.faults.lose_next_write_answers > 0:
            self.faults.lose_next_write_answers -= 1
            # Longer than the timeout of a store call: the caller gives up first.
            await anyio.sleep(5)
        return JSONResponse(written)

    async def _watch(self, kind, query):
        since_revision = int(query["watch"])
        deadline_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1_000
        while True:
            is_known = self.oldest_revision <= since_revision <= self.revision
            if not is_known or self.faults.is_down:
                status = 503 if self.faults.is_down else 410
                return JSONResponse({"error": "gone"}, status)
            events = [
                {"object": document, "deleted": is_deleted}
                for revision, changed_kind, document, is_deleted in self._history
                if revision > since_revision and changed_kind == kind
            ]
            remaining_s = deadline_s - time.monotonic()
            if events and kind in self.faults.kinds_with_lost_watches:
                # Longer than any watch waits.
                await anyio.sleep(60)
            if events or remaining_s <= 0:
                return JSONResponse({"events": events, "current_rev": self.revision})
            changed = self._changed
            with anyio.move_on_after(min(remaining_s, 0.5)):
                await changed.wait()

    async def _handle_object(self, request):
        error_response = await self._apply_faults(request)
        if error_response is not None:
            return error_response
        kind, name = request.path_params["kind"], request.path_params["name"]
        if request.method == "GET":
            existing = self.get(kind, name)
            return JSONResponse(existing, 200 if existing is not None else 404)
        if request.method == "DELETE":
            self.delete(kind, name)
            return JSONResponse({})
        document = await request.json()
        if self.get(kind, name) is None:
            return JSONResponse({}, 404)
        written = self.put(
            kind, name, document["spec"], document["meta"].get("revision")
        )
        return await self._respond_to_write(written, kind, name)

    async def _handle_promotion(self, request):
        if self.faults.refuses_promotions:
            return JSONResponse({"error": "down"}, 503)
        document = await request.json()
        group = self.groups[document["service"]]
        token = int(request.headers[TOKEN_HEADER])
        holder = request.headers[HOLDER_HEADER]
        is_promoted = await group.promote(document["id"], holder, token)
        return JSONResponse({}, 200 if is_promoted else 409)

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
