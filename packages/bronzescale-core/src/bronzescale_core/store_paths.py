"""Choose how a host reads the store: itself, or through a peer.

The load that this answers: the store refuses a part of the hosts for seconds, while a
copy that would confirm the primary is unreachable. The host that owns the primary's
connections then cannot prove that the primary still leads, and refuses all that needs
it, although every other host could ask the store.
"""

# Attempts through peers for one read; with a third of the hosts refused, one of them
# almost always succeeds.
MAX_PEERS = 3
# A path that failed is tried last for this time.
FAILED_PATH_MS = 1_000
# Least time after which the next path is tried beside one that has not answered; a
# round trip to another region takes less than half of it.
MIN_HEDGE_MS = 150
# Multiple of the usual time of a direct answer after which the next path is tried; a
# store that is slow for everybody does not get more calls for it.
HEDGE_FACTOR = 3.0
# Weight of the newest direct answer in the moving average.
DIRECT_TIME_WEIGHT = 0.2
# Stands for asking the store directly.
DIRECT = ""


class StorePaths:
    """The paths of one host to the store, by what they did lately."""

    def __init__(self):
        self._failed_until_ms = {}
        self._helpful_peer = DIRECT
        self._direct_ms = 0.0

    def order(self, peers, now_ms):
        """Return the paths to try in turn.

        Parameters
        ----------
        peers : sequence of str
            Names of the peers that may be asked, most suitable first.
        now_ms : int
            Current time.

        Returns
        -------
        list of str
            `DIRECT` or names of peers. The direct path comes first unless it failed
            lately; then the peer that answered last does.
        """
        self._failed_until_ms = {
            path: until_ms
            for path, until_ms in self._failed_until_ms.items()
            if until_ms > now_ms
        }
        failed = self._failed_until_ms
        ordered = sorted(
            peers, key=lambda name: (name in failed, name != self._helpful_peer)
        )
        ordered = ordered[:MAX_PEERS]
        if DIRECT in failed:
            return [*ordered, DIRECT]
        return [DIRECT, *ordered]

    def hedge_ms(self):
        """Return after how long the next path is tried beside a silent one."""
        return max(MIN_HEDGE_MS, HEDGE_FACTOR * self._direct_ms)

    def record_answer(self, path, took_ms):
        """Record that a path led to an answer of the store.

        Parameters
        ----------
        path : str
            `DIRECT` or the name of a peer.
        took_ms : int
            Time until the answer.
        """
        self._failed_until_ms.pop(path, None)
        if path != DIRECT:
            self._helpful_peer = path
            return
        known_ms = self._direct_ms or took_ms
        self._direct_ms = known_ms + DIRECT_TIME_WEIGHT * (took_ms - known_ms)

    def record_failure(self, path, now_ms):
        """Record that a path failed, or was silent while another one answered."""
        self._failed_until_ms[path] = now_ms + FAILED_PATH_MS
