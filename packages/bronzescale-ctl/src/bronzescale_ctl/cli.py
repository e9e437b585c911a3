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
from bronzescale_ctl.status import behind, group_views, read_fleet

DECLARATION = ("declaration", "main")
IN_FORCE_TIMEOUT_S = 9.0
POLL_S = 0.2

PlatformUrl = Annotated[str, Parameter(env_var="BRONZESCALE_PLATFORM_URL")]
AsJson = Annotated[bool, Parameter(name="--json", negative="")]

app = cyclopts.App(
    name="bronzescalectl",
    help="Declare what a bronzescale fleet serves, and see what it does.",
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
    """Apply a declaration and wait until it is in force everywhere.

    Parameters
    ----------
    file
        Declaration in TOML.
    platform_url
        Base URL of the platform's object API.
    base
        Generation that the file was made from; the current one if left out.
    wait_s
        How long to wait for it to be in force; 0 returns once it is accepted.
    as_json
        Print JSON.
    """
    document = _read_file(file)
    client = PlatformClient(platform_url)
    if base is None:
        base = client.read(*DECLARATION).version
    generation = client.update(*DECLARATION, document, base)
    if not as_json:
        print(f"accepted as generation {generation}")
    late = _wait_in_force(client, generation, wait_s) if wait_s else []
    _report_in_force(generation, late, as_json)


@app.command
def get(
    kind: str = DECLARATION[0],
    name: str = DECLARATION[1],
    *,
    platform_url: PlatformUrl,
):
    """Print an object of the store as JSON.

    Parameters
    ----------
    kind
        Kind of the object: declaration or group.
    name
        Its name: main, or the name of a service.
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
    """Wait until a generation is in force, and name the nodes not yet there.

    Parameters
    ----------
    generation
        Generation to wait for.
    platform_url
        Base URL of the platform's object API.
    wait_s
        How long to wait.
    as_json
        Print JSON.
    """
    client = PlatformClient(platform_url)
    late = _wait_in_force(client, generation, wait_s)
    _report_in_force(generation, late, as_json)


@app.command
def status(
    service: str | None = None, *, platform_url: PlatformUrl, as_json: AsJson = False
):
    """Show nodes and groups, or one service with its last change of primary.

    Parameters
    ----------
    service
        Name of a service; all if left out.
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
    """Stop a node gracefully: nothing in flight is cut.

    Parameters
    ----------
    node
        Name of the node.
    platform_url
        Base URL of the platform's object API.
    """
    _node_client(platform_url, node).post("/drain")
    print(f"{node} drains")


@app.command
def drain_upstream(upstream: str, *, platform_url: PlatformUrl):
    """Mark a database as leaving, so that it gets no new work.

    Parameters
    ----------
    upstream
        Name of the database.
    platform_url
        Base URL of the platform's object API.
    """
    client = PlatformClient(platform_url)
    found = client.read(*DECLARATION)
    document = found.value or {}
    for service in document.get("service", []):
        for each in service["upstream"]:
            if each["name"] == upstream:
                each["is_leaving"] = True
                generation = client.update(*DECLARATION, document, found.version)
                print(f"{upstream} leaves from generation {generation} on")
                return
    raise NotFoundError(f"no service has an upstream {upstream!r}; see get")


@app.command
def switch(service: str, upstream: str, *, platform_url: PlatformUrl):
    """Make a copy the primary in a planned change that loses nothing.

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
            print(f"{node.name} changes the primary of {service} to {upstream}")
            return
        errors.append(response.json()["error"])
    raise NotFoundError("; ".join(errors) or "no node is listed; check the platform")


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
        raise NotFoundError(f"node {node} does not answer; see bronzescalectl status")
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
    """Return the nodes where a generation is not in force when the time is up."""
    deadline_s = time.monotonic() + wait_s
    while True:
        late = behind(read_fleet(client.nodes()), generation)
        if not late or time.monotonic() >= deadline_s:
            return late
        time.sleep(POLL_S)


def _report_in_force(generation, late, as_json):
    if as_json:
        print_json({"generation": generation, "not_in_force": late})
    elif not late:
        print(f"generation {generation} is in force on every listed node")
    if late:
        names = ", ".join(
            f"{each['node']} in {each['zone']} ({each['reason']})" for each in late
        )
        raise NotInForceError(
            f"generation {generation} is accepted but not in force on {names}; it "
            "reaches them when they are back, see bronzescalectl wait"
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
    print_table("Nodes", columns, [[row.get(c) for c in columns] for row in rows])
    for name, group in sorted(groups.items()):
        title = f"{name}: term {group['term']}, {group['phase']}"
        fields = ("upstream", "zone", "role", "verdict", "received", "applied")
        fields = (*fields, "lag_entries", "age_ms")
        cells = [[copy.get(f) for f in fields] for copy in group["copies"].values()]
        print_table(title, fields, cells)
        if len(groups) == 1 and group.get("steps"):
            steps = [(s["ago_ms"], s["step"], s["text"]) for s in group["steps"]]
            title = f"Last change of primary, driven by {group['driver']}"
            print_table(title, ("ms ago", "step", "what"), steps)


def main():
    """Run the command line."""
    try:
        app()
    except CommandError as error:
        print(f"bronzescalectl: {error}", file=sys.stderr)
        sys.exit(error.exit_code)
