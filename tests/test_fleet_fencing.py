"""Test that an old primary stays fenced until another copy is promoted.

A copy that is paused for a new term no longer confirms the lease of the old primary.
"""

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
    def test_restarted_copy_is_paused_again_before_its_promotion(self):
        """A copy that restarts forgets its pause and would confirm the old primary."""
        paused_terms = []

        async def run():
            async with running_world() as world:
                group = world.group
                promote_original = group.promote

                async def promote(instance, holder, token):
                    paused_terms.append(group.databases[instance].paused_term)
                    return await promote_original(instance, holder, token)

                self.patch(group, "promote", promote)
                replicas = [d for d in group.databases.values() if not d.is_primary]
                group.primary().stop()
                await world.wait_until(lambda: any(d.paused_term for d in replicas))
                await anyio.sleep(0.2)
                for replica in replicas:
                    replica.paused_term = 0
                await world.wait_until(lambda: bool(paused_terms))

        anyio.run(run)
        self.assertTrue(paused_terms[0] > 0, paused_terms)


class TestUnresponsivePrimary(testtools.TestCase):
    """A primary that is cut off does not answer, and must not delay its replacement."""

    def test_promotion_does_not_wait_for_commands_to_the_old_primary(self):
        promotion_requested = anyio.Event()
        # Longer than `world.wait_until` waits: waiting for the primary fails the test.
        self.patch(CopyControl.run_command, "__defaults__", (60.0,))
        self.patch(open_connection, "__defaults__", (60.0,))

        async def run():
            async with running_world() as world:
                promote_original = world.group.promote

                async def promote(instance, holder, token):
                    promotion_requested.set()
                    return await promote_original(instance, holder, token)

                self.patch(world.group, "promote", promote)
                world.group.primary().is_silent = True
                await world.wait_until(promotion_requested.is_set)

        anyio.run(run)
        self.assertTrue(promotion_requested.is_set())


class TestRivalDrivers(testtools.TestCase):
    def test_claim_of_another_node_is_not_replaced_before_it_expires(self):
        """A second driver must not restart a change that was claimed meanwhile.

        The claim can arrive while the second driver still collects the copies' status.
        """

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
    def test_copy_that_missed_the_resume_command_is_resumed_later(self):
        """A copy that stays paused receives no log and falls behind for good."""

        async def run():
            async with running_world() as world:
                group = world.group
                group.primary().stop()
                await world.wait_until(lambda: _has_change_ended(world))
                running = [d for d in group.databases.values() if d.is_running]
                replica = next(d for d in running if not d.is_primary)
                await world.wait_until(lambda: not replica.paused_term)
                # As if the driver's command to resume had been lost.
                replica.paused_term = (
                    world.members[0].process.node.state(group.service).fenced_term
                )
                await world.wait_until(lambda: not replica.paused_term)

        anyio.run(run)

    def test_copy_paused_for_a_newer_change_is_not_resumed(self):
        async def run():
            async with running_world() as world:
                group = world.group
                group.primary().stop()
                await world.wait_until(lambda: _has_change_ended(world))
                running = [d for d in group.databases.values() if d.is_running]
                replica = next(d for d in running if not d.is_primary)
                await world.wait_until(lambda: not replica.paused_term)
                state = world.members[0].process.node.state(group.service)
                replica.paused_term = state.fenced_term + 1
                await anyio.sleep(4 * LEASE_RENEWAL_INTERVAL_MS / 1_000)
                self.assertEqual(state.fenced_term + 1, replica.paused_term)

        anyio.run(run)


def _has_change_ended(world):
    """Return whether every node knows that a change of primary has ended."""
    states = [m.process.node.state(world.group.service) for m in world.members]
    return all(
        state is not None and state.phase is Phase.ACTIVE and state.fenced_term
        for state in states
    )
