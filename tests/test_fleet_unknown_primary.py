"""A service whose primary no running process has known.

The primary is lost before its first change, and every process ends before the loss is
confirmed. When the processes are back, only replicas are registered.
"""

import testtools

from bronzescale_core.groups import GroupState, Phase, dump_group
from bronzescale_proxy.exceptions import StoreError
from bronzescale_proxy.fleet import promotion
from bronzescale_standins.fleet.testing import in_loop
from bronzescale_standins.fleet.world import running_world

GROUP_KEY = ("bronzescale-groups", "svc")


async def lose_primary_and_processes(world):
    """Stop the primary and every node before any of them acts; start the nodes."""
    for member in world.members:
        member.kill()
        await member.ended.wait()
        member.process = None
    primary = world.group.primary()
    primary.stop()
    await world.wait_until(lambda: not primary.is_running)
    world.register(primary)
    return primary


async def start_nodes(world):
    for member in world.members:
        world.start_member(member)
    await world.wait_until_ready()


async def write_is_served(world):
    caller = await world.members[0].caller("lead")
    return (await caller.query("WRITE x 1")).is_done


class UnknownPrimaryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(promotion, "NO_PRIMARY_GRACE_MS", 500)

    def active_state(self, world):
        states = {member.process.node.state("svc") for member in world.members}
        return states.pop() if len(states) == 1 else None

    async def wait_for_primary(self, world, lost):
        """Wait until every node knows a primary other than the lost one."""

        def is_replaced():
            state = self.active_state(world)
            return state is not None and state.phase is Phase.ACTIVE

        await world.wait_until(is_replaced, 15)
        state = self.active_state(world)
        self.assertEqual(world.group.primary().instance, state.primary)
        self.assertNotEqual(lost.instance, state.primary)

    @in_loop
    async def test_service_without_a_known_primary_gets_one(self):
        """Guards against a claim that its own writer cannot read (review case 6)."""
        async with running_world() as world:
            lost = await lose_primary_and_processes(world)
            await start_nodes(world)
            await self.wait_for_primary(world, lost)
            self.assertTrue(await write_is_served(world))
            for member in world.members:
                self.assertEqual([], member.log.events("object_unreadable"))
                self.assertEqual([], member.log.events("task_failed"))

    @in_loop
    async def test_claim_that_an_earlier_release_left_open_is_finished(self):
        """Guards against a service that stays without a primary after an upgrade."""
        async with running_world() as world:
            lost = await lose_primary_and_processes(world)
            claim = GroupState("svc", 2, "", Phase.FENCING, "n1", "n1:1")
            world.platform.put(*GROUP_KEY, dump_group(claim))
            await start_nodes(world)
            await self.wait_for_primary(world, lost)
            self.assertTrue(await write_is_served(world))

    @in_loop
    async def test_no_state_is_written_that_no_node_could_read(self):
        """Guards against an object that has to be deleted by hand."""
        async with running_world(nodes=1) as world:
            node = world.members[0].process.node
            for state in (
                GroupState("svc", 2, "", Phase.ACTIVE),
                GroupState("svc", 2**62 + 1, "d2"),
                GroupState("svc", 2, "d2", reason="half \ud800"),
            ):
                try:
                    await node.write_state(state)
                except StoreError as error:
                    self.assertIn("was not written", str(error))
                else:
                    self.fail(f"{state!a} was written")
                self.assertIsNone(world.platform.get(*GROUP_KEY))
