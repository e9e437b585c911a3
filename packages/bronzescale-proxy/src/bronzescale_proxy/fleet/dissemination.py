"""Learn objects from the store and from peers, and know which nodes live."""

import anyio

from bronzescale_core.membership import (
    HEARTBEAT_INTERVAL_MS,
    HEARTBEAT_TIMEOUT_MS,
    Rumor,
)
from bronzescale_core.rendezvous import Node, rank_nodes
from bronzescale_proxy import wire
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import (
    HistoryGoneError,
    PeerUnavailableError,
    StoreConflictError,
    StoreError,
)
from bronzescale_proxy.fleet.node import (
    CONFIGURATION,
    GROUPS,
    HOSTS,
    SHARED_KINDS,
    UPSTREAMS,
)

WATCHED_KINDS = (CONFIGURATION, UPSTREAMS, GROUPS, HOSTS)
# The platform lets a watch wait this long; waiting longer costs fewer calls.
WATCH_WAIT_MS = 20_000
# A store that turns one call away is asked again within a few of its answers' time.
RETRY_MIN_S = 0.15
# An outage must be noticed to have ended soon enough for a configuration.
RETRY_MAX_S = 0.8
# A node that knows nothing serves nobody, so it asks more often.
RETRY_UNINFORMED_S = 0.3
# Several times the way to another region and back; the next heartbeat pulls again.
PULL_TIMEOUT_S = 1.0
# Nodes of a zone that watch the store; they push what changed to the others.
WATCHERS_PER_ZONE = 2
# The watchers of a zone change with its members; that is noticed no faster.
ROLE_CHECK_S = 0.5


class Disseminator:
    """Keep one node's objects and membership up to date.

    Parameters
    ----------
    node : FleetNode
        What this node knows.
    random : random.Random
        Spreads retries.
    """

    def __init__(self, node, random):
        self._node = node
        self._random = random
        self._failing = set()
        self._listed = set()
        self.has_peer_word = False

    @property
    def is_informed(self):
        """Return whether the store or a peer has told everything that is needed."""
        return self.has_peer_word or all(kind in self._listed for kind in WATCHED_KINDS)

    async def run(self):
        """Run until cancelled."""
        self._learn_seeds()
        self._node.membership.announce_self()
        async with anyio.create_task_group() as tasks:
            for kind in WATCHED_KINDS:
                tasks.start_soon(self._follow, kind)
            tasks.start_soon(self._send_heartbeats)

    # Store

    async def _follow(self, kind):
        """List a kind, then watch it; start over when the history is gone."""
        retry_s = RETRY_MIN_S
        revision = None
        while True:
            if revision is not None and not self.is_watcher():
                await anyio.sleep(ROLE_CHECK_S)
                continue
            try:
                if revision is None:
                    revision = await self._list(kind)
                else:
                    revision = await self._watch(kind, revision)
                self._note_answer(kind)
                retry_s = RETRY_MIN_S
            except HistoryGoneError as error:
                self._node.log.log_state_change(
                    "history_gone", kind=kind, reason=str(error)
                )
                revision = None
            except StoreError as error:
                self._note_failure(kind, error)
                await anyio.sleep(retry_s * self._random.uniform(0.7, 1.3))
                longest_s = RETRY_MAX_S if self.is_informed else RETRY_UNINFORMED_S
                retry_s = min(longest_s, retry_s * 2)

    async def _list(self, kind):
        listing = await self._node.store.list(kind)
        if kind in self._failing:
            self._node.catalog.record_outage(now_ms())
        self._node.apply_list(kind, listing.objects)
        if kind == HOSTS:
            await self._take_hosts()
        self._listed.add(kind)
        self._tell_informed()
        return listing.revision

    async def _watch(self, kind, revision):
        changes = await self._node.store.watch(kind, revision, WATCH_WAIT_MS)
        if kind in self._failing:
            self._node.catalog.record_outage(now_ms())
        fresh = [item for item in changes.objects if self._node.apply_object(item)]
        self._push_to_zone(fresh)
        if kind == HOSTS and changes.objects:
            await self._take_hosts()
        return changes.revision

    def is_watcher(self):
        """Return whether this node watches the store for its zone."""
        zone = self._node.settings.zone
        mates = [n for n in self._node.membership.eligible_owners() if n.zone == zone]
        ranked = rank_nodes(f"store-watch/{zone}", mates)[:WATCHERS_PER_ZONE]
        own = self._node.settings.node
        return self._node.is_stopping or any(node.name == own for node in ranked)

    def _push_to_zone(self, fresh):
        if fresh:
            self._node.push(fresh, self._node.settings.zone)

    def _note_answer(self, kind):
        if kind in self._failing:
            self._failing.discard(kind)
            self._node.log.log_state_change("store_answers_again", kind=kind)
        self._note_store()

    def _note_failure(self, kind, error):
        if kind not in self._failing:
            self._failing.add(kind)
            self._node.log.log_state_change("store_lost", kind=kind, reason=str(error))
        self._node.catalog.record_outage(now_ms())
        self._note_store()

    def _note_store(self):
        self._node.is_store_answering = not self._failing
        self._node.metrics.set_store_state(not self._failing)

    async def _take_hosts(self):
        own = self._node.membership.own
        own_value = self._take_nodes()
        if own_value is None or own_value.value != _dump_host(own):
            await self._register(own, own_value)

    def _take_nodes(self):
        """Join the listed hosts to the membership; return this node's own entry."""
        own = self._node.membership.own
        nodes = []
        own_value = None
        for (kind, name), item in self._node.objects.items():
            if kind != HOSTS or item.value is None:
                continue
            if name == own.name:
                own_value = item
            else:
                nodes.append(self._load_host(name, item.value))
        self._node.membership.merge_host_list(
            [n for n in nodes if n is not None], set()
        )
        return own_value

    def _load_host(self, name, value):
        try:
            return Node(name, value["address"], value["zone"], value["region"])
        except (KeyError, TypeError) as error:
            self._node.log.log_decision(
                "host_unreadable", name=name, reason=repr(error)
            )
            return None

    async def _register(self, own, known):
        revision = known.version if known is not None else 0
        try:
            item = await self._node.store.put(
                HOSTS, own.name, _dump_host(own), revision
            )
            self._node.apply_object(item)
        except StoreConflictError:
            # The answer to an earlier write was lost; the watch will show it.
            return

    def _tell_informed(self):
        if self.is_informed:
            self._node.is_informed = True
            self._node.notify()

    # Peers

    def _learn_seeds(self):
        """Take the seeds as nodes until their real names are known."""
        own = self._node.membership.own
        self._seeds = [s for s in self._node.settings.seeds if s != own.address]

    async def _send_heartbeats(self):
        async with anyio.create_task_group() as tasks:
            while True:
                targets = self._node.membership.heartbeat_targets()
                for target in targets:
                    tasks.start_soon(self._send_heartbeat, target)
                if not targets or not self.is_informed:
                    for address in self._seeds:
                        tasks.start_soon(self._greet_seed, address)
                jitter = self._random.uniform(0.9, 1.1)
                is_lonely = not self.is_informed
                pause_ms = HEARTBEAT_INTERVAL_MS // (3 if is_lonely else 1)
                await anyio.sleep(pause_ms / 1_000 * jitter)

    async def _greet_seed(self, address):
        """Ask whoever answers at a seed's address for all it knows."""
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
            reply = await self._node.peers.ask(node, heartbeat, timeout_s)
            if isinstance(reply, wire.Heartbeat):
                await self.handle_heartbeat(reply)
            if not self.is_informed:
                await self._pull(node)
        except PeerUnavailableError as error:
            self._node.log.log_decision(
                "seed_silent", address=address, reason=str(error)
            )

    async def _send_heartbeat(self, target):
        timeout_s = HEARTBEAT_TIMEOUT_MS / 1_000
        try:
            reply = await self._node.peers.ask(target, self._heartbeat(), timeout_s)
        except PeerUnavailableError as error:
            self._node.peers.discard(target)
            if self._node.membership.record_missed_heartbeat(target.name):
                self._node.log.log_state_change(
                    "peer_down", peer=target.name, reason=str(error)
                )
            return
        if isinstance(reply, wire.Heartbeat):
            await self.handle_heartbeat(reply)

    def _heartbeat(self, is_introduction=False):
        membership = self._node.membership
        status = membership.statuses()[0].status
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
        """Answer a heartbeat and learn from it."""
        is_new = self._node.membership.find(heartbeat.node) is None
        await channel.send(self._heartbeat(is_introduction=is_new))
        await self.handle_heartbeat(heartbeat)

    async def handle_heartbeat(self, heartbeat):
        """Learn from a heartbeat or its answer."""
        membership = self._node.membership
        membership.record_heartbeat(
            heartbeat.node, heartbeat.incarnation, heartbeat.status, heartbeat.rumors
        )
        sender = membership.find(heartbeat.node)
        own = self._node.digests()
        different = [
            kind
            for kind, mine, theirs in zip(
                SHARED_KINDS, own, heartbeat.digests, strict=False
            )
            if mine != theirs
        ]
        if sender is not None and (different or not self.is_informed):
            kinds = different if self.is_informed else ()
            try:
                await self._pull(sender, kinds)
            except PeerUnavailableError as error:
                self._node.log.log_decision(
                    "pull_failed", peer=sender.name, kinds=kinds, reason=str(error)
                )

    async def _pull(self, peer, kinds=()):
        reply = await self._node.peers.ask(
            peer, wire.ObjectsRequest(0, tuple(kinds)), PULL_TIMEOUT_S
        )
        if isinstance(reply, wire.Objects):
            self.apply_objects(reply)

    def apply_objects(self, message):
        """Take objects from a peer."""
        fresh = [item for item in message.objects if self._node.apply_object(item)]
        if any(item.kind == HOSTS for item in fresh):
            self._take_nodes()
        if message.revision > 0:
            self.has_peer_word = True
            self._tell_informed()

    def answer_objects(self, request):
        """Return the objects that a peer asks for.

        Only a node that is informed itself, asked for everything, informs others.
        """
        if not self.is_informed:
            return wire.Objects(request.since, 0, [])
        found = self._node.objects_of(request.kinds)
        revision = 0 if request.kinds else 1
        return wire.Objects(request.since, revision, found)

    async def unregister(self):
        """Remove this node from the listed hosts, so that nobody counts on it."""
        try:
            await self._node.store.delete(HOSTS, self._node.settings.node)
        except StoreError as error:
            self._node.log.log_state_change("still_registered", reason=str(error))

    async def announce_leaving(self):
        """Tell every live node that this one takes no new ownership."""
        self._node.membership.leave()
        heartbeat = self._heartbeat()
        async with anyio.create_task_group() as tasks:
            for node in self._node.membership.live_nodes():
                if node.name != self._node.settings.node:
                    tasks.start_soon(self._tell_leaving, node, heartbeat)

    async def _tell_leaving(self, node, heartbeat):
        try:
            await self._node.peers.ask(node, heartbeat, HEARTBEAT_TIMEOUT_MS / 1_000)
        except PeerUnavailableError as error:
            self._node.log.log_decision(
                "leaving_untold", peer=node.name, reason=str(error)
            )


def _dump_host(node):
    return {"address": node.address, "zone": node.zone, "region": node.region}
