"""Detection of times in which the event loop stood still."""

import asyncio
from collections.abc import Callable

from mode import Service

from ..decisions import loop_stalls
from ..decisions.loop_stalls import LoopTicks, Stall
from ..services.clock import read_boot_ms
from .journal import EventKind, Journal
from .supervision import keep_running


class LoopTicker(Service):
    """Service that notices when the process was stopped or got no time to run.

    Parameters
    ----------
    journal
        Journal of the host.
    on_stall
        Called with each stall when it has ended.
    """

    def __init__(self, *, journal: Journal, on_stall: Callable[[Stall], None]) -> None:
        super().__init__()
        self.journal = journal
        self.on_stall = on_stall
        self.ticks = LoopTicks()

    def check(self) -> None:
        """Notice a stall that has just ended, before anything is concluded from it."""
        stall = loop_stalls.observe_tick(self.ticks, read_boot_ms())
        if stall is not None:
            self.journal.record(
                EventKind.LOOP_STALLED, ms=stall.ended_at - stall.began_at
            )
            self.on_stall(stall)

    @Service.task
    @keep_running
    async def _tick(self) -> None:
        while not self.should_stop:
            self.check()
            await asyncio.sleep(loop_stalls.TICK_MS / 1000)
