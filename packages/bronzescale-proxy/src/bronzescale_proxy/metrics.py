"""Collect counters and timings, and send them to statsd if it is configured."""

from collections import Counter, defaultdict

from statsd import StatsClient

PREFIX = "bronzescale"
# Samples kept of each timing for the dump; bounds memory, and keeps the values recent.
MAX_TIMING_SAMPLES = 512


class Metrics:
    """Counters and timers of one process.

    Parameters
    ----------
    client : statsd.StatsClient or None
        Receives the metrics; None to keep them for the dump only.
    """

    def __init__(self, client):
        self._client = client
        self.counters = Counter()
        self._timings_ms = defaultdict(list)

    def count(self, name, amount=1):
        """Add to a counter.

        Parameters
        ----------
        name : str
            Name without the prefix.
        amount : int, default=1
            Amount to add.
        """
        self.counters[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def timing(self, name, elapsed_ms):
        """Record a duration.

        Parameters
        ----------
        name : str
            Name without the prefix.
        elapsed_ms : float
            Duration in milliseconds.
        """
        samples = self._timings_ms[name]
        samples.append(elapsed_ms)
        del samples[:-MAX_TIMING_SAMPLES]
        if self._client is not None:
            self._client.timing(name, elapsed_ms)

    def timings(self):
        """Return the median and maximum of the newest samples of each timing.

        Returns
        -------
        dict of str to dict
        """
        summary = {}
        for name, samples in self._timings_ms.items():
            ordered = sorted(samples)
            summary[name] = {
                "median_ms": ordered[len(ordered) // 2],
                "max_ms": ordered[-1],
            }
        return summary

    def count_frame(self, direction, message, size_bytes):
        """Count one frame between proxies, as control or work traffic.

        Parameters
        ----------
        direction : str
            ``sent`` or ``received``.
        message : NamedTuple
            The message.
        size_bytes : int
            Size of the frame in bytes.
        """
        name = type(message).__name__
        is_work = name in WORK_MESSAGES
        group = "work" if is_work else "control"
        self.counters[f"peer.{group}.{direction}_bytes"] += size_bytes
        self.counters[f"peer.{group}.{direction}"] += 1


WORK_MESSAGES = frozenset(
    (
        "StatementRequest",
        "ResultPart",
        "FailureReport",
        "Credit",
        "Cancel",
        "EndTransaction",
        "HeadRequest",
        "HeadReply",
    )
)


def build_metrics(settings):
    """Create the metrics of a process.

    Parameters
    ----------
    settings : Settings
        Settings of this node.

    Returns
    -------
    Metrics
    """
    if not settings.statsd_host:
        return Metrics(None)
    prefix = f"{PREFIX}.{settings.zone}.{settings.node.replace('.', '_')}"
    client = StatsClient(settings.statsd_host, settings.statsd_port, prefix=prefix)
    return Metrics(client)
