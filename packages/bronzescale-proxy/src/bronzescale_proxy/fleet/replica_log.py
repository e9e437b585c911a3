"""Refuse reads at once that a replica is known to lack, as the replica's owner."""

import anyio

from bronzescale_core.applied import (
    MAX_CATCH_UP_WAIT_MS,
    MAX_WAIT_SHARE,
    PROBE_INTERVAL_MS,
    AppliedPosition,
    Readiness,
)
from bronzescale_core.work import Outcome, Reach, WorkAnswer
from bronzescale_proxy.clock import now_ms


class ReplicaLog:
    """What one database has applied, learned from each of its answers.

    Parameters
    ----------
    copy : Copy
        The database.
    node : FleetNode
        Shared state of this node.
    """

    def __init__(self, copy, node):
        self._copy = copy
        self._node = node
        self._applied = AppliedPosition()
        self._changed = anyio.Event()
        self._was_trailing = False

    def record(self, reply, floor):
        """Record the position that an answer of the database reports.

        Parameters
        ----------
        reply : Reply
            The answer.
        floor : Position
            Position that the statement needed.
        """
        known = self._applied.position
        if reply.outcome is Outcome.BEHIND:
            self._applied.record_refusal(reply.position, floor, now_ms())
        else:
            self._applied.record(reply.position, now_ms())
        if self._applied.position != known:
            self._changed.set()
            self._changed = anyio.Event()
        self._log_change()

    async def find_refusal(self, work, floor):
        """Return the refusal of a read that the database is known to lack, or None.

        A read that needs what the database is about to apply waits for it first,
        together with the others that do.

        Parameters
        ----------
        work : Work
            The read.
        floor : Position
            Position that it needs.

        Returns
        -------
        WorkAnswer or None
        """
        arrived_ms = now_ms()
        longest_ms = min(
            MAX_CATCH_UP_WAIT_MS, MAX_WAIT_SHARE * (work.deadline_ms - arrived_ms)
        )
        while True:
            found = self._applied.decide(floor, work.deadline_ms, now_ms())
            if found.readiness in (Readiness.RUN, Readiness.PROBE):
                return None
            remaining_ms = arrived_ms + longest_ms - now_ms()
            if found.readiness is Readiness.BEHIND or remaining_ms <= 0:
                self._node.metrics.count_behind(self._copy.service)
                return self._build_refusal(found, floor)
            event = self._changed
            pause_ms = min(remaining_ms, PROBE_INTERVAL_MS)
            with anyio.move_on_after(pause_ms / 1_000):
                await event.wait()

    def _build_refusal(self, found, floor):
        had = f"{found.applied.term}.{found.applied.offset}"
        return WorkAnswer(
            Outcome.BEHIND,
            Reach.NOT_SENT,
            f"{self._copy.instance} has applied {had}, the read needs "
            f"{floor.term}.{floor.offset}",
            position=found.applied,
            retry_after_ms=found.wait_ms,
        )

    def _log_change(self):
        """Log when the database starts or stops to trail."""
        is_trailing = self._applied.is_trailing(now_ms())
        if is_trailing is self._was_trailing:
            return
        self._was_trailing = is_trailing
        position = self._applied.position
        self._node.log.log_state_change(
            "replica_trails" if is_trailing else "replica_caught_up",
            service=self._copy.service,
            upstream=self._copy.instance,
            applied=f"{position.term}.{position.offset}",
        )
