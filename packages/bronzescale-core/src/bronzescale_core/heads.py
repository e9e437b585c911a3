"""Track the primary's head and the age of each replica, on one monotonic clock.

A sample is valid at the send time of the earlier of two probes: one that the primary
answered while not fenced, and one that a replica answered in the same term. No majority
was fenced before that moment, so every write acknowledged by then is at or before the
sampled offset.
"""

from bisect import bisect_right
from collections import deque
from typing import NamedTuple

from bronzescale_core.positions import Position

SAMPLE_SPACING_MS = 50
MAX_SAMPLES = 2_400


class HeadSample(NamedTuple):
    """A confirmed head of the primary.

    Parameters
    ----------
    position : Position
        Head of the primary's log.
    valid_at_ms : int
        Every write acknowledged before this moment is at or before ``position``.
    """

    position: Position
    valid_at_ms: int


class HeadTracker:
    """Confirmed heads of one group.

    Parameters
    ----------
    confirmations_needed : int
        Number of replicas that must answer in the primary's term.
    """

    def __init__(self, confirmations_needed=1):
        self._confirmations_needed = confirmations_needed
        self._term = 0
        self._primary = None
        self._replicas = {}
        self._samples = deque(maxlen=MAX_SAMPLES)

    def set_term(self, term):
        """Set the current term, and drop the reports of another term.

        Parameters
        ----------
        term : int
            The current term.
        """
        if term != self._term:
            self._term = term
            self._primary = None
            self._replicas.clear()

    def report(self, report, is_primary):
        """Record a report of a copy on its own state.

        Parameters
        ----------
        report : CopyReport
            The report.
        is_primary : bool
            Whether the group state names the copy as the primary.
        """
        if report.promised_term != self._term:
            return
        if is_primary:
            if report.role == "primary":
                self._primary = report
        else:
            self._replicas[report.upstream] = report
        self._update_samples()

    def newest(self):
        """Return the newest confirmed head.

        Returns
        -------
        HeadSample or None
        """
        return self._samples[-1] if self._samples else None

    def confirmed_at_ms(self):
        """Return the moment up to which the current term is confirmed.

        Returns
        -------
        int or None
            None if too few copies have answered in the current term.
        """
        if self._primary is None:
            return None
        times_ms = sorted((r.sent_at_ms for r in self._replicas.values()), reverse=True)
        if len(times_ms) < self._confirmations_needed:
            return None
        return min(self._primary.sent_at_ms, *times_ms[: self._confirmations_needed])

    def age_ms(self, applied, now_ms):
        """Return an upper bound on the age of a copy's data.

        Parameters
        ----------
        applied : Position
            Position up to which the copy has applied the log.
        now_ms : int
            Current time on the clock of the samples.

        Returns
        -------
        int or None
            None if the copy covers no known sample.
        """
        positions = [sample.position for sample in self._samples]
        index = bisect_right(positions, applied)
        if index == 0:
            return None
        return now_ms - self._samples[index - 1].valid_at_ms

    def _update_samples(self):
        valid_at_ms = self.confirmed_at_ms()
        if valid_at_ms is None:
            return
        head = Position(self._term, self._primary.received)
        sample = HeadSample(head, valid_at_ms)
        last = self.newest()
        if last is None:
            self._samples.append(sample)
        elif head == last.position:
            if valid_at_ms > last.valid_at_ms:
                self._samples[-1] = sample
        elif head > last.position and valid_at_ms >= last.valid_at_ms:
            self._append_spaced(sample)

    def _append_spaced(self, sample):
        """Add the newest sample; keep at most one per `SAMPLE_SPACING_MS` before it."""
        if len(self._samples) >= 2:
            spacing_ms = sample.valid_at_ms - self._samples[-2].valid_at_ms
            if spacing_ms < SAMPLE_SPACING_MS:
                self._samples.pop()
        self._samples.append(sample)
