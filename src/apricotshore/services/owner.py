"""Owner of a database: queues its requests and runs them on backend servers."""

import asyncio
import itertools
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from mode import Service

from ..bundles import Bundle
from ..decisions import admission, retry, routing, sessions
from ..decisions.backlog import (
    Backlog,
    FlowId,
    Policy,
    Rejection,
    Ticket,
)
from ..decisions.routing import GroupView, ReadRequirement
from ..decisions.sessions import SessionKey, SessionPositions
from ..events import Topic
from ..groups import Claim
from ..identifiers import CallerId, DatabaseId, HostId, ServerId
from ..requests import Action, Outcome, Redirect, Request
from ..verdicts import Failure, Reason
from .backends import (
    BackendPool,
    Endpoint,
)
from .claimmanager import ClaimHooks, ClaimManager
from .clock import read_monotonic_ms
from .groupwatch import GroupWatch, WatchHooks
from .requestrunner import (
    PendingRequest,
    RequestRunner,
    RunnerHooks,
    make_refusal,
)
from .transactions import TransactionTable

DISPATCH_PERIOD_S = 0.02
IDLE_DISPATCH_PERIOD_S = 0.2
RESERVED_CONNECTIONS = 2
MAX_CONCURRENT_OWNERS = 2
RESERVED_FOR_SINGLE_WRITES = 2
FENCE_RETRY_S = 0.1
DRAIN_RETRY_MS = 50
# Slots of the primary while it is not known.
DEFAULT_SLOTS = 3


@dataclass(kw_only=True)
class OwnerHooks:
    """Callbacks of an owner into its host.

    Parameters
    ----------
    record_event
        Records an event: topic, subject, step and detail.
    ask_witnesses
        Asks other hosts whether they reach a server; returns their answers.
    on_fenced
        Every backend server has confirmed the claim.
    on_bundle_behind
        The claim requires a newer bundle than this host has.
    """

    record_event: Callable[[Topic, str, str, str], None]
    ask_witnesses: Callable[[str], Awaitable[list[bool]]]
    on_fenced: Callable[["DatabaseOwner"], None]
    on_bundle_behind: Callable[[], None]


class DatabaseOwner(Service):
    """Serves one database for all hosts while this host holds its claim.

    Parameters
    ----------
    database
        The database.
    local_host, address
        This host and its peer address.
    endpoints
        Address and account for each backend server.
    bundle
        Bundle in force at this host.
    hooks
        Callbacks into the host.
    policy
        Queueing policy of the backlog.
    """

    def __init__(
        self,
        *,
        database: DatabaseId,
        local_host: HostId,
        address: str,
        endpoints: dict[ServerId, Endpoint],
        bundle: Bundle,
        hooks: OwnerHooks,
        policy: Policy = Policy.FAIR,
    ) -> None:
        super().__init__()
        self.database = database
        self.local_host = local_host
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
        self.watch = GroupWatch(
            endpoints=endpoints,
            view=self.view,
            coordinator_name=f"{local_host}/{uuid.uuid4().hex[:12]}",
            hooks=self._make_watch_hooks(),
        )
        self.claim_manager = ClaimManager(
            local_host=local_host,
            address=address,
            endpoints=endpoints,
            view=self.view,
            hooks=self._make_claim_hooks(),
        )
        self.pools = {s: self._make_pool(e) for s, e in endpoints.items()}
        self.last_refusal = ""
        self.unfit = False
        self.claiming = False
        self.draining = False
        self.sessions = SessionPositions()
        self.transactions = TransactionTable()
        self.pending: dict[int, PendingRequest] = {}
        self.ticket_numbers = itertools.count(1)
        self.refusals: dict[CallerId, int] = {}
        self.withdrawn: frozenset[CallerId] = frozenset()
        self.runner = RequestRunner(
            view=self.view,
            pools=self.pools,
            sessions=self.sessions,
            transactions=self.transactions,
            failover=self.watch.coordinator.state,
            hooks=RunnerHooks(
                free_slot=self._free_slot,
                requeue=self._requeue,
                complete=self._complete,
            ),
        )

    # -- set-up --

    def _make_pool(self, endpoint: Endpoint) -> BackendPool:
        # During a take-over the old and the new owner may both be connected, so
        # each uses at most half of the server's connection limit.
        share = (
            endpoint.server.connections - RESERVED_CONNECTIONS
        ) // MAX_CONCURRENT_OWNERS
        limit = max(1, share - 1)
        return BackendPool(
            endpoint=endpoint, limit=limit, check=self.claim_manager.check
        )

    def _make_watch_hooks(self) -> WatchHooks:
        return WatchHooks(
            on_claim=self._observe_claim,
            on_change=self.dispatch,
            on_event=lambda event: self.hooks.record_event(
                Topic.FAILOVER, self.database, event.step, event.detail
            ),
            ask_witnesses=self.hooks.ask_witnesses,
            on_unfit=lambda: self._mark_unfit(
                "other hosts reach the primary and this one does not"
            ),
            may_coordinate=self._may_coordinate,
        )

    def _make_claim_hooks(self) -> ClaimHooks:
        return ClaimHooks(
            on_lost=self._drop_claim,
            on_fenced=lambda: self.hooks.on_fenced(self),
            on_bundle_behind=self.hooks.on_bundle_behind,
            on_refused=self._report_refusal,
        )

    def _may_coordinate(self) -> bool:
        return (self.owning or self.claiming) and not self.unfit

    async def _observe_claim(self, server: ServerId, seen: Claim | None) -> None:
        await self.claim_manager.observe(server, seen, self.bundle.version)

    async def on_start(self) -> None:
        """Start monitoring the group."""
        await self.add_runtime_dependency(self.watch)

    async def on_stop(self) -> None:
        """Complete all queued requests and close every connection."""
        self._drop_claim("stopped")
        for pool in self.pools.values():
            pool.drop_all()

    # -- claim --

    @property
    def owning(self) -> bool:
        """Whether this host holds the claim."""
        return self.claim_manager.claim is not None

    async def try_claim(self) -> bool:
        """Try to claim the database.

        Returns
        -------
        bool
            False when the database cannot be claimed now.
        """
        if self.unfit or self.draining:
            return False
        min_position = await self.claim_manager.try_claim(self.bundle.version)
        claim = self.claim_manager.claim
        if min_position is None or claim is None:
            return False
        self.claiming = False
        sessions.reset_positions(self.sessions, min_position)
        detail = f"epoch {claim.epoch}, bundle {claim.bundle}"
        self.hooks.record_event(Topic.OWNERSHIP, self.database, "claimed", detail)
        self.dispatch()
        return True

    def _report_refusal(self, why: str) -> None:
        if why != self.last_refusal:
            self.last_refusal = why
            self.hooks.record_event(Topic.OWNERSHIP, self.database, "not claimed", why)

    def _drop_claim(self, why: str) -> None:
        if not self.owning:
            return
        self.claim_manager.claim = None
        self.hooks.record_event(Topic.OWNERSHIP, self.database, "lost", why)
        for pool in self.pools.values():
            pool.drop_all()
        self.transactions.clear()
        for number in list(self.pending):
            if number not in self.backlog.running:
                self._complete(number, self._redirect())
        self.backlog.flows.clear()

    def _redirect(self) -> Outcome:
        other = self.claim_manager.find_other_owner()
        if other is not None:
            return Outcome(redirect=Redirect(host=other.host, address=other.address))
        return make_refusal(Reason.NOT_OWNER, "this host does not own the database")

    def _mark_unfit(self, detail: str) -> None:
        if not self.unfit:
            self.unfit = True
            self.hooks.record_event(Topic.OWNERSHIP, self.database, "unfit", detail)
            self._drop_claim(detail)

    async def release(self) -> None:
        """Release the claim, so that another host can claim the database at once."""
        held = self.claim_manager.claim
        if held is not None:
            self._drop_claim("released")
            await self.claim_manager.release(held)

    # -- bundle --

    async def set_bundle(
        self, bundle: Bundle, withdrawn: frozenset[CallerId], fence: bool
    ) -> None:
        """Apply a new bundle.

        Parameters
        ----------
        bundle
            The bundle.
        withdrawn
            Callers that lost access to this database.
        fence
            Whether the database's claim must require this version.
        """
        self.bundle = bundle
        self.withdrawn = frozenset(
            c for c in self.withdrawn | withdrawn if not self._is_allowed(c)
        )
        for caller in withdrawn:
            self._cancel_caller(caller)
        self.view.leaving = frozenset(
            s.server for s in bundle.servers.values() if s.leaving
        )
        while fence and self.owning and not self.should_stop:
            if await self.claim_manager.raise_bundle(bundle.version):
                return
            await asyncio.sleep(FENCE_RETRY_S)

    def _is_allowed(self, caller: CallerId) -> bool:
        contract = self.bundle.callers.get(caller)
        return contract is not None and self.database in contract.databases

    def _cancel_caller(self, caller: CallerId) -> None:
        dropped = admission.cancel_queued(
            self.backlog, lambda ticket: ticket.flow.caller == caller
        )
        refused = make_refusal(Reason.CALLER_REFUSED, "the caller was withdrawn")
        for ticket in dropped:
            self._complete(ticket.number, refused)
        for pending in list(self.pending.values()):
            if pending.request.caller == caller and pending.job is not None:
                pending.job.cancel()
        self.transactions.rollback_caller(caller)
        sessions.remove_caller(self.sessions, caller)

    # -- requests --

    async def handle(self, request: Request, origin: HostId) -> Outcome:
        """Queue a request from the entry host ``origin`` and return its outcome."""
        refusal = self._check_request(request)
        if refusal is not None:
            return refusal
        now = read_monotonic_ms()
        kind = self.bundle.find_kind(request.kind)
        deadline = request.deadline_ms or kind.deadline_ms
        number = next(self.ticket_numbers)
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
        failure = admission.enqueue(
            self.backlog, ticket, self._count_slots(request), now
        )
        if failure is not None:
            self._report_shed(request, failure)
            return Outcome(failure=failure)
        pending = PendingRequest(
            request=self._set_read_bounds(request, kind.staleness_ms),
            origin=origin,
            deadline_at=now + deadline,
            answer=asyncio.get_running_loop().create_future(),
        )
        self.pending[number] = pending
        retry.deposit(self.runner.retries)
        self.dispatch()
        try:
            return await pending.answer
        finally:
            self.pending.pop(number, None)

    def _check_request(self, request: Request) -> Outcome | None:
        if not self.owning:
            return self._redirect()
        if not self._is_allowed(request.caller):
            self.refusals[request.caller] = self.refusals.get(request.caller, 0) + 1
            return make_refusal(
                Reason.CALLER_REFUSED, "the caller has no contract here"
            )
        if self.draining and not request.transaction:
            return make_refusal(
                Reason.NOT_OWNER, "this host is draining", DRAIN_RETRY_MS
            )
        if request.transaction and not self.transactions.find(request.transaction):
            return make_refusal(
                Reason.TRANSACTION_LOST, "the transaction was rolled back"
            )
        return None

    def _set_read_bounds(self, request: Request, staleness_ms: int) -> Request:
        # A caller may request a lower staleness than its kind allows, not a higher one.
        asked = request.staleness_ms
        accepted = min(asked, staleness_ms) if asked else staleness_ms
        log_position = sessions.find_position(
            self.sessions,
            SessionKey(caller=request.caller, session=request.session),
            request.token,
            complete=request.has_token,
            session_named=request.session_named,
        )
        return replace(request, staleness_ms=accepted, token=log_position)

    def _count_slots(self, request: Request) -> int:
        if request.action is Action.READ and not request.transaction:
            return max(sum(self.backlog.slots.values()) - DEFAULT_SLOTS, 1)
        primary = self.view.primary
        if primary is None:
            return DEFAULT_SLOTS
        return self.backlog.slots.get(primary, DEFAULT_SLOTS)

    def _report_shed(self, request: Request, failure: Failure) -> None:
        subject = f"{request.caller}/{request.kind}"
        detail = f"{failure.reason.value}: {failure.detail}"
        self.hooks.record_event(Topic.SHED, subject, "not-run", detail)

    def _find_servers(self, ticket: Ticket) -> tuple[ServerId, ...]:
        pending = self.pending.get(ticket.number)
        now = read_monotonic_ms()
        if pending is None or not routing.has_majority_contact(self.view, now):
            return ()
        request = pending.request
        if request.transaction:
            transaction = self.transactions.find(request.transaction)
            return (transaction.server,) if transaction else tuple(self.endpoints)
        if request.action is Action.READ:
            requirement = ReadRequirement(
                log_position=request.token, staleness_ms=request.staleness_ms
            )
            return routing.list_readers(self.view, requirement, now)
        primary = routing.find_primary(self.view, now)
        if primary is None or (
            request.action is Action.BEGIN and not self._has_transaction_room(primary)
        ):
            return ()
        return (primary,)

    def _has_transaction_room(self, primary: ServerId) -> bool:
        limit = max(1, self.pools[primary].limit - RESERVED_FOR_SINGLE_WRITES)
        return len(self.transactions) < limit

    def dispatch(self) -> None:
        """Assign free slots to queued requests and start them."""
        if not self.owning:
            return
        now = read_monotonic_ms()
        for decision in admission.assign(self.backlog, self._find_servers, now):
            pending = self.pending.get(decision.ticket.number)
            if isinstance(decision, Rejection):
                if pending is not None:
                    self._report_shed(pending.request, decision.failure)
                self._complete(
                    decision.ticket.number, Outcome(failure=decision.failure)
                )
            elif pending is None:
                admission.finish(self.backlog, decision.ticket.number, now)
            else:
                pending.job = asyncio.create_task(self.runner.serve(decision, pending))

    @Service.task
    async def _dispatch_loop(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(
                DISPATCH_PERIOD_S if self.busy else IDLE_DISPATCH_PERIOD_S
            )
            self.transactions.rollback_idle()
            now = read_monotonic_ms()
            if self.owning and not routing.has_majority_contact(self.view, now):
                self._mark_unfit("no contact with a majority of the group")
            self.dispatch()

    def _complete(self, number: int, outcome: Outcome) -> None:
        pending = self.pending.get(number)
        if pending is not None and not pending.answer.done():
            pending.answer.set_result(outcome)

    def _free_slot(self, number: int) -> None:
        admission.finish(self.backlog, number, read_monotonic_ms())
        self.dispatch()

    def _requeue(self, ticket: Ticket, request: Request) -> bool:
        """Queue a request again; return False if it can't be run here any more."""
        if not self.owning or not retry.withdraw(self.runner.retries):
            return False
        slots = self._count_slots(request)
        now = read_monotonic_ms()
        if admission.enqueue(self.backlog, ticket, slots, now) is not None:
            return False
        self.dispatch()
        return True

    def drop_origin(self, origin: HostId) -> None:
        """Roll back the transactions of an entry host whose peer link was lost."""
        self.transactions.rollback_origin(origin)

    @property
    def busy(self) -> bool:
        """Whether a request is queued or running or a transaction is open."""
        return bool(self.pending or len(self.transactions))
