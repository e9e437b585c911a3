"""Read HTTP requests, for the pages of both kinds of processes."""

import anyio
import h11

# Requests for pages have no body worth the name.
READ_BYTES = 16 * 1024


async def receive_request(connection, stream):
    """Return the next request, its body skipped.

    Parameters
    ----------
    connection : h11.Connection
        State of the connection.
    stream : anyio.abc.ByteStream
        Where the request comes from.

    Returns
    -------
    h11.Request or None
        None when the other side has closed.

    Raises
    ------
    h11.RemoteProtocolError
        If what comes is no HTTP.
    """
    request = None
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            try:
                connection.receive_data(await stream.receive(READ_BYTES))
            except anyio.EndOfStream:
                return None
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.EndOfMessage):
            return request
        elif isinstance(event, h11.ConnectionClosed):
            return None
