"""Build the statements that record the request key of a write.

The key is stored in the transaction of the write, so that a retry with the same key is
idempotent: it gets the recorded answer instead of running the statement again.
"""

import hashlib

from bronzescale_proxy.placeholders import to_literal


def statement_digest(sql):
    """Return a digest that identifies the text of a statement.

    Parameters
    ----------
    sql : str
        Text of the statement.

    Returns
    -------
    str
        SHA-256 digest as 64 hex digits.
    """
    return hashlib.sha256(sql.encode()).hexdigest()


def insert_key_sql(request):
    """Return the statement that inserts a key, and fails if the key exists.

    Parameters
    ----------
    request : StatementRequest
        The write.

    Returns
    -------
    str
    """
    key = to_literal(request.request_key)
    return (
        "INSERT INTO bronzescale_request (request_key, statement_digest, "
        "affected_rows, insert_id) VALUES "
        f"({key}, '{statement_digest(request.sql)}', 0, 0)"
    )


def finish_key_sql(request, ok):
    """Return the statement that records the answer to a write under its key.

    Parameters
    ----------
    request : StatementRequest
        The write.
    ok : OkAnswer
        Answer of the database.

    Returns
    -------
    str
    """
    return (
        f"UPDATE bronzescale_request SET affected_rows = {ok.affected_rows}, "
        f"insert_id = {ok.insert_id} "
        f"WHERE request_key = {to_literal(request.request_key)}"
    )


def find_key_sql(request):
    """Return the statement that looks up the answer under a key.

    Parameters
    ----------
    request : StatementRequest
        The write.

    Returns
    -------
    str
    """
    return (
        "SELECT statement_digest, affected_rows, insert_id FROM bronzescale_request "
        f"WHERE request_key = {to_literal(request.request_key)}"
    )
