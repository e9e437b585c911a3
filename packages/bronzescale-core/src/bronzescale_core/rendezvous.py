"""Rank nodes for a key by rendezvous hashing, nearest zone first."""

from hashlib import blake2b
from typing import NamedTuple


class Node(NamedTuple):
    """Address and location of a proxy process.

    Parameters
    ----------
    name : str
        Unique within the fleet; a restarted process takes a new incarnation.
    address : str
        IP address and port of its peer listener.
    zone : str
        Availability zone of the host.
    region : str
        Region of the availability zone.
    incarnation : int
        Start time in ms since 1970; a later incarnation replaces an earlier one.
    admin_address : str
        IP address and port of its HTTP listener.
    """

    name: str
    address: str
    zone: str
    region: str
    incarnation: int = 0
    admin_address: str = ""


def score(key, name):
    """Return the rendezvous weight of a node for a key.

    Parameters
    ----------
    key : str
        What is assigned to a node, such as the name of a database.
    name : str
        Name of the node.

    Returns
    -------
    int
    """
    digest = blake2b(f"{key}\x00{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank_nodes(key, nodes, zone="", region="", limit=None):
    """Rank nodes for a key.

    Parameters
    ----------
    key : str
        What is assigned to a node.
    nodes : iterable of Node
        Live nodes.
    zone, region : str
        Preferred zone and region; nodes of the zone come first, then of the region.
    limit : int, default=None
        How many to return; once enough are ranked, farther nodes are not scored.

    Returns
    -------
    list of Node
        Best first; the same in every process that knows the same nodes.
    """
    by_distance = ([], [], [])
    for node in nodes:
        distance = 0 if node.zone == zone else 1 if node.region == region else 2
        by_distance[distance].append(node)
    ranked = []
    for group in by_distance:
        if limit is not None and len(ranked) >= limit:
            break
        ranked += sorted(group, key=lambda node: (-score(key, node.name), node.name))
    return ranked[:limit]
