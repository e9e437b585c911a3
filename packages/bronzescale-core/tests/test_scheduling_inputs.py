"""Test what a scheduler is given: policy, reports of backlogs, transactions."""

from testtools import TestCase

from bronzescale_core.admission import WorkClass
from bronzescale_core.backlog_reports import (
    MAX_REPORT_AGE_MS,
    LoadReport,
    refuse_by_reports,
)
from bronzescale_core.catalog import Configuration, Route, RouteKind
from bronzescale_core.customers import Customer
from bronzescale_core.scheduling_policy import (
    LOWEST_PRIORITY,
    build_request,
    find_policy,
)
from bronzescale_core.transaction_room import TransactionRoom
from bronzescale_core.work import Outcome, Reach, Work, WorkStep, is_capacity_refusal


def configuration(priorities=(1, 2), customers=()):
    routes = {
        f"r{priority}": Route(
            f"r{priority}", "svc", RouteKind.PRIMARY, 1_000, 600, -1, priority
        )
        for priority in priorities
    }
    by_name = {customer.name: customer for customer in customers}
    return Configuration(1, routes, {}, 3_000, 1_000, by_name)


def work(request_id="q1", **fields):
    fields = {"deadline_ms": 1_000, "route": "r1", **fields}
    return Work("svc", "d1", WorkStep.SINGLE, request_id, "READ x", **fields)


def report_of(waits_ms, at_ms):
    """Return an owner's report of which only the waits matter here."""
    return LoadReport(0.0, 0.0, waits_ms, at_ms)


class TestPolicy(TestCase):
    def test_a_deployment_that_asks_for_nothing_keeps_the_plain_queue(self):
        self.assertIs(None, find_policy(None))
        self.assertIs(None, find_policy(configuration((1, 2, 2))))

    def test_an_urgent_route_or_customers_call_for_the_scheduler(self):
        self.assertEqual(3, find_policy(configuration((0, 1, 2))).priorities)
        self.assertIsNot(None, find_policy(configuration(customers=[Customer("a")])))

    def test_declared_rates_are_weights(self):
        customers = [Customer("a", 0, 30.0), Customer("b", 2, 10.0), Customer("c")]
        policy = find_policy(configuration(customers=customers))
        shares = {name: tuple(share) for name, share in policy.shares.items()}
        self.assertEqual({"a": (0, 1.5), "b": (2, 0.5), "c": (1, 1.0)}, shares)

    def test_a_request_holds_what_the_order_needs(self):
        policy = find_policy(configuration(customers=[Customer("a", 2)]))
        request = build_request(work(customer="a", received_at_ms=100), policy)
        self.assertEqual((1_000, 700), (request.deadline_ms, request.target_at_ms))
        self.assertEqual((1, "a", 2), request[3:6])
        self.assertEqual(WorkClass.READ, request.ticket_class)
        self.assertEqual(WorkClass.WRITE, build_request(work(is_write=True))[0])

    def test_priorities_are_bounded(self):
        policy = find_policy(configuration((0, 10_000)))
        self.assertEqual(LOWEST_PRIORITY + 1, policy.priorities)
        request = build_request(work(priority=10_000), policy)
        self.assertEqual(LOWEST_PRIORITY, request.priority)


class TestReports(TestCase):
    """A service at several times its capacity, seen from an entry host."""

    def test_refused_if_no_database_can_start_it_in_time(self):
        reports = [report_of((0, 1_500), 0), report_of((0, 2_000), 0)]
        answer = refuse_by_reports(work(), reports, 10)
        self.assertEqual((Outcome.BUSY, Reach.NOT_SENT), answer[:2])
        self.assertTrue(1_490 <= answer.retry_after_ms <= 2_980, answer)
        self.assertTrue(is_capacity_refusal(answer))

    def test_urgent_statements_are_judged_by_their_own_wait(self):
        reports = [report_of((0, 1_500), 0)]
        self.assertIs(None, refuse_by_reports(work(priority=0), reports, 10))

    def test_sent_if_one_database_is_unknown_or_free(self):
        full = report_of((2_000, 2_000), 0)
        for other in (None, report_of((), 0), report_of((0, 20), 0)):
            self.assertIs(None, refuse_by_reports(work(), [full, other], 0))
        self.assertIs(None, refuse_by_reports(work(), [], 0))

    def test_old_reports_refuse_nothing(self):
        report = report_of((90_000, 90_000), 0)
        late = MAX_REPORT_AGE_MS + 1
        statement = work(deadline_ms=late + 1_000)
        self.assertIs(None, refuse_by_reports(statement, [report], late))

    def test_a_backlog_drains_while_nothing_is_heard_of_it(self):
        report = report_of((1_500, 1_500), 0)
        statement = work(deadline_ms=1_600)
        self.assertIs(None, refuse_by_reports(statement, [report], 200))

    def test_callers_are_sent_back_at_different_times(self):
        report = report_of((3_000, 3_000), 0)
        times_ms = {
            refuse_by_reports(work(f"q{n}"), [report], 0).retry_after_ms
            for n in range(100)
        }
        self.assertTrue(len(times_ms) > 50, len(times_ms))


class TestTransactionRoom(TestCase):
    """Callers that rest inside transactions hold nearly all connections."""

    def test_the_last_connections_are_for_urgent_transactions(self):
        room = TransactionRoom(slots=4)
        room.record_hold(100)
        decisions = [room.offer(p, 1_000, 36, 46, 0) for p in (0, 1, 2)]
        self.assertEqual([(None, 0.0), (None, 0.0)], decisions[:2])
        number, wait_ms = decisions[2]
        self.assertIsNot(None, number)
        self.assertTrue(wait_ms > 0)

    def test_waiting_ones_are_admitted_urgent_first(self):
        room = TransactionRoom(slots=4)
        less, _ = room.offer(2, 1_000, 46, 46, 0)
        first, _ = room.offer(0, 1_000, 46, 46, 0)
        gone, _ = room.offer(0, 1_000, 46, 46, 0)
        room.withdraw(gone)
        self.assertEqual([], room.admit(42, 46))
        self.assertEqual([first], room.admit(41, 46))
        self.assertEqual([less], room.admit(20, 46))
        self.assertEqual(0, room.waiting)

    def test_a_newcomer_does_not_overtake_an_equal_one_that_waits(self):
        room = TransactionRoom(slots=4)
        self.assertIsNot(None, room.offer(1, 1_000, 46, 46, 0)[0])
        self.assertIsNot(None, room.offer(1, 1_000, 0, 46, 0)[0])

    def test_refused_at_once_if_no_transaction_ends_in_time(self):
        room = TransactionRoom(slots=4)
        for _ in range(100):
            room.record_hold(60_000)
        number, wait_ms = room.offer(1, 1_000, 46, 46, 0)
        self.assertIs(None, number)
        self.assertTrue(wait_ms > 1_000)

    def test_a_small_limit_still_lets_transactions_in(self):
        room = TransactionRoom(slots=16)
        self.assertEqual((None, 0.0), room.offer(2, 1_000, 5, 10, 0))
