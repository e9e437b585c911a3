"""Hold callers' connections and sessions; answer what needs no database."""

import anyio

from bronzescale_core.catalog import RouteKind
from bronzescale_core.codec import (
    IDLE,
    IN_TRANSACTION,
    TRANSACTION_FAILED,
    Connect,
    Goodbye,
    Malformed,
)
from bronzescale_core.positions import ORIGIN
from bronzescale_core.sessions import CallerSession, OpenTransaction
from bronzescale_core.work import (
    NO_AGE_LIMIT,
    NOT_RUN_OUTCOMES,
    Action,
    Outcome,
    Reach,
    Work,
    WorkStep,
)
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.fleet.dispatch import is_final_step
from bronzescale_proxy.fleet.streams import (
    CALLER_KEEPALIVE_S,
    LineReader,
    LineTooLongError,
    tune_stream,
)

# A caller that has not named its database by then is closed.
CONNECT_WITHIN_S = 5.0
# Callers close after 2 s without an answer to their first message.
CONFIGURATION_WITHIN_S = 1.5
_GONE = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class CallerServer:
    """Accept callers and run their sessions.

    Parameters
    ----------
    node : FleetNode
        What this node knows.
    dispatcher : Dispatcher
        Runs statements.
    """

    def __init__(self, node, dispatcher):
        self.node = node
        self.dispatcher = dispatcher
        self._connections = set()
        self._is_closing_idle = False

    @property
    def open_count(self):
        """Return how many callers are connected."""
        return len(self._connections)

    async def serve_stream(self, stream):
        """Serve one caller until it leaves."""
        connection = CallerConnection(self, stream)
        self._connections.add(connection)
        self.node.metrics.set_callers(len(self._connections))
        try:
            await connection.run()
        except _GONE:
            self.node.metrics.count_failure("caller_gone")
        finally:
            self._connections.discard(connection)
            self.node.metrics.set_callers(len(self._connections))
            with anyio.CancelScope(shield=True):
                await connection.release()
                await anyio.aclose_forcefully(stream)

    @property
    def is_closing_idle(self):
        """Return whether sessions end between their statements."""
        return self._is_closing_idle

    def close_idle(self):
        """Close the sessions that rest outside of a transaction."""
        self._is_closing_idle = True
        for connection in list(self._connections):
            connection.close_if_idle()

    def abort_transactions(self):
        """Close the sessions that rest inside of a transaction."""
        for connection in list(self._connections):
            connection.close_if_resting()


class CallerConnection:
    """One caller's connection.

    Parameters
    ----------
    server : CallerServer
        Holds all of them.
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
        self._rest = None

    async def run(self):
        """Serve the caller until it leaves or breaks the protocol."""
        tune_stream(self._stream, CALLER_KEEPALIVE_S)
        with anyio.move_on_after(CONNECT_WITHIN_S):
            if not await self._greet():
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
            if self._server.is_closing_idle and self._session.transaction is None:
                return

    async def _greet(self):
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
            )
            text = f"no route has the name {message.database[:80]}"
            await self._stream.send(
                self._codec.encode_failed(Outcome.NO_DATABASE, text)
            )
            return False
        self._database = message.database
        await self._stream.send(self._codec.encode_ready(IDLE))
        return True

    async def _await_configuration(self):
        with anyio.move_on_after(CONFIGURATION_WITHIN_S):
            while self._node.configuration is None or not self._node.is_informed:
                await self._node.changed.wait()

    async def _receive(self):
        """Return the next message, or None when the session is to end."""
        transaction = self._session.transaction
        deadline_s = None
        if transaction is not None:
            deadline_s = self._node.configuration.transaction_idle_ms / 1_000
        with anyio.CancelScope() as self._rest:
            if deadline_s is not None:
                self._rest.deadline = anyio.current_time() + deadline_s
            try:
                line = await self._reader.receive_line()
            except LineTooLongError:
                await self._send_failed(Outcome.TOO_BIG, "the message is too long", "")
                return None
            self._rest = None
            return self._codec.decode_caller(line)
        self._rest = None
        if transaction is not None:
            self._node.log.log_decision(
                "session_closed", database=self._database, reason="transaction rested"
            )
        return None

    def close_if_idle(self):
        """End the session if it rests outside of a transaction."""
        if self._session.transaction is None and not self._reader.has_partial_line:
            self.close_if_resting()

    def close_if_resting(self):
        """End the session if no request is in work."""
        if self._rest is not None:
            self._rest.cancel()

    async def release(self):
        """Roll back what the caller left open."""
        transaction, self._session.transaction = self._session.transaction, None
        if transaction is not None and transaction.is_bound:
            await self._dispatcher.end_transaction(
                transaction.upstream, transaction.transaction_id, transaction.owner
            )

    # Answers

    @property
    def _state(self):
        transaction = self._session.transaction
        if transaction is None:
            return IDLE
        return TRANSACTION_FAILED if transaction.is_failed else IN_TRANSACTION

    async def _send_done(self, signature="", rows=(), position=ORIGIN):
        codec = self._codec
        message = codec.encode_rows(rows) if rows else b""
        message += codec.encode_done(signature)
        await self._stream.send(message + codec.encode_ready(self._state, position))

    async def _send_failed(self, outcome, reason, request_id):
        self._node.log.log_decision(
            "refused",
            request=request_id,
            database=self._database,
            outcome=outcome.value,
            reason=reason,
        )
        codec = self._codec
        message = codec.encode_failed(outcome, reason)
        await self._stream.send(message + codec.encode_ready(self._state))

    async def _send_malformed(self, reason):
        await self._send_failed(Outcome.MALFORMED, reason, "")

    async def _answer(self, statement):
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
        await _ANSWERS[statement.action](self, statement)

    async def _set(self, statement):
        self._session.set_value(statement.name, statement.argument)
        await self._send_done()

    async def _prepare(self, statement):
        shape = self._node.documents.shape_of(statement)
        self._session.prepare(statement.name, shape)
        await self._send_done()

    async def _deallocate(self, statement):
        if self._session.deallocate(statement.name):
            await self._send_done()
            return
        await self._fail(Outcome.NO_STATEMENT, statement.name, statement.request_id)

    async def _begin(self, statement):
        if self._session.transaction is not None:
            await self._fail(
                Outcome.MALFORMED, "a transaction is open", statement.request_id
            )
            return
        is_read_only = statement.action is Action.BEGIN_READ_ONLY
        self._session.transaction = OpenTransaction(is_read_only)
        self._session.transaction.began_at_ms = now_ms()
        await self._send_done()

    async def _roll_back(self, statement):
        transaction = self._session.transaction
        if transaction is None:
            await self._fail(
                Outcome.MALFORMED, "no transaction is open", statement.request_id
            )
            return
        await self.release()
        await self._send_done()

    async def _fail(self, outcome, reason, request_id):
        """Answer with an error; one inside a transaction ends it."""
        transaction = self._session.transaction
        if transaction is not None:
            await self.release()
            self._session.transaction = transaction
            transaction.is_failed = True
            transaction.transaction_id = 0
        await self._send_failed(outcome, reason, request_id)

    # Statements for a database

    async def _run(self, statement):
        arrived_at_ms = now_ms()
        resolved = self._session.resolve(statement)
        if resolved is None:
            await self._fail(Outcome.NO_STATEMENT, statement.name, statement.request_id)
            return
        transaction = self._session.transaction
        if transaction is None and self._route() is None:
            await self._fail(
                Outcome.NO_DATABASE, "the route is gone", statement.request_id
            )
            return
        work = self._build(statement, resolved, arrived_at_ms)
        if transaction is None:
            await self._run_single(work)
        else:
            await self._run_in_transaction(work, transaction)

    async def _commit(self, statement):
        transaction = self._session.transaction
        if transaction is None:
            await self._fail(
                Outcome.MALFORMED, "no transaction is open", statement.request_id
            )
            return
        if not transaction.is_bound and self._route() is None:
            await self._fail(
                Outcome.NO_DATABASE, "the route is gone", statement.request_id
            )
            return
        work = self._build(statement, None, now_ms())
        step = WorkStep.COMMIT if transaction.is_bound else WorkStep.OPEN_AND_COMMIT
        await self._run_in_transaction(work._replace(step=step), transaction)

    def _route(self):
        return self._node.configuration.routes.get(self._database)

    def _build(self, statement, resolved, arrived_at_ms):
        transaction = self._session.transaction
        route = self._route()
        if transaction is not None and transaction.is_bound:
            # A change of the route applies from the next transaction.
            route = transaction.route
        elif transaction is not None:
            transaction.route = route
        is_write = resolved is not None and resolved.is_write
        text = statement.text
        if resolved is not None and resolved.prepared is not None:
            text = self._codec.execute(resolved.prepared_name, statement.argument)
        is_read_only = transaction is not None and transaction.is_read_only
        is_plain = transaction is not None and not is_read_only
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
            needs_lead=is_write or is_plain or route.kind is RouteKind.PRIMARY,
            priority=route.priority,
            deadline_ms=arrived_at_ms + route.timeout_ms,
            received_at_ms=arrived_at_ms,
        )

    def _floor(self, route):
        is_own = route.kind is RouteKind.READ_YOUR_WRITES
        return self._session.floor if is_own else ORIGIN

    def _max_age_ms(self, route):
        if route.kind is RouteKind.PRIMARY:
            return 0
        return NO_AGE_LIMIT if route.max_age_ms < 0 else route.max_age_ms

    async def _run_single(self, work):
        started_ms = now_ms()
        answer, upstream, _ = await self._dispatcher.run(work, self)
        self._node.metrics.observe_statement(
            answer.outcome.value, now_ms() - started_ms
        )
        if answer.outcome is Outcome.DONE:
            self._note_done(work, answer, upstream, started_ms)
            await self._send_done(answer.signature, answer.rows, answer.position)
            return
        await self._send_failed(*_explain(work, answer), work.request_id)

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
                # The age counts from the first byte of the transaction.
                work = work._replace(max_age_ms=work.max_age_ms + age_ms)
            answer, upstream, owner = await self._dispatcher.run(work, self)
            transaction.upstream, transaction.owner = upstream, owner
        self._node.metrics.observe_statement(
            answer.outcome.value, now_ms() - started_ms
        )
        transaction.transaction_id = answer.transaction_id
        transaction.has_written |= work.is_write
        is_over = work.step in (WorkStep.COMMIT, WorkStep.OPEN_AND_COMMIT)
        if answer.outcome is Outcome.DONE:
            if is_over:
                self._session.transaction = None
            self._note_done(work, answer, upstream, started_ms)
            await self._send_done(answer.signature, answer.rows, answer.position)
            return
        outcome, reason = _explain(work, answer)
        if is_over:
            self._session.transaction = None
            await self._send_failed(outcome, reason, work.request_id)
        else:
            await self._fail(outcome, reason, work.request_id)

    def _note_done(self, work, answer, upstream, started_ms):
        transaction = self._session.transaction
        is_commit = work.step is WorkStep.COMMIT
        if is_commit or (work.step is WorkStep.SINGLE and work.is_write):
            self._session.floor = max(self._session.floor, answer.position)
        self._node.metrics.count_read(
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


def _explain(work, answer):
    """Return outcome and text for the caller of a failed statement.

    What was not committed is said to be not run; only a save or commit that was sent
    and has no answer is unknown.
    """
    hint = answer.reason
    if answer.retry_after_ms:
        hint = f"{hint}; come back in {answer.retry_after_ms} ms"
    if is_final_step(work):
        if answer.reach is Reach.SENT:
            return Outcome.UNKNOWN, hint
        if answer.reach is Reach.ANSWERED and answer.outcome not in NOT_RUN_OUTCOMES:
            return answer.outcome, hint
        if work.step is not WorkStep.SINGLE:
            return Outcome.ABORTED, hint
        return _refusal(answer), hint
    if work.step is WorkStep.SINGLE:
        if answer.reach is Reach.ANSWERED and answer.outcome is Outcome.FAILED:
            return Outcome.FAILED, hint
        return _refusal(answer), hint
    return Outcome.ABORTED, hint


def _refusal(answer):
    if answer.outcome in (Outcome.BUSY, Outcome.BEHIND, Outcome.READ_ONLY):
        return answer.outcome
    return Outcome.ABORTED


_ANSWERS = {
    Action.READ: CallerConnection._run,
    Action.WRITE: CallerConnection._run,
    Action.EXECUTE: CallerConnection._run,
    Action.COMMIT: CallerConnection._commit,
    Action.BEGIN: CallerConnection._begin,
    Action.BEGIN_READ_ONLY: CallerConnection._begin,
    Action.ROLLBACK: CallerConnection._roll_back,
    Action.SET: CallerConnection._set,
    Action.PREPARE: CallerConnection._prepare,
    Action.DEALLOCATE: CallerConnection._deallocate,
}
