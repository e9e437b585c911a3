"""Run one case: a small deployment with its stand-ins, and a verdict."""

import asyncio
import os
import sys
import traceback
from contextlib import suppress
from pathlib import Path

from standins.consumer import Balancer
from standins.database import Group
from standins.fleet import Fleet, find_network
from standins.platform import Platform
from standins.record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
SERVICE = "bookings-db"
# The kinds of request of the site rmtb-sh, by the name of their database.
ROUTES = [
    {
        "name": "r-load-confirm",
        "host": "load_confirm",
        "service": SERVICE,
        "type": "primary",
        "timeout_ms": 800,
        "slo_ms": 800,
        "priority": 1,
    },
    {
        "name": "r-cab-manifest",
        "host": "cab_manifest",
        "service": SERVICE,
        "type": "bounded_staleness",
        "max_staleness_ms": 1_500,
        "timeout_ms": 2_000,
        "slo_ms": 1_200,
        "priority": 2,
    },
    {
        "name": "r-permit-check",
        "host": "permit_check",
        "service": SERVICE,
        "type": "read_your_writes",
        "max_staleness_ms": 2_500,
        "timeout_ms": 800,
        "slo_ms": 1_500,
        "priority": 2,
    },
]
DATABASE_ZONES = ("st-hyacinthe", "rimouski", "granby")


class CaseError(Exception):
    """The case could not run."""


class Deployment:
    """A small deployment that runs.

    Parameters
    ----------
    record : Record
        The record of the case.
    zones : list of str
        Zone of each machine.
    group_options : dict
        Options of the databases.
    """

    def __init__(self, record, zones, **group_options):
        self.record = record
        self.prefix = find_network()
        self.group = Group(SERVICE, record, **group_options)
        for number, zone in enumerate(DATABASE_ZONES, 1):
            name = f"i-{os.urandom(4).hex()}"
            self.group.add(name, zone, f"{self.prefix}.{200 + number}")
        self.platform = Platform(f"{self.prefix}.250", self.group, record)
        self.version = 17
        self._zones = zones
        self.fleet = None
        self.balancer = None
        self.tasks = []

    def configure(self, routes=ROUTES, tx_idle_ms=3_000):
        """Write the next version of the config."""
        self.version += 4
        services = [{"name": SERVICE, "max_conns": self.group.max_conns}]
        return self.platform.configure(self.version, routes, services, tx_idle_ms)

    async def start(self):
        """Start databases, store and machines."""
        for database in self.group.databases.values():
            await database.start()
        await self.platform.start()
        self.configure()
        self.run_task(self.platform.register_databases())
        self.run_task(self.group.replicate())
        self.fleet = Fleet(self.platform, self.record, self.prefix, self._zones)
        self.fleet.__enter__()
        await self.fleet.start()
        self.balancer = Balancer(self.fleet.machines, self.record)
        self.run_task(self.balancer.run())

    def run_task(self, coroutine):
        """Run a coroutine until the deployment ends."""
        self.tasks.append(asyncio.create_task(coroutine))
        return self.tasks[-1]

    async def stop(self):
        """End every process and task."""
        for task in self.tasks:
            task.cancel()
        for task in self.tasks:
            with suppress(asyncio.CancelledError, Exception):
                await task
        if self.fleet is not None:
            self._keep_logs()
            self.fleet.__exit__(None, None, None)

    def _keep_logs(self):
        folder = os.environ.get("KEEP_LOGS")
        if folder:
            for path in self.fleet.folder.glob("*.log"):
                Path(folder, path.name).write_bytes(path.read_bytes())


def run(case_file, build, play):
    """Run a case and exit with its verdict.

    Parameters
    ----------
    case_file : str
        File of the case; its folder gets the record.
    build : callable
        Takes the record and returns a `Deployment`.
    play : callable
        ``async (deployment, is_disturbed)``; returns the breaks that were seen, as
        texts, and raises `CaseError` if the case could not run.
    """
    record = Record(Path(case_file).resolve().parent / "record.txt")
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    try:
        breaks = asyncio.run(_play(record, build, play, is_disturbed))
    except Exception as error:
        traceback.print_exc()
        record.add("not_run", reason=repr(error))
        record.close()
        sys.exit(NOT_RUN)
    for text in breaks:
        record.add("broken", what=text)
        print(f"broken: {text}")
    verdict = BROKEN if breaks else HELD
    record.add("verdict", status=verdict, disturbed=is_disturbed)
    record.close()
    print("the rule was broken" if breaks else "the rule held")
    sys.exit(verdict)


async def _play(record, build, play, is_disturbed):
    deployment = build(record)
    try:
        await deployment.start()
        return await play(deployment, is_disturbed)
    finally:
        await deployment.stop()
