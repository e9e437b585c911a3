"""Generated input through each decoder, and on into the code that uses the value.

Only declared errors may leave a decoder, and nothing may fail on a value that passed.
The table of decoders is in docs/design/input-checks.md.
"""

import json

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzescale_core.catalog import Catalog
from bronzescale_core.exceptions import InvalidTokenError, UnreadableGroupError
from bronzescale_core.groups import GroupState, dump_group, load_group
from bronzescale_core.host_checks import MAX_INCARNATION, find_host_problem
from bronzescale_core.membership import Membership, Rumor, Status
from bronzescale_core.positions import parse_token, render_token
from bronzescale_core.rendezvous import Node, rank_nodes
from bronzescale_core.store_era import StoreEra, make_version, reconcile_group
from bronzescale_core.work import Outcome, Reach, WorkAnswer
from bronzescale_platform import documents
from bronzescale_platform.line_codec import PlatformLineCodec
from bronzescale_platform.objects import ObjectStore
from bronzescale_proxy import wire
from bronzescale_proxy.exceptions import StoreError
from bronzescale_proxy.fleet.checks import check_settings
from bronzescale_proxy.fleet.conf import FleetSettings
from bronzescale_proxy.fleet.streams import split_address
from bronzescale_proxy.thrift_gen import ttypes as t
from bronzescale_standins import fuzz
from bronzescale_standins.samples import WORK

GENERATED = settings(derandomize=True, max_examples=300, deadline=None, database=None)
OWN = Node("own", "10.0.0.1:7440", "a", "north", 5)
INT64 = st.one_of(
    st.sampled_from((0, 1, -1, 2**31, 2**53, 2**62, 2**63 - 1, -(2**63))),
    st.integers(-(2**63), 2**63 - 1),
)
NUMBERS = st.one_of(
    st.sampled_from((0, 1, 2**62 - 1, 2**62 + 1, 2**63, 10**19 - 1)),
    st.integers(-(10**30), 10**30),
)
ADDRESSES = st.one_of(
    st.sampled_from(("nowhere", "10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1:\u0661", "")),
    st.from_regex(r"\A[0-9]{1,4}(\.[0-9]{1,4}){3}:[0-9]{1,6}\Z"),
    st.text(max_size=30),
)
# JSON may hold halves of surrogate pairs and numbers of any size.
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(10**30), 10**30),
    st.just(10**400),
    st.floats(),
    ADDRESSES,
    st.sampled_from(("\ud800", "x" * 300, "a\nb", "a b", "svc", "ready", "primary")),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(ADDRESSES, inner),
)


def mutated(document):
    """Return a strategy for a document with some of its fields changed or missing."""
    values = st.one_of(VALUES, NUMBERS)
    changes = st.dictionaries(st.sampled_from(sorted(document)), values, max_size=2)
    missing = st.sets(st.sampled_from(sorted(document)), max_size=1)
    return st.builds(
        lambda changed, gone: {
            key: value
            for key, value in {**document, **changed}.items()
            if key not in gone
        },
        changes,
        missing,
    )


def use_membership(nodes):
    """Use hosts as a process does: rank them, send to them, pass them on."""
    membership = Membership(OWN)
    membership.merge_host_list(nodes, set())
    rumors = [Rumor(node, Status.DOWN) for node in nodes]
    membership.record_heartbeat("n2", 7, Status.ALIVE, rumors)
    membership.record_heartbeat("n2", 7, Status.ALIVE, [Rumor(OWN, Status.DOWN)])
    rank_nodes("d1", membership.live_nodes(), "a", "north", 4)
    for node in membership.heartbeat_targets():
        host, port = split_address(node.address)
        assert 0 < port < 65_536 and host.count(".") == 3
    outgoing = membership.outgoing_rumors() + membership.down_rumors()
    heartbeat = wire.Heartbeat("own", 5, Status.ALIVE, 0, outgoing, (1, 2))
    frame = wire.encode(1, heartbeat, 0)[wire.HEADER.size :]
    assert wire.decode(frame, 0)[1].unreadable == ()


def send_and_decode(message):
    """Send a message that passed a decoder on to another host."""
    return wire.decode(wire.encode(1, message, 0)[wire.HEADER.size :], 0)[1]


class HostTest(testtools.TestCase):
    @GENERATED
    @given(mutated(OWN._replace(name="n1")._asdict()))
    def test_entries(self, fields):
        node = Node(**{**dict.fromkeys(Node._fields), **fields})
        if find_host_problem(node) is None:
            use_membership([node])

    @GENERATED
    @given(
        mutated(OWN._replace(name="n1")._asdict()),
        st.one_of(st.just(5), INT64),
        st.sampled_from((0, 1, 2, 3, -1, 2**31 - 1)),
    )
    def test_rumors(self, fields, incarnation, status):
        # The codec ensures the types of fields, but not that they are there.
        texts = {
            key: value if isinstance(value, str) else None
            for key, value in fields.items()
        }
        wire_node = t.WireNode(**{**texts, "incarnation": incarnation})
        heartbeat = t.WireHeartbeat("n2", 7, 0, 0, [t.WireRumor(wire_node, status)])
        decoded = wire._decode_heartbeat(heartbeat, 0)
        use_membership([rumor.node for rumor in decoded.rumors])

    def test_refuted_rumor_can_be_sent(self):
        membership = Membership(OWN)
        odd = OWN._replace(incarnation=MAX_INCARNATION)
        membership.record_heartbeat("n2", 7, Status.ALIVE, [Rumor(odd, Status.DOWN)])
        own = Rumor(membership.own, Status.ALIVE)
        heartbeat = wire.Heartbeat("own", 5, Status.ALIVE, 0, [own], ())
        wire.encode(1, heartbeat, 0)


class GroupTest(testtools.TestCase):
    @GENERATED
    @given(mutated(dump_group(GroupState("s", 3, "d1"))))
    def test_states(self, document):
        try:
            state = load_group(document, make_version(1, 7))
        except UnreadableGroupError:
            return
        reconcile_group(GroupState("s", 3, "d1", era=1), state, 1)
        send_and_decode(wire.EvidenceRequest(state.service, state.term))
        PlatformLineCodec().pause(state.term + 1)
        texts = (state.service, state.primary, state.writer, state.nonce, state.reason)
        "".join((*texts, state.planned_primary)).encode()
        json.dumps(dump_group(state))
        max(state.fenced_term, state.era, state.writer_incarnation).to_bytes(8)


class UpstreamTest(testtools.TestCase):
    @GENERATED
    @given(SCALARS, mutated(fuzz.ENTRY))
    def test_entries(self, name, document):
        copy = documents.decode_copy(name, document)
        if copy is None:
            return
        catalog = Catalog()
        catalog.put(copy)
        split_address(copy.address)
        rank_nodes(copy.instance, [OWN], copy.zone, "north")
        codec = PlatformLineCodec()
        line = codec.connect(copy.service, copy.instance, "")
        self.assertEqual(1, line.count(b"\r\n"))

    @GENERATED
    @given(st.lists(NUMBERS, min_size=8, max_size=8))
    def test_answers(self, numbers):
        codec = PlatformLineCodec()
        text = f"READY I {numbers[0]}.{numbers[1]}".encode()
        position = codec.decode_upstream(text).position
        answer = WorkAnswer(Outcome.DONE, Reach.ANSWERED, signature="x")
        send_and_decode(answer._replace(position=position))
        row = "primary {} {}.{} {} {} {} {}".format(*numbers[1:])
        status = codec.decode_status(row)
        if status is not None and status.term >= 0:
            send_and_decode(wire.EvidenceRequest("s", status.term))


class ConfigurationTest(testtools.TestCase):
    def use(self, document):
        try:
            configuration = documents.decode_configuration(document)
        except documents.UnreadableDocumentError:
            return
        for route in configuration.routes.values():
            work = WORK._replace(
                service=route.service,
                max_age_ms=route.max_age_ms,
                priority=route.priority,
                deadline_ms=route.timeout_ms,
                route=route.database,
            )
            self.assertEqual(work, send_and_decode(work))
        for customer in configuration.customers.values():
            send_and_decode(
                wire.PermitRequest(customer.name, 1, 0, configuration.version)
            )
            self.assertLess(customer.priority, 2**31)
        limits = configuration.transaction_idle_ms, configuration.max_message_bytes
        self.assertTrue(all(0 < limit < 2**63 for limit in limits))

    @GENERATED
    @given(mutated(fuzz.CONFIGURATION))
    def test_documents(self, document):
        self.use(document)

    @GENERATED
    @given(mutated({**fuzz.CONFIGURATION["routes"][0], "priority": 1, "slo_ms": 5}))
    def test_routes(self, route):
        self.use({**fuzz.CONFIGURATION, "routes": [route]})

    @GENERATED
    @given(mutated({**fuzz.CONFIGURATION["tenants"][0], "priority": 1}))
    def test_customers(self, customer):
        self.use({**fuzz.CONFIGURATION, "tenants": [customer]})

    @GENERATED
    @given(mutated(fuzz.CONFIGURATION["limits"]))
    def test_limits(self, limits):
        self.use({**fuzz.CONFIGURATION, "limits": limits})


class TokenTest(testtools.TestCase):
    @GENERATED
    @given(
        st.one_of(
            st.text(max_size=40),
            st.builds("bz1:s:{}:{}".format, st.integers(), st.integers()),
            st.just("bz1:s:" + "9" * 5_000 + ":1"),
            st.just("bz1:s:\u0661:1"),
        )
    )
    def test_tokens(self, text):
        try:
            token = parse_token(text)
        except InvalidTokenError:
            return
        self.assertEqual(text.split(":")[0:2], render_token(token).split(":")[0:2])
        send_and_decode(wire.HeadReply(token.position, ""))


class StoreAnswerTest(testtools.TestCase):
    @GENERATED
    @given(
        st.dictionaries(st.sampled_from(("name", "revision", "created")), SCALARS),
        SCALARS,
        SCALARS,
    )
    def test_objects_and_revisions(self, meta, era, current):
        store = ObjectStore(None, None, StoreEra(lambda: 0))
        reported = era if isinstance(era, str) else None
        answer = store.era.read_answer(reported, 0)
        for item in store._decode_page("hosts", [{"meta": meta}, meta], answer.era):
            send_and_decode(wire.Objects(-1, -1, [item]))
        try:
            store._decode_page("hosts", [{"meta": {**meta, "revision": current}}], 1)
        except StoreError:
            return


class SettingsTest(testtools.TestCase):
    @GENERATED
    @given(
        st.dictionaries(
            st.sampled_from(
                (
                    "node",
                    "zone",
                    "listen.front",
                    "seeds",
                    "bounds.grace_s",
                    "heartbeat_ms",
                )
            ),
            st.text(max_size=20) | st.sampled_from(("inf", "nan", "-1", "9" * 400)),
        )
    )
    def test_settings(self, fields):
        lines = [f"{name}={value}" for name, value in fields.items()]
        check_settings(documents.decode_settings("\n".join(lines)))

    def test_a_host_that_starts_registers_an_entry_that_hosts_can_read(self):
        """Guards against a host that writes what nobody reads (as review case 6)."""
        usable = FleetSettings(
            node="n1",
            zone="a",
            region="north",
            regions={"a": "north"},
            caller_address="10.0.0.1:1",
            ready_address="10.0.0.1:2",
            peer_address="10.0.0.1:3",
            seeds=(),
            store_address="10.0.0.2:4",
            orders_address="10.0.0.2:4",
        )
        self.assertEqual([], check_settings(usable))
        for value in ("", "n" * 256, "half \ud800", "a\x00b", "two\nlines"):
            for field in ("node", "zone", "region"):
                changed = usable._replace(**{field: value})
                host = Node(
                    changed.node, changed.peer_address, changed.zone, changed.region
                )
                self.assertIsNotNone(find_host_problem(host))
                self.assertEqual(
                    ["bronzescale.E101"], [m.check_id for m in check_settings(changed)]
                )
