"""Invalid packets, failed logins, half-open connections, graceful stop, overload."""

import struct
import subprocess
import sys
import time

import anyio
import asyncmy
import pytest
from asyncmy import errors

from bronzescale_standins.standin_fleet import StandinFleet, make_document, run_query

HALF_OPEN_CONNECTIONS = 10_000


def run_with_fleet(test, document=None, **options):
    async def main():
        async with StandinFleet(document) as fleet:
            await fleet.start_proxies(**options)
            with anyio.fail_after(70):
                await test(fleet)

    anyio.run(main)


async def connect_raw(fleet, proxy="p-a"):
    port = fleet.proxies[proxy].callers.port
    return await anyio.connect_tcp("127.0.0.1", port)


async def read_to_end(stream):
    data = b""
    with anyio.fail_after(8):
        try:
            while True:
                data += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return data


@pytest.mark.parametrize(
    "packet",
    [
        b"",
        b"\x00",
        b"\xff" * 64,
        struct.pack("<I", 5 | (1 << 24)) + b"abcde",
        struct.pack("<I", 0xFFFFFF | (1 << 24)) + b"x" * 100,
        struct.pack("<I", 4 | (9 << 24)) + b"quit",
    ],
)
def test_invalid_login_packet_closes_only_its_connection(packet):
    async def test(fleet):
        other = await fleet.connect("p-a")
        stream = await connect_raw(fleet)
        await stream.receive()
        if packet:
            await stream.send(packet)
        await stream.send_eof()
        await read_to_end(stream)
        assert await run_query(other, "SELECT DATABASE()") == (("service-0",),)

    run_with_fleet(test)


def test_oversize_statement_is_refused():
    async def test(fleet):
        connection = await fleet.connect("p-a")
        with pytest.raises(errors.Error):
            await run_query(connection, "SELECT '" + "x" * 70_000 + "'")
        other = await fleet.connect("p-a")
        assert await run_query(other, "SELECT DATABASE()") == (("service-0",),)

    run_with_fleet(test, max_packet_bytes=65_536)


def test_wrong_logins_are_refused():
    document = make_document()
    document["user"].append({"name": "chief", "password_sha1": "ab" * 20})

    async def login(fleet, user, password):
        connection = await asyncmy.connect(
            host="127.0.0.1",
            port=fleet.proxies["p-a"].callers.port,
            user=user,
            password=password,
            db="service-0",
        )
        return await run_query(connection, "SELECT DATABASE()")

    async def test(fleet):
        for user, password in (("nobody", ""), ("chief", ""), ("chief", "wrong")):
            with pytest.raises(errors.Error):
                await login(fleet, user, password)
        assert await login(fleet, "crew", "") == (("service-0",),)

    run_with_fleet(test, document)


HOLD_SOCKETS = """
import socket, sys
held = []
for _ in range(int(sys.argv[2])):
    held.append(socket.create_connection(("127.0.0.1", int(sys.argv[1])), 10))
sys.stdin.read()
"""


def test_half_open_connections_time_out_without_affecting_others():
    async def test(fleet):
        other = await fleet.connect("p-a")
        server = fleet.proxies["p-a"].callers
        # A child process holds the client ends, since both ends in one process would
        # exceed its limit of open files.
        command = [
            sys.executable,
            "-c",
            HOLD_SOCKETS,
            str(server.port),
            str(HALF_OPEN_CONNECTIONS),
        ]
        with subprocess.Popen(command, stdin=subprocess.PIPE) as client:
            while server.open_connections <= HALF_OPEN_CONNECTIONS:
                await anyio.sleep(0.05)
            assert await run_query(other, "SELECT DATABASE()") == (("service-0",),)
            while server.open_connections > 1:
                await anyio.sleep(0.05)
            assert await run_query(other, "SELECT DATABASE()") == (("service-0",),)
            client.stdin.close()

    run_with_fleet(test, login_timeout_ms=20_000, max_callers=12_000)


def test_caller_over_the_limit_gets_an_error():
    async def test(fleet):
        connections = [await fleet.connect("p-a") for _ in range(3)]
        with pytest.raises(errors.Error, match="too many callers"):
            await fleet.connect("p-a")
        connections.pop().close()
        await anyio.sleep(0.1)
        await fleet.connect("p-a")

    run_with_fleet(test, max_callers=3)


def test_graceful_stop_finishes_work_in_flight():
    async def test(fleet):
        writer = await fleet.connect("p-b")
        await run_query(writer, "CREATE TABLE t (id INT PRIMARY KEY)")
        open_transaction = await fleet.connect("p-a")
        await run_query(open_transaction, "BEGIN")
        await run_query(open_transaction, "INSERT INTO t VALUES (1)")
        for copy in fleet.groups["service-0"].copies.values():
            copy.faults.answer_delay_ms = 300
        results = []

        async def write_row(number):
            connection = await fleet.connect("p-a")
            await run_query(connection, "SET @bronzescale_deadline_ms = 9000")
            await run_query(connection, f"INSERT INTO t VALUES ({number})")
            results.append(number)

        async with anyio.create_task_group() as tasks:
            for number in (2, 3):
                tasks.start_soon(write_row, number)
            await anyio.sleep(0.2)
            app = fleet.proxies["p-a"]
            app.request_stop()
            assert not app.is_ready()
            await anyio.sleep(0.1)
            with pytest.raises((errors.Error, OSError)):
                await fleet.connect("p-a")
            await run_query(open_transaction, "INSERT INTO t VALUES (4)")
            await run_query(open_transaction, "COMMIT")
        for copy in fleet.groups["service-0"].copies.values():
            copy.faults.answer_delay_ms = 0
        assert sorted(results) == [2, 3]
        await run_query(writer, "SET @bronzescale_consistency = 'primary'")
        rows = await run_query(writer, "SELECT id FROM t ORDER BY id")
        assert rows == ((1,), (2,), (3,), (4,))

    run_with_fleet(test)


# A stop used to pass statements of transactions on until the end of the grace period
# and to cut off those that ran.
@pytest.mark.parametrize("front_end", ["p-a", "p-b"])
def test_stop_answers_a_running_statement_and_refuses_the_commit(front_end):
    async def test(fleet):
        writer = await fleet.connect("p-c")
        await run_query(writer, "CREATE TABLE t (id INT PRIMARY KEY)")
        caller = await fleet.connect(front_end)
        await run_query(caller, "BEGIN")
        for copy in fleet.groups["service-0"].copies.values():
            copy.faults.answer_delay_ms = 1_800
        app = fleet.proxies["p-a"]
        answers = []

        async def write_row():
            answers.append(await run_query(caller, "INSERT INTO t VALUES (1)"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write_row)
            await anyio.sleep(0.2)
            app.request_stop()
        for copy in fleet.groups["service-0"].copies.values():
            copy.faults.answer_delay_ms = 0
        assert len(answers) == 1
        with pytest.raises(errors.Error, match="not run"):
            await run_query(caller, "COMMIT")
        assert await run_query(writer, "SELECT id FROM t") == ()

    run_with_fleet(test, stop_grace_ms=3_000)


def test_overload_is_refused_immediately_with_a_retry_delay():
    document = make_document()
    document["service"][0]["max_queued"] = 2

    async def test(fleet):
        writer = await fleet.connect("p-a")
        await run_query(writer, "CREATE TABLE t (id INT PRIMARY KEY)")
        for copy in fleet.groups["service-0"].copies.values():
            copy.faults.answer_delay_ms = 500
        answers = []

        async def write_row(number):
            connection = await fleet.connect("p-a")
            started_s = time.monotonic()
            try:
                await run_query(connection, f"INSERT INTO t VALUES ({number})")
                answers.append(("acknowledged", number))
            except errors.Error as error:
                elapsed_s = time.monotonic() - started_s
                assert elapsed_s < 0.4, "the refusal was delayed"
                assert "retry after" in str(error)
                answers.append(("refused", number))

        async with anyio.create_task_group() as tasks:
            for number in range(12):
                tasks.start_soon(write_row, number)
        written = {number for kind, number in answers if kind == "acknowledged"}
        assert len(answers) == 12
        assert 5 <= len(written) < 12
        primary = fleet.primary_of()
        texts = [sql for entry in primary.log for sql in entry.statements]
        inserts = [sql for sql in texts if sql.startswith("INSERT")]
        assert sorted(inserts) == sorted(f"INSERT INTO t VALUES ({n})" for n in written)

    run_with_fleet(test, document)
