"""Test the admission queue of one database under simulated heavy load."""

from testtools import TestCase

from bronzescale_core.admission import (
    MAX_OVERDUE_PER_SLOT,
    AdmissionQueue,
    Admitted,
    Queued,
    WorkClass,
)
from bronzescale_standins.fleet.overload import Load, simulate


class TestOverload(TestCase):
    """Simulated loads; `simulate` returns 1 if all statements are answered in time."""

    def test_moderate_load_is_served_completely(self):
        self.assertTrue(simulate(Load(100), 0.5) > 0.999)

    def test_lost_answers_do_not_block_other_statements(self):
        """One answer in five is lost, although the database has enough capacity.

        Unless the slots of overdue statements are released (the leak guard), each
        statement whose answer is lost holds its slot until its deadline.
        """
        load = Load(75, lost_share=0.2)
        guarded = simulate(load, 0.5)
        self.assertTrue(guarded > 0.9, guarded)
        self.assertTrue(guarded > simulate(load, 0.5, has_leak_guard=False) + 0.1)


class TestLeakGuard(TestCase):
    """Release of the slots of statements whose answers were lost."""

    def _queue(self):
        queue = AdmissionQueue(2, 10)
        first = queue.offer(WorkClass.READ, 9_000, 0).ticket
        return queue, first

    def test_slow_database_keeps_its_slots(self):
        """If no later statement was answered, the database is slow and lost nothing."""
        queue, _ = self._queue()
        queue.offer(WorkClass.READ, 9_000, 1)
        waiting = queue.offer(WorkClass.READ, 9_000, 2)
        self.assertIsInstance(waiting, Queued)
        self.assertEqual([], queue.release_overdue(5_000))
        self.assertEqual(2, queue.running)

    def test_overtaken_statement_loses_its_slot(self):
        queue, first = self._queue()
        for now_ms in (10, 20):
            queue.finish(queue.offer(WorkClass.READ, 9_000, now_ms).ticket, 5, now_ms)
        queue.offer(WorkClass.READ, 9_000, 30)
        waiting = queue.offer(WorkClass.READ, 9_000, 31).ticket
        self.assertEqual([Admitted(waiting)], queue.release_overdue(200))
        self.assertEqual([], queue.finish(first, None, 201))
        self.assertEqual(2, queue.running)

    def test_overdue_statements_are_bounded(self):
        """If answers keep being lost, the slots must fill up eventually."""
        queue, _ = self._queue()
        now_ms = 0
        for _ in range(6 * MAX_OVERDUE_PER_SLOT):
            now_ms += 500
            queue.release_overdue(now_ms)
            queue.offer(WorkClass.READ, 99_000, now_ms)
            for _ in range(2):
                decision = queue.offer(WorkClass.READ, 99_000, now_ms)
                if isinstance(decision, Admitted):
                    queue.finish(decision.ticket, 5, now_ms)
        self.assertEqual(2, queue.running)
        self.assertEqual([], queue.release_overdue(now_ms + 500))
