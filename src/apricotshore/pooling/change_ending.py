"""End of a change of primary: proof of who leads, and the release of the lease."""

import asyncio
from collections.abc import Awaitable, Callable

from ..decisions import lease, log_members
from ..decisions.change_attempt import Attempt
from ..decisions.log_floor import NO_FLOOR
from ..identifiers import HostId, ServerId, Term
from ..queries import QueryKind
from ..services.clock import read_boot_ms
from .change_lease import ChangeLease
from .change_phases import record_fence, record_phase
from .change_steps import ChangeSteps
from .group import Group
from .group_commands import GroupCommands
from .ports import Promoter
from .resumption import Resumption

# Time for a probe to confirm which server is the primary.
PROBE_MS = 1_000
CONFIRM_PAUSE_S = 0.05


class ChangeEnding:
    """Ends the changes of primary of one group.

    Parameters
    ----------
    group, host
        The group and this host.
    lease
        The lease on its change of primary.
    promoter
        The platform's promotion API.
    commands
        Sends commands to the servers of the group.
    resumption
        Resumes servers that were paused.
    find_leader
        Asks who leads; returns the server that proves to, None without one.
    """

    def __init__(
        self,
        *,
        group: Group,
        host: HostId,
        lease: ChangeLease,
        promoter: Promoter,
        commands: GroupCommands,
        resumption: Resumption,
        find_leader: Callable[[], Awaitable[ServerId | None]],
    ) -> None:
        self.group = group
        self.host = host
        self.lease = lease
        self.promoter = promoter
        self.commands = commands
        self.resumption = resumption
        self.find_leader = find_leader

    async def finish(self, work: ChangeSteps, unfinished: bool) -> None:
        """Resume paused servers and release the lease.

        While a requested promotion may still take effect, servers stay paused: it
        would lose a commit that a resumed server helped to acknowledge. The lease
        then stays open, and the next host to take it finishes the change.
        """
        attempt = work.attempt
        if attempt.requested is not None and not work.promotion.is_settled():
            record_phase(self.group, "unconfirmed", server=attempt.requested)
            return
        if attempt.final_end is not None and attempt.requested is None:
            # Nobody leads. The lease stays open, so that this host goes on at once.
            record_phase(self.group, "ended", outcome="no primary")
            return
        if unfinished and attempt.requested is None and not await self._settle(attempt):
            return
        # Carried out later, a request without an answer would have this server lead
        # again after its own successor was requested.
        # So would one of an earlier holder, unless this one's was accepted.
        is_unknown = attempt.requested is not None and not attempt.accepted
        is_unknown |= bool(work.promotion.unanswered)
        if is_unknown and not await self.raise_token():
            record_phase(self.group, "ended", outcome="unsettled")
            self.lease.delay_check()
            return
        if await self.lease.write(still_open=True) is None:
            record_phase(self.group, "ended", outcome="lease lost")
            return
        await self._step_down_replaced(attempt)
        self.resumption.begin(attempt)
        if unfinished or (attempt.pause_term and await self._is_led(attempt)):
            await self.resumption.resume_all()
        self._settle_floor(attempt)
        await self.lease.release()
        record_phase(
            self.group,
            "ended",
            outcome="settled",
            primary=self.group.primary_state.primary,
        )

    def _settle_floor(self, attempt: Attempt) -> None:
        """Drop the floor of an order that took effect: its server leads above it.

        All that was acknowledged is on servers that count, or the position of a primary
        covers it. One that was not replaced may lack what only a silent server has.
        """
        floor = self.lease.floor if attempt.requested is None else NO_FLOOR
        self.lease.floor = log_members.make_floor(self.group.members, floor)

    async def _is_led(self, attempt: Attempt) -> bool:
        """Return whether a server has proved to lead since the change paused others."""
        return attempt.requested is not None or await self.find_leader() is not None

    async def _step_down_replaced(self, attempt: Attempt) -> None:
        """Make the replaced primary a replica where it may go on answering."""
        group = self.group
        replaced = attempt.replaced
        is_needed = group.prover is not None and attempt.requested is not None
        if not is_needed or replaced is None or replaced == attempt.requested:
            return
        term = Term(max(group.primary_state.term, attempt.from_term + 1))
        record_phase(self.group, "yielding", server=replaced, term=term)
        await self.commands.run(replaced, QueryKind.STEP_DOWN, term)

    async def _confirm(self, deadline: int) -> ServerId | None:
        """Wait until a server proves to be the primary from now on.

        Parameters
        ----------
        deadline
            End of the wait, in milliseconds since boot.

        Returns
        -------
        ServerId or None
            The primary, None without proof.
        """
        asked_at = read_boot_ms()
        primary_state = self.group.primary_state
        while read_boot_ms() < deadline:
            primary = primary_state.primary
            if primary is not None and primary_state.confirmed_at >= asked_at:
                return primary
            self.group.probe_wanted.set()
            await asyncio.sleep(CONFIRM_PAUSE_S)
        return None

    async def _settle(self, attempt: Attempt) -> bool:
        """Return whether a change that others left may end with who leads now.

        Every request names the target that its lease records. So only a lease that a
        restored store has lost leaves requests that this host doesn't know.
        """
        # The waits below may take longer than the rest of the lease.
        if await self.lease.extend() is None:
            record_phase(self.group, "ended", outcome="lease lost")
            return False
        if await self._wait_until_led(attempt.inherited):
            return True
        record_phase(self.group, "ended", outcome="unsettled")
        self.lease.delay_check()
        return False

    async def _wait_until_led(self, inherited: ServerId | None) -> bool:
        """Wait until no earlier request can replace who leads; return whether so."""
        primary = await self._confirm(read_boot_ms() + PROBE_MS)
        if primary is None or inherited not in (None, primary):
            return False
        if primary == inherited:
            return await self.raise_token()
        if self.lease.follows_lost and not await self.raise_token():
            return False
        record_phase(self.group, "awaiting", primary=primary)
        await asyncio.sleep(lease.PROMOTION_MS / 1000)
        return await self._confirm(read_boot_ms() + PROBE_MS) is not None

    async def raise_token(self) -> bool:
        """Make the platform reject earlier requests; return whether it does.

        Promoting the server that leads changes nothing but the lowest token that the
        platform accepts. One that leads no more would be promoted, so it has to lead
        before and after, and is the target that the lease records: if it doesn't, the
        next change steps the leader down and follows that promotion.
        """
        primary = await self._confirm(read_boot_ms() + PROBE_MS)
        if primary is None:
            return False
        # Without a prover the platform checks tokens.
        if self.group.prover is not None:
            return True
        known = self.group.members.counted.get(primary)
        token = await self.lease.write(still_open=True, target=primary)
        if token is None or not self.lease.is_held(read_boot_ms()):
            record_phase(self.group, "lease-expired")
            return False
        if self.group.members.counted.get(primary) != known:
            record_phase(self.group, "waiting", why=f"{primary} has started anew")
            return False
        record_fence(self.group, self.lease.floor, primary, token)
        group = self.group.group
        if not await self.promoter.promote(group, primary, self.host, token):
            return False
        return await self._confirm(read_boot_ms() + PROBE_MS) == primary
