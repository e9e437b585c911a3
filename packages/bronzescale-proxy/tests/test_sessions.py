"""Sessions, transactions and results, against a fleet that runs in one process."""

import anyio
import pytest
from asyncmy import errors

from bronzescale_standins.group import Latencies
from bronzescale_standins.standin_fleet import StandinFleet, make_document, run_query

LAGGING_REPLICAS = Latencies(connect_ms=0.0, lag_ms=150.0)


def run_with_fleet(test, latencies=None, document=None, **options):
    async def main():
        async with StandinFleet(document, latencies) as fleet:
            await fleet.start_proxies(**options)
            with anyio.fail_after(40):
                await test(fleet)

    anyio.run(main)


async def expect_error(connection, sql):
    with pytest.raises(errors.Error) as caught:
        await run_query(connection, sql)
    return caught.value


async def make_table(connection, name="t"):
    await run_query(
        connection, f"CREATE TABLE {name} (id INT PRIMARY KEY, v VARCHAR(40))"
    )


async def make_replicated_table(fleet, connection, name="t"):
    await make_table(connection, name)
    await wait_for_replicas(fleet)


async def wait_for_replicas(fleet):
    for group in fleet.groups.values():
        copies = group.copies.values()
        while len({(c.received, c.applied) for c in copies}) > 1:
            await anyio.sleep(0.01)


def sum_counter(fleet, name):
    return sum(app.metrics.counters[name] for app in fleet.proxies.values())


def test_session_reads_its_writes_from_lagging_replicas():
    async def test(fleet):
        connection = await fleet.connect("p-b")
        await make_table(connection)
        await run_query(connection, "INSERT INTO t VALUES (1, '0')")
        for value in range(1, 6):
            await run_query(connection, f"UPDATE t SET v = '{value}' WHERE id = 1")
            rows = await run_query(connection, "SELECT v FROM t WHERE id = 1")
            assert rows == ((str(value),),)
        assert sum_counter(fleet, "read.replica") == 5

    run_with_fleet(test, LAGGING_REPLICAS)


def test_session_continues_on_another_proxy_with_its_token():
    async def test(fleet):
        first = await fleet.connect("p-a")
        await make_table(first)
        await run_query(first, "INSERT INTO t VALUES (1, 'x')")
        ((token,),) = await run_query(first, "SELECT @bronzescale_token")
        second = await fleet.connect("p-b")
        await run_query(second, f"SET @bronzescale_token = '{token}'")
        assert await run_query(second, "SELECT v FROM t") == (("x",),)

    run_with_fleet(test, LAGGING_REPLICAS)


def test_new_session_on_another_proxy_sees_acknowledged_rows():
    async def test(fleet):
        first = await fleet.connect("p-a")
        await make_table(first)
        await run_query(first, "INSERT INTO t VALUES (1, 'x')")
        second = await fleet.connect("p-c")
        assert await run_query(second, "SELECT v FROM t") == (("x",),)

    run_with_fleet(test, LAGGING_REPLICAS)


def test_new_session_is_refused_when_no_term_can_be_confirmed():
    async def test(fleet):
        first = await fleet.connect("p-b")
        await make_replicated_table(fleet, first)
        ((token,),) = await run_query(first, "SELECT @bronzescale_token")
        for name in ("db-0-a", "db-0-c"):
            fleet.servers[name].stop()
        second = await fleet.connect("p-b")
        await run_query(second, "SET @bronzescale_deadline_ms = 1500")
        error = await expect_error(second, "SELECT v FROM t")
        assert "not run" in str(error)
        # With its token, the remaining copy can serve the session.
        await run_query(second, f"SET @bronzescale_token = '{token}'")
        assert await run_query(second, "SELECT v FROM t") == ()

    run_with_fleet(test)


def test_read_of_bounded_age_skips_replicas_that_are_too_old():
    async def test(fleet):
        connection = await fleet.connect("p-b")
        await make_replicated_table(fleet, connection)
        await run_query(connection, "SET @bronzescale_consistency = 'age:5000'")
        await anyio.sleep(0.6)
        assert await run_query(connection, "SELECT v FROM t") == ()
        assert sum_counter(fleet, "read.replica") >= 1
        fleet.servers["db-0-b"].copy.faults.lag_ms = 60_000
        writer = await fleet.connect("p-a")
        await run_query(writer, "INSERT INTO t VALUES (1, 'x')")
        await anyio.sleep(1.2)
        await run_query(connection, "SET @bronzescale_consistency = 'age:700'")
        # The replica in this zone is over 700 ms behind by now; another one serves.
        assert await run_query(connection, "SELECT v FROM t") == (("x",),)

    run_with_fleet(test)


def test_primary_reads_go_to_the_primary():
    async def test(fleet):
        connection = await fleet.connect("p-b")
        await make_table(connection)
        await run_query(connection, "SET @bronzescale_consistency = 'primary'")
        assert await run_query(connection, "SELECT v FROM t") == ()
        assert sum_counter(fleet, "read.primary") == 1

    run_with_fleet(test)


def test_concurrent_transactions_are_isolated():
    async def test(fleet):
        first = await fleet.connect("p-a")
        await make_table(first)
        await run_query(first, "INSERT INTO t VALUES (0, '0')")

        async def run_transactions(index):
            connection = await fleet.connect(f"p-{'abc'[index % 3]}")
            for number in range(4):
                base = 1 + index * 100 + number * 10
                await run_query(connection, "BEGIN")
                await run_query(
                    connection, f"INSERT INTO t VALUES ({base}, 'c{index}')"
                )
                await anyio.sleep(0.002 * (index % 4))
                await run_query(
                    connection, f"INSERT INTO t VALUES ({base + 1}, 'c{index}')"
                )
                is_committed = number % 2 == 0
                await run_query(connection, "COMMIT" if is_committed else "ROLLBACK")
            connection.close()

        async with anyio.create_task_group() as tasks:
            for index in range(12):
                tasks.start_soon(run_transactions, index)
        rows = await run_query(first, "SELECT id, v FROM t WHERE id > 0 ORDER BY id")
        expected = [
            (1 + index * 100 + number * 10 + step, f"c{index}")
            for index in range(12)
            for number in (0, 2)
            for step in (0, 1)
        ]
        assert list(rows) == expected

    run_with_fleet(test)


def test_disconnect_in_mid_transaction_rolls_back():
    async def test(fleet):
        for proxy in ("p-a", "p-b"):
            disconnecting = await fleet.connect(proxy)
            await run_query(
                disconnecting, f"CREATE TABLE t_{proxy[-1]} (id INT PRIMARY KEY)"
            )
            await run_query(disconnecting, "BEGIN")
            await run_query(disconnecting, f"INSERT INTO t_{proxy[-1]} VALUES (1)")
            disconnecting.close()
            other = await fleet.connect(proxy)
            await run_query(other, f"INSERT INTO t_{proxy[-1]} VALUES (1)")
            rows = await run_query(other, f"SELECT id FROM t_{proxy[-1]}")
            assert rows == ((1,),)

    run_with_fleet(test)


def test_transaction_is_rolled_back_when_its_proxy_dies():
    async def test(fleet):
        connection = await fleet.connect("p-b")
        await make_replicated_table(fleet, connection)
        await run_query(connection, "BEGIN")
        await run_query(connection, "INSERT INTO t VALUES (1, 'x')")
        fleet.kill_proxy("p-a")
        error = await expect_error(connection, "INSERT INTO t VALUES (2, 'y')")
        assert "rolled back and did not run" in str(error)
        await expect_error(connection, "SELECT 1 FROM t")
        await run_query(connection, "ROLLBACK")
        await run_query(connection, "INSERT INTO t VALUES (1, 'z')")
        assert await run_query(connection, "SELECT v FROM t") == (("z",),)

    run_with_fleet(test)


# Numbers of transactions that began anew with each owner let a session commit the
# transaction of another one.
def test_commit_after_a_replaced_owner_does_not_reach_another_transaction():
    async def test(fleet):
        first = await fleet.connect("p-a")
        await make_replicated_table(fleet, first)
        owner = next(
            owner
            for owner in fleet.proxies["p-a"].node.owners()
            if owner.upstream.name == fleet.primary_of().settings.name
        )
        await run_query(first, "BEGIN")
        await run_query(first, "INSERT INTO t VALUES (1, 'first')")
        # The owner is closed and made again, as when a database moves away and back.
        owner.close()
        del fleet.proxies["p-a"].node._owners[owner.upstream.name]
        second = await fleet.connect("p-a")
        await run_query(second, "BEGIN")
        await run_query(second, "INSERT INTO t VALUES (2, 'second')")
        await expect_error(first, "COMMIT")
        await run_query(second, "ROLLBACK")
        third = await fleet.connect("p-a")
        assert await run_query(third, "SELECT id FROM t") == ()

    run_with_fleet(test)


def test_autocommit_off_opens_transactions():
    async def test(fleet):
        connection = await fleet.connect("p-a")
        await make_table(connection)
        await run_query(connection, "SET autocommit = 0")
        await run_query(connection, "INSERT INTO t VALUES (1, 'x')")
        other = await fleet.connect("p-b")
        assert await run_query(other, "SELECT id FROM t") == ()
        await run_query(connection, "COMMIT")
        newer = await fleet.connect("p-b")
        assert await run_query(newer, "SELECT id FROM t") == ((1,),)

    run_with_fleet(test)


def test_read_only_transaction_runs_on_a_replica():
    async def test(fleet):
        connection = await fleet.connect("p-b")
        await make_table(connection)
        await run_query(connection, "START TRANSACTION READ ONLY")
        assert await run_query(connection, "SELECT id FROM t") == ()
        await expect_error(connection, "INSERT INTO t VALUES (1, 'x')")
        await run_query(connection, "ROLLBACK")
        assert fleet.groups["service-0"].copies["db-0-b"].statements >= 2

    run_with_fleet(test)


def test_request_key_makes_a_write_run_once():
    async def test(fleet):
        connection = await fleet.connect("p-b")
        await run_query(connection, "CREATE TABLE fellings (id INT)")
        for _ in range(3):
            await run_query(connection, "SET @bronzescale_request_key = 'felling-7'")
            await run_query(connection, "INSERT INTO fellings VALUES (7)")
        rows = await run_query(connection, "SELECT id FROM fellings")
        assert rows == ((7,),)
        await run_query(connection, "SET @bronzescale_request_key = 'felling-7'")
        error = await expect_error(connection, "INSERT INTO fellings VALUES (8)")
        assert "use a new key" in str(error)

    run_with_fleet(test)


def test_keyed_write_survives_a_lost_answer():
    async def test(fleet):
        connection = await fleet.connect("p-b")
        await run_query(connection, "CREATE TABLE fellings (id INT)")
        await run_query(connection, "SET @bronzescale_deadline_ms = 6000")
        copy = fleet.primary_of()
        await run_query(connection, "SET @bronzescale_request_key = 'k'")

        async def lose_commit_answer():
            before = copy.received
            while copy.received == before:
                await anyio.sleep(0)
            fleet.servers[copy.name].silence()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lose_commit_answer)
            await run_query(connection, "INSERT INTO fellings VALUES (1)")
        assert await run_query(connection, "SELECT id FROM fellings") == ((1,),)

    run_with_fleet(test)


def test_several_schema_versions_are_accepted():
    async def test(fleet):
        connection = await fleet.connect("p-a")
        await make_table(connection)
        for version in (1, 2):
            await run_query(connection, f"SET @bronzescale_schema_version = {version}")
            assert await run_query(connection, "SELECT id FROM t") == ()
        await run_query(connection, "SET @bronzescale_schema_version = 3")
        error = await expect_error(connection, "SELECT id FROM t")
        assert "not run: schema version 3" in str(error)

    run_with_fleet(test)


@pytest.mark.parametrize(
    ("sql", "remedy"),
    [
        ("SET sql_mode = 'ANSI'", "set it at the database"),
        ("SELECT @x", "keep the value in the caller"),
        ("CREATE TEMPORARY TABLE x (a INT)", "ordinary table"),
        ("SET @bronzescale_consistency = 'soon'", "use 'session', 'primary'"),
        ("SET @bronzescale_token = 'abc'", "pass the value of"),
        ("SET @bronzescale_deadline_ms = 0", "use 1 to"),
        ("USE nowhere", "bronzescalectl get"),
        ("SELECT 1; SELECT 2", "one by one"),
        ("SELECT GET_LOCK('a', 1)", "named locks"),
        ("SELECT v FROM nowhere", "no such table"),
    ],
)
def test_errors_name_the_remedy(sql, remedy):
    async def test(fleet):
        connection = await fleet.connect("p-a")
        assert remedy in str(await expect_error(connection, sql))
        # The session stays usable after an error.
        assert await run_query(connection, "SELECT DATABASE()") == (("service-0",),)

    run_with_fleet(test)


def test_prepared_statements_keep_types():
    async def test(fleet):
        connection = await fleet.connect("p-b")
        await run_query(connection, "CREATE TABLE p (id BIGINT, v TEXT, w DOUBLE)")
        statement = await connection.prepare("INSERT INTO p VALUES (?, ?, ?)")
        await statement.execute((-5, "it's ä", 2.5))
        await statement.execute((2**40, None, -0.125))
        select = await connection.prepare("SELECT id, v, w FROM p WHERE id > ?")
        result = await select.execute((-10,))
        assert [tuple(row) for row in result.rows] == [
            (-5, "it's ä", 2.5),
            (2**40, None, -0.125),
        ]

    run_with_fleet(test)


def test_large_result_is_complete():
    async def test(fleet):
        connection = await fleet.connect("p-b")
        await make_table(connection)
        text = "x" * 30
        for start in range(0, 20_000, 1_000):
            values = ", ".join(f"({n}, '{text}')" for n in range(start, start + 1_000))
            await run_query(connection, f"INSERT INTO t VALUES {values}")
        for proxy in ("p-a", "p-b"):
            reader = await fleet.connect(proxy)
            rows = await run_query(reader, "SELECT id, v FROM t ORDER BY id")
            assert [row[0] for row in rows] == list(range(20_000))

    run_with_fleet(test)


def test_kill_query_stops_only_that_query():
    async def test(fleet):
        connection = await fleet.connect("p-b")
        await make_table(connection)
        ((connection_id,),) = await run_query(connection, "SELECT CONNECTION_ID()")
        for copy in fleet.groups["service-0"].copies.values():
            copy.faults.answer_delay_ms = 400
        other = await fleet.connect("p-b")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(expect_error, connection, "SELECT v FROM t")
            await anyio.sleep(0.1)
            await run_query(other, f"KILL QUERY {connection_id}")
        for copy in fleet.groups["service-0"].copies.values():
            copy.faults.answer_delay_ms = 0
        assert await run_query(connection, "SELECT v FROM t") == ()

    run_with_fleet(test)


def test_unknown_fields_of_a_newer_release_are_kept():
    async def test(fleet):
        document = {**fleet.document, "novelty": {"kept": True}, "schema_version": 2}
        version, _ = fleet.platform.put("declaration", "main", document, 1)
        for app in fleet.proxies.values():
            while app.node.declaration.generation < version:
                await anyio.sleep(0.01)
            found = app.node.objects.get("declaration", "main")
            assert found.value["novelty"] == {"kept": True}
        future = {**document, "schema_version": 3}
        fleet.platform.put("declaration", "main", future, version)
        for app in fleet.proxies.values():
            while not app.node.declaration_problem:
                await anyio.sleep(0.01)
            advice = "use one of 1, 2, or upgrade to a release that supports it"
            assert advice in app.node.declaration_problem
            assert app.node.declaration.generation == version

    run_with_fleet(test)


def test_services_are_isolated():
    async def test(fleet):
        first = await fleet.connect("p-a", "service-0")
        second = await fleet.connect("p-a", "service-1")
        await make_table(first)
        await make_table(second)
        await run_query(first, "INSERT INTO t VALUES (1, 'first')")
        assert await run_query(second, "SELECT v FROM t") == ()
        await run_query(second, "USE `service-0`")
        assert await run_query(second, "SELECT v FROM t") == (("first",),)

    run_with_fleet(test, document=make_document(services=2))
