"""Reads of group states while the store refuses single hosts."""

import testtools

from bronzescale_core.groups import Phase
from bronzescale_proxy.clock import now_ms
from bronzescale_standins.fleet.testing import in_loop
from bronzescale_standins.fleet.world import running_world


class StorePathsTest(testtools.TestCase):
    """The store refuses one host while a replica does not answer.

    The copies then cannot confirm the primary, and only the store can.
    """

    @in_loop
    async def test_lease_is_renewed_through_a_peer(self):
        async with running_world() as world:
            world.sends_heartbeats = False
            old = world.group.primary()
            old.stop()
            states = lambda: [m.process.node.state("svc") for m in world.members]  # noqa: E731
            await world.wait_until(
                lambda: all(
                    state is not None
                    and state.phase is Phase.ACTIVE
                    and state.primary != old.instance
                    for state in states()
                ),
                15,
            )
            refused = world.members[0]
            # Nothing listens there.
            refused.store_address = "127.0.0.1:1"
            await world.restart_member(refused)
            monitor = refused.process.node.primary_monitor("svc")
            self.assertTrue(
                await monitor.wait_for_lease(monitor.primary, now_ms() + 5_000)
            )

    @in_loop
    async def test_state_is_unknown_if_no_path_leads_to_the_store(self):
        async with running_world() as world:
            primary = world.group.primary()
            world.sends_heartbeats = False
            next(d for d in world.group.databases.values() if d is not primary).stop()
            world.platform.faults.is_down = True
            monitor = world.members[0].process.node.primary_monitor("svc")
            await world.wait_until(
                lambda: not monitor.lease.is_held_by(primary.instance, now_ms())
            )
            self.assertFalse(
                await monitor.wait_for_lease(primary.instance, now_ms() + 1_500)
            )
