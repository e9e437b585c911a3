"""Tell a caller how its statement ended, if it did not succeed."""

from bronzescale_core.work import (
    NOT_RUN_OUTCOMES,
    Outcome,
    Reach,
    WorkStep,
    may_commit,
)


def describe_failure(work, answer):
    """Return the outcome and the text that tell the caller why a statement failed.

    The outcome is unknown only for a write or a commit that was sent and got no
    answer. Anything else that did not commit is reported as not run.

    Parameters
    ----------
    work : Work
        The statement.
    answer : WorkAnswer
        Its last answer, which is not a success.

    Returns
    -------
    outcome : Outcome
    reason : str
        Text for the caller; it says when to come back if that is known.
    """
    reason = answer.reason
    if answer.retry_after_ms:
        reason = f"{reason}; come back in {answer.retry_after_ms} ms"
    if may_commit(work):
        if answer.reach is Reach.SENT:
            return Outcome.UNKNOWN, reason
        if answer.reach is Reach.ANSWERED and answer.outcome not in NOT_RUN_OUTCOMES:
            return answer.outcome, reason
        if work.step is not WorkStep.SINGLE:
            return Outcome.ABORTED, reason
        return _refusal_outcome(answer), reason
    if work.step is WorkStep.SINGLE:
        if answer.reach is Reach.ANSWERED and answer.outcome is Outcome.FAILED:
            return Outcome.FAILED, reason
        return _refusal_outcome(answer), reason
    return Outcome.ABORTED, reason


def _refusal_outcome(answer):
    if answer.outcome in (Outcome.BUSY, Outcome.BEHIND, Outcome.READ_ONLY):
        return answer.outcome
    return Outcome.ABORTED
