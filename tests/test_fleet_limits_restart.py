"""Limits of customers after the whole fleet has started again."""

import anyio

from bronzescale_standins.fleet.testing import in_loop
from tests.test_fleet_limits import LIMIT, LimitCase, set_limit


class WholeFleetRestartTest(LimitCase):
    """Load: all callers return within a second after every host has started again."""

    @in_loop
    async def test_lessor_grants_what_is_due_since_the_hosts_started(self):
        async with self.limited_world() as world:
            await world.restart_all()
            for member in world.members:
                set_limit(member, LIMIT)
            await anyio.sleep(0.3)
            caller = await world.members[0].caller("aged")
            self.assertTrue((await caller.query("READ x")).is_done)
            taken = [
                fields
                for member in world.members
                for fields in member.log.events("limit_taken_over")
            ]
            self.assertTrue(taken)
            self.assertTrue(all(fields["is_certain"] for fields in taken), taken)
            self.assertTrue(all(fields["tokens"] > 0 for fields in taken), taken)
