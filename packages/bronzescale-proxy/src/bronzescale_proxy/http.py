"""Read HTTP requests, for the admin server and the pages of the fleet's processes."""

import anyio
import h11

# Bytes per read. Requests have a small or empty body, so one read usually holds all.
READ_BYTES = 16 * 1024


async def receive_request(connection, stream):
    """Return the next request and skip its body.

    Parameters
    ----------
    connection : h11.Connection
        State of the connection.
    stream : anyio.abc.ByteStream
        Stream to read from.

    Returns
    -------
    h11.Request or None
        None if the client has closed the connection.

    Raises
    ------
    h11.RemoteProtocolError
        If the data is not valid HTTP.
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
