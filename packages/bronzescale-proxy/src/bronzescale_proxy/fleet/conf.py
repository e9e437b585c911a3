"""Settings of a fleet process."""

from typing import NamedTuple


class FleetSettings(NamedTuple):
    """Settings of one process of the fleet.

    Parameters
    ----------
    node : str
        Name of this node, unique within the fleet.
    zone, region : str
        Availability zone and region of the host.
    regions : dict of str to str
        Region of each availability zone.
    caller_address, ready_address, peer_address : str
        IP address and port of each listener.
    seeds : tuple of str
        Peer addresses of a few nodes to contact at start; some may be out of date.
    store_address : str
        IP address and port of the platform's store.
    orders_address : str
        IP address and port of the platform's service that orders promotions.
    metrics_address : str
        IP address and port of the listener for metrics.
    max_descriptors : int
        Limit on open file descriptors of the process.
    stop_grace_ms : int
        Time from SIGTERM until the process is killed.
    configuration_within_ms : int
        Time within which an accepted configuration must be in force on every node.
    upstream_heartbeat_ms : int
        Interval at which a database refreshes its entry in the store.
    is_first_start : bool
        Whether the whole fleet starts for the first time, so that the store cannot have
        lost anything that the fleet wrote.
    log_lines_per_s : int
        Maximum rate of log lines about requests; further lines are only counted.
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
    is_first_start: bool = False
    log_lines_per_s: int = 120
