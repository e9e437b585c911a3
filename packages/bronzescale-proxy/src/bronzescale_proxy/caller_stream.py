"""Read and write the MySQL packets of one caller, with a limit on their size."""

import asyncio
import struct

from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.stream import ConnectionClosed, MysqlStream

HEADER_BYTES = 4
# A payload of this size continues in the next packet.
MAX_PACKET_PAYLOAD_BYTES = 0xFFFFFF
ER_NET_PACKET_TOO_LARGE = 1153


class BoundedStream:
    """Stream of MySQL packets with a limit on their size.

    The library's stream class is compiled and can't be subclassed, so this class wraps
    an instance of it and replaces `read`.

    Parameters
    ----------
    reader : asyncio.StreamReader
        Reads from the caller.
    writer : asyncio.StreamWriter
        Writes to the caller.
    max_packet_bytes : int
        Largest payload accepted, over all packets that it is split into.
    """

    def __init__(self, reader, writer, max_packet_bytes):
        mysql_stream = MysqlStream(reader, writer)
        self.reader = reader
        self.writer = writer
        self.seq = mysql_stream.seq
        self.write = mysql_stream.write
        self.write_many = mysql_stream.write_many
        self.drain = mysql_stream.drain
        self.reset_seq = mysql_stream.reset_seq
        self._max_packet_bytes = max_packet_bytes
        self.is_reading = False

    async def read(self):
        """Return the next payload, joined from as many packets as it spans.

        Returns
        -------
        bytes

        Raises
        ------
        ConnectionClosed
            If the caller has disconnected.
        MysqlError
            If the packet is out of order or too large.
        """
        data = b""
        while True:
            payload = await self._read_packet(len(data))
            data = data + payload if data else payload
            if len(payload) < MAX_PACKET_PAYLOAD_BYTES:
                return data

    async def _read_packet(self, size_so_far):
        self.is_reading = not size_so_far
        try:
            header = await self.reader.readexactly(HEADER_BYTES)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise ConnectionClosed() from error
        finally:
            self.is_reading = False
        (size_and_sequence,) = struct.unpack("<I", header)
        size_bytes = size_and_sequence & MAX_PACKET_PAYLOAD_BYTES
        sequence = size_and_sequence >> 24
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
                ER_NET_PACKET_TOO_LARGE,
            )
        try:
            return await self.reader.readexactly(size_bytes)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise ConnectionClosed() from error
