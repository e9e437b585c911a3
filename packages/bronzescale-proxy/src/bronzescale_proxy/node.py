"""Hold the state of one node.

`NodeRuntime` connects membership and store objects to the databases that this node
owns: it creates owners and groups as placement requires and closes them again.
"""

import logging

import anyio

from bronzescale_core.declaration import load_declaration
from bronzescale_core.detection import Verdict
from bronzescale_core.exceptions import InvalidDeclarationError
from bronzescale_core.groups import GroupState, dump_group, load_group
from bronzescale_core.objects import ObjectCache, StoreObject
from bronzescale_core.rendezvous import rank_nodes
from bronzescale_proxy import wire
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import (
    PeerUnavailableError,
    StoreConflictError,
    StoreUnavailableError,
)
from bronzescale_proxy.group import GroupRuntime, new_nonce
from bronzescale_proxy.owner import DatabaseOwner

logger = logging.getLogger("bronzescale.node")

RECONCILE_INTERVAL_S = 0.5
OWNER_IDLE_TIMEOUT_MS = 10_000
EVIDENCE_TIMEOUT_S = 0.6
OWNERS_TO_TRY = 2
DECLARATION_KIND = "declaration"
DECLARATION_NAME = "main"
GROUP_KIND = "group"


class NodeRuntime:
    """State of one node, shared by its listeners and its databases.

    Parameters
    ----------
    settings : Settings
        Settings of this node.
    membership : Membership
        Liveness of the nodes.
    store : PlatformStore
        Client of the platform's store.
    peers : PeerClient
        Connections to other nodes.
    metrics : Metrics
        Counters and timers.
    trace : callable
        Called with each event of a failover machine and its actions.
    transaction_ids : TransactionIds
        Numbers of the transactions that this process holds.
    """

    def __init__(
        self, settings, membership, store, peers, metrics, trace, transaction_ids
    ):
        self.settings = settings
        self.membership = membership
        self.store = store
        self.peers = peers
        self.metrics = metrics
        self.trace = trace
        self._transaction_ids = transaction_ids
        self.objects = ObjectCache()
        self.declaration = None
        self.declaration_problem = ""
        self.leaving_upstreams = set()
        self._states = {}
        self._groups = {}
        self._group_scopes = {}
        self._owners = {}
        self._ranks = {}
        self._ranked_version = -1
        self._reconciled_inputs = None
        self._tasks = None
        self.changed = anyio.Event()
        self.state_listeners = []

    async def run(self):
        """Run until cancelled."""
        async with anyio.create_task_group() as self._tasks:
            try:
                while True:
                    self.reconcile()
                    await self._create_missing_groups()
                    await anyio.sleep(RECONCILE_INTERVAL_S)
            finally:
                for owner in self._owners.values():
                    owner.close()

    # Objects

    def apply_object(self, candidate):
        """Apply an object of the store, received from the store or a peer.

        Parameters
        ----------
        candidate : StoreObject
            The object.

        Returns
        -------
        bool
            Whether it was newer than the known version.
        """
        if not self.objects.put(candidate):
            return False
        self._apply(candidate)
        return True

    def apply_changes(self, changes, since, revision):
        """Apply all changes between two revisions.

        Parameters
        ----------
        changes : iterable of StoreObject
            The changes.
        since, revision : int
            Revisions between which the changes are complete.

        Returns
        -------
        list of StoreObject
            Objects that were newer than the known versions.
        """
        applied = self.objects.apply_changes(changes, since, revision)
        for item in applied:
            self._apply(item)
        return applied

    def publish(self, state):
        """Send a group state to every live node immediately.

        Parameters
        ----------
        state : GroupState
            The state, with its version.
        """
        item = StoreObject(GROUP_KIND, state.service, state.version, dump_group(state))
        self.apply_object(item)
        self.push([item])

    def push(self, items, nodes=None):
        """Send objects to other nodes without waiting.

        Parameters
        ----------
        items : list of StoreObject
            The objects.
        nodes : list of Node, default=None
            Recipients; None for every live node.
        """
        message = wire.Objects(-1, -1, items)
        for node in self.membership.live_nodes() if nodes is None else nodes:
            if node.name != self.settings.node:
                self._tasks.start_soon(self.peers.send_one_way, node, message)

    def _apply(self, item):
        if item.kind == DECLARATION_KIND and item.name == DECLARATION_NAME:
            self._apply_declaration(item)
        elif item.kind == GROUP_KIND and item.value is not None:
            state = load_group(item.value, item.version)
            self._states[state.service] = state
            group = self._groups.get(state.service)
            if group is not None:
                group.observe_state(state)
            for listener in self.state_listeners:
                listener(state)
        self.changed.set()
        self.changed = anyio.Event()

    def _apply_declaration(self, item):
        try:
            self.declaration = load_declaration(item.value, item.version)
            self.declaration_problem = ""
            logger.info("node: applied generation %d.", item.version)
        except (InvalidDeclarationError, KeyError, TypeError) as error:
            self.declaration_problem = f"generation {item.version}: {error}"
            logger.error(
                "node: kept the previous declaration; cannot apply the new one: %s.",
                error,
            )
        self.reconcile()

    # Groups and owners

    def service(self, name):
        """Return a service of the current declaration.

        Parameters
        ----------
        name : str
            Its name.

        Returns
        -------
        Service or None
        """
        return self.declaration.service(name) if self.declaration else None

    def state(self, service):
        """Return the newest known state of a service's group.

        Parameters
        ----------
        service : str
            Its name.

        Returns
        -------
        GroupState or None
        """
        return self._states.get(service)

    def groups(self):
        """Return the groups that this node watches.

        Returns
        -------
        list of GroupRuntime
        """
        return list(self._groups.values())

    def group(self, service):
        """Return a group that this node watches, or None."""
        return self._groups.get(service)

    def owners(self):
        """Return the databases that this node serves.

        Returns
        -------
        list of DatabaseOwner
        """
        return list(self._owners.values())

    def upstreams(self, service):
        """Return the databases of a service, marked with the platform's leaving flags.

        Parameters
        ----------
        service : Service
            The service.

        Returns
        -------
        list of Upstream
        """
        leaving = self.leaving_upstreams
        return [
            u._replace(is_leaving=True) if u.name in leaving else u
            for u in service.upstreams
        ]

    def rank(self, upstream):
        """Return the nodes that may own a database, best first.

        Parameters
        ----------
        upstream : Upstream
            The database.

        Returns
        -------
        list of Node
            At most `OWNERS_TO_TRY`; cached until the membership changes.
        """
        if self._ranked_version != self.membership.version:
            self._ranks.clear()
            self._ranked_version = self.membership.version
        ranked = self._ranks.get(upstream.name)
        if ranked is None:
            ranked = rank_nodes(
                upstream.name,
                self.membership.eligible_owners(),
                upstream.zone,
                upstream.region,
                OWNERS_TO_TRY,
            )
            self._ranks[upstream.name] = ranked
        return ranked

    def _is_first_ranked(self, upstream):
        ranked = self.rank(upstream)
        return bool(ranked) and ranked[0].name == self.settings.node

    def owner(self, service, upstream_name):
        """Return this node's owner of a database; create it on first use.

        Parameters
        ----------
        service : str
            Name of the service.
        upstream_name : str
            Name of the database.

        Returns
        -------
        DatabaseOwner or None
            None if the declaration has no such database or the group has no known
            state.
        """
        owner = self._owners.get(upstream_name) or self._create_owner(
            service, upstream_name
        )
        if owner is not None:
            owner.used_at_ms = now_ms()
        return owner

    def _create_owner(self, service, upstream_name):
        declared = self.service(service)
        if declared is None or self.state(service) is None:
            return None
        upstream = next(
            (u for u in declared.upstreams if u.name == upstream_name), None
        )
        if upstream is None:
            return None
        group = self._get_or_create_group(declared)
        owner = DatabaseOwner(
            upstream, group, self.settings, self.metrics, self._transaction_ids
        )
        self._owners[upstream_name] = owner
        self._update_group_ownership(declared)
        return owner

    def discard_silent_connections(self, upstream_name):
        """Discard connections that stopped answering, if the database is owned here.

        Parameters
        ----------
        upstream_name : str
            Name of the database; a new connection to it works.
        """
        owner = self._owners.get(upstream_name)
        if owner is not None:
            owner.pool.discard_silent()

    def reconcile(self):
        """Create and close owners and groups to match membership and declaration."""
        if self.declaration is None or self._tasks is None:
            return
        generation = self.declaration.generation
        inputs = (self.membership.version, generation, len(self._states))
        if inputs != self._reconciled_inputs:
            self._reconciled_inputs = inputs
            self._reconcile_services()
        self._close_unneeded_owners()

    def _reconcile_services(self):
        zones_with_nodes = {node.zone for node in self.membership.eligible_owners()}
        for service in self.declaration.services:
            if self.state(service.name) is not None:
                self._reconcile_service(service, zones_with_nodes)
        declared = {s.name for s in self.declaration.services}
        for name in set(self._groups) - declared:
            self._remove_group(name)

    def _reconcile_service(self, service, zones_with_nodes):
        group = self._groups.get(service.name)
        if group is not None and group.service != service:
            group.set_service(service)
        for upstream in service.upstreams:
            # Nodes of the database's own zone rank first. Where there are any, a node
            # of another zone cannot be first, so the ranking is skipped.
            is_in_other_zone = upstream.zone != self.settings.zone
            if is_in_other_zone and upstream.zone in zones_with_nodes:
                continue
            if upstream.name not in self._owners and self._is_first_ranked(upstream):
                self._create_owner(service.name, upstream.name)
        if service.name in self._groups:
            self._update_group_ownership(service)

    def _get_or_create_group(self, service):
        group = self._groups.get(service.name)
        if group is None:
            group = GroupRuntime(service, self.state(service.name), self)
            scope = anyio.CancelScope()
            self._groups[service.name] = group
            self._group_scopes[service.name] = scope
            self._tasks.start_soon(self._run_group, group, scope)
        return group

    async def _run_group(self, group, scope):
        with scope:
            await group.run()

    def _remove_group(self, name):
        del self._groups[name]
        self._group_scopes.pop(name).cancel()

    def _update_group_ownership(self, service):
        """Update the owned copies and the watcher rank of a group."""
        owned = {u.name for u in service.upstreams if u.name in self._owners}
        watchers = self.watchers(service)
        names = [node.name for node in watchers]
        own = self.settings.node
        rank = names.index(own) if own in names else len(names)
        self._groups[service.name].set_owned(owned, rank)

    def watchers(self, service):
        """Return the nodes that watch a service's group, best first.

        Parameters
        ----------
        service : Service
            The service.

        Returns
        -------
        list of Node
        """
        first_ranked = {}
        for upstream in service.upstreams:
            ranked = self.rank(upstream)
            if ranked:
                first_ranked[ranked[0].name] = ranked[0]
        return rank_nodes(service.name, first_ranked.values())

    def _close_unneeded_owners(self):
        """Close idle owners of databases for which another node ranks first."""
        at_ms = now_ms()
        for name, owner in list(self._owners.items()):
            owner.end_idle_transactions()
            service = self._declared_service_of(owner)
            if service is not None and self._is_first_ranked(owner.upstream):
                continue
            if not owner.is_idle:
                continue
            owner.pool.close_idle()
            if service is None or at_ms - owner.used_at_ms > OWNER_IDLE_TIMEOUT_MS:
                owner.close()
                del self._owners[name]
                self._update_groups_of(owner)

    def _declared_service_of(self, owner):
        for service in self.declaration.services:
            if owner.upstream in service.upstreams:
                return service
        return None

    def _update_groups_of(self, owner):
        for service in self.declaration.services:
            names = [upstream.name for upstream in service.upstreams]
            if owner.upstream.name in names and service.name in self._groups:
                self._update_group_ownership(service)

    async def _create_missing_groups(self):
        """Write the initial state of declared groups that have none in the store."""
        if self.declaration is None:
            return
        for service in self.declaration.services:
            if self.state(service.name) is not None:
                continue
            watchers = self.watchers(service)
            if watchers and watchers[0].name == self.settings.node:
                await self._create_group(service)

    async def _create_group(self, service):
        state = GroupState(
            service=service.name,
            term=1,
            primary=service.initial_primary,
            writer=self.settings.node,
            nonce=new_nonce(),
            reason="first declared",
        )
        try:
            version = await self.store.update(
                GROUP_KIND, service.name, dump_group(state), 0
            )
            self.publish(state._replace(version=version))
        except StoreConflictError:
            found = await self._read_group(service.name)
            if found is not None:
                self.apply_object(found)
        except StoreUnavailableError as error:
            logger.warning(
                "node: could not write the initial state of %s: %s; trying again.",
                service.name,
                error,
            )

    async def _read_group(self, name):
        try:
            return await self.store.read(GROUP_KIND, name)
        except StoreUnavailableError:
            return None

    # Evidence

    async def ask_evidence(self, service, term, on_answer):
        """Ask the other watchers of a group for their verdict on its primary.

        Parameters
        ----------
        service : Service
            The service.
        term : int
            Term whose primary is suspected to be down.
        on_answer : callable
            Called with the node, zone and `Verdict` of each answer.
        """
        request = wire.EvidenceRequest(service.name, term)

        async def request_verdict(node):
            try:
                reply = await self.peers.request(node, request, EVIDENCE_TIMEOUT_S)
            except PeerUnavailableError:
                return
            if isinstance(reply, wire.EvidenceReply) and reply.verdict:
                on_answer(reply.node, reply.zone, Verdict(reply.verdict))

        async with anyio.create_task_group() as tasks:
            for node in self.watchers(service):
                if node.name != self.settings.node:
                    tasks.start_soon(request_verdict, node)
