"""Session of one caller over the MySQL protocol."""

import asyncio
import re
import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from mysql_mimic.connection import Connection
from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.session import BaseSession
from mysql_mimic.types import ServerStatus
from mysql_mimic.variables import GlobalVariables, SessionVariables

from ..bundles import Bundle
from ..decisions.routing import later_position
from ..groups import LOG_START, LogPosition
from ..identifiers import (
    CallerId,
    DatabaseId,
    RequestId,
    SessionId,
    TransactionId,
)
from ..requests import Action, Reply, Request
from ..shutdown import Work
from ..statements import Statement, StatementError, read_statement
from ..verdicts import Failure, Reason, Verdict
from .callerwriter import CallerWriter
from .clock import read_monotonic_ms
from .errorcodes import make_error
from .router import Router, Target
from .sessiontokens import format_token, parse_token

TOKEN_VARIABLE = "apricotshore_token"
SESSION_VARIABLE = "apricotshore_session"

_SET = re.compile(r"^\s*set\s+(.*)$", re.I | re.S)
_USER_VARIABLE = re.compile(
    rf"^@({TOKEN_VARIABLE}|{SESSION_VARIABLE})\s*:?=\s*'([^']*)'$", re.I
)
_AUTOCOMMIT = re.compile(
    r"^(?:@@)?(?:session[\s.]+)?autocommit\s*:?=\s*(0|1|on|off)$", re.I
)
_SELECT_TOKEN = re.compile(rf"^\s*select\s+@{TOKEN_VARIABLE}\s*;?\s*$", re.I)
_SELECT_VARIABLES = re.compile(r"^\s*select\s+@@[\w.@,\s]+(?:limit\s+\d+)?\s*;?$", re.I)
_SHORT_NAME = re.compile(r"^[A-Za-z0-9_.:@-]{1,64}$")

_LEAVES_TRANSACTION_OPEN = frozenset(
    {Reason.DATABASE_ERROR, Reason.OVERLOAD, Reason.DEADLINE}
)

# Another host serves at once; a hint is given only if it isn't 0.
DRAINING_RETRY_MS = 1
DRAINING_FAILURE = Failure(
    verdict=Verdict.NOT_RUN,
    reason=Reason.DRAINING,
    detail="this host is draining",
    retry_after_ms=DRAINING_RETRY_MS,
)

Result = Any


@dataclass(kw_only=True)
class OpenTransaction:
    """An open transaction of a session and the owner that runs it."""

    transaction: TransactionId
    target: Target
    request_id: RequestId


def _make_bad_request(detail: str) -> MysqlError:
    return make_error(
        Failure(verdict=Verdict.NOT_RUN, reason=Reason.BAD_REQUEST, detail=detail)
    )


@dataclass(frozen=True, kw_only=True)
class SessionContext:
    """What a session needs of the front end that accepted it.

    Parameters
    ----------
    router
        Routes requests to the owners of their databases.
    get_bundle
        Returns the bundle in force.
    may_begin
        Returns whether a statement is begun, by what it is a part of and its timeout.
    limit_timeout
        Returns a statement's timeout, within the time that a stopping host has left.
    on_login, on_close
        Called when the session's caller has logged in and when the session ends.
    on_served
        Called with each request, its failure and its duration in seconds.
    roll_back
        Rolls back the transaction of a caller that has disconnected.
    """

    router: Router
    get_bundle: Callable[[], Bundle]
    may_begin: Callable[[Work, int], bool]
    limit_timeout: Callable[[int], int]
    on_login: Callable[["CallerSession"], None]
    on_close: Callable[["CallerSession"], None]
    on_served: Callable[[Request, Failure | None, float], None]
    roll_back: Callable[[Request, OpenTransaction], None]


class CallerSession(BaseSession):
    """Session of one caller's connection.

    Parameters
    ----------
    context
        What it needs of the front end that accepted the connection.
    writer
        The connection.
    """

    def __init__(self, *, context: SessionContext, writer: CallerWriter) -> None:
        self.context = context
        self.writer = writer
        self.variables = SessionVariables(GlobalVariables())
        self.username: str | None = None
        self.database: str | None = None
        self.connection: Connection | None = None
        self.session = SessionId(uuid.uuid4().hex)
        self.log_positions: dict[DatabaseId, LogPosition] = {}
        self.token_given = False
        self.session_named = False
        self.autocommit = True
        self.open_transaction: OpenTransaction | None = None
        self.affected_rows = 0
        self.last_insert_id = 0
        self.last_used_ms = read_monotonic_ms()

    @property
    def at_work(self) -> bool:
        """Whether a command was read whose answer hasn't been written whole."""
        # The library counts the packets of a command, and begins anew after each.
        return self.connection is not None and self.connection.stream.seq.value != 0

    # -- life cycle --

    async def init(self, connection: Connection) -> None:
        """Set up the session after a complete handshake."""
        self.context.on_login(self)
        if self.username is None:
            raise MysqlError("access denied", ErrorCode.ACCESS_DENIED_ERROR)
        self.connection = connection
        plain_ok = connection.ok

        def make_ok(**kwargs: Any) -> bytes:
            if not kwargs:
                kwargs = {
                    "affected_rows": self.affected_rows,
                    "last_insert_id": self.last_insert_id,
                }
            return plain_ok(**kwargs)

        # The library offers sessions no way to report affected rows, so the method
        # that builds OK packets is replaced.
        connection.ok = make_ok
        self._update_status_flags()

    async def close(self) -> None:
        """Remove the session and roll back its open transaction."""
        self.context.on_close(self)
        self.abort_transaction()

    def abort_transaction(self) -> None:
        """Roll back the open transaction, if there is one."""
        if self.open_transaction is None or self.username is None:
            return
        open_transaction, self.open_transaction = self.open_transaction, None
        statement = read_statement("ROLLBACK")
        request = self._make_request(statement, Action.ROLLBACK, open_transaction)
        self.context.roll_back(request, open_transaction)

    def leave(self) -> None:
        """Answer the next statement in advance, then end the connection.

        The caller may be sending one right now, and after a bare close it couldn't
        know whether it ran. As the protocol has no goodbye, the answer is sent ahead;
        whatever arrives then is dropped.
        """
        if self.connection is None:
            return
        error = make_error(DRAINING_FAILURE)
        self.writer.finish(self.connection.error(msg=error.msg, code=error.code))

    async def reset(self) -> None:
        """Reset the session's state, as for COM_CHANGE_USER."""
        self.log_positions.clear()
        self.token_given = False

    async def use(self, database: str) -> None:
        """Set the default database."""
        self.database = database

    def _update_status_flags(self) -> None:
        if self.connection is None:
            return
        flags = ServerStatus(0)
        if self.open_transaction is not None:
            flags |= ServerStatus.SERVER_STATUS_IN_TRANS
        if self.autocommit:
            flags |= ServerStatus.SERVER_STATUS_AUTOCOMMIT
        self.connection.status_flags = flags

    # -- queries --

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> Result:
        """Execute one statement of the caller."""
        self.affected_rows = self.last_insert_id = 0
        if self.username is None:
            raise MysqlError("access denied", ErrorCode.ACCESS_DENIED_ERROR)
        if self.writer.finished:
            raise make_error(DRAINING_FAILURE)
        if self.open_transaction is None and not self.context.may_begin(
            Work.STATEMENT, 0
        ):
            raise self._reject()
        try:
            return await self._handle(sql)
        except StatementError as error:
            raise _make_bad_request(str(error)) from None
        finally:
            self.last_used_ms = read_monotonic_ms()
            self._update_status_flags()

    async def _handle(self, sql: str) -> Result:
        if match := _SET.match(sql):
            return self._set_variables(match.group(1).strip().rstrip(";"))
        if _SELECT_TOKEN.match(sql):
            return [(format_token(self.log_positions),)], [f"@{TOKEN_VARIABLE}"]
        if _SELECT_VARIABLES.match(sql):
            return self._select_variables(sql)
        statement = read_statement(sql)
        if statement.action is None:
            raise _make_bad_request("this statement is not served")
        if self.open_transaction is None and statement.action in (
            Action.COMMIT,
            Action.ROLLBACK,
        ):
            return None
        if self.open_transaction is not None and statement.action is Action.BEGIN:
            # What it commits would run although the answer says that nothing did.
            self._check_begin(self._make_request(statement, Action.BEGIN, None))
            await self._commit_implicitly()
            return await self._forward(statement, Action.BEGIN, is_checked=True)
        if self._opens_transaction(statement):
            await self._begin(statement)
        return await self._forward(statement, statement.action)

    def _opens_transaction(self, statement: Statement) -> bool:
        # With autocommit off only a write opens a transaction. Reads outside a
        # transaction run on their own, so that replicas can serve them.
        return (
            not self.autocommit
            and self.open_transaction is None
            and statement.action is Action.WRITE
        )

    async def _begin(self, statement: Statement) -> None:
        begin = read_statement("BEGIN")
        tagged = Statement(
            text=begin.text,
            action=Action.BEGIN,
            fingerprint=begin.fingerprint,
            tags=statement.tags,
        )
        await self._forward(tagged, Action.BEGIN)

    async def _commit_implicitly(self) -> None:
        await self._forward(read_statement("COMMIT"), Action.COMMIT)

    async def _forward(
        self, statement: Statement, action: Action, *, is_checked: bool = False
    ) -> Result:
        open_transaction = self.open_transaction
        request = self._make_request(statement, action, open_transaction)
        if not is_checked:
            self._check_begin(request)
        request = self._limit_time(request)
        started = asyncio.get_running_loop().time()
        target = open_transaction.target if open_transaction else None
        routed = await self.context.router.route(request, target)
        took_s = asyncio.get_running_loop().time() - started
        failure = routed.outcome.failure
        self.context.on_served(request, failure, took_s)
        if failure is not None:
            self._apply_failure(action, failure)
            raise make_error(failure)
        reply = routed.outcome.reply
        assert reply is not None
        self._apply_reply(request, action, reply, routed.target)
        if reply.columns:
            return list(reply.rows), list(reply.columns)
        self.affected_rows = reply.affected_rows
        self.last_insert_id = reply.last_insert_id
        return None

    def _limit_time(self, request: Request) -> Request:
        """Return a request that is answered within the time of a stopping host.

        That includes the question for an outcome that is unknown.
        """
        limit = self.context.limit_timeout
        deadline_ms = limit(request.deadline_ms)
        both_ms = limit(request.deadline_ms + request.resolve_ms)
        resolve_ms = max(both_ms - deadline_ms, 1)
        return replace(request, deadline_ms=deadline_ms, resolve_ms=resolve_ms)

    def _check_begin(self, request: Request) -> None:
        """Reject a statement that a stopping host doesn't begin."""
        work = Work.STATEMENT
        if request.action is Action.BEGIN:
            work = Work.NEW_TRANSACTION
        elif self.open_transaction is not None:
            work = Work.OPEN_TRANSACTION
        if self.context.may_begin(work, request.deadline_ms):
            return
        raise self._reject()

    def _reject(self) -> MysqlError:
        """End the session; return the answer to a statement that isn't begun."""
        self.abort_transaction()
        # The connection ends once this answer is written.
        asyncio.get_running_loop().call_soon(self.leave)
        return make_error(DRAINING_FAILURE)

    def _apply_failure(self, action: Action, failure: Failure) -> None:
        ends = action in (Action.COMMIT, Action.ROLLBACK)
        if ends or failure.reason not in _LEAVES_TRANSACTION_OPEN:
            self.open_transaction = None

    def _apply_reply(
        self, request: Request, action: Action, reply: Reply, target: Target | None
    ) -> None:
        old = self.log_positions.get(request.database, LOG_START)
        if reply.log_position.position:
            self.log_positions[request.database] = later_position(
                old, reply.log_position
            )
        if action is Action.BEGIN and target is not None:
            self.open_transaction = OpenTransaction(
                transaction=reply.transaction,
                target=target,
                request_id=request.request_id,
            )
        elif action in (Action.COMMIT, Action.ROLLBACK):
            self.open_transaction = None

    def _make_request(
        self,
        statement: Statement,
        action: Action,
        open_transaction: OpenTransaction | None,
    ) -> Request:
        tags = statement.tags
        database = self._find_database()
        kind = self.context.get_bundle().find_kind(tags.kind)
        for name in (tags.request_id, tags.session):
            if name and not _SHORT_NAME.match(name):
                raise _make_bad_request(f"expected a short plain name, got {name!r}")
        request_id = RequestId(tags.request_id)
        if tags.idempotent is False and not request_id:
            request_id = RequestId(uuid.uuid4().hex)
        if open_transaction is not None:
            request_id = open_transaction.request_id
        token = self.log_positions.get(database, LOG_START)
        session_named = self.session_named or bool(tags.session)
        return Request(
            caller=CallerId(self.username or ""),
            database=database,
            session=SessionId(tags.session) or self.session,
            sql=statement.text,
            action=action,
            fingerprint=statement.fingerprint,
            kind=kind.kind,
            request_id=request_id,
            token=token,
            # An unnamed session has this connection only, so the positions seen
            # here cover all its writes. A named session may have written over
            # other connections.
            has_token=self.token_given or (bool(token.position) and not session_named),
            session_named=session_named,
            staleness_ms=tags.staleness_ms or 0,
            deadline_ms=tags.deadline_ms or kind.deadline_ms,
            transaction=open_transaction.transaction
            if open_transaction
            else TransactionId(""),
            idempotent=tags.idempotent is True,
        )

    def _find_database(self) -> DatabaseId:
        if self.database:
            return DatabaseId(self.database)
        contract = self.context.get_bundle().callers.get(CallerId(self.username or ""))
        if contract is not None and len(contract.databases) == 1:
            return contract.databases[0]
        raise MysqlError("no database selected", ErrorCode.NO_DB_ERROR)

    # -- variables --

    def _set_variables(self, text: str) -> None:
        if match := _USER_VARIABLE.match(text):
            self._set_user_variable(match.group(1).lower(), match.group(2))
        elif match := _AUTOCOMMIT.match(text):
            self.autocommit = match.group(1).lower() in ("1", "on")

    def _set_user_variable(self, name: str, value: str) -> None:
        if name == SESSION_VARIABLE:
            if not _SHORT_NAME.match(value):
                raise _make_bad_request(f"expected a short plain name, got {value!r}")
            self.session = SessionId(value)
            self.session_named = True
            return
        try:
            positions = parse_token(value)
        except ValueError as error:
            raise _make_bad_request(str(error)) from None
        for database, log_position in positions.items():
            self.log_positions[database] = later_position(
                self.log_positions.get(database, LOG_START), log_position
            )
        self.token_given = True

    def _select_variables(self, sql: str) -> Result:
        names = re.findall(r"@@(?:session\.|global\.)?(\w+)", sql, re.I)
        row = []
        for name in names:
            try:
                row.append(self.variables.get(name.lower()))
            except MysqlError:
                row.append(None)
        return [tuple(row)], [f"@@{name}" for name in names]
