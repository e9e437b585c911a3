"""Watch one copy of a group.

A long poll reports each change of the copy's log position. Its outcome also feeds
the failure detector.
"""

import logging

import anyio

from bronzescale_core.detection import (
    PROBE_INTERVAL_MS,
    PROBE_TIMEOUT_MS,
    FailureDetector,
    ProbeOutcome,
)
from bronzescale_core.exceptions import UpstreamStatementError
from bronzescale_core.positions import covers
from bronzescale_proxy import orders
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import (
    PermitUnavailableError,
    UpstreamUnavailableError,
)

logger = logging.getLogger("bronzescale.watch")

RETRY_INTERVAL_S = 0.2
PERMIT_RETRY_INTERVAL_S = 0.5
MIN_POLL_INTERVAL_S = 0.002
REPLICA_POLL_WAIT_MS = 1_000


class CopyWatch:
    """Long-poll one database and store its newest report.

    Parameters
    ----------
    upstream : Upstream
        The database.
    connector : UpstreamConnector
        Opens connections to it.
    permits : PermitRange
        Permits for control connections.
    on_report : callable
        Called with each `CopyReport`.
    on_finding : callable
        Called with the name and each `Finding`.
    is_urgent : callable
        Return whether writes wait for the next report.
    is_primary : callable
        Return whether the database is the primary, which is polled more often.
    on_silence : callable
        Called with the name when an open connection stopped answering although a new
        one works.
    """

    def __init__(
        self,
        upstream,
        connector,
        permits,
        on_report,
        on_finding,
        is_urgent,
        is_primary,
        on_silence,
    ):
        self.upstream = upstream
        self._connector = connector
        self._permits = permits
        self._on_report = on_report
        self._on_finding = on_finding
        self._is_urgent = is_urgent
        self._is_primary = is_primary
        self._on_silence = on_silence
        self._was_silent = False
        self._detector = FailureDetector(now_ms())
        self._poll_connection = None
        self._query_connection = None
        self._query_lock = anyio.Lock()
        self._changed = anyio.Event()
        self.report = None
        self.probes_total = 0

    def finding(self):
        """Return the current verdict on the database.

        Returns
        -------
        Finding
        """
        return self._detector.finding(now_ms())

    async def run(self):
        """Watch until cancelled."""
        try:
            while True:
                await self._poll_once()
        finally:
            self._close_poll_connection()
            self._close_query_connection()

    async def poll_now(self):
        """Return a report from a query sent now, without waiting for the long poll.

        Returns
        -------
        CopyReport

        Raises
        ------
        UpstreamUnavailableError
            If the database did not answer.
        """
        async with self._query_lock:
            try:
                with anyio.fail_after(PROBE_TIMEOUT_MS / 1_000):
                    if self._query_connection is None:
                        self._query_connection = await self._connector.open(
                            self._permits
                        )
                    report = await orders.read_status(
                        self._query_connection, self.upstream.name
                    )
            except (TimeoutError, UpstreamStatementError) as error:
                self._close_query_connection()
                raise UpstreamUnavailableError(
                    f"{self.upstream.name} did not answer"
                ) from error
            except BaseException:
                self._close_query_connection()
                raise
        self._apply_report(report)
        return report

    async def wait_applied(self, floor, group_state, until_ms):
        """Wait until the copy has applied the log up to a position.

        Parameters
        ----------
        floor : Position
            Lowest position that the copy must have applied.
        group_state : callable
            Return the group's current state.
        until_ms : int
            When to stop waiting.

        Returns
        -------
        bool
            Whether it has.
        """
        while True:
            starts = group_state().term_starts
            if self.report and covers(self.report.applied_position, floor, starts):
                return True
            remaining_ms = until_ms - now_ms()
            if remaining_ms <= 0:
                return False
            with anyio.move_on_after(remaining_ms / 1_000):
                await self._changed.wait()

    async def _poll_once(self):
        try:
            report = await self._probe()
            self._record_outcome(ProbeOutcome.ANSWERED)
            self._apply_report(report)
            if self._was_silent:
                self._was_silent = False
                self._on_silence(self.upstream.name)
            await anyio.sleep(0 if self._is_urgent() else MIN_POLL_INTERVAL_S)
        except PermitUnavailableError:
            self._record_outcome(ProbeOutcome.ANSWERED)
            await anyio.sleep(PERMIT_RETRY_INTERVAL_S)
        except TimeoutError:
            self._close_poll_connection()
            self._was_silent = True
            self._record_outcome(ProbeOutcome.SILENT)
        except (UpstreamUnavailableError, UpstreamStatementError) as error:
            self._close_poll_connection()
            is_refused = getattr(error, "is_refused", False)
            outcome = ProbeOutcome.REFUSED if is_refused else ProbeOutcome.SILENT
            self._record_outcome(outcome)
            await anyio.sleep(RETRY_INTERVAL_S)

    async def _probe(self):
        """Wait for a change; on a new connection, return the status immediately."""
        name = self.upstream.name
        if self._poll_connection is None:
            with anyio.fail_after(PROBE_TIMEOUT_MS / 1_000):
                self._poll_connection = await self._connector.open(self._permits)
                return await orders.read_status(self._poll_connection, name)
        wait_ms = PROBE_INTERVAL_MS if self._is_primary() else REPLICA_POLL_WAIT_MS
        with anyio.fail_after((wait_ms + PROBE_TIMEOUT_MS) / 1_000):
            return await orders.wait_change(
                self._poll_connection, name, self.report, wait_ms
            )

    def _record_outcome(self, outcome):
        self.probes_total += 1
        finding = self._detector.observe(outcome, now_ms())
        self._on_finding(self.upstream.name, finding)

    def _apply_report(self, report):
        known = self.report
        if known is not None and _report_order(report) < _report_order(known):
            return
        self.report = report
        self._on_report(report)
        self._changed.set()
        self._changed = anyio.Event()

    def _close_poll_connection(self):
        if self._poll_connection is not None:
            self._poll_connection.close()
            self._poll_connection = None

    def _close_query_connection(self):
        if self._query_connection is not None:
            self._query_connection.close()
            self._query_connection = None


def _report_order(report):
    """Return a sort key for the reports of one copy.

    An answer that arrives late must not replace a newer one.
    """
    return report.promised_term, report.log_term, report.received, report.applied
