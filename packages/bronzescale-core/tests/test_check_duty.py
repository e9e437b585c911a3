"""The load: hosts that check the watches are cut off while watches lose answers."""

import testtools

from bronzescale_core.check_duty import CheckDuty, rank_watchers
from bronzescale_core.rendezvous import Node

INTERVAL_MS = 1_900
STEP_MS = 300
ZONES = ("a", "b", "c", "d", "e", "f", "g")


class RankTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.nodes = [
            Node(f"n{zone}{number}", "", zone, "") for zone in ZONES for number in "123"
        ]
        self.ranked = rank_watchers(self.nodes, 2)

    def test_two_hosts_of_each_zone_watch_and_zones_take_turns(self):
        self.assertEqual(14, len(self.ranked))
        self.assertEqual(set(ZONES), {w.node.zone for w in self.ranked[:7]})
        self.assertEqual([0] * 7 + [1] * 7, [w.zone_rank for w in self.ranked])

    def test_every_host_finds_the_same_order(self):
        self.assertEqual(self.ranked, rank_watchers(reversed(self.nodes), 2))

    def test_lost_host_leaves_the_other_zones_as_they_are(self):
        first = self.ranked[0].node
        left = rank_watchers([n for n in self.nodes if n != first], 2)
        self.assertEqual(first.zone, left[0].node.zone)
        self.assertEqual(self.ranked[1:7], left[1:7])


class DutyTest(testtools.TestCase):
    def duties(self, count):
        return [CheckDuty(INTERVAL_MS, STEP_MS, 0) for _ in range(count)]

    def checking(self, duties, now_ms):
        return [r for r, duty in enumerate(duties) if duty.due_at_ms(r) <= now_ms]

    def test_one_host_checks_while_its_reports_arrive(self):
        duties = self.duties(14)
        for now_ms in range(0, 60_000, 100):
            if now_ms % INTERVAL_MS == 0:
                for duty in duties[1:]:
                    duty.record_report(now_ms + STEP_MS)
            self.assertEqual([0], self.checking(duties, now_ms))

    def test_next_host_checks_soon_after_the_first_one_fell_silent(self):
        duties = self.duties(14)
        due_ms = INTERVAL_MS + STEP_MS
        self.assertEqual([0], self.checking(duties, due_ms - 1))
        self.assertEqual([0, 1], self.checking(duties, due_ms))

    def test_third_host_checks_if_two_are_silent_and_stops_once_one_reports(self):
        duties = self.duties(14)
        due_ms = INTERVAL_MS + 2 * STEP_MS
        self.assertEqual([0, 1, 2], self.checking(duties, due_ms))
        duties[2].record_report(due_ms)
        self.assertNotIn(2, self.checking(duties, due_ms + INTERVAL_MS))
