"""Check single fields of what other processes and programs write.

Whatever comes from the store, from a peer, from a caller or from a settings file
becomes a type of the product only after each of its fields was checked here.
"""

import math

# Leaves room for the sum of two such numbers in the 64 bits that hosts exchange.
MAX_WHOLE = 2**62
# Longest time that crosses the wire; every deadline is far below.
MAX_TIME_MS = 86_400_000
# Ids and names; the longest that a file system or a name service allows.
MAX_LABEL_CHARACTERS = 255
MAX_ADDRESS_CHARACTERS = 21


def is_whole(value, low=0, high=MAX_WHOLE):
    """Return whether a value is a whole number between two bounds, inclusive.

    Parameters
    ----------
    value : object
        The value.
    low, high : int
        The bounds.

    Returns
    -------
    bool
        False also for True and False, which Python counts as numbers.
    """
    is_int = isinstance(value, int) and not isinstance(value, bool)
    return is_int and low <= value <= high


def is_amount(value, high=MAX_WHOLE):
    """Return whether a value is a finite number from 0 up to a bound."""
    if isinstance(value, float):
        return math.isfinite(value) and 0 <= value <= high
    return is_whole(value, 0, high)


def is_encodable(text):
    """Return whether a text can be sent: JSON may hold halves of surrogate pairs.

    Parameters
    ----------
    text : str
        The text.

    Returns
    -------
    bool
    """
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def is_text(value):
    """Return whether a value is a text that can be sent."""
    return isinstance(value, str) and is_encodable(value)


def is_label(value):
    """Return whether a value is a printable, non-empty text of limited length."""
    is_named = is_text(value) and 0 < len(value) <= MAX_LABEL_CHARACTERS
    return is_named and value.isprintable()


def is_word(value):
    """Return whether a value is a label of one word, a field of a line protocol."""
    return is_label(value) and len(value.split()) == 1


def is_address(value):
    """Return whether a value is an IPv4 address with a port from 1 to 65535.

    Parameters
    ----------
    value : object
        The value.

    Returns
    -------
    bool
    """
    if not isinstance(value, str) or not value.isascii():
        return False
    if len(value) > MAX_ADDRESS_CHARACTERS:
        return False
    host, _, port = value.rpartition(":")
    parts = host.split(".")
    is_ipv4_host = len(parts) == 4 and all(
        part.isdecimal() and int(part) < 256 for part in parts
    )
    return is_ipv4_host and port.isdecimal() and 0 < int(port) < 65_536


def parse_whole(text):
    """Return the whole number that a text holds, or None if it is none from 0.

    Parameters
    ----------
    text : str
        Decimal digits of ASCII.

    Returns
    -------
    int or None
    """
    is_number = text.isascii() and text.isdecimal() and len(text) <= len(str(MAX_WHOLE))
    number = int(text) if is_number else None
    return number if is_whole(number) else None


def require(is_valid, name, value):
    """Raise `ValueError` unless a field is valid.

    Parameters
    ----------
    is_valid : bool
        Result of its check.
    name : str
        Name of the field.
    value : object
        Value that the message of the error shows.
    """
    if not is_valid:
        raise ValueError(f"{name} is {ascii(value)[:80]}")


def require_whole(name, value, low=0, high=MAX_WHOLE):
    """Return a whole number between two bounds, or raise `ValueError`."""
    require(is_whole(value, low, high), name, value)
    return value


def require_text(name, value):
    """Return a text that can be sent, or raise `ValueError`."""
    require(is_text(value), name, value)
    return value
