"""Customers at a running fleet: keys, withdrawal and connections of their own."""

import anyio
import testtools

from bronzescale_proxy.exceptions import StoreUnavailableError
from bronzescale_standins.fleet.testing import in_loop, primary_of
from bronzescale_standins.fleet.world import ROUTES, running_world

CUSTOMERS = {"ahti": ["key-a", "key-a2"], "bodil": ["key-b"]}
# Longer than a configuration takes from the store to every session.
APPLIED_S = 0.3


async def _is_closed(caller):
    """Return whether the session has been ended without a message."""
    with anyio.move_on_after(2.0):
        try:
            await caller.receive_line()
        except anyio.EndOfStream:
            return True
    return False


def _versions(world):
    return {member.process.node.configuration.version for member in world.members}


async def _configure(world, customers, **options):
    """Write a configuration and wait until every node has it in force."""
    world.customers = customers
    world.configure(**options)
    await world.wait_until(lambda: _versions(world) == {world.version})


class IdentityTest(testtools.TestCase):
    @in_loop
    async def test_databases_are_told_the_customer_and_not_the_key(self):
        async with running_world(customers=CUSTOMERS) as world:
            for member in world.members:
                for key, name in (("key-a2", "ahti"), ("key-b", "bodil")):
                    caller = await member.caller("own", key=key)
                    write = await caller.query(f"WRITE {name} 1")
                    read = await caller.query(f"READ {name}")
                    for answer in (write, read):
                        self.assertEqual("DONE", answer.code)
                        customers = world.group.customers_of(answer.request_id)
                        self.assertEqual({name}, customers)
            told = set(world.group.customer_by_connection.values())
            self.assertEqual({"ahti", "bodil", "bronzescale"}, told)

    @in_loop
    async def test_unknown_key_is_refused_at_the_opening_message(self):
        async with running_world(customers=CUSTOMERS) as world:
            member = world.members[0]
            for key in ("stolen", "KEY-A", "key-", ""):
                with testtools.ExpectedException(ConnectionRefusedError, ".*NOAUTH.*"):
                    await member.caller("own", key=key)
            self.assertNotIn("stolen", str(member.log.lines))

    @in_loop
    async def test_public_route_serves_any_key_and_names_a_known_customer(self):
        routes = [{**route, "public": route["host"] == "aged"} for route in ROUTES]
        async with running_world(customers=CUSTOMERS) as world:
            await _configure(world, CUSTOMERS, routes=routes)
            for key, name in (("none", "bronzescale"), ("key-b", "bodil")):
                caller = await world.members[0].caller("aged", key=key)
                answer = await caller.query("READ x")
                self.assertEqual("DONE", answer.code)
                self.assertEqual({name}, world.group.customers_of(answer.request_id))
            with testtools.ExpectedException(ConnectionRefusedError, ".*NOAUTH.*"):
                await world.members[0].caller("own", key="none")

    @in_loop
    async def test_dump_lists_customers_by_name_and_no_key(self):
        customers = {f"c{number}": [f"key-{number}"] for number in range(40)}
        async with running_world(nodes=1, customers=customers) as world:
            member = world.members[0]
            caller = await member.caller("lead", key="key-33")
            self.assertTrue((await caller.query("READ x")).is_done)
            dump = member.process.dump()["customers"]
            self.assertEqual((40, 20), (dump["declared"], len(dump["largest"])))
            first = dump["largest"][0]
            self.assertEqual(("c33", 1), (first["name"], first["connections"]))
            self.assertNotIn("key-", str(member.process.dump()))
            self.assertNotIn("key-", str(member.log.lines))

    @in_loop
    async def test_configuration_with_bad_values_comes_into_force_and_is_logged(self):
        async with running_world(nodes=1, customers=CUSTOMERS) as world:
            shared = {**CUSTOMERS, "both": ["key-a"], "two words": ["key-c"]}
            await _configure(world, shared)
            member = world.members[0]
            findings = member.log.events("configuration_finding")
            texts = " ".join(fields["reason"] for fields in findings)
            self.assertIn("W111", texts)
            self.assertIn("W113", texts)
            for key in ("key-a", "key-c"):
                with testtools.ExpectedException(ConnectionRefusedError, ".*NOAUTH.*"):
                    await member.caller("own", key=key)

    @in_loop
    async def test_routes_stay_closed_after_the_last_customer_has_gone(self):
        """An empty list, or none, used to make every route public."""
        for last in ({}, None):
            async with running_world(customers=CUSTOMERS) as world:
                open_session = await world.members[0].caller("own", key="key-a")
                self.assertTrue((await open_session.query("READ x")).is_done)
                await _configure(world, last)
                for member in world.members:
                    for key in ("key-a", "never", ""):
                        with testtools.ExpectedException(
                            ConnectionRefusedError, ".*NOAUTH.*"
                        ):
                            await member.caller("own", key=key)
                self.assertTrue(await _is_closed(open_session))
                await _configure(world, CUSTOMERS)
                caller = await world.members[0].caller("own", key="key-a")
                self.assertTrue((await caller.query("READ x")).is_done)

    @in_loop
    async def test_without_customers_any_key_is_served_as_nobodys(self):
        async with running_world() as world:
            caller = await world.members[0].caller("own", key="whatever")
            self.assertTrue((await caller.query("READ x")).is_done)
            told = set(world.group.customer_by_connection.values())
            self.assertEqual({"bronzescale"}, told)


class WithdrawalTest(testtools.TestCase):
    @in_loop
    async def test_idle_session_of_a_withdrawn_key_is_closed(self):
        async with running_world(customers=CUSTOMERS) as world:
            member = world.members[1]
            withdrawn = await member.caller("own", key="key-a")
            kept = await member.caller("own", key="key-a2")
            self.assertTrue((await withdrawn.query("READ x")).is_done)
            await _configure(world, {"ahti": ["key-a2"], "bodil": ["key-b"]})
            self.assertTrue(await _is_closed(withdrawn))
            self.assertTrue((await kept.query("READ x")).is_done)
            with testtools.ExpectedException(ConnectionRefusedError, ".*NOAUTH.*"):
                await member.caller("own", key="key-a")

    @in_loop
    async def test_statement_of_a_withdrawn_key_is_refused(self):
        async with running_world(customers=CUSTOMERS) as world:
            caller = await world.members[0].caller("own", key="key-b")
            # A message that is not complete keeps the session from being closed.
            await caller.stream.send(b"QUERY w1 WRITE x")
            await anyio.sleep(0.1)
            await _configure(world, {"ahti": ["key-a"]})
            await caller.stream.send(b" 5\r\n")
            answer = await caller.answer("w1")
            self.assertEqual(("NOAUTH", "I"), (answer.code, answer.state))
            self.assertTrue(await _is_closed(caller))
            self.assertEqual([], primary_of(world).log)

    @in_loop
    async def test_running_statement_is_answered_before_its_session_ends(self):
        async with running_world(customers=CUSTOMERS, work_s=0.4) as world:
            caller = await world.members[0].caller("lead", key="key-b")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_configure, world, {"ahti": ["key-a"]})
                answer = await caller.query("WRITE x 1")
            self.assertEqual("DONE", answer.code)
            self.assertTrue(await _is_closed(caller))

    @in_loop
    async def test_open_transaction_of_a_withdrawn_key_is_rolled_back(self):
        async with running_world(customers=CUSTOMERS) as world:
            caller = await world.members[2].caller("lead", key="key-b")
            await caller.query("BEGIN")
            self.assertTrue((await caller.query("WRITE x 1")).is_done)
            await _configure(world, {"ahti": ["key-a"]})
            owners = [owner for m in world.members for owner in m.process.node.owners()]
            await world.wait_until(lambda: all(o.is_idle for o in owners), 1.0)
            answer = await caller.query("COMMIT")
            self.assertEqual(("NOAUTH", "I"), (answer.code, answer.state))
            self.assertTrue(await _is_closed(caller))
            self.assertEqual([], primary_of(world).log)

    @in_loop
    async def test_moved_key_ends_the_transaction_and_serves_the_next_one(self):
        async with running_world(customers=CUSTOMERS) as world:
            caller = await world.members[0].caller("lead", key="key-a2")
            await caller.query("BEGIN")
            self.assertTrue((await caller.query("WRITE x 1")).is_done)
            moved = {"ahti": ["key-a"], "bodil": ["key-b", "key-a2"]}
            await _configure(world, moved)
            answer = await caller.query("COMMIT")
            self.assertEqual(("ABORTED", "I"), (answer.code, answer.state))
            self.assertEqual([], primary_of(world).log)
            write = await caller.query("WRITE x 2")
            self.assertEqual("DONE", write.code)
            self.assertEqual({"bodil"}, world.group.customers_of(write.request_id))

    @in_loop
    async def test_key_that_moved_away_and_back_does_not_resume_a_transaction(self):
        async with running_world(customers=CUSTOMERS) as world:
            caller = await world.members[0].caller("lead", key="key-b")
            await caller.query("BEGIN")
            await caller.query("WRITE x 1")
            await _configure(world, {"ahti": ["key-a", "key-b"]})
            await _configure(world, CUSTOMERS)
            self.assertEqual("ABORTED", (await caller.query("WRITE y 1")).code)
            self.assertTrue((await caller.query("ROLLBACK")).is_done)
            self.assertEqual([], primary_of(world).log)

    @in_loop
    async def test_peers_tell_a_host_that_is_cut_off_from_the_store(self):
        async with running_world(customers=CUSTOMERS) as world:
            member = world.members[0]
            caller = await member.caller("own", key="key-b")
            store = member.process.node.store

            async def fail(*args, **kwargs):
                raise StoreUnavailableError("cut off")

            self.patch(store, "_call", fail)
            # The watch that was under way may still report this version.
            await _configure(world, CUSTOMERS)
            self.assertTrue((await caller.query("READ x")).is_done)
            world.customers = {"ahti": ["key-a"]}
            world.configure()
            await world.wait_until(lambda: _versions(world) == {world.version}, 5.0)
            self.assertTrue(await _is_closed(caller))

    @in_loop
    async def test_restarted_host_does_not_know_a_withdrawn_key(self):
        async with running_world(customers=CUSTOMERS) as world:
            member = world.members[0]
            await _configure(world, {"ahti": ["key-a"]})
            member.kill()
            await member.ended.wait()
            world.start_member(member)
            member.process = None
            await world.wait_until_ready([member])
            with testtools.ExpectedException(ConnectionRefusedError, ".*NOAUTH.*"):
                await member.caller("own", key="key-b")

    @in_loop
    async def test_store_that_returned_from_a_copy_does_not_revive_a_key(self):
        async with running_world(customers=CUSTOMERS) as world:
            await anyio.sleep(0.6)
            await _configure(world, {"ahti": ["key-a"]})
            await anyio.sleep(APPLIED_S)
            await world.restore_store(lost_s=0.8, rewrite_after_s=1.0)
            for member in world.members:
                with testtools.ExpectedException(ConnectionRefusedError, ".*NOAUTH.*"):
                    await member.caller("own", key="key-b")


class PoolTest(testtools.TestCase):
    """More customers than connections: 21 of a database, 12 of them for customers."""

    customers = {f"c{number}": [f"key-{number}"] for number in range(30)}

    def _assert_no_shared_connection(self, group):
        """Check each statement's item, which is its customer's name."""
        owners = group.customer_by_connection
        kinds = ("read", "write")
        events = [event for event in group.history if event.kind in kinds]
        self.assertTrue(events)
        for event in events:
            self.assertEqual(owners[event.connection], event.detail[0])

    @in_loop
    async def test_full_pool_serves_all_customers_and_none_shares_a_connection(self):
        async with running_world(customers=self.customers) as world:
            # A busy machine delays the waits for a connection, not their order.
            routes = [{**route, "timeout_ms": 4_000} for route in ROUTES]
            await _configure(world, self.customers, routes=routes)

            async def run(number):
                name = f"c{number}"
                member = world.members[number % 3]
                caller = await member.caller("own", key=f"key-{number}")
                for step in range(8):
                    texts = [f"WRITE {name} {step}", f"READ {name}"]
                    if step % 4 == 1:
                        texts = ["BEGIN", *texts, "COMMIT"]
                    for text in texts:
                        answer = await caller.query(text)
                        self.assertEqual("DONE", answer.code, answer)

            async with anyio.create_task_group() as tasks:
                for number in range(len(self.customers)):
                    tasks.start_soon(run, number)
            self._assert_no_shared_connection(world.group)

    @in_loop
    async def test_an_owner_never_asks_for_more_connections_than_its_cap(self):
        # One host, since a change of owner may fill a database for a moment.
        async with running_world(nodes=1, customers=self.customers) as world:
            member = world.members[0]
            async with anyio.create_task_group() as tasks:
                for number in range(len(self.customers)):
                    caller = await member.caller("own", key=f"key-{number}")
                    for _ in range(4):
                        await caller.query(f"READ c{number}")
                    tasks.start_soon(caller.query, f"WRITE c{number} 1")
            for database in world.group.databases.values():
                # The control connection comes on top.
                self.assertLessEqual(database.most_connections, 12 + 1)
            refused = [e for e in world.group.history if e.kind == "too_many"]
            self.assertEqual([], refused)

    @in_loop
    async def test_database_that_others_fill_is_asked_rarely_and_serves_customers(self):
        async with running_world(nodes=1, customers=self.customers) as world:
            database = primary_of(world)
            port = database.port
            foreign = []
            while len(database.open_connections) < database.max_connections - 3:
                foreign.append(await anyio.connect_tcp("127.0.0.1", port))
                await foreign[-1].send(b"CONNECT svc other\r\n")
                await foreign[-1].receive()
            callers = [
                await world.members[0].caller("lead", key=f"key-{number}")
                for number in range(len(self.customers))
            ]
            started_s = anyio.current_time()
            for number, caller in enumerate(callers):
                answer = await caller.query(f"READ c{number}")
                self.assertEqual("DONE", answer.code, answer)
            taken_s = anyio.current_time() - started_s
            refused = [e for e in world.group.history if e.kind == "too_many"]
            self.assertLess(len(refused), 3 + 2 * taken_s / 0.15)
            self._assert_no_shared_connection(world.group)

    @in_loop
    async def test_statement_waits_for_a_connection_until_its_deadline_only(self):
        async with running_world(nodes=1, customers=self.customers) as world:
            member = world.members[0]
            holders = []
            for number in range(12):
                holder = await member.caller("lead", key=f"key-{number}")
                await holder.query("BEGIN")
                self.assertTrue((await holder.query(f"READ c{number}")).is_done)
                holders.append(holder)
            late = await member.caller("lead", key="key-20")
            started_s = anyio.current_time()
            answer = await late.query("READ c20")
            self.assertEqual("BUSY", answer.code)
            self.assertLess(anyio.current_time() - started_s, 2.0)
            next_caller = await member.caller("lead", key="key-21")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(holders[0].query, "COMMIT")
                self.assertTrue((await next_caller.query("READ c21")).is_done)

    @in_loop
    async def test_new_owner_gets_the_connections_that_the_old_one_held(self):
        async with running_world(nodes=3, customers=self.customers) as world:
            nodes = [member.process.node for member in world.members]
            owner = next(node for node in nodes if node.is_preferred_owner("d1"))
            member = world.members[nodes.index(owner)]
            callers = [await member.caller("lead", key=f"key-{n}") for n in range(12)]
            for number, caller in enumerate(callers):
                self.assertTrue((await caller.query(f"READ c{number}")).is_done)
            self.assertEqual(12, sum(owner.owner("d1").connection_counts().values()))
            self.patch(owner, "is_preferred_owner", lambda instance: False)
            old_owner = owner.owner("d1")
            taken_s = await world.wait_until(lambda: not old_owner.connection_counts())
            self.assertLess(taken_s, 1.5)
