"""Failure detection, admission, retries, routing, membership, objects and ranking."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, IsInstance, LessThan

from bronzescale_core.admission import (
    AdmissionQueue,
    Admitted,
    Queued,
    Refused,
    WorkClass,
)
from bronzescale_core.detection import FailureDetector, ProbeOutcome, Verdict
from bronzescale_core.groups import Upstream
from bronzescale_core.membership import Membership, Rumor, Status
from bronzescale_core.objects import ObjectCache, StoreObject
from bronzescale_core.outcomes import (
    Failure,
    Progress,
    RetryBudget,
    RetryDecision,
    decide_retry,
)
from bronzescale_core.rendezvous import Node, rank_nodes
from bronzescale_core.routing import Location, Router
from bronzescale_core.statements import (
    Consistency,
    ConsistencyMode,
    StatementKind,
    StatementRequest,
)

ANSWERED, REFUSED, SILENT = ProbeOutcome
READ, WRITE = WorkClass


def node(name, zone="a", incarnation=1):
    return Node(name, f"127.0.0.1:{len(name)}", zone, "north", incarnation)


class DetectionTest(TestCase):
    def verdict(self, outcomes, step_ms):
        detector = FailureDetector(0)
        now_ms = 0
        for outcome in outcomes:
            now_ms += step_ms
            finding = detector.observe(outcome, now_ms)
        return finding.verdict

    def test_refused_probes_mark_down_quickly(self):
        self.assertEqual(Verdict.DOWN, self.verdict([REFUSED] * 5, 200))
        self.assertEqual(Verdict.SUSPECT, self.verdict([REFUSED] * 2, 200))

    def test_silence_of_two_seconds_is_not_down_yet(self):
        detector = FailureDetector(0)
        for now_ms in range(200, 2_201, 200):
            finding = detector.observe(SILENT, now_ms)
        self.assertEqual(Verdict.SUSPECT, finding.verdict)
        self.assertEqual(Verdict.DOWN, detector.observe(SILENT, 2_800).verdict)

    def test_answer_resets_the_verdict_to_alive(self):
        self.assertEqual(Verdict.ALIVE, self.verdict([SILENT] * 9 + [ANSWERED], 500))

    def test_pause_of_the_detector_itself_is_not_counted_as_silence(self):
        detector = FailureDetector(0)
        for now_ms in (500, 1_000, 1_500):
            detector.observe(SILENT, now_ms)
        self.assertEqual(Verdict.SUSPECT, detector.observe(SILENT, 9_000).verdict)

    def test_an_hour_of_lost_probes_and_short_pauses_is_never_down(self):
        import random

        rng = random.Random(7)
        detector = FailureDetector(0)
        now_ms = 0
        verdicts = Counter()
        while now_ms < 3_600_000:
            now_ms += 500
            if rng.random() < 0.001:
                # The database pauses for 2 s and leaves its probes unanswered.
                for _ in range(2):
                    now_ms += 1_000
                    verdicts[detector.observe(SILENT, now_ms).verdict] += 1
            outcome = SILENT if rng.random() < 0.02 else ANSWERED
            verdicts[detector.observe(outcome, now_ms).verdict] += 1
        self.assertEqual(0, verdicts[Verdict.DOWN])


class AdmissionTest(TestCase):
    def test_free_slot_admits_immediately(self):
        queue = AdmissionQueue(1, 4)
        self.assertThat(queue.offer(READ, 1_000, 0), IsInstance(Admitted))
        self.assertThat(queue.offer(READ, 1_000, 0), IsInstance(Queued))

    def test_earliest_deadline_runs_first(self):
        queue = AdmissionQueue(1, 4)
        first = queue.offer(READ, 1_000, 0).ticket
        later = queue.offer(READ, 900, 0).ticket
        earlier = queue.offer(READ, 500, 0).ticket
        self.assertEqual([Admitted(earlier)], queue.finish(first, 5, 10))
        self.assertEqual([Admitted(later)], queue.finish(earlier, 5, 10))

    def test_full_queue_refuses_with_a_retry_time(self):
        queue = AdmissionQueue(1, 1)
        queue.offer(READ, 1_000, 0)
        queue.offer(READ, 1_000, 0)
        refused = queue.offer(READ, 1_000, 0)
        self.assertThat(refused, IsInstance(Refused))
        self.assertThat(refused.retry_after_ms, Equals(50))

    def test_statement_that_cannot_start_before_its_deadline_is_refused(self):
        queue = AdmissionQueue(1, 100)
        ticket = queue.offer(READ, 99_999, 0).ticket
        queue.finish(ticket, 2_000, 0)
        queue.offer(READ, 99_999, 0)
        self.assertThat(queue.offer(READ, 100, 0), IsInstance(Refused))

    def test_writes_are_preferred_but_reads_do_not_starve(self):
        queue = AdmissionQueue(1, 100)
        ticket = queue.offer(READ, 9_000, 0).ticket
        for _ in range(6):
            queue.offer(READ, 9_000, 0)
            queue.offer(WRITE, 9_000, 0)
        order = []
        for _ in range(8):
            (admitted,) = queue.finish(ticket, 5, 0)
            ticket = admitted.ticket
            order.append(ticket.work_class)
        self.assertEqual([WRITE, WRITE, WRITE, READ, WRITE, WRITE, WRITE, READ], order)

    def test_queued_statement_past_its_deadline_never_runs(self):
        queue = AdmissionQueue(1, 10)
        ticket = queue.offer(READ, 1_000, 0).ticket
        queue.offer(READ, 100, 0)
        (decision,) = queue.finish(ticket, 5, 200)
        self.assertThat(decision, IsInstance(Refused))

    def test_withdrawn_ticket_never_runs(self):
        queue = AdmissionQueue(1, 10)
        ticket = queue.offer(READ, 1_000, 0).ticket
        withdrawn = queue.offer(READ, 1_000, 0).ticket
        self.assertTrue(queue.withdraw(withdrawn))
        self.assertEqual([], queue.finish(ticket, 5, 10))

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(st.lists(st.tuples(st.sampled_from(WorkClass), st.integers(1, 500))))
    def test_every_ticket_ends_once_and_slots_are_not_exceeded(self, offers):
        queue = AdmissionQueue(3, 8)
        running, ended = [], Counter()
        now_ms = 0
        for work_class, after_ms in offers:
            now_ms += 3
            decision = queue.offer(work_class, now_ms + after_ms, now_ms)
            if isinstance(decision, Admitted):
                running.append(decision.ticket)
            if len(running) == 3:
                done = running.pop(0)
                ended[done.ticket_id] += 1
                for each in queue.finish(done, 5, now_ms):
                    if isinstance(each, Admitted):
                        running.append(each.ticket)
                    else:
                        ended[each.ticket.ticket_id] += 1
            self.assertThat(queue.running, LessThan(4))
        self.assertTrue(all(count == 1 for count in ended.values()))


class OutcomeTest(TestCase):
    def test_decision_for_each_progress_and_kind(self):
        kinds = (StatementKind.READ, StatementKind.WRITE)
        expected = {
            (Progress.NOT_SENT, kinds[0]): RetryDecision.RETRY,
            (Progress.REFUSED, kinds[0]): RetryDecision.RETRY,
            (Progress.SENT, kinds[0]): RetryDecision.RETRY,
            (Progress.STREAMING, kinds[0]): RetryDecision.NOT_RUN,
            (Progress.NOT_SENT, kinds[1]): RetryDecision.RETRY,
            (Progress.REFUSED, kinds[1]): RetryDecision.RETRY,
            (Progress.SENT, kinds[1]): RetryDecision.UNKNOWN,
            (Progress.STREAMING, kinds[1]): RetryDecision.UNKNOWN,
        }
        for (progress, kind), decision in expected.items():
            self.assertEqual(decision, decide_retry(Failure(progress, ""), kind, ""))

    def test_write_with_an_idempotency_key_is_retried(self):
        failure = Failure(Progress.SENT, "")
        self.assertEqual(
            RetryDecision.RETRY, decide_retry(failure, StatementKind.WRITE, "key")
        )

    def test_budget_bounds_retries(self):
        budget = RetryBudget()
        granted = 0
        for _ in range(1_000):
            budget.deposit()
            granted += budget.withdraw()
        self.assertThat(granted, LessThan(125))


class RoutingTest(TestCase):
    def setUp(self):
        super().setUp()
        self.router = Router(Location("b", "north"))
        self.upstreams = [
            Upstream("p", "", "a", "north", 3, 20),
            Upstream("near", "", "b", "north", 3, 20),
            Upstream("far", "", "c", "south", 3, 20),
        ]

    def names(self, kind=StatementKind.READ, mode=ConsistencyMode.SESSION, primary="p"):
        request = StatementRequest("s", "", "", kind, Consistency(mode))
        found = self.router.candidates(request, self.upstreams, primary, 0)
        return [each.upstream.name for each in found]

    def test_reads_prefer_the_replica_in_the_zone(self):
        self.assertEqual(["near", "p", "far"], self.names())

    def test_reads_prefer_a_replica_in_the_region_to_the_primary_in_the_zone(self):
        self.assertEqual(["p", "near", "far"], self.names(primary="near")[:3])

    def test_writes_and_primary_reads_go_to_the_primary_only(self):
        self.assertEqual(["p"], self.names(StatementKind.WRITE))
        self.assertEqual(["p"], self.names(mode=ConsistencyMode.PRIMARY))

    def test_failed_database_is_ordered_last_during_its_penalty(self):
        self.router.penalise("near", 0)
        self.assertEqual(["p", "far", "near"], self.names())

    def test_leaving_database_gets_no_reads(self):
        self.upstreams[1] = self.upstreams[1]._replace(is_leaving=True)
        self.assertEqual(["p", "far"], self.names())


class MembershipTest(TestCase):
    def setUp(self):
        super().setUp()
        self.members = Membership(node("self"))

    def names(self):
        return sorted(n.name for n in self.members.eligible_owners())

    def record_announcement(self, name, incarnation):
        """Record a heartbeat of a node that announces its own addresses."""
        rumor = Rumor(node(name, incarnation=incarnation), Status.ALIVE)
        self.members.record_heartbeat(name, incarnation, Status.ALIVE, [rumor])

    def test_unknown_sender_is_added_only_by_its_announcement(self):
        self.members.record_heartbeat("x", 1, Status.ALIVE, [])
        self.assertEqual(["self"], self.names())
        self.record_announcement("x", 1)
        self.assertEqual(["self", "x"], self.names())

    def test_listed_node_that_misses_heartbeats_stays_down(self):
        self.members.merge_host_list([node("x", incarnation=0)], set())
        self.assertEqual(["self", "x"], self.names())
        self.members.record_missed_heartbeat("x")
        self.assertTrue(self.members.record_missed_heartbeat("x"))
        self.members.merge_host_list([node("x", incarnation=0)], set())
        self.assertEqual(["self"], self.names())

    def test_restarted_node_is_alive_again(self):
        self.record_announcement("x", 1)
        self.members.record_missed_heartbeat("x")
        self.members.record_missed_heartbeat("x")
        self.assertTrue(self.members.record_heartbeat("x", 2, Status.ALIVE, []))
        self.assertEqual(["self", "x"], self.names())

    def test_rumor_of_an_older_incarnation_is_ignored(self):
        self.record_announcement("x", 5)
        old = Rumor(node("x", incarnation=4), Status.DOWN)
        self.members.record_heartbeat("y", 1, Status.ALIVE, [old])
        self.assertIn("x", self.names())

    def test_listed_address_replaces_the_announced_one(self):
        self.record_announcement("x", 5)
        version = self.members.version
        listed = node("x", incarnation=0)._replace(address="10.9.9.9:1")
        self.members.merge_host_list([listed], set())
        self.assertEqual("10.9.9.9:1", self.members.find("x").address)
        self.assertThat(self.members.version, Equals(version + 1))

    def test_node_refutes_a_rumor_that_it_is_down(self):
        own = self.members.own
        rumor = Rumor(own, Status.DOWN)
        self.members.record_heartbeat("x", 1, Status.ALIVE, [rumor])
        self.assertThat(self.members.own.incarnation, Equals(own.incarnation + 1))
        sent = [r for r in self.members.outgoing_rumors() if r.node.name == "self"]
        self.assertEqual(Status.ALIVE, sent[0].status)

    def test_node_listed_as_leaving_is_not_an_eligible_owner(self):
        self.record_announcement("x", 9)
        self.members.merge_host_list([node("x", incarnation=0)], {"x"})
        self.assertEqual(["self"], self.names())

    def test_rumor_of_a_node_that_is_down_reaches_the_whole_fleet(self):
        fleet = {f"n{i:02}": Membership(node(f"n{i:02}")) for i in range(40)}
        everyone = [members.own for members in fleet.values()]
        for members in fleet.values():
            members.merge_host_list(everyone, set())
        fleet.pop("n07")
        rounds = 0
        while any("n07" in [n.name for n in m.live_nodes()] for m in fleet.values()):
            rounds += 1
            for members in fleet.values():
                for target in members.heartbeat_targets():
                    if target.name == "n07":
                        members.record_missed_heartbeat("n07")
                        continue
                    other = fleet[target.name]
                    for sender, receiver in ((members, other), (other, members)):
                        rumors = sender.outgoing_rumors()
                        receiver.record_heartbeat(
                            sender.own.name, 1, Status.ALIVE, rumors
                        )
            self.assertThat(rounds, LessThan(16))


class ObjectTest(TestCase):
    def test_version_of_an_object_never_decreases(self):
        cache = ObjectCache()
        self.assertTrue(cache.put(StoreObject("k", "n", 5, "new")))
        self.assertFalse(cache.put(StoreObject("k", "n", 4, "old")))
        self.assertEqual("new", cache.get("k", "n").value)

    def test_pushed_object_does_not_advance_the_revision(self):
        cache = ObjectCache()
        cache.put(StoreObject("k", "n", 5, "pushed"))
        self.assertEqual(0, cache.revision)
        cache.apply_changes([StoreObject("k", "m", 3, "x")], 0, 5)
        self.assertEqual(5, cache.revision)

    def test_changes_after_a_gap_do_not_advance_the_revision(self):
        cache = ObjectCache()
        cache.apply_changes([StoreObject("k", "n", 9, "x")], 7, 9)
        self.assertEqual(0, cache.revision)


class RankTest(TestCase):
    def test_ranking_ignores_input_order_and_moves_only_keys_of_the_removed_node(self):
        nodes = [node(f"n{i}") for i in range(20)]
        keys = [f"db-{i}" for i in range(300)]
        before = {key: rank_nodes(key, nodes)[0].name for key in keys}
        after = {key: rank_nodes(key, nodes[::-1][1:])[0].name for key in keys}
        removed = nodes[-1].name
        moved = [k for k in keys if before[k] != after[k] and before[k] != removed]
        self.assertEqual([], moved)

    def test_nodes_of_the_zone_come_first(self):
        nodes = [node("x", "z2"), node("y", "z1"), node("w", "z1")]
        ranked = rank_nodes("key", nodes, "z2", "north")
        self.assertEqual("x", ranked[0].name)
