"""Write the statements that record a request key beside the save that it names."""

import hashlib

from bronzescale_proxy.placeholders import to_literal


def statement_digest(sql):
    """Return what tells one statement from another.

    Parameters
    ----------
    sql : str
        The statement.

    Returns
    -------
    str
        64 hex digits.
    """
    return hashlib.sha256(sql.encode()).hexdigest()


def insert_key_sql(request):
    """Return the statement that takes a key, and fails if it is taken.

    Parameters
    ----------
    request : StatementRequest
        The save.

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
    """Return the statement that records the answer under a key.

    Parameters
    ----------
    request : StatementRequest
        The save.
    ok : OkAnswer
        Its answer.

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
    """Return the statement that finds the answer under a key.

    Parameters
    ----------
    request : StatementRequest
        The save.

    Returns
    -------
    str
    """
    return (
        "SELECT statement_digest, affected_rows, insert_id FROM bronzescale_request "
        f"WHERE request_key = {to_literal(request.request_key)}"
    )
