"""The primary crashes while a replica that confirmed commits is about to end.

With confirming replicas, a leaving replica continues to receive and to confirm commits,
so it may be the only copy that holds some of them.
"""

import testtools

from bronzescale_core.groups import Phase
from bronzescale_standins.fleet.testing import in_loop
from bronzescale_standins.fleet.world import running_world

SAVES = 8


async def require_confirmation(world):
    """Let commits be acknowledged only once a replica has received them."""
    world.sync_replicas = 1
    world.configure()
    await world.wait_until(
        lambda: all(
            m.process.node.configuration.version == world.version for m in world.members
        )
    )


class LeavingReplicaTest(testtools.TestCase):
    @in_loop
    async def test_commits_that_only_a_leaving_replica_confirmed_are_kept(self):
        """Guards against the loss of acknowledged commits (review case 7)."""
        async with running_world() as world:
            primary, leaving, behind = world.group.databases.values()
            await require_confirmation(world)
            leaving.is_leaving = True
            nodes = [member.process.node for member in world.members]
            await world.wait_until(
                lambda: all(n.catalog.find(leaving.instance).is_leaving for n in nodes)
            )
            behind.is_replication_stopped = True
            caller = await world.members[0].caller("lead")
            saved = set()
            for number in range(SAVES):
                answer = await caller.query(f"WRITE x {number}")
                self.assertTrue(answer.is_done)
                saved.add(answer.request_id)
            await world.wait_until(lambda: leaving.log == primary.log)
            primary.stop()
            await world.wait_until(lambda: world.group.primary() is not primary)
            promoted = world.group.primary()
            kept = {entry.request_id for entry in promoted.log}
            self.assertEqual(set(), saved - kept)
            behind.is_replication_stopped = False

            def is_handed_over():
                states = [node.state("svc") for node in nodes]
                return all(
                    state.phase is Phase.ACTIVE and state.primary == behind.instance
                    for state in states
                )

            await world.wait_until(is_handed_over, 15)
            kept = {entry.request_id for entry in behind.log}
            self.assertEqual(set(), saved - kept)
            caller = await world.members[1].caller("lead")
            self.assertTrue((await caller.query("WRITE x last")).is_done)
