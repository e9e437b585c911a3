"""Exchange statements and answers with a database over one connection."""

from typing import NamedTuple

import anyio
from asyncmy import errors as asyncmy_errors

from bronzescale_core.exceptions import UpstreamStatementError
from bronzescale_core.positions import ORIGIN, Position
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import UpstreamUnavailableError

COM_QUERY = 0x03
COM_PING = 0x0E
PING_TIMEOUT_S = 0.5
_POSITION_PREFIX = b"bronzescale position "
# Errors of the client library; the connection cannot be used after one of them.
_CLIENT_ERROR_CODES = range(2000, 2100)


class OkAnswer(NamedTuple):
    """Answer to a statement that returns no rows.

    Parameters
    ----------
    affected_rows, insert_id, warnings : int
        Values that the database reported.
    position : Position
        Log position of the change; the origin if nothing was committed.
    """

    affected_rows: int
    insert_id: int
    warnings: int
    position: Position


class UpstreamConnection:
    """One connection to a database.

    Parameters
    ----------
    raw : asyncmy.connection.Connection
        The open connection.
    permit : int
        Number of the named lock that it holds; -1 for none.
    """

    def __init__(self, raw, permit):
        self._raw = raw
        self.permit = permit
        self.is_clean = True
        self.used_at_ms = 0
        self.sent_at_ms = 0

    async def execute(self, sql):
        """Run a statement and yield its answer piece by piece.

        Parameters
        ----------
        sql : str
            The statement.

        Yields
        ------
        OkAnswer, list of bytes or bytes
            An `OkAnswer` alone, or the column packets and then each row packet.

        Raises
        ------
        UpstreamStatementError
            If the database answered with an error.
        UpstreamUnavailableError
            If the connection was lost; close it.
        """
        self.is_clean = False
        transport = self._raw._transport
        if transport is None or transport.is_closing():
            raise UpstreamUnavailableError("the connection was closed", is_sent=False)
        self.sent_at_ms = now_ms()
        try:
            await self._raw._execute_command(COM_QUERY, sql)
            first = await self._raw.read_packet()
            self.sent_at_ms = 0
            data = first.get_all_data()
            if data[0] == 0x00:
                yield _parse_ok(first)
            else:
                yield await self._read_columns(first.read_length_encoded_integer())
                async for row in self._read_rows():
                    yield row
            self.is_clean = True
        except asyncmy_errors.Error as error:
            raise self._translate_error(error) from error
        except (OSError, RuntimeError) as error:
            raise UpstreamUnavailableError(f"connection lost: {error}") from error

    async def run(self, sql):
        """Run a statement and return its whole answer.

        Parameters
        ----------
        sql : str
            The statement; its whole answer is held in memory.

        Returns
        -------
        OkAnswer or list of tuple of str
            The rows as text.
        """
        columns = None
        rows = []
        async for piece in self.execute(sql):
            if isinstance(piece, OkAnswer):
                return piece
            if columns is None:
                columns = piece
            else:
                rows.append(decode_text_row(piece, len(columns)))
        return rows

    async def ping(self):
        """Raise `UpstreamUnavailableError` unless the database answers in time."""
        self.is_clean = False
        try:
            with anyio.fail_after(PING_TIMEOUT_S):
                await self._raw._execute_command(COM_PING, b"")
                await self._raw.read_packet()
        except (asyncmy_errors.Error, OSError, RuntimeError, TimeoutError) as error:
            raise UpstreamUnavailableError("the connection went silent") from error
        self.is_clean = True

    def pause_reading(self):
        """Stop reading; TCP flow control then holds the answer back at the database."""
        transport = self._raw._transport
        if transport is not None and not transport.is_closing():
            transport.pause_reading()

    def resume_reading(self):
        """Continue reading after `pause_reading`."""
        transport = self._raw._transport
        if transport is not None and not transport.is_closing():
            transport.resume_reading()

    def close(self):
        """Abort the connection.

        The database then ends the running statement and frees the permit.
        """
        self.is_clean = False
        transport = self._raw._transport
        if transport is not None:
            transport.abort()
        self._raw.close()

    async def _read_columns(self, count):
        columns = []
        for _ in range(count):
            packet = await self._raw.read_packet()
            columns.append(packet.get_all_data())
        if not self._raw._deprecate_eof:
            await self._raw.read_packet()
        return columns

    async def _read_rows(self):
        limit = 0xFFFFFF if self._raw._deprecate_eof else 9
        while True:
            packet = await self._raw.read_packet()
            data = packet.get_all_data()
            if data[0] == 0xFE and len(data) < limit:
                return
            yield data

    def _translate_error(self, error):
        code = error.args[0] if error.args else 0
        text = str(error.args[1]) if len(error.args) > 1 else str(error)
        is_lost = not isinstance(code, int) or code in _CLIENT_ERROR_CODES or code == 0
        if is_lost or isinstance(error, asyncmy_errors.InterfaceError):
            return UpstreamUnavailableError(f"connection lost: {text}")
        if "sequence number" in text:
            return UpstreamUnavailableError("an answer belonged to another statement")
        self.is_clean = True
        sqlstate = getattr(error, "sqlstate", None) or "HY000"
        return UpstreamStatementError(text, code, sqlstate)


def _parse_ok(packet):
    packet.advance(1)
    affected_rows = packet.read_length_encoded_integer()
    insert_id = packet.read_length_encoded_integer()
    packet.read_uint16()
    warnings = packet.read_uint16()
    data = packet.get_all_data()
    start = data.find(_POSITION_PREFIX)
    position = ORIGIN
    if start >= 0:
        term, _, offset = data[start + len(_POSITION_PREFIX) :].partition(b":")
        position = Position(int(term), int(offset))
    return OkAnswer(affected_rows, insert_id, warnings, position)


def decode_text_values(data, count):
    """Split a text protocol row into its values.

    Parameters
    ----------
    data : bytes
        The row packet.
    count : int
        Number of columns in the result.

    Returns
    -------
    list of bytes or None
    """
    values = []
    start = 0
    for _ in range(count):
        size = data[start]
        start += 1
        if size == 0xFB:
            values.append(None)
            continue
        if size >= 0xFC:
            width = {0xFC: 2, 0xFD: 3, 0xFE: 8}[size]
            size = int.from_bytes(data[start : start + width], "little")
            start += width
        values.append(data[start : start + size])
        start += size
    return values


def decode_text_row(data, count):
    """Return the values of a text protocol row as strings.

    Parameters
    ----------
    data : bytes
        The row packet.
    count : int
        Number of columns in the result.

    Returns
    -------
    tuple of str or None
    """
    values = decode_text_values(data, count)
    return tuple(None if value is None else value.decode() for value in values)
