"""Decide from probes whether a primary is down.

A short pause of the database or a lost probe must not count as a failure. Therefore a
primary that does not answer is down only after several failed probes in a row over a
minimum time. Refused connections are stronger evidence and need a shorter time.
"""

from enum import Enum
from typing import NamedTuple

PROBE_INTERVAL_MS = 500
PROBE_TIMEOUT_MS = 700
# Connections refused in a row, and the time that they must span.
REFUSED_STREAK = 3
REFUSED_SPAN_MS = 700
# Probes failed in a row, and the time since the last answer. A database that only
# paused may be silent for 2 s.
SILENT_STREAK = 3
SILENT_SPAN_MS = 2_600
# If two observations are further apart than this and a probe timeout, this process was
# paused itself; failures from before the gap are no evidence against the database.
MAX_OBSERVATION_GAP_MS = 1_600


class DetectionLimits(NamedTuple):
    """Evidence required to consider a database down.

    Parameters
    ----------
    refused_streak, silent_streak : int
        Minimum number of failed probes in a row.
    refused_span_ms, silent_span_ms : int
        Minimum time from the first of them, or from the last answer.
    """

    refused_streak: int = REFUSED_STREAK
    refused_span_ms: int = REFUSED_SPAN_MS
    silent_streak: int = SILENT_STREAK
    silent_span_ms: int = SILENT_SPAN_MS


class ProbeOutcome(Enum):
    """Result of one probe."""

    ANSWERED = "answered"
    REFUSED = "refused"
    SILENT = "silent"


class Verdict(Enum):
    """An observer's verdict on a database."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DOWN = "down"


class Finding(NamedTuple):
    """A verdict with its evidence.

    Parameters
    ----------
    verdict : Verdict
        The verdict.
    reason : str
        Description of the evidence, for logs and the group object.
    """

    verdict: Verdict
    reason: str


class FailureDetector:
    """Decide whether one database is down, from the probes of one node.

    Parameters
    ----------
    now_ms : int
        Time of creation.
    limits : DetectionLimits
        Evidence required to consider the database down.
    """

    def __init__(self, now_ms, limits=DetectionLimits()):  # noqa: B008
        self._limits = limits
        self._answered_at_ms = now_ms
        self._observed_at_ms = now_ms
        self._failing_since_ms = None
        self._failures = 0
        self._refusals = 0

    def observe(self, outcome, now_ms):
        """Record the outcome of one probe and return the new verdict.

        Parameters
        ----------
        outcome : ProbeOutcome
            The outcome.
        now_ms : int
            When the probe was answered, failed or timed out.

        Returns
        -------
        Finding
        """
        if now_ms - self._observed_at_ms > MAX_OBSERVATION_GAP_MS + PROBE_TIMEOUT_MS:
            self._reset_failures()
        self._observed_at_ms = now_ms
        if outcome is ProbeOutcome.ANSWERED:
            self._answered_at_ms = now_ms
            self._reset_failures()
        else:
            self._count_failure(outcome, now_ms)
        return self.finding(now_ms)

    def finding(self, now_ms):
        """Return the current verdict.

        Parameters
        ----------
        now_ms : int
            Current time.

        Returns
        -------
        Finding
        """
        if not self._failures:
            return Finding(Verdict.ALIVE, "the last probe was answered")
        span_ms = now_ms - self._failing_since_ms
        limits = self._limits
        is_refused = self._refusals >= limits.refused_streak
        if is_refused and span_ms >= limits.refused_span_ms:
            reason = f"{self._refusals} connections refused over {span_ms} ms"
            return Finding(Verdict.DOWN, reason)
        silent_ms = now_ms - self._answered_at_ms
        is_silent = self._failures >= limits.silent_streak
        if is_silent and silent_ms >= limits.silent_span_ms:
            reason = f"{self._failures} probes unanswered, silent for {silent_ms} ms"
            return Finding(Verdict.DOWN, reason)
        return Finding(Verdict.SUSPECT, f"{self._failures} probes failed")

    def _reset_failures(self):
        self._failing_since_ms = None
        self._failures = 0
        self._refusals = 0

    def _count_failure(self, outcome, now_ms):
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms
        self._failures += 1
        is_refused = outcome is ProbeOutcome.REFUSED
        self._refusals = self._refusals + 1 if is_refused else 0
