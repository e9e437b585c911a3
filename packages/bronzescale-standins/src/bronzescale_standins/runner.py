"""Command line that runs the stand-ins of a deployment as separate processes.

Each command prints one line of JSON with its addresses once it is ready.
"""

import json
import sys
from pathlib import Path
from typing import Annotated

import anyio
import cyclopts
from cyclopts import Parameter
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from bronzescale_core.declaration import parse_toml
from bronzescale_standins.database import CopyServer
from bronzescale_standins.group import CopySettings, DatabaseGroup, Latencies
from bronzescale_standins.links import Forwarder, LinkTable
from bronzescale_standins.platform import HttpServer, Platform

app = cyclopts.App(name="standins", help="Run stand-ins for databases and platform.")


def read_delays(document):
    """Return the one-way delays between the zones of a declaration.

    Parameters
    ----------
    document : DeclarationDocument
        Declaration; its ``link`` tables contain the delays.

    Returns
    -------
    dict of frozenset to float
        Delay in ms by pair of zones.
    """
    return {
        frozenset((link["from"], link["to"])): link["one_way_ms"]
        for link in document.get("link", [])
    }


@app.command
def platform(*, hosts_lag_ms: float = 500.0):
    """Serve the platform's object API.

    Parameters
    ----------
    hosts_lag_ms
        Time until a change shows in the host list.
    """
    anyio.run(
        _serve_http, Platform(hosts_lag_ms).app(), backend_options=_BACKEND_OPTIONS
    )


@app.command
def databases(
    file: Path,
    service: str,
    *,
    connect_ms: float = 12.0,
    read_ms: float = 0.0,
    save_ms: float = 0.0,
    lag_ms: float = 0.0,
    with_delays: Annotated[bool, Parameter(negative="")] = False,
):
    """Serve the databases of one service.

    Parameters
    ----------
    file
        Declaration.
    service
        Name of the service.
    connect_ms
        Time to open a connection.
    read_ms
        Time that a read occupies its slot.
    save_ms
        Time that a write occupies its slot.
    lag_ms
        Replication lag.
    with_delays
        Whether to apply the declared delays between zones.
    """
    document = parse_toml(file.read_text())
    delays = read_delays(document) if with_delays else {}
    latencies = Latencies(connect_ms, read_ms, save_ms, lag_ms, delays)
    declared = next(s for s in document["service"] if s["name"] == service)
    anyio.run(_serve_databases, declared, latencies, backend_options=_BACKEND_OPTIONS)


@app.command
def links(file: Path):
    """Forward TCP connections between zones with the declared delays.

    Parameters
    ----------
    file
        Declaration.
    """
    document = parse_toml(file.read_text())
    table = LinkTable(read_delays(document))
    anyio.run(_serve_links, table, backend_options=_BACKEND_OPTIONS)


_BACKEND_OPTIONS = {"use_uvloop": True}


def _print_ready(**fields):
    print(json.dumps({"ready": True, **fields}), flush=True)


async def _serve_http(asgi_app, **fields):
    http = HttpServer(asgi_app)
    started = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(http.run, started)
        await started.wait()
        _print_ready(url=http.url, **fields)


async def _serve_databases(declared, latencies):
    copies = [
        CopySettings(
            u["name"],
            u["zone"],
            slots=u.get("slots", 3),
            max_connections=u.get("max_connections", 20),
        )
        for u in declared["upstream"]
    ]
    primary = declared.get("initial_primary", copies[0].name)
    group = DatabaseGroup(copies, primary, latencies)
    servers = {name: CopyServer(group, copy) for name, copy in group.copies.items()}
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        for server in servers.values():
            await server.start()
        addresses = {name: f"127.0.0.1:{s.port}" for name, s in servers.items()}
        await _serve_http(_make_control_app(servers), addresses=addresses)


def _make_control_app(servers):
    async def fault(request):
        body = await request.json()
        selected = [servers[name] for name in body.get("copies", servers)]
        for server in selected:
            await _inject_fault(server, body)
        return JSONResponse({"copies": [s.copy.name for s in selected]})

    async def state(request):
        return JSONResponse(
            {name: _copy_state(server.copy) for name, server in servers.items()}
        )

    return Starlette(
        routes=[
            Route("/fault", fault, methods=["PUT"]),
            Route("/state", state, methods=["GET"]),
        ]
    )


async def _inject_fault(server, body):
    faults = server.copy.faults
    kind = body["kind"]
    if kind == "stop":
        server.stop()
    elif kind == "restart":
        await server.restart()
    elif kind == "silence":
        server.silence()
    elif kind == "cut":
        server.cut(body.get("zones", []))
    elif hasattr(faults, kind):
        setattr(faults, kind, body["value"])


def _copy_state(copy):
    role, promised, log_term, received, applied = copy.status()
    return {
        "role": role,
        "promised_term": promised,
        "log_term": log_term,
        "received": received,
        "applied": applied,
        "connections": copy.connections,
        "most_connections": copy.most_connections,
        "refused_connections": copy.refused_connections,
        "statements": copy.statements,
    }


async def _serve_links(table):
    async with anyio.create_task_group() as tasks:

        async def forward(request):
            body = await request.json()
            forwarder = Forwarder(table, body["from"], body["to"], body["target"])
            await forwarder.listen()
            tasks.start_soon(forwarder.run)
            return JSONResponse({"address": forwarder.address})

        async def cut(request):
            body = await request.json()
            table.cut({frozenset(pair) for pair in body["pairs"]})
            return JSONResponse({"cuts": len(table.cuts)})

        async def meter(request):
            link_bytes = {"/".join(sorted(p)): n for p, n in table.byte_counts.items()}
            return JSONResponse(link_bytes)

        routes = [
            Route("/forward", forward, methods=["POST"]),
            Route("/cuts", cut, methods=["PUT"]),
            Route("/meter", meter, methods=["GET"]),
        ]
        await _serve_http(Starlette(routes=routes))


def main():
    """Run the command line."""
    app(sys.argv[1:])


if __name__ == "__main__":
    main()
