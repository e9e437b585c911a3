"""Replace a primary that is down, unregistered or leaving.

One node drives each change. It claims the next term in the store, pauses replication on
the copies, waits until every lease of the old primary has expired, has the platform
promote a copy and publishes the new primary. If the driver fails, another node that
monitors the primary claims a newer term and finishes the change.
"""

import anyio

from bronzescale_core.detection import FailureDetector, ProbeOutcome, Verdict
from bronzescale_core.groups import GroupState, Phase
from bronzescale_core.primary_lease import LEASE_MARGIN_MS, PRIMARY_LEASE_MS
from bronzescale_core.store_era import era_of
from bronzescale_core.succession import (
    CLAIM_TIMEOUT_MS,
    Candidate,
    Cause,
    Trigger,
    choose_successor,
    find_substitutes,
    next_term,
)
from bronzescale_proxy import wire
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import (
    PeerUnavailableError,
    StoreConflictError,
    StoreError,
    UpstreamUnavailableError,
)
from bronzescale_proxy.fleet.control import probe_outcome
from bronzescale_proxy.fleet.primary_monitor import (
    DETECTION_LIMITS,
    DETECTION_PROBE_TIMEOUT_S,
)

# Small compared with the silence after which a primary counts as down.
CHECK_INTERVAL_S = 0.1
# Covers the other node's probe of the primary and the round trip to that node.
EVIDENCE_TIMEOUT_S = 0.4
# Added once for each monitoring node ahead in rank, so that the first usually acts
# alone.
RANK_DELAY_MS = 350
# A node whose store calls fail lets the others act first.
STORE_UNREACHABLE_DELAY_MS = 1_000
# Longer than CLAIM_TIMEOUT_MS, since the driver measures from before its write.
CLAIM_TAKEOVER_AFTER_MS = 4_500
# Several round trips to another region; without an answer by then, the driver counts as
# silent.
DRIVER_CHECK_TIMEOUT_S = 0.3
# A request to promote without an answer by then is dropped with its connection.
PROMOTE_TIMEOUT_S = 0.8
# Pause after an attempt to change the primary. It is as long as a lease, which a failed
# attempt has often waited out in vain.
RETRY_AFTER_MS = 700
# Databases that start together have all registered by then.
NO_PRIMARY_GRACE_MS = 5_000
# Healthy replicas apply within 100 ms; the change does not wait longer for a slower
# one.
CATCH_UP_TIMEOUT_MS = 800
# A tenth of the usual duration of a promotion.
POLL_INTERVAL_S = 0.04
# One lost answer is repaired by a second attempt; after two the copy counts as silent.
COMMAND_ATTEMPTS = 2
# Some answers of the store may be lost; after the last attempt the claim is about to
# expire.
PUBLISH_ATTEMPTS = 4


class ClaimLostError(StoreError):
    """The claim has expired, or another node has claimed the change."""


class SuccessorFailedError(UpstreamUnavailableError):
    """The chosen copy failed while it was promoted.

    Parameters
    ----------
    instance : str
        The copy.
    reason : str
        Evidence of its failure.
    """

    def __init__(self, instance, reason):
        super().__init__(f"{instance} failed while it was promoted: {reason}")
        self.instance = instance


class Promoter:
    """Drive changes of primary for one service.

    Parameters
    ----------
    node : FleetNode
        Shared state of this node.
    promotion_client : object
        Client of the platform's interface for promotions.
    service : str
        Name of the service.
    """

    def __init__(self, node, promotion_client, service):
        self._node = node
        self._promotion_client = promotion_client
        self._service = service
        self._monitor = node.primary_monitor(service)
        self._retry_at_ms = 0
        self._triggered_at_ms = None
        self._open_claim = (0, 0)
        # Nonce of the claim whose driver is known to have ended.
        self._ended_claim = ""
        self._last_primary = ""
        self._without_primary_since_ms = None

    async def run(self):
        """Look for a reason to change the primary, and act on it, until cancelled."""
        while True:
            await self._monitor.wait_until_monitoring()
            await anyio.sleep(CHECK_INTERVAL_S)
            if self._node.is_stopping:
                continue
            await self._check_driver()
            trigger = self._trigger()
            if trigger is None:
                self._triggered_at_ms = None
                continue
            if not self._is_due(trigger):
                continue
            await self._attempt(trigger)

    # Triggers

    def _trigger(self):
        node = self._node
        if not node.monitors_primary(self._service):
            return None
        state = node.state(self._service)
        copies = node.catalog.copies(self._service)
        if not copies:
            return None
        if state is not None and state.phase is not Phase.ACTIVE:
            return self._abandoned_change_trigger(state)
        primary = self._monitor.primary
        if primary is None:
            return self._no_primary_trigger()
        self._without_primary_since_ms = None
        self._last_primary = primary
        copy = node.catalog.find(primary)
        if copy is None:
            return Trigger(Cause.UNREGISTERED, primary, "its entry is gone")
        if copy.is_leaving:
            return Trigger(Cause.LEAVING, primary, "it is leaving")
        finding = self._monitor.finding()
        if finding.verdict is Verdict.DOWN:
            return Trigger(Cause.DOWN, primary, finding.reason)
        successor = self._monitor.unknown_successor()
        if successor is not None:
            reason = f"{successor} already leads a later term"
            return Trigger(Cause.UNFINISHED, primary, reason)
        return None

    def _no_primary_trigger(self):
        """Return a trigger for a service without a primary, or None to wait.

        A node that has never known a primary waits first: while databases start, the
        primary may register after the others.
        """
        if self._last_primary:
            return Trigger(Cause.UNREGISTERED, self._last_primary, "its entry is gone")
        if self._without_primary_since_ms is None:
            self._without_primary_since_ms = now_ms()
        if now_ms() - self._without_primary_since_ms < NO_PRIMARY_GRACE_MS:
            return None
        return Trigger(Cause.UNREGISTERED, "", "no database says that it leads")

    def _abandoned_change_trigger(self, state):
        """Return a trigger for a change that its driver did not finish in time."""
        version, since_ms = self._open_claim
        if version != state.version:
            self._open_claim = (state.version, now_ms())
            return None
        is_driver_gone = self._ended_claim == state.nonce
        if not is_driver_gone and now_ms() - since_ms < CLAIM_TAKEOVER_AFTER_MS:
            return None
        reason = f"{state.writer} left term {state.term} open"
        return Trigger(Cause.UNFINISHED, state.primary, reason)

    async def _check_driver(self):
        """Find out whether the driver of an unfinished change has certainly ended.

        A driver that is only silent, or cut off by something that refuses connections
        in its place, may still act on its claim until that expires. One whose node runs
        a later process does not.
        """
        state = self._node.state(self._service)
        if state is None or state.phase is Phase.ACTIVE:
            return
        if self._ended_claim == state.nonce:
            return
        if state.writer == self._node.settings.node:
            # This process itself is not driving it, or it would not be here.
            reason = "its driver gave up or restarted"
        else:
            has_restarted = await self._has_driver_restarted(state)
            reason = "its node runs a later process" if has_restarted else ""
        if reason:
            self._ended_claim = state.nonce
            self._node.log.log_state_change(
                "driver_gone",
                service=self._service,
                driver=state.writer,
                term=state.term,
                reason=reason,
            )

    async def _has_driver_restarted(self, state):
        driver = self._node.membership.find(state.writer)
        if driver is None or not state.writer_incarnation:
            return False
        try:
            with anyio.move_on_after(DRIVER_CHECK_TIMEOUT_S):
                connection = await self._node.peers.connect(driver)
                return connection.incarnation > state.writer_incarnation
        except PeerUnavailableError as error:
            self._node.log.log_decision(
                "driver_silent", driver=state.writer, reason=str(error)
            )
        return False

    def _is_due(self, trigger):
        if self._triggered_at_ms is None:
            self._triggered_at_ms = now_ms()
        if not self._node.store.era.may_claim(self._node.state(self._service)):
            return False
        delay_ms = self._node.monitor_rank(self._service) * RANK_DELAY_MS
        if not self._node.is_store_answering:
            delay_ms += STORE_UNREACHABLE_DELAY_MS
        due_ms = max(self._triggered_at_ms + delay_ms, self._retry_at_ms)
        return now_ms() >= due_ms

    async def _attempt(self, trigger):
        log = self._node.log
        if trigger.cause is Cause.DOWN and not await self._is_confirmed(trigger):
            self._retry_at_ms = now_ms() + RETRY_AFTER_MS
            return
        log.log_state_change(
            "change_begun",
            service=self._service,
            primary=trigger.primary,
            cause=trigger.cause.value,
            reason=trigger.reason,
        )
        failed = set()
        while trigger is not None:
            trigger = await self._try_change(trigger, failed)
        self._triggered_at_ms = None
        self._retry_at_ms = now_ms() + RETRY_AFTER_MS

    async def _try_change(self, trigger, failed):
        """Change the primary, and log the reason if that fails.

        Parameters
        ----------
        trigger : Trigger
            The primary to replace, and why.
        failed : set of str
            Copies that failed during this change; receives the next one.

        Returns
        -------
        Trigger or None
            Why to try again at once; None if the change is over. Only this node knows
            that its change has failed: the others wait until the claim expires.
        """
        try:
            await self._change(trigger, failed)
        except SuccessorFailedError as error:
            failed.add(error.instance)
            self._log_failed_change(error)
            state = self._node.state(self._service)
            if state is not None and state.writer == self._node.settings.node:
                return Trigger(Cause.UNFINISHED, trigger.primary, str(error))
        except (StoreError, UpstreamUnavailableError) as error:
            self._log_failed_change(error)
        return None

    def _log_failed_change(self, error):
        self._node.log.log_state_change(
            "change_failed", service=self._service, reason=str(error)
        )

    async def _is_confirmed(self, trigger):
        """Return whether the other monitoring nodes confirm that the primary is down.

        None of them may have reached it, and one in another availability zone must have
        tried, so that a fault of this node's own zone alone causes no failover.
        """
        settings = self._node.settings
        other_nodes = [
            node
            for node in self._node.monitoring_nodes(self._service)
            if node.name != settings.node
        ]
        replies = []
        async with anyio.create_task_group() as tasks:
            for node in other_nodes:
                tasks.start_soon(self._request_evidence, node, replies)
        is_alive = any(r.verdict == Verdict.ALIVE.value for r in replies)
        confirming_zones = {r.zone for r in replies if r.verdict != Verdict.ALIVE.value}
        is_confirmed = not is_alive and bool(confirming_zones - {settings.zone})
        self._node.log.log_state_change(
            "evidence",
            service=self._service,
            primary=trigger.primary,
            is_confirmed=is_confirmed,
            replies={r.node: r.verdict for r in replies},
        )
        return is_confirmed

    async def _request_evidence(self, node, replies):
        request = wire.EvidenceRequest(self._service, 0)
        try:
            reply = await self._node.peers.request(node, request, EVIDENCE_TIMEOUT_S)
        except PeerUnavailableError as error:
            self._node.log.log_decision(
                "evidence_missing", peer=node.name, reason=str(error)
            )
            return
        if isinstance(reply, wire.EvidenceReply) and reply.verdict:
            replies.append(reply)

    # The change itself

    async def _change(self, trigger, failed):
        # Waiting for a copy that is down would only delay the change.
        is_down = trigger.cause in (Cause.DOWN, Cause.UNFINISHED)
        down = failed | ({trigger.primary} if is_down else set())
        candidates = await self._collect_candidates(down)
        if not any(c.instance != trigger.primary for c in candidates):
            raise UpstreamUnavailableError(
                "no copy that could be promoted answers; check that the databases run"
            )
        # Measured from before the write: other nodes measure from when they see the
        # claim, so it expires here first.
        expires_ms = now_ms() + CLAIM_TIMEOUT_MS
        claim = await self._claim(trigger, candidates)
        if trigger.cause is Cause.LEAVING:
            await self._catch_up(trigger.primary, claim.term)
        paused = await self._fence(trigger.primary, claim.term, failed)
        fenced_at_ms = now_ms()
        primaries = [c for c in candidates if c.status.is_primary]
        chosen = choose_successor(
            paused + primaries, trigger, self._keeps_acknowledged()
        )
        if chosen is None:
            raise UpstreamUnavailableError(
                "no copy could be paused; check that the databases run"
            )
        self._log_choice(chosen, paused + primaries)
        await _sleep_past_lease(fenced_at_ms)
        if chosen in paused:
            await self._keep_paused(chosen, claim.term, expires_ms)
        await self._promote(chosen, claim, expires_ms)
        await self._finish(chosen, claim, find_substitutes(chosen, paused))

    def _keeps_acknowledged(self):
        configuration = self._node.configuration
        return configuration is None or configuration.keeps_acknowledged(self._service)

    def _log_choice(self, chosen, candidates):
        self._node.log.log_state_change(
            "successor_chosen",
            service=self._service,
            upstream=chosen.instance,
            received={c.instance: str(c.status.received) for c in candidates},
            leaving=[c.instance for c in candidates if c.is_leaving],
            keeps_acknowledged=self._keeps_acknowledged(),
        )

    async def _collect_candidates(self, excluded=frozenset()):
        """Return every copy that answers, with its status, except excluded ones."""
        found = []
        async with anyio.create_task_group() as tasks:
            for copy in self._node.catalog.copies(self._service):
                if copy.instance in excluded:
                    continue
                tasks.start_soon(
                    self._send_command, copy, self._node.codec.status, found
                )
        return found

    async def _send_command(self, copy, command, found):
        control = self._node.control(copy.instance)
        if control is None:
            return
        for _ in range(COMMAND_ATTEMPTS):
            try:
                status = await control.run_command(command)
            except UpstreamUnavailableError as error:
                self._node.log.log_decision(
                    "copy_unanswering",
                    service=self._service,
                    upstream=copy.instance,
                    order=command,
                    reason=str(error),
                )
                continue
            found.append(Candidate(copy.instance, copy.zone, copy.is_leaving, status))
            return

    async def _claim(self, trigger, candidates):
        known = self._node.state(self._service)
        is_open = known is not None and known.phase is not Phase.ACTIVE
        if is_open and trigger.cause is not Cause.UNFINISHED:
            raise ClaimLostError(
                f"{known.writer} already drives the change with term {known.term}"
            )
        term = next_term(known, candidates)
        claim = GroupState(
            service=self._service,
            term=term,
            primary=trigger.primary,
            phase=Phase.FENCING,
            writer=self._node.settings.node,
            nonce=f"{self._node.settings.node}:{now_ms()}",
            reason=f"{trigger.cause.value}: {trigger.reason}",
            version=known.version if known is not None else 0,
            fenced_term=term,
            writer_incarnation=self._node.incarnation,
            era=self._node.store.era.number,
        )
        self._monitor.lease.revoke()
        try:
            written = await self._node.write_state(claim)
        except StoreConflictError:
            await self._read_back()
            raise
        except StoreError:
            written = await self._read_back()
            if written is None or written.nonce != claim.nonce:
                raise
        self._require_current_era(written)
        return written

    def _require_current_era(self, claim):
        """Raise `ClaimLostError` if the store has returned from a copy meanwhile.

        The store may have lost the claim, or stored it over another one that has the
        same revision.
        """
        era = self._node.store.era.number
        if claim.era != era or era_of(claim.version) != era:
            raise ClaimLostError(
                f"the store returned from a copy, era {era}; the claim of term "
                f"{claim.term} from era {claim.era} is void"
            )

    async def _catch_up(self, primary, term):
        """Make the old primary step down and wait until a copy has its whole log."""
        copy = self._node.catalog.find(primary)
        if copy is None:
            return
        stepped_down = []
        await self._send_command(copy, self._node.codec.step_down(term), stepped_down)
        deadline_ms = now_ms() + CATCH_UP_TIMEOUT_MS
        while stepped_down and now_ms() < deadline_ms:
            found = [
                c for c in await self._collect_candidates() if c.instance != primary
            ]
            staying = [c for c in found if not c.is_leaving] or found
            if any(
                c.status.received >= stepped_down[0].status.received for c in staying
            ):
                return
            await anyio.sleep(POLL_INTERVAL_S)

    async def _fence(self, primary, term, failed):
        """Pause the copies, and make the old primary step down if it is reachable.

        The driver does not wait for the old primary's answer: if it is unreachable, its
        lease bounds how long it can still acknowledge commits. Copies that failed
        during this change may have become primaries of an older term; they step down,
        too.
        """
        codec = self._node.codec
        paused = []
        async with anyio.create_task_group() as tasks:
            for copy in self._node.catalog.copies(self._service):
                if copy.instance == primary or copy.instance in failed:
                    step_down = codec.step_down(term)
                    self._node.tasks.start_soon(self._send_command, copy, step_down, [])
                else:
                    tasks.start_soon(
                        self._send_command, copy, codec.pause(term), paused
                    )
        return paused

    async def _keep_paused(self, chosen, term, expires_ms):
        """Make sure that the copy stayed paused for the duration of a lease.

        A copy that restarts forgets its pause, and could then confirm the old primary
        and so renew its lease. One that an unfinished change has promoted already
        cannot be paused, and confirms no other primary.
        """
        copy = self._node.catalog.find(chosen.instance)
        while copy is not None and now_ms() < expires_ms:
            answers = []
            await self._send_command(copy, self._node.codec.status, answers)
            status = answers[0].status if answers else None
            if status and (status.is_primary or status.paused_term >= term):
                return
            self._node.log.log_state_change(
                "pause_forgotten",
                service=self._service,
                upstream=chosen.instance,
                term=term,
                is_answering=bool(answers),
            )
            await self._send_command(copy, self._node.codec.pause(term), [])
            await _sleep_past_lease(now_ms())
        raise UpstreamUnavailableError(
            f"{chosen.instance} did not stay paused; check whether it restarts"
        )

    async def _promote(self, chosen, claim, expires_ms):
        """Have the platform promote a copy while this node still holds the claim."""
        while True:
            self._require_current_era(claim)
            remaining_ms = expires_ms - now_ms()
            known = self._node.state(self._service)
            if remaining_ms <= 0 or known.version != claim.version:
                raise ClaimLostError(
                    f"the claim of term {claim.term} expired or was superseded"
                )
            timeout_s = min(PROMOTE_TIMEOUT_S, remaining_ms / 1_000)
            try:
                is_accepted = await self._promotion_client.promote(
                    self._service, chosen.instance, claim.version, timeout_s
                )
            except StoreError as error:
                self._node.log.log_state_change(
                    "order_unanswered", service=self._service, reason=str(error)
                )
                await anyio.sleep(POLL_INTERVAL_S)
                continue
            self._node.log.log_state_change(
                "promotion_ordered",
                service=self._service,
                upstream=chosen.instance,
                token=claim.version,
                received=str(chosen.status.received),
                is_taken=is_accepted,
            )
            if not is_accepted:
                raise UpstreamUnavailableError(
                    f"the platform did not promote {chosen.instance}; "
                    "check that it runs"
                )
            return

    async def _finish(self, chosen, claim, substitutes):
        """Wait until the promotion took effect, publish it and resume the copies.

        Raise `SuccessorFailedError` if the chosen copy fails and there is a substitute.
        """
        deadline_ms = now_ms() + CLAIM_TIMEOUT_MS
        control = self._node.control(chosen.instance)
        detector = FailureDetector(now_ms(), DETECTION_LIMITS)
        while control is not None:
            try:
                status = await control.status(DETECTION_PROBE_TIMEOUT_S)
                outcome = ProbeOutcome.ANSWERED
            except UpstreamUnavailableError as error:
                status = None
                outcome = probe_outcome(error)
            if status is not None and status.is_primary:
                break
            finding = detector.observe(outcome, now_ms())
            if finding.verdict is Verdict.DOWN and substitutes:
                raise SuccessorFailedError(chosen.instance, finding.reason)
            if now_ms() > deadline_ms:
                raise UpstreamUnavailableError(
                    f"{chosen.instance} was promoted but is not the primary yet"
                )
            await anyio.sleep(POLL_INTERVAL_S)
        if control is None:
            raise UpstreamUnavailableError(f"{chosen.instance} is no longer registered")
        state = claim._replace(
            primary=chosen.instance, term=status.term, phase=Phase.ACTIVE
        )
        await self._publish(state)
        await self._resume(chosen.instance)

    async def _publish(self, state):
        """Write the new state; after a failed write, check whether it was stored."""
        for _ in range(PUBLISH_ATTEMPTS):
            self._require_current_era(state)
            try:
                await self._node.write_state(state)
                return
            except StoreError:
                known = await self._read_back()
                if known is not None and known.nonce != state.nonce:
                    raise
                if known is not None and known.phase is Phase.ACTIVE:
                    return
                if known is not None:
                    state = state._replace(version=known.version)
        raise ClaimLostError(
            f"term {state.term} could not be published; check the store"
        )

    async def _read_back(self):
        try:
            return await self._node.read_state(self._service)
        except StoreError as error:
            self._node.log.log_decision(
                "state_unreadable", service=self._service, reason=str(error)
            )
            await anyio.sleep(POLL_INTERVAL_S)
            return None

    async def _resume(self, primary):
        async with anyio.create_task_group() as tasks:
            for copy in self._node.catalog.copies(self._service):
                if copy.instance != primary:
                    tasks.start_soon(
                        self._send_command, copy, self._node.codec.resume, []
                    )


async def _sleep_past_lease(since_ms):
    """Wait until every lease that was requested before a given time has expired."""
    wait_ms = since_ms + PRIMARY_LEASE_MS + LEASE_MARGIN_MS - now_ms()
    await anyio.sleep(max(0, wait_ms) / 1_000)
