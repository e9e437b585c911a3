"""Tell whether a failed statement ran, and whether it may be tried again."""

from enum import Enum
from typing import NamedTuple

from bronzescale_core.statements import StatementKind

RETRY_RATIO = 0.1
RETRY_RESERVE = 20.0


class Progress(Enum):
    """How far a statement came before it failed."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    SENT = "sent"
    STREAMING = "streaming"


class RetryDecision(Enum):
    """What becomes of a failed statement."""

    RETRY = "retry"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Failure(NamedTuple):
    """A failed attempt.

    Parameters
    ----------
    progress : Progress
        How far it came.
    reason : str
        Why it failed, for the caller and the log.
    """

    progress: Progress
    reason: str


def decide_retry(failure, kind, request_key):
    """Rule on a failed attempt.

    Parameters
    ----------
    failure : Failure
        What went wrong.
    kind : StatementKind
        What the statement does.
    request_key : str
        The key that makes it idempotent, or empty.

    Returns
    -------
    RetryDecision
        ``RETRY`` permits another attempt; the deadline and the budget still decide.
    """
    if failure.progress in (Progress.NOT_SENT, Progress.REFUSED):
        return RetryDecision.RETRY
    if kind is StatementKind.READ:
        is_partial = failure.progress is Progress.STREAMING
        return RetryDecision.NOT_RUN if is_partial else RetryDecision.RETRY
    if kind in (StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY):
        # A transaction that nobody can reach again rolls back with its connection.
        return RetryDecision.RETRY
    if request_key:
        return RetryDecision.RETRY
    return RetryDecision.UNKNOWN


class RetryBudget:
    """Bound retries to a share of the statements, so that they cannot multiply load.

    A failed first attempt is bounded anyway; the budget counts attempts past it.
    """

    def __init__(self):
        self._balance = RETRY_RESERVE
        self.spent_total = 0
        self.denied_total = 0

    def deposit(self):
        """Count one statement that arrived."""
        self._balance = min(RETRY_RESERVE, self._balance + RETRY_RATIO)

    def withdraw(self):
        """Ask for one retry.

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
