"""Probes that find a group's primary and sample its log position."""

import asyncio

from mode import Service

from ..decisions import leadership, position_history
from ..decisions.primary_proof import ProbeResult
from ..identifiers import ServerId
from ..services.clock import read_boot_ms
from . import group_outages
from .group import Group
from .primary_prover import probe_server
from .supervision import keep_running

SEARCH_PERIOD_S = 0.1
# The same where a server that may lead is full: whoever asks when a slot becomes free
# gets it.
FULL_PERIOD_S = 0.02
TICK_S = 0.05


class Prober(Service):
    """Service that probes the servers of one group for the primary.

    Parameters
    ----------
    group
        The group.
    """

    def __init__(self, *, group: Group) -> None:
        super().__init__()
        self.group = group
        self.journal = group.journal

    @Service.task
    @keep_running
    async def _probe(self) -> None:
        while not self.should_stop:
            if not self.group.servers:
                await asyncio.sleep(SEARCH_PERIOD_S)
                continue
            if self._is_due():
                self.group.probe_wanted.clear()
                await self.probe()
            if self.group.early_rejection:
                group_outages.observe(self.group)
            try:
                async with asyncio.timeout(TICK_S):
                    await self.group.probe_wanted.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(0.01)

    def _is_due(self) -> bool:
        if self.group.probe_wanted.is_set():
            return True
        primary_state = self.group.primary_state
        if primary_state.primary is None or primary_state.silent_since is not None:
            return True
        if not primary_state.is_term_read:
            return True
        age = position_history.find_age(self.group.position_history, read_boot_ms())
        return age is None or age >= self.group.sample_period_ms

    async def probe(self) -> None:
        """Probe the supposed primary first, and all others if it is not the primary.

        Where a replaced primary may go on answering, all are asked at once.
        """
        if self.group.prover is not None:
            proven = await self.group.prover.sample()
            self._observe_no_primary(is_certain=self.group.prover.heard_all)
            if proven is None or not self.group.primary_state.is_term_read:
                await asyncio.sleep(SEARCH_PERIOD_S)
            return
        candidates = leadership.list_candidates(
            self.group.primary_state, list(self.group.servers.values())
        )
        if not candidates:
            return
        first = await self._ask(candidates[0].server)
        if first is ProbeResult.PRIMARY:
            if not self.group.primary_state.is_term_read:
                await asyncio.sleep(SEARCH_PERIOD_S)
            return
        results = await asyncio.gather(*(self._ask(s.server) for s in candidates[1:]))
        is_certain = ProbeResult.UNKNOWN not in (first, *results)
        self._observe_no_primary(is_certain=is_certain)
        may_be_full = not is_certain and self.group.primary_state.primary is None
        await asyncio.sleep(FULL_PERIOD_S if may_be_full else SEARCH_PERIOD_S)

    def _observe_no_primary(self, *, is_certain: bool) -> None:
        group = self.group
        if (
            group.primary_state.primary is None
            and is_certain
            and group.no_primary_since is None
        ):
            group.no_primary_since = read_boot_ms()

    async def _ask(self, server: ServerId) -> ProbeResult:
        pool = self.group.pools.get(server)
        if pool is None:
            return ProbeResult.NO_ANSWER
        return await probe_server(self.group, pool)
