"""Choose a database and an owner node for each statement and retry failed attempts.

A read is tried at each database of its service in order of expected latency. A write,
or a read that needs the primary, runs at the primary only. Each database is reached
through its owner, the node that holds its connections; `FleetNode.owners_of` returns
the nodes to try.
"""

import anyio

from bronzescale_core.backlog_reports import refuse_by_reports
from bronzescale_core.outcomes import RetryBudget
from bronzescale_core.placement import Choice, Placement, ReadNeed
from bronzescale_core.positions import ORIGIN
from bronzescale_core.work import (
    Outcome,
    Reach,
    WorkAnswer,
    choose_refusal,
    is_capacity_refusal,
    may_commit,
    may_run_elsewhere,
)
from bronzescale_proxy import wire
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import (
    PeerRestartedError,
    PeerUnavailableError,
    UnsendableMessageError,
)
from bronzescale_proxy.fleet.owner_watch import OwnerWatch

# Time after a statement's deadline by which its owner has answered. Giving up earlier
# would lose the answer with which the owner reports its own timeout.
RELAY_TIMEOUT_MARGIN_MS = 250
# Backoff between two rounds over all candidates; it doubles up to the maximum.
RETRY_BACKOFF_MIN_MS = 25
RETRY_BACKOFF_MAX_MS = 120
# A failover usually ends within this time; callers get it as the time to retry after.
FAILOVER_EXPECTED_MS = 1_500


class Dispatcher:
    """Route the statements of one node's callers.

    Parameters
    ----------
    node : FleetNode
        Shared state of this node.
    random : random.Random
        Source of the draws between databases.
    """

    def __init__(self, node, random):
        self._node = node
        settings = node.settings
        self._placement = Placement(
            settings.zone, settings.region, settings.regions, random.random
        )
        self._budget = RetryBudget()

    async def run(self, work, opener):
        """Run a statement that is not part of an open transaction.

        Parameters
        ----------
        work : Work
            The statement; its ``upstream`` is chosen here.
        opener : object
            The caller's session, which owns a transaction that the statement opens.

        Returns
        -------
        answer : WorkAnswer
        upstream : str
            Database that answered last.
        owner : Node or None
            Node that answered last; None for this node. Its incarnation is that of the
            process that holds a transaction which the statement opened.
        """
        self._budget.deposit()
        backoff_ms = RETRY_BACKOFF_MIN_MS
        previous = None
        while True:
            failover_refusal = self._refuse_during_failover(work)
            if failover_refusal is not None:
                return failover_refusal, "", None
            backlog_refusal = self._refuse_by_reports(work)
            if backlog_refusal is not None:
                return backlog_refusal, "", None
            answers = []
            attempt = await self._try_candidates(work, opener, previous, answers)
            queue_refusal = choose_refusal(answers)
            if queue_refusal is not None:
                # No database has a free slot, and another round would find the same.
                # The caller is refused now and can use the time left.
                return queue_refusal, *attempt[1:]
            if attempt is not None:
                answer = attempt[0]
                if answer.outcome is Outcome.DONE or not self._may_retry(work, answer):
                    return attempt
                previous = attempt
            if now_ms() + backoff_ms >= work.deadline_ms:
                return previous or (self._refuse_without_candidate(work), "", None)
            event = self._node.changed
            with anyio.move_on_after(backoff_ms / 1_000):
                await event.wait()
            backoff_ms = min(RETRY_BACKOFF_MAX_MS, backoff_ms * 2)

    async def run_in_transaction(self, work, opener, owner):
        """Run a statement of an open transaction at the owner that holds it."""
        answer = await self._run_at_owner(work, opener, owner)
        self._record_upstream(work.upstream, answer)
        return answer

    async def end_transaction(self, upstream, transaction_id, owner):
        """Roll back a transaction whose caller ended it or disconnected."""
        if owner is None:
            local = self._node.owner(upstream)
            if local is not None:
                await local.roll_back(transaction_id)
            return
        message = wire.EndTransaction(upstream, transaction_id)
        await self._node.peers.send_one_way(owner, message, owner.incarnation)

    def _may_retry(self, work, answer):
        if not may_run_elsewhere(work, answer):
            return False
        return not (answer.reach is Reach.SENT and not self._budget.withdraw())

    def _refuse_during_failover(self, work):
        """Return a refusal for a statement that needs the primary, or None to go on.

        The statement is refused without an attempt if a failover is expected to last
        past its deadline.
        """
        if not (work.needs_lead or work.is_write):
            return None
        monitor = self._node.primary_monitor(work.service)
        failover_ends_at_ms = monitor.expected_change_end_ms()
        if failover_ends_at_ms is None or failover_ends_at_ms <= work.deadline_ms:
            return None
        return WorkAnswer(
            Outcome.BUSY,
            Reach.NOT_SENT,
            f"{work.service} is changing its primary",
            retry_after_ms=max(1, failover_ends_at_ms - now_ms()),
        )

    def _refuse_by_reports(self, work):
        """Return a refusal if every database reported too long a wait, or None."""
        reports = [
            self._placement.backlog_report(copy.instance)
            for copy in self._runnable_copies(work)
        ]
        refusal = refuse_by_reports(work, reports, now_ms())
        if refusal is not None:
            self._node.metrics.count_failure("backlog_reported")
            self._node.log.log_decision(
                "refused_by_reports",
                request=work.request_id,
                service=work.service,
                priority=work.priority,
                customer=work.customer,
                waits_ms=[report.waits_ms for report in reports],
            )
        return refusal

    def _refuse_without_candidate(self, work):
        return WorkAnswer(
            Outcome.BUSY,
            Reach.NOT_SENT,
            f"no database of {work.service} can run this now",
            retry_after_ms=FAILOVER_EXPECTED_MS,
        )

    async def _try_candidates(self, work, opener, previous, answers):
        """Try each candidate once.

        Parameters
        ----------
        work : Work
            The statement.
        opener : object
            The caller's session.
        previous : tuple or None
            Result of the last attempt of the previous round.
        answers : list of WorkAnswer
            Receives the answer of each attempt of this round.

        Returns
        -------
        tuple or None
            Answer, upstream and owner of the last attempt; `previous` if there was no
            candidate.
        """
        attempt = previous
        ranked = self._candidates(work)
        for index, (copy, choice) in enumerate(ranked):
            if index and not self._may_try_next(work, copy, answers[-1]):
                continue
            self._count_choice(work, copy, choice if not index else None)
            routed = work._replace(upstream=copy.instance)
            answer, owner = await self._try_owners(routed, opener)
            self._record_upstream(copy.instance, answer)
            self._record_position(copy, routed, answer)
            attempt = answer, copy.instance, owner
            answers.append(answer)
            if answer.outcome is Outcome.DONE:
                return attempt
            self._record_failure(routed, answer, owner)
            if not may_run_elsewhere(work, answer):
                return attempt
            if now_ms() >= work.deadline_ms:
                return attempt
        return attempt

    def _candidates(self, work):
        """Return the databases to try in turn, each with the reason for its place."""
        copies = self._runnable_copies(work)
        if work.needs_lead or work.is_write:
            return [(copy, Choice.NEEDS_PRIMARY) for copy in copies]
        primary = self._node.primary_monitor(work.service).primary
        return self._placement.rank(copies, primary, now_ms(), _need(work))

    def _runnable_copies(self, work):
        """Return the databases that may run a statement, in no order."""
        copies = self._node.catalog.copies(work.service)
        if not (work.needs_lead or work.is_write):
            return copies
        primary = self._node.primary_monitor(work.service).primary
        return [copy for copy in copies if copy.instance == primary]

    def _may_try_next(self, work, copy, answer):
        """Return whether a read that failed elsewhere may be tried at a database.

        Reads that a slow database still runs, and those for a database without a free
        slot, are bounded to a share of the statements. An overloaded service would
        otherwise get each read several times.
        """
        if answer.reach is Reach.SENT and not answer.is_unreachable:
            return self._budget.withdraw()
        if not is_capacity_refusal(answer):
            return True
        has_room = self._placement.may_have_room(copy.instance, _need(work), now_ms())
        return has_room or self._budget.withdraw()

    def _count_choice(self, work, copy, choice):
        """Count and log why a database is tried; `choice` is None after a failure."""
        reason = "after_failure" if choice is None else choice.value
        primary = self._node.primary_monitor(work.service).primary
        if not work.is_write:
            self._node.metrics.count_choice(reason, copy.instance == primary)
        if choice in (Choice.DRAWN, Choice.OTHERS_BEHIND):
            self._node.log.log_decision(
                "read_placed",
                request=work.request_id,
                service=work.service,
                upstream=copy.instance,
                choice=reason,
            )

    async def _try_owners(self, work, opener):
        answer = None
        owner = None
        for owner in self._node.owners_of(work.upstream):
            answer = await self._run_at_owner(work, opener, owner)
            should_try_next = answer.reach is Reach.NOT_SENT and answer.is_unreachable
            if not should_try_next or now_ms() >= work.deadline_ms:
                return answer, self._bind_to_process(owner, answer)
        if answer is None:
            answer = WorkAnswer(Outcome.BUSY, Reach.NOT_SENT, "no node can reach it")
        return answer, owner

    def _bind_to_process(self, owner, answer):
        """Return an owner with the incarnation of the process that answered.

        The membership may not know yet that the owner has started again.
        """
        if owner is None or not answer.transaction_id:
            return owner
        return owner._replace(incarnation=self._node.peers.incarnation(owner))

    def _record_upstream(self, instance, answer):
        """Record the load and the ejection that an owner reports for its database."""
        if answer.service_ms:
            self._placement.record_load(
                instance, answer.load, answer.service_ms, now_ms(), answer.waits_ms
            )
        if answer.ejected_until_ms:
            self._placement.record_ejection(instance, answer.ejected_until_ms)

    def _record_position(self, copy, work, answer):
        """Record whether a database was behind for a read or served it."""
        if work.is_write or work.needs_lead:
            return
        if answer.outcome is Outcome.DONE:
            self._placement.record_served(copy, answer.position, _need(work), now_ms())
        elif answer.outcome is Outcome.BEHIND and answer.position != ORIGIN:
            # Without a position, the owner knows no head of the primary.
            self._placement.record_behind(
                copy.instance,
                answer.position,
                _need(work),
                now_ms(),
                is_trailing=answer.reach is Reach.NOT_SENT,
            )

    def _record_failure(self, work, answer, owner):
        is_overloaded = answer.outcome is Outcome.BUSY and answer.retry_after_ms
        if answer.outcome is not Outcome.BEHIND and not is_overloaded:
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

    async def _run_at_owner(self, work, opener, owner):
        self._placement.begin(work.upstream, now_ms())
        try:
            if owner is None:
                return await self._run_locally(work, opener)
            return await self._run_remotely(work, owner)
        finally:
            self._placement.end(work.upstream)

    async def _run_locally(self, work, opener):
        local = self._node.owner(work.upstream)
        if local is None:
            return WorkAnswer(
                Outcome.BUSY, Reach.NOT_SENT, "the database is not known here yet"
            )
        return await local.execute(work, opener)

    async def _run_remotely(self, work, owner):
        sent_at_ms = now_ms()
        remaining_ms = work.deadline_ms - sent_at_ms + RELAY_TIMEOUT_MARGIN_MS
        try:
            answer = await self._request_from_owner(work, owner, remaining_ms / 1_000)
        except UnsendableMessageError as error:
            return WorkAnswer(Outcome.FAILED, Reach.NOT_SENT, str(error))
        except PeerRestartedError as error:
            # The transaction was rolled back when its process ended.
            return WorkAnswer(Outcome.ABORTED, Reach.NOT_SENT, str(error))
        except PeerUnavailableError as error:
            if not self._node.peers.has_heard_since(owner, sent_at_ms):
                self._node.mark_suspect(owner)
            reach = Reach.SENT if error.is_sent else Reach.NOT_SENT
            outcome = Outcome.UNKNOWN if error.is_sent else Outcome.BUSY
            return WorkAnswer(outcome, reach, str(error), is_unreachable=True)
        if isinstance(answer, WorkAnswer):
            return answer
        # The owner has the statement, and its answer says nothing about it.
        return WorkAnswer(Outcome.UNKNOWN, Reach.SENT, "the owner answered oddly")

    async def _request_from_owner(self, work, owner, timeout_s):
        """Send a statement to an owner; give up on a read if the owner hangs.

        A write waits until its timeout, since its answer may still come and it must
        not run at another database.
        """
        may_give_up = not (may_commit(work) or work.is_write)
        incarnation = owner.incarnation if work.transaction_id else None
        with OwnerWatch(self._node, owner, may_give_up):
            return await self._node.peers.request(
                owner, work, timeout_s, incarnation=incarnation
            )
        raise PeerUnavailableError(f"{owner.name} went silent", True)


def _need(work):
    return ReadNeed(work.floor, work.max_age_ms, work.priority)
