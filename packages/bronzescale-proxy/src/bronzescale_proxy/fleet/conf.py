"""Hold the settings of a fleet process."""

from typing import NamedTuple


class FleetSettings(NamedTuple):
    """Settings of one process of the fleet.

    Parameters
    ----------
    node : str
        Name of this node, unique within the fleet.
    zone, region : str
        Where the host stands.
    regions : dict of str to str
        Region of each availability zone.
    caller_address, ready_address, peer_address : str
        IP number and port of each listener.
    seeds : tuple of str
        Peer addresses of a few nodes; they may be stale.
    store_address : str
        IP number and port of the platform's store.
    orders_address : str
        IP number and port that takes orders to promote a database.
    metrics_address : str
        IP number and port that serves counters and histograms.
    max_descriptors : int
        Descriptors that the process may hold.
    stop_grace_ms : int
        How long after SIGTERM the process is killed.
    configuration_within_ms : int
        Time in which an accepted configuration must be in force.
    upstream_heartbeat_ms : int
        How often a database refreshes its entry.
    log_lines_per_s : int
        Log lines written a second at most; the rest are counted.
    """

    node: str
    zone: str
    region: str
    regions: dict
    caller_address: str
    ready_address: str
    peer_address: str
    seeds: tuple
    store_address: str
    orders_address: str
    metrics_address: str = ""
    max_descriptors: int = 1_024
    stop_grace_ms: int = 6_000
    configuration_within_ms: int = 4_000
    upstream_heartbeat_ms: int = 1_200
    log_lines_per_s: int = 120
