"""The load: a store loses answers while changes of several kinds follow each other."""

import testtools

from bronzescale_core.watch_doubts import WatchDoubts


class WatchDoubtsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.doubts = WatchDoubts(min_interval_ms=1_000)
        for kind in ("configuration", "upstreams", "groups"):
            self.doubts.record_answer(kind, 10, 0)

    def test_nothing_is_checked_while_the_store_does_not_change(self):
        self.assertEqual([], self.doubts.kinds_to_check(10, 5_000))

    def test_watches_that_did_not_show_a_revision_are_checked(self):
        self.doubts.record_answer("upstreams", 12, 2_000)
        self.assertEqual(
            ["configuration", "groups"], self.doubts.kinds_to_check(12, 2_000)
        )

    def test_storm_of_changes_costs_one_check_of_a_kind_in_each_interval(self):
        checks = 0
        for step in range(100):
            at_ms, version = 1_000 + step * 50, 11 + step
            self.doubts.record_answer("configuration", version, at_ms)
            for kind in self.doubts.kinds_to_check(version, at_ms):
                self.doubts.doubt(kind)
                self.doubts.record_answer(kind, version, at_ms)
                checks += 1
        self.assertEqual(2 * 5, checks)

    def test_answer_settles_a_doubt(self):
        self.doubts.doubt("groups")
        self.assertTrue(self.doubts.is_doubted("groups"))
        self.assertNotIn("groups", self.doubts.kinds_to_check(11, 5_000))
        self.doubts.record_answer("groups", 11, 5_000)
        self.assertFalse(self.doubts.is_doubted("groups"))

    def test_object_of_a_peer_is_missed_until_the_watch_shows_it(self):
        self.assertTrue(self.doubts.may_have_missed("groups", 11))
        self.doubts.record_answer("groups", 11, 10)
        self.assertFalse(self.doubts.may_have_missed("groups", 11))
        self.assertFalse(self.doubts.may_have_missed("never listed", 11))
