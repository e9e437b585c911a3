"""Join the dumps of all nodes into one view of the fleet."""

from typing import NamedTuple

from bronzescale_ctl.client import NodeClient

MISSING = "no answer"


class FleetView(NamedTuple):
    """What the nodes say.

    Parameters
    ----------
    dumps : dict of str to dict
        State of each node that answered.
    missing : list of NodeAddress
        Nodes that did not.
    """

    dumps: dict
    missing: list


def read_fleet(nodes):
    """Ask every node for its dump.

    Parameters
    ----------
    nodes : list of NodeAddress
        The nodes.

    Returns
    -------
    FleetView
    """
    dumps = {}
    missing = []
    for node in nodes:
        dump = NodeClient(node).dump()
        if dump is None:
            missing.append(node)
        else:
            dumps[node.name] = dump
    return FleetView(dumps, missing)


def behind(view, generation):
    """Return the nodes where a generation is not in force.

    Parameters
    ----------
    view : FleetView
        What the nodes say.
    generation : int
        The generation.

    Returns
    -------
    list of dict
        Node, zone and reason.
    """
    found = [
        {"node": node.name, "zone": node.zone, "reason": MISSING}
        for node in view.missing
    ]
    for name, dump in view.dumps.items():
        if dump["generation"] < generation:
            reason = dump["declaration_problem"] or f"at {dump['generation']}"
            found.append({"node": name, "zone": dump["zone"], "reason": reason})
    return found


def group_views(view):
    """Return the newest view of each group among the nodes that watch it.

    Parameters
    ----------
    view : FleetView
        What the nodes say.

    Returns
    -------
    dict of str to dict
        By service: state, copies by name and the steps of the last failover.
    """
    groups = {}
    for name, dump in view.dumps.items():
        for group in dump["groups"]:
            known = groups.setdefault(group["service"], {"version": -1, "copies": {}})
            _merge_copies(known["copies"], group["copies"])
            if group["version"] > known["version"]:
                fields = ("term", "primary", "phase", "version", "reason")
                known.update({field: group[field] for field in fields})
            _merge_steps(known, name, group)
    return groups


def _merge_copies(known, copies):
    for copy in copies:
        other = known.get(copy["upstream"])
        if other is None or copy.get("received", -1) >= other.get("received", -1):
            known[copy["upstream"]] = copy


def _merge_steps(known, node, group):
    """Keep the steps of the node that drove the last change."""
    drove = [step for step in group["steps"] if "leads term" in step["text"]]
    if drove:
        ago_ms = drove[-1]["ago_ms"]
        if ago_ms < known.get("driven_ago_ms", float("inf")):
            known["driven_ago_ms"] = ago_ms
            known["driver"] = node
            known["steps"] = group["steps"][-16:]
