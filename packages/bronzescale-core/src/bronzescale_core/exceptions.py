"""Define the exception tree of the decision core."""


class BronzescaleError(Exception):
    """Base class of every error that bronzescale raises on purpose."""


class InvalidTokenError(BronzescaleError):
    """A session token could not be read."""


class InvalidDeclarationError(BronzescaleError):
    """A declaration breaks a rule.

    Parameters
    ----------
    problems : sequence of DeclarationProblem
        Everything found wrong, in document order.
    """

    def __init__(self, problems):
        self.problems = tuple(problems)
        super().__init__("; ".join(problem.render() for problem in self.problems))


class StatementError(BronzescaleError):
    """A caller's statement got no ordinary answer.

    Parameters
    ----------
    message : str
        Text for the caller; it names the remedy.
    retry_after_ms : int, default=0
        When to come back; 0 where coming back later does not help.
    """

    code = 1105
    sqlstate = "HY000"
    kind = "statement"

    def __init__(self, message, retry_after_ms=0):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class NotRunError(StatementError):
    """The statement did not run; sending it again is safe."""

    code = 3024
    sqlstate = "40001"
    kind = "not_run"


class OverloadedError(NotRunError):
    """Admission refused the statement before it was sent."""

    code = 1203
    sqlstate = "53300"
    kind = "overloaded"


class NoPrimaryError(NotRunError):
    """No primary under a confirmed term can take the statement."""

    code = 1290
    sqlstate = "40001"
    kind = "no_primary"


class ReplicaBehindError(NotRunError):
    """No replica had applied the position that the session needs in time."""

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
    """The statement was sent and its outcome could not be learned."""

    code = 1180
    sqlstate = "40003"
    kind = "unknown"


class UpstreamStatementError(StatementError):
    """The database answered the statement with an error of its own.

    Parameters
    ----------
    message : str
        The database's text.
    code : int
        The database's error number.
    sqlstate : str
        The database's SQLSTATE, five characters.
    """

    kind = "upstream"

    def __init__(self, message, code, sqlstate):
        super().__init__(message)
        self.code = code
        self.sqlstate = sqlstate


class UnsupportedStatementError(NotRunError):
    """The proxy cannot honour the statement on a shared connection."""

    code = 1235
    sqlstate = "42000"
    kind = "unsupported"
