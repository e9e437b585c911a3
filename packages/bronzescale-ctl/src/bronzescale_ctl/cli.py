"""Define the commands of bronzescalectl."""

import sys
import time
from pathlib import Path
from typing import Annotated

import cyclopts
from cyclopts import Parameter

from bronzescale_core.declaration import parse_toml
from bronzescale_core.exceptions import InvalidDeclarationError
from bronzescale_ctl.client import NodeClient, PlatformClient
from bronzescale_ctl.exceptions import (
    BadFileError,
    CommandError,
    NotFoundError,
    NotInForceError,
)
from bronzescale_ctl.render import print_json, print_table
from bronzescale_ctl.status import group_views, nodes_not_in_force, read_fleet

DECLARATION_KEY = ("declaration", "main")
IN_FORCE_TIMEOUT_S = 9.0
POLL_INTERVAL_S = 0.2

# Cyclopts builds the flags and the help of a command from the types and names of its
# parameters and from its docstring.
PlatformUrl = Annotated[str, Parameter(env_var="BRONZESCALE_PLATFORM_URL")]
AsJson = Annotated[bool, Parameter(name="--json", negative="")]

app = cyclopts.App(
    name="bronzescalectl",
    help="Declare what a bronzescale fleet serves and inspect its state.",
)


@app.command
def apply(
    file: Path,
    *,
    platform_url: PlatformUrl,
    base: int | None = None,
    wait_s: float = IN_FORCE_TIMEOUT_S,
    as_json: AsJson = False,
):
    """Apply a declaration and wait until it is in force on every listed node.

    Parameters
    ----------
    file
        File with the declaration in TOML.
    platform_url
        Base URL of the platform's object API.
    base
        Generation that the file was made from; the current one by default.
    wait_s
        Seconds to wait for it to be in force; 0 returns once it is accepted.
    as_json
        Print JSON.
    """
    document = _read_file(file)
    client = PlatformClient(platform_url)
    if base is None:
        base = client.read(*DECLARATION_KEY).version
    generation = client.update(*DECLARATION_KEY, document, base)
    if not as_json:
        print(f"accepted as generation {generation}")
    pending = _wait_in_force(client, generation, wait_s) if wait_s else []
    _report_in_force(generation, pending, as_json)


@app.command
def get(
    kind: str = DECLARATION_KEY[0],
    name: str = DECLARATION_KEY[1],
    *,
    platform_url: PlatformUrl,
):
    """Print an object of the platform's store as JSON.

    Parameters
    ----------
    kind
        Kind of the object: declaration or group.
    name
        Name of the object: main, or the name of a service.
    platform_url
        Base URL of the platform's object API.
    """
    found = PlatformClient(platform_url).read(kind, name)
    if found.value is None:
        raise NotFoundError(f"{kind}/{name} does not exist; apply a declaration first")
    print_json({"version": found.version, "value": found.value})


@app.command
def wait(
    generation: int,
    *,
    platform_url: PlatformUrl,
    wait_s: float = IN_FORCE_TIMEOUT_S,
    as_json: AsJson = False,
):
    """Wait until a generation is in force; list the nodes where it is not.

    Parameters
    ----------
    generation
        Generation to wait for.
    platform_url
        Base URL of the platform's object API.
    wait_s
        Seconds to wait.
    as_json
        Print JSON.
    """
    client = PlatformClient(platform_url)
    pending = _wait_in_force(client, generation, wait_s)
    _report_in_force(generation, pending, as_json)


@app.command
def status(
    service: str | None = None, *, platform_url: PlatformUrl, as_json: AsJson = False
):
    """Show the nodes and groups, or one service with its last change of primary.

    Parameters
    ----------
    service
        Name of a service; all services by default.
    platform_url
        Base URL of the platform's object API.
    as_json
        Print JSON.
    """
    view = read_fleet(PlatformClient(platform_url).nodes())
    groups = group_views(view)
    if service is not None:
        if service not in groups:
            raise NotFoundError(
                f"no node watches service {service!r}; see bronzescalectl get"
            )
        groups = {service: groups[service]}
    if as_json:
        missing = [node.name for node in view.missing]
        print_json({"groups": groups, "missing": missing, "nodes": _node_rows(view)})
        return
    _print_status(view, groups)


@app.command
def drain(node: str, *, platform_url: PlatformUrl):
    """Stop a node gracefully: it waits for statements in flight.

    Parameters
    ----------
    node
        Name of the node.
    platform_url
        Base URL of the platform's object API.
    """
    _node_client(platform_url, node).post("/drain")
    print(f"{node} is draining")


@app.command
def drain_upstream(upstream: str, *, platform_url: PlatformUrl):
    """Mark a database as leaving, so that reads avoid it.

    It still gets writes while it is the primary.

    Parameters
    ----------
    upstream
        Name of the database.
    platform_url
        Base URL of the platform's object API.
    """
    client = PlatformClient(platform_url)
    found = client.read(*DECLARATION_KEY)
    document = found.value or {}
    for service in document.get("service", []):
        for entry in service["upstream"]:
            if entry["name"] == upstream:
                entry["is_leaving"] = True
                generation = client.update(*DECLARATION_KEY, document, found.version)
                print(f"{upstream} is leaving as of generation {generation}")
                return
    raise NotFoundError(
        f"no service has an upstream {upstream!r}; see bronzescalectl get"
    )


@app.command
def switch(service: str, upstream: str, *, platform_url: PlatformUrl):
    """Make a copy the primary in a planned change that loses no data.

    Parameters
    ----------
    service
        Name of the service.
    upstream
        Copy that becomes the primary.
    platform_url
        Base URL of the platform's object API.
    """
    client = PlatformClient(platform_url)
    errors = []
    for node in client.nodes():
        response = NodeClient(node).post(
            "/switch", service=service, upstream=upstream, reason="bronzescalectl"
        )
        if response.status_code == 202:
            print(f"{node.name} is changing the primary of {service} to {upstream}")
            return
        errors.append(response.json()["error"])
    raise NotFoundError(
        "; ".join(errors) or "the platform lists no nodes; start a node"
    )


@app.command
def dump(node: str, *, platform_url: PlatformUrl):
    """Print the state of one node as JSON.

    Parameters
    ----------
    node
        Name of the node.
    platform_url
        Base URL of the platform's object API.
    """
    found = _node_client(platform_url, node).dump()
    if found is None:
        raise NotFoundError(f"node {node} does not respond; see bronzescalectl status")
    print_json(found)


def _node_client(platform_url, name):
    for node in PlatformClient(platform_url).nodes():
        if node.name == name:
            return NodeClient(node)
    raise NotFoundError(f"node {name!r} is not listed; see bronzescalectl status")


def _read_file(file):
    try:
        return parse_toml(file.read_text())
    except OSError as error:
        raise BadFileError(f"{file}: {error.strerror}; name a readable file") from error
    except InvalidDeclarationError as error:
        lines = [f"{file}: {problem.render()}" for problem in error.problems]
        raise BadFileError("\n".join([*lines, "nothing was applied"])) from error


def _wait_in_force(client, generation, wait_s):
    """Return the nodes where a generation is still not in force after `wait_s`."""
    deadline_s = time.monotonic() + wait_s
    while True:
        pending = nodes_not_in_force(read_fleet(client.nodes()), generation)
        if not pending or time.monotonic() >= deadline_s:
            return pending
        time.sleep(POLL_INTERVAL_S)


def _report_in_force(generation, pending, as_json):
    if as_json:
        print_json({"generation": generation, "not_in_force": pending})
    elif not pending:
        print(f"generation {generation} is in force on every listed node")
    if pending:
        names = ", ".join(
            f"{entry['node']} in {entry['zone']} ({entry['reason']})"
            for entry in pending
        )
        raise NotInForceError(
            f"generation {generation} is accepted but not in force on {names}; an "
            "unreachable node applies it once it is back, see bronzescalectl wait"
        )


def _node_rows(view):
    rows = [
        {
            "node": name,
            "zone": dump["zone"],
            "ready": dump["is_ready"],
            "generation": dump["generation"],
            "callers": dump["callers"]["open"],
            "owns": ", ".join(owner["upstream"] for owner in dump["owners"]),
            "store": "answers" if dump["store"]["is_answering"] else "out",
        }
        for name, dump in view.dumps.items()
    ]
    return rows + [
        {"node": node.name, "zone": node.zone, "ready": "no answer"}
        for node in view.missing
    ]


def _print_status(view, groups):
    rows = _node_rows(view)
    columns = ("node", "zone", "ready", "generation", "callers", "owns", "store")
    print_table(
        "Nodes", columns, [[row.get(column) for column in columns] for row in rows]
    )
    for name, group in sorted(groups.items()):
        title = f"{name}: term {group['term']}, {group['phase']}"
        fields = ("upstream", "zone", "role", "verdict", "received", "applied")
        fields = (*fields, "lag_entries", "age_ms")
        cells = [
            [copy.get(field) for field in fields] for copy in group["copies"].values()
        ]
        print_table(title, fields, cells)
        if len(groups) == 1 and group.get("steps"):
            steps = [
                (step["ago_ms"], step["step"], step["text"]) for step in group["steps"]
            ]
            title = f"Last change of primary, driven by {group['driver']}"
            print_table(title, ("ms ago", "step", "what"), steps)


def main():
    """Run the command line; exit with the code of the error if a command fails."""
    try:
        app()
    except CommandError as error:
        print(f"bronzescalectl: {error}", file=sys.stderr)
        sys.exit(error.exit_code)
