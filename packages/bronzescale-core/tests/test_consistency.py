"""Log positions, acknowledgement of writes, and heads for bounded-age reads."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase, run_test_with  # noqa: F401
from testtools.matchers import Equals, HasLength, Is, LessThan

from bronzescale_core.acknowledgement import (
    CONFIRMATION_STALL_MS,
    ConfirmationTracker,
    Confirmed,
    CopyReport,
    Superseded,
)
from bronzescale_core.exceptions import InvalidTokenError
from bronzescale_core.heads import HeadTracker
from bronzescale_core.positions import (
    Position,
    SessionToken,
    TermStart,
    add_term_start,
    covers,
    parse_token,
    render_token,
)


def report(name="r1", term=1, received=0, applied=None, sent_at_ms=0, **fields):
    role = fields.get("role", "replica")
    log_term = fields.get("log_term", term)
    applied = received if applied is None else applied
    return CopyReport(name, role, term, log_term, received, applied, sent_at_ms)


class PositionTest(TestCase):
    def test_same_term_compares_offsets(self):
        self.assertTrue(covers(Position(1, 5), Position(1, 5), ()))
        self.assertFalse(covers(Position(1, 4), Position(1, 5), ()))

    def test_older_term_never_covers(self):
        self.assertFalse(covers(Position(1, 99), Position(2, 5), ()))

    def test_copy_of_a_newer_term_must_have_applied_the_floor_offset(self):
        starts = (TermStart(2, 10),)
        self.assertFalse(covers(Position(2, 7), Position(1, 8), starts))
        self.assertTrue(covers(Position(2, 8), Position(1, 8), starts))

    def test_floor_past_the_term_start_is_capped(self):
        # Entries 11 and 12 of term 1 were never acknowledged and did not survive.
        starts = (TermStart(2, 10),)
        self.assertTrue(covers(Position(2, 10), Position(1, 12), starts))
        self.assertFalse(covers(Position(2, 9), Position(1, 12), starts))

    def test_term_starts_are_bounded(self):
        starts = ()
        for term in range(1, 40):
            starts = add_term_start(starts, TermStart(term, term))
        self.assertThat(starts, HasLength(16))
        self.assertThat(starts[-1], Equals(TermStart(39, 39)))

    def test_token_round_trip(self):
        token = SessionToken("patrol-records-1", Position(3, 77))
        self.assertThat(parse_token(render_token(token)), Equals(token))

    def test_bad_tokens_name_the_remedy(self):
        for text in ("", "bz1:s:1", "bz2:s:1:2", "bz1::1:2", "bz1:s:-1:2", "x" * 500):
            error = self.assertRaises(InvalidTokenError, parse_token, text)
            self.assertIn("@bronzescale_token", str(error))


class AcknowledgementTest(TestCase):
    def test_write_is_confirmed_once_one_replica_has_received_it(self):
        tracker = ConfirmationTracker(1)
        write_id, is_confirmed = tracker.add(Position(1, 5), 0)
        self.assertFalse(is_confirmed)
        self.assertEqual([], tracker.report(report(received=4)))
        self.assertEqual([Confirmed(write_id)], tracker.report(report(received=5)))

    def test_one_report_confirms_all_writes_up_to_its_offset(self):
        tracker = ConfirmationTracker(1)
        ids = [tracker.add(Position(1, n), 0)[0] for n in (3, 1, 2)]
        decisions = tracker.report(report(received=3))
        self.assertEqual(sorted(ids), sorted(d.write_id for d in decisions))

    def test_write_at_a_reported_offset_is_confirmed_immediately(self):
        tracker = ConfirmationTracker(1)
        tracker.report(report(received=9))
        self.assertTrue(tracker.add(Position(1, 9), 0)[1])

    def test_replica_of_a_newer_term_confirms_nothing(self):
        tracker = ConfirmationTracker(1)
        write_id, _ = tracker.add(Position(1, 5), 0)
        decisions = tracker.report(report(term=2, received=9))
        self.assertEqual([Superseded(write_id, 2)], decisions)

    def test_fenced_replica_with_an_old_log_confirms_nothing(self):
        tracker = ConfirmationTracker(1)
        write_id, _ = tracker.add(Position(1, 5), 0)
        decisions = tracker.report(report(term=2, log_term=1, received=5))
        self.assertEqual([Superseded(write_id, 2)], decisions)

    def test_two_needed_copies_confirm_with_two_reports(self):
        tracker = ConfirmationTracker(2)
        write_id, _ = tracker.add(Position(1, 1), 0)
        self.assertEqual([], tracker.report(report("r1", received=1)))
        decisions = tracker.report(report("r2", received=1))
        self.assertEqual([Confirmed(write_id)], decisions)

    def test_stalls_while_a_write_waits_too_long_for_confirmation(self):
        tracker = ConfirmationTracker(1)
        tracker.add(Position(1, 5), 0)
        self.assertFalse(tracker.is_stalled(CONFIRMATION_STALL_MS))
        self.assertTrue(tracker.is_stalled(CONFIRMATION_STALL_MS + 1))
        tracker.report(report(received=5))
        self.assertFalse(tracker.is_stalled(99_999))

    def test_abandoned_write_is_not_reported(self):
        tracker = ConfirmationTracker(1)
        write_id, _ = tracker.add(Position(1, 5), 0)
        tracker.abandon(write_id)
        self.assertEqual(0, tracker.waiting)
        self.assertEqual([], tracker.report(report(received=5)))

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.lists(st.integers(1, 30), min_size=1, max_size=20),
        st.lists(st.integers(0, 30), max_size=20),
    )
    def test_confirms_exactly_what_was_received(self, offsets, received_offsets):
        tracker = ConfirmationTracker(1)
        ids = {}
        confirmed = set()
        for offset in offsets:
            write_id, is_confirmed = tracker.add(Position(1, offset), 0)
            ids[write_id] = offset
            confirmed |= {write_id} if is_confirmed else set()
        for received in received_offsets:
            confirmed |= {d.write_id for d in tracker.report(report(received=received))}
        highest = max(received_offsets, default=0)
        expected = {write_id for write_id, offset in ids.items() if offset <= highest}
        self.assertEqual(expected, confirmed)


class HeadTest(TestCase):
    def make_heads(self):
        heads = HeadTracker(1)
        heads.set_term(1)
        return heads

    def test_head_needs_the_primary_and_a_replica_of_the_same_term(self):
        heads = self.make_heads()
        heads.report(report("p", role="primary", received=5, sent_at_ms=100), True)
        self.assertThat(heads.newest(), Is(None))
        heads.report(report("r1", term=2, received=5, sent_at_ms=100), False)
        self.assertThat(heads.newest(), Is(None))
        heads.report(report("r1", received=3, sent_at_ms=90), False)
        self.assertEqual((Position(1, 5), 90), tuple(heads.newest()))

    def test_fenced_primary_gives_no_head(self):
        heads = self.make_heads()
        heads.report(report("p", role="fenced", received=5, sent_at_ms=100), True)
        heads.report(report("r1", received=5, sent_at_ms=100), False)
        self.assertThat(heads.newest(), Is(None))

    def test_age_grows_while_the_primary_is_unreachable(self):
        heads = self.make_heads()
        heads.report(report("p", role="primary", received=5, sent_at_ms=100), True)
        heads.report(report("r1", received=5, sent_at_ms=100), False)
        self.assertEqual(50, heads.age_ms(Position(1, 5), 150))
        self.assertEqual(9_900, heads.age_ms(Position(1, 5), 10_000))

    def test_age_of_a_lagging_replica_is_that_of_its_applied_position(self):
        heads = self.make_heads()
        for at_ms, offset in ((100, 5), (1_000, 6), (2_000, 7)):
            heads.report(
                report("p", role="primary", received=offset, sent_at_ms=at_ms), True
            )
            heads.report(report("r1", received=offset, sent_at_ms=at_ms), False)
        self.assertEqual(100, heads.age_ms(Position(1, 7), 2_100))
        self.assertEqual(2_000, heads.age_ms(Position(1, 5), 2_100))
        self.assertThat(heads.age_ms(Position(1, 4), 2_100), Is(None))

    def test_samples_are_thinned_to_the_spacing(self):
        heads = self.make_heads()
        for at_ms in range(1_000):
            heads.report(
                report("p", role="primary", received=at_ms, sent_at_ms=at_ms), True
            )
            heads.report(report("r1", received=at_ms, sent_at_ms=at_ms), False)
        self.assertThat(len(heads._samples), LessThan(30))
        self.assertEqual(999, heads.newest().position.offset)
