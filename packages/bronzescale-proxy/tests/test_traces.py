"""Recorded traces replay through the shipped core with the expected outcomes."""

import json
from pathlib import Path

import anyio
import pytest

from bronzescale_core.groups import GroupState, Phase
from bronzescale_standins.replay import replay
from bronzescale_standins.standin_fleet import StandinFleet, run_query

TRACES = Path(__file__).parent / "traces"
EXPECTED_OUTCOMES = {
    "dead-primary": (2, "db-0-c", Phase.ACTIVE),
    "planned-change": (2, "db-0-b", Phase.ACTIVE),
}
UPSTREAMS = ("db-0-a", "db-0-b", "db-0-c")


@pytest.mark.parametrize("name", EXPECTED_OUTCOMES)
def test_recorded_trace_has_the_expected_outcome(name):
    path = TRACES / f"{name}.jsonl"
    lines = path.read_text().splitlines()
    header = json.loads(lines[0])
    state = GroupState("service-0", 1, "db-0-a", version=header["version"])
    machine, differences = replay(
        lines[1:], header["node"], header["zone"], UPSTREAMS, state, header["rank"]
    )
    assert differences == []
    state = machine.state
    assert (state.term, state.primary, state.phase) == EXPECTED_OUTCOMES[name]


def test_live_fleet_records_a_trace_that_replays(tmp_path):
    async def main():
        async with StandinFleet() as fleet:
            for zone in "abc":
                trace_path = str(tmp_path / f"{zone}.jsonl")
                await fleet.start_proxy(f"p-{zone}", zone, trace_path=trace_path)
            await fleet.settle()
            connection = await fleet.connect("p-b")
            await run_query(connection, "CREATE TABLE t (id INT PRIMARY KEY)")
            version = fleet.platform.get("group", "service-0")["version"]
            fleet.servers["db-0-a"].stop()
            await run_query(connection, "INSERT INTO t VALUES (1)")
            return version

    version = anyio.run(main)
    replayed = 0
    for zone in "abc":
        lines = (tmp_path / f"{zone}.jsonl").read_text().splitlines()
        state = GroupState("service-0", 1, "db-0-a", version=version)
        for rank in range(3):
            machine, differences = replay(
                lines, f"p-{zone}", zone, UPSTREAMS, state, rank
            )
            if not differences:
                replayed += 1
                assert machine.state.term == 2
                break
    assert replayed == 3
