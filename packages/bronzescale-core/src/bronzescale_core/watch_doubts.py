"""Decide which watches of the store may have lost an answer.

The load that this answers: a store that loses answers while changes follow each other.
Each change is one more answer that may be lost, and a watch whose answer was lost looks
like one that waits. In the end every watch of the fleet can be blind, and no host
learns of the next change before the wait ends.

All kinds share the store's revisions. An answer of one watch, or an object that a peer
sends, shows that a revision exists. A watch that has not shown it is sent again without
a wait: it may have nothing to show, or its answer was lost.
"""


class WatchDoubts:
    """What the watches of one host have shown.

    Parameters
    ----------
    min_interval_ms : int
        Time after an answer for which a watch isn't checked for other kinds' revisions,
        so that a storm of changes costs no more checks than a calm time.
    """

    def __init__(self, min_interval_ms):
        self._min_interval_ms = min_interval_ms
        self._seen = {}
        self._answered_at_ms = {}
        self._doubted = set()

    def record_answer(self, kind, version, now_ms):
        """Record that a list or a watch of a kind was answered up to a version."""
        self._seen[kind] = version
        self._answered_at_ms[kind] = now_ms
        self._doubted.discard(kind)

    def dump(self, now_ms):
        """Return what each watch has shown, for the state dump."""
        return {
            kind: {
                "version": version,
                "answered_ms_ago": now_ms - self._answered_at_ms[kind],
                "is_doubted": kind in self._doubted,
            }
            for kind, version in self._seen.items()
        }

    def is_doubted(self, kind):
        """Return whether the watch of a kind is to be sent again without a wait."""
        return kind in self._doubted

    def doubt(self, kind):
        """Send the watch of a kind again without a wait; its next answer settles it."""
        self._doubted.add(kind)

    def may_have_missed(self, kind, version):
        """Return whether an object is newer than what the watch of its kind showed."""
        return self._seen.get(kind, version) < version

    def kinds_to_check(self, version, now_ms):
        """Return the kinds whose watches have not shown that a version exists.

        Parameters
        ----------
        version : int
            Version up to which another watch was answered now.
        now_ms : int
            Current time.

        Returns
        -------
        list of str
        """
        return [
            kind
            for kind, seen in self._seen.items()
            if seen < version
            and kind not in self._doubted
            and now_ms - self._answered_at_ms[kind] >= self._min_interval_ms
        ]
