"""The platform: its store of objects, the order to promote, and the operator."""

import asyncio
import json
import random
import time
from urllib.parse import parse_qs, unquote, urlsplit

HEARTBEAT_S = 1.2
PAGE_ITEMS = 500


class RawJson:
    """A value that is kept and returned as the JSON text that its writer sent."""

    def __init__(self, text):
        self.text = text

    def __eq__(self, other):
        return isinstance(other, RawJson) and self.text == other.text

    def __hash__(self):
        return hash(self.text)


def _encode(document):
    """Return a document as JSON, raw values included as they are."""
    raw = []

    def mark(value):
        raw.append(value)
        return f"\0raw{len(raw) - 1}\0"

    text = json.dumps(document, default=mark)
    for index, value in enumerate(raw):
        text = text.replace(json.dumps(f"\0raw{index}\0"), value.text)
    return text


class Platform:
    """Store and interface for promotions at one address.

    Parameters
    ----------
    host : str
        IP address to listen on.
    group : Group
        Databases that register here and can be promoted.
    record : Record
        Gets what the operator and the databases write.
    """

    def __init__(self, host, group, record):
        self.host = host
        self.port = 0
        self._group = group
        self._record = record
        self._revision = 100
        self._objects = {}
        self._history = []
        self._changed = asyncio.Event()
        self._registered = {}
        # Share of the answers that are lost; a connection on which one was lost
        # returns nothing further.
        self.lost_share = 0.0
        self._draws = random.Random(1)

    @property
    def address(self):
        """Return IP address and port."""
        return f"{self.host}:{self.port}"

    async def start(self):
        """Listen."""
        server = await asyncio.start_server(self._serve, self.host, 0, limit=4_194_304)
        self.port = server.sockets[0].getsockname()[1]

    # What the operator, the databases and other writers store

    def write(self, kind, name, spec):
        """Write an object without a condition; return its revision."""
        existing = self._objects.get((kind, name))
        if existing is not None and existing["spec"] == spec:
            return existing["meta"]["revision"]
        document = self._store(kind, name, spec, [], existing)
        self._record.add("stored", object=f"{kind}/{name}", spec=_shorten(spec))
        return document["meta"]["revision"]

    def configure(self, version, routes, services, tx_idle_ms=3_000):
        """Write a version of the config, as the operator does."""
        spec = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {"tx_idle_ms": tx_idle_ms, "max_body_bytes": 262_144},
        }
        return self.write("config", "main", spec)

    async def register_databases(self):
        """Write the entries of the databases until cancelled."""
        while True:
            for database in self._group.databases.values():
                self.register(database)
            await asyncio.sleep(0.05)

    def register(self, database):
        """Write a database's entry; remove it after three pings of silence."""
        now_s = time.monotonic()
        if database.is_running:
            self._registered[database.name] = now_s
            entry = {
                "service": self._group.service,
                "address": database.address,
                "zone": database.zone,
                "version": "v1",
                "slots": self._group.slots,
                "state": database.state,
                "cold_left_ms": 0,
                "seq": 1,
                "born": database.born_ms,
                "db_role": "primary" if database.is_primary else "replica",
            }
            self.write("servers", database.name, entry)
            return
        silent_s = now_s - self._registered.get(database.name, now_s)
        if silent_s > 3 * HEARTBEAT_S and ("servers", database.name) in self._objects:
            self._delete("servers", database.name)

    def _store(self, kind, name, spec, finalizers, existing):
        self._revision += 1
        created = existing["meta"]["created"] if existing else self._revision
        document = {
            "meta": {
                "name": name,
                "revision": self._revision,
                "created": created,
                "finalizers": finalizers,
                "deleting": False,
            },
            "spec": spec,
            "status": existing["status"] if existing else None,
        }
        self._objects[(kind, name)] = document
        self._note(kind, document, False)
        return document

    def _delete(self, kind, name):
        document = self._objects.pop((kind, name))
        self._revision += 1
        meta = {**document["meta"], "revision": self._revision}
        self._note(kind, {**document, "meta": meta}, True)
        self._record.add("removed", object=f"{kind}/{name}")

    def _note(self, kind, document, is_deleted):
        self._history.append((self._revision, kind, document, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    # HTTP

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                method, target, _ = head.split("\r\n")[0].split(" ")
                headers = {}
                for line in head.split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                size = int(headers.get("content-length", 0))
                body = json.loads(await reader.readexactly(size)) if size else None
                status, document = await self._handle(method, target, headers, body)
                if self._draws.random() < self.lost_share:
                    self._record.add("answer_lost", method=method, target=target)
                    await reader.read()
                    return
                payload = _encode(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode()
                )
                writer.write(payload)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, method, target, headers, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = [unquote(part) for part in parts.path.split("/")[1:]]
        if path == ["promote"]:
            is_done = await self._group.promote(
                body["id"], headers["duty-holder"], int(headers["fence-token"])
            )
            return (200, {}) if is_done else (409, {})
        if path[:2] != ["-", "objects"] or len(path) not in (3, 4):
            return 404, {}
        if len(path) == 4:
            return self._handle_object(method, path[2], path[3], body, query)
        if method == "POST":
            return self._create(path[2], body)
        if "watch" in query:
            return await self._watch(path[2], query)
        return self._list(path[2], query.get("after", ""))

    def _list(self, kind, after):
        found = [
            document
            for (item_kind, name), document in sorted(self._objects.items())
            if item_kind == kind and name > after
        ]
        return 200, {
            "items": found[:PAGE_ITEMS],
            "has_more": len(found) > PAGE_ITEMS,
            "current_rev": self._revision,
        }

    async def _watch(self, kind, query):
        since = int(query["watch"])
        end_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1_000
        if since > self._revision:
            return 410, {}
        while True:
            events = [
                {"object": document, "deleted": is_deleted}
                for revision, changed_kind, document, is_deleted in self._history
                if revision > since and changed_kind == kind
            ]
            remaining_s = end_s - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "current_rev": self._revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                pass

    def _create(self, kind, body):
        name = body["meta"]["name"]
        if (kind, name) in self._objects:
            return 409, self._objects[(kind, name)]
        finalizers = body["meta"].get("finalizers", [])
        return 200, self._store(kind, name, body.get("spec"), finalizers, None)

    def _handle_object(self, method, kind, name, body, query):
        existing = self._objects.get((kind, name))
        if existing is None:
            return 404, {}
        if method == "GET":
            return 200, existing
        revision = query.get("revision")
        if body is not None:
            revision = body["meta"].get("revision", revision)
        if revision is not None and int(revision) != existing["meta"]["revision"]:
            return 409, existing
        if method == "DELETE":
            self._delete(kind, name)
            return 200, {}
        if body.get("spec") == existing["spec"]:
            return 200, existing
        finalizers = body["meta"].get("finalizers", [])
        return 200, self._store(kind, name, body.get("spec"), finalizers, existing)


def _shorten(spec):
    text = _encode(spec)
    return text if len(text) <= 400 else f"{text[:60]}... ({len(text)} bytes)"
