"""Serve readiness, metrics and the state dump over HTTP."""

import json

import anyio
import h11

from bronzescale_proxy.http import receive_request

# A reader that takes no page for this long is gone.
REQUEST_TIMEOUT_S = 5.0
# Readers ask each second; a connection without a request for this long is left over.
IDLE_TIMEOUT_S = 30.0


class PageServer:
    """Small HTTP server.

    Parameters
    ----------
    pages : dict of str to coroutine function
        By path; each returns status, content type and body.
    default : coroutine function
        Answers every other path.
    """

    def __init__(self, pages, default):
        self._pages = pages
        self._default = default

    async def serve_stream(self, stream):
        """Answer requests until the other side closes."""
        connection = h11.Connection(h11.SERVER)
        async with stream:
            try:
                while await self._serve_one(connection, stream):
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

    async def _serve_one(self, connection, stream):
        with anyio.fail_after(IDLE_TIMEOUT_S):
            request = await receive_request(connection, stream)
        if request is None:
            return False
        path = request.target.decode("latin-1").partition("?")[0]
        status, kind, body = await self._pages.get(path, self._default)()
        headers = [("Content-Type", kind), ("Content-Length", str(len(body)))]
        message = connection.send(h11.Response(status_code=status, headers=headers))
        message += connection.send(h11.Data(data=body))
        message += connection.send(h11.EndOfMessage())
        with anyio.fail_after(REQUEST_TIMEOUT_S):
            await stream.send(message)
        if connection.our_state is h11.MUST_CLOSE:
            return False
        connection.start_next_cycle()
        return True


def json_page(build):
    """Return a page that shows a document as JSON."""

    async def page():
        return 200, "application/json", json.dumps(build(), default=str).encode()

    return page
