"""Count and time what the node does; send it to statsd where one is named."""

from collections import Counter, defaultdict

from statsd import StatsClient

PREFIX = "bronzescale"
MAX_TIMING_SAMPLES = 512


class Metrics:
    """Counters and timers of one process.

    Parameters
    ----------
    client : statsd.StatsClient or None
        Where they are sent; None keeps them for the dump only.
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
            Name below the prefix.
        amount : int, default=1
            How much.
        """
        self.counters[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def timing(self, name, elapsed_ms):
        """Record a duration.

        Parameters
        ----------
        name : str
            Name below the prefix.
        elapsed_ms : float
            The duration.
        """
        samples = self._timings_ms[name]
        samples.append(elapsed_ms)
        del samples[:-MAX_TIMING_SAMPLES]
        if self._client is not None:
            self._client.timing(name, elapsed_ms)

    def timings(self):
        """Return the median and the highest of the newest samples.

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

    def frame(self, direction, message, size_bytes):
        """Count one frame between proxies, control and work apart.

        Parameters
        ----------
        direction : str
            ``sent`` or ``received``.
        message : NamedTuple
            The message.
        size_bytes : int
            Size of the frame.
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
    """Return the metrics of a process.

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
