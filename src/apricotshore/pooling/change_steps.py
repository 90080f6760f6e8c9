"""Steps of one change of primary: their plan, their dispatch and the promotion."""

import asyncio
from collections.abc import Awaitable, Callable

from ..decisions import (
    commit_barrier,
    log_members,
    needed_end,
    order_effect,
    primary_change,
    primary_return,
)
from ..decisions.change_actions import (
    Abandon,
    AskOthers,
    Hold,
    ListServers,
    Pause,
    Promote,
    Quiesce,
    RecordTarget,
    RequestStatus,
    Resume,
    Seal,
    Secure,
    Step,
    StepDown,
    Wait,
)
from ..decisions.change_attempt import Attempt
from ..decisions.lease import FormerPrimaries
from ..decisions.lost_logs import find_lost_end
from ..identifiers import FencingToken, HostId, ServerId, Term
from ..queries import QueryKind
from ..services.clock import read_boot_ms
from . import group_members, log_waits
from .change_commands import STATUS_PAUSE_S, ChangeCommands
from .change_lease import ChangeLease
from .change_phases import record_order, record_phase
from .change_rounds import ChangeRounds
from .change_searches import EFFECT_PAUSE_S, ChangeSearches
from .detours import Detours
from .group import Group
from .group_commands import NO_TERM, GroupCommands
from .ports import Promoter, StoreError
from .promotion_request import PromotionRequest
from .supervision import end_tasks
from .write_barrier import WriteBarrier

# Pause after the first of several answers: the others often come with it.
ANSWER_PAUSE_S = 0.003


class ChangeSteps:
    """Runs the steps of one change of primary while its host holds the lease.

    Parameters
    ----------
    group
        The group.
    host
        This host.
    lease, token
        The lease, which this host holds, and its fencing token.
    promoter
        The platform's promotion API.
    commands
        Sends commands to the servers of the group.
    refresh_servers
        Reads the list of servers in the store anew.
    detours
        Reaches servers through other hosts.
    barrier
        Has all hosts send nothing more to a primary.
    attempt
        The change.
    """

    def __init__(
        self,
        *,
        group: Group,
        host: HostId,
        lease: ChangeLease,
        promoter: Promoter,
        commands: GroupCommands,
        refresh_servers: Callable[[], Awaitable[None]],
        detours: Detours,
        barrier: WriteBarrier,
        attempt: Attempt,
        token: FencingToken,
    ) -> None:
        self.group = group
        self.lease = lease
        self.commands = commands
        self.attempt = attempt
        self.token = token
        self.leased_at = read_boot_ms()
        self.last_phase: tuple[object, ...] = ()
        self.sending = ChangeCommands(
            group=group, commands=commands, attempt=attempt, record=self._record
        )
        self.rounds = ChangeRounds(
            lease=lease, barrier=barrier, attempt=attempt, record=self._record
        )
        self.promotion = PromotionRequest(
            group=group, host=host, promoter=promoter, attempt=attempt
        )
        self.searches = ChangeSearches(
            group=group,
            attempt=attempt,
            commands=self.sending,
            promotion=self.promotion,
            refresh_servers=refresh_servers,
            detours=detours,
            is_held=self.is_held,
            record=self._record,
        )

    def may_go_on(self, is_needed: bool) -> bool:
        """Return whether another step is due.

        Parameters
        ----------
        is_needed
            Whether the reason for the change still holds. Once the primary has
            stepped down, or a promotion was requested, the change goes on anyway,
            but not beyond the lease.
        """
        attempt = self.attempt
        if not self.is_held():
            return False
        now = read_boot_ms()
        age = now - attempt.started_at
        if attempt.requested is not None:
            is_late = age >= primary_change.CONFIRM_MS
            is_late &= now - self.promotion.made_at >= primary_change.FOLLOW_MS
            is_late &= not order_effect.may_be_followed(attempt, now)
            limit = attempt.started_at + primary_change.find_limit(attempt)
            is_late &= not order_effect.is_refusal_followed(attempt, limit, now)
            return not is_late and not self.promotion.is_settled()
        has_none = attempt.final_end is not None or attempt.has_lost_lead
        has_none |= attempt.ineffective is not None
        if not is_needed and self.group.primary == attempt.replaced:
            primary_return.observe_return(attempt, now)
        is_needed |= attempt.returns_often or attempt.returned_at is not None
        return (has_none or is_needed) and age < primary_change.find_limit(attempt)

    def is_held(self) -> bool:
        """Return whether this host still holds the lease; record it when it doesn't."""
        is_held = self.lease.is_held(read_boot_ms())
        if not is_held:
            self._record("lease-expired")
        return is_held

    def is_critical(self) -> bool:
        """Return whether the others have to be held until a promotion takes effect."""
        attempt = self.attempt
        if attempt.requested is not None:
            return not self.promotion.is_settled()
        return attempt.final_end is not None or attempt.has_lost_lead

    async def take_step(self) -> bool:
        """Run the next step; return False when the change ends with it."""
        if not self.promotion.observe() or self.promotion.has_no_effect():
            return False
        group_members.observe_primary_end(self.group, self.attempt, self.leased_at)
        match self._plan():
            case Promote(server=server, waived=waived):
                return await self._promote(server, waived)
            case RecordTarget(server=server):
                return await self._record_target(server)
            case Abandon(leader=leader):
                self._record("abandoned", leader=leader)
                self.group.probe_wanted.set()
                return False
            case step:
                await self._run(step)
                return True

    def _plan(self) -> Step:
        state = self.group.members
        members = group_members.list_members(self.group)
        self.attempt.knows_members = not state.is_assumed
        self.attempt.lost_count = log_members.count_lost(state)
        led_at = self.group.primary_state.confirmed_at
        samples = self.group.position_history.samples
        self.attempt.holds_commits = any(sample.position for sample in samples)
        self.attempt.new_servers = needed_end.list_new(state, led_at)
        step = primary_change.plan_step(
            self.attempt, members, find_lost_end(state), read_boot_ms()
        )
        log_waits.observe_step(self.group, self.attempt, members)
        return step

    async def _run(self, step: Step) -> None:
        match step:
            case RequestStatus(servers=servers):
                await self.sending.command_all(servers, QueryKind.STATUS)
                await asyncio.sleep(STATUS_PAUSE_S)
            case Pause(servers=servers, term=term):
                self._record("pausing", servers=servers, term=term)
                self.searches.begin_detour(term)
                self.rounds.begin_sealing(
                    commit_barrier.list_led(self.attempt), self.token
                )
                await self.sending.command_all(servers, QueryKind.PAUSE, term)
            case Resume(server=server):
                await self._resume(server)
            case Secure():
                await self._secure(step)
            case StepDown(server=server, term=term):
                await self._step_down(server, term)
            case Hold():
                await self._hold(step)
            case _:
                await self._run_beyond_group(step)

    async def _run_beyond_group(self, step: Step) -> None:
        """Run a step that involves other hosts or the store, or just waits."""
        match step:
            case Quiesce(server=server):
                await self._quiesce(server)
            case Seal():
                await self._seal(step)
            case AskOthers(server=server, term=term):
                await self.searches.ask_others(server, term)
            case ListServers():
                await self.searches.list_servers()
            case Wait(why=why):
                self._record("waiting", why=why)
                self.group.probe_wanted.set()
                await asyncio.sleep(EFFECT_PAUSE_S)

    def _record(self, phase: str, **details: object) -> None:
        """Record a phase, once while it repeats."""
        if self.last_phase != (phase, details):
            self.last_phase = (phase, details)
            record_phase(self.group, phase, **details)

    async def stop(self) -> None:
        """End the commands that still run: a late pause would outlast the change."""
        await end_tasks(
            *self.sending.list_running(),
            self.searches.detour,
            self.searches.search,
            self.rounds.sealing,
            self.promotion.call,
        )

    async def _secure(self, step: Secure) -> None:
        """Pause servers beside asking others, and wait for the first answer."""
        if step.paused:
            self._record("pausing", servers=step.paused, term=step.term)
        self.sending.send_beside(step)
        if self.sending.sent:
            await asyncio.wait(
                self.sending.sent.values(),
                timeout=STATUS_PAUSE_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        is_sealed = self.attempt.barrier is not None
        await asyncio.sleep(STATUS_PAUSE_S if is_sealed else ANSWER_PAUSE_S)

    async def _resume(self, server: ServerId) -> None:
        """Have a server receive again, and ask what it holds by then."""
        self._record("resuming", server=server)
        await self.commands.resume_paused(server)
        await self.sending.command(server, QueryKind.STATUS, NO_TERM)

    async def _quiesce(self, server: ServerId) -> None:
        await self.rounds.quiesce(server, self.token)

    async def _seal(self, step: Seal) -> None:
        """Have all hosts confirm that former primaries can't answer them."""
        self.sending.send_beside(step.beside)
        is_named_late, self.token = await self.rounds.name_led(self.token)
        await self.rounds.seal(step.servers, self.token, is_named_late)

    async def reopen(self) -> None:
        """Have hosts send again to a primary that was not replaced, or leads again."""
        await self.rounds.reopen(self.token, self.promotion.is_settled())

    async def _step_down(self, server: ServerId, term: Term) -> None:
        self._record("yielding", server=server, term=term)
        self.attempt.told_at = read_boot_ms()
        await self.sending.command(server, QueryKind.STEP_DOWN, term)
        end = self.attempt.final_end
        if end is None:
            await asyncio.sleep(STATUS_PAUSE_S)
            return
        self._record("yielded", server=server, mark=f"{end.term}.{end.position}")

    async def _hold(self, step: Hold) -> None:
        self._record("holding", servers=step.servers, primary=step.primary)
        self.attempt.held = True
        for server in step.servers:
            self.sending.hold(server, QueryKind.PAUSE, step.term)
        if step.primary is not None:
            self.sending.hold(step.primary, QueryKind.STEP_DOWN, step.term)
            self.searches.begin_search(step.primary, step.term)
        self.searches.begin_late_list()
        if step.asked is not None:
            self.sending.hold(step.asked, QueryKind.STATUS, NO_TERM)
        self.group.probe_wanted.set()
        await asyncio.sleep(EFFECT_PAUSE_S)

    async def _record_target(self, server: ServerId) -> bool:
        """Record the target in the lease; return False if the lease is lost."""
        former = commit_barrier.list_led(self.attempt)
        self.lease.name_former(
            FormerPrimaries(servers=former, term=self.attempt.from_term)
        )
        self.lease.floor = self.attempt.floor
        try:
            token = await self.lease.write(still_open=True, target=server)
        except StoreError as error:
            self._record("waiting", why=f"store: {error}")
            self.attempt.recorded = None
            await asyncio.sleep(EFFECT_PAUSE_S)
            return True
        if token is None:
            self._record("lease-lost", server=server)
            return False
        self.token = token
        self.attempt.recorded = server
        return True

    async def _promote(self, server: ServerId, waived: tuple[ServerId, ...]) -> bool:
        """Begin to request a promotion; return False without the lease."""
        if not self.is_held():
            return False
        if waived:
            self._record("waived", servers=waived, why="no pause in time")
        proof = commit_barrier.find_proof(self.attempt)
        self._record("sealed", by=proof.value)
        record_order(self.group, self.attempt, server, proof)
        await self.promotion.make(server, self.token, EFFECT_PAUSE_S)
        return True
