"""Spread the reads of many hosts over databases of which none is clearly free.

The load that this answers: 80 hosts hear within a moment that one database is a little
less loaded than the next. If each took the best one, all would turn to it together and
back again at the next report. Each host draws instead, the likelier the sooner a
database is expected to answer, so that their sum follows the load without swinging.
"""

import math
from bisect import bisect
from itertools import accumulate

# Difference of the expected times at which a database is drawn about a third as often:
# the time of a typical read, which is how far reports of different hosts differ.
SPREAD_MS = 25.0


def draw_first(costs_ms, weights, draw):
    """Draw the database to try first.

    Parameters
    ----------
    costs_ms : sequence of float
        Expected time until each database answers.
    weights : sequence of float
        Relative capacity of each database, such as its slots.
    draw : callable
        Returns a random number from 0 to below 1.

    Returns
    -------
    int
        Index of the database.
    """
    least_ms = min(costs_ms)
    chances = (
        weight * math.exp((least_ms - cost_ms) / SPREAD_MS)
        for cost_ms, weight in zip(costs_ms, weights, strict=True)
    )
    bounds = list(accumulate(chances))
    return bisect(bounds, draw() * bounds[-1], 0, len(bounds) - 1)
