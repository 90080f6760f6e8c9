"""Readiness of a host: whether it knows enough to serve callers."""

import asyncio
from collections.abc import Mapping

from ..identifiers import GroupId
from ..services.clock import read_boot_ms
from .group import Group
from .host_watcher import HostWatcher
from .open_changes import OpenChanges
from .store_watcher import StoreWatcher

# Callers time out when their session is not open after 2 s.
LOADING_S = 1.5
LOADING_STEP_S = 0.01
# A store that takes no writes does not keep a host that has read it from serving.
LISTING_S = 1.0
# The leases are read once others can know of the host, page by page.
LEASES_S = 1.0


class Readiness:
    """Readiness of a host.

    Parameters
    ----------
    store_watcher
        Configuration and servers.
    host_watcher
        This host's entry, by which others know of it.
    open_changes
        Changes of primary that are under way.
    groups
        Groups that this host knows.
    """

    def __init__(
        self,
        *,
        store_watcher: StoreWatcher,
        host_watcher: HostWatcher,
        open_changes: OpenChanges,
        groups: Mapping[GroupId, Group],
    ) -> None:
        self.store_watcher = store_watcher
        self.host_watcher = host_watcher
        self.open_changes = open_changes
        self.groups = groups
        self.has_awaited_entry = False
        self.has_given_up = False

    @property
    def has_read_store(self) -> bool:
        """Whether the configuration and the servers have been read."""
        store_watcher = self.store_watcher
        return (
            bool(store_watcher.configuration.revision) and store_watcher.servers_listed
        )

    @property
    def is_loaded(self) -> bool:
        """Whether the store has been read, and tells other hosts of this one.

        Then this host also knows of the changes of primary that are under way.
        """
        return self.has_read_store and self.has_awaited_entry

    @property
    def reaches_servers(self) -> bool:
        """Whether any server is not marked as silent, or none is known."""
        now = read_boot_ms()
        pools = [p for group in self.groups.values() for p in group.pools.values()]
        return not pools or any(p.load.silent_until <= now for p in pools)

    async def await_entry(self) -> None:
        """Wait until others can know of this host, or for a time limit."""
        while not self.has_read_store:
            await asyncio.sleep(LOADING_STEP_S)
        await self.host_watcher.wait_until_written(LISTING_S)
        # A holder that can't have listed this host has told it of no change.
        await self.open_changes.wait_until_read(LEASES_S)
        self.has_awaited_entry = True

    def give_up(self) -> None:
        """Have nobody wait any longer, as the host stops."""
        self.has_given_up = True

    async def wait_until_loaded(self) -> bool:
        """Wait until the store has been read; return whether it was in time."""
        try:
            async with asyncio.timeout(LOADING_S):
                while not self.is_loaded:
                    if self.has_given_up:
                        return False
                    await asyncio.sleep(LOADING_STEP_S)
        except TimeoutError:
            return False
        return True
