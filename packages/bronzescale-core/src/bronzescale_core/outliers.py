"""Eject a database whose statements fail while it looks healthy (outlier ejection).

The owner of a database sees every statement that runs there, so it alone counts the
outcomes, and reports an ejection with each answer. Nodes that choose a database avoid
ejected ones as long as enough others remain.
"""

# The weight of an outcome halves in this time, so that a disturbance of one second does
# not count for long.
OUTCOME_HALF_LIFE_MS = 2_000
# Fewer failures may be chance: one read in a hundred is slow though nothing is wrong.
MIN_FAILURES = 3.0
# Losing one answer in ten costs more than the longer round trip to another database.
MAX_FAILURE_SHARE = 0.1
# The first ejection lasts as long as a short fault. Each further one is twice as long,
# up to a limit that covers most of the long faults.
FIRST_EJECTION_MS = 1_000
MAX_EJECTION_MS = 4_000


class OutcomeTracker:
    """Recent outcomes of one database and the ejection that they led to.

    After an ejection the database is on probation: the first statements probe it, one
    more failure ejects it for twice as long, and a half-life without one ends it.

    Attributes
    ----------
    ejected_until_ms : int
        When the latest ejection ends; other databases are preferred until then.
    """

    def __init__(self):
        self.ejected_until_ms = 0
        self._failed = 0.0
        self._total = 0.0
        self._decayed_at_ms = 0
        self._next_ejection_ms = FIRST_EJECTION_MS
        self._probation_ends_ms = 0

    @property
    def failure_share(self):
        """Return the share of recent statements that failed."""
        return self._failed / self._total if self._total else 0.0

    def record(self, is_failed, now_ms):
        """Record the outcome of one statement.

        Parameters
        ----------
        is_failed : bool
            Whether the database failed or lost the statement, or did not answer.
        now_ms : int
            Current time.

        Returns
        -------
        bool
            Whether this outcome ejects the database.
        """
        self._decay(now_ms)
        self._total += 1
        self._failed += is_failed
        if not is_failed or now_ms < self.ejected_until_ms:
            return False
        is_on_probation = now_ms < self._probation_ends_ms
        is_outlier = (
            self._failed >= MIN_FAILURES and self.failure_share >= MAX_FAILURE_SHARE
        )
        if not (is_on_probation or is_outlier):
            return False
        self._eject(now_ms, is_on_probation)
        return True

    def _decay(self, now_ms):
        decay = 0.5 ** ((now_ms - self._decayed_at_ms) / OUTCOME_HALF_LIFE_MS)
        self._decayed_at_ms = now_ms
        self._failed *= decay
        self._total *= decay

    def _eject(self, now_ms, is_on_probation):
        if not is_on_probation:
            self._next_ejection_ms = FIRST_EJECTION_MS
        self.ejected_until_ms = now_ms + self._next_ejection_ms
        self._probation_ends_ms = self.ejected_until_ms + OUTCOME_HALF_LIFE_MS
        self._next_ejection_ms = min(MAX_EJECTION_MS, 2 * self._next_ejection_ms)
        self._failed = self._total = 0.0


def choose_avoided(ejected_until_ms, copies, now_ms):
    """Return the ejected databases to avoid; at least half stay in use.

    Parameters
    ----------
    ejected_until_ms : dict of str to int
        When each database's ejection ends, as its owner reported.
    copies : collection of str
        Every database that could serve.
    now_ms : int
        Current time.

    Returns
    -------
    set of str
        The ones whose ejection ends last; not all ejected ones if too few others would
        remain.
    """
    ejected = [c for c in copies if ejected_until_ms.get(c, 0) > now_ms]
    ejected.sort(key=lambda c: (-ejected_until_ms[c], c))
    return set(ejected[: len(copies) // 2])
