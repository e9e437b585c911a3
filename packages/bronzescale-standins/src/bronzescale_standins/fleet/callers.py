"""A caller of the line protocol, for tests and load."""

import itertools
from typing import NamedTuple

import anyio

from bronzescale_proxy.fleet.streams import LineReader

_numbers = itertools.count(1)
MAX_LINE_BYTES = 1_048_576


class CallerAnswer(NamedTuple):
    """What a caller got for one statement.

    Parameters
    ----------
    code : str
        ``DONE`` or an error word.
    text : str
        Receipt or error text.
    rows : tuple of str
        Rows.
    state : str
        State of the session after it.
    request_id : str
        Id that the statement had.
    """

    code: str
    text: str
    rows: tuple
    state: str
    request_id: str

    @property
    def is_done(self):
        """Return whether it succeeded."""
        return self.code == "DONE"


class LineCaller:
    """One session of a caller."""

    def __init__(self, stream):
        self.stream = stream
        self._reader = LineReader(stream, b"\r\n", MAX_LINE_BYTES)

    @classmethod
    async def connect(cls, port, database, timeout_s=3.0, host="127.0.0.1"):
        """Open a session; raise `ConnectionRefusedError` with the error line."""
        with anyio.fail_after(timeout_s):
            stream = await anyio.connect_tcp(host, port)
            caller = cls(stream)
            await stream.send(f"CONNECT {database} test\r\n".encode())
            line = await caller.line()
        if not line.startswith("READY"):
            await stream.aclose()
            raise ConnectionRefusedError(line)
        return caller

    async def line(self):
        """Return the next line."""
        return (await self._reader.receive_line()).decode("latin-1")

    async def query(self, text, request_id=None, timeout_s=5.0):
        """Run a statement and return its answer."""
        request_id = request_id or f"q{next(_numbers)}"
        with anyio.fail_after(timeout_s):
            await self.stream.send(f"QUERY {request_id} {text}\r\n".encode("latin-1"))
            return await self.answer(request_id)

    async def answer(self, request_id=""):
        """Read one answer."""
        rows = []
        code = text = ""
        while True:
            word, _, rest = (await self.line()).partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "DONE":
                code, text = "DONE", rest
            elif word == "ERROR":
                code, _, text = rest.partition(" ")
            elif word == "READY":
                state = rest.split(" ")[0]
                return CallerAnswer(code, text, tuple(rows), state, request_id)

    async def close(self):
        """Leave without a word."""
        await anyio.aclose_forcefully(self.stream)
