"""Send each statement to a database that may serve it, and decide about retries.

`Dispatcher` tries the candidate databases, and for each the nodes that own it, round
by round until an attempt succeeds, a failure is final or the deadline is near.
"""

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

RETRY_BACKOFF_MIN_S = 0.05
RETRY_BACKOFF_MAX_S = 0.4
REPLICA_BEHIND_RETRY_AFTER_MS = 200
# Parts received before the peer gets credit for as many more; it starts with a window
# of `peers.WINDOW_PARTS`.
CREDIT_BATCH_PARTS = 4
# Time for the owner of a replaced primary to report which statements it never sent;
# those can be retried safely.
REPLACED_PRIMARY_GRACE_S = 0.3
# Time past the deadline for the owner's own timeout report to arrive.
REMOTE_ANSWER_GRACE_S = 0.5
FINAL_ERRORS_BY_KIND = {
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
    """Choose the database and the owner for each statement of this node's callers.

    Parameters
    ----------
    node : NodeRuntime
        State of this node.
    metrics : Metrics
        Counters and timers.
    """

    def __init__(self, node, metrics):
        self._node = node
        self._metrics = metrics
        settings = node.settings
        self._router = Router(Location(settings.zone, settings.region))
        self._budget = RetryBudget()
        self._sent_to_primary = {}
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
            Session of the caller; a transaction that is opened belongs to it.

        Returns
        -------
        end : ResultEnd
            Outcome of the statement.
        owner : Node or None
            Node that ran the statement; None for this node.

        Raises
        ------
        StatementError
            With the final answer.
        """
        self._budget.deposit()
        attempts = _Attempts(request)
        while True:
            outcome = await self._try_candidates(attempts, send_part, opener)
            if outcome is not None:
                return outcome
            await self._wait_before_next_round(attempts)

    async def run_in_transaction(self, request, send_part, opener, owner):
        """Run a statement of an open transaction at the node that holds it.

        Parameters
        ----------
        request : StatementRequest
            The statement, with its database and transaction.
        send_part : callable
            ``async (ResultPart)``.
        opener : object
            Session of the caller.
        owner : Node or None
            Node that holds the transaction; None for this node.

        Returns
        -------
        ResultEnd

        Raises
        ------
        OutcomeUnknownError
            If a commit was sent and its answer was lost.
        TransactionLostError
            If the transaction was rolled back.
        """
        forwarder = _PartForwarder(send_part)
        is_commit = request.kind is StatementKind.COMMIT
        try:
            await self._send(owner, request, forwarder, opener)
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
        return forwarder.end

    async def end_transaction(self, upstream, transaction_id, service, owner):
        """Roll back a transaction whose caller disconnected.

        Parameters
        ----------
        upstream : str
            Name of its database.
        transaction_id : int
            Its number at the owner.
        service : str
            Name of its service.
        owner : Node or None
            Node that holds the transaction; None for this node.
        """
        if owner is None:
            local = self._node.owner(service, upstream)
            if local is not None:
                local.end_transaction(transaction_id)
            return
        message = wire.EndTransaction(upstream, transaction_id)
        await self._node.peers.send_one_way(owner, message)

    async def head(self, service, deadline_ms):
        """Return the newest log position of the primary, sampled after this call.

        Parameters
        ----------
        service : str
            Name of the service.
        deadline_ms : int
            Deadline of the caller.

        Returns
        -------
        Position

        Raises
        ------
        NoPrimaryError
            If the term of the primary was not confirmed before the deadline.
        """
        reason = "the primary is not known yet"
        while now_ms() < deadline_ms:
            reply = await self._request_head(service, deadline_ms)
            if reply is not None and reply.position is not None:
                return reply.position
            reason = reply.reason if reply is not None else reason
            await anyio.sleep(RETRY_BACKOFF_MIN_S)
        raise NoPrimaryError(
            f"the read was not run: {reason}; give @bronzescale_token or read with "
            "an age",
            retry_after_ms=1_000,
        )

    async def _request_head(self, service, deadline_ms):
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
                return await self._node.peers.request(owner, request, remaining_s)
            except PeerUnavailableError as error:
                logger.info("dispatch: %s returned no head: %s.", owner.name, error)
        return None

    async def _try_candidates(self, attempts, send_part, opener):
        """Try each database that may serve the statement, best first.

        Returns
        -------
        tuple of ResultEnd and Node, or None
            The result of `run`; None if every attempt failed and may be repeated.
        """
        request = attempts.request
        service = self._node.service(request.service)
        state = self._node.state(request.service)
        if service is None:
            raise UnknownServiceError(
                f"service {request.service!r} is not in force, so nothing was run; "
                "see bronzescalectl get"
            )
        if state is None:
            attempts.fail(AttemptFailedError(Progress.NOT_SENT, "no primary is known"))
            return None
        candidates = self._router.candidates(
            request, self._node.upstreams(service), state.primary, now_ms()
        )
        for candidate in candidates:
            routed = self._prepare_request(request, candidate, service, attempts)
            forwarder = _PartForwarder(send_part)
            owner = await self._try_owners(
                candidate.upstream, routed, forwarder, opener, attempts
            )
            if forwarder.end is not None:
                self._count_answer(request, forwarder.end)
                return forwarder.end, owner
            self._require_retry_allowed(attempts, candidate.upstream)
        return None

    def _prepare_request(self, request, candidate, service, attempts):
        at_ms = now_ms()
        may_wait = candidate.may_wait and not attempts.was_behind
        wait_ms = service.replica_wait_ms if may_wait else 0
        return request._replace(
            upstream=candidate.upstream.name,
            wait_until_ms=min(request.deadline_ms, at_ms + wait_ms),
        )

    async def _try_owners(self, upstream, request, forwarder, opener, attempts):
        """Try the owners of one database until one is reachable.

        Returns
        -------
        Node or None
            Node that ran the statement; None for this node. It is also None if no
            owner ran the statement; then ``forwarder.end`` is None, too.
        """
        for owner in self._owners_of(upstream):
            attempts.tries += 1
            try:
                await self._send(owner, request, forwarder, opener)
                return owner
            except AttemptFailedError as error:
                attempts.fail(error)
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
        """Return the nodes that may own a database, with None for this node."""
        own = self._node.settings.node
        ranked = self._node.rank(upstream)
        return [None if node.name == own else node for node in ranked]

    async def _send(self, owner, request, forwarder, opener):
        """Send a statement; cancel it if its primary is replaced meanwhile."""
        is_bound_to_primary = request.kind is not StatementKind.READ
        if not is_bound_to_primary:
            await self._send_to(owner, request, forwarder, opener)
            return
        with anyio.CancelScope() as scope:
            self._sent_to_primary[scope] = request
            try:
                await self._send_to(owner, request, forwarder, opener)
            finally:
                del self._sent_to_primary[scope]
        if scope.cancelled_caught:
            raise AttemptFailedError(
                forwarder.progress(Progress.SENT),
                f"{request.upstream} was replaced as the primary",
            )

    def _on_group_state(self, state):
        """Cancel statements that were sent to a replaced primary.

        They are cancelled after a short time, in which the owner can report the ones
        that it never sent.
        """
        if state.phase is not Phase.ACTIVE:
            return
        until_s = anyio.current_time() + REPLACED_PRIMARY_GRACE_S
        for scope, request in self._sent_to_primary.items():
            is_replaced = request.upstream != state.primary
            if request.service == state.service and is_replaced:
                is_read_only = request.kind is StatementKind.BEGIN_READ_ONLY
                if not is_read_only:
                    scope.deadline = min(scope.deadline, until_s)

    async def _send_to(self, owner, request, forwarder, opener):
        if owner is None:
            local = self._node.owner(request.service, request.upstream)
            if local is None:
                raise AttemptFailedError(
                    Progress.NOT_SENT, f"{request.upstream} is not known here yet"
                )
            await local.execute(request, forwarder.forward, opener)
            return
        await self._send_remote(owner, request, forwarder)

    async def _send_remote(self, owner, request, forwarder):
        remaining_s = (request.deadline_ms - now_ms()) / 1_000 + REMOTE_ANSWER_GRACE_S
        progress = Progress.NOT_SENT
        try:
            with anyio.fail_after(max(0.0, remaining_s)):
                connection = await self._node.peers.connect(owner)
                async with connection.request(request) as exchange:
                    progress = Progress.SENT
                    await self._receive_parts(exchange, forwarder)
        except PeerUnavailableError as error:
            if not error.is_sent:
                progress = Progress.NOT_SENT
            raise AttemptFailedError(
                forwarder.progress(progress), str(error), is_unreachable=True
            ) from error
        except TimeoutError as error:
            self._node.peers.discard(owner)
            raise AttemptFailedError(
                forwarder.progress(progress), f"{owner.name} did not answer in time"
            ) from error

    async def _receive_parts(self, exchange, forwarder):
        received = 0
        while forwarder.end is None:
            message = await exchange.receive()
            if isinstance(message, wire.FailureReport):
                exchange.finish()
                raise load_failure(message)
            if message.end is not None:
                exchange.finish()
            await forwarder.forward(message)
            received += 1
            if received % CREDIT_BATCH_PARTS == 0 and forwarder.end is None:
                await exchange.grant_credit(CREDIT_BATCH_PARTS)

    def _require_retry_allowed(self, attempts, upstream):
        """Raise the final error if the last failure rules out another attempt."""
        error = attempts.error
        request = attempts.request
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
            self._require_overload_retry_allowed(attempts, error)
            return
        self._router.penalise(upstream.name, now_ms())
        was_sent = error.progress is Progress.SENT
        if was_sent and not self._budget.withdraw():
            raise NotRunError(
                f"the read gave no answer: {error.reason}; too many retries are under "
                "way, run it again later",
                retry_after_ms=1_000,
            )

    def _require_overload_retry_allowed(self, attempts, error):
        """Raise unless the statement is a read that was refused for the first time.

        After a second refusal the other copies are probably just as full.
        """
        if attempts.request.kind is StatementKind.READ and not attempts.was_refused:
            attempts.was_refused = True
            return
        raise OverloadedError(
            f"not run: {error.reason}; retry in {error.retry_after_ms} ms",
            retry_after_ms=error.retry_after_ms,
        )

    async def _wait_before_next_round(self, attempts):
        """Wait for the backoff or a state change; raise if the deadline comes first."""
        remaining_ms = attempts.request.deadline_ms - now_ms()
        pause_s = min(RETRY_BACKOFF_MAX_S, RETRY_BACKOFF_MIN_S * 2**attempts.rounds)
        attempts.rounds += 1
        if remaining_ms <= pause_s * 1_000:
            raise self._final_error(attempts)
        self._metrics.count("statement.retry_round")
        changed = self._node.changed
        with anyio.move_on_after(pause_s):
            await changed.wait()

    def _final_error(self, attempts):
        error = attempts.error
        request = attempts.request
        reason = error.reason if error is not None else "no database could take it"
        if attempts.was_sent:
            return OutcomeUnknownError(
                f"the statement was sent but {reason}; repeat it with the same "
                "@bronzescale_request_key to learn its outcome"
            )
        if error is not None and error.is_behind:
            return ReplicaBehindError(
                f"not run: {reason}; retry, or accept an older answer",
                retry_after_ms=REPLICA_BEHIND_RETRY_AFTER_MS,
            )
        if request.kind is not StatementKind.READ:
            return NoPrimaryError(f"not run: {reason}; retry", retry_after_ms=1_000)
        return NotRunError(f"not run: {reason}; retry", retry_after_ms=1_000)

    def _count_answer(self, request, end):
        if request.kind is StatementKind.READ:
            self._metrics.count("read.replica" if end.is_replica else "read.primary")
        elif request.kind is StatementKind.WRITE:
            self._metrics.count("save.acknowledged")


class _Attempts:
    """Attempts to run one statement so far, and how they failed."""

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


class _PartForwarder:
    """Forward the parts of an answer and store its end."""

    def __init__(self, send_part):
        self._send_part = send_part
        self._has_started = False
        self.end = None

    async def forward(self, part):
        self._has_started = True
        await self._send_part(part)
        if part.end is not None:
            self.end = part.end

    def progress(self, progress):
        return Progress.STREAMING if self._has_started else progress


def load_failure(message):
    """Return the exception for a failure report of another node.

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
    if message.kind in FINAL_ERRORS_BY_KIND:
        return FINAL_ERRORS_BY_KIND[message.kind](
            message.message, message.retry_after_ms
        )
    return AttemptFailedError(
        Progress(message.progress),
        message.message,
        message.retry_after_ms,
        is_behind=message.kind == "behind",
        is_overloaded=message.kind == "full",
    )


def dump_failure(error):
    """Return the failure report for the node that sent the request.

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
    """Return a confirmed head of the primary, sampled after this call.

    Both peers and this node's own dispatcher ask for it.

    Parameters
    ----------
    node : NodeRuntime
        State of this node.
    request : HeadRequest
        The request.

    Returns
    -------
    HeadReply
    """
    received_at_ms = now_ms()
    state = node.state(request.service)
    if state is None:
        return wire.HeadReply(None, "the service is not known here yet")
    node.owner(request.service, state.primary)
    group = node.group(request.service)
    if group is None:
        return wire.HeadReply(None, "the group is not watched here yet")
    until_ms = min(request.deadline_ms, received_at_ms + 1_000)
    head = await group.confirmed_head(received_at_ms, until_ms)
    if head is None:
        return wire.HeadReply(None, "no replica confirms the primary's term")
    return wire.HeadReply(head.position, "")
