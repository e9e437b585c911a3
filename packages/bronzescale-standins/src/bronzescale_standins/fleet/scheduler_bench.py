"""Compare schedulers of one database's slots under load, over virtual time.

    python -m bronzescale_standins.fleet.scheduler_bench

Callers return when they are told to, twice at most. The database goes on with
statements that were given up, so that wasted work counts.
"""

import heapq
import itertools
import math
import random
from collections import Counter
from statistics import fmean
from typing import NamedTuple

import cyclopts

from bronzescale_core.admission import Admitted, Refused, SlotTable
from bronzescale_core.fair_queue import Request
from bronzescale_core.scheduling import Scheduler
from bronzescale_core.scheduling_rules import Rules
from bronzescale_standins.fleet.scheduler_loads import (
    HOT_CUSTOMER,
    MAX_QUEUED,
    SHAPES,
    FirstCome,
    Present,
    Route,
)

app = cyclopts.App(name="scheduler-bench", help="Compare schedulers under load.")
DURATION_MS = 20_000
MAX_TRIES = 3
WAVE_MS = 17_000
# Start and length of a burst, which is twice the capacity.
BURST_MS = 6_000
# A database is busy for this time with the connection that replaces one on which a
# statement was given up.
CONNECT_MS = 12
# A window has recovered if this share of its newcomers is served at the first try.
RECOVERED_SHARE = 0.95
WINDOW_MS = 250


class Operation(NamedTuple):
    """A caller's statement, with its tries so far."""

    began_ms: float
    route: Route
    customer: int
    work_ms: float
    tries: int = 1


class Run:
    """One load on one queue."""

    def __init__(self, shape, load, queue, has_burst=False, seed=1):
        self.shape, self.queue, self.seed = shape, queue, seed
        self.asked, self.done, self.useful_ms, self.tries = [], [], 0.0, 0
        self._events, self._numbers, self._operations = [], itertools.count(), {}
        self._slots_free_ms = [0.0] * shape.slots
        self._draw(load, has_burst)
        while self._events:
            now_ms, _, action, details = heapq.heappop(self._events)
            action(now_ms, *details)

    def _draw(self, load, has_burst):
        rng, routes = random.Random(self.seed), self.shape.routes
        shares = [r.share / sum(r.share for r in routes) for r in routes]
        mean_ms = sum(
            share * r.mean_ms * (1 + r.tail[0] * (r.tail[1] - 1))
            for r, share in zip(routes, shares, strict=True)
        )
        sizes = [1 / rank for rank in range(1, self.shape.customers + 1)] or [1]
        if self.shape.customers:
            sizes[HOT_CUSTOMER] *= self.shape.hot_factor
        at_ms = 0.0
        while at_ms < DURATION_MS:
            is_burst = has_burst and BURST_MS <= at_ms < 2 * BURST_MS
            phase = math.sin(2 * math.pi * at_ms / WAVE_MS)
            factor = (2 if is_burst else load) * (1 + self.shape.wave * phase)
            at_ms += rng.expovariate(factor * self.shape.slots / mean_ms)
            (route,) = rng.choices(routes, shares)
            (customer,) = rng.choices(range(len(sizes)), sizes)
            if self.shape.has_route_each:
                route = routes[customer % len(routes)]
            work_ms = rng.lognormvariate(math.log(route.mean_ms) - 0.245, 0.7)
            work_ms *= route.tail[1] if rng.random() < route.tail[0] else 1
            work_ms = min(work_ms, route.longest_ms)
            self.asked.append(Operation(at_ms, route, customer, work_ms))
            self._schedule(at_ms, self._offer, self.asked[-1])

    def _schedule(self, at_ms, action, *details):
        heapq.heappush(self._events, (at_ms, next(self._numbers), action, details))

    def _offer(self, now_ms, operation):
        self.tries += 1
        route = operation.route
        customer = str(operation.customer) if self.shape.customers else ""
        request = Request(
            0,
            now_ms + route.timeout_ms,
            now_ms + route.target_ms,
            route.priority,
            customer,
            kind=route,
        )
        self._apply(now_ms, self.queue.release_overdue(now_ms))
        decision = self.queue.offer(request, now_ms)
        self._operations[decision.ticket.ticket_id] = operation
        self._schedule(request.deadline_ms, self._time_out, decision.ticket)
        self._apply(now_ms, [decision])

    def _apply(self, now_ms, decisions):
        for decision in decisions:
            operation = self._operations[decision.ticket.ticket_id]
            if isinstance(decision, Refused):
                self._retry(now_ms, operation, decision.retry_after_ms)
            elif isinstance(decision, Admitted):
                self._start(now_ms, decision.ticket, operation)

    def _start(self, now_ms, ticket, operation):
        ends_ms = max(now_ms, heapq.heappop(self._slots_free_ms)) + operation.work_ms
        heapq.heappush(self._slots_free_ms, ends_ms)
        held_ms = ends_ms - now_ms if ends_ms <= ticket.deadline_ms else None
        at_ms = min(ends_ms, ticket.deadline_ms)
        self._schedule(at_ms, self._end, ticket, operation, held_ms)

    def _end(self, now_ms, ticket, operation, held_ms):
        if held_ms is None:
            free_ms = max(now_ms, heapq.heappop(self._slots_free_ms))
            heapq.heappush(self._slots_free_ms, free_ms + CONNECT_MS)
            self._retry(now_ms, operation, 0)
        else:
            self.useful_ms += operation.work_ms * (now_ms <= DURATION_MS)
            self.done.append((operation, now_ms - operation.began_ms))
        self._apply(now_ms, self.queue.finish(ticket, held_ms, now_ms))

    def _time_out(self, now_ms, ticket):
        if self.queue.withdraw(ticket):
            self._retry(now_ms, self._operations[ticket.ticket_id], 0)

    def _retry(self, now_ms, operation, retry_after_ms):
        at_ms = now_ms + max(50, retry_after_ms)
        is_patient = at_ms < operation.began_ms + operation.route.budget_ms
        if operation.tries < MAX_TRIES and is_patient:
            retry = operation._replace(tries=operation.tries + 1)
            self._schedule(at_ms, self._offer, retry)

    def figures(self):
        """Return the figures of a row of the table, without the recovery."""
        on_time = [took_ms <= o.route.target_ms for o, took_ms in self.done]
        row = [
            self.useful_ms / (self.shape.slots * DURATION_MS),
            sum(on_time) / len(self.asked),
            self.jain(),
            self.tries / max(1, len(self.done)),
        ]
        for priority in sorted({route.priority for route in self.shape.routes}):
            asked = sum(o.route.priority == priority for o in self.asked)
            took = sorted(ms for o, ms in self.done if o.route.priority == priority)
            row.append(len(took) / asked)
            row += [took[int(q * len(took))] if took else math.nan for q in (0.5, 0.99)]
        return row

    def jain(self):
        """Return Jain's index of the served shares of the customers' usual load."""
        usual = Counter(operation.customer for operation in self.asked)
        done = Counter(operation.customer for operation, _ in self.done)
        usual[HOT_CUSTOMER] /= self.shape.hot_factor
        shares = [min(1, done[each] / count) for each, count in usual.items() if count]
        return sum(shares) ** 2 / len(shares) / sum(share**2 for share in shares)

    def recovery_ms(self, priority):
        """Return how long after a burst newcomers are refused at their first try."""
        arrived, first_try = (
            Counter(
                int(o.began_ms // WINDOW_MS)
                for o in operations
                if o.route.priority == priority
            )
            for operations in (self.asked, [o for o, _ in self.done if o.tries == 1])
        )
        start, end = 2 * BURST_MS // WINDOW_MS, DURATION_MS // WINDOW_MS - 4
        overloaded = [
            window + 1 - start
            for window in range(start, end)
            if first_try[window] < RECOVERED_SHARE * arrived[window]
        ]
        return WINDOW_MS * max(overloaded, default=0)


def policies(slots):
    """Return a constructor of each queue that is compared, by name."""
    creators = {
        "first come": lambda: FirstCome(slots),
        "present": lambda: Present(slots, MAX_QUEUED),
        "scheduler": lambda: Scheduler(MAX_QUEUED, SlotTable(slots)),
    }
    for name in Rules._fields:
        rules = Rules(**{name: False})
        creators[f"without {name}"] = lambda rules=rules: Scheduler(
            MAX_QUEUED, SlotTable(slots), rules
        )
    return creators


@app.default
def main(seeds: int = 3):
    """Print a Markdown table for each shape, means over the seeds."""
    for title, shape in SHAPES.items():
        priorities = sorted({route.priority for route in shape.routes})
        titles = "".join(f" {p}: served | p50 | p99 |" for p in priorities)
        print(
            f"\n{title}\n\n| queue | load | goodput | on time | Jain | tries |{titles}"
        )
        print("|" + " --- |" * (6 + 3 * len(priorities)))
        for name, create in policies(shape.slots).items():
            for load in shape.loads:
                rows = [
                    Run(shape, load, create(), seed=seed).figures()
                    for seed in range(1, seeds + 1)
                ]
                means = [fmean(column) for column in zip(*rows, strict=True)]
                text = " | ".join(f"{v:.3f}" if v < 9 else f"{v:.0f}" for v in means)
                print(f"| {name} | {load:g} | {text} |")
            if shape.has_burst:
                times_ms = [
                    fmean(
                        Run(shape, 0.8, create(), True, seed).recovery_ms(priority)
                        for seed in range(1, seeds + 1)
                    )
                    for priority in priorities
                ]
                print(f"| {name} | burst | recovers after {times_ms} ms |")


if __name__ == "__main__":
    app()
