"""Test changes of primary while callers continue to write."""

import anyio
import testtools

from bronzescale_standins.fleet.testing import in_loop, is_primary_replaced, primary_of
from bronzescale_standins.fleet.world import ROUTES, running_world


class ChangeOfPrimaryTest(testtools.TestCase):
    async def keep_writing(self, caller, answers):
        for number in range(1_000):
            try:
                answers.append(await caller.query(f"WRITE x {number}"))
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                return
            await anyio.sleep(0.02)

    def check_fencing_tokens_increase(self, world):
        tokens = [e.detail[1] for e in world.group.history if e.kind == "order"]
        self.assertEqual(sorted(tokens), tokens)

    @in_loop
    async def test_crashed_primary_is_replaced_without_silent_loss_of_writes(self):
        async with running_world() as world:
            caller = await world.members[1].caller("lead")
            answers = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.keep_writing, caller, answers)
                await anyio.sleep(0.5)
                world.group.databases["d1"].stop()
                await world.wait_until(lambda: is_primary_replaced(world))
                await world.wait_until(lambda: answers[-1].is_done, 10)
                tasks.cancel_scope.cancel()
            committed = {
                e.request_id for e in world.group.history if e.kind == "commit"
            }
            for answer in answers:
                if answer.is_done:
                    self.assertIn(answer.request_id, committed)
                elif answer.code != "UNKNOWN":
                    self.assertNotIn(answer.request_id, committed)
            self.check_fencing_tokens_increase(world)

    @in_loop
    async def test_leaving_primary_is_replaced_without_loss_of_writes(self):
        async with running_world() as world:
            caller = await world.members[1].caller("lead")
            answers = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.keep_writing, caller, answers)
                await anyio.sleep(0.3)
                world.group.databases["d1"].is_leaving = True
                await world.wait_until(lambda: is_primary_replaced(world))
                await world.wait_until(lambda: answers[-1].is_done)
                tasks.cancel_scope.cancel()
            done = {answer.request_id for answer in answers if answer.is_done}
            kept = {entry.request_id for entry in primary_of(world).log}
            self.assertEqual(set(), done - kept)

    @in_loop
    async def test_unresponsive_primary_is_replaced_and_not_used_after_recovery(self):
        async with running_world() as world:
            caller = await world.members[0].caller("lead")
            self.assertTrue((await caller.query("WRITE x 1")).is_done)
            await anyio.sleep(0.05)
            world.group.databases["d1"].is_silent = True
            await world.wait_until(lambda: is_primary_replaced(world))
            promoted = world.group.primary()
            world.group.databases["d1"].is_silent = False
            other = await world.members[2].caller("lead")
            answer = await other.query("WRITE x 2")
            while not answer.is_done:
                answer = await other.query("WRITE x 2")
            read = await caller.query("READ x")
            while not read.is_done:
                read = await caller.query("READ x")
            self.assertEqual(("2",), read.rows)
            self.assertIn("2", promoted.value("x"))

    @in_loop
    async def test_slow_primary_is_not_replaced(self):
        async with running_world() as world:
            world.group.databases["d1"].work_s = 0.4
            caller = await world.members[0].caller("lead")
            for _ in range(4):
                await caller.query("WRITE x 1")
            self.assertEqual([], [e for e in world.group.history if e.kind == "order"])

    @in_loop
    async def test_no_copy_is_promoted_while_the_store_is_down(self):
        async with running_world() as world:
            world.platform.faults.is_down = True
            world.group.databases["d1"].stop()
            await anyio.sleep(3)
            self.assertEqual([], [e for e in world.group.history if e.kind == "order"])
            world.platform.faults.is_down = False
            await world.wait_until(lambda: is_primary_replaced(world))

    @in_loop
    async def test_claim_is_read_back_when_the_answer_to_its_write_is_lost(self):
        """The driver must continue instead of leaving its claim for a takeover.

        Without the read, the driver takes the lost answer for a failed write, and the
        change stays open until another node takes it over (soak seed 14).
        """
        async with running_world() as world:
            world.platform.faults.lose_next_write_answers = 1
            world.group.databases["d1"].is_leaving = True
            await world.wait_until(lambda: is_primary_replaced(world), 15)
            state = world.platform.get("bronzescale-groups", "svc")["spec"]
            self.assertNotIn("left_open", state["reason"])

    @in_loop
    async def test_transaction_is_aborted_and_not_repeated_when_an_answer_is_lost(self):
        async with running_world() as world:
            caller = await world.members[0].caller("lead")
            self.assertTrue((await caller.query("READ x")).is_done)
            await caller.query("BEGIN")
            primary_of(world).lose_next_answers = 1
            answer = await caller.query("READ x")
            self.assertEqual(("ABORTED", "E"), (answer.code, answer.state))
            runs = [e for e in world.group.history if e.request_id == answer.request_id]
            self.assertEqual(["read", "lost"], [e.kind for e in runs])

    @in_loop
    async def test_change_whose_driver_died_is_finished_by_another_node(self):
        async with running_world() as world:
            caller = await world.members[0].caller("lead")
            await caller.query("WRITE x 1")
            world.platform.faults.refuses_promotions = True
            world.group.databases["d1"].stop()

            def claim():
                return world.platform.get("bronzescale-groups", "svc")

            await world.wait_until(lambda: claim() is not None)
            driver = claim()["spec"]["writer"]
            member = next(m for m in world.members if m.name == driver)
            member.kill()
            world.platform.faults.refuses_promotions = False
            await world.wait_until(lambda: is_primary_replaced(world), 15)
            self.check_fencing_tokens_increase(world)


class NoPrimaryTest(testtools.TestCase):
    """A write must fail fast, not wait for its timeout, while there is no primary."""

    @in_loop
    async def test_write_is_refused_at_once_if_no_primary_is_expected_in_time(self):
        async with running_world() as world:
            routes = [{**route, "timeout_ms": 500} for route in ROUTES]
            world.configure(routes)
            caller = await world.members[0].caller("lead")
            self.assertTrue((await caller.query("WRITE x 1")).is_done)
            world.platform.faults.refuses_promotions = True
            world.group.databases["d1"].is_leaving = True
            monitor = world.members[0].process.node.primary_monitor("svc")
            await world.wait_until(lambda: monitor.primary is None)
            answer = await caller.query("WRITE x 2")
            self.assertEqual("BUSY", answer.code)
            self.assertIn("is changing its primary; come back in", answer.text)
