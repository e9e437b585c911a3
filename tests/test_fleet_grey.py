"""Test databases that fail or lose some statements while they look healthy."""

from collections import Counter

import anyio
import testtools

from bronzescale_core import admission, outliers
from bronzescale_core.placement import PENALTY_MS
from bronzescale_core.work import Outcome, Reach, WorkAnswer, choose_refusal
from bronzescale_standins.fleet.world import running_world

READS = 60


def _count_reads(world, instance, since):
    return sum(
        event.kind == "read" and event.instance == instance
        for event in world.group.history[since:]
    )


async def _read_many(world, count=READS, members=None):
    """Read through the nodes in turn and return the result codes."""
    callers = [await member.caller("aged") for member in members or world.members]
    codes = []
    for number in range(count):
        answer = await callers[number % len(callers)].query("READ x")
        codes.append(answer.code)
    return codes


def _is_ejected(world, instance):
    return any(
        fields["upstream"] == instance
        for member in world.members
        for fields in member.log.events("upstream_ejected")
    )


async def _find_preferred(world):
    """Return the database that serves the most reads."""
    await _read_many(world)
    databases = world.group.databases.values()
    return max(databases, key=lambda d: _count_reads(world, d.instance, 0))


class TestPartlyFailingDatabase(testtools.TestCase):
    def test_failing_database_is_ejected_and_reads_succeed_elsewhere(self):
        self.patch(outliers, "FIRST_EJECTION_MS", 60_000)

        async def run():
            async with running_world() as world:
                preferred = await _find_preferred(world)
                preferred.fail_share = 0.5
                with anyio.fail_after(8):
                    while not _is_ejected(world, preferred.instance):
                        codes = await _read_many(world, 10)
                        self.assertEqual({"DONE"}, set(codes))
                        await anyio.sleep(0.1)
                # Wait out the penalty for single failures; the ejection lasts longer.
                preferred.fail_share = 0.0
                await anyio.sleep(PENALTY_MS / 1_000 + 0.1)
                for member in world.members:
                    # A node learns of the ejection from the first answer that it gets.
                    first_event = len(world.group.history)
                    await _read_many(world, 10, [member])
                    count = _count_reads(world, preferred.instance, first_event)
                    self.assertTrue(count <= 1, count)

        anyio.run(run)

    def test_recovered_database_serves_reads_again(self):
        async def run():
            async with running_world() as world:
                preferred = await _find_preferred(world)
                preferred.fail_share = 1.0
                await _read_many(world)
                preferred.fail_share = 0.0
                with anyio.fail_after(12):
                    while True:
                        first_event = len(world.group.history)
                        await _read_many(world, 20)
                        if _count_reads(world, preferred.instance, first_event) > 5:
                            return
                        await anyio.sleep(0.2)

        anyio.run(run)

    def test_hanging_read_is_answered_by_another_database_in_time(self):
        async def run():
            async with running_world() as world:
                preferred = await _find_preferred(world)
                preferred.hang_share = 1.0
                codes = await _read_many(world, 20)
                self.assertEqual({"DONE"}, set(codes))

        anyio.run(run)


class TestAllDatabasesFull(testtools.TestCase):
    def test_read_is_refused_after_trying_each_database_once(self):
        self.patch(admission, "DEFAULT_SERVICE_TIME_MS", 700.0)

        async def run():
            async with running_world(slots=1, work_s=0.7) as world:
                callers = [await world.members[0].caller("aged") for _ in range(24)]
                codes = []

                async def read(caller):
                    codes.append((await caller.query("READ x")).code)

                async with anyio.create_task_group() as tasks:
                    for caller in callers:
                        tasks.start_soon(read, caller)
                self.assertIn("BUSY", codes)
                attempts = Counter(
                    fields["request"]
                    for fields in world.members[0].log.events("attempt_failed")
                )
                self.assertTrue(max(attempts.values()) <= 3, attempts)

        anyio.run(run)


class TestChooseRefusal(testtools.TestCase):
    def _build_refusal(self, retry_after_ms):
        return WorkAnswer(
            Outcome.BUSY, Reach.NOT_SENT, "full", retry_after_ms=retry_after_ms
        )

    def test_shortest_retry_after_is_returned(self):
        behind = WorkAnswer(Outcome.BEHIND, Reach.REFUSED)
        chosen = choose_refusal(
            [self._build_refusal(900), behind, self._build_refusal(400)]
        )
        self.assertEqual(400, chosen.retry_after_ms)

    def test_no_refusal_while_another_database_may_run_it(self):
        unreachable = self._build_refusal(300)._replace(is_unreachable=True)
        self.assertIsNone(choose_refusal([self._build_refusal(900), unreachable]))
        behind = WorkAnswer(Outcome.BEHIND, Reach.REFUSED)
        self.assertIsNone(choose_refusal([behind]))
        self.assertIsNone(choose_refusal([]))
