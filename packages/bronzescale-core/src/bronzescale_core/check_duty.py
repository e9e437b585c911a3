"""Decide which host checks whether the store has changes that no watch has shown.

The load that this answers: the host whose turn it is cannot reach the store or its
peers, or stands still, while the watches of the other hosts have lost their answers.
Membership does not show that: such a host may still answer heartbeats.

The host that checks reports each check to the other watchers. If a report is overdue,
the next watcher in rank checks until it hears reports again. Several may check at once
for a moment, which costs calls to the store but does no harm.
"""

from typing import NamedTuple

from bronzescale_core.rendezvous import Node, rank_nodes, score


class RankedWatcher(NamedTuple):
    """A host that watches the store.

    Parameters
    ----------
    node : Node
        The host.
    zone_rank : int
        Its rank among the watchers of its availability zone, from 0.
    """

    node: Node
    zone_rank: int


def rank_watchers(nodes, count):
    """Rank the hosts that watch the store by who checks first.

    Parameters
    ----------
    nodes : iterable of Node
        Hosts that may watch.
    count : int
        How many hosts of each availability zone watch.

    Returns
    -------
    list of RankedWatcher
        The first watchers of all zones, then the second ones, and so on.
    """
    by_zone = {}
    for node in nodes:
        by_zone.setdefault(node.zone, []).append(node)
    zones = sorted(by_zone, key=lambda zone: (-score("store-check", zone), zone))
    ranked = [
        RankedWatcher(node, zone_rank)
        for zone in zones
        for zone_rank, node in enumerate(
            rank_nodes(f"store-watch/{zone}", by_zone[zone], limit=count)
        )
    ]
    return sorted(ranked, key=lambda watcher: watcher.zone_rank)


class CheckDuty:
    """When it is this host's turn to check.

    Parameters
    ----------
    interval_ms : int
        Longest time between two reports of a host that checks.
    step_ms : int
        How much longer each host waits than the one before it in rank. It covers the
        time that a report takes.
    now_ms : int
        Current time.
    """

    def __init__(self, interval_ms, step_ms, now_ms):
        self._interval_ms = interval_ms
        self._step_ms = step_ms
        self._reported_at_ms = now_ms

    def record_report(self, now_ms):
        """Record that another host has checked."""
        self._reported_at_ms = now_ms

    def due_at_ms(self, rank):
        """Return when a host must check, by its rank; the first one always does.

        Parameters
        ----------
        rank : int
            Rank of the host, from 0.

        Returns
        -------
        int
        """
        if rank == 0:
            return 0
        return self._reported_at_ms + self._interval_ms + rank * self._step_ms
