"""Requests that peers have forwarded to this host."""

from collections.abc import Awaitable, Callable

from ..identifiers import HostId
from ..requests import Outcome, Request
from .clock import read_boot_ms


class PeerRequests:
    """Counts the requests of peers, so that a stopping host stays for its answers.

    Parameters
    ----------
    execute
        Executes a request and returns its outcome.
    """

    def __init__(
        self, *, execute: Callable[[Request, HostId], Awaitable[Outcome]]
    ) -> None:
        self._execute = execute
        self.open_count = 0
        self.last_at = 0

    async def execute(self, request: Request, origin: HostId) -> Outcome:
        """Execute a peer's request."""
        self.open_count += 1
        try:
            return await self._execute(request, origin)
        finally:
            self.open_count -= 1
            self.last_at = read_boot_ms()

    def is_quiet(self, quiet_ms: int) -> bool:
        """Return whether no request was open for a time in milliseconds."""
        return not self.open_count and read_boot_ms() - self.last_at >= quiet_ms
