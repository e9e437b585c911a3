"""Paths to the store while it refuses a part of the hosts."""

import random

import testtools

from bronzescale_core.store_paths import (
    DIRECT,
    FAILED_PATH_MS,
    MAX_PEERS,
    MIN_HEDGE_MS,
    StorePaths,
)

PEERS = [f"n{number}" for number in range(1, 13)]


def read(paths, peers, answering, now_ms):
    """Try the paths in turn, as a host does, and return those that it tried."""
    tried = []
    for path in paths.order(peers, now_ms):
        tried.append(path)
        if path in answering:
            paths.record_answer(path, 5)
            return tried
        paths.record_failure(path, now_ms)
    return tried


class TestOrder(testtools.TestCase):
    def test_the_store_is_asked_directly_while_it_answers(self):
        paths = StorePaths()
        for now_ms in range(0, 5_000, 250):
            self.assertEqual([DIRECT], read(paths, PEERS, {DIRECT}, now_ms))

    def test_a_refused_host_keeps_to_the_peer_that_helped(self):
        paths = StorePaths()
        answering = {"n2", "n7"}
        self.assertEqual([DIRECT, "n1", "n2"], read(paths, PEERS, answering, 0))
        self.assertEqual(["n2"], read(paths, PEERS, answering, 300))

    def test_the_direct_path_is_tried_again_after_a_while(self):
        paths = StorePaths()
        read(paths, PEERS, {"n1"}, 0)
        self.assertEqual(
            [DIRECT], read(paths, PEERS, {DIRECT, "n1"}, FAILED_PATH_MS + 1)
        )

    def test_each_read_is_bounded(self):
        paths = StorePaths()
        self.assertEqual(1 + MAX_PEERS, len(read(paths, PEERS, set(), 0)))

    def test_peers_that_failed_give_way_to_others(self):
        paths = StorePaths()
        first = read(paths, PEERS, set(), 0)
        second = read(paths, PEERS, set(), 100)
        self.assertEqual(set(), (set(first) & set(second)) - {DIRECT})

    def test_a_third_of_the_hosts_refused(self):
        """Pattern: a third of 30 hosts, for 9 s, with reads every 0.3 s."""
        source = random.Random(7)
        failed_reads = 0
        for _ in range(100):
            paths = StorePaths()
            peers = [f"n{number}" for number in range(29)]
            source.shuffle(peers)
            answering = set(source.sample(peers, 20))
            for now_ms in range(0, 9_000, 300):
                tried = read(paths, peers, answering, now_ms)
                failed_reads += tried[-1] not in answering
        self.assertTrue(failed_reads <= 100 * 30 * 0.02, failed_reads)


class TestHedge(testtools.TestCase):
    def test_a_store_that_is_slow_for_everybody_gets_no_further_calls(self):
        paths = StorePaths()
        for _ in range(20):
            paths.record_answer(DIRECT, 360)
        self.assertTrue(paths.hedge_ms() > 2 * 360, paths.hedge_ms())

    def test_a_silent_store_is_passed_over_soon(self):
        paths = StorePaths()
        paths.record_answer(DIRECT, 4)
        self.assertEqual(MIN_HEDGE_MS, paths.hedge_ms())
