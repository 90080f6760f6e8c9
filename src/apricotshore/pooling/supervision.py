"""Restart of background tasks after an unexpected error, and their end."""

import asyncio
import functools
from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

from .journal import EventKind, Journal

RESTART_PAUSE_S = 0.5


class Supervised(Protocol):
    """A service whose tasks are restarted."""

    journal: Journal

    @property
    def should_stop(self) -> bool:
        """Whether the service is stopping."""


S = TypeVar("S", bound=Supervised)


def keep_running(
    task: Callable[[S], Awaitable[None]],
) -> Callable[[S], Awaitable[None]]:
    """Restart a task of a service when it raises, after logging the error.

    Otherwise one unexpected message would end the task for the rest of the
    process's life, while the process goes on to serve callers.
    """

    @functools.wraps(task)
    async def run(service: S) -> None:
        while not service.should_stop:
            try:
                return await task(service)
            except Exception as error:
                service.journal.record(
                    EventKind.ERROR, task=task.__name__, why=repr(error)
                )
                await asyncio.sleep(RESTART_PAUSE_S)

    return run


async def end_tasks(*tasks: asyncio.Task[Any] | None) -> None:
    """Cancel tasks and wait until they have ended; None stands for one never begun."""
    begun = [task for task in tasks if task is not None]
    for task in begun:
        task.cancel()
    await asyncio.gather(*begun, return_exceptions=True)
