"""Define the errors of the proxy's input and output."""

from bronzescale_core.exceptions import BronzescaleError


class SettingsError(BronzescaleError):
    """The settings do not allow a start."""


class StoreError(BronzescaleError):
    """Base class of failures of the platform's store."""


class StoreUnavailableError(StoreError):
    """The store did not answer; a change may or may not have taken effect."""


class StoreConflictError(StoreError):
    """The object has another version than the caller expected.

    Parameters
    ----------
    message : str
        What was expected.
    version : int
        The object's version in the store.
    """

    def __init__(self, message, version):
        super().__init__(message)
        self.version = version


class StoreThrottledError(StoreUnavailableError):
    """The store refuses calls for now; nothing was done."""


class HistoryGoneError(StoreError):
    """A watch cannot go on from its revision; list the objects again."""


class UpstreamUnavailableError(BronzescaleError):
    """A database could not be reached, or its connection was lost.

    Parameters
    ----------
    message : str
        What happened.
    is_refused : bool
        Whether the host answered that nothing listens there.
    is_sent : bool, default=True
        Whether a statement may have arrived there.
    """

    def __init__(self, message, is_refused=False, is_sent=True):
        super().__init__(message)
        self.is_refused = is_refused
        self.is_sent = is_sent


class PermitUnavailableError(UpstreamUnavailableError):
    """Every connection permit of the database is held."""


class PeerUnavailableError(BronzescaleError):
    """Another proxy could not be reached, or its connection was lost.

    Parameters
    ----------
    message : str
        What happened.
    is_sent : bool
        Whether the request may have arrived there.
    """

    def __init__(self, message, is_sent):
        super().__init__(message)
        self.is_sent = is_sent


class AttemptFailedError(BronzescaleError):
    """One attempt to run a statement failed; the dispatcher rules on it.

    Parameters
    ----------
    progress : Progress
        How far the statement came.
    reason : str
        What happened.
    retry_after_ms : int, default=0
        When to come back.
    is_behind : bool, default=False
        Whether the copy had not reached the session's position.
    is_overloaded : bool, default=False
        Whether admission refused the statement.
    is_unreachable : bool, default=False
        Whether the owner could not be reached, so that another node may try.
    """

    def __init__(
        self,
        progress,
        reason,
        retry_after_ms=0,
        is_behind=False,
        is_overloaded=False,
        is_unreachable=False,
    ):
        super().__init__(reason)
        self.progress = progress
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        self.is_behind = is_behind
        self.is_overloaded = is_overloaded
        self.is_unreachable = is_unreachable
