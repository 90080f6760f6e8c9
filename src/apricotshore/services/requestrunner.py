"""Running of an owner's requests on backend servers."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from ..decisions import failover, retry, routing, sessions
from ..decisions.backlog import Assignment, Ticket
from ..decisions.failover_state import Failover
from ..decisions.retry import WriteStage
from ..decisions.routing import GroupView
from ..decisions.sessions import SessionKey, SessionPositions
from ..groups import ServerStatus
from ..identifiers import CallerId, HostId, ServerId
from ..requests import Action, Outcome, Reply, Request
from ..verdicts import Failure, Reason, Verdict
from . import executor
from .backends import BackendPool, LostConnectionError, StatementError
from .clock import read_monotonic_ms, read_wall_ms
from .executor import Progress, RequestFailedError
from .transactions import TransactionTable

FENCED_RETRY_MS = 100


@dataclass(kw_only=True)
class PendingRequest:
    """A request that is queued or running.

    Parameters
    ----------
    request
        The request.
    origin
        Entry host that sent it.
    deadline_at
        Monotonic milliseconds of its deadline.
    answer
        Completed with the outcome.
    job
        Task that runs the request; None while it is queued.
    """

    request: Request
    origin: HostId
    deadline_at: int
    answer: asyncio.Future[Outcome]
    job: asyncio.Task[None] | None = None


@dataclass(frozen=True, kw_only=True)
class RunnerHooks:
    """Callbacks of a runner into the queue of its owner.

    Parameters
    ----------
    free_slot
        Frees the slot of a request, by its number; may be called more than once.
    requeue
        Queues a request again; returns whether it did.
    complete
        Completes a request, by its number, with its outcome.
    """

    free_slot: Callable[[int], None]
    requeue: Callable[[Ticket, Request], bool]
    complete: Callable[[int, Outcome], None]


def make_refusal(reason: Reason, detail: str, retry_ms: int = 0) -> Outcome:
    """Return the outcome of a request that has not run."""
    return Outcome(
        failure=Failure(
            verdict=Verdict.NOT_RUN,
            reason=reason,
            detail=detail,
            retry_after_ms=retry_ms,
        )
    )


class RequestRunner:
    """Runs requests of one database and records what they show.

    Parameters
    ----------
    view
        State of the group.
    pools
        Connections to each server.
    sessions
        Log positions of callers' sessions.
    transactions
        Open transactions.
    failover
        State of the failover, which learns of commits without an answer.
    hooks
        Callbacks into the owner's queue.
    """

    def __init__(
        self,
        *,
        view: GroupView,
        pools: dict[ServerId, BackendPool],
        sessions: SessionPositions,
        transactions: TransactionTable,
        failover: Failover,
        hooks: RunnerHooks,
    ) -> None:
        self.view = view
        self.pools = pools
        self.sessions = sessions
        self.transactions = transactions
        self.failover = failover
        self.hooks = hooks
        self.retries = retry.RetryBudget()
        self.admitted_at: OrderedDict[CallerId, int] = OrderedDict()
        self.reads_served: dict[ServerId, int] = {}

    async def serve(self, assignment: Assignment, pending: PendingRequest) -> None:
        """Run a request at the server it was assigned to, and complete it."""
        number = assignment.ticket.number
        request = pending.request

        def free_slot() -> None:
            self.hooks.free_slot(number)

        def note_status(status: ServerStatus) -> None:
            # Reads refresh the status of busy replicas between two probes.
            routing.observe_status(self.view, status, started_at)

        started_at = read_monotonic_ms()
        progress = Progress(on_executed=free_slot, on_status=note_status)
        try:
            reply = await self._run(assignment, pending, progress)
            outcome = Outcome(reply=reply)
            self._record_success(request, reply)
        except RequestFailedError as error:
            outcome = Outcome(failure=error.failure)
        except LostConnectionError as error:
            free_slot()
            routing.observe_silence(self.view, assignment.server)
            if self._requeue(assignment.ticket, request, progress):
                return
            outcome = self._make_lost_outcome(progress, error)
        except StatementError as error:
            outcome = self._make_rejected_outcome(error)
        except asyncio.CancelledError:
            outcome = self._make_lost_outcome(
                progress, LostConnectionError("the caller was withdrawn")
            )
        self._record_commit(progress, started_at)
        self.hooks.complete(number, outcome)
        free_slot()

    def _record_commit(self, progress: Progress, sent_at: int) -> None:
        if progress.stage >= WriteStage.COMMIT_SENT:
            durable = progress.stage is WriteStage.DURABLE
            failover.record_commit(self.failover, durable, sent_at, read_monotonic_ms())

    def _requeue(self, ticket: Ticket, request: Request, progress: Progress) -> bool:
        """Queue a request again after its connection was lost.

        Returns
        -------
        bool
            False when the request must not be repeated.
        """
        repeatable = request.action is Action.READ or retry.may_resend_write(
            progress.stage
        )
        if request.transaction or not repeatable:
            return False
        return self.hooks.requeue(ticket, request)

    def _record_success(self, request: Request, reply: Reply) -> None:
        key = SessionKey(caller=request.caller, session=request.session)
        sessions.record_position(self.sessions, key, reply.log_position)
        self.admitted_at[request.caller] = read_wall_ms()
        if request.action is Action.READ:
            self.reads_served[reply.server] = self.reads_served.get(reply.server, 0) + 1

    def _make_rejected_outcome(self, error: StatementError) -> Outcome:
        if error.code in executor.FENCED_CODES:
            return make_refusal(Reason.NO_PRIMARY, error.text, FENCED_RETRY_MS)
        failure = Failure(
            verdict=Verdict.NOT_RUN,
            reason=Reason.DATABASE_ERROR,
            detail=error.text,
            error_code=error.code,
        )
        return Outcome(failure=failure)

    def _make_lost_outcome(
        self, progress: Progress, error: LostConnectionError
    ) -> Outcome:
        return Outcome(failure=executor.make_lost_failure(progress, error))

    async def _run(
        self, assignment: Assignment, pending: PendingRequest, progress: Progress
    ) -> Reply:
        request = pending.request
        if request.transaction:
            return await self.transactions.run(request, pending.deadline_at, progress)
        server = assignment.server
        pool = self.pools[server]
        connection = await pool.acquire(self.view.term)
        if request.action is Action.BEGIN:
            return await self.transactions.begin(
                request, pending.origin, server, pool, connection
            )
        remaining_s = max(pending.deadline_at - read_monotonic_ms(), 1) / 1000
        try:
            if request.action is Action.READ:
                run = executor.run_replica_read
                if server == self.view.primary:
                    run = executor.run_primary_read
                return await run(connection, request, server, remaining_s, progress)
            if request.action is Action.RESOLVE:
                return await executor.resolve(
                    connection, request, server, progress, read_wall_ms()
                )
            return await executor.run_write(
                connection, request, server, remaining_s, progress, read_wall_ms()
            )
        finally:
            pool.release(connection)
