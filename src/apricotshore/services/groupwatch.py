"""Monitoring of a database group and execution of the failover's actions."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from mode import Service

from ..decisions import failover
from ..decisions.failover_messages import (
    Action,
    AskWitnesses,
    Fence,
    FenceAnswer,
    Follow,
    Promote,
    PromoteAnswer,
    ReportStep,
)
from ..decisions.failover_state import Failover, Phase
from ..decisions.routing import GroupView, observe_silence, observe_status
from ..groups import Claim, LogPosition
from ..identifiers import Position, ServerId, Term
from .backends import (
    CONTROL_TIMEOUT_S,
    BackendConnection,
    Endpoint,
    LostConnectionError,
    StatementError,
    StatementResult,
    open_connection,
    read_claim,
    read_status,
)
from .clock import read_monotonic_ms

PROBE_PERIOD_S = 0.25
CLAIM_PERIOD_MS = 1_000
TICK_PERIOD_S = 0.03
IDLE_TICK_PERIOD_S = 0.1
NO_TERM = Term(0)


@dataclass(kw_only=True)
class WatchHooks:
    """Callbacks of a group watch into its owner.

    Parameters
    ----------
    on_claim
        The claim row of a server was read.
    on_change
        The view of the group has changed.
    on_event
        The failover took a step.
    ask_witnesses
        Asks other hosts whether they reach a server; returns their answers.
    on_unfit
        Other hosts reach the primary and this host does not.
    may_coordinate
        Whether this host may run a failover now.
    """

    on_claim: Callable[[ServerId, Claim | None], Awaitable[None]]
    on_change: Callable[[], None]
    on_event: Callable[[ReportStep], None]
    ask_witnesses: Callable[[str], Awaitable[list[bool]]]
    on_unfit: Callable[[], None]
    may_coordinate: Callable[[], bool]


@dataclass(kw_only=True)
class Coordinator:
    """Identity and state of this host as failover coordinator of one group.

    Parameters
    ----------
    name
        Name under which terms are granted to it; unique to this process.
    state
        State of the failover.
    """

    name: str
    state: Failover = field(default_factory=Failover)


@dataclass(kw_only=True)
class ProbeState:
    """State of one server's probe loop.

    Parameters
    ----------
    connection
        Connection used by the probes; None while the server is unreachable.
    claim_read_at
        Monotonic milliseconds when the claim was last read.
    """

    connection: BackendConnection | None = None
    claim_read_at: int = -CLAIM_PERIOD_MS


class GroupWatch(Service):
    """Probes the servers of a group and coordinates failovers.

    Parameters
    ----------
    endpoints
        Address and account for each server.
    view
        State of the group, shared with the owner; updated by the probes.
    coordinator_name
        Unique to this process, so that a term is never granted to two processes.
    hooks
        Callbacks into the owner.
    """

    def __init__(
        self,
        *,
        endpoints: dict[ServerId, Endpoint],
        view: GroupView,
        coordinator_name: str,
        hooks: WatchHooks,
    ) -> None:
        super().__init__()
        self.endpoints = endpoints
        self.view = view
        self.hooks = hooks
        self.coordinator = Coordinator(name=coordinator_name)
        self.jobs: set[asyncio.Task[None]] = set()

    async def on_start(self) -> None:
        """Start one probe task per server."""
        for server in self.endpoints:
            self.add_future(self._probe_loop(server))

    async def on_stop(self) -> None:
        """Cancel outstanding actions."""
        for job in list(self.jobs):
            job.cancel()

    async def _probe_loop(self, server: ServerId) -> None:
        probe = ProbeState()
        while not self.should_stop:
            try:
                await self._probe(server, probe)
            except (LostConnectionError, StatementError):
                if probe.connection is not None:
                    probe.connection.close()
                probe.connection = None
                observe_silence(self.view, server)
            self.hooks.on_change()
            await asyncio.sleep(PROBE_PERIOD_S)

    async def _probe(self, server: ServerId, probe: ProbeState) -> None:
        if probe.connection is None:
            probe.connection = await open_connection(self.endpoints[server], NO_TERM)
            probe.claim_read_at = -CLAIM_PERIOD_MS
        asked_at = read_monotonic_ms()
        status = await read_status(probe.connection)
        observe_status(self.view, status, asked_at)
        if asked_at - probe.claim_read_at >= CLAIM_PERIOD_MS:
            probe.claim_read_at = asked_at
            claim = await read_claim(probe.connection)
            await self.hooks.on_claim(server, claim)

    @Service.task
    async def _tick_loop(self) -> None:
        while not self.should_stop:
            idle = self.coordinator.state.phase is Phase.WATCHING
            await asyncio.sleep(IDLE_TICK_PERIOD_S if idle else TICK_PERIOD_S)
            if self.hooks.may_coordinate():
                now = read_monotonic_ms()
                self._start_actions(
                    failover.tick(self.coordinator.state, self.view, now)
                )

    def _start_actions(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, ReportStep):
                self.hooks.on_event(action)
                self.hooks.on_change()
                continue
            job = asyncio.create_task(self._run_action(action))
            self.jobs.add(job)
            job.add_done_callback(self.jobs.discard)

    async def _run_action(self, action: Action) -> None:
        if isinstance(action, Fence):
            await self._fence(action)
        elif isinstance(action, Promote):
            await self._promote(action)
        elif isinstance(action, Follow):
            await self._follow(action)
        elif isinstance(action, AskWitnesses):
            await self._ask_witnesses(action)

    async def _run_command(self, server: ServerId, sql: str) -> StatementResult | None:
        try:
            connection = await open_connection(self.endpoints[server], NO_TERM)
            try:
                return await connection.run(sql, CONTROL_TIMEOUT_S)
            finally:
                connection.close()
        except (LostConnectionError, StatementError):
            return None

    async def _fence(self, action: Fence) -> None:
        sql = f"CALL group_fence({action.term}, '{self.coordinator.name}')"
        result = await self._run_command(action.server, sql)
        if result is None:
            return
        granted, term, last_term, position = (int(str(c)) for c in result.rows[0])
        message = FenceAnswer(
            server=action.server,
            granted=bool(granted),
            term=Term(term),
            end=LogPosition(term=Term(last_term), position=Position(position)),
        )
        now = read_monotonic_ms()
        self._start_actions(
            failover.handle_fence_answer(
                self.coordinator.state, self.view, message, now
            )
        )

    async def _promote(self, action: Promote) -> None:
        sql = f"CALL group_promote({action.term}, '{self.coordinator.name}')"
        result = await self._run_command(action.server, sql)
        if result is None:
            return
        done = bool(int(str(result.rows[0][0])))
        message = PromoteAnswer(server=action.server, term=action.term, done=done)
        now = read_monotonic_ms()
        self._start_actions(
            failover.handle_promote_answer(
                self.coordinator.state, self.view, message, now
            )
        )
        self.hooks.on_change()

    async def _follow(self, action: Follow) -> None:
        address = self.endpoints[action.primary].server.replication_address
        sql = f"CALL group_follow({action.term}, '{action.primary}', '{address}')"
        await self._run_command(action.server, sql)

    async def _ask_witnesses(self, action: AskWitnesses) -> None:
        address = self.endpoints[action.server].server.address
        answers = await self.hooks.ask_witnesses(address)
        if action.server != self.view.primary:
            # The primary changed meanwhile; the answers are about the former one.
            return
        if any(answers):
            self.coordinator.state.silent_hosts = 0
            self.hooks.on_unfit()
        else:
            self.coordinator.state.silent_hosts = 1 + len(answers)
