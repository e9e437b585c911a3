"""Decisions of the fleet: lead proofs, heads, sessions, catalog, successors."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzescale_core.catalog import (
    LAPSE_GRACE_MS,
    Catalog,
    Copy,
    presumed_primary,
)
from bronzescale_core.codec import CopyStatus
from bronzescale_core.groups import GroupState, Phase
from bronzescale_core.positions import Position
from bronzescale_core.primary_lease import (
    PRIMARY_LEASE_MS,
    HeadSample,
    PrimaryLease,
    copies_confirm_primary,
    required_position,
)
from bronzescale_core.sessions import CallerSession, upstream_name
from bronzescale_core.succession import (
    Candidate,
    Cause,
    Trigger,
    choose_successor,
    next_term,
)
from bronzescale_core.work import (
    Action,
    CallerStatement,
    Outcome,
    Reach,
    Shape,
    Work,
    WorkAnswer,
    WorkStep,
    may_run_elsewhere,
)


def status(term=1, received=10, held=0, is_primary=False):
    position = Position(term, received)
    return CopyStatus(is_primary, term, position, held, 0, 0, 1)


def copy(instance="i-1", service="svc", **fields):
    return Copy(instance, service, "10.0.0.1:80", "z", 3, **fields)


class LeadProofTest(testtools.TestCase):
    def test_proof_holds_for_the_lease_from_its_question(self):
        lease = PrimaryLease()
        lease.renew("a", 1, 1_000)
        self.assertTrue(lease.is_held_by("a", 1_000 + PRIMARY_LEASE_MS - 1))
        self.assertFalse(lease.is_held_by("a", 1_000 + PRIMARY_LEASE_MS))
        self.assertFalse(lease.is_held_by("b", 1_001))

    def test_an_answer_that_came_late_proves_only_from_its_question(self):
        lease = PrimaryLease()
        lease.renew("a", 1, 2_000)
        lease.renew("a", 1, 1_000)
        self.assertEqual(2_000, lease.proof.asked_at_ms)

    def test_an_older_term_never_replaces_a_newer_one(self):
        lease = PrimaryLease()
        lease.renew("b", 2, 1_000)
        lease.renew("a", 1, 1_500)
        self.assertFalse(lease.is_held_by("a", 1_501))

    def test_a_change_of_primary_revokes(self):
        lease = PrimaryLease()
        lease.renew("a", 1, 1_000)
        lease.revoke()
        self.assertFalse(lease.is_held_by("a", 1_001))

    def test_copies_prove_only_together(self):
        self.assertTrue(copies_confirm_primary(1, [status(), status()]))
        self.assertFalse(copies_confirm_primary(1, [status(), None]))
        self.assertFalse(copies_confirm_primary(1, []))

    def test_a_paused_promoted_or_newer_copy_disproves(self):
        for other in (status(held=2), status(is_primary=True), status(term=2)):
            self.assertFalse(copies_confirm_primary(1, [status(), other]))

    def test_copies_prove_a_later_lead_after_their_pause(self):
        self.assertTrue(copies_confirm_primary(2, [status(held=2), status(term=2)]))

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        asked=st.integers(0, 5_000),
        paused=st.integers(0, 5_000),
        used=st.integers(0, 9_000),
    )
    def test_no_proof_outlives_the_wait_of_a_promotion(self, asked, paused, used):
        """A proof asked before the pause is over when the promotion is ordered."""
        lease = PrimaryLease()
        if asked < paused:
            lease.renew("old", 1, asked)
        ordered = paused + PRIMARY_LEASE_MS
        if used >= ordered:
            self.assertFalse(lease.is_held_by("old", used))


class HeadTest(testtools.TestCase):
    def test_head_since_is_the_oldest_that_is_new_enough(self):
        lease = PrimaryLease()
        lease.renew("a", 1, 0)
        for at_ms in (100, 200, 300):
            lease.record_position("a", Position(1, at_ms), at_ms)
        self.assertEqual(HeadSample(Position(1, 200), 200), lease.head_since(150))
        self.assertIsNone(lease.head_since(301))

    def test_a_head_of_an_unproven_primary_does_not_count(self):
        lease = PrimaryLease()
        lease.record_position("a", Position(1, 5), 100)
        self.assertIsNone(lease.newest())

    def test_a_head_counts_once_a_later_proof_covers_it(self):
        lease = PrimaryLease()
        lease.record_position("a", Position(1, 5), 100)
        lease.renew("a", 1, 150)
        self.assertEqual(HeadSample(Position(1, 5), 100), lease.newest())

    def test_a_head_of_a_replaced_primary_does_not_count(self):
        lease = PrimaryLease()
        lease.renew("b", 2, 0)
        lease.record_position("b", Position(2, 9), 10)
        lease.record_position("a", Position(1, 12), 20)
        self.assertEqual(Position(2, 9), lease.newest().position)

    def test_floor_of_a_rolled_back_commit_is_the_new_head(self):
        self.assertEqual(
            Position(2, 5), required_position(Position(1, 9), Position(2, 5))
        )

    def test_own_commit_beyond_the_head_is_the_floor(self):
        self.assertEqual(
            Position(2, 9), required_position(Position(2, 9), Position(2, 5))
        )


class SessionTest(testtools.TestCase):
    def test_names_of_sessions_do_not_collide(self):
        first, second = CallerSession(), CallerSession()
        first.prepare("s1", Shape(False, "q1"))
        second.prepare("s1", Shape(False, "q2"))
        statement = CallerStatement("x", Action.EXECUTE, "EXECUTE s1 a", "s1", "a")
        names = {each.resolve(statement).prepared_name for each in (first, second)}
        self.assertEqual(2, len(names))

    def test_a_read_and_a_write_of_one_shape_differ(self):
        self.assertNotEqual(
            upstream_name(Shape(True, "q")), upstream_name(Shape(False, "q"))
        )

    def test_prepared_write_is_a_write(self):
        session = CallerSession()
        session.prepare("s1", Shape(True, "q"))
        statement = CallerStatement("x", Action.EXECUTE, "", "s1", "a")
        self.assertTrue(session.resolve(statement).is_write)

    def test_unknown_and_deallocated_names(self):
        session = CallerSession()
        statement = CallerStatement("x", Action.EXECUTE, "", "s1", "a")
        self.assertIsNone(session.resolve(statement))
        session.prepare("s1", Shape(True, "q"))
        self.assertTrue(session.deallocate("s1"))
        self.assertIsNone(session.resolve(statement))
        self.assertFalse(session.deallocate("s1"))

    def test_values_are_sorted_so_that_equal_states_compare_equal(self):
        first, second = CallerSession(), CallerSession()
        for name in ("a", "b"):
            first.set_value(name, name)
        for name in ("b", "a"):
            second.set_value(name, name)
        self.assertEqual(first.values, second.values)


class CatalogTest(testtools.TestCase):
    def test_an_entry_that_ends_is_gone_at_once(self):
        catalog = Catalog()
        catalog.put(copy())
        self.assertTrue(catalog.remove("i-1", 10_000))
        self.assertEqual([], catalog.copies("svc"))

    def test_an_entry_that_lapsed_during_an_outage_stays_for_the_grace(self):
        catalog = Catalog()
        catalog.put(copy())
        catalog.record_outage(10_000)
        self.assertFalse(catalog.remove("i-1", 10_500))
        self.assertEqual([], catalog.sweep(10_000 + LAPSE_GRACE_MS - 1))
        self.assertEqual(["i-1"], catalog.sweep(10_000 + LAPSE_GRACE_MS))

    def test_an_entry_that_is_back_within_the_grace_stays(self):
        catalog = Catalog()
        catalog.put(copy())
        catalog.record_outage(10_000)
        catalog.replace_all([], 10_100)
        catalog.put(copy())
        self.assertEqual([], catalog.sweep(20_000))
        self.assertEqual([copy()], catalog.copies("svc"))

    def test_primary_is_what_the_group_agreed(self):
        copies = [copy("i-1", is_primary=True), copy("i-2")]
        state = GroupState("svc", 2, "i-2")
        self.assertEqual("i-2", presumed_primary(copies, state))
        fencing = state._replace(phase=Phase.FENCING)
        self.assertIsNone(presumed_primary(copies, fencing))

    def test_primary_before_any_change_is_what_the_entries_say(self):
        self.assertEqual("i-1", presumed_primary([copy("i-1", is_primary=True)], None))
        self.assertIsNone(presumed_primary([copy("i-1")], None))


class SuccessionTest(testtools.TestCase):
    trigger = Trigger(Cause.DOWN, "old", "")

    def candidate(self, instance, is_leaving=False, **fields):
        return Candidate(instance, "z", is_leaving, status(**fields))

    def test_the_most_advanced_log_wins(self):
        paused = [self.candidate("a", received=5), self.candidate("b", received=6)]
        self.assertEqual("b", choose_successor(paused, self.trigger).instance)

    def test_a_later_term_beats_a_longer_log(self):
        paused = [
            self.candidate("a", term=1, received=9),
            self.candidate("b", term=2, received=6),
        ]
        self.assertEqual("b", choose_successor(paused, self.trigger).instance)

    def test_a_copy_that_leaves_takes_over_only_alone(self):
        leaving = self.candidate("a", is_leaving=True, received=9)
        staying = self.candidate("b", received=9)
        self.assertEqual(
            "b", choose_successor([leaving, staying], self.trigger).instance
        )
        self.assertEqual("a", choose_successor([leaving], self.trigger).instance)

    def test_a_copy_that_already_leads_finishes_a_change_left_open(self):
        leading = self.candidate("a", term=2, received=5, is_primary=True)
        other = self.candidate("b", term=1, received=9)
        self.assertEqual("a", choose_successor([other, leading], self.trigger).instance)

    def test_nobody_left(self):
        self.assertIsNone(choose_successor([], self.trigger))
        self.assertIsNone(choose_successor([self.candidate("old")], self.trigger))

    def test_next_term_is_above_all(self):
        known = GroupState("svc", 4, "old")
        found = [self.candidate("a", term=2), self.candidate("b", held=7)]
        self.assertEqual(8, next_term(known, found))
        self.assertEqual(1, next_term(None, []))


class RetryTest(testtools.TestCase):
    def work(self, step=WorkStep.SINGLE, is_write=False):
        return Work("svc", "i-1", step, "x", "READ a", is_write)

    def test_a_write_that_was_sent_runs_nowhere_else(self):
        answer = WorkAnswer(Outcome.UNKNOWN, Reach.SENT)
        self.assertFalse(may_run_elsewhere(self.work(is_write=True), answer))

    def test_a_write_that_was_refused_runs_elsewhere(self):
        for outcome in (Outcome.BUSY, Outcome.READ_ONLY, Outcome.NO_STATEMENT):
            answer = WorkAnswer(outcome, Reach.REFUSED)
            self.assertTrue(may_run_elsewhere(self.work(is_write=True), answer))

    def test_a_write_that_failed_runs_nowhere_else(self):
        answer = WorkAnswer(Outcome.FAILED, Reach.ANSWERED)
        self.assertFalse(may_run_elsewhere(self.work(is_write=True), answer))

    def test_a_read_runs_elsewhere(self):
        answer = WorkAnswer(Outcome.UNKNOWN, Reach.SENT)
        self.assertTrue(may_run_elsewhere(self.work(), answer))

    def test_a_statement_of_an_open_transaction_stays(self):
        answer = WorkAnswer(Outcome.BUSY, Reach.NOT_SENT)
        for step in (WorkStep.CONTINUE, WorkStep.COMMIT):
            self.assertFalse(may_run_elsewhere(self.work(step), answer))

    def test_a_transaction_that_could_not_open_opens_elsewhere(self):
        for reach in (Reach.NOT_SENT, Reach.REFUSED):
            answer = WorkAnswer(Outcome.BUSY, reach)
            work = self.work(WorkStep.OPEN, is_write=True)
            self.assertTrue(may_run_elsewhere(work, answer))

    def test_a_transaction_whose_first_statement_was_sent_does_not(self):
        """Its statements would run on two connections (soak, seeds 13 and 14)."""
        answer = WorkAnswer(Outcome.UNKNOWN, Reach.SENT)
        for step in (WorkStep.OPEN, WorkStep.OPEN_AND_COMMIT):
            self.assertFalse(may_run_elsewhere(self.work(step), answer))
