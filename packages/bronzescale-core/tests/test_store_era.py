"""Order of versions, states and tokens when the store returns from an older copy."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzescale_core.groups import GroupState, Phase, dump_group, load_group
from bronzescale_core.store_era import (
    CONFIRMATION_STEP_MS,
    MAX_ERA,
    SETTLE_MS,
    StoreEra,
    era_of,
    is_more_advanced,
    make_version,
    reconcile_group,
    revision_of,
)


class Clock:
    """Settable clock."""

    def __init__(self):
        self.now_ms = 10_000

    def __call__(self):
        return self.now_ms


def group(term=3, primary="d1", phase=Phase.ACTIVE, era=1, revision=80, at_era=None):
    at_era = era if at_era is None else at_era
    return GroupState(
        "svc", term, primary, phase, era=era, version=make_version(at_era, revision)
    )


class VersionTest(testtools.TestCase):
    @given(st.integers(0, MAX_ERA), st.integers(0, 2**40 - 1))
    @settings(derandomize=True)
    def test_version_keeps_era_and_revision(self, era, revision):
        version = make_version(era, revision)
        self.assertEqual((era, revision), (era_of(version), revision_of(version)))
        self.assertLess(version, 2**63)

    def test_reused_revision_is_newer_than_the_lost_one(self):
        self.assertLess(make_version(1, 900), make_version(2, 80))

    def test_without_an_era_a_version_is_the_revision(self):
        self.assertEqual(77, make_version(0, 77))


class StoreEraTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.era = StoreEra(Clock())
        self.problems = []
        self.era.problem_listeners.append(self.problems.append)

    def test_era_is_learned_from_an_answer(self):
        changes = []
        self.era.change_listeners.append(lambda *change: changes.append(change))
        self.assertEqual((4, False), self.era.read_answer("4", 0))
        self.assertEqual((5, False), self.era.read_answer("5", 4))
        self.assertEqual([(0, 4), (4, 5)], changes)

    def test_late_answer_of_an_older_era_is_ignored(self):
        self.era.learn(2)
        self.assertEqual((1, True), self.era.read_answer("1", 1))
        self.assertEqual(2, self.era.number)

    def test_lower_era_in_a_later_answer_counts_as_the_known_one(self):
        self.era.learn(2)
        self.assertEqual((2, False), self.era.read_answer("1", 2))
        self.assertEqual(1, len(self.problems))

    def test_unusable_era_counts_as_the_known_one(self):
        self.era.learn(2)
        for reported in (None, "", "two", "-1", "3.0", "²", "9" * 400):
            self.assertEqual((2, False), self.era.read_answer(reported, 2))
        self.assertEqual(2, self.era.number)
        self.assertEqual(7, len(self.problems))

    def test_store_without_eras_is_no_problem(self):
        self.assertEqual((0, False), self.era.read_answer(None, 0))
        self.assertEqual([], self.problems)
        self.assertTrue(self.era.has_confirmed(None))
        self.assertTrue(self.era.may_claim(None))


class FirstStartTest(testtools.TestCase):
    def test_store_has_lost_nothing_before_its_first_return(self):
        era = StoreEra(Clock(), is_first_start=True)
        era.learn(4)
        self.assertTrue(era.has_confirmed(None))
        era.learn(5)
        self.assertFalse(era.has_confirmed(None))


class SettlingTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.era = StoreEra(self.clock)
        self.era.learn(2)

    def test_nothing_is_claimed_while_a_lost_claim_may_be_acted_on(self):
        for state in (None, group(era=1), group(era=1, at_era=2)):
            self.assertFalse(self.era.may_claim(state))
        self.clock.now_ms += SETTLE_MS
        self.assertTrue(self.era.may_claim(None))

    def test_confirmed_state_may_be_claimed_at_once(self):
        self.assertTrue(self.era.may_claim(group(era=2)))

    def test_next_host_in_rank_confirms_a_state_that_the_first_did_not(self):
        state = group(era=1, at_era=2)
        self.clock.now_ms += SETTLE_MS - 1
        self.assertFalse(self.era.may_confirm(state, 0))
        self.clock.now_ms += 1
        self.assertTrue(self.era.may_confirm(state, 0))
        self.assertFalse(self.era.may_confirm(state, 1))
        self.clock.now_ms += CONFIRMATION_STEP_MS
        self.assertTrue(self.era.may_confirm(state, 1))
        self.assertFalse(self.era.may_confirm(state, 2))
        self.assertFalse(self.era.may_confirm(state, None))
        self.assertFalse(self.era.may_confirm(group(era=2), 1))

    def test_state_of_an_older_era_or_none_confirms_nothing(self):
        self.assertFalse(self.era.has_confirmed(group(era=1, at_era=2)))
        self.assertFalse(self.era.has_confirmed(None))
        self.assertTrue(self.era.has_confirmed(group(era=2)))


class ReconcileTest(testtools.TestCase):
    def test_lost_promotion_is_kept_with_the_stored_version(self):
        known = group(4, "d2", revision=150)
        stored = group(3, "d1", revision=80, at_era=2)
        found = reconcile_group(known, stored, 2)
        self.assertEqual((4, "d2", Phase.ACTIVE), found[1:4])
        self.assertEqual(make_version(2, 80), found.version)

    def test_lost_end_of_a_change_is_kept(self):
        known = group(4, "d2", revision=150)
        stored = group(4, "d1", Phase.FENCING, revision=140, at_era=2)
        self.assertEqual("d2", reconcile_group(known, stored, 2).primary)

    def test_lost_claim_is_kept_so_that_it_is_taken_over(self):
        known = group(4, "d1", Phase.FENCING, revision=150)
        stored = group(3, "d1", revision=80, at_era=2)
        self.assertIs(Phase.FENCING, reconcile_group(known, stored, 2).phase)

    def test_state_written_in_the_new_era_wins(self):
        known = group(9, "d2", revision=150)
        stored = group(5, "d3", era=2, revision=90)
        self.assertEqual(stored, reconcile_group(known, stored, 2))

    def test_write_that_hit_a_reused_revision_is_not_hidden(self):
        """A claim of era 1 replaced a state of era 2 that had its revision."""
        known = group(4, "d2", era=2, revision=100)
        stored = group(4, "d2", Phase.FENCING, era=1, revision=101, at_era=2)
        self.assertEqual(stored, reconcile_group(known, stored, 2))

    def test_state_from_a_peer_of_the_older_era_fills_in_a_lost_term(self):
        known = group(3, "d1", revision=80, at_era=2)
        peer = group(4, "d2", revision=150)
        found = reconcile_group(known, peer, 2)
        self.assertEqual(("d2", known.version), (found.primary, found.version))

    def test_state_from_a_peer_of_the_older_era_reverts_nothing(self):
        confirmed = group(4, "d2", era=2, revision=90)
        for peer in (group(3, "d1", revision=150), group(7, "d3", revision=160)):
            self.assertEqual(confirmed, reconcile_group(confirmed, peer, 2))

    def test_object_that_the_store_lost_is_created_again(self):
        self.assertEqual(0, reconcile_group(None, group(revision=150), 2).version)

    def test_order_of_progress(self):
        self.assertTrue(is_more_advanced(group(4), group(3)))
        fencing = group(4, phase=Phase.FENCING)
        self.assertTrue(is_more_advanced(group(4), fencing))
        self.assertFalse(is_more_advanced(fencing, group(4)))

    def test_era_is_stored_and_missing_in_older_documents(self):
        state = group(era=3, revision=7)
        self.assertEqual(state, load_group(dump_group(state), state.version))
        document = dump_group(state)
        del document["era"]
        self.assertEqual(0, load_group(document, state.version).era)
