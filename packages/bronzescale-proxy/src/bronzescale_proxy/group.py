"""Run one group on a node that owns at least one of its copies.

`GroupRuntime` watches the copies, confirms writes, performs the actions of the
failover machine and makes copies that do not follow the primary follow it again.
"""

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

TICK_INTERVAL_S = 0.1
REPAIR_INTERVAL_MS = 1_000


class GroupRuntime:
    """Runtime of one group on a node that owns at least one of its databases.

    Parameters
    ----------
    service : Service
        Service whose data the group stores.
    state : GroupState
        Newest known group state.
    environment : NodeRuntime
        Settings, store, trace and access to the other watchers.
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
        """Return the current step of this node's failover machine."""
        return self._machine.step

    @property
    def waiting_writes(self):
        """Return the number of writes that wait for a replica's confirmation."""
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
            self._update_watches()
            while True:
                self._handle_event(f.Tick())
                self._repair_copies()
                await anyio.sleep(TICK_INTERVAL_S)

    def set_owned(self, owned, rank):
        """Set the copies that this node owns and its rank among the watchers.

        Parameters
        ----------
        owned : set of str
            Names of the databases.
        rank : int
            Rank of the node; 0 acts first in a failover.
        """
        self._owned = set(owned)
        self._machine.set_rank(rank)
        self._update_watches()

    def set_service(self, service):
        """Apply a new declaration of the service.

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
        self._update_watches()

    def observe_state(self, state):
        """Apply a version of the group object.

        Parameters
        ----------
        state : GroupState
            The state.
        """
        before = self.state
        self._handle_event(f.GroupObserved(state))
        self._on_state_change(before)

    def plan_change(self, upstream, reason):
        """Start a planned change of primary.

        Parameters
        ----------
        upstream : str
            Copy that becomes the primary.
        reason : str
            Who asked for the change, or why.
        """
        self._handle_event(f.PlannedChange(upstream, reason))

    def evidence(self, term):
        """Return this node's verdict on the primary of a term.

        Parameters
        ----------
        term : int
            Term named in another watcher's request.

        Returns
        -------
        Verdict
            `Verdict.ALIVE` if the term is not the current one, or if this node does
            not watch the primary.
        """
        watch = self._watches.get(self.state.primary)
        if watch is None or term != self.state.term:
            return Verdict.ALIVE
        return watch.finding().verdict

    def is_draining(self):
        """Return whether a planned change of primary holds back new writes."""
        state = self.state
        return state.phase is Phase.FENCING and bool(state.planned_primary)

    def is_stalled(self):
        """Return whether the replicas stopped confirming writes."""
        return self._tracker.is_stalled(now_ms())

    async def confirm(self, position, until_ms):
        """Wait until a write may be acknowledged.

        Parameters
        ----------
        position : Position
            Log position of the write at the primary.
        until_ms : int
            When to stop waiting.

        Returns
        -------
        Confirmed, Superseded or None
            None if neither was decided in time.
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
        """Return a head that was valid at or after a time; poll for one if necessary.

        Parameters
        ----------
        since_ms : int
            Lowest ``valid_at_ms`` that the sample may have.
        until_ms : int
            When to stop trying.

        Returns
        -------
        HeadSample or None
            None if no such head was confirmed in time.
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
                    await self._poll_copies(until_ms)
            await anyio.sleep(0.01)

    async def _poll_copies(self, until_ms):
        """Poll every watched copy until a head is confirmed."""

        async def poll(watch):
            try:
                await watch.poll_now()
            except UpstreamUnavailableError:
                return
            if self._heads.confirmed_at_ms() is not None:
                head = self._heads.newest()
                if head is not None and head.valid_at_ms >= started_at_ms:
                    tasks.cancel_scope.cancel()

        started_at_ms = now_ms()
        with anyio.move_on_after(max(0, until_ms - started_at_ms) / 1_000):
            async with anyio.create_task_group() as tasks:
                for watch in self._watches.values():
                    tasks.start_soon(poll, watch)

    def _update_watches(self):
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
            self._environment.discard_silent_connections,
        )
        scope = anyio.CancelScope()
        self._watches[upstream.name] = watch
        self._scopes[upstream.name] = scope

        async def run_until_stopped():
            with scope:
                await watch.run()

        self._tasks.start_soon(run_until_stopped)

    def _stop_watch(self, name):
        self._watches.pop(name, None)
        scope = self._scopes.pop(name, None)
        if scope is not None:
            scope.cancel()

    def connector(self, upstream):
        """Return the connector for a database.

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
            self._handle_event(f.PrimaryFinding(finding.verdict, finding.reason))

    def _handle_event(self, event):
        before = self.state
        at_ms = now_ms()
        actions = self._machine.handle(event, at_ms)
        self._environment.trace(self.service.name, event, actions, at_ms)
        for action in actions:
            self._perform(action)
        if not isinstance(event, f.GroupObserved):
            self._on_state_change(before)

    def _on_state_change(self, before):
        after = self.state
        if after.version == before.version:
            return
        # While a new term is only claimed, a replica may still confirm writes of the
        # previous one.
        if after.phase is Phase.ACTIVE and after.term != self._active_term:
            self._active_term = after.term
            self._heads.set_term(after.term)
            self._supersede_writes(after.term)
            self._update_watches()
        self.state_changed.set()
        self.state_changed = anyio.Event()

    def _supersede_writes(self, term):
        """Answer the writes that wait for a confirmation under an earlier term."""
        self._tracker = ConfirmationTracker(self._confirmations_needed)
        for write_id, event in list(self._pending.items()):
            if not isinstance(event, anyio.Event):
                continue
            self._complete_write(Superseded(write_id, term))

    @singledispatchmethod
    def _perform(self, action):
        raise TypeError(
            f"no handler for action {type(action).__name__}; register one on _perform"
        )

    @_perform.register
    def _(self, action: f.NoteStep):
        self.steps = [*self.steps[-63:], (now_ms(), action)]
        logger.info("group: %s %s: %s.", action.service, action.step.value, action.text)

    @_perform.register
    def _(self, action: f.AskEvidence):
        self._tasks.start_soon(self._ask_evidence, action)

    @_perform.register
    def _(self, action: f.WriteGroup):
        self._tasks.start_soon(self._write_group, action)

    @_perform.register
    def _(self, action: f.FenceCopy):
        self._tasks.start_soon(self._fence_copy, action)

    @_perform.register
    def _(self, action: f.AwaitCopy):
        self._tasks.start_soon(self._await_copy, action)

    @_perform.register
    def _(self, action: f.PromoteCopy):
        self._tasks.start_soon(self._promote_copy, action)

    @_perform.register
    def _(self, action: f.FollowCopy):
        self._tasks.start_soon(self._make_copy_follow, action)

    @_perform.register
    def _(self, action: f.PublishGroup):
        self._environment.publish(action.state)

    async def _ask_evidence(self, action):
        def on_answer(node, zone, verdict):
            self._handle_event(f.EvidenceReceived(node, zone, action.term, verdict))

        await self._environment.ask_evidence(self.service, action.term, on_answer)

    async def _write_group(self, action):
        nonce = action.state.nonce
        store = self._environment.store
        try:
            version = await store.update(
                "group", self.service.name, dump_group(action.state), action.if_version
            )
            self._handle_event(f.ClaimWritten(nonce, version))
        except StoreConflictError as error:
            await self._resolve_group_write(nonce, str(error))
        except StoreUnavailableError as error:
            await self._resolve_group_write(nonce, str(error))

    async def _resolve_group_write(self, nonce, reason):
        """Find out by its nonce whether an update of the group object took effect.

        A conflict or a lost answer leaves this open: the update may have been applied
        although its answer never arrived.
        """
        try:
            found = await self._environment.store.read("group", self.service.name)
        except StoreUnavailableError as error:
            self._handle_event(f.ClaimFailed(nonce, str(error)))
            return
        if found is not None and found.value.get("nonce") == nonce:
            logger.info(
                "group: update of %s took effect; its nonce was found in the store.",
                self.service.name,
            )
            self._handle_event(f.ClaimWritten(nonce, found.version))
            return
        self._handle_event(f.ClaimFailed(nonce, reason))
        if found is not None:
            self._environment.apply_object(found)

    def _upstream(self, name):
        return next(u for u in self.service.upstreams if u.name == name)

    async def _send_order(self, action, sql):
        upstream = self._upstream(action.upstream)
        try:
            return await orders.send_order(self.connector(upstream), upstream.name, sql)
        except UpstreamUnavailableError as error:
            self._handle_event(f.CopyFailed(upstream.name, action.term, str(error)))
            return None

    async def _fence_copy(self, action):
        report = await self._send_order(action, orders.fence_sql(action.term))
        if report is not None:
            self._handle_event(f.CopyFenced(report))

    async def _await_copy(self, action):
        while self._machine.step is f.Step.CATCH_UP:
            report = await self._send_order(action, "CALL bronzescale.status()")
            if report is None:
                return
            if report.received >= action.offset:
                self._handle_event(f.CopyCaughtUp(action.upstream, action.term))
                return
            await anyio.sleep(0.02)

    async def _promote_copy(self, action):
        report = await self._send_order(action, orders.promote_sql(action.term))
        if report is not None:
            self._handle_event(f.CopyPromoted(report, report.received - 1))

    async def _make_copy_follow(self, action):
        upstream = self._upstream(action.upstream)
        sql = orders.follow_sql(action.term, action.primary)
        try:
            await orders.send_order(self.connector(upstream), upstream.name, sql)
        except UpstreamUnavailableError as error:
            logger.info("group: %s does not replicate yet: %s.", upstream.name, error)

    def _repair_copies(self):
        """Make the owned copies that do not follow the current primary follow it."""
        state = self.state
        if state.phase is not Phase.ACTIVE or self._machine.step is not f.Step.IDLE:
            return
        for name in self._owned:
            watch = self._watches.get(name)
            if watch is None or watch.report is None or name == state.primary:
                continue
            report = watch.report
            is_not_following = (
                report.role != "replica" or report.promised_term < state.term
            )
            last_ms = self._repaired_at_ms.get(name, 0)
            if is_not_following and now_ms() - last_ms >= REPAIR_INTERVAL_MS:
                self._repaired_at_ms[name] = now_ms()
                logger.info(
                    "group: making %s a replica under term %d.", name, state.term
                )
                self._tasks.start_soon(
                    self._make_copy_follow,
                    f.FollowCopy(name, state.term, state.primary),
                )


def new_nonce():
    """Return a random identifier for one update of a group object.

    Returns
    -------
    str
    """
    return secrets.token_hex(8)
