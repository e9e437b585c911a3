"""Merge the state dumps of all nodes into one view of the fleet."""

from typing import NamedTuple

from bronzescale_ctl.client import NodeClient

NO_ANSWER = "no answer"
MAX_STEPS = 16
# Part of the step text that `bronzescale_core.failover` records at the end of a change
# of primary.
COMPLETED_CHANGE_TEXT = "leads term"


class FleetView(NamedTuple):
    """State dumps of the nodes.

    Parameters
    ----------
    dumps : dict of str to dict
        Dump of each node that responded, by node name.
    missing : list of NodeAddress
        Nodes that did not respond.
    """

    dumps: dict
    missing: list


def read_fleet(nodes):
    """Request the dump of every node.

    Parameters
    ----------
    nodes : list of NodeAddress
        Nodes that the platform lists.

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


def nodes_not_in_force(view, generation):
    """Return the nodes where a generation is not in force.

    Parameters
    ----------
    view : FleetView
        State dumps of the nodes.
    generation : int
        Generation of the declaration.

    Returns
    -------
    list of dict
        Name and zone of each node, and the reason.
    """
    pending = [
        {"node": node.name, "zone": node.zone, "reason": NO_ANSWER}
        for node in view.missing
    ]
    for name, dump in view.dumps.items():
        if dump["generation"] < generation:
            reason = dump["declaration_problem"] or f"at {dump['generation']}"
            pending.append({"node": name, "zone": dump["zone"], "reason": reason})
    return pending


def group_views(view):
    """Return the newest state of each group that any node watches.

    Parameters
    ----------
    view : FleetView
        State dumps of the nodes.

    Returns
    -------
    dict of str to dict
        By service name: state of the group, its copies by name, and the steps of its
        last change of primary.
    """
    groups = {}
    for node, dump in view.dumps.items():
        for group in dump["groups"]:
            merged = groups.setdefault(group["service"], {"version": -1, "copies": {}})
            _merge_copies(merged["copies"], group["copies"])
            if group["version"] > merged["version"]:
                fields = ("term", "primary", "phase", "version", "reason")
                merged.update({field: group[field] for field in fields})
            _merge_steps(merged, node, group)
    return groups


def _merge_copies(merged, copies):
    """Keep the report of each copy with the most received log entries."""
    for copy in copies:
        previous = merged.get(copy["upstream"])
        if previous is None or copy.get("received", -1) >= previous.get("received", -1):
            merged[copy["upstream"]] = copy


def _merge_steps(merged, node, group):
    """Keep the steps of the node that completed the most recent change of primary."""
    completed = [
        step for step in group["steps"] if COMPLETED_CHANGE_TEXT in step["text"]
    ]
    if completed:
        ago_ms = completed[-1]["ago_ms"]
        if ago_ms < merged.get("driven_ago_ms", float("inf")):
            merged["driven_ago_ms"] = ago_ms
            merged["driver"] = node
            merged["steps"] = group["steps"][-MAX_STEPS:]
