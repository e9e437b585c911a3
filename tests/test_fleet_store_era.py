"""The store returns from an older copy: what it lost, and what is written again.

The stand-in store restores a copy some seconds old and gives its revisions out again.
"""

import time

import anyio
import testtools

from bronzescale_core.groups import Phase
from bronzescale_core.primary_lease import PRIMARY_LEASE_MS
from bronzescale_core.store_era import CONFIRMATION_STEP_MS, SETTLE_MS, era_of
from bronzescale_standins.fleet.testing import in_loop
from bronzescale_standins.fleet.world import ROUTES, running_world

# `bounds.config_apply_ms` of the smallest deployments.
IN_FORCE_WITHIN_S = 4.0
GROUP_KEY = ("bronzescale-groups", "svc")


def stored_group(world):
    document = world.platform.get(*GROUP_KEY)
    return document and document["spec"]


def known_states(world):
    return [m.process.node.state("svc") for m in world.members if m.process]


async def replace_primary(world):
    """Stop the primary and wait until every node knows its successor."""
    old = world.group.primary()
    old.stop()
    await world.wait_until(
        lambda: all(
            state is not None
            and state.phase is Phase.ACTIVE
            and state.primary != old.instance
            for state in known_states(world)
        ),
        15,
    )
    return old


class LostObjectsTest(testtools.TestCase):
    @in_loop
    async def test_configuration_in_force_does_not_revert(self):
        async with running_world() as world:
            copied_at_s = time.monotonic()
            await anyio.sleep(0.05)
            world.configure((*ROUTES, {"host": "later", "type": "primary"}))
            versions = lambda: {  # noqa: E731
                m.process.node.configuration.version for m in world.members
            }
            await world.wait_until(lambda: versions() == {world.version})
            in_force = world.version
            world.platform.restore_copy(time.monotonic() - copied_at_s)
            self.assertIsNot(None, world.platform.get("config", "main"))
            restarted = world.members[2]
            restarted.kill()
            await restarted.ended.wait()
            restarted.process = None
            world.start_member(restarted)
            for _ in range(40):
                self.assertEqual(in_force, min(list(versions_of(world.members[:2]))))
                await anyio.sleep(0.05)
            # The node that started meanwhile learns the newer one from its peers.
            await world.wait_until(lambda: versions() == {in_force}, 5)

    @in_loop
    async def test_new_configuration_with_a_reused_revision_comes_into_force(self):
        async with running_world() as world:
            for _ in range(30):
                world.configure()
            await anyio.sleep(0.5)
            world.platform.restore_copy(0.9)
            world.configure((*ROUTES, {"host": "later", "type": "primary"}))
            await world.wait_until(
                lambda: all(
                    m.process.node.configuration.version == world.version
                    for m in world.members
                ),
                4,
            )

    # Guards against an added route that stays unknown, since every watch waits at a
    # revision that the store has given out again.
    @in_loop
    async def test_route_below_a_reused_revision_is_served_in_time(self):
        async with running_world() as world:
            world.sends_heartbeats = False
            await anyio.sleep(1.0)
            copied_at_s = time.monotonic()
            for _ in range(10):
                world.configure()
            await world.wait_until(
                lambda: {*versions_of(world.members)} == {world.version}
            )
            await anyio.sleep(0.5)
            watched_revision = world.platform.revision
            world.platform.restore_copy(time.monotonic() - copied_at_s)
            world.configure((*ROUTES, {**ROUTES[0], "host": "added"}))
            while world.platform.revision < watched_revision:
                world.platform.put("other", "entry", world.platform.revision)
            await anyio.sleep(IN_FORCE_WITHIN_S)
            for member in world.members:
                caller = await member.caller("added")
                self.assertEqual("DONE", (await caller.query("READ x")).code)

    @in_loop
    async def test_nodes_whose_entries_were_lost_register_again(self):
        async with running_world(nodes=6) as world:
            names = {member.name for member in world.members}
            await world.wait_until(lambda: registered_hosts(world) == names)
            world.platform.restore_copy(30)
            self.assertEqual(set(), registered_hosts(world))
            await world.wait_until(lambda: registered_hosts(world) == names, 6)
            lost = [
                event
                for member in world.members
                for event in member.log.events("objects_lost")
                if event["kind"] == "hosts"
            ]
            self.assertTrue(any(event["missing"] for event in lost), lost)

    @in_loop
    async def test_leaving_database_gets_no_new_reads(self):
        async with running_world() as world:
            world.group.databases["d2"].is_leaving = True
            nodes = [member.process.node for member in world.members]
            await world.wait_until(
                lambda: all(node.catalog.find("d2").is_leaving for node in nodes)
            )
            world.sends_heartbeats = False
            world.platform.restore_copy(30)
            for name in world.group.databases:
                world.register_as_ready(name)
            caller = await world.members[1].caller("aged")
            before = len(world.group.history)
            for _ in range(20):
                self.assertTrue((await caller.query("READ x")).is_done)
                await anyio.sleep(0.05)
            used = {e.instance for e in world.group.history[before:]}
            self.assertNotIn("d2", used)


class LostPromotionTest(testtools.TestCase):
    @in_loop
    async def test_lost_promotion_is_written_back_once(self):
        async with running_world() as world:
            await replace_primary(world)
            primary = world.group.primary().instance
            world.platform.restore_copy(30)
            await world.restore_store(0.0, 0.1)
            await world.wait_until(
                lambda: (stored_group(world) or {}).get("primary") == primary, 12
            )
            confirmed = lambda: [  # noqa: E731
                event
                for member in world.members
                for event in member.log.events("state_confirmed")
                if event["is_written"] and event["era"] == world.platform.era
            ]
            await world.wait_until(confirmed)
            await anyio.sleep(1.0)
            self.assertEqual(1, len(confirmed()), confirmed())
            caller = await world.members[0].caller("lead")
            self.assertTrue((await caller.query("WRITE x 1")).is_done)

    @in_loop
    async def test_old_primary_serves_nothing_after_its_promotion_was_lost(self):
        """The store names the old primary again, which still believes that it leads."""
        async with running_world() as world:
            caller = await world.members[0].caller("lead")
            self.assertTrue((await caller.query("WRITE x 1")).is_done)
            old = world.group.primary()
            old.is_silent = old.is_replication_stopped = True
            await world.wait_until(lambda: world.group.primary() is not old, 15)
            await world.wait_until(
                lambda: all(s.phase is Phase.ACTIVE for s in known_states(world))
            )
            for member in world.members:
                member.kill()
                await member.ended.wait()
                member.process = None
            world.platform.restore_copy(30)
            await world.restore_store(0.0, 0.1)
            old.is_silent = False
            before = len(world.group.history)
            for member in world.members:
                world.start_member(member)
            await world.wait_until_ready()
            for _ in range(30):
                caller = await world.members[0].caller("lead")
                await caller.query("READ x")
                await caller.close()
                await anyio.sleep(0.1)
            used = {
                e.instance for e in world.group.history[before:] if e.kind == "read"
            }
            self.assertNotIn(old.instance, used)

    @in_loop
    async def test_tokens_increase_when_revisions_are_given_out_again(self):
        async with running_world() as world:
            first = await replace_primary(world)
            await world.start_database(first)
            first.is_primary = False
            world.platform.restore_copy(30)
            await world.restore_store(0.0, 0.1)
            await world.wait_until(lambda: stored_group(world) is not None, 12)
            await replace_primary(world)
            tokens = [e.detail[1] for e in world.group.history if e.kind == "order"]
            self.assertTrue(len(tokens) >= 2, tokens)
            self.assertEqual(sorted(set(tokens)), tokens)


class CutOffOwnerTest(testtools.TestCase):
    # Guards against saves that stop with a copy, since only the owner of the primary
    # wrote the state again and it could not reach the store.
    @in_loop
    async def test_saves_go_on_without_a_copy_while_the_owner_is_cut_off(self):
        async with running_world(nodes=6) as world:
            await replace_primary(world)
            links = await world.restart_behind_links()
            primary = world.group.primary().instance
            owner, other = owner_and_other(world, primary)
            links.cut({frozenset((owner.name, "store"))})
            world.platform.restore_copy(30)
            await world.restore_store(0.0, 0.1)
            confirmed_within_s = (SETTLE_MS + 2 * CONFIRMATION_STEP_MS) / 1_000
            await world.wait_until(
                lambda: (stored_group(world) or {}).get("primary") == primary,
                confirmed_within_s,
            )
            replica = next(
                database
                for database in world.group.databases.values()
                if database.is_running and database.instance != primary
            )
            replica.is_silent = True
            await anyio.sleep(PRIMARY_LEASE_MS / 1_000)
            caller = await other.caller("lead")
            for _ in range(5):
                self.assertEqual("DONE", (await caller.query("WRITE x 1")).code)
                await anyio.sleep(0.2)


class LostClaimTest(testtools.TestCase):
    @in_loop
    async def test_driver_whose_claim_was_lost_orders_nothing(self):
        async with running_world() as world:
            world.platform.faults.refuses_promotions = True
            world.group.primary().stop()
            await world.wait_until(lambda: stored_group(world) is not None)
            world.platform.restore_copy(30)
            era = world.platform.era
            await world.restore_store(0.0, 0.1)
            world.platform.faults.refuses_promotions = False
            await world.wait_until(
                lambda: any(e.kind == "order" for e in world.group.history), 15
            )
            orders = [e.detail[1] for e in world.group.history if e.kind == "order"]
            # Every claim of an older era is void.
            self.assertTrue(all(era_of(token) > era for token in orders), orders)
            await world.wait_until(
                lambda: all(
                    s is not None and s.phase is Phase.ACTIVE
                    for s in known_states(world)
                ),
                10,
            )


class SilentCopyTest(testtools.TestCase):
    """A copy is silent when the store returns; it may be a primary that was lost."""

    async def lose_state(self, world):
        silent = world.group.databases["d3"]
        silent.is_silent = True
        await world.restore_store(30, 0.1)
        return silent

    async def keep_writing(self, world, answers):
        while True:
            try:
                caller = await world.members[0].caller("lead")
                answers.append(await caller.query("WRITE x 1"))
                await caller.close()
            except (OSError, TimeoutError, anyio.EndOfStream):
                await anyio.sleep(0.05)

    async def check_saves_resume_after(self, world, act):
        """Check that saves wait while the copy is silent, and go on after `act`."""
        answers = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.keep_writing, world, answers)
            await anyio.sleep(SETTLE_MS / 1_000 + 1.5)
            self.assertFalse(answers[-1].is_done)
            orders = [e for e in world.group.history if e.kind == "order"]
            self.assertEqual([], orders)
            act()
            await world.wait_until(lambda: answers[-1].is_done, 4)
            tasks.cancel_scope.cancel()
        self.assertEqual("d1", world.group.primary().instance)

    @in_loop
    async def test_saves_wait_until_the_copy_answers(self):
        async with running_world() as world:
            silent = await self.lose_state(world)

            def answer():
                silent.is_silent = False

            await self.check_saves_resume_after(world, answer)

    @in_loop
    async def test_saves_wait_until_the_entry_of_the_copy_is_gone(self):
        async with running_world() as world:
            await self.lose_state(world)

            def unregister():
                world.sends_heartbeats = False
                world.platform.delete("servers", "d3")

            await self.check_saves_resume_after(world, unregister)


def owner_and_other(world, instance):
    """Return the node that owns a database and one that does not."""
    owns = {
        member.process.node.is_preferred_owner(instance): member
        for member in world.members
    }
    return owns[True], owns[False]


def versions_of(members):
    return [member.process.node.configuration.version for member in members]


def registered_hosts(world):
    return {
        name for kind, name in world.platform.list_keys() if kind == "bronzescale-hosts"
    }
