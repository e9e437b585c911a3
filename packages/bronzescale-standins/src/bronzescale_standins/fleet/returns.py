"""Measure a fleet in one process while the store returns from an older copy.

    python -m bronzescale_standins.fleet.returns --nodes 8 --rounds 10 --kill-primary

Prints for each second from the moment at which the store goes away how many calls it
gets, and over all rounds the longest time without an acknowledged save and the time
until every host is registered again.
"""

import random
import statistics
import time
from collections import Counter
from itertools import pairwise
from typing import Annotated

import anyio
import cyclopts
from cyclopts import Parameter

from bronzescale_standins.fleet.callers import LineCaller
from bronzescale_standins.fleet.soak_callers import CONNECTION_ERRORS
from bronzescale_standins.fleet.world import running_world

app = cyclopts.App(name="returns", help=__doc__)

AWAY_S = 0.5
# Longer than a change of primary that waits for lost claims to expire.
OBSERVED_S = 12.0
COUNTED_S = 8
SETTLED_AFTER_S = 3.0
WRITER_COUNT = 4
SAVE_TIMEOUT_S = 1.5
PAUSE_S = 0.02
# The primary dies within this time before or after the store goes away.
KILL_SPREAD_S = 1.0


class ReturnMeasurement:
    """Figures of one run, one element for each return.

    Parameters
    ----------
    world : World
        Fleet, databases and store; every node is ready.
    rng : random.Random
        Source of the times at which primaries die.
    """

    def __init__(self, world, rng):
        self._world = world
        self._rng = rng
        self._saved_at_s = []
        self.calls_by_second = []
        self.gaps_s = []
        self.registered_after_s = []

    async def run(self, rounds, lost_s, kills_primary):
        """Measure returns of the store one after the other, and print the figures."""
        async with anyio.create_task_group() as tasks:
            for _ in range(WRITER_COUNT):
                tasks.start_soon(self._keep_writing)
            for _ in range(rounds):
                await anyio.sleep(SETTLED_AFTER_S)
                await self._measure_return(lost_s, kills_primary)
            tasks.cancel_scope.cancel()
        for second, counts in enumerate(zip(*self.calls_by_second, strict=True)):
            _describe(f"calls in second {second}", counts)
        _describe("longest time without a save, s", self.gaps_s)
        _describe("all hosts registered after, s", self.registered_after_s)

    async def _keep_writing(self):
        while True:
            member = self._rng.choice(self._world.members)
            try:
                caller = await LineCaller.connect(
                    member.caller_port, "lead", SAVE_TIMEOUT_S
                )
                answer = await caller.query("WRITE x 1", timeout_s=SAVE_TIMEOUT_S)
                await caller.close()
            except CONNECTION_ERRORS:
                answer = None
            if answer is not None and answer.is_done:
                self._saved_at_s.append(time.monotonic())
            await anyio.sleep(PAUSE_S)

    async def _measure_return(self, lost_s, kills_primary):
        platform = self._world.platform
        names = {member.name for member in self._world.members}
        start_s = time.monotonic()
        async with anyio.create_task_group() as tasks:
            if kills_primary:
                tasks.start_soon(self._replace_primary)
            await anyio.sleep(KILL_SPREAD_S)
            away_s = time.monotonic()
            await self._world.restore_store(lost_s, AWAY_S)
            registered_after_s = None
            while time.monotonic() < away_s + OBSERVED_S:
                found = {name for kind, name in platform.list_keys()}
                if registered_after_s is None and names <= found:
                    registered_after_s = time.monotonic() - away_s
                await anyio.sleep(0.05)
        self.registered_after_s.append(registered_after_s or OBSERVED_S)
        saved_s = [at for at in self._saved_at_s if at >= start_s]
        ends_s = [start_s, *saved_s, time.monotonic()]
        self.gaps_s.append(max(after - before for before, after in pairwise(ends_s)))
        calls = Counter(int(at - away_s) for at in platform.call_times_s if at > away_s)
        self.calls_by_second.append([calls[second] for second in range(COUNTED_S)])

    async def _replace_primary(self):
        await anyio.sleep(self._rng.uniform(0, 2 * KILL_SPREAD_S))
        primary = self._world.group.primary()
        primary.stop()
        await anyio.sleep(OBSERVED_S - 2 * KILL_SPREAD_S)
        primary.is_primary = primary is self._world.group.primary()
        await self._world.start_database(primary)


def _describe(name, values):
    low, middle, high = min(values), statistics.median(values), max(values)
    print(f"{name}: min {low:.2f}, median {middle:.2f}, max {high:.2f}")


async def _run(nodes, seed, rounds, lost_s, kills_primary):
    async with running_world(nodes) as world:
        measurement = ReturnMeasurement(world, random.Random(seed))
        await measurement.run(rounds, lost_s, kills_primary)


@app.default
def main(
    *,
    nodes: Annotated[int, Parameter(help="Number of nodes.")] = 8,
    rounds: Annotated[int, Parameter(help="Number of returns.")] = 10,
    lost_s: Annotated[float, Parameter(help="Age of the copy.")] = 8.0,
    kill_primary: Annotated[bool, Parameter(help="Let a primary die.")] = False,
    seed: Annotated[int, Parameter(help="Seed of writers and deaths.")] = 1,
):
    """Measure returns of the store one after the other."""
    anyio.run(_run, nodes, seed, rounds, lost_s, kill_primary)


if __name__ == "__main__":
    app()
