"""Watches of the store whose answers are lost while changes follow each other.

Every watcher of the fleet used to wait for up to 21.5 s with a watch that nothing would
answer, so that no host learned of a change (review case 3).
"""

import anyio
import testtools

from bronzescale_standins.fleet.testing import in_loop
from bronzescale_standins.fleet.world import ROUTES, running_world

# `bounds.config_apply_ms` of the smallest deployments.
IN_FORCE_WITHIN_S = 4.0
KINDS = {"config": "configuration", "servers": "upstreams"}


def versions(world):
    return {member.process.node.configuration.version for member in world.members}


async def blind_all_watches(world, kind):
    """Let every watch of a kind lose its answer to a change."""
    watches = world.platform.faults.kinds_with_lost_watches
    watches.add(kind)
    if kind == "config":
        world.configure()
    else:
        world.sends_heartbeats = False
        database = world.group.databases["d3"]
        database.slots += 1
        world.register(database)
    await anyio.sleep(0.3)
    watches.clear()


class LostWatchTest(testtools.TestCase):
    async def check_added_route_is_served(self, world):
        """Add a route; every host must serve it in time."""
        world.configure((*ROUTES, {**ROUTES[0], "host": "added"}))
        await anyio.sleep(IN_FORCE_WITHIN_S)
        for member in world.members:
            caller = await member.caller("added")
            self.assertEqual("DONE", (await caller.query("READ x")).code)

    # Guards against an added route that is refused long after its acknowledgement.
    @in_loop
    async def test_added_route_is_served_in_time_after_lost_answers(self):
        async with running_world() as world:
            await anyio.sleep(1.0)
            await blind_all_watches(world, "config")
            await self.check_added_route_is_served(world)

    # The same while the host that checks the other hosts' watches is cut off.
    @in_loop
    async def test_added_route_is_served_in_time_while_the_checker_is_cut_off(self):
        async with running_world() as world:
            links = await world.restart_behind_links()
            await anyio.sleep(2.0)
            checkers = [
                member
                for member in world.members
                if member.process.dump()["watches"]["is_checker"]
            ]
            self.assertEqual(1, len(checkers))
            await blind_all_watches(world, "config")
            links.cut({frozenset((checkers[0].name, "store"))})
            await self.check_added_route_is_served(world)

    @in_loop
    async def test_change_after_lost_answers_is_in_force_in_time(self):
        for nodes in (3, 7):
            async with running_world(nodes=nodes) as world:
                await anyio.sleep(1.0)
                await blind_all_watches(world, "config")
                world.configure(ROUTES[:2])
                await world.wait_until(
                    lambda: versions(world) == {world.version}, IN_FORCE_WITHIN_S
                )
                for member in world.members:
                    with testtools.ExpectedException(
                        ConnectionRefusedError, ".*NODB.*"
                    ):
                        await member.caller(ROUTES[2]["host"])

    @in_loop
    async def test_leaving_database_is_known_in_time_after_lost_answers(self):
        async with running_world() as world:
            await anyio.sleep(1.0)
            await blind_all_watches(world, "servers")
            database = world.group.databases["d2"]
            database.is_leaving = True
            world.register(database)
            catalogs = [member.process.node.catalog for member in world.members]
            await world.wait_until(
                lambda: all(catalog.find("d2").is_leaving for catalog in catalogs),
                IN_FORCE_WITHIN_S,
            )

    @in_loop
    async def test_watcher_that_lost_an_answer_sees_the_next_change_itself(self):
        """What a peer sends shows that an answer was lost."""
        async with running_world() as world:
            await anyio.sleep(1.0)
            await blind_all_watches(world, "config")
            await world.wait_until(lambda: versions(world) == {world.version}, 4)
            # The checker has found the change; the others send their watches again.
            await anyio.sleep(1.5)
            pushed = []
            for member in world.members:
                member.process.node.push = lambda *a, **k: pushed.append(a)
                member.process.node.membership.heartbeat_targets = list
            world.configure()
            await world.wait_until(lambda: versions(world) == {world.version}, 0.5)

    @in_loop
    async def test_calm_store_is_asked_by_one_checker_only(self):
        async with running_world(nodes=6) as world:
            world.sends_heartbeats = False
            await anyio.sleep(2.0)
            calls = world.platform.calls
            await anyio.sleep(4.0)
            # One watch of 1.4 s at a time, and no other call.
            self.assertLessEqual(world.platform.calls - calls, 4)
