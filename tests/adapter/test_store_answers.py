"""Answers of the store: only the declared errors leave its client."""

import json

import anyio
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzescale_core.store_era import StoreEra, make_version, revision_of
from bronzescale_platform import documents
from bronzescale_platform.objects import ObjectStore, _HttpResponse, _parse_json
from bronzescale_proxy import wire
from bronzescale_proxy.exceptions import StoreError

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(
            st.sampled_from(("meta", "name", "revision", "spec", "object", "items")),
            children,
            max_size=4,
        )
    ),
    max_leaves=10,
)
OBJECTS = (
    st.fixed_dictionaries(
        {
            "meta": st.fixed_dictionaries(
                {"name": st.text() | JSON_VALUES, "revision": JSON_VALUES | st.just(4)}
            ),
            "spec": JSON_VALUES,
        }
    )
    | JSON_VALUES
)
ANSWERS = (
    st.fixed_dictionaries(
        {"current_rev": st.just(9) | JSON_VALUES, "has_more": st.just(False)},
        optional={
            "items": st.lists(OBJECTS, max_size=4) | JSON_VALUES,
            "events": st.lists(
                st.fixed_dictionaries({"object": OBJECTS, "deleted": JSON_VALUES}),
                max_size=4,
            )
            | JSON_VALUES,
        },
    )
    | JSON_VALUES
)
run_examples = settings(max_examples=150, derandomize=True, deadline=None)


class _Client:
    """Answers each request with the same text."""

    def __init__(self, data, status=200):
        self._response = _HttpResponse(status, _parse_json(data), "1")

    async def call(self, *arguments, **options):
        return self._response


def open_store(data):
    store = ObjectStore(_Client(data), _Client(data), StoreEra(lambda: 0))
    store.era.read_answer("1", 0)
    return store


def run_call(store, call, *arguments):
    """Return the answer of a call; None for a declared error."""

    async def run():
        try:
            return await getattr(store, call)(*arguments)
        except StoreError:
            return None

    return anyio.run(run)


class StoreAnswerTest(testtools.TestCase):
    def check_objects(self, objects):
        for item in objects:
            self.assertIsInstance(item.name, str)
            item.name.encode()
            wire.encode(1, wire.Objects(-1, -1, [item]), 0)

    @run_examples
    @given(ANSWERS)
    def test_only_declared_errors_leave_a_list(self, document):
        listing = run_call(open_store(json.dumps(document).encode()), "list", "hosts")
        if listing is not None:
            self.check_objects(listing.objects)

    @run_examples
    @given(ANSWERS)
    def test_only_declared_errors_leave_a_watch(self, document):
        store = open_store(json.dumps(document).encode())
        version = make_version(store.era.number, 1)
        changes = run_call(store, "watch", "hosts", version, 1)
        if changes is not None:
            self.check_objects(changes.objects)

    @run_examples
    @given(OBJECTS)
    def test_only_declared_errors_leave_a_read(self, document):
        item = run_call(open_store(json.dumps(document).encode()), "get", "hosts", "a")
        if item is not None:
            self.check_objects([item])

    def test_object_without_a_readable_name_is_left_out_and_reported(self):
        items = [
            {"meta": {"name": "half \ud800", "revision": 3}, "spec": {}},
            {"meta": {"name": "whole", "revision": 4}, "spec": {}},
        ]
        answer = {"items": items, "has_more": False, "current_rev": 4}
        store = open_store(json.dumps(answer).encode())
        reported = []
        store.problem_listeners.append(lambda *problem: reported.append(problem))
        listing = run_call(store, "list", "upstreams")
        self.assertEqual(["whole"], [item.name for item in listing.objects])
        (problem,) = reported
        self.assertEqual(("upstreams", "half \ud800"), problem[:2])

    def test_page_without_a_readable_name_is_no_end_of_the_list(self):
        answer = {"items": [{"meta": {}}], "has_more": True, "current_rev": 4}
        store = open_store(json.dumps(answer).encode())
        self.assertIsNone(run_call(store, "list", "upstreams"))


class _PagedClient:
    """A store whose list has two pages, and that changes between them."""

    def __init__(self):
        self.targets = []

    async def call(self, method, target, *arguments, **options):
        self.targets.append(target)
        is_first = "after" not in target
        name, revision = ("a", 4) if is_first else ("b", 3)
        document = {
            "items": [{"meta": {"name": name, "revision": revision}, "spec": {}}],
            "has_more": is_first,
            "current_rev": 5 if is_first else 9,
        }
        return _HttpResponse(200, document, "1")


class PagedListTest(testtools.TestCase):
    def test_list_is_continued_from_the_revision_of_its_first_page(self):
        """An object of the first page may have changed before the last was sent."""
        client = _PagedClient()
        store = ObjectStore(client, client, StoreEra(lambda: 0))
        store.era.read_answer("1", 0)
        listing = run_call(store, "list", "upstreams")
        self.assertEqual(["a", "b"], [item.name for item in listing.objects])
        self.assertEqual(5, revision_of(listing.version))


class _RepeatingClient:
    """Answer each page of a list with the same page."""

    def __init__(self):
        self.calls = 0

    async def call(self, *arguments, **options):
        self.calls += 1
        if self.calls > 5:
            raise AssertionError("the list is asked for without end")
        item = {"meta": {"name": "a", "revision": 3}, "spec": {}}
        document = {"items": [item], "has_more": True, "current_rev": 4}
        return _HttpResponse(200, document)


class RepeatedPageTest(testtools.TestCase):
    # Guards against a list of the store that never ends.
    def test_list_that_does_not_go_on_fails(self):
        store = ObjectStore(_RepeatingClient(), None, StoreEra(lambda: 0))
        with self.assertRaises(StoreError):
            anyio.run(store.list, "hosts")


class SettingsTextTest(testtools.TestCase):
    @run_examples
    @given(
        st.text()
        | st.lists(
            st.tuples(
                st.sampled_from(
                    ("bounds.grace_s", "limits.max_fds", "seeds", "port_range")
                ),
                st.text(),
            ).map("=".join)
        ).map("\n".join)
    )
    def test_any_text_is_taken(self, text):
        documents.decode_settings(text)
