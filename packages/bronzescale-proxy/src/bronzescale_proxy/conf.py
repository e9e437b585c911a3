"""Hold the settings of one proxy, from flags and environment variables."""

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
        Base URL of the platform's object API, with an IP number.
    caller_host, peer_host, admin_host : str
        IP numbers to listen on.
    caller_port, peer_port, admin_port : int
        Ports to listen on; 0 takes a free one.
    upstream_user, upstream_password : str
        Login at the databases.
    statsd_host : str
        IP number of the statsd daemon; empty for none.
    statsd_port : int
        Port of the statsd daemon.
    log_level : str
        ``DEBUG``, ``INFO``, ``WARNING`` or ``ERROR``.
    log_format : str
        ``text`` or ``json``.
    trace_path : str
        File that takes a trace of the core's events; empty for none.
    max_callers : int
        Connections accepted from callers.
    max_packet_bytes : int
        Largest statement accepted.
    login_timeout_ms : int
        How long a caller may take to log in.
    stop_grace_ms : int
        How long a graceful stop waits for what is in flight.
    acknowledge : str
        ``replica``: acknowledge after a replica's word; ``primary``: at once, which
        can lose acknowledged saves and exists to measure the cost.
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
