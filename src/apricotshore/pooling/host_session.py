"""Execution of another host's statements on this host's connections to a server."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from ..identifiers import DatabaseId, OrganisationId
from ..queries import (
    Answer,
    FailureCode,
    PreparedShape,
    Query,
    QueryKind,
    TransactionState,
)
from ..services.clock import read_boot_ms
from .group import Group
from .pool import ServerPool
from .pooled_connection import NoConnectionError, PooledConnection
from .ports import ConnectionLostError, HostLink, HostStatement
from .preparation import prepare_link, prepare_shape
from .sessions import Session
from .statements_at_work import StatementAtWork, WorkStage

# The other host times out sooner than this and closes its connection.
STATEMENT_TIMEOUT_MS = 10_000
OPEN_CHECK_S = 0.05
# Short, since the other host can wait for a connection elsewhere instead.
CONNECTION_WAIT_MS = 60
PRIORITY = 1
_SESSION_CHANGES = frozenset(
    {QueryKind.SET, QueryKind.PREPARE, QueryKind.DEALLOCATE, QueryKind.RESET}
)


class HostSession:
    """Session of another host, served as the backend server itself would.

    Parameters
    ----------
    group, pool
        The server's group and this host's pool for the server.
    link
        The other host's connection.
    organisation
        Organisation whose statements it forwards, None for others.
    on_answered
        Called after each answer; ends the session if that is due.
    """

    def __init__(
        self,
        *,
        group: Group,
        pool: ServerPool,
        link: HostLink,
        organisation: OrganisationId | None = None,
        on_answered: Callable[["HostSession"], None] = lambda _: None,
    ) -> None:
        self.group = group
        self.pool = pool
        self.link = link
        self.on_answered = on_answered
        self.session = Session(database=DatabaseId(""), organisation=organisation)
        self.pinned: PooledConnection | None = None
        self.at_work: StatementAtWork | None = None
        self.refusing = False

    @property
    def running(self) -> bool:
        """Whether a statement was read that is not answered whole yet."""
        return self.at_work is not None

    async def run(self) -> None:
        """Serve until the other host disconnects or the server is lost."""
        try:
            while (statement := await self.link.receive()) is not None:
                # The other host takes a statement sent after leave() as not run.
                if self.refusing or not self.link.is_open:
                    return
                self.at_work = at_work = StatementAtWork(
                    query=statement.query, arrived_at=read_boot_ms()
                )
                answer = await self._answer(statement)
                at_work.stage = WorkStage.SENDING
                await self.link.send(answer)
                self.at_work = None
                if self.pool.closed or self.pool.relayed:
                    self.leave()
                self.on_answered(self)
        except ConnectionLostError as error:
            # Close the connection, as the server would have done.
            self._unpin(clean=False)
            self.at_work = None
            if not error.sent:
                self.leave()
        finally:
            self._unpin(clean=False)
            self.link.close()

    def leave(self) -> None:
        """Refuse further statements, unless one or a transaction is still running."""
        if not (self.running or self.pinned or self.refusing):
            self.refusing = True
            self.link.leave()

    def abort_transaction(self) -> None:
        """Have the server roll back what is open, unless a statement is running.

        What the other host sends next, a commit included, is refused as not run.
        """
        if not self.running:
            self._unpin(clean=False)
            self.leave()

    def end(self) -> StatementAtWork | None:
        """Close the connection; return the statement that this cuts, if any.

        One that was not sent to the server is refused as not run.
        """
        at_work = self.at_work
        if self.refusing:
            return None
        self.refusing = True
        if at_work is None or at_work.stage is WorkStage.WAITING:
            self.link.leave()
            return None
        self.link.close()
        return at_work if at_work.stage is WorkStage.RUNNING else None

    def _unpin(self, *, clean: bool) -> None:
        pooled, self.pinned = self.pinned, None
        if pooled is not None:
            self.pool.release(pooled, clean=clean)

    async def _answer(self, statement: HostStatement) -> Answer:
        query = statement.query
        if self.pinned is None:
            if query.kind in _SESSION_CHANGES:
                self.session.change(query)
                return Answer()
            if query.kind is QueryKind.COMMIT:
                return Answer(failure=FailureCode.ROLLED_BACK)
            if query.kind is QueryKind.ROLLBACK:
                return Answer()
        shape = None
        if query.kind is QueryKind.EXECUTE:
            shape = self.session.prepared.get(query.name)
            if shape is None:
                return Answer(failure=FailureCode.NOT_PREPARED, state=self._state())
            query = query.rename(shape.name)
        failed = await self._prepare(shape)
        if failed is not None:
            return failed
        return await self._run(query, statement)

    async def _prepare(self, shape: PreparedShape | None) -> Answer | None:
        """Pin a connection in the session's state; return the failure, if any.

        Raises
        ------
        ConnectionLostError
            When the server is lost; the other host's statement was not sent.
        """
        try:
            if self.pinned is not None:
                failed = await self._while_open(
                    prepare_shape(self.pool, self.pinned, shape)
                )
            else:
                expires_at = read_boot_ms() + CONNECTION_WAIT_MS
                values = self.session.values
                self.pinned = await self.pool.acquire(
                    values,
                    PRIORITY,
                    expires_at,
                    organisation=self.session.organisation,
                )
                failed = await self._while_open(
                    prepare_link(
                        self.group,
                        self.pool,
                        self.pinned,
                        self.session,
                        shape,
                        None,
                        None,
                    )
                )
        except NoConnectionError as error:
            return Answer(failure=FailureCode.OVERLOADED, detail=str(error))
        except ConnectionLostError as error:
            raise ConnectionLostError(str(error), sent=False) from None
        # A transaction that is open at the server goes on: the other host may retry.
        if failed is not None and failed.state is not TransactionState.OPEN:
            self._unpin(clean=False)
        return failed

    async def _run(self, query: Query, statement: HostStatement) -> Answer:
        pooled = self.pinned
        assert pooled is not None
        if self.at_work is not None:
            self.at_work.stage = WorkStage.RUNNING
        answers = await self._while_open(
            self.pool.run(pooled, [query], statement.after, STATEMENT_TIMEOUT_MS)
        )
        answer: Answer = answers[0]
        if answer.failure is FailureCode.NOT_PREPARED:
            pooled.prepared.clear()
        if answer.failure is None and query.kind in _SESSION_CHANGES:
            self.session.change(query)
            if query.kind is QueryKind.SET:
                pooled.values[query.name] = query.value
        if answer.state is TransactionState.IDLE:
            self._unpin(clean=True)
        return answer

    def _state(self) -> TransactionState:
        return TransactionState.OPEN if self.pinned else TransactionState.IDLE

    async def _while_open(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Wait for work; cancel it when the other host disconnects."""
        task = asyncio.ensure_future(work)
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=OPEN_CHECK_S)
                if not self.link.is_open:
                    raise ConnectionLostError("the other host disconnected", sent=True)
            return task.result()
        finally:
            task.cancel()
