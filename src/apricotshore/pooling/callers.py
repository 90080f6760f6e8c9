"""Callers of a host: which are admitted, and their sessions."""

import asyncio

from ..decisions import shutdown
from ..decisions.shutdown import Drain
from ..identifiers import DatabaseId
from ..queries import FailureCode
from ..services.clock import read_boot_ms
from .caller_session import CallerSession
from .journal import EventKind
from .metrics import PoolingMetrics
from .ports import CallerLink
from .readiness import Readiness
from .sessions import Context


class Callers:
    """Callers of a host.

    Parameters
    ----------
    context
        Services of the host.
    readiness
        Readiness of the host.
    drain
        State of the host's shutdown.
    metrics
        Metrics of the host.
    """

    def __init__(
        self,
        *,
        context: Context,
        readiness: Readiness,
        drain: Drain,
        metrics: PoolingMetrics,
    ) -> None:
        self.context = context
        self.readiness = readiness
        self.drain = drain
        self.metrics = metrics
        self.sessions: dict[CallerSession, asyncio.Task[None]] = {}

    async def admit(self, database: DatabaseId) -> FailureCode | None:
        """Return why a database is not served, None if it is.

        A host that has just started waits for the store: without a configuration
        it cannot tell whether a database exists.
        """
        journal = self.context.journal
        if not await self.readiness.wait_until_loaded():
            journal.record(EventKind.CALLER_REFUSED, why="no configuration yet")
            return FailureCode.OVERLOADED
        configuration = self.context.configuration()
        if database in configuration.routes:
            return None
        journal.record(
            EventKind.CALLER_REFUSED,
            database=database,
            why="no route",
            version=configuration.version,
        )
        return FailureCode.NO_DATABASE

    async def serve(self, database: DatabaseId, link: CallerLink) -> None:
        """Serve one caller until it disconnects."""
        session = CallerSession(
            database=database,
            link=link,
            context=self.context,
            drain=self.drain,
            metrics=self.metrics,
        )
        task = asyncio.current_task()
        assert task is not None
        self.sessions[session] = task
        try:
            await session.run()
        finally:
            self.sessions.pop(session, None)

    def close_idle(self) -> None:
        """Close idle sessions that are to end as the host stops."""
        now = read_boot_ms()
        for session, task in list(self.sessions.items()):
            if not session.idle:
                continue
            if shutdown.should_abort_transactions(self.drain, now):
                session.abort_transaction("the host stops")
            if session.should_close():
                task.cancel()

    def close(self) -> None:
        """End every session."""
        for task in self.sessions.values():
            task.cancel()
