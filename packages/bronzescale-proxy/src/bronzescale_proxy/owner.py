"""Run statements at one database.

`DatabaseOwner` admits statements to the slots of the database, runs them on pooled
connections, keeps open transactions and relays the answers part by part.
"""

import logging
from contextlib import asynccontextmanager, contextmanager

import anyio

from bronzescale_core.acknowledgement import Confirmed, Superseded
from bronzescale_core.admission import AdmissionQueue, Admitted, Refused, WorkClass
from bronzescale_core.exceptions import (
    OutcomeUnknownError,
    TransactionLostError,
    UpstreamStatementError,
)
from bronzescale_core.groups import Phase
from bronzescale_core.outcomes import Progress
from bronzescale_core.positions import ORIGIN, Position
from bronzescale_core.statements import (
    ConsistencyMode,
    ResultEnd,
    ResultPart,
    StatementKind,
)
from bronzescale_proxy import orders
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import (
    AttemptFailedError,
    PermitUnavailableError,
    UpstreamUnavailableError,
)
from bronzescale_proxy.pool import ConnectionPool, plan_permits
from bronzescale_proxy.request_keys import (
    find_key_sql,
    finish_key_sql,
    insert_key_sql,
    statement_digest,
)
from bronzescale_proxy.upstream import OkAnswer

logger = logging.getLogger("bronzescale.owner")

PART_BYTES = 64 * 1024
# Bounds how long an abandoned transaction holds its locks and a connection.
TRANSACTION_IDLE_TIMEOUT_MS = 60_000
ER_DUPLICATE_KEY = 1062
# Error numbers of a database that accepts no writes, so the statement did not run.
READ_ONLY_CODES = frozenset((1290, 1792, 1836))
HEAD_TIMEOUT_MS = 1_500
AGE_SAMPLE_TIMEOUT_MS = 300


class Transaction:
    """An open transaction and the connection that it holds exclusively."""

    def __init__(self, transaction_id, connection, is_replica, opener):
        self.transaction_id = transaction_id
        self.connection = connection
        self.is_replica = is_replica
        self.opener = opener
        self.lock = anyio.Lock()
        self.used_at_ms = now_ms()


class DatabaseOwner:
    """Run the statements that this node sends to one database.

    Parameters
    ----------
    upstream : Upstream
        The database.
    group : GroupRuntime
        Group that the database belongs to.
    settings : Settings
        Settings of this node.
    metrics : Metrics
        Counters and timers.
    transaction_ids : TransactionIds
        Numbers of the transactions that this process holds.
    """

    def __init__(self, upstream, group, settings, metrics, transaction_ids):
        self.upstream = upstream
        self._group = group
        self._settings = settings
        self._metrics = metrics
        self._pool = ConnectionPool(
            group.connector(upstream),
            plan_permits(upstream.max_connections).work,
            now_ms,
        )
        self._queue = AdmissionQueue(upstream.slots, group.service.max_queued)
        self._admission_waits = {}
        self._transactions = {}
        self._transaction_ids = transaction_ids
        self.used_at_ms = 0

    @property
    def pool(self):
        """Return the connection pool."""
        return self._pool

    @property
    def queue(self):
        """Return the admission queue."""
        return self._queue

    @property
    def open_transactions(self):
        """Return the number of open transactions."""
        return len(self._transactions)

    @property
    def is_idle(self):
        """Return whether no statement runs or waits and no transaction is open."""
        busy = self._queue.running or self._queue.queued or self._transactions
        return not busy

    def close(self):
        """Close every connection, which rolls back open transactions."""
        for transaction_id in list(self._transactions):
            self.end_transaction(transaction_id)
        self._pool.close()

    def end_transaction(self, transaction_id):
        """Roll back a transaction whose caller disconnected.

        Parameters
        ----------
        transaction_id : int
            Number of the transaction; ignored if it has ended already.
        """
        transaction = self._transactions.pop(transaction_id, None)
        if transaction is not None:
            transaction.connection.close()
            self._pool.release(transaction.connection)

    def end_transactions_of(self, opener):
        """Roll back every transaction of an opener that disconnected.

        Parameters
        ----------
        opener : object
            The ``opener`` argument of `execute`.
        """
        for transaction in list(self._transactions.values()):
            if transaction.opener is opener:
                self.end_transaction(transaction.transaction_id)

    def end_unused_transactions(self):
        """Roll back the transactions of which no statement is running."""
        for transaction in list(self._transactions.values()):
            if not transaction.lock.locked():
                self.end_transaction(transaction.transaction_id)

    def end_idle_transactions(self):
        """Roll back transactions without a statement within the idle timeout."""
        at_ms = now_ms()
        for transaction in list(self._transactions.values()):
            if at_ms - transaction.used_at_ms > TRANSACTION_IDLE_TIMEOUT_MS:
                logger.info("owner: rolled back a transaction at its idle timeout.")
                self.end_transaction(transaction.transaction_id)

    async def execute(self, request, send_part, opener):
        """Run one statement and send its answer part by part.

        Parameters
        ----------
        request : StatementRequest
            The statement.
        send_part : callable
            ``async (ResultPart)``; returns when the caller is ready for the next part.
        opener : object
            Session or peer connection that a new transaction belongs to.

        Raises
        ------
        AttemptFailedError
            If the attempt failed; its ``progress`` decides whether a retry is safe.
        StatementError
            If the database or the proxy rejected the statement for good.
        """
        if request.transaction_id:
            await self._execute_in_transaction(request, send_part)
        elif request.kind in (StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY):
            await self._begin_transaction(request, send_part, opener)
        elif request.kind is StatementKind.READ:
            await self._read(request, send_part)
        else:
            await self._run_write(request, send_part)

    # Reads

    async def _read(self, request, send_part):
        await self._require_consistency(request)
        async with self._admitted_connection(request, WorkClass.READ) as connection:
            end = ResultEnd(
                upstream=self.upstream.name,
                is_replica=not self._is_primary(),
                position=self._applied_position(),
            )
            last_part = await self._relay(connection, request, send_part, end)
        await send_part(last_part)

    async def _require_consistency(self, request):
        mode = request.consistency.mode
        if mode is ConsistencyMode.PRIMARY:
            await self._require_confirmed_primary(request)
            return
        watch = self._group.watch(self.upstream.name)
        if watch is None:
            raise self._not_sent_error(f"{self.upstream.name} is not watched here yet")
        if mode is ConsistencyMode.AGE:
            await self._require_age(request, watch)
            return
        until_ms = min(request.wait_until_ms, request.deadline_ms)
        if not await watch.wait_applied(request.floor, self._state, until_ms):
            raise AttemptFailedError(
                Progress.NOT_SENT,
                f"{self.upstream.name} has not applied {request.floor.term}:"
                f"{request.floor.offset}",
                is_behind=True,
            )

    async def _require_age(self, request, watch):
        """Raise if the copy is older than allowed, after a new sample if necessary."""
        max_age_ms = request.consistency.max_age_ms
        age_ms = self._age_ms(watch)
        if age_ms is None or age_ms > max_age_ms:
            at_ms = now_ms()
            until_ms = min(request.deadline_ms, at_ms + AGE_SAMPLE_TIMEOUT_MS)
            await self._group.confirmed_head(at_ms - max_age_ms, until_ms)
            age_ms = self._age_ms(watch)
        if age_ms is None or age_ms > max_age_ms:
            text = "unknown" if age_ms is None else f"{age_ms} ms"
            raise AttemptFailedError(
                Progress.NOT_SENT,
                f"the age of {self.upstream.name} is {text}",
                is_behind=True,
            )

    def _age_ms(self, watch):
        if watch.report is None:
            return None
        applied = watch.report.applied_position
        return self._group.heads.age_ms(applied, now_ms())

    async def _require_confirmed_primary(self, request):
        self._require_primary()
        until_ms = min(request.deadline_ms, now_ms() + HEAD_TIMEOUT_MS)
        head = await self._group.confirmed_head(request.arrived_at_ms, until_ms)
        if head is None or head.position.term != self._state().term:
            raise self._not_sent_error("no replica confirms the primary's term")

    # Writes

    async def _run_write(self, request, send_part):
        await self._require_writable_primary(request)
        if request.request_key:
            position, ok = await self._run_with_key(request)
            end = self._write_end(ok, position)
            await self._acknowledge(request, position)
            await send_part(ResultPart([], [], end))
            return
        held_parts = []

        async def hold_part(part):
            held_parts.append(part)

        async with self._admitted_connection(request, WorkClass.WRITE) as connection:
            last_part = await self._relay(
                connection, request, hold_part, self._write_end()
            )
        await self._acknowledge(request, last_part.end.position)
        for part in [*held_parts, last_part]:
            await send_part(part)

    def _write_end(self, ok=None, position=ORIGIN):
        end = ResultEnd(upstream=self.upstream.name, position=position)
        if ok is None:
            return end
        return end._replace(
            affected_rows=ok.affected_rows,
            insert_id=ok.insert_id,
            warnings=ok.warnings,
        )

    async def _acknowledge(self, request, position):
        """Return once enough replicas have confirmed the write.

        A statement that wrote nothing to the log has no position. For that one it is
        enough that the primary's term is confirmed. With the setting ``acknowledge``
        at ``primary``, return immediately.

        Raises
        ------
        AttemptFailedError
            If the primary was replaced, or no confirmation came before the deadline.
        """
        if self._settings.acknowledge == "primary":
            return
        if position == ORIGIN:
            await self._require_confirmed_primary(request)
            return
        started_ms = now_ms()
        outcome = await self._group.confirm(position, request.deadline_ms)
        self._metrics.timing("save.confirm_ms", now_ms() - started_ms)
        if isinstance(outcome, Confirmed):
            return
        if isinstance(outcome, Superseded):
            reason = f"its primary was replaced by term {outcome.term}"
        else:
            reason = "no replica confirmed it before the deadline"
        raise AttemptFailedError(Progress.SENT, reason)

    async def _run_with_key(self, request):
        """Run a write and record its request key in the same transaction.

        If the key is recorded already, return the recorded result instead.
        """
        async with self._admitted_connection(request, WorkClass.WRITE) as connection:
            with (
                self._failure_translator(Progress.SENT),
                self._attempt_timeout(request),
            ):
                await connection.run("BEGIN")
                try:
                    await connection.run(insert_key_sql(request))
                except UpstreamStatementError as error:
                    if error.code != ER_DUPLICATE_KEY:
                        await self._roll_back_and_raise(connection, error)
                    return await self._find_recorded_result(connection, request)
                try:
                    ok = await connection.run(request.sql)
                except UpstreamStatementError as error:
                    await self._roll_back_and_raise(connection, error)
                if not isinstance(ok, OkAnswer):
                    ok = OkAnswer(0, 0, 0, ORIGIN)
                await connection.run(finish_key_sql(request, ok))
                committed = await connection.run("COMMIT")
                return committed.position, ok

    async def _roll_back_and_raise(self, connection, error):
        await connection.run("ROLLBACK")
        if error.code in READ_ONLY_CODES:
            raise AttemptFailedError(Progress.REFUSED, str(error)) from error
        raise error

    async def _find_recorded_result(self, connection, request):
        await connection.run("ROLLBACK")
        rows = await connection.run(find_key_sql(request))
        if not rows or rows[0][0] != statement_digest(request.sql):
            raise UpstreamStatementError(
                "the request key belongs to another statement; use a new key",
                ER_DUPLICATE_KEY,
                "23000",
            )
        report = await orders.read_status(connection, self.upstream.name)
        ok = OkAnswer(int(rows[0][1]), int(rows[0][2]), 0, ORIGIN)
        return Position(report.log_term, report.received), ok

    # Transactions

    async def _begin_transaction(self, request, send_part, opener):
        is_read_only = request.kind is StatementKind.BEGIN_READ_ONLY
        if is_read_only:
            await self._require_consistency(request)
        else:
            await self._require_writable_primary(request)
        connection = await self._acquire_connection(request)
        try:
            with (
                self._failure_translator(Progress.NOT_SENT),
                self._attempt_timeout(request),
            ):
                await connection.run(request.sql)
        except BaseException:
            connection.close()
            self._pool.release(connection)
            raise
        transaction_id = self._transaction_ids.allocate()
        transaction = Transaction(
            transaction_id, connection, not self._is_primary(), opener
        )
        self._transactions[transaction_id] = transaction
        end = ResultEnd(
            upstream=self.upstream.name,
            is_replica=transaction.is_replica,
            transaction_id=transaction_id,
        )
        await send_part(ResultPart([], [], end))

    async def _execute_in_transaction(self, request, send_part):
        transaction = self._transactions.get(request.transaction_id)
        if transaction is None:
            raise TransactionLostError(
                "the transaction was rolled back and did not run; begin it again"
            )
        is_last = request.kind in (StatementKind.COMMIT, StatementKind.ROLLBACK)
        async with transaction.lock:
            transaction.used_at_ms = now_ms()
            try:
                await self._run_transaction_statement(transaction, request, send_part)
            except UpstreamStatementError:
                if is_last:
                    self._release_connection(transaction)
                raise
            except BaseException:
                self.end_transaction(transaction.transaction_id)
                raise
            if is_last:
                self._release_connection(transaction)

    async def _run_transaction_statement(self, transaction, request, send_part):
        held_parts = []

        async def hold_part(part):
            held_parts.append(part)

        is_commit = request.kind is StatementKind.COMMIT
        is_last = is_commit or request.kind is StatementKind.ROLLBACK
        end = ResultEnd(
            upstream=self.upstream.name,
            is_replica=transaction.is_replica,
            transaction_id=0 if is_last else transaction.transaction_id,
        )
        with self._admitted_immediately(request):
            try:
                last_part = await self._relay(
                    transaction.connection,
                    request,
                    hold_part if is_commit else send_part,
                    end,
                )
            except AttemptFailedError as error:
                raise self._transaction_error(error, is_commit) from error
        if is_commit and not transaction.is_replica:
            try:
                await self._acknowledge(request, last_part.end.position)
            except AttemptFailedError as error:
                raise self._transaction_error(error, is_commit=True) from error
        for part in [*held_parts, last_part]:
            await send_part(part)

    def _transaction_error(self, error, is_commit):
        if is_commit and error.progress in (Progress.SENT, Progress.STREAMING):
            return OutcomeUnknownError(
                f"the commit was sent but {error.reason}; read the records to learn "
                "whether it landed"
            )
        return TransactionLostError(
            f"the transaction was rolled back and did not run: {error.reason}; "
            "begin it again"
        )

    def _release_connection(self, transaction):
        """Return the connection of a transaction that ended normally to the pool."""
        if self._transactions.pop(transaction.transaction_id, None) is not None:
            self._pool.release(transaction.connection)

    # Shared steps

    def _state(self):
        return self._group.state

    def _is_primary(self):
        return self._group.state.primary == self.upstream.name

    def _applied_position(self):
        watch = self._group.watch(self.upstream.name)
        if watch is None or watch.report is None:
            return ORIGIN
        return watch.report.applied_position

    def _require_primary(self):
        if not self._is_primary():
            raise AttemptFailedError(
                Progress.REFUSED,
                f"{self.upstream.name} is not the primary of term {self._state().term}",
            )

    async def _require_writable_primary(self, request):
        """Raise unless this primary accepts writes; wait during a planned change."""
        while self._group.is_draining():
            remaining_s = self._remaining_s(request)
            with anyio.move_on_after(remaining_s) as scope:
                await self._group.state_changed.wait()
            if scope.cancelled_caught:
                raise self._not_sent_error("a planned change of primary is under way")
        self._require_primary()
        if self._state().phase is Phase.FENCING:
            raise self._not_sent_error("the primary is being replaced")
        needs_replica = self._settings.acknowledge == "replica"
        if needs_replica and self._group.is_stalled():
            raise self._not_sent_error("no replica confirms saves", retry_after_ms=500)

    def _not_sent_error(self, reason, retry_after_ms=0):
        return AttemptFailedError(Progress.NOT_SENT, reason, retry_after_ms)

    def _remaining_s(self, request):
        return max(0, request.deadline_ms - now_ms()) / 1_000

    @asynccontextmanager
    async def _admitted_connection(self, request, work_class):
        """Yield a pooled connection while holding an admission slot."""
        async with self._admitted(request, work_class):
            connection = await self._acquire_connection(request)
            try:
                yield connection
            finally:
                self._pool.release(connection)

    @asynccontextmanager
    async def _admitted(self, request, work_class):
        ticket = await self._admit(request, work_class)
        started_ms = now_ms()
        try:
            yield
        finally:
            at_ms = now_ms()
            self._apply_decisions(self._queue.finish(ticket, at_ms - started_ms, at_ms))

    @contextmanager
    def _admitted_immediately(self, request):
        ticket = self._queue.admit_immediately(request.deadline_ms, now_ms()).ticket
        try:
            yield
        finally:
            self._apply_decisions(self._queue.finish(ticket, None, now_ms()))

    async def _admit(self, request, work_class):
        at_ms = now_ms()
        decision = self._queue.offer(work_class, request.deadline_ms, at_ms)
        if isinstance(decision, Refused):
            raise self._overload_error(decision)
        if isinstance(decision, Admitted):
            return decision.ticket
        ticket = decision.ticket
        event = anyio.Event()
        self._admission_waits[ticket.ticket_id] = event
        try:
            await event.wait()
        except BaseException:
            outcome = self._admission_waits.pop(ticket.ticket_id)
            if isinstance(outcome, Admitted):
                self._apply_decisions(self._queue.finish(ticket, None, now_ms()))
            else:
                self._queue.withdraw(ticket)
            raise
        outcome = self._admission_waits.pop(ticket.ticket_id)
        if isinstance(outcome, Refused):
            raise self._overload_error(outcome)
        return ticket

    def _apply_decisions(self, decisions):
        for decision in decisions:
            event = self._admission_waits.get(decision.ticket.ticket_id)
            if event is not None:
                self._admission_waits[decision.ticket.ticket_id] = decision
                event.set()

    def _overload_error(self, refused):
        self._metrics.count("admission.refused")
        return AttemptFailedError(
            Progress.NOT_SENT,
            f"{self.upstream.name} is overloaded: {refused.reason}",
            retry_after_ms=refused.retry_after_ms,
            is_overloaded=True,
        )

    async def _acquire_connection(self, request):
        try:
            with anyio.fail_after(self._remaining_s(request)):
                return await self._pool.acquire()
        except TimeoutError as error:
            raise self._not_sent_error(
                "no connection was free before the deadline"
            ) from error
        except PermitUnavailableError as error:
            raise self._not_sent_error(str(error), retry_after_ms=100) from error
        except UpstreamUnavailableError as error:
            raise self._not_sent_error(str(error)) from error

    def _failure_translator(self, progress):
        return _FailureTranslator(progress, self.upstream.name, self._pool)

    def _attempt_timeout(self, request):
        """Return the timeout scope of one attempt.

        A connection that was lost silently cannot be distinguished from a slow
        answer. An attempt that may be repeated therefore gets half of the remaining
        time, which leaves the other half for a retry.
        """
        remaining_s = self._remaining_s(request)
        is_read = request.kind is StatementKind.READ and not request.transaction_id
        is_repeatable = is_read or bool(request.request_key)
        return anyio.fail_after(remaining_s / 2 if is_repeatable else remaining_s)

    async def _relay(self, connection, request, send_part, end):
        """Run a statement on a connection and send all parts but the last.

        Returns
        -------
        ResultPart
            The last part; send it once the slot and the connection are released.
        """
        translator = self._failure_translator(Progress.SENT)
        with translator, self._attempt_timeout(request):
            return await self._relay_parts(
                connection, request.sql, send_part, end, translator
            )

    async def _relay_parts(self, connection, sql, send_part, end, translator):
        columns = []
        rows = []
        size_bytes = 0
        async for piece in connection.execute(sql):
            if isinstance(piece, OkAnswer):
                end = end._replace(
                    affected_rows=piece.affected_rows,
                    insert_id=piece.insert_id,
                    warnings=piece.warnings,
                )
                if piece.position != ORIGIN:
                    end = end._replace(position=piece.position)
            elif isinstance(piece, list):
                columns = piece
            else:
                rows.append(piece)
                size_bytes += len(piece)
            if size_bytes >= PART_BYTES:
                translator.progress = Progress.STREAMING
                connection.pause_reading()
                await send_part(ResultPart(columns, rows))
                connection.resume_reading()
                columns, rows, size_bytes = [], [], 0
        return ResultPart(columns, rows, end)


class _FailureTranslator:
    """Raise lost connections, timeouts and read-only errors as `AttemptFailedError`."""

    def __init__(self, progress, upstream, pool):
        self.progress = progress
        self._upstream = upstream
        self._pool = pool

    def __enter__(self):
        return self

    def __exit__(self, exc_type, error, traceback):
        if isinstance(error, UpstreamUnavailableError):
            progress = self.progress if error.is_sent else Progress.NOT_SENT
            raise AttemptFailedError(progress, f"{self._upstream}: {error}") from error
        if isinstance(error, TimeoutError):
            self._pool.mark_idle_stale()
            raise AttemptFailedError(
                self.progress, f"{self._upstream} did not answer before the deadline"
            ) from error
        if isinstance(error, UpstreamStatementError) and error.code in READ_ONLY_CODES:
            raise AttemptFailedError(Progress.REFUSED, str(error)) from error
        return False
