"""A node with much to do answers some requests late; it has not failed.

The load: hundreds of statements wait for a change of primary and run at once after it.
"""

import anyio
import testtools

from bronzescale_proxy import wire
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import PeerUnavailableError
from bronzescale_proxy.fleet import node as node_module
from bronzescale_proxy.fleet.serving import FleetService
from bronzescale_standins.fleet.testing import in_loop
from bronzescale_standins.fleet.world import running_world


class BusyPeerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.answered_services = set()
        answer = FleetService.__call__

        async def answer_some(service, message, channel):
            is_head = isinstance(message, wire.HeadRequest)
            if is_head and message.service not in self.answered_services:
                await anyio.sleep_forever()
            await answer(service, message, channel)

        self.patch(FleetService, "__call__", answer_some)
        self.patch(node_module, "PING_TIMEOUT_S", 0.3)

    @in_loop
    async def test_a_peer_that_answers_other_requests_is_alive(self):
        self.answered_services.add("other")
        async with running_world(nodes=2) as world:
            node, peer = (m.process.node for m in world.members)
            target = peer.membership.own

            async def ask_for_others():
                while True:
                    await node.peers.request(target, wire.HeadRequest("other", 0), 5)
                    await anyio.sleep(0.02)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask_for_others)
                self.assertTrue(await node.ping(target))
                tasks.cancel_scope.cancel()

    @in_loop
    async def test_a_silent_peer_is_not(self):
        async with running_world(nodes=2) as world:
            node, peer = (m.process.node for m in world.members)
            target = peer.membership.own
            # Its heartbeats would be heard, too.
            node.membership.heartbeat_targets = list
            await node.peers.connect(target)
            await world.wait_until(
                lambda: not node.peers.has_heard_since(target, now_ms() - 500)
            )
            self.assertFalse(await node.ping(target))

    @in_loop
    async def test_a_peer_whose_connection_ended_is_not(self):
        async with running_world(nodes=2) as world:
            node, peer = (m.process.node for m in world.members)
            target = peer.membership.own
            asked_at_ms = now_ms()
            self.answered_services.add("other")
            await node.peers.request(target, wire.HeadRequest("other", 0), 5)
            self.assertTrue(node.peers.has_heard_since(target, asked_at_ms))
            world.members[1].kill()
            await world.members[1].ended.wait()
            try:
                await node.peers.request(target, wire.HeadRequest("", 0), 1)
            except PeerUnavailableError:
                pass
            self.assertFalse(node.peers.has_heard_since(target, asked_at_ms))
