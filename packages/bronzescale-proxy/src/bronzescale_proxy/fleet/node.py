"""Hold the state that one node of the fleet shares between its tasks.

`FleetNode` keeps the newest version of every object from the store (configuration,
upstreams, groups and hosts), whether the store or a peer sent it. It derives the
catalog of databases from them, and ranks the live nodes for each database: the first in
rank owns it, which means that it holds the connections to it.
"""

import anyio

from bronzescale_core.catalog import Catalog
from bronzescale_core.departures import Departures
from bronzescale_core.exceptions import UnreadableGroupError
from bronzescale_core.groups import Phase, dump_group, load_group
from bronzescale_core.rendezvous import rank_nodes
from bronzescale_core.store_era import DIGEST_MASK, era_of, reconcile_group
from bronzescale_proxy import wire
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import PeerUnavailableError, StoreError
from bronzescale_proxy.fleet.allowances import Allowances
from bronzescale_proxy.fleet.control import CopyControl
from bronzescale_proxy.fleet.owner import CopyOwner
from bronzescale_proxy.fleet.primary_monitor import PrimaryMonitor
from bronzescale_proxy.fleet.state_reader import StateReader
from bronzescale_proxy.fleet.supervision import SupervisedTasks

CONFIGURATION = "configuration"
UPSTREAMS = "upstreams"
HOSTS = "hosts"
GROUPS = "groups"
# Kinds that nodes send to each other; heartbeats carry one digest for each, in this
# order.
SHARED_KINDS = (CONFIGURATION, UPSTREAMS, GROUPS, HOSTS)
MAIN_NAME = "main"
# Nodes to try for one database: two of its own zone, and others if both fail.
MAX_OWNER_CANDIDATES = 4
# Short compared to the 1 s by which an idle transaction may exceed its limit.
SWEEP_INTERVAL_S = 0.25
# Time during which a node that did not answer is tried last. Before it ends, the
# membership marks the node as down if it has failed.
SUSPICION_MS = 1_500
# Several round trips to another region.
PING_TIMEOUT_S = 0.35
# The other nodes of the fleet have started by then. Earlier, several nodes would each
# rank first for the same database and open connections to it.
WARM_UP_DELAY_S = 1.5
# A node that is not first in rank for a database closes its idle connections after this
# time, which leaves the database's connection limit to the first in rank.
OWNER_IDLE_TIMEOUT_MS = 2_000
# Findings of one configuration that are logged, so that thousands of bad entries do not
# flood the log.
MAX_LOGGED_FINDINGS = 20
# Names of unreadable objects that are kept, to log each of their versions once.
MAX_REPORTED_OBJECTS = 1_000


class FleetNode:
    """State of one node that its listeners and background tasks share.

    Parameters
    ----------
    settings : FleetSettings
        Settings of this node.
    membership : Membership
        Nodes of the fleet and their status.
    store : object
        Client of the platform's store.
    peers : PeerClient
        Connections to other nodes.
    codec : LineCodec
        Encodes and decodes the line protocol.
    documents : module
        Decodes the configuration and the entries of databases.
    metrics : FleetMetrics
        Counters and histograms.
    log : DecisionLog
        Structured log.
    transaction_ids : TransactionIds
        Numbers of the transactions that this process holds.
    """

    def __init__(
        self,
        settings,
        membership,
        store,
        peers,
        codec,
        documents,
        metrics,
        log,
        transaction_ids,
    ):
        self.settings = settings
        self.membership = membership
        self.store = store
        self.peers = peers
        self.codec = codec
        self.documents = documents
        self.metrics = metrics
        self.log = log
        self.transaction_ids = transaction_ids
        # A refuted rumor raises the incarnation in the membership, but not this one.
        self.incarnation = membership.own.incarnation
        self.catalog = Catalog()
        self._departures = Departures()
        self.configuration = None
        self._configured_at_ms = 0
        # The value that was decoded last, and the result.
        self._decoded = None
        self.is_stopping = False
        self.is_synchronized = False
        self.is_store_answering = True
        self.objects = {}
        self.tasks = None
        self.changed = anyio.Event()
        self._group_states = {}
        self._primary_monitors = {}
        self._owners = {}
        self._controls = {}
        self.new_service_listeners = []
        self.configuration_listeners = []
        self._suspected_until_ms = {}
        self._digests = None
        self._group_version = 0
        self._role_versions = None
        self._groups_asked_at_ms = None
        self._ranks = {}
        self._ranked_versions = None
        self.allowances = Allowances(self)
        self.state_reader = StateReader(self, GROUPS)
        store.era.change_listeners.append(self._enter_era)
        store.era.problem_listeners.append(
            lambda text: self.log.log_decision("era_unusable", reason=text)
        )
        # Newest version of each unreadable object that the log names.
        self._reported_versions = {}
        store.problem_listeners.append(self.report_unreadable)

    async def run(self):
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = SupervisedTasks(tasks, self.log)
            try:
                if self.settings.is_first_start:
                    self.tasks.start_soon(self._warm_up_later)
                for service in list(self._primary_monitors):
                    self._start_primary_monitor(service)
                self.tasks.keep_running(self._maintain)
                self.tasks.keep_running(self.allowances.run)
                await anyio.sleep_forever()
            finally:
                for owner in self._owners.values():
                    owner.close()
                for control in self._controls.values():
                    control.close()

    async def _maintain(self):
        while True:
            self._update_roles()
            self.sweep()
            await anyio.sleep(SWEEP_INTERVAL_S)

    # Objects

    def apply_object(self, item):
        """Apply an object from the store or a peer if it is newer than the known one.

        Parameters
        ----------
        item : StoreObject
            The object; without a value if it was deleted.

        Returns
        -------
        bool
            Whether it was newer and has been applied.
        """
        self.store.era.learn(era_of(item.version))
        key = (item.kind, item.name)
        known = self.objects.get(key)
        if known is not None and known.version >= item.version:
            self._apply_superseded(item, known)
            return False
        if item.kind == CONFIGURATION and not self._is_newer_configuration(item):
            # The store returned from a copy that lacks the configuration in force.
            item = item._replace(value=known.value if known is not None else None)
        self.objects[key] = item
        self._digests = None
        self._apply(item, known)
        return True

    def apply_list(self, kind, items, version):
        """Apply a complete list of the objects of a kind.

        Parameters
        ----------
        kind : str
            The kind.
        items : list of StoreObject
            Every object of the kind.
        version : int
            Version of the store as of the list. A known object that is not newer and
            not on the list has been deleted.
        """
        listed = {item.name for item in items}
        changed = [
            item
            for item in items
            if self._is_from_older_era((kind, item.name), version)
            and self.objects[(kind, item.name)].value != item.value
        ]
        for item in items:
            self.apply_object(item)
        missing = [
            known
            for (known_kind, name), known in self.objects.items()
            if known_kind == kind
            and name not in listed
            and known.value is not None
            and known.version <= version
        ]
        lost = [
            known
            for known in missing
            if self._is_from_older_era((kind, known.name), version)
        ]
        for known in missing:
            self.apply_object(known._replace(version=version, value=None))
        if changed or lost:
            self.log.log_state_change(
                "objects_lost",
                kind=kind,
                rolled_back=len(changed),
                missing=len(lost),
                era=era_of(version),
            )
        self.notify()

    def _is_from_older_era(self, key, version):
        """Return whether an object is known from an era before that of a version."""
        known = self.objects.get(key)
        return known is not None and era_of(known.version) < era_of(version)

    def _enter_era(self, old, new):
        """Note that the store returned from an older copy."""
        self.log.log_state_change(
            "store_era", old=old, new=new, settled_at_ms=self.store.era.settled_at_ms()
        )
        self.metrics.set_store_era(new)
        # Databases register again, as after an outage.
        self.catalog.record_outage(now_ms())
        for monitor in self._primary_monitors.values():
            monitor.begin_confirming()

    def _apply_superseded(self, item, known):
        """Apply what an object still tells although the known one has its version.

        A peer may hold a configuration, a group's state or the report of a leaving
        database that the store has lost.
        """
        is_lost = era_of(item.version) < era_of(known.version)
        if item.kind == GROUPS and is_lost:
            self._apply_group(item)
            return
        if item.kind == UPSTREAMS and is_lost:
            self._apply_lost_upstream(item, known)
            return
        may_differ = is_lost or item.version == known.version
        if item.kind != CONFIGURATION or not may_differ or item.value == known.value:
            return
        if self._is_newer_configuration(item):
            self.objects[(item.kind, item.name)] = known._replace(value=item.value)
            self._digests = None
            self._apply_configuration(item)

    def _apply_lost_upstream(self, item, known):
        """Apply what a database reported before the store returned from a copy."""
        if item.value is None or known.value is None:
            return
        reported = self.documents.decode_copy(item.name, item.value)
        current = self.documents.decode_copy(item.name, known.value)
        if reported is None or current is None:
            return
        if self._departures.learn(item, reported):
            self._digests = None
            self._put_copy(current, item.version)
            self.notify()

    def _is_newer_configuration(self, item):
        """Return whether a configuration may come into force after the known one."""
        if self.configuration is None:
            return True
        configuration = self._decode_configuration(item)
        if configuration is None:
            return False
        return configuration.version > self.configuration.version

    def _decode_configuration(self, item):
        """Return a decoded configuration, or None; decode the same value only once."""
        value = item.value
        if value is None:
            return None
        if self._decoded is not None and self._decoded[0] is value:
            return self._decoded[1]
        configuration = None
        try:
            configuration = self.documents.decode_configuration(value)
        except self.documents.UnreadableDocumentError as error:
            self.report_unreadable(CONFIGURATION, item.name, item.version, str(error))
        self._decoded = value, configuration
        return configuration

    def report_unreadable(self, kind, name, version, reason):
        """Log that an object isn't used, once for each version of it.

        Parameters
        ----------
        kind, name : str
            The object.
        version : int
            Its version.
        reason : str
            Why it cannot be used.
        """
        if self._reported_versions.get((kind, name), -1) >= version:
            return
        if len(self._reported_versions) >= MAX_REPORTED_OBJECTS:
            self._reported_versions.clear()
        self._reported_versions[(kind, name)] = version
        self.metrics.count_unreadable(kind)
        self.log.log_state_change(
            "object_unreadable",
            kind=kind,
            name=ascii(name)[1:-1],
            revision=version,
            reason=reason,
        )

    def digests(self):
        """Return a digest of the known objects of each shared kind.

        The digest is the sum of the versions of all objects that are not deleted.
        Nodes that hold the same objects at the same versions have equal digests; the
        newest revision alone would hide that an older object was missed. Those of the
        configuration and of the databases also count what is newer than what the store
        holds after it returned from a copy.
        """
        if self._digests is not None:
            return self._digests
        version_sums = dict.fromkeys(SHARED_KINDS, 0)
        for item in self.objects.values():
            if item.value is not None and item.kind in version_sums:
                version_sums[item.kind] += item.version
        if self.configuration is not None:
            version_sums[CONFIGURATION] += self.configuration.version
        version_sums[UPSTREAMS] += self._departures.digest()
        self._digests = tuple(version_sums[kind] & DIGEST_MASK for kind in SHARED_KINDS)
        return self._digests

    def newest_versions(self):
        """Return the newest version that is known of the objects of each kind."""
        newest = dict.fromkeys(SHARED_KINDS, 0)
        for item in self.objects.values():
            if item.version > newest.get(item.kind, item.version):
                newest[item.kind] = item.version
        return newest

    def objects_of(self, kinds, since=0):
        """Return the known objects of some kinds, deleted ones included.

        Only those with a version above `since` are returned.

        Reports of databases that the store has lost come first, so that a node which
        applies the objects in this order knows them before the store's own entries.
        """
        wanted = set(kinds or SHARED_KINDS) & set(SHARED_KINDS)
        lost = self._departures.lost_items() if UPSTREAMS in wanted else []
        return lost + [
            item
            for item in self.objects.values()
            if item.kind in wanted and item.version > since
        ]

    def notify(self):
        """Wake the tasks that wait for a change of this node's state."""
        self.changed.set()
        self.changed = anyio.Event()

    def _apply(self, item, previous):
        if item.kind == CONFIGURATION and item.name == MAIN_NAME:
            self._apply_configuration(item)
        elif item.kind == UPSTREAMS:
            self._apply_upstream(item, previous.version if previous else 0)
        elif item.kind == GROUPS:
            self._apply_group(item)
        self.notify()

    def _apply_configuration(self, item):
        configuration = self._decode_configuration(item)
        if configuration is None:
            return
        known = self.configuration
        if known is not None and known.version >= configuration.version:
            return
        self.configuration = configuration = configuration.keep_closed(known)
        self._configured_at_ms = now_ms()
        self.log.log_state_change(
            "configuration_in_force",
            version=configuration.version,
            revision=item.version,
            routes=len(configuration.routes),
            customers=len(configuration.customers),
        )
        for finding in configuration.findings[:MAX_LOGGED_FINDINGS]:
            self.log.log_state_change(
                "configuration_finding", version=configuration.version, reason=finding
            )
        for service in configuration.services:
            self.primary_monitor(service)
        for listener in self.configuration_listeners:
            listener()

    @property
    def configuration_age_ms(self):
        """Return for how long the configuration has been in force at this node."""
        return now_ms() - self._configured_at_ms

    def _apply_upstream(self, item, previous_version):
        copy = None
        if item.value is not None:
            copy = self.documents.decode_copy(item.name, item.value)
            if copy is None:
                problem = self.documents.find_entry_problem(item.name, item.value)
                self.report_unreadable(item.kind, item.name, item.version, problem)
        if copy is None:
            self._departures.forget(item.name, now_ms())
            if self.catalog.remove(item.name, now_ms()):
                self.log.log_state_change("upstream_gone", upstream=item.name)
                self._retire(item.name)
            return
        self._departures.record(item, copy, previous_version)
        self._put_copy(copy, item.version)

    def _put_copy(self, copy, version):
        known = self.catalog.find(copy.instance)
        copy = self._departures.resolve(copy)
        if not self.catalog.put(copy):
            return
        self.log.log_state_change(
            "upstream_changed",
            upstream=copy.instance,
            service=copy.service,
            is_leaving=copy.is_leaving,
            is_primary=copy.is_primary,
            revision=version,
        )
        is_replaced = known is not None and (
            known.incarnation != copy.incarnation or known.address != copy.address
        )
        if is_replaced:
            self._discard(copy.instance)
        self.primary_monitor(copy.service)

    def _apply_group(self, item):
        if item.value is None:
            known = self._group_states.get(item.name)
            if known is not None:
                # The next write has to create the object.
                self._group_states[item.name] = known._replace(version=0)
            return
        try:
            state = load_group(item.value, item.version)
        except UnreadableGroupError as error:
            self.report_unreadable(item.kind, item.name, item.version, str(error))
            return
        if state.service != item.name:
            reason = "it is the state of a service of another name"
            self.report_unreadable(item.kind, item.name, item.version, reason)
            return
        self._group_version += 1
        known = self._group_states.get(state.service)
        state = reconcile_group(known, state, self.store.era.number)
        self._group_states[state.service] = state
        if known is not None and state == known._replace(version=state.version):
            return
        monitor = self.primary_monitor(state.service)
        if state.phase is not Phase.ACTIVE:
            monitor.lease.revoke()
            monitor.record_change_start()
        self.log.log_state_change(
            "group_state",
            service=state.service,
            term=state.term,
            primary=state.primary,
            phase=state.phase.value,
            writer=state.writer,
            revision=item.version,
            reason=state.reason,
        )

    # Services

    def state(self, service):
        """Return the newest known state of a service's group, or None."""
        return self._group_states.get(service)

    def record_group_listing(self, asked_at_ms):
        """Record when the newest complete list of groups was requested."""
        self._groups_asked_at_ms = asked_at_ms

    async def read_state(self, service):
        """Read the state of a service's group from the store.

        Returns
        -------
        GroupState or None
            None if the store has none.

        Raises
        ------
        StoreError
            If the read failed, or the state cannot be read.
        """
        item = await self.state_reader.read(service)
        if item is None:
            return None
        self.apply_object(item)
        try:
            return load_group(item.value, item.version)
        except UnreadableGroupError as error:
            raise StoreError(f"{error}; delete the object {service}") from error

    async def write_state(self, state):
        """Write a group state if the store still has the version that it replaces.

        Returns
        -------
        GroupState
            The state with its new version.

        Raises
        ------
        StoreConflictError
            If the store has another version.
        StoreError
            If the write failed; the state may have been stored anyway. Also if nodes
            could not read the state; nothing is stored then, since the next write must
            name the version of the object that it replaces.
        """
        document = dump_group(state)
        try:
            load_group(document, state.version)
        except UnreadableGroupError as error:
            raise StoreError(
                f"a state of {state.service} was not written: {error}"
            ) from error
        item = await self.store.put(GROUPS, state.service, document, state.version)
        item = item._replace(value=document)
        self.apply_object(item)
        self.push([item])
        return state._replace(version=item.version)

    def push(self, items, zone=""):
        """Send objects to the other live nodes without waiting for them.

        Parameters
        ----------
        items : list of StoreObject
            The objects.
        zone : str
            Only nodes of this availability zone; empty for all.
        """
        message = wire.Objects(-1, -1, items)
        for node in self.membership.live_nodes():
            if zone and node.zone != zone:
                continue
            if node.name != self.settings.node and self.tasks is not None:
                self.tasks.start_soon(self.peers.send_one_way, node, message)

    def primary_monitor(self, service):
        """Return the primary monitor of a service; create it on first use."""
        monitor = self._primary_monitors.get(service)
        if monitor is None:
            monitor = PrimaryMonitor(self, service)
            self._primary_monitors[service] = monitor
            if self.tasks is not None:
                self._start_primary_monitor(service)
        return monitor

    def primary_monitors(self):
        """Return all primary monitors."""
        return list(self._primary_monitors.values())

    def _start_primary_monitor(self, service):
        self.tasks.keep_running(self._primary_monitors[service].run)
        for listener in self.new_service_listeners:
            listener(service)

    def _update_roles(self):
        """Update what this node does for each service, if that can have changed."""
        versions = (
            self.membership.version,
            self.catalog.version,
            self._group_version,
            len(self._primary_monitors),
        )
        if versions == self._role_versions:
            return
        self._role_versions = versions
        for monitor in self._primary_monitors.values():
            monitor.update_role()

    def monitors_primary(self, service):
        """Return whether this node is a monitoring node of a service.

        The monitoring nodes, which probe the service's primary, are those that are
        first in rank for one of its copies.
        """
        return any(
            self.is_preferred_owner(copy.instance)
            for copy in self.catalog.copies(service)
        )

    def monitor_rank(self, service):
        """Return this node's rank, from 0, among the monitoring nodes of a service.

        If it is none of them, the rank is their number.
        """
        monitoring_nodes = self.monitoring_nodes(service)
        names = [node.name for node in monitoring_nodes]
        own = self.settings.node
        return names.index(own) if own in names else len(names)

    def monitoring_nodes(self, service):
        """Return the monitoring nodes of a service, most suitable first.

        These are the nodes that are first in rank for a copy of the service. The owner
        of the primary comes first: it probes most often and renews the primary's lease.
        """
        found = {}
        primary = self.primary_monitor(service).primary
        copies = sorted(
            self.catalog.copies(service),
            key=lambda copy: (copy.instance != primary, copy.instance),
        )
        for copy in copies:
            ranked = self.rank(copy.instance)
            if ranked:
                found.setdefault(ranked[0].name, ranked[0])
        return list(found.values())

    # Databases

    def rank(self, instance):
        """Return the nodes that may own a database, best first.

        The result is cached until membership or catalog change, since every task that
        monitors a service calls this in a loop.
        """
        versions = self.membership.version, self.catalog.version
        if versions != self._ranked_versions:
            self._ranked_versions = versions
            self._ranks.clear()
        ranked = self._ranks.get(instance)
        if ranked is None:
            ranked = self._ranks[instance] = self._compute_rank(instance)
        return ranked

    def _compute_rank(self, instance):
        copy = self.catalog.find(instance)
        if copy is None:
            return []
        region = self.settings.regions.get(copy.zone, "")
        return rank_nodes(
            instance,
            self.membership.eligible_owners(),
            copy.zone,
            region,
            MAX_OWNER_CANDIDATES,
        )

    def is_preferred_owner(self, instance):
        """Return whether this node is first in rank for a database."""
        ranked = self.rank(instance)
        return bool(ranked) and ranked[0].name == self.settings.node

    def owner_rank(self, instance):
        """Return this node's rank among those that may own a database.

        Returns
        -------
        int or None
            From 0; None if this node may not own the database.
        """
        names = [node.name for node in self.rank(instance)]
        own = self.settings.node
        return names.index(own) if own in names else None

    def owners_of(self, instance):
        """Return the nodes to try for a database; None stands for this node.

        Nodes that recently failed to answer come last.
        """
        now = now_ms()
        ranked = sorted(
            self.rank(instance),
            key=lambda node: self._suspected_until_ms.get(node.name, 0) > now,
        )
        own = self.settings.node
        return [None if node.name == own else node for node in ranked]

    def mark_suspect(self, peer):
        """Prefer other nodes for `SUSPICION_MS` to one that did not answer.

        The missing answer also counts as a missed heartbeat.
        """
        if self._suspected_until_ms.get(peer.name, 0) <= now_ms():
            self.log.log_state_change("peer_suspected", peer=peer.name)
        self._suspected_until_ms[peer.name] = now_ms() + SUSPICION_MS
        if self.membership.record_missed_heartbeat(peer.name):
            self.log.log_state_change(
                "peer_down", peer=peer.name, reason="relayed requests failed"
            )

    async def ping(self, peer):
        """Return whether a node answers a request now, this one or another."""
        request = wire.HeadRequest("", 0)
        asked_at_ms = now_ms()
        try:
            await self.peers.request(peer, request, PING_TIMEOUT_S)
        except PeerUnavailableError:
            # If this node itself was busy, what has arrived is read only now.
            await anyio.sleep(0)
            return self.peers.has_heard_since(peer, asked_at_ms)
        return True

    def owner(self, instance):
        """Return this node's owner of a database; create it on first use.

        Returns
        -------
        CopyOwner or None
            None if the database is unknown.
        """
        owner = self._owners.get(instance)
        if owner is None:
            copy = self.catalog.find(instance)
            if copy is None:
                return None
            owner = CopyOwner(copy, self.primary_monitor(copy.service), self)
            self._owners[instance] = owner
        return owner

    def owners(self):
        """Return the owners of all databases to which this node holds connections."""
        return list(self._owners.values())

    def begin_serving(self):
        """Prepare for the first statements, once all objects are known.

        After a restart callers are waiting already, and the other nodes are known.
        """
        self._update_roles()
        for monitor in self._primary_monitors.values():
            monitor.renew_from_listing(self._groups_asked_at_ms)
        if self.tasks is not None and not self.settings.is_first_start:
            self.tasks.start_soon(self.warm_up)

    async def _warm_up_later(self):
        await anyio.sleep(WARM_UP_DELAY_S)
        await self.warm_up()

    async def warm_up(self):
        """Open connections to the databases that this node is first in rank for.

        With customers, nobody knows yet whose connections will be needed.
        """
        if self.configuration is not None and self.configuration.customers:
            return
        for copy in self.catalog.all():
            if self.is_preferred_owner(copy.instance) and not copy.is_leaving:
                await self.owner(copy.instance).warm_up()

    def control(self, instance):
        """Return the control connection of a database; create it on first use.

        Returns
        -------
        CopyControl or None
            None if the database is unknown.
        """
        control = self._controls.get(instance)
        if control is None:
            copy = self.catalog.find(instance)
            if copy is None:
                return None
            control = CopyControl(copy, self.codec)
            self._controls[instance] = control
        return control

    def _retire(self, instance):
        """Send no new statements to a removed database; let open transactions end."""
        owner = self._owners.get(instance)
        if owner is not None:
            owner.retire()
        control = self._controls.pop(instance, None)
        if control is not None:
            control.close()

    def _discard(self, instance):
        """Close everything that is open to a database that was replaced."""
        owner = self._owners.pop(instance, None)
        if owner is not None:
            owner.close()
        control = self._controls.pop(instance, None)
        if control is not None:
            control.close()

    # Maintenance

    def sweep(self):
        """Remove lapsed databases, idle transactions and unused connections."""
        for instance in self.catalog.sweep(now_ms()):
            self.log.log_state_change(
                "upstream_gone", upstream=instance, reason="lapsed"
            )
            self._retire(instance)
            self.notify()
        configuration = self.configuration
        idle_limit_ms = configuration.transaction_idle_ms if configuration else 3_000
        for owner in list(self._owners.values()):
            for number in owner.idle_transactions(idle_limit_ms):
                self.log.log_decision("transaction_dropped", transaction=number)
                self.tasks.start_soon(owner.roll_back, number)
            is_removed = self.catalog.find(owner.copy.instance) is None
            if is_removed and owner.is_idle:
                self._owners.pop(owner.copy.instance, None)
                owner.close()
                continue
            if self.is_preferred_owner(owner.copy.instance):
                continue
            owner.yield_connections()
            is_unused = (
                owner.is_idle and now_ms() - owner.used_at_ms > OWNER_IDLE_TIMEOUT_MS
            )
            if is_unused:
                self._owners.pop(owner.copy.instance, None)
                owner.close()
