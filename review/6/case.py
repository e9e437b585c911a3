"""RECOVER: the primary is lost for good just before all machines lose power."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import RECOVERY_S, Caller, play

ROUTES = (
    ("lead", "primary"),
    ("aged", "bounded_staleness"),
    ("own", "read_your_writes"),
)
# Length of the loss of power; site files hold up to 2 s for many machines.
DOWN_S = 2.0
# Time from the primary's loss to the loss of power.
PRIMARY_LEAD_S = 1.0
# Age of the primary's last heartbeat when it is lost; it sends one each 1.2 s.
HEARTBEAT_AGE_S = 0.9


async def ask_all(deployment, seconds):
    """Send reads and writes for some seconds; return how many and how many served."""
    asked = served = 0
    loop = asyncio.get_running_loop()
    until_s = loop.time() + seconds

    async def one(node, database, text):
        nonlocal asked, served
        asked += 1
        try:
            caller = await Caller.connect(deployment, node, database)
        except ConnectionError:
            return
        answer = await caller.query(text)
        served += answer.is_done
        caller.close()

    tasks = []
    while loop.time() < until_s:
        for node in deployment.nodes:
            for database, _ in ROUTES:
                text = "READ 1a4" if database == "aged" else "WRITE 1a4 x"
                tasks.append(asyncio.create_task(one(node, database, text)))
        await asyncio.sleep(0.25)
    await asyncio.gather(*tasks)
    return asked, served


async def scenario(deployment, is_troubled):
    """Play the case."""
    primary = deployment.add_database(1, "a")
    deployment.add_database(2, "b")
    deployment.add_database(3, "c", one_way_s=0.03)
    routes = [deployment.route(host, kind) for host, kind in ROUTES]
    deployment.configure(7, routes)
    await deployment.start()
    await asyncio.sleep(2)
    asked, served = await ask_all(deployment, 3)
    deployment.record.write("share before", served / asked, asked=asked, served=served)
    if served < asked / 4:
        return ["less than a quarter was served before the disruption"]
    if is_troubled:
        while deployment.store.silence_s(primary.instance) < HEARTBEAT_AGE_S:
            await asyncio.sleep(0.01)
        primary.crash(is_dark=True)
        deployment.record.write("lost for good", primary.instance)
        await asyncio.sleep(PRIMARY_LEAD_S)
        for node in deployment.nodes:
            node.kill()
        await asyncio.sleep(DOWN_S)
        for node in deployment.nodes:
            node.start()
        for node in deployment.nodes:
            await node.wait_until_ready()
    await asyncio.sleep(RECOVERY_S + 1)
    asked, served = await ask_all(deployment, 10)
    deployment.record.write("share after", served / asked, asked=asked, served=served)
    if served < asked / 4:
        return [
            f"{served} of {asked} requests served that were sent later than "
            f"{RECOVERY_S} s after the machines were back"
        ]
    return []


play(__file__, scenario)
