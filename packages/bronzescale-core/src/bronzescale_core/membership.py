"""Track which proxies are alive, from the platform's host list and heartbeats.

The result is a hint, and it is safe for two nodes to disagree: a database limits its
connections by its own locks, and its terms decide who may write.
"""

from enum import IntEnum
from typing import NamedTuple

from bronzescale_core.rendezvous import Node, score

HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 800
SAME_ZONE_TARGETS = 3
OTHER_ZONE_TARGETS = 1
MISSED_HEARTBEATS_UNTIL_DOWN = 2
SENDS_PER_RUMOR = 12
MAX_RUMORS_PER_HEARTBEAT = 8
# Hosts that are down of which a process that starts is told. Two fail on an ordinary
# day, and their entries stay.
MAX_DOWN_RUMORS = 64


class Status(IntEnum):
    """Status of a node; of two rumors of one incarnation the higher status wins."""

    ALIVE = 0
    LEAVING = 1
    DOWN = 2


class Rumor(NamedTuple):
    """A node's status, passed from node to node by gossip."""

    node: Node
    status: Status


class _Member:
    """State of one other node."""

    def __init__(self, node, status):
        self.node = node
        self.status = status
        self.misses = 0


class Membership:
    """Nodes known to one process.

    Parameters
    ----------
    own : Node
        This process.
    """

    def __init__(self, own):
        self._own = own
        self._own_status = Status.ALIVE
        self._members = {}
        self._rumors = {}
        self._listed = {}
        self.version = 0
        # Version and targets of the newest computation.
        self._targets = None

    @property
    def own(self):
        """Return this process with its current incarnation."""
        return self._own

    @property
    def own_status(self):
        """Return the status that this process announces."""
        return self._own_status

    def leave(self):
        """Announce that this process becomes the owner of no further databases."""
        self._own_status = Status.LEAVING
        self.version += 1
        self._queue_rumor(Rumor(self._own, Status.LEAVING))

    def live_nodes(self):
        """Return the nodes that are not down, this one included.

        Returns
        -------
        list of Node
        """
        known = [m.node for m in self._members.values() if m.status is not Status.DOWN]
        return [self._own, *known]

    def eligible_owners(self):
        """Return the nodes that may own databases.

        Returns
        -------
        list of Node
        """
        members = self._members.values()
        known = [m.node for m in members if m.status is Status.ALIVE]
        return [self._own, *known] if self._own_status is Status.ALIVE else known

    def registered_others(self):
        """Return the other nodes on the platform's host list with their status.

        A node stays on the list until it stops gracefully or its entry is deleted.

        Returns
        -------
        list of Rumor
        """
        members = (self._members.get(name) for name in self._listed)
        return [Rumor(m.node, m.status) for m in members if m is not None]

    def count_registered_others(self):
        """Return how many other nodes are on the platform's host list."""
        return sum(1 for name in self._listed if name in self._members)

    def find(self, name):
        """Return a known node.

        Parameters
        ----------
        name : str
            Its name.

        Returns
        -------
        Node or None
        """
        member = self._members.get(name)
        return member.node if member is not None else None

    def statuses(self):
        """Return every known node with its status, for the dump; this one first.

        Returns
        -------
        list of Rumor
        """
        known = [Rumor(m.node, m.status) for m in self._members.values()]
        return [Rumor(self._own, self._own_status), *known]

    def merge_host_list(self, nodes, leaving):
        """Merge the platform's host list.

        Parameters
        ----------
        nodes : iterable of Node
            Listed nodes.
        leaving : set of str
            Names of the nodes that are marked as leaving.
        """
        self._listed = {node.name: node for node in nodes}
        for node in nodes:
            self._update_member(node, Status.ALIVE, skip_gossip=True)
            member = self._members.get(node.name)
            if member is not None:
                self._apply_listed_addresses(member)
                if node.name in leaving:
                    self._update_member(member.node, Status.LEAVING, skip_gossip=True)
        for name in set(self._members) - set(self._listed):
            if self._members[name].status is Status.DOWN:
                del self._members[name]
                self.version += 1

    def heartbeat_targets(self):
        """Return the nodes to send heartbeats to.

        Returns
        -------
        list of Node
            Successors of this node on a hash ring, most of them in its own zone.
        """
        if self._targets is not None and self._targets[0] == self.version:
            return self._targets[1]
        own_score = score("ring", self._own.name)

        def ring_distance(member):
            return (score("ring", member.node.name) - own_score) % 2**64

        ordered = sorted(self._members.values(), key=ring_distance)
        nodes = [member.node for member in ordered]
        same_zone = [node for node in nodes if node.zone == self._own.zone]
        other_zones = [node for node in nodes if node.zone != self._own.zone]
        targets = same_zone[:SAME_ZONE_TARGETS] + other_zones[:OTHER_ZONE_TARGETS]
        self._targets = self.version, targets
        return targets

    def outgoing_rumors(self):
        """Return the rumors to send with the next heartbeat, least sent first.

        Returns
        -------
        list of Rumor
        """
        queued = sorted(self._rumors.items(), key=lambda item: -item[1][1])
        chosen = queued[:MAX_RUMORS_PER_HEARTBEAT]
        for name, (rumor, sends_left) in chosen:
            if sends_left <= 1:
                del self._rumors[name]
            else:
                self._rumors[name] = (rumor, sends_left - 1)
        return [rumor for _, (rumor, _) in chosen]

    def has_restarted(self, name, incarnation):
        """Return whether a process is newer than the one that is known of its node."""
        member = self._members.get(name)
        return member is None or member.node.incarnation < incarnation

    def down_rumors(self):
        """Return the nodes that are down, for a process that starts.

        It finds them on the platform's host list, and the rumors about them have ended.

        Returns
        -------
        list of Rumor
        """
        down = [m for m in self._members.values() if m.status is Status.DOWN]
        return [Rumor(m.node, m.status) for m in down[:MAX_DOWN_RUMORS]]

    def record_heartbeat(self, name, incarnation, status, rumors):
        """Record a heartbeat or the answer to one.

        Parameters
        ----------
        name : str
            Name of the sender.
        incarnation : int
            Incarnation of the sender.
        status : Status
            Status of the sender.
        rumors : iterable of Rumor
            Rumors that came with it; a node that just started announces its
            addresses in a rumor about itself.

        Returns
        -------
        bool
            Whether any node's entry changed.
        """
        changed = False
        for rumor in rumors:
            changed |= self._apply_rumor(rumor)
        member = self._members.get(name)
        if member is not None:
            node = member.node._replace(incarnation=incarnation)
            changed |= self._update_member(node, status, is_direct=True)
            member.misses = 0
        return changed

    def announce_self(self):
        """Queue a rumor with this node's own addresses and status."""
        self._queue_rumor(Rumor(self._own, self._own_status))

    def record_missed_heartbeat(self, name):
        """Count a heartbeat that was not answered.

        Parameters
        ----------
        name : str
            Name of the node that did not answer.

        Returns
        -------
        bool
            Whether this marks the node as down.
        """
        member = self._members.get(name)
        if member is None or member.status is Status.DOWN:
            return False
        member.misses += 1
        if member.misses < MISSED_HEARTBEATS_UNTIL_DOWN:
            return False
        member.status = Status.DOWN
        self.version += 1
        self._queue_rumor(Rumor(member.node, Status.DOWN))
        return True

    def _apply_rumor(self, rumor):
        if rumor.node.name == self._own.name:
            return self._refute(rumor)
        return self._update_member(rumor.node, rumor.status)

    def _refute(self, rumor):
        if rumor.node.incarnation < self._own.incarnation:
            return False
        if rumor.status <= self._own_status:
            return False
        self._own = self._own._replace(incarnation=rumor.node.incarnation + 1)
        self._queue_rumor(Rumor(self._own, self._own_status))
        return False

    def _update_member(self, node, status, is_direct=False, skip_gossip=False):
        """Merge the status of another node, and return whether its entry changed.

        Entries of the host list are not gossiped, since every node receives the list.
        """
        if node.name == self._own.name:
            return False
        node = self._with_listed_addresses(node)
        member = self._members.get(node.name)
        if member is None:
            self._members[node.name] = _Member(node, status)
        elif not self._supersedes(member, node, status, is_direct):
            return False
        else:
            # A first heartbeat only adds the incarnation to the listed entry.
            skip_gossip |= not member.node.incarnation and status is member.status
            member.node = node
            member.status = status
            member.misses = 0
        self.version += 1
        if not skip_gossip:
            self._queue_rumor(Rumor(node, status))
        return True

    def _supersedes(self, member, node, status, is_direct):
        if (node.incarnation, status) > (member.node.incarnation, member.status):
            return True
        is_own_heartbeat = is_direct and node.incarnation >= member.node.incarnation
        return is_own_heartbeat and member.status is Status.DOWN

    def _apply_listed_addresses(self, member):
        """Use the listed addresses; the new version invalidates cached ones."""
        listed = self._with_listed_addresses(member.node)
        if listed != member.node:
            member.node = listed
            self.version += 1

    def _with_listed_addresses(self, node):
        """Return a node with the addresses that the platform lists for this zone."""
        listed = self._listed.get(node.name)
        if listed is None:
            return node
        return node._replace(
            address=listed.address,
            admin_address=listed.admin_address or node.admin_address,
        )

    def _queue_rumor(self, rumor):
        self._rumors[rumor.node.name] = (rumor, SENDS_PER_RUMOR)
