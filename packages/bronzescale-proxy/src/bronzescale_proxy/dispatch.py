"""Bring a statement to a database that may serve it, and rule on failures."""

import logging

import anyio

from bronzescale_core.exceptions import (
    NoPrimaryError,
    NotRunError,
    OutcomeUnknownError,
    OverloadedError,
    ReplicaBehindError,
    StatementError,
    TransactionLostError,
    UnknownServiceError,
    UpstreamStatementError,
)
from bronzescale_core.groups import Phase
from bronzescale_core.outcomes import (
    Failure,
    Progress,
    RetryBudget,
    RetryDecision,
    decide_retry,
)
from bronzescale_core.routing import Location, Router
from bronzescale_core.statements import StatementKind
from bronzescale_proxy import wire
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import AttemptFailedError, PeerUnavailableError

logger = logging.getLogger("bronzescale.dispatch")

RETRY_PAUSE_S = 0.05
RETRY_PAUSE_MAX_S = 0.4
OVERLOAD_RETRY_MS = 200
GRANT_EVERY = 4
GIVE_UP_AFTER_S = 0.3
WIRE_SLACK_S = 0.5
FINAL_ERRORS = {
    error.kind: error
    for error in (
        NotRunError,
        OverloadedError,
        NoPrimaryError,
        ReplicaBehindError,
        UnknownServiceError,
        TransactionLostError,
        OutcomeUnknownError,
    )
}


class Dispatcher:
    """Choose database and owner for each statement of this node's callers.

    Parameters
    ----------
    node : NodeRuntime
        What this node knows.
    metrics : Metrics
        Counters and timers.
    """

    def __init__(self, node, metrics):
        self._node = node
        self._metrics = metrics
        settings = node.settings
        self._router = Router(Location(settings.zone, settings.region))
        self._budget = RetryBudget()
        self._flights = {}
        node.state_listeners.append(self._on_group_state)

    @property
    def budget(self):
        """Return the retry budget."""
        return self._budget

    async def run(self, request, send_part, opener):
        """Run one statement outside of a transaction, or one that begins one.

        Parameters
        ----------
        request : StatementRequest
            The statement; its database is chosen here.
        send_part : callable
            ``async (ResultPart)``.
        opener : object
            The caller's session; owns a transaction that is opened.

        Returns
        -------
        ResultEnd
        owner : Node or None
            Node that ran it; None for this node.

        Raises
        ------
        StatementError
            With the final answer.
        """
        self._budget.deposit()
        attempt = _Attempt(request)
        while True:
            ended = await self._try_candidates(attempt, send_part, opener)
            if ended is not None:
                return ended
            await self._pause(attempt)

    async def run_in_transaction(self, request, send_part, opener, owner):
        """Run a statement of an open transaction where it lives.

        Parameters
        ----------
        request : StatementRequest
            The statement, with its database and transaction.
        send_part : callable
            ``async (ResultPart)``.
        opener : object
            The caller's session.
        owner : Node or None
            Node that holds the transaction; None for this node.

        Returns
        -------
        ResultEnd
        """
        collector = _Collector(send_part)
        is_commit = request.kind is StatementKind.COMMIT
        try:
            await self._send(owner, request, collector, opener)
        except AttemptFailedError as error:
            was_sent = error.progress in (Progress.SENT, Progress.STREAMING)
            if is_commit and was_sent:
                raise OutcomeUnknownError(
                    f"the commit was sent but {error.reason}; read the records to "
                    "learn whether it landed"
                ) from error
            raise TransactionLostError(
                f"the transaction was rolled back and did not run: {error.reason}; "
                "begin it again"
            ) from error
        return collector.end

    async def end_transaction(self, upstream, transaction_id, service, owner):
        """Roll back a transaction whose caller is gone.

        Parameters
        ----------
        upstream : str
            Its database.
        transaction_id : int
            Its number at the owner.
        service : str
            Its service.
        owner : Node or None
            Node that holds it; None for this node.
        """
        if owner is None:
            local = self._node.owner(service, upstream)
            if local is not None:
                local.end_transaction(transaction_id)
            return
        message = wire.EndTransaction(upstream, transaction_id)
        await self._node.peers.tell(owner, message)

    async def head(self, service, deadline_ms):
        """Return a head of the primary sampled from now on.

        Parameters
        ----------
        service : str
            Name of the service.
        deadline_ms : int
            When the caller gives up.

        Returns
        -------
        Position

        Raises
        ------
        NoPrimaryError
            If no live primary's term could be confirmed.
        """
        reason = "the primary is not known yet"
        while now_ms() < deadline_ms:
            reply = await self._ask_head(service, deadline_ms)
            if reply is not None and reply.position is not None:
                return reply.position
            reason = reply.reason if reply is not None else reason
            await anyio.sleep(RETRY_PAUSE_S)
        raise NoPrimaryError(
            f"the read was not run: {reason}; give @bronzescale_token or read with "
            "an age",
            retry_after_ms=1_000,
        )

    async def _ask_head(self, service, deadline_ms):
        declared = self._node.service(service)
        state = self._node.state(service)
        if declared is None or state is None:
            return None
        upstream = next(
            (u for u in declared.upstreams if u.name == state.primary), None
        )
        for owner in self._owners_of(upstream) if upstream else ():
            remaining_s = max(0.0, (deadline_ms - now_ms()) / 1_000)
            try:
                if owner is None:
                    return await answer_head(
                        self._node, wire.HeadRequest(service, deadline_ms)
                    )
                request = wire.HeadRequest(service, deadline_ms)
                return await self._node.peers.ask(owner, request, remaining_s)
            except PeerUnavailableError as error:
                logger.info("dispatch: no head from %s: %s.", owner.name, error)
        return None

    async def _try_candidates(self, attempt, send_part, opener):
        request = attempt.request
        service = self._node.service(request.service)
        state = self._node.state(request.service)
        if service is None:
            raise UnknownServiceError(
                f"service {request.service!r} is not in force, so nothing was run; "
                "see bronzescalectl get"
            )
        if state is None:
            attempt.fail(AttemptFailedError(Progress.NOT_SENT, "no primary is known"))
            return None
        candidates = self._router.candidates(
            request, self._node.upstreams(service), state.primary, now_ms()
        )
        for candidate in candidates:
            routed = self._route(request, candidate, service, attempt)
            collector = _Collector(send_part)
            owner = await self._try_owners(
                candidate.upstream, routed, collector, opener, attempt
            )
            if collector.end is not None:
                self._count_answer(request, collector.end)
                return collector.end, owner
            self._rule(attempt, candidate.upstream)
        return None

    def _route(self, request, candidate, service, attempt):
        at_ms = now_ms()
        may_wait = candidate.may_wait and not attempt.was_behind
        wait_ms = service.replica_wait_ms if may_wait else 0
        return request._replace(
            upstream=candidate.upstream.name,
            wait_until_ms=min(request.deadline_ms, at_ms + wait_ms),
        )

    async def _try_owners(self, upstream, request, collector, opener, attempt):
        """Try the owners of one database until one takes the statement."""
        for owner in self._owners_of(upstream):
            attempt.tries += 1
            try:
                await self._send(owner, request, collector, opener)
                return owner
            except AttemptFailedError as error:
                attempt.fail(error)
                self._log_failure(request, owner, error)
                if error.progress is not Progress.NOT_SENT or not error.is_unreachable:
                    return None
        return None

    def _log_failure(self, request, owner, error):
        if error.is_behind:
            return
        name = owner.name if owner else self._node.settings.node
        logger.info(
            "dispatch: %s on %s via %s failed %s: %s.",
            request.kind.value,
            request.upstream,
            name,
            error.progress.value,
            error.reason,
        )

    def _owners_of(self, upstream):
        own = self._node.settings.node
        ranked = self._node.rank(upstream)
        return [None if node.name == own else node for node in ranked]

    async def _send(self, owner, request, collector, opener):
        """Send a statement; give up on one that its primary can no longer answer."""
        is_bound_to_primary = request.kind is not StatementKind.READ
        if not is_bound_to_primary:
            await self._send_to(owner, request, collector, opener)
            return
        with anyio.CancelScope() as scope:
            self._flights[scope] = request
            try:
                await self._send_to(owner, request, collector, opener)
            finally:
                del self._flights[scope]
        if scope.cancelled_caught:
            raise AttemptFailedError(
                collector.progress(Progress.SENT),
                f"{request.upstream} was replaced as the primary",
            )

    def _on_group_state(self, state):
        """Give up soon on what was sent to a primary that has been replaced.

        Its owner gets a moment to say which statements were never sent.
        """
        if state.phase is not Phase.ACTIVE:
            return
        until_s = anyio.current_time() + GIVE_UP_AFTER_S
        for scope, request in self._flights.items():
            is_replaced = request.upstream != state.primary
            if request.service == state.service and is_replaced:
                is_read_only = request.kind is StatementKind.BEGIN_READ_ONLY
                if not is_read_only:
                    scope.deadline = min(scope.deadline, until_s)

    async def _send_to(self, owner, request, collector, opener):
        if owner is None:
            local = self._node.owner(request.service, request.upstream)
            if local is None:
                raise AttemptFailedError(
                    Progress.NOT_SENT, f"{request.upstream} is not known here yet"
                )
            await local.execute(request, collector.take, opener)
            return
        await self._send_remote(owner, request, collector)

    async def _send_remote(self, owner, request, collector):
        remaining_s = (request.deadline_ms - now_ms()) / 1_000 + WIRE_SLACK_S
        progress = Progress.NOT_SENT
        try:
            with anyio.fail_after(max(0.0, remaining_s)):
                link = await self._node.peers.link(owner)
                async with link.request(request) as exchange:
                    progress = Progress.SENT
                    await self._receive_parts(exchange, collector)
        except PeerUnavailableError as error:
            if not error.is_sent:
                progress = Progress.NOT_SENT
            raise AttemptFailedError(
                collector.progress(progress), str(error), is_unreachable=True
            ) from error
        except TimeoutError as error:
            self._node.peers.discard(owner)
            raise AttemptFailedError(
                collector.progress(progress), f"{owner.name} did not answer in time"
            ) from error

    async def _receive_parts(self, exchange, collector):
        received = 0
        while collector.end is None:
            message = await exchange.receive()
            if isinstance(message, wire.FailureReport):
                exchange.finish()
                raise load_failure(message)
            if message.end is not None:
                exchange.finish()
            await collector.take(message)
            received += 1
            if received % GRANT_EVERY == 0 and collector.end is None:
                await exchange.grant(GRANT_EVERY)

    def _rule(self, attempt, upstream):
        error = attempt.error
        request = attempt.request
        decision = decide_retry(
            Failure(error.progress, error.reason), request.kind, request.request_key
        )
        if decision is RetryDecision.UNKNOWN:
            raise OutcomeUnknownError(
                f"the statement was sent but {error.reason}; read the records, or give "
                "@bronzescale_request_key so that it can be repeated"
            )
        if decision is RetryDecision.NOT_RUN:
            raise NotRunError(
                f"the answer broke off: {error.reason}; run the read again"
            )
        if error.is_behind:
            return
        if error.is_overloaded:
            self._refuse_overload(attempt, error)
            return
        self._router.penalise(upstream.name, now_ms())
        was_sent = error.progress is Progress.SENT
        if was_sent and not self._budget.withdraw():
            raise NotRunError(
                f"the read gave no answer: {error.reason}; too many retries are under "
                "way, run it again later",
                retry_after_ms=1_000,
            )

    def _refuse_overload(self, attempt, error):
        """Give the final answer at once when every copy may be as full."""
        if attempt.request.kind is StatementKind.READ and not attempt.was_refused:
            attempt.was_refused = True
            return
        raise OverloadedError(
            f"not run: {error.reason}; retry in {error.retry_after_ms} ms",
            retry_after_ms=error.retry_after_ms,
        )

    async def _pause(self, attempt):
        """Wait for something to change before the next round, or give up."""
        remaining_ms = attempt.request.deadline_ms - now_ms()
        pause_s = min(RETRY_PAUSE_MAX_S, RETRY_PAUSE_S * 2**attempt.rounds)
        attempt.rounds += 1
        if remaining_ms <= pause_s * 1_000:
            raise self._give_up(attempt)
        self._metrics.count("statement.retry_round")
        changed = self._node.changed
        with anyio.move_on_after(pause_s):
            await changed.wait()

    def _give_up(self, attempt):
        error = attempt.error
        request = attempt.request
        reason = error.reason if error is not None else "no database could take it"
        if attempt.was_sent:
            return OutcomeUnknownError(
                f"the statement was sent but {reason}; repeat it with the same "
                "@bronzescale_request_key to learn its outcome"
            )
        if error is not None and error.is_behind:
            return ReplicaBehindError(
                f"not run: {reason}; retry, or accept an older answer",
                retry_after_ms=OVERLOAD_RETRY_MS,
            )
        if request.kind is not StatementKind.READ:
            return NoPrimaryError(f"not run: {reason}; retry", retry_after_ms=1_000)
        return NotRunError(f"not run: {reason}; retry", retry_after_ms=1_000)

    def _count_answer(self, request, end):
        if request.kind is StatementKind.READ:
            self._metrics.count("read.replica" if end.is_replica else "read.primary")
        elif request.kind is StatementKind.WRITE:
            self._metrics.count("save.acknowledged")


class _Attempt:
    """What happened so far to one statement."""

    def __init__(self, request):
        self.request = request
        self.error = None
        self.tries = 0
        self.rounds = 0
        self.was_behind = False
        self.was_refused = False
        self.was_sent = False

    def fail(self, error):
        self.error = error
        self.was_behind |= error.is_behind
        is_write = self.request.kind is StatementKind.WRITE
        self.was_sent |= is_write and error.progress is Progress.SENT


class _Collector:
    """Pass parts on and keep the end."""

    def __init__(self, send_part):
        self._send_part = send_part
        self._has_started = False
        self.end = None

    async def take(self, part):
        self._has_started = True
        await self._send_part(part)
        if part.end is not None:
            self.end = part.end

    def progress(self, progress):
        return Progress.STREAMING if self._has_started else progress


def load_failure(message):
    """Return the exception for a failure that another node reported.

    Parameters
    ----------
    message : FailureReport
        The report.

    Returns
    -------
    Exception
    """
    if message.kind == UpstreamStatementError.kind:
        return UpstreamStatementError(message.message, message.code, message.sqlstate)
    if message.kind in FINAL_ERRORS:
        return FINAL_ERRORS[message.kind](message.message, message.retry_after_ms)
    return AttemptFailedError(
        Progress(message.progress),
        message.message,
        message.retry_after_ms,
        is_behind=message.kind == "behind",
        is_overloaded=message.kind == "full",
    )


def dump_failure(error):
    """Return the report of a failure for the node that asked.

    Parameters
    ----------
    error : StatementError or AttemptFailedError
        The failure.

    Returns
    -------
    FailureReport
    """
    if isinstance(error, StatementError):
        return wire.FailureReport(
            error.kind, str(error), error.code, error.sqlstate, error.retry_after_ms
        )
    kind = "behind" if error.is_behind else "full" if error.is_overloaded else "failed"
    return wire.FailureReport(
        kind,
        error.reason,
        retry_after_ms=error.retry_after_ms,
        progress=error.progress.value,
    )


async def answer_head(node, request):
    """Answer a question for the primary's head at a node that watches the group.

    Parameters
    ----------
    node : NodeRuntime
        The node.
    request : HeadRequest
        The question.

    Returns
    -------
    HeadReply
    """
    asked_at_ms = now_ms()
    state = node.state(request.service)
    if state is None:
        return wire.HeadReply(None, "the service is not known here yet")
    node.owner(request.service, state.primary)
    group = node.group(request.service)
    if group is None:
        return wire.HeadReply(None, "the group is not watched here yet")
    until_ms = min(request.deadline_ms, asked_at_ms + 1_000)
    head = await group.confirmed_head(asked_at_ms, until_ms)
    if head is None:
        return wire.HeadReply(None, "no replica confirms the primary's term")
    return wire.HeadReply(head.position, "")
