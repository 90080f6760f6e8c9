"""Searches of one change: for servers, other ways to a primary, a late step-down."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine

from ..decisions.change_attempt import Attempt
from ..identifiers import ServerId, Term
from ..queries import QueryKind, ServerReport
from ..services.clock import read_boot_ms
from .change_commands import ChangeCommands
from .detours import Detours
from .group import Group
from .group_commands import NO_TERM
from .ports import StoreError
from .promotion_request import PromotionRequest

EFFECT_PAUSE_S = 0.05
# An order that shows no effect for this long has the servers listed, with a pause.
LATE_EFFECT_MS = 1_000
LATE_LIST_PAUSE_S = 0.5
# Longest wait for servers that the store no longer lists; most of them are gone.
UNLISTED_WAIT_S = 0.2
# Longest time for which a command waits at a server that answers again.
LATE_COMMAND_MS = 1_000


class ChangeSearches:
    """Lists servers in one change of primary, and asks one through other hosts.

    Parameters
    ----------
    group
        The group.
    attempt
        The change, which learns what was found.
    commands
        Commands of the change.
    promotion
        Its request for a promotion.
    refresh_servers
        Reads the list of servers in the store anew.
    detours
        Reaches servers through other hosts.
    is_held
        Returns whether this host still holds the lease.
    record
        Records a phase of the change.
    """

    def __init__(
        self,
        *,
        group: Group,
        attempt: Attempt,
        commands: ChangeCommands,
        promotion: PromotionRequest,
        refresh_servers: Callable[[], Awaitable[None]],
        detours: Detours,
        is_held: Callable[[], bool],
        record: Callable[..., None],
    ) -> None:
        self.group = group
        self.attempt = attempt
        self.commands = commands
        self.promotion = promotion
        self.refresh_servers = refresh_servers
        self.detours = detours
        self.is_held = is_held
        self.record = record
        # Answers of a silent primary through other hosts, once they were asked.
        self.detour: asyncio.Task[tuple[ServerReport, ...]] | None = None
        # Search for new servers and for the primary while a promotion is awaited.
        self.search: asyncio.Task[None] | None = None

    async def list_servers(self) -> None:
        """Read the list of servers anew, and wait a moment for those that it lacks."""
        try:
            await self.refresh_servers()
        except StoreError as error:
            self.record("waiting", why=f"store: {error}")
            await asyncio.sleep(EFFECT_PAUSE_S)
            return
        if self.commands.sent:
            await asyncio.wait(self.commands.sent.values(), timeout=UNLISTED_WAIT_S)
        self.attempt.listed = True

    async def ask_others(self, server: ServerId, term: Term) -> None:
        """Have a silent primary step down through other hosts, if one reaches it."""
        self.attempt.asked_others = True
        self.begin_detour(term)
        if self.detour is None:
            return
        asked_at = read_boot_ms()
        reports = await self.detour
        for report in reports:
            self.commands.update_status(server, report, asked_at)
        end = self.attempt.final_end
        mark = f"{end.term}.{end.position}" if end is not None else ""
        self.record("asked-others", server=server, answers=len(reports), mark=mark)

    def begin_detour(self, term: Term) -> None:
        """Have other hosts ask a silent primary, beside the pauses."""
        silent = self.attempt.replaced
        if self.detour is not None or silent is None or silent in self.attempt.statuses:
            return
        pool = self.group.find_pool(silent)
        if pool is not None:
            self.attempt.told_at = read_boot_ms()
            self.detour = asyncio.get_running_loop().create_task(
                self.detours.step_down(pool.server, term, self.is_held)
            )

    def begin_late_list(self) -> None:
        """List the servers where no effect is seen: the target may be too full to say.

        Its entry tells that it leads, so that this host sends it writes.
        """
        target = self.attempt.requested
        is_late = read_boot_ms() - self.promotion.made_at >= LATE_EFFECT_MS
        if is_late and target is not None:
            self._begin(target, self._list_late)

    async def _list_late(self) -> None:
        await self.list_servers()
        await asyncio.sleep(LATE_LIST_PAUSE_S)

    def begin_search(self, primary: ServerId, term: Term) -> None:
        """Search again while the former primary may lead: a server may have joined."""
        status = self.attempt.statuses.get(primary)
        if status is None or status.is_primary:
            self._begin(primary, lambda: self._search(primary, term))

    def _begin(
        self, server: ServerId, search: Callable[[], Coroutine[object, object, None]]
    ) -> None:
        """Begin a search on behalf of a server, unless one is under way."""
        if self.search is None or self.search.done():
            self.search = asyncio.get_running_loop().create_task(search())
            self.search.add_done_callback(
                lambda done: self.commands.record_failure(server, done)
            )

    async def _search(self, primary: ServerId, term: Term) -> None:
        await self.list_servers()
        pool = self.group.find_pool(primary)
        if pool is None:
            return
        asked_at = read_boot_ms()
        reports = await self.detours.step_down(pool.server, term, self.is_held)
        for report in reports:
            self.commands.update_status(primary, report, asked_at)

    async def find_late_step_down(self) -> bool:
        """Return whether the primary carries out a step-down as its change ends.

        It may answer again with the command still in its queue.
        """
        attempt = self.attempt
        is_over = attempt.final_end is not None or attempt.requested is not None
        is_over |= attempt.has_lost_lead
        primary, told_at = attempt.replaced, attempt.told_at
        if is_over or primary is None or told_at is None:
            return False
        while self.is_held() and read_boot_ms() - told_at < LATE_COMMAND_MS:
            await self.commands.command(primary, QueryKind.STATUS, NO_TERM)
            status = attempt.statuses.get(primary)
            if status is not None and not status.is_primary:
                self.record("yielded-late", server=primary)
                attempt.has_lost_lead = True
                return True
            await asyncio.sleep(EFFECT_PAUSE_S)
        return False
