"""Serve one connection to a stand-in database."""

import random

import anyio

from bronzescale_proxy.fleet.streams import LineReader

MAX_LINE_BYTES = 1_048_576


class DatabaseSession:
    """Session of one connection: its values, prepared statements and transaction.

    A statement ``NAME arguments`` is run by the method ``_on_name``.

    Parameters
    ----------
    database : Database
        Database that runs the statements.
    stream : anyio.abc.ByteStream
        Stream of the connection.
    """

    def __init__(self, database, stream):
        self._database = database
        self._group = database.group
        self._stream = stream
        self._reader = LineReader(stream, b"\r\n", MAX_LINE_BYTES)
        self._connection_number = next(database.group.connection_numbers)
        self._values = {}
        self._prepared = {}
        self._transaction = None
        self._is_read_only = False
        self._transaction_term = 0
        self._is_failed = False

    async def run(self):
        """Serve statements until the client disconnects."""
        if not await self._accept_connection():
            return
        while True:
            line = (await self._reader.receive_line()).decode("latin-1")
            message, _, fields = line.partition(" ")
            if message != "QUERY":
                return
            request_id, _, text = fields.partition(" ")
            await self._wait_while_silent()
            answer = await self._answer(request_id, text)
            await self._wait_while_silent()
            if self._database.lose_next_answers > 0 and request_id != "-":
                self._database.lose_next_answers -= 1
                self._record("lost", request_id, text)
                return
            await self._send([*answer, f"READY {self._state()} {self._position()}"])

    async def _wait_while_silent(self):
        while self._database.is_silent:
            await anyio.sleep(0.02)

    async def _accept_connection(self):
        line = (await self._reader.receive_line()).decode("latin-1")
        fields = line.split(" ")
        database = self._database
        await self._wait_while_silent()
        if (
            len(fields) < 3
            or fields[0] != "CONNECT"
            or fields[1] != self._group.service
        ):
            await self._send(["ERROR WRONGNODE no such service"])
            return False
        if len(fields) > 3 and fields[3] != database.instance:
            await self._send([f"ERROR WRONGNODE {database.instance}"])
            return False
        if len(database.open_connections) > database.max_connections:
            self._record("too_many", "-", None)
            await self._send(["ERROR TOOMANY connections"])
            return False
        async with database.slot_semaphore():
            await anyio.sleep(database.greeting_s)
        self._group.customer_by_connection[self._connection_number] = fields[2]
        await self._send([f"READY I {self._position()}"])
        return True

    async def _send(self, lines):
        await self._stream.send(
            "".join(f"{line}\r\n" for line in lines).encode("latin-1")
        )

    def _record(self, kind, request_id, detail):
        self._group.record(
            kind, self._database.instance, self._connection_number, request_id, detail
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
            term, _, offset = position.partition(".")
            floor = int(term), int(offset)
        command, _, arguments = text.partition(" ")
        handler = getattr(self, f"_on_{command.lower()}", None)
        if handler is None:
            return ["ERROR MALFORMED what"]
        if self._is_failed and command not in ("ROLLBACK", "COMMIT"):
            return ["ERROR MALFORMED failed transaction"]
        if floor is not None and not self._database.has_applied(*floor):
            return self._fail("LAGGING", "behind")
        return await handler(request_id, arguments)

    def _fail(self, code, text):
        """Return an error answer and mark an open transaction as failed."""
        if self._transaction is not None:
            self._is_failed = True
        return [f"ERROR {code} {text}"]

    async def _on_set(self, request_id, arguments):
        name, _, value = arguments.partition(" ")
        self._values[name] = value
        self._record("set", request_id, (name, value))
        return ["DONE -"]

    async def _on_reset(self, request_id, arguments):
        self._values.clear()
        self._prepared.clear()
        return ["DONE -"]

    async def _on_prepare(self, request_id, arguments):
        name, kind, shape = arguments.split(" ", 2)
        self._prepared[name] = kind, shape
        return ["DONE -"]

    async def _on_begin(self, request_id, arguments):
        if arguments != "READ" and not self._database.is_primary:
            return self._fail("READONLY", self._database.instance)
        self._transaction = []
        self._is_read_only = arguments == "READ"
        self._transaction_term = self._database.term
        return ["DONE -"]

    async def _on_rollback(self, request_id, arguments):
        self._end_transaction()
        return ["DONE -"]

    def _end_transaction(self):
        self._transaction = None
        self._is_failed = False

    async def _on_commit(self, request_id, arguments):
        if self._transaction is None:
            return ["ERROR MALFORMED no transaction"]
        if self._is_failed:
            self._end_transaction()
            return ["ERROR ABORTED failed"]
        async with self._database.slot_semaphore():
            await anyio.sleep(self._database.work_s)
            writes = self._transaction
            if writes and not self._is_still_primary():
                self._end_transaction()
                return ["ERROR READONLY lost the lead"]
            self._commit_writes(request_id, writes)
            self._end_transaction()
        return [f"DONE {self._database.new_signature()}"]

    def _commit_writes(self, request_id, writes):
        if writes:
            entry = self._database.append(writes, request_id)
            self._record("commit", request_id, entry)
        else:
            self._record("empty_commit", request_id, None)

    def _is_still_primary(self):
        """Return whether the database is primary and kept its term since BEGIN."""
        database = self._database
        return database.is_primary and (
            self._transaction is None or database.term == self._transaction_term
        )

    async def _on_read(self, request_id, arguments):
        return await self._read(request_id, arguments, "")

    async def _on_write(self, request_id, arguments):
        item, _, data = arguments.partition(" ")
        return await self._write(request_id, item, data, "")

    async def _on_execute(self, request_id, arguments):
        name, _, values = arguments.partition(" ")
        if name not in self._prepared:
            return self._fail("NOSTMT", name)
        kind, shape = self._prepared[name]
        if kind == "READ":
            return await self._read(request_id, values, shape)
        item, _, data = values.partition(" ")
        return await self._write(request_id, item, data, shape)

    async def _simulate_work(self):
        """Sleep for the run time of a statement, then hang or fail at random.

        `hang_share` and `fail_share` of the database are the probabilities.

        Returns
        -------
        list of str or None
            The error answer of a failed statement.
        """
        await anyio.sleep(self._database.work_s)
        if random.random() < self._database.hang_share:
            await anyio.sleep_forever()
        if random.random() < self._database.fail_share:
            return self._fail("FAILED", "disk")
        return None

    async def _read(self, request_id, item, shape):
        is_read_write = self._transaction is not None and not self._is_read_only
        if is_read_write and not self._is_still_primary():
            return self._fail("READONLY", "lost the lead")
        async with self._database.slot_semaphore():
            failed = await self._simulate_work()
            if failed is not None:
                return failed
            count = self._database.applied_count()
            value = self._database.value(item, self._transaction or ())
            state = dict(self._values), shape, self._transaction is not None, count
            self._record("read", request_id, (item, value, state))
        return [f"ROW {value}", f"DONE {self._database.new_signature()}"]

    async def _write(self, request_id, item, data, shape):
        if not self._is_still_primary() or self._is_read_only and self._transaction:
            return self._fail("READONLY", self._database.instance)
        async with self._database.slot_semaphore():
            failed = await self._simulate_work()
            if failed is not None:
                return failed
            if not self._is_still_primary():
                return self._fail("READONLY", self._database.instance)
            state = dict(self._values), shape, self._transaction is not None, 0
            self._record("write", request_id, (item, data, state))
            if self._transaction is None:
                self._commit_writes(request_id, [(item, data)])
            else:
                self._transaction.append((item, data))
        return [f"DONE {self._database.new_signature()}"]

    async def _on_status(self, request_id, arguments):
        database = self._database
        role = "primary" if database.is_primary else "replica"
        running = database.slots - database.slot_semaphore().value
        lag_ms = int(database.lag_s * 1_000)
        row = (
            f"ROW {role} {database.term} {database.received_position()} "
            f"{database.paused_term} {lag_ms} {running} "
            f"{len(database.open_connections)}"
        )
        return [row, "DONE -"]

    async def _on_pause(self, request_id, arguments):
        if not self._database.is_primary:
            self._database.paused_term = max(self._database.paused_term, int(arguments))
        return await self._on_status(request_id, "")

    async def _on_resume(self, request_id, arguments):
        self._database.paused_term = 0
        return await self._on_status(request_id, "")

    async def _on_stepdown(self, request_id, arguments):
        self._database.step_down(int(arguments))
        return await self._on_status(request_id, "")
