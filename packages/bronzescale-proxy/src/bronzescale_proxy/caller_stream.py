"""Read and write MySQL packets of one caller, with a bound on their size."""

import asyncio
import struct

from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.stream import ConnectionClosed, MysqlStream

HEADER_BYTES = 4
MAX_PACKET_PAYLOAD_BYTES = 0xFFFFFF
ER_TOO_LARGE = 1153


class BoundedStream:
    """MySQL packets with a bound on their size.

    The library's own stream is compiled and cannot be inherited from, so this one
    holds it and reads for it.

    Parameters
    ----------
    reader : asyncio.StreamReader
        Incoming side.
    writer : asyncio.StreamWriter
        Outgoing side.
    max_packet_bytes : int
        Largest packet accepted.
    """

    def __init__(self, reader, writer, max_packet_bytes):
        inner = MysqlStream(reader, writer)
        self.reader = reader
        self.writer = writer
        self.seq = inner.seq
        self.write = inner.write
        self.write_many = inner.write_many
        self.drain = inner.drain
        self.reset_seq = inner.reset_seq
        self._max_packet_bytes = max_packet_bytes
        self.is_reading = False

    async def read(self):
        """Return the next packet's payload.

        Returns
        -------
        bytes

        Raises
        ------
        ConnectionClosed
            If the caller has gone.
        MysqlError
            If the packet is out of order or too large.
        """
        data = b""
        while True:
            payload = await self._read_one(len(data))
            data = data + payload if data else payload
            if len(payload) < MAX_PACKET_PAYLOAD_BYTES:
                return data

    async def _read_one(self, size_so_far):
        self.is_reading = not size_so_far
        try:
            header = await self.reader.readexactly(HEADER_BYTES)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise ConnectionClosed() from error
        finally:
            self.is_reading = False
        (word,) = struct.unpack("<I", header)
        size_bytes = word & MAX_PACKET_PAYLOAD_BYTES
        sequence = word >> 24
        expected = next(self.seq)
        if sequence != expected:
            raise MysqlError(
                f"packet {sequence} came in place of {expected}; connect again",
                ErrorCode.MALFORMED_PACKET,
            )
        if size_so_far + size_bytes > self._max_packet_bytes:
            raise MysqlError(
                f"the packet is larger than {self._max_packet_bytes} bytes; send less "
                "at once",
                ER_TOO_LARGE,
            )
        try:
            return await self.reader.readexactly(size_bytes)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise ConnectionClosed() from error
