"""Watch one copy of a group: its position as it moves, and whether it answers."""

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

RETRY_S = 0.2
PERMIT_RETRY_S = 0.5
MIN_ROUND_S = 0.002
REPLICA_INTERVAL_MS = 1_000


class CopyWatch:
    """Long-poll one database and keep its newest report.

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
        Return whether saves wait for the next report.
    is_primary : callable
        Return whether the database is the primary, which is asked more often.
    on_silence : callable
        Called with the name when an open connection went silent and a new one works.
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
        self._connection = None
        self._asker = None
        self._ask_lock = anyio.Lock()
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
                await self._round()
        finally:
            self._drop()
            self._drop_asker()

    async def ask(self):
        """Return a report on a question sent now, not by the long poll.

        Returns
        -------
        CopyReport

        Raises
        ------
        UpstreamUnavailableError
            If the database did not answer.
        """
        async with self._ask_lock:
            try:
                with anyio.fail_after(PROBE_TIMEOUT_MS / 1_000):
                    if self._asker is None:
                        self._asker = await self._connector.open(self._permits)
                    report = await orders.read_status(self._asker, self.upstream.name)
            except (TimeoutError, UpstreamStatementError) as error:
                self._drop_asker()
                raise UpstreamUnavailableError(
                    f"{self.upstream.name} did not answer"
                ) from error
            except BaseException:
                self._drop_asker()
                raise
        self._take(report)
        return report

    async def wait_applied(self, floor, group_state, until_ms):
        """Wait until the copy shows everything up to a position.

        Parameters
        ----------
        floor : Position
            The position.
        group_state : callable
            Return the group's current state.
        until_ms : int
            When to stop waiting.

        Returns
        -------
        bool
            Whether it does.
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

    async def _round(self):
        try:
            report = await self._probe()
            self._observe(ProbeOutcome.ANSWERED)
            self._take(report)
            if self._was_silent:
                self._was_silent = False
                self._on_silence(self.upstream.name)
            await anyio.sleep(0 if self._is_urgent() else MIN_ROUND_S)
        except PermitUnavailableError:
            self._observe(ProbeOutcome.ANSWERED)
            await anyio.sleep(PERMIT_RETRY_S)
        except TimeoutError:
            self._drop()
            self._was_silent = True
            self._observe(ProbeOutcome.SILENT)
        except (UpstreamUnavailableError, UpstreamStatementError) as error:
            self._drop()
            is_refused = getattr(error, "is_refused", False)
            outcome = ProbeOutcome.REFUSED if is_refused else ProbeOutcome.SILENT
            self._observe(outcome)
            await anyio.sleep(RETRY_S)

    async def _probe(self):
        """Ask for a change, or at once on a fresh connection."""
        name = self.upstream.name
        if self._connection is None:
            with anyio.fail_after(PROBE_TIMEOUT_MS / 1_000):
                self._connection = await self._connector.open(self._permits)
                return await orders.read_status(self._connection, name)
        wait_ms = PROBE_INTERVAL_MS if self._is_primary() else REPLICA_INTERVAL_MS
        with anyio.fail_after((wait_ms + PROBE_TIMEOUT_MS) / 1_000):
            return await orders.wait_change(
                self._connection, name, self.report, wait_ms
            )

    def _observe(self, outcome):
        self.probes_total += 1
        finding = self._detector.observe(outcome, now_ms())
        self._on_finding(self.upstream.name, finding)

    def _take(self, report):
        known = self.report
        if known is not None and _progress(report) < _progress(known):
            return
        self.report = report
        self._on_report(report)
        self._changed.set()
        self._changed = anyio.Event()

    def _drop(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _drop_asker(self):
        if self._asker is not None:
            self._asker.close()
            self._asker = None


def _progress(report):
    """Order reports of one copy; a late answer must not hide a newer one."""
    return report.promised_term, report.log_term, report.received, report.applied
