"""Ask databases about themselves and give them orders, one link a database."""

import anyio

from bronzescale_core.detection import ProbeOutcome
from bronzescale_core.work import Outcome
from bronzescale_proxy.exceptions import UpstreamUnavailableError
from bronzescale_proxy.fleet.upstream import open_connection

# Answers across regions take some 65 ms; a longer silence is a failed probe.
PROBE_TIMEOUT_S = 0.45


class CopyBusyError(UpstreamUnavailableError):
    """The database lives but has no slot for an order now."""


class CopyControl:
    """Orders to one database over a link of its own.

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
        self._link = None
        self._lock = anyio.Lock()

    async def order(self, text, timeout_s=PROBE_TIMEOUT_S):
        """Give an order and return the status that answers it.

        Parameters
        ----------
        text : str
            The order.
        timeout_s : float
            How long to wait.

        Returns
        -------
        CopyStatus

        Raises
        ------
        CopyBusyError
            If the database has no slot for it.
        UpstreamUnavailableError
            If it does not answer.
        """
        try:
            with anyio.fail_after(timeout_s):
                async with self._lock:
                    return await self._run(text)
        except TimeoutError as error:
            self.close()
            raise UpstreamUnavailableError(
                f"{self.copy.instance} does not answer"
            ) from error
        except UpstreamUnavailableError as error:
            if not isinstance(error, CopyBusyError):
                self.close()
            raise

    async def status(self, timeout_s=PROBE_TIMEOUT_S):
        """Return what the database says of itself."""
        return await self.order(self._codec.status, timeout_s)

    async def _run(self, text):
        if self._link is None or not self._link.is_usable:
            self.close()
            self._link = await open_connection(self.copy, self._codec)
        (reply,) = await self._link.run_own([text])
        if reply.is_done and reply.rows:
            status = self._codec.decode_status(reply.rows[0])
            if status is not None:
                return status
        if reply.outcome is Outcome.BUSY:
            raise CopyBusyError(f"{self.copy.instance} has no slot free")
        raise UpstreamUnavailableError(
            f"{self.copy.instance} answered {text!r} with {reply.outcome.value}: "
            f"{reply.reason}"
        )

    def close(self):
        """Close the link."""
        if self._link is not None:
            self._link.close()
            self._link = None


def probe_outcome(error):
    """Return what a failed order says about a database's life.

    Parameters
    ----------
    error : UpstreamUnavailableError
        Why there is no status.

    Returns
    -------
    ProbeOutcome
    """
    if isinstance(error, CopyBusyError):
        return ProbeOutcome.ANSWERED
    if getattr(error, "outcome", None) is Outcome.TOO_MANY:
        return ProbeOutcome.ANSWERED
    return ProbeOutcome.REFUSED if error.is_refused else ProbeOutcome.SILENT
