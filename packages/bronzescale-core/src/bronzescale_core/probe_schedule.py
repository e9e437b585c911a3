"""Decide when the owner of a primary's connections probes it.

The load that this answers: a primary falls silent while statements run on it. Those
that get no answer tell so before the next regular probe would.
"""

# A statement that has waited for this multiple of the usual time hints at a failure.
HINT_FACTOR = 5.0
# Lower bound of that time; the longest of usual statements are not a hint.
MIN_HINT_MS = 120
# Weight of the newest answer in the moving average of the time until one.
ANSWER_TIME_WEIGHT = 0.1


class ProbeSchedule:
    """When a primary was last heard, and since when statements wait for it.

    Parameters
    ----------
    now_ms : int
        Time of creation.
    """

    def __init__(self, now_ms):
        self.answered_at_ms = now_ms
        self._waiting_since_ms = None
        self._answer_time_ms = 0.0

    def record_sent(self, now_ms):
        """Record that a statement was sent to the primary."""
        if self._waiting_since_ms is None:
            self._waiting_since_ms = now_ms

    def record_answer(self, now_ms, took_ms=None):
        """Record an answer.

        Parameters
        ----------
        now_ms : int
            When it arrived.
        took_ms : int or None
            Time since its statement was sent; None for the answer to a probe.
        """
        self.answered_at_ms = now_ms
        self._waiting_since_ms = None
        if took_ms is not None:
            known_ms = self._answer_time_ms or took_ms
            self._answer_time_ms = known_ms + ANSWER_TIME_WEIGHT * (took_ms - known_ms)

    def is_due(self, interval_ms, now_ms):
        """Return whether the primary should be probed.

        Parameters
        ----------
        interval_ms : int
            Longest time without an answer.
        now_ms : int
            Current time.

        Returns
        -------
        bool
        """
        if now_ms - self.answered_at_ms >= interval_ms:
            return True
        if self._waiting_since_ms is None:
            return False
        hint_ms = max(MIN_HINT_MS, HINT_FACTOR * self._answer_time_ms)
        return now_ms - self._waiting_since_ms >= hint_ms
