"""Consumers and the balancer that sends them to the machines."""

import asyncio
import itertools
import os
import time

_numbers = itertools.count(1)
_PREFIX = os.urandom(3).hex()


def new_id():
    """Return a request id that no other request has."""
    return f"{_PREFIX}{next(_numbers):010x}"


class ConnectionLostError(Exception):
    """The connection ended, or no answer came in time."""


class Answer:
    """Answer to one statement."""

    def __init__(self, request_id, code, text, rows, state):
        self.id = request_id
        self.code = code
        self.text = text
        self.rows = rows
        self.state = state

    @property
    def is_done(self):
        """Return whether the statement succeeded."""
        return self.code == "DONE"


class Consumer:
    """One session.

    Parameters
    ----------
    name : str
        Name in the record.
    record : Record
        Gets what is sent and answered.
    """

    def __init__(self, name, record):
        self.name = name
        self._record = record
        self._reader = None
        self._writer = None

    async def connect(self, address, database, timeout_s=2.0):
        """Open a session; return whether it was answered with READY."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(timeout_s):
                self._reader, self._writer = await asyncio.open_connection(
                    host, int(port), limit=2_097_152
                )
                self._writer.write(f"CONNECT {database} {self.name}\r\n".encode())
                line = await self._receive()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self._record.add("not_connected", consumer=self.name, reason=repr(error))
            return False
        self._record.add("connected", consumer=self.name, address=address, line=line)
        return line.startswith("READY")

    async def _receive(self):
        return (await self._reader.readuntil(b"\r\n"))[:-2].decode("latin-1")

    async def query(self, text, timeout_s=5.0):
        """Send a statement and return its answer.

        Raises
        ------
        ConnectionLostError
            If the connection ended without a complete answer, or none came in time.
        """
        request_id = new_id()
        self._record.add("sent", consumer=self.name, id=request_id, text=text)
        sent_s = time.monotonic()
        rows, code, detail = [], "", ""
        try:
            async with asyncio.timeout(timeout_s):
                self._writer.write(f"QUERY {request_id} {text}\r\n".encode("latin-1"))
                while True:
                    word, _, rest = (await self._receive()).partition(" ")
                    if word == "ROW":
                        rows.append(rest)
                    elif word == "DONE":
                        code, detail = "DONE", rest
                    elif word == "ERROR":
                        code, _, detail = rest.partition(" ")
                    elif word == "READY":
                        state = rest.split(" ")[0]
                        break
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            is_silent = isinstance(error, TimeoutError)
            self._record.add(
                "unanswered" if is_silent else "cut",
                consumer=self.name,
                id=request_id,
                text=text,
                after_s=round(time.monotonic() - sent_s, 4),
            )
            raise ConnectionLostError(repr(error)) from error
        self._record.add(
            "answered",
            consumer=self.name,
            id=request_id,
            text=text,
            code=code,
            detail=detail,
            rows=rows,
            state=state,
        )
        return Answer(request_id, code, detail, rows, state)

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


class Balancer:
    """Asks each machine whether it is ready, and chooses one for a new connection.

    Parameters
    ----------
    machines : list of Machine
        All machines.
    record : Record
        Gets each change of the rotation.
    """

    def __init__(self, machines, record):
        self._machines = machines
        self._record = record
        self._misses = {machine.name: 0 for machine in machines}
        self._turns = itertools.count()

    async def run(self):
        """Ask every machine once a second until cancelled."""
        while True:
            await asyncio.gather(*(self._ask(m) for m in self._machines))
            await asyncio.sleep(1.0)

    async def _ask(self, machine):
        is_ready = await machine.is_ready()
        was_in = self.is_in_rotation(machine)
        self._misses[machine.name] = 0 if is_ready else self._misses[machine.name] + 1
        if was_in != self.is_in_rotation(machine):
            word = "out_of_rotation" if was_in else "in_rotation"
            self._record.add(word, machine=machine.name)

    def is_in_rotation(self, machine):
        """Return whether a machine gets new connections by itself."""
        return self._misses[machine.name] < 2

    def choose(self, zone):
        """Return the machine for the next connection from a zone.

        With fewer than half of the zone's machines in rotation, all of them are used;
        with none, those of other zones.
        """
        mates = [m for m in self._machines if m.zone == zone]
        ready = [m for m in mates if self.is_in_rotation(m)]
        if not ready:
            others = [m for m in self._machines if m.zone != zone]
            mates = [m for m in others if self.is_in_rotation(m)] or mates
        elif 2 * len(ready) >= len(mates):
            mates = ready
        return mates[next(self._turns) % len(mates)]
