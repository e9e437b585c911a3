"""Entries of hosts that another program wrote, or that outlived their host.

One such entry used to cut the sessions of every caller at every host, or stayed among
the hosts that may own a database, since no call to its address ended as expected.
"""

import anyio
import testtools

from bronzescale_core.groups import GroupState, dump_group
from bronzescale_core.membership import Status
from bronzescale_standins.fleet.testing import in_loop
from bronzescale_standins.fleet.world import free_port, running_world

HOSTS_PATH = "bronzescale-hosts"
# Two heartbeats of a second that go unanswered for up to 0.8 s, and the rumor's way.
DOWN_WITHIN_S = 5.0
ODD_ADDRESSES = {
    "no number": "nowhere",
    "port too high": "127.0.0.1:99999",
    "port of digits": "127.0.0.1:" + "9" * 400,
    "port negative": "127.0.0.1:-1",
    "host foreign": "\u2603.0.0.1:80",
    "label too long": "a" * 70 + ":80",
    "empty": "",
}


def put_host(world, name, address, zone="a"):
    """Write the entry of a host."""
    entry = {"address": address, "zone": zone, "region": "north"}
    world.platform.put(HOSTS_PATH, name, entry)


async def check_every_session_is_served(world):
    """Check that callers at each host are served, in sessions of one statement each."""
    for member in world.members:
        for number in range(6):
            caller = await member.caller("lead")
            with anyio.fail_after(3):
                reply = await caller.query(f"WRITE x {number}")
                assert reply.code == "DONE", reply
                assert (await caller.query("READ x")).code == "DONE"
            await caller.close()


def statuses(world, name):
    """Return the status of a host as each process sees it; None if it knows none."""
    return [
        next(
            (
                rumor.status
                for rumor in member.process.node.membership.statuses()
                if rumor.node.name == name
            ),
            None,
        )
        for member in world.members
    ]


async def answer_http(stream):
    """Answer like a server of another protocol."""
    async with stream:
        try:
            await stream.send(b"HTTP/1.1 400 Bad Request\r\n\r\n")
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return


class OddHostTest(testtools.TestCase):
    # Guards against callers cut off without an answer since a host's entry is odd.
    @in_loop
    async def test_callers_are_served_beside_odd_addresses_of_hosts(self):
        for name, address in ODD_ADDRESSES.items():
            async with running_world() as world:
                put_host(world, name, address)
                await anyio.sleep(1.5)
                await check_every_session_is_served(world)
                await world.restart_all()
                await check_every_session_is_served(world)
                for member in world.members:
                    self.assertEqual([], member.log.events("task_failed"), name)
                    reported = member.log.events("object_unreadable")
                    self.assertEqual({name}, {event["name"] for event in reported})
                self.assertEqual([None] * 3, statuses(world, name), name)


class UnreachableHostTest(testtools.TestCase):
    # Guards against ranks held by hosts that are not there.
    async def check_taken_as_down(self, world, name, address):
        put_host(world, name, address)
        await check_every_session_is_served(world)
        await world.wait_until(
            lambda: statuses(world, name) == [Status.DOWN] * 3, DOWN_WITHIN_S
        )
        await check_every_session_is_served(world)
        (member, *_) = world.members
        await world.restart_member(member)
        await world.wait_until(
            lambda: statuses(world, name) == [Status.DOWN] * 3, DOWN_WITHIN_S
        )
        await check_every_session_is_served(world)

    @in_loop
    async def test_host_that_is_gone_for_good_is_down_within_the_bound(self):
        async with running_world() as world:
            await self.check_taken_as_down(world, "gone", f"127.0.0.1:{free_port()}")

    @in_loop
    async def test_host_in_an_unknown_zone_is_down_within_the_bound(self):
        async with running_world() as world:
            put_host(world, "far", f"127.0.0.1:{free_port()}", "elsewhere")
            await world.wait_until(
                lambda: statuses(world, "far") == [Status.DOWN] * 3, DOWN_WITHIN_S
            )

    @in_loop
    async def test_address_where_something_else_answers_is_down_within_the_bound(self):
        async with running_world() as world:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            world.tasks.start_soon(listener.serve, answer_http)
            await self.check_taken_as_down(world, "other", f"127.0.0.1:{port}")

    @in_loop
    async def test_address_of_another_host_is_down_within_the_bound(self):
        async with running_world() as world:
            port = world.members[0].peer_port
            await self.check_taken_as_down(world, "double", f"127.0.0.1:{port}")

    @in_loop
    async def test_host_that_starts_learns_which_hosts_are_down(self):
        async with running_world(nodes=9) as world:
            put_host(world, "gone", f"127.0.0.1:{free_port()}")
            await world.wait_until(
                lambda: statuses(world, "gone") == [Status.DOWN] * 9, 2 * DOWN_WITHIN_S
            )
            # It sends no heartbeats to the host itself.
            restarted = next(
                member
                for member in world.members
                if all(
                    node.name != "gone"
                    for node in member.process.node.membership.heartbeat_targets()
                )
            )
            # The rumors of the first minutes have ended.
            for member in world.members:
                member.process.node.membership.outgoing_rumors = list
            await world.restart_member(restarted)
            await world.wait_until(
                lambda: statuses(world, "gone") == [Status.DOWN] * 9, DOWN_WITHIN_S
            )


class OddNeighbourTest(testtools.TestCase):
    # Guards against a state that replaces the one of a service of another name.
    @in_loop
    async def test_state_under_another_name_does_not_replace_a_group(self):
        async with running_world() as world:
            state = dump_group(GroupState("svc", 2**40, "d9"))
            world.platform.put("bronzescale-groups", "other", state)
            nodes = [member.process.node for member in world.members]
            await world.wait_until(
                lambda: all(m.log.events("object_unreadable") for m in world.members)
            )
            for node in nodes:
                known = node.state("svc")
                self.assertTrue(known is None or known.term < 2**40)
            await check_every_session_is_served(world)

    # Guards against a task that fails at each heartbeat since a seed is no address.
    @in_loop
    async def test_odd_seed_is_left_out_and_named(self):
        async with running_world() as world:
            seeds = (*world.seeds(), "nowhere", "127.0.0.1:99999")
            world.seeds = lambda: seeds
            (member, *_) = world.members
            member.log.lines.clear()
            await world.restart_member(member)
            named = [fields["address"] for fields in member.log.events("seed_unusable")]
            self.assertEqual(["nowhere", "127.0.0.1:99999"], named)
            self.assertEqual([], member.log.events("task_failed"))
            await check_every_session_is_served(world)
