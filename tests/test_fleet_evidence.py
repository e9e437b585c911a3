"""Evidence of the other monitoring nodes before a change of primary."""

import anyio
import testtools

from bronzescale_proxy.fleet.control import CopyControl
from bronzescale_standins.fleet.testing import in_loop
from bronzescale_standins.fleet.world import running_world


class EvidenceTest(testtools.TestCase):
    @in_loop
    async def test_a_node_that_found_the_primary_down_answers_without_a_probe(self):
        async with running_world() as world:
            world.platform.faults.refuses_promotions = True
            world.group.primary().stop()
            node = next(
                m.process.node
                for m in world.members
                if m.process.node.primary_monitor("svc").is_monitoring
            )
            monitor = node.primary_monitor("svc")
            await world.wait_until(lambda: monitor.finding().verdict.value == "down")

            async def never_answer(control, timeout_s=None):
                await anyio.sleep_forever()

            self.patch(CopyControl, "status", never_answer)
            with anyio.fail_after(5):
                self.assertEqual("down", (await monitor.probe_now()).value)
