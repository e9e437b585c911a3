"""Test changes of primary under faults, with a model of the copies and the store.

One fault at every step, every pair of faults and random sequences of faults must never
lose an acknowledged write, promote two primaries in one term, or end without a primary.
"""

import itertools

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, MatchesAll, MatchesStructure

from bronzescale_core import failover as f
from bronzescale_core.groups import Phase
from bronzescale_standins.group_model import COPIES, GroupModel

STEPS = (
    f.AskEvidence,
    f.WriteGroup,
    f.FenceCopy,
    f.PromoteCopy,
    f.FollowCopy,
    f.PublishGroup,
)
FAULTS = (
    "drop",
    "answer_lost",
    "driver_crashed",
    "candidate_down",
    "store_down",
    "old_primary_returns",
    "concurrent_claim",
)


def start_failover(model):
    """Acknowledge two writes, then take the primary down."""
    model.write_statement("a", "b")
    model.write_statement("a", "c")
    model.copies["a"].is_up = False
    model.report_primary_status()


def run_until(model, kind):
    """Deliver actions until one of a kind is pending; return its index."""
    for _ in range(200):
        for index, pending in enumerate(model.pending):
            if isinstance(pending.action, kind):
                return index
        if model.pending:
            model.deliver(0)
        else:
            model.tick(100)
            model.report_primary_status()
    raise AssertionError(f"no {kind.__name__} became pending")


def inject_fault(model, fault, index):
    pending = model.pending[index]
    if fault == "drop":
        model.drop(index)
    elif fault == "answer_lost":
        model.deliver(index, is_answer_lost=True)
    elif fault == "driver_crashed":
        model.pending = [p for p in model.pending if p.node != pending.node]
        del model.machines[pending.node]
    elif fault == "candidate_down":
        # Only one copy may be down at a time, so the old primary comes up again.
        model.copies["a"].is_up = True
        upstream = getattr(pending.action, "upstream", "b")
        model.copies[upstream if upstream != "a" else "b"].is_up = False
    elif fault == "store_down":
        model.store.is_up = False
        model.deliver(index)
        model.tick(2_000)
    elif fault == "old_primary_returns":
        model.copies["a"].is_up = True
        model.write_statement("a", "bc")
    elif fault == "concurrent_claim":
        for node in model.machines:
            model.deliver_group_state(node)
        model.tick(5_000)


@pytest.mark.parametrize(
    ("step", "fault"), list(itertools.product(STEPS, FAULTS)), ids=str
)
def test_single_fault_at_each_step(step, fault):
    model = GroupModel()
    start_failover(model)
    inject_fault(model, fault, run_until(model, step))
    state = model.run_until_primary()
    model.check()
    assert state.phase is Phase.ACTIVE
    assert model.copies[state.primary].is_up


@pytest.mark.parametrize(
    ("first", "second"), list(itertools.permutations(FAULTS, 2)), ids=str
)
def test_two_faults_in_a_row(first, second):
    model = GroupModel()
    start_failover(model)
    inject_fault(model, first, run_until(model, f.WriteGroup))
    model.store.is_up = True
    if model.pending:
        inject_fault(model, second, 0)
    model.run_until_primary()
    model.check()


class FailoverTest(TestCase):
    """Test single scenarios of a change of primary."""

    def test_primary_that_is_down_is_replaced(self):
        model = GroupModel()
        start_failover(model)
        state = model.run_until_primary()
        expected = MatchesStructure(term=Equals(2), phase=Equals(Phase.ACTIVE))
        self.assertThat(state, expected)
        self.assertNotEqual("a", state.primary)

    def test_live_primary_is_not_replaced(self):
        model = GroupModel()
        for _ in range(100):
            model.report_primary_status()
            model.tick(100)
        self.assertEqual([], model.pending)

    def test_verdict_without_confirmation_replaces_nothing(self):
        """A watcher that is cut off from the primary must not replace it alone."""
        model = GroupModel()
        model.feed("node-b", f.PrimaryFinding(f.Verdict.DOWN, "cut off"))
        for _ in range(50):
            while model.pending:
                model.deliver(0)
            model.tick(100)
        self.assertEqual(1, model.store.state.term)

    def test_nothing_is_promoted_while_the_store_is_down(self):
        """Without the store no term can be claimed, so no copy may be fenced."""
        model = GroupModel()
        start_failover(model)
        model.store.is_up = False
        for _ in range(100):
            while model.pending:
                model.deliver(0)
            model.tick(100)
            model.report_primary_status()
        self.assertEqual(1, model.store.state.term)
        self.assertEqual([1], [c.promised_term for c in model.copies.values()][:1])

    def test_planned_change_keeps_all_writes(self):
        """The new primary must also hold the writes that were never acknowledged."""
        model = GroupModel()
        model.write_statement("a", "b")
        unconfirmed_entry = model.copies["a"].log[-1]
        model.feed("node-a", f.PlannedChange("c", "operator"))
        model.tick(0)
        for _ in range(30):
            while model.pending:
                model.deliver(0)
            model.tick(100)
        state = model.store.state
        self.assertThat(
            (state.primary, state.term), MatchesAll(Equals(("c", 2)), GreaterThan(()))
        )
        self.assertIn(unconfirmed_entry, model.copies["c"].log)

    def test_unfinished_change_is_taken_over(self):
        """The node that drives a change crashes before the promotion."""
        model = GroupModel()
        start_failover(model)
        index = run_until(model, f.PromoteCopy)
        inject_fault(model, "driver_crashed", index)
        model.pending = []
        state = model.run_until_primary()
        self.assertThat(state.term, GreaterThan(2))


class RandomFaults(RuleBasedStateMachine):
    """Random sequences of deliveries, losses, failures and writes."""

    def __init__(self):
        super().__init__()
        self.model = GroupModel()

    @rule(name=st.sampled_from(COPIES), confirming=st.sampled_from(["", "b", "ca"]))
    def write_statement(self, name, confirming):
        self.model.write_statement(name, confirming)

    @rule(name=st.sampled_from(COPIES))
    def toggle_copy(self, name):
        running = [c for c in self.model.copies.values() if c.is_up]
        copy = self.model.copies[name]
        if not copy.is_up or len(running) == len(COPIES):
            copy.is_up = not copy.is_up

    @rule(index=st.integers(0, 30), is_answer_lost=st.booleans())
    def deliver(self, index, is_answer_lost):
        if self.model.pending:
            self.model.deliver(index, is_answer_lost=is_answer_lost)

    @rule(index=st.integers(0, 30))
    def drop(self, index):
        if self.model.pending:
            self.model.drop(index)

    @rule(elapsed_ms=st.sampled_from([50, 400, 1_600, 4_000]))
    def tick(self, elapsed_ms):
        self.model.tick(elapsed_ms)
        self.model.report_primary_status()

    @rule(is_up=st.booleans())
    def set_store_state(self, is_up):
        self.model.store.is_up = is_up

    @rule(node=st.sampled_from(["node-a", "node-b", "node-c"]))
    def deliver_group_state(self, node):
        self.model.deliver_group_state(node)

    @rule(name=st.sampled_from(COPIES), other=st.sampled_from(COPIES))
    def replicate(self, name, other):
        self.model.copies[other].receive(self.model.copies[name])

    @invariant()
    def acknowledged_writes_are_kept(self):
        self.model.check()

    def teardown(self):
        self.model.run_until_primary()


RandomFaults.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
TestRandomFaults = RandomFaults.TestCase
