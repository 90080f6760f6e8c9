"""Probes that find a group's primary and sample its log position."""

import asyncio
from enum import Enum

from mode import Service

from ..decisions import leadership, placement, position_history
from ..identifiers import ServerId
from ..queries import FailureCode
from ..services.clock import read_boot_ms
from .group import Group
from .pool import NoConnectionError, ServerPool
from .ports import ConnectionLostError
from .preparation import BEGIN, ROLLBACK

SEARCH_PERIOD_S = 0.1
TICK_S = 0.05
PROBE_TIMEOUT_MS = 450
PROBE_PRIORITY = -1


class ProbeResult(Enum):
    """Result of asking a server whether it is the primary."""

    PRIMARY = "leads"
    NOT_PRIMARY = "denies"
    NO_ANSWER = "silent"
    # No connection was free or the server was too busy to answer the question.
    UNKNOWN = "unheard"


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

    @Service.task
    async def _probe(self) -> None:
        while not self.should_stop:
            if not self.group.servers:
                await asyncio.sleep(SEARCH_PERIOD_S)
                continue
            if self._is_due():
                self.group.probe_wanted.clear()
                await self.probe()
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
        age = position_history.find_age(self.group.position_history, read_boot_ms())
        return age is None or age >= self.group.sample_period_ms

    async def probe(self) -> None:
        """Probe the supposed primary first, and all others if it is not the primary."""
        candidates = leadership.list_candidates(
            self.group.primary_state, list(self.group.servers.values())
        )
        if not candidates:
            return
        first = await self._ask(candidates[0].server)
        if first is ProbeResult.PRIMARY:
            return
        results = await asyncio.gather(*(self._ask(s.server) for s in candidates[1:]))
        is_certain = ProbeResult.UNKNOWN not in (first, *results)
        primary_state = self.group.primary_state
        if (
            primary_state.primary is None
            and is_certain
            and self.group.no_primary_since is None
        ):
            self.group.no_primary_since = read_boot_ms()
        await asyncio.sleep(SEARCH_PERIOD_S)

    async def _ask(self, server: ServerId) -> ProbeResult:
        pool = self.group.pools.get(server)
        if pool is None:
            return ProbeResult.NO_ANSWER
        try:
            return await self._begin(pool)
        except NoConnectionError:
            return ProbeResult.UNKNOWN
        except ConnectionLostError:
            placement.observe_silence(pool.load, read_boot_ms())
            self.group.observe_silence(server)
            return ProbeResult.NO_ANSWER

    async def _begin(self, pool: ServerPool) -> ProbeResult:
        expires_at = read_boot_ms() + PROBE_TIMEOUT_MS
        pooled = await pool.acquire({}, PROBE_PRIORITY, expires_at)
        clean = False
        try:
            asked_at = read_boot_ms()
            answers = await pool.run(pooled, [BEGIN, ROLLBACK], None, PROBE_TIMEOUT_MS)
            clean = answers[1].failure is None or answers[0].failure is not None
        finally:
            pool.release(pooled, clean=clean)
        began = answers[0]
        if began.failure is None and began.log_position is not None:
            self.group.observe_primary(pool.server.server, began.log_position, asked_at)
            return ProbeResult.PRIMARY
        if began.failure is not FailureCode.NOT_PRIMARY:
            return ProbeResult.UNKNOWN
        self.group.observe_denial(pool.server.server)
        return ProbeResult.NOT_PRIMARY
