"""Objects of the store that another program wrote, and that nobody can read.

One entry that could not be decoded used to take the whole list of databases with it, so
that no process became ready after a start (review case 2).
"""

from collections import Counter

import testtools

from bronzescale_standins.fleet.objects import RawValue
from bronzescale_standins.fleet.testing import in_loop
from bronzescale_standins.fleet.world import running_world

ENTRY = (
    b'{"service": "svc", "address": "127.0.0.1:1", "zone": "a", "state": "ready", '
    b'"db_role": "replica", "slots": %s}'
)
VALUE_BYTES = 1_048_576


def odd_address(address):
    """Return an entry that could be used but for its address."""
    return {
        "service": "svc",
        "address": address,
        "zone": "a",
        "state": "ready",
        "db_role": "replica",
        "slots": 3,
    }


NAMED_VALUES = {
    "deep": RawValue(ENTRY % (b"[" * 100_000 + b"]" * 100_000)),
    "nested": RawValue(ENTRY % (b"[" * 400 + b"]" * 400)),
    "digits": RawValue(ENTRY % (b"9" * 5_000)),
    "encoding": RawValue(ENTRY % b'"\xff\xfe"'),
    "garbage": RawValue(b"\x80\x81 unquoted"),
    "control": RawValue(ENTRY % b'"\x00"'),
    "infinite": RawValue(ENTRY % b"1e999"),
    "not a number": RawValue(ENTRY % b"NaN"),
    "negative": RawValue(ENTRY % b"-1"),
    "fraction": RawValue(ENTRY % b"2.5"),
    "too many": RawValue(ENTRY % b"9223372036854775808"),
    "born late": RawValue(ENTRY % b'3, "born": 9223372036854775808'),
    "born odd": RawValue(ENTRY % b'3, "born": 1e400'),
    "port too high": odd_address("127.0.0.1:99999"),
    "port of digits": odd_address("127.0.0.1:" + "9" * 400),
    "port zero": odd_address("127.0.0.1:0"),
    "port negative": odd_address("127.0.0.1:-1"),
    "port foreign": odd_address("127.0.0.1:\u0661\u0662"),
    "port missing": odd_address("127.0.0.1"),
    "host too high": odd_address("256.0.0.1:3306"),
    "host unknown": odd_address("nowhere:3306"),
    "largest": RawValue(ENTRY % (b'"' + b"x" * (VALUE_BYTES - 200) + b'"')),
    "missing": {"service": "svc"},
    "type": {"service": 5, "address": [], "zone": None, "state": {}, "slots": "3"},
    "list": [1],
    "text": "x",
    "line": {
        "service": "svc\r\nQUERY x WRITE y z",
        "address": "127.0.0.1:1",
        "zone": "a",
        "state": "ready",
        "db_role": "replica",
        "slots": 3,
    },
}
SURROGATE_NAME = "half \ud800"


def put_foreign(world, kind):
    """Write one object of each unreadable form."""
    for name, value in NAMED_VALUES.items():
        world.platform.put(kind, name, value)
    world.platform.put(kind, SURROGATE_NAME, {"service": "svc"})


async def restart_all(world):
    """Kill every node, then start all and wait until each is ready."""
    for member in world.members:
        member.kill()
        await member.ended.wait()
        member.process = None
    for member in world.members:
        member.log.lines.clear()
        world.start_member(member)
    await world.wait_until_ready()


class ForeignEntryTest(testtools.TestCase):
    async def check_served(self, world):
        """Check that every node uses every database that is readable."""
        for member in world.members:
            known = {copy.instance for copy in member.process.node.catalog.all()}
            self.assertEqual({"d1", "d2", "d3"}, known)
            caller = await member.caller("own")
            for text in ("WRITE x 1", "READ x"):
                self.assertEqual("DONE", (await caller.query(text)).code)

    def check_reported_once(self, world, kind):
        for member in world.members:
            reported = Counter(
                (event["kind"], event["name"], event["revision"])
                for event in member.log.events("object_unreadable")
            )
            self.assertEqual({1}, set(reported.values()))
            names = {name for each_kind, name, _ in reported if each_kind == kind}
            self.assertLessEqual(set(NAMED_VALUES), names)
            self.assertEqual(len(NAMED_VALUES) + 1, len(names), names)
            self.assertEqual([], member.log.events("task_failed"))

    @in_loop
    async def test_every_process_becomes_ready_beside_unreadable_databases(self):
        async with running_world() as world:
            put_foreign(world, "servers")
            await restart_all(world)
            await self.check_served(world)
            self.check_reported_once(world, "upstreams")

    @in_loop
    async def test_every_process_becomes_ready_beside_unreadable_own_objects(self):
        for kind, path in (
            ("hosts", "bronzescale-hosts"),
            ("groups", "bronzescale-groups"),
        ):
            async with running_world() as world:
                put_foreign(world, path)
                await restart_all(world)
                await self.check_served(world)
                self.check_reported_once(world, kind)

    # Guards against processes that end, or that stop following the list of databases,
    # since another program left one odd entry in it.
    @in_loop
    async def test_running_processes_follow_databases_beside_each_odd_entry(self):
        for name, value in NAMED_VALUES.items():
            async with running_world() as world:
                processes = [member.process for member in world.members]
                world.platform.put("servers", name, value)
                database = world.group.databases["d2"]
                database.is_leaving = True
                world.register(database)
                await world.wait_until(
                    lambda: all(  # noqa: B023
                        process.node.catalog.find("d2").is_leaving
                        for process in processes  # noqa: B023
                    ),
                    4,
                )
                await self.check_served(world)
                for member in world.members:
                    self.assertEqual([], member.log.events("task_failed"), name)
                    reported = member.log.events("object_unreadable")
                    self.assertEqual([name], [event["name"] for event in reported])

    @in_loop
    async def test_watch_brings_other_changes_beside_an_unreadable_one(self):
        async with running_world() as world:
            put_foreign(world, "servers")
            world.group.databases["d2"].is_leaving = True
            catalogs = [member.process.node.catalog for member in world.members]
            await world.wait_until(
                lambda: all(catalog.find("d2").is_leaving for catalog in catalogs)
            )
            await self.check_served(world)

    @in_loop
    async def test_database_whose_entry_becomes_unreadable_is_not_used(self):
        async with running_world() as world:
            world.sends_heartbeats = False
            world.platform.put("servers", "d3", NAMED_VALUES["digits"])
            catalogs = [member.process.node.catalog for member in world.members]
            await world.wait_until(
                lambda: all(catalog.find("d3") is None for catalog in catalogs)
            )
            world.register(world.group.databases["d3"])
            await world.wait_until(lambda: all(c.find("d3") for c in catalogs))

    @in_loop
    async def test_unreadable_configuration_leaves_the_known_one_in_force(self):
        async with running_world() as world:
            known = world.members[0].process.node.configuration
            world.platform.put("config", "main", NAMED_VALUES["digits"])
            await world.wait_until(
                lambda: all(m.log.events("object_unreadable") for m in world.members)
            )
            for member in world.members:
                self.assertEqual(known, member.process.node.configuration)
            world.configure()
            await world.wait_until(
                lambda: all(
                    member.process.node.configuration.version == world.version
                    for member in world.members
                )
            )


class UnreadableSettingsTest(testtools.TestCase):
    @in_loop
    async def test_settings_stay_if_the_file_cannot_be_read_at_a_reload(self):
        async with running_world(nodes=1) as world:
            (member,) = world.members
            process = member.process
            for error in (FileNotFoundError("no file"), UnicodeDecodeError):
                process._adapter = process._adapter._replace(reload=fail_with(error))
                process._reload()
            self.assertEqual(2, len(member.log.events("settings_unreadable")))
            caller = await member.caller("own")
            self.assertTrue((await caller.query("READ x")).is_done)


def fail_with(error):
    def reload():
        if error is UnicodeDecodeError:
            b"\xff".decode()
        raise error

    return reload
