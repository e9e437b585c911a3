"""One connection to a stand-in database."""

import random

import anyio

from bronzescale_proxy.fleet.streams import LineReader

MAX_LINE_BYTES = 1_048_576


class DatabaseSession:
    """Statements of one connection.

    Parameters
    ----------
    database : Database
        The database.
    stream : anyio.abc.ByteStream
        The connection.
    """

    def __init__(self, database, stream):
        self._database = database
        self._group = database.group
        self._stream = stream
        self._reader = LineReader(stream, b"\r\n", MAX_LINE_BYTES)
        self._number = next(database.group.connections)
        self._values = {}
        self._prepared = {}
        self._transaction = None
        self._is_read_only = False
        self._began_in_term = 0
        self._is_failed = False

    async def run(self):
        """Serve until the other side leaves."""
        if not await self._greet():
            return
        while True:
            line = (await self._reader.receive_line()).decode("latin-1")
            word, _, rest = line.partition(" ")
            if word != "QUERY":
                return
            request_id, _, text = rest.partition(" ")
            await self._hold_if_silent()
            answer = await self._answer(request_id, text)
            await self._hold_if_silent()
            if self._database.lose_next_answers > 0 and request_id != "-":
                self._database.lose_next_answers -= 1
                self._note("lost", request_id, text)
                return
            await self._send([*answer, f"READY {self._state()} {self._position()}"])

    async def _hold_if_silent(self):
        while self._database.is_silent:
            await anyio.sleep(0.02)

    async def _greet(self):
        line = (await self._reader.receive_line()).decode("latin-1")
        words = line.split(" ")
        database = self._database
        await self._hold_if_silent()
        if len(words) < 3 or words[0] != "CONNECT" or words[1] != self._group.service:
            await self._send(["ERROR WRONGNODE no such service"])
            return False
        if len(words) > 3 and words[3] != database.instance:
            await self._send([f"ERROR WRONGNODE {database.instance}"])
            return False
        if len(database.open_connections) > database.max_connections:
            self._note("too_many", "-", None)
            await self._send(["ERROR TOOMANY connections"])
            return False
        async with database.slot():
            await anyio.sleep(0.001)
        await self._send([f"READY I {self._position()}"])
        return True

    async def _send(self, lines):
        await self._stream.send("".join(f"{x}\r\n" for x in lines).encode("latin-1"))

    def _note(self, kind, request_id, detail):
        self._group.note(
            kind, self._database.instance, self._number, request_id, detail
        )

    def _state(self):
        if self._transaction is None:
            return "I"
        return "E" if self._is_failed else "T"

    def _position(self):
        return f"{self._database.term}.{self._database.applied_count()}"

    # Statements

    async def _answer(self, request_id, text):
        floor = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, _, number = position.partition(".")
            floor = int(term), int(number)
        word, _, rest = text.partition(" ")
        handler = getattr(self, f"_on_{word.lower()}", None)
        if handler is None:
            return ["ERROR MALFORMED what"]
        if self._is_failed and word not in ("ROLLBACK", "COMMIT"):
            return ["ERROR MALFORMED failed transaction"]
        if floor is not None and not self._database.covers(*floor):
            return self._fail("LAGGING", "behind")
        return await handler(request_id, rest)

    def _fail(self, code, text):
        if self._transaction is not None:
            self._is_failed = True
        return [f"ERROR {code} {text}"]

    async def _on_set(self, request_id, rest):
        name, _, value = rest.partition(" ")
        self._values[name] = value
        return ["DONE -"]

    async def _on_reset(self, request_id, rest):
        self._values.clear()
        self._prepared.clear()
        return ["DONE -"]

    async def _on_prepare(self, request_id, rest):
        name, kind, shape = rest.split(" ", 2)
        self._prepared[name] = kind, shape
        return ["DONE -"]

    async def _on_begin(self, request_id, rest):
        if rest != "READ" and not self._database.is_primary:
            return self._fail("READONLY", self._database.instance)
        self._transaction = []
        self._is_read_only = rest == "READ"
        self._began_in_term = self._database.term
        return ["DONE -"]

    async def _on_rollback(self, request_id, rest):
        self._end()
        return ["DONE -"]

    def _end(self):
        self._transaction = None
        self._is_failed = False

    async def _on_commit(self, request_id, rest):
        if self._transaction is None:
            return ["ERROR MALFORMED no transaction"]
        if self._is_failed:
            self._end()
            return ["ERROR ABORTED failed"]
        async with self._database.slot():
            await anyio.sleep(self._database.work_s)
            writes = self._transaction
            if writes and not self._leads_still():
                self._end()
                return ["ERROR READONLY lost the lead"]
            self._commit(request_id, writes)
            self._end()
        return [f"DONE {self._database.signature()}"]

    def _commit(self, request_id, writes):
        if writes:
            entry = self._database.append(writes, request_id)
            self._note("commit", request_id, entry)
        else:
            self._note("empty_commit", request_id, None)

    def _leads_still(self):
        database = self._database
        return database.is_primary and (
            self._transaction is None or database.term == self._began_in_term
        )

    async def _on_read(self, request_id, rest):
        return await self._read(request_id, rest, "")

    async def _on_write(self, request_id, rest):
        item, _, data = rest.partition(" ")
        return await self._write(request_id, item, data, "")

    async def _on_execute(self, request_id, rest):
        name, _, arguments = rest.partition(" ")
        if name not in self._prepared:
            return self._fail("NOSTMT", name)
        kind, shape = self._prepared[name]
        if kind == "READ":
            return await self._read(request_id, arguments, shape)
        item, _, data = arguments.partition(" ")
        return await self._write(request_id, item, data, shape)

    async def _slot_work(self):
        await anyio.sleep(self._database.work_s)
        if random.random() < self._database.hang_share:
            await anyio.sleep_forever()
        if random.random() < self._database.fail_share:
            return self._fail("FAILED", "disk")
        return None

    async def _read(self, request_id, item, shape):
        is_plain = self._transaction is not None and not self._is_read_only
        if is_plain and not self._leads_still():
            return self._fail("READONLY", "lost the lead")
        async with self._database.slot():
            failed = await self._slot_work()
            if failed is not None:
                return failed
            count = self._database.applied_count()
            value = self._database.value(item, self._transaction or ())
            state = dict(self._values), shape, self._transaction is not None, count
            self._note("read", request_id, (item, value, state))
        return [f"ROW {value}", f"DONE {self._database.signature()}"]

    async def _write(self, request_id, item, data, shape):
        if not self._leads_still() or self._is_read_only and self._transaction:
            return self._fail("READONLY", self._database.instance)
        async with self._database.slot():
            failed = await self._slot_work()
            if failed is not None:
                return failed
            if not self._leads_still():
                return self._fail("READONLY", self._database.instance)
            state = dict(self._values), shape, self._transaction is not None, 0
            self._note("write", request_id, (item, data, state))
            if self._transaction is None:
                self._commit(request_id, [(item, data)])
            else:
                self._transaction.append((item, data))
        return [f"DONE {self._database.signature()}"]

    async def _on_status(self, request_id, rest):
        database = self._database
        role = "primary" if database.is_primary else "replica"
        running = database.slots - database.slot().value
        lag_ms = int(database.lag_s * 1_000)
        row = (
            f"ROW {role} {database.term} {database.received()} {database.held_term} "
            f"{lag_ms} {running} {len(database.open_connections)}"
        )
        return [row, "DONE -"]

    async def _on_pause(self, request_id, rest):
        if not self._database.is_primary:
            self._database.held_term = max(self._database.held_term, int(rest))
        return await self._on_status(request_id, "")

    async def _on_resume(self, request_id, rest):
        self._database.held_term = 0
        return await self._on_status(request_id, "")

    async def _on_stepdown(self, request_id, rest):
        self._database.step_down(int(rest))
        return await self._on_status(request_id, "")
