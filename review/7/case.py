"""LOST: a primary crashes while the replica that holds its newest commits drains."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import Caller, play

WRITERS = 12
# Time from the drain of the replica to the crash of the primary.
DRAINING_S = 2.0


async def write_until(deployment, node, ends, acknowledged):
    """Send single writes, each with its own id, until told to end."""
    caller = None
    while not ends.is_set():
        try:
            if caller is None:
                caller = await Caller.connect(deployment, node, "lead")
        except ConnectionError:
            await asyncio.sleep(0.1)
            continue
        number = next(deployment.write_numbers)
        request_id = f"w{number}"
        answer = await caller.query(f"WRITE {number:x} x", request_id=request_id)
        if answer.is_done:
            acknowledged.append(request_id)
        elif not answer.code:
            caller.close()
            caller = None
        else:
            await asyncio.sleep(0.1)


async def scenario(deployment, is_troubled):
    """Play the case."""
    primary = deployment.add_database(1, "a")
    near = deployment.add_database(2, "b", one_way_s=0.001)
    deployment.add_database(3, "c", one_way_s=0.03)
    deployment.configure(7, [deployment.route("lead", "primary")])
    await deployment.start()
    await asyncio.sleep(2)
    ends = asyncio.Event()
    acknowledged = []
    writers = [
        asyncio.create_task(
            write_until(
                deployment,
                deployment.nodes[number % len(deployment.nodes)],
                ends,
                acknowledged,
            )
        )
        for number in range(WRITERS)
    ]
    await asyncio.sleep(2)
    if is_troubled and os.environ.get("ONLY") != "crash":
        near.state = "draining"
        deployment.record.write("draining", near.instance)
    await asyncio.sleep(DRAINING_S)
    if is_troubled:
        # Right after a caller has received an acknowledgement.
        count = len(acknowledged)
        while len(acknowledged) == count:
            await asyncio.sleep(0)
        primary.crash()
        deployment.record.write("crash", primary.instance, log=primary.position())
    for _ in range(80):
        await asyncio.sleep(0.1)
        if deployment.group.promotions:
            break
    promotions = list(deployment.group.promotions)
    ends.set()
    await asyncio.gather(*writers)
    findings = []
    if is_troubled and not promotions:
        findings.append("no database was promoted within 8 s")
    for instance, logs in promotions:
        # The promoted database itself acknowledged what only its log of now holds.
        held = logs[instance] | deployment.group.databases[instance].request_ids()
        lost = [name for name in acknowledged if name not in held]
        kept = sum(name in logs[near.instance] for name in lost)
        deployment.record.write("lost", instance, requests=lost, in_draining=kept)
        if lost:
            findings.append(
                f"{len(lost)} acknowledged commits are not in the log of {instance}, "
                f"which was promoted; {near.instance} held {kept} of them then"
            )
    return findings


play(__file__, scenario, sync_replicas=1)
