"""Serve operators and the load balancer over HTTP: readiness, dump, drain, switch."""

import json
import logging
from urllib.parse import parse_qs, urlsplit

import anyio
import h11

from bronzescale_proxy.dump import build_dump
from bronzescale_proxy.http import receive_request

logger = logging.getLogger("bronzescale.admin")

# Bounds one request, from accepting the connection to writing the response. Without it,
# an idle client would keep the connection and its task open.
REQUEST_TIMEOUT_S = 5.0


class AdminServer:
    """HTTP server of one process.

    Parameters
    ----------
    app : Application
        Application of this process.
    """

    def __init__(self, app):
        self._app = app

    async def serve_stream(self, stream):
        """Answer one request and close the connection.

        Parameters
        ----------
        stream : anyio.abc.ByteStream
            The connection.
        """
        connection = h11.Connection(h11.SERVER)
        async with stream:
            try:
                with anyio.fail_after(REQUEST_TIMEOUT_S):
                    request = await receive_request(connection, stream)
                    if request is not None:
                        status, document = self._answer(request)
                        await self._write(connection, stream, status, document)
            except (h11.RemoteProtocolError, TimeoutError, anyio.BrokenResourceError):
                logger.info("admin: dropped a request that was invalid or timed out.")

    def _answer(self, request):
        method = request.method.decode()
        parts = urlsplit(request.target.decode("ascii", "replace"))
        options = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if (method, parts.path) == ("GET", "/ready"):
            is_ready = self._app.is_ready()
            return (200 if is_ready else 503), {"ready": is_ready}
        if (method, parts.path) == ("GET", "/dump"):
            return 200, build_dump(self._app)
        if (method, parts.path) == ("POST", "/drain"):
            self._app.request_stop()
            return 202, {"draining": self._app.settings.node}
        if (method, parts.path) == ("POST", "/switch"):
            return self._switch(options)
        hint = "use GET /ready, GET /dump, POST /drain or POST /switch"
        return 404, {"error": f"{method} {parts.path} is unknown; {hint}"}

    def _switch(self, options):
        service = options.get("service", "")
        upstream = options.get("upstream", "")
        group = self._app.node.group(service)
        if group is None:
            node = self._app.settings.node
            return 409, {"error": f"{node} does not watch {service!r}; ask a watcher"}
        if upstream not in [u.name for u in group.service.upstreams]:
            return 400, {"error": f"{upstream!r} is no upstream of {service}"}
        group.plan_change(upstream, options.get("reason", "planned change"))
        return 202, {"switching": service, "to": upstream}

    async def _write(self, connection, stream, status, document):
        body = json.dumps(document).encode()
        headers = [
            ("content-type", "application/json"),
            ("content-length", str(len(body))),
            ("connection", "close"),
        ]
        response = h11.Response(status_code=status, headers=headers)
        await stream.send(connection.send(response))
        await stream.send(connection.send(h11.Data(data=body)))
        await stream.send(connection.send(h11.EndOfMessage()) or b"")
