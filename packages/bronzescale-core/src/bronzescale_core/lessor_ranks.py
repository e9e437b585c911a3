"""Rank the hosts that may be the lessor of a customer, and remember since when.

Load answered: a fleet that is divided, or that starts again at once. Dozens of hosts
are lost and found one after the other, while the lessor of most customers stays the
same. Hosts that come and go behind it in rank must not keep it from granting.
"""

from bronzescale_core.rendezvous import rank_nodes, score

# Lessor and the hosts that are asked if it does not answer.
RANKED = 3


class LessorRanks:
    """Ranks of the hosts by customer, as one host sees them.

    Parameters
    ----------
    own_name : str
        Name of the host.
    now_ms : int
        Current time.
    """

    def __init__(self, own_name, now_ms):
        self._own_name = own_name
        self._nodes = {}
        self._ranks = {}
        self._first_since_ms = {}
        self._changed_at_ms = now_ms
        # Whether a host that could be a lessor was lost or has left.
        self.has_lost_hosts = False

    def update(self, nodes, now_ms):
        """Apply the hosts that may be lessors now.

        Parameters
        ----------
        nodes : list of Node
            The hosts, this one included unless it stops.
        now_ms : int
            Current time.
        """
        self._ranks.clear()
        known, self._nodes = self._nodes, {node.name: node for node in nodes}
        if known.keys() == self._nodes.keys():
            return
        self._changed_at_ms = now_ms
        self.has_lost_hosts |= not known.keys() <= self._nodes.keys()
        if self._own_name not in self._nodes:
            self._first_since_ms.clear()
            return
        added = self._nodes.keys() - known.keys()
        for customer in list(self._first_since_ms):
            if self._is_outranked(customer, added):
                del self._first_since_ms[customer]

    def _is_outranked(self, customer, names):
        key = _ranking_key(customer)
        own = _order(key, self._own_name)
        return any(_order(key, name) < own for name in names)

    def rank(self, customer):
        """Return the hosts that may be the lessor of a customer, best first."""
        ranked = self._ranks.get(customer)
        if ranked is None:
            key = _ranking_key(customer)
            ranked = rank_nodes(key, self._nodes.values(), limit=RANKED)
            self._ranks[customer] = ranked
        return ranked

    def is_first(self, customer):
        """Return whether this host is first in rank for a customer."""
        ranked = self.rank(customer)
        return bool(ranked) and ranked[0].name == self._own_name

    def keeps_from(self, customer, name):
        """Return whether this host stays the lessor although another one claims it.

        The other one ranks behind it, known here or not, and takes it as down.
        """
        key = _ranking_key(customer)
        is_behind = _order(key, self._own_name) < _order(key, name)
        return is_behind and self.is_first(customer)

    def since_ms(self, customer):
        """Return since when this host has its part for a customer.

        For the first in rank: since when no host before it has been eligible, as far as
        this host has been asked. Otherwise: since when the hosts are as they are.
        """
        if not self.is_first(customer):
            return self._changed_at_ms
        return self._first_since_ms.setdefault(customer, self._changed_at_ms)

    def forget(self, customers):
        """Drop what is kept for customers that are not declared any more."""
        for known in (self._ranks, self._first_since_ms):
            for name in [name for name in known if name not in customers]:
                del known[name]


def rank_previous(customer, nodes, limit):
    """Return the hosts that can have been the lessor of a customer, best first."""
    return rank_nodes(_ranking_key(customer), nodes, limit=limit)


def _ranking_key(customer):
    return f"limit/{customer}"


def _order(key, name):
    return -score(key, name), name
