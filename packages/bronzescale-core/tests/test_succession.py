"""Copies that may replace one that failed while it was promoted."""

from typing import NamedTuple

import testtools

from bronzescale_core.positions import Position
from bronzescale_core.succession import Candidate, find_substitutes


class _Status(NamedTuple):
    received: Position


def candidate(name, offset, is_leaving=False):
    return Candidate(name, "a", is_leaving, _Status(Position(1, offset)))


class SubstitutesTest(testtools.TestCase):
    def find(self, *candidates):
        """Return the substitutes of the first candidate."""
        return [c.instance for c in find_substitutes(candidates[0], candidates)]

    def test_a_copy_with_the_same_log_may_take_over(self):
        self.assertEqual(["b"], self.find(candidate("a", 80), candidate("b", 80)))

    def test_a_copy_that_lacks_writes_may_not(self):
        """Pattern: the other replica is deaf for seconds while two copies crash."""
        self.assertEqual([], self.find(candidate("a", 80), candidate("b", 56)))

    def test_a_leaving_copy_may_not(self):
        leaving = candidate("b", 80, is_leaving=True)
        self.assertEqual([], self.find(candidate("a", 80), leaving))
