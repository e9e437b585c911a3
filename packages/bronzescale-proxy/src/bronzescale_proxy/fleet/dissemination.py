"""Keep one node's objects and membership up to date from the store and from peers.

A few nodes of each availability zone watch the store and send its changes to the other
nodes of their zone. One watcher of the fleet, the checker, waits only shortly for the
configuration, and checks the other watches if the store has newer revisions: an answer
of the store may be lost, and its watch then waits in vain. It reports its checks to the
other watchers; if it cannot check, the next one in rank does.

Every node also exchanges heartbeats with some peers. A heartbeat carries membership
rumors and a digest of each kind of object; a node whose digest differs from its peer's
asks for the objects of that kind.
"""

import anyio

from bronzescale_core.check_duty import CheckDuty, rank_watchers
from bronzescale_core.exceptions import BronzescaleError
from bronzescale_core.field_checks import is_address
from bronzescale_core.host_checks import find_host_problem
from bronzescale_core.membership import (
    HEARTBEAT_INTERVAL_MS,
    HEARTBEAT_TIMEOUT_MS,
    Rumor,
)
from bronzescale_core.partial_json import describe_unreadable
from bronzescale_core.pulls import PullPlanner
from bronzescale_core.rendezvous import Node
from bronzescale_core.watch_doubts import WatchDoubts
from bronzescale_proxy import wire
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import (
    HistoryGoneError,
    PeerUnavailableError,
    StoreConflictError,
    StoreError,
    StoreSilentError,
    UnsendableMessageError,
)
from bronzescale_proxy.fleet.node import (
    CONFIGURATION,
    GROUPS,
    HOSTS,
    SHARED_KINDS,
    UPSTREAMS,
)
from bronzescale_proxy.fleet.supervision import SupervisedTasks
from bronzescale_proxy.messages import CHECK_REPORT

WATCHED_KINDS = (CONFIGURATION, UPSTREAMS, GROUPS, HOSTS)
# Longest wait of a watch that the platform allows; shorter waits cost more calls.
WATCH_WAIT_MS = 30_000
# Share of the time in which a configuration must be in force that the fleet may learn
# of nothing after the store has lost answers.
BLIND_SHARE = 0.5
# How late the checker's watch may be answered before it is taken as lost. Part of that
# share; a slow store is told from a lost answer by the next watch.
CHECK_GRACE_MS = 300
# The time that the check itself takes, also part of that share.
CHECK_MARGIN_MS = 100
MIN_CHECK_WAIT_MS = 500
# How much later than a peer's message a watch may bring the same change.
PEER_LEAD_S = 0.5
# Wait of the first watch after a failure, and of one that is in doubt.
RETRY_WATCH_WAIT_MS = 1
# First delay before a retry: a store that refused a single call is asked again after a
# few of its response times.
STORE_RETRY_MIN_S = 0.15
# Bounds how late the end of an outage is noticed; a configuration that was accepted
# meanwhile would otherwise come into force too late.
STORE_RETRY_MAX_S = 0.8
# Longest delay of a node that has no objects yet: until it has them, it serves no
# callers.
STORE_RETRY_MAX_UNSYNCHRONIZED_S = 0.3
# Delay of the kinds that wait for another one to be answered. Below the shortest time
# in which a configuration must be in force.
STORE_RETRY_OTHERS_S = 2.5
# Several round trips to another region; the next heartbeat triggers another pull.
PULL_TIMEOUT_S = 1.0
# Nodes of each zone that watch the store and push changes to the rest of the zone.
WATCHERS_PER_ZONE = 2
# Heartbeats tell of hosts, too.
HOST_WATCHERS_PER_ZONE = 1
# Kinds of which every change must be known in time.
CHECKED_KINDS = (CONFIGURATION, UPSTREAMS, GROUPS)
# Random delay of a node that registers again. Spreads a fleet of 510 nodes to about 255
# writes a second.
REGISTRATION_SPREAD_S = 2.0
# Shortest pause before a node looks again whether it must check.
MIN_DUTY_PAUSE_S = 0.05
# How often a node checks whether it has become a watcher; the membership, on which this
# depends, changes no faster.
WATCHER_CHECK_INTERVAL_S = 0.5


class _WatchInDoubtError(BronzescaleError):
    """A watch was ended, or was not answered in time; it is sent again."""


class Disseminator:
    """Keep one node's objects and membership up to date.

    Parameters
    ----------
    node : FleetNode
        Shared state of this node.
    random : random.Random
        Source of the jitter of retries and heartbeats.
    """

    def __init__(self, node, random):
        self._node = node
        self._random = random
        self._failing_kinds = set()
        self._listed_kinds = set()
        self._watch_scopes = {}
        blind_ms = int(node.settings.configuration_within_ms * BLIND_SHARE)
        self._check_wait_ms = max(
            MIN_CHECK_WAIT_MS, blind_ms - CHECK_GRACE_MS - CHECK_MARGIN_MS
        )
        self._doubts = WatchDoubts(self._check_wait_ms)
        # Kinds of which a peer sent a change that the watch has not brought yet.
        self._awaited_kinds = set()
        self._unasked_seeds = set()
        self._contacted_seeds = set()
        self._is_registering = False
        self._watcher_version = None
        self._watchers = []
        # Rank from 0 among the watchers of the zone.
        self._zone_rank = WATCHERS_PER_ZONE
        # Rank from 0 among all watchers; None if this node is none.
        self._check_rank = None
        self._duty = CheckDuty(
            self._check_wait_ms + CHECK_GRACE_MS, CHECK_GRACE_MS, now_ms()
        )
        self._logged_role = None
        self._store_answered = anyio.Event()
        # The kind whose calls find out whether the store answers again.
        self._probing_kind = None
        self._pulls = PullPlanner()
        node.store.era.change_listeners.append(self._end_watches)
        self.has_synchronized_from_peer = False

    @property
    def is_synchronized(self):
        """Return whether the store or a peer has sent all objects.

        The store may have returned from a copy that lacks what the peers know, so its
        objects alone count only after every seed was asked.
        """
        if self.has_synchronized_from_peer:
            return True
        may_lack_changes = self._node.store.era.number > 0 and self._unasked_seeds
        return not may_lack_changes and all(
            kind in self._listed_kinds for kind in WATCHED_KINDS
        )

    async def run(self):
        """Run until cancelled."""
        self._set_seeds()
        self._node.membership.announce_self()
        async with anyio.create_task_group() as tasks:
            supervised = SupervisedTasks(tasks, self._node.log)
            for kind in WATCHED_KINDS:
                supervised.keep_running(self._follow_kind, kind)
            supervised.keep_running(self._send_heartbeats)
            supervised.keep_running(self._follow_role)

    # Store

    async def _follow_kind(self, kind):
        """List a kind, then watch it; list it again if the store lost its history."""
        retry_s = STORE_RETRY_MIN_S
        revision = None
        while True:
            if revision is not None and not self.is_watcher(kind):
                await anyio.sleep(WATCHER_CHECK_INTERVAL_S)
                continue
            try:
                if revision is None:
                    revision = await self._list_kind(kind)
                else:
                    revision = await self._watch_kind(kind, revision)
                self._record_store_success(kind)
                retry_s = STORE_RETRY_MIN_S
            except HistoryGoneError as error:
                self._node.log.log_state_change(
                    "history_gone", kind=kind, reason=str(error)
                )
                revision = None
            except _WatchInDoubtError as error:
                self._doubts.doubt(kind)
                self._node.log.log_decision(
                    "watch_in_doubt", kind=kind, reason=str(error)
                )
            except StoreError as error:
                self._record_store_failure(kind, error)
                retry_s = await self._wait_to_retry(kind, retry_s)

    async def _wait_to_retry(self, kind, retry_s):
        """Wait after a failed call; return the delay before the next retry.

        One kind asks again at these delays. The first answer wakes the others, which
        ask by themselves only rarely: the store may refuse a single kind.
        """
        if self._probing_kind is None:
            self._probing_kind = kind
        is_probing = self._probing_kind == kind
        delay_s = retry_s if is_probing else max(retry_s, STORE_RETRY_OTHERS_S)
        try:
            with anyio.move_on_after(delay_s * self._random.uniform(0.7, 1.3)):
                await self._store_answered.wait()
        finally:
            if is_probing:
                self._probing_kind = None
        retry_max_s = (
            STORE_RETRY_MAX_S
            if self.is_synchronized
            else STORE_RETRY_MAX_UNSYNCHRONIZED_S
        )
        return min(retry_max_s, retry_s * 2)

    async def _list_kind(self, kind):
        asked_at_ms = now_ms()
        listing = await self._node.store.list(kind)
        if kind in self._failing_kinds:
            self._node.catalog.record_outage(now_ms())
        self._doubts.record_answer(kind, listing.version, now_ms())
        self._node.apply_list(kind, listing.objects, listing.version)
        own_item = self._merge_hosts() if kind == HOSTS else None
        if kind == GROUPS:
            self._node.record_group_listing(asked_at_ms)
        # After a restart callers wait already, and they do not need this node's entry.
        is_entry_first = kind == HOSTS and self._node.settings.is_first_start
        if is_entry_first:
            await self._ensure_registered(own_item)
        self._listed_kinds.add(kind)
        self._update_synchronized()
        if kind == HOSTS and not is_entry_first:
            await self._ensure_registered(own_item)
        return listing.version

    async def _watch_kind(self, kind, revision):
        is_in_doubt = self._doubts.is_doubted(kind)
        changes = await self._wait_for_changes(kind, revision)
        if kind in self._failing_kinds:
            self._node.catalog.record_outage(now_ms())
        self._doubts.record_answer(kind, changes.version, now_ms())
        applied = [item for item in changes.objects if self._node.apply_object(item)]
        if is_in_doubt and applied:
            # Other watches may have lost the same change.
            self._node.push(applied)
        else:
            self._push_to_zone(applied)
        if kind == CONFIGURATION and self.is_checker():
            self._check_others(changes.version)
            self._report_check()
        if kind == HOSTS and changes.objects:
            await self._ensure_registered(self._merge_hosts())
        return changes.version

    async def _wait_for_changes(self, kind, revision):
        """Watch a kind once.

        Raises
        ------
        HistoryGoneError
            If all objects must be listed again.
        _WatchInDoubtError
            If the watch must be sent again without a wait.
        """
        # A watch that waits would not tell whether the store answers again.
        is_urgent = kind in self._failing_kinds or self._doubts.is_doubted(kind)
        is_check = not is_urgent and kind == CONFIGURATION and self.is_checker()
        wait_ms = RETRY_WATCH_WAIT_MS if is_urgent else WATCH_WAIT_MS
        options = {}
        if is_check:
            wait_ms = self._check_wait_ms
            options = {"grace_s": CHECK_GRACE_MS / 1_000}
        with anyio.CancelScope() as scope:
            self._watch_scopes[kind] = scope
            try:
                return await self._node.store.watch(kind, revision, wait_ms, **options)
            except StoreSilentError as error:
                if not is_check:
                    raise
                raise _WatchInDoubtError(str(error)) from error
            finally:
                del self._watch_scopes[kind]
        if self._doubts.is_doubted(kind):
            raise _WatchInDoubtError("a newer revision is known")
        raise HistoryGoneError("the store returned from a copy; list all again")

    def _end_watches(self, old, new):
        """End the watches of an older era; they may never return."""
        for scope in self._watch_scopes.values():
            scope.cancel()

    def _doubt(self, kind):
        """Send the watch of a kind again, since its answer may have been lost."""
        self._doubts.doubt(kind)
        scope = self._watch_scopes.get(kind)
        if scope is not None:
            scope.cancel()

    def _check_others(self, version):
        """Check the watches that have not shown that a version of the store exists."""
        for kind in self._doubts.kinds_to_check(version, now_ms()):
            if kind in CHECKED_KINDS:
                self._doubt(kind)

    def _expect_changes(self, items):
        """Check later whether the own watches bring what a peer sent."""
        for item in items:
            is_expected = item.kind in CHECKED_KINDS and self.is_watcher(item.kind)
            is_missed = self._doubts.may_have_missed(item.kind, item.version)
            if is_expected and is_missed and item.kind not in self._awaited_kinds:
                self._awaited_kinds.add(item.kind)
                self._node.tasks.start_soon(self._await_change, item.kind, item.version)

    async def _await_change(self, kind, version):
        try:
            await anyio.sleep(PEER_LEAD_S)
        finally:
            self._awaited_kinds.discard(kind)
        if self._doubts.may_have_missed(kind, version):
            self._doubt(kind)

    async def _follow_role(self):
        """Log the role; end the long watch of a node that becomes the checker."""
        was_checker = self.is_checker()
        while True:
            self._log_role()
            await anyio.sleep(self._duty_pause_s())
            is_checker = self.is_checker()
            if is_checker and not was_checker:
                self._doubt(CONFIGURATION)
            was_checker = is_checker

    def _duty_pause_s(self):
        pause_s = WATCHER_CHECK_INTERVAL_S
        if self._check_rank is not None:
            left_ms = self._duty.due_at_ms(self._check_rank) - now_ms()
            if left_ms > 0:
                pause_s = min(pause_s, left_ms / 1_000)
        return max(MIN_DUTY_PAUSE_S, pause_s)

    def _log_role(self):
        role = {
            "is_checker": self.is_checker(),
            "watches": [kind for kind in WATCHED_KINDS if self.is_watcher(kind)],
        }
        if role != self._logged_role:
            self._logged_role = role
            self._node.log.log_state_change("watch_role", **role)

    def dump(self):
        """Return this node's part in watching the store, for the state dump."""
        return {
            "is_checker": self.is_checker(),
            "kinds": self._doubts.dump(now_ms()),
        }

    def is_watcher(self, kind):
        """Return whether this node watches the store's objects of a kind."""
        self._update_role()
        count = HOST_WATCHERS_PER_ZONE if kind == HOSTS else WATCHERS_PER_ZONE
        return self._node.is_stopping or self._zone_rank < count

    def is_checker(self):
        """Return whether this node checks the watches of the fleet."""
        self._update_role()
        if self._check_rank is None:
            return False
        return self._duty.due_at_ms(self._check_rank) <= now_ms()

    def _update_role(self):
        version = self._node.membership.version
        if version == self._watcher_version:
            return
        self._watcher_version = version
        self._watchers = rank_watchers(
            self._node.membership.eligible_owners(), WATCHERS_PER_ZONE
        )
        self._zone_rank, self._check_rank = WATCHERS_PER_ZONE, None
        for rank, watcher in enumerate(self._watchers):
            if watcher.node.name == self._node.settings.node:
                self._zone_rank, self._check_rank = watcher.zone_rank, rank

    def _report_check(self):
        """Tell the other watchers that the store was asked for a new configuration."""
        report = wire.Objects(CHECK_REPORT, -1, [])
        for watcher in self._watchers:
            if watcher.node.name != self._node.settings.node:
                self._node.tasks.start_soon(
                    self._node.peers.send_one_way, watcher.node, report
                )

    def _push_to_zone(self, applied):
        if applied:
            self._node.push(applied, self._node.settings.zone)

    def _record_store_success(self, kind):
        if kind in self._failing_kinds:
            self._failing_kinds.discard(kind)
            self._node.log.log_state_change("store_answers_again", kind=kind)
        self._store_answered.set()
        self._store_answered = anyio.Event()
        self._update_store_state()

    def _record_store_failure(self, kind, error):
        if kind not in self._failing_kinds:
            self._failing_kinds.add(kind)
            self._node.log.log_state_change("store_lost", kind=kind, reason=str(error))
        self._node.catalog.record_outage(now_ms())
        self._update_store_state()

    def _update_store_state(self):
        self._node.is_store_answering = not self._failing_kinds
        self._node.metrics.set_store_state(not self._failing_kinds)

    async def _ensure_registered(self, own_item):
        """Register this node if its entry is missing or out of date."""
        own = self._node.membership.own
        if own_item is None or own_item.value != _dump_host(own):
            await self._register(own, own_item)

    def _merge_hosts(self):
        """Merge the listed hosts into the membership; return this node's own entry."""
        own = self._node.membership.own
        nodes = []
        own_item = None
        for (kind, name), item in self._node.objects.items():
            if kind != HOSTS or item.value is None:
                continue
            if name == own.name:
                own_item = item
            else:
                nodes.append(self._load_host(item))
        self._node.membership.merge_host_list(
            [node for node in nodes if node is not None], set()
        )
        return own_item

    def _load_host(self, item):
        value = item.value if isinstance(item.value, dict) else {}
        fields = [value.get(key) for key in ("address", "zone", "region")]
        node = Node(item.name, *fields)
        problem = find_host_problem(node)
        if problem is None:
            return node
        reason = describe_unreadable(value) or problem
        self._node.report_unreadable(item.kind, item.name, item.version, reason)
        return None

    async def _register(self, own, registered):
        version = registered.version if registered is not None else 0
        try:
            item = await self._node.store.put(HOSTS, own.name, _dump_host(own), version)
            self._node.apply_object(item)
        except StoreConflictError as error:
            # An earlier write succeeded but its answer was lost; the watch returns it.
            self._node.log.log_decision("already_registered", reason=str(error))

    async def _register_again(self):
        """Register this node after the store lost its entry.

        Many nodes may find that out together, so each waits for a random time.
        """
        retry_s = self._random.uniform(0, REGISTRATION_SPREAD_S)
        try:
            while not self._node.is_stopping:
                await anyio.sleep(retry_s)
                own_item = self._merge_hosts()
                if own_item is not None:
                    return
                try:
                    await self._register(self._node.membership.own, None)
                    return
                except StoreError as error:
                    self._node.log.log_decision(
                        "registration_failed", reason=str(error)
                    )
                    retry_s = self._random.uniform(0.5, 1) * REGISTRATION_SPREAD_S
        finally:
            self._is_registering = False

    def _update_synchronized(self):
        if not self.is_synchronized:
            return
        if not self._node.is_synchronized:
            self._node.is_synchronized = True
            self._node.begin_serving()
        self._node.notify()

    # Peers

    def _set_seeds(self):
        """Keep the configured seed addresses except this node's own."""
        own = self._node.membership.own
        self._seeds = []
        for seed in self._node.settings.seeds:
            if not is_address(seed):
                self._node.log.log_state_change("seed_unusable", address=seed)
            elif seed != own.address:
                self._seeds.append(seed)
        if not self._node.settings.is_first_start:
            self._unasked_seeds.update(self._seeds)

    async def _send_heartbeats(self):
        async with anyio.create_task_group() as group:
            tasks = SupervisedTasks(group, self._node.log)
            while True:
                targets = self._node.membership.heartbeat_targets()
                for target in targets:
                    tasks.start_soon(self._send_heartbeat, target)
                if not targets or not self.is_synchronized:
                    # Repeated contacts would keep a seed busy that is only slow.
                    for address in set(self._seeds) - self._contacted_seeds:
                        tasks.start_soon(self._contact_seed, address)
                jitter = self._random.uniform(0.9, 1.1)
                is_unsynchronized = not self.is_synchronized
                pause_ms = HEARTBEAT_INTERVAL_MS // (3 if is_unsynchronized else 1)
                await anyio.sleep(pause_ms / 1_000 * jitter)

    async def _contact_seed(self, address):
        """Introduce this node at a seed address; pull all objects from it if needed.

        The seed's node name is unknown until the membership lists its address.
        """
        self._contacted_seeds.add(address)
        name = next(
            (
                node.name
                for node in self._node.membership.live_nodes()
                if node.address == address
            ),
            "",
        )
        node = Node(name, address, "", "")
        try:
            timeout_s = HEARTBEAT_TIMEOUT_MS / 1_000
            heartbeat = self._heartbeat(is_introduction=True)
            reply = await self._node.peers.request(node, heartbeat, timeout_s)
            if isinstance(reply, wire.Heartbeat):
                await self.handle_heartbeat(reply)
            if not self.is_synchronized:
                await self._pull(node)
        except PeerUnavailableError as error:
            self._node.log.log_decision(
                "seed_silent", address=address, reason=str(error)
            )
        finally:
            self._contacted_seeds.discard(address)
            self._unasked_seeds.discard(address)
            self._update_synchronized()

    async def _send_heartbeat(self, target):
        timeout_s = HEARTBEAT_TIMEOUT_MS / 1_000
        sent_at_ms = now_ms()
        try:
            reply = await self._node.peers.request(target, self._heartbeat(), timeout_s)
        except UnsendableMessageError as error:
            self._node.log.log_decision("heartbeat_unsendable", reason=str(error))
            return
        except PeerUnavailableError as error:
            if self._node.peers.has_heard_since(target, sent_at_ms):
                return
            self._node.peers.discard(target)
            self._node.allowances.lessor.view.record_contact(target, is_answered=False)
            if self._node.membership.record_missed_heartbeat(target.name):
                self._node.log.log_state_change(
                    "peer_down", peer=target.name, reason=str(error)
                )
            return
        if isinstance(reply, wire.Heartbeat):
            await self.handle_heartbeat(reply)

    def _heartbeat(self, is_introduction=False):
        membership = self._node.membership
        status = membership.own_status
        own = membership.own
        rumors = membership.outgoing_rumors()
        if is_introduction and all(rumor.node.name != own.name for rumor in rumors):
            rumors.append(Rumor(own, status))
        return wire.Heartbeat(
            own.name,
            own.incarnation,
            status,
            0,
            rumors,
            self._node.digests(),
        )

    async def answer_heartbeat(self, heartbeat, channel):
        """Answer a heartbeat and apply it."""
        membership = self._node.membership
        is_new = membership.find(heartbeat.node) is None
        answer = self._heartbeat(is_introduction=is_new)
        if membership.has_restarted(heartbeat.node, heartbeat.incarnation):
            answer.rumors.extend(membership.down_rumors())
        await channel.send(answer)
        await self.handle_heartbeat(heartbeat)

    async def handle_heartbeat(self, heartbeat):
        """Apply a heartbeat or the answer to one.

        Pull the objects of each kind whose digest differs from the sender's.
        """
        membership = self._node.membership
        for name, incarnation, reason in heartbeat.unreadable:
            self._node.report_unreadable("rumor", name, incarnation, reason)
        membership.record_heartbeat(
            heartbeat.node, heartbeat.incarnation, heartbeat.status, heartbeat.rumors
        )
        sender = membership.find(heartbeat.node)
        if sender is not None:
            self._node.allowances.lessor.view.record_contact(sender, is_answered=True)
        own = self._node.digests()
        different_kinds = [
            kind
            for kind, own_digest, peer_digest in zip(
                SHARED_KINDS, own, heartbeat.digests, strict=False
            )
            if own_digest != peer_digest
        ]
        if sender is not None and (different_kinds or not self.is_synchronized):
            await self._pull_different(sender, different_kinds)

    async def _pull_different(self, sender, kinds):
        """Pull from a peer what it may know better, unless a pull is under way."""
        newest = self._node.newest_versions()
        plan = self._pulls.begin(kinds, self.is_synchronized, newest)
        if plan is None:
            return
        try:
            await self._pull(sender, plan.kinds, plan.since)
        except PeerUnavailableError as error:
            self._node.log.log_decision(
                "pull_failed", peer=sender.name, kinds=plan.kinds, reason=str(error)
            )
        finally:
            self._pulls.end(plan)

    async def _pull(self, peer, kinds=(), since=0):
        reply = await self._node.peers.request(
            peer, wire.ObjectsRequest(since, tuple(kinds)), PULL_TIMEOUT_S
        )
        if isinstance(reply, wire.Objects):
            self.apply_objects(reply)

    async def fetch_configuration(self, peer):
        """Fetch the configuration from a peer that has a newer one.

        Raises
        ------
        PeerUnavailableError
            If the peer does not answer.
        """
        await self._pull(peer, (CONFIGURATION,))

    def apply_objects(self, message):
        """Apply objects that a peer sent."""
        if message.since == CHECK_REPORT:
            self._duty.record_report(now_ms())
            return
        applied = [item for item in message.objects if self._node.apply_object(item)]
        self._expect_changes(applied)
        if any(item.kind == HOSTS for item in applied):
            self._merge_hosts()
        if any(self._is_own_deletion(item) for item in applied):
            self._is_registering = True
            self._node.tasks.start_soon(self._register_again)
        if message.revision > 0:
            self.has_synchronized_from_peer = True
            self._update_synchronized()

    def _is_own_deletion(self, item):
        is_own = item.kind == HOSTS and item.name == self._node.settings.node
        is_due = not self._is_registering and not self._node.is_stopping
        return is_own and item.value is None and is_due

    def answer_objects(self, request):
        """Return the objects that a peer asks for.

        A revision of 1 marks a complete answer, after which the peer counts as
        synchronized. Only a node that is synchronized itself gives one, and only to a
        request for all kinds.
        """
        if not self.is_synchronized:
            return wire.Objects(request.since, 0, [])
        found = self._node.objects_of(request.kinds, request.since)
        revision = 0 if request.kinds else 1
        return wire.Objects(request.since, revision, found)

    async def unregister(self):
        """Remove this node from the host list, so that other nodes stop using it."""
        try:
            await self._node.store.delete(HOSTS, self._node.settings.node)
        except StoreError as error:
            self._node.log.log_state_change("still_registered", reason=str(error))

    async def announce_leaving(self):
        """Notify every live node that this one takes over no more databases."""
        self._node.membership.leave()
        heartbeat = self._heartbeat()
        async with anyio.create_task_group() as tasks:
            for node in self._node.membership.live_nodes():
                if node.name != self._node.settings.node:
                    tasks.start_soon(self._send_leaving, node, heartbeat)

    async def _send_leaving(self, node, heartbeat):
        try:
            await self._node.peers.request(
                node, heartbeat, HEARTBEAT_TIMEOUT_MS / 1_000
            )
        except PeerUnavailableError as error:
            self._node.log.log_decision(
                "leaving_untold", peer=node.name, reason=str(error)
            )


def _dump_host(node):
    return {"address": node.address, "zone": node.zone, "region": node.region}
