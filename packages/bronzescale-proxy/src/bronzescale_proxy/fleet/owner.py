"""Own a database: admit statements to its slots and run them on its connections."""

import anyio

from bronzescale_core.admission import WorkClass
from bronzescale_core.codec import IDLE
from bronzescale_core.outliers import OutcomeTracker
from bronzescale_core.positions import ORIGIN
from bronzescale_core.primary_lease import required_position
from bronzescale_core.work import (
    NO_AGE_LIMIT,
    NO_TRANSACTION,
    NOT_RUN_OUTCOMES,
    Outcome,
    Reach,
    WorkAnswer,
    WorkStep,
)
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import UpstreamUnavailableError
from bronzescale_proxy.fleet.pool import ConnectionPool
from bronzescale_proxy.fleet.slots import Slots

# A commit's answer waits this long for the proof that no other primary leads.
COMMIT_PROOF_MS = 700
# Time left to tell the caller that a statement was not run for want of a proof.
PROOF_MARGIN_MS = 20
# A resting transaction outlives the caller's own limit by this much at the owner.
IDLE_SLACK_MS = 1_000
# A database that takes this many times its usual time has lost the statement.
PATIENCE_FACTOR = 8
# An overloaded database that is this much slower than usual fails nothing.
SILENCE_FACTOR = 4
# The longest statements of known workloads take 300 ms when slots are free.
MIN_PATIENCE_MS = 400
# A rollback that takes longer is left to the close of its connection.
ROLL_BACK_TIMEOUT_S = 1.0
# When to come back after a failure that a change of primary will end.
RETRY_AFTER_FAILURE_MS = 300

_NO_HEAD = WorkAnswer(
    Outcome.BEHIND, Reach.NOT_SENT, "no recent head of the primary is known"
)
# Answers that a sound database with a bounded number of statements does not give.
_FAULTS = frozenset((Outcome.FAILED, Outcome.TIMEOUT, Outcome.BUSY))


class _Transaction:
    """An open transaction and the connection that holds it."""

    def __init__(self, number, link, opener, is_read_only):
        self.number = number
        self.link = link
        self.opener = opener
        self.is_read_only = is_read_only
        self.has_written = False
        self.lock = anyio.Lock()
        self.used_at_ms = now_ms()


class CopyOwner:
    """One database at the node that owns its connections.

    Parameters
    ----------
    copy : Copy
        The database.
    monitor : PrimaryMonitor
        Knows who leads.
    node : FleetNode
        What this node knows.
    """

    def __init__(self, copy, monitor, node):
        self.copy = copy
        self._monitor = monitor
        self._node = node
        self._codec = node.codec
        self._pool = ConnectionPool(copy, node.codec, node.metrics)
        self._slots = Slots(copy.slots)
        self._transactions = {}
        self._next_number = 1
        self._outcomes = OutcomeTracker()
        self.used_at_ms = now_ms()

    @property
    def load(self):
        """Return running and waiting statements per slot."""
        return self._slots.busy / max(1, self.copy.slots)

    @property
    def is_idle(self):
        """Return whether nothing runs, waits or stays open."""
        return not (self._slots.busy or self._transactions)

    def retire(self):
        """Take no new work; connections close as what runs on them ends."""
        self._pool.close()

    def close(self):
        """Close every connection; what is open rolls back."""
        for transaction in list(self._transactions.values()):
            self._end(transaction)
        self._pool.close()

    async def execute(self, work, opener):
        """Run a statement.

        Parameters
        ----------
        work : Work
            The statement.
        opener : object
            Who asks; a transaction ends with it.

        Returns
        -------
        WorkAnswer
        """
        self.used_at_ms = now_ms()
        if work.step in (WorkStep.CONTINUE, WorkStep.COMMIT) and work.transaction_id:
            answer = await self._run_in_transaction(work)
        else:
            answer = await self._run_admitted(work, opener)
        return answer._replace(
            load=round(self.load, 2),
            service_ms=self._slots.service_time_ms,
            ejected_until_ms=self._outcomes.ejected_until_ms,
        )

    async def warm_up(self):
        """Open a connection for each slot before statements need them."""
        while self._pool.size < self.copy.slots:
            try:
                await self._pool.add_idle()
            except UpstreamUnavailableError as error:
                self._note_loss("not_warmed_up", error)
                return

    # Transactions

    async def _run_in_transaction(self, work):
        transaction = self._transactions.get(work.transaction_id)
        if transaction is None:
            return _not_sent("the transaction has been rolled back")
        async with transaction.lock:
            if transaction.number not in self._transactions:
                return _not_sent("the transaction has been rolled back")
            transaction.used_at_ms = now_ms()
            transaction.has_written |= work.is_write
            ticket = self._slots.acquire_immediately(work.deadline_ms)
            started_ms = now_ms()
            answer = None
            try:
                answer = await self._run_step(work, transaction)
            finally:
                self._slots.release(ticket, _held_ms(started_ms, answer))
                if transaction.number in self._transactions:
                    transaction.used_at_ms = now_ms()
        return answer

    async def _run_step(self, work, transaction):
        is_commit = work.step is WorkStep.COMMIT
        if is_commit and transaction.has_written:
            until_ms = work.deadline_ms - PROOF_MARGIN_MS
            if not await self._monitor.require(self.copy.instance, until_ms):
                transaction.link.is_usable = False
                self._end(transaction)
                return _not_sent(f"{self.copy.instance} may have been replaced")
        try:
            answer = await self._run_on(transaction.link, work)
        except BaseException:
            self._end(transaction)
            raise
        is_over = is_commit or answer.outcome is not Outcome.DONE
        if is_over:
            if answer.outcome is not Outcome.DONE:
                transaction.link.is_usable = False
            self._end(transaction)
        if is_commit and transaction.has_written:
            answer = await self._confirm(work, answer)
        return answer._replace(
            transaction_id=NO_TRANSACTION if is_over else transaction.number
        )

    def _end(self, transaction):
        """Give up a transaction; an open one is rolled back by the close."""
        if self._transactions.pop(transaction.number, None) is None:
            return
        self._pool.release(transaction.link)

    async def roll_back(self, number):
        """Roll back a transaction whose caller ended it or is gone."""
        transaction = self._transactions.get(number)
        if transaction is None:
            return
        with anyio.move_on_after(ROLL_BACK_TIMEOUT_S):
            async with transaction.lock:
                await self._roll_back_now(transaction)
        self._end(transaction)

    async def _roll_back_now(self, transaction):
        link = transaction.link
        if not link.is_usable or transaction.number not in self._transactions:
            return
        try:
            (reply,) = await link.run_own([self._codec.rollback])
        except UpstreamUnavailableError as error:
            # The database rolls back what its closed connection left open.
            self._note_loss("rollback_unanswered", error)
            return
        link.is_usable = reply.is_done and reply.state == IDLE

    def transactions_of(self, opener):
        """Return the numbers of an opener's open transactions."""
        return [t.number for t in self._transactions.values() if t.opener is opener]

    def resting_transactions(self, idle_ms):
        """Return the numbers of transactions that rest for too long."""
        limit_ms = now_ms() - idle_ms - IDLE_SLACK_MS
        return [
            t.number
            for t in self._transactions.values()
            if t.used_at_ms < limit_ms and not t.lock.locked()
        ]

    # Admission

    async def _run_admitted(self, work, opener):
        # What has to wait for a head or for a proof does so without a slot.
        _, refused = await self._check_consistency(work)
        if refused is not None:
            return refused
        takes_write_turn = work.is_write or work.needs_lead
        work_class = WorkClass.WRITE if takes_write_turn else WorkClass.READ
        ticket, refused = await self._slots.acquire(work_class, work.deadline_ms)
        if refused is not None:
            return refused
        started_ms = now_ms()
        answer = None
        try:
            answer = await self._run_on_pool(work, opener)
        finally:
            self._slots.release(ticket, _held_ms(started_ms, answer))
        return answer

    # Running

    async def _check_consistency(self, work):
        """Return what a statement must see here, and why it cannot run or None."""
        floor = await self._floor(work)
        if floor is None:
            return None, _NO_HEAD
        if not await self._may_lead(work):
            reason = f"{self.copy.instance} is not proven to lead"
            return None, _not_sent(reason, Outcome.BUSY, is_unreachable=True)
        return floor, None

    async def _run_on_pool(self, work, opener):
        # The lead may have changed while the statement waited for its slot.
        floor, refused = await self._check_consistency(work)
        if refused is not None:
            return refused
        asked_at_ms = now_ms()
        until_ms = self._patience_ends_ms(work, asked_at_ms)
        try:
            with anyio.fail_after(max(0.001, (until_ms - asked_at_ms) / 1_000)):
                link = await self._take_link(work)
        except UpstreamUnavailableError as error:
            outcome = getattr(error, "outcome", Outcome.BUSY)
            is_gone = outcome in (Outcome.BUSY, Outcome.WRONG_INSTANCE)
            return _not_sent(str(error), Outcome.BUSY, is_unreachable=is_gone)
        except TimeoutError:
            self._note_silence(now_ms() - asked_at_ms)
            return _not_sent("no connection became free in time", Outcome.BUSY)
        if work.step is WorkStep.SINGLE:
            try:
                answer = await self._run_on(link, work, floor)
            finally:
                self._pool.release(link)
            return await self._confirm(work, answer) if work.is_write else answer
        return await self._open_transaction(link, work, floor, opener)

    async def _take_link(self, work):
        """Return a connection that holds the session's state.

        One that broke while it rested is replaced once.
        """
        for is_last in (False, True):
            link = await self._pool.acquire(work.values, work.prepared_name)
            try:
                await link.hold_state(work.values, work.prepared_name, work.prepared)
                return link
            except UpstreamUnavailableError:
                self._pool.release(link)
                if is_last:
                    raise
                self._pool.close_idle()
            except BaseException:
                self._pool.release(link)
                raise
        raise AssertionError("unreachable")

    async def _open_transaction(self, link, work, floor, opener):
        transaction = _Transaction(self._next_number, link, opener, work.is_read_only)
        self._next_number += 1
        self._transactions[transaction.number] = transaction
        async with transaction.lock:
            try:
                answer = await self._begin(link, work, floor)
                if answer is None:
                    transaction.has_written = work.is_write
                    answer = await self._run_on(link, work)
            except BaseException:
                link.is_usable = False
                self._end(transaction)
                raise
        if answer.outcome is not Outcome.DONE:
            link.is_usable = False
            self._end(transaction)
            return answer
        if work.step is WorkStep.OPEN_AND_COMMIT:
            self._end(transaction)
            return answer
        transaction.used_at_ms = now_ms()
        return answer._replace(transaction_id=transaction.number)

    async def _begin(self, link, work, floor):
        """Open a transaction on a connection; return why that failed, or None."""
        text = self._codec.begin(work.is_read_only, floor)
        try:
            with anyio.fail_after(max(0.001, (work.deadline_ms - now_ms()) / 1_000)):
                (reply,) = await link.run_own([text])
        except UpstreamUnavailableError as error:
            return _not_sent(str(error), Outcome.BUSY, is_unreachable=True)
        except TimeoutError:
            return _not_sent("the database did not answer in time", Outcome.TIMEOUT)
        if reply.is_done:
            return None
        return WorkAnswer(reply.outcome, Reach.REFUSED, reply.reason)

    async def _run_on(self, link, work, floor=ORIGIN):
        """Run the caller's own statement on a connection."""
        text = work.text
        if not work.is_write and work.step is WorkStep.SINGLE:
            text = self._codec.after(floor, text)
        if work.prepared is not None and work.step is WorkStep.CONTINUE:
            try:
                await link.hold_state(work.values, work.prepared_name, work.prepared)
            except UpstreamUnavailableError as error:
                return _not_sent(str(error), Outcome.ABORTED)
        sent_at_ms = now_ms()
        until_ms = self._patience_ends_ms(work, sent_at_ms)
        try:
            with anyio.fail_after(max(0.001, (until_ms - sent_at_ms) / 1_000)):
                reply = await link.run(work.request_id, text)
        except UpstreamUnavailableError as error:
            self._note_outcome(True)
            return WorkAnswer(
                Outcome.UNKNOWN, Reach.SENT, str(error), is_unreachable=True
            )
        except TimeoutError:
            self._note_silence(now_ms() - sent_at_ms)
            link.is_usable = False
            return WorkAnswer(
                Outcome.TIMEOUT, Reach.SENT, "the database did not answer in time"
            )
        self._note_outcome(reply.outcome in _FAULTS)
        return self._answer(work, reply, sent_at_ms)

    def _patience_ends_ms(self, work, sent_at_ms):
        """Return until when to wait for an answer; a read may still go elsewhere."""
        if work.is_write or work.needs_lead or work.step is not WorkStep.SINGLE:
            return work.deadline_ms
        patience_ms = max(
            MIN_PATIENCE_MS, PATIENCE_FACTOR * self._slots.service_time_ms
        )
        is_time_for_another = sent_at_ms + 2 * patience_ms < work.deadline_ms
        return sent_at_ms + patience_ms if is_time_for_another else work.deadline_ms

    def _note_loss(self, event, error):
        self._node.log.log_decision(
            event,
            service=self.copy.service,
            upstream=self.copy.instance,
            reason=str(error),
        )

    def _note_silence(self, waited_ms):
        """Count a silence, unless the database is as slow with all statements."""
        if waited_ms >= SILENCE_FACTOR * self._slots.service_time_ms:
            self._note_outcome(True)

    def _note_outcome(self, is_failed):
        """Count an outcome; a database whose statements fail is told to be avoided."""
        if self._outcomes.record(is_failed, now_ms()):
            self._node.log.log_state_change(
                "upstream_ejected",
                service=self.copy.service,
                upstream=self.copy.instance,
                for_ms=self._outcomes.ejected_until_ms - now_ms(),
            )

    def _answer(self, work, reply, sent_at_ms):
        self._monitor.record_answer(self.copy.instance)
        if self.copy.instance == self._monitor.primary and reply.is_done:
            self._monitor.lease.record_position(
                self.copy.instance, reply.position, sent_at_ms
            )
        if reply.outcome in NOT_RUN_OUTCOMES:
            return WorkAnswer(
                reply.outcome,
                Reach.REFUSED,
                reply.reason,
                retry_after_ms=int(self._slots.service_time_ms),
            )
        return WorkAnswer(
            reply.outcome,
            Reach.ANSWERED,
            reply.reason,
            reply.rows,
            reply.signature,
            reply.position,
        )

    # Consistency

    async def _floor(self, work):
        """Return the position that a read must see here, or None if unknown."""
        if work.is_write or work.needs_lead:
            return ORIGIN
        if self._is_proven_primary():
            return ORIGIN
        if work.max_age_ms == NO_AGE_LIMIT:
            return work.floor
        head = await self._monitor.head_since(work.received_at_ms - work.max_age_ms)
        return None if head is None else required_position(work.floor, head.position)

    def _is_proven_primary(self):
        return self._monitor.lease.is_held_by(self.copy.instance, now_ms())

    async def _may_lead(self, work):
        if not (work.needs_lead or work.is_write):
            return True
        until_ms = work.deadline_ms - PROOF_MARGIN_MS
        return await self._monitor.require(self.copy.instance, until_ms)

    async def _confirm(self, work, answer):
        """Return a save's success only while no other primary can lead."""
        if answer.outcome is not Outcome.DONE:
            return answer
        until_ms = now_ms() + COMMIT_PROOF_MS
        if await self._monitor.require(self.copy.instance, until_ms):
            return answer
        return WorkAnswer(
            Outcome.UNKNOWN,
            Reach.SENT,
            f"{self.copy.instance} may have been replaced while it committed",
        )


def _held_ms(started_ms, answer):
    """Return how long a statement held its slot, or None if it did not end there."""
    is_ended = answer is not None and answer.reach is Reach.ANSWERED
    return now_ms() - started_ms if is_ended else None


def _not_sent(reason, outcome=Outcome.ABORTED, is_unreachable=False):
    return WorkAnswer(
        outcome,
        Reach.NOT_SENT,
        reason,
        retry_after_ms=RETRY_AFTER_FAILURE_MS,
        is_unreachable=is_unreachable,
    )
