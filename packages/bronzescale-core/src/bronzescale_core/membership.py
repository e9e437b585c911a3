"""Know which proxies are alive: the platform's list joined with heartbeats.

The result is a hint. Nothing unsafe follows when two nodes disagree: the database's
own locks bound its connections, and its terms bound who may write.
"""

from enum import IntEnum
from typing import NamedTuple

from bronzescale_core.rendezvous import Node, score

HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 800
ZONE_TARGETS = 3
REMOTE_TARGETS = 1
MISSES_UNTIL_DOWN = 2
RUMOR_SENDS = 12
MAX_RUMORS_SENT = 8


class Status(IntEnum):
    """Standing of a node; of two rumors at one incarnation the higher wins."""

    ALIVE = 0
    LEAVING = 1
    DOWN = 2


class Rumor(NamedTuple):
    """A standing that spreads from node to node."""

    node: Node
    status: Status


class _Member:
    """What is known of one node."""

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

    @property
    def own(self):
        """Return this process with its current incarnation."""
        return self._own

    def leave(self):
        """Announce that this process takes no new ownership."""
        self._own_status = Status.LEAVING
        self.version += 1
        self._spread(Rumor(self._own, Status.LEAVING))

    def live_nodes(self):
        """Return the nodes that can be reached, this one included.

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
        """Return every known node with its standing, for the dump.

        Returns
        -------
        list of Rumor
        """
        known = [Rumor(m.node, m.status) for m in self._members.values()]
        return [Rumor(self._own, self._own_status), *known]

    def merge_host_list(self, nodes, leaving):
        """Join the platform's list.

        Parameters
        ----------
        nodes : iterable of Node
            Who the platform lists.
        leaving : set of str
            Names that it marks as leaving.
        """
        self._listed = {node.name: node for node in nodes}
        for node in nodes:
            self._learn(node, Status.ALIVE, is_known_to_all=True)
            member = self._members.get(node.name)
            if member is not None:
                self._relocate(member)
                if node.name in leaving:
                    self._learn(member.node, Status.LEAVING, is_known_to_all=True)
        for name in set(self._members) - set(self._listed):
            if self._members[name].status is Status.DOWN:
                del self._members[name]
                self.version += 1

    def heartbeat_targets(self):
        """Return whom to send heartbeats to.

        Returns
        -------
        list of Node
            Successors of this node on a hash ring, most in its own zone.
        """
        own_score = score("ring", self._own.name)

        def ring_distance(member):
            return (score("ring", member.node.name) - own_score) % 2**64

        ordered = sorted(self._members.values(), key=ring_distance)
        nodes = [member.node for member in ordered]
        near = [node for node in nodes if node.zone == self._own.zone]
        far = [node for node in nodes if node.zone != self._own.zone]
        return near[:ZONE_TARGETS] + far[:REMOTE_TARGETS]

    def outgoing_rumors(self):
        """Return rumors to put on the next heartbeat.

        Returns
        -------
        list of Rumor
        """
        sent = sorted(self._rumors.items(), key=lambda item: -item[1][1])
        chosen = sent[:MAX_RUMORS_SENT]
        for name, (rumor, left) in chosen:
            if left <= 1:
                del self._rumors[name]
            else:
                self._rumors[name] = (rumor, left - 1)
        return [rumor for _, (rumor, _) in chosen]

    def record_heartbeat(self, name, incarnation, status, rumors):
        """Take a heartbeat or its answer.

        Parameters
        ----------
        name : str
            Who sent it.
        incarnation : int
            The sender's start.
        status : Status
            Its own standing.
        rumors : iterable of Rumor
            What came with it; a node that just started tells its addresses so.

        Returns
        -------
        bool
            Whether any standing changed.
        """
        changed = False
        for rumor in rumors:
            changed |= self._hear_rumor(rumor)
        member = self._members.get(name)
        if member is not None:
            node = member.node._replace(incarnation=incarnation)
            changed |= self._learn(node, status, is_direct=True)
            member.misses = 0
        return changed

    def announce_self(self):
        """Spread this node's own addresses and standing."""
        self._spread(Rumor(self._own, self._own_status))

    def record_missed_heartbeat(self, name):
        """Count a heartbeat without an answer.

        Parameters
        ----------
        name : str
            Who did not answer.

        Returns
        -------
        bool
            Whether the node is now held to be down.
        """
        member = self._members.get(name)
        if member is None or member.status is Status.DOWN:
            return False
        member.misses += 1
        if member.misses < MISSES_UNTIL_DOWN:
            return False
        member.status = Status.DOWN
        self.version += 1
        self._spread(Rumor(member.node, Status.DOWN))
        return True

    def _hear_rumor(self, rumor):
        if rumor.node.name == self._own.name:
            return self._refute(rumor)
        return self._learn(rumor.node, rumor.status)

    def _refute(self, rumor):
        if rumor.node.incarnation < self._own.incarnation:
            return False
        if rumor.status <= self._own_status:
            return False
        self._own = self._own._replace(incarnation=rumor.node.incarnation + 1)
        self._spread(Rumor(self._own, self._own_status))
        return False

    def _learn(self, node, status, is_direct=False, is_known_to_all=False):
        if node.name == self._own.name:
            return False
        node = self._as_listed(node)
        member = self._members.get(node.name)
        if member is None:
            self._members[node.name] = _Member(node, status)
        elif not self._is_news(member, node, status, is_direct):
            return False
        else:
            # A first heartbeat only adds the incarnation to what the list said.
            is_known_to_all |= not member.node.incarnation and status is member.status
            member.node = node
            member.status = status
            member.misses = 0
        self.version += 1
        if not is_known_to_all:
            self._spread(Rumor(node, status))
        return True

    def _is_news(self, member, node, status, is_direct):
        if (node.incarnation, status) > (member.node.incarnation, member.status):
            return True
        is_back = is_direct and node.incarnation >= member.node.incarnation
        return is_back and member.status is Status.DOWN

    def _relocate(self, member):
        """Take the address that the list gives; whoever kept the old one must ask."""
        listed = self._as_listed(member.node)
        if listed != member.node:
            member.node = listed
            self.version += 1

    def _as_listed(self, node):
        """Prefer the addresses that the platform gives to this zone."""
        listed = self._listed.get(node.name)
        if listed is None:
            return node
        return node._replace(
            address=listed.address,
            admin_address=listed.admin_address or node.admin_address,
        )

    def _spread(self, rumor):
        self._rumors[rumor.node.name] = (rumor, RUMOR_SENDS)
