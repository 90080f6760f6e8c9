"""Changes of primary: taking the lease, pausing replicas, promoting a server."""

import asyncio
from collections.abc import Awaitable, Callable

from mode import Service

from ..decisions import change_triggers, log_members, order_effect, relays
from ..decisions.change_attempt import Attempt
from ..identifiers import FencingToken, HostId
from ..services.clock import read_boot_ms
from ..services.eras import EraTracker
from . import group_members, log_waits
from .change_ending import ChangeEnding
from .change_lease import ChangeLease
from .change_phases import end_promotion, record_phase
from .change_reasons import ChangeReasons
from .change_steps import ChangeSteps
from .detours import Detours
from .group import Group
from .group_commands import GroupCommands
from .holder_checker import HolderChecker
from .journal import Journal
from .member_recorder import MemberRecorder
from .ports import ObjectStore, Promoter, StoreError
from .resumption import Resumption
from .silence_checker import SilenceChecker
from .stall_checker import StallChecker
from .stored_objects import LeaseRecord
from .supervision import keep_running
from .write_barrier import WriteBarrier

TICK_S = 0.1
STEP_PAUSE_S = 0.05
STORE_RETRY_S = 0.2
# Longest wait of a stop for a promotion to take effect.
STOP_WAIT_MS = 1_500
# Longest delay of a stop by the write that leaves the lease to others.
HAND_ON_S = 0.5


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
    refresh_servers
        Reads the list of servers in the store anew.
    detours
        Reaches servers through other hosts.
    barrier
        Has all hosts send nothing more to a primary.
    on_lease
        Called with the lease each time that it was read or written.
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
        refresh_servers: Callable[[], Awaitable[None]],
        detours: Detours,
        barrier: WriteBarrier,
        on_lease: Callable[[LeaseRecord], None] = lambda record: None,
    ) -> None:
        super().__init__()
        self.group = group
        self.host = host
        self.promoter = promoter
        self.journal = journal
        self.rank = rank
        self.refresh_servers = refresh_servers
        self.detours = detours
        self.barrier = barrier
        self.lease = ChangeLease(
            group=group.group,
            host=host,
            address=address,
            store=store,
            eras=eras,
            record=self._record,
            on_lease=self._take_lease,
            make_floor=lambda floor: log_members.make_floor(group.members, floor),
        )
        self.on_lease = on_lease
        self.commands = GroupCommands(group=group, is_held=self.lease.is_held)
        self.silence = SilenceChecker(group=group, detours=detours)
        self.holders = HolderChecker(
            group=group, lease=self.lease, barrier=barrier, rank=rank
        )
        self.reasons = ChangeReasons(
            group=group, lease=self.lease, silence=self.silence
        )
        self.resumption = Resumption(
            group=group,
            host=host,
            lease=self.lease,
            commands=self.commands,
            count_hosts=lambda: len(detours.fleet.hosts),
            find_leader=self.reasons.find_leader,
        )
        self.members = MemberRecorder(group=group, lease=self.lease, rank=rank)
        self.stalls = StallChecker(
            group=group,
            commands=self.commands,
            ask_others=detours.read_report,
            resume=self.resumption.resume_stalled,
        )
        self.ending = ChangeEnding(
            group=group,
            host=host,
            lease=self.lease,
            promoter=promoter,
            commands=self.commands,
            resumption=self.resumption,
            find_leader=self.reasons.find_leader,
        )
        # Whether the host stops, and leaves new changes to others.
        self.is_draining = False
        self.work: ChangeSteps | None = None

    async def on_stop(self) -> None:
        """Wait for a promotion to take effect, and for the answers to RESUMEs.

        Until the effect this host holds the other servers; nobody does once it has
        ended. A host that has drained has waited for that already.
        """
        await self.silence.stop()
        await self.holders.stop()
        deadline = read_boot_ms() + STOP_WAIT_MS
        while self.is_critical and not self.is_draining and read_boot_ms() < deadline:
            await asyncio.sleep(STEP_PAUSE_S)
        self.commands.is_stopping = True
        while self.commands.resuming:
            await asyncio.sleep(STEP_PAUSE_S)

    async def on_shutdown(self) -> None:
        """Leave an unfinished change to other hosts, once its commands have ended."""
        try:
            async with asyncio.timeout(HAND_ON_S):
                await self.lease.hand_on()
        except TimeoutError:
            self._record("lease-unknown", why="the host stops")

    @Service.task
    @keep_running
    async def _watch(self) -> None:
        group = self.group
        stagger = change_triggers.stagger_ms(self.host, group.group)
        while not self.should_stop:
            await asyncio.sleep(TICK_S)
            group.check_loop()
            self.silence.ask()
            self.reasons.observe_silence()
            reason = change_triggers.find_reason(
                self.reasons.observe_conditions(), stagger, read_boot_ms()
            )
            if reason == "silent" and self.silence.awaits_reply:
                continue
            if reason is None:
                reason = await self._find_unfinished()
            if reason is None:
                await self.members.record()
            if reason is None or self._leaves_changes:
                await self.resumption.resume_remaining()
                if not self.is_draining:
                    await self.resumption.resume_left()
                continue
            try:
                await self._change(reason)
                end_promotion(group, "lease lost")
            except StoreError as error:
                self._record("waiting", why=f"store: {error}")
                end_promotion(group, "store lost")
                await asyncio.sleep(STORE_RETRY_S)

    @Service.task
    @keep_running
    async def _check_silence(self) -> None:
        """Ask other hosts, also amid a change for another reason."""
        while not self.should_stop:
            await asyncio.sleep(TICK_S)
            self.holders.ask()
            if self.work is None or not self.work.attempt.is_silent:
                self.silence.ask()

    @property
    def _leaves_changes(self) -> bool:
        """Whether a change is left to the other hosts, if there are any."""
        has_others = relays.has_others(self.detours.fleet)
        return self.is_draining and has_others and not self.lease.is_own_open

    @property
    def is_critical(self) -> bool:
        """Whether this host has ended a primary's lead or requested a promotion."""
        return self.work is not None and self.work.is_critical()

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
        if record.era != self.lease.eras.era:
            group_members.observe_lease(self.group, record)
        self.lease.observe(record)

    def _take_lease(self, record: LeaseRecord) -> None:
        """Take a lease that was read or written, and tell those that follow it."""
        if record.holder != self.lease.holder:
            group_members.observe_lease(self.group, record)
        else:
            log_members.observe_named(self.group.members, record.floor, record.era)
        log_waits.observe_lease(self.group, record, self.lease.holder)
        self.on_lease(record)

    def _record(self, phase: str, **details: object) -> None:
        record_phase(self.group, phase, **details)

    # -- change --

    async def _change(self, reason: str) -> None:
        began = read_boot_ms()
        if reason == "stalled" and not await self.stalls.is_cut_off():
            self.group.writes.unanswered.clear()
            return
        if reason != "unfinished" and not self.reasons.is_needed(reason):
            return
        former = self.reasons.find_former()
        token = None if self.should_stop else await self.lease.acquire(former)
        if token is None:
            await asyncio.sleep(STORE_RETRY_S)
            return
        leased_at = read_boot_ms()
        is_confirmed = await self.reasons.confirm(reason)
        token = await self._name_former(token)
        if token is None:
            return
        began += read_boot_ms() - leased_at
        attempt = self.reasons.make_attempt(reason, began)
        self.commands.begin_change()
        self._record(
            "began",
            reason=reason,
            token=token,
            replaced=attempt.replaced,
            inherited=attempt.inherited,
            term=attempt.from_term,
        )
        work = self._make_steps(attempt, token)
        if not is_confirmed:
            self._record("abandoned", leader=self.group.primary)
        try:
            if is_confirmed:
                await self._take_steps(work, reason)
            if work.is_held() and work.promotion.has_no_effect():
                work = await self._choose_another(work, reason)
        finally:
            self.work = None
        work.promotion.record_settled()
        if not work.is_held():
            return
        self.commands.end_change()
        await work.reopen()
        # An open lease may have left a request, whatever this change began for.
        is_unfinished = reason == "unfinished" or attempt.inherited is not None
        await self.ending.finish(work, is_unfinished or work.attempt is not attempt)

    def _make_steps(self, attempt: Attempt, token: FencingToken) -> ChangeSteps:
        return ChangeSteps(
            group=self.group,
            host=self.host,
            lease=self.lease,
            promoter=self.promoter,
            commands=self.commands,
            refresh_servers=self.refresh_servers,
            detours=self.detours,
            barrier=self.barrier,
            attempt=attempt,
            token=token,
        )

    async def _take_steps(self, work: ChangeSteps, reason: str) -> None:
        self.work = work
        try:
            while await self._is_to_go_on(work, reason):
                if await work.take_step():
                    continue
                if not await work.searches.find_late_step_down():
                    break
        finally:
            await work.stop()

    async def _is_to_go_on(self, work: ChangeSteps, reason: str) -> bool:
        """Return whether another step is due, once nothing sent is on its way."""
        may_go_on = work.may_go_on(self.reasons.is_needed(reason))
        return may_go_on or await work.searches.find_late_step_down()

    async def _choose_another(self, work: ChangeSteps, reason: str) -> ChangeSteps:
        """Promote another server than one whose accepted promotion took no effect.

        Nobody leads, and no order may take effect any more: it is a new change, with
        barriers of its own. Return its steps, the former ones if the lease is lost.
        """
        self._record("without-effect", server=work.attempt.requested)
        token = await self.lease.extend()
        if token is None:
            return work
        term = self.group.primary_state.term
        attempt = order_effect.make_next_attempt(
            work.attempt, self.lease.floor, term, read_boot_ms()
        )
        another = self._make_steps(attempt, token)
        await self._take_steps(another, reason)
        return another

    async def _name_former(self, token: FencingToken) -> FencingToken | None:
        """Name a primary found since in the lease; return its token if it is held."""
        former = self.reasons.find_former()
        if set(former.servers) <= set(self.lease.former.servers):
            return token
        self.lease.name_former(former)
        return await self.lease.extend()
