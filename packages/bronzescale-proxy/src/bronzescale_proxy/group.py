"""Run one group at a node that owns a copy of it: watch, confirm, fail over, repair."""

import logging
import secrets
from functools import singledispatchmethod

import anyio

from bronzescale_core import failover as f
from bronzescale_core.acknowledgement import (
    ConfirmationTracker,
    Confirmed,
    Superseded,
)
from bronzescale_core.detection import Verdict
from bronzescale_core.groups import Phase, dump_group, majority
from bronzescale_core.heads import HeadTracker
from bronzescale_proxy import orders
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import (
    StoreConflictError,
    StoreUnavailableError,
    UpstreamUnavailableError,
)
from bronzescale_proxy.pool import UpstreamConnector, plan_permits
from bronzescale_proxy.watch import CopyWatch

logger = logging.getLogger("bronzescale.group")

TICK_S = 0.1
REPAIR_INTERVAL_MS = 1_000


class GroupRuntime:
    """One group as seen by a node that owns at least one of its databases.

    Parameters
    ----------
    service : Service
        The service that the group holds.
    state : GroupState
        Newest known state.
    environment : Environment
        Settings, store, trace and the ways to reach other watchers.
    """

    def __init__(self, service, state, environment):
        self.service = service
        self._environment = environment
        self._settings = environment.settings
        self._owned = set()
        self._watches = {}
        self._scopes = {}
        self._tasks = None
        names = tuple(u.name for u in service.upstreams)
        self._machine = f.FailoverMachine(
            state, names, self._settings.node, self._settings.zone, new_nonce
        )
        self._confirmations_needed = majority(len(names)) - 1
        self._heads = HeadTracker(self._confirmations_needed)
        self._active_term = state.term
        self._heads.set_term(state.term)
        self._tracker = ConfirmationTracker(self._confirmations_needed)
        self._pending = {}
        self._head_lock = anyio.Lock()
        self._repaired_at_ms = {}
        self.state_changed = anyio.Event()
        self.steps = []

    @property
    def state(self):
        """Return the newest known group state."""
        return self._machine.state

    @property
    def heads(self):
        """Return the confirmed heads of the primary."""
        return self._heads

    @property
    def step(self):
        """Return where this node's failover machine stands."""
        return self._machine.step

    @property
    def waiting_writes(self):
        """Return how many saves wait for a replica's word."""
        return self._tracker.waiting

    def watch(self, upstream):
        """Return the watch on a database, or None.

        Parameters
        ----------
        upstream : str
            Its name.

        Returns
        -------
        CopyWatch or None
        """
        return self._watches.get(upstream)

    def watches(self):
        """Return every watch.

        Returns
        -------
        list of CopyWatch
        """
        return list(self._watches.values())

    async def run(self):
        """Run until cancelled."""
        async with anyio.create_task_group() as self._tasks:
            self._arrange_watches()
            while True:
                self._drive(f.Tick())
                self._repair()
                await anyio.sleep(TICK_S)

    def set_owned(self, owned, rank):
        """Set which copies this node owns and its place among the watchers.

        Parameters
        ----------
        owned : set of str
            Names of databases.
        rank : int
            0 acts first in a failover.
        """
        self._owned = set(owned)
        self._machine.set_rank(rank)
        self._arrange_watches()

    def set_service(self, service):
        """Take a new declaration of the service.

        Parameters
        ----------
        service : Service
            The service.
        """
        known = {u.name: u.address for u in self.service.upstreams}
        self.service = service
        self._machine.set_upstreams(tuple(u.name for u in service.upstreams))
        for upstream in service.upstreams:
            if known.get(upstream.name) != upstream.address:
                self._stop_watch(upstream.name)
        self._arrange_watches()

    def observe_state(self, state):
        """Take a version of the group object.

        Parameters
        ----------
        state : GroupState
            The state.
        """
        before = self.state
        self._drive(f.GroupObserved(state))
        self._after_state(before)

    def plan_change(self, upstream, reason):
        """Begin a planned change of primary.

        Parameters
        ----------
        upstream : str
            Copy that becomes the primary.
        reason : str
            Who asked for it.
        """
        self._drive(f.PlannedChange(upstream, reason))

    def evidence(self, term):
        """Return this node's verdict on the primary of a term.

        Parameters
        ----------
        term : int
            The term that was asked about.

        Returns
        -------
        Verdict
        """
        watch = self._watches.get(self.state.primary)
        if watch is None or term != self.state.term:
            return Verdict.ALIVE
        return watch.finding().verdict

    def is_drained(self):
        """Return whether a planned change holds new saves back."""
        state = self.state
        return state.phase is Phase.FENCING and bool(state.planned_primary)

    def is_stalled(self):
        """Return whether replicas stopped confirming saves."""
        return self._tracker.is_stalled(now_ms())

    async def confirm(self, position, until_ms):
        """Wait until a save may be acknowledged.

        Parameters
        ----------
        position : Position
            Where the primary logged it.
        until_ms : int
            When to stop waiting.

        Returns
        -------
        Confirmed, Superseded or None
            None when the time ran out.
        """
        write_id, is_confirmed = self._tracker.add(position, now_ms())
        if is_confirmed:
            return Confirmed(write_id)
        event = anyio.Event()
        self._pending[write_id] = event
        try:
            with anyio.move_on_after(max(0, until_ms - now_ms()) / 1_000):
                await event.wait()
        finally:
            outcome = self._pending.pop(write_id)
            if outcome is event:
                self._tracker.abandon(write_id)
        return None if outcome is event else outcome

    async def confirmed_head(self, since_ms, until_ms):
        """Return a head sampled after a moment, asking the copies if need be.

        Parameters
        ----------
        since_ms : int
            The sample must hold at this moment or later.
        until_ms : int
            When to stop trying.

        Returns
        -------
        HeadSample or None
        """
        while True:
            head = self._heads.newest()
            if head is not None and head.valid_at_ms >= since_ms:
                return head
            if now_ms() >= until_ms:
                return None
            async with self._head_lock:
                head = self._heads.newest()
                if head is None or head.valid_at_ms < since_ms:
                    await self._ask_copies(until_ms)
            await anyio.sleep(0.01)

    async def _ask_copies(self, until_ms):
        """Ask the primary and as many replicas as a confirmation needs."""

        async def ask(watch):
            try:
                await watch.ask()
            except UpstreamUnavailableError:
                return
            if self._heads.confirmed_at_ms() is not None:
                head = self._heads.newest()
                if head is not None and head.valid_at_ms >= asked_at_ms:
                    tasks.cancel_scope.cancel()

        asked_at_ms = now_ms()
        with anyio.move_on_after(max(0, until_ms - asked_at_ms) / 1_000):
            async with anyio.create_task_group() as tasks:
                for watch in self._watches.values():
                    tasks.start_soon(ask, watch)

    def _arrange_watches(self):
        if self._tasks is None:
            return
        primary = self.state.primary
        is_owner_of_primary = primary in self._owned
        wanted = {u.name for u in self.service.upstreams}
        if not is_owner_of_primary:
            wanted = {name for name in wanted if name == primary or name in self._owned}
        if not self._owned:
            wanted = set()
        for name in set(self._watches) - wanted:
            self._stop_watch(name)
        for upstream in self.service.upstreams:
            if upstream.name in wanted and upstream.name not in self._watches:
                self._start_watch(upstream)

    def _start_watch(self, upstream):
        watch = CopyWatch(
            upstream,
            self.connector(upstream),
            plan_permits(upstream.max_connections).control,
            self._on_report,
            self._on_finding,
            lambda: self._tracker.waiting > 0,
            lambda: upstream.name == self.state.primary,
            self._environment.give_up_silent,
        )
        scope = anyio.CancelScope()
        self._watches[upstream.name] = watch
        self._scopes[upstream.name] = scope

        async def run_watch():
            with scope:
                await watch.run()

        self._tasks.start_soon(run_watch)

    def _stop_watch(self, name):
        self._watches.pop(name, None)
        scope = self._scopes.pop(name, None)
        if scope is not None:
            scope.cancel()

    def connector(self, upstream):
        """Return an opener of connections to a database.

        Parameters
        ----------
        upstream : Upstream
            The database.

        Returns
        -------
        UpstreamConnector
        """
        return UpstreamConnector(upstream, self._settings)

    def _on_report(self, report):
        is_primary = report.upstream == self.state.primary
        self._heads.report(report, is_primary)
        if is_primary:
            return
        for decision in self._tracker.report(report):
            self._complete_write(decision)

    def _complete_write(self, decision):
        event = self._pending.get(decision.write_id)
        if event is not None:
            self._pending[decision.write_id] = decision
            event.set()

    def _on_finding(self, name, finding):
        if name == self.state.primary:
            self._drive(f.PrimaryFinding(finding.verdict, finding.reason))

    def _drive(self, event):
        before = self.state
        at_ms = now_ms()
        actions = self._machine.handle(event, at_ms)
        self._environment.trace(self.service.name, event, actions, at_ms)
        for action in actions:
            self._carry_out(action)
        if not isinstance(event, f.GroupObserved):
            self._after_state(before)

    def _after_state(self, before):
        after = self.state
        if after.version == before.version:
            return
        # While a term is only claimed, saves of the one before may still be confirmed.
        if after.phase is Phase.ACTIVE and after.term != self._active_term:
            self._active_term = after.term
            self._heads.set_term(after.term)
            self._supersede_writes(after.term)
            self._arrange_watches()
        self.state_changed.set()
        self.state_changed = anyio.Event()

    def _supersede_writes(self, term):
        """Answer the saves that wait for a word under an earlier term."""
        self._tracker = ConfirmationTracker(self._confirmations_needed)
        for write_id, event in list(self._pending.items()):
            if not isinstance(event, anyio.Event):
                continue
            self._complete_write(Superseded(write_id, term))

    @singledispatchmethod
    def _carry_out(self, action):
        raise TypeError(f"no way to carry out {type(action).__name__}")

    @_carry_out.register
    def _(self, action: f.NoteStep):
        self.steps = [*self.steps[-63:], (now_ms(), action)]
        logger.info("group: %s %s: %s.", action.service, action.step.value, action.text)

    @_carry_out.register
    def _(self, action: f.AskEvidence):
        self._tasks.start_soon(self._ask_evidence, action)

    @_carry_out.register
    def _(self, action: f.WriteGroup):
        self._tasks.start_soon(self._write_group, action)

    @_carry_out.register
    def _(self, action: f.FenceCopy):
        self._tasks.start_soon(self._fence, action)

    @_carry_out.register
    def _(self, action: f.AwaitCopy):
        self._tasks.start_soon(self._await_copy, action)

    @_carry_out.register
    def _(self, action: f.PromoteCopy):
        self._tasks.start_soon(self._promote, action)

    @_carry_out.register
    def _(self, action: f.FollowCopy):
        self._tasks.start_soon(self._follow, action)

    @_carry_out.register
    def _(self, action: f.PublishGroup):
        self._environment.publish(action.state)

    async def _ask_evidence(self, action):
        def on_answer(node, zone, verdict):
            self._drive(f.EvidenceReceived(node, zone, action.term, verdict))

        await self._environment.ask_evidence(self.service, action.term, on_answer)

    async def _write_group(self, action):
        nonce = action.state.nonce
        store = self._environment.store
        try:
            version = await store.update(
                "group", self.service.name, dump_group(action.state), action.if_version
            )
            self._drive(f.ClaimWritten(nonce, version))
        except StoreConflictError as error:
            await self._settle_write(nonce, str(error))
        except StoreUnavailableError as error:
            await self._settle_write(nonce, str(error))

    async def _settle_write(self, nonce, reason):
        """Learn whether a write took effect by reading its nonce back."""
        try:
            found = await self._environment.store.read("group", self.service.name)
        except StoreUnavailableError as error:
            self._drive(f.ClaimFailed(nonce, str(error)))
            return
        if found is not None and found.value.get("nonce") == nonce:
            logger.info("group: %s write settled by its nonce.", self.service.name)
            self._drive(f.ClaimWritten(nonce, found.version))
            return
        self._drive(f.ClaimFailed(nonce, reason))
        if found is not None:
            self._environment.apply_object(found)

    def _upstream(self, name):
        return next(u for u in self.service.upstreams if u.name == name)

    async def _order(self, action, sql):
        upstream = self._upstream(action.upstream)
        try:
            return await orders.order(self.connector(upstream), upstream.name, sql)
        except UpstreamUnavailableError as error:
            self._drive(f.CopyFailed(upstream.name, action.term, str(error)))
            return None

    async def _fence(self, action):
        report = await self._order(action, orders.fence_sql(action.term))
        if report is not None:
            self._drive(f.CopyFenced(report))

    async def _await_copy(self, action):
        while self._machine.step is f.Step.CATCH_UP:
            report = await self._order(action, "CALL bronzescale.status()")
            if report is None:
                return
            if report.received >= action.offset:
                self._drive(f.CopyCaughtUp(action.upstream, action.term))
                return
            await anyio.sleep(0.02)

    async def _promote(self, action):
        report = await self._order(action, orders.promote_sql(action.term))
        if report is not None:
            self._drive(f.CopyPromoted(report, report.received - 1))

    async def _follow(self, action):
        upstream = self._upstream(action.upstream)
        sql = orders.follow_sql(action.term, action.primary)
        try:
            await orders.order(self.connector(upstream), upstream.name, sql)
        except UpstreamUnavailableError as error:
            logger.info("group: %s does not follow yet: %s.", upstream.name, error)

    def _repair(self):
        """Make a copy that this node owns follow the primary in force."""
        state = self.state
        if state.phase is not Phase.ACTIVE or self._machine.step is not f.Step.IDLE:
            return
        for name in self._owned:
            watch = self._watches.get(name)
            if watch is None or watch.report is None or name == state.primary:
                continue
            report = watch.report
            is_strayed = report.role != "replica" or report.promised_term < state.term
            last_ms = self._repaired_at_ms.get(name, 0)
            if is_strayed and now_ms() - last_ms >= REPAIR_INTERVAL_MS:
                self._repaired_at_ms[name] = now_ms()
                logger.info("group: %s rejoins under term %d.", name, state.term)
                self._tasks.start_soon(
                    self._follow, f.FollowCopy(name, state.term, state.primary)
                )


def new_nonce():
    """Return a random mark for one write.

    Returns
    -------
    str
    """
    return secrets.token_hex(8)
