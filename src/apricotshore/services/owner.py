"""The owner of one database: queue, slots, connections and sessions' marks."""

import asyncio
import itertools
import uuid
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from mode import Service
from result import Err

from ..bundles import Bundle
from ..decisions import admission, retry, routing
from ..decisions.admission import (
    Assignment,
    Backlog,
    FlowId,
    Policy,
    Rejection,
    Ticket,
)
from ..decisions.rollout import may_serve
from ..decisions.routing import GroupView, ReadNeed
from ..events import Topic
from ..groups import ORIGIN, Claim, Mark, ServerStatus
from ..identifiers import (
    BundleVersion,
    CallerId,
    DatabaseId,
    HostId,
    ServerId,
    SessionId,
    Term,
    TransactionId,
)
from ..requests import Action, Outcome, Redirect, Reply, Request
from ..verdicts import Failure, Reason, Verdict
from . import executor
from .backends import (
    BackendConnection,
    BackendPool,
    Endpoint,
    LostConnectionError,
    StatementRefusedError,
    kill_strangers,
    open_connection,
    read_claim,
)
from .claims import ClaimResult, raise_bundle, release_claim, take_over
from .clock import read_monotonic_ms, read_wall_ms
from .executor import Progress, RequestFailedError
from .groupwatch import GroupWatch, WatchHooks

SESSIONS_KEPT = 10_000
TRANSACTION_IDLE_MS = 10_000
PUMP_PERIOD_S = 0.02
IDLE_PUMP_PERIOD_S = 0.2
RESERVED_CONNECTIONS = 2
OWNERS_AT_ONCE = 2
FREE_FOR_SINGLE_WRITES = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class SessionKey:
    """A session of a caller."""

    caller: CallerId
    session: SessionId


@dataclass(kw_only=True)
class Transaction:
    """An open transaction and the connection that it holds."""

    transaction: TransactionId
    caller: CallerId
    server: ServerId
    connection: BackendConnection
    pool: BackendPool
    origin: HostId
    used_at: int
    request: Request
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


@dataclass(kw_only=True)
class Pending:
    """A request that waits for its slot or runs."""

    request: Request
    origin: HostId
    deadline_at: int
    answer: asyncio.Future[Outcome]
    job: asyncio.Task[None] | None = None


@dataclass(kw_only=True)
class ServerFence:
    """Which claim a server has confirmed to this owner, and when."""

    epoch: int = 0
    bundle: BundleVersion = BundleVersion(0)
    confirmed_at_ms: int | None = None
    killed: set[HostId] = field(default_factory=set)


@dataclass(kw_only=True)
class OwnerHooks:
    """What an owner calls on its host."""

    explain: Callable[[Topic, str, str, str], None]
    ask_witnesses: Callable[[str], "asyncio.Future[list[bool]]"]
    on_fenced: Callable[["DatabaseOwner"], None]
    on_bundle_behind: Callable[[], None]


def _refused(reason: Reason, detail: str, retry_ms: int = 0) -> Outcome:
    return Outcome(
        failure=Failure(
            verdict=Verdict.NOT_RUN,
            reason=reason,
            detail=detail,
            retry_after_ms=retry_ms,
        )
    )


class DatabaseOwner(Service):
    """Serves one database for the whole fleet while this host holds its claim.

    Parameters
    ----------
    database
        The database.
    me, address
        This host and its peer address.
    endpoints
        How to reach each backend server.
    bundle
        Bundle in force at this host.
    hooks
        What to call on the host.
    policy
        Order of service.
    """

    def __init__(
        self,
        *,
        database: DatabaseId,
        me: HostId,
        address: str,
        endpoints: dict[ServerId, Endpoint],
        bundle: Bundle,
        hooks: OwnerHooks,
        policy: Policy = Policy.FAIR,
    ) -> None:
        super().__init__()
        self.database = database
        self.me = me
        self.address = address
        self.endpoints = endpoints
        self.bundle = bundle
        self.hooks = hooks
        self.view = GroupView(
            members=tuple(endpoints),
            leaving=frozenset(s for s, e in endpoints.items() if e.server.leaving),
        )
        self.backlog = Backlog(
            slots={s: e.server.slots for s, e in endpoints.items()}, policy=policy
        )
        self.pools = {s: self._make_pool(e) for s, e in endpoints.items()}
        self.watch = GroupWatch(
            endpoints=endpoints,
            view=self.view,
            driver_name=f"{me}/{uuid.uuid4().hex[:12]}",
            hooks=self._make_watch_hooks(),
        )
        self.claim: Claim | None = None
        self.seen_claim: Claim | None = None
        self.floor: Mark = ORIGIN
        self.refused_claim = ""
        self.unfit = False
        self.standing_in = False
        self.draining = False
        self.marks: OrderedDict[SessionKey, Mark] = OrderedDict()
        self.transactions: dict[TransactionId, Transaction] = {}
        self.pending: dict[int, Pending] = {}
        self.numbers = itertools.count(1)
        self.fences = {s: ServerFence() for s in endpoints}
        self.admitted_at: OrderedDict[CallerId, int] = OrderedDict()
        self.refused: dict[CallerId, int] = {}
        self.served: dict[ServerId, int] = {}
        self.withdrawn: frozenset[CallerId] = frozenset()
        self.retries = retry.RetryBudget()

    # -- set-up --

    def _make_pool(self, endpoint: Endpoint) -> BackendPool:
        # An old and a new owner may overlap: each keeps to half of the limit.
        share = (endpoint.server.connections - RESERVED_CONNECTIONS) // OWNERS_AT_ONCE
        limit = max(1, share - 1)
        return BackendPool(endpoint=endpoint, limit=limit, check=self._check_claim)

    def _make_watch_hooks(self) -> WatchHooks:
        return WatchHooks(
            on_claim=self._take_claim,
            on_change=self.pump,
            on_explain=lambda act: self.hooks.explain(
                Topic.FAILOVER, self.database, act.step, act.detail
            ),
            ask_witnesses=self._ask_witnesses,
            on_unfit=lambda: self._become_unfit(
                "other hosts reach the primary and this one does not"
            ),
            may_drive=self._may_drive,
        )

    def _may_drive(self) -> bool:
        return (self.holding or self.standing_in) and not self.unfit

    async def _ask_witnesses(self, address: str) -> list[bool]:
        return await self.hooks.ask_witnesses(address)

    async def on_start(self) -> None:
        """Start watching the group."""
        await self.add_runtime_dependency(self.watch)

    async def on_stop(self) -> None:
        """Fail what is left and close every connection."""
        self._lose_claim("stopped")
        for pool in self.pools.values():
            pool.drop_all()

    # -- claim --

    @property
    def holding(self) -> bool:
        """Whether this host holds the claim."""
        return self.claim is not None

    async def _check_claim(self, connection: BackendConnection) -> None:
        seen = await read_claim(connection)
        if (
            seen is not None
            and self.claim is not None
            and seen.epoch > self.claim.epoch
        ):
            raise LostConnectionError(f"{seen.host} has claimed the database")

    async def _take_claim(self, server: ServerId, seen: Claim | None) -> None:
        if seen is None:
            return
        if self.seen_claim is None or seen.epoch > self.seen_claim.epoch:
            self.seen_claim = seen
        if not may_serve(self.bundle.version, seen.bundle):
            self.hooks.on_bundle_behind()
        held = self.claim
        if held is None:
            return
        if seen.epoch > held.epoch and seen.host != self.me:
            self._lose_claim(f"{seen.host} has claimed the database")
        elif seen.epoch == held.epoch:
            await self._confirm_fence(server, held)

    async def _confirm_fence(self, server: ServerId, held: Claim) -> None:
        fence = self.fences[server]
        if fence.epoch == held.epoch:
            return
        connection = await open_connection(self.endpoints[server], Term(0))
        try:
            killed = await kill_strangers(connection, self.me)
        finally:
            connection.close()
        if self.claim != held:
            return
        fence.epoch = held.epoch
        fence.bundle = held.bundle
        fence.confirmed_at_ms = read_wall_ms()
        fence.killed.update(killed)
        if all(f.epoch == held.epoch for f in self.fences.values()):
            self.hooks.on_fenced(self)

    async def try_claim(self) -> bool:
        """Claim the database; False when that is not possible now."""
        primary = routing.find_primary(self.view, read_monotonic_ms())
        if primary is None or self.unfit or self.draining:
            return False
        try:
            connection = await open_connection(self.endpoints[primary], self.view.term)
        except LostConnectionError:
            return False
        try:
            result = await take_over(
                connection,
                self.me,
                self.address,
                self.bundle.version,
                self.seen_claim,
            )
        except (LostConnectionError, StatementRefusedError):
            return False
        finally:
            connection.close()
        if isinstance(result, Err):
            self._explain_refused(result.err_value)
            return False
        self._hold(result.ok_value)
        return True

    def _explain_refused(self, why: str) -> None:
        if why != self.refused_claim:
            self.refused_claim = why
            self.hooks.explain(Topic.OWNERSHIP, self.database, "not claimed", why)

    def _hold(self, result: ClaimResult) -> None:
        self.claim = result.claim
        self.standing_in = False
        self.seen_claim = result.claim
        self.floor = result.floor
        self.marks.clear()
        detail = f"epoch {result.claim.epoch}, bundle {result.claim.bundle}"
        self.hooks.explain(Topic.OWNERSHIP, self.database, "claimed", detail)
        self.pump()

    def _lose_claim(self, why: str) -> None:
        if self.claim is None:
            return
        self.claim = None
        self.hooks.explain(Topic.OWNERSHIP, self.database, "lost", why)
        for pool in self.pools.values():
            pool.drop_all()
        self.transactions.clear()
        for number in list(self.pending):
            if number not in self.backlog.running:
                self._settle(number, self._redirect())
        self.backlog.flows.clear()

    def _redirect(self) -> Outcome:
        seen = self.seen_claim
        if seen is not None and seen.host not in ("", self.me):
            return Outcome(redirect=Redirect(host=seen.host, address=seen.address))
        return _refused(Reason.NOT_OWNER, "this host does not own the database")

    def _become_unfit(self, detail: str) -> None:
        if not self.unfit:
            self.unfit = True
            self.hooks.explain(Topic.OWNERSHIP, self.database, "unfit", detail)
            self._lose_claim(detail)

    async def release(self) -> None:
        """Give the claim up after what is in flight has finished."""
        held = self.claim
        if held is None:
            return
        primary = routing.find_primary(self.view, read_monotonic_ms())
        self._lose_claim("released")
        if primary is None:
            return
        try:
            connection = await open_connection(self.endpoints[primary], self.view.term)
            try:
                await release_claim(connection, held)
            finally:
                connection.close()
        except (LostConnectionError, StatementRefusedError):
            return

    # -- bundle --

    async def set_bundle(
        self, bundle: Bundle, withdrawn: frozenset[CallerId], fence: bool
    ) -> None:
        """Put a new bundle in force here.

        Parameters
        ----------
        bundle
            The bundle.
        withdrawn
            Callers that lost access to this database.
        fence
            Whether the database's claim must demand this version.
        """
        self.bundle = bundle
        self.withdrawn = frozenset(
            c for c in self.withdrawn | withdrawn if not self._is_allowed(c)
        )
        for caller in withdrawn:
            self._cut_caller(caller)
        self.view.leaving = frozenset(
            s.server for s in bundle.servers.values() if s.leaving
        )
        while fence and self.holding and not self.should_stop:
            if await self._raise_bundle():
                return
            await asyncio.sleep(PUMP_PERIOD_S * 5)

    async def _raise_bundle(self) -> bool:
        held = self.claim
        if held is None or held.bundle >= self.bundle.version:
            return True
        primary = routing.find_primary(self.view, read_monotonic_ms())
        if primary is None:
            return False
        try:
            connection = await open_connection(self.endpoints[primary], self.view.term)
            try:
                claim = await raise_bundle(connection, held, self.bundle.version)
            finally:
                connection.close()
        except (LostConnectionError, StatementRefusedError):
            return False
        if claim is None:
            return False
        if self.claim == held:
            self.claim = claim
            self.seen_claim = claim
        return True

    def _is_allowed(self, caller: CallerId) -> bool:
        contract = self.bundle.callers.get(caller)
        return contract is not None and self.database in contract.databases

    def _cut_caller(self, caller: CallerId) -> None:
        dropped = admission.cancel_queued(
            self.backlog, lambda ticket: ticket.flow.caller == caller
        )
        refused = _refused(Reason.CALLER_REFUSED, "the caller was withdrawn")
        for ticket in dropped:
            self._settle(ticket.number, refused)
        for pending in list(self.pending.values()):
            if pending.request.caller == caller and pending.job is not None:
                pending.job.cancel()
        for transaction in list(self.transactions.values()):
            if transaction.caller == caller:
                self._end_transaction(transaction, usable=False)
        for key in [k for k in self.marks if k.caller == caller]:
            del self.marks[key]

    # -- requests --

    async def handle(self, request: Request, origin: HostId) -> Outcome:
        """Serve one request for the host ``origin``."""
        refusal = self._refuse_early(request)
        if refusal is not None:
            return refusal
        now = read_monotonic_ms()
        kind = self.bundle.find_kind(request.kind)
        deadline = request.deadline_ms or kind.deadline_ms
        number = next(self.numbers)
        ticket = Ticket(
            number=number,
            flow=FlowId(caller=request.caller, kind=kind.kind),
            weight=kind.weight,
            fingerprint=request.fingerprint,
            declared_long=kind.long,
            arrived_at=now,
            deadline_at=now + deadline,
            in_transaction=bool(request.transaction),
        )
        failure = admission.offer(self.backlog, ticket, self._count_slots(request), now)
        if failure is not None:
            self._explain_shed(request, failure)
            return Outcome(failure=failure)
        pending = Pending(
            request=self._narrow(request, kind.staleness_ms),
            origin=origin,
            deadline_at=now + deadline,
            answer=asyncio.get_running_loop().create_future(),
        )
        self.pending[number] = pending
        retry.deposit(self.retries)
        self.pump()
        try:
            return await pending.answer
        finally:
            self.pending.pop(number, None)

    def _refuse_early(self, request: Request) -> Outcome | None:
        if not self.holding:
            return self._redirect()
        if not self._is_allowed(request.caller):
            self.refused[request.caller] = self.refused.get(request.caller, 0) + 1
            return _refused(Reason.CALLER_REFUSED, "the caller has no contract here")
        if self.draining and not request.transaction:
            return _refused(Reason.NOT_OWNER, "this host is draining", 50)
        if request.transaction and request.transaction not in self.transactions:
            return _refused(Reason.TRANSACTION_LOST, "the transaction was rolled back")
        return None

    def _narrow(self, request: Request, staleness_ms: int) -> Request:
        # A caller may ask for fresher data than its kind accepts, not staler.
        asked = request.staleness_ms
        accepted = min(asked, staleness_ms) if asked else staleness_ms
        key = SessionKey(caller=request.caller, session=request.session)
        known = self.marks.get(key)
        mark = routing.raise_mark(request.token, known or ORIGIN)
        if known is None and not request.has_token:
            mark = routing.raise_mark(mark, self.floor)
        return replace(request, staleness_ms=accepted, token=mark)

    def _count_slots(self, request: Request) -> int:
        if request.action is Action.READ and not request.transaction:
            return max(sum(self.backlog.slots.values()) - 3, 1)
        primary = self.view.primary
        return self.backlog.slots.get(primary, 3) if primary else 3

    def _explain_shed(self, request: Request, failure: Failure) -> None:
        subject = f"{request.caller}/{request.kind}"
        detail = f"{failure.reason.value}: {failure.detail}"
        self.hooks.explain(Topic.SHED, subject, "not-run", detail)

    def _find_servers(self, ticket: Ticket) -> tuple[ServerId, ...]:
        pending = self.pending.get(ticket.number)
        now = read_monotonic_ms()
        if pending is None or not routing.has_majority_contact(self.view, now):
            return ()
        request = pending.request
        if request.transaction:
            transaction = self.transactions.get(request.transaction)
            return (transaction.server,) if transaction else tuple(self.endpoints)
        if request.action is Action.READ:
            need = ReadNeed(mark=request.token, staleness_ms=request.staleness_ms)
            return routing.list_readers(self.view, need, now)
        primary = routing.find_primary(self.view, now)
        if primary is None or (
            request.action is Action.BEGIN and not self._has_transaction_room(primary)
        ):
            return ()
        return (primary,)

    def _has_transaction_room(self, primary: ServerId) -> bool:
        limit = max(1, self.pools[primary].limit - FREE_FOR_SINGLE_WRITES)
        return len(self.transactions) < limit

    def pump(self) -> None:
        """Give free slots to waiting requests."""
        if not self.holding:
            return
        now = read_monotonic_ms()
        for act in admission.assign(self.backlog, self._find_servers, now):
            pending = self.pending.get(act.ticket.number)
            if isinstance(act, Rejection):
                if pending is not None:
                    self._explain_shed(pending.request, act.failure)
                self._settle(act.ticket.number, Outcome(failure=act.failure))
            elif pending is None:
                admission.finish(self.backlog, act.ticket.number, now)
            else:
                pending.job = asyncio.create_task(self._serve(act, pending))

    @Service.task
    async def _pump_loop(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(PUMP_PERIOD_S if self.busy else IDLE_PUMP_PERIOD_S)
            self._expire_transactions()
            now = read_monotonic_ms()
            if self.holding and not routing.has_majority_contact(self.view, now):
                self._become_unfit("no contact with a majority of the group")
            self.pump()

    def _settle(self, number: int, outcome: Outcome) -> None:
        pending = self.pending.get(number)
        if pending is not None and not pending.answer.done():
            pending.answer.set_result(outcome)

    # -- running --

    async def _serve(self, assignment: Assignment, pending: Pending) -> None:
        number = assignment.ticket.number
        request = pending.request

        def free_slot() -> None:
            admission.finish(self.backlog, number, read_monotonic_ms())
            self.pump()

        def note_status(status: ServerStatus) -> None:
            # Busy replicas are seen more often than the probes see them.
            routing.observe_status(self.view, status, started_at)

        started_at = read_monotonic_ms()
        progress = Progress(on_executed=free_slot, on_status=note_status)
        try:
            reply = await self._run(assignment, pending, progress)
            outcome = Outcome(reply=reply)
            self._note_success(request, reply)
        except RequestFailedError as error:
            outcome = Outcome(failure=error.failure)
        except LostConnectionError as error:
            free_slot()
            routing.observe_silence(self.view, assignment.server)
            if self._requeue(assignment.ticket, request, progress):
                return
            outcome = self._judge_lost(request, progress, error)
        except StatementRefusedError as error:
            outcome = self._judge_refused(error)
        except asyncio.CancelledError:
            outcome = self._judge_lost(
                request, progress, LostConnectionError("the caller was withdrawn")
            )
        self._settle(number, outcome)
        free_slot()

    def _requeue(self, ticket: Ticket, request: Request, progress: Progress) -> bool:
        """Queue a request again that lost its server; False when it must fail."""
        repeatable = request.action is Action.READ or retry.may_resend_write(
            progress.stage
        )
        if request.transaction or not repeatable:
            return False
        if not self.holding or not retry.withdraw(self.retries):
            return False
        slots = self._count_slots(request)
        now = read_monotonic_ms()
        if admission.offer(self.backlog, ticket, slots, now) is not None:
            return False
        self.pump()
        return True

    def _note_success(self, request: Request, reply: Reply) -> None:
        key = SessionKey(caller=request.caller, session=request.session)
        old = self.marks.pop(key, ORIGIN)
        self.marks[key] = routing.raise_mark(old, reply.mark)
        while len(self.marks) > SESSIONS_KEPT:
            _, forgotten = self.marks.popitem(last=False)
            self.floor = routing.raise_mark(self.floor, forgotten)
        self.admitted_at[request.caller] = read_wall_ms()
        if request.action is Action.READ:
            self.served[reply.server] = self.served.get(reply.server, 0) + 1

    def _judge_refused(self, error: StatementRefusedError) -> Outcome:
        if error.code in (executor.READ_ONLY, executor.FENCED):
            return _refused(Reason.NO_PRIMARY, error.text, 100)
        failure = Failure(
            verdict=Verdict.NOT_RUN,
            reason=Reason.DATABASE_ERROR,
            detail=error.text,
            error_code=error.code,
        )
        return Outcome(failure=failure)

    def _judge_lost(
        self, request: Request, progress: Progress, error: LostConnectionError
    ) -> Outcome:
        return Outcome(failure=executor.judge_lost_connection(request, progress, error))

    async def _run(
        self, assignment: Assignment, pending: Pending, progress: Progress
    ) -> Reply:
        request = pending.request
        if request.transaction:
            return await self._run_in_transaction(pending, progress)
        server = assignment.server
        pool = self.pools[server]
        connection = await pool.acquire(self.view.term)
        if request.action is Action.BEGIN:
            return await self._begin(pending, server, pool, connection, progress)
        left_s = max(pending.deadline_at - read_monotonic_ms(), 1) / 1000
        try:
            if request.action is Action.READ:
                run = executor.run_replica_read
                if server == self.view.primary:
                    run = executor.run_primary_read
                return await run(connection, request, server, left_s, progress)
            if request.action is Action.RESOLVE:
                return await executor.resolve(
                    connection, request, server, progress, read_wall_ms()
                )
            return await executor.run_write(
                connection, request, server, left_s, progress, read_wall_ms()
            )
        finally:
            pool.release(connection)

    # -- transactions --

    async def _begin(
        self,
        pending: Pending,
        server: ServerId,
        pool: BackendPool,
        connection: BackendConnection,
        progress: Progress,
    ) -> Reply:
        request = pending.request
        try:
            await connection.run("BEGIN", executor.CONTROL_TIMEOUT_S)
            if request.request_id:
                recorded = await executor.record_request(
                    connection, request, "ran", read_wall_ms()
                )
                if not recorded:
                    await connection.run("ROLLBACK", executor.CONTROL_TIMEOUT_S)
                    raise executor.fail(
                        Verdict.RAN, Reason.DUPLICATE, "the transaction ran before"
                    )
        except BaseException:
            pool.release(connection)
            raise
        transaction = Transaction(
            transaction=TransactionId(uuid.uuid4().hex),
            caller=request.caller,
            server=server,
            connection=connection,
            pool=pool,
            origin=pending.origin,
            used_at=read_monotonic_ms(),
            request=request,
        )
        self.transactions[transaction.transaction] = transaction
        return Reply(server=server, transaction=transaction.transaction)

    async def _run_in_transaction(self, pending: Pending, progress: Progress) -> Reply:
        request = pending.request
        transaction = self.transactions.get(request.transaction)
        if transaction is None or transaction.caller != request.caller:
            raise executor.fail(
                Verdict.NOT_RUN,
                Reason.TRANSACTION_LOST,
                "the transaction was rolled back",
            )
        async with transaction.lock:
            transaction.used_at = read_monotonic_ms()
            try:
                return await self._run_step(pending, transaction, progress)
            except StatementRefusedError as error:
                if error.code in (executor.READ_ONLY, executor.FENCED):
                    self._end_transaction(transaction, usable=False)
                # Any other error leaves the transaction open, as in MySQL.
                raise
            except BaseException:
                self._end_transaction(transaction, usable=False)
                raise

    async def _run_step(
        self, pending: Pending, transaction: Transaction, progress: Progress
    ) -> Reply:
        request = pending.request
        connection = transaction.connection
        if request.action is Action.COMMIT:
            mark = await executor.commit(connection, progress)
            self._end_transaction(transaction, usable=True)
            return Reply(mark=mark, server=transaction.server)
        if request.action is Action.ROLLBACK:
            await connection.run("ROLLBACK", executor.CONTROL_TIMEOUT_S)
            self._end_transaction(transaction, usable=True)
            return Reply(server=transaction.server)
        left_s = max(pending.deadline_at - read_monotonic_ms(), 1) / 1000
        answer = await connection.run(request.sql, left_s)
        return Reply(
            columns=answer.columns,
            rows=answer.rows,
            affected_rows=answer.affected_rows,
            last_insert_id=answer.last_insert_id,
            server=transaction.server,
            transaction=transaction.transaction,
        )

    def _end_transaction(self, transaction: Transaction, usable: bool) -> None:
        if not usable:
            transaction.connection.close()
        self.transactions.pop(transaction.transaction, None)
        transaction.pool.release(transaction.connection)

    def _expire_transactions(self) -> None:
        oldest = read_monotonic_ms() - TRANSACTION_IDLE_MS
        for transaction in list(self.transactions.values()):
            if transaction.used_at < oldest and not transaction.lock.locked():
                self._end_transaction(transaction, usable=False)

    def drop_origin(self, origin: HostId) -> None:
        """Roll back the transactions of a host that has gone."""
        for transaction in list(self.transactions.values()):
            if transaction.origin == origin and not transaction.lock.locked():
                self._end_transaction(transaction, usable=False)

    @property
    def busy(self) -> bool:
        """Whether anything is queued, running or open."""
        return bool(self.pending or self.transactions)
