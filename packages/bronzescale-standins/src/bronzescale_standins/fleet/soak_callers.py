"""Callers of the soak test: each one writes its own item and reads all items."""

import time

import anyio

from bronzescale_standins.fleet.callers import LineCaller
from bronzescale_standins.fleet.soak_history import Operation

MEAN_PAUSE_S = 0.02
RECONNECT_DELAY_S = 0.15
WRITE_SHARE = 0.4
TRANSACTION_SHARE = 0.3
# Of the statements of a transaction: those before which a caller pauses, and for how
# long at most. Hosts and databases start again meanwhile.
PAUSE_SHARE = 0.1
PATIENT_PAUSE_SHARE = 0.5
# A transaction has up to 12 statements.
PATIENT_READS = 9
MAX_PAUSE_S = 1.8
# Of all statements: those before which a caller changes its session.
SET_SHARE = 0.1
PREPARE_SHARE = 0.1
EXECUTE_SHARE = 0.3
ROLLBACK_SHARE = 0.15
# All callers use one name; the shapes that they prepare under it differ.
PREPARED_NAME = "s"
SHAPES = 3
STOLEN_KEY_SHARE = 0.05
# No configuration ever holds it.
STOLEN_KEY = "stolen"
CONNECTION_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    TimeoutError,
)


class SoakCaller:
    """One caller that reconnects whenever its connection breaks.

    Parameters
    ----------
    number : int
        Number of the caller, which is its session value and names its item.
    soak : Soak
        Run that the caller belongs to.
    rng : random.Random
        Source of its choices.
    member : SoakMember or None
        The only node that it uses; None for all.
    is_patient : bool
        Whether it runs transactions only, longer ones, and pauses in most of them.
    """

    def __init__(self, number, soak, rng, member=None, is_patient=False):
        self._number = number
        self._soak = soak
        self._rng = rng
        self._member = member
        self._write_share = 1.0 if is_patient else WRITE_SHARE
        self._transaction_share = 1.0 if is_patient else TRANSACTION_SHARE
        self._max_reads = PATIENT_READS if is_patient else 1
        self._pause_share = PATIENT_PAUSE_SHARE if is_patient else PAUSE_SHARE
        self._routes = ("lead",) if is_patient else ("lead", "aged", "own", "own")
        self._last_value = 0
        self._session_number = 0
        self._request_count = 0
        self._key = ""
        self._node = ""
        # What the session acknowledged: values, and the shape of the prepared name.
        self._values = {}
        self._shape = ""

    async def run(self):
        """Run until cancelled."""
        while True:
            route = self._rng.choice(self._routes)
            member = self._member or self._rng.choice(self._soak.members)
            self._key = self._soak.key_of(self._number)
            if self._rng.random() < STOLEN_KEY_SHARE:
                self._key = STOLEN_KEY
            began_s = time.monotonic()
            try:
                caller = await LineCaller.connect(
                    member.caller_port, route, host=member.host, key=self._key
                )
            except ConnectionRefusedError as error:
                self._record_refusal(route, str(error), began_s)
                await anyio.sleep(RECONNECT_DELAY_S)
                continue
            except CONNECTION_ERRORS:
                await anyio.sleep(RECONNECT_DELAY_S)
                continue
            self._session_number += 1
            self._node = member.name
            self._values = {}
            self._shape = ""
            try:
                await self._set_value(caller, "who", self._number)
                for _ in range(self._rng.randint(1, 40)):
                    await self._run_operation(caller, route)
                    await anyio.sleep(MEAN_PAUSE_S * self._rng.random() * 2)
            except CONNECTION_ERRORS:
                await anyio.sleep(RECONNECT_DELAY_S)
            finally:
                with anyio.CancelScope(shield=True):
                    await caller.close()

    def _record_refusal(self, route, line, began_s):
        """Record that a session was refused, if the answer says why."""
        message, _, fields = line.partition(" ")
        if message == "ERROR":
            self._record(route, "", -1, False, fields.split(" ")[0], began_s, ())

    def _next_request_id(self):
        self._request_count += 1
        return f"c{self._number}-{self._request_count}"

    async def _run_operation(self, caller, route):
        is_write = self._rng.random() < self._write_share and route != "aged"
        if not is_write:
            item = f"i{self._rng.randrange(self._soak.caller_count)}"
            await self._run_statements(caller, route, item, -1, False, [f"READ {item}"])
            return
        self._last_value += 1
        item = f"i{self._number}"
        statements = [f"WRITE {item} {self._last_value}"]
        if self._rng.random() < self._transaction_share:
            end = "ROLLBACK" if self._rng.random() < ROLLBACK_SHARE else "COMMIT"
            reads = [f"READ {item}"] * self._rng.randint(1, self._max_reads)
            statements = ["BEGIN", *reads, *statements, end]
        await self._run_statements(
            caller, route, item, self._last_value, True, statements
        )

    async def _run_statements(self, caller, route, item, value, is_write, statements):
        """Run the statements of an operation and record its result."""
        began_s = time.monotonic()
        request_ids = []
        expected = []
        unanswered = ""
        code = "LOST"
        try:
            for index, statement in enumerate(statements):
                if index and self._rng.random() < self._pause_share:
                    await anyio.sleep(self._rng.uniform(0.1, MAX_PAUSE_S))
                await self._change_session(caller)
                statement, shape = self._prepared_form(statement)
                request_ids.append(self._next_request_id())
                values = tuple(sorted(self._values.items()))
                expected.append((request_ids[-1], values, shape))
                unanswered = request_ids[-1]
                answer = await caller.query(statement, request_ids[-1], timeout_s=6)
                unanswered = ""
                code = answer.code
                if answer.code != "DONE":
                    break
                if not is_write:
                    value = int(answer.rows[0]) if answer.rows[0] != "-" else 0
            if code == "DONE" and statements[-1] == "ROLLBACK":
                # Nothing may be kept.
                code = "ABORTED"
            elif code != "DONE" and answer.state != "I":
                await caller.query("ROLLBACK", self._next_request_id())
        except CONNECTION_ERRORS:
            code = "LOST"
            raise
        finally:
            self._record(
                route,
                item,
                value,
                is_write,
                code,
                began_s,
                tuple(request_ids),
                expected=tuple(expected),
                unanswered=unanswered,
            )

    async def _set_value(self, caller, name, value):
        answer = await caller.query(f"SET {name} {value}", self._next_request_id())
        if answer.is_done:
            self._values[name] = str(value)

    async def _change_session(self, caller):
        """Change a session value or the prepared statement at times."""
        if self._rng.random() < SET_SHARE:
            await self._set_value(caller, "tag", self._request_count)
        if self._rng.random() < PREPARE_SHARE:
            shape = f"q{self._rng.randrange(SHAPES)}"
            text = f"PREPARE {PREPARED_NAME} READ {shape}"
            answer = await caller.query(text, self._next_request_id())
            if answer.is_done:
                self._shape = shape

    def _prepared_form(self, statement):
        """Return a statement, at times as a prepared one, and its shape."""
        name, _, item = statement.partition(" ")
        if name == "READ" and self._shape and self._rng.random() < EXECUTE_SHARE:
            return f"EXECUTE {PREPARED_NAME} {item}", self._shape
        return statement, ""

    def _record(self, route, item, value, is_write, code, began_s, request_ids, **sent):
        """Add an operation to the history; `sent` are fields about its requests."""
        operation = Operation(
            self._number,
            (self._number, self._session_number),
            route,
            item,
            value,
            is_write,
            code,
            began_s,
            time.monotonic(),
            request_ids,
            self._key,
            self._node,
            **sent,
        )
        self._soak.operations.append(operation)
