"""Entries of backend servers in the platform's store, as they were last read."""

from collections.abc import Callable, Collection

from ..identifiers import ServerId
from ..routes import ListedServer
from ..services.clock import read_boot_ms
from .journal import EventKind, Journal
from .stored_objects import Change


class ServerEntries:
    """Servers that the store lists, and those whose entries are missing.

    Parameters
    ----------
    journal
        Journal of the host.
    on_server, on_server_gone
        Called when a server is listed or changes, and when it is removed.
    """

    def __init__(
        self,
        *,
        journal: Journal,
        on_server: Callable[[ListedServer], None],
        on_server_gone: Callable[[ServerId], None],
    ) -> None:
        self.journal = journal
        self.on_server = on_server
        self.on_server_gone = on_server_gone
        self.listed: dict[ServerId, ListedServer] = {}
        # Since when each entry is missing, in milliseconds since boot.
        self.missing: dict[ServerId, int] = {}

    def apply(self, change: Change) -> bool:
        """Apply a changed entry; return whether anything that is used here changed."""
        server = ServerId(change.name)
        if change.removed:
            self._mark_missing(server)
            return True
        if not isinstance(change.content, ListedServer):
            self.journal.record(EventKind.ENTRY_REFUSED, server=server)
            return True
        was_missing = self.missing.pop(server, None) is not None
        known = self.listed.get(server)
        try:
            self.on_server(change.content)
        except Exception as error:
            # What one entry says must not keep the others from being followed.
            self.journal.record(EventKind.ERROR, server=server, why=repr(error))
            return True
        self.listed[server] = change.content
        return was_missing or known != change.content

    def mark_unlisted(self, names: Collection[ServerId]) -> bool:
        """Record which servers a whole list names; return whether it lacks any."""
        gone = self.listed.keys() - names
        for server in gone:
            self._mark_missing(server)
        return bool(gone)

    def _mark_missing(self, server: ServerId) -> None:
        self.missing.setdefault(server, read_boot_ms())

    def remove_missing(self) -> None:
        """Take the servers whose entries are missing for removed."""
        for server in list(self.missing):
            self.missing.pop(server)
            self.listed.pop(server, None)
            self.on_server_gone(server)
