"""Classify statements for routing.

A statement that is not provably a plain read is classified as a write.
"""

import re
from functools import lru_cache
from typing import NamedTuple

from sqlglot import exp
from sqlglot.dialects import MySQL
from sqlglot.errors import SqlglotError

from bronzescale_core.exceptions import UnsupportedStatementError
from bronzescale_core.statements import StatementKind

# Shapes (statements with neutral literals) whose class is cached, to parse each only
# once.
MAX_CACHED_SHAPES = 4_096
# Statements cached by their full text, which are long or hold literals that cannot be
# replaced safely. Few are kept, as each may be large.
MAX_CACHED_TEXTS = 64
# Longest statement that is cached by its shape, to bound the memory of that cache.
MAX_SHAPE_CHARS = 4_096
_LITERAL = re.compile(r"'[^'\\]*'|\b\d+(?:\.\d+)?\b")
# Comments, escapes and double quotes, within which `_LITERAL` could match wrongly.
_UNSAFE_TO_REPLACE = re.compile(r"/\*|--|#|\\|\"")
_SESSION_READ = re.compile(
    r"\s*select\s+(@@?bronzescale_\w+|connection_id\(\)|database\(\)|schema\(\)"
    r"|last_insert_id\(\)|@@version_comment|@@autocommit"
    r"|@@session\.transaction_isolation|@@transaction_isolation|@@tx_isolation)"
    r"(?:\s+(?:as\s+)?`?(\w+)`?)?(?:\s+limit\s+1)?\s*;?\s*",
    re.IGNORECASE,
)
_READ_ONLY_START = re.compile(r"\s*start\s+transaction\s+read\s+only\s*;?\s*$", re.I)
_START = re.compile(r"\s*(begin|start\s+transaction)(\s+work)?\s*;?\s*$", re.I)
_COMMIT = re.compile(r"\s*commit(\s+work)?\s*;?\s*$", re.I)
_ROLLBACK = re.compile(r"\s*rollback(\s+work)?\s*;?\s*$", re.I)
_USE = re.compile(r"\s*use\s+`?([\w.-]+)`?\s*;?\s*$", re.I)
_KILL = re.compile(r"\s*kill\s+(?:(query|connection)\s+)?(\d+)\s*;?\s*$", re.I)
_SET = re.compile(r"\s*set\s", re.I)
_SHOW = re.compile(r"\s*(show|describe|desc|explain)\s", re.I)
_STATEFUL_FUNCTIONS = frozenset(
    ("GET_LOCK", "RELEASE_LOCK", "RELEASE_ALL_LOCKS", "LAST_INSERT_ID", "FOUND_ROWS")
)
_PURE_FUNCTIONS = frozenset(("NOW", "CURDATE", "CURTIME", "SYSDATE", "VERSION"))
_REASON = "the proxy shares connections between callers; "


class Classified(NamedTuple):
    """Class of a statement, as needed for routing.

    Parameters
    ----------
    kind : StatementKind
        Kind of the statement.
    argument : str
        Variable that is read, service that is selected or connection that is killed;
        empty for other kinds.
    label : str
        Column name for a variable that is read; empty for other kinds.
    """

    kind: StatementKind
    argument: str = ""
    label: str = ""


def classify(sql):
    """Classify one statement.

    Parameters
    ----------
    sql : str
        Text of the statement.

    Returns
    -------
    Classified

    Raises
    ------
    UnsupportedStatementError
        If the statement depends on the state of one connection, which the proxy shares
        between callers.
    """
    if len(sql) <= MAX_SHAPE_CHARS and not _UNSAFE_TO_REPLACE.search(sql):
        return _classify_shape(
            _LITERAL.sub(_neutral_literal, sql), _text_with_literals(sql)
        )
    return _classify_uncommon(sql)


def _neutral_literal(match):
    """Replace a literal by one of the same type, so that the shape still parses."""
    return "''" if match.group()[0] == "'" else "1"


def _text_with_literals(sql):
    """Return the text if its literals matter for the class, else an empty string."""
    head = sql.lstrip()[:5].lower()
    return sql if head.startswith(("kill", "use", "set")) else ""


@lru_cache(maxsize=MAX_CACHED_SHAPES)
def _classify_shape(shape, text):
    return _classify_text(text or shape)


@lru_cache(maxsize=MAX_CACHED_TEXTS)
def _classify_uncommon(sql):
    return _classify_text(sql)


def _classify_text(sql):
    simple = _classify_simple(sql)
    return simple if simple is not None else _classify_parsed(sql)


def _classify_simple(sql):
    """Classify statements that need no parser; return None for all others."""
    match = _SESSION_READ.fullmatch(sql)
    if match:
        label = match.group(2) or match.group(1)
        return Classified(StatementKind.SESSION_READ, match.group(1).lower(), label)
    rules = (
        (_READ_ONLY_START, StatementKind.BEGIN_READ_ONLY),
        (_START, StatementKind.BEGIN),
        (_COMMIT, StatementKind.COMMIT),
        (_ROLLBACK, StatementKind.ROLLBACK),
        (_SET, StatementKind.SET),
        (_SHOW, StatementKind.READ),
    )
    for pattern, kind in rules:
        if pattern.match(sql):
            return Classified(kind)
    match = _USE.match(sql)
    if match:
        return Classified(StatementKind.USE, match.group(1))
    match = _KILL.match(sql)
    if match:
        scope = (match.group(1) or "connection").lower()
        return Classified(StatementKind.KILL, f"{scope} {match.group(2)}")
    return None if sql.strip(" \t\r\n;") else Classified(StatementKind.EMPTY)


def _classify_parsed(sql):
    try:
        expressions = [each for each in MySQL().parse(sql) if each is not None]
    except SqlglotError:
        return Classified(StatementKind.WRITE)
    if len(expressions) > 1:
        raise UnsupportedStatementError(
            "several statements in one text were not run; send them one by one"
        )
    if not expressions:
        return Classified(StatementKind.EMPTY)
    _reject_stateful(expressions[0])
    is_read = _is_plain_read(expressions[0])
    return Classified(StatementKind.READ if is_read else StatementKind.WRITE)


def _reject_stateful(expression):
    if isinstance(expression, exp.Create) and expression.find(exp.TemporaryProperty):
        raise UnsupportedStatementError(
            f"not run: {_REASON}use an ordinary table in place of a temporary one"
        )
    if isinstance(expression, exp.Command):
        name = str(expression.this).upper()
        if name in ("LOCK", "UNLOCK", "PREPARE", "EXECUTE", "DEALLOCATE", "HANDLER"):
            raise UnsupportedStatementError(
                f"{name} was not run: {_REASON}use a transaction or the driver's "
                "prepared statements"
            )
    for parameter in expression.find_all(exp.Parameter):
        raise UnsupportedStatementError(
            f"@{parameter.name} was not read: {_REASON}keep the value in the caller"
        )
    for function in expression.find_all(exp.Anonymous):
        name = str(function.this).upper()
        if name in _STATEFUL_FUNCTIONS:
            raise UnsupportedStatementError(
                f"{name}() was not run: {_REASON}read LAST_INSERT_ID() on its own, "
                "and use rows in place of named locks"
            )


def _is_plain_read(expression):
    if not isinstance(expression, exp.Query):
        return False
    impure = (exp.Lock, exp.Into, exp.DML, exp.PropertyEQ)
    if any(not isinstance(each, exp.Query) for each in expression.find_all(*impure)):
        return False
    functions = expression.find_all(exp.Anonymous)
    return all(str(each.this).upper() in _PURE_FUNCTIONS for each in functions)
