"""Changes of primary: taking the lease, pausing replicas, promoting a server."""

import asyncio
from collections.abc import Callable

from mode import Service

from ..decisions import change_triggers, position_history, primary_change
from ..decisions.change_triggers import ChangeConditions
from ..decisions.primary_change import (
    Abandon,
    Attempt,
    Member,
    Pause,
    Promote,
    RequestStatus,
    StepDown,
    Wait,
    read_status,
)
from ..identifiers import FencingToken, HostId, ServerId, Term
from ..queries import QueryKind
from ..services.clock import read_boot_ms
from ..services.eras import EraTracker
from .change_lease import ChangeLease
from .group import Group
from .group_commands import GroupCommands, record_phase
from .journal import Journal
from .ports import (
    LeaseRecord,
    ObjectStore,
    Promoter,
    StoreError,
)
from .supervision import keep_running

TICK_S = 0.1
STEP_PAUSE_S = 0.05
STORE_RETRY_S = 0.2
RESUME_ROUNDS = 5
RESUME_PERIOD_MS = 2_000
# Time for a probe to confirm which server is the primary.
PROBE_MS = 1_000


class PrimaryChanger(Service):
    """Service that replaces the primary of one group when it fails or leaves.

    Parameters
    ----------
    group
        The group.
    host, address
        This host, and the address at which only one process of it can listen.
    store, promoter
        The platform's store, for the lease, and its promotion API.
    journal
        Journal of the host.
    eras
        Tracker of the store's era.
    rank
        Returns how many hosts are to finish a lost change before this one.
    """

    def __init__(
        self,
        *,
        group: Group,
        host: HostId,
        address: str,
        store: ObjectStore,
        promoter: Promoter,
        journal: Journal,
        eras: EraTracker,
        rank: Callable[[], int],
    ) -> None:
        super().__init__()
        self.group = group
        self.host = host
        self.promoter = promoter
        self.journal = journal
        self.rank = rank
        self.lease = ChangeLease(
            group=group.group, host=host, address=address, store=store, eras=eras
        )
        self.commands = GroupCommands(group=group)
        self.unresumed: set[ServerId] = set()
        self.resume_tried_at = 0

    @Service.task
    @keep_running
    async def _watch(self) -> None:
        stagger = change_triggers.stagger_ms(self.host, self.group.group)
        while not self.should_stop:
            await asyncio.sleep(TICK_S)
            reason = change_triggers.find_reason(
                self._observe_conditions(), stagger, read_boot_ms()
            )
            if reason is None:
                reason = await self._find_unfinished()
            if reason is None:
                await self._resume_remaining()
                continue
            try:
                await self._change(reason)
            except StoreError as error:
                self._record("waiting", why=f"store: {error}")
                await asyncio.sleep(STORE_RETRY_S)

    def _observe_conditions(self) -> ChangeConditions:
        group = self.group
        if len(group.servers) < 2:
            return ChangeConditions()
        return ChangeConditions(
            leaving_since=group.leaving_since,
            silent_since=group.primary_state.silent_since,
            stalled_since=group.writes.find_stall(),
            no_primary_since=group.no_primary_since,
        )

    async def _find_unfinished(self) -> str | None:
        """Return "unfinished" if a change is to be finished that others left."""
        if self.lease.current is None and self.group.primary is None:
            return None
        try:
            is_abandoned = await self.lease.is_abandoned(self.rank())
            return "unfinished" if is_abandoned else None
        except StoreError as error:
            self._record("waiting", why=f"store: {error}")
            return None

    def observe_lease(self, record: LeaseRecord) -> None:
        """Record a lease from a list that may be older than the one known."""
        self.lease.observe(record)

    def _record(self, phase: str, **details: object) -> None:
        record_phase(self.group, phase, **details)

    # -- change --

    async def _change(self, reason: str) -> None:
        began = read_boot_ms()
        if reason == "stalled" and not await self.commands.is_cut_off():
            self.group.writes.unanswered.clear()
            return
        if reason != "unfinished" and not self._is_needed(reason):
            return
        token = await self.lease.acquire()
        if token is None:
            await asyncio.sleep(STORE_RETRY_S)
            return
        primary_state = self.group.primary_state
        self._record(
            "began", reason=reason, token=token, replaced=primary_state.primary
        )
        attempt = Attempt(
            from_term=primary_state.term,
            started_at=began,
            replaced=primary_state.primary,
            must_step_down=reason in ("leaving", "stalled"),
        )
        while (
            read_boot_ms() - began < primary_change.STEPS_MS and not attempt.requested
        ):
            if not self._is_needed(reason):
                break
            if not await self._take_step(attempt, token):
                break
            await asyncio.sleep(STEP_PAUSE_S)
        await self._finish(attempt, token, reason == "unfinished")

    def _is_needed(self, reason: str) -> bool:
        conditions = self._observe_conditions()
        if reason == "leaving":
            return conditions.leaving_since is not None
        if reason == "silent":
            return conditions.silent_since is not None
        if reason == "headless":
            return conditions.no_primary_since is not None
        if reason == "unfinished":
            return any(
                since is not None
                for since in (
                    conditions.leaving_since,
                    conditions.silent_since,
                    conditions.no_primary_since,
                )
            )
        return True

    def _list_members(self) -> tuple[Member, ...]:
        return tuple(
            Member(server=s.server, leaving=s.leaving)
            for s in self.group.servers.values()
        )

    async def _take_step(self, attempt: Attempt, token: FencingToken) -> bool:
        """Run the next step; return False when the change is abandoned."""
        group = self.group
        now = read_boot_ms()
        since_loss = None
        if group.log_lost_at is not None:
            since_loss = position_history.find_since(
                group.position_history, group.log_lost_at
            )
        step = primary_change.plan_step(
            attempt, self._list_members(), since_loss, group.log_lost_at is None, now
        )
        match step:
            case RequestStatus(servers=servers):
                await self._command_all(attempt, servers, QueryKind.STATUS, Term(0))
            case Pause(servers=servers, term=term):
                self._record("pausing", servers=servers, term=term)
                await self._command_all(attempt, servers, QueryKind.PAUSE, term)
            case StepDown(server=server, term=term):
                self._record("yielding", server=server, term=term)
                await self._command_all(attempt, (server,), QueryKind.STEP_DOWN, term)
            case Promote(server=server):
                await self._promote(attempt, server, token)
            case Wait(why=why):
                self._record("waiting", why=why)
            case Abandon(leader=leader):
                self._record("abandoned", leader=leader)
                group.probe_wanted.set()
                return False
        return True

    async def _promote(
        self, attempt: Attempt, server: ServerId, token: FencingToken
    ) -> None:
        group = self.group.group
        log_position = attempt.statuses[server].log_position
        self._record(
            "promoting",
            server=server,
            token=token,
            mark=f"{log_position.term}.{log_position.position}",
        )
        try:
            accepted = await self.promoter.promote(group, server, self.host, token)
        except StoreError as error:
            # The promotion may still take effect: servers stay paused until that is
            # known.
            attempt.requested = True
            self._record("promotion-unknown", server=server, why=str(error))
            return
        attempt.requested = accepted
        if not accepted:
            attempt.rejected.add(server)
            attempt.target = None
            self._record("promotion-refused", server=server)

    async def _command_all(
        self,
        attempt: Attempt,
        servers: tuple[ServerId, ...],
        kind: QueryKind,
        term: Term,
    ) -> None:
        reports = await self.commands.run_all(servers, kind, term)
        for server in servers:
            report = reports.get(server)
            if report is None:
                primary_change.remove_status(attempt, server)
                continue
            primary_change.update_status(attempt, server, read_status(report))

    async def _confirm(
        self, deadline: int, expected: ServerId | None = None
    ) -> ServerId | None:
        """Wait until a server proves to be the primary from now on.

        Parameters
        ----------
        deadline
            End of the wait, in milliseconds since boot.
        expected
            Server to wait for; any server if None.

        Returns
        -------
        ServerId or None
            The primary, None without proof.
        """
        asked_at = read_boot_ms()
        primary_state = self.group.primary_state
        while read_boot_ms() < deadline:
            primary = primary_state.primary
            is_recent = primary_state.confirmed_at >= asked_at
            if primary is not None and is_recent and expected in (None, primary):
                return primary
            self.group.probe_wanted.set()
            await asyncio.sleep(STEP_PAUSE_S)
        return None

    async def _finish(
        self, attempt: Attempt, token: FencingToken, unfinished: bool
    ) -> None:
        """Resume paused servers and release the lease.

        While a requested promotion may still take effect, servers stay paused: it
        would lose a commit that a resumed server helped to acknowledge. The lease
        then stays open, and the next host to take it finishes the change.
        """
        confirm_until = attempt.started_at + primary_change.CONFIRM_MS
        if attempt.requested and not await self._confirm(confirm_until, attempt.target):
            self._record("unconfirmed", server=attempt.target)
            return
        must_fence = unfinished or (bool(attempt.pause_term) and not attempt.requested)
        if must_fence and not await self._fence(token):
            self._record("ended", outcome="unsettled")
            self.lease.delay_check()
            return
        if await self.lease.write(still_open=True) is None:
            self._record("ended", outcome="lease lost")
            return
        await self._step_down_replaced(attempt)
        self.unresumed = {
            s for s in self.group.servers if s != self.group.primary_state.primary
        }
        for _ in range(RESUME_ROUNDS):
            self.unresumed -= await self.commands.resume(self.unresumed)
            if not self.unresumed:
                break
            await asyncio.sleep(STEP_PAUSE_S)
        await self.lease.release()
        self._record(
            "ended", outcome="settled", primary=self.group.primary_state.primary
        )

    async def _step_down_replaced(self, attempt: Attempt) -> None:
        """Make the replaced primary a replica where it may go on answering."""
        group = self.group
        replaced = attempt.replaced
        is_needed = group.prover is not None and attempt.requested
        if not is_needed or replaced is None or replaced == attempt.target:
            return
        term = Term(max(group.primary_state.term, attempt.from_term + 1))
        self._record("yielding", server=replaced, term=term)
        await self.commands.run(replaced, QueryKind.STEP_DOWN, term)

    async def _fence(self, token: FencingToken) -> bool:
        """Make the platform reject earlier requests; return whether it does.

        Promoting the current primary has no effect but to raise the lowest token
        that the platform accepts. Promoting one that was replaced would undo the
        change, so this returns False unless a server proves to be the primary now.
        """
        primary = await self._confirm(read_boot_ms() + PROBE_MS)
        if primary is None:
            return False
        if self.group.prover is not None:
            # The platform checks no tokens.
            return True
        return await self.promoter.promote(self.group.group, primary, self.host, token)

    async def _resume_remaining(self) -> None:
        """Resume servers that could not be reached when the change ended.

        No other host does this before the next change. When the lease has been
        written since, there is a next change, and its holder resumes them.
        """
        self.unresumed &= set(self.group.servers)
        now = read_boot_ms()
        if not self.unresumed or now - self.resume_tried_at < RESUME_PERIOD_MS:
            return
        self.resume_tried_at = now
        seen = self.lease.seen
        try:
            await self.lease.read()
        except StoreError as error:
            self._record("waiting", why=f"store: {error}")
            return
        if self.lease.seen is not seen:
            self.unresumed.clear()
            return
        self.unresumed -= await self.commands.resume(self.unresumed)
