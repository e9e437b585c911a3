"""Outcomes that the checker records for writes with a request key."""

import anyio
import pytest

from bronzescale_standins.checker import Checker, _Client


def error(sqlstate):
    found = OSError("failed")
    found.sqlstate = sqlstate
    return found


@pytest.mark.parametrize(
    ("sqlstates", "outcome"),
    [
        (["HY000"] * 8, "not_run"),
        (["HY000", "40003"] + ["HY000"] * 6, "unknown"),
        (["40003", None], "acknowledged"),
    ],
)
def test_outcome_of_a_keyed_write(monkeypatch, sqlstates, outcome):
    checker = Checker()
    client = _Client(checker, [1], 1)
    pending = iter(sqlstates)

    async def run_query(sql):
        if sql.startswith("INSERT"):
            sqlstate = next(pending)
            if sqlstate is not None:
                raise error(sqlstate)

    async def sleep(seconds):
        return None

    monkeypatch.setattr(client, "_run_query", run_query)
    monkeypatch.setattr(anyio, "sleep", sleep)
    anyio.run(client.keyed)
    assert [result.outcome for result in checker.write_results] == [outcome]
