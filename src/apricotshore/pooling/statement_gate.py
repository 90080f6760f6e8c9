"""Room for the copies of large statements that are decoded and forwarded at a time."""

import asyncio
from collections import deque


class StatementGate:
    """Bytes of statements that are in work, granted in the order of requests.

    Parameters
    ----------
    limit
        Largest number of bytes; a larger statement is in work alone.
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.taken = 0
        self.waiting: deque[tuple[int, asyncio.Future[None]]] = deque()

    async def enter(self, size: int) -> int:
        """Wait for room; return the bytes to leave with."""
        size = min(size, self.limit)
        if not self.waiting and self.taken + size <= self.limit:
            self.taken += size
            return size
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.append((size, future))
        try:
            await future
        except BaseException:
            if future.done() and not future.cancelled():
                self.leave(size)
            self._admit()
            raise
        return size

    def leave(self, size: int) -> None:
        """Give room back."""
        self.taken -= size
        self._admit()

    def _admit(self) -> None:
        while self.waiting:
            size, future = self.waiting[0]
            if future.done():
                # Its session ended while it waited.
                self.waiting.popleft()
                continue
            if self.taken and self.taken + size > self.limit:
                return
            self.waiting.popleft()
            self.taken += size
            future.set_result(None)
