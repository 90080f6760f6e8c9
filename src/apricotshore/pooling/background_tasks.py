"""Tasks of a host that nobody waits for."""

import asyncio
from collections.abc import Coroutine

from .journal import EventKind, Journal


class BackgroundTasks:
    """Tasks that run until they end or the host stops.

    Parameters
    ----------
    journal
        Journal of the host, for their errors.
    """

    def __init__(self, *, journal: Journal) -> None:
        self.journal = journal
        self.running: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a task."""
        task = asyncio.get_running_loop().create_task(work)
        self.running.add(task)
        task.add_done_callback(self._reap)

    def cancel(self) -> None:
        """Cancel every task."""
        for task in self.running:
            task.cancel()

    def _reap(self, task: asyncio.Task[None]) -> None:
        self.running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.journal.record(EventKind.ERROR, why=repr(task.exception()))
