"""Remember at an entry host which replicas are behind, and by how much.

The load that this answers: most replicas are behind for seconds, and every host sends
every read to each of them first. A host remembers what an owner answered for a bounded
time, which grows while the replica stays behind. Then one read tries the replica again,
so that each host returns to it at its own time and not all of them at once.
"""

from typing import NamedTuple

from bronzescale_core.positions import Position
from bronzescale_core.work import NO_AGE_LIMIT

# Time for which the first answer is believed. Each further one doubles it, up to the
# maximum, which bounds how long a replica that has caught up is left alone.
FIRST_BELIEF_MS = 250
MAX_BELIEF_MS = 1_000
# Time that the one read which tries the replica again is given to answer.
PROBE_TIMEOUT_MS = 250


class _Belief(NamedTuple):
    """What a host believes of one replica.

    Parameters
    ----------
    had : Position
        Position that it had.
    behind_age_ms : int
        It could not serve reads of at most this age; `NO_AGE_LIMIT` if only sessions
        that had written more were refused.
    until_ms : int
        When the next read may try it.
    streak : int
        Refusals in a row.
    """

    had: Position
    behind_age_ms: int
    until_ms: int
    streak: int


class LaggingCopies:
    """Replicas that could not serve reads a short while ago."""

    def __init__(self):
        self._beliefs = {}

    def __contains__(self, instance):
        return instance in self._beliefs

    def record_behind(self, instance, had, floor, max_age_ms, now_ms):
        """Record that a replica's owner refused a read because the replica is behind.

        Parameters
        ----------
        instance : str
            The replica.
        had : Position
            Position that it had.
        floor : Position
            Position that the session needed.
        max_age_ms : int
            Age that the read allowed; `NO_AGE_LIMIT` for any.
        now_ms : int
            Current time.
        """
        known = self._beliefs.get(instance)
        streak = known.streak if known is not None else 0
        behind_age_ms = known.behind_age_ms if known is not None else NO_AGE_LIMIT
        if floor <= had:
            # What the session needs is there, so the age was the reason.
            behind_age_ms = max(behind_age_ms, max_age_ms)
        belief_ms = min(MAX_BELIEF_MS, FIRST_BELIEF_MS * 2**streak)
        self._beliefs[instance] = _Belief(
            had, behind_age_ms, now_ms + belief_ms, min(streak + 1, 8)
        )

    def record_served(self, instance, position, max_age_ms):
        """Record that a replica served a read.

        Parameters
        ----------
        instance : str
            The replica.
        position : Position
            Position that it has.
        max_age_ms : int
            Age that the read allowed; `NO_AGE_LIMIT` for any.

        Returns
        -------
        bool
            Whether the replica has returned: it was believed to be behind for such
            reads and is not any more.
        """
        known = self._beliefs.get(instance)
        if known is None:
            return False
        serves_age = (
            known.behind_age_ms == NO_AGE_LIMIT
            or NO_AGE_LIMIT < max_age_ms <= known.behind_age_ms
        )
        if serves_age:
            del self._beliefs[instance]
            return True
        self._beliefs[instance] = known._replace(had=max(known.had, position))
        return False

    def is_behind(self, instance, floor, max_age_ms, now_ms):
        """Return whether a replica is believed to lack what a read needs.

        Parameters
        ----------
        instance : str
            The replica.
        floor : Position
            Position that the session needs.
        max_age_ms : int
            Age that the read allows; `NO_AGE_LIMIT` for any.
        now_ms : int
            Current time.

        Returns
        -------
        bool
        """
        known = self._beliefs.get(instance)
        if known is None or now_ms >= known.until_ms:
            return False
        is_too_old = NO_AGE_LIMIT < max_age_ms <= known.behind_age_ms
        return floor > known.had or is_too_old

    def begin_attempt(self, instance, now_ms):
        """Record that a read is sent to a replica.

        If it is the one that tries the replica again, further reads pass the replica
        over until it is answered or `PROBE_TIMEOUT_MS` have passed.
        """
        known = self._beliefs.get(instance)
        if known is not None and now_ms >= known.until_ms:
            self._beliefs[instance] = known._replace(until_ms=now_ms + PROBE_TIMEOUT_MS)
