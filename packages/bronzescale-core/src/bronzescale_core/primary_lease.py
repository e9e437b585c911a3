"""Hold the lease of a service's primary, and sample its log for bounded-age reads.

A renewal keeps the lease valid for `PRIMARY_LEASE_MS` from the moment its request was
sent. A promotion claims the next term, pauses the copy that takes over, and then waits
that long, so that no lease of the old term is valid when the new term begins. Times
are read from a clock that also counts the time during which the host is suspended.
"""

from collections import deque
from typing import NamedTuple

from bronzescale_core.positions import Position

# Bounds the wait of a promotion. Three renewal requests at their interval fit into it.
PRIMARY_LEASE_MS = 700
# Added to the wait of a promotion, because the clocks of two hosts may drift apart.
LEASE_MARGIN_MS = 50
# Two more renewals fit into a lease, so that one lost answer does not let it expire.
LEASE_RENEWAL_INTERVAL_MS = 290
# Samples further apart would make replicas look older than they are.
SAMPLE_SPACING_MS = 40
# At the sample spacing, covers ages of up to several seconds.
MAX_SAMPLES = 250


class LeaseRenewal(NamedTuple):
    """A renewal of a primary's lease.

    Parameters
    ----------
    upstream : str
        The primary.
    term : int
        Its term.
    requested_at_ms : int
        When the request that renewed the lease was sent.
    """

    upstream: str
    term: int
    requested_at_ms: int


class HeadSample(NamedTuple):
    """A head that covers every commit acknowledged before ``valid_at_ms``."""

    position: Position
    valid_at_ms: int


class PrimaryLease:
    """Lease and head samples of one service, as seen by one node."""

    def __init__(self):
        self._renewal = None
        self._samples = deque(maxlen=MAX_SAMPLES)
        self._pending = None

    @property
    def renewal(self):
        """Return the newest renewal, which may have expired, or None."""
        return self._renewal

    def renew(self, upstream, term, requested_at_ms):
        """Record a renewal, unless a newer one is known.

        Parameters
        ----------
        upstream : str
            The primary.
        term : int
            Its term.
        requested_at_ms : int
            When the request was sent.
        """
        known = self._renewal
        if known is not None and (term, requested_at_ms) <= (
            known.term,
            known.requested_at_ms,
        ):
            return
        self._renewal = LeaseRenewal(upstream, term, requested_at_ms)
        self._add_pending_sample()

    def revoke(self):
        """Drop the lease, because a change of primary has begun."""
        self._renewal = None
        self._pending = None

    def is_held_by(self, upstream, now_ms):
        """Return whether a database holds the lease.

        Parameters
        ----------
        upstream : str
            The database.
        now_ms : int
            Current time.

        Returns
        -------
        bool
        """
        renewal = self._renewal
        if renewal is None or renewal.upstream != upstream:
            return False
        return now_ms < renewal.requested_at_ms + PRIMARY_LEASE_MS

    def record_position(self, upstream, position, sent_at_ms):
        """Record the log position that a database reported with an answer.

        The position becomes a head sample if the database held the lease when the
        statement was sent; if not, it waits for the next renewal.

        Parameters
        ----------
        upstream : str
            Database that answered.
        position : Position
            End of its log when it answered.
        sent_at_ms : int
            When the statement was sent to it.
        """
        if self.is_held_by(upstream, sent_at_ms):
            self.add_sample(HeadSample(position, sent_at_ms))
        else:
            self._pending = (upstream, HeadSample(position, sent_at_ms))

    def add_sample(self, sample):
        """Add a sample that is newer than the newest one.

        It replaces the newest one if it is within `SAMPLE_SPACING_MS` of the sample
        before that.
        """
        newest = self._samples[-1] if self._samples else None
        if newest is not None:
            if sample.valid_at_ms <= newest.valid_at_ms:
                return
            if sample.position < newest.position:
                # A head below a known one belongs to an older term.
                return
        if len(self._samples) >= 2:
            spacing_ms = sample.valid_at_ms - self._samples[-2].valid_at_ms
            if spacing_ms < SAMPLE_SPACING_MS:
                self._samples.pop()
        self._samples.append(sample)

    def newest(self):
        """Return the newest head sample or None."""
        return self._samples[-1] if self._samples else None

    def head_since(self, since_ms):
        """Return the oldest head sample that is valid at ``since_ms`` or later.

        Parameters
        ----------
        since_ms : int
            Every commit acknowledged before this moment must be covered.

        Returns
        -------
        HeadSample or None
        """
        for sample in self._samples:
            if sample.valid_at_ms >= since_ms:
                return sample
        return None

    def _add_pending_sample(self):
        """Add the sample that was waiting for a renewal, if the lease covers it."""
        if self._pending is None:
            return
        upstream, sample = self._pending
        if self.is_held_by(upstream, sample.valid_at_ms):
            self.add_sample(sample)
        self._pending = None


def copies_confirm_primary(term, statuses):
    """Return whether the other copies show that no promotion is under way.

    A promotion pauses the copy that takes over and waits for the lease to expire
    before it orders that copy to become the primary. So the lease can be renewed as
    long as no copy is paused for a later term.

    Parameters
    ----------
    term : int
        Term of the primary.
    statuses : sequence of CopyStatus or None
        Status of every copy but the primary; None for a copy that did not answer.

    Returns
    -------
    bool
    """
    return bool(statuses) and all(
        status is not None
        and not status.is_primary
        and status.term <= term
        and status.paused_term <= term
        for status in statuses
    )


def required_position(session_floor, head):
    """Return the position that a read must see.

    Parameters
    ----------
    session_floor : Position
        The session's last commit.
    head : Position
        Head that the maximum age of the read requires. If it is of a later term, it
        covers those of the session's commits that survived the change of primary.

    Returns
    -------
    Position
    """
    return max(session_floor, head)
