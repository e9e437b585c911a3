"""Model a database group: real failover machines with simulated copies and store.

Each action of a machine waits in a list of pending actions until the test delivers it.
The test can therefore deliver actions in any sequence, drop an action, or lose the
response to an action that took effect.
"""

import itertools
from typing import NamedTuple

from bronzescale_core import failover as f
from bronzescale_core.acknowledgement import (
    ConfirmationTracker,
    Confirmed,
    CopyReport,
)
from bronzescale_core.detection import Verdict
from bronzescale_core.groups import GroupState, Phase
from bronzescale_core.positions import Position

COPIES = ("a", "b", "c")


class Entry(NamedTuple):
    term: int
    value: str


class FakeCopy:
    """Copy whose log and terms are changed only by calls of the model."""

    def __init__(self, name):
        self.name = name
        self.log = []
        self.promised_term = 1
        self.primary_term = 0
        self.is_up = True

    @property
    def is_writable(self):
        return self.is_up and self.primary_term == self.promised_term

    def report(self, now_ms=0):
        role = "primary" if self.is_writable else "replica"
        log_term = self.log[-1].term if self.log else 0
        log_size = len(self.log)
        return CopyReport(
            self.name, role, self.promised_term, log_term, log_size, log_size, now_ms
        )

    def fence(self, term):
        if not self.is_up or term < self.promised_term:
            return None
        self.promised_term = term
        return self.report()

    def promote(self, term):
        if not self.is_up or term != self.promised_term:
            return None
        if self.primary_term != term:
            self.primary_term = term
            self.log.append(Entry(term, "start"))
        return self.report()

    def follow(self, term):
        if self.is_up and term >= self.promised_term:
            self.promised_term = term
            if self.primary_term < term:
                self.primary_term = 0

    def receive(self, source):
        """Replace the log with that of a primary of the promised term."""
        is_same_term = source.primary_term == self.promised_term
        if self.is_up and source.is_up and is_same_term and not self.primary_term:
            self.log = list(source.log)


class FakeStore:
    """Store with one group object and conditional updates."""

    def __init__(self, state):
        self.state = state
        self.is_up = True

    def update(self, state, if_version):
        if self.state.version != if_version:
            return None
        self.state = state._replace(version=self.state.version + 1)
        return self.state.version


class PendingAction(NamedTuple):
    """Action of a node that has not been delivered yet."""

    node: str
    action: object


class GroupModel:
    """One group with three copies and one node with a failover machine in each zone."""

    def __init__(self):
        initial_state = GroupState("s", 1, "a", version=1)
        self.store = FakeStore(initial_state)
        self.copies = {name: FakeCopy(name) for name in COPIES}
        self.copies["a"].primary_term = 1
        self.copies["a"].log = [Entry(1, "start")]
        for name in "bc":
            self.copies[name].receive(self.copies["a"])
        nonces = (f"nonce-{n}" for n in itertools.count(1))
        self.machines = {}
        for rank, zone in enumerate(COPIES):
            machine = f.FailoverMachine(
                initial_state, COPIES, f"node-{zone}", zone, lambda: next(nonces)
            )
            machine.set_rank(rank)
            self.machines[f"node-{zone}"] = machine
        self.pending = []
        self.now_ms = 0
        self.acknowledged = []
        self.primaries = {1: "a"}
        self.write_numbers = itertools.count(1)

    def feed(self, node, event):
        for action in self.machines[node].handle(event, self.now_ms):
            if not isinstance(action, f.NoteStep):
                self.pending.append(PendingAction(node, action))

    def tick(self, elapsed_ms):
        self.now_ms += elapsed_ms
        for node in self.machines:
            self.feed(node, f.Tick())

    def report_primary_status(self):
        """Report to every node whether the primary in its group state is up."""
        for node, machine in self.machines.items():
            is_up = self.copies[machine.state.primary].is_up
            verdict = Verdict.ALIVE if is_up else Verdict.DOWN
            self.feed(node, f.PrimaryFinding(verdict, "model"))

    def deliver_group_state(self, node):
        """Deliver the stored group object to a node."""
        self.feed(node, f.GroupObserved(self.store.state))

    def write_statement(self, name, confirming):
        """Run a write on a copy and replicate it to the copies in ``confirming``.

        Return the written value if ``ConfirmationTracker`` confirmed the write after
        the report of another copy, and None otherwise.
        """
        copy = self.copies[name]
        if not copy.is_writable:
            return None
        value = f"save-{next(self.write_numbers)}"
        copy.log.append(Entry(copy.primary_term, value))
        position = Position(copy.primary_term, len(copy.log))
        tracker = ConfirmationTracker(1)
        write_id, _ = tracker.add(position, self.now_ms)
        for other in confirming:
            self.copies[other].receive(copy)
            report = self.copies[other].report(self.now_ms)
            if other != name and self.copies[other].is_up:
                decisions = tracker.report(report)
                if Confirmed(write_id) in decisions:
                    self.acknowledged.append(Entry(position.term, value))
                    return value
        return None

    def deliver(self, index, is_answer_lost=False):
        """Execute one pending action; its response can be lost."""
        pending = self.pending.pop(index % len(self.pending))
        events = self._execute(pending.node, pending.action)
        if not is_answer_lost:
            for event in events:
                self.feed(pending.node, event)
        elif isinstance(pending.action, f.WriteGroup):
            self.feed(pending.node, self._read_back_claim(pending.action))

    def drop(self, index):
        """Drop one pending action before it takes effect."""
        pending = self.pending.pop(index % len(self.pending))
        if isinstance(pending.action, f.WriteGroup):
            nonce = pending.action.state.nonce
            self.feed(pending.node, f.ClaimFailed(nonce, "lost"))

    def _read_back_claim(self, action):
        """Return the outcome of a claim whose response was lost.

        Read the nonce back from the store to find it, as the proxy does.
        """
        if self.store.state.nonce == action.state.nonce:
            return f.ClaimWritten(action.state.nonce, self.store.state.version)
        return f.ClaimFailed(action.state.nonce, "lost")

    def _execute(self, node, action):
        copy = self.copies.get(getattr(action, "upstream", ""))
        if isinstance(action, f.WriteGroup):
            return self._write_group(action)
        if isinstance(action, f.FenceCopy):
            report = copy.fence(action.term)
            failure = f.CopyFailed(action.upstream, action.term, "refused")
            return [f.CopyFenced(report) if report else failure]
        if isinstance(action, f.PromoteCopy):
            return self._promote(copy, action)
        if isinstance(action, f.FollowCopy):
            copy.follow(action.term)
            return []
        if isinstance(action, f.AwaitCopy):
            copy.receive(self.copies[self.store.state.primary])
            is_caught_up = len(copy.log) >= action.offset
            caught_up = f.CopyCaughtUp(action.upstream, action.term)
            return [caught_up] if is_caught_up else []
        if isinstance(action, f.AskEvidence):
            return self._collect_evidence(node, action)
        assert isinstance(action, f.PublishGroup)
        for other in self.machines:
            self.feed(other, f.GroupObserved(action.state))
        return []

    def _write_group(self, action):
        version = None
        if self.store.is_up:
            version = self.store.update(action.state, action.if_version)
        if version is None:
            return [f.ClaimFailed(action.state.nonce, "conflict or outage")]
        return [f.ClaimWritten(action.state.nonce, version)]

    def _promote(self, copy, action):
        report = copy.promote(action.term)
        if report is None:
            return [f.CopyFailed(action.upstream, action.term, "refused")]
        primary_name = self.primaries.setdefault(action.term, copy.name)
        assert primary_name == copy.name, f"two primaries of term {action.term}"
        return [f.CopyPromoted(report, report.received - 1)]

    def _collect_evidence(self, node, action):
        is_up = self.copies[self.store.state.primary].is_up
        verdict = Verdict.ALIVE if is_up else Verdict.DOWN
        others = [name for name in self.machines if name != node]
        return [
            f.EvidenceReceived(name, name[-1], action.term, verdict) for name in others
        ]

    def check(self):
        """Assert that the published primary has every acknowledged write in its log."""
        state = self.store.state
        if state.phase is not Phase.ACTIVE:
            return
        primary = self.copies[state.primary]
        if primary.primary_term != state.term:
            return
        lost = [entry for entry in self.acknowledged if entry not in primary.log]
        assert not lost, f"lost writes {lost} in term {state.term}"

    def run_until_primary(self, rounds=400):
        """Bring the store back and run until a writable primary is published.

        Return the group state then. Raise ``AssertionError`` if there is none after
        ``rounds`` rounds.
        """
        self.store.is_up = True
        for _ in range(rounds):
            self.report_primary_status()
            while self.pending:
                self.deliver(0)
            for node in self.machines:
                self.deliver_group_state(node)
            self.check()
            state = self.store.state
            primary = self.copies[state.primary]
            if state.phase is Phase.ACTIVE and primary.is_writable:
                return state
            self.tick(100)
        raise AssertionError(
            f"no writable primary after {rounds} rounds: {self.store.state}"
        )
