"""Open transactions while the process or the database that holds them starts again."""

import anyio
import testtools

from bronzescale_core.transaction_ids import START_BITS, TransactionIds
from bronzescale_standins.fleet.database_session import DatabaseSession
from bronzescale_standins.fleet.testing import in_loop, primary_of
from bronzescale_standins.fleet.world import running_world


def split_members(world):
    """Return the member that owns the primary's connections, and another one."""
    instance = primary_of(world).instance
    is_owner = {
        member: member.process.node.is_preferred_owner(instance)
        for member in world.members
    }
    return max(world.members, key=is_owner.get), min(world.members, key=is_owner.get)


async def open_transaction(member, item):
    """Return a caller that has written an item in an open transaction."""
    caller = await member.caller("lead")
    for text in ("BEGIN", f"WRITE {item} kept"):
        answer = await caller.query(text)
        if not answer.is_done:
            raise AssertionError(f"{text} was answered with {answer}")
    return caller


async def restart_owner(world, owner):
    """Kill the process that holds the transaction and start it again."""
    await world.restart_member(owner)
    instance = primary_of(world).instance
    await world.wait_until(lambda: owner.process.node.is_preferred_owner(instance))


async def restart_older_owner(world, owner):
    """Restart the owner with a release that numbers from 1 in each process."""
    await restart_owner(world, owner)
    number_from_one(owner)


def number_from_one(member):
    member.process.node.transaction_ids = TransactionIds(lambda bits: 0)


async def restart_primary(world, owner):
    """Let the primary crash and start again under its id, with its log."""
    primary = primary_of(world)
    incarnation = primary.started_at_ms
    primary.stop()
    await world.wait_until(lambda: not primary.is_listening)
    primary.started_at_ms = incarnation + 1_000
    await world.start_database(primary)
    catalog = owner.process.node.catalog
    await world.wait_until(
        lambda: (
            catalog.find(primary.instance)
            and catalog.find(primary.instance).incarnation > incarnation
        )
    )


class LostTransactionTest(testtools.TestCase):
    """A transaction that was lost with its holder, and a newer one in its place.

    Numbers of transactions that began anew in each process let a caller's statements
    run in the transaction of another caller (review case 1).
    """

    async def check_not_mixed(self, world, restart, end):
        """Lose a transaction, end it by a statement and commit a newer one."""
        owner, other = split_members(world)
        first = await open_transaction(other, "first")
        await restart(world, owner)
        second = await open_transaction(owner, "second")
        answer = await first.query(end)
        if end == "COMMIT":
            self.assertEqual("ABORTED", answer.code)
        committed = await second.query("COMMIT")
        self.assertEqual("DONE", committed.code, committed)
        commits = [
            (event.request_id, event.detail.writes)
            for event in world.group.history
            if event.kind == "commit"
        ]
        self.assertEqual([(committed.request_id, (("second", "kept"),))], commits)

    @in_loop
    async def test_commit_after_a_restart_of_the_owner_does_not_reach_another(self):
        async with running_world() as world:
            await self.check_not_mixed(world, restart_owner, "COMMIT")

    @in_loop
    async def test_rollback_after_a_restart_of_the_owner_does_not_end_another(self):
        async with running_world() as world:
            await self.check_not_mixed(world, restart_owner, "ROLLBACK")

    @in_loop
    async def test_commit_after_a_restart_of_the_primary_does_not_reach_another(self):
        async with running_world() as world:
            await self.check_not_mixed(world, restart_primary, "COMMIT")

    @in_loop
    async def test_commit_after_a_restart_of_an_older_owner_does_not_reach_another(
        self,
    ):
        async with running_world() as world:
            for member in world.members:
                number_from_one(member)
            await self.check_not_mixed(world, restart_older_owner, "COMMIT")

    def test_numbers_of_two_processes_differ_and_fit_the_wire(self):
        ranges = []
        for first in (0, 2**START_BITS - 1):
            ids = TransactionIds(lambda bits, first=first: first)
            ranges.append([ids.allocate() for _ in range(1_000)])
        numbers = [number for numbers in ranges for number in numbers]
        self.assertEqual(len(numbers), len(set(numbers)))
        self.assertTrue(all(0 < number < 2**63 for number in numbers))


class SessionValuesTest(testtools.TestCase):
    """A value that is set inside a transaction.

    It was acknowledged and reached only prepared statements of that transaction (review
    case 5).
    """

    async def run_transaction(self, member, *texts):
        """Run a transaction whose session value changes; return its answers."""
        caller = await member.caller("lead")
        answers = []
        begin = ("SET tenant one", "PREPARE s WRITE q1", "BEGIN", "READ x")
        for text in (*begin, "SET tenant two", *texts):
            answers.append(await caller.query(text))
            self.assertEqual("DONE", answers[-1].code, (text, answers[-1]))
        return answers[-len(texts) :]

    def values_at(self, world, answer):
        """Return the session values with which a database ran a statement."""
        return next(
            event.detail[2][0]
            for event in world.group.history
            if event.request_id == answer.request_id
        )

    @in_loop
    async def test_value_set_in_a_transaction_reaches_each_further_statement(self):
        texts = ("READ x", "WRITE x 1", "EXECUTE s x 2", "READ x")
        async with running_world() as world:
            for member in split_members(world):
                for answer in await self.run_transaction(member, *texts):
                    self.assertEqual({"tenant": "two"}, self.values_at(world, answer))

    @in_loop
    async def test_value_set_in_a_transaction_reaches_its_commit(self):
        async with running_world() as world:
            for member in split_members(world):
                (answer,) = await self.run_transaction(member, "COMMIT")
                events = world.group.history
                committed = [e.request_id for e in events].index(answer.request_id)
                values = [
                    event.detail
                    for event in events[:committed]
                    if event.kind == "set"
                    and event.connection == events[committed].connection
                ]
                self.assertEqual(("tenant", "two"), values[-1])

    @in_loop
    async def test_value_that_the_database_does_not_take_aborts_the_transaction(self):
        async with running_world() as world:
            caller = await world.members[0].caller("lead")
            for text in ("SET tenant one", "BEGIN", "WRITE x 1", "SET tenant two"):
                await caller.query(text)
            self.patch(DatabaseSession, "_on_set", refuse_value)
            answer = await caller.query("WRITE x 2")
            self.assertEqual(("ABORTED", "E"), (answer.code, answer.state))
            await caller.query("ROLLBACK")
            self.assertEqual([], primary_of(world).log)


async def refuse_value(session, request_id, arguments):
    return ["ERROR FAILED no"]


class LostOwnAnswerTest(testtools.TestCase):
    """A database that does not answer what the proxy itself sends in a transaction.

    Setting values and preparing had no time limit inside a transaction, so that the
    caller got no answer at all.
    """

    async def check_answered(self, world, handler, *texts):
        """Check that the last statement is answered though a handler never returns."""
        callers = []
        for member in split_members(world):
            caller = await member.caller("lead")
            for text in ("SET tenant one", "BEGIN", "WRITE x 1", *texts[:-1]):
                self.assertEqual("DONE", (await caller.query(text)).code)
            callers.append(caller)
        self.patch(DatabaseSession, handler, never_answer)
        for caller in callers:
            answer = await caller.query(texts[-1])
            self.assertEqual("ABORTED", answer.code)
            ran = {event.request_id for event in world.group.history}
            self.assertNotIn(answer.request_id, ran)
        self.assertEqual([], primary_of(world).log)

    @in_loop
    async def test_execute_is_answered_although_preparing_is_not(self):
        async with running_world() as world:
            texts = ("PREPARE s WRITE q1", "EXECUTE s x 2")
            await self.check_answered(world, "_on_prepare", *texts)

    @in_loop
    async def test_write_is_answered_although_setting_a_value_is_not(self):
        async with running_world() as world:
            texts = ("SET tenant two", "WRITE x 2")
            await self.check_answered(world, "_on_set", *texts)

    @in_loop
    async def test_commit_is_answered_although_setting_a_value_is_not(self):
        async with running_world() as world:
            texts = ("SET tenant two", "COMMIT")
            await self.check_answered(world, "_on_set", *texts)


async def never_answer(session, request_id, arguments):
    await anyio.sleep_forever()
