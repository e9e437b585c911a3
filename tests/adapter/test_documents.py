"""Test the decoding of the platform's documents, including malformed entries."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzescale_core.catalog import RouteKind
from bronzescale_core.customers import Customer, digest_key
from bronzescale_core.field_checks import MAX_TIME_MS
from bronzescale_platform import documents

ENTRY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "kajaani",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_left_ms": 0,
    "db_role": "replica",
    "seq": 4,
    "born": 1772656353280,
}
ROUTE = {
    "name": "r-1",
    "host": "fiti8",
    "path_prefix": "/",
    "type": "read_your_writes",
    "timeout_ms": 1000,
    "slo_ms": 2000,
    "priority": 2,
    "service": "huvo11a",
    "max_attempts": 2,
    "max_staleness_ms": 2500,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "huvo11a", "max_conns": 21, "sync_replicas": 0}],
    "limits": {"max_body_bytes": 262144, "tx_idle_ms": 3000},
}
LIMITS = ("tx_idle_ms", "max_body_bytes", "unknown")
# Of the pages' fields, up to times of years.
AMOUNTS = st.integers(0, 10**12)
WORDS = st.from_regex(r"[a-z0-9][a-z0-9._-]{0,40}", fullmatch=True)
SETTINGS = """node=front-kajaani-1
ip=10.1.0.8
zone=kajaani
region=pohjoinen
zones.kajaani=pohjoinen
zones.hameenlinna=etela
listen.front=10.1.0.8:8784
listen.ready=10.1.0.8:8785
listen.control=10.1.0.8:8782
port_range=7440,7455
seeds=10.1.0.8:8782,10.2.0.6:8782
limits.max_fds=4200
bounds.grace_s=6
bounds.config_apply_ms=4000
platform.address=10.200.1.7:8783
cloud_api.address=10.200.0.160:8783
something.new=7
"""


class CopyDocumentTest(testtools.TestCase):
    def test_replica_entry(self):
        copy = documents.decode_copy("i-7", ENTRY)
        self.assertEqual("10.128.0.9:8080", copy.address)
        self.assertFalse(copy.is_leaving)
        self.assertFalse(copy.is_primary)
        self.assertEqual(1772656353280, copy.incarnation)

    def test_draining_primary_entry(self):
        entry = {**ENTRY, "state": "draining", "db_role": "primary"}
        copy = documents.decode_copy("i-7", entry)
        self.assertTrue(copy.is_leaving)
        self.assertTrue(copy.is_primary)

    def test_malformed_entries_decode_to_none(self):
        for change in (
            {"service": None},
            {"service": 4},
            {"address": "nowhere"},
            {"address": "10.1.2.3:0"},
            {"address": "10.1.2.300:80"},
            {"zone": []},
            {"state": "unknown"},
            {"db_role": "unknown"},
            {"db_role": None},
            {"slots": "3"},
            {"slots": 0},
            {"slots": True},
            {"slots": 2**63},
            {"born": "today"},
        ):
            entry = {**ENTRY, **change}
            self.assertIsNone(documents.decode_copy("i-7", entry), change)
        for entry in (None, "text", [], 7, {}):
            self.assertIsNone(documents.decode_copy("i-7", entry))

    def test_database_of_very_many_slots_is_used(self):
        entry = {**ENTRY, "slots": 10**6}
        self.assertEqual(documents.MAX_SLOTS, documents.decode_copy("i-7", entry).slots)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        st.dictionaries(
            st.sampled_from(sorted(ENTRY)),
            st.one_of(st.none(), st.integers(), st.text(max_size=8), st.booleans()),
        )
    )
    def test_decoding_any_entry_raises_no_error(self, change):
        documents.decode_copy("i-7", {**ENTRY, **change})


class ConfigurationDocumentTest(testtools.TestCase):
    def test_configuration_fields(self):
        configuration = documents.decode_configuration(CONFIGURATION)
        route = configuration.routes["fiti8"]
        self.assertEqual(RouteKind.READ_YOUR_WRITES, route.kind)
        self.assertEqual(
            (1000, 2000, 2500, 2),
            (route.timeout_ms, route.target_ms, route.max_age_ms, route.priority),
        )
        self.assertEqual(21, configuration.services["huvo11a"].max_connections)
        self.assertEqual(3000, configuration.transaction_idle_ms)

    def test_acknowledged_commits_of_services_with_confirming_replicas_are_kept(self):
        (service,) = CONFIGURATION["services"]
        for count, expected in ((0, False), (1, True), (2, True)):
            services = [{**service, "sync_replicas": count}]
            document = {**CONFIGURATION, "services": services}
            configuration = documents.decode_configuration(document)
            self.assertEqual(expected, configuration.keeps_acknowledged("huvo11a"))
            self.assertTrue(configuration.keeps_acknowledged("unknown"))

    def test_malformed_configuration_raises_unreadable_document_error(self):
        for change in (
            {"routes": None},
            {"routes": {}},
            {"services": None},
            {"version": "x"},
            {"version": 2**62 + 1},
            {"version": None},
        ):
            self.assertRaises(
                documents.UnreadableDocumentError,
                documents.decode_configuration,
                {**CONFIGURATION, **change},
            )

    def decode_changed(self, **changes):
        """Return the changed route and the findings, beside an unchanged route."""
        changed = {**ROUTE, "host": "odd", **changes}
        configuration = documents.decode_configuration(
            {**CONFIGURATION, "routes": [changed, ROUTE]}
        )
        (expected,) = documents.decode_configuration(CONFIGURATION).routes.values()
        self.assertEqual(expected, configuration.routes["fiti8"])
        return configuration.routes.get("odd"), configuration.findings

    def test_number_that_cannot_be_used_costs_only_itself(self):
        """Guards against a version that no node takes for one field (review case 9)."""
        for key, value, name, reading in (
            ("max_staleness_ms", 172_800_000, "max_age_ms", MAX_TIME_MS),
            ("max_staleness_ms", 10**40, "max_age_ms", MAX_TIME_MS),
            ("max_staleness_ms", -2, "max_age_ms", 0),
            ("max_staleness_ms", "soon", "max_age_ms", 0),
            ("timeout_ms", MAX_TIME_MS + 1, "timeout_ms", MAX_TIME_MS),
            ("timeout_ms", -1, "timeout_ms", 1_000),
            ("timeout_ms", True, "timeout_ms", 1_000),
            ("slo_ms", 2**62, "target_ms", MAX_TIME_MS),
            ("slo_ms", float("inf"), "target_ms", 1_000),
            ("priority", 2**31, "priority", 2**31 - 1),
            ("priority", [], "priority", 1),
        ):
            route, findings = self.decode_changed(**{key: value})
            self.assertEqual(reading, getattr(route, name), (key, value))
            self.assertEqual(1, len(findings), (key, value))
            self.assertIn("W121", findings[0])

    def test_ages_up_to_a_day_are_read_as_written(self):
        for age_ms in (0, 1, 1_500, MAX_TIME_MS):
            route, findings = self.decode_changed(max_staleness_ms=age_ms)
            self.assertEqual((age_ms, ()), (route.max_age_ms, findings))

    def test_route_without_a_usable_name_costs_only_itself(self):
        for changes in ({"host": "two words"}, {"host": None}, {"service": 7}):
            route, findings = self.decode_changed(**changes)
            self.assertIsNone(route)
            self.assertEqual(1, len(findings), changes)
            self.assertIn("W120", findings[0])

    def test_odd_service_costs_only_its_limits(self):
        (service,) = CONFIGURATION["services"]
        configuration = documents.decode_configuration(
            {**CONFIGURATION, "services": [{}, 5, service]}
        )
        self.assertEqual({"huvo11a"}, set(configuration.services))
        self.assertEqual(2, len(configuration.findings))
        odd = {"name": "odd", "max_conns": 2**40, "sync_replicas": "many"}
        configuration = documents.decode_configuration(
            {**CONFIGURATION, "services": [odd, service]}
        )
        self.assertEqual(2**31 - 1, configuration.services["odd"].max_connections)
        self.assertTrue(configuration.keeps_acknowledged("odd"))
        self.assertFalse(configuration.keeps_acknowledged("huvo11a"))

    def test_odd_limits_cost_only_themselves(self):
        for limits, idle_ms in (
            ({"tx_idle_ms": 10 * MAX_TIME_MS}, MAX_TIME_MS),
            ({"tx_idle_ms": -5}, 3_000),
            ({"tx_idle_ms": 0}, 3_000),
            ([], 3_000),
            (None, 3_000),
        ):
            document = {**CONFIGURATION, "limits": limits}
            configuration = documents.decode_configuration(document)
            self.assertEqual(idle_ms, configuration.transaction_idle_ms, limits)
            self.assertEqual({"fiti8"}, set(configuration.routes))
            is_read_as_written = limits in ({"tx_idle_ms": 0}, None)
            self.assertEqual(is_read_as_written, not configuration.findings, limits)

    def test_route_of_an_unknown_type_reads_from_the_primary(self):
        for word, is_found in (("newest", True), (["primary"], True), (None, False)):
            route, findings = self.decode_changed(type=word)
            self.assertEqual(RouteKind.PRIMARY, route.kind)
            self.assertEqual(is_found, "W123" in " ".join(findings), word)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.fixed_dictionaries(
                {"host": WORDS, "service": WORDS},
                optional={
                    "type": st.sampled_from(
                        ("primary", "bounded_staleness", "read_your_writes")
                    ),
                    "timeout_ms": AMOUNTS,
                    "slo_ms": AMOUNTS,
                    "max_staleness_ms": AMOUNTS,
                    "priority": AMOUNTS,
                    "max_attempts": AMOUNTS,
                    "unknown": st.none(),
                },
            ),
            max_size=300,
            unique_by=lambda route: route["host"],
        ),
        st.lists(
            st.fixed_dictionaries(
                {"name": WORDS},
                optional={"max_conns": AMOUNTS, "sync_replicas": AMOUNTS},
            ),
            max_size=20,
            unique_by=lambda service: service["name"],
        ),
        st.none() | st.dictionaries(st.sampled_from(LIMITS), AMOUNTS),
    )
    def test_whole_range_of_each_field_is_taken(self, routes, services, limits):
        """Guards against a bound of this code that the operator does not know."""
        document = {"version": 3, "routes": routes, "services": services}
        if limits is not None:
            document["limits"] = limits
        configuration = documents.decode_configuration(document)
        self.assertEqual({r["host"] for r in routes}, set(configuration.routes))
        self.assertEqual({s["name"] for s in services}, set(configuration.services))
        for written in routes:
            route = configuration.routes[written["host"]]
            age_ms = written.get("max_staleness_ms", -1)
            self.assertEqual(min(age_ms, MAX_TIME_MS), route.max_age_ms)
            timeout_ms = written.get("timeout_ms") or 1_000
            self.assertEqual(min(timeout_ms, MAX_TIME_MS), route.timeout_ms)


class CustomersTest(testtools.TestCase):
    """Customers of the configuration; a bad value must not keep it from use."""

    def decode(self, *entries, **route):
        return documents.decode_configuration(
            {
                **CONFIGURATION,
                "routes": [{**ROUTE, **route}],
                "tenants": list(entries),
            }
        )

    def test_customer_fields(self):
        configuration = self.decode(
            {
                "name": "bode960",
                "api_keys": ["mh2r", "kdrb"],
                "priority": 0,
                "rate_per_s": 75,
                "burst": 80,
            }
        )
        self.assertEqual(
            {"bode960": Customer("bode960", 0, 75.0, 80.0)}, configuration.customers
        )
        self.assertEqual(
            {digest_key("mh2r"): "bode960", digest_key("kdrb"): "bode960"},
            configuration.customer_by_key,
        )
        self.assertEqual((), configuration.findings)

    def test_no_key_is_kept(self):
        configuration = self.decode({"name": "a", "api_keys": ["mh2r", "mh2r", 5]})
        self.assertNotIn("mh2r", repr(configuration))

    def test_every_route_is_public_without_customers(self):
        for change in ({}, {"public": False}):
            document = {**CONFIGURATION, "routes": [{**ROUTE, **change}]}
            configuration = documents.decode_configuration(document)
            self.assertTrue(configuration.routes["fiti8"].is_public)
            self.assertFalse(configuration.has_customers)

    def test_empty_list_of_customers_leaves_the_routes_closed(self):
        """The last customer has gone: nobody but callers of public routes is served."""
        for public, expected in ((None, False), (False, False), (True, True)):
            configuration = self.decode(public=public)
            self.assertEqual(expected, configuration.routes["fiti8"].is_public)
            self.assertTrue(configuration.has_customers)
            self.assertIn("W119", " ".join(configuration.findings))

    def test_with_customers_only_a_marked_route_is_public(self):
        entry = {"name": "a", "api_keys": ["k"]}
        for public, expected in ((None, False), ("no", False), (True, True)):
            route = self.decode(entry, public=public).routes["fiti8"]
            self.assertEqual(expected, route.is_public, public)

    def test_customers_without_a_usable_name_leave_the_routes_closed(self):
        configuration = self.decode({"name": "two words", "api_keys": ["k"]})
        self.assertEqual({}, configuration.customer_by_key)
        self.assertFalse(configuration.routes["fiti8"].is_public)

    def test_a_key_of_two_customers_identifies_nobody(self):
        configuration = self.decode(
            {"name": "a", "api_keys": ["shared", "own"]},
            {"name": "b", "api_keys": ["shared"]},
        )
        self.assertEqual({digest_key("own"): "a"}, configuration.customer_by_key)
        self.assertIn("W113", configuration.findings[0])
        self.assertNotIn("shared", configuration.findings[0])

    def test_bad_limits_have_a_stated_reading(self):
        for rate_per_s in (-3, "7", True, float("nan"), float("inf"), 10**400):
            configuration = self.decode({"name": "a", "rate_per_s": rate_per_s})
            self.assertEqual(0, configuration.customers["a"].rate_per_s)
            self.assertIn("W114", configuration.findings[0])
        for burst in (-1, [], "9"):
            customer = {"name": "a", "rate_per_s": 4, "burst": burst}
            configuration = self.decode(customer)
            self.assertEqual(4, configuration.customers["a"].burst)
            self.assertIn("W115", configuration.findings[0])

    def test_a_customer_that_is_declared_twice_keeps_the_first_limits(self):
        configuration = self.decode(
            {"name": "a", "rate_per_s": 4, "api_keys": ["k"]},
            {"name": "a", "rate_per_s": 9, "api_keys": ["l"]},
        )
        self.assertEqual(4, configuration.customers["a"].rate_per_s)
        self.assertEqual({"a"}, set(configuration.customer_by_key.values()))
        self.assertEqual(2, len(configuration.customer_by_key))

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.dictionaries(
                st.sampled_from(
                    ("name", "api_keys", "priority", "rate_per_s", "burst")
                ),
                st.one_of(
                    st.none(),
                    st.integers(),
                    st.floats(),
                    st.text(max_size=3),
                    st.lists(st.text(max_size=3)),
                ),
            )
        )
    )
    def test_any_customers_leave_the_configuration_readable(self, entries):
        configuration = self.decode(*entries)
        for name in configuration.customer_by_key.values():
            self.assertIn(name, configuration.customers)


class SettingsFileTest(testtools.TestCase):
    def test_settings_fields(self):
        settings = documents.decode_settings(SETTINGS)
        self.assertEqual("front-kajaani-1", settings.node)
        self.assertEqual("10.1.0.8:8782", settings.peer_address)
        self.assertEqual(2, len(settings.seeds))
        self.assertEqual(6_000, settings.stop_grace_ms)
        self.assertEqual("10.1.0.8:9464", settings.metrics_address)
        self.assertEqual("etela", settings.regions["hameenlinna"])

    def test_peer_address_defaults_to_the_first_port_of_the_range(self):
        text = SETTINGS.replace("listen.control=10.1.0.8:8782\n", "")
        settings = documents.decode_settings(text)
        self.assertEqual("10.1.0.8:7440", settings.peer_address)
