"""Track the primary's head and the age of each replica, on one monotonic clock.

A sample holds at the earlier of two questions: one that the primary answered unfenced
and one that a replica answered under the same term. Before that moment no majority
was fenced, so every acknowledged save is at or before the sampled offset.
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
        Every save acknowledged before this moment is at or before ``position``.
    """

    position: Position
    valid_at_ms: int


class HeadTracker:
    """Confirmed heads of one group.

    Parameters
    ----------
    confirmations_needed : int
        Replicas that must answer under the primary's term.
    """

    def __init__(self, confirmations_needed=1):
        self._needed = confirmations_needed
        self._term = 0
        self._primary = None
        self._replicas = {}
        self._samples = deque(maxlen=MAX_SAMPLES)

    def set_term(self, term):
        """Forget reports of earlier terms.

        Parameters
        ----------
        term : int
            The term in force.
        """
        if term != self._term:
            self._term = term
            self._primary = None
            self._replicas.clear()

    def report(self, report, is_primary):
        """Take a copy's word on itself.

        Parameters
        ----------
        report : CopyReport
            What it said.
        is_primary : bool
            Whether the group state names it as the primary.
        """
        if report.promised_term != self._term:
            return
        if is_primary:
            if report.role == "primary":
                self._primary = report
        else:
            self._replicas[report.upstream] = report
        self._sample()

    def newest(self):
        """Return the newest confirmed head.

        Returns
        -------
        HeadSample or None
        """
        return self._samples[-1] if self._samples else None

    def confirmed_at_ms(self):
        """Return up to when the term is confirmed.

        Returns
        -------
        int or None
        """
        if self._primary is None:
            return None
        sent = sorted((r.sent_at_ms for r in self._replicas.values()), reverse=True)
        if len(sent) < self._needed:
            return None
        return min(self._primary.sent_at_ms, *sent[: self._needed])

    def age_ms(self, applied, now_ms):
        """Return how old the tables of a copy are at most.

        Parameters
        ----------
        applied : Position
            What the copy applied.
        now_ms : int
            Current time on the clock of the samples.

        Returns
        -------
        int or None
            None when no sample that the copy covers is known.
        """
        keys = [sample.position for sample in self._samples]
        index = bisect_right(keys, applied)
        if index == 0:
            return None
        return now_ms - self._samples[index - 1].valid_at_ms

    def _sample(self):
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
        """Keep the newest sample and at most one per spacing before it."""
        if len(self._samples) >= 2:
            spacing_ms = sample.valid_at_ms - self._samples[-2].valid_at_ms
            if spacing_ms < SAMPLE_SPACING_MS:
                self._samples.pop()
        self._samples.append(sample)
