"""Prove that a primary still leads, and sample its log for reads of a stated age.

A proof holds for `PRIMARY_LEASE_MS` from the moment its question was sent. Whoever
replaces a primary waits that long after claiming the next term and pausing the copy
that takes over, so that no proof of the old term is in force when the new one begins.
Times are read from a clock that counts suspended time.
"""

from collections import deque
from typing import NamedTuple

from bronzescale_core.positions import Position

# Bounds the wait of a promotion; three probes at their interval fit into it.
PRIMARY_LEASE_MS = 700
# Clocks of two hosts may run apart; a promoter waits this much longer.
LEASE_MARGIN_MS = 50
# Two rounds of questions fit into a lease, so that one lost answer stops nothing.
LEASE_RENEWAL_INTERVAL_MS = 290
# Samples further apart than this would make replicas look older than they are.
SAMPLE_SPACING_MS = 40
# Covers ages up to several seconds at the sample spacing.
MAX_SAMPLES = 250


class LeaseProof(NamedTuple):
    """A primary that provably led its term at a moment.

    Parameters
    ----------
    upstream : str
        The primary.
    term : int
        Its term.
    asked_at_ms : int
        When the question was sent whose answer proves it.
    """

    upstream: str
    term: int
    asked_at_ms: int


class HeadSample(NamedTuple):
    """A head of the log that covers all commits acknowledged before a moment."""

    position: Position
    valid_at_ms: int


class PrimaryLease:
    """Proofs and head samples of one service, as one node knows them."""

    def __init__(self):
        self._proof = None
        self._samples = deque(maxlen=MAX_SAMPLES)
        self._pending = None

    @property
    def proof(self):
        """Return the newest proof, perhaps expired, or None."""
        return self._proof

    def renew(self, upstream, term, asked_at_ms):
        """Take a proof.

        Parameters
        ----------
        upstream : str
            The primary.
        term : int
            Its term.
        asked_at_ms : int
            When the question was sent.
        """
        known = self._proof
        if known is not None and (term, asked_at_ms) <= (known.term, known.asked_at_ms):
            return
        self._proof = LeaseProof(upstream, term, asked_at_ms)
        self._settle()

    def revoke(self):
        """Forget the proof, since a change of primary has begun."""
        self._proof = None
        self._pending = None

    def is_held_by(self, upstream, now_ms):
        """Tell whether a database provably leads now.

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
        proof = self._proof
        if proof is None or proof.upstream != upstream:
            return False
        return now_ms < proof.asked_at_ms + PRIMARY_LEASE_MS

    def record_position(self, upstream, position, sent_at_ms):
        """Take the primary's log position from an answer of its own.

        Parameters
        ----------
        upstream : str
            Who answered.
        position : Position
            The log's end when it answered.
        sent_at_ms : int
            When the statement was sent to it.
        """
        if self.is_held_by(upstream, sent_at_ms):
            self.add_sample(HeadSample(position, sent_at_ms))
        else:
            self._pending = (upstream, HeadSample(position, sent_at_ms))

    def add_sample(self, sample):
        """Keep a sample unless a newer one of the same spacing is there."""
        newest = self._samples[-1] if self._samples else None
        if newest is not None:
            if sample.valid_at_ms <= newest.valid_at_ms:
                return
            if sample.position < newest.position:
                # A head below a known one is of an older term.
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
        """Return the oldest known head that is valid at ``since_ms`` or later.

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

    def _settle(self):
        """Keep the sample that waited for this proof."""
        if self._pending is None:
            return
        upstream, sample = self._pending
        if self.is_held_by(upstream, sample.valid_at_ms):
            self.add_sample(sample)
        self._pending = None


def copies_confirm_primary(term, statuses):
    """Tell whether the other copies show that no promotion is under way.

    A promoter pauses the copy that takes over, and waits out the lease, before it
    orders the promotion; so a lead is proven while no copy is paused for a later term.

    Parameters
    ----------
    term : int
        Term of the primary.
    statuses : sequence of CopyStatus or None
        What every copy but the primary said; None for one that did not answer.

    Returns
    -------
    bool
    """
    return bool(statuses) and all(
        status is not None
        and not status.is_primary
        and status.term <= term
        and status.held_term <= term
        for status in statuses
    )


def required_position(session_floor, head):
    """Return the position that a read must see.

    Parameters
    ----------
    session_floor : Position
        The session's last commit.
    head : Position
        Head that the stated age asks for; of a later term it covers what survived of
        the session's commits.

    Returns
    -------
    Position
    """
    return max(session_floor, head)
