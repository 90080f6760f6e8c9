"""Event loop whose time passes only while all its tasks wait."""

import asyncio
import heapq
from collections.abc import Coroutine, Iterable
from types import ModuleType
from typing import Any

from apricotshore.pooling import fleet_asker, server_gate, write_barrier

MODULES = (fleet_asker, server_gate, write_barrier)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that goes to the next timer at once when nothing else is ready."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1.0

    def time(self) -> float:
        return self.now

    def _run_once(self) -> None:
        while self._scheduled and self._scheduled[0]._cancelled:
            self._timer_cancelled_count -= 1
            heapq.heappop(self._scheduled)._scheduled = False
        if not self._ready and self._scheduled:
            self.now = max(self.now, self._scheduled[0]._when)
        super()._run_once()


def run_in_virtual_time(
    monkeypatch,
    work: Coroutine[Any, Any, None],
    modules: Iterable[ModuleType] = MODULES,
) -> None:
    """Run a coroutine; the clock of modules, as a rule the rounds', is its loop's."""
    loop = VirtualLoop()
    for module in modules:
        monkeypatch.setattr(module, "read_boot_ms", lambda: int(loop.now * 1000))
    try:
        loop.run_until_complete(work)
    finally:
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()
