"""Call the control procedures of a database: status, wait, fence, promote, follow."""

import anyio

from bronzescale_core.acknowledgement import CopyReport
from bronzescale_core.exceptions import UpstreamStatementError
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import UpstreamUnavailableError

ORDER_TIMEOUT_S = 1.0


async def read_status(connection, upstream):
    """Return the role, the terms and the log positions of a database.

    Parameters
    ----------
    connection : UpstreamConnection
        An open connection to it.
    upstream : str
        Its name.

    Returns
    -------
    CopyReport
    """
    return await _ask(connection, upstream, "CALL bronzescale.status()")


async def wait_change(connection, upstream, known, wait_ms):
    """Return the status of a database once it differs from the last report.

    Parameters
    ----------
    connection : UpstreamConnection
        An open connection to it.
    upstream : str
        Its name.
    known : CopyReport or None
        Last report.
    wait_ms : int
        How long the database may wait for a change before it answers.

    Returns
    -------
    CopyReport
    """
    received = known.received if known else -1
    applied = known.applied if known else -1
    term = known.promised_term if known else -1
    sql = f"CALL bronzescale.wait({received}, {applied}, {term}, {wait_ms})"
    return await _ask(connection, upstream, sql)


async def send_order(connector, upstream, sql):
    """Run a control procedure on a separate connection.

    Parameters
    ----------
    connector : UpstreamConnector
        Opens the connection.
    upstream : str
        Name of the database.
    sql : str
        Statement that calls the procedure.

    Returns
    -------
    CopyReport

    Raises
    ------
    UpstreamUnavailableError
        If the procedure failed or did not answer in time.
    """
    connection = None
    try:
        with anyio.fail_after(ORDER_TIMEOUT_S):
            connection = await connector.open(None)
            return await _ask(connection, upstream, sql)
    except TimeoutError as error:
        raise UpstreamUnavailableError(f"{upstream} did not answer an order") from error
    except UpstreamStatementError as error:
        raise UpstreamUnavailableError(f"{upstream} refused: {error}") from error
    finally:
        if connection is not None:
            connection.close()


def fence_sql(term):
    """Return the statement that makes a copy promise a term."""
    return f"CALL bronzescale.fence({term})"


def promote_sql(term):
    """Return the statement that makes a copy the primary of a term."""
    return f"CALL bronzescale.promote({term})"


def follow_sql(term, primary):
    """Return the statement that makes a copy replicate from a primary."""
    return f"CALL bronzescale.follow({term}, '{primary}')"


async def _ask(connection, upstream, sql):
    sent_at_ms = now_ms()
    rows = await connection.run(sql)
    role, promised_term, log_term, received, applied = rows[0][0].split()
    return CopyReport(
        upstream=upstream,
        role=role,
        promised_term=int(promised_term),
        log_term=int(log_term),
        received=int(received),
        applied=int(applied),
        sent_at_ms=sent_at_ms,
    )
