"""Each check of the soak test reports the violation that it is for, and no other.

A check that misses violations would let soak tests pass on a faulty fleet; a check that
reports correct histories would make them useless.
"""

import testtools

from bronzescale_standins.fleet import soak, soak_history
from bronzescale_standins.fleet.database import Group, LogEntry
from bronzescale_standins.fleet.soak_history import Operation, check


def operation(**fields):
    values = {
        "caller": 1,
        "session": (1, 1),
        "route": "own",
        "item": "i1",
        "value": 1,
        "is_write": True,
        "code": "DONE",
        "began_s": 10.0,
        "ended_s": 10.1,
        "request_ids": ("s1",),
    }
    return Operation(**{**values, **fields})


def read(**fields):
    values = {"is_write": False, "began_s": 11.0, "ended_s": 11.1}
    return operation(**{**values, "request_ids": ("r1",), **fields})


class SoakChecksTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.group = Group("svc")
        self.database = self.group.add("d1", "a")
        self.commit("s1", 1)

    def commit(self, request_id, value, instance="d1", connection=1):
        state = {"who": "1"}, "", False, 0
        self.group.record("write", instance, connection, request_id, ("i1", "", state))
        entry = LogEntry(
            1, len(self.database.log) + 1, (("i1", str(value)),), request_id
        )
        self.database.log.append(entry)
        self.group.record("commit", instance, connection, request_id, entry)

    def record_read(self, request_id, count, who="1", connection=1):
        detail = "i1", "", ({"who": who}, "", False, count)
        self.group.record("read", "d1", connection, request_id, detail)

    def violated(self, *operations):
        return [each.guarantee for each in check(list(operations), self.group)]

    def test_correct_history_has_no_violation(self):
        self.record_read("r1", 1)
        self.assertEqual([], self.violated(operation(), read()))

    def test_refused_write_that_was_committed(self):
        self.assertEqual(["not run"], self.violated(operation(code="BUSY")))

    def test_write_committed_twice(self):
        self.commit("s1", 1)
        self.assertEqual(["once"], self.violated(operation()))

    def test_session_that_misses_its_own_write(self):
        self.record_read("r1", 0)
        self.assertEqual(["fresh"], self.violated(operation(), read(value=0)))

    def test_primary_read_that_misses_write_of_another_session(self):
        self.record_read("r1", 0)
        late = read(value=0, route="lead", caller=1, session=(1, 2))
        self.assertEqual(["fresh"], self.violated(operation(), late))

    def test_bounded_staleness_read_may_miss_only_recent_writes(self):
        self.record_read("r1", 0)
        early = read(value=0, route="aged")
        self.assertEqual([], self.violated(operation(), early))
        late = early._replace(began_s=11.7)
        self.assertEqual(["fresh"], self.violated(operation(), late))

    def test_late_commit_of_unanswered_write_is_not_staleness(self):
        self.commit("s0", 0)
        self.record_read("r1", 2)
        unanswered = operation(code="LOST", value=7, request_ids=("s0",))
        self.assertEqual([], self.violated(unanswered, operation(), read(value=0)))

    def test_write_acknowledged_by_replaced_primary(self):
        self.group.record("promote", "d2", detail=(2, 1))
        self.commit("s2", 2)
        late = operation(value=2, request_ids=("s2",))
        self.assertEqual(["replaced"], self.violated(late))

    def test_tokens_that_decrease_or_have_two_holders(self):
        for holder, token in (("n1", 5), ("n2", 4), ("n2", 5)):
            self.group.record("order", "d1", detail=(holder, token))
        self.assertEqual(["tokens", "tokens"], self.violated())

    def test_transaction_on_two_connections(self):
        self.commit("s2", 2, connection=2)
        split = operation(request_ids=("s1", "s2"))
        self.assertIn("apart", self.violated(split))

    def test_statement_with_values_of_another_session(self):
        for values, shape in (((("who", "2"),), ""), ((("who", "1"),), "q1")):
            expected = (("r1", values, shape),)
            self.group.history = self.group.history[:2]
            self.record_read("r1", 1)
            found = self.violated(operation(), read(expected=expected))
            self.assertEqual(["values"], found)
        expected = (("r1", (("who", "1"),), ""),)
        self.assertEqual([], self.violated(operation(), read(expected=expected)))

    def test_commit_of_what_another_caller_wrote(self):
        other = operation(caller=2, item="i2", request_ids=("s1",))
        self.assertEqual(["mixed"], self.violated(other))

    def test_request_that_ran_and_was_cut_off_by_a_planned_stop(self):
        self.record_read("r1", 1)
        lost = read(code="LOST", node="n1", unanswered="r1")
        for change, count in (
            ({}, 1),
            ({"unanswered": ""}, 0),
            ({"node": "n2"}, 0),
            ({"unanswered": "never ran"}, 0),
            ({"ended_s": 9.0}, 0),
        ):
            found = soak_history.find_cut_off(
                [lost._replace(**change)], self.group, "n1", 10.0, 15.0
            )
            self.assertEqual(count, len(found), change)


class CustomerChecksTest(SoakChecksTest):
    """Statements must run for the customer that holds their caller's key."""

    versions = ((0.0, {"a": ("k1",), "b": ("k2",)}), (50.0, {"a": (), "b": ("k2",)}))

    def setUp(self):
        super().setUp()
        self.group.customer_by_connection[1] = "a"

    def violated(self, *operations):
        keyed = [each._replace(key=each.key or "k1") for each in operations]
        found = check(keyed, self.group, self.versions)
        return [each.guarantee for each in found]

    def test_transaction_on_two_connections(self):
        self.group.customer_by_connection[2] = "a"
        super().test_transaction_on_two_connections()

    def test_statement_that_ran_for_another_customer(self):
        self.assertEqual(["customer"] * 2, self.violated(operation(key="k2")))

    def test_statement_of_a_key_that_nobody_ever_held(self):
        self.assertEqual(["customer"] * 2, self.violated(operation(key="stolen")))

    def test_withdrawn_key_may_work_for_a_while_only(self):
        soon = operation(began_s=55.0, ended_s=55.1)
        self.assertEqual([], self.violated(soon))
        late = operation(began_s=61.0, ended_s=61.1)
        self.assertEqual(["customer"] * 2, self.violated(late))

    def test_key_that_was_held_all_the_time_may_not_be_refused(self):
        refused = operation(code="NOAUTH", is_write=False, request_ids=())
        self.assertEqual(["locked out"], self.violated(refused))
        late = refused._replace(began_s=55.0, ended_s=55.1)
        self.assertEqual([], self.violated(late))


class SubnetTest(testtools.TestCase):
    def test_two_runs_of_one_seed_use_different_networks(self):
        with soak.reserve_subnet(7) as first, soak.reserve_subnet(7) as second:
            self.assertNotEqual(first, second)

    def test_network_is_free_again_after_a_run(self):
        with soak.reserve_subnet(7) as first:
            pass
        with soak.reserve_subnet(7) as second:
            self.assertEqual(first, second)
