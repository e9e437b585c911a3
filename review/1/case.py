"""A process is killed and restarted while a consumer of another one pauses."""

import asyncio

from standins.consumer import ConnectionLostError, Consumer
from standins.scenario import CaseError, Deployment, run

ZONES = ["st-hyacinthe", "granby", "rimouski"]
# The site file lets processes that are killed stay down for 1.2 s.
RESTART_DELAY_S = 1.2


def build(record):
    """Return three machines, one in each zone."""
    return Deployment(record, ZONES)


async def _query(consumer, text):
    try:
        return await consumer.query(text)
    except ConnectionLostError:
        return None


async def play(deployment, is_disturbed):
    """Let two consumers write in transactions, one after the other."""
    near, far, _ = deployment.fleet.machines
    first = Consumer("first", deployment.record)
    second = Consumer("second", deployment.record)
    # Machines learn of each other before the first transaction.
    await asyncio.sleep(3.0)
    if not await first.connect(far.front, "load_confirm"):
        raise CaseError("the first consumer got no session")
    for text in ("BEGIN", "WRITE truck-1 first"):
        answer = await _query(first, text)
        if answer is None or not answer.is_done:
            raise CaseError(f"{text} was not served")
    if is_disturbed:
        near.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        near.start()
        await deployment.fleet.wait_until_ready([near], 10.0)
    if not await second.connect(near.front, "load_confirm"):
        raise CaseError("the second consumer got no session")
    for text in ("BEGIN", "WRITE truck-2 second"):
        answer = await _query(second, text)
        if answer is None or not answer.is_done:
            raise CaseError(f"{text} was not served")
    await _query(first, "COMMIT")
    await asyncio.sleep(0.3)
    # The second consumer changes its mind.
    await _query(second, "ROLLBACK")
    await asyncio.sleep(0.3)
    return find_breaks(deployment.record)


def find_breaks(record):
    """Return the transactions that mix requests of the two consumers."""
    senders = {event["id"]: event["consumer"] for event in record.find("sent")}
    owners = {}
    breaks = []
    for event in record.events:
        if event["kind"] not in ("read", "write", "commit"):
            continue
        sender = senders.get(event["id"])
        if sender is None:
            breaks.append(f"UNASKED: no consumer sent {event['id']}")
            continue
        transaction = event["transaction"]
        if transaction is None:
            continue
        owner = owners.setdefault(transaction, sender)
        if owner == sender:
            continue
        breaks.append(
            f"PINNED: {event['text']!r} of {sender} ran in transaction {transaction} "
            f"of {owner}"
        )
        if event["kind"] == "commit":
            breaks.append(
                f"UNASKED: transaction {transaction} of {owner} was committed with "
                f"{event['writes']}, and {owner} has not asked for it"
            )
    return breaks


if __name__ == "__main__":
    run(__file__, build, play)
