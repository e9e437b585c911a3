"""Plan which objects a node pulls from its peers.

Load answered: a fleet of hundreds of hosts that starts at once. Each registration makes
every node differ from its peers for a moment, and each heartbeat shows it. Pulls of all
objects at each difference would grow with the square of the fleet.
"""

from typing import NamedTuple


class Pull(NamedTuple):
    """A request for objects.

    Parameters
    ----------
    kinds : tuple of str
        Kinds to ask for; empty for all.
    since : int
        Only objects with a higher version are asked for.
    """

    kinds: tuple
    since: int


class PullPlanner:
    """Decide what to ask a peer for whose objects differ.

    A node asks for what is newer than what it knows. If that has brought nothing new
    and the peers still differ, an older object was missed, and all are asked for.
    """

    def __init__(self):
        self._pulled_kinds = set()
        self._is_pulling_all = False
        self._tried_since = {}

    def begin(self, kinds, is_synchronized, newest):
        """Begin a pull.

        Parameters
        ----------
        kinds : list of str
            Kinds whose objects differ from the peer's.
        is_synchronized : bool
            Whether this node has had all objects once.
        newest : dict of str to int
            Newest known version of each kind.

        Returns
        -------
        Pull or None
            None if the pulls under way will bring what is missing.
        """
        if not is_synchronized:
            if self._is_pulling_all:
                return None
            self._is_pulling_all = True
            return Pull((), 0)
        wanted = tuple(kind for kind in kinds if kind not in self._pulled_kinds)
        if not wanted:
            return None
        self._pulled_kinds.update(wanted)
        since = min(self._since(kind, newest[kind]) for kind in wanted)
        return Pull(wanted, since)

    def _since(self, kind, newest):
        if self._tried_since.get(kind) == newest:
            del self._tried_since[kind]
            return 0
        self._tried_since[kind] = newest
        return newest

    def end(self, pull):
        """End a pull, answered or not."""
        if pull.kinds:
            self._pulled_kinds.difference_update(pull.kinds)
        else:
            self._is_pulling_all = False
