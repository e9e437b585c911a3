"""Discovery of configurations, databases and nodes as they come and go."""

from copy import deepcopy

import anyio
import testtools

from bronzescale_core.membership import HEARTBEAT_TIMEOUT_MS
from bronzescale_core.work import WorkAnswer
from bronzescale_proxy.fleet.compose import LOAD_BALANCER_NOTICE_MS
from bronzescale_proxy.fleet.dissemination import WATCHED_KINDS
from bronzescale_proxy.fleet.node import CONFIGURATION, MAIN_NAME
from bronzescale_proxy.peers import PeerChannel
from bronzescale_standins.fleet.database import Group
from bronzescale_standins.fleet.testing import in_loop
from bronzescale_standins.fleet.world import ROUTES, running_world


class DiscoveryTest(testtools.TestCase):
    @in_loop
    async def test_each_new_configuration_comes_into_force_on_all_nodes(self):
        async with running_world() as world:
            world.configure((*ROUTES, {"host": "later", "type": "primary"}))
            versions = lambda: {  # noqa: E731
                m.process.node.configuration.version for m in world.members
            }
            await world.wait_until(lambda: versions() == {world.version})
            caller = await world.members[2].caller("later")
            self.assertTrue((await caller.query("READ x")).is_done)
            world.configure(ROUTES)
            await world.wait_until(lambda: versions() == {world.version})
            self.assertEqual("NODB", (await caller.query("READ x")).code)

    @in_loop
    async def test_objects_are_listed_again_after_a_compaction(self):
        async with running_world() as world:
            world.platform.compact()
            world.configure((*ROUTES, {"host": "later", "type": "primary"}))
            await world.wait_until(
                lambda: all(
                    m.process.node.configuration.version == world.version
                    for m in world.members
                )
            )

    @in_loop
    async def test_node_that_starts_without_the_store_synchronizes_from_peers(self):
        async with running_world() as world:
            world.platform.faults.is_down = True
            member = world.members[0]
            member.kill()
            await member.ended.wait()
            member.process = None
            world.start_member(member)
            await world.wait_until_ready([member])
            caller = await member.caller("own")
            self.assertTrue((await caller.query("READ x")).is_done)

    @in_loop
    async def test_equal_configuration_from_a_peer_is_not_applied_again(self):
        async with running_world() as world:
            node = world.members[0].process.node
            known = node.objects[CONFIGURATION, MAIN_NAME]
            node.configuration = None
            node.apply_object(known._replace(value=deepcopy(known.value)))
            self.assertIsNone(node.configuration)

    @in_loop
    async def test_one_kind_asks_whether_the_store_is_back_and_wakes_the_others(self):
        """Pattern: the store is away, and every watcher asks again for every kind."""
        async with running_world() as world:
            world.platform.faults.is_down = True
            member = world.members[0]
            await world.restart_member(member)
            await world.wait_until_ready([member])
            lists = []
            list_kind = member.process.node.store.list

            async def count(kind):
                lists.append(kind)
                return await list_kind(kind)

            member.process.node.store.list = count
            await anyio.sleep(2.0)
            self.assertLessEqual(len(lists), 8, lists)
            world.platform.faults.is_down = False
            lists.clear()
            with anyio.fail_after(1.5):
                while set(lists) != set(WATCHED_KINDS):
                    await anyio.sleep(0.02)

    @in_loop
    async def test_entries_that_lapsed_during_a_store_outage_are_still_used(self):
        async with running_world() as world:
            world.platform.faults.is_down = True
            await anyio.sleep(0.3)
            world.sends_heartbeats = False
            for name in world.group.databases:
                world.platform.delete("servers", name)
            world.platform.faults.is_down = False
            await anyio.sleep(0.5)
            caller = await world.members[0].caller("own")
            self.assertTrue((await caller.query("READ x")).is_done)
            world.sends_heartbeats = True
            await anyio.sleep(2.6)
            self.assertTrue((await caller.query("READ x")).is_done)

    @in_loop
    async def test_missed_configuration_is_found_despite_newer_objects(self):
        """A newer group state must not hide that a node missed a configuration.

        Comparing only the newest revision of all objects would do that.
        """
        async with running_world(nodes=6) as world:
            member = world.members[0]
            node = member.process.node
            stale = node.objects[("configuration", "main")]
            world.configure((*ROUTES, {"host": "later", "type": "primary"}))
            await world.wait_until(lambda: node.configuration.version == world.version)
            node.configuration = node.configuration._replace(version=1)
            node.objects[("configuration", "main")] = stale
            newer = stale._replace(kind="groups", name="x", version=10_000, value={})
            node.objects[("groups", "x")] = newer
            await world.wait_until(
                lambda: node.configuration.version == world.version, 4
            )


class SilentSeedTest(testtools.TestCase):
    """Many nodes start at once, and their seeds are too busy to answer in time."""

    @in_loop
    async def test_seed_is_contacted_once_at_a_time(self):
        async with running_world() as world:
            for member in world.members:
                member.kill()
                await member.ended.wait()
            world.platform.faults.is_down = True
            contacts = []
            async with anyio.create_task_group() as tasks:
                port = world.members[0].peer_port
                tasks.start_soon(accept_silently, port, contacts)
                world.start_member(world.members[2])
                await anyio.sleep(4 * HEARTBEAT_TIMEOUT_MS / 1_000)
                tasks.cancel_scope.cancel()
            self.assertTrue(2 <= len(contacts) <= 4, len(contacts))


async def accept_silently(port, streams):
    async def keep_open(stream):
        streams.append(stream)
        await anyio.sleep_forever()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
    async with listener:
        await listener.serve(keep_open)


class LeavingDatabaseTest(testtools.TestCase):
    @in_loop
    async def test_transaction_can_commit_after_its_database_was_removed(self):
        async with running_world() as world:
            caller = await world.members[0].caller("aged")
            await caller.query("BEGIN READ")
            self.assertTrue((await caller.query("READ x")).is_done)
            (read,) = (e for e in world.group.history if e.kind == "read")
            world.sends_heartbeats = False
            world.platform.delete("servers", read.instance)
            catalog = world.members[0].process.node.catalog
            await world.wait_until(lambda: catalog.find(read.instance) is None)
            self.assertTrue((await caller.query("READ x")).is_done)
            self.assertTrue((await caller.query("COMMIT")).is_done)

    @in_loop
    async def test_reads_avoid_a_leaving_replica(self):
        async with running_world() as world:
            caller = await world.members[1].caller("aged")
            world.group.databases["d2"].is_leaving = True
            catalog = world.members[1].process.node.catalog
            await world.wait_until(lambda: catalog.find("d2").is_leaving)
            before = len(world.group.history)
            for _ in range(10):
                self.assertTrue((await caller.query("READ x")).is_done)
            used = {e.instance for e in world.group.history[before:]}
            self.assertNotIn("d2", used)


class StoppingTest(testtools.TestCase):
    @in_loop
    async def test_stopping_node_interrupts_no_statement(self):
        async with running_world(work_s=0.01) as world:
            member = world.members[0]
            callers = [await member.caller("own") for _ in range(6)]
            interrupted = []

            async def read_repeatedly(caller):
                for _ in range(1_000):
                    try:
                        await caller.query("READ x", timeout_s=4)
                    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                        return
                    except TimeoutError:
                        interrupted.append(caller)
                        return
                    await anyio.sleep(0.01)

            async with anyio.create_task_group() as tasks:
                for caller in callers:
                    tasks.start_soon(read_repeatedly, caller)
                await anyio.sleep(0.3)
                member.process.request_stop()
                self.assertFalse(member.process.is_ready())
                with anyio.fail_after(5):
                    await member.ended.wait()
            self.assertEqual([], interrupted)

    @in_loop
    async def test_open_transaction_can_commit_while_its_node_stops(self):
        async with running_world() as world:
            member = world.members[0]
            caller = await member.caller("lead")
            await caller.query("BEGIN")
            await caller.query("WRITE x 1")
            member.process.request_stop()
            await anyio.sleep(1.0)
            await caller.query("WRITE x 2")
            answer = await caller.query("COMMIT")
            self.assertEqual("DONE", answer.code)


class StoppingOwnerTest(testtools.TestCase):
    @in_loop
    async def test_relayed_statement_gets_its_answer_from_a_stopping_owner(self):
        """The owner is idle again before its answer has left."""
        send_original = PeerChannel.send

        async def send_late(channel, message):
            if isinstance(message, WorkAnswer):
                await anyio.sleep(0.15)
            await send_original(channel, message)

        self.patch(PeerChannel, "send", send_late)
        async with running_world(nodes=6) as world:
            front_end, owner = world.members[0], world.members[3]
            node = front_end.process.node
            # As if the news that the owner leaves arrived late.
            owner_node = next(n for n in node.membership.live_nodes() if n.name == "n4")
            find_owners = node.owners_of
            node.owners_of = lambda instance: [owner_node]
            answers = []

            async def write_repeatedly(number):
                caller = await front_end.caller("lead")
                while not owner.ended.is_set():
                    answers.append(await caller.query(f"WRITE k{number} 1"))
                    await anyio.sleep(0.01)

            async with anyio.create_task_group() as tasks:
                for number in range(8):
                    tasks.start_soon(write_repeatedly, number)
                await anyio.sleep(0.3)
                owner.process.request_stop()
                await anyio.sleep(LOAD_BALANCER_NOTICE_MS / 1_000 - 0.05)
                node.owners_of = find_owners
            unknown = [answer.text for answer in answers if answer.code == "UNKNOWN"]
            self.assertEqual([], unknown)
            self.assertTrue(any(answer.is_done for answer in answers))


class ReusedIdentityTest(testtools.TestCase):
    """Guard against databases that reuse an address or a name with other data.

    Nodes know a database by its entry in the store, which may be out of date when
    another database listens at its address or when it restarts without its data.
    """

    @in_loop
    async def test_database_at_a_reused_address_runs_no_statements(self):
        async with running_world() as world:
            # The entry stays, as if the store were slow to remove it.
            world.sends_heartbeats = False
            stopped = world.group.databases["d2"]
            stopped.stop()
            await world.wait_until(lambda: not stopped.is_listening)
            other_group = Group("svc")
            other_database = other_group.add("x1", stopped.zone)
            other_database.port = stopped.port
            await world.start_database(other_database)
            for member in world.members:
                caller = await member.caller("aged")
                for _ in range(10):
                    self.assertTrue((await caller.query("READ x")).is_done)
            self.assertEqual([], [e for e in other_group.history if e.kind == "read"])

    @in_loop
    async def test_database_restarted_empty_serves_no_reads_of_older_data(self):
        async with running_world() as world:
            callers = [await member.caller("own") for member in world.members]
            for number, caller in enumerate(callers):
                self.assertTrue((await caller.query(f"WRITE k{number} 1")).is_done)
            restarted = world.group.databases["d3"]
            restarted.stop()
            await world.wait_until(lambda: not restarted.is_listening)
            restarted.log.clear()
            restarted.received_at.clear()
            restarted.started_at_ms += 1_000
            restarted.is_replication_stopped = True
            await world.start_database(restarted)
            for number, caller in enumerate(callers):
                for _ in range(10):
                    read = await caller.query(f"READ k{number}")
                    self.assertEqual(("1",), read.rows)
