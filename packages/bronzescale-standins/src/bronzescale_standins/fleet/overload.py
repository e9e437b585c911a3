"""Simulate overload of the admission queue of one database, without network.

    python -m bronzescale_standins.fleet.overload

The queue bounds the queueing delay (it refuses early, with a time to retry), serves the
statement with the least slack first, and releases the slots of overdue statements, so
that lost answers do not use up all slots (the leak guard of a bulkhead).
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

app = cyclopts.App(name="overload", help="Compare admission policies under load.")

# Models a database of a large site: three slots, statements of about 18 ms on average
# and at most 60 ms.
SLOTS = 3
ATTEMPT_TIMEOUT_MS = 1_000
# Answers within this time have full utility.
TARGET_MS = 2_000
# Answers after this time have none, since the caller has given up.
CALLER_TIMEOUT_MS = 5_000
MAX_RETRIES = 2
LATE_ANSWER_UTILITY = 0.5
# About ten times the timeout of an attempt.
DURATION_MS = 10_000


class Load(NamedTuple):
    """Load on the database.

    Parameters
    ----------
    per_s : float
        New statements per second.
    write_share : float
        Share of statements that write.
    lost_share : float
        Share of statements whose answer is lost.
    """

    per_s: float
    write_share: float = 0.2
    lost_share: float = 0.0


# The loads that the design note on partial failures compares.
LOADS = (
    Load(100),
    Load(200),
    Load(250),
    Load(330),
    Load(75, lost_share=0.2),
    Load(100, lost_share=0.05),
)


class _Statement(NamedTuple):
    """A statement without an answer so far."""

    began_ms: int
    retries_left: int
    work_class: WorkClass


class Simulation:
    """One load on one queue; callers retry after the time that the queue returns."""

    def __init__(self, load, queue, has_leak_guard=True, seed=1):
        self.utility = 0.0
        self.statement_count = 0
        self._load = load
        self._queue = queue
        self._has_leak_guard = has_leak_guard
        self._rng = random.Random(seed)
        self._events = []
        self._event_numbers = itertools.count()
        self._statements = {}
        self._waiting = {}

    def run(self):
        """Run the simulation and return the mean utility of a statement."""
        at_ms = 0.0
        while at_ms < DURATION_MS:
            is_write = self._rng.random() < self._load.write_share
            work_class = WorkClass.WRITE if is_write else WorkClass.READ
            self._schedule(
                at_ms, self._offer, _Statement(int(at_ms), MAX_RETRIES, work_class)
            )
            self.statement_count += 1
            at_ms += self._rng.expovariate(self._load.per_s / 1_000)
        while self._events:
            now_ms, _, action, details = heapq.heappop(self._events)
            action(int(now_ms), *details)
        return self.utility / self.statement_count

    def _schedule(self, at_ms, action, *details):
        heapq.heappush(
            self._events, (at_ms, next(self._event_numbers), action, details)
        )

    def _offer(self, now_ms, statement):
        if self._has_leak_guard:
            self._apply_decisions(self._queue.release_overdue(now_ms), now_ms)
        decision = self._queue.offer(
            statement.work_class, now_ms + ATTEMPT_TIMEOUT_MS, now_ms
        )
        self._statements[decision.ticket.ticket_id] = statement
        if isinstance(decision, Queued):
            self._schedule(now_ms + ATTEMPT_TIMEOUT_MS, self._time_out, decision.ticket)
        else:
            self._apply_decisions([decision], now_ms)

    def _time_out(self, now_ms, ticket):
        if self._queue.withdraw(ticket):
            self._retry_later(now_ms, self._statements[ticket.ticket_id], 0)

    def _apply_decisions(self, decisions, now_ms):
        for decision in decisions:
            statement = self._statements[decision.ticket.ticket_id]
            if isinstance(decision, Refused):
                self._retry_later(now_ms, statement, decision.retry_after_ms)
            elif isinstance(decision, Admitted):
                self._start(now_ms, decision.ticket, statement)

    def _start(self, now_ms, ticket, statement):
        is_lost = self._rng.random() < self._load.lost_share
        work_ms = min(60.0, self._rng.lognormvariate(2.65, 0.7))
        ends_ms = ticket.deadline_ms if is_lost else now_ms + work_ms
        self._schedule(ends_ms, self._finish, ticket, statement, now_ms, is_lost)

    def _finish(self, now_ms, ticket, statement, started_ms, is_lost):
        held_ms = None if is_lost and self._has_leak_guard else now_ms - started_ms
        self._apply_decisions(self._queue.finish(ticket, held_ms, now_ms), now_ms)
        took_ms = now_ms - statement.began_ms
        if is_lost:
            if statement.work_class is WorkClass.READ:
                self._retry_later(now_ms, statement, 0)
        elif took_ms <= CALLER_TIMEOUT_MS:
            self.utility += 1.0 if took_ms <= TARGET_MS else LATE_ANSWER_UTILITY

    def _retry_later(self, now_ms, statement, retry_after_ms):
        at_ms = now_ms + max(50, retry_after_ms)
        if statement.retries_left and at_ms < statement.began_ms + CALLER_TIMEOUT_MS:
            retry = statement._replace(retries_left=statement.retries_left - 1)
            self._schedule(at_ms, self._offer, retry)


def simulate(load, max_wait_share, has_leak_guard=True):
    """Return the mean utility of a statement over three seeds.

    Parameters
    ----------
    load : Load
        Load on the database.
    max_wait_share : float
        Share of its timeout that a statement may wait in the queue.
    has_leak_guard : bool
        Whether the slots of overdue statements are released.

    Returns
    -------
    float
        Mean utility; 1 if all statements are answered in time.
    """
    utilities = [
        Simulation(
            load, AdmissionQueue(SLOTS, 200, max_wait_share), has_leak_guard, seed
        ).run()
        for seed in (1, 2, 3)
    ]
    return sum(utilities) / len(utilities)


@app.default
def main():
    """Print the mean utility of each policy under each load, as a Markdown table."""
    shares = (1.0, 0.75, 0.5, 0.25)
    titles = [f"wait {share:g}" for share in shares]
    print("| load |", " | ".join(titles), "| wait 1, slots not taken back |")
    print("| --- |" + " --- |" * (len(shares) + 1))
    for load in LOADS:
        utilities = [simulate(load, share) for share in shares]
        utilities.append(simulate(load, 1.0, has_leak_guard=False))
        figures = " | ".join(f"{utility:.3f}" for utility in utilities)
        print(
            f"| {load.per_s:g}/s, {load.lost_share:.0%} of answers lost | {figures} |"
        )


if __name__ == "__main__":
    app()
