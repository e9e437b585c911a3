"""Configurations whose times are as long as a day, or longer."""

import anyio
import testtools

from bronzescale_core.field_checks import MAX_TIME_MS
from bronzescale_standins.fleet.testing import in_loop
from bronzescale_standins.fleet.world import ROUTES, running_world

ARCHIVE = {
    "host": "archive",
    "type": "bounded_staleness",
    "max_staleness_ms": MAX_TIME_MS,
}


TWO_DAYS = {**ARCHIVE, "max_staleness_ms": 2 * MAX_TIME_MS}
DROPPED = {"host": "old", "type": "primary"}
# `bounds.config_apply_ms` of the smallest deployments.
IN_FORCE_WITHIN_S = 4.0


async def codes_of(world, database):
    """Read once at each node and return the codes of the answers."""
    codes = set()
    for member in world.members:
        try:
            caller = await member.caller(database)
        except ConnectionError as error:
            codes.add(str(error))
            continue
        codes.add((await caller.query("READ x")).code)
    return codes


class LongAgeTest(testtools.TestCase):
    @in_loop
    async def test_version_with_a_route_over_data_of_two_days_is_in_force(self):
        """Guards against a version that every node refuses (review case 9)."""
        async with running_world(routes=(*ROUTES, DROPPED)) as world:
            self.assertEqual({"DONE"}, await codes_of(world, "old"))
            world.configure((*ROUTES, TWO_DAYS))
            await anyio.sleep(IN_FORCE_WITHIN_S)
            self.assertEqual({"DONE"}, await codes_of(world, "archive"))
            self.assertNotIn("DONE", await codes_of(world, "old"))
            await world.restart_all()
            for database in ("lead", "aged", "archive"):
                self.assertEqual({"DONE"}, await codes_of(world, database))

    @in_loop
    async def test_transactions_over_data_of_a_day_disturb_no_other_statement(self):
        """Guards against a frame that peers refuse together with its connection.

        In a transaction the age at BEGIN is added to that of the route.
        """
        async with running_world(routes=(*ROUTES, ARCHIVE)) as world:
            callers = [await member.caller("archive") for member in world.members]
            others = [await member.caller("own") for member in world.members]
            answers = []

            async def run_transaction(caller):
                for _ in range(3):
                    answers.append(await caller.query("BEGIN READ"))
                    await anyio.sleep(0.05)
                    answers.append(await caller.query("READ x"))
                    answers.append(await caller.query("COMMIT"))

            async def read_often(caller):
                for _ in range(40):
                    answers.append(await caller.query("READ x"))

            async with anyio.create_task_group() as tasks:
                for caller in callers:
                    tasks.start_soon(run_transaction, caller)
                for caller in others:
                    tasks.start_soon(read_often, caller)
            self.assertEqual({"DONE"}, {answer.code for answer in answers})
            for member in world.members:
                self.assertEqual([], member.log.events("peer_down"))
                self.assertEqual([], member.log.events("peer_suspected"))
