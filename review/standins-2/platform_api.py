"""The platform's store and its API for promotions, for the review's scripts."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

HEARTBEAT_S = 1.2
# An entry is removed after three intervals of silence.
ENTRY_LIFE_S = 3 * HEARTBEAT_S


class HttpServer:
    """HTTP/1.1 server whose subclasses answer requests.

    Parameters
    ----------
    address : tuple of (str, int)
        Where it listens.
    """

    def __init__(self, address):
        self.address = address
        self._server = None

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.split("\r\n")
                method, target, _ = first.split(" ", 2)
                pairs = [line.partition(":") for line in lines if line]
                headers = {name.lower(): value.strip() for name, _, value in pairs}
                size = int(headers.get("content-length", 0))
                body = json.loads(await reader.readexactly(size)) if size else None
                status, document = await self.answer(method, target, headers, body)
                data = json.dumps(document).encode()
                reply = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(reply.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def answer(self, method, target, headers, body):
        """Return the status and the document of a response."""
        raise NotImplementedError


class Store(HttpServer):
    """Objects with one revision counter; it loses nothing."""

    def __init__(self, address, record):
        super().__init__(address)
        self.record = record
        self.revision = 10
        self._objects = {}
        self._events = []
        self._changed = asyncio.Event()
        self._silent_since_s = {}

    def get(self, kind, name):
        """Return an object or None."""
        return self._objects.get((kind, name))

    def put(self, kind, name, spec):
        """Write an object and return it."""
        known = self.get(kind, name)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["meta"]["created"] if known else self.revision
        meta = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        item = {"meta": meta, "spec": spec, "status": None}
        self._objects[(kind, name)] = item
        self._note(kind, item, is_deleted=False)
        if kind not in ("servers", "bronzescale-hosts"):
            self.record.write("stored", f"{kind}/{name}", spec=spec)
        return item

    def delete(self, kind, name):
        """Remove an object."""
        item = self._objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            meta = {**item["meta"], "revision": self.revision}
            self._note(kind, {**item, "meta": meta}, is_deleted=True)
            self.record.write("removed", f"{kind}/{name}")

    def _note(self, kind, item, is_deleted):
        self._events.append((self.revision, kind, item, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def follow_databases(self, group):
        """Write the entries of a group's databases, and remove those of silent ones."""
        loop = asyncio.get_running_loop()
        next_beat_s = {}
        while True:
            now_s = loop.time()
            for database in group.databases.values():
                name = database.instance
                if database.is_running:
                    entry = database.entry()
                    known = self.get("servers", name)
                    is_changed = known is None or known["spec"] != entry
                    if is_changed or now_s >= next_beat_s.get(name, 0):
                        self.put("servers", name, entry)
                        next_beat_s[name] = now_s + HEARTBEAT_S
                        self._silent_since_s[name] = now_s
                elif now_s - self._silent_since_s.get(name, now_s) > ENTRY_LIFE_S:
                    self.delete("servers", name)
            await asyncio.sleep(0.02)

    def silence_s(self, name):
        """Return for how long a database has written nothing."""
        return asyncio.get_running_loop().time() - self._silent_since_s[name]

    async def answer(self, method, target, headers, body):
        """Answer a call of a node."""
        await asyncio.sleep(0.004)
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        _, _, _, kind, *rest = parts.path.split("/")
        if rest:
            return self._answer_object(method, kind, unquote(rest[0]), query, body)
        if method == "POST":
            name = body["meta"]["name"]
            if self.get(kind, name) is not None:
                return 409, self.get(kind, name)
            return 200, self.put(kind, name, body["spec"])
        if "watch" in query:
            return await self._watch(kind, query)
        items = [
            item
            for (known_kind, name), item in sorted(self._objects.items())
            if known_kind == kind and name > query.get("after", "")
        ]
        return 200, {"items": items, "has_more": False, "current_rev": self.revision}

    def _answer_object(self, method, kind, name, query, body):
        known = self.get(kind, name)
        if known is None:
            return 404, {}
        if method == "GET":
            return 200, known
        meta = (body or {}).get("meta", {})
        revision = meta.get("revision", query.get("revision"))
        if revision is not None and int(revision) != known["meta"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        return 200, self.put(kind, name, body["spec"])

    async def _watch(self, kind, query):
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(query.get("wait_ms", 0)) / 1_000
        while True:
            events = [
                {"object": item, "deleted": is_deleted}
                for revision, known_kind, item, is_deleted in self._events
                if revision > since and known_kind == kind
            ]
            left_s = until_s - loop.time()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue


class PromotionApi(HttpServer):
    """Answers ``POST /promote``; it does not check fences."""

    def __init__(self, address, group, record):
        super().__init__(address)
        self._group = group
        self._record = record

    async def answer(self, method, target, headers, body):
        """Promote a database."""
        await asyncio.sleep(0.004)
        self._record.write(
            "promote",
            body["id"],
            holder=headers["duty-holder"],
            token=headers["fence-token"],
        )
        if body["service"] != self._group.service:
            return 404, {}
        status = await self._group.promote(body["id"])
        return status, {}
