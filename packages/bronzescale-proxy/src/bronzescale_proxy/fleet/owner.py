"""Run statements on one database, as the node that owns its connections.

An owner limits how many statements run there at once and keeps the open transactions.
It also enforces consistency: reads see at least the required position of the log, and
writes run only while the database holds the lease as the primary.
"""

from functools import partial

import anyio

from bronzescale_core.admission import Refused
from bronzescale_core.codec import IDLE
from bronzescale_core.connection_budget import connection_cap
from bronzescale_core.outliers import OutcomeTracker
from bronzescale_core.positions import ORIGIN
from bronzescale_core.primary_lease import required_position
from bronzescale_core.scheduling_policy import LOWEST_PRIORITY
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
from bronzescale_proxy.fleet.abandoned import AbandonedReads
from bronzescale_proxy.fleet.pool import ConnectionPool
from bronzescale_proxy.fleet.replica_log import ReplicaLog
from bronzescale_proxy.fleet.slots import Slots
from bronzescale_proxy.fleet.transaction_gate import TransactionGate

# Longest wait for the lease after a commit. Without a lease, another database may
# have become the primary and lack the commit, so its outcome is unknown.
COMMIT_LEASE_TIMEOUT_MS = 700
# Time before the deadline when the wait for a lease ends; otherwise the caller would
# time out without learning that the statement was not run.
REFUSAL_MARGIN_MS = 20
# Added to the idle limit of a transaction at the owner, so that the caller's node,
# which applies the limit itself, ends the transaction first.
IDLE_TRANSACTION_GRACE_MS = 1_000
# Grace while other statements wait to open a transaction; covers the way to the caller.
CONTENDED_IDLE_GRACE_MS = 100
# A read that takes this multiple of the usual service time counts as lost by the
# database, and another database may run it.
READ_TIMEOUT_FACTOR = 8
# A timeout below this multiple of the usual service time is not counted as a failure,
# so that a database that is slow under overload is not ejected.
FAILURE_TIMEOUT_FACTOR = 4
# The longest statements of known workloads take 300 ms when slots are free.
MIN_READ_TIMEOUT_MS = 400
# After a longer wait the connection is closed, which also rolls back.
ROLLBACK_TIMEOUT_S = 1.0
# With customers, most of the connections that a database accepts are open. An owner
# that is no longer first in rank closes those that were idle for so long.
YIELD_IDLE_MS = 500
# Sent as `retry_after_ms` with failures that may last until a change of primary ends.
RETRY_AFTER_FAILURE_MS = 300

NO_CONNECTION_IN_TIME = "no connection became free in time"
TOO_FEW_CONNECTIONS = "too few connections are left for another transaction"

_HEAD_UNKNOWN = WorkAnswer(
    Outcome.BEHIND, Reach.NOT_SENT, "no recent head of the primary is known"
)
_STEPS_IN_TRANSACTION = frozenset((WorkStep.CONTINUE, WorkStep.COMMIT))
# Outcomes that a healthy database does not return while the owner limits its load.
_FAULT_OUTCOMES = frozenset((Outcome.FAILED, Outcome.TIMEOUT, Outcome.BUSY))


class _Transaction:
    """An open transaction and its connection."""

    def __init__(self, number, connection, opener, is_read_only):
        self.number = number
        self.connection = connection
        self.opener = opener
        self.is_read_only = is_read_only
        self.has_written = False
        self.lock = anyio.Lock()
        self.used_at_ms = now_ms()


class CopyOwner:
    """Run statements on one database whose connections this node owns.

    Parameters
    ----------
    copy : Copy
        The database.
    monitor : PrimaryMonitor
        Lease of the primary of the database's service.
    node : FleetNode
        Shared state of this node.
    """

    def __init__(self, copy, monitor, node):
        self.copy = copy
        self._monitor = monitor
        self._node = node
        self._codec = node.codec
        self._pool = ConnectionPool(
            copy, node.codec, node.metrics, node.log, self._start_task
        )
        self._slots = Slots(copy.slots, node.metrics)
        self._gate = TransactionGate(copy.slots)
        self._replica_log = ReplicaLog(copy, node)
        self._abandoned = AbandonedReads(self._pool, node)
        self._transactions = {}
        self._outcomes = OutcomeTracker()
        self.used_at_ms = now_ms()

    def _start_task(self, function, *arguments):
        self._node.tasks.start_soon(function, *arguments)

    @property
    def load(self):
        """Return running and waiting statements per slot."""
        return self._slots.busy / max(1, self.copy.slots)

    def queue_snapshot(self):
        """Return what waits for the database, as a document for operators."""
        return self._slots.snapshot() | {
            "transactions": len(self._transactions),
            "transactions_waiting": self._gate.waiting,
        }

    @property
    def is_idle(self):
        """Return whether no statement runs or waits and no transaction is open."""
        return not (self._slots.busy or self._transactions)

    def retire(self):
        """Open no more connections; close idle ones now and the others on release."""
        self._pool.close()

    def close(self):
        """Close every connection, which rolls back the open transactions."""
        for transaction in list(self._transactions.values()):
            self._discard(transaction)
        self._pool.close()

    async def execute(self, work, opener):
        """Run a statement.

        Parameters
        ----------
        work : Work
            The statement.
        opener : object
            Session or peer connection that sent the statement; when it ends, its open
            transactions are rolled back.

        Returns
        -------
        WorkAnswer
        """
        self.used_at_ms = now_ms()
        self._slots.apply(self._node.configuration)
        if work.step in _STEPS_IN_TRANSACTION and work.transaction_id:
            answer = await self._run_in_transaction(work)
        else:
            answer = await self._run_admitted(work, opener)
        return answer._replace(
            load=round(self.load, 2),
            service_ms=self._slots.service_time_ms,
            ejected_until_ms=self._outcomes.ejected_until_ms,
            waits_ms=self._slots.waits_ms(),
        )

    async def warm_up(self):
        """Open a connection for each slot before the first statements arrive."""
        while self._pool.size < self.copy.slots:
            try:
                await self._pool.add_idle()
            except UpstreamUnavailableError as error:
                self._log_failure("not_warmed_up", error)
                return

    # Transactions

    async def _run_in_transaction(self, work):
        transaction = self._transactions.get(work.transaction_id)
        if transaction is None:
            return _not_sent("the transaction has been rolled back")
        if transaction.connection.customer != work.customer:
            return _not_sent("the transaction belongs to another customer")
        async with transaction.lock:
            if transaction.number not in self._transactions:
                return _not_sent("the transaction has been rolled back")
            transaction.used_at_ms = now_ms()
            transaction.has_written |= work.is_write
            ticket = self._slots.acquire_immediately(work)
            started_ms = now_ms()
            answer = None
            try:
                answer = await self._run_step(work, transaction)
            finally:
                self._slots.release(ticket, _slot_held_ms(started_ms, answer))
                if transaction.number in self._transactions:
                    transaction.used_at_ms = now_ms()
        return answer

    async def _run_step(self, work, transaction):
        is_commit = work.step is WorkStep.COMMIT
        if is_commit and transaction.has_written:
            until_ms = work.deadline_ms - REFUSAL_MARGIN_MS
            if not await self._monitor.wait_for_lease(self.copy.instance, until_ms):
                transaction.connection.is_usable = False
                self._discard(transaction)
                return _not_sent(f"{self.copy.instance} may have been replaced")
        try:
            answer = await self._run_on(transaction.connection, work)
        except BaseException:
            self._discard(transaction)
            raise
        is_over = is_commit or answer.outcome is not Outcome.DONE
        if is_over:
            if answer.outcome is not Outcome.DONE:
                transaction.connection.is_usable = False
            self._discard(transaction)
        if is_commit and transaction.has_written:
            answer = await self._confirm_commit(work, answer)
        return answer._replace(
            transaction_id=NO_TRANSACTION if is_over else transaction.number
        )

    def _discard(self, transaction):
        """Remove a transaction and release its connection.

        One that is still open is rolled back when its connection is closed.
        """
        if self._transactions.pop(transaction.number, None) is None:
            return
        self._pool.release(transaction.connection)
        self._gate.leave(transaction.number)

    async def roll_back(self, number):
        """Roll back a transaction that its caller ended or abandoned."""
        transaction = self._transactions.get(number)
        if transaction is None:
            return
        with anyio.move_on_after(ROLLBACK_TIMEOUT_S):
            async with transaction.lock:
                await self._run_rollback(transaction)
        self._discard(transaction)

    async def _run_rollback(self, transaction):
        connection = transaction.connection
        if not connection.is_usable or transaction.number not in self._transactions:
            return
        try:
            (reply,) = await connection.run_own([self._codec.rollback])
        except UpstreamUnavailableError as error:
            # The database rolls back when the broken connection is closed.
            self._log_failure("rollback_unanswered", error)
            return
        connection.is_usable = reply.is_done and reply.state == IDLE

    def transactions_of(self, opener):
        """Return the numbers of an opener's open transactions."""
        return [t.number for t in self._transactions.values() if t.opener is opener]

    def idle_transactions(self, idle_ms):
        """Return the numbers of transactions that are past the idle limit."""
        grace_ms = (
            CONTENDED_IDLE_GRACE_MS if self._gate.waiting else IDLE_TRANSACTION_GRACE_MS
        )
        limit_ms = now_ms() - idle_ms - grace_ms
        return [
            t.number
            for t in self._transactions.values()
            if t.used_at_ms < limit_ms and not t.lock.locked()
        ]

    def unused_transactions(self):
        """Return the numbers of transactions of which no statement is running."""
        return [t.number for t in self._transactions.values() if not t.lock.locked()]

    # Admission

    async def _run_admitted(self, work, opener):
        # Wait for a head or a lease before taking a slot, not while holding one.
        floor, refused = await self._check_consistency(work)
        if refused is None:
            refused = await self._replica_log.find_refusal(work, floor)
        if refused is not None:
            return refused
        connections = self._connections_for_transactions(work)
        if connections is None:
            return await self._run_in_slot(work, opener)
        place, wait_ms = await self._gate.enter(work, connections)
        if place is None:
            retry_after_ms = max(RETRY_AFTER_FAILURE_MS, int(wait_ms))
            refused = Refused(None, retry_after_ms, TOO_FEW_CONNECTIONS, wait_ms)
            return self._refuse(work, refused)
        try:
            answer = await self._run_in_slot(work, opener)
            if answer.transaction_id in self._transactions:
                place.keep_for(answer.transaction_id)
        finally:
            place.leave_unless_kept()
        return answer

    def _connections_for_transactions(self, work):
        """Return how many connections bound a statement, or None if none do."""
        if work.step is not WorkStep.OPEN or not self._slots.is_scheduled:
            return None
        limits = self._node.configuration.services.get(self.copy.service)
        return (limits.max_connections or None) if limits is not None else None

    async def _run_in_slot(self, work, opener):
        ticket, refused = await self._slots.acquire(work)
        if refused is not None:
            return self._refuse(work, refused)
        started_ms = now_ms()
        answer = None
        try:
            answer = await self._run_on_pool(work, opener)
        finally:
            held_ms = _slot_held_ms(started_ms, answer)
            release = partial(self._slots.release, ticket, held_ms)
            if not self._abandoned.hold_slot(id(work), release):
                release()
        return answer

    def _refuse(self, work, refused):
        """Return the answer for a refused statement; log what it had to wait for."""
        if self._slots.is_scheduled:
            priority = min(work.priority, LOWEST_PRIORITY)
            self._node.metrics.count_refused(priority, refused.reason)
            self._node.log.log_decision(
                "slot_refused",
                request=work.request_id,
                service=self.copy.service,
                upstream=self.copy.instance,
                priority=work.priority,
                customer=work.customer,
                wait_ms=round(refused.wait_ms),
                ahead_ms=round(refused.ahead_ms),
                reason=refused.reason,
            )
        return WorkAnswer(
            Outcome.BUSY,
            Reach.NOT_SENT,
            refused.reason,
            retry_after_ms=refused.retry_after_ms,
        )

    # Running

    async def _check_consistency(self, work):
        """Return the position that a statement must see here, and a refusal or None."""
        floor = await self._required_floor(work)
        if floor is None:
            return None, _HEAD_UNKNOWN
        if not await self._wait_until_primary(work):
            reason = f"{self.copy.instance} is not proven to lead"
            return None, _not_sent(reason, Outcome.BUSY, is_unreachable=True)
        return floor, None

    async def _run_on_pool(self, work, opener):
        # The primary may have changed while the statement waited for its slot.
        floor, refused = await self._check_consistency(work)
        if refused is not None:
            return refused
        asked_at_ms = now_ms()
        until_ms = self._attempt_ends_ms(work, asked_at_ms)
        try:
            with anyio.fail_after(max(0.001, (until_ms - asked_at_ms) / 1_000)):
                connection = await self._acquire_connection(work)
        except UpstreamUnavailableError as error:
            outcome = getattr(error, "outcome", Outcome.BUSY)
            is_unusable = outcome in (Outcome.BUSY, Outcome.WRONG_INSTANCE)
            return _not_sent(str(error), Outcome.BUSY, is_unreachable=is_unusable)
        except TimeoutError:
            self._record_timeout(now_ms() - asked_at_ms)
            return self._refuse(
                work, Refused(None, RETRY_AFTER_FAILURE_MS, NO_CONNECTION_IN_TIME)
            )
        if work.step is WorkStep.SINGLE:
            is_abandoned = False
            try:
                answer = await self._run_on(connection, work, floor)
                is_abandoned = answer.outcome is Outcome.TIMEOUT and not work.is_write
            finally:
                if is_abandoned and connection.can_drain:
                    self._abandoned.add(id(work), connection)
                else:
                    self._pool.release(connection)
            return await self._confirm_commit(work, answer) if work.is_write else answer
        return await self._open_transaction(connection, work, floor, opener)

    async def _acquire_connection(self, work):
        """Return a connection that holds the session's state.

        If a connection turns out to be broken, the idle ones are closed and the
        acquisition is tried once more.
        """
        for is_last in (False, True):
            connection = await self._pool.acquire(
                work.values, work.prepared_name, work.customer, self._max_open()
            )
            try:
                await connection.apply_session_state(
                    work.values, work.prepared_name, work.prepared
                )
                return connection
            except UpstreamUnavailableError:
                self._pool.release(connection)
                if is_last:
                    raise
                self._pool.close_idle()
            except BaseException:
                self._pool.release(connection)
                raise
        raise AssertionError("unreachable")

    def _max_open(self):
        """Return how many connections may be open here; 0 for no limit.

        Without customers, statements share the connections, so that few are open.
        """
        configuration = self._node.configuration
        if configuration is None or not configuration.customers:
            return 0
        limits = configuration.services.get(self.copy.service)
        return connection_cap(limits.max_connections, self.copy.slots) if limits else 0

    def yield_connections(self):
        """Close connections that the new owner of the database is going to need."""
        if self._max_open():
            self._pool.close_unused(now_ms() - YIELD_IDLE_MS, "yielded")

    def connection_counts(self):
        """Return the number of open connections of each customer."""
        return self._pool.counts()

    async def _open_transaction(self, connection, work, floor, opener):
        number = self._node.transaction_ids.allocate()
        transaction = _Transaction(number, connection, opener, work.is_read_only)
        self._transactions[transaction.number] = transaction
        async with transaction.lock:
            try:
                answer = await self._begin(connection, work, floor)
                if answer is None:
                    transaction.has_written = work.is_write
                    answer = await self._run_on(connection, work)
            except BaseException:
                connection.is_usable = False
                self._discard(transaction)
                raise
        if answer.outcome is not Outcome.DONE:
            connection.is_usable = False
            self._discard(transaction)
            return answer
        if work.step is WorkStep.OPEN_AND_COMMIT:
            self._discard(transaction)
            return answer
        transaction.used_at_ms = now_ms()
        return answer._replace(transaction_id=transaction.number)

    async def _begin(self, connection, work, floor):
        """Begin a transaction on a connection; return the failure's answer or None."""
        text = self._codec.begin(work.is_read_only, floor)
        try:
            with anyio.fail_after(max(0.001, (work.deadline_ms - now_ms()) / 1_000)):
                (reply,) = await connection.run_own([text])
        except UpstreamUnavailableError as error:
            return _not_sent(str(error), Outcome.BUSY, is_unreachable=True)
        except TimeoutError:
            return _not_sent("the database did not answer in time", Outcome.TIMEOUT)
        self._replica_log.record(reply, floor)
        if reply.is_done:
            return None
        return WorkAnswer(reply.outcome, Reach.REFUSED, reply.reason)

    async def _run_on(self, connection, work, floor=ORIGIN):
        """Run the caller's own statement on a connection."""
        text = work.text
        if not work.is_write and work.step is WorkStep.SINGLE:
            text = self._codec.read_at_position(floor, text)
        if work.step in _STEPS_IN_TRANSACTION:
            refused = await self._update_session_state(connection, work)
            if refused is not None:
                return refused
        sent_at_ms = now_ms()
        until_ms = self._attempt_ends_ms(work, sent_at_ms)
        try:
            with anyio.fail_after(max(0.001, (until_ms - sent_at_ms) / 1_000)):
                reply = await connection.run(work.request_id, text)
        except UpstreamUnavailableError as error:
            self._record_outcome(True)
            return WorkAnswer(
                Outcome.UNKNOWN, Reach.SENT, str(error), is_unreachable=True
            )
        except TimeoutError:
            self._record_timeout(now_ms() - sent_at_ms)
            connection.is_usable = False
            return WorkAnswer(
                Outcome.TIMEOUT, Reach.SENT, "the database did not answer in time"
            )
        self._record_outcome(reply.outcome in _FAULT_OUTCOMES)
        self._replica_log.record(reply, floor)
        return self._build_answer(work, reply, sent_at_ms)

    async def _update_session_state(self, connection, work):
        """Apply what the session changed since its transaction got the connection.

        Returns
        -------
        WorkAnswer or None
            Why the statement was not sent; None if the connection is up to date.
        """
        try:
            with anyio.fail_after(max(0.001, (work.deadline_ms - now_ms()) / 1_000)):
                await connection.apply_session_state(
                    work.values, work.prepared_name, work.prepared
                )
        except UpstreamUnavailableError as error:
            return _not_sent(str(error), Outcome.ABORTED)
        except TimeoutError:
            return _not_sent("the database did not take the session's values in time")
        return None

    def _attempt_ends_ms(self, work, sent_at_ms):
        """Return when to stop waiting for an answer.

        A single read stops earlier than its deadline if that leaves enough time for an
        attempt at another database.
        """
        if work.is_write or work.needs_lead or work.step is not WorkStep.SINGLE:
            return work.deadline_ms
        timeout_ms = max(
            MIN_READ_TIMEOUT_MS, READ_TIMEOUT_FACTOR * self._slots.service_time_ms
        )
        has_time_for_another = sent_at_ms + 2 * timeout_ms < work.deadline_ms
        return sent_at_ms + timeout_ms if has_time_for_another else work.deadline_ms

    def _log_failure(self, event, error):
        self._node.log.log_decision(
            event,
            service=self.copy.service,
            upstream=self.copy.instance,
            reason=str(error),
        )

    def _record_timeout(self, waited_ms):
        """Count a timeout as a failure unless the database is slow in general."""
        if waited_ms >= FAILURE_TIMEOUT_FACTOR * self._slots.service_time_ms:
            self._record_outcome(True)

    def _record_outcome(self, is_failed):
        """Count an outcome, and log if it ejects the database as an outlier."""
        if self._outcomes.record(is_failed, now_ms()):
            self._node.log.log_state_change(
                "upstream_ejected",
                service=self.copy.service,
                upstream=self.copy.instance,
                for_ms=self._outcomes.ejected_until_ms - now_ms(),
            )

    def _build_answer(self, work, reply, sent_at_ms):
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
                position=reply.position,
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

    async def _required_floor(self, work):
        """Return the position that a read must see here, or None if it is unknown."""
        if work.is_write or work.needs_lead:
            return ORIGIN
        if self._has_lease():
            return ORIGIN
        if work.max_age_ms == NO_AGE_LIMIT:
            return work.floor
        head = await self._monitor.head_since(work.received_at_ms - work.max_age_ms)
        return None if head is None else required_position(work.floor, head.position)

    def _has_lease(self):
        return self._monitor.lease.is_held_by(self.copy.instance, now_ms())

    async def _wait_until_primary(self, work):
        if not (work.needs_lead or work.is_write):
            return True
        until_ms = work.deadline_ms - REFUSAL_MARGIN_MS
        return await self._monitor.wait_for_lease(self.copy.instance, until_ms)

    async def _confirm_commit(self, work, answer):
        """Return a write's answer, or an unknown outcome if the lease is not renewed.

        Without the lease, another database may be the primary and lack the write.
        """
        if answer.outcome is not Outcome.DONE:
            return answer
        until_ms = now_ms() + COMMIT_LEASE_TIMEOUT_MS
        if await self._monitor.wait_for_lease(self.copy.instance, until_ms):
            return answer
        return WorkAnswer(
            Outcome.UNKNOWN,
            Reach.SENT,
            f"{self.copy.instance} may have been replaced while it committed",
        )


def _slot_held_ms(started_ms, answer):
    """Return how long a statement held its slot, or None if it got no answer."""
    is_answered = answer is not None and answer.reach is Reach.ANSWERED
    return now_ms() - started_ms if is_answered else None


def _not_sent(reason, outcome=Outcome.ABORTED, is_unreachable=False):
    return WorkAnswer(
        outcome,
        Reach.NOT_SENT,
        reason,
        retry_after_ms=RETRY_AFTER_FAILURE_MS,
        is_unreachable=is_unreachable,
    )
