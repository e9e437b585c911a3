"""Define the errors of the command line with their exit codes."""

from bronzescale_core.exceptions import BronzescaleError


class CommandError(BronzescaleError):
    """Base class of failed commands; the message names the remedy."""

    exit_code = 1


class BadFileError(CommandError):
    """A declaration file is unreadable or invalid; nothing was applied."""

    exit_code = 2


class ConflictError(CommandError):
    """Another operator changed the object first."""

    exit_code = 3


class NotInForceError(CommandError):
    """A generation is accepted, but not in force on every node yet."""

    exit_code = 4


class PlatformUnavailableError(CommandError):
    """The platform's store did not respond, or responded with a server error."""

    exit_code = 5


class NotFoundError(CommandError):
    """The named object, node, service or upstream is unknown or unreachable."""

    exit_code = 6
