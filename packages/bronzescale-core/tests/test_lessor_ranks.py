"""Which host is a customer's lessor while the fleet is divided or starts again."""

import testtools

from bronzescale_core.lessor_ranks import LessorRanks, rank_previous
from bronzescale_core.rendezvous import Node

HOSTS = [Node(f"host-{number}", "", "zone", "region") for number in range(91)]
RANKED = rank_previous("ada", HOSTS, len(HOSTS))


def without(*lost):
    return [node for node in HOSTS if node not in lost]


class DividedFleetTest(testtools.TestCase):
    """Pattern: hosts of the other part are found lost one by one, over seconds."""

    def test_hosts_lost_behind_the_lessor_do_not_restart_its_time(self):
        ranks = LessorRanks(RANKED[1].name, 0)
        ranks.update(HOSTS, 0)
        lost = [RANKED[0]]
        ranks.update(without(*lost), 1_000)
        self.assertTrue(ranks.is_first("ada"))
        self.assertEqual(1_000, ranks.since_ms("ada"))
        for step, node in enumerate(RANKED[30:60]):
            lost.append(node)
            ranks.update(without(*lost), 1_100 + 100 * step)
        self.assertEqual(1_000, ranks.since_ms("ada"))
        ranks.update(without(RANKED[0]), 9_000)
        self.assertEqual(1_000, ranks.since_ms("ada"))

    def test_host_that_was_outranked_meanwhile_starts_anew(self):
        ranks = LessorRanks(RANKED[1].name, 0)
        ranks.update(without(RANKED[0]), 0)
        self.assertEqual(0, ranks.since_ms("ada"))
        ranks.update(HOSTS, 1_000)
        ranks.update(without(RANKED[0]), 2_000)
        self.assertEqual(2_000, ranks.since_ms("ada"))

    def test_host_that_leaves_has_no_part(self):
        ranks = LessorRanks(RANKED[0].name, 0)
        ranks.update(HOSTS, 0)
        self.assertTrue(ranks.is_first("ada"))
        ranks.update(without(RANKED[0]), 1_000)
        self.assertFalse(ranks.is_first("ada"))
        self.assertTrue(ranks.has_lost_hosts)
        ranks.update(HOSTS, 2_000)
        self.assertEqual(2_000, ranks.since_ms("ada"))

    def test_lessor_keeps_its_bucket_from_hosts_behind_it_only(self):
        ranks = LessorRanks(RANKED[1].name, 0)
        ranks.update(without(RANKED[0]), 0)
        self.assertTrue(ranks.keeps_from("ada", RANKED[2].name))
        # It may have started a moment ago, and this host has not heard of it.
        self.assertFalse(ranks.keeps_from("ada", RANKED[0].name))
        ranks.update(without(RANKED[0], RANKED[1]), 1_000)
        self.assertFalse(ranks.keeps_from("ada", RANKED[2].name))

    def test_removed_customers_are_forgotten(self):
        ranks = LessorRanks(RANKED[0].name, 0)
        ranks.update(HOSTS, 0)
        ranks.since_ms("ada")
        ranks.update(without(RANKED[5]), 1_000)
        ranks.forget({})
        self.assertEqual(1_000, ranks.since_ms("ada"))
