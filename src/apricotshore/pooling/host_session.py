"""Statements of another host, run on this host's connections to one server."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from ..identifiers import DatabaseId
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
from .pool import NoConnectionError, PooledConnection, ServerPool
from .ports import ConnectionLostError, HostLink, HostStatement
from .preparation import prepare_link, prepare_shape
from .sessions import Session

# The other host gives up sooner and closes its link.
STATEMENT_TIMEOUT_MS = 10_000
OPEN_CHECK_S = 0.05
# The other host's statement may wait elsewhere, too.
CONNECTION_WAIT_MS = 60
PRIORITY = 1
_CHANGES = frozenset(
    {QueryKind.SET, QueryKind.PREPARE, QueryKind.DEALLOCATE, QueryKind.RESET}
)
_ENDS = frozenset({QueryKind.COMMIT, QueryKind.ROLLBACK})


class HostSession:
    """Serves one link of another host, which takes it for the server itself.

    Parameters
    ----------
    group, pool
        The group and this host's connections to the server.
    link
        The other host's link.
    """

    def __init__(self, *, group: Group, pool: ServerPool, link: HostLink) -> None:
        self.group = group
        self.pool = pool
        self.link = link
        self.session = Session(database=DatabaseId(""))
        self.pinned: PooledConnection | None = None
        self.running = False
        self.left = False

    async def run(self) -> None:
        """Serve until the other host leaves or the server is lost."""
        try:
            while (statement := await self.link.receive()) is not None:
                # A statement behind the farewell has been called not run.
                if self.left or not self.link.is_open:
                    return
                self.running = True
                answer = await self._answer(statement)
                await self.link.send(answer)
                self.running = False
                if self.pool.closed:
                    self.leave()
        except ConnectionLostError as error:
            # The other host sees its link end, as if the server's had ended.
            self._unpin(clean=False)
            self.running = False
            if not error.sent:
                self.leave()
        finally:
            self._unpin(clean=False)
            self.link.close()

    def leave(self) -> None:
        """Say that nothing more is run here, unless something still runs."""
        if not (self.running or self.pinned or self.left):
            self.left = True
            self.link.leave()

    def _unpin(self, *, clean: bool) -> None:
        pooled, self.pinned = self.pinned, None
        if pooled is not None:
            self.pool.release(pooled, clean=clean)

    async def _answer(self, statement: HostStatement) -> Answer:
        query = statement.query
        if self.pinned is None:
            if query.kind in _CHANGES:
                return self._change_session(query)
            if query.kind in _ENDS:
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
        """Pin a connection in the session's state; returns why there is none.

        Raises
        ------
        ConnectionLostError
            When the server is lost; nothing of the other host's was sent.
        """
        try:
            if self.pinned is not None:
                failed = await self._while_open(
                    prepare_shape(self.pool, self.pinned, shape)
                )
            else:
                give_up = read_boot_ms() + CONNECTION_WAIT_MS
                values = self.session.values
                self.pinned = await self.pool.acquire(values, PRIORITY, give_up)
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
        if failed is not None:
            self._unpin(clean=False)
        return failed

    async def _run(self, query: Query, statement: HostStatement) -> Answer:
        pooled = self.pinned
        assert pooled is not None
        answers = await self._while_open(
            self.pool.run(pooled, [query], statement.after, STATEMENT_TIMEOUT_MS)
        )
        answer: Answer = answers[0]
        if answer.failure is FailureCode.NOT_PREPARED:
            pooled.prepared.clear()
        if answer.failure is None and query.kind in _CHANGES:
            self._change_session(query)
            if query.kind is QueryKind.SET:
                pooled.values[query.name] = query.value
        if answer.state is TransactionState.IDLE:
            self._unpin(clean=True)
        return answer

    def _state(self) -> TransactionState:
        return TransactionState.OPEN if self.pinned else TransactionState.IDLE

    def _change_session(self, query: Query) -> Answer:
        session = self.session
        if query.kind is QueryKind.SET:
            session.values[query.name] = query.value
        elif query.kind is QueryKind.PREPARE and query.shape is not None:
            session.prepared[query.name] = query.shape
        elif query.kind is QueryKind.DEALLOCATE:
            session.prepared.pop(query.name, None)
        elif query.kind is QueryKind.RESET:
            session.values.clear()
            session.prepared.clear()
        return Answer(state=self._state())

    async def _while_open(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Wait for work as long as the other host is there."""
        task = asyncio.ensure_future(work)
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=OPEN_CHECK_S)
                if not self.link.is_open:
                    raise ConnectionLostError("the other host left", sent=True)
            return task.result()
        finally:
            task.cancel()
