"""Writers whose acknowledged commits must survive, and the check that they do."""

import asyncio
import time

from fleet import Consumer

WRITERS = 24
# Consumers come back later after an error.
PAUSE_S = 0.01
BACKOFF_S = 0.1
RECONNECT_S = 0.2


class Writers:
    """Consumers that send single writes to a primary route.

    Parameters
    ----------
    fleet : Fleet
        The deployment.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._tasks = []
        # Time of the acknowledgement and request id.
        self.acknowledged = []

    def start(self):
        """Begin to write."""
        self._tasks = [
            asyncio.create_task(self._write_on(number)) for number in range(WRITERS)
        ]

    def stop(self):
        """Send nothing more."""
        for task in self._tasks:
            task.cancel()

    async def _write_on(self, number):
        machines = self._fleet.machines
        consumer = None
        count = 0
        while True:
            count += 1
            if consumer is None:
                machine = machines[(number + count) % len(machines)]
                consumer = await Consumer.connect(machine, "confirm")
                if consumer is None:
                    await asyncio.sleep(RECONNECT_S)
                    continue
            request_id, answer = await consumer.query(f"WRITE i{number} v{count}")
            if answer is None:
                consumer = None
            elif answer.code == "DONE":
                self.acknowledged.append((time.monotonic(), request_id))
            else:
                await asyncio.sleep(BACKOFF_S)
            await asyncio.sleep(PAUSE_S)

    def judge(self):
        """Return 1 if a promoted database lacks an acknowledged commit, else 0.

        2 if nothing was acknowledged or promoted, so that nothing was shown.
        """
        fleet = self._fleet
        if not self.acknowledged or not fleet.group.promotions:
            return 2
        lost = 0
        for at_s, name, log in fleet.group.promotions:
            held = {entry.request_id for entry in log}
            before = [request for time_s, request in self.acknowledged if time_s < at_s]
            missing = [request for request in before if request not in held]
            fleet.record.write(
                "judged",
                promoted=name,
                acknowledged_before=len(before),
                missing=len(missing),
                first_missing=missing[:10],
            )
            lost += len(missing)
        total = len(self.acknowledged)
        promotions = len(fleet.group.promotions)
        fleet.record.write("result", acknowledged=total, lost=lost)
        print(f"{total} acknowledged, {promotions} promoted, {lost} lost thereby")
        return 1 if lost else 0
