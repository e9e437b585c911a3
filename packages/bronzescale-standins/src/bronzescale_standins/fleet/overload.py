"""Play heavy loads against the admission queue of one database, without network.

    python -m bronzescale_standins.fleet.overload

Patterns: bounded queueing delay (refuse early, with when to come back), least slack
first, and slots that are taken back from overdue statements (a bulkhead's leak guard).
"""

import heapq
import itertools
import random
from typing import NamedTuple

import cyclopts

from bronzescale_core.admission import (
    AdmissionQueue,
    Admitted,
    Queued,
    Refused,
    WorkClass,
)

app = cyclopts.App(name="overload", help="Weigh admission policies under load.")

# A database of the grown sites: three slots, statements of some 18 ms, up to 60 ms.
SLOTS = 3
# Times of its callers: one try, a good answer, the last answer that counts.
TIMEOUT_MS = 1_000
AIM_MS = 2_000
CALLER_MS = 5_000
RETRIES = 2
# What an answer past the aim is worth.
LATE_WORTH = 0.5
# Some ten times as long as a try.
LENGTH_MS = 10_000


class Load(NamedTuple):
    """What arrives and what the database does with it.

    Parameters
    ----------
    per_s : float
        New statements a second.
    writes : float
        Share of statements that write.
    lost : float
        Share of statements whose answer is lost.
    """

    per_s: float
    writes: float = 0.2
    lost: float = 0.0


# The loads of the design note on partial failures.
LOADS = (
    Load(100),
    Load(200),
    Load(250),
    Load(330),
    Load(75, lost=0.2),
    Load(100, lost=0.05),
)


class _Caller(NamedTuple):
    """A statement on its way, with the tries that are left."""

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
            is_write = self._dice.random() < self._load.writes
            work_class = WorkClass.WRITE if is_write else WorkClass.READ
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
    """Return the mean worth over three seeds.

    Parameters
    ----------
    load : Load
        What arrives.
    max_wait_share : float
        Share of a statement's time that it may wait.
    has_leak_guard : bool
        Whether slots are taken back from overdue statements.

    Returns
    -------
    float
        Worth per statement asked, 1 if all are served in time.
    """
    worths = [
        Play(
            load, AdmissionQueue(SLOTS, 200, max_wait_share), has_leak_guard, seed
        ).run()
        for seed in (1, 2, 3)
    ]
    return sum(worths) / len(worths)


@app.default
def main():
    """Print the worth of each policy under each load, as a table."""
    shares = (1.0, 0.75, 0.5, 0.25)
    titles = [f"wait {share:g}" for share in shares]
    print("| load |", " | ".join(titles), "| wait 1, slots not taken back |")
    print("| --- |" + " --- |" * (len(shares) + 1))
    for load in LOADS:
        worths = [play(load, share) for share in shares]
        worths.append(play(load, 1.0, has_leak_guard=False))
        figures = " | ".join(f"{worth:.3f}" for worth in worths)
        print(f"| {load.per_s:g}/s, {load.lost:.0%} of answers lost | {figures} |")


if __name__ == "__main__":
    app()
