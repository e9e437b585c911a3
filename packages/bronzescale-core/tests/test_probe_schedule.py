"""Probes of a primary that falls silent under load."""

import testtools

from bronzescale_core.probe_schedule import MIN_HINT_MS, ProbeSchedule

INTERVAL_MS = 350


def first_due_ms(schedule, from_ms):
    """Return when the next probe is due."""
    return next(
        now_ms
        for now_ms in range(from_ms, from_ms + 2 * INTERVAL_MS)
        if schedule.is_due(INTERVAL_MS, now_ms)
    )


class ProbeScheduleTest(testtools.TestCase):
    def busy_schedule(self, took_ms, until_ms=2_000):
        """Return a schedule whose statements were answered until a time."""
        schedule = ProbeSchedule(0)
        for now_ms in range(0, until_ms, 10):
            schedule.record_sent(now_ms)
            schedule.record_answer(now_ms + 5, took_ms)
        return schedule

    def test_a_primary_that_answers_needs_no_probe(self):
        schedule = ProbeSchedule(0)
        for now_ms in range(0, 3_000, 20):
            schedule.record_sent(now_ms)
            self.assertFalse(schedule.is_due(INTERVAL_MS, now_ms))
            schedule.record_answer(now_ms + 15, 15)

    def test_statements_without_an_answer_bring_the_probe_forward(self):
        """Pattern: 100 statements a second, and the primary falls silent at 2 s."""
        schedule = self.busy_schedule(took_ms=15)
        for now_ms in range(2_000, 2_100, 10):
            schedule.record_sent(now_ms)
        self.assertEqual(2_000 + MIN_HINT_MS, first_due_ms(schedule, 2_000))

    def test_slow_statements_are_no_hint(self):
        schedule = self.busy_schedule(took_ms=60)
        schedule.record_sent(2_000)
        self.assertEqual(2_000 + 300, first_due_ms(schedule, 2_000))

    def test_an_unused_primary_is_probed_at_the_interval(self):
        schedule = ProbeSchedule(0)
        self.assertEqual(INTERVAL_MS, first_due_ms(schedule, 0))

    def test_any_answer_ends_the_wait(self):
        schedule = self.busy_schedule(took_ms=15)
        schedule.record_sent(2_000)
        schedule.record_answer(2_100)
        self.assertEqual(2_100 + INTERVAL_MS, first_due_ms(schedule, 2_100))
