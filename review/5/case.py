"""A consumer sets a session value between two statements of a transaction."""

import asyncio

from standins.consumer import Consumer
from standins.scenario import CaseError, Deployment, run

ZONES = ["st-hyacinthe", "granby", "rimouski"]


def build(record):
    """Return three machines, one in each zone."""
    return Deployment(record, ZONES)


async def _query(consumer, text):
    answer = await consumer.query(text)
    if not answer.is_done:
        raise CaseError(f"{text} was answered with {answer.code} {answer.text}")


async def play(deployment, is_disturbed):
    """Run one transaction on each machine."""
    await asyncio.sleep(3.0)
    for number, machine in enumerate(deployment.fleet.machines):
        consumer = Consumer(f"c{number}", deployment.record)
        if not await consumer.connect(machine.front, "load_confirm"):
            raise CaseError("a consumer got no session")
        await _query(consumer, "SET tenant one")
        if not is_disturbed:
            await _query(consumer, "SET tenant two")
        await _query(consumer, "BEGIN")
        await _query(consumer, f"READ truck-{number}")
        if is_disturbed:
            await _query(consumer, "SET tenant two")
        await _query(consumer, f"WRITE truck-{number} booked")
        await _query(consumer, "COMMIT")
        consumer.close()
    return find_breaks(deployment.record)


def find_breaks(record):
    """Return the statements that ran with other values than were acknowledged."""
    consumers = {}
    acknowledged = {}
    expected = {}
    breaks = []
    for event in record.events:
        if event["kind"] == "sent":
            consumers[event["id"]] = event["consumer"]
            expected[event["id"]] = dict(acknowledged.get(event["consumer"], {}))
        elif event["kind"] == "answered" and event["text"].startswith("SET "):
            _, name, value = event["text"].split(" ", 2)
            if event["code"] == "DONE":
                acknowledged.setdefault(event["consumer"], {})[name] = value
        elif event["kind"] in ("read", "write"):
            values = expected.get(event["id"])
            if values is not None and values != event["values"]:
                breaks.append(
                    f"PINNED: {event['text']!r} of {consumers[event['id']]} ran with "
                    f"{event['values']}, acknowledged was {values}"
                )
    return breaks


if __name__ == "__main__":
    run(__file__, build, play)
