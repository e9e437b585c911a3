"""Stand in for the platform: its store of objects, and the call that promotes."""

import asyncio
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit


class Platform:
    """The store and the promotion call, over HTTP/1.1.

    Parameters
    ----------
    groups : dict of str to Group
        Services whose databases can be promoted.
    record : Record
        Receives the promotions that were asked for.
    """

    def __init__(self, groups, record):
        self.groups = groups
        self.record = record
        self.revision = 1
        self.objects = {}
        self._history = []
        self._changed = asyncio.Event()

    def put(self, kind, name, spec, revision=None):
        """Write an object; return it, or None if it is at another revision."""
        known = self.objects.get((kind, name))
        current = known["meta"]["revision"] if known else 0
        if revision is not None and revision != current:
            return None
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        meta = {
            "name": name,
            "revision": self.revision,
            "created": known["meta"]["created"] if known else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        document = {"meta": meta, "spec": spec, "status": None}
        self.objects[(kind, name)] = document
        self._note(kind, document, False)
        return document

    def delete(self, kind, name):
        """Remove an object if it is there."""
        known = self.objects.pop((kind, name), None)
        if known is not None:
            self.revision += 1
            meta = {**known["meta"], "revision": self.revision}
            self._note(kind, {**known, "meta": meta}, True)

    def _note(self, kind, document, is_deleted):
        self._history.append((self.revision, kind, document, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def start(self, address):
        """Listen at an address."""
        await asyncio.start_server(self._serve, *address, limit=2**22)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                request, *lines = head[:-4].split("\r\n")
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines)
                }
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, target, _ = request.split(" ")
                document = json.loads(body) if body else None
                status, answer = await self._answer(method, target, headers, document)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.transport.abort()

    async def _answer(self, method, target, headers, document):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/promote":
            return await self._promote(headers, document)
        kind, _, name = parts.path.removeprefix("/-/objects/").partition("/")
        name = unquote(name)
        if not name:
            if method == "POST":
                name = document["meta"]["name"]
                return self._written(
                    kind, name, self.put(kind, name, document["spec"], 0)
                )
            if "watch" in query:
                return await self._watch(kind, query)
            return 200, self._list(kind, query.get("after", ""))
        known = self.objects.get((kind, name))
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        if known is None:
            return 404, {}
        if method == "PUT":
            revision = document["meta"].get("revision")
            return self._written(
                kind, name, self.put(kind, name, document["spec"], revision)
            )
        return 200, known

    def _written(self, kind, name, document):
        if document is None:
            return 409, self.objects[(kind, name)]
        return 200, document

    def _list(self, kind, after):
        items = [
            document
            for (known_kind, name), document in sorted(self.objects.items())
            if known_kind == kind and name > after
        ]
        return {"items": items, "has_more": False, "current_rev": self.revision}

    async def _watch(self, kind, query):
        since = int(query["watch"])
        until_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1_000
        while True:
            events = [
                {"object": document, "deleted": is_deleted}
                for revision, known_kind, document, is_deleted in self._history
                if revision > since and known_kind == kind
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except asyncio.TimeoutError:  # noqa: UP041
                continue

    async def _promote(self, headers, document):
        group = self.groups[document["service"]]
        is_done = await group.promote(document["id"])
        self.record.write(
            "promote",
            holder=headers.get("duty-holder"),
            token=headers.get("fence-token"),
            database=document["id"],
            is_done=is_done,
        )
        return (200 if is_done else 409), {}
