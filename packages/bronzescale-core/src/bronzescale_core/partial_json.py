"""Read JSON of which some parts cannot be read.

Other programs write into the platform's store, too. What one of them wrote may be valid
JSON that this process cannot hold, such as a number of thousands of digits, or no valid
JSON at all. An answer of the store holds hundreds of entries; the others must be read.
"""

import json
import re

# Deeper values are not read. Python's own functions for JSON and for comparisons fail
# on values that are some hundred levels deep, depending on who calls them.
MAX_VALUE_DEPTH = 64
# From the answer over its list, an entry, its object and the object's value down to a
# field of the value.
MAX_SPLIT_LEVELS = 6
_UNREADABLE = "unreadable"
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"|[][{},]', re.DOTALL)
_MEMBER = re.compile(rb'\s*("(?:[^"\\]|\\.)*+")\s*:\s*', re.DOTALL)


def unreadable_part(reason):
    """Return the value that stands for a part that cannot be read.

    Parameters
    ----------
    reason : str
        Why it cannot be read.

    Returns
    -------
    dict
    """
    return {_UNREADABLE: reason}


def describe_unreadable(value):
    """Return why a value could not be read, or None if it was.

    Parameters
    ----------
    value : object
        A JSON value.

    Returns
    -------
    str or None
    """
    if isinstance(value, dict) and len(value) == 1:
        reason = value.get(_UNREADABLE)
        return reason if isinstance(reason, str) else None
    return None


def load_readable_parts(data):
    """Decode JSON, with a value in place of each part that cannot be read.

    Parameters
    ----------
    data : bytes
        JSON text.

    Returns
    -------
    object
        Decoded value, see `unreadable_part`.
    """
    return _load(data, MAX_SPLIT_LEVELS)


def _load(data, levels):
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        # The text of an error may hold the text that cannot be read.
        reason = type(error).__name__
    opening = data.lstrip()[:1]
    if levels and opening == b"{":
        return dict(_load_members(data, levels - 1))
    if levels and opening == b"[":
        return [_load(part, levels - 1) for part in _split(data)]
    return unreadable_part(reason)


def _load_members(data, levels):
    for part in _split(data):
        match = _MEMBER.match(part)
        key = None if match is None else _load(match[1], 0)
        # A member whose name cannot be read belongs to nothing that is known.
        if isinstance(key, str):
            yield key, _load(part[match.end() :], levels)


def _split(data):
    """Return the text of each direct part of an object or an array."""
    parts = []
    depth = 0
    start = 0
    for token in _TOKEN.finditer(data):
        mark = data[token.start()]
        if mark in b"[{":
            depth += 1
            if depth == 1:
                start = token.end()
        elif mark in b"]}":
            depth -= 1
            if depth == 0:
                parts.append(data[start : token.start()])
                break
        elif mark == ord(",") and depth == 1:
            parts.append(data[start : token.start()])
            start = token.end()
    return [part for part in parts if part.strip()]


def limit_depth(value):
    """Return a decoded value, or one in its place if it is nested too deep.

    Parameters
    ----------
    value : object
        A JSON value.

    Returns
    -------
    object
    """
    level = [value]
    for _ in range(MAX_VALUE_DEPTH):
        level = [
            child
            for parent in level
            if isinstance(parent, dict | list)
            for child in (parent.values() if isinstance(parent, dict) else parent)
            if isinstance(child, dict | list)
        ]
        if not level:
            return value
    return unreadable_part(f"it is nested over {MAX_VALUE_DEPTH} levels deep")
