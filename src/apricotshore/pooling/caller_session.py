"""One caller's session, from its first statement to its end."""

import asyncio
from dataclasses import replace

from .. import shutdown
from ..identifiers import DatabaseId, KeyDigest, OrganisationId
from ..queries import (
    Access,
    Answer,
    FailureCode,
    Query,
    QueryKind,
    TransactionState,
)
from ..routes import Route
from ..services.clock import read_boot_ms
from . import autocommit, key_checks, stopping, transactions
from .journal import EventKind
from .metrics import PoolingMetrics
from .ports import CallerLink
from .sessions import Context, Job, RefusedError, Session, Transaction, later_position
from .statements_at_work import StatementAtWork, WorkStage

_READ_ONLY_BY_BEGIN = {QueryKind.BEGIN: False, QueryKind.BEGIN_READ: True}
_CHANGES_SESSION = frozenset({QueryKind.SET, QueryKind.PREPARE, QueryKind.DEALLOCATE})
_RUN_AT_SERVER = frozenset({QueryKind.READ, QueryKind.WRITE, QueryKind.EXECUTE})

# Statements sent ahead that a session answers before it closes as its key is revoked.
# More would hold up the other sessions.
# A line that was received already is read within a few turns of the event loop.
RECEIVED_WAIT_S = 0.01
LAST_REFUSALS = 20


class CallerSession:
    """Session of one caller, whose statements are served in order.

    Parameters
    ----------
    database
        Database that the caller named.
    link
        The caller's connection.
    context
        Services of the host.
    drain
        State of the host's shutdown.
    metrics
        Metrics of the host.
    organisation, key
        The caller's organisation and the digest of its key; None where it needs no key.
    """

    def __init__(
        self,
        *,
        database: DatabaseId,
        link: CallerLink,
        context: Context,
        drain: shutdown.Drain,
        metrics: PoolingMetrics,
        organisation: OrganisationId | None = None,
        key: KeyDigest | None = None,
    ) -> None:
        self.session = Session(database=database, organisation=organisation, key=key)
        self.link = link
        self.context = context
        self.drain = drain
        self.metrics = metrics
        self.opened_at = read_boot_ms()
        self.operations = 0
        self.ended_operation = False
        self.quiet_since = self.opened_at
        self.idle = True
        self.at_work: StatementAtWork | None = None
        self.timer: asyncio.Timeout | None = None

    async def run(self) -> None:
        """Serve the caller until it disconnects or the host stops."""
        try:
            while True:
                self.idle = True
                self.end_refused()
                closes = self.should_close()
                if closes and self.session.revoked:
                    await self._refuse_received()
                    return
                self.link.end_when_idle(closes)
                query = await self._receive()
                if query is None:
                    return
                self.idle = False
                await self._handle(query)
        except asyncio.CancelledError:
            self._record_cut()
            raise
        finally:
            self._end_transaction()
            self.link.close()

    @property
    def state(self) -> TransactionState:
        """Transaction state reported to the caller."""
        transaction = self.session.transaction
        if transaction is None:
            return TransactionState.IDLE
        return TransactionState.FAILED if transaction.failed else TransactionState.OPEN

    @property
    def has_open_transaction(self) -> bool:
        """Whether a transaction is open that has not failed."""
        transaction = self.session.transaction
        return transaction is not None and not transaction.failed

    def close_if_idle(self) -> None:
        """End the session between two statements if it is to be closed."""
        if self.idle and self.should_close():
            self.link.end_when_idle(True)

    def should_close(self) -> bool:
        """Return whether to close the session now, between two statements."""
        if self.session.revoked and self.session.transaction is None:
            return True
        idle_session = shutdown.IdleSession(
            in_transaction=self.session.transaction is not None,
            opened_at=self.opened_at,
            operations=self.operations,
            ended_operation=self.ended_operation,
            quiet_since=self.quiet_since,
        )
        return shutdown.should_close(self.drain, idle_session, read_boot_ms())

    async def _receive(self) -> Query | None:
        """Wait for a statement; roll back a transaction that idles too long."""
        if not (self.has_open_transaction or self.session.revoked):
            return await self.link.receive()
        limit = self.context.configuration().idle_transaction_ms
        try:
            async with asyncio.timeout(limit / 1000):
                return await self.link.receive()
        except TimeoutError:
            if self.link.has_statement:
                return await self.link.receive()
            if self.session.revoked:
                self.link.end_when_idle(True)
                return await self.link.receive()
            self.abort_transaction("idle for too long")
            return await self.link.receive()

    # -- the caller's key --

    def _check(self) -> None:
        """Raise `RefusedError` unless the caller may be served now.

        Called right before a statement is forwarded, as it may have waited for that.
        """
        refusal = key_checks.find_refusal(self.context, self.session)
        if refusal is not None:
            raise refusal
        key_checks.end_admission(self.context, self.session)
        if self.at_work is not None:
            self.at_work.stage = WorkStage.RUNNING

    def _decline(self) -> None:
        """Take note that the statement at work waits again, as no server ran it."""
        if self.at_work is not None:
            self.at_work.stage = WorkStage.WAITING

    def end_refused(self) -> None:
        """Roll back what is open between two statements if it may not go on."""
        is_revoked = key_checks.observe_revocation(self.context, self.session)
        if not (self.idle and (is_revoked or self.has_open_transaction)):
            return
        refusal = key_checks.find_refusal(self.context, self.session)
        if refusal is not None:
            self.abort_transaction(refusal.detail)

    async def _refuse_received(self) -> None:
        """Answer what was received already, before the session closes."""
        self.idle = False
        for _ in range(LAST_REFUSALS):
            query = await self._receive_rest()
            if query is None:
                return
            await self._handle(query)

    async def _receive_rest(self) -> Query | None:
        """Return the next statement that was received already, None without one."""
        try:
            async with asyncio.timeout(RECEIVED_WAIT_S):
                return await self.link.receive()
        except TimeoutError:
            # A large statement waits for room.
            return await self.link.receive() if self.link.has_statement else None

    # -- transactions --

    def abort_transaction(self, why: str) -> None:
        """Roll the open transaction back; the next statement's answer says so."""
        transaction = self.session.transaction
        if transaction is None or transaction.failed:
            return
        transaction.failed = True
        transaction.abort_reason = why
        self.link.end_transaction()
        self.context.spawn(transactions.roll_back(transaction))
        self.context.journal.record(
            EventKind.TRANSACTION_ENDED, database=self.session.database, why=why
        )

    def _end_transaction(self) -> None:
        transaction = self.session.transaction
        self.session.transaction = None
        if transaction is not None:
            self.context.spawn(transactions.roll_back(transaction))

    async def _handle(self, query: Query) -> None:
        arrived = read_boot_ms()
        self.at_work = at_work = StatementAtWork(query=query, arrived_at=arrived)
        try:
            answer = await self._answer_in_time(query, arrived)
        except RefusedError as error:
            # A hint to retry would mislead a caller whose key was revoked meanwhile.
            is_busy = error.code is FailureCode.OVERLOADED
            revoked = key_checks.find_refusal(self.context, self.session)
            answer = self._refuse((is_busy and revoked) or error, query)
        # The state in a server's answer may be that of a transaction of the proxy.
        answer = replace(answer, state=self.state)
        self._record(query, answer, read_boot_ms() - arrived)
        at_work.stage = WorkStage.SENDING
        await self.link.send(query, answer)
        self.at_work = None
        self.quiet_since = read_boot_ms()
        changes_session = query.kind in _CHANGES_SESSION
        self.ended_operation = self.session.transaction is None and not changes_session
        self.operations += self.ended_operation

    async def _answer_in_time(self, query: Query, arrived: int) -> Answer:
        """Answer a statement before the host exits.

        Raises
        ------
        RefusedError
            When it is refused, or the host's time is up.
        """
        self.timer = timer = asyncio.timeout(None)
        try:
            async with timer:
                self.limit_time()
                return await self._answer(query, arrived)
        except TimeoutError:
            if not timer.expired():
                raise
        finally:
            self.timer = None
        assert self.at_work is not None
        raise stopping.end_expired(self.session, self.at_work)

    def limit_time(self) -> None:
        """Have the statement at work answered before the host exits."""
        last_answer = shutdown.find_last_answer(self.drain)
        if self.timer is not None and last_answer is not None:
            left_s = max(0, last_answer - read_boot_ms()) / 1_000
            self.timer.reschedule(asyncio.get_running_loop().time() + left_s)

    def _record(self, query: Query, answer: Answer, took_ms: int) -> None:
        at_server = query.kind in _RUN_AT_SERVER or query.kind is QueryKind.COMMIT
        if answer.failure is None and not at_server:
            return
        self.metrics.observe(query, answer, took_ms)
        failed = answer.failure is not None
        self.context.journal.record(
            EventKind.REQUEST_FAILED if failed else EventKind.REQUEST_SERVED,
            request=query.request,
            database=self.session.database,
            organisation=self.session.organisation,
            kind=query.kind.value,
            took_ms=took_ms,
            code=answer.failure.value if answer.failure else None,
            detail=answer.detail or None,
        )

    def _record_cut(self) -> None:
        """Report what the end of the session leaves without a whole answer."""
        at_work = self.at_work
        if not self.link.is_open or not (at_work or self.link.has_statement):
            return
        now, began = read_boot_ms(), self.drain.began_at
        stage = at_work.stage if at_work is not None else WorkStage.RECEIVED
        self.metrics.observe_cut(stage)
        self.context.journal.record(
            EventKind.REQUEST_CUT,
            request=at_work.query.request if at_work is not None else None,
            database=self.session.database,
            kind=at_work.query.kind.value if at_work is not None else None,
            stage=stage.value,
            took_ms=now - at_work.arrived_at if at_work is not None else None,
            stopping_ms=now - began if began is not None else None,
        )

    def _refuse(self, error: RefusedError, query: Query) -> Answer:
        transaction = self.session.transaction
        if self.session.revoked or query.kind is QueryKind.COMMIT:
            self._end_transaction()
        elif transaction is not None:
            transaction.failed = True
            self.context.spawn(transactions.roll_back(transaction))
        return Answer(failure=error.code, detail=error.detail, state=self.state)

    # -- statements --

    async def _answer(self, query: Query, arrived: int) -> Answer:
        session = self.session
        transaction = session.transaction
        refusal = key_checks.find_refusal(self.context, session)
        if refusal is not None and session.revoked:
            raise refusal
        if query.kind is QueryKind.ROLLBACK:
            self._end_transaction()
            return Answer()
        if query.kind is QueryKind.INVALID:
            raise RefusedError(FailureCode.MALFORMED, self._describe_invalid(query))
        if transaction is not None and transaction.failed:
            return self._answer_failed(transaction, query)
        if refusal is not None:
            raise refusal
        route = transaction.route if transaction is not None else self._find_route()
        stopping.check_begin(self.drain, session, query, route)
        if query.kind in _READ_ONLY_BY_BEGIN:
            return self._begin(query, route, arrived)
        if query.kind is QueryKind.COMMIT:
            return await self._commit(query, route, arrived)
        if query.kind in _RUN_AT_SERVER:
            return await self._run(query, route, arrived)
        return await self._change_session(query)

    def _describe_invalid(self, query: Query) -> str:
        """Return what the error and its log line say; the text may hold a key."""
        has_keys = self.context.configuration().organisations is not None
        return "unknown statement" if has_keys else query.text[:80]

    def _find_route(self) -> Route:
        route = self.context.configuration().routes.get(self.session.database)
        if route is None:
            raise RefusedError(FailureCode.NO_DATABASE, self.session.database)
        return route

    def _answer_failed(self, transaction: Transaction, query: Query) -> Answer:
        if query.kind is QueryKind.COMMIT:
            self._end_transaction()
            return Answer(
                failure=FailureCode.ROLLED_BACK,
                detail=transaction.abort_reason or "the transaction failed",
            )
        if transaction.abort_reason:
            why, transaction.abort_reason = transaction.abort_reason, ""
            return Answer(
                failure=FailureCode.ROLLED_BACK,
                detail=why,
                state=TransactionState.FAILED,
            )
        return Answer(
            failure=FailureCode.MALFORMED,
            detail="the transaction failed",
            state=TransactionState.FAILED,
        )

    def _begin(self, query: Query, route: Route, arrived: int) -> Answer:
        if self.session.transaction is not None:
            raise RefusedError(FailureCode.MALFORMED, "a transaction is open")
        self.session.transaction = Transaction(
            route=route, read_only=_READ_ONLY_BY_BEGIN[query.kind], began_at=arrived
        )
        return Answer(state=TransactionState.OPEN)

    async def _commit(self, query: Query, route: Route, arrived: int) -> Answer:
        session = self.session
        transaction = session.transaction
        if transaction is None:
            raise RefusedError(FailureCode.MALFORMED, "no transaction is open")
        await key_checks.admit_operation(self.context, session)
        job = Job(
            query=query,
            shape=None,
            route=route,
            arrived_at=arrived,
            check=self._check,
            decline=self._decline,
        )
        try:
            answer = await transactions.run_in_transaction(self.context, session, job)
        except RefusedError as error:
            self._end_transaction()
            return Answer(failure=error.code, detail=error.detail)
        if answer.failure is None:
            if transaction.wrote:
                session.log_position = later_position(
                    session.log_position, answer.log_position
                )
            transactions.release_ended(transaction, answer)
            session.transaction = None
            return answer
        self._end_transaction()
        return Answer(failure=answer.failure, detail=answer.detail)

    async def _run(self, query: Query, route: Route, arrived: int) -> Answer:
        session = self.session
        shape = None
        forwarded = query
        if query.kind is QueryKind.EXECUTE:
            shape = session.prepared.get(query.name)
            if shape is None:
                raise RefusedError(FailureCode.NOT_PREPARED, query.name[:80])
            forwarded = query.rename(shape.name)
        writes = query.kind is QueryKind.WRITE or (
            shape is not None and shape.access is Access.WRITE
        )
        job = Job(
            query=forwarded,
            shape=shape,
            route=route,
            writes=writes,
            arrived_at=arrived,
            check=self._check,
            decline=self._decline,
        )
        transaction = session.transaction
        if transaction is not None and writes and transaction.read_only:
            raise RefusedError(FailureCode.NOT_PRIMARY, "the transaction only reads")
        await key_checks.admit_operation(self.context, session)
        if transaction is None:
            return await autocommit.run_autocommit(self.context, session, job)
        return await transactions.run_in_transaction(self.context, session, job)

    async def _change_session(self, query: Query) -> Answer:
        if query.kind is QueryKind.RESET:
            raise RefusedError(FailureCode.MALFORMED, "not for callers")
        if not self.link.hold_state(self.session.measure(query)):
            detail = "the session's values and prepared names are over the limit"
            raise RefusedError(FailureCode.TOO_LARGE, detail)
        if query.kind is QueryKind.SET:
            await transactions.set_value(self.session.transaction, query)
        self.session.change(query)
        return Answer(state=self.state)
