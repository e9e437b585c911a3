"""Convert rows of the text protocol to the binary protocol of prepared statements."""

from datetime import datetime, timedelta

from mysql_mimic import packets
from mysql_mimic.results import ResultColumn
from mysql_mimic.types import ColumnType

from bronzescale_proxy.upstream import decode_text_values

UNSIGNED_FLAG = 32
# The last fields of a column definition have a fixed size: their length, character set,
# column length, type, flags, decimals and two filler bytes.
_FIXED_FIELDS_BYTES = 13
_INTEGER_BYTES = {
    ColumnType.TINY: 1,
    ColumnType.BOOL: 1,
    ColumnType.SHORT: 2,
    ColumnType.YEAR: 2,
    ColumnType.INT24: 4,
    ColumnType.LONG: 4,
    ColumnType.LONGLONG: 8,
}
_FLOATS = frozenset((ColumnType.FLOAT, ColumnType.DOUBLE))
_DATES = frozenset((ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP))


class BinaryRowEncoder:
    """Encoder for the rows of one result.

    Parameters
    ----------
    columns : list of bytes
        Column definition packets.
    """

    def __init__(self, columns):
        types = [column_type(packet) for packet in columns]
        self._columns = [_result_column(i, t) for i, t in enumerate(types)]
        self._types = types

    def encode(self, row):
        """Return one row in the binary protocol.

        Parameters
        ----------
        row : bytes
            Row packet of the text protocol.

        Returns
        -------
        bytes
        """
        values = decode_text_values(row, len(self._types))
        python_values = [
            None if value is None else parse_value(value, kind)
            for value, kind in zip(values, self._types, strict=True)
        ]
        return packets.make_binary_resultrow(python_values, self._columns)


def _result_column(index, kind):
    """Return a column for the library's encoder.

    Integers get an encoder of this module, since those of the library ignore the sign
    and size of the column type.
    """
    encoder = _encode_integer if kind in _INTEGER_BYTES else None
    return ResultColumn(str(index), kind, binary_encoder=encoder)


def _encode_integer(column, value):
    return value.to_bytes(_INTEGER_BYTES[column.type], "little", signed=value < 0)


def column_type(packet):
    """Return the type in a column definition packet.

    Parameters
    ----------
    packet : bytes
        The column definition packet.

    Returns
    -------
    ColumnType
    """
    return ColumnType(packet[-_FIXED_FIELDS_BYTES + 1 + 6])


def parse_value(value, kind):
    """Convert a text protocol value to a Python value.

    Parameters
    ----------
    value : bytes
        The value as text.
    kind : ColumnType
        Type of the column.

    Returns
    -------
    object
    """
    if kind in _INTEGER_BYTES:
        return int(value)
    if kind in _FLOATS:
        return float(value)
    if kind in _DATES:
        return datetime.fromisoformat(value.decode())
    if kind is ColumnType.TIME:
        return _parse_time(value.decode())
    return value.decode("utf-8", "surrogateescape")


def _parse_time(text):
    sign = -1 if text.startswith("-") else 1
    hours, minutes, seconds = text.lstrip("-").split(":")
    return sign * timedelta(
        hours=int(hours), minutes=int(minutes), seconds=float(seconds)
    )
