"""Replace a primary that is down, gone or leaving; one driver for each term.

The driver claims the next term in the store, pauses the copies, waits until no proof
of the old term can be in force, orders the promotion and publishes the new primary.
Any node finishes a change that its driver left open.
"""

import anyio

from bronzescale_core.detection import Verdict
from bronzescale_core.groups import GroupState, Phase
from bronzescale_core.primary_lease import LEASE_MARGIN_MS, PRIMARY_LEASE_MS
from bronzescale_core.succession import (
    Candidate,
    Cause,
    Trigger,
    choose_successor,
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

# A small part of the silence that a primary is given before it counts as down.
CHECK_INTERVAL_S = 0.1
# A node that does not watch the service only looks whether it should.
IDLE_CHECK_S = 0.3
# A probe at the other watcher and the way there and back.
EVIDENCE_TIMEOUT_S = 0.4
# Each further watcher waits this much longer, so that the first usually acts alone.
RANK_DELAY_MS = 350
# A node that the store turns away lets the others act first.
STORE_LOST_DELAY_MS = 1_000
# A driver gives up its claim after this time; others take over later than that.
CLAIM_LASTS_MS = 3_000
TAKEOVER_AFTER_MS = 4_500
# An order that has not been answered by then is dropped with its connection.
ORDER_TIMEOUT_S = 0.8
# As long as a lease, which a failed change has often waited for in vain.
RETRY_AFTER_MS = 700
# Databases that start together have all announced themselves by then.
LEADERLESS_MS = 5_000
# Replicas apply within 100 ms when they are well; a late one is not waited for.
CATCH_UP_MS = 800
# A tenth of what a promotion takes.
POLL_S = 0.04
# One lost answer is made good by asking again; a second loss counts as silence.
ORDER_TRIES = 2
# The store may lose some answers; by then the claim is about to end.
PUBLISH_TRIES = 4


class ClaimLostError(StoreError):
    """The claim is too old to act on, or another node has claimed since."""


class Promoter:
    """Drive changes of primary for one service.

    Parameters
    ----------
    node : FleetNode
        What this node knows.
    orders : object
        Gives the platform's orders to promote.
    service : str
        Name of the service.
    """

    def __init__(self, node, orders, service):
        self._node = node
        self._orders = orders
        self._service = service
        self._monitor = node.primary_monitor(service)
        self._retry_at_ms = 0
        self._cause_since_ms = None
        self._open_since = (0, 0)
        self._last_primary = ""
        self._leaderless_since_ms = None

    async def run(self):
        """Run until cancelled."""
        while True:
            is_watching = self._node.watches(self._service)
            await anyio.sleep(CHECK_INTERVAL_S if is_watching else IDLE_CHECK_S)
            if self._node.is_stopping:
                continue
            trigger = self._trigger()
            if trigger is None:
                self._cause_since_ms = None
                continue
            if not self._is_due(trigger):
                continue
            await self._attempt(trigger)

    # Triggers

    def _trigger(self):
        node = self._node
        if not node.watches(self._service):
            return None
        state = node.state(self._service)
        copies = node.catalog.copies(self._service)
        if not copies:
            return None
        if state is not None and state.phase is not Phase.ACTIVE:
            return self._open_trigger(state)
        primary = self._monitor.primary
        if primary is None:
            return self._leaderless_trigger()
        self._leaderless_since_ms = None
        self._last_primary = primary
        copy = node.catalog.find(primary)
        if copy is None:
            return Trigger(Cause.GONE, primary, "its entry is gone")
        if copy.is_leaving:
            return Trigger(Cause.LEAVING, primary, "it is leaving")
        finding = self._monitor.finding()
        if finding.verdict is Verdict.DOWN:
            return Trigger(Cause.DOWN, primary, finding.reason)
        return None

    def _leaderless_trigger(self):
        """Return a trigger if no entry names a primary and none was ever agreed.

        While databases start, the primary's entry may come after the others'.
        """
        if self._last_primary:
            return Trigger(Cause.GONE, self._last_primary, "its entry is gone")
        if self._leaderless_since_ms is None:
            self._leaderless_since_ms = now_ms()
        if now_ms() - self._leaderless_since_ms < LEADERLESS_MS:
            return None
        return Trigger(Cause.GONE, "", "no database says that it leads")

    def _open_trigger(self, state):
        """Return a trigger for a change that its driver left open."""
        version, since_ms = self._open_since
        if version != state.version:
            self._open_since = (state.version, now_ms())
            return None
        if now_ms() - since_ms < TAKEOVER_AFTER_MS:
            return None
        reason = f"{state.writer} left term {state.term} open"
        return Trigger(Cause.LEFT_OPEN, state.primary, reason)

    def _is_due(self, trigger):
        if self._cause_since_ms is None:
            self._cause_since_ms = now_ms()
        delay_ms = self._node.watch_rank(self._service) * RANK_DELAY_MS
        if not self._node.is_store_answering:
            delay_ms += STORE_LOST_DELAY_MS
        due_ms = max(self._cause_since_ms + delay_ms, self._retry_at_ms)
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
        try:
            await self._change(trigger)
        except (StoreError, UpstreamUnavailableError) as error:
            log.log_state_change(
                "change_failed", service=self._service, reason=str(error)
            )
        self._cause_since_ms = None
        self._retry_at_ms = now_ms() + RETRY_AFTER_MS

    async def _is_confirmed(self, trigger):
        """Ask the other watchers; one of another zone must doubt the primary too."""
        own = self._node.settings
        others = [
            node for node in self._node.watchers(self._service) if node.name != own.node
        ]
        replies = []
        async with anyio.create_task_group() as tasks:
            for node in others:
                tasks.start_soon(self._ask_evidence, node, replies)
        is_alive = any(r.verdict == Verdict.ALIVE.value for r in replies)
        doubts = {r.zone for r in replies if r.verdict != Verdict.ALIVE.value}
        is_confirmed = not is_alive and bool(doubts - {own.zone})
        self._node.log.log_state_change(
            "evidence",
            service=self._service,
            primary=trigger.primary,
            is_confirmed=is_confirmed,
            replies={r.node: r.verdict for r in replies},
        )
        return is_confirmed

    async def _ask_evidence(self, node, replies):
        request = wire.EvidenceRequest(self._service, 0)
        try:
            reply = await self._node.peers.ask(node, request, EVIDENCE_TIMEOUT_S)
        except PeerUnavailableError as error:
            self._node.log.log_decision(
                "evidence_missing", peer=node.name, reason=str(error)
            )
            return
        if isinstance(reply, wire.EvidenceReply) and reply.verdict:
            replies.append(reply)

    # The change itself

    async def _change(self, trigger):
        # A primary that is down would only hold the survey up.
        is_down = trigger.cause is Cause.DOWN
        candidates = await self._survey(trigger.primary if is_down else "")
        if not any(c.instance != trigger.primary for c in candidates):
            raise UpstreamUnavailableError("no copy that could take over answers")
        # Counted from before the write, as others count from when they see it.
        expires_ms = now_ms() + CLAIM_LASTS_MS
        claim = await self._claim(trigger, candidates)
        if trigger.cause is Cause.LEAVING:
            await self._catch_up(trigger.primary, claim.term)
        paused = await self._fence(trigger.primary, claim.term)
        fenced_at_ms = now_ms()
        leading = [c for c in candidates if c.status.is_primary]
        chosen = choose_successor(paused + leading, trigger)
        if chosen is None:
            raise UpstreamUnavailableError("no copy could be paused")
        await _sleep_past_lease(fenced_at_ms)
        if chosen in paused:
            await self._keep_paused(chosen, claim.term, expires_ms)
        await self._order(chosen, claim, expires_ms)
        await self._finish(chosen, claim)

    async def _survey(self, left_out=""):
        """Return what every copy that answers says of itself, but for one."""
        found = []
        async with anyio.create_task_group() as tasks:
            for copy in self._node.catalog.copies(self._service):
                if copy.instance == left_out:
                    continue
                tasks.start_soon(self._order_copy, copy, self._node.codec.status, found)
        return found

    async def _order_copy(self, copy, text, found):
        control = self._node.control(copy.instance)
        if control is None:
            return
        for _ in range(ORDER_TRIES):
            try:
                status = await control.order(text)
            except UpstreamUnavailableError as error:
                self._node.log.log_decision(
                    "copy_unanswering",
                    service=self._service,
                    upstream=copy.instance,
                    order=text,
                    reason=str(error),
                )
                continue
            found.append(Candidate(copy.instance, copy.zone, copy.is_leaving, status))
            return

    async def _claim(self, trigger, candidates):
        known = self._node.state(self._service)
        is_open = known is not None and known.phase is not Phase.ACTIVE
        if is_open and trigger.cause is not Cause.LEFT_OPEN:
            raise ClaimLostError(f"{known.writer} has claimed term {known.term}")
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
        )
        self._monitor.lease.revoke()
        try:
            return await self._node.write_state(claim)
        except StoreConflictError:
            raise
        except StoreError:
            known = await self._read_back()
            if known is None or known.nonce != claim.nonce:
                raise
            return known

    async def _catch_up(self, primary, term):
        """End the old primary's lead and wait until a copy holds its whole log."""
        copy = self._node.catalog.find(primary)
        if copy is None:
            return
        ended = []
        await self._order_copy(copy, self._node.codec.step_down(term), ended)
        deadline_ms = now_ms() + CATCH_UP_MS
        while ended and now_ms() < deadline_ms:
            found = [c for c in await self._survey() if c.instance != primary]
            staying = [c for c in found if not c.is_leaving] or found
            if any(c.status.received >= ended[0].status.received for c in staying):
                return
            await anyio.sleep(POLL_S)

    async def _fence(self, primary, term):
        """Pause the copies and end the old primary's lead where it can be reached.

        The lease bounds what a primary that is out of reach may still do, so that
        nobody waits for its answer.
        """
        codec = self._node.codec
        paused = []
        async with anyio.create_task_group() as tasks:
            for copy in self._node.catalog.copies(self._service):
                if copy.instance == primary:
                    step_down = codec.step_down(term)
                    self._node.tasks.start_soon(self._order_copy, copy, step_down, [])
                else:
                    tasks.start_soon(self._order_copy, copy, codec.pause(term), paused)
        return paused

    async def _keep_paused(self, chosen, term, expires_ms):
        """Make sure that the pause held for as long as a lease lasts.

        A copy that restarts forgets its pause, and its word could prove the old lead
        once more.
        """
        copy = self._node.catalog.find(chosen.instance)
        while copy is not None and now_ms() < expires_ms:
            answers = []
            await self._order_copy(copy, self._node.codec.status, answers)
            if answers and answers[0].status.held_term >= term:
                return
            self._node.log.log_state_change(
                "pause_forgotten",
                service=self._service,
                upstream=chosen.instance,
                term=term,
                is_answering=bool(answers),
            )
            await self._order_copy(copy, self._node.codec.pause(term), [])
            await _sleep_past_lease(now_ms())
        raise UpstreamUnavailableError(f"{chosen.instance} does not stay paused")

    async def _order(self, chosen, claim, expires_ms):
        """Order the promotion while the claim is certainly this node's."""
        while True:
            remaining_ms = expires_ms - now_ms()
            known = self._node.state(self._service)
            if remaining_ms <= 0 or known.version != claim.version:
                raise ClaimLostError(f"term {claim.term} is no longer this node's")
            timeout_s = min(ORDER_TIMEOUT_S, remaining_ms / 1_000)
            try:
                is_taken = await self._orders.promote(
                    self._service, chosen.instance, claim.version, timeout_s
                )
            except StoreError as error:
                self._node.log.log_state_change(
                    "order_unanswered", service=self._service, reason=str(error)
                )
                await anyio.sleep(POLL_S)
                continue
            self._node.log.log_state_change(
                "promotion_ordered",
                service=self._service,
                upstream=chosen.instance,
                token=claim.version,
                received=str(chosen.status.received),
                is_taken=is_taken,
            )
            if not is_taken:
                raise UpstreamUnavailableError(f"{chosen.instance} does not run")
            return

    async def _finish(self, chosen, claim):
        """Publish the new primary once it leads, and let the others follow it."""
        deadline_ms = now_ms() + CLAIM_LASTS_MS
        control = self._node.control(chosen.instance)
        while control is not None:
            try:
                status = await control.status()
            except UpstreamUnavailableError:
                status = None
            if status is not None and status.is_primary:
                break
            if now_ms() > deadline_ms:
                raise UpstreamUnavailableError(f"{chosen.instance} does not lead yet")
            await anyio.sleep(POLL_S)
        if control is None:
            raise UpstreamUnavailableError(f"{chosen.instance} is gone")
        state = claim._replace(
            primary=chosen.instance, term=status.term, phase=Phase.ACTIVE
        )
        await self._publish(state)
        await self._resume(chosen.instance)

    async def _publish(self, state):
        """Write the outcome; a lost answer is settled by reading it back."""
        for _ in range(PUBLISH_TRIES):
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
        raise ClaimLostError(f"term {state.term} could not be published")

    async def _read_back(self):
        try:
            return await self._node.read_state(self._service)
        except StoreError as error:
            self._node.log.log_decision(
                "state_unreadable", service=self._service, reason=str(error)
            )
            await anyio.sleep(POLL_S)
            return None

    async def _resume(self, primary):
        async with anyio.create_task_group() as tasks:
            for copy in self._node.catalog.copies(self._service):
                if copy.instance != primary:
                    tasks.start_soon(
                        self._order_copy, copy, self._node.codec.resume, []
                    )


async def _sleep_past_lease(since_ms):
    """Wait until every proof that was asked for before a moment has lapsed."""
    wait_ms = since_ms + PRIMARY_LEASE_MS + LEASE_MARGIN_MS - now_ms()
    await anyio.sleep(max(0, wait_ms) / 1_000)
