"""Sessions, statements and lost answers at a running fleet."""

import anyio
import testtools

from bronzescale_core.catalog import Copy
from bronzescale_core.work import Outcome
from bronzescale_platform.line_codec import PlatformLineCodec
from bronzescale_proxy.exceptions import (
    PeerUnavailableError,
    UpstreamUnavailableError,
)
from bronzescale_proxy.fleet import pool
from bronzescale_proxy.fleet.metrics import FleetMetrics
from bronzescale_standins.fleet.testing import in_loop, primary_of
from bronzescale_standins.fleet.world import ROUTES, MemoryLog, running_world


class ServingTest(testtools.TestCase):
    @in_loop
    async def test_statements_of_every_kind(self):
        async with running_world() as world:
            caller = await world.members[0].caller("own")
            for text in (
                "SET zone north",
                "PREPARE s1 READ q1",
                "PREPARE s2 WRITE q2",
                "WRITE x 1",
                "EXECUTE s2 x 2",
                "BEGIN",
                "EXECUTE s2 x 3",
                "ROLLBACK",
                "DEALLOC s2",
            ):
                answer = await caller.query(text)
                self.assertEqual("DONE", answer.code, (text, answer))
            read = await caller.query("EXECUTE s1 x")
            self.assertEqual(("2",), read.rows)
            self.assertNotEqual("-", read.text)
            self.assertEqual("NOSTMT", (await caller.query("EXECUTE s2 x 9")).code)

    @in_loop
    async def test_a_session_reads_what_it_wrote_from_a_replica(self):
        async with running_world(nodes=3, lag_s=0.05) as world:
            caller = await world.members[2].caller("own")
            for number in range(20):
                self.assertTrue((await caller.query(f"WRITE x {number}")).is_done)
                read = await caller.query("READ x")
                self.assertEqual((str(number),), read.rows)
            replicas = {
                event.instance
                for event in world.group.history
                if event.kind == "read" and event.instance != "d1"
            }
            await anyio.sleep(0.1)
            await caller.query("READ x")
            await anyio.sleep(0.1)
            await caller.query("READ x")
            replicas |= {
                e.instance for e in world.group.history if e.kind == "read"
            } - {"d1"}
            self.assertTrue(replicas)

    @in_loop
    async def test_primary_routes_read_at_the_primary_only(self):
        async with running_world() as world:
            for member in world.members:
                caller = await member.caller("lead")
                self.assertTrue((await caller.query("READ x")).is_done)
            readers = {e.instance for e in world.group.history if e.kind == "read"}
            self.assertEqual({"d1"}, readers)

    @in_loop
    async def test_session_values_and_prepared_names_are_not_shared(self):
        async with running_world() as world:
            callers = [await world.members[0].caller("own") for _ in range(6)]
            for number, caller in enumerate(callers):
                await caller.query(f"SET who {number}")
                if number % 2:
                    await caller.query("SET extra on")
                await caller.query(f"PREPARE s READ q{number % 3}")
            for _ in range(4):
                for caller in callers:
                    self.assertTrue((await caller.query("EXECUTE s x")).is_done)
                    self.assertTrue((await caller.query("READ x")).is_done)
            reads = [e.detail[2] for e in world.group.history if e.kind == "read"]
            for values, shape, _, _ in reads:
                number = int(values["who"])
                self.assertEqual(number % 2 == 1, "extra" in values)
                self.assertIn(shape, ("", f"q{number % 3}"))

    @in_loop
    async def test_a_transaction_stays_on_one_connection(self):
        async with running_world() as world:
            callers = [await m.caller("lead") for m in world.members for _ in range(3)]
            ids = {}

            async def run(number, caller):
                ids[number] = []
                await caller.query("BEGIN")
                for step in range(4):
                    answer = await caller.query(f"WRITE k{number} {step}")
                    ids[number].append(answer.request_id)
                    self.assertEqual("DONE", answer.code)
                answer = await caller.query("COMMIT")
                self.assertEqual("DONE", answer.code)
                ids[number].append(answer.request_id)

            async with anyio.create_task_group() as tasks:
                for number, caller in enumerate(callers):
                    tasks.start_soon(run, number, caller)
            for requests in ids.values():
                used = {
                    (e.instance, e.connection)
                    for e in world.group.history
                    if e.request_id in requests
                }
                self.assertEqual(1, len(used))

    @in_loop
    async def test_a_failed_transaction_refuses_statements_until_rolled_back(self):
        async with running_world() as world:
            caller = await world.members[0].caller("lead")
            await caller.query("BEGIN")
            self.assertTrue((await caller.query("WRITE x 1")).is_done)
            failed = await caller.query("EXECUTE nope x")
            self.assertEqual(("NOSTMT", "E"), (failed.code, failed.state))
            self.assertEqual("MALFORMED", (await caller.query("READ x")).code)
            ended = await caller.query("ROLLBACK")
            self.assertEqual(("DONE", "I"), (ended.code, ended.state))
            self.assertEqual(("-",), (await caller.query("READ x")).rows)

    @in_loop
    async def test_statement_is_answered_after_its_route_went_during_a_transaction(
        self,
    ):
        """The connection used to end without an answer if none had run before."""
        texts = ("READ x", "WRITE x 1", "EXECUTE s x", "COMMIT")
        async with running_world() as world:
            callers = [await world.members[0].caller("own") for _ in texts]
            for caller in callers:
                await caller.query("PREPARE s READ q1")
                await caller.query("BEGIN")
            bound = await world.members[0].caller("own")
            await bound.query("BEGIN")
            await bound.query("WRITE y 1")
            world.configure(ROUTES[:2])
            configurations = [member.process.node for member in world.members]
            await world.wait_until(
                lambda: all(
                    node.configuration.version == world.version
                    for node in configurations
                )
            )
            for caller, text in zip(callers, texts, strict=True):
                self.assertEqual("NODB", (await caller.query(text)).code, text)
            self.assertEqual("DONE", (await bound.query("WRITE y 2")).code)
            self.assertEqual("DONE", (await bound.query("COMMIT")).code)

    @in_loop
    async def test_an_empty_transaction_commits_at_a_database(self):
        async with running_world() as world:
            caller = await world.members[1].caller("own")
            await caller.query("BEGIN")
            answer = await caller.query("COMMIT")
            self.assertEqual("DONE", answer.code)
            self.assertTrue(answer.text.startswith("r."))

    @in_loop
    async def test_transaction_of_a_disconnected_caller_is_rolled_back(self):
        async with running_world() as world:
            caller = await world.members[2].caller("lead")
            await caller.query("BEGIN")
            await caller.query("WRITE x gone")
            await caller.close()
            other = await world.members[0].caller("lead")
            await anyio.sleep(0.3)
            self.assertEqual(("-",), (await other.query("READ x")).rows)
            self.assertEqual([], primary_of(world).log)

    @in_loop
    async def test_unknown_databases_and_malformed_messages_are_refused(self):
        async with running_world() as world:
            member = world.members[0]
            with testtools.ExpectedException(ConnectionRefusedError, ".*NODB.*"):
                await member.caller("nowhere")
            caller = await member.caller("own")
            for text in ("NOPE", "WRITE x", "STEPDOWN 9"):
                self.assertEqual("MALFORMED", (await caller.query(text)).code)
            await caller.stream.send(b"QUERY a READ " + b"x" * 1_100_000)
            answer = await caller.answer()
            self.assertEqual("TOOBIG", answer.code)
            other = await member.caller("own")
            self.assertTrue((await other.query("READ x")).is_done)

    @in_loop
    async def test_pipelined_statements_are_answered_in_order(self):
        async with running_world() as world:
            caller = await world.members[0].caller("own")
            message = b"".join(
                f"QUERY p{n} WRITE x {n}\r\nQUERY r{n} READ x\r\n".encode()
                for n in range(5)
            )
            for start in range(0, len(message), 7):
                await caller.stream.send(message[start : start + 7])
            for number in range(5):
                self.assertTrue((await caller.answer()).is_done)
                self.assertEqual((str(number),), (await caller.answer()).rows)


class OutcomeTest(testtools.TestCase):
    @in_loop
    async def test_write_with_lost_answer_is_unknown_and_not_retried(self):
        async with running_world() as world:
            caller = await world.members[0].caller("lead")
            self.assertTrue((await caller.query("WRITE x 1")).is_done)
            primary_of(world).lose_next_answers = 1
            answer = await caller.query("WRITE x 2")
            self.assertEqual("UNKNOWN", answer.code)
            await anyio.sleep(0.2)
            runs = [
                e
                for e in world.group.history
                if e.kind == "write" and e.request_id == answer.request_id
            ]
            self.assertEqual(1, len(runs))

    @in_loop
    async def test_read_with_lost_answer_is_retried(self):
        async with running_world() as world:
            caller = await world.members[0].caller("own")
            for database in world.group.databases.values():
                database.lose_next_answers = 1
            self.assertTrue((await caller.query("READ x")).is_done)

    @in_loop
    async def test_lost_answer_inside_a_transaction_rolls_it_back(self):
        async with running_world() as world:
            caller = await world.members[0].caller("lead")
            await caller.query("BEGIN")
            await caller.query("WRITE x 1")
            primary_of(world).lose_next_answers = 1
            answer = await caller.query("WRITE x 2")
            self.assertEqual(("ABORTED", "E"), (answer.code, answer.state))
            await caller.query("ROLLBACK")
            await anyio.sleep(0.1)
            self.assertEqual([], primary_of(world).log)

    @in_loop
    async def test_commit_with_lost_answer_is_unknown(self):
        async with running_world() as world:
            caller = await world.members[0].caller("lead")
            await caller.query("BEGIN")
            await caller.query("WRITE x 1")
            primary_of(world).lose_next_answers = 1
            answer = await caller.query("COMMIT")
            self.assertEqual(("UNKNOWN", "I"), (answer.code, answer.state))

    @in_loop
    async def test_connections_stay_within_the_limit_of_the_database(self):
        async with running_world(nodes=6, work_s=0.02) as world:
            callers = [await m.caller("lead") for m in world.members for _ in range(8)]

            async def read_repeatedly(caller):
                for _ in range(3):
                    await caller.query("READ x", timeout_s=10)

            async with anyio.create_task_group() as tasks:
                for caller in callers:
                    tasks.start_soon(read_repeatedly, caller)
            for database in world.group.databases.values():
                self.assertLessEqual(database.most_connections, 21)


class FullDatabaseTest(testtools.TestCase):
    """Guard against a connection storm at a database that refuses connections.

    Statements that wait for a connection must not each try to open one while the
    database is at its limit.
    """

    @in_loop
    async def test_waiting_statements_make_one_attempt_at_a_full_database(self):
        attempts = []

        async def refuse(copy, codec, customer):
            attempts.append(copy)
            error = UpstreamUnavailableError("full", is_sent=False)
            error.outcome = Outcome.TOO_MANY
            raise error

        def run_to_its_end(function, *args):
            # The refusal needs no wait, so the task ends in its first step.
            with testtools.ExpectedException(StopIteration):
                function(*args).send(None)

        self.patch(pool, "open_connection", refuse)
        copy = Copy("i-1", "svc", "127.0.0.1:1", "a", 3)
        connections = pool.ConnectionPool(
            copy, PlatformLineCodec(), FleetMetrics(), MemoryLog(), run_to_its_end
        )

        async def acquire():
            with anyio.move_on_after(0.1):
                try:
                    await connections.acquire((), "")
                except UpstreamUnavailableError:
                    return

        # The pause of the pool does not end, however long the test is held up.
        self.patch(pool, "now_ms", lambda: 1_000)
        async with anyio.create_task_group() as tasks:
            for _ in range(30):
                tasks.start_soon(acquire)
                await anyio.sleep(0)
        self.assertEqual(1, len(attempts))


class SilentOwnerTest(testtools.TestCase):
    """Guard against reads that wait for an owner that hangs until they time out."""

    @in_loop
    async def test_read_is_retried_elsewhere_before_its_deadline(self):
        async with running_world(nodes=6) as world:
            member = world.members[0]
            node = member.process.node
            caller = await member.caller("aged")
            self.assertTrue((await caller.query("READ x")).is_done)
            names = {node.owners_of("d2")[0].name}
            node.peers.request = _drop_answers(node.peers.request, names)
            for _ in range(6):
                self.assertTrue((await caller.query("READ x")).is_done)
            remaining_ms = [
                fields["left_ms"]
                for fields in member.log.events("attempt_failed")
                if "went silent" in fields["reason"]
            ]
            self.assertTrue(remaining_ms)
            self.assertTrue(all(each_ms > 0 for each_ms in remaining_ms))


def _drop_answers(request, names):
    """Return `request` without the answers of some nodes, as in a partition."""

    async def request_or_time_out(peer, message, timeout_s, **options):
        if peer.name not in names:
            return await request(peer, message, timeout_s, **options)
        await anyio.sleep(timeout_s)
        raise PeerUnavailableError(f"{peer.name} did not answer in time", True)

    return request_or_time_out
