"""Gaps without a primary, computed from the logs of the processes of a fleet."""

import json

from testtools import TestCase

from bronzescale_standins.fleet.gaps import Gap, find_gaps, read_events


def _line(time_ms, event, **fields):
    document = json.dumps({"time_ms": time_ms, "event": event, **fields})
    return f"  1.25 node-1 {document}\n"


def _served(time_ms, upstream, step="commit"):
    return _line(time_ms, "served", upstream=upstream, step=step)


def _change(reason):
    return [
        _line(1_900, "change_begun", service="s", primary="old"),
        _line(
            3_000,
            "group_state",
            service="s",
            primary="new",
            term=2,
            phase="active",
            reason=reason,
        ),
    ]


class TestGaps(TestCase):
    def test_gap_lasts_from_last_old_to_first_new_commit(self):
        lines = [
            _served(900, "old"),
            _served(1_000, "old"),
            *_change("down: 3 connections refused over 450 ms"),
            _served(2_000, "other"),
            _served(3_400, "new"),
            _served(3_200, "new"),
            _served(2_500, "new", step="single"),
        ]
        self.assertEqual([Gap("s", "refused", 2_200)], find_gaps(read_events(lines)))

    def test_cause_comes_from_the_reason_of_the_change(self):
        for reason, cause in (
            ("down: 3 probes unanswered, silent for 1400 ms", "silent"),
            ("leaving: it is leaving", "leaving"),
        ):
            lines = [_served(1_000, "old"), *_change(reason), _served(3_100, "new")]
            (gap,) = find_gaps(read_events(lines))
            self.assertEqual(cause, gap.cause)

    def test_change_without_a_later_commit_has_no_gap(self):
        lines = [_served(1_000, "old"), *_change("down: refused")]
        self.assertEqual([], find_gaps(read_events(lines)))

    def test_truncated_and_plain_lines_are_skipped(self):
        lines = ['1.0 node {"time_ms": 3, "ev', "plain text", _served(5, "x")]
        self.assertEqual(1, len(read_events(lines)))
