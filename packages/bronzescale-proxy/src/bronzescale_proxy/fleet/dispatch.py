"""Bring a statement to a database that may run it, and rule on failures."""

import anyio

from bronzescale_core.outcomes import RetryBudget
from bronzescale_core.placement import Placement
from bronzescale_core.work import (
    Outcome,
    Reach,
    WorkAnswer,
    WorkStep,
    choose_refusal,
    may_run_elsewhere,
)
from bronzescale_proxy import wire
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import PeerUnavailableError

# An owner answers this much after the deadline at the latest.
RELAY_SLACK_MS = 250
# An owner that has not answered by then is asked whether it still hears this node.
PING_AFTER_S = 0.3
ROUND_PAUSE_MS = 25
ROUND_PAUSE_MAX_MS = 120
# A change of primary usually ends within this time.
CHANGE_TAKES_MS = 1_500


class Dispatcher:
    """Choose database and owner for the statements of one node's callers.

    Parameters
    ----------
    node : FleetNode
        What this node knows.
    """

    def __init__(self, node):
        self._node = node
        settings = node.settings
        self._placement = Placement(settings.zone, settings.region, settings.regions)
        self._budget = RetryBudget()

    async def run(self, work, opener):
        """Run a statement that is not part of an open transaction.

        Parameters
        ----------
        work : Work
            The statement; its database is chosen here.
        opener : object
            The caller's session.

        Returns
        -------
        answer : WorkAnswer
        upstream : str
            Database that answered last.
        owner : Node or None
            Node that answered last; None for this node.
        """
        self._budget.deposit()
        pause_ms = ROUND_PAUSE_MS
        last = None
        while True:
            refused = self._refuse_leaderless(work)
            if refused is not None:
                return refused, "", None
            answers = []
            outcome = await self._try_round(work, opener, last, answers)
            refusal = choose_refusal(answers)
            if refusal is not None:
                # Another round would find the same queues; the caller knows better
                # what to do with the time.
                return refusal, *outcome[1:]
            if outcome is not None:
                answer = outcome[0]
                if answer.outcome is Outcome.DONE or not self._may_go_on(work, answer):
                    return outcome
                last = outcome
            if now_ms() + pause_ms >= work.deadline_ms:
                return last or (self._no_upstream(work), "", None)
            event = self._node.changed
            with anyio.move_on_after(pause_ms / 1_000):
                await event.wait()
            pause_ms = min(ROUND_PAUSE_MAX_MS, pause_ms * 2)

    async def run_in_transaction(self, work, opener, owner):
        """Run a statement of an open transaction where it lives."""
        answer = await self._send(work, opener, owner)
        self._note_upstream(work.upstream, answer)
        return answer

    async def end_transaction(self, upstream, transaction_id, owner):
        """Roll back a transaction whose caller ended it or is gone."""
        if owner is None:
            local = self._node.owner(upstream)
            if local is not None:
                await local.roll_back(transaction_id)
            return
        message = wire.EndTransaction(upstream, transaction_id)
        await self._node.peers.tell(owner, message)

    def _may_go_on(self, work, answer):
        if not may_run_elsewhere(work, answer):
            return False
        return not (answer.reach is Reach.SENT and not self._budget.withdraw())

    def _refuse_leaderless(self, work):
        """Refuse at once what needs a primary that cannot lead before its deadline."""
        if not (work.needs_lead or work.is_write):
            return None
        leads_at_ms = self._node.primary_monitor(work.service).change_ends_ms()
        if leads_at_ms is None or leads_at_ms <= work.deadline_ms:
            return None
        return WorkAnswer(
            Outcome.BUSY,
            Reach.NOT_SENT,
            f"{work.service} is changing its primary",
            retry_after_ms=max(1, leads_at_ms - now_ms()),
        )

    def _no_upstream(self, work):
        return WorkAnswer(
            Outcome.BUSY,
            Reach.NOT_SENT,
            f"no database of {work.service} can run this now",
            retry_after_ms=CHANGE_TAKES_MS,
        )

    async def _try_round(self, work, opener, last, answers):
        """Try each candidate once; return the last answer or None, and note all."""
        outcome = last
        for copy in self._candidates(work):
            routed = work._replace(upstream=copy.instance)
            answer, owner = await self._try_owners(routed, opener)
            self._note_upstream(copy.instance, answer)
            outcome = answer, copy.instance, owner
            answers.append(answer)
            if answer.outcome is Outcome.DONE:
                return outcome
            self._note_failure(routed, answer, owner)
            if not may_run_elsewhere(work, answer):
                return outcome
            if now_ms() >= work.deadline_ms:
                return outcome
        return outcome

    def _candidates(self, work):
        copies = self._node.catalog.copies(work.service)
        primary = self._node.primary_monitor(work.service).primary
        if work.needs_lead or work.is_write:
            return [copy for copy in copies if copy.instance == primary]
        return self._placement.order(copies, primary, now_ms())

    async def _try_owners(self, work, opener):
        answer = None
        owner = None
        for owner in self._node.owners_of(work.upstream):
            answer = await self._send(work, opener, owner)
            is_next_useful = answer.reach is Reach.NOT_SENT and answer.is_unreachable
            if not is_next_useful or now_ms() >= work.deadline_ms:
                return answer, owner
        if answer is None:
            answer = WorkAnswer(Outcome.BUSY, Reach.NOT_SENT, "no node can reach it")
        return answer, owner

    def _note_upstream(self, instance, answer):
        """Take the owner's word on a database's load and health."""
        if answer.service_ms:
            self._placement.record_load(
                instance, answer.load, answer.service_ms, now_ms()
            )
        if answer.ejected_until_ms:
            self._placement.record_ejection(instance, answer.ejected_until_ms)

    def _note_failure(self, work, answer, owner):
        is_full = answer.outcome is Outcome.BUSY and answer.retry_after_ms
        if answer.outcome is not Outcome.BEHIND and not is_full:
            self._placement.penalise(work.upstream, now_ms())
        self._node.metrics.count_failure(answer.outcome.value)
        self._node.log.log_decision(
            "attempt_failed",
            request=work.request_id,
            service=work.service,
            upstream=work.upstream,
            owner=owner.name if owner is not None else self._node.settings.node,
            outcome=answer.outcome.value,
            reach=answer.reach.value,
            reason=answer.reason,
            left_ms=work.deadline_ms - now_ms(),
        )

    async def _send(self, work, opener, owner):
        self._placement.begin(work.upstream)
        try:
            if owner is None:
                return await self._run_here(work, opener)
            return await self._relay(work, owner)
        finally:
            self._placement.end(work.upstream)

    async def _run_here(self, work, opener):
        local = self._node.owner(work.upstream)
        if local is None:
            return WorkAnswer(
                Outcome.BUSY, Reach.NOT_SENT, "the database is not known here yet"
            )
        return await local.execute(work, opener)

    async def _relay(self, work, owner):
        remaining_ms = work.deadline_ms - now_ms() + RELAY_SLACK_MS
        try:
            answer = await self._ask_owner(work, owner, remaining_ms / 1_000)
        except PeerUnavailableError as error:
            self._node.suspect(owner)
            reach = Reach.SENT if error.is_sent else Reach.NOT_SENT
            outcome = Outcome.UNKNOWN if error.is_sent else Outcome.BUSY
            return WorkAnswer(outcome, reach, str(error), is_unreachable=True)
        if isinstance(answer, WorkAnswer):
            return answer
        return WorkAnswer(Outcome.BUSY, Reach.NOT_SENT, "the owner does not serve this")

    async def _ask_owner(self, work, owner, timeout_s):
        """Ask an owner; stop waiting for a read once the owner itself is silent.

        A save goes on waiting: its answer may still come, and it runs nowhere else.
        """
        answers = []
        failures = []

        async def ask():
            try:
                answers.append(await self._node.peers.ask(owner, work, timeout_s))
            except PeerUnavailableError as error:
                failures.append(error)
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await anyio.sleep(PING_AFTER_S)
            if not await self._node.is_answering(owner):
                self._node.suspect(owner)
                if not (is_final_step(work) or work.is_write):
                    text = f"{owner.name} went silent"
                    failures.append(PeerUnavailableError(text, True))
                    tasks.cancel_scope.cancel()
        if answers:
            return answers[0]
        raise failures[0]


def is_final_step(work):
    """Return whether a statement may have committed something."""
    return work.step in (WorkStep.COMMIT, WorkStep.OPEN_AND_COMMIT) or (
        work.step is WorkStep.SINGLE and work.is_write
    )
