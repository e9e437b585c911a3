"""Insert the parameters of a prepared statement into its text.

The MySQL library does this without escaping, so a quote in a parameter would end the
literal and allow SQL injection.
"""

import re
from datetime import date, datetime, timedelta
from functools import singledispatch

# Matches quoted text and comments, so that a ``?`` in them is skipped, and placeholders
# as group 1.
_QUOTED_OR_PLACEHOLDER = re.compile(
    r"'(?:[^'\\]|\\.|'')*'"
    r'|"(?:[^"\\]|\\.|"")*"'
    r"|`[^`]*`"
    r"|--[^\n]*|#[^\n]*|/\*.*?\*/"
    r"|(\?)",
    re.DOTALL,
)


def split_placeholders(sql):
    """Split a statement at its placeholders.

    Parameters
    ----------
    sql : str
        Text of the statement; each ``?`` outside of quotes and comments is a
        placeholder.

    Returns
    -------
    list of str
        The text between placeholders; one more piece than there are placeholders.
    """
    pieces = []
    start = 0
    for match in _QUOTED_OR_PLACEHOLDER.finditer(sql):
        if match.group(1):
            pieces.append(sql[start : match.start()])
            start = match.end()
    pieces.append(sql[start:])
    return pieces


def fill_placeholders(pieces, values):
    """Return a statement with literals in place of its placeholders.

    Parameters
    ----------
    pieces : list of str
        Result of `split_placeholders`.
    values : list of object
        One value for each placeholder.

    Returns
    -------
    str
    """
    literals = [to_literal(value) for value in values]
    parts = [pieces[0]]
    for literal, piece in zip(literals, pieces[1:], strict=True):
        parts += (literal, piece)
    return "".join(parts)


@singledispatch
def to_literal(value):
    """Return a value as a MySQL literal.

    Parameters
    ----------
    value : object
        The value.

    Returns
    -------
    str
    """
    return _quote(str(value))


@to_literal.register
def _(value: None):
    return "NULL"


@to_literal.register
def _(value: bool):
    return "TRUE" if value else "FALSE"


@to_literal.register(int)
@to_literal.register(float)
def _(value):
    return repr(value)


@to_literal.register
def _(value: str):
    return _quote(value)


@to_literal.register(bytes)
@to_literal.register(bytearray)
def _(value):
    return f"X'{bytes(value).hex()}'"


@to_literal.register
def _(value: datetime):
    return _quote(value.isoformat(" "))


@to_literal.register
def _(value: date):
    return _quote(value.isoformat())


@to_literal.register
def _(value: timedelta):
    total_s = value.total_seconds()
    sign = "-" if total_s < 0 else ""
    minutes, seconds = divmod(abs(total_s), 60)
    hours, minutes = divmod(int(minutes), 60)
    return _quote(f"{sign}{hours:02d}:{minutes:02d}:{seconds:09.6f}")


def _quote(text):
    return "'" + text.replace("\\", "\\\\").replace("'", "''") + "'"
