"""Renew the lease of a service's primary and detect its failure.

A node uses a database as the primary only while the database holds an unexpired lease.
Each node renews the lease for itself: it asks the other copies whether a change of
primary is under way or, if that does not settle it, reads the group's state from the
store. Independently of the lease, the monitoring nodes of the service probe the primary
and judge whether it is down.
"""

import anyio

from bronzescale_core.catalog import presumed_primary
from bronzescale_core.detection import (
    DetectionLimits,
    FailureDetector,
    Finding,
    ProbeOutcome,
    Verdict,
)
from bronzescale_core.groups import GroupState, Phase
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
    StoreError,
    StoreUnavailableError,
    UpstreamUnavailableError,
)
from bronzescale_proxy.fleet.control import probe_outcome

# Time after the last use when a node other than the owner stops renewing the lease;
# without it, every node would poll the copies of unused services forever.
LEASE_IDLE_TIMEOUT_MS = 3_000
# Half of the lease: limit of a round of status requests to the copies, and age of the
# newest renewal at which the store is asked because the copies did not confirm the
# primary.
STORE_RENEWAL_AFTER_MS = PRIMARY_LEASE_MS // 2
# Time without an answered statement after which the owner probes the primary.
OWNER_PROBE_INTERVAL_MS = 350
# Other monitoring nodes only need to notice a primary that fails together with its
# owner.
MONITOR_PROBE_INTERVAL_MS = 1_000
# An owner in another region answers within 130 ms, including its probe of the primary.
HEAD_TIMEOUT_S = 0.4
# Time for which a copy must report a later term than the known one before a change of
# primary that nobody published is assumed. Publishing takes a few store calls.
UNKNOWN_SUCCESSOR_AFTER_MS = 1_500
# Several times the round trip to another region.
DETECTION_PROBE_TIMEOUT_S = 0.3
# Timeout of the extra probe made when another monitoring node asks for evidence of a
# failure.
EVIDENCE_PROBE_TIMEOUT_S = 0.25
# Bounds the delay until a wait for a lease ends because the primary was replaced.
PRIMARY_CHECK_INTERVAL_MS = 50
# Shortest pause after a renewal that took its whole interval; without it, slow copies
# would be polled without a pause.
MIN_RENEWAL_PAUSE_MS = 20
# Usual time of a change of primary, from the claim of the term: the lease expires, a
# copy is promoted and the new primary is published.
FAILOVER_EXPECTED_MS = PRIMARY_LEASE_MS + 800
# Bounds the delay until a primary that stops answering is probed, and until one that
# answers again is no longer suspected.
PROBE_CHECK_INTERVAL_S = 0.05
# An overloaded database still answers BUSY at once, so three unanswered probes in a
# row mean a failure.
DETECTION_LIMITS = DetectionLimits(
    refused_streak=3, refused_span_ms=400, silent_streak=3, silent_span_ms=1_000
)


class PrimaryMonitor:
    """Lease of one service's primary, and failure detection for it, at one node.

    Parameters
    ----------
    node : FleetNode
        Shared state of this node.
    service : str
        Name of the service.
    """

    def __init__(self, node, service):
        self._node = node
        self.service = service
        self.lease = PrimaryLease()
        self.detector = FailureDetector(now_ms(), DETECTION_LIMITS)
        self._probed_primary = ""
        self._used_at_ms = 0
        self._use_started = anyio.Event()
        self.is_monitoring = False
        self._owns_primary = False
        self._role_changed = anyio.Event()
        self._lease_renewed = anyio.Event()
        self._head_lock = anyio.Lock()
        # When the newest request for a head that failed began.
        self._head_failed_at_ms = 0
        self._reported_term = 0
        self._answered_at_ms = 0
        self._change_started_at_ms = 0
        self._successor = (None, 0)
        self._is_confirming = False

    @property
    def primary(self):
        """Return the id of the presumed primary or None."""
        return presumed_primary(
            self._node.catalog.copies(self.service), self._node.state(self.service)
        )

    def update_role(self):
        """Find out whether this node monitors or owns the primary now.

        A node with neither role runs no timers for the service.
        """
        primary = self.primary
        is_monitoring = self._node.monitors_primary(self.service)
        owns = primary is not None and self._node.is_preferred_owner(primary)
        if (is_monitoring, owns) == (self.is_monitoring, self._owns_primary):
            return
        self.is_monitoring, self._owns_primary = is_monitoring, owns
        self._role_changed.set()
        self._role_changed = anyio.Event()
        self._use_started.set()

    async def wait_until_monitoring(self):
        """Wait until this node is a monitoring node of the service."""
        while not self.is_monitoring:
            await self._role_changed.wait()

    def record_change_start(self):
        """Record when this node learned that a change of primary has started."""
        self._change_started_at_ms = now_ms()

    def expected_change_end_ms(self):
        """Return when the current change of primary should be over, or None.

        Also None for a change that takes longer than expected: its end is unknown.
        """
        state = self._node.state(self.service)
        if state is None or state.phase is Phase.ACTIVE:
            return None
        ends_ms = self._change_started_at_ms + FAILOVER_EXPECTED_MS
        return ends_ms if ends_ms > now_ms() else None

    def mark_used(self):
        """Keep renewing the lease until `LEASE_IDLE_TIMEOUT_MS` after this call."""
        self._used_at_ms = now_ms()
        self._use_started.set()

    def finding(self):
        """Return this node's verdict on the primary."""
        if self._probed_primary != self.primary:
            return Finding(Verdict.ALIVE, "not probed yet")
        return self.detector.finding(now_ms())

    def unknown_successor(self):
        """Return a copy that leads a later term than the known one, or None.

        The store has lost the change that made it the primary, or its driver died
        before publishing it.
        """
        instance, since_ms = self._successor
        is_due = now_ms() - since_ms >= UNKNOWN_SUCCESSOR_AFTER_MS
        return instance if instance is not None and is_due else None

    async def wait_for_lease(self, instance, until_ms):
        """Wait until a database holds the lease as the primary.

        Parameters
        ----------
        instance : str
            The database.
        until_ms : int
            When to give up.

        Returns
        -------
        bool
            Whether it holds the lease; False as soon as another database is the
            primary.
        """
        self.mark_used()
        while not self.lease.is_held_by(instance, now_ms()):
            remaining_ms = until_ms - now_ms()
            if remaining_ms <= 0 or self.primary not in (instance, None):
                return False
            event = self._lease_renewed
            with anyio.move_on_after(
                min(remaining_ms, PRIMARY_CHECK_INTERVAL_MS) / 1_000
            ):
                await event.wait()
        return True

    async def head_since(self, since_ms):
        """Return a head valid at a given time, asking the primary's owner if needed.

        Parameters
        ----------
        since_ms : int
            The head must include every commit acknowledged before this time.

        Returns
        -------
        HeadSample or None
            None if none could be obtained.
        """
        sample = self.lease.head_since(since_ms)
        if sample is not None:
            return sample
        arrived_at_ms = now_ms()
        async with self._head_lock:
            sample = self.lease.head_since(since_ms)
            # A request that began after this read arrived and failed answers it too.
            if sample is None and self._head_failed_at_ms < arrived_at_ms:
                await self._fetch_head()
                sample = self.lease.head_since(since_ms)
        return sample

    async def _fetch_head(self):
        asked_at_ms = now_ms()
        for owner in self._node.owners_of(self.primary):
            try:
                head = await self._request_head(owner)
            except PeerUnavailableError as error:
                self._node.log.log_decision(
                    "head_unknown", service=self.service, reason=str(error)
                )
                continue
            if head is not None:
                self.lease.add_sample(HeadSample(head, asked_at_ms))
                return
        self._head_failed_at_ms = asked_at_ms

    async def _request_head(self, owner):
        deadline_ms = now_ms() + int(HEAD_TIMEOUT_S * 1_000)
        if owner is None:
            return await self.fresh_head(deadline_ms)
        request = wire.HeadRequest(self.service, deadline_ms)
        reply = await self._node.peers.request(owner, request, HEAD_TIMEOUT_S)
        return reply.position if isinstance(reply, wire.HeadReply) else None

    async def fresh_head(self, deadline_ms):
        """Return a head of the primary sampled after this call.

        The lease is checked again after the sample: a database that was replaced
        meanwhile may lack newer commits. Return None if no primary is known, it does
        not answer, or it does not hold the lease by the deadline.
        """
        primary = self.primary
        asked_at_ms = now_ms()
        if primary is None or not await self.wait_for_lease(primary, deadline_ms):
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
        self._record_status(primary, status, sent_at_ms)
        has_lease = await self.wait_for_lease(primary, deadline_ms)
        return status.received if has_lease else None

    # Renewal and failure detection

    def record_answer(self, instance):
        """Count an answer to a statement as an answered probe of the primary."""
        if instance == self._probed_primary:
            self._answered_at_ms = now_ms()

    async def run(self):
        """Renew the lease while it is used, and probe while this node monitors it."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._renew_periodically)
            tasks.start_soon(self._probe_periodically)

    async def _renew_periodically(self):
        while True:
            primary = self.primary
            is_used = now_ms() - self._used_at_ms < LEASE_IDLE_TIMEOUT_MS
            if not (is_used or self._owns_primary or self._must_confirm()):
                self._use_started = anyio.Event()
                await self._use_started.wait()
                continue
            if primary is None:
                await anyio.sleep(PRIMARY_CHECK_INTERVAL_MS / 1_000)
                continue
            started_at_ms = now_ms()
            await self._renew_lease(primary)
            remaining_ms = LEASE_RENEWAL_INTERVAL_MS - (now_ms() - started_at_ms)
            await anyio.sleep(max(MIN_RENEWAL_PAUSE_MS, remaining_ms) / 1_000)

    async def _probe_periodically(self):
        while True:
            await self.wait_until_monitoring()
            primary = self.primary
            if primary is None:
                await anyio.sleep(PROBE_CHECK_INTERVAL_S)
                continue
            if self._probed_primary != primary:
                self._probed_primary = primary
                self._answered_at_ms = now_ms()
                self.detector = FailureDetector(now_ms(), DETECTION_LIMITS)
            interval_ms = (
                OWNER_PROBE_INTERVAL_MS
                if self._owns_primary
                else MONITOR_PROBE_INTERVAL_MS
            )
            is_suspected = self.detector.finding(now_ms()).verdict is not Verdict.ALIVE
            if is_suspected or now_ms() - self._answered_at_ms >= interval_ms:
                await self._probe_primary(primary)
            else:
                self.detector.observe(ProbeOutcome.ANSWERED, self._answered_at_ms)
            await anyio.sleep(PROBE_CHECK_INTERVAL_S)

    async def probe_now(self):
        """Probe the primary now, for another node, and return the verdict.

        Without a known primary, the verdict is SUSPECT; a primary that is not
        registered counts as DOWN.
        """
        primary = self.primary
        if primary is None:
            return Verdict.SUSPECT
        control = self._node.control(primary)
        if control is None:
            return Verdict.DOWN
        try:
            await control.status(EVIDENCE_PROBE_TIMEOUT_S)
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
            status = await control.status(DETECTION_PROBE_TIMEOUT_S)
        except UpstreamUnavailableError as error:
            old_verdict = self.detector.finding(now_ms()).verdict
            finding = self.detector.observe(probe_outcome(error), now_ms())
            if finding.verdict is not old_verdict:
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
        self._record_status(primary, status, sent_at_ms)

    def _record_status(self, primary, status, sent_at_ms):
        self._reported_term = max(self._reported_term, status.term)
        if status.is_primary:
            self.lease.record_position(primary, status.received, sent_at_ms)

    async def _renew_lease(self, primary):
        asked_at_ms = now_ms()
        replicas = [
            copy.instance
            for copy in self._node.catalog.copies(self.service)
            if copy.instance != primary
        ]
        statuses = {}
        with anyio.move_on_after(STORE_RENEWAL_AFTER_MS / 1_000):
            async with anyio.create_task_group() as tasks:
                for instance in replicas:
                    tasks.start_soon(self._fetch_status, instance, statuses)
                if not self._known_term(primary):
                    tasks.start_soon(self._fetch_term, primary)
        self._resume_left_over_copies(statuses)
        replica_statuses = [statuses.get(instance) for instance in replicas]
        term = self._known_term(primary)
        self._observe_successor(term, statuses)
        if (
            term
            and self.primary == primary
            and copies_confirm_primary(term, replica_statuses)
        ):
            self._record_renewal(primary, term, asked_at_ms)
            self._confirm_state(primary, term)
            return
        renewal = self.lease.renewal
        is_fresh = (
            renewal is not None
            and renewal.upstream == primary
            and now_ms() - renewal.requested_at_ms < STORE_RENEWAL_AFTER_MS
        )
        if not is_fresh:
            await self._renew_through_store(primary)

    def _observe_successor(self, term, statuses):
        leading = [
            instance
            for instance, status in statuses.items()
            if status.is_primary and term and status.term > term
        ]
        if not leading:
            self._successor = (None, 0)
        elif self._successor[0] != leading[0]:
            self._successor = (leading[0], now_ms())

    def _must_confirm(self):
        """Return whether this node may have to write the state again."""
        is_confirmed = self._node.store.era.has_confirmed(
            self._node.state(self.service)
        )
        return not is_confirmed and self._node.owner_rank(self.primary) is not None

    def begin_confirming(self):
        """Renew the lease also while it isn't used, if the state must be confirmed."""
        self._use_started.set()

    def _confirm_state(self, primary, term):
        """Write the state again if the store's own one is from an older era.

        The owner of the primary does this, after the copies confirmed the term and
        every lost claim has expired; if it cannot, the next host in rank does. Until
        then, reading the store renews no lease.
        """
        era = self._node.store.era
        known = self._node.state(self.service)
        is_able = self._node.is_store_answering and not self._is_confirming
        rank = self._node.owner_rank(primary)
        if not is_able or not era.may_confirm(known, rank):
            return
        state = GroupState(
            service=self.service,
            term=term,
            primary=primary,
            writer=self._node.settings.node,
            nonce=f"{self._node.settings.node}:{now_ms()}",
            reason=f"confirmed in era {era.number}",
            version=known.version if known is not None else 0,
            fenced_term=known.fenced_term if known is not None else 0,
            era=era.number,
        )
        self._is_confirming = True
        self._node.tasks.start_soon(self._write_confirmed, state)

    async def _write_confirmed(self, state):
        failure = ""
        try:
            await self._node.write_state(state)
        except StoreError as error:
            failure = str(error)
            await self._read_after_failure()
        finally:
            self._is_confirming = False
        self._node.log.log_state_change(
            "state_confirmed",
            service=self.service,
            primary=state.primary,
            term=state.term,
            era=state.era,
            is_written=not failure,
            reason=failure,
        )

    async def _read_after_failure(self):
        """Learn the stored version, which the next attempt must name."""
        await anyio.sleep(STORE_RENEWAL_AFTER_MS / 1_000)
        try:
            await self._node.read_state(self.service)
        except StoreError as error:
            self._node.log.log_decision(
                "state_unreadable", service=self.service, reason=str(error)
            )

    def _resume_left_over_copies(self, statuses):
        """Resume copies that stayed paused after a change of primary has ended.

        The driver's order to resume did not reach them. A paused copy receives nothing,
        so it would fall behind for good and could not confirm the primary.
        """
        state = self._node.state(self.service)
        is_change_over = state is not None and state.phase is Phase.ACTIVE
        if not is_change_over or not self._owns_primary:
            return
        for instance, status in statuses.items():
            if 0 < status.paused_term <= state.fenced_term:
                self._node.tasks.start_soon(
                    self._resume_copy, instance, status.paused_term
                )

    async def _resume_copy(self, instance, term):
        control = self._node.control(instance)
        if control is None:
            return
        failure = ""
        try:
            await control.run_command(self._node.codec.resume)
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
        """Return the term of the primary, or 0 if it is not known for certain."""
        state = self._node.state(self.service)
        if state is not None:
            is_agreed = state.primary == primary and state.phase is Phase.ACTIVE
            return state.term if is_agreed else 0
        return self._reported_term

    async def _fetch_status(self, instance, statuses):
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

    async def _fetch_term(self, primary):
        """Ask a primary that no agreed state names for its term."""
        statuses = {}
        sent_at_ms = now_ms()
        await self._fetch_status(primary, statuses)
        if primary in statuses:
            self._record_status(primary, statuses[primary], sent_at_ms)

    async def _renew_through_store(self, primary):
        asked_at_ms = now_ms()
        try:
            state = await self._node.read_state(self.service)
            era = self._node.store.era
            if not era.has_confirmed(state):
                raise StoreUnavailableError(
                    f"the store returned from a copy, era {era.number}, and its state "
                    "of the group is not confirmed yet"
                )
        except StoreUnavailableError as error:
            self._node.log.log_decision(
                "lead_unproven",
                service=self.service,
                primary=primary,
                reason=str(error),
            )
            return
        self._renew_from_state(primary, state, asked_at_ms)

    def renew_from_listing(self, asked_at_ms):
        """Renew the lease from a list of all groups, which is as good as a read.

        After a start, the first statements need not wait for a renewal of their own.

        Parameters
        ----------
        asked_at_ms : int or None
            When the list was requested from the store; None if a peer sent the groups.
        """
        primary = self.primary
        state = self._node.state(self.service)
        if asked_at_ms is None or primary is None:
            return
        if self._node.store.era.has_confirmed(state):
            self._renew_from_state(primary, state, asked_at_ms)

    def _renew_from_state(self, primary, state, asked_at_ms):
        """Renew the lease if the store's state names the primary."""
        known = self.lease.renewal
        lease_term = known.term if known and known.upstream == primary else 0
        if state is None:
            if self.primary == primary:
                self._record_renewal(primary, lease_term, asked_at_ms)
        elif state.phase is Phase.ACTIVE and state.primary == primary:
            self._record_renewal(primary, max(lease_term, state.term), asked_at_ms)

    def _record_renewal(self, primary, term, asked_at_ms):
        state = self._node.state(self.service)
        if state is not None and state.phase is not Phase.ACTIVE:
            return
        self.lease.renew(primary, term, asked_at_ms)
        self._lease_renewed.set()
        self._lease_renewed = anyio.Event()
