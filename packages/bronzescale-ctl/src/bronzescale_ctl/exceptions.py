"""Define the errors of the command line; each has an exit code."""

from bronzescale_core.exceptions import BronzescaleError


class CommandError(BronzescaleError):
    """A command failed; the message names the remedy."""

    exit_code = 1


class BadFileError(CommandError):
    """A declaration file breaks a rule; nothing was applied."""

    exit_code = 2


class ConflictError(CommandError):
    """Another operator changed the object first."""

    exit_code = 3


class NotInForceError(CommandError):
    """A change is accepted but some nodes do not have it yet."""

    exit_code = 4


class PlatformUnavailableError(CommandError):
    """The platform's store did not answer."""

    exit_code = 5


class NotFoundError(CommandError):
    """The named object, node or service does not exist."""

    exit_code = 6
