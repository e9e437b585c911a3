"""Decide from probes whether a primary is down.

A pause of the database or a lost probe must not look like a death, so silence
needs a streak and a span. Refused connections are stronger evidence and need less.
"""

from enum import Enum
from typing import NamedTuple

PROBE_INTERVAL_MS = 500
PROBE_TIMEOUT_MS = 700
REFUSED_STREAK = 3
REFUSED_SPAN_MS = 700
SILENT_STREAK = 3
SILENT_SPAN_MS = 2_600
OBSERVER_PAUSE_MS = 1_600


class DetectionLimits(NamedTuple):
    """How much evidence makes a database count as down.

    Parameters
    ----------
    refused_streak, silent_streak : int
        Failed probes in a row.
    refused_span_ms, silent_span_ms : int
        Time that they span at least.
    """

    refused_streak: int = REFUSED_STREAK
    refused_span_ms: int = REFUSED_SPAN_MS
    silent_streak: int = SILENT_STREAK
    silent_span_ms: int = SILENT_SPAN_MS


class ProbeOutcome(Enum):
    """What came back from one probe."""

    ANSWERED = "answered"
    REFUSED = "refused"
    SILENT = "silent"


class Verdict(Enum):
    """What an observer holds of a database."""

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
        Evidence in words, for logs and the group object.
    """

    verdict: Verdict
    reason: str


class FailureDetector:
    """Judge one database from the probes of one node.

    Parameters
    ----------
    now_ms : int
        Time of creation.
    limits : DetectionLimits
        How much evidence it takes.
    """

    def __init__(self, now_ms, limits=DetectionLimits()):  # noqa: B008
        self._limits = limits
        self._answered_at_ms = now_ms
        self._observed_at_ms = now_ms
        self._failing_since_ms = None
        self._failures = 0
        self._refusals = 0

    def observe(self, outcome, now_ms):
        """Take the outcome of one probe.

        Parameters
        ----------
        outcome : ProbeOutcome
            What came back.
        now_ms : int
            When it came back or timed out.

        Returns
        -------
        Finding
        """
        if now_ms - self._observed_at_ms > OBSERVER_PAUSE_MS + PROBE_TIMEOUT_MS:
            self._forget_failures()
        self._observed_at_ms = now_ms
        if outcome is ProbeOutcome.ANSWERED:
            self._answered_at_ms = now_ms
            self._forget_failures()
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

    def _forget_failures(self):
        self._failing_since_ms = None
        self._failures = 0
        self._refusals = 0

    def _count_failure(self, outcome, now_ms):
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms
        self._failures += 1
        is_refused = outcome is ProbeOutcome.REFUSED
        self._refusals = self._refusals + 1 if is_refused else 0
