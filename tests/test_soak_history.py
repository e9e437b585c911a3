"""Each check of the soak notices the break that it is for, and nothing else."""

import testtools

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

    def note_read(self, request_id, count, who="1", connection=1):
        detail = "i1", "", ({"who": who}, "", False, count)
        self.group.record("read", "d1", connection, request_id, detail)

    def promises(self, *operations):
        return [found.promise for found in check(list(operations), self.group)]

    def test_a_true_history_has_no_violation(self):
        self.note_read("r1", 1)
        self.assertEqual([], self.promises(operation(), read()))

    def test_a_refused_write_that_was_kept(self):
        self.assertEqual(["not run"], self.promises(operation(code="BUSY")))

    def test_a_write_committed_twice(self):
        self.commit("s1", 1)
        self.assertEqual(["once"], self.promises(operation()))

    def test_a_session_that_misses_its_own_write(self):
        self.note_read("r1", 0)
        self.assertEqual(["fresh"], self.promises(operation(), read(value=0)))

    def test_a_lead_read_that_misses_a_write_of_another(self):
        self.note_read("r1", 0)
        late = read(value=0, route="lead", caller=1, session=(1, 2))
        self.assertEqual(["fresh"], self.promises(operation(), late))

    def test_an_aged_read_may_miss_what_is_young_only(self):
        self.note_read("r1", 0)
        young = read(value=0, route="aged")
        self.assertEqual([], self.promises(operation(), young))
        old = young._replace(began_s=11.7)
        self.assertEqual(["fresh"], self.promises(operation(), old))

    def test_a_late_write_without_an_answer_is_no_staleness(self):
        self.commit("s0", 0)
        self.note_read("r1", 2)
        lost = operation(code="LOST", value=7, request_ids=("s0",))
        self.assertEqual([], self.promises(lost, operation(), read(value=0)))

    def test_a_write_acknowledged_by_a_replaced_primary(self):
        self.group.record("promote", "d2", detail=(2, 1))
        self.commit("s2", 2)
        late = operation(value=2, request_ids=("s2",))
        self.assertEqual(["replaced"], self.promises(late))

    def test_tokens_that_shrink_or_are_shared(self):
        for holder, token in (("n1", 5), ("n2", 4), ("n2", 5)):
            self.group.record("order", "d1", detail=(holder, token))
        self.assertEqual(["tokens", "tokens"], self.promises())

    def test_a_transaction_on_two_connections(self):
        self.commit("s2", 2, connection=2)
        split = operation(request_ids=("s1", "s2"))
        self.assertIn("apart", self.promises(split))

    def test_values_of_another_session(self):
        self.note_read("r1", 1, who="2")
        self.assertEqual(["values"], self.promises(operation(), read()))
