"""Callers of a host: which are admitted, and their sessions."""

import asyncio

from .. import organisations, shutdown
from ..identifiers import DatabaseId, KeyDigest
from ..organisations import Admission
from ..queries import FailureCode
from ..routes import EMPTY_CONFIGURATION, Configuration
from ..services.clock import read_boot_ms
from ..shutdown import Drain, Work
from .caller_session import CallerSession
from .journal import EventKind
from .metrics import PoolingMetrics
from .ports import CallerLink
from .readiness import Readiness
from .sessions import Context
from .stopping import STOPPING

# Withdrawn keys that one line names.
KEYS_PER_LINE = 20


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
        # Sessions that were opened since the signal.
        self.opened_late = 0
        self.metrics = metrics
        self.sessions: dict[CallerSession, asyncio.Task[None]] = {}
        self.configuration = EMPTY_CONFIGURATION

    async def admit(
        self, database: DatabaseId, key: KeyDigest | None
    ) -> Admission | FailureCode:
        """Return a caller's admission, or why it is refused.

        A host that has just started waits for the store: without a configuration
        it cannot tell whether a database exists.
        """
        journal = self.context.journal
        if not await self.readiness.wait_until_loaded():
            journal.record(EventKind.CALLER_REFUSED, why="no configuration yet")
            return FailureCode.OVERLOADED
        configuration = self.context.configuration()
        admission = organisations.admit(configuration, database, key)
        if isinstance(admission, Admission) and not self._may_begin(
            configuration, database
        ):
            admission = FailureCode.OVERLOADED
        if isinstance(admission, FailureCode):
            self._record_refused(configuration, database, key, admission)
        return admission

    def _may_begin(self, configuration: Configuration, database: DatabaseId) -> bool:
        """Return whether a session that opens now could still run a statement."""
        route = configuration.routes.get(database)
        timeout_ms = route.timeout_ms if route is not None else 0
        now = read_boot_ms()
        return shutdown.may_begin(self.drain, Work.STATEMENT, timeout_ms, now)

    def _record_refused(
        self,
        configuration: Configuration,
        database: DatabaseId,
        key: KeyDigest | None,
        code: FailureCode,
    ) -> None:
        shown: str = database
        if configuration.organisations is not None and code is FailureCode.NO_DATABASE:
            # A caller may have sent its key in place of the database.
            shown = organisations.shorten_digest(organisations.digest_key(database))
        has_key = code is FailureCode.UNAUTHORIZED and key is not None
        why = {
            FailureCode.NO_DATABASE: "no route",
            FailureCode.UNAUTHORIZED: "unknown key" if has_key else "no key",
            FailureCode.OVERLOADED: STOPPING,
        }
        self.metrics.observe_refusal(code)
        self.context.journal.record(
            EventKind.CALLER_REFUSED,
            database=shown,
            why=why.get(code, code.value),
            key=organisations.shorten_digest(key) if has_key and key else None,
            version=configuration.version,
        )

    async def serve(self, admission: Admission, link: CallerLink) -> None:
        """Serve one caller until it disconnects."""
        session = CallerSession(
            database=admission.database,
            organisation=admission.organisation,
            key=admission.key,
            link=link,
            context=self.context,
            drain=self.drain,
            metrics=self.metrics,
        )
        task = asyncio.current_task()
        assert task is not None
        self.sessions[session] = task
        self.opened_late += self.drain.began_at is not None
        try:
            await session.run()
        finally:
            self.sessions.pop(session, None)

    # -- withdrawn keys --

    def apply(self, configuration: Configuration) -> None:
        """End the sessions that a configuration, now in force, identifies no more.

        Idle ones are closed. Open transactions are rolled back; their sessions are
        closed after the next statement, or once they have been idle for too long.
        """
        old, self.configuration = self.configuration, configuration
        before = {s for s in self.sessions if s.session.revoked}
        open_before = {s for s in self.sessions if s.has_open_transaction}
        self.end_refused()
        revoked = {s for s in self.sessions if s.session.revoked} - before
        rolled_back = {s for s in open_before & revoked if not s.has_open_transaction}
        loop = asyncio.get_running_loop()
        for session in revoked:
            in_transaction = session.session.transaction is not None
            wait_ms = configuration.idle_transaction_ms if in_transaction else 0
            # At the earliest in the next turn: what was received before is answered.
            loop.call_later(wait_ms / 1000, self._close_revoked, session)
        self.metrics.observe_revocations(len(revoked), len(rolled_back))
        self._record_withdrawn(old, configuration, len(revoked), len(rolled_back))

    def end_refused(self) -> None:
        """Roll back idle transactions whose statements may not be served any more."""
        for session in self.sessions:
            session.end_refused()

    def _close_revoked(self, session: CallerSession) -> None:
        if session in self.sessions and session.idle:
            session.link.end_when_idle(True)

    def _record_withdrawn(
        self, old: Configuration, new: Configuration, revoked: int, rolled_back: int
    ) -> None:
        withdrawn = organisations.list_withdrawn(old, new)
        if not (withdrawn or revoked):
            return
        named = [
            f"{w.organisation}:{organisations.shorten_digest(w.key)}"
            for w in withdrawn[:KEYS_PER_LINE]
        ]
        self.context.journal.record(
            EventKind.KEYS_WITHDRAWN,
            version=new.version,
            earlier_version=old.version,
            keys=len(withdrawn),
            named=named,
            sessions=revoked,
            rolled_back=rolled_back,
        )

    # -- end --

    def count_at_work(self) -> int:
        """Count the sessions that have received a statement and not answered it."""
        return sum(
            session.at_work is not None or session.link.has_statement
            for session in self.sessions
        )

    def begin_stop(self) -> None:
        """Have all that waits or is at work answered before this host exits."""
        self.readiness.give_up()
        for session in self.sessions:
            session.limit_time()

    def close_idle(self) -> None:
        """Close idle sessions that are to end as the host stops."""
        now = read_boot_ms()
        for session in list(self.sessions):
            if not session.idle:
                continue
            if shutdown.should_abort_transactions(self.drain, now):
                session.abort_transaction(STOPPING)
            session.close_if_idle()

    def close(self) -> None:
        """End every session, those with a statement at work included."""
        for task in self.sessions.values():
            task.cancel()
