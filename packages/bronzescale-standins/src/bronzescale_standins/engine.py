"""Run MySQL statements on the in-memory SQLite tables of one copy of a group."""

import itertools
import re
import sqlite3
import time
from typing import NamedTuple

_database_numbers = itertools.count(1)

# MySQL's numbers of the errors that the stand-in reports.
READ_ONLY_CODE = 1290
LOCK_TIMEOUT_CODE = 1205
DUPLICATE_KEY_CODE = 1062
NO_SUCH_TABLE_CODE = 1146
SYNTAX_ERROR_CODE = 1064
_AUTO_INCREMENT = re.compile(
    r"\b(big)?int(eger)?\s+(not\s+null\s+)?auto_increment", re.I
)
_STRING_LITERAL = re.compile(r"'(?:[^'\\]|\\.|'')*'", re.DOTALL)
_ESCAPE = re.compile(r"\\(.)", re.DOTALL)
_FOR_UPDATE = re.compile(r"\s+for\s+(update|share)\s*$", re.I)
_WRITE_STATEMENT = re.compile(
    r"\s*(insert|update|delete|replace|create|drop|alter)\b", re.I
)
REQUEST_TABLE_SQL = (
    "CREATE TABLE IF NOT EXISTS bronzescale_request ("
    "request_key VARCHAR(128) PRIMARY KEY, statement_digest CHAR(64) NOT NULL, "
    "affected_rows BIGINT NOT NULL, insert_id BIGINT NOT NULL, "
    "created_at TIMESTAMP DEFAULT CURRENT_TIMESTAMP)"
)


class EngineError(Exception):
    """Error that the database reports to its client.

    Parameters
    ----------
    message : str
        Text of the error packet.
    code : int
        MySQL's error number.
    sqlstate : str
        SQLSTATE of five characters.
    """

    def __init__(self, message, code, sqlstate="HY000"):
        super().__init__(message)
        self.code = code
        self.sqlstate = sqlstate


class BusyError(Exception):
    """Another transaction holds the lock of the tables; retry the statement."""


class LogEntry(NamedTuple):
    """One committed transaction.

    Parameters
    ----------
    term : int
        Term of the primary that wrote it.
    offset : int
        Offset in the log; the first entry has offset 1.
    statements : tuple of str
        Statements of the transaction; empty for the start of a term.
    """

    term: int
    offset: int
    statements: tuple


class Tables:
    """In-memory SQLite database of one copy, shared by its sessions."""

    def __init__(self):
        self._uri = (
            f"file:/bronzescale-{next(_database_numbers)}-{time.time_ns()}?vfs=memdb"
        )
        self._writer = self.connect()
        self._writer.execute(REQUEST_TABLE_SQL)

    def connect(self):
        """Open a connection to the tables for one session.

        Returns
        -------
        sqlite3.Connection
        """
        connection = sqlite3.connect(
            self._uri, uri=True, isolation_level=None, check_same_thread=False
        )
        connection.execute("PRAGMA busy_timeout = 0")
        connection.create_function("NOW", 0, _now)
        return connection

    def apply(self, statements):
        """Run the statements of one log entry in one transaction.

        Parameters
        ----------
        statements : tuple of str
            Statements of the log entry.

        Raises
        ------
        BusyError
            If a session that still reads a large result holds the lock; nothing was
            applied.
        """
        try:
            self._writer.execute("BEGIN IMMEDIATE")
            for sql in statements:
                self._writer.execute(translate(sql))
            self._writer.execute("COMMIT")
        except sqlite3.OperationalError as error:
            if self._writer.in_transaction:
                self._writer.execute("ROLLBACK")
            raise BusyError() from error

    def close(self):
        """Close the connection that keeps the in-memory tables alive."""
        self._writer.close()


class TableSession:
    """Statements of one client session, with the changes of its open transaction.

    Parameters
    ----------
    tables : Tables
        Tables of the copy.
    """

    def __init__(self, tables):
        self.tables = tables
        self._connection = tables.connect()
        self.is_transaction_open = False
        self.changes = []

    def begin(self):
        """Open a transaction."""
        self.rollback()
        self.is_transaction_open = True

    def rollback(self):
        """Roll back the open transaction, if there is one."""
        if self._connection.in_transaction:
            self._connection.execute("ROLLBACK")
        self.is_transaction_open = False
        self.changes = []

    def execute(self, sql):
        """Run one statement.

        Parameters
        ----------
        sql : str
            Statement in MySQL's dialect.

        Returns
        -------
        sqlite3.Cursor

        Raises
        ------
        BusyError
            If another transaction holds the lock.
        EngineError
            If the statement failed.
        """
        is_write = is_write_statement(sql)
        if is_write and not self._connection.in_transaction:
            self._run("BEGIN IMMEDIATE")
        try:
            cursor = self._run(translate(sql))
        except EngineError:
            if not self.is_transaction_open and self._connection.in_transaction:
                self._connection.execute("ROLLBACK")
            raise
        if is_write and (cursor.rowcount != 0 or not _is_row_change(sql)):
            self.changes.append(sql)
        return cursor

    def commit(self):
        """Commit the open transaction and return the statements that changed tables.

        Returns
        -------
        tuple of str

        Raises
        ------
        BusyError
            If a reader holds the lock.
        """
        if self._connection.in_transaction:
            self._run("COMMIT")
        changes = tuple(self.changes)
        self.changes = []
        self.is_transaction_open = False
        return changes

    def close(self):
        """Roll back the open transaction and close the connection."""
        self.rollback()
        self._connection.close()

    def _run(self, sql):
        try:
            return self._connection.execute(sql)
        except sqlite3.OperationalError as error:
            text = str(error)
            if "locked" in text or "busy" in text:
                raise BusyError() from error
            if "no such table" in text:
                raise EngineError(text, NO_SUCH_TABLE_CODE, "42S02") from error
            raise EngineError(text, SYNTAX_ERROR_CODE, "42000") from error
        except sqlite3.IntegrityError as error:
            raise EngineError(str(error), DUPLICATE_KEY_CODE, "23000") from error
        except sqlite3.Error as error:
            raise EngineError(str(error), SYNTAX_ERROR_CODE, "42000") from error


def translate(sql):
    """Translate a statement from MySQL's dialect to SQLite's.

    Parameters
    ----------
    sql : str
        Statement in MySQL's dialect.

    Returns
    -------
    str
    """
    if "\\" in sql:
        sql = _STRING_LITERAL.sub(_unescape, sql)
    sql = _AUTO_INCREMENT.sub("INTEGER", sql)
    return _FOR_UPDATE.sub("", sql)


def _unescape(match):
    """Replace MySQL's backslash escapes, which SQLite does not support."""
    replacements = {"n": "\n", "t": "\t", "r": "\r", "0": "\0", "'": "''"}
    return _ESCAPE.sub(
        lambda m: replacements.get(m.group(1), m.group(1)), match.group()
    )


def is_write_statement(sql):
    """Return whether a statement changes tables.

    Parameters
    ----------
    sql : str
        Statement in MySQL's dialect.

    Returns
    -------
    bool
    """
    return _WRITE_STATEMENT.match(sql) is not None


def _is_row_change(sql):
    return sql.lstrip()[:6].lower() in ("insert", "update", "delete", "replac")


def _now():
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime())
