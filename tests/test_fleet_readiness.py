"""What the balancer hears from a process that starts or stops."""

import anyio
import testtools

from bronzescale_proxy.fleet import compose
from bronzescale_standins.fleet.world import running_world


async def _ask(member):
    """Return the status line of a readiness page."""
    stream = await anyio.connect_tcp("127.0.0.1", member.ready_port)
    async with stream:
        await stream.send(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        return (await stream.receive()).split(b"\r\n")[0]


class TestReadyPage(testtools.TestCase):
    def test_first_question_to_a_starting_process_waits_for_its_answer(self):
        # Longer than any start, so that only the waiting decides.
        self.patch(compose, "READY_WAIT_S", 30.0)

        async def run():
            async with running_world() as world:
                member = world.members[0]
                node = member.process.node
                known, node.configuration = node.configuration, None
                answers = []

                async def ask():
                    answers.append(await _ask(member))

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(ask)
                    await anyio.sleep(0.1)
                    self.assertEqual([], answers)
                    node.configuration = known
                    node.notify()
                self.assertIn(b" 200 ", answers[0])

        anyio.run(run)

    def test_a_stopping_process_says_no_at_once(self):
        self.patch(compose, "READY_WAIT_S", 30.0)

        async def run():
            async with running_world() as world:
                member = world.members[0]
                member.process.request_stop()
                with anyio.fail_after(5):
                    self.assertIn(b" 503 ", await _ask(member))

        anyio.run(run)
