"""Decide whether a failed statement may have run, and whether it may be retried."""

from enum import Enum
from typing import NamedTuple

from bronzescale_core.statements import StatementKind

RETRY_RATIO = 0.1
RETRY_RESERVE = 20.0


class Progress(Enum):
    """How far a statement got before it failed."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    SENT = "sent"
    STREAMING = "streaming"


class RetryDecision(Enum):
    """What to do about a failed attempt: retry it, or report its outcome."""

    RETRY = "retry"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Failure(NamedTuple):
    """A failed attempt.

    Parameters
    ----------
    progress : Progress
        How far it got.
    reason : str
        Why it failed, for the caller and the log.
    """

    progress: Progress
    reason: str


def decide_retry(failure, kind, request_key):
    """Return what to do about a failed attempt.

    Parameters
    ----------
    failure : Failure
        The failure.
    kind : StatementKind
        What the statement does.
    request_key : str
        Key that makes the statement idempotent; empty for none.

    Returns
    -------
    RetryDecision
        ``RETRY`` permits another attempt, within the deadline and the retry budget.
        The other values are the outcome to report to the caller.
    """
    if failure.progress in (Progress.NOT_SENT, Progress.REFUSED):
        return RetryDecision.RETRY
    if kind is StatementKind.READ:
        is_partial = failure.progress is Progress.STREAMING
        return RetryDecision.NOT_RUN if is_partial else RetryDecision.RETRY
    if kind in (StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY):
        # The id of the transaction reached no caller; the transaction is rolled back
        # when its connection closes.
        return RetryDecision.RETRY
    if request_key:
        return RetryDecision.RETRY
    return RetryDecision.UNKNOWN


class RetryBudget:
    """Bound retries to a share of the statements, so that they cannot multiply load.

    First attempts need no budget: their number is that of the statements.
    """

    def __init__(self):
        self._balance = RETRY_RESERVE
        self.spent_total = 0
        self.denied_total = 0

    def deposit(self):
        """Credit the budget for one statement that arrived."""
        self._balance = min(RETRY_RESERVE, self._balance + RETRY_RATIO)

    def withdraw(self):
        """Request one retry.

        Returns
        -------
        bool
            Whether it is granted.
        """
        if self._balance < 1.0:
            self.denied_total += 1
            return False
        self._balance -= 1.0
        self.spent_total += 1
        return True
