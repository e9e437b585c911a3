"""Decide when a write may be acknowledged to its caller.

A write is acknowledged once the primary has committed it and enough replicas have
reported its position under the same term; one replica is enough in a group of three. A
promotion first fences a majority of the copies. Therefore it sees every acknowledged
write, and a replaced primary can no longer get writes confirmed.
"""

import heapq
from typing import NamedTuple

from bronzescale_core.positions import Position

# New writes are refused while the oldest unconfirmed one has waited longer than this,
# since no replica would confirm them either.
CONFIRMATION_STALL_MS = 1_000


class CopyReport(NamedTuple):
    """Status that a database reported.

    Parameters
    ----------
    upstream : str
        Name of the database.
    role : str
        ``primary``, ``replica``, or ``fenced`` for a primary that has promised a
        later term.
    promised_term : int
        Newest term that it has promised; it refuses orders of earlier terms.
    log_term : int
        Term of its newest log entry.
    received : int
        Offset of its newest log entry.
    applied : int
        Offset up to which it has applied the log to its tables.
    sent_at_ms : int
        When this node sent the status request.
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
        """Return the position up to which reads see the writes."""
        return Position(self.log_term, self.applied)


class Confirmed(NamedTuple):
    """A write may be acknowledged."""

    write_id: int


class Superseded(NamedTuple):
    """The primary of a write was replaced before the write was confirmed."""

    write_id: int
    term: int


class ConfirmationTracker:
    """Match the writes of one primary with the reports of its replicas.

    Parameters
    ----------
    copies_needed : int
        Replicas that must confirm a write: one less than a majority of the copies,
        since the primary is one of them.
    """

    def __init__(self, copies_needed=1):
        self._copies_needed = copies_needed
        self._reports = {}
        self._waiting = []
        self._next_id = 1
        self._abandoned = set()

    @property
    def waiting(self):
        """Return how many writes wait for confirmation by replicas."""
        return len(self._waiting) - len(self._abandoned)

    def add(self, position, now_ms):
        """Register a committed write.

        Parameters
        ----------
        position : Position
            Where the primary logged it.
        now_ms : int
            When the primary answered the commit.

        Returns
        -------
        write_id : int
        is_confirmed : bool
            Whether earlier reports already confirm it.
        """
        write_id = self._next_id
        self._next_id += 1
        if self._is_confirmed(position):
            return write_id, True
        heapq.heappush(self._waiting, (position, write_id, now_ms))
        return write_id, False

    def report(self, report):
        """Process a replica's report.

        Parameters
        ----------
        report : CopyReport
            The report.

        Returns
        -------
        list of Confirmed or Superseded
            Decisions on writes that were waiting for confirmation.
        """
        self._reports[report.upstream] = report
        decisions = []
        while self._waiting:
            position, write_id, _ = self._waiting[0]
            if write_id in self._abandoned:
                self._abandoned.discard(write_id)
            elif self._is_confirmed(position):
                decisions.append(Confirmed(write_id))
            elif report.promised_term > position.term:
                decisions.append(Superseded(write_id, report.promised_term))
            else:
                break
            heapq.heappop(self._waiting)
        return decisions

    def abandon(self, write_id):
        """Stop tracking a write whose caller has been answered.

        Parameters
        ----------
        write_id : int
            Id that `add` returned.
        """
        if any(waiting[1] == write_id for waiting in self._waiting):
            self._abandoned.add(write_id)

    def is_stalled(self, now_ms):
        """Return whether confirmations have stopped and new writes must be refused.

        Parameters
        ----------
        now_ms : int
            Current time.

        Returns
        -------
        bool
        """
        oldest = min((waiting[2] for waiting in self._waiting), default=now_ms)
        return now_ms - oldest > CONFIRMATION_STALL_MS

    def _is_confirmed(self, position):
        confirmations = sum(
            report.promised_term == position.term
            and report.log_term == position.term
            and report.received >= position.offset
            for report in self._reports.values()
        )
        return confirmations >= self._copies_needed
