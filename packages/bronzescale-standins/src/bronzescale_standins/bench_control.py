"""Benchmark the control traffic, CPU time and memory of a node by size of the fleet."""

import json
import time
import tracemalloc
from collections import Counter
from pathlib import Path

import anyio

from bronzescale_core.declaration import load_declaration
from bronzescale_core.groups import GroupState, dump_group
from bronzescale_core.membership import Membership, Status
from bronzescale_core.objects import ObjectCache, StoreObject
from bronzescale_core.rendezvous import Node, rank_nodes
from bronzescale_ctl.client import PlatformClient
from bronzescale_proxy import wire
from bronzescale_proxy.clock import now_ms
from bronzescale_standins.bench_output import (
    DEFAULT_FILE,
    AsJson,
    print_rows,
    run_measurement,
)
from bronzescale_standins.load import read_usage
from bronzescale_standins.processes import FleetOptions, ProcessFleet

ZONES = 7
START_MS = 1_796_342_400_000
RANKED_SAMPLE_SIZE = 200


def control(
    file: Path = DEFAULT_FILE,
    *,
    sizes: tuple[int, ...] = (6, 12, 24, 48),
    services: int = 3,
    duration_s: float = 12.0,
    as_json: AsJson = False,
):
    """Measure the control overhead of an idle node at several fleet sizes."""
    rows = []
    for size in sizes:
        options = FleetOptions(file, proxies=size, services=services)
        with ProcessFleet(options) as fleet:
            rows.append(run_measurement(_measure_control, fleet, size, duration_s))
    print_rows("control", rows, as_json)


async def _measure_control(fleet, size, duration_s):
    await anyio.sleep(6.0 + size * 0.1)
    before = _control_counts(fleet)
    started_s = time.monotonic()
    await anyio.sleep(duration_s)
    after = _control_counts(fleet)
    elapsed_s = time.monotonic() - started_s
    propagation_ms = await _measure_propagation(fleet)
    nodes = len(fleet.proxies)
    databases = sum(len(s["upstream"]) for s in fleet.document["service"])
    per_node = {
        name: (after[name] - before[name]) / nodes / elapsed_s for name in after
    }
    return {
        "nodes": size,
        "databases": databases,
        "peer_bytes_per_s": round(per_node["bytes"], 1),
        "peer_messages_per_s": round(per_node["messages"], 2),
        "probes_per_s": round(per_node["probes"], 3),
        "core_share": round(per_node["cpu_s"], 5),
        "rss_mib": round(after["rss"] / nodes / 2**20, 1),
        "store_calls_per_s_fleet": round(per_node["store"] * nodes, 2),
        "spread_ms": round(propagation_ms),
    }


def _control_counts(fleet):
    counts = Counter()
    for name, child in fleet.proxies.items():
        dump = fleet.dump(name)
        counters = dump["counters"]
        for direction in ("sent", "received"):
            counts["bytes"] += counters.get(f"peer.control.{direction}_bytes", 0)
            counts["messages"] += counters.get(f"peer.control.{direction}", 0)
        counts["store"] += dump["store"]["calls"]
        for group in dump["groups"]:
            counts["probes"] += sum(copy["probes"] for copy in group["copies"])
        usage = read_usage(child.process.pid)
        counts["cpu_s"] += usage.cpu_s
        counts["rss"] += usage.rss_bytes
    return counts


async def _measure_propagation(fleet):
    """Change the declaration and return the time until every proxy applied it."""
    client = PlatformClient(fleet.platform_url)
    current = client.read("declaration", "main")
    document = {**current.value, "comment": "spread"}
    started_s = time.monotonic()
    version = client.update("declaration", "main", document, current.version)
    pending = set(fleet.proxies)
    while pending:
        for name in list(pending):
            if fleet.dump(name)["generation"] >= version:
                pending.discard(name)
        await anyio.sleep(0.02)
    return (time.monotonic() - started_s) * 1e3


def membership(
    *,
    sizes: tuple[int, ...] = (64, 128, 256, 510, 1020),
    rounds: int = 12,
    as_json: AsJson = False,
):
    """Measure the membership core alone while it detects one failed node."""
    rows = [_measure_membership(size, rounds) for size in sizes]
    print_rows("membership", rows, as_json)


def _measure_membership(size, rounds):
    fleet = _make_memberships(size)
    failed_node = next(iter(fleet))
    del fleet[failed_node]
    sent = Counter()
    rounds_until_known = 0
    started_s = time.process_time()
    for number in range(1, rounds + 1):
        for member in fleet.values():
            _exchange_heartbeats(fleet, member, sent)
        informed = sum(
            failed_node not in [n.name for n in m.live_nodes()] for m in fleet.values()
        )
        if informed == len(fleet) and not rounds_until_known:
            rounds_until_known = number
    elapsed_s = time.process_time() - started_s
    node_rounds = len(fleet) * rounds
    return {
        "nodes": size,
        "bytes_per_node_per_s": round(sent["bytes"] / node_rounds, 1),
        "messages_per_node_per_s": round(sent["messages"] / node_rounds, 1),
        "cpu_ms_per_node_per_s": round(elapsed_s / node_rounds * 1e3, 3),
        "rounds_until_all_know_a_death": rounds_until_known,
        "rank_all_databases_ms": round(_measure_ranking_ms(fleet), 1),
    }


def _make_memberships(size):
    nodes = [
        Node(
            f"proxy-{i:04}-zone",
            f"10.0.{i // 250}.{i % 250}:1",
            f"z{i % ZONES}",
            "r",
            START_MS,
        )
        for i in range(size)
    ]
    fleet = {node.name: Membership(node) for node in nodes}
    for member in fleet.values():
        member.merge_host_list(nodes, set())
        for _ in range(size):
            member.outgoing_rumors()
    return fleet


def _exchange_heartbeats(fleet, member, sent):
    """Exchange the heartbeats that a node sends in 1 s; count the bytes as framed."""
    for target in member.heartbeat_targets():
        other = fleet.get(target.name)
        message = _make_heartbeat(member)
        sent["bytes"] += len(wire.encode(1, message, 0))
        sent["messages"] += 1
        if other is None:
            member.record_missed_heartbeat(target.name)
            continue
        answer = _make_heartbeat(other)
        sent["bytes"] += len(wire.encode(1, answer, 0))
        sent["messages"] += 1
        other.record_heartbeat(
            message.node, message.incarnation, message.status, message.rumors
        )
        member.record_heartbeat(
            answer.node, answer.incarnation, answer.status, answer.rumors
        )


def _make_heartbeat(member):
    own = member.own
    rumors = member.outgoing_rumors()
    return wire.Heartbeat(own.name, own.incarnation, Status.ALIVE, 1, rumors)


def _measure_ranking_ms(fleet):
    """Return the time to rank owners for 1,100 databases, scaled from a sample."""
    nodes = next(iter(fleet.values())).eligible_owners()
    started_ms = now_ms()
    for index in range(RANKED_SAMPLE_SIZE):
        rank_nodes(f"db-{index}", nodes, "z1", "r", 2)
    return (now_ms() - started_ms) * 1_100 / RANKED_SAMPLE_SIZE


def state(
    *,
    services: tuple[int, ...] = (46, 92, 184, 367),
    nodes: int = 510,
    as_json: AsJson = False,
):
    """Measure a node's memory for the state of the fleet, and the size of a change."""
    rows = [_measure_state(count, nodes) for count in services]
    print_rows("state", rows, as_json)


def _measure_state(services, nodes):
    document = _make_declaration(services)
    version = 900
    stored = StoreObject("declaration", "main", version, document)
    frame = wire.encode(1, wire.Objects(-1, -1, [stored]), 0)
    started_s = time.process_time()
    load_declaration(document, version)
    load_ms = (time.process_time() - started_s) * 1e3
    del document, stored
    tracemalloc.start()
    cache = ObjectCache()
    _, message = wire.decode(frame[wire.HEADER.size :], 0)
    cache.apply_changes(message.objects, 0, version)
    declaration = load_declaration(message.objects[0].value, version)
    groups = [_store_group(cache, service) for service in declaration.services]
    members = _make_membership(nodes)
    kept_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "databases": services * 3,
        "nodes": nodes,
        "kept_mib": round(kept_bytes / 2**20, 2),
        "declaration_kib_json": round(
            len(json.dumps(message.objects[0].value)) / 1024, 1
        ),
        "change_bytes_on_the_wire": len(frame),
        "bytes_per_s_at_900_a_day": round(len(frame) * 900 / 86_400, 1),
        "load_ms": round(load_ms, 1),
        "kept": len(groups) + len(members.live_nodes()),
    }


def _make_declaration(services):
    zones = [f"zone-{index}" for index in range(ZONES)]
    return {
        "schema_version": 1,
        "name": "target",
        "place": [
            {"zone": zone, "region": f"region-{index % 2}"}
            for index, zone in enumerate(zones)
        ],
        "user": [{"name": "crew"}],
        "service": [
            {
                "name": f"service-{number}",
                "schema_versions": [1, 2],
                "upstream": [
                    {
                        "name": f"service-{number}-db-{copy}",
                        "address": f"10.{number % 250}.{number // 250}.{copy}:3306",
                        "zone": zones[(number + copy) % ZONES],
                        "slots": 3,
                        "max_connections": 40,
                    }
                    for copy in range(3)
                ],
            }
            for number in range(services)
        ],
    }


def _store_group(cache, service):
    state = GroupState(service.name, 3, service.initial_primary, writer="n1", nonce="x")
    cache.put(StoreObject("group", service.name, 1, dump_group(state)))
    return state


def _make_membership(size):
    nodes = [
        Node(f"n{i:04}", f"10.0.{i // 250}.{i % 250}:1", f"zone-{i % ZONES}", "r", 1)
        for i in range(size)
    ]
    members = Membership(nodes[0])
    members.merge_host_list(nodes, set())
    return members
