"""JSON of which some parts cannot be read: every other part is decoded."""

import json

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzescale_core import partial_json
from bronzescale_core.exceptions import UnreadableGroupError
from bronzescale_core.field_checks import is_encodable
from bronzescale_core.groups import GroupState, dump_group, load_group
from bronzescale_core.partial_json import (
    MAX_VALUE_DEPTH,
    describe_unreadable,
    limit_depth,
    load_readable_parts,
)

UNREADABLE_TEXTS = (
    b"[" * 3_000 + b"]" * 3_000,
    b'{"a":' * 2_000 + b"1" + b"}" * 2_000,
    b"9" * 5_000,
    b"-" + b"9" * 5_000,
    b'"\xff\xfe"',
    b'"tab\t"',
    b'"\x00"',
    b'"\\u12"',
    b"\x80garbage",
    b"nul",
    b"1 2",
)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text() | st.floats(allow_nan=False),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(st.text(), children, max_size=4)
    ),
    max_leaves=12,
)
run_examples = settings(max_examples=60, derandomize=True, deadline=None)


def build_answer(values):
    """Return a store's answer with an object for each text of a value."""
    items = b", ".join(
        b'{"meta": {"name": "n%d", "revision": %d}, "spec": %s}' % (n, n, value)
        for n, value in enumerate(values)
    )
    return b'{"items": [%s], "has_more": false, "current_rev": 9}' % items


class PartialJsonTest(testtools.TestCase):
    @run_examples
    @given(
        st.lists(
            st.tuples(st.booleans(), JSON_VALUES, st.sampled_from(UNREADABLE_TEXTS)),
            min_size=1,
            max_size=6,
        )
    )
    def test_each_readable_part_is_decoded(self, parts):
        texts = [
            unreadable if is_unreadable else json.dumps(value).encode()
            for is_unreadable, value, unreadable in parts
        ]
        answer = load_readable_parts(build_answer(texts))
        self.assertEqual((False, 9), (answer["has_more"], answer["current_rev"]))
        self.assertEqual(len(parts), len(answer["items"]))
        for number, (item, part) in enumerate(zip(answer["items"], parts, strict=True)):
            is_unreadable, value, _ = part
            self.assertEqual({"name": f"n{number}", "revision": number}, item["meta"])
            if not is_unreadable:
                self.assertEqual(value, item["spec"])

    @run_examples
    @given(st.sampled_from(UNREADABLE_TEXTS))
    def test_field_that_is_unreadable_costs_only_itself(self, text):
        answer = load_readable_parts(
            build_answer([b'{"slots": %s, "zone": "a"}' % text])
        )
        spec = answer["items"][0]["spec"]
        self.assertEqual("a", spec["zone"])
        self.assertNotIsInstance(spec["slots"], int)

    @run_examples
    @given(st.binary(max_size=200))
    def test_any_bytes_are_taken(self, data):
        load_readable_parts(data)

    @run_examples
    @given(JSON_VALUES, st.integers(0, 300), st.binary(max_size=3))
    def test_any_damage_of_an_answer_is_taken(self, value, position, damage):
        answer = build_answer([json.dumps(value).encode(), b"1"])
        position %= len(answer)
        load_readable_parts(answer[:position] + damage + answer[position + 1 :])

    @run_examples
    @given(st.integers(0, 2_000))
    def test_depth_of_a_value_is_limited(self, depth):
        value = 1
        for _ in range(depth):
            value = [value]
        limited = limit_depth(value)
        is_kept = depth <= MAX_VALUE_DEPTH
        self.assertEqual(is_kept, limited is value)
        self.assertEqual(is_kept, describe_unreadable(limited) is None)
        json.dumps(limited)

    def test_deepest_value_that_the_store_takes_costs_only_itself(self):
        text = b"[" * 500_000 + b"]" * 500_000
        answer = load_readable_parts(build_answer([text, b"1"]))
        self.assertEqual(1, answer["items"][1]["spec"])

    def test_half_of_a_surrogate_pair_cannot_be_sent(self):
        self.assertTrue(is_encodable("plain \u20ac"))
        self.assertFalse(is_encodable(json.loads('"\\ud800"')))

    def test_check_fails_without_the_handling_of_errors(self):
        """The examples above reach the errors that the decoder handles."""
        for text in UNREADABLE_TEXTS:
            with self.assertRaises((ValueError, RecursionError)):
                json.loads(build_answer([text]))
        self.patch(partial_json, "MAX_SPLIT_LEVELS", 0)
        answer = load_readable_parts(build_answer([UNREADABLE_TEXTS[0]]))
        self.assertIsNotNone(describe_unreadable(answer))


class GroupStateTest(testtools.TestCase):
    @run_examples
    @given(
        JSON_VALUES
        | st.fixed_dictionaries(
            {},
            optional={
                key: JSON_VALUES | st.just(value)
                for key, value in dump_group(GroupState("s", 3, "d1")).items()
            },
        )
    )
    def test_nothing_but_the_declared_error_leaves_the_decoder(self, document):
        try:
            state = load_group(document, 7)
        except UnreadableGroupError:
            return
        self.assertIsInstance(state.term, int)
        self.assertIsInstance(state.primary, str)
