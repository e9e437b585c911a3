"""Judge from positions whether a replica can serve a read, as the replica's owner.

The load that this answers: replicas at many times their usual lag for seconds. Without
this, every read takes a slot and a round trip at a replica that can only refuse it, and
then does the same at the next one.

A replica counts as trailing while a position that was missing `TRAILING_AFTER_MS` ago
is still missing. Only then are reads refused without asking it, and one statement at a
time is let through to find out how far it is. The database's own check stays the last
word: a wrong belief costs a round trip, never a wrong result.
"""

from collections import deque
from enum import Enum
from typing import NamedTuple

from bronzescale_core.positions import ORIGIN, Position

# A few times the usual lag, so that a session that reads right after its own commit
# does not count as a sign of trouble.
TRAILING_AFTER_MS = 200
# Age of the belief at which the next read is let through to refresh it.
PROBE_INTERVAL_MS = 50
# Longest wait for a replica that is about to hold a position. It is about the round
# trips and the queueing that another database would cost.
MAX_CATCH_UP_WAIT_MS = 300
# Share of the time until a read's deadline that it may wait here, so that enough is
# left for another database.
MAX_WAIT_SHARE = 0.25
# Window over which the speed of the log is measured.
SPEED_WINDOW_MS = 1_000
# Spacing of the positions that are kept for the speed, and of the missing ones.
SAMPLE_SPACING_MS = 25
_MAX_MISSING = 40


class Readiness(Enum):
    """What a read should do at a replica."""

    RUN = "run"
    PROBE = "probe"
    WAIT = "wait"
    BEHIND = "behind"


class CatchUp(NamedTuple):
    """Decision on one read.

    Parameters
    ----------
    readiness : Readiness
        ``RUN`` and ``PROBE`` ask the database, ``WAIT`` waits for news of its
        position, ``BEHIND`` refuses.
    applied : Position
        Newest position that the replica is known to have applied.
    wait_ms : int
        Expected time until it has applied what the read needs; 0 if unknown.
    """

    readiness: Readiness
    applied: Position
    wait_ms: int = 0


class _Sample(NamedTuple):
    position: Position
    at_ms: int


class AppliedPosition:
    """How far one replica has applied its log, and how fast it advances."""

    def __init__(self):
        self._known = _Sample(ORIGIN, 0)
        self._samples = deque()
        self._missing = deque(maxlen=_MAX_MISSING)
        self._probed_at_ms = 0

    @property
    def position(self):
        """Return the newest known position; `ORIGIN` if none is known."""
        return self._known.position

    def is_trailing(self, now_ms):
        """Return whether a position has been missing for `TRAILING_AFTER_MS`."""
        return bool(
            self._missing and now_ms - self._missing[0].at_ms >= TRAILING_AFTER_MS
        )

    def record(self, position, now_ms):
        """Record the position that the replica reported with any answer.

        A report below the known position arrived out of order and is ignored.

        Parameters
        ----------
        position : Position
            Last entry that it has applied; `ORIGIN` if it reported none.
        now_ms : int
            When the answer arrived.
        """
        if position == ORIGIN or position < self._known.position:
            return
        if position.term != self._known.position.term:
            self._samples.clear()
        self._learn(position, now_ms)

    def record_refusal(self, position, floor, now_ms):
        """Record that the replica itself refused a read because it is behind.

        Parameters
        ----------
        position : Position
            Position that it reported with the refusal.
        floor : Position
            Position that the read needed.
        now_ms : int
            When the answer arrived.
        """
        if position >= floor:
            # Its report does not tell what it has applied, so nothing follows from it.
            return
        if position < self._known.position:
            # It lost entries that it had, such as in a restart.
            self._samples.clear()
        self._learn(position, now_ms)
        newest = self._missing[-1] if self._missing else None
        if newest is None or now_ms - newest.at_ms >= SAMPLE_SPACING_MS:
            self._missing.append(_Sample(floor, now_ms))

    def decide(self, floor, deadline_ms, now_ms):
        """Decide what a read should do.

        Parameters
        ----------
        floor : Position
            Position that it needs.
        deadline_ms : int
            When its caller stops waiting.
        now_ms : int
            Current time.

        Returns
        -------
        CatchUp
        """
        applied, known_at_ms = self._known
        if floor <= applied or applied == ORIGIN or not self.is_trailing(now_ms):
            return CatchUp(Readiness.RUN, applied)
        last_asked_ms = max(known_at_ms, self._probed_at_ms)
        if now_ms - last_asked_ms >= PROBE_INTERVAL_MS:
            self._probed_at_ms = now_ms
            return CatchUp(Readiness.PROBE, applied)
        wait_ms = self._expected_wait_ms(floor, now_ms)
        longest_ms = min(MAX_CATCH_UP_WAIT_MS, MAX_WAIT_SHARE * (deadline_ms - now_ms))
        if wait_ms is None:
            return CatchUp(Readiness.BEHIND, applied)
        is_soon = wait_ms <= longest_ms
        readiness = Readiness.WAIT if is_soon else Readiness.BEHIND
        return CatchUp(readiness, applied, max(1, int(wait_ms)))

    def _learn(self, position, now_ms):
        self._known = _Sample(position, now_ms)
        if not self._samples or now_ms - self._samples[-1].at_ms >= SAMPLE_SPACING_MS:
            self._samples.append(self._known)
        while self._samples[0].at_ms < now_ms - SPEED_WINDOW_MS:
            self._samples.popleft()
        while self._missing and self._missing[0].position <= position:
            self._missing.popleft()

    def _expected_wait_ms(self, floor, now_ms):
        """Return the expected time until a position is applied, or None if unknown.

        Measured up to now, so that a replica that has stopped is expected later and
        later.
        """
        applied = self._known.position
        if floor.term != applied.term or not self._samples:
            return None
        oldest = self._samples[0]
        advanced = applied.offset - oldest.position.offset
        elapsed_ms = now_ms - oldest.at_ms
        if advanced <= 0 or elapsed_ms <= 0:
            return None
        return (floor.offset - applied.offset) * elapsed_ms / advanced
