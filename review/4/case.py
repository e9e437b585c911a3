"""One machine is stopped while consumers are in the middle of transactions."""

import asyncio
import signal

from standins.consumer import ConnectionLostError, Consumer
from standins.scenario import CaseError, Deployment, run

ZONES = ["st-hyacinthe", "granby", "rimouski"]
# A read of `cab-manifest` takes 30 ms on average and 220 ms at most.
WORK_S = 0.2
PAUSE_S = 0.15
STATEMENTS = 12
CONSUMERS = 6
# Times after the SIGTERM at which the consumers begin their transactions.
BEGIN_AFTER_S = [1.75 + 0.06 * number for number in range(CONSUMERS)]
GRACE_S = 6.0
# A request that was sent no later is excused while its database is at work.
EXCUSED_S = 3.0
# `timeout_ms` of the route.
TIMEOUT_S = 2.0


def build(record):
    """Return three machines, one in each zone."""
    return Deployment(record, ZONES, work_s=WORK_S)


async def _consume(consumer, delay_s):
    """Run one transaction of reads, with pauses between them."""
    await asyncio.sleep(delay_s)
    try:
        await consumer.query("BEGIN READ")
        for number in range(STATEMENTS - 2):
            await asyncio.sleep(PAUSE_S)
            await consumer.query(f"READ load-{number}")
        await consumer.query("COMMIT")
    except ConnectionLostError:
        pass
    finally:
        consumer.close()


async def play(deployment, is_disturbed):
    """Stop the machine that the consumers are connected to."""
    machine = deployment.fleet.machines[0]
    consumers = []
    await asyncio.sleep(2.0)
    for number in range(CONSUMERS):
        consumer = Consumer(f"c{number}", deployment.record)
        if not await consumer.connect(machine.front, "cab_manifest"):
            raise CaseError("a consumer got no session")
        if not (await consumer.query("READ load-0")).is_done:
            raise CaseError("a read was not served")
        consumers.append(consumer)
    # Nothing else disturbs the deployment in the last `stability_ms`.
    await asyncio.sleep(5.0)
    if is_disturbed:
        machine.send_signal(signal.SIGTERM)
    running = [
        asyncio.create_task(_consume(consumer, delay_s))
        for consumer, delay_s in zip(consumers, BEGIN_AFTER_S, strict=True)
    ]
    if is_disturbed and not await machine.wait_for_end(GRACE_S):
        machine.kill()
    await asyncio.gather(*running)
    # What still runs at the databases is written down.
    await asyncio.sleep(0.5)
    return find_breaks(deployment.record)


def find_breaks(record):
    """Return the requests that the stopping machine passed on and cut off."""
    sent = {event["id"]: event for event in record.find("sent")}
    ran = {
        event["id"]: event
        for event in record.events
        if event["kind"] in ("read", "commit")
    }
    breaks = []
    for stop in record.find("signal", signal="SIGTERM"):
        for cut in record.find("cut"):
            after_s = sent[cut["id"]]["at_s"] - stop["at_s"]
            is_excused = after_s <= EXCUSED_S or cut["after_s"] >= TIMEOUT_S
            if after_s > GRACE_S + 1 or is_excused or cut["id"] not in ran:
                continue
            breaks.append(
                f"LOST: {cut['id']} of {cut['consumer']} was sent {after_s:.2f} s "
                f"after the SIGTERM, ran at {ran[cut['id']]['database']}, and its "
                f"connection ended {cut['after_s']} s later without an answer"
            )
    return breaks


if __name__ == "__main__":
    run(__file__, build, play)
