"""Servers that leave a group, and how long each still gets statements."""

from ..decisions import placement
from ..identifiers import ServerId
from ..routes import ListedServer
from ..services.clock import read_boot_ms
from .settings import DEFAULT_LEAVE_MS, DEFAULT_WINDOW_MS

# A host learns of a change in the store after a pause of its watch and one call.
LEARNED_AFTER_MS = 1_600


class LeavingServers:
    """Since when this host knows which servers of a group to be leaving."""

    def __init__(self) -> None:
        self.leave_ms = DEFAULT_LEAVE_MS
        self.window_ms = DEFAULT_WINDOW_MS
        # Since when each is known to leave, in milliseconds since boot.
        self.since: dict[ServerId, int] = {}

    def set_bounds(self, leave_ms: int, window_ms: int) -> None:
        """Set the time that a leaving server has, and the window without a fault."""
        self.leave_ms = leave_ms
        self.window_ms = window_ms

    def update(self, server: ListedServer, *, is_new: bool) -> None:
        """Record whether a server is leaving.

        Parameters
        ----------
        server
            The server.
        is_new
            Whether this host learns of the server only now.
        """
        if not server.leaving:
            self.since.pop(server.server, None)
            return
        # One that left before this host knew it may be about to end; this host has
        # to observe the bound once it has run for the window.
        known_ms = self.window_ms if is_new else LEARNED_AFTER_MS
        self.since.setdefault(server.server, read_boot_ms() - known_ms)

    def remove(self, server: ServerId) -> None:
        """Forget a server that is gone."""
        self.since.pop(server, None)

    def find_since(self, server: ServerId | None) -> int | None:
        """Return since when a server is known to be leaving, None if it stays."""
        return None if server is None else self.since.get(server)

    def may_send(self, server: ServerId | None) -> bool:
        """Return whether a server still gets new statements."""
        return placement.may_send(
            self.find_since(server), self.leave_ms, read_boot_ms()
        )
