"""Distribute store objects, host lists and heartbeats among the nodes.

A few nodes of each zone watch the store and push changes to the others. Heartbeats
carry the sender's revision, so that a node that missed a change pulls it.
"""

import logging
import random

import anyio

from bronzescale_core.membership import HEARTBEAT_INTERVAL_MS, HEARTBEAT_TIMEOUT_MS
from bronzescale_core.objects import StoreObject
from bronzescale_core.rendezvous import Node, rank_nodes
from bronzescale_proxy import wire
from bronzescale_proxy.clock import wall_ms
from bronzescale_proxy.exceptions import PeerUnavailableError, StoreUnavailableError
from bronzescale_proxy.store import WATCH_TIMEOUT_MS

logger = logging.getLogger("bronzescale.spread")

WATCHERS_PER_ZONE = 2
HOSTS_INTERVAL_S = 2.0
HOSTS_KIND = "hosts"
RETRY_MIN_S = 0.2
RETRY_MAX_S = 5.0
PULL_TIMEOUT_S = 2.0
WATCHER_ROLE_CHECK_S = 0.5


class Disseminator:
    """Keep this node's objects and membership up to date.

    Parameters
    ----------
    node : NodeRuntime
        State of this node.
    """

    def __init__(self, node):
        self._node = node
        self._settings = node.settings
        self._random = random.Random(f"{node.settings.node}:{wall_ms()}")
        self._backoff_s = RETRY_MIN_S
        self._tasks = None
        self.is_store_answering = True
        self.store_problem = ""

    async def run(self):
        """Run until cancelled."""
        self._node.membership.announce_self()
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self._watch_store)
            self._tasks.start_soon(self._poll_hosts)
            self._tasks.start_soon(self._send_heartbeats)

    def is_watcher(self):
        """Return whether this node watches the store for its zone.

        Returns
        -------
        bool
        """
        zone = self._settings.zone
        eligible = self._node.membership.eligible_owners()
        zone_nodes = [node for node in eligible if node.zone == zone]
        ranked = rank_nodes(f"store-watch/{zone}", zone_nodes)[:WATCHERS_PER_ZONE]
        return any(node.name == self._settings.node for node in ranked)

    async def fetch_initial_objects(self):
        """Fetch the objects from a peer, or from the store if no peer has any."""
        try:
            await self._fetch_hosts()
        except StoreUnavailableError as error:
            self._record_store_result(error)
        for peer in self._node.membership.heartbeat_targets():
            if await self._pull_from(peer, 0):
                return
        try:
            await self._fetch_changes(0)
        except StoreUnavailableError as error:
            self._record_store_result(error)

    # Store

    async def _watch_store(self):
        while True:
            if not self.is_watcher():
                await anyio.sleep(WATCHER_ROLE_CHECK_S)
                continue
            try:
                applied = await self._fetch_changes(WATCH_TIMEOUT_MS)
                self._record_store_result(None)
                self._push_to_zone(applied)
            except StoreUnavailableError as error:
                self._record_store_result(error)
                await self._sleep_with_backoff()

    async def _fetch_changes(self, wait_ms):
        since = self._node.objects.revision
        changes = await self._node.store.changes(since, wait_ms)
        return self._node.apply_changes(changes.objects, since, changes.revision)

    def _push_to_zone(self, applied):
        if not applied:
            return
        zone = self._settings.zone
        zone_nodes = [n for n in self._node.membership.live_nodes() if n.zone == zone]
        self._node.push(applied, zone_nodes)

    async def _sleep_with_backoff(self):
        """Wait with jitter, so that nodes do not retry all at once after an outage."""
        await anyio.sleep(self._backoff_s * self._random.uniform(0.5, 1.5))
        self._backoff_s = min(RETRY_MAX_S, self._backoff_s * 2)

    def _record_store_result(self, error):
        is_answering = error is None
        if is_answering:
            self._backoff_s = RETRY_MIN_S
        if is_answering != self.is_store_answering:
            state = "answers again" if is_answering else f"is unavailable: {error}"
            logger.warning("spread: the store %s.", state)
        self.is_store_answering = is_answering
        self.store_problem = "" if is_answering else str(error)

    # Hosts

    async def _poll_hosts(self):
        while True:
            if self.is_watcher():
                try:
                    await self._fetch_hosts()
                except StoreUnavailableError as error:
                    self._record_store_result(error)
            await anyio.sleep(HOSTS_INTERVAL_S * self._random.uniform(0.8, 1.2))

    async def _fetch_hosts(self):
        hosts = await self._node.store.hosts(self._settings.zone)
        document = {
            "nodes": sorted(list(node) for node in hosts.nodes),
            "leaving_nodes": sorted(hosts.leaving_nodes),
            "leaving_upstreams": sorted(hosts.leaving_upstreams),
        }
        zone = self._settings.zone
        known = self._node.objects.get(HOSTS_KIND, zone)
        if known is not None and known.value == document:
            return
        item = StoreObject(HOSTS_KIND, zone, wall_ms(), document)
        self.apply_objects([item])
        self._push_to_zone([item])

    def apply_objects(self, objects, since=-1, revision=-1):
        """Apply objects received from the store or a peer.

        Parameters
        ----------
        objects : list of StoreObject
            The objects.
        since, revision : int, default=-1
            Revisions between which the objects are complete; -1 if they are not.
        """
        if revision >= 0:
            applied = self._node.apply_changes(objects, since, revision)
        else:
            applied = [item for item in objects if self._node.apply_object(item)]
        for item in applied:
            if item.kind == HOSTS_KIND and item.name == self._settings.zone:
                self._apply_hosts(item.value)

    def _apply_hosts(self, document):
        nodes = [Node(*fields) for fields in document["nodes"]]
        leaving = set(document["leaving_nodes"])
        self._node.membership.merge_host_list(nodes, leaving)
        self._node.leaving_upstreams = set(document["leaving_upstreams"])
        self._node.reconcile()

    # Heartbeats

    async def _send_heartbeats(self):
        while True:
            for target in self._node.membership.heartbeat_targets():
                self._tasks.start_soon(self._send_heartbeat, target)
            jitter = self._random.uniform(0.9, 1.1)
            await anyio.sleep(HEARTBEAT_INTERVAL_MS / 1_000 * jitter)

    async def _send_heartbeat(self, target):
        timeout_s = HEARTBEAT_TIMEOUT_MS / 1_000
        try:
            reply = await self._node.peers.request(target, self._heartbeat(), timeout_s)
        except PeerUnavailableError as error:
            self._node.peers.discard(target)
            if self._node.membership.record_missed_heartbeat(target.name):
                logger.info(
                    "spread: %s missed too many heartbeats and counts as down: %s.",
                    target.name,
                    error,
                )
                self._node.reconcile()
            return
        if isinstance(reply, wire.Heartbeat):
            await self.handle_heartbeat(reply)

    def _heartbeat(self):
        membership = self._node.membership
        status = membership.statuses()[0].status
        revision = self._node.objects.revision
        own = membership.own
        rumors = membership.outgoing_rumors()
        return wire.Heartbeat(own.name, own.incarnation, status, revision, rumors)

    async def answer_heartbeat(self, heartbeat, channel):
        """Answer a heartbeat and apply it.

        Parameters
        ----------
        heartbeat : Heartbeat
            Heartbeat of a peer.
        channel : PeerChannel
            Channel for the answer.
        """
        await channel.send(self._heartbeat())
        await self.handle_heartbeat(heartbeat)

    async def handle_heartbeat(self, heartbeat):
        """Apply a heartbeat or the answer to one.

        Parameters
        ----------
        heartbeat : Heartbeat
            Heartbeat of a peer.
        """
        for rumor in heartbeat.unreadable:
            logger.warning("spread: left out a rumor: %s.", rumor)
        membership = self._node.membership
        changed = membership.record_heartbeat(
            heartbeat.node, heartbeat.incarnation, heartbeat.status, heartbeat.rumors
        )
        if changed:
            self._node.reconcile()
        revision = self._node.objects.revision
        sender = membership.find(heartbeat.node)
        if heartbeat.revision > revision and sender is not None:
            await self._pull_from(sender, revision)

    async def _pull_from(self, peer, since):
        try:
            reply = await self._node.peers.request(
                peer, wire.ObjectsRequest(since), PULL_TIMEOUT_S
            )
        except PeerUnavailableError:
            return False
        if not isinstance(reply, wire.Objects) or not reply.objects:
            return False
        self.apply_objects(reply.objects, reply.since, reply.revision)
        return True

    def answer_objects(self, request):
        """Return the objects that a peer has not received yet.

        Parameters
        ----------
        request : ObjectsRequest
            Revision that the peer has already.

        Returns
        -------
        Objects
        """
        objects = self._node.objects
        found = objects.changed_since(request.since)
        return wire.Objects(request.since, objects.revision, found)
