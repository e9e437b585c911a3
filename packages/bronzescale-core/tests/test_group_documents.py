"""Stored states of a group: whatever a decision can write is read back as it was."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzescale_core.exceptions import UnreadableGroupError
from bronzescale_core.field_checks import MAX_LABEL_CHARACTERS, MAX_WHOLE
from bronzescale_core.groups import GroupState, Phase, dump_group, load_group
from bronzescale_core.host_checks import MAX_INCARNATION
from bronzescale_core.positions import TermStart

NUMBERS = st.integers(0, MAX_WHOLE)
NAMES = st.text(
    st.characters(exclude_categories=("C", "Z")),
    min_size=1,
    max_size=MAX_LABEL_CHARACTERS,
)
TEXTS = st.text(st.characters(exclude_categories=("Cs",)), max_size=80)
# A claim replaces a primary that no node knows if all of them have started anew.
ROLES = st.one_of(
    st.tuples(NAMES, st.sampled_from(Phase)), st.just(("", Phase.FENCING))
)
STATES = st.builds(
    lambda role, **fields: GroupState(primary=role[0], phase=role[1], **fields),
    ROLES,
    service=NAMES,
    term=NUMBERS,
    writer=TEXTS,
    nonce=TEXTS,
    reason=TEXTS,
    term_starts=st.lists(st.builds(TermStart, NUMBERS, NUMBERS), max_size=3).map(tuple),
    version=NUMBERS,
    planned_primary=TEXTS,
    fenced_term=NUMBERS,
    era=NUMBERS,
    writer_incarnation=st.integers(0, MAX_INCARNATION),
)


class GroupDocumentTest(testtools.TestCase):
    @settings(max_examples=500, derandomize=True, deadline=None)
    @given(STATES)
    def test_what_is_written_is_read_back_equal(self, state):
        """Guards against a claim that no node can read (review case 6)."""
        self.assertEqual(state, load_group(dump_group(state), state.version))

    def test_a_primary_in_force_has_a_name(self):
        document = dump_group(GroupState("svc", 2, ""))
        self.assertRaises(UnreadableGroupError, load_group, document, 1)
