"""Client of the line protocol, for tests and load."""

import itertools
from typing import NamedTuple

import anyio

from bronzescale_proxy.fleet.streams import LineReader

_request_numbers = itertools.count(1)
MAX_LINE_BYTES = 1_048_576


class CallerAnswer(NamedTuple):
    """Answer to one statement.

    Parameters
    ----------
    code : str
        ``DONE`` or an error code.
    text : str
        Signature of a success, or the error text.
    rows : tuple of str
        Result rows.
    state : str
        State of the session after the statement: ``I``, ``T`` or ``E``.
    request_id : str
        Request id of the statement.
    """

    code: str
    text: str
    rows: tuple
    state: str
    request_id: str

    @property
    def is_done(self):
        """Return whether the statement succeeded."""
        return self.code == "DONE"


class LineCaller:
    """Session of one caller on one connection."""

    def __init__(self, stream):
        self.stream = stream
        self._reader = LineReader(stream, b"\r\n", MAX_LINE_BYTES)

    @classmethod
    async def connect(cls, port, database, timeout_s=3.0, host="127.0.0.1", key="test"):
        """Open a session with a customer's key.

        Raises
        ------
        ConnectionRefusedError
            If the server refuses the session; holds its error line.
        TimeoutError
            If the session is not open within `timeout_s`.
        """
        with anyio.fail_after(timeout_s):
            stream = await anyio.connect_tcp(host, port)
            caller = cls(stream)
            await stream.send(f"CONNECT {database} {key}\r\n".encode())
            line = await caller.receive_line()
        if not line.startswith("READY"):
            await stream.aclose()
            raise ConnectionRefusedError(line)
        return caller

    async def receive_line(self):
        """Return the next line from the server."""
        return (await self._reader.receive_line()).decode("latin-1")

    async def query(self, text, request_id=None, timeout_s=5.0):
        """Run a statement and return its answer.

        Raises
        ------
        TimeoutError
            If the answer is not complete within `timeout_s`.
        """
        request_id = request_id or f"q{next(_request_numbers)}"
        with anyio.fail_after(timeout_s):
            await self.stream.send(f"QUERY {request_id} {text}\r\n".encode("latin-1"))
            return await self.answer(request_id)

    async def answer(self, request_id=""):
        """Read one answer up to its READY line."""
        rows = []
        code = text = ""
        while True:
            message, _, fields = (await self.receive_line()).partition(" ")
            if message == "ROW":
                rows.append(fields)
            elif message == "DONE":
                code, text = "DONE", fields
            elif message == "ERROR":
                code, _, text = fields.partition(" ")
            elif message == "READY":
                state = fields.split(" ")[0]
                return CallerAnswer(code, text, tuple(rows), state, request_id)

    async def close(self):
        """Close the connection at once, without a BYE message."""
        await anyio.aclose_forcefully(self.stream)
