"""Execution of reads, writes and commits on a backend server."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ..decisions.retry import WriteStage, find_write_verdict
from ..groups import LogPosition, Role, ServerStatus
from ..identifiers import ServerId
from ..requests import Reply, Request
from ..verdicts import Failure, Reason, Verdict
from .backends import (
    CONTROL_TIMEOUT_S,
    BackendConnection,
    LostConnectionError,
    StatementError,
    StatementResult,
    read_status,
    wait_commit,
)

# Error codes of MySQL.
DUPLICATE_KEY = 1062
READ_ONLY = 1290
FENCED = 3100
FENCED_CODES = frozenset({READ_ONLY, FENCED})
COMMIT_WAIT_MS = 2_000

SCHEMA = (
    "CREATE TABLE IF NOT EXISTS apricotshore_claim ("
    "one INTEGER PRIMARY KEY, epoch BIGINT, host VARCHAR(64), "
    "address VARCHAR(64), bundle BIGINT)",
    "CREATE TABLE IF NOT EXISTS apricotshore_request ("
    "caller VARCHAR(64), request_id VARCHAR(64), outcome VARCHAR(16), "
    "affected BIGINT, insert_id BIGINT, recorded_ms BIGINT, "
    "PRIMARY KEY (caller, request_id))",
)

RAN = "ran"
_CANCELLED = "cancelled"


class RequestFailedError(Exception):
    """A request failed with a known verdict.

    Parameters
    ----------
    failure
        The failure that is reported to the caller.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.describe())
        self.failure = failure


@dataclass(kw_only=True, slots=True)
class Progress:
    """Progress of a request; determines the verdict when its task fails.

    Parameters
    ----------
    stage
        Last stage reached.
    on_executed
        Called when the request no longer needs its slot at the server.
    on_status
        Called with a status that was read after a statement.
    """

    stage: WriteStage = WriteStage.QUEUED
    on_executed: Callable[[], None] = field(default=lambda: None)
    on_status: Callable[[ServerStatus], None] = field(default=lambda status: None)


def make_error(
    verdict: Verdict, reason: Reason, detail: str, code: int = 0
) -> Exception:
    """Return the error for a failure."""
    failure = Failure(verdict=verdict, reason=reason, detail=detail, error_code=code)
    return RequestFailedError(failure)


def _make_reply(
    result: StatementResult, log_position: LogPosition, server: ServerId
) -> Reply:
    return Reply(
        columns=result.columns,
        rows=result.rows,
        affected_rows=result.affected_rows,
        last_insert_id=result.last_insert_id,
        log_position=log_position,
        server=server,
    )


async def run_replica_read(
    connection: BackendConnection,
    request: Request,
    server: ServerId,
    timeout_s: float,
    progress: Progress,
) -> Reply:
    """Read at a replica; the reply's log position bounds what the read saw.

    The status is read after the statement, so that it shows whether the server
    was eligible for the read, whatever was known when the read was assigned.
    """
    result = await connection.run(request.sql, timeout_s)
    progress.on_executed()
    status = await read_status(connection)
    progress.on_status(status)
    if status.role is not Role.REPLICA or not status.covers(request.token):
        raise LostConnectionError("the server is not a replica that covers the read")
    if status.behind_ms > request.staleness_ms:
        raise LostConnectionError("the replica has fallen too far behind")
    term = status.term_history.find_term(status.applied)
    return _make_reply(result, LogPosition(term=term, position=status.applied), server)


async def run_primary_read(
    connection: BackendConnection,
    request: Request,
    server: ServerId,
    timeout_s: float,
    progress: Progress,
) -> Reply:
    """Read at the primary; return the rows only if it is confirmed as primary.

    A majority must confirm it after the read, so that a replaced primary never
    serves the diverged end of its log.
    """
    result = await connection.run(request.sql, timeout_s)
    progress.on_executed()
    state = await wait_commit(connection, COMMIT_WAIT_MS, confirm=True)
    if not state.durable:
        raise LostConnectionError("the server is not known to lead any more")
    return _make_reply(result, state.log_position, server)


async def run_write(
    connection: BackendConnection,
    request: Request,
    server: ServerId,
    timeout_s: float,
    progress: Progress,
    now_ms: int,
) -> Reply:
    """Run one write in a transaction of its own, at most once.

    Parameters
    ----------
    connection
        Connection to the primary without an open transaction.
    request
        The write; if it has a request id, its outcome is recorded in the same
        transaction.
    server, timeout_s
        The primary, and the timeout of the statement.
    progress
        Updated at each stage of the write.
    now_ms
        Wall-clock milliseconds to store in the record.

    Raises
    ------
    RequestFailedError
        When the write failed with a known verdict.
    LostConnectionError
        When the connection failed; `Progress.stage` is the last stage reached.
    """
    progress.stage = WriteStage.CONNECTED
    await connection.run("BEGIN", CONTROL_TIMEOUT_S)
    if request.request_id:
        recorded = await record_request(connection, request, RAN, now_ms)
        if not recorded:
            # The id is already recorded, so the first request may have run.
            progress.stage = WriteStage.COMMITTED
            await connection.run("ROLLBACK", CONTROL_TIMEOUT_S)
            progress.on_executed()
            return await read_outcome(connection, request, server)
    progress.stage = WriteStage.RECORDED
    result = await run_in_transaction(connection, request, timeout_s)
    if request.request_id:
        await _update_record(connection, request, result)
    progress.stage = WriteStage.EXECUTED
    log_position = await commit(connection, progress)
    return _make_reply(result, log_position, server)


async def run_in_transaction(
    connection: BackendConnection, request: Request, timeout_s: float
) -> StatementResult:
    """Run the caller's statement; roll back if the server returns an error."""
    try:
        return await connection.run(request.sql, timeout_s)
    except StatementError as error:
        await connection.run("ROLLBACK", CONTROL_TIMEOUT_S)
        if error.code in FENCED_CODES:
            raise make_error(Verdict.NOT_RUN, Reason.NO_PRIMARY, error.text) from None
        raise make_error(
            Verdict.NOT_RUN, Reason.DATABASE_ERROR, error.text, error.code
        ) from None


async def commit(connection: BackendConnection, progress: Progress) -> LogPosition:
    """Commit and wait until the commit is durable.

    Raises
    ------
    RequestFailedError
        When the commit was rejected or is not known to be durable.
    """
    progress.stage = WriteStage.COMMIT_SENT
    try:
        await connection.run("COMMIT", CONTROL_TIMEOUT_S)
    except StatementError as error:
        # The server rejected the commit, so it rolled the transaction back.
        raise make_error(Verdict.NOT_RUN, Reason.NO_PRIMARY, error.text) from None
    progress.stage = WriteStage.COMMITTED
    progress.on_executed()
    state = await wait_commit(connection, COMMIT_WAIT_MS, confirm=False)
    if not state.durable or (
        connection.term and state.log_position.term != connection.term
    ):
        raise make_error(
            Verdict.MAY_HAVE_RUN,
            Reason.NOT_DURABLE,
            "committed, but not known to be held by a majority",
        )
    progress.stage = WriteStage.DURABLE
    return state.log_position


async def record_request(
    connection: BackendConnection, request: Request, outcome: str, now_ms: int
) -> bool:
    """Record a request id in the open transaction.

    Returns
    -------
    bool
        False when the id is already recorded.
    """
    sql = (
        "INSERT INTO apricotshore_request "
        "(caller, request_id, outcome, affected, insert_id, recorded_ms) "
        f"VALUES ('{request.caller}', '{request.request_id}', '{outcome}', "
        f"0, 0, {now_ms})"
    )
    try:
        await connection.run(sql, CONTROL_TIMEOUT_S)
    except StatementError as error:
        if error.code == DUPLICATE_KEY:
            return False
        await connection.run("ROLLBACK", CONTROL_TIMEOUT_S)
        raise make_error(Verdict.NOT_RUN, Reason.NO_PRIMARY, error.text) from None
    return True


async def _update_record(
    connection: BackendConnection, request: Request, result: StatementResult
) -> None:
    sql = (
        f"UPDATE apricotshore_request SET affected = {result.affected_rows}, "
        f"insert_id = {result.last_insert_id} WHERE caller = '{request.caller}' "
        f"AND request_id = '{request.request_id}'"
    )
    await connection.run(sql, CONTROL_TIMEOUT_S)


async def read_outcome(
    connection: BackendConnection, request: Request, server: ServerId
) -> Reply:
    """Return the recorded outcome of a request id once it is durable."""
    result = await connection.run(
        "SELECT outcome, affected, insert_id FROM apricotshore_request "
        f"WHERE caller = '{request.caller}' AND request_id = '{request.request_id}'",
        CONTROL_TIMEOUT_S,
    )
    state = await wait_commit(connection, COMMIT_WAIT_MS, confirm=True)
    if not state.durable or not result.rows:
        raise make_error(
            Verdict.MAY_HAVE_RUN, Reason.DUPLICATE, "the first outcome is not known"
        )
    outcome, affected, insert_id = result.rows[0]
    if outcome == _CANCELLED:
        raise make_error(
            Verdict.NOT_RUN, Reason.CANCELLED, "the request id was cancelled"
        )
    return Reply(
        affected_rows=int(str(affected)),
        last_insert_id=int(str(insert_id)),
        log_position=state.log_position,
        server=server,
        duplicate=True,
    )


async def resolve(
    connection: BackendConnection,
    request: Request,
    server: ServerId,
    progress: Progress,
    now_ms: int,
) -> Reply:
    """Determine the outcome of a request whose outcome is unknown.

    The id is recorded as cancelled unless it is already recorded. From then on
    the first attempt can no longer commit, so the verdict ``not-run`` is safe.

    Raises
    ------
    RequestFailedError
        With verdict ``not-run`` when the request was cancelled.
    """
    await connection.run("BEGIN", CONTROL_TIMEOUT_S)
    if not await record_request(connection, request, _CANCELLED, now_ms):
        progress.stage = WriteStage.COMMITTED
        await connection.run("ROLLBACK", CONTROL_TIMEOUT_S)
        progress.on_executed()
        return await read_outcome(connection, request, server)
    await commit(connection, progress)
    raise make_error(
        Verdict.NOT_RUN, Reason.CANCELLED, "the request was lost and cancelled"
    )


def make_lost_failure(progress: Progress, error: LostConnectionError) -> Failure:
    """Return the failure of a request whose connection was lost."""
    verdict = find_write_verdict(progress.stage)
    return Failure(verdict=verdict, reason=Reason.LOST_CONNECTION, detail=str(error))
