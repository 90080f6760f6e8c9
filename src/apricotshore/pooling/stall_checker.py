"""Stalled commits of a primary: whether they reach no replica."""

import asyncio
from collections.abc import Awaitable, Callable

from ..decisions import change_triggers
from ..groups import LogPosition
from ..identifiers import ServerId
from ..queries import QueryKind, ServerReport
from ..routes import ListedServer
from ..services.clock import read_boot_ms
from .change_phases import record_phase
from .group import Group
from .group_commands import GroupCommands

# A primary that is merely overloaded, not cut off, commits within this time.
ADVANCE_S = 0.4

AskOthers = Callable[[ListedServer], Awaitable[ServerReport | None]]


def _list_ends(reports: dict[ServerId, ServerReport]) -> dict[ServerId, LogPosition]:
    """Return the ends of the logs that reports name."""
    return {server: report.received for server, report in reports.items()}


def _list_paused(reports: dict[ServerId, ServerReport]) -> list[ServerId]:
    """Return the servers whose reports show a pause."""
    return [server for server, report in reports.items() if report.paused_term > 0]


class StallChecker:
    """Finds why commits wait at the primary of one group.

    Parameters
    ----------
    group
        The group.
    commands
        Sends commands to its servers.
    ask_others
        Returns a server's report to other hosts, None without one.
    resume
        Called with replicas that show a pause; returns whether they are resumed, and
        the primary stays.
    """

    def __init__(
        self,
        *,
        group: Group,
        commands: GroupCommands,
        ask_others: AskOthers,
        resume: Callable[[list[ServerId]], Awaitable[bool]],
    ) -> None:
        self.group = group
        self.commands = commands
        self.ask_others = ask_others
        self.resume = resume

    async def is_cut_off(self) -> bool:
        """Return whether the primary is to be replaced, as commits reach no replica.

        Other hosts are asked too: this one may not reach the primary.
        """
        primary = self.group.primary
        if primary is None:
            return True
        commands = self.commands
        replicas = [s for s in self.group.servers if s != primary]
        elsewhere = asyncio.ensure_future(self.ask_others(self.group.servers[primary]))
        leader = asyncio.ensure_future(commands.run(primary, QueryKind.STATUS))
        try:
            before = await commands.run_all(replicas, QueryKind.STATUS)
            paused = _list_paused(before)
            # A primary that is full answers late; they are not to wait for that.
            if paused and await self.resume(paused):
                return False
            await asyncio.wait([leader])
            await asyncio.sleep(ADVANCE_S)
            after = await commands.run_all(replicas, QueryKind.STATUS)
            end = await leader or await elsewhere
        finally:
            leader.cancel()
            elsewhere.cancel()
        cut_off = change_triggers.is_cut_off(
            None if end is None else end.received, _list_ends(before), _list_ends(after)
        )
        paused = _list_paused(after)
        is_excused = change_triggers.is_excused(
            bool(paused), self.group.primary_state.found_at, read_boot_ms()
        )
        record_phase(
            self.group,
            "stall",
            cut_off=cut_off,
            primary=primary,
            replicas=_list_ends(after),
            paused=paused,
        )
        return cut_off and not is_excused
