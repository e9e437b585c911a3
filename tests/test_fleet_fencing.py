"""The pause that fences an old primary must hold until the order to promote."""

import anyio
import testtools

from bronzescale_standins.fleet.world import running_world


class TestForgottenPause(testtools.TestCase):
    def test_successor_that_forgot_its_pause_is_paused_again_before_the_order(self):
        """A copy that restarts forgets its pause and would prove the old lead."""
        held_at_order = []

        async def run():
            async with running_world() as world:
                group = world.group
                order = group.promote

                async def promote(instance, holder, token):
                    held_at_order.append(group.databases[instance].held_term)
                    return await order(instance, holder, token)

                self.patch(group, "promote", promote)
                replicas = [d for d in group.databases.values() if not d.is_primary]
                group.primary().stop()
                await world.until(lambda: any(d.held_term for d in replicas))
                await anyio.sleep(0.2)
                for replica in replicas:
                    replica.held_term = 0
                await world.until(lambda: bool(held_at_order))

        anyio.run(run)
        self.assertTrue(held_at_order[0] > 0, held_at_order)
