"""RECOVER, CONFIG: a valid config has a route whose reads may be two days old."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import CONFIG_APPLY_S, RECOVERY_S, RESTART_DELAY_S, Caller, play

TWO_DAYS_MS = 172_800_000
HALF_A_DAY_MS = 43_200_000


async def ask(deployment, node, database):
    """Read once; return whether it was served and the error otherwise."""
    try:
        caller = await Caller.connect(deployment, node, database)
    except ConnectionError as error:
        return False, str(error)
    answer = await caller.query("READ 1a4")
    caller.close()
    return answer.is_done, answer.code


async def ask_all(deployment, databases, seconds):
    """Send reads for some seconds; return how many and how many served."""
    asked = served = 0
    loop = asyncio.get_running_loop()
    until_s = loop.time() + seconds
    while loop.time() < until_s:
        for node in deployment.nodes:
            for database in databases:
                is_done, _ = await ask(deployment, node, database)
                asked += 1
                served += is_done
        await asyncio.sleep(0.1)
    return asked, served


async def scenario(deployment, is_troubled):
    """Play the case."""
    deployment.add_database(1, "a")
    deployment.add_database(2, "b")
    deployment.add_database(3, "c", one_way_s=0.03)
    lead = deployment.route("lead", "primary")
    aged = deployment.route("aged", "bounded_staleness")
    dropped = deployment.route("old", "primary")
    deployment.configure(7, [lead, aged, dropped])
    await deployment.start()
    await asyncio.sleep(1)
    asked, served = await ask_all(deployment, ("lead", "aged", "old"), 3)
    deployment.record.write("share before", served / asked, asked=asked, served=served)
    if served < asked / 4:
        return ["less than a quarter was served before the disruption"]
    age_ms = TWO_DAYS_MS if is_troubled else HALF_A_DAY_MS
    added = deployment.route(
        "archive", "bounded_staleness", max_staleness_ms=age_ms, timeout_ms=2_000
    )
    findings = []
    deployment.configure(11, [lead, aged, added])
    await asyncio.sleep(CONFIG_APPLY_S + 1)
    for node in deployment.nodes:
        is_done, _ = await ask(deployment, node, "old")
        if is_done:
            findings.append(f"CONFIG: {node.name} runs a request of the dropped route")
        is_done, error = await ask(deployment, node, "archive")
        if not is_done and error.startswith("ERROR NODB"):
            findings.append(f"CONFIG: {node.name} refuses the added route: {error}")
    # The last fault of the day, right after another version was acknowledged.
    deployment.configure(14, [{**lead, "timeout_ms": 900}, aged, added])
    if is_troubled:
        for node in deployment.nodes:
            node.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        for node in deployment.nodes:
            node.start()
    await asyncio.sleep(RECOVERY_S + 2)
    asked, served = await ask_all(deployment, ("lead", "aged", "archive"), 15)
    deployment.record.write("share after", served / asked, asked=asked, served=served)
    if served < asked / 4:
        findings.append(
            f"RECOVER: {served} of {asked} requests served that were sent later than "
            f"{RECOVERY_S} s after the machines were back"
        )
    return findings


play(__file__, scenario)
