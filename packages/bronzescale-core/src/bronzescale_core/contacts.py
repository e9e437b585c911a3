"""Judge which part of the fleet a host is in touch with.

Membership learns of lost hosts one by one, each from the few hosts that watch it. A
host that is cut off needs to know it sooner, because it must stop deciding for the
others. `Contacts` concludes it from the messages that arrive, by distance: nothing from
anyone, nothing from another availability zone, nothing from another region.
"""

# A host that heard nothing for this time should ask another one.
DOUBT_MS = 800
# Time without a message, and with a failed request, after which hosts count as lost.
CONTACT_TIMEOUT_MS = 1_250
NEVER_MS = -1_000_000
SAME_ZONE = 0
SAME_REGION = 1
OTHER_REGION = 2
# Hosts of which some must be heard: any, those of other zones, those of other regions.
_GROUPS = (
    (SAME_ZONE, SAME_REGION, OTHER_REGION),
    (SAME_REGION, OTHER_REGION),
    (OTHER_REGION,),
)


class Contacts:
    """Newest messages and failures between one host and the others, by distance.

    Parameters
    ----------
    own : Node
        The host. It is in touch with nobody until it has heard from others.
    """

    def __init__(self, own):
        self._own = own
        self._heard_at_ms = [NEVER_MS] * 3
        self._failed_at_ms = [NEVER_MS] * 3

    def record(self, node, is_answered, now_ms):
        """Record a message of another host, or that it did not answer.

        Parameters
        ----------
        node : Node
            The other host.
        is_answered : bool
            Whether a message arrived.
        now_ms : int
            Current time.
        """
        times = self._heard_at_ms if is_answered else self._failed_at_ms
        times[self._distance(node)] = now_ms

    def count(self, nodes, now_ms):
        """Return how many hosts this one is in touch with, itself included.

        Parameters
        ----------
        nodes : iterable of Node
            The other hosts that are not known to be down.
        now_ms : int
            Current time.

        Returns
        -------
        int
        """
        reach = self._reach(now_ms)
        return 1 + sum(1 for node in nodes if self._distance(node) <= reach)

    def choose_to_ask(self, nodes, draw, now_ms):
        """Return hosts to send a request to, since hosts like them are silent.

        One for each distance at once: a host that has just started would else learn of
        each distance only after the one before.

        Parameters
        ----------
        nodes : list of Node
            The other hosts that are not known to be down.
        draw : callable
            Returns a random number from 0 to below 1.
        now_ms : int
            Current time.

        Returns
        -------
        list of Node
        """
        chosen = []
        for distances in _GROUPS:
            if now_ms - self._heard_of(distances) > DOUBT_MS:
                silent = [node for node in nodes if self._distance(node) in distances]
                if silent:
                    chosen.append(silent[int(draw() * len(silent))])
        return list(dict.fromkeys(chosen))

    def _reach(self, now_ms):
        """Return the distance up to which hosts count; negative for none."""
        for reach, distances in enumerate(_GROUPS, -1):
            if self._is_lost(distances, now_ms):
                return reach
        return OTHER_REGION

    def _is_lost(self, distances, now_ms):
        """Return whether hosts at these distances fail to answer and send nothing."""
        heard_at_ms = self._heard_of(distances)
        failed_at_ms = max(self._failed_at_ms[distance] for distance in distances)
        is_silent = now_ms - heard_at_ms > CONTACT_TIMEOUT_MS
        return is_silent and (failed_at_ms > heard_at_ms or heard_at_ms == NEVER_MS)

    def _heard_of(self, distances):
        return max(self._heard_at_ms[distance] for distance in distances)

    def _distance(self, node):
        if node.zone == self._own.zone:
            return SAME_ZONE
        return SAME_REGION if node.region == self._own.region else OTHER_REGION
