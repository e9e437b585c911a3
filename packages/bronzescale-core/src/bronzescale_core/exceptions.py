"""Define the exceptions of the decision core and the error codes that callers see."""


class BronzescaleError(Exception):
    """Base class of all exceptions that bronzescale defines."""


class InvalidTokenError(BronzescaleError):
    """A session token could not be parsed."""


class UnreadableGroupError(BronzescaleError, ValueError):
    """The stored state of a group is malformed; another program wrote it."""


class InvalidDeclarationError(BronzescaleError):
    """A declaration is invalid.

    Parameters
    ----------
    problems : sequence of DeclarationProblem
        All problems found, in the order of the document.
    """

    def __init__(self, problems):
        self.problems = tuple(problems)
        super().__init__("; ".join(problem.render() for problem in self.problems))


class StatementError(BronzescaleError):
    """A caller's statement failed.

    Parameters
    ----------
    message : str
        Error message for the caller, which states the remedy.
    retry_after_ms : int, default=0
        Time after which a retry makes sense; 0 if waiting does not help.
    """

    code = 1105
    sqlstate = "HY000"
    kind = "statement"

    def __init__(self, message, retry_after_ms=0):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class NotRunError(StatementError):
    """The statement did not run, so that it is safe to retry."""

    code = 3024
    sqlstate = "40001"
    kind = "not_run"


class OverloadedError(NotRunError):
    """Admission control refused the statement before it was sent."""

    code = 1203
    sqlstate = "53300"
    kind = "overloaded"


class NoPrimaryError(NotRunError):
    """No primary with a confirmed term is available for the statement."""

    code = 1290
    sqlstate = "40001"
    kind = "no_primary"


class ReplicaBehindError(NotRunError):
    """No replica applied the position that the session must see in time."""

    code = 3024
    sqlstate = "40001"
    kind = "replica_behind"


class UnknownServiceError(NotRunError):
    """The named service or schema version is not in force."""

    code = 1049
    sqlstate = "42000"
    kind = "unknown_service"


class TransactionLostError(NotRunError):
    """The open transaction was rolled back before its commit was sent."""

    code = 1213
    sqlstate = "40001"
    kind = "transaction_lost"


class OutcomeUnknownError(StatementError):
    """The statement was sent, but its outcome is unknown."""

    code = 1180
    sqlstate = "40003"
    kind = "unknown"


class UpstreamStatementError(StatementError):
    """The database answered the statement with an error.

    Parameters
    ----------
    message : str
        Error message of the database.
    code : int
        Error number of the database.
    sqlstate : str
        SQLSTATE of the database, five characters.
    """

    kind = "upstream"

    def __init__(self, message, code, sqlstate):
        super().__init__(message)
        self.code = code
        self.sqlstate = sqlstate


class UnsupportedStatementError(NotRunError):
    """The statement cannot be supported on a shared connection."""

    code = 1235
    sqlstate = "42000"
    kind = "unsupported"
