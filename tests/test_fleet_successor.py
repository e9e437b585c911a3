"""A copy that fails while it is promoted.

The load: a primary and the replica that replaces it crash two seconds apart, and all
statements of their service wait.
"""

import testtools

from bronzescale_core.groups import Phase
from bronzescale_proxy.fleet import promotion
from bronzescale_standins.fleet.testing import in_loop
from bronzescale_standins.fleet.world import running_world


class FailedSuccessorTest(testtools.TestCase):
    @in_loop
    async def test_another_copy_is_promoted_without_waiting_for_the_claim(self):
        # Waiting for the claim to expire fails the test.
        self.patch(promotion, "CLAIM_TIMEOUT_MS", 60_000)
        self.patch(promotion, "CLAIM_TAKEOVER_AFTER_MS", 60_000)
        async with running_world() as world:
            world.sends_heartbeats = False
            promote_original = world.group.promote
            ordered = []

            async def promote(instance, holder, token):
                ordered.append((instance, holder, token))
                if len(ordered) == 1:
                    world.group.databases[instance].stop()
                    return True
                return await promote_original(instance, holder, token)

            self.patch(world.group, "promote", promote)
            old = world.group.primary()
            old.stop()

            def is_replaced():
                states = [m.process.node.state("svc") for m in world.members]
                return all(
                    state is not None
                    and state.phase is Phase.ACTIVE
                    and state.primary != old.instance
                    for state in states
                )

            await world.wait_until(is_replaced)
            (first, holder, token), (second, next_holder, next_token) = ordered
            self.assertNotEqual(first, second)
            self.assertEqual(holder, next_holder)
            self.assertTrue(next_token > token, ordered)
            self.assertEqual(second, world.members[0].process.node.state("svc").primary)
