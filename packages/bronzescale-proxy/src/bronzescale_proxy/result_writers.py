"""Write results to callers in the text and the binary protocol of MySQL."""

import struct

from mysql_mimic import packets
from mysql_mimic.results import ResultColumn
from mysql_mimic.types import ColumnType

from bronzescale_proxy.binary_rows import BinaryRowEncoder
from bronzescale_proxy.caller_stream import MAX_PACKET_PAYLOAD_BYTES


def make_error_packet(code, sqlstate, text):
    """Return the payload of an error packet.

    Parameters
    ----------
    code : int
        Error number.
    sqlstate : str
        SQLSTATE, five characters.
    text : str
        Error message.

    Returns
    -------
    bytes
    """
    header = struct.pack("<BH", 0xFF, code)
    return header + b"#" + sqlstate.encode() + text.encode()


class TextWriter:
    """Write a result in the text protocol."""

    def __init__(self, connection):
        self._connection = connection
        self._stream = connection.stream
        self.has_started = False

    async def write_part(self, part):
        """Write a part of a result; unless it is the last, drain the buffer.

        Parameters
        ----------
        part : ResultPart
            The part.
        """
        if part.columns and not self.has_started:
            self._write_columns(part.columns)
        if part.rows:
            await self._write_rows(self.encode_rows(part.rows))
        if part.end is None:
            await self._stream.drain()

    def encode_rows(self, rows):
        """Return row packets in the format of this protocol."""
        return rows

    async def _write_rows(self, rows):
        if max(map(len, rows)) < MAX_PACKET_PAYLOAD_BYTES:
            self._stream.write_many(rows)
            return
        for row in rows:
            await self._stream.write(row, drain=False)

    def _write_columns(self, columns):
        self.has_started = True
        count = packets.make_column_count(
            capabilities=self._connection.capabilities, column_count=len(columns)
        )
        self._stream.write_many([count, *columns])
        if not self._connection.deprecate_eof():
            self._stream.write_many([self._connection.eof()])

    async def finish(self, end):
        """Write the final packet of a result.

        Parameters
        ----------
        end : ResultEnd
            Outcome of the statement.
        """
        if self.has_started:
            await self._stream.write(self._connection.ok_or_eof(warnings=end.warnings))
            return
        await self._stream.write(
            self._connection.ok(
                affected_rows=end.affected_rows,
                last_insert_id=end.insert_id,
                warnings=end.warnings,
            )
        )

    async def write_local(self, answer):
        """Write an answer that the proxy gives itself.

        Parameters
        ----------
        answer : LocalAnswer
            The answer.
        """
        if not answer.label:
            await self._stream.write(self._connection.ok())
            return
        column = packets.make_column_definition_41(
            server_charset=self._connection.server_charset,
            name=answer.label,
            column_type=ColumnType.VARCHAR,
        )
        result_column = ResultColumn(answer.label, ColumnType.VARCHAR)
        row = packets.make_text_resultset_row([answer.value], [result_column])
        self._write_columns([column])
        self._prepare_columns([column])
        self._stream.write_many(self.encode_rows([row]))
        await self._stream.write(self._connection.ok_or_eof())

    def _prepare_columns(self, columns):
        """Prepare for rows of these columns; does nothing for the text protocol."""


class BinaryWriter(TextWriter):
    """Write a result in the binary protocol of prepared statements."""

    def __init__(self, connection):
        super().__init__(connection)
        self._encoder = None

    async def write_part(self, part):
        """Write a part of a result; unless it is the last, drain the buffer."""
        if part.columns and self._encoder is None:
            self._prepare_columns(part.columns)
        await super().write_part(part)

    def encode_rows(self, rows):
        """Return the rows in the binary protocol."""
        return [self._encoder.encode(row) for row in rows]

    def _prepare_columns(self, columns):
        self._encoder = BinaryRowEncoder(columns)
