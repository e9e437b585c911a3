"""Learn how long statements hold a slot, by route and kind of statement.

Load answered: routes whose statements take 5 to 55 ms on average share one database, so
that a count of waiting statements says little about the wait.
"""

import math
from collections import OrderedDict
from typing import NamedTuple

# Estimate that is used until statements have been timed. It is low, so that no
# statement is refused because of an estimate.
DEFAULT_WORK_MS = 5.0
# Weight of the newest statement once an average has settled. Long statements are few;
# a larger weight would forget them between two of them.
NEWEST_WEIGHT = 0.02
# A kind's own average counts as much as the average of all after this many statements.
PRIOR_STATEMENTS = 5
# Bounds the memory for kinds; the kind that was unused for longest is dropped.
MAX_KINDS = 128
# Of the usual skewed distribution (log-normal, mean and deviation about equal), one
# statement in a hundred takes longer than the mean plus this many standard deviations.
HIGH_DEVIATIONS = 4.0


class WorkEstimate(NamedTuple):
    """Expected time that a statement holds a slot.

    Parameters
    ----------
    mean_ms : float
        Mean.
    spread_ms : float
        Standard deviation.
    """

    mean_ms: float
    spread_ms: float

    @property
    def high_ms(self):
        """Return a time that few statements exceed."""
        return self.mean_ms + HIGH_DEVIATIONS * self.spread_ms


class _Moments:
    """Moving mean and variance."""

    def __init__(self, mean_ms, variance):
        self.count = 0
        self.mean_ms = mean_ms
        self.variance = variance

    def add(self, held_ms):
        self.count += 1
        weight = max(NEWEST_WEIGHT, 1.0 / self.count)
        change_ms = held_ms - self.mean_ms
        self.mean_ms += weight * change_ms
        self.variance = (1 - weight) * (self.variance + weight * change_ms**2)


class WorkEstimates:
    """Estimates for one database.

    A new kind starts from the average of all statements and follows its own statements
    as they are timed.
    """

    def __init__(self):
        self._all = _Moments(DEFAULT_WORK_MS, DEFAULT_WORK_MS**2)
        self._kinds = OrderedDict()

    def estimate(self, kind):
        """Return the estimate for a kind of statement.

        Parameters
        ----------
        kind : hashable
            Route and kind of the statement.

        Returns
        -------
        WorkEstimate
        """
        moments = self._kinds.get(kind)
        if moments is None:
            return WorkEstimate(self._all.mean_ms, math.sqrt(self._all.variance))
        own = moments.count / (moments.count + PRIOR_STATEMENTS)
        mean_ms = own * moments.mean_ms + (1 - own) * self._all.mean_ms
        variance = own * moments.variance + (1 - own) * self._all.variance
        return WorkEstimate(mean_ms, math.sqrt(variance))

    def record(self, kind, held_ms):
        """Record how long an answered statement held its slot.

        Parameters
        ----------
        kind : hashable or None
            Route and kind of the statement; None if unknown.
        held_ms : float
            How long it held the slot.
        """
        self._all.add(held_ms)
        if kind is None:
            return
        moments = self._kinds.get(kind)
        if moments is None:
            moments = self._kinds[kind] = _Moments(held_ms, 0.0)
            if len(self._kinds) > MAX_KINDS:
                self._kinds.popitem(last=False)
        moments.add(held_ms)
        self._kinds.move_to_end(kind)
