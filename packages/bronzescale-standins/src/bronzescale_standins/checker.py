"""Offer work as callers do, remember what they were told, and check it all."""

import itertools
from collections import Counter
from typing import NamedTuple

import anyio
import asyncmy
from asyncmy import errors

from bronzescale_standins.standin_fleet import USER, ask

UNKNOWN_SQLSTATE = "40003"
PAUSE_S = 0.02
RECONNECT_S = 0.05


class Told(NamedTuple):
    """What a caller was told about one save.

    Parameters
    ----------
    marks : tuple of str
        Values that the save wrote; each is written by no other save.
    outcome : str
        ``acknowledged``, ``not_run`` or ``unknown``.
    is_keyed : bool
        Whether it carried a request key.
    text : str
        What the error said.
    """

    marks: tuple
    outcome: str
    is_keyed: bool = False
    text: str = ""


class Checker:
    """Callers of one service and everything that they were told.

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
        self.told = []
        self.reads = Counter()
        self.violations = []
        self._marks = itertools.count(1)
        self._is_stopped = False

    def stop(self):
        """Let every caller end after its current operation."""
        self._is_stopped = True

    def outcomes(self):
        """Return how many saves got which outcome.

        Returns
        -------
        collections.Counter
        """
        return Counter(told.outcome for told in self.told)

    async def caller(self, ports, kinds, seed):
        """Run operations one after the other until stopped.

        Parameters
        ----------
        ports : callable
            Return the ports of the proxies that the balancer would choose from.
        kinds : sequence of str
            Operations to cycle through: read, save, keyed, transaction.
        seed : int
            Number of the caller.
        """
        client = _Client(self, ports, seed)
        for kind in itertools.cycle(kinds):
            if self._is_stopped:
                break
            await getattr(client, kind)()
            await anyio.sleep(PAUSE_S)
        client.close()

    def mark(self):
        """Return a value that no other save writes."""
        return f"m{next(self._marks)}"

    def check_logs(self, group, primary):
        """Compare what callers were told with the log of the primary.

        Parameters
        ----------
        group : DatabaseGroup
            The group.
        primary : str
            Name of the primary in force.
        """
        log = group.copies[primary].log
        text = "\n".join(sql for entry in log for sql in entry.statements)
        for told in self.told:
            counts = {text.count(f"'{mark}'") for mark in told.marks}
            self._check_write(told, counts)

    def _check_write(self, told, counts):
        if told.outcome == "acknowledged" and counts != {1}:
            self.violations.append(f"acknowledged, stands {counts}: {told}")
        elif told.outcome == "not_run" and counts != {0}:
            self.violations.append(f"told not run, stands {counts}: {told}")
        elif len(counts) != 1 or max(counts) > 1:
            self.violations.append(f"torn or repeated, stands {counts}: {told}")


class _Client:
    """One caller: a session that moves to its proxy again after a lost connection."""

    def __init__(self, checker, ports, number):
        self._checker = checker
        self._ports = ports
        self._number = number
        self._connects = 0
        self._connection = None
        self._token = ""
        self._expected = None
        self._is_certain = True

    def close(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def read(self):
        """Read the caller's own row; it must show the last acknowledged save."""
        if self._expected is None:
            await self.save()
        sql = f"SELECT v FROM own WHERE id = {self._number}"
        try:
            rows = await self._ask(sql)
        except (errors.Error, OSError) as error:
            self._checker.reads[_outcome(error)] += 1
            self._lose(error)
            return
        self._checker.reads["answered"] += 1
        if self._expected is None or not self._is_certain:
            return
        if rows != ((self._expected,),):
            self._checker.violations.append(
                f"caller {self._number} read {rows} in place of {self._expected}"
            )

    async def save(self):
        """Change the caller's own row."""
        mark = self._checker.mark()
        verb = "REPLACE INTO own VALUES"
        outcome = await self._tell((mark,), f"{verb} ({self._number}, '{mark}')")
        if outcome == "acknowledged":
            self._expected, self._is_certain = mark, True
        elif outcome == "unknown":
            self._is_certain = False

    async def keyed(self):
        """Save once under a request key, repeating it until its outcome is known."""
        mark = self._checker.mark()
        sql = f"INSERT INTO entries VALUES ('{mark}')"
        outcome, text = "unknown", ""
        for _ in range(8):
            try:
                await self._ask(f"SET @bronzescale_request_key = 'key-{mark}'")
                await self._ask(sql)
                outcome = "acknowledged"
                break
            except (errors.Error, OSError) as error:
                text = str(error)
                self._lose(error)
                if _outcome(error) == "not_run" and outcome != "unknown":
                    outcome = "not_run"
                if self._checker._is_stopped:
                    break
                await anyio.sleep(0.2)
        self._checker.told.append(Told((mark,), outcome, True, text))

    async def transaction(self):
        """Save two entries in one transaction."""
        marks = (self._checker.mark(), self._checker.mark())
        try:
            await self._ask("BEGIN")
            for mark in marks:
                await self._ask(f"INSERT INTO entries VALUES ('{mark}')")
        except (errors.Error, OSError) as error:
            # Without a commit nothing may stand, whatever went wrong.
            self._checker.told.append(Told(marks, "not_run", False, str(error)))
            self._lose(error)
            self.close()
            return
        await self._tell(marks, "COMMIT")

    async def _tell(self, marks, sql):
        outcome, text = "", ""
        try:
            await self._ask(sql)
            outcome = "acknowledged"
            ((self._token,),) = await self._ask("SELECT @bronzescale_token")
        except (errors.Error, OSError) as error:
            self._lose(error)
            if outcome != "acknowledged":
                outcome, text = _outcome(error), str(error)
                if sql == "COMMIT":
                    self.close()
        self._checker.told.append(Told(marks, outcome, False, text))
        return outcome

    async def _ask(self, sql):
        if self._connection is None:
            await self._connect()
        return await ask(self._connection, sql)

    async def _connect(self):
        ports = self._ports()
        port = ports[(self._number + self._connects) % len(ports)]
        self._connects += 1
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
            # Whatever went wrong before the login, no statement was sent.
            raise ConnectionRefusedError(str(error)) from error
        deadline_ms = self._checker.deadline_ms
        await ask(self._connection, f"SET @bronzescale_deadline_ms = {deadline_ms}")
        if self._token:
            await ask(self._connection, f"SET @bronzescale_token = '{self._token}'")

    def _lose(self, error):
        """Drop a connection that broke, so that the next statement opens another."""
        sqlstate = getattr(error, "sqlstate", None)
        if sqlstate is None or sqlstate.startswith("08"):
            self.close()


def _outcome(error):
    """Return what an error tells the caller about its statement."""
    sqlstate = getattr(error, "sqlstate", None)
    if sqlstate is None:
        code = error.args[0] if error.args else 0
        is_unreached = isinstance(error, ConnectionRefusedError) or code == 2003
        return "not_run" if is_unreached else "unknown"
    return "unknown" if sqlstate == UNKNOWN_SQLSTATE else "not_run"
