"""Which objects a node pulls while the fleet starts."""

import testtools

from bronzescale_core.pulls import Pull, PullPlanner

KINDS = ["configuration", "hosts"]


class FleetStartTest(testtools.TestCase):
    """Pattern: all hosts register within a second, and every heartbeat differs."""

    def test_objects_that_nodes_receive_do_not_grow_with_the_square_of_the_fleet(self):
        received = {}
        for hosts in (30, 100, 300):
            planner = PullPlanner()
            known = 1
            received[hosts] = 0
            for registered in range(1, hosts + 1):
                # Several peers show the difference at once.
                plans = [
                    planner.begin(["hosts"], True, {"hosts": known}) for _ in range(8)
                ]
                begun = [plan for plan in plans if plan is not None]
                self.assertEqual(1, len(begun))
                received[hosts] += registered - begun[0].since
                known = registered
                planner.end(begun[0])
        self.assertLess(received[300], 12 * received[30])

    def test_one_pull_of_everything_at_a_time(self):
        planner = PullPlanner()
        plan = planner.begin(KINDS, False, {})
        self.assertEqual(Pull((), 0), plan)
        self.assertIsNone(planner.begin(KINDS, False, {}))
        planner.end(plan)
        self.assertEqual(Pull((), 0), planner.begin(KINDS, False, {}))

    def test_objects_that_were_missed_are_pulled_in_the_end(self):
        planner = PullPlanner()
        newest = {"configuration": 7, "hosts": 40}
        first = planner.begin(["hosts"], True, newest)
        self.assertEqual(Pull(("hosts",), 40), first)
        planner.end(first)
        self.assertEqual(Pull(("hosts",), 0), planner.begin(["hosts"], True, newest))

    def test_kinds_that_are_pulled_already_are_left_out(self):
        planner = PullPlanner()
        newest = {"configuration": 7, "hosts": 40}
        planner.begin(["hosts"], True, newest)
        self.assertEqual(
            Pull(("configuration",), 7), planner.begin(KINDS, True, newest)
        )
