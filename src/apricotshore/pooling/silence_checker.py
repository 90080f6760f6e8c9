"""Questions to other hosts about a group's silent primary."""

import asyncio

from ..decisions import relays, silence_checks
from ..decisions.silence_checks import SilenceCheck
from ..services.clock import read_boot_ms
from .change_phases import record_phase
from .detours import Detours
from .group import Group
from .supervision import end_tasks


class SilenceChecker:
    """Asks other hosts whether they reach a primary that gives no answer here.

    Parameters
    ----------
    group
        The group.
    detours
        Reaches servers through other hosts.
    """

    def __init__(self, *, group: Group, detours: Detours) -> None:
        self.group = group
        self.detours = detours
        self.check = SilenceCheck()
        self.question: asyncio.Task[None] | None = None

    @property
    def silent_since(self) -> int | None:
        """Since when no host is known to have had an answer, None while one has."""
        return silence_checks.find_silence(self.check, self._own_silence)

    @property
    def awaits_reply(self) -> bool:
        """Whether the first reply about this silence is still waited for."""
        return silence_checks.awaits_reply(
            self.check, self._own_silence, read_boot_ms()
        )

    @property
    def _own_silence(self) -> int | None:
        return self.group.primary_state.silent_since

    def ask(self) -> None:
        """Ask other hosts if that is due."""
        is_due = silence_checks.begin_question(
            self.check,
            self._own_silence,
            read_boot_ms(),
            has_others=relays.has_others(self.detours.fleet),
        )
        if is_due:
            self.question = asyncio.create_task(self._ask())

    async def _ask(self) -> None:
        """Ask whether a host reaches the primary; connect through it if one does."""
        group = self.group
        primary = group.primary_state.primary
        pool = None if primary is None else group.pools.get(primary)
        reached = None
        try:
            if pool is not None:
                reached = await self.detours.find_reaching(pool.server)
        finally:
            silence_checks.end_question(self.check, is_reached=reached is not None)
        if pool is None or reached is None:
            return
        through, now = reached.host.host, read_boot_ms()
        record_phase(group, "reached", server=primary, through=through)
        relays.observe_detour(self.detours.fleet, pool.server.server, through, now)
        pool.close_idle_before(now)
        group.writes.forget()
        group.probe_wanted.set()

    async def stop(self) -> None:
        """End the question in progress."""
        await end_tasks(self.question)
