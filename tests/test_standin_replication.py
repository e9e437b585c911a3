"""The stand-in databases keep what a promoted primary has sent to its replicas."""

import testtools

from bronzescale_standins.fleet.database import Group


class ReplicationTest(testtools.TestCase):
    # Guards against reads that the soak took for stale: a replica went back to the log
    # of a replaced primary for a moment (seed 9900 of a trial).
    def test_replaced_primary_changes_no_replica_of_a_newer_term(self):
        group = Group("svc")
        old, new, replica = (group.add(name, "a") for name in ("d1", "d2", "d3"))
        for database in group.databases.values():
            database.is_running = True
        old.append([("x", "1")], "q1")
        for database in (new, replica):
            database._copy_log(old)
        old.append([("x", "2")], "q2")
        new.become_primary(3)
        new.append([("y", "3")], "q3")
        replica._copy_log(new)
        old.step_down(3)
        self.assertEqual(3, replica.term)
        self.assertEqual(["q1", "q3"], [entry.request_id for entry in replica.log])

    def test_primary_that_steps_down_first_sends_what_it_committed(self):
        group = Group("svc")
        old, replica = (group.add(name, "a") for name in ("d1", "d2"))
        for database in group.databases.values():
            database.is_running = True
        old.append([("x", "1")], "q1")
        old.step_down(2)
        self.assertEqual(["q1"], [entry.request_id for entry in replica.log])
