"""Reads of a stated age that arrive together while the primary does not answer."""

import anyio
import testtools

from bronzescale_proxy.clock import now_ms
from bronzescale_standins.fleet.testing import in_loop
from bronzescale_standins.fleet.world import running_world


class SharedHeadTest(testtools.TestCase):
    @in_loop
    async def test_reads_that_wait_together_share_a_failed_request(self):
        """Asked one after the other, the last of them would be refused very late."""
        async with running_world() as world:
            monitor = world.members[0].process.node.primary_monitor("svc")
            requests = []

            async def request_head(owner):
                requests.append(owner)
                await anyio.sleep(0.05)

            monitor._request_head = request_head
            owner_count = len(monitor._node.owners_of(monitor.primary))
            heads = []

            async def read():
                heads.append(await monitor.head_since(now_ms() + 60_000))

            async with anyio.create_task_group() as tasks:
                for _ in range(20):
                    tasks.start_soon(read)
            self.assertEqual([None] * 20, heads)
            # A request may have begun before the last reads arrived.
            self.assertLessEqual(len(requests), 2 * owner_count)
