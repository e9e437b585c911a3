"""Limits of customers at a running fleet whose hosts, links and limits change."""

import time
from contextlib import asynccontextmanager
from itertools import pairwise

import anyio
import testtools

from bronzescale_core.customers import Customer
from bronzescale_core.membership import MISSED_HEARTBEATS_UNTIL_DOWN
from bronzescale_core.permits import Wallet
from bronzescale_proxy import wire
from bronzescale_proxy.exceptions import PeerUnavailableError
from bronzescale_proxy.fleet import front_end
from bronzescale_standins.fleet.testing import in_loop
from bronzescale_standins.fleet.world import running_world

LIMIT = Customer("ada", rate_per_s=40, burst=20)


def bound_of(customer, window_s):
    """Return how many operations a window may hold."""
    return (customer.rate_per_s * window_s + customer.burst) * 1.1 + 20


class LimitCase(testtools.TestCase):
    """Every caller belongs to one customer, which every node's configuration holds."""

    def setUp(self):
        super().setUp()
        build_work = front_end.CallerConnection._build_work

        def build_work_of_customer(connection, *args):
            return build_work(connection, *args)._replace(customer="ada")

        self.patch(front_end.CallerConnection, "_build_work", build_work_of_customer)

    @asynccontextmanager
    async def limited_world(self, customer=LIMIT, nodes=6):
        async with running_world(nodes=nodes, work_s=0.001) as world:
            for member in world.members:
                set_limit(member, customer)
            yield world


def set_limit(member, customer, is_newer=False):
    """Put a limit into force at one node."""
    node = member.process.node
    node.configuration = node.configuration._replace(
        customers={customer.name: customer},
        version=node.configuration.version + is_newer,
    )


def lessor_of(world):
    """Return the member that grants the customer's permits."""
    name = world.members[0].process.node.allowances.lessor.view.rank("ada")[0].name
    return next(member for member in world.members if member.name == name)


def take_as_down(member, name):
    """Let a member hold another one for down, unless it does already."""
    for _ in range(MISSED_HEARTBEATS_UNTIL_DOWN):
        member.process.node.membership.record_missed_heartbeat(name)


def others_than(world, *members):
    return [member for member in world.members if member not in members]


def operations_since(world, start_s):
    """Return when operations ran, in s after a time."""
    return [
        event.at_s - start_s
        for event in world.group.history
        if event.kind in ("read", "write") and event.at_s >= start_s
    ]


def fullest_window(times, window_s=5.0):
    """Return how many operations the fullest window holds."""
    times = sorted(times)
    first = 0
    fullest = 0
    for last, at_s in enumerate(times):
        while times[first] <= at_s - window_s:
            first += 1
        fullest = max(fullest, last - first + 1)
    return fullest


async def send_at_rate(members, rate_per_s, for_s, callers_each=4):
    """Send reads at a rate, spread over some members; return their answers."""
    answers = []
    callers = [
        await member.caller("aged") for member in members for _ in range(callers_each)
    ]
    pause_s = len(callers) / rate_per_s
    end_s = time.monotonic() + for_s

    async def send(number, caller):
        await anyio.sleep(pause_s * number / len(callers))
        while time.monotonic() < end_s:
            due_s = time.monotonic() + pause_s
            answers.append(await caller.query("READ x"))
            await anyio.sleep(max(0, due_s - time.monotonic()))

    async with anyio.create_task_group() as tasks:
        for number, caller in enumerate(callers):
            tasks.start_soon(send, number, caller)
    return answers


def served(answers):
    return sum(1 for answer in answers if answer.is_done)


def cut(world, member):
    """Cut a member off from all others; return a function that heals the cut."""
    requests = {m: m.process.node.peers.request for m in world.members}

    def limit(sender, request):
        async def request_within_part(peer, message, timeout_s, **options):
            is_inside = sender is not member and peer.name != member.name
            if is_inside or peer.name == sender.name:
                return await request(peer, message, timeout_s, **options)
            await anyio.sleep(timeout_s)
            raise PeerUnavailableError(f"{peer.name} did not answer in time", True)

        return request_within_part

    for sender, request in requests.items():
        sender.process.node.peers.request = limit(sender, request)

    def heal():
        for sender, request in requests.items():
            sender.process.node.peers.request = request

    return heal


class ServedLimitTest(LimitCase):
    @in_loop
    async def test_two_hosts_serve_a_customer_close_to_its_limit(self):
        async with self.limited_world() as world:
            start_s = time.monotonic()
            # More callers than can wait for the limit's tokens.
            answers = await send_at_rate(world.members[:2], 240, 5.0, 60)
            times = operations_since(world, start_s)
            self.assertLessEqual(fullest_window(times), bound_of(LIMIT, 5))
            self.assertGreater(len(times), 0.9 * (LIMIT.rate_per_s * 5 + LIMIT.burst))
            refusals = {answer.text for answer in answers if not answer.is_done}
            self.assertTrue(all("come back in" in text for text in refusals))
            self.assertGreater(len(refusals), 10)

    @in_loop
    async def test_customer_below_its_limit_is_never_refused(self):
        async with self.limited_world() as world:
            answers = await send_at_rate(world.members, 30, 4.0)
            self.assertEqual(len(answers), served(answers))

    @in_loop
    async def test_refused_callers_that_come_back_in_time_are_served(self):
        async with self.limited_world() as world:
            member = others_than(world, lessor_of(world))[0]
            # 20 have room at once, and as many can wait for the next tokens.
            callers = [await member.caller("aged") for _ in range(56)]
            retries_ms = []
            results = []
            refused_again = []
            returns_at_ms = []
            find_retry = Wallet.retry_after_ms

            def record_return(wallet, waiting, at_ms):
                retry_after_ms = find_retry(wallet, waiting, at_ms)
                returns_at_ms.append(at_ms + retry_after_ms)
                return retry_after_ms

            async def send(caller):
                answer = await caller.query("READ x")
                if answer.is_done:
                    return
                text = answer.text.rpartition("come back in ")[2]
                retries_ms.append(int(text.split()[0]))
                await anyio.sleep(retries_ms[-1] / 1_000)
                again = await caller.query("READ x")
                results.append(again.is_done)
                if not again.is_done:
                    refused_again.append((retries_ms[-1], again.text))

            self.patch(Wallet, "retry_after_ms", record_return)
            async with anyio.create_task_group() as tasks:
                for caller in callers:
                    tasks.start_soon(send, caller)
            self.assertGreater(len(results), 10)
            self.assertGreaterEqual(sum(results), 0.9 * len(results), refused_again)
            # As far apart as the rate allows operations, but for rounding. The times
            # until then may be equal, since refusals come at different times.
            first_round_ms = sorted(returns_at_ms[: len(retries_ms)])
            gaps_ms = [b - a for a, b in pairwise(first_round_ms)]
            spaced = sum(gap_ms > 1_000 / LIMIT.rate_per_s - 2 for gap_ms in gaps_ms)
            self.assertGreater(spaced, 0.9 * len(gaps_ms), gaps_ms)
            self.assertLess(max(retries_ms), 1_000)

    @in_loop
    async def test_transaction_counts_once(self):
        async with self.limited_world(LIMIT._replace(rate_per_s=0.5, burst=2)) as world:
            caller = await world.members[0].caller("lead")
            for _ in range(2):
                await caller.query("BEGIN")
                for number in range(5):
                    self.assertTrue((await caller.query(f"WRITE x {number}")).is_done)
                self.assertTrue((await caller.query("COMMIT")).is_done)
            await caller.query("BEGIN")
            self.assertEqual("ABORTED", (await caller.query("WRITE x 9")).code)

    @in_loop
    async def test_customer_without_limit_needs_no_permits(self):
        async with self.limited_world(LIMIT._replace(rate_per_s=0)) as world:
            answers = await send_at_rate(world.members[:2], 100, 1.0)
            self.assertEqual(len(answers), served(answers))
            for member in world.members:
                self.assertEqual([], member.process.dump()["limits"])
                text = member.process._metrics.render().decode()
                self.assertNotIn("PermitRequest", text)


class LessorTest(LimitCase):
    @in_loop
    async def test_lessor_that_hosts_take_as_down_is_asked_all_the_same(self):
        """Pattern: after a start some hosts hold a host for down that is up."""
        async with self.limited_world() as world:
            lessor = lessor_of(world)
            ranked = world.members[0].process.node.allowances.lessor.view.rank("ada")
            second = next(m for m in world.members if m.name == ranked[1].name)
            mistaken = others_than(world, lessor, second)
            for member in mistaken:
                take_as_down(member, lessor.name)
            answers = await send_at_rate(mistaken, 30, 3.0)
            refused = [answer for answer in answers if not answer.is_done]
            silent = {m.name: m.log.events("lessor_silent") for m in world.members}
            self.assertEqual([], refused, silent)


class FailureTest(LimitCase):
    @in_loop
    async def test_killed_lessor_is_replaced_within_the_bound(self):
        async with self.limited_world() as world:
            lessor = lessor_of(world)
            start_s = time.monotonic()
            async with anyio.create_task_group() as tasks:
                members = others_than(world, lessor)
                tasks.start_soon(send_at_rate, members, 120, 9.0)
                await anyio.sleep(2)
                lessor.kill()
            times = operations_since(world, start_s)
            self.assertLessEqual(fullest_window(times), bound_of(LIMIT, 5))
            late = [at_s for at_s in times if at_s > 8]
            self.assertGreater(len(late), 0.7 * LIMIT.rate_per_s)

    @in_loop
    async def test_stopping_lessor_hands_its_bucket_over(self):
        async with self.limited_world() as world:
            lessor = lessor_of(world)
            answers = []

            async def send():
                members = others_than(world, lessor)
                answers.extend(await send_at_rate(members, 30, 4.0))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                await anyio.sleep(1.5)
                lessor.process.request_stop()
            self.assertGreater(served(answers), 0.97 * len(answers))
            taken = [
                event
                for member in world.members
                for event in member.log.events("limit_taken_over")
            ]
            self.assertTrue(taken and taken[0]["is_certain"], taken)
            self.assertEqual(2, taken[0]["answered"])

    @in_loop
    async def test_host_that_is_cut_off_stays_within_its_share(self):
        async with self.limited_world() as world:
            lessor = lessor_of(world)
            start_s = time.monotonic()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_at_rate, world.members, 160, 10.0)
                await anyio.sleep(1)
                heal = cut(world, lessor)
                await anyio.sleep(6)
                shares = [
                    m.process.node.allowances.lessor.view.share for m in world.members
                ]
                heal()
            times = operations_since(world, start_s)
            self.assertLessEqual(fullest_window(times), bound_of(LIMIT, 5))
            self.assertLess(min(shares), 0.2)

    @in_loop
    async def test_lost_replies_of_the_lessor_cost_no_more_than_a_short_wait(self):
        async with self.limited_world() as world:
            lessor = lessor_of(world)
            member = others_than(world, lessor)[0]
            peers = member.process.node.peers
            request = peers.request
            lost = []

            async def lose_replies(peer, message, timeout_s, **options):
                if isinstance(message, wire.PermitRequest) and peer.name == lessor.name:
                    await request(peer, message, timeout_s, **options)
                    lost.append(message)
                    await anyio.sleep(timeout_s)
                    raise PeerUnavailableError("no answer in time", True)
                return await request(peer, message, timeout_s, **options)

            caller = await member.caller("aged")
            first = await caller.query("READ x")
            events = [m.log.events("lessor_silent") for m in world.members]
            self.assertTrue(first.is_done, (first, events))
            peers.request = lose_replies
            await anyio.sleep(0.4)
            results = []
            for _ in range(6):
                started_s = time.monotonic()
                results.append((await caller.query("READ x")).is_done)
                self.assertLess(time.monotonic() - started_s, 0.7)
                await anyio.sleep(0.4)
            self.assertTrue(lost)
            # The next host in rank grants from its provisional allowance.
            self.assertGreaterEqual(sum(results), 4)

    @in_loop
    async def test_lowered_limit_binds_although_the_lessor_is_cut_off(self):
        """The host that is cut off may use its share of the old limit, and no more."""
        async with self.limited_world() as world:
            lessor = lessor_of(world)
            low = LIMIT._replace(rate_per_s=8, burst=4)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_at_rate, world.members, 120, 20.0)
                await anyio.sleep(1)
                heal = cut(world, lessor)
                for member in others_than(world, lessor):
                    set_limit(member, low, is_newer=True)
                await anyio.sleep(6)
                cut_s = time.monotonic()
                await anyio.sleep(5)
                heal()
                set_limit(lessor, low, is_newer=True)
                healed_s = time.monotonic()
            during_cut = operations_since(world, cut_s)
            during_cut = [at_s for at_s in during_cut if at_s < healed_s - cut_s]
            own_share = (LIMIT.rate_per_s * 5 + LIMIT.burst) / len(world.members)
            self.assertLessEqual(len(during_cut), bound_of(low, 5) + own_share)
            later = [at_s for at_s in operations_since(world, healed_s) if at_s > 2]
            self.assertLessEqual(fullest_window(later), bound_of(low, 5))

    @in_loop
    async def test_raised_limit_can_be_used_at_once(self):
        async with self.limited_world(LIMIT._replace(rate_per_s=5, burst=2)) as world:
            high = LIMIT._replace(rate_per_s=100, burst=50)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_at_rate, world.members[:2], 120, 4.0)
                await anyio.sleep(2)
                for member in world.members:
                    set_limit(member, high, is_newer=True)
                start_s = time.monotonic()
            first_second = [t for t in operations_since(world, start_s) if t < 1.0]
            self.assertGreater(len(first_second), 80)
