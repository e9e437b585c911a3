"""Keep the proof that a service's primary leads, and notice when it is down."""

import anyio

from bronzescale_core.catalog import presumed_primary
from bronzescale_core.detection import (
    DetectionLimits,
    FailureDetector,
    Finding,
    ProbeOutcome,
    Verdict,
)
from bronzescale_core.groups import Phase
from bronzescale_core.primary_lease import (
    LEASE_RENEWAL_INTERVAL_MS,
    PRIMARY_LEASE_MS,
    HeadSample,
    PrimaryLease,
    copies_confirm_primary,
)
from bronzescale_proxy import wire
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import (
    PeerUnavailableError,
    StoreUnavailableError,
    UpstreamUnavailableError,
)
from bronzescale_proxy.fleet.control import probe_outcome

# A monitor goes on probing this long after its last use.
USE_LASTS_MS = 3_000
# Half of the lease: the store is asked when the copies alone have not proved it.
STORE_PROOF_AFTER_MS = PRIMARY_LEASE_MS // 2
# The owner of a primary probes it this often unless statements show that it lives.
WATCH_INTERVAL_MS = 350
# Other watchers only need to notice a primary that was lost together with its owner.
FAR_WATCH_INTERVAL_MS = 1_000
# An owner in another region answers within 130 ms, its probe of the primary included.
HEAD_TIMEOUT_S = 0.4
# Longer than the way to another region and back, several times over.
DETECTION_PROBE_S = 0.3
# A doubted primary is asked once more for a watcher that wants evidence.
EVIDENCE_PROBE_S = 0.25
# A node that neither serves nor watches a primary looks this often whether it should;
# the membership takes several times as long to notice that another node is gone.
UNUSED_CHECK_S = 0.3
# A waiter looks this often whether the primary it waits for is still believed in.
REQUIRE_CHECK_MS = 50
# The least pause between rounds of questions, when one took as long as its interval.
MIN_PROOF_PAUSE_MS = 20
# From the claim on: the wait for the lease, a promotion, and its publication.
CHANGE_TAKES_MS = PRIMARY_LEASE_MS + 800
# How soon a silence or the end of a doubt is noticed.
WATCH_CHECK_S = 0.05
# A busy database answers BUSY at once, so that silence of three probes is no load.
DETECTION = DetectionLimits(
    refused_streak=3, refused_span_ms=400, silent_streak=3, silent_span_ms=1_000
)


class PrimaryMonitor:
    """Knowledge of one service's primary at one node.

    Parameters
    ----------
    node : FleetNode
        What this node knows.
    service : str
        Name of the service.
    """

    def __init__(self, node, service):
        self._node = node
        self.service = service
        self.lease = PrimaryLease()
        self.detector = FailureDetector(now_ms(), DETECTION)
        self._detected = ""
        self._used_at_ms = 0
        self._use_began = anyio.Event()
        self._proved = anyio.Event()
        self._head_lock = anyio.Lock()
        self._term = 0
        self._answered_at_ms = 0
        self._change_since_ms = 0

    @property
    def primary(self):
        """Return the id of the believed primary or None."""
        return presumed_primary(
            self._node.catalog.copies(self.service), self._node.state(self.service)
        )

    def record_change_start(self):
        """Remember when a change of primary began, as far as this node knows."""
        self._change_since_ms = now_ms()

    def change_ends_ms(self):
        """Return when a change that is under way should be over, or None.

        None too for one that takes longer than usual, whose end nobody knows.
        """
        state = self._node.state(self.service)
        if state is None or state.phase is Phase.ACTIVE:
            return None
        ends_ms = self._change_since_ms + CHANGE_TAKES_MS
        return ends_ms if ends_ms > now_ms() else None

    def use(self):
        """Keep the proof fresh for a while."""
        self._used_at_ms = now_ms()
        self._use_began.set()

    def finding(self):
        """Return this node's verdict on the primary."""
        if self._detected != self.primary:
            return Finding(Verdict.ALIVE, "not probed yet")
        return self.detector.finding(now_ms())

    async def require(self, instance, until_ms):
        """Wait until a database provably leads.

        Parameters
        ----------
        instance : str
            The database.
        until_ms : int
            When to give up.

        Returns
        -------
        bool
            Whether it is proven.
        """
        self.use()
        while not self.lease.is_held_by(instance, now_ms()):
            remaining_ms = until_ms - now_ms()
            if remaining_ms <= 0 or self.primary not in (instance, None):
                return False
            event = self._proved
            with anyio.move_on_after(min(remaining_ms, REQUIRE_CHECK_MS) / 1_000):
                await event.wait()
        return True

    async def head_since(self, since_ms):
        """Return a head valid since a moment, asking the primary's owner if need be.

        Parameters
        ----------
        since_ms : int
            Every commit acknowledged before this moment must be covered.

        Returns
        -------
        HeadSample or None
        """
        sample = self.lease.head_since(since_ms)
        if sample is not None:
            return sample
        async with self._head_lock:
            sample = self.lease.head_since(since_ms)
            if sample is None:
                await self._fetch_head()
                sample = self.lease.head_since(since_ms)
        return sample

    async def _fetch_head(self):
        asked_at_ms = now_ms()
        for owner in self._node.owners_of(self.primary):
            try:
                head = await self._ask_head(owner)
            except PeerUnavailableError as error:
                self._node.log.log_decision(
                    "head_unknown", service=self.service, reason=str(error)
                )
                continue
            if head is not None:
                self.lease.add_sample(HeadSample(head, asked_at_ms))
                return

    async def _ask_head(self, owner):
        deadline_ms = now_ms() + int(HEAD_TIMEOUT_S * 1_000)
        if owner is None:
            return await self.fresh_head(deadline_ms)
        request = wire.HeadRequest(self.service, deadline_ms)
        reply = await self._node.peers.ask(owner, request, HEAD_TIMEOUT_S)
        return reply.position if isinstance(reply, wire.HeadReply) else None

    async def fresh_head(self, deadline_ms):
        """Return a head of the primary sampled after this call, or None."""
        primary = self.primary
        asked_at_ms = now_ms()
        if primary is None or not await self.require(primary, deadline_ms):
            return None
        newest = self.lease.newest()
        if newest is not None and newest.valid_at_ms >= asked_at_ms:
            return newest.position
        control = self._node.control(primary)
        if control is None:
            return None
        sent_at_ms = now_ms()
        try:
            status = await control.status()
        except UpstreamUnavailableError as error:
            self._node.log.log_decision(
                "head_unknown", service=self.service, reason=str(error)
            )
            return None
        if not status.is_primary:
            return None
        self._take_status(primary, status, sent_at_ms)
        is_proven = await self.require(primary, deadline_ms)
        return status.received if is_proven else None

    # Probing

    def record_answer(self, instance):
        """Take an answer to a statement as a sign of the primary's life."""
        if instance == self._detected:
            self._answered_at_ms = now_ms()

    async def run(self):
        """Prove and probe while this node serves or watches the primary."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_proof)
            tasks.start_soon(self._keep_watch)

    def _owns_primary(self):
        return self.primary is not None and self._node.is_first(self.primary)

    async def _keep_proof(self):
        while True:
            primary = self.primary
            is_used = now_ms() - self._used_at_ms < USE_LASTS_MS
            if primary is None or not (is_used or self._owns_primary()):
                await self._rest_until_used()
                continue
            started_at_ms = now_ms()
            await self._prove(primary)
            left_ms = LEASE_RENEWAL_INTERVAL_MS - (now_ms() - started_at_ms)
            await anyio.sleep(max(MIN_PROOF_PAUSE_MS, left_ms) / 1_000)

    async def _rest_until_used(self):
        self._use_began = anyio.Event()
        with anyio.move_on_after(UNUSED_CHECK_S):
            await self._use_began.wait()

    async def _keep_watch(self):
        while True:
            primary = self.primary
            if primary is None or not self._node.watches(self.service):
                await anyio.sleep(UNUSED_CHECK_S)
                continue
            if self._detected != primary:
                self._detected = primary
                self._answered_at_ms = now_ms()
                self.detector = FailureDetector(now_ms(), DETECTION)
            is_near = self._owns_primary()
            rest_ms = WATCH_INTERVAL_MS if is_near else FAR_WATCH_INTERVAL_MS
            is_doubted = self.detector.finding(now_ms()).verdict is not Verdict.ALIVE
            if is_doubted or now_ms() - self._answered_at_ms >= rest_ms:
                await self._probe_primary(primary)
            else:
                self.detector.observe(ProbeOutcome.ANSWERED, self._answered_at_ms)
            await anyio.sleep(WATCH_CHECK_S)

    async def probe_now(self):
        """Return this node's verdict from a probe made for the asker."""
        primary = self.primary
        if primary is None:
            return Verdict.SUSPECT
        control = self._node.control(primary)
        if control is None:
            return Verdict.DOWN
        try:
            await control.status(EVIDENCE_PROBE_S)
        except UpstreamUnavailableError as error:
            is_alive = probe_outcome(error) is ProbeOutcome.ANSWERED
            return Verdict.ALIVE if is_alive else Verdict.DOWN
        return Verdict.ALIVE

    async def _probe_primary(self, primary):
        control = self._node.control(primary)
        if control is None:
            return
        sent_at_ms = now_ms()
        try:
            status = await control.status(DETECTION_PROBE_S)
        except UpstreamUnavailableError as error:
            before = self.detector.finding(now_ms()).verdict
            finding = self.detector.observe(probe_outcome(error), now_ms())
            if finding.verdict is not before:
                self._node.log.log_state_change(
                    "primary_doubted",
                    service=self.service,
                    primary=primary,
                    verdict=finding.verdict.value,
                    reason=finding.reason,
                    error=str(error),
                )
            return
        self.detector.observe(ProbeOutcome.ANSWERED, now_ms())
        self._answered_at_ms = now_ms()
        self._take_status(primary, status, sent_at_ms)

    def _take_status(self, primary, status, sent_at_ms):
        self._term = max(self._term, status.term)
        if status.is_primary:
            self.lease.record_position(primary, status.received, sent_at_ms)

    async def _prove(self, primary):
        asked_at_ms = now_ms()
        others = [
            copy.instance
            for copy in self._node.catalog.copies(self.service)
            if copy.instance != primary
        ]
        statuses = {}
        with anyio.move_on_after(STORE_PROOF_AFTER_MS / 1_000):
            async with anyio.create_task_group() as tasks:
                for instance in others:
                    tasks.start_soon(self._ask, instance, statuses)
        self._release_left_over(statuses)
        answers = [statuses.get(instance) for instance in others]
        term = self._known_term(primary)
        if term and self.primary == primary and copies_confirm_primary(term, answers):
            self._take_proof(primary, term, asked_at_ms)
            return
        proof = self.lease.proof
        is_fresh = (
            proof is not None
            and proof.upstream == primary
            and now_ms() - proof.asked_at_ms < STORE_PROOF_AFTER_MS
        )
        if not is_fresh:
            await self._prove_by_store(primary)

    def _release_left_over(self, statuses):
        """Resume copies whose pause has outlived its change; its driver missed them.

        A paused copy receives nothing, so it falls behind for good and proves no lead.
        """
        state = self._node.state(self.service)
        is_over = state is not None and state.phase is Phase.ACTIVE
        if not is_over or not self._owns_primary():
            return
        for instance, status in statuses.items():
            if 0 < status.held_term <= state.fenced_term:
                self._node.tasks.start_soon(self._resume, instance, status.held_term)

    async def _resume(self, instance, term):
        control = self._node.control(instance)
        if control is None:
            return
        failure = ""
        try:
            await control.order(self._node.codec.resume)
        except UpstreamUnavailableError as error:
            failure = str(error)
        self._node.log.log_state_change(
            "pause_left_over",
            service=self.service,
            upstream=instance,
            term=term,
            is_resumed=not failure,
            reason=failure,
        )

    def _known_term(self, primary):
        """Return the term of the primary as far as it is known for certain."""
        state = self._node.state(self.service)
        if state is not None:
            is_its = state.primary == primary and state.phase is Phase.ACTIVE
            return state.term if is_its else 0
        return self._term

    async def _ask(self, instance, statuses):
        control = self._node.control(instance)
        if control is None:
            return
        try:
            statuses[instance] = await control.status()
        except UpstreamUnavailableError as error:
            self._node.log.log_decision(
                "copy_unanswering",
                service=self.service,
                upstream=instance,
                reason=str(error),
            )

    async def _prove_by_store(self, primary):
        asked_at_ms = now_ms()
        try:
            state = await self._node.read_state(self.service)
        except StoreUnavailableError as error:
            self._node.log.log_decision(
                "lead_unproven",
                service=self.service,
                primary=primary,
                reason=str(error),
            )
            return
        known = self.lease.proof
        same_term = known.term if known and known.upstream == primary else 0
        if state is None:
            if self.primary == primary:
                self._take_proof(primary, same_term, asked_at_ms)
        elif state.phase is Phase.ACTIVE and state.primary == primary:
            self._take_proof(primary, max(same_term, state.term), asked_at_ms)

    def _take_proof(self, primary, term, asked_at_ms):
        state = self._node.state(self.service)
        if state is not None and state.phase is not Phase.ACTIVE:
            return
        self.lease.renew(primary, term, asked_at_ms)
        self._proved.set()
        self._proved = anyio.Event()
