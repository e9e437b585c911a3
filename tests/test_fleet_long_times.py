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


class LongAgeTest(testtools.TestCase):
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
