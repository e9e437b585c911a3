"""Run statements as callers and check the outcomes that they got.

Every write carries values that no other write uses, so that the log of the primary
shows whether the write took effect, and how often.
"""

import itertools
from collections import Counter
from typing import NamedTuple

import anyio
import asyncmy
from asyncmy import errors

from bronzescale_standins.standin_fleet import USER, run_query

OUTCOME_UNKNOWN_SQLSTATE = "40003"
OPERATION_INTERVAL_S = 0.02
RECONNECT_DELAY_S = 0.05


class WriteResult(NamedTuple):
    """Outcome of one write, as its caller got it.

    Parameters
    ----------
    values : tuple of str
        Values that were written; no other write uses them.
    outcome : str
        ``acknowledged``, ``not_run`` or ``unknown``.
    is_keyed : bool
        Whether the write carried a request key.
    text : str
        Message of the last error.
    """

    values: tuple
    outcome: str
    is_keyed: bool = False
    text: str = ""


class Checker:
    """Callers of one service and the outcomes of their statements.

    Parameters
    ----------
    service : str
        Name of the service.
    deadline_ms : int
        Deadline of each statement.
    """

    def __init__(self, service="service-0", deadline_ms=4_000):
        self.service = service
        self.deadline_ms = deadline_ms
        self.write_results = []
        self.reads = Counter()
        self.violations = []
        self._value_numbers = itertools.count(1)
        self._is_stopped = False

    def stop(self):
        """Stop every caller after its current operation."""
        self._is_stopped = True

    def outcomes(self):
        """Count the writes by outcome.

        Returns
        -------
        collections.Counter
        """
        return Counter(result.outcome for result in self.write_results)

    async def run_caller(self, ports, operations, number):
        """Run operations one after the other until stopped.

        Parameters
        ----------
        ports : callable
            Return the ports of the proxies that a load balancer would choose from.
        operations : sequence of str
            Operations to cycle through: read, save, keyed, transaction.
        number : int
            Number of the caller; also the key of its row.
        """
        client = _Client(self, ports, number)
        for operation in itertools.cycle(operations):
            if self._is_stopped:
                break
            await getattr(client, operation)()
            await anyio.sleep(OPERATION_INTERVAL_S)
        client.close()

    def unique_value(self):
        """Return a value that no other write uses."""
        return f"m{next(self._value_numbers)}"

    def check_logs(self, group, primary):
        """Compare every outcome with the log of the primary; record the violations.

        Parameters
        ----------
        group : DatabaseGroup
            Database group of the service.
        primary : str
            Name of the current primary.
        """
        log = group.copies[primary].log
        text = "\n".join(sql for entry in log for sql in entry.statements)
        for result in self.write_results:
            counts = {text.count(f"'{value}'") for value in result.values}
            self._check_write(result, counts)

    def _check_write(self, result, counts):
        """Record a violation if the log contradicts the outcome of a write.

        ``counts`` is a set: how often each value of the write is in the log.
        """
        if result.outcome == "acknowledged" and counts != {1}:
            self.violations.append(f"acknowledged, {counts} times in log: {result}")
        elif result.outcome == "not_run" and counts != {0}:
            self.violations.append(f"not run, but {counts} times in log: {result}")
        elif len(counts) != 1 or max(counts) > 1:
            self.violations.append(f"partial or repeated, {counts} in log: {result}")


class _Client:
    """One caller, whose session continues on another proxy after a lost connection.

    The session token of the last write is set on each new connection, so that reads
    there see that write too.
    """

    def __init__(self, checker, ports, number):
        self._checker = checker
        self._ports = ports
        self._number = number
        self._connect_count = 0
        self._connection = None
        self._token = ""
        self._expected_value = None
        self._is_value_certain = True

    def close(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def read(self):
        """Read the caller's own row; it must show the last acknowledged write."""
        if self._expected_value is None:
            await self.save()
        sql = f"SELECT v FROM own WHERE id = {self._number}"
        try:
            rows = await self._run_query(sql)
        except (errors.Error, OSError) as error:
            self._checker.reads[_outcome_of(error)] += 1
            self._close_if_broken(error)
            return
        self._checker.reads["answered"] += 1
        if self._expected_value is None or not self._is_value_certain:
            return
        if rows != ((self._expected_value,),):
            self._checker.violations.append(
                f"caller {self._number} read {rows} instead of {self._expected_value}"
            )

    async def save(self):
        """Write the caller's own row."""
        value = self._checker.unique_value()
        verb = "REPLACE INTO own VALUES"
        outcome = await self._run_write((value,), f"{verb} ({self._number}, '{value}')")
        if outcome == "acknowledged":
            self._expected_value, self._is_value_certain = value, True
        elif outcome == "unknown":
            self._is_value_certain = False

    async def keyed(self):
        """Write an entry under a request key; retry until acknowledged, up to 8 times.

        The request key makes it safe to repeat a write whose outcome is unknown.
        """
        value = self._checker.unique_value()
        sql = f"INSERT INTO entries VALUES ('{value}')"
        outcome, text = "not_run", ""
        for _ in range(8):
            try:
                await self._run_query(f"SET @bronzescale_request_key = 'key-{value}'")
                await self._run_query(sql)
                outcome = "acknowledged"
                break
            except (errors.Error, OSError) as error:
                text = str(error)
                self._close_if_broken(error)
                if _outcome_of(error) == "unknown":
                    outcome = "unknown"
                if self._checker._is_stopped:
                    break
                await anyio.sleep(0.2)
        self._checker.write_results.append(WriteResult((value,), outcome, True, text))

    async def transaction(self):
        """Write two entries in one transaction."""
        values = (self._checker.unique_value(), self._checker.unique_value())
        try:
            await self._run_query("BEGIN")
            for value in values:
                await self._run_query(f"INSERT INTO entries VALUES ('{value}')")
        except (errors.Error, OSError) as error:
            # Without a commit no change may take effect, whatever the error.
            self._checker.write_results.append(
                WriteResult(values, "not_run", False, str(error))
            )
            self._close_if_broken(error)
            self.close()
            return
        await self._run_write(values, "COMMIT")

    async def _run_write(self, values, sql):
        """Run the statement that completes a write, and record its outcome."""
        outcome, text = "", ""
        try:
            await self._run_query(sql)
            outcome = "acknowledged"
            ((self._token,),) = await self._run_query("SELECT @bronzescale_token")
        except (errors.Error, OSError) as error:
            self._close_if_broken(error)
            if outcome != "acknowledged":
                outcome, text = _outcome_of(error), str(error)
                if sql == "COMMIT":
                    self.close()
        self._checker.write_results.append(WriteResult(values, outcome, False, text))
        return outcome

    async def _run_query(self, sql):
        if self._connection is None:
            await self._connect()
        return await run_query(self._connection, sql)

    async def _connect(self):
        ports = self._ports()
        port = ports[(self._number + self._connect_count) % len(ports)]
        self._connect_count += 1
        try:
            self._connection = await asyncmy.connect(
                host="127.0.0.1",
                port=port,
                user=USER,
                password="",
                db=self._checker.service,
                autocommit=True,
            )
        except (errors.Error, OSError) as error:
            # No statement was sent before the login, so the outcome is "not_run".
            raise ConnectionRefusedError(str(error)) from error
        deadline_ms = self._checker.deadline_ms
        await run_query(
            self._connection, f"SET @bronzescale_deadline_ms = {deadline_ms}"
        )
        if self._token:
            await run_query(
                self._connection, f"SET @bronzescale_token = '{self._token}'"
            )

    def _close_if_broken(self, error):
        """Close a broken connection, so that the next statement opens another."""
        sqlstate = getattr(error, "sqlstate", None)
        if sqlstate is None or sqlstate.startswith("08"):
            self.close()


def _outcome_of(error):
    """Return the outcome of a statement that ended with an error."""
    sqlstate = getattr(error, "sqlstate", None)
    if sqlstate is None:
        code = error.args[0] if error.args else 0
        is_unconnected = isinstance(error, ConnectionRefusedError) or code == 2003
        return "not_run" if is_unconnected else "unknown"
    return "unknown" if sqlstate == OUTCOME_UNKNOWN_SQLSTATE else "not_run"
