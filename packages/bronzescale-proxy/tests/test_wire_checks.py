"""What a peer sends becomes a message only if every field of it can be used."""

import testtools

from bronzescale_core.field_checks import MAX_TIME_MS
from bronzescale_core.membership import Rumor, Status
from bronzescale_core.objects import StoreObject
from bronzescale_core.positions import Position
from bronzescale_core.statements import (
    Consistency,
    ConsistencyMode,
    StatementKind,
    StatementRequest,
)
from bronzescale_proxy import wire
from bronzescale_proxy.messages import CHECK_REPORT
from bronzescale_standins.samples import (
    ANSWER,
    GRANT,
    HOST,
    MESSAGES,
    PERMIT_REQUEST,
    WORK,
)

ODD_HOSTS = (
    HOST._replace(name=""),
    HOST._replace(name="n" * 300),
    HOST._replace(address="nowhere"),
    HOST._replace(address="10.0.0.1:99999"),
    HOST._replace(address="10.0.0.1:\u0661"),
    HOST._replace(zone=""),
    HOST._replace(region="a\nb"),
    HOST._replace(incarnation=-1),
    HOST._replace(incarnation=2**63 - 1),
    HOST._replace(admin_address="nowhere"),
)


def decode(message):
    return wire.decode(wire.encode(1, message, 0)[wire.HEADER.size :], 0)[1]


class RumorTest(testtools.TestCase):
    # Guards against one odd rumor that spreads through the fleet by itself.
    def test_odd_rumors_are_left_out_and_reported(self):
        rumors = [Rumor(HOST, Status.LEAVING)]
        rumors += [Rumor(node, Status.ALIVE) for node in ODD_HOSTS]
        heartbeat = decode(wire.Heartbeat("n2", 7, Status.ALIVE, 0, rumors, (1, 2)))
        self.assertEqual(rumors[:1], heartbeat.rumors)
        self.assertEqual(len(ODD_HOSTS), len(heartbeat.unreadable))

    def test_rumor_of_an_unknown_status_costs_only_itself(self):
        heartbeat = decode(
            wire.Heartbeat("n2", 7, Status.ALIVE, 0, [Rumor(HOST, 9)], (1, 2))
        )
        self.assertEqual([], heartbeat.rumors)
        self.assertEqual("'n1'", heartbeat.unreadable[0].name)


ODD_MESSAGES = (
    WORK._replace(service=None),
    WORK._replace(text=None),
    WORK._replace(values=(("a", None),)),
    WORK._replace(floor=Position(-1, 0)),
    WORK._replace(floor=Position(0, 2**63 - 1)),
    WORK._replace(max_age_ms=-2),
    WORK._replace(max_age_ms=MAX_TIME_MS + 1),
    WORK._replace(transaction_id=-1),
    WORK._replace(deadline_ms=2**62),
    ANSWER._replace(position=Position(2**63 - 1, 0)),
    ANSWER._replace(load=float("nan")),
    ANSWER._replace(load=float("inf")),
    ANSWER._replace(load=-1.0),
    ANSWER._replace(retry_after_ms=-1),
    ANSWER._replace(waits_ms=(5, -1)),
    ANSWER._replace(ejected_until_ms=2**30),
    GRANT._replace(permits=-(2**31)),
    GRANT._replace(permits=2**31 - 1),
    GRANT._replace(valid_until_ms=2**31 - 1),
    GRANT._replace(wait_ms=-5),
    PERMIT_REQUEST._replace(wanted=-1),
    PERMIT_REQUEST._replace(customer=""),
    PERMIT_REQUEST._replace(unused=-3),
    wire.Heartbeat("", 5, Status.ALIVE, 0, [], ()),
    wire.Heartbeat("n1", -5, Status.ALIVE, 0, [], ()),
    wire.Heartbeat("n1", 2**63 - 1, Status.ALIVE, 0, [], ()),
    wire.Heartbeat("n1", 5, Status.ALIVE, 0, [], (-1, 2)),
    wire.Objects(-1, -1, [StoreObject("hosts", None, 7, {})]),
    wire.Objects(-1, -1, [StoreObject("hosts", "n1", -7, {})]),
    wire.Objects(-9, -1, []),
    wire.EvidenceRequest("s", -3),
    wire.EvidenceReply(None, "a", 3, "down"),
    wire.HeadReply(Position(3, -7), ""),
    wire.HeadRequest("s", 2**40),
    wire.Hello("n1", -1),
    wire.StateReply(True, StoreObject("groups", None, 7, {}), 1, ""),
    wire.EndTransaction(None, 1),
    wire.Credit(-1),
)


class FieldTest(testtools.TestCase):
    # Guards against odd numbers of one peer that decide something at another one.
    def test_odd_messages_are_refused(self):
        # This host sends no time above a day; another one may.
        self.patch(wire, "MAX_TIME_MS", 2**63 - 1)
        for message in ODD_MESSAGES:
            payload = wire.encode(1, message, 0)[wire.HEADER.size :]
            with self.assertRaises((ValueError, TypeError), msg=message):
                wire.decode(payload, 0)

    def test_estimates_beyond_a_day_are_sent_as_a_day(self):
        """A customer of one operation a year, or a replica that stands still."""
        far_ms = 400 * MAX_TIME_MS
        answer = decode(ANSWER._replace(retry_after_ms=far_ms, waits_ms=(5, far_ms)))
        self.assertEqual(MAX_TIME_MS, answer.retry_after_ms)
        self.assertEqual((5, MAX_TIME_MS), answer.waits_ms)
        grant = decode(GRANT._replace(retry_after_ms=far_ms, wait_ms=far_ms))
        self.assertEqual(
            (MAX_TIME_MS, MAX_TIME_MS), (grant.retry_after_ms, grant.wait_ms)
        )

    def test_ages_and_deadlines_beyond_a_day_are_sent_as_a_day(self):
        """Guards against one statement that ends those of others on its connection."""
        far_ms = 400 * MAX_TIME_MS
        work = decode(WORK._replace(max_age_ms=far_ms, deadline_ms=far_ms))
        self.assertEqual((MAX_TIME_MS,) * 2, (work.max_age_ms, work.deadline_ms))
        request = StatementRequest(
            "s",
            "d1",
            "SELECT 1",
            StatementKind.READ,
            consistency=Consistency(ConsistencyMode.AGE, 10**40),
            deadline_ms=far_ms,
            wait_until_ms=far_ms,
        )
        request = decode(request)
        self.assertEqual(MAX_TIME_MS, request.consistency.max_age_ms)
        self.assertEqual(
            (MAX_TIME_MS,) * 2, (request.deadline_ms, request.wait_until_ms)
        )
        head = decode(wire.HeadRequest("s", far_ms))
        self.assertEqual(MAX_TIME_MS, head.deadline_ms)

    def test_ordinary_messages_are_taken(self):
        last_number = wire.EndTransaction("d1", 2**63 - 1)
        check_report = wire.Objects(CHECK_REPORT, -1, [])
        for message in (*MESSAGES, last_number, check_report):
            self.assertEqual(message, decode(message))
