"""Define the errors of the proxy's settings, store, database and peer access."""

from bronzescale_core.exceptions import BronzescaleError


class SettingsError(BronzescaleError):
    """The settings are invalid; the process cannot start."""


class StoreError(BronzescaleError):
    """Base class for failures of the platform's store."""


class StoreUnavailableError(StoreError):
    """The store did not answer; a change may or may not have been applied."""


class StoreSilentError(StoreUnavailableError):
    """The store did not answer in time; the answer may have been lost."""


class StoreConflictError(StoreError):
    """The version of an object in the store differs from the expected version.

    Parameters
    ----------
    message : str
        Describes the object and the expected version.
    version : int
        Version of the object in the store.
    """

    def __init__(self, message, version):
        super().__init__(message)
        self.version = version


class StoreThrottledError(StoreUnavailableError):
    """The store throttled the call; it had no effect."""


class HistoryGoneError(StoreError):
    """The store no longer has the revision that a watch resumes from; list again."""


class UpstreamUnavailableError(BronzescaleError):
    """A database could not be reached, or its connection was lost.

    Parameters
    ----------
    message : str
        Describes the failure.
    is_refused : bool, default=False
        Whether the host refused the connection, so that no database listens there.
    is_sent : bool, default=True
        Whether a statement may have reached the database.
    """

    def __init__(self, message, is_refused=False, is_sent=True):
        super().__init__(message)
        self.is_refused = is_refused
        self.is_sent = is_sent


class PermitUnavailableError(UpstreamUnavailableError):
    """All connection permits of the database are in use."""


class PeerUnavailableError(BronzescaleError):
    """Another proxy could not be reached, or its connection was lost.

    Parameters
    ----------
    message : str
        Describes the failure.
    is_sent : bool
        Whether the request may have reached the peer.
    """

    def __init__(self, message, is_sent):
        super().__init__(message)
        self.is_sent = is_sent


class UnsendableMessageError(PeerUnavailableError):
    """A message of this process cannot be encoded, which is no fault of the peer.

    Parameters
    ----------
    message : str
        Describes the failure.
    """

    def __init__(self, message):
        super().__init__(message, False)


class PeerRestartedError(PeerUnavailableError):
    """Another process answers for a peer; what the former one held is gone."""


class AttemptFailedError(BronzescaleError):
    """One attempt to run a statement failed; the dispatcher decides on a retry.

    Parameters
    ----------
    progress : Progress
        Whether the statement was sent, and whether rows were received.
    reason : str
        Describes the failure.
    retry_after_ms : int, default=0
        Delay after which a retry makes sense; 0 for none.
    is_behind : bool, default=False
        Whether the copy had not applied the log position that the read must see.
    is_overloaded : bool, default=False
        Whether admission control refused the statement.
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
