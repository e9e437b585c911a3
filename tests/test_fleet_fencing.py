"""The pause that fences an old primary must hold until the order to promote."""

import anyio
import testtools

from bronzescale_core.groups import GroupState, Phase
from bronzescale_core.primary_lease import LEASE_RENEWAL_INTERVAL_MS
from bronzescale_core.succession import Cause, Trigger
from bronzescale_proxy.fleet.control import CopyControl
from bronzescale_proxy.fleet.promotion import ClaimLostError, Promoter
from bronzescale_proxy.fleet.upstream import open_connection
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


class TestSilentPrimary(testtools.TestCase):
    """A primary that is cut off answers nothing; nobody waits for it."""

    def test_order_is_given_before_orders_to_the_primary_time_out(self):
        ordered = anyio.Event()
        # Far longer than the world waits: whoever awaits the primary fails the test.
        self.patch(CopyControl.run_command, "__defaults__", (60.0,))
        self.patch(open_connection, "__defaults__", (60.0,))

        async def run():
            async with running_world() as world:
                order = world.group.promote

                async def promote(instance, holder, token):
                    ordered.set()
                    return await order(instance, holder, token)

                self.patch(world.group, "promote", promote)
                world.group.primary().is_silent = True
                await world.until(ordered.is_set)

        anyio.run(run)
        self.assertTrue(ordered.is_set())


class TestRivalDrivers(testtools.TestCase):
    def test_claim_of_another_node_is_left_alone_until_it_is_overdue(self):
        """A driver that surveyed meanwhile must not start the change anew."""

        async def run():
            async with running_world() as world:
                node = world.members[0].process.node
                service = world.group.service
                primary = world.group.primary().instance
                promoter = Promoter(node, None, service)
                rival = GroupState(
                    service=service,
                    term=7,
                    primary=primary,
                    phase=Phase.FENCING,
                    writer="rival",
                    nonce="rival:1",
                    reason="down",
                    version=0,
                )
                await node.write_state(rival)
                trigger = Trigger(Cause.DOWN, primary, "3 probes unanswered")
                with self.assertRaises(ClaimLostError):
                    await promoter._claim(trigger, [])
                self.assertEqual("rival", node.state(service).writer)

        anyio.run(run)


class TestLeftOverPause(testtools.TestCase):
    def test_copy_that_missed_its_release_is_resumed_later(self):
        """A copy that stays paused falls behind for good."""

        async def run():
            async with running_world() as world:
                group = world.group
                group.primary().stop()
                await world.until(lambda: _is_change_over(world))
                left = [d for d in group.databases.values() if d.is_running]
                replica = next(d for d in left if not d.is_primary)
                await world.until(lambda: not replica.held_term)
                # As if the driver's order had been lost.
                replica.held_term = (
                    world.members[0].process.node.state(group.service).fenced_term
                )
                await world.until(lambda: not replica.held_term)

        anyio.run(run)

    def test_pause_of_a_newer_change_is_left_alone(self):
        async def run():
            async with running_world() as world:
                group = world.group
                group.primary().stop()
                await world.until(lambda: _is_change_over(world))
                left = [d for d in group.databases.values() if d.is_running]
                replica = next(d for d in left if not d.is_primary)
                await world.until(lambda: not replica.held_term)
                state = world.members[0].process.node.state(group.service)
                replica.held_term = state.fenced_term + 1
                await anyio.sleep(4 * LEASE_RENEWAL_INTERVAL_MS / 1_000)
                self.assertEqual(state.fenced_term + 1, replica.held_term)

        anyio.run(run)


def _is_change_over(world):
    """Return whether every node knows of a change of primary that has ended."""
    states = [m.process.node.state(world.group.service) for m in world.members]
    return all(
        state is not None and state.phase is Phase.ACTIVE and state.fenced_term
        for state in states
    )
