"""Inject every fault at every step, and pairs of faults chosen with a fixed seed.

Guards against violated guarantees to callers, and against a fleet that does not
recover.
"""

import itertools
import random

import anyio
import pytest

from bronzescale_standins.matrix import FAULTS, OPERATIONS_BY_STEP, run_cell

PAIR_SEED = 20261204
PAIRS = random.Random(PAIR_SEED).sample(
    [
        (pair, step)
        for pair in itertools.combinations(FAULTS, 2)
        for step in OPERATIONS_BY_STEP
        # These two pause the logs of the same replicas but resume them separately.
        if set(pair) != {"replica_behind", "no_majority"}
    ],
    18,
)


@pytest.mark.parametrize("step", OPERATIONS_BY_STEP)
@pytest.mark.parametrize("fault", FAULTS)
def test_fault_at_step(fault, step):
    report = anyio.run(run_cell, (fault,), step)
    assert report.violations == []
    assert report.outcomes.get("acknowledged", 0) > 0


@pytest.mark.parametrize(("pair", "step"), PAIRS, ids=str)
def test_pair_at_step(pair, step):
    report = anyio.run(run_cell, pair, step)
    assert report.violations == []
    assert report.outcomes.get("acknowledged", 0) > 0
