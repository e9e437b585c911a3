"""Track one caller's session: settings, log positions and transaction."""

import re

from bronzescale_core.exceptions import (
    InvalidTokenError,
    NotRunError,
    TransactionLostError,
    UnknownServiceError,
    UnsupportedStatementError,
)
from bronzescale_core.positions import SessionToken, parse_token, render_token
from bronzescale_core.statements import (
    DEFAULT_DEADLINE_AFTER_MS,
    MAX_DEADLINE_AFTER_MS,
    Consistency,
    ConsistencyMode,
    StatementKind,
    StatementRequest,
    parse_consistency,
)
from bronzescale_proxy.classify import classify
from bronzescale_proxy.clock import now_ms

SETTING_PREFIX = "bronzescale_"
_ASSIGNMENT = re.compile(
    r"\s*(?:@@(?:session\.)?|@|session\s+)?([\w.]+)\s*:?=\s*"
    r"('(?:[^'\\]|\\.|'')*'|\"[^\"]*\"|[\w.+-]+)\s*(?:,|;?\s*$)",
    re.IGNORECASE,
)
_SET_NAMES = re.compile(r"\s*set\s+(names|character\s+set)\s+'?(\w+)'?", re.IGNORECASE)
_SET_ISOLATION = re.compile(r"\s*set\s+(session\s+)?transaction\s", re.IGNORECASE)
_UTF8_CHARACTER_SETS = frozenset(("utf8", "utf8mb4", "utf8mb3", "default"))
_SCHEMA_VERSION_SETTING = "bronzescale_schema_version"


class LocalAnswer(Exception):
    """Answer that the proxy gives itself; raised to skip the database, not an error.

    Parameters
    ----------
    label : str
        Column name; empty for an answer without rows.
    value : str or None
        Value of the single row and column.
    """

    def __init__(self, label="", value=None):
        super().__init__(label)
        self.label = label
        self.value = value


class CallerSettings:
    """Settings of a caller, from ``SET`` statements or query attributes."""

    def __init__(self):
        self.consistency = Consistency()
        self.deadline_after_ms = DEFAULT_DEADLINE_AFTER_MS
        self.request_key = ""
        self.schema_version = 0


class SessionState:
    """State of one caller's session, independent of its connection.

    Parameters
    ----------
    node : NodeRuntime
        Runtime state of this node.
    dispatcher : Dispatcher
        Runs statements.
    """

    def __init__(self, node, dispatcher):
        self._node = node
        self._dispatcher = dispatcher
        self.service = ""
        self.connection_id = 0
        self.settings = CallerSettings()
        self._positions = {}
        self._transaction = None
        self._is_transaction_lost = False
        self.is_autocommit = True
        self.insert_id = 0

    @property
    def in_transaction(self):
        """Return whether a transaction is open, or lost but not ended by the caller."""
        return self._transaction is not None or self._is_transaction_lost

    def token(self):
        """Return the session token, or an empty string before any position is known.

        Returns
        -------
        str
        """
        position = self._positions.get(self.service)
        return render_token(SessionToken(self.service, position)) if position else ""

    def use(self, service):
        """Select the service for the statements that follow.

        Parameters
        ----------
        service : str
            Name of the service.

        Raises
        ------
        StatementError
            If a transaction is open or the service is not declared.
        """
        if self.in_transaction:
            raise UnsupportedStatementError(
                "not run: end the transaction before using another service"
            )
        if self._node.service(service) is None:
            raise UnknownServiceError(
                f"service {service!r} is not in force; see bronzescalectl get"
            )
        self.service = service

    async def run(self, sql, attributes, send_part):
        """Run one statement.

        Parameters
        ----------
        sql : str
            Text of the statement.
        attributes : dict of str to str
            Query attributes; they apply to this statement only.
        send_part : callable
            ``async (ResultPart)``, called for each part of the result.

        Returns
        -------
        ResultEnd

        Raises
        ------
        LocalAnswer
            If the proxy answers the statement itself.
        StatementError
            If the statement failed; its message is for the caller.
        """
        statement = classify(sql)
        self._answer_locally(statement, sql)
        settings = self._effective_settings(attributes)
        self._check_schema_version(settings)
        at_ms = now_ms()
        request = StatementRequest(
            service=self.service,
            upstream="",
            sql=sql,
            kind=statement.kind,
            consistency=settings.consistency,
            deadline_ms=at_ms + settings.deadline_after_ms,
            request_key=settings.request_key,
            arrived_at_ms=at_ms,
        )
        if self._transaction is None and not self._is_transaction_lost:
            return await self._run_outside_transaction(request, send_part)
        return await self._run_in_transaction(request, send_part)

    async def close(self):
        """Roll back the open transaction, if any."""
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            await self._dispatcher.end_transaction(
                transaction.end.upstream,
                transaction.end.transaction_id,
                self.service,
                transaction.owner,
            )

    async def reset(self):
        """Reset settings and roll back, but keep the positions that were seen."""
        await self.close()
        self._is_transaction_lost = False
        self.settings = CallerSettings()
        self.is_autocommit = True

    # Outside of a transaction

    async def _run_outside_transaction(self, request, send_part):
        kind = request.kind
        if kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
            raise LocalAnswer()
        if not self.is_autocommit and kind in (StatementKind.READ, StatementKind.WRITE):
            begin = request._replace(kind=StatementKind.BEGIN, sql="BEGIN")
            await self._begin(begin, _drop_part)
            return await self._run_in_transaction(request, send_part)
        if kind in (StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY):
            return await self._begin(request, send_part)
        if kind is not StatementKind.WRITE:
            request = request._replace(request_key="")
        request = await self._with_required_position(request)
        end, _ = await self._dispatcher.run(request, send_part, self)
        if kind is StatementKind.WRITE:
            self.settings.request_key = ""
            self._record_write(end)
        return end

    async def _with_required_position(self, request):
        """Return the request, for a session read with the position it must see."""
        is_read = request.kind in (StatementKind.READ, StatementKind.BEGIN_READ_ONLY)
        if not is_read or request.consistency.mode is not ConsistencyMode.SESSION:
            return request
        position = self._positions.get(self.service)
        if position is None:
            # Whatever was acknowledged before this session began, on any node, is at or
            # before the current head of the primary's log.
            position = await self._dispatcher.head(self.service, request.deadline_ms)
            self._positions[self.service] = position
        return request._replace(floor=position)

    async def _begin(self, request, send_part):
        request = await self._with_required_position(request._replace(request_key=""))
        end, owner = await self._dispatcher.run(request, send_part, self)
        self._transaction = _OpenTransaction(end, owner)
        return end

    # Inside a transaction

    async def _run_in_transaction(self, request, send_part):
        kind = request.kind
        if kind in (StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY):
            raise UnsupportedStatementError(
                "not run: a transaction is open; commit or roll it back first"
            )
        is_last = kind in (StatementKind.COMMIT, StatementKind.ROLLBACK)
        if self._is_transaction_lost:
            self._is_transaction_lost = not is_last
            if kind is StatementKind.ROLLBACK:
                raise LocalAnswer()
            raise TransactionLostError(
                "the transaction was rolled back and did not run; send ROLLBACK and "
                "begin it again"
            )
        transaction = self._transaction
        request = request._replace(
            upstream=transaction.end.upstream,
            transaction_id=transaction.end.transaction_id,
            request_key="",
        )
        if is_last:
            self._transaction = None
        try:
            end = await self._dispatcher.run_in_transaction(
                request, send_part, self, transaction.owner
            )
        except TransactionLostError:
            self._transaction = None
            self._is_transaction_lost = not is_last
            raise
        self.insert_id = end.insert_id or self.insert_id
        if kind is StatementKind.COMMIT:
            self._record_write(end)
        return end

    def _record_write(self, end):
        self.insert_id = end.insert_id or self.insert_id
        known = self._positions.get(self.service)
        if end.position.term and (known is None or end.position > known):
            self._positions[self.service] = end.position

    # Settings

    def _answer_locally(self, statement, sql):
        """Raise `LocalAnswer` or an error unless a database must run the statement."""
        kind = statement.kind
        if kind is StatementKind.EMPTY:
            raise NotRunError("the statement is empty; send one")
        if kind is StatementKind.SESSION_READ:
            raise LocalAnswer(statement.label, self._read_variable(statement.argument))
        if kind is StatementKind.SET:
            self._set(sql)
            raise LocalAnswer()
        if kind is StatementKind.USE:
            self.use(statement.argument)
            raise LocalAnswer()
        if not self.service:
            raise UnknownServiceError(
                "no service is selected, so nothing was run; name one as the database "
                "when connecting, or send USE"
            )

    def _read_variable(self, name):
        settings = self.settings
        values = {
            "bronzescale_token": self.token(),
            "bronzescale_consistency": _render_consistency(settings.consistency),
            "bronzescale_deadline_ms": str(settings.deadline_after_ms),
            "bronzescale_request_key": settings.request_key,
            _SCHEMA_VERSION_SETTING: str(settings.schema_version),
            "bronzescale_node": self._node.settings.node,
            "connection_id()": str(self.connection_id),
            "database()": self.service or None,
            "schema()": self.service or None,
            "last_insert_id()": str(self.insert_id),
            "version_comment": "bronzescale",
            "autocommit": "1" if self.is_autocommit else "0",
        }
        key = name.lstrip("@")
        if key in values:
            return values[key]
        if key.endswith("isolation"):
            return "REPEATABLE-READ"
        raise UnsupportedStatementError(
            f"{name} is unknown; see the reference of settings for its name"
        )

    def _set(self, sql):
        names = _SET_NAMES.match(sql)
        if names:
            if names.group(2).lower() not in _UTF8_CHARACTER_SETS:
                raise UnsupportedStatementError(
                    f"character set {names.group(2)} was not set; use utf8mb4"
                )
            return
        if _SET_ISOLATION.match(sql):
            raise UnsupportedStatementError(
                "the isolation level was not set; set it at the database for all"
            )
        self._set_assignments(sql)

    def _set_assignments(self, sql):
        at = sql.lower().index("set") + 3
        while at < len(sql):
            match = _ASSIGNMENT.match(sql, at)
            if match is None:
                unparsed = sql[at : at + 40].strip()
                raise UnsupportedStatementError(
                    f"{unparsed!r} was not set; write SET @name = value"
                )
            value = _unquote(match.group(2))
            self._assign(match.group(1).lower(), value, self.settings)
            at = match.end()

    def _assign(self, name, value, settings):
        if name == "autocommit":
            self._set_autocommit(value)
        elif name in ("character_set_results", "character_set_client"):
            return
        elif name == "bronzescale_token":
            self._set_token(value)
        elif name == "bronzescale_consistency":
            settings.consistency = _parse_or_refuse(parse_consistency, value)
        elif name == "bronzescale_deadline_ms":
            settings.deadline_after_ms = _parse_deadline(value)
        elif name == "bronzescale_request_key":
            settings.request_key = _parse_key(value)
        elif name == _SCHEMA_VERSION_SETTING:
            settings.schema_version = _parse_or_refuse(_parse_version, value)
        else:
            raise UnsupportedStatementError(
                f"{name} was not set: the proxy shares connections between callers; "
                "set it at the database, or keep the value in the caller"
            )

    def _set_autocommit(self, value):
        is_on = value.lower() in ("1", "on", "true")
        if self.in_transaction:
            raise UnsupportedStatementError(
                "autocommit was not set; end the transaction first"
            )
        self.is_autocommit = is_on

    def _set_token(self, value):
        if not value:
            self._positions.pop(self.service, None)
            return
        token = _parse_or_refuse(parse_token, value)
        known = self._positions.get(token.service)
        if known is None or token.position > known:
            self._positions[token.service] = token.position

    def _effective_settings(self, attributes):
        named = {
            name.removeprefix(SETTING_PREFIX): str(value)
            for name, value in attributes.items()
            if name.startswith(SETTING_PREFIX)
        }
        if not named:
            return self.settings
        settings = CallerSettings()
        settings.__dict__.update(self.settings.__dict__)
        for name, value in named.items():
            self._assign(SETTING_PREFIX + name, value, settings)
        return settings

    def _check_schema_version(self, settings):
        wanted = settings.schema_version
        service = self._node.service(self.service)
        if not wanted or service is None:
            return
        if wanted not in service.schema_versions:
            in_force = ", ".join(str(each) for each in service.schema_versions)
            raise UnknownServiceError(
                f"not run: schema version {wanted} of {self.service} is not in force; "
                f"use one of {in_force}"
            )


class _OpenTransaction:
    """An open transaction.

    Parameters
    ----------
    end : ResultEnd
        Result of its ``BEGIN``, with its database and number.
    owner : Node or None
        Node that holds it; None for this node.
    """

    def __init__(self, end, owner):
        self.end = end
        self.owner = owner


async def _drop_part(part):
    """Discard the answer to a ``BEGIN`` that the proxy added itself."""


def _unquote(text):
    if text[0] == "'":
        return text[1:-1].replace("''", "'").replace("\\'", "'")
    return text.strip('"')


def _parse_or_refuse(parse, value):
    try:
        return parse(value)
    except (ValueError, InvalidTokenError) as error:
        raise UnsupportedStatementError(f"not set: {error}") from error


def _parse_version(value):
    if not value.isdecimal():
        raise ValueError(f"{value[:40]!r} is no schema version; use a whole number")
    return int(value)


def _parse_deadline(value):
    if not value.isdecimal() or not 1 <= int(value) <= MAX_DEADLINE_AFTER_MS:
        raise UnsupportedStatementError(
            f"not set: {value[:40]!r} is no deadline; use 1 to {MAX_DEADLINE_AFTER_MS} "
            "ms"
        )
    return int(value)


def _parse_key(value):
    if len(value) > 128:
        raise UnsupportedStatementError(
            "not set: the request key is longer than 128 characters; use a shorter one"
        )
    return value


def _render_consistency(consistency):
    if consistency.mode is ConsistencyMode.AGE:
        return f"age:{consistency.max_age_ms}"
    return consistency.mode.value
