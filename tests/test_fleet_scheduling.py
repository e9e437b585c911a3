"""Priorities at a running fleet: order, refusals, waits and transactions."""

import anyio
import testtools

from bronzescale_core.catalog import ServiceLimits
from bronzescale_core.work import Outcome, Reach, Work, WorkStep
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.fleet.pool import ConnectionPool
from bronzescale_standins.fleet.testing import in_loop, primary_of
from bronzescale_standins.fleet.world import ROUTES, running_world

URGENT_ROUTES = (
    {"host": "lead", "type": "primary", "priority": 0},
    {"host": "aged", "type": "bounded_staleness", "max_staleness_ms": 1_500},
    {"host": "own", "type": "read_your_writes", "max_staleness_ms": 2_500},
    {"host": "bulk", "type": "primary", "priority": 2},
)


async def configure(world, routes):
    world.configure(routes)
    for member in world.members:
        await world.wait_until(
            lambda member=member: (
                member.process.node.configuration.version == world.version
            )
        )


def primary_owner(world):
    """Return the node and the owner to which the primary's statements go."""
    name = primary_of(world).instance
    for member in world.members:
        node = member.process.node
        if node.is_preferred_owner(name):
            return node, node.owner(name)
    raise AssertionError(f"nobody owns {name}")


def work(world, number, **fields):
    fields = {"is_write": True, "needs_lead": True, **fields}
    step = fields.pop("step", WorkStep.SINGLE)
    received_at_ms = now_ms()
    return Work(
        "svc",
        primary_of(world).instance,
        step,
        f"w{number}",
        f"WRITE k{number} 1",
        received_at_ms=received_at_ms,
        deadline_ms=received_at_ms + fields.pop("left_ms", 1_500),
        **fields,
    )


class SchedulingTest(testtools.TestCase):
    @in_loop
    async def test_without_an_urgent_route_nothing_is_scheduled_or_reported(self):
        async with running_world() as world:
            node, owner = primary_owner(world)
            answer = await owner.execute(work(world, 1), None)
            self.assertEqual((Outcome.DONE, ()), (answer.outcome, answer.waits_ms))
            self.assertNotIn("waiting", owner.queue_snapshot())

    @in_loop
    async def test_urgent_statements_overtake_a_backlog(self):
        """A backlog of bulk writes at the primary, then one alert."""
        async with running_world(work_s=0.06, slots=1) as world:
            await configure(world, URGENT_ROUTES)
            node, owner = primary_owner(world)
            finished = []

            async def run(number, priority):
                statement = work(world, number, priority=priority, left_ms=10_000)
                answer = await owner.execute(statement, None)
                finished.append((priority, answer))

            async with anyio.create_task_group() as tasks:
                for number in range(12):
                    tasks.start_soon(run, number, 2)
                await world.wait_until(lambda: waiting_bulk(world, node) >= 8)
                finished_before = len(finished)
                tasks.start_soon(run, 99, 0)
            position = [priority for priority, _ in finished].index(0)
            self.assertTrue(position - finished_before <= 3, position)
            self.assertTrue(all(a.outcome is Outcome.DONE for _, a in finished))
            waits_ms = finished[position][1].waits_ms
            self.assertEqual(3, len(waits_ms))
            self.assertTrue(waits_ms[2] > waits_ms[0], waits_ms)

    @in_loop
    async def test_refusal_for_want_of_a_connection_is_logged_like_others(self):
        async def never_free(*arguments, **options):
            await anyio.sleep_forever()

        async with running_world() as world:
            await configure(world, URGENT_ROUTES)
            node, owner = primary_owner(world)
            self.patch(ConnectionPool, "acquire", never_free)
            answer = await owner.execute(work(world, 1, priority=2, left_ms=200), None)
            self.assertEqual((Outcome.BUSY, Reach.NOT_SENT), answer[:2])
            (line,) = node.log.events("slot_refused")
            self.assertEqual(("w1", answer.reason), (line["request"], line["reason"]))
            self.assertTrue(answer.retry_after_ms > 0)

    @in_loop
    async def test_refusals_are_logged_and_counted_and_did_not_run(self):
        async with running_world(work_s=0.05, slots=1) as world:
            await configure(world, URGENT_ROUTES)
            node, owner = primary_owner(world)
            answers = {}

            async def run(number):
                statement = work(world, number, priority=2, left_ms=400)
                answers[number] = await owner.execute(statement, None)

            for start in (0, 100):
                async with anyio.create_task_group() as tasks:
                    for number in range(start, start + 30):
                        tasks.start_soon(run, number)
            refused = {
                f"w{number}"
                for number, answer in answers.items()
                if answer.reach is Reach.NOT_SENT
            }
            self.assertTrue(refused)
            ran = {e.request_id for e in world.group.history if e.kind == "write"}
            self.assertEqual(set(), refused & ran)
            lines = node.log.events("slot_refused")
            self.assertEqual(refused, {line["request"] for line in lines})
            self.assertEqual({2}, {line["priority"] for line in lines})
            self.assertIn(
                b"bronzescale_statements_refused_total", node.metrics.render()
            )

    @in_loop
    async def test_a_change_of_the_configuration_loses_no_waiting_statement(self):
        """The operator marks a route as urgent, and takes it back, under load."""
        async with running_world(work_s=0.1, slots=1) as world:
            node, owner = primary_owner(world)
            answers = []

            async def run(number):
                statement = work(world, number, priority=number % 3, left_ms=10_000)
                answers.append(await owner.execute(statement, None))

            for routes in (URGENT_ROUTES, ROUTES):
                async with anyio.create_task_group() as tasks:
                    for number in range(8):
                        tasks.start_soon(run, number)
                    await world.wait_until(
                        lambda owner=owner: owner.queue_snapshot()["queued"] >= 4
                    )
                    await configure(world, routes)
                    tasks.start_soon(run, 50)
            self.assertEqual(18, len(answers))
            self.assertEqual({Outcome.DONE}, {answer.outcome for answer in answers})
            await world.wait_until(lambda: owner.is_idle)

    @in_loop
    async def test_the_last_connections_are_kept_for_urgent_transactions(self):
        """Bulk callers rest inside transactions until few connections are left."""
        async with running_world(slots=2) as world:
            await configure(world, URGENT_ROUTES)
            node, owner = primary_owner(world)
            node.configuration = node.configuration._replace(
                services={"svc": ServiceLimits("svc", 16)}
            )
            opened = []

            async def open_transaction(number, priority, left_ms):
                answer = await owner.execute(
                    work(
                        world,
                        number,
                        priority=priority,
                        step=WorkStep.OPEN,
                        left_ms=left_ms,
                    ),
                    None,
                )
                if answer.outcome is Outcome.DONE:
                    opened.append(answer.transaction_id)
                return answer

            for number in range(10):
                answer = await open_transaction(number, 2, 1_000)
                self.assertEqual(Outcome.DONE, answer.outcome, answer)
            late = await open_transaction(20, 2, 200)
            self.assertEqual((Outcome.BUSY, Reach.NOT_SENT), late[:2])
            self.assertTrue(late.retry_after_ms > 0)
            urgent = await open_transaction(21, 0, 1_000)
            self.assertEqual(Outcome.DONE, urgent.outcome)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(open_transaction, 22, 2, 1_000)
                await world.wait_until(
                    lambda: owner.queue_snapshot()["transactions_waiting"] == 1
                )
                for _ in range(2):
                    await owner.roll_back(opened.pop(0))
            self.assertEqual(10, len(opened))
            for number in list(opened):
                await owner.roll_back(number)
            self.assertEqual(0, owner._gate._open_count)
            self.assertTrue(owner.is_idle)

    @in_loop
    async def test_idle_transactions_end_sooner_if_others_wait_for_room(self):
        async with running_world(slots=2) as world:
            await configure(world, URGENT_ROUTES)
            _, owner = primary_owner(world)
            answer = await owner.execute(work(world, 1, step=WorkStep.OPEN), None)
            await anyio.sleep(0.35)
            self.assertEqual([], owner.idle_transactions(200))
            owner._gate._room.offer(2, now_ms() + 1_000, 99, 16, now_ms())
            self.assertEqual([answer.transaction_id], owner.idle_transactions(200))
            self.assertEqual([], owner.idle_transactions(3_000))


def waiting_bulk(world, node):
    """Return how many bulk statements wait, as the node's state page tells."""
    (dump,) = [m.process.dump() for m in world.members if m.process.node is node]
    waiting = dump["queues"][primary_of(world).instance].get("waiting", {})
    return waiting.get(2, {"statements": 0})["statements"]


class UnlimitedConnectionsTest(testtools.TestCase):
    """A service whose configuration does not limit its connections."""

    @in_loop
    async def test_transactions_are_not_limited(self):
        async with running_world() as world:
            await configure(world, URGENT_ROUTES)
            node, owner = primary_owner(world)
            node.configuration = node.configuration._replace(
                services={"svc": ServiceLimits("svc", 0)}
            )
            for number in range(5):
                answer = await owner.execute(
                    work(world, number, priority=2, step=WorkStep.OPEN), None
                )
                self.assertEqual(Outcome.DONE, answer.outcome, answer)


class ReportedBacklogTest(testtools.TestCase):
    """Load: every database of a service reports a wait past a statement's deadline."""

    @in_loop
    async def test_statement_is_refused_where_it_arrives(self):
        async with running_world(nodes=2) as world:
            await configure(world, URGENT_ROUTES)
            member = world.members[0]
            caller = await member.caller("aged")
            self.assertTrue((await caller.query("READ x")).is_done)
            placement = member.process._callers.dispatcher._placement
            reads = sum(event.kind == "read" for event in world.group.history)
            for instance in world.group.databases:
                placement.record_load(instance, 9.0, 50.0, now_ms(), (5_000,) * 3)
            answer = await caller.query("READ x")
            self.assertEqual("BUSY", answer.code)
            self.assertIn("come back in", answer.text)
            self.assertTrue(member.log.events("refused_by_reports"))
            after = sum(event.kind == "read" for event in world.group.history)
            self.assertEqual(reads, after)
            # Reports of over a second ago say nothing.
            for instance in world.group.databases:
                old_ms = now_ms() - 1_500
                placement.record_load(instance, 9.0, 50.0, old_ms, (5_000,) * 3)
            self.assertTrue((await caller.query("READ x")).is_done)
