"""Query the status of databases and send them commands, one connection for each."""

import anyio

from bronzescale_core.detection import ProbeOutcome
from bronzescale_core.work import Outcome
from bronzescale_proxy.exceptions import UpstreamUnavailableError
from bronzescale_proxy.fleet.upstream import open_connection

# An answer from another region takes about 65 ms; without one by then, a probe fails.
PROBE_TIMEOUT_S = 0.45


class CopyBusyError(UpstreamUnavailableError):
    """The database runs but has no free slot for the command."""


class CopyControl:
    """Send commands to one database over a separate connection.

    Parameters
    ----------
    copy : Copy
        The database.
    codec : LineCodec
        The line protocol.
    """

    def __init__(self, copy, codec):
        self.copy = copy
        self._codec = codec
        self._connection = None
        self._lock = anyio.Lock()

    async def run_command(self, command, timeout_s=PROBE_TIMEOUT_S):
        """Run a command and return the status with which the database answers.

        Parameters
        ----------
        command : str
            Text of the command, as encoded by the codec.
        timeout_s : float
            Limit for the whole call, including the wait for other commands.

        Returns
        -------
        CopyStatus

        Raises
        ------
        CopyBusyError
            If the database has no free slot.
        UpstreamUnavailableError
            If it does not answer, or answers with an error.
        """
        try:
            with anyio.fail_after(timeout_s):
                async with self._lock:
                    return await self._run(command)
        except TimeoutError as error:
            self.close()
            raise UpstreamUnavailableError(
                f"{self.copy.instance} did not answer in time"
            ) from error
        except UpstreamUnavailableError as error:
            if not isinstance(error, CopyBusyError):
                self.close()
            raise

    async def status(self, timeout_s=PROBE_TIMEOUT_S):
        """Return the current status of the database."""
        return await self.run_command(self._codec.status, timeout_s)

    async def _run(self, command):
        if self._connection is None or not self._connection.is_usable:
            self.close()
            self._connection = await open_connection(self.copy, self._codec)
        (reply,) = await self._connection.run_own([command])
        if reply.is_done and reply.rows:
            status = self._codec.decode_status(reply.rows[0])
            if status is not None:
                return status
        if reply.outcome is Outcome.BUSY:
            raise CopyBusyError(f"{self.copy.instance} has no free slot")
        raise UpstreamUnavailableError(
            f"{self.copy.instance} answered {command!r} with {reply.outcome.value}: "
            f"{reply.reason}"
        )

    def close(self):
        """Close the connection; the next command opens another."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def probe_outcome(error):
    """Return how a failed command counts as a probe of the database.

    A database that refuses because it is overloaded or has no free connection is alive.

    Parameters
    ----------
    error : UpstreamUnavailableError
        Why the command failed.

    Returns
    -------
    ProbeOutcome
    """
    if isinstance(error, CopyBusyError):
        return ProbeOutcome.ANSWERED
    if getattr(error, "outcome", None) is Outcome.TOO_MANY:
        return ProbeOutcome.ANSWERED
    return ProbeOutcome.REFUSED if error.is_refused else ProbeOutcome.SILENT
