"""Collect the metrics of a fleet process for Prometheus."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

# From the fastest statements, at about 1 ms, to their timeout of one or two seconds.
BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)


class FleetMetrics:
    """Counters, gauges and histograms of one process."""

    def __init__(self):
        registry = CollectorRegistry(auto_describe=False)
        self._registry = registry
        self._statements = Histogram(
            "bronzescale_statement_seconds",
            "Time from a statement's arrival to its answer.",
            ["outcome"],
            buckets=BUCKETS_S,
            registry=registry,
        )
        self._failed_attempts = Counter(
            "bronzescale_failed_attempts",
            "Attempts that ended without success.",
            ["outcome"],
            registry=registry,
        )
        self._served = Counter(
            "bronzescale_served",
            "Statements served, by kind and place.",
            ["kind", "place"],
            registry=registry,
        )
        self._read_choices = Counter(
            "bronzescale_read_choices",
            "Databases tried for reads, by the reason for the choice.",
            ["reason"],
            registry=registry,
        )
        self._primary_reads = Counter(
            "bronzescale_primary_reads",
            "Attempts to read at a primary, by the reason.",
            ["reason"],
            registry=registry,
        )
        self._behind = Counter(
            "bronzescale_refused_behind",
            "Reads refused without asking a replica that is known to be behind.",
            ["service"],
            registry=registry,
        )
        self._connections = Counter(
            "bronzescale_upstream_connections",
            "Connections opened to databases.",
            ["service"],
            registry=registry,
        )
        self._pool_changes = Counter(
            "bronzescale_upstream_connection_changes",
            "Connections to databases opened and closed, by reason.",
            ["change", "reason"],
            registry=registry,
        )
        self._store_calls = Counter(
            "bronzescale_store_calls",
            "Calls to the platform's store.",
            ["method"],
            registry=registry,
        )
        self._unreadable = Counter(
            "bronzescale_unreadable_objects",
            "Objects and rumors that were left out, once for each version.",
            ["kind"],
            registry=registry,
        )
        self._relayed_reads = Counter(
            "bronzescale_relayed_reads",
            "Reads of group states that a peer made because the store did not answer.",
            registry=registry,
        )
        self._peer_bytes = Counter(
            "bronzescale_peer_bytes",
            "Bytes exchanged with other nodes.",
            ["direction", "purpose"],
            registry=registry,
        )
        self._limited_operations = Counter(
            "bronzescale_limited_operations",
            "Operations of customers with a limit, by what allowed or refused them.",
            ["result"],
            registry=registry,
        )
        self._permit_requests = Counter(
            "bronzescale_permit_requests",
            "Requests for permits by the answer of the host that was asked.",
            ["result"],
            registry=registry,
        )
        self._customer_buckets = Gauge(
            "bronzescale_customer_buckets",
            "Customers for whom this host keeps a bucket.",
            registry=registry,
        )
        self._callers = Gauge(
            "bronzescale_callers", "Callers connected.", registry=registry
        )
        self._store_reachable = Gauge(
            "bronzescale_store_reachable", "1 if the store answers.", registry=registry
        )

        self._store_era = Gauge(
            "bronzescale_store_era",
            "Newest known era of the store; it rises at each return from a copy.",
            registry=registry,
        )
        self._waiting = Gauge(
            "bronzescale_statements_waiting",
            "Statements that wait for a slot of a database, by priority.",
            ["priority"],
            registry=registry,
        )
        self._refused = Counter(
            "bronzescale_statements_refused",
            "Statements refused by the scheduler of a database.",
            ["priority", "reason"],
            registry=registry,
        )

    def count_waiting(self, priority, change):
        """Count a statement that starts (1) or stops (-1) to wait for a slot."""
        self._waiting.labels(str(priority)).inc(change)

    def count_refused(self, priority, reason):
        """Count a statement that the scheduler of a database refused."""
        self._refused.labels(str(priority), reason).inc()

    def set_store_era(self, era):
        """Set the newest known era of the store."""
        self._store_era.set(era)

    def observe_statement(self, outcome, elapsed_ms):
        """Record one statement."""
        self._statements.labels(outcome).observe(elapsed_ms / 1_000)

    def count_failure(self, outcome):
        """Count a failed attempt to run a statement."""
        self._failed_attempts.labels(outcome).inc()

    def count_served(self, is_write, is_replica, needs_lead):
        """Count a served statement by kind and by the role of the database."""
        kind = "save" if is_write else "lead_read" if needs_lead else "read"
        self._served.labels(kind, "replica" if is_replica else "primary").inc()

    def count_choice(self, reason, is_primary):
        """Count an attempt to read at a database by the reason for the choice."""
        self._read_choices.labels(reason).inc()
        if is_primary:
            self._primary_reads.labels(reason).inc()

    def count_behind(self, service):
        """Count a read refused because the replica is known to be behind."""
        self._behind.labels(service).inc()

    def count_connection(self, service):
        """Count a new connection to a database."""
        self._connections.labels(service).inc()

    def count_pool_change(self, change, reason):
        """Count a connection of the pools that was ``opened`` or ``closed``."""
        self._pool_changes.labels(change, reason).inc()

    def count_store_call(self, method):
        """Count a call to the platform's store."""
        self._store_calls.labels(method).inc()

    def count_unreadable(self, kind):
        """Count an object or a rumor that is not used."""
        self._unreadable.labels(kind).inc()

    def count_relayed_read(self):
        """Count a group state that a peer read from the store for this node."""
        self._relayed_reads.inc()

    def count_limited_operation(self, result):
        """Count an operation of a customer with a limit.

        `result` is "permitted", "own_share", "refused", or "waited" for one that is
        permitted after it was refused a token.
        """
        self._limited_operations.labels(result).inc()

    def count_permit_request(self, result):
        """Count a request for permits to another host.

        `result` is "granted", "refused", "not_lessor" or "no_answer".
        """
        self._permit_requests.labels(result).inc()

    def set_customer_buckets(self, count):
        """Set for how many customers this host keeps a bucket."""
        self._customer_buckets.set(count)

    def set_callers(self, count):
        """Set how many callers are connected."""
        self._callers.set(count)

    def set_store_state(self, is_reachable):
        """Set whether the store answers."""
        self._store_reachable.set(1 if is_reachable else 0)

    def count_frame(self, direction, message, size_bytes):
        """Count the bytes of one frame exchanged with another node."""
        purpose = type(message).__name__
        self._peer_bytes.labels(direction, purpose).inc(size_bytes)

    def render(self):
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
