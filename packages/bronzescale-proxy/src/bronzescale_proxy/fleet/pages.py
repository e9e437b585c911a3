"""Serve readiness, metrics and the state dump over HTTP."""

import json

import anyio
import h11

from bronzescale_proxy.http import receive_request

# A client that has not read its answer by then is disconnected, so that clients that
# hang hold no connections.
SEND_TIMEOUT_S = 5.0
# Clients send a request every second; a connection that is idle until this timeout has
# been abandoned.
IDLE_TIMEOUT_S = 30.0


class PageServer:
    """Minimal HTTP server.

    Parameters
    ----------
    pages : dict of str to coroutine function
        Pages by path; each returns status, content type and body.
    default : coroutine function
        Page for every other path.
    """

    def __init__(self, pages, default):
        self._pages = pages
        self._default = default

    async def serve_stream(self, stream):
        """Answer requests until the client closes the connection."""
        connection = h11.Connection(h11.SERVER)
        async with stream:
            try:
                while await self._serve_request(connection, stream):
                    pass
            except (
                h11.RemoteProtocolError,
                h11.LocalProtocolError,
                TimeoutError,
                OSError,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return

    async def _serve_request(self, connection, stream):
        with anyio.fail_after(IDLE_TIMEOUT_S):
            request = await receive_request(connection, stream)
        if request is None:
            return False
        path = request.target.decode("latin-1").partition("?")[0]
        status, content_type, body = await self._pages.get(path, self._default)()
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        message = connection.send(h11.Response(status_code=status, headers=headers))
        message += connection.send(h11.Data(data=body))
        message += connection.send(h11.EndOfMessage())
        with anyio.fail_after(SEND_TIMEOUT_S):
            await stream.send(message)
        if connection.our_state is h11.MUST_CLOSE:
            return False
        connection.start_next_cycle()
        return True


def json_page(build):
    """Return a page function that renders the document from `build` as JSON."""

    async def page():
        return 200, "application/json", json.dumps(build(), default=str).encode()

    return page
