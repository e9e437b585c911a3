"""Fake copies and a fake store round real failover machines.

Every order and every answer is a pending delivery, so that a test can deliver them
in any order, drop them, or lose an answer after the order took effect.
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
    def __init__(self, name):
        self.name = name
        self.log = []
        self.promised_term = 1
        self.leading_term = 0
        self.is_up = True

    @property
    def is_writable(self):
        return self.is_up and self.leading_term == self.promised_term

    def report(self, now_ms=0):
        role = "primary" if self.is_writable else "replica"
        log_term = self.log[-1].term if self.log else 0
        size = len(self.log)
        return CopyReport(
            self.name, role, self.promised_term, log_term, size, size, now_ms
        )

    def fence(self, term):
        if not self.is_up or term < self.promised_term:
            return None
        self.promised_term = term
        return self.report()

    def promote(self, term):
        if not self.is_up or term != self.promised_term:
            return None
        if self.leading_term != term:
            self.leading_term = term
            self.log.append(Entry(term, "start"))
        return self.report()

    def follow(self, term):
        if self.is_up and term >= self.promised_term:
            self.promised_term = term
            if self.leading_term < term:
                self.leading_term = 0

    def receive(self, source):
        """Take the log of a primary under the same promised term."""
        is_accepted = source.leading_term == self.promised_term
        if self.is_up and source.is_up and is_accepted and not self.leading_term:
            self.log = list(source.log)


class FakeStore:
    def __init__(self, state):
        self.state = state
        self.is_up = True

    def update(self, state, if_version):
        if self.state.version != if_version:
            return None
        self.state = state._replace(version=self.state.version + 1)
        return self.state.version


class Pending(NamedTuple):
    node: str
    action: object


class GroupModel:
    """Three watchers of one group, one in each zone."""

    def __init__(self):
        first = GroupState("s", 1, "a", version=1)
        self.store = FakeStore(first)
        self.copies = {name: FakeCopy(name) for name in COPIES}
        self.copies["a"].leading_term = 1
        self.copies["a"].log = [Entry(1, "start")]
        for name in "bc":
            self.copies[name].receive(self.copies["a"])
        nonces = (f"nonce-{n}" for n in itertools.count(1))
        self.machines = {}
        for rank, zone in enumerate(COPIES):
            machine = f.FailoverMachine(
                first, COPIES, f"node-{zone}", zone, lambda: next(nonces)
            )
            machine.set_rank(rank)
            self.machines[f"node-{zone}"] = machine
        self.pending = []
        self.now_ms = 0
        self.acknowledged = []
        self.leaders = {1: "a"}
        self.values = itertools.count(1)

    def feed(self, node, event):
        for action in self.machines[node].handle(event, self.now_ms):
            if not isinstance(action, f.NoteStep):
                self.pending.append(Pending(node, action))

    def tick(self, elapsed_ms):
        self.now_ms += elapsed_ms
        for node in self.machines:
            self.feed(node, f.Tick())

    def see_primary(self):
        """Tell every watcher how the primary that it knows looks."""
        for node, machine in self.machines.items():
            is_up = self.copies[machine.state.primary].is_up
            verdict = Verdict.ALIVE if is_up else Verdict.DOWN
            self.feed(node, f.PrimaryFinding(verdict, "model"))

    def learn_state(self, node):
        """Let a node hear the newest group object."""
        self.feed(node, f.GroupObserved(self.store.state))

    def write_statement(self, name, confirming):
        """Offer a save to a copy; acknowledge it by the rule of the core."""
        copy = self.copies[name]
        if not copy.is_writable:
            return None
        value = f"save-{next(self.values)}"
        copy.log.append(Entry(copy.leading_term, value))
        position = Position(copy.leading_term, len(copy.log))
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
        """Carry out one pending action; perhaps lose its answer."""
        pending = self.pending.pop(index % len(self.pending))
        events = self._carry_out(pending.node, pending.action)
        if not is_answer_lost:
            for event in events:
                self.feed(pending.node, event)
        elif isinstance(pending.action, f.WriteGroup):
            self.feed(pending.node, self._settle(pending.action))

    def drop(self, index):
        """Lose one pending action on its way out."""
        pending = self.pending.pop(index % len(self.pending))
        if isinstance(pending.action, f.WriteGroup):
            nonce = pending.action.state.nonce
            self.feed(pending.node, f.ClaimFailed(nonce, "lost"))

    def _settle(self, action):
        """Read the nonce back, as the proxy does after a lost answer."""
        if self.store.state.nonce == action.state.nonce:
            return f.ClaimWritten(action.state.nonce, self.store.state.version)
        return f.ClaimFailed(action.state.nonce, "lost")

    def _carry_out(self, node, action):
        copy = self.copies.get(getattr(action, "upstream", ""))
        if isinstance(action, f.WriteGroup):
            return self._write(action)
        if isinstance(action, f.FenceCopy):
            report = copy.fence(action.term)
            failed = f.CopyFailed(action.upstream, action.term, "refused")
            return [f.CopyFenced(report) if report else failed]
        if isinstance(action, f.PromoteCopy):
            return self._promote(copy, action)
        if isinstance(action, f.FollowCopy):
            copy.follow(action.term)
            return []
        if isinstance(action, f.AwaitCopy):
            copy.receive(self.copies[self.store.state.primary])
            is_there = len(copy.log) >= action.offset
            caught_up = f.CopyCaughtUp(action.upstream, action.term)
            return [caught_up] if is_there else []
        if isinstance(action, f.AskEvidence):
            return self._evidence(node, action)
        assert isinstance(action, f.PublishGroup)
        for other in self.machines:
            self.feed(other, f.GroupObserved(action.state))
        return []

    def _write(self, action):
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
        known = self.leaders.setdefault(action.term, copy.name)
        assert known == copy.name, f"two primaries of term {action.term}"
        return [f.CopyPromoted(report, report.received - 1)]

    def _evidence(self, node, action):
        is_up = self.copies[self.store.state.primary].is_up
        verdict = Verdict.ALIVE if is_up else Verdict.DOWN
        others = [name for name in self.machines if name != node]
        return [
            f.EvidenceReceived(name, name[-1], action.term, verdict) for name in others
        ]

    def check(self):
        """Every acknowledged save stands in the log of the published primary."""
        state = self.store.state
        if state.phase is not Phase.ACTIVE:
            return
        primary = self.copies[state.primary]
        if primary.leading_term != state.term:
            return
        lost = [entry for entry in self.acknowledged if entry not in primary.log]
        assert not lost, f"lost {lost} under term {state.term}"

    def settle(self, rounds=400):
        """Heal everything and run until a live primary is published."""
        self.store.is_up = True
        for _ in range(rounds):
            self.see_primary()
            while self.pending:
                self.deliver(0)
            for node in self.machines:
                self.learn_state(node)
            self.check()
            state = self.store.state
            primary = self.copies[state.primary]
            if state.phase is Phase.ACTIVE and primary.is_writable:
                return state
            self.tick(100)
        raise AssertionError(f"no primary after {rounds} rounds: {self.store.state}")
