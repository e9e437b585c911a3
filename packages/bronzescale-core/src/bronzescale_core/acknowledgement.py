"""Decide when a save may be acknowledged.

A save is acknowledged once the primary committed it and one replica reported its
position under the same term. A promotion fences a majority of the copies first, so
it sees every acknowledged save, and a replaced primary gathers no acknowledgement.
"""

import heapq
from typing import NamedTuple

from bronzescale_core.positions import Position

CONFIRMATION_STALL_MS = 1_000


class CopyReport(NamedTuple):
    """What a database said of itself.

    Parameters
    ----------
    upstream : str
        Name of the database.
    role : str
        ``primary`` or ``replica``.
    promised_term : int
        Newest term that it accepts orders from.
    log_term : int
        Term of its newest log entry.
    received : int
        Offset of its newest log entry.
    applied : int
        Offset up to which its tables show the log.
    sent_at_ms : int
        When the question left this node.
    """

    upstream: str
    role: str
    promised_term: int
    log_term: int
    received: int
    applied: int
    sent_at_ms: int = 0

    @property
    def applied_position(self):
        """Return the position up to which reads see the log."""
        return Position(self.log_term, self.applied)


class Confirmed(NamedTuple):
    """A save may be acknowledged."""

    write_id: int


class Superseded(NamedTuple):
    """A save's primary was replaced before the save was confirmed."""

    write_id: int
    term: int


class ConfirmationTracker:
    """Match saves of one primary with the words of its replicas.

    Parameters
    ----------
    copies_needed : int
        Replicas whose word a save needs: the majority less the primary itself.
    """

    def __init__(self, copies_needed=1):
        self._copies_needed = copies_needed
        self._reports = {}
        self._waiting = []
        self._next_id = 1
        self._abandoned = set()

    @property
    def waiting(self):
        """Return how many saves wait for a replica's word."""
        return len(self._waiting) - len(self._abandoned)

    def add(self, position, now_ms):
        """Register a committed save.

        Parameters
        ----------
        position : Position
            Where the primary logged it.
        now_ms : int
            Time of the commit's answer.

        Returns
        -------
        write_id : int
        is_confirmed : bool
            Whether the replicas' words already cover it.
        """
        write_id = self._next_id
        self._next_id += 1
        if self._is_covered(position):
            return write_id, True
        heapq.heappush(self._waiting, (position, write_id, now_ms))
        return write_id, False

    def report(self, report):
        """Take a replica's word.

        Parameters
        ----------
        report : CopyReport
            What the replica said.

        Returns
        -------
        list of Confirmed or Superseded
        """
        self._reports[report.upstream] = report
        decisions = []
        while self._waiting:
            position, write_id, _ = self._waiting[0]
            if write_id in self._abandoned:
                self._abandoned.discard(write_id)
            elif self._is_covered(position):
                decisions.append(Confirmed(write_id))
            elif report.promised_term > position.term:
                decisions.append(Superseded(write_id, report.promised_term))
            else:
                break
            heapq.heappop(self._waiting)
        return decisions

    def abandon(self, write_id):
        """Stop waiting for a save whose caller has been answered.

        Parameters
        ----------
        write_id : int
            What `add` returned.
        """
        if any(waiting[1] == write_id for waiting in self._waiting):
            self._abandoned.add(write_id)

    def is_stalled(self, now_ms):
        """Tell whether replicas stopped confirming, so new saves should not start.

        Parameters
        ----------
        now_ms : int
            Current time.

        Returns
        -------
        bool
        """
        oldest = min((w[2] for w in self._waiting), default=now_ms)
        return now_ms - oldest > CONFIRMATION_STALL_MS

    def _is_covered(self, position):
        words = sum(
            report.promised_term == position.term
            and report.log_term == position.term
            and report.received >= position.offset
            for report in self._reports.values()
        )
        return words >= self._copies_needed
