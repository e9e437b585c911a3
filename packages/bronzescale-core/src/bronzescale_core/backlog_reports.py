"""Refuse a statement at the host that received it, by what owners reported lately.

Load answered: a service at several times its capacity. Each refused statement would
otherwise travel to every database of the service and back.
"""

from typing import NamedTuple
from zlib import crc32

from bronzescale_core.admission import MIN_RETRY_AFTER_MS
from bronzescale_core.work import Outcome, Reach, WorkAnswer

# An older report says too little about the backlog now.
MAX_REPORT_AGE_MS = 1_000
# The weight of a load report halves in this time.
LOAD_HALF_LIFE_MS = 150.0


class LoadReport(NamedTuple):
    """What the owner of a database reported of it with an answer.

    Parameters
    ----------
    load : float
        Statements per slot, running and queued.
    service_ms : float
        How long a statement holds a slot; 0 if unknown.
    waits_ms : tuple of int
        Expected wait for a slot for each priority from 0, see `WorkAnswer`.
    at_ms : int
        When the report arrived.
    """

    load: float
    service_ms: float
    waits_ms: tuple
    at_ms: int

    def backlog_ms(self, priority, now_ms):
        """Return the least time that the reported backlog still takes to drain."""
        return max(0.0, self._wait_ms(priority) - (now_ms - self.at_ms))

    def has_free_slot(self, priority, now_ms):
        """Return whether a slot is free, as far as the report tells."""
        is_free = not self._wait_ms(priority) if self.waits_ms else self.load < 1
        is_current = now_ms - self.at_ms < LOAD_HALF_LIFE_MS
        return is_free or not (is_current or self.backlog_ms(priority, now_ms))

    def _wait_ms(self, priority):
        if self.waits_ms:
            return self.waits_ms[min(priority, len(self.waits_ms) - 1)]
        return max(0.0, (self.load - 1) * self.service_ms)


def remaining_wait_ms(report, priority, now_ms):
    """Return the wait that is left of a reported one, or None if it is unknown.

    Parameters
    ----------
    report : LoadReport or None
        Newest report of the database.
    priority : int
        Priority of the statement.
    now_ms : int
        Current time.

    Returns
    -------
    float or None
    """
    if report is None or not report.waits_ms:
        return None
    if now_ms - report.at_ms > MAX_REPORT_AGE_MS:
        return None
    return report.backlog_ms(priority, now_ms)


def refuse_by_reports(work, reports, now_ms):
    """Refuse a statement that no database can start before its deadline.

    A backlog of which no more is heard counts as draining, so that statements are sent
    to the databases again, and bring news, before a report is too old.

    Parameters
    ----------
    work : Work
        The statement.
    reports : sequence of (LoadReport or None)
        Newest report of each database that could run it.
    now_ms : int
        Current time.

    Returns
    -------
    WorkAnswer or None
        The refusal; None if a database may start it in time or its backlog is unknown.
    """
    left_ms = work.deadline_ms - now_ms
    waits_ms = []
    for report in reports:
        wait_ms = remaining_wait_ms(report, work.priority, now_ms)
        if wait_ms is None or wait_ms < left_ms:
            return None
        waits_ms.append(wait_ms)
    if not waits_ms:
        return None
    # Hosts know nothing of each other's refusals, so the id of the request spreads the
    # times over as long again as the shortest wait.
    wait_ms = max(MIN_RETRY_AFTER_MS, min(waits_ms))
    spread = crc32(work.request_id.encode("utf-8", "surrogateescape")) % 1_000 / 1_000
    return WorkAnswer(
        Outcome.BUSY,
        Reach.NOT_SENT,
        "no database can start it before its deadline",
        retry_after_ms=int(wait_ms * (1 + spread)),
    )
