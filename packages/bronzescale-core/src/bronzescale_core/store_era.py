"""Order what the store says across its returns from an older copy.

After such a return the store has lost its newest changes and gives their revisions out
again, to other changes. Each return raises the store's era by one. A version therefore
combines the era with the revision, so that a plain comparison of versions orders all
changes, and so that fencing tokens, which are versions of claims, never repeat.
"""

from typing import NamedTuple

from bronzescale_core.groups import Phase
from bronzescale_core.succession import CLAIM_TIMEOUT_MS

# Enough revisions for 10 years at 3,200 changes a second.
REVISION_BITS = 40
# Nodes exchange versions as 64-bit numbers, into which larger eras would not fit.
MAX_ERA = 2**22
# Nodes sum versions into digests, which are numbers of 64 bits too.
DIGEST_MASK = 2**63 - 1
# Covers the drift between the clocks of a driver and of the node that waits for it.
SETTLE_MARGIN_MS = 200
# No claim is written and no state of an older era is confirmed before every claim that
# the store may have lost has expired.
SETTLE_MS = CLAIM_TIMEOUT_MS + SETTLE_MARGIN_MS
# How much longer each host waits than the one before it in rank. Covers a renewal of
# the lease, a call to the store and the message that tells of its result.
CONFIRMATION_STEP_MS = 1_000


def make_version(era, revision):
    """Return the version of a change.

    Parameters
    ----------
    era : int
        Era of the store; 0 if the store reports none.
    revision : int
        Revision of the change within that era.

    Returns
    -------
    int
    """
    return (era << REVISION_BITS) + revision


def era_of(version):
    """Return the era of a version."""
    return version >> REVISION_BITS


def revision_of(version):
    """Return the store's revision of a version."""
    return version & ((1 << REVISION_BITS) - 1)


class AnswerEra(NamedTuple):
    """How to treat an answer of the store.

    Parameters
    ----------
    era : int
        Era that the answer's revisions belong to.
    is_outdated : bool
        Whether the store gave the answer before its return, so that it must be ignored.
    """

    era: int
    is_outdated: bool = False


class StoreEra:
    """The newest era of the store that one node knows.

    Parameters
    ----------
    clock_ms : callable
        Return the current time, in ms.
    is_first_start : bool
        Whether the whole fleet starts for the first time. The store then cannot have
        lost anything of the fleet before the first era that this node learns.
    """

    def __init__(self, clock_ms, is_first_start=False):
        self._clock_ms = clock_ms
        self._learned_at_ms = 0
        self._is_first_start = is_first_start
        self._complete_era = 0
        self.number = 0
        # Called with the old and the new era.
        self.change_listeners = []
        # Called with a description of a report that could not be used.
        self.problem_listeners = []

    def learn(self, era):
        """Adopt an era that an answer or another node mentions, if it is newer."""
        if not self.number < era <= MAX_ERA:
            return
        old, self.number = self.number, era
        if self._is_first_start and old == 0:
            self._complete_era = era
        self._learned_at_ms = self._clock_ms()
        for listener in self.change_listeners:
            listener(old, era)

    def read_answer(self, reported, era_when_sent):
        """Return how to treat an answer of the store.

        Parameters
        ----------
        reported : str or None
            Era as the answer reports it; None if it reports none.
        era_when_sent : int
            Newest era that was known when the request was sent.

        Returns
        -------
        AnswerEra
            A report that is missing, malformed or too low counts as the known era. A
            lower one is plausible only if the request was sent before the newer era
            was known: the store answered before its return.
        """
        era = _parse_era(reported)
        if era is None or (era < self.number and era_when_sent == self.number):
            if reported is not None or self.number:
                self._report(f"the store reports era {reported!r} after {self.number}")
            return AnswerEra(self.number)
        if era < self.number:
            return AnswerEra(era, is_outdated=True)
        self.learn(era)
        return AnswerEra(era)

    def has_confirmed(self, state):
        """Return whether a group's state was written in the current era.

        A state of an older era may lack changes that the store has lost. Without any
        era, and before its first return, the store has lost nothing.

        Parameters
        ----------
        state : GroupState or None
            State as the store holds it.

        Returns
        -------
        bool
        """
        if self.number == self._complete_era:
            return True
        return state is not None and state.era == self.number

    def may_claim(self, state):
        """Return whether no lost claim on a group can still be acted on.

        Parameters
        ----------
        state : GroupState or None
            Known state of the group.

        Returns
        -------
        bool
        """
        is_settled = self._clock_ms() >= self._learned_at_ms + SETTLE_MS
        return is_settled or self.has_confirmed(state)

    def may_confirm(self, state, rank):
        """Return whether it is a host's turn to confirm a group's state.

        The first host in rank writes the state again once no lost claim can still be
        acted on. It may be cut off from the store, so the next one follows if the state
        is still not confirmed.

        Parameters
        ----------
        state : GroupState or None
            Known state of the group.
        rank : int or None
            Rank of the host among those that may own the primary, from 0; None if it
            is none of them.

        Returns
        -------
        bool
        """
        if rank is None or self.has_confirmed(state):
            return False
        due_ms = self._learned_at_ms + SETTLE_MS + rank * CONFIRMATION_STEP_MS
        return self._clock_ms() >= due_ms

    def settled_at_ms(self):
        """Return when lost claims of older eras have expired."""
        return self._learned_at_ms + SETTLE_MS if self.number else 0

    def _report(self, text):
        for listener in self.problem_listeners:
            listener(text)


def _parse_era(reported):
    if reported is None or not reported.isascii() or not reported.isdecimal():
        return None
    era = int(reported) if len(reported) <= len(str(MAX_ERA)) else MAX_ERA + 1
    return era if era <= MAX_ERA else None


def is_more_advanced(state, other):
    """Return whether a group's state is further along than another one.

    Parameters
    ----------
    state, other : GroupState

    Returns
    -------
    bool
        Whether its term is higher, or equal with the change already finished.
    """
    return _progress(state) > _progress(other)


def _progress(state):
    return state.term, state.phase is Phase.ACTIVE


def reconcile_group(known, stored, era):
    """Return the state of a group to act on, given what the store or a peer holds.

    A state that the store lost is kept in memory until it is written again. It takes
    the version of the stored object, which the next conditional write must name.

    Parameters
    ----------
    known : GroupState or None
        State known to this node.
    stored : GroupState
        State that the store or a peer holds.
    era : int
        The current era.

    Returns
    -------
    GroupState
    """
    is_stored_current = era_of(stored.version) == era
    if known is None:
        return stored if is_stored_current else stored._replace(version=0)
    if stored.era == era:
        return stored
    if not is_stored_current:
        is_lost = known.era != era and is_more_advanced(stored, known)
        return stored._replace(version=known.version) if is_lost else known
    is_from_copy = era_of(known.version) < era or known.era != era
    if is_from_copy and is_more_advanced(known, stored):
        return known._replace(version=stored.version)
    return stored
