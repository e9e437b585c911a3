"""The seconds after a start: what a node waits for before it serves.

The load: all callers of the fleet return at once after every host was without power.
"""

import random

import anyio
import testtools

from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.fleet import compose
from bronzescale_proxy.fleet.dissemination import Disseminator
from bronzescale_proxy.fleet.primary_monitor import PrimaryMonitor
from bronzescale_standins.fleet.testing import in_loop
from bronzescale_standins.fleet.world import running_world


class _UnevenRandom(random.Random):
    """Let the first retry of a store call come soon, and the others never."""

    retries = 0

    def uniform(self, low, high):
        if (low, high) != (0.7, 1.3):
            return super().uniform(low, high)
        self.retries += 1
        return 1.0 if self.retries == 1 else 10_000.0


class ColdStartTest(testtools.TestCase):
    @in_loop
    async def test_lease_is_held_once_the_groups_are_listed(self):
        """The list of groups proves the primary; no copy has to be asked first."""

        async def never_renew(monitor, primary):
            await anyio.sleep_forever()

        async with running_world(nodes=1) as world:
            self.patch(PrimaryMonitor, "_renew_lease", never_renew)
            world.platform.era = None
            await world.restart_member(world.members[0])
            node = world.members[0].process.node
            renewal = node.primary_monitor("svc").lease.renewal
            self.assertEqual(world.group.primary().instance, renewal.upstream)

    @in_loop
    async def test_list_of_groups_renews_nothing_in_an_era_without_a_state(self):
        """The store may have returned from a copy that lacks a change of primary."""

        async def never_renew(monitor, primary):
            await anyio.sleep_forever()

        async with running_world(nodes=1) as world:
            self.patch(PrimaryMonitor, "_renew_lease", never_renew)
            await world.restart_member(world.members[0])
            node = world.members[0].process.node
            self.assertEqual(world.platform.era, node.store.era.number)
            self.assertIs(None, node.primary_monitor("svc").lease.renewal)

    @in_loop
    async def test_list_of_groups_renews_no_lease_of_a_replaced_primary(self):
        async with running_world(nodes=1) as world:
            node = world.members[0].process.node
            old = world.group.primary()
            monitor = node.primary_monitor("svc")
            asked_at_ms = now_ms()
            old.stop()
            await world.wait_until(lambda: node.state("svc") is not None)
            monitor.renew_from_listing(asked_at_ms)
            self.assertFalse(monitor.lease.is_held_by(old.instance, now_ms()))

    @in_loop
    async def test_first_answer_of_the_store_wakes_the_other_calls(self):
        async with running_world(nodes=1) as world:
            member = world.members[0]
            member.kill()
            await member.ended.wait()
            member.process = None
            self.patch(compose.random, "Random", _UnevenRandom)
            world.platform.faults.is_down = True
            world.start_member(member)
            await world.wait_until(lambda: member.log.events("store_lost"))
            world.platform.faults.is_down = False
            await world.wait_until_ready()

    @in_loop
    async def test_callers_do_not_wait_for_the_own_entry_after_a_restart(self):
        async def register_never(disseminator, own_item):
            await anyio.sleep_forever()

        async with running_world(nodes=1) as world:
            self.patch(Disseminator, "_ensure_registered", register_never)
            await world.restart_member(world.members[0])
