"""Define the settings of one proxy, read from flags and environment variables."""

from typing import NamedTuple


class Settings(NamedTuple):
    """Settings of one proxy.

    Parameters
    ----------
    node : str
        Name of this node, unique within the fleet.
    zone : str
        Availability zone of the host.
    region : str
        Region of the availability zone.
    platform_url : str
        Base URL of the platform's object API, with an IP address.
    caller_host, peer_host, admin_host : str
        IP addresses to listen on.
    caller_port, peer_port, admin_port : int
        Ports to listen on; 0 selects a free port.
    upstream_user, upstream_password : str
        Credentials for the databases.
    statsd_host : str
        IP address of the statsd daemon; empty to send no metrics.
    statsd_port : int
        Port of the statsd daemon.
    log_level : str
        ``DEBUG``, ``INFO``, ``WARNING`` or ``ERROR``.
    log_format : str
        ``text`` or ``json``.
    trace_path : str
        File to record failover events in; empty to record none.
    max_callers : int
        Maximum number of connections from callers.
    max_packet_bytes : int
        Maximum size of a statement.
    login_timeout_ms : int
        Time limit for a caller to log in.
    stop_grace_ms : int
        Time limit for statements and transactions to finish at a graceful stop.
    acknowledge : str
        When to acknowledge a write. ``replica``: after a replica has confirmed it.
        ``primary``: without waiting, which can lose acknowledged writes in a failover
        and exists only to measure the cost of waiting.
    """

    node: str
    zone: str
    region: str
    platform_url: str
    caller_host: str = "127.0.0.1"
    caller_port: int = 0
    peer_host: str = "127.0.0.1"
    peer_port: int = 0
    admin_host: str = "127.0.0.1"
    admin_port: int = 0
    upstream_user: str = "bronzescale"
    upstream_password: str = ""
    statsd_host: str = ""
    statsd_port: int = 8125
    log_level: str = "INFO"
    log_format: str = "text"
    trace_path: str = ""
    max_callers: int = 10_000
    max_packet_bytes: int = 16 * 1024 * 1024
    login_timeout_ms: int = 5_000
    stop_grace_ms: int = 20_000
    acknowledge: str = "replica"
