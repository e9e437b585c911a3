"""Statements and transactions while the process that serves them stops.

The load: callers in the middle of transactions, new sessions and statements until the
process is gone. A stopping process used to pass statements on until it ended, and cut
off those that ran (review case 4).
"""

import anyio
import testtools

from bronzescale_proxy.fleet import compose
from bronzescale_standins.fleet.testing import in_loop, primary_of
from bronzescale_standins.fleet.world import ROUTES, running_world

_CONNECTION_ERRORS = (OSError, anyio.EndOfStream, anyio.BrokenResourceError)


def owner_of_primary(world):
    """Return the member that holds the connections to the primary."""
    instance = primary_of(world).instance
    return next(
        member
        for member in world.members
        if member.process.node.is_preferred_owner(instance)
    )


def ran(world):
    """Return the ids of the requests that databases ran."""
    return {event.request_id for event in world.group.history}


class StoppingTransactionTest(testtools.TestCase):
    """A transaction that is still open when statements aren't passed on any more."""

    def setUp(self):
        super().setUp()
        self.patch(compose, "LOAD_BALANCER_NOTICE_MS", 300)
        self.patch(compose, "SERVING_GRACE_SHARE", 0.25)

    async def stop_during_statement(self, world, caller, member):
        """Stop a member while a statement of the caller runs; return its answer."""
        for database in world.group.databases.values():
            database.work_s = 1.3
        answers = []

        async def read():
            answers.append(await caller.query("READ x"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read)
            await anyio.sleep(0.1)
            member.process.request_stop()
            await world.wait_until(lambda: member.log.events("refusing"))
            self.assertEqual([], answers)
        return answers[0]

    async def check_ended(self, world, front_end, stopping):
        caller = await front_end.caller("lead")
        await caller.query("BEGIN")
        await caller.query("WRITE x 1")
        answer = await self.stop_during_statement(world, caller, stopping)
        self.assertEqual(("DONE", "T"), (answer.code, answer.state))
        refused = await caller.query("COMMIT")
        self.assertEqual(("ABORTED", "I"), (refused.code, refused.state))
        self.assertNotIn(refused.request_id, ran(world))
        with anyio.fail_after(5):
            await stopping.ended.wait()
        self.assertEqual([], primary_of(world).log)

    @in_loop
    async def test_running_statement_is_answered_and_the_commit_refused(self):
        async with running_world(routes=[{**ROUTES[0], "timeout_ms": 2_500}]) as world:
            member = owner_of_primary(world)
            await self.check_ended(world, member, member)

    @in_loop
    async def test_commit_at_a_stopping_owner_is_refused(self):
        async with running_world(routes=[{**ROUTES[0], "timeout_ms": 2_500}]) as world:
            owner = owner_of_primary(world)
            front_end = next(m for m in world.members if m is not owner)
            await self.check_ended(world, front_end, owner)

    @in_loop
    async def test_statement_after_the_end_can_be_rolled_back(self):
        async with running_world(routes=[{**ROUTES[0], "timeout_ms": 2_500}]) as world:
            member = owner_of_primary(world)
            caller = await member.caller("lead")
            await caller.query("BEGIN")
            await self.stop_during_statement(world, caller, member)
            refused = await caller.query("WRITE x 2")
            self.assertEqual(("ABORTED", "E"), (refused.code, refused.state))
            ended = await caller.query("ROLLBACK")
            self.assertEqual(("DONE", "I"), (ended.code, ended.state))

    @in_loop
    async def test_statement_on_its_way_to_an_idle_transaction_is_refused(self):
        async with running_world() as world:
            member = world.members[0]
            caller = await member.caller("lead")
            await caller.query("BEGIN")
            await caller.query("WRITE x 1")
            member.process.request_stop()
            await world.wait_until(lambda: member.log.events("refusing"))
            refused = await caller.query("COMMIT")
            self.assertEqual("ABORTED", refused.code)
            self.assertNotIn(refused.request_id, ran(world))


class StoppingSessionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(compose, "LOAD_BALANCER_NOTICE_MS", 300)
        self.patch(compose, "SERVING_GRACE_SHARE", 0.25)

    @in_loop
    async def test_new_session_and_statement_are_refused_at_once(self):
        async with running_world() as world:
            member = world.members[0]
            # A process without callers would stop earlier.
            keeper = await member.caller("lead")
            await keeper.query("BEGIN")
            member.process.request_stop()
            await anyio.sleep(0.5)
            late = await member.caller("lead")
            await world.wait_until(lambda: member.log.events("refusing"))
            with testtools.ExpectedException(ConnectionRefusedError, ".*BUSY.*stop"):
                await member.caller("lead")
            refused = await late.query("WRITE x 1")
            self.assertEqual("BUSY", refused.code)
            self.assertNotIn(refused.request_id, ran(world))

    @in_loop
    async def test_statement_without_a_primary_is_answered_before_the_end(self):
        async with running_world(routes=[{**ROUTES[0], "timeout_ms": 9_000}]) as world:
            member = world.members[0]
            caller = await member.caller("lead")
            for database in world.group.databases.values():
                database.is_silent = True
            member.process.request_stop()
            answer = await caller.query("READ x", timeout_s=8)
            self.assertFalse(answer.is_done)

    @in_loop
    async def test_no_statement_that_ran_goes_unanswered(self):
        async with running_world(nodes=6, work_s=0.15) as world:
            member = world.members[0]
            unanswered = []

            async def run_transactions(number):
                while not member.ended.is_set():
                    request_id = None
                    try:
                        caller = await member.caller("aged")
                        await caller.query("BEGIN READ")
                        for step in range(12):
                            request_id = f"c{number}-{step}-{len(unanswered)}"
                            await caller.query(f"READ k{step}", request_id)
                            request_id = None
                            await anyio.sleep(0.05 * (number % 4))
                    except _CONNECTION_ERRORS:
                        unanswered.append(request_id)
                        await anyio.sleep(0.02)

            async with anyio.create_task_group() as tasks:
                for number in range(8):
                    tasks.start_soon(run_transactions, number)
                await anyio.sleep(0.5)
                member.process.request_stop()
                with anyio.fail_after(6):
                    await member.ended.wait()
            self.assertEqual(set(), ran(world).intersection(unanswered))
