"""Heavy loads on one database, played without network against the admission queue.

Patterns: bounded queueing delay (refuse early, with when to come back), least slack
first, and slots that are taken back from overdue statements (a bulkhead's leak guard).
"""

import heapq
import itertools
import random
from typing import NamedTuple

from testtools import TestCase

from bronzescale_core.admission import (
    MAX_OVERDUE_PER_SLOT,
    AdmissionQueue,
    Admitted,
    Queued,
    Refused,
    WorkClass,
)

SLOTS = 3
WORK_MS = 18.0
TIMEOUT_MS = 1_000
AIM_MS = 2_000
CALLER_MS = 5_000
RETRIES = 2
LATE_WORTH = 0.5
LENGTH_MS = 10_000


class Load(NamedTuple):
    """What arrives and what the database does with it.

    Parameters
    ----------
    per_s : float
        New statements a second.
    saves : float
        Share of statements that write.
    lost : float
        Share of statements whose answer is lost.
    """

    per_s: float
    saves: float = 0.2
    lost: float = 0.0


class _Caller(NamedTuple):
    began_ms: int
    tries_left: int
    work_class: WorkClass


class Play:
    """One load against one queue; callers come back when they are told to."""

    def __init__(self, load, queue, has_leak_guard=True, seed=1):
        self.worth = 0.0
        self.asked = 0
        self._load = load
        self._queue = queue
        self._has_leak_guard = has_leak_guard
        self._dice = random.Random(seed)
        self._events = []
        self._order = itertools.count()
        self._callers = {}
        self._waiting = {}

    def run(self):
        """Play the load; return the worth served per statement asked."""
        at_ms = 0.0
        while at_ms < LENGTH_MS:
            is_save = self._dice.random() < self._load.saves
            work_class = WorkClass.SAVE if is_save else WorkClass.READ
            self._at(at_ms, self._arrive, _Caller(int(at_ms), RETRIES, work_class))
            self.asked += 1
            at_ms += self._dice.expovariate(self._load.per_s / 1_000)
        while self._events:
            now_ms, _, action, details = heapq.heappop(self._events)
            action(int(now_ms), *details)
        return self.worth / self.asked

    def _at(self, at_ms, action, *details):
        heapq.heappush(self._events, (at_ms, next(self._order), action, details))

    def _arrive(self, now_ms, caller):
        if self._has_leak_guard:
            self._deliver(self._queue.release_overdue(now_ms), now_ms)
        decision = self._queue.offer(caller.work_class, now_ms + TIMEOUT_MS, now_ms)
        self._callers[decision.ticket.ticket_id] = caller
        if isinstance(decision, Queued):
            self._at(now_ms + TIMEOUT_MS, self._give_up, decision.ticket)
        else:
            self._deliver([decision], now_ms)

    def _give_up(self, now_ms, ticket):
        if self._queue.withdraw(ticket):
            self._fail(now_ms, self._callers[ticket.ticket_id], 0)

    def _deliver(self, decisions, now_ms):
        for decision in decisions:
            caller = self._callers[decision.ticket.ticket_id]
            if isinstance(decision, Refused):
                self._fail(now_ms, caller, decision.retry_after_ms)
            elif isinstance(decision, Admitted):
                self._start(now_ms, decision.ticket, caller)

    def _start(self, now_ms, ticket, caller):
        is_lost = self._dice.random() < self._load.lost
        work_ms = min(60.0, self._dice.lognormvariate(2.65, 0.7))
        ends_ms = ticket.deadline_ms if is_lost else now_ms + work_ms
        self._at(ends_ms, self._end, ticket, caller, now_ms, is_lost)

    def _end(self, now_ms, ticket, caller, started_ms, is_lost):
        held_ms = None if is_lost and self._has_leak_guard else now_ms - started_ms
        self._deliver(self._queue.finish(ticket, held_ms, now_ms), now_ms)
        took_ms = now_ms - caller.began_ms
        if is_lost:
            if caller.work_class is WorkClass.READ:
                self._fail(now_ms, caller, 0)
        elif took_ms <= CALLER_MS:
            self.worth += 1.0 if took_ms <= AIM_MS else LATE_WORTH

    def _fail(self, now_ms, caller, retry_after_ms):
        at_ms = now_ms + max(50, retry_after_ms)
        if caller.tries_left and at_ms < caller.began_ms + CALLER_MS:
            again = caller._replace(tries_left=caller.tries_left - 1)
            self._at(at_ms, self._arrive, again)


def play(load, max_wait_share, has_leak_guard=True):
    """Return the mean worth over three seeds."""
    worths = [
        Play(
            load, AdmissionQueue(SLOTS, 200, max_wait_share), has_leak_guard, seed
        ).run()
        for seed in (1, 2, 3)
    ]
    return sum(worths) / len(worths)


class TestOverload(TestCase):
    def test_calm_load_is_served_whole(self):
        self.assertTrue(play(Load(100), 0.5) > 0.999)

    def test_lost_answers_do_not_stop_the_rest(self):
        """One answer in five is lost; the database itself has room for all."""
        load = Load(75, lost=0.2)
        guarded = play(load, 0.5)
        self.assertTrue(guarded > 0.9, guarded)
        self.assertTrue(guarded > play(load, 0.5, has_leak_guard=False) + 0.1)


class TestLeakGuard(TestCase):
    def _queue(self):
        queue = AdmissionQueue(2, 10)
        first = queue.offer(WorkClass.READ, 9_000, 0).ticket
        return queue, first

    def test_slow_database_keeps_its_slots(self):
        """Nothing overtakes in a queue of the database's own, so nothing is lost."""
        queue, _ = self._queue()
        queue.offer(WorkClass.READ, 9_000, 1)
        waiting = queue.offer(WorkClass.READ, 9_000, 2)
        self.assertIsInstance(waiting, Queued)
        self.assertEqual([], queue.release_overdue(5_000))
        self.assertEqual(2, queue.running)

    def test_overtaken_statement_gives_its_slot_back(self):
        queue, first = self._queue()
        for now_ms in (10, 20):
            queue.finish(queue.offer(WorkClass.READ, 9_000, now_ms).ticket, 5, now_ms)
        queue.offer(WorkClass.READ, 9_000, 30)
        waiting = queue.offer(WorkClass.READ, 9_000, 31).ticket
        self.assertEqual([Admitted(waiting)], queue.release_overdue(200))
        self.assertEqual([], queue.finish(first, None, 201))
        self.assertEqual(2, queue.running)

    def test_overdue_statements_are_bounded(self):
        """Answers go on being lost: the slots fill up in the end."""
        queue, _ = self._queue()
        now_ms = 0
        for _ in range(6 * MAX_OVERDUE_PER_SLOT):
            now_ms += 500
            queue.release_overdue(now_ms)
            queue.offer(WorkClass.READ, 99_000, now_ms)
            for _ in range(2):
                each = queue.offer(WorkClass.READ, 99_000, now_ms)
                if isinstance(each, Admitted):
                    queue.finish(each.ticket, 5, now_ms)
        self.assertEqual(2, queue.running)
        self.assertEqual([], queue.release_overdue(now_ms + 500))
