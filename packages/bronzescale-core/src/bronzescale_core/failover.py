"""Run the changes of a group's primary as a state machine.

The machine takes events and returns actions; it does no I/O itself. A conditional
update of the group object claims a term and decides which node drives the change. That
node fences a majority of the copies, promotes the most advanced of them, and publishes
the result by a second conditional update. Any other node can take over an unfinished
change by claiming the next term.
"""

from functools import singledispatchmethod

from bronzescale_core.detection import Verdict
from bronzescale_core.failover_messages import (
    AskEvidence,
    AwaitCopy,
    ClaimFailed,
    ClaimWritten,
    CopyCaughtUp,
    CopyFailed,
    CopyFenced,
    CopyPromoted,
    EvidenceReceived,
    FenceCopy,
    FollowCopy,
    GroupObserved,
    NoteStep,
    PlannedChange,
    PrimaryFinding,
    PromoteCopy,
    PublishGroup,
    Step,
    Tick,
    WriteGroup,
)
from bronzescale_core.groups import Phase, majority
from bronzescale_core.positions import TermStart, add_term_start

# Delay per rank of a watcher, so that usually only the first one acts.
RANK_DELAY_MS = 400
# Longest time that each step may take before the change is aborted, to be retried.
EVIDENCE_TIMEOUT_MS = 800
STORE_TIMEOUT_MS = 1_500
FENCE_TIMEOUT_MS = 1_500
PROMOTE_TIMEOUT_MS = 1_500
# Time without a new version of the group object after which another watcher takes over
# an unfinished change.
TAKEOVER_AFTER_MS = 2_500
# Pause after a change has been finished or aborted.
RETRY_AFTER_MS = 300
# Time for running writes to finish in a planned change, while new ones are held back.
PLANNED_DRAIN_MS = 600
# Longest time for the planned primary to catch up with the old one.
CATCH_UP_TIMEOUT_MS = 3_000


class FailoverMachine:
    """State machine of one watcher for changes of primary of one group.

    Parameters
    ----------
    state : GroupState
        Newest known state of the group.
    upstreams : tuple of str
        Names of the group's databases.
    node : str
        Name of this node.
    zone : str
        Availability zone of this node.
    new_nonce : callable
        Function that returns a new nonce; tests pass a deterministic one.
    """

    def __init__(self, state, upstreams, node, zone, new_nonce):
        self._state = state
        self._upstreams = upstreams
        self._node = node
        self._zone = zone
        self._new_nonce = new_nonce
        self._rank = 0
        self._reset(0)
        self._verdict = Verdict.ALIVE
        self._reason = ""
        self._observed_at_ms = 0
        self.history = []

    def _reset(self, retry_at_ms):
        self.step = Step.IDLE
        self._deadline_ms = 0
        self._retry_at_ms = retry_at_ms
        self._claim = None
        self._published = None
        self._reports = {}
        self._planned_primary = ""
        self._required_copies = frozenset()
        self._is_evidence_requested = False

    @property
    def state(self):
        """Return the newest known state of the group."""
        return self._state

    def set_rank(self, rank):
        """Set the rank of this node among the group's watchers.

        Parameters
        ----------
        rank : int
            Rank 0 acts first; each further rank waits `RANK_DELAY_MS` longer.
        """
        self._rank = rank

    def set_upstreams(self, upstreams):
        """Replace the names of the group's databases.

        Parameters
        ----------
        upstreams : tuple of str
            The new names.
        """
        self._upstreams = upstreams

    def handle(self, event, now_ms):
        """Process one event.

        Parameters
        ----------
        event : NamedTuple
            One of the events of `bronzescale_core.failover_messages`.
        now_ms : int
            Current time.

        Returns
        -------
        list of NamedTuple
            Actions to carry out, in order.
        """
        actions = []
        self._handle_event(event, now_ms, actions)
        return actions

    @singledispatchmethod
    def _handle_event(self, event, now_ms, actions):
        raise TypeError(f"no handler for event {type(event).__name__}")

    @_handle_event.register
    def _(self, event: PrimaryFinding, now_ms, actions):
        self._verdict = event.verdict
        self._reason = event.reason
        if event.verdict is Verdict.DOWN and self.step is Step.IDLE:
            self._begin_evidence(now_ms, actions)
        elif event.verdict is Verdict.ALIVE and self.step is Step.EVIDENCE:
            self._record_step(actions, "the primary answers again")
            self._reset(now_ms)

    @_handle_event.register
    def _(self, event: EvidenceReceived, now_ms, actions):
        is_awaited = self.step is Step.EVIDENCE and event.term == self._state.term
        if not is_awaited or event.zone == self._zone:
            return
        if event.verdict is Verdict.ALIVE:
            return
        text = f"{event.node} in {event.zone} holds the primary {event.verdict.value}"
        self._record_step(actions, text)
        self._begin_claim(now_ms, actions)

    @_handle_event.register
    def _(self, event: GroupObserved, now_ms, actions):
        if event.state.version <= self._state.version:
            return
        is_own = self._claim is not None and event.state.nonce == self._claim.nonce
        is_own_result = (
            self._published is not None and event.state.nonce == self._published.nonce
        )
        if event.state.primary != self._state.primary:
            self._verdict = Verdict.ALIVE
        self._state = event.state
        self._observed_at_ms = now_ms
        if is_own and self.step is Step.CLAIM:
            self._after_claim(now_ms, actions)
        elif is_own_result:
            self._finish(now_ms, actions)
        elif not is_own and self.step is not Step.IDLE:
            text = f"{event.state.writer} wrote term {event.state.term} first"
            self._record_step(actions, text)
            self._reset(now_ms)

    @_handle_event.register
    def _(self, event: ClaimWritten, now_ms, actions):
        if self.step is Step.CLAIM and event.nonce == self._claim.nonce:
            self._state = self._claim._replace(version=event.version)
            self._observed_at_ms = now_ms
            self._after_claim(now_ms, actions)
        elif self.step is Step.PUBLISH and event.nonce == self._published.nonce:
            self._state = self._published._replace(version=event.version)
            self._finish(now_ms, actions)

    @_handle_event.register
    def _(self, event: ClaimFailed, now_ms, actions):
        nonces = [s.nonce for s in (self._claim, self._published) if s is not None]
        if event.nonce in nonces:
            self._abort(now_ms, actions, f"the store did not take it: {event.reason}")

    @_handle_event.register
    def _(self, event: CopyFenced, now_ms, actions):
        if event.report.promised_term > self._state.term:
            text = f"{event.report.upstream} promised term {event.report.promised_term}"
            self._abort(now_ms, actions, text)
            return
        if self.step is Step.CATCH_UP:
            offset = event.report.received
            self._record_step(
                actions, f"waiting for {self._planned_primary} to hold offset {offset}"
            )
            actions.append(AwaitCopy(self._planned_primary, self._state.term, offset))
        elif self.step is Step.FENCE:
            self._reports[event.report.upstream] = event.report
            self._promote_if_fenced(now_ms, actions)

    @_handle_event.register
    def _(self, event: CopyCaughtUp, now_ms, actions):
        if self.step is Step.CATCH_UP and event.term == self._state.term:
            self._begin_fence(now_ms, actions)

    @_handle_event.register
    def _(self, event: CopyPromoted, now_ms, actions):
        if self.step is not Step.PROMOTE:
            return
        start = TermStart(self._state.term, event.term_start)
        self._published = self._state._replace(
            primary=event.report.upstream,
            phase=Phase.ACTIVE,
            nonce=self._new_nonce(),
            planned_primary="",
            term_starts=add_term_start(self._state.term_starts, start),
        )
        self._required_copies = frozenset()
        self._enter(Step.PUBLISH, now_ms + STORE_TIMEOUT_MS)
        text = f"{event.report.upstream} began term {start.term} at {start.offset}"
        self._record_step(actions, text)
        actions.append(WriteGroup(self._published, self._state.version))
        actions.extend(
            FollowCopy(name, start.term, event.report.upstream)
            for name in self._upstreams
            if name != event.report.upstream
        )

    @_handle_event.register
    def _(self, event: CopyFailed, now_ms, actions):
        # A copy that could not be fenced does not matter if a majority could.
        is_needed = event.upstream in self._required_copies
        if is_needed and event.term == self._state.term:
            text = f"order to {event.upstream} failed: {event.reason}"
            self._abort(now_ms, actions, text)

    @_handle_event.register
    def _(self, event: PlannedChange, now_ms, actions):
        if self.step is not Step.IDLE or event.upstream == self._state.primary:
            return
        self._planned_primary = event.upstream
        self._reason = event.reason
        self._begin_claim(now_ms, actions)

    @_handle_event.register
    def _(self, event: Tick, now_ms, actions):
        if self.step is Step.IDLE:
            self._check_idle(now_ms, actions)
        elif now_ms >= self._deadline_ms:
            self._handle_timeout(now_ms, actions)

    def _check_idle(self, now_ms, actions):
        if now_ms < self._retry_at_ms:
            return
        if self._state.phase is Phase.FENCING:
            takeover_delay_ms = TAKEOVER_AFTER_MS + self._rank * RANK_DELAY_MS
            if now_ms - self._observed_at_ms >= takeover_delay_ms:
                self._reason = f"{self._state.writer} left term {self._state.term} open"
                self._begin_claim(now_ms, actions)
        elif self._verdict is Verdict.DOWN:
            self._begin_evidence(now_ms, actions)

    def _handle_timeout(self, now_ms, actions):
        if self.step is Step.DRAIN:
            self._begin_catch_up(now_ms, actions)
        elif self.step is Step.EVIDENCE:
            if not self._is_evidence_requested:
                self._request_evidence(now_ms, actions)
            else:
                self._abort(now_ms, actions, "no second zone confirms")
        else:
            self._abort(now_ms, actions, f"{self.step.value} took too long")

    def _begin_evidence(self, now_ms, actions):
        if now_ms < self._retry_at_ms or self._state.phase is Phase.FENCING:
            return
        self._record_step(
            actions, f"primary {self._state.primary} down: {self._reason}"
        )
        self._is_evidence_requested = False
        self._enter(Step.EVIDENCE, now_ms + self._rank * RANK_DELAY_MS)
        if self._rank == 0:
            self._request_evidence(now_ms, actions)

    def _request_evidence(self, now_ms, actions):
        self._is_evidence_requested = True
        self._enter(Step.EVIDENCE, now_ms + EVIDENCE_TIMEOUT_MS)
        actions.append(AskEvidence(self._state.service, self._state.term))

    def _begin_claim(self, now_ms, actions):
        self._claim = self._state._replace(
            term=self._state.term + 1,
            phase=Phase.FENCING,
            writer=self._node,
            nonce=self._new_nonce(),
            reason=self._reason,
            planned_primary=self._planned_primary,
        )
        self._enter(Step.CLAIM, now_ms + STORE_TIMEOUT_MS)
        self._record_step(actions, f"claiming term {self._claim.term}: {self._reason}")
        actions.append(WriteGroup(self._claim, self._state.version))

    def _after_claim(self, now_ms, actions):
        if self._planned_primary:
            self._enter(Step.DRAIN, now_ms + PLANNED_DRAIN_MS)
            self._record_step(actions, f"draining {self._state.primary}")
            actions.append(PublishGroup(self._state))
            return
        self._begin_fence(now_ms, actions)

    def _begin_catch_up(self, now_ms, actions):
        self._reports = {}
        self._required_copies = frozenset((self._planned_primary, self._state.primary))
        self._enter(Step.CATCH_UP, now_ms + CATCH_UP_TIMEOUT_MS)
        self._record_step(
            actions, f"{self._planned_primary} catches up with {self._state.primary}"
        )
        actions.append(FenceCopy(self._state.primary, self._state.term))

    def _begin_fence(self, now_ms, actions):
        self._reports = {}
        self._required_copies = frozenset()
        self._enter(Step.FENCE, now_ms + FENCE_TIMEOUT_MS)
        self._record_step(actions, f"fencing {len(self._upstreams)} copies")
        actions.extend(FenceCopy(name, self._state.term) for name in self._upstreams)

    def _promote_if_fenced(self, now_ms, actions):
        if len(self._reports) < majority(len(self._upstreams)):
            return
        if self._planned_primary and self._planned_primary not in self._reports:
            return
        chosen = self._most_advanced_report()
        self._required_copies = frozenset((chosen.upstream,))
        self._enter(Step.PROMOTE, now_ms + PROMOTE_TIMEOUT_MS)
        text = f"promoting {chosen.upstream} at {chosen.log_term}:{chosen.received}"
        self._record_step(actions, text)
        actions.append(PromoteCopy(chosen.upstream, self._state.term))

    def _most_advanced_report(self):
        def log_progress(report):
            is_planned = report.upstream == self._planned_primary
            return report.log_term, report.received, is_planned, report.upstream

        return max(self._reports.values(), key=log_progress)

    def _finish(self, now_ms, actions):
        state = self._state
        self._record_step(actions, f"{state.primary} leads term {state.term}")
        self._reset(now_ms + RETRY_AFTER_MS)
        self._verdict = Verdict.ALIVE
        actions.append(PublishGroup(state))

    def _abort(self, now_ms, actions, reason):
        self._record_step(actions, reason)
        self._reset(now_ms + RETRY_AFTER_MS + self._rank * RANK_DELAY_MS)

    def _enter(self, step, deadline_ms):
        self.step = step
        self._deadline_ms = deadline_ms

    def _record_step(self, actions, text):
        note = NoteStep(self._state.service, self.step, text)
        self.history = [*self.history[-31:], note]
        actions.append(note)
