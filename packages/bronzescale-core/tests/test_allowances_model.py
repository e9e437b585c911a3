"""The limit of a customer in a fleet whose hosts and links fail, as a model.

Hosts ask for permits, serve callers, are cut off, die and start again while the limit
changes. Messages take time, or are lost. Only the operations that run are judged.
"""

import heapq
import itertools
import random

import testtools
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from bronzescale_core.allowances import (
    MAX_WAIT_MS,
    SETTLE_MS,
    Ask,
    Grant,
    Lessor,
    Standing,
    tokens_since_start,
)
from bronzescale_core.contacts import Contacts
from bronzescale_core.customer_bucket import WINDOW_MS, tolerated_excess
from bronzescale_core.customers import Customer
from bronzescale_core.permits import Wallet, patience_ends_ms
from bronzescale_core.rendezvous import Node

ASK_TIMEOUT_MS = 280
# Time to come back after while no host grants.
UNSETTLED_RETRY_MS = 200
# Time in which an operation must end, from its arrival.
DEADLINE_MS = 1_000
# Longest time until the answer to a request that is not lost.
MAX_DELAY_MS = 140
# Time after the loss of its lessor after which a limit can be used again.
BACK_MS = 3_500
HEARTBEAT_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 800
# Longest time until every host knows that another one is up again.
GOSSIP_MS = 4_000
PING_TIMEOUT_MS = 350
REFRESH_MS = 250
# Time within which a host that is in touch learns a configuration.
CONFIGURATION_MS = 1_000
LIMITS = (
    Customer("c", rate_per_s=75, burst=75),
    Customer("c", rate_per_s=30, burst=10),
    Customer("c", rate_per_s=5, burst=5),
    Customer("c", rate_per_s=200, burst=60),
)
ZONES = ("a", "a", "b", "b", "c", "c")
REGIONS = {"a": "north", "b": "north", "c": "south"}


class Host:
    """One host; its place in the list of hosts is its rank for the customer."""

    def __init__(self, fleet, number, incarnation, now_ms):
        zone = ZONES[number]
        self.fleet = fleet
        self.number = number
        self.node = Node(f"n{number}", "", zone, REGIONS[zone])
        self.lessor = Lessor(incarnation)
        self.contacts = Contacts(self.node)
        self.customer = fleet.customer
        self.version = len(fleet.limits)
        self.wallet = Wallet(self.customer, now_ms)
        # When the waiting operations arrived, and which of them were asked for before.
        self.waiting = []
        self.refused_before = 0
        self.is_asking = False
        self.misses = {}
        self.started_at_ms = now_ms
        self.changed_at_ms = now_ms
        self.lost_since_ms = {}
        self.share = 1 / len(ZONES)
        # A host that starts finds every registered host in the list.
        self.down = set()

    def standing(self, now_ms):
        """Return its part, as it sees the fleet."""
        above = [n for n in range(self.number) if n not in self.down]
        since_ms = self.changed_at_ms
        if above and all(n in self.lost_since_ms for n in above):
            since_ms = max(self.lost_since_ms[n] for n in above)
            above = []
        return Standing(not above, self.share, since_ms)

    def live_others(self):
        """Return the other hosts that it does not take as down."""
        others = [h for h in self.fleet.hosts if h.number != self.number]
        return [h.node for h in others if h.number not in self.down]

    def probe(self, other, now_ms):
        """Note whether a host answers that another one has passed over."""
        is_answered = self.fleet.are_connected(self.number, other.number)
        self.contacts.record(other.node, is_answered, now_ms)
        if is_answered:
            self.lost_since_ms.pop(other.number, None)
        else:
            self.lost_since_ms.setdefault(other.number, now_ms)

    def record(self, other, is_answered, now_ms):
        """Record the end of a heartbeat."""
        self.contacts.record(other.node, is_answered, now_ms)
        if is_answered:
            self.lost_since_ms.pop(other.number, None)
            self.misses[other.number] = 0
            if other.number in self.down:
                # Hosts watch a few others each, and gossip the rest.
                delay_ms = self.fleet.random.randrange(GOSSIP_MS)
                self.fleet.after(delay_ms, self.revive, other.number)
        else:
            self.misses[other.number] = self.misses.get(other.number, 0) + 1
            if self.misses[other.number] == 2:
                self.down.add(other.number)
                self.record_change(other.number, now_ms)

    def revive(self, number):
        """Note that a host is up."""
        self.misses[number] = 0
        if number in self.down and self.fleet.are_connected(self.number, number):
            self.down.discard(number)
            self.record_change(number, self.fleet.now_ms)

    def record_change(self, number, now_ms):
        """Note that a host was lost or found; those behind this one do not matter."""
        if number < self.number:
            self.changed_at_ms = now_ms

    def keeps_from(self, number):
        """Return whether it stays the lessor although a host behind it claims it."""
        is_first = all(n in self.down for n in range(self.number))
        return self.number < number and is_first

    def establish(self, now_ms):
        """Ask the previous lessor for its bucket; the model does this in no time."""
        standing = self.standing(now_ms)
        if not standing.is_lessor or self.lessor.is_established(
            self.customer, standing, now_ms
        ):
            return
        others = [n for n in range(len(ZONES)) if n != self.number][:2]
        tokens = []
        fresh = [tokens_since_start(self.customer, self.started_at_ms, now_ms)]
        answered = 0
        is_kept = False
        for number in others:
            host = self.fleet.hosts[number]
            if self.fleet.delivers(self.number, number):
                host.revive(self.number)
                if host.keeps_from(self.number):
                    if self.fleet.delivers(number, self.number):
                        self.revive(number)
                        is_kept = True
                    continue
                level, was_main = host.lessor.hand_over(
                    "c", all(n in host.down for n in range(self.number)), now_ms
                )
                tokens += [level] if was_main else []
                started_at_ms = host.started_at_ms
                fresh.append(tokens_since_start(host.customer, started_at_ms, now_ms))
                if self.fleet.delivers(number, self.number):
                    self.revive(number)
                    answered += 1
        is_certain = answered and bool(tokens) or answered == len(others)
        is_certain = is_certain and not is_kept
        level = min(tokens or fresh)
        self.lessor.take_over(self.customer, level, is_certain, standing, now_ms)

    def answer(self, ask, passed, now_ms, sender):
        """Return the grant, or None if this host is not the lessor."""
        if sender != self.number:
            self.revive(sender)
        self.establish(now_ms)
        standing = self.standing(now_ms)
        if not passed and any(n not in self.down for n in range(self.number)):
            return None
        for number in range(self.number if passed else 0):
            args = self, self.fleet.hosts[number]
            self.fleet.after(PING_TIMEOUT_MS, self.fleet.end_probe, *args)
        return self.lessor.grant(self.customer, ask, standing, now_ms)


class Fleet:
    """Hosts, the links between them, and the operations that ran."""

    def __init__(self, customer, seed):
        self.now_ms = 100_000
        self.customer = customer
        self.random = random.Random(seed)
        self.events = []
        self.order = itertools.count()
        self.incarnations = itertools.count(1)
        self.parts = [0] * len(ZONES)
        self.is_up = [True] * len(ZONES)
        self.loss = 0.0
        self.runs = []
        self.waits_ms = []
        # When refused operations arrived, and when they were refused.
        self.refusals = []
        self.limits = [(self.now_ms, customer)]
        self.hosts = []
        for number in range(len(ZONES)):
            self.hosts.append(Host(self, number, next(self.incarnations), self.now_ms))
            self.after(
                self.random.randrange(HEARTBEAT_MS), self.send_heartbeats, number
            )
            self.after(self.random.randrange(REFRESH_MS), self.refresh, number)

    def after(self, delay_ms, function, *args):
        """Call a function later."""
        event = (self.now_ms + delay_ms, next(self.order), function, args)
        heapq.heappush(self.events, event)

    def run_until(self, end_ms):
        """Process the events up to a time."""
        while self.events and self.events[0][0] <= end_ms:
            self.now_ms, _, function, args = heapq.heappop(self.events)
            function(*args)
        self.now_ms = end_ms

    def are_connected(self, first, second):
        """Return whether two hosts reach each other."""
        return (
            self.is_up[first]
            and self.is_up[second]
            and self.parts[first] == self.parts[second]
        )

    def delivers(self, first, second):
        """Return whether a message arrives."""
        return self.are_connected(first, second) and self.random.random() >= self.loss

    def send_heartbeats(self, number):
        """Exchange heartbeats with every other host."""
        self.after(HEARTBEAT_MS, self.send_heartbeats, number)
        if not self.is_up[number]:
            return
        for other in range(len(ZONES)):
            if other == number:
                continue
            # A lost heartbeat is sent again by the transport.
            is_answered = self.are_connected(number, other)
            delay_ms = 30 if is_answered else HEARTBEAT_TIMEOUT_MS
            host = self.hosts[number]
            self.after(delay_ms, self.end_heartbeat, host, other, is_answered)

    def end_heartbeat(self, host, other, is_answered):
        """Record a heartbeat at the host that sent it and at the one that answered."""
        if host is not self.hosts[host.number] or not self.is_up[host.number]:
            return
        peer = self.hosts[other]
        host.record(peer, is_answered, self.now_ms)
        if is_answered:
            peer.contacts.record(host.node, True, self.now_ms)

    def end_probe(self, host, other):
        """End a request to a host that was passed over."""
        if host is self.hosts[host.number] and self.is_up[host.number]:
            host.probe(self.hosts[other.number], self.now_ms)

    def refresh(self, number):
        """Update what a host knows of its contacts."""
        self.after(REFRESH_MS, self.refresh, number)
        host = self.hosts[number]
        if not self.is_up[number]:
            return
        live = host.live_others()
        host.share = host.contacts.count(live, self.now_ms) / len(ZONES)
        for node in host.contacts.choose_to_ask(live, self.random.random, self.now_ms):
            other = next(h for h in self.hosts if h.node == node)
            self.after(PING_TIMEOUT_MS, self.end_ping, host, other)

    def end_ping(self, host, other):
        """End a request to a host like those that are silent."""
        if host is self.hosts[host.number] and self.is_up[host.number]:
            is_answered = self.are_connected(host.number, other.number)
            host.contacts.record(other.node, is_answered, self.now_ms)

    # Operations

    def arrive(self, number, count):
        """Let callers of a host send operations."""
        host = self.hosts[number]
        if not self.is_up[number]:
            return
        for _ in range(count):
            host.wallet.set_customer(host.customer)
            host.wallet.record_demand(self.now_ms)
            if host.wallet.take(self.now_ms) is not None:
                self.run_operation(host, self.now_ms)
            else:
                host.waiting.append(self.now_ms)
        if host.wallet.pause_ms(self.now_ms):
            self.refuse_hopeless(host)
        if host.waiting and not host.is_asking:
            self.ask(host)

    def refuse_hopeless(self, host):
        """Refuse the operations whose permit is not expected in time."""
        kept = []
        for arrived_at_ms in host.waiting:
            until_ms = patience_ends_ms(arrived_at_ms + DEADLINE_MS, arrived_at_ms)
            if host.wallet.can_wait(len(kept), until_ms, self.now_ms):
                kept.append(arrived_at_ms)
            else:
                self.refusals.append((arrived_at_ms, self.now_ms))
        host.refused_before = min(host.refused_before, len(kept))
        host.waiting = kept

    def ask(self, host):
        """Ask the first in rank, then the others, as seen by the host."""
        if host is not self.hosts[host.number] or not self.is_up[host.number]:
            return
        host.is_asking = True
        pause_ms = host.wallet.pause_ms(self.now_ms)
        if pause_ms:
            self.after(pause_ms, self.ask, host)
            return
        host.asked, host.waiting = host.waiting, []
        ask = host.wallet.ask(len(host.asked), self.now_ms, host.refused_before)
        ranked = [n for n in range(len(ZONES)) if n not in host.down][:3]
        self.try_next(host, ask, ranked, 0, 0, self.now_ms)

    def try_next(self, host, ask, ranked, passed, answered, asked_at_ms):
        """Send a request to the next host in rank."""
        if host is not self.hosts[host.number]:
            return
        if not ranked:
            self.end_ask(host, None, ask, answered, asked_at_ms)
            return
        target, *rest = ranked
        args = (host, ask, rest, passed + 1, answered, self.now_ms)
        if target == host.number:
            grant = host.answer(ask, passed, self.now_ms, target)
        elif self.delivers(host.number, target):
            grant = self.hosts[target].answer(ask, passed, self.now_ms, host.number)
            if not self.delivers(target, host.number):
                self.after(ASK_TIMEOUT_MS, self.try_next, *args)
                return
        else:
            self.after(ASK_TIMEOUT_MS, self.try_next, *args)
            return
        delay_ms = 0 if target == host.number else self.random.randrange(MAX_DELAY_MS)
        if grant is None:
            args = (host, ask, rest, passed + 1, answered + 1, self.now_ms)
            self.after(delay_ms, self.try_next, *args)
        else:
            args = (host, grant, ask, 1, self.now_ms)
            self.after(delay_ms, self.end_ask, *args)

    def end_ask(self, host, grant, ask, answered, asked_at_ms):
        """Let operations run with the granted permits, and refuse the others."""
        if host is not self.hosts[host.number] or not self.is_up[host.number]:
            return
        host.is_asking = False
        asked, host.asked = host.asked, []
        wait_ms = 0
        if grant is not None:
            served = host.wallet.receive(grant, asked_at_ms, len(asked), self.now_ms)
            wait_ms = grant.wait_ms
        elif answered:
            grant = Grant(0, 0, UNSETTLED_RETRY_MS, 0)
            served = host.wallet.receive(grant, self.now_ms, len(asked), self.now_ms)
        else:
            served = sum(host.wallet.fall_back(len(ZONES), self.now_ms) for _ in asked)
        for arrived_at_ms in asked[:served]:
            self.after(wait_ms, self.run_operation, host, arrived_at_ms)
        host.waiting = asked[served:] + host.waiting
        host.refused_before = len(asked) - served
        self.refuse_hopeless(host)
        if host.waiting:
            self.ask(host)

    def run_operation(self, host, arrived_at_ms):
        """Let an operation run that has its permit."""
        if host is self.hosts[host.number] and self.is_up[host.number]:
            self.runs.append(self.now_ms)
            self.waits_ms.append(self.now_ms - arrived_at_ms)

    # Faults

    def restart(self, number):
        """Start a host again, without memory."""
        self.is_up[number] = True
        self.hosts[number] = Host(self, number, next(self.incarnations), self.now_ms)

    def set_limit(self, customer):
        """Change the limit; hosts learn it one after another."""
        self.customer = customer
        self.limits.append((self.now_ms, customer))
        for number in range(len(ZONES)):
            delay_ms = self.random.randrange(CONFIGURATION_MS)
            self.after(delay_ms, self.learn_limit, number, len(self.limits))

    def learn_limit(self, number, version):
        """Apply a limit at a host unless it has a newer one."""
        host = self.hosts[number]
        if version > host.version:
            host.version = version
            host.customer = self.limits[version - 1][1]

    def worst_excess(self):
        """Return by how much the fullest window exceeds its bound; negative if none."""
        worst = -float("inf")
        first = 0
        runs = sorted(self.runs)
        for last, at_ms in enumerate(runs):
            while runs[first] <= at_ms - WINDOW_MS:
                first += 1
            bound = self.bound_of(runs[first], at_ms)
            worst = max(worst, last - first + 1 - bound)
        return worst

    def bound_of(self, start_ms, end_ms):
        """Return the bound of a window, with the highest limit known to any host."""
        in_force = []
        for (since_ms, customer), (until_ms, _) in itertools.pairwise(
            [*self.limits, (end_ms + 1, None)]
        ):
            if since_ms <= end_ms and until_ms + CONFIGURATION_MS > start_ms:
                in_force.append(customer)
        rate = max(customer.rate_per_s for customer in in_force)
        burst = max(customer.burst for customer in in_force)
        highest = Customer("c", 1, rate, burst)
        return rate * WINDOW_MS / 1_000 + burst + tolerated_excess(highest)


HOSTS = st.integers(0, len(ZONES) - 1)
FAULTS = st.one_of(
    st.tuples(st.just("cut_host"), HOSTS),
    st.tuples(st.just("cut_zone"), st.sampled_from(sorted(REGIONS))),
    st.tuples(st.just("heal"), st.none()),
    st.tuples(st.just("kill"), HOSTS),
    st.tuples(st.just("restart"), HOSTS),
    st.tuples(st.just("restart_all"), st.integers(400, 2_000)),
    st.tuples(st.just("lose"), st.sampled_from((0.0, 0.1, 0.5))),
    st.tuples(st.just("limit"), st.sampled_from(LIMITS)),
)
STEPS = st.lists(st.tuples(st.integers(50, 4_000), FAULTS), max_size=14)


def apply_fault(fleet, kind, value):
    if kind == "cut_host":
        fleet.parts[value] = 1 + value
    elif kind == "cut_zone":
        for number, zone in enumerate(ZONES):
            if zone == value:
                fleet.parts[number] = -1 - ord(value)
    elif kind == "heal":
        fleet.parts = [0] * len(ZONES)
    elif kind == "kill":
        fleet.is_up[value] = False
    elif kind == "restart":
        fleet.is_up[value] = False
        fleet.after(400, fleet.restart, value)
    elif kind == "restart_all":
        for number in range(len(ZONES)):
            fleet.is_up[number] = False
            fleet.after(value + 40 * number, fleet.restart, number)
    elif kind == "callers":
        for index in range(value):
            delay_ms = 1_000 * index // value
            number = fleet.random.randrange(len(ZONES))
            fleet.after(delay_ms, fleet.arrive, number, 1)
    elif kind == "lose":
        fleet.loss = value
    else:
        fleet.set_limit(value)


def play(customer, seed, steps, load):
    """Play faults beside a load of `load` times the limit, spread over all hosts."""
    fleet = Fleet(customer, seed)
    interval_ms = 40
    # Settled, and with a full bucket.
    fleet.run_until(fleet.now_ms + 12_000)
    carry = 0.0

    def run_until(end_ms):
        nonlocal carry
        while fleet.now_ms < end_ms:
            carry += fleet.customer.rate_per_s * load * interval_ms / 1_000
            for _ in range(int(carry)):
                fleet.arrive(fleet.random.randrange(len(ZONES)), 1)
            carry -= int(carry)
            fleet.run_until(fleet.now_ms + interval_ms)

    for pause_ms, (kind, value) in steps:
        run_until(fleet.now_ms + pause_ms)
        apply_fault(fleet, kind, value)
    run_until(fleet.now_ms + 7_000)
    return fleet


class LimitTest(testtools.TestCase):
    # A failing example takes minutes to shrink.
    @settings(
        derandomize=True, deadline=None, max_examples=250, phases=[Phase.generate]
    )
    @given(
        st.sampled_from(LIMITS),
        st.integers(0, 10_000),
        STEPS,
        st.sampled_from((0.8, 2.0, 5.0)),
    )
    def test_no_window_exceeds_the_bound(self, customer, seed, steps, load):
        fleet = play(customer, seed, steps, load)
        self.assertLessEqual(fleet.worst_excess(), 0)

    def test_lessor_keeps_its_bucket_from_a_host_that_was_cut_off(self):
        """Pattern: a host returns from a cut and still takes all others as down."""
        steps = [
            (1_200, ("cut_host", 4)),
            (1_200, ("cut_zone", "a")),
            (200, ("heal", None)),
            (900, ("cut_zone", "b")),
            (1_400, ("restart", 0)),
            (1_700, ("restart", 2)),
            (700, ("lose", 0.1)),
        ]
        for seed in range(20):
            fleet = play(LIMITS[0], seed, steps, 2.0)
            self.assertLessEqual(fleet.worst_excess(), 0, seed)

    def test_second_cut_does_not_continue_the_settling_of_the_first(self):
        lessor = Lessor(1)
        first_cut = Standing(True, 0.8, 10_000)
        lessor.grant(LIMITS[0], Ask(1, 1), first_cut, 10_000)
        healed = Standing(False, 1.0, 10_000)
        lessor.grant(LIMITS[0], Ask(1, 1), healed, 10_500)
        second_cut = Standing(True, 0.8, 20_000)
        for at_ms in (20_000, 20_000 + SETTLE_MS - 1):
            self.assertFalse(lessor.is_established(LIMITS[0], second_cut, at_ms))
        self.assertTrue(
            lessor.is_established(LIMITS[0], second_cut, 20_000 + SETTLE_MS)
        )

    @settings(derandomize=True, deadline=None, max_examples=30)
    @given(st.sampled_from(LIMITS), st.integers(0, 10_000))
    def test_below_its_limit_a_customer_waits_for_messages_only(self, customer, seed):
        fleet = play(customer, seed, [], 0.8)
        self.assertEqual([], fleet.refusals)
        # A request that is under way, its own, and a token that is due soon.
        longest_ms = 2 * MAX_DELAY_MS + MAX_WAIT_MS
        self.assertLessEqual(max(fleet.waits_ms), longest_ms)

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.sampled_from(LIMITS),
        st.integers(0, 10_000),
        st.sampled_from(("kill", "cut_host")),
        st.integers(0, 1_000),
    )
    def test_limit_is_back_soon_after_the_lessor_is_lost(
        self, customer, seed, fault, after_ms
    ):
        fleet = play(customer, seed, [(1_000 + after_ms, (fault, 0))], 0.6)
        lost_at_ms = fleet.now_ms - 7_000
        late = [
            arrived_at_ms
            for arrived_at_ms, _ in fleet.refusals
            if arrived_at_ms > lost_at_ms + BACK_MS
        ]
        # Callers of a host that is cut off have only its share.
        if fault == "kill":
            self.assertEqual([], late)
        served = [at_ms for at_ms in fleet.runs if at_ms > lost_at_ms + BACK_MS]
        seconds = (7_000 - BACK_MS) / 1_000
        usual = 0.6 * customer.rate_per_s * 5 / 6 * seconds
        self.assertGreaterEqual(len(served), 0.8 * usual - 2)

    @settings(derandomize=True, deadline=None, max_examples=30)
    @given(st.sampled_from(LIMITS), st.integers(0, 10_000), st.sampled_from((0.8, 3.0)))
    def test_refused_operation_keeps_half_of_its_time(self, customer, seed, load):
        fleet = play(customer, seed, [(1_000, ("kill", 0))], load)
        waits_ms = [until_ms - since_ms for since_ms, until_ms in fleet.refusals]
        # The last request may be passed on to three hosts.
        longest_ms = DEADLINE_MS / 2 + 3 * ASK_TIMEOUT_MS
        self.assertLessEqual(max(waits_ms, default=0), longest_ms)

    @settings(derandomize=True, deadline=None, max_examples=30)
    @given(st.sampled_from(LIMITS), st.integers(0, 10_000))
    def test_customer_close_to_its_limit_is_hardly_refused_when_its_lessor_restarts(
        self, customer, seed
    ):
        """Pattern: a host restarts, and its buckets begin empty below the limit."""
        fleet = play(customer, seed, [(1_000, ("restart", 0))], 0.6)
        restarted_at_ms = fleet.now_ms - 7_000
        refused = [
            since_ms
            for since_ms, _ in fleet.refusals
            if restarted_at_ms < since_ms < restarted_at_ms + 2_000
        ]
        usual = 0.6 * customer.rate_per_s * 2
        self.assertLessEqual(len(refused), 0.4 * usual + 2)

    @settings(derandomize=True, deadline=None, max_examples=40, phases=[Phase.generate])
    @given(
        st.sampled_from(LIMITS),
        st.integers(0, 10_000),
        st.lists(st.tuples(st.integers(1, 2_500), st.integers(400, 2_000)), max_size=4),
    )
    def test_fleet_that_starts_again_and_again_keeps_the_bound(
        self, customer, seed, starts
    ):
        steps = [(pause_ms, ("restart_all", away_ms)) for pause_ms, away_ms in starts]
        fleet = play(customer, seed, steps, 5.0)
        self.assertLessEqual(fleet.worst_excess(), 0)

    def test_callers_of_a_fleet_that_starts_again_are_hardly_refused(self):
        """Pattern: power was away, and all callers return within a second."""
        customer = LIMITS[0]
        away_ms = 1_500
        returning = int(0.6 * customer.rate_per_s * away_ms / 1_000)
        steps = [
            (1_000, ("restart_all", away_ms)),
            (away_ms + 200, ("callers", returning)),
        ]
        refused = 0
        for seed in range(20):
            fleet = play(customer, seed, steps, 0.6)
            started_at_ms = fleet.now_ms - 7_000
            refused += sum(
                started_at_ms < since_ms < started_at_ms + 2_000
                for since_ms, _ in fleet.refusals
            )
        sent = 20 * (0.6 * customer.rate_per_s * 2 + returning)
        self.assertLessEqual(refused, 0.05 * sent)

    @settings(derandomize=True, deadline=None, max_examples=30)
    @given(st.sampled_from(LIMITS), st.integers(0, 10_000))
    def test_over_its_limit_a_customer_gets_nearly_all_of_it(self, customer, seed):
        fleet = play(customer, seed, [], 4.0)
        last_ms = max(fleet.runs)
        served = sum(1 for at_ms in fleet.runs if at_ms > last_ms - WINDOW_MS)
        self.assertGreaterEqual(served, 0.9 * customer.rate_per_s * 5)
