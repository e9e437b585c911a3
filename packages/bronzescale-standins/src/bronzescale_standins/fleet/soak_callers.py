"""Callers of the soak: each saves to an item of its own and reads all items."""

import time

import anyio

from bronzescale_standins.fleet.callers import LineCaller
from bronzescale_standins.fleet.soak_history import Operation

PAUSE_S = 0.02
RECONNECT_S = 0.15
WRITE_SHARE = 0.4
TRANSACTION_SHARE = 0.3
_LOST = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    TimeoutError,
)


class SoakCaller:
    """One caller that goes on through every fault.

    Parameters
    ----------
    number : int
        Its number; names its item and its session value.
    soak : Soak
        The run.
    random : random.Random
        Chooses what it does.
    """

    def __init__(self, number, soak, random):
        self._number = number
        self._soak = soak
        self._random = random
        self._value = 0
        self._session = 0
        self._requests = 0

    async def run(self):
        """Run until cancelled."""
        while True:
            route = self._random.choice(("lead", "aged", "own", "own"))
            member = self._random.choice(self._soak.members)
            try:
                caller = await LineCaller.connect(
                    member.caller_port, route, host=member.host
                )
            except _LOST:
                await anyio.sleep(RECONNECT_S)
                continue
            self._session += 1
            try:
                await caller.query(f"SET who {self._number}")
                for _ in range(self._random.randint(1, 40)):
                    await self._operate(caller, route)
                    await anyio.sleep(PAUSE_S * self._random.random() * 2)
            except _LOST:
                await anyio.sleep(RECONNECT_S)
            finally:
                with anyio.CancelScope(shield=True):
                    await caller.close()

    def _request_id(self):
        self._requests += 1
        return f"c{self._number}-{self._requests}"

    async def _operate(self, caller, route):
        is_write = self._random.random() < WRITE_SHARE and route != "aged"
        if not is_write:
            item = f"i{self._random.randrange(self._soak.callers_count)}"
            await self._record(caller, route, item, -1, False, [f"READ {item}"])
            return
        self._value += 1
        item = f"i{self._number}"
        texts = [f"WRITE {item} {self._value}"]
        if self._random.random() < TRANSACTION_SHARE:
            texts = ["BEGIN", f"READ {item}", *texts, "COMMIT"]
        await self._record(caller, route, item, self._value, True, texts)

    async def _record(self, caller, route, item, value, is_write, texts):
        began_s = time.monotonic()
        ids = []
        code = "LOST"
        try:
            for text in texts:
                ids.append(self._request_id())
                answer = await caller.query(text, ids[-1], timeout_s=6)
                code = answer.code
                if answer.code != "DONE":
                    break
                if not is_write:
                    value = int(answer.rows[0]) if answer.rows[0] != "-" else 0
            if code != "DONE" and answer.state != "I":
                await caller.query("ROLLBACK", self._request_id())
        except _LOST:
            code = "LOST"
            raise
        finally:
            operation = Operation(
                self._number,
                (self._number, self._session),
                route,
                item,
                value,
                is_write,
                code,
                began_s,
                time.monotonic(),
                tuple(ids),
            )
            self._soak.operations.append(operation)
