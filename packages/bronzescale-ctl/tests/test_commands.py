"""Test the commands against a running fleet of stand-ins."""

import json
import sys

import anyio
import pytest
from anyio.to_thread import run_sync

from bronzescale_ctl.cli import main
from bronzescale_ctl.client import PlatformClient
from bronzescale_ctl.exceptions import ConflictError
from bronzescale_standins.processes import to_toml
from bronzescale_standins.standin_fleet import StandinFleet, make_document, run_query


def run(test):
    async def body():
        async with StandinFleet(make_document()) as fleet:
            await fleet.start_proxies()
            with anyio.fail_after(40):
                await test(fleet)

    anyio.run(body)


@pytest.fixture
def ctl(monkeypatch, capsys):
    """Return a function that runs a command.

    It returns the exit code, standard output and standard error.
    """

    def call(url, *arguments):
        monkeypatch.setenv("BRONZESCALE_PLATFORM_URL", url)
        monkeypatch.setattr(sys, "argv", ["bronzescalectl", *map(str, arguments)])
        code = 0
        try:
            main()
        except SystemExit as error:
            code = error.code or 0
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    async def call_in_thread(fleet, *arguments):
        return await run_sync(call, fleet.platform_url, *arguments)

    return call_in_thread


def test_apply_reports_acceptance_and_waits_until_in_force(ctl, tmp_path):
    async def test(fleet):
        file = tmp_path / "good.toml"
        file.write_text(to_toml({**fleet.document, "comment": "second"}))
        code, out, _ = await ctl(fleet, "apply", file)
        assert code == 0
        assert "accepted as generation" in out
        assert "is in force on every listed node" in out
        code, out, _ = await ctl(fleet, "get")
        assert json.loads(out)["value"]["comment"] == "second"

    run(test)


def test_apply_of_invalid_or_missing_file_changes_nothing(ctl, tmp_path):
    async def test(fleet):
        file = tmp_path / "bad.toml"
        file.write_text(to_toml(fleet.document).replace('zone = "b"', 'zone = "x"', 1))
        before = fleet.platform.revision
        code, _, err = await ctl(fleet, "apply", file)
        assert code == 2
        assert "line " in err and "use a declared zone" in err
        assert "nothing was applied" in err
        assert fleet.platform.revision == before
        code, _, err = await ctl(fleet, "apply", tmp_path / "missing.toml")
        assert code == 2 and "name a readable file" in err

    run(test)


def test_apply_from_outdated_version_reports_current_version(ctl, tmp_path):
    async def test(fleet):
        file = tmp_path / "mine.toml"
        file.write_text(to_toml({**fleet.document, "comment": "mine"}))
        current = fleet.platform.get("declaration", "main")
        document = {**current["value"], "comment": "theirs"}
        newer, _ = fleet.platform.put(
            "declaration", "main", document, current["version"]
        )
        base = current["version"]
        code, _, err = await ctl(fleet, "apply", file, "--base", base)
        assert code == 3
        assert f"is at version {newer}" in err
        assert fleet.platform.get("declaration", "main")["value"] == document

    run(test)


def test_only_one_of_concurrent_updates_succeeds(ctl):
    async def test(fleet):
        client = PlatformClient(fleet.platform_url)
        base = fleet.platform.get("declaration", "main")["version"]
        outcomes = []

        async def apply(number):
            document = {**fleet.document, "comment": f"operator {number}"}
            try:
                arguments = ("declaration", "main", document, base)
                outcomes.append(await run_sync(client.update, *arguments))
            except ConflictError as error:
                outcomes.append(str(error))

        async with anyio.create_task_group() as tasks:
            for number in range(6):
                tasks.start_soon(apply, number)
        assert len([outcome for outcome in outcomes if isinstance(outcome, int)]) == 1

    run(test)


def test_apply_succeeds_if_only_the_response_is_lost(ctl, tmp_path):
    async def test(fleet):
        file = tmp_path / "good.toml"
        file.write_text(to_toml({**fleet.document, "comment": "lost answer"}))
        fleet.platform.faults.lose_answers = 1
        code, out, _ = await ctl(fleet, "apply", file)
        assert code == 0
        assert "accepted as generation" in out

    run(test)


def test_wait_lists_the_nodes_where_generation_is_not_in_force(ctl):
    async def test(fleet):
        code, _, err = await ctl(fleet, "wait", 10_000, "--wait-s", 0.3)
        assert code == 4
        assert "p-a in a" in err and "p-c in c" in err
        fleet.kill_proxy("p-c")
        code, out, _ = await ctl(fleet, "wait", 1, "--wait-s", 0.3, "--json")
        assert code == 4
        late = json.loads(out)["not_in_force"]
        assert late == [{"node": "p-c", "reason": "no answer", "zone": "c"}]

    run(test)


def test_unavailable_store_has_its_own_exit_code(ctl):
    async def test(fleet):
        fleet.platform.faults.is_down = True
        code, _, err = await ctl(fleet, "get")
        assert code == 5
        assert "wait until it is back" in err

    run(test)


def test_status_shows_the_steps_of_a_change_of_primary(ctl):
    async def test(fleet):
        connection = await fleet.connect("p-b")
        await run_query(connection, "CREATE TABLE t (id INT PRIMARY KEY)")
        fleet.servers["db-0-a"].stop()
        await run_query(connection, "INSERT INTO t VALUES (1)")
        code, out, _ = await ctl(fleet, "status", "service-0")
        assert code == 0
        assert "term 2" in out and "connections refused" in out
        assert "fencing 3 copies" in out
        code, _, err = await ctl(fleet, "status", "nothing")
        assert code == 6 and "see bronzescalectl get" in err

    run(test)


def test_switch_drain_upstream_and_drain(ctl):
    async def test(fleet):
        code, out, _ = await ctl(fleet, "switch", "service-0", "db-0-b")
        assert code == 0 and "to db-0-b" in out
        while fleet.primary_of().name != "db-0-b":
            await anyio.sleep(0.05)
        code, out, _ = await ctl(fleet, "drain-upstream", "db-0-a")
        assert code == 0
        code, out, _ = await ctl(fleet, "drain", "p-c")
        assert code == 0
        assert not fleet.proxies["p-c"].is_ready()
        code, _, err = await ctl(fleet, "dump", "p-x")
        assert code == 6 and "is not listed" in err

    run(test)
