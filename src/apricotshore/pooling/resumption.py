"""Resumption of the servers that a change of primary has paused."""

import asyncio
from collections.abc import Awaitable, Callable

from ..decisions import change_triggers, left_pauses
from ..decisions.change_attempt import Attempt
from ..decisions.change_triggers import PausedStall
from ..decisions.lease import FormerPrimaries
from ..decisions.left_pauses import LeftPauses
from ..identifiers import HostId, ServerId, Term
from ..queries import Query, QueryKind, ServerReport
from ..services.clock import read_boot_ms
from .change_lease import ChangeLease
from .change_phases import record_phase
from .group import Group
from .group_commands import COMMAND_TIMEOUT_MS, GroupCommands
from .pool import ServerPool
from .pooled_connection import NoConnectionError
from .ports import ConnectionLostError, StoreError

# Time for paused servers to learn who leads; one may only learn it once resumed.
LEARN_MS = 200
# Rounds and time for the rest after that: the last RESUME ends within the lease.
ROUNDS = 5
RESUME_MS = 1_500
ROUND_PAUSE_S = 0.05
RETRY_MS = 2_000
# The same while a server may be paused yet.
LATE_RETRY_MS = 200
# Time between two checks whether it is this host's turn to look.
TURN_CHECK_MS = 500
# Callers' statements come first.
LOOK_PRIORITY = 1

# Whether a server may be resumed, by its report, and what asks who leads for that.
MayResume = Callable[[ServerReport], bool]
FindLed = Callable[[], Awaitable[MayResume | None]]


class Resumption:
    """Resumes servers at the end of a change, and later those it could not reach.

    Parameters
    ----------
    group, host
        The group and this host.
    lease
        The lease on its change of primary.
    commands
        Sends commands to its servers.
    count_hosts
        Returns how many hosts there are.
    find_leader
        Asks who leads; returns the server that proves to, None without one.

    Attributes
    ----------
    unresumed
        Servers that are to be found not paused.
    """

    def __init__(
        self,
        *,
        group: Group,
        host: HostId,
        lease: ChangeLease,
        commands: GroupCommands,
        count_hosts: Callable[[], int],
        find_leader: Callable[[], Awaitable[ServerId | None]],
    ) -> None:
        self.group = group
        self.host = host
        self.lease = lease
        self.commands = commands
        self.count_hosts = count_hosts
        self.find_leader = find_leader
        self.unresumed: set[ServerId] = set()
        self.tried_at = 0
        self.left = LeftPauses()
        self.stall = PausedStall()
        self.checked_at = 0

    def begin(self, attempt: Attempt) -> None:
        """List the servers that are to be found not paused.

        An earlier change may have left one paused that it could not reach.
        """
        unlisted = self.group.unlisted.keys() & attempt.statuses.keys()
        known = {*self.group.servers, *unlisted}
        self.unresumed = known - {self.group.primary_state.primary}

    async def resume_all(self) -> None:
        """Resume servers that show a pause once they have learnt who leads.

        One that has not would receive from the former primary, and help it to
        acknowledge what it has stored last.
        """
        until = read_boot_ms() + LEARN_MS
        term = self.group.primary_state.term
        servers = sorted(self.unresumed)
        await asyncio.gather(*(self._resume(s, term, until) for s in servers))

    async def _resume(self, server: ServerId, term: Term, until: int) -> None:
        """Resume a server once it has adopted a term, or the time for that is over."""

        def has_learnt(report: ServerReport) -> bool:
            return report.term >= term or read_boot_ms() >= until

        rounds = ROUNDS
        while rounds and read_boot_ms() < until + RESUME_MS:
            if not self.lease.is_held(read_boot_ms()):
                self._record("lease-expired", unresumed=server)
                return
            reply = await self.commands.resume_paused(server, has_learnt)
            report = reply.report
            # A pause that is on its way is refused by a server that has learnt it.
            if report and not report.paused_term and has_learnt(report):
                if not self._may_be_paused(server):
                    self.unresumed.discard(server)
                return
            if report is None and not reply.refused and read_boot_ms() >= until:
                return
            if read_boot_ms() >= until:
                rounds -= 1
            await asyncio.sleep(ROUND_PAUSE_S)

    async def resume_remaining(self) -> None:
        """Resume servers that could not be reached when the change ended.

        When the lease has been written since, there is a next change, and its holder
        resumes them.
        """
        self.unresumed &= {*self.group.servers, *self.group.unlisted}
        now = read_boot_ms()
        is_late = any(map(self._may_be_paused, self.unresumed))
        retry_ms = LATE_RETRY_MS if is_late else RETRY_MS
        if not self.unresumed or now - self.tried_at < retry_ms:
            return
        self.tried_at = now
        try:
            if not await self.lease.is_released():
                self.unresumed.clear()
                return
            late = set(filter(self._may_be_paused, self.unresumed))
            running, paused = await self._find_paused(self.unresumed)
            self.unresumed -= running - late
            if paused and not await self._resume_alone(paused):
                self.unresumed.clear()
        except StoreError as error:
            self._record("waiting", why=f"store: {error}")

    async def _find_paused(
        self, servers: set[ServerId]
    ) -> tuple[set[ServerId], set[ServerId]]:
        """Return which servers are found not paused, and which paused."""
        found = await self.commands.run_all(sorted(servers), QueryKind.STATUS)
        paused = {s for s, report in found.items() if report.paused_term}
        return set(found) - paused, paused

    async def resume_left(self) -> None:
        """Look for servers that other hosts left paused, at this host's turn."""
        host, group = self.host, self.group.group
        now = read_boot_ms()
        if now - self.checked_at < TURN_CHECK_MS:
            return
        self.checked_at = now
        if not left_pauses.is_due(self.left, host, group, self.count_hosts(), now):
            return
        primary_state, current = self.group.primary_state, self.lease.current
        is_led = primary_state.primary is not None
        is_led &= primary_state.silent_since is None
        if not is_led or (current is not None and current.open):
            left_pauses.skip(self.left, now)
            return
        paused = await self._look()
        left = left_pauses.observe(self.left, paused, read_boot_ms())
        if not left:
            return
        try:
            stored = await self.lease.read()
            # An open change resumes its own, and so does the one after a restore.
            if stored is not None and not stored.open:
                self._record("left-paused", servers=left)
                if not await self._resume_alone(set(left)):
                    self.unresumed.clear()
        except StoreError as error:
            self._record("waiting", why=f"store: {error}")

    async def _look(self) -> dict[ServerId, Term]:
        """Return the replicas that answer that they are paused, with their terms."""
        now = read_boot_ms()
        replicas = {
            server: pool
            for server, pool in self.group.pools.items()
            if server != self.group.primary and pool.load.silent_until <= now
        }
        terms = await asyncio.gather(*map(self._read_paused_term, replicas.values()))
        return {s: t for s, t in zip(replicas, terms, strict=True) if t}

    async def _read_paused_term(self, pool: ServerPool) -> Term | None:
        try:
            answer = await pool.run_alone(
                Query(kind=QueryKind.STATUS), LOOK_PRIORITY, COMMAND_TIMEOUT_MS
            )
        except (NoConnectionError, ConnectionLostError):
            # A server without a status shows nothing; the next host asks again.
            return None
        return None if answer.report is None else answer.report.paused_term

    async def resume_stalled(self, paused: list[ServerId]) -> bool:
        """Resume replicas that keep the commits of a primary waiting.

        A change that is open holds them. No order is on its way after one that ended,
        so that a replica which has learnt the term of the known primary may be resumed
        although that is too full to answer.

        Returns
        -------
        bool
            Whether the primary is to stay, as they may receive soon.

        Raises
        ------
        StoreError
            When the store gave no answer.
        """
        if not change_triggers.may_resume(self.stall, read_boot_ms()):
            return False
        stored = await self.lease.read()
        if stored is None or stored.open:
            return False
        self._record("stall-paused", servers=paused)
        await self._resume_alone(set(paused), find_led=self._find_stalled_led)
        return True

    async def _find_stalled_led(self) -> MayResume | None:
        leader, state = await self.find_leader(), self.group.primary_state
        if state.primary is None:
            return None
        is_late = read_boot_ms() - self.stall.since >= LEARN_MS

        def has_learnt(report: ServerReport) -> bool:
            return report.term >= state.term or (leader is not None and is_late)

        return has_learnt

    async def _find_led(self) -> MayResume | None:
        leader = await self.find_leader()
        return None if leader is None else lambda report: True

    async def _resume_alone(
        self,
        paused: set[ServerId],
        find_led: FindLed | None = None,
    ) -> bool:
        """Resume servers while no host can begin a change, if a server leads.

        Parameters
        ----------
        paused
            The servers.
        find_led
            Asks who leads; returns what tells by its report whether a server may be
            resumed, None if none may.

        Returns
        -------
        bool
            Whether this host got the lease.
        """
        # One that names none has hosts that start send writes to no server at all.
        named = FormerPrimaries(servers=tuple(sorted(paused)))
        if await self.lease.acquire(named) is None:
            return False
        if self.lease.target is not None:
            # Left open by another host since it was read: a change is to be finished.
            await self.lease.hand_on()
            return True
        may_resume = await (find_led or self._find_led)()
        if may_resume is not None:
            await self._resume_each(sorted(paused), may_resume)
        await self.lease.release()
        return True

    async def _resume_each(
        self, servers: list[ServerId], may_resume: MayResume
    ) -> None:
        replies = await asyncio.gather(
            *(self.commands.resume_paused(s, may_resume) for s in servers)
        )
        for server, reply in zip(servers, replies, strict=True):
            is_resumed = reply.report is not None and not reply.report.paused_term
            if is_resumed and not self._may_be_paused(server):
                self.unresumed.discard(server)

    def _may_be_paused(self, server: ServerId) -> bool:
        """Return whether a PAUSE of a change that has ended may be on its way."""
        late = self.commands.late_pauses.get(server)
        return left_pauses.may_come(late, self.group.primary_state.term, read_boot_ms())

    def _record(self, phase: str, **details: object) -> None:
        record_phase(self.group, phase, **details)
