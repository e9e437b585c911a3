"""Demonstrate session consistency and failover on one machine (``make demo``)."""

import sys
import time
from pathlib import Path

import anyio
import asyncmy
import cyclopts
from asyncmy import errors

from bronzescale_standins.processes import FleetOptions, ProcessFleet
from bronzescale_standins.standin_fleet import run_query

READ_COUNT = 400
READS_PER_WRITE = 20
REPLICATION_LAG_MS = 100.0
# The demo fails if the failover takes longer.
MAX_FAILOVER_GAP_S = 7.0

app = cyclopts.App(
    name="demo", help="Show reads of own writes on two proxies and a failover."
)


@app.default
def demo(file: Path = Path("examples/linjapartio.toml")):
    """Run the demo; fail on a stale read, a lost write or a slow failover."""
    options = FleetOptions(file, proxies=3, lag_ms=REPLICATION_LAG_MS, services=1)
    with ProcessFleet(options) as fleet:
        anyio.run(_run_demo, fleet)


async def _connect(fleet, index, service):
    host, _, port = fleet.callers()[index].rpartition(":")
    user = fleet.document["user"][0]["name"]
    return await asyncmy.connect(
        host=host, port=int(port), user=user, password="", db=service, autocommit=True
    )


async def _run_demo(fleet):
    service = fleet.document["service"][0]["name"]
    first = await _connect(fleet, 0, service)
    second = await _connect(fleet, 1, service)
    await run_query(first, "CREATE TABLE span (id INT PRIMARY KEY, state VARCHAR(40))")
    await run_query(first, "INSERT INTO span VALUES (1, 'felled')")
    print("written through proxy 0; the session reads its write:")
    print("  ", await run_query(first, "SELECT * FROM span"))
    token = (await run_query(first, "SELECT @bronzescale_token"))[0][0]
    await run_query(second, f"SET @bronzescale_token = '{token}'")
    print(f"the session moved to proxy 1 with its token {token}:")
    print("  ", await run_query(second, "SELECT * FROM span"))
    share, stale = await _measure_reads(fleet, second)
    gap_s = await _measure_gap(fleet, service, second)
    rows = await run_query(second, "SELECT state FROM span WHERE id = 1")
    print("after the primary died the session still reads its writes:")
    print("  ", rows)
    print(f"reads served by replicas: {share:.1%} at {REPLICATION_LAG_MS:g} ms lag")
    print(f"stale reads: {stale}")
    print(f"failover gap: {gap_s:.2f} s")
    first.close()
    second.close()
    if stale or gap_s > MAX_FAILOVER_GAP_S or rows[0][0] != "cleared":
        sys.exit("demo failed: stale read, lost write or slow failover; see above")


async def _measure_reads(fleet, connection):
    """Read and write in turn; return the share of replica reads and the stale reads."""
    before = _read_counts(fleet)
    stale = 0
    value = 0
    await run_query(connection, "INSERT INTO span VALUES (2, '0')")
    for index in range(READ_COUNT):
        if index % READS_PER_WRITE == 0:
            value += 1
            await run_query(
                connection, f"UPDATE span SET state = '{value}' WHERE id = 2"
            )
        rows = await run_query(connection, "SELECT state FROM span WHERE id = 2")
        stale += rows[0][0] != str(value)
    replica, primary = (
        after - start for after, start in zip(_read_counts(fleet), before, strict=True)
    )
    return replica / (replica + primary), stale


def _read_counts(fleet):
    counters = [fleet.dump(name)["counters"] for name in fleet.proxies]
    names = ("read.replica", "read.primary")
    return [sum(counter.get(name, 0) for counter in counters) for name in names]


async def _measure_gap(fleet, service, connection):
    """Kill the primary; return the time between two acknowledged writes."""
    copies = fleet.copies(service)
    primary = next(name for name, c in copies.items() if c["role"] == "primary")
    await run_query(connection, "UPDATE span SET state = 'cutting' WHERE id = 1")
    started_s = time.monotonic()
    fleet.fault(service, copies=[primary], kind="stop")
    print(f"killed the primary {primary}")
    while True:
        try:
            await run_query(
                connection, "UPDATE span SET state = 'cleared' WHERE id = 1"
            )
            return time.monotonic() - started_s
        except errors.Error as error:
            print("  refused:", error)
            await anyio.sleep(0.1)


def main():
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
