"""Serve one caller over the line protocol.

A `CallerConnection` reads the statements of one caller and keeps the caller's session.
It answers session commands itself and passes statements for a database to the
`Dispatcher`.
"""

import anyio

from bronzescale_core.caller_errors import describe_failure
from bronzescale_core.catalog import RouteKind
from bronzescale_core.codec import (
    IDLE,
    IN_TRANSACTION,
    TRANSACTION_FAILED,
    Connect,
    Goodbye,
    Malformed,
)
from bronzescale_core.customers import NO_CUSTOMER, Access, CallerIdentity
from bronzescale_core.positions import ORIGIN
from bronzescale_core.sessions import CallerSession, OpenTransaction
from bronzescale_core.work import (
    NO_AGE_LIMIT,
    NO_TRANSACTION,
    Action,
    Outcome,
    Reach,
    Work,
    WorkStep,
)
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.fleet.streams import (
    CALLER_KEEPALIVE_S,
    DISCONNECT_ERRORS,
    LineReader,
    LineTooLongError,
    tune_stream,
)
from bronzescale_proxy.fleet.supervision import describe_error

# A caller that has not named its database and got an answer by then is disconnected, so
# that connections which never send anything do not pile up.
CONNECT_TIMEOUT_S = 5.0
# A caller gives up 2 s after an unanswered first message, so a node that has no
# configuration yet refuses the caller earlier.
CONFIGURATION_TIMEOUT_S = 1.5
# How long a session of a stopping process waits for a statement that was sent before
# the caller could see the end of the session.
LAST_STATEMENT_WAIT_S = 0.2
_STOPPING = "this host is stopping; connect again to reach another"
_UNKNOWN_KEY = "no customer holds this key; ask the operator for one"
_WITHDRAWN_KEY = "the key of this session was withdrawn; connect with another one"
_MOVED_KEY = "the key of this session belongs to another customer now; begin again"


class CallerConnection:
    """One caller's connection and session.

    Parameters
    ----------
    server : CallerServer
        The server that accepted the connection.
    stream : anyio.abc.ByteStream
        The connection.
    """

    def __init__(self, server, stream):
        self._server = server
        self._node = server.node
        self._codec = server.node.codec
        self._dispatcher = server.dispatcher
        self._stream = stream
        self._reader = LineReader(
            stream, self._codec.terminator, self._codec.max_line_bytes
        )
        self._session = CallerSession()
        self._database = ""
        self._identity = CallerIdentity("")
        # Customer of the statement that runs, as of its start.
        self._customer = NO_CUSTOMER
        self._is_refused = False
        # Whether a configuration came into force while a statement ran.
        self._is_review_due = False
        # Whether the answer to the newest message has begun to be sent.
        self._is_answered = False
        # Set while the connection waits for a message; cancelling it ends the session.
        self._receive_scope = None

    async def run(self):
        """Serve the caller until it disconnects or violates the protocol."""
        tune_stream(self._stream, CALLER_KEEPALIVE_S)
        with anyio.move_on_after(CONNECT_TIMEOUT_S):
            if not await self._open_session():
                return
        if not self._database:
            return
        while True:
            message = await self._receive()
            if message is None or isinstance(message, Goodbye):
                return
            if isinstance(message, Connect):
                message = Malformed("", "the session is open already")
            if isinstance(message, Malformed):
                await self._send_malformed(message.reason)
                continue
            await self._answer(message)
            if self._is_refused or (self._is_review_due and self._review()):
                return
            if self._server.is_closing_idle and self._session.transaction is None:
                return

    async def _open_session(self):
        """Open the session; one that fails with an unexpected error is refused."""
        try:
            return await self._receive_connect()
        except DISCONNECT_ERRORS:
            raise
        except Exception as error:
            self._log_unexpected(error, "")
            reason = "the session could not be opened; come back in 1000 ms"
            await self._stream.send(self._codec.encode_failed(Outcome.BUSY, reason))
            return False

    async def _answer(self, statement):
        """Answer a statement, also after an error that nobody expected.

        The statement may have run then, so the answer promises nothing.
        """
        self._is_answered = False
        try:
            if await self._identify(statement) and await self._admit(statement):
                await self._handle_statement(statement)
        except Exception as error:
            if self._is_answered:
                raise
            self._log_unexpected(error, statement.request_id)
            await self._answer_unexpected(statement)

    def _log_unexpected(self, error, request_id):
        self._node.log.log_state_change(
            "task_failed",
            task="session",
            request=request_id,
            database=self._database,
            **describe_error(error),
        )

    async def _answer_unexpected(self, statement):
        self._release_transaction()
        transaction = self._session.transaction
        if statement.action in (Action.COMMIT, Action.ROLLBACK):
            self._session.transaction = None
        elif transaction is not None:
            transaction.is_failed = True
        await self._send_failed(
            Outcome.UNKNOWN, "an unexpected error; see the log", statement.request_id
        )

    async def _receive_connect(self):
        try:
            line = await self._reader.receive_line()
        except LineTooLongError:
            await self._send_failed(Outcome.TOO_BIG, "the message is too long", "")
            return False
        message = self._codec.decode_caller(line)
        if not isinstance(message, Connect):
            text = "name a database first"
            await self._stream.send(self._codec.encode_failed(Outcome.MALFORMED, text))
            return False
        await self._await_configuration()
        if self._server.is_refusing:
            await self._stream.send(self._codec.encode_failed(Outcome.BUSY, _STOPPING))
            return False
        configuration = self._node.configuration
        if configuration is None:
            text = "no configuration is known yet; come back in 1000 ms"
            await self._stream.send(self._codec.encode_failed(Outcome.BUSY, text))
            return False
        if message.database not in configuration.routes:
            self._node.log.log_decision(
                "database_unknown",
                database=message.database,
                version=configuration.version,
                age_ms=self._node.configuration_age_ms,
            )
            text = f"no route has the name {message.database[:80]}"
            await self._stream.send(
                self._codec.encode_failed(Outcome.NO_DATABASE, text)
            )
            return False
        self._identity = CallerIdentity(message.key)
        route = configuration.routes[message.database]
        if not self._identity.may_use(route, configuration):
            self._log_unauthorized(message.database)
            await self._stream.send(
                self._codec.encode_failed(Outcome.UNAUTHORIZED, _UNKNOWN_KEY)
            )
            return False
        self._database = message.database
        await self._stream.send(self._codec.encode_ready(IDLE))
        return True

    def _log_unauthorized(self, database):
        self._node.metrics.count_failure(Outcome.UNAUTHORIZED.value)
        self._node.log.log_decision(
            "caller_unauthorized",
            database=database,
            version=self._node.configuration.version,
            key_digest=self._identity.shown_digest,
        )

    async def _await_configuration(self):
        with anyio.move_on_after(CONFIGURATION_TIMEOUT_S):
            while self._node.configuration is None or not self._node.is_synchronized:
                await self._node.changed.wait()

    async def _receive(self):
        """Return the next message, or None if the session must end."""
        transaction = self._session.transaction
        deadline_s = None
        if self._server.is_refusing:
            self._release_transaction()
            deadline_s = LAST_STATEMENT_WAIT_S
        elif transaction is not None:
            deadline_s = self._node.configuration.transaction_idle_ms / 1_000
        with anyio.CancelScope() as self._receive_scope:
            if deadline_s is not None:
                self._receive_scope.deadline = anyio.current_time() + deadline_s
            try:
                line = await self._reader.receive_line()
            except LineTooLongError:
                await self._send_failed(Outcome.TOO_BIG, "the message is too long", "")
                return None
            self._receive_scope = None
            return self._codec.decode_caller(line)
        self._receive_scope = None
        if transaction is not None:
            reason = "transaction was idle for too long"
            if self._server.is_refusing:
                reason = _STOPPING
            self._node.log.log_decision(
                "session_closed", database=self._database, reason=reason
            )
        return None

    # Stop

    async def _admit(self, statement):
        """Answer a statement that a stopping process does not pass on.

        Returns
        -------
        bool
            Whether the statement may run.
        """
        transaction = self._session.transaction
        if not self._server.is_refusing:
            return True
        if transaction is None:
            await self._send_failed(Outcome.BUSY, _STOPPING, statement.request_id)
            return False
        if transaction.is_failed or statement.action is Action.ROLLBACK:
            return True
        await self._abort_transaction(statement, _STOPPING)
        return False

    def end_soon(self):
        """End the session unless a statement arrives soon; that one is refused.

        A session whose statement runs ends in the same way after its answer.
        """
        if self._receive_scope is not None:
            self._release_transaction()
            self._receive_scope.deadline = anyio.current_time() + LAST_STATEMENT_WAIT_S

    # Identity

    def _access(self):
        return self._identity.access(
            self._node.configuration, self._route(), self._session.transaction
        )

    async def _identify(self, statement):
        """Check the caller's key again, and answer a statement that it may not run.

        Returns
        -------
        bool
            Whether the statement may run.
        """
        access = self._access()
        self._customer = self._identity.customer(self._node.configuration)
        request_id = statement.request_id
        if access is Access.WITHDRAWN:
            self._is_refused = True
            self._log_unauthorized(self._database)
            await self.roll_back_open()
            await self._send_failed(Outcome.UNAUTHORIZED, _WITHDRAWN_KEY, request_id)
            return False
        is_ended = self._session_state == TRANSACTION_FAILED
        is_ended |= statement.action is Action.ROLLBACK
        if access is Access.ALLOWED or is_ended:
            return True
        await self._abort_transaction(statement, _MOVED_KEY)
        return False

    def apply_configuration(self):
        """Apply a withdrawn or moved key now, or after the running statement."""
        if self._receive_scope is None:
            self._is_review_due = True
        elif self._review():
            self.close_if_waiting()

    def _review(self):
        """End an open transaction whose key was withdrawn or moved.

        Returns
        -------
        bool
            Whether the session must end: it is idle and its key was withdrawn.
        """
        self._is_review_due = False
        if self._access() is Access.ALLOWED:
            return False
        transaction = self._session.transaction
        if transaction is None:
            self._log_unauthorized(self._database)
            # A statement that was begun to be sent is answered.
            return not self._reader.has_partial_line
        transaction.customer = None
        self._release_transaction()
        return False

    def close_if_idle(self):
        """End the session if it is idle, with no transaction and no partial message."""
        if self._session.transaction is None and not self._reader.has_partial_line:
            self.close_if_waiting()

    def close_if_waiting(self):
        """End the session unless a statement is running."""
        if self._receive_scope is not None:
            self._receive_scope.cancel()

    # Transactions

    def _release_transaction(self):
        """Roll back an open transaction at its database; the next statement is told."""
        transaction = self._session.transaction
        if transaction is None or not transaction.is_bound:
            return
        number = transaction.transaction_id
        transaction.transaction_id = NO_TRANSACTION
        self._node.tasks.start_soon(
            self._dispatcher.end_transaction,
            transaction.upstream,
            number,
            transaction.owner,
        )

    async def _abort_transaction(self, statement, reason):
        """Roll back the open transaction and refuse its statement."""
        request_id = statement.request_id
        if statement.action is Action.COMMIT:
            await self.roll_back_open()
            await self._send_failed(Outcome.ABORTED, reason, request_id)
        else:
            await self._fail_statement(Outcome.ABORTED, reason, request_id)

    async def roll_back_open(self):
        """Roll back the open transaction, if any."""
        transaction, self._session.transaction = self._session.transaction, None
        if transaction is not None and transaction.is_bound:
            await self._dispatcher.end_transaction(
                transaction.upstream, transaction.transaction_id, transaction.owner
            )

    # Replies

    @property
    def _session_state(self):
        transaction = self._session.transaction
        if transaction is None:
            return IDLE
        return TRANSACTION_FAILED if transaction.is_failed else IN_TRANSACTION

    async def _send_done(self, signature="", rows=(), position=ORIGIN):
        self._is_answered = True
        codec = self._codec
        message = codec.encode_rows(rows) if rows else b""
        message += codec.encode_done(signature)
        await self._stream.send(
            message + codec.encode_ready(self._session_state, position)
        )

    async def _send_failed(self, outcome, reason, request_id):
        self._node.log.log_decision(
            "refused",
            request=request_id,
            database=self._database,
            outcome=outcome.value,
            reason=reason,
        )
        self._is_answered = True
        codec = self._codec
        message = codec.encode_failed(outcome, reason)
        await self._stream.send(message + codec.encode_ready(self._session_state))

    async def _send_malformed(self, reason):
        await self._send_failed(Outcome.MALFORMED, reason, "")

    async def _handle_statement(self, statement):
        transaction = self._session.transaction
        if transaction is not None and transaction.is_failed:
            if statement.action in (Action.ROLLBACK, Action.COMMIT):
                self._session.transaction = None
                if statement.action is Action.ROLLBACK:
                    await self._send_done()
                else:
                    text = "the transaction had failed and was rolled back"
                    await self._send_failed(Outcome.ABORTED, text, statement.request_id)
            else:
                text = "the transaction failed; roll it back first"
                await self._send_failed(Outcome.MALFORMED, text, statement.request_id)
            return
        await _HANDLERS[statement.action](self, statement)

    async def _set(self, statement):
        self._session.set_value(statement.name, statement.argument)
        await self._send_done()

    async def _prepare(self, statement):
        shape = self._node.documents.prepared_shape(statement)
        self._session.prepare(statement.name, shape)
        await self._send_done()

    async def _deallocate(self, statement):
        if self._session.deallocate(statement.name):
            await self._send_done()
            return
        await self._fail_statement(
            Outcome.NO_STATEMENT, statement.name, statement.request_id
        )

    async def _begin(self, statement):
        if self._session.transaction is not None:
            await self._fail_statement(
                Outcome.MALFORMED, "a transaction is open", statement.request_id
            )
            return
        is_read_only = statement.action is Action.BEGIN_READ_ONLY
        self._session.transaction = OpenTransaction(is_read_only, self._customer)
        self._session.transaction.began_at_ms = now_ms()
        await self._send_done()

    async def _roll_back(self, statement):
        transaction = self._session.transaction
        if transaction is None:
            await self._fail_statement(
                Outcome.MALFORMED, "no transaction is open", statement.request_id
            )
            return
        await self.roll_back_open()
        await self._send_done()

    async def _fail_statement(self, outcome, reason, request_id):
        """Send an error; if a transaction is open, roll it back and mark it failed."""
        transaction = self._session.transaction
        if transaction is not None:
            await self.roll_back_open()
            self._session.transaction = transaction
            transaction.is_failed = True
            transaction.transaction_id = 0
        await self._send_failed(outcome, reason, request_id)

    # Statements that run at a database

    async def _run_statement(self, statement):
        arrived_at_ms = now_ms()
        resolved = self._session.resolve(statement)
        if resolved is None:
            await self._fail_statement(
                Outcome.NO_STATEMENT, statement.name, statement.request_id
            )
            return
        transaction = self._session.transaction
        if not self._has_route():
            await self._fail_statement(
                Outcome.NO_DATABASE, "the route is gone", statement.request_id
            )
            return
        work = self._build_work(statement, resolved, arrived_at_ms)
        if transaction is None:
            await self._run_single(work)
        else:
            await self._run_in_transaction(work, transaction)

    async def _commit(self, statement):
        transaction = self._session.transaction
        if transaction is None:
            await self._fail_statement(
                Outcome.MALFORMED, "no transaction is open", statement.request_id
            )
            return
        if not self._has_route():
            await self._fail_statement(
                Outcome.NO_DATABASE, "the route is gone", statement.request_id
            )
            return
        work = self._build_work(statement, None, now_ms())
        step = WorkStep.COMMIT if transaction.is_bound else WorkStep.OPEN_AND_COMMIT
        await self._run_in_transaction(work._replace(step=step), transaction)

    def _has_route(self):
        """Return whether a statement has a route: a bound transaction keeps its own."""
        transaction = self._session.transaction
        is_bound = transaction is not None and transaction.is_bound
        return is_bound or self._route() is not None

    def _route(self):
        return self._node.configuration.routes.get(self._database)

    def _build_work(self, statement, resolved, arrived_at_ms):
        transaction = self._session.transaction
        route = self._route()
        if transaction is not None and transaction.is_bound:
            # A changed route applies from the next transaction on.
            route = transaction.route
        elif transaction is not None:
            transaction.route = route
        is_write = resolved is not None and resolved.is_write
        text = statement.text
        if resolved is not None and resolved.prepared is not None:
            text = self._codec.execute(resolved.prepared_name, statement.argument)
        is_read_only = transaction is not None and transaction.is_read_only
        is_read_write = transaction is not None and not is_read_only
        return Work(
            service=route.service,
            upstream="",
            step=WorkStep.SINGLE,
            request_id=statement.request_id,
            text=text,
            is_write=is_write,
            is_read_only=is_read_only,
            values=self._session.values,
            prepared_name=resolved.prepared_name if resolved is not None else "",
            prepared=resolved.prepared if resolved is not None else None,
            floor=self._floor(route),
            max_age_ms=self._max_age_ms(route),
            needs_lead=is_write or is_read_write or route.kind is RouteKind.PRIMARY,
            priority=route.priority,
            deadline_ms=min(
                arrived_at_ms + route.timeout_ms, self._server.answer_by_ms
            ),
            received_at_ms=arrived_at_ms,
            customer=self._customer,
            route=self._database if self._server.names_routes else "",
        )

    def _floor(self, route):
        reads_own_writes = route.kind is RouteKind.READ_YOUR_WRITES
        return self._session.floor if reads_own_writes else ORIGIN

    def _max_age_ms(self, route):
        if route.kind is RouteKind.PRIMARY:
            return 0
        return NO_AGE_LIMIT if route.max_age_ms < 0 else route.max_age_ms

    async def _run_single(self, work):
        started_ms = now_ms()
        answer, upstream, _ = await self._run_within_limit(work)
        self._node.metrics.observe_statement(
            answer.outcome.value, now_ms() - started_ms
        )
        if answer.outcome is Outcome.DONE:
            self._record_success(work, answer, upstream, started_ms)
            await self._send_done(answer.signature, answer.rows, answer.position)
            return
        await self._send_failed(*describe_failure(work, answer), work.request_id)

    async def _run_in_transaction(self, work, transaction):
        started_ms = now_ms()
        upstream = transaction.upstream
        if transaction.is_bound:
            if work.step is WorkStep.SINGLE:
                work = work._replace(step=WorkStep.CONTINUE)
            work = work._replace(
                upstream=upstream, transaction_id=transaction.transaction_id
            )
            answer = await self._dispatcher.run_in_transaction(
                work, self, transaction.owner
            )
        else:
            if work.step is WorkStep.SINGLE:
                work = work._replace(step=WorkStep.OPEN)
            age_ms = now_ms() - transaction.began_at_ms
            if work.max_age_ms != NO_AGE_LIMIT:
                # The age limit is relative to BEGIN, not to this statement.
                work = work._replace(max_age_ms=work.max_age_ms + age_ms)
            answer, upstream, owner = await self._run_within_limit(work)
            transaction.upstream, transaction.owner = upstream, owner
        self._node.metrics.observe_statement(
            answer.outcome.value, now_ms() - started_ms
        )
        transaction.transaction_id = answer.transaction_id
        transaction.has_written |= work.is_write
        ends_transaction = work.step in (WorkStep.COMMIT, WorkStep.OPEN_AND_COMMIT)
        if answer.outcome is Outcome.DONE:
            if ends_transaction:
                self._session.transaction = None
            self._record_success(work, answer, upstream, started_ms)
            await self._send_done(answer.signature, answer.rows, answer.position)
            return
        outcome, reason = describe_failure(work, answer)
        if ends_transaction:
            self._session.transaction = None
            await self._send_failed(outcome, reason, work.request_id)
        else:
            await self._fail_statement(outcome, reason, work.request_id)

    async def _run_within_limit(self, work):
        """Run a statement that begins an operation if its customer's limit has room.

        Returns
        -------
        answer : WorkAnswer
        upstream : str
        owner : Node or None
        """
        allowances = self._node.allowances
        permit, refusal = await allowances.acquire(work.customer, work.deadline_ms)
        if refusal is not None:
            return refusal, "", None
        answer, upstream, owner = await self._dispatcher.run(work, self)
        if answer.reach is Reach.NOT_SENT:
            allowances.give_back(permit)
        return answer, upstream, owner

    def _record_success(self, work, answer, upstream, started_ms):
        transaction = self._session.transaction
        is_commit = work.step is WorkStep.COMMIT
        if is_commit or (work.step is WorkStep.SINGLE and work.is_write):
            self._session.floor = max(self._session.floor, answer.position)
        self._node.metrics.count_served(
            work.is_write,
            self._node.primary_monitor(work.service).primary != upstream,
            work.needs_lead,
        )
        self._node.log.log_decision(
            "served",
            request=work.request_id,
            upstream=upstream,
            step=work.step.value,
            position=f"{answer.position.term}.{answer.position.offset}",
            took_ms=now_ms() - started_ms,
            in_transaction=transaction is not None,
        )


_HANDLERS = {
    Action.READ: CallerConnection._run_statement,
    Action.WRITE: CallerConnection._run_statement,
    Action.EXECUTE: CallerConnection._run_statement,
    Action.COMMIT: CallerConnection._commit,
    Action.BEGIN: CallerConnection._begin,
    Action.BEGIN_READ_ONLY: CallerConnection._begin,
    Action.ROLLBACK: CallerConnection._roll_back,
    Action.SET: CallerConnection._set,
    Action.PREPARE: CallerConnection._prepare,
    Action.DEALLOCATE: CallerConnection._deallocate,
}
