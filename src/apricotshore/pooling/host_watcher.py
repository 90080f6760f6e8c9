"""Entry of this host in the platform's store, and the list of all hosts."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from mode import Service

from ..decisions.relays import ListedHost
from ..identifiers import HostId, StoreEra
from ..services.clock import read_boot_ms
from ..services.eras import EraTracker
from .journal import EventKind, Journal
from .ports import ObjectStore, StoreError
from .stored_objects import StoredKind
from .supervision import keep_running

# Relays are chosen from the listed hosts. The list may be this old, because a
# relay that is gone is detected when it does not answer.
HOSTS_PERIOD_S = 12.0
# While hosts of a fleet start, relays are chosen anew at each list.
FIRST_HOSTS_PERIOD_S = 3.0
FIRST_HOSTS_LISTS = 4
EMPTY_HOSTS_PERIOD_S = 1.0
RETRY_PERIOD_S = 2.0
# Hosts whose entries were lost with what the store forgot write them again within
# this time.
REWRITE_GRACE_MS = 4_000
# A stale list may lack what was written this shortly before it.
STALE_LIST_MS = 5_000
REMOVE_TIMEOUT_S = 0.4


def choose_hosts_period_s(lists: int, hosts: int) -> float:
    """Return the pause before the next list of hosts, in seconds.

    Parameters
    ----------
    lists
        Lists read since the start.
    hosts
        Hosts in the last of them.
    """
    if not hosts:
        return EMPTY_HOSTS_PERIOD_S
    return FIRST_HOSTS_PERIOD_S if lists <= FIRST_HOSTS_LISTS else HOSTS_PERIOD_S


class HostWatcher(Service):
    """Service that keeps this host's entry in the store and lists all hosts.

    Parameters
    ----------
    store
        The platform's store.
    journal
        Journal of the host.
    eras
        Tracker of the store's era.
    host
        This host.
    entry
        This host's entry, None for a host that is no relay.
    on_hosts
        Called with all listed hosts.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        journal: Journal,
        eras: EraTracker,
        host: HostId,
        entry: ListedHost | None,
        on_hosts: Callable[[dict[HostId, ListedHost]], None],
    ) -> None:
        super().__init__()
        self.store = store
        self.journal = journal
        self.eras = eras
        self.host = host
        self.entry = entry
        self.on_hosts = on_hosts
        # Era in which the entry was written as it is now, and when.
        self.written_in: StoreEra | None = None
        self.written_at = 0
        self.was_written = asyncio.Event()
        self.is_removed = False
        # One write at a time, so that the last one is the one in force.
        self.writing = asyncio.Lock()
        self.is_available = True
        self.wake = asyncio.Event()
        eras.listeners.append(self.wake.set)

    def mark_leaving(self) -> None:
        """Mark this host's entry, so that other hosts choose this one for nothing."""
        if self.entry is None:
            return
        self.entry = replace(self.entry, leaving=True)
        self._write_again()

    def _write_again(self) -> None:
        self.written_in = None
        self.wake.set()

    async def wait_until_written(self, timeout_s: float) -> None:
        """Write this host's entry, if it has one, and wait for that or a time limit."""
        if self.entry is None:
            return
        # A write that failed while the store was away is not due yet.
        self.wake.set()
        try:
            async with asyncio.timeout(timeout_s):
                await self.was_written.wait()
        except TimeoutError:
            self.journal.record(EventKind.ERROR, why="the entry was not written")

    async def remove_entry(self) -> None:
        """Remove this host's entry once it holds no connection any more."""
        self.is_removed = True
        if self.entry is None:
            return
        try:
            async with asyncio.timeout(REMOVE_TIMEOUT_S), self.writing:
                await self.store.remove_host(self.host)
        except (StoreError, TimeoutError) as error:
            why = f"the entry was not removed: {error!r}"
            self.journal.record(EventKind.ERROR, why=why)

    async def refresh(self) -> dict[HostId, ListedHost]:
        """Read the list of hosts as it is now.

        Raises
        ------
        StoreError
            When there is no answer, or when the store was restored so lately that
            hosts may not have written their entries again.
        """
        hosts = await self._list_hosts(stale=False)
        if self.eras.is_settling(REWRITE_GRACE_MS):
            raise StoreError("the store was restored a moment ago")
        self.on_hosts(hosts)
        return hosts

    @Service.task
    @keep_running
    async def _follow_hosts(self) -> None:
        lists = 0
        while not self.should_stop:
            self.wake.clear()
            try:
                await self._write_entry()
                if self.is_leaving:
                    await self._pause(HOSTS_PERIOD_S)
                    continue
                if self.eras.is_settling(REWRITE_GRACE_MS):
                    await self._pause(REWRITE_GRACE_MS / 1000)
                    continue
                hosts = await self._list_hosts(stale=True)
            except StoreError as error:
                self._record_lost(error)
                await self._pause(RETRY_PERIOD_S)
                continue
            self._record_back()
            self.on_hosts(hosts)
            lists += 1
            await self._pause(choose_hosts_period_s(lists, len(hosts)))

    async def _pause(self, seconds: float) -> None:
        """Wait for a time, or until the entry is to be written."""
        try:
            async with asyncio.timeout(seconds):
                await self.wake.wait()
        except TimeoutError:
            return

    @property
    def is_leaving(self) -> bool:
        """Whether this host's entry is marked as leaving."""
        return self.entry is not None and self.entry.leaving

    async def _write_entry(self) -> None:
        """Write this host's entry unless that was done in this era."""
        if self.entry is None:
            return
        async with self.writing:
            if self.is_removed or self._is_written():
                return
            entry = self.entry
            era = await self.store.write_host(entry)
            self.eras.accept(era)
            if entry is self.entry:
                self.written_in = era
        self.written_at = read_boot_ms()
        self.was_written.set()

    def _is_written(self) -> bool:
        return self.written_in is not None and self.written_in == self.eras.era

    async def _list_hosts(self, *, stale: bool) -> dict[HostId, ListedHost]:
        asked_at = read_boot_ms()
        snapshot = await self.store.list(StoredKind.HOST, stale=stale)
        if not self.eras.accept(snapshot.era):
            raise StoreError(f"a list of era {snapshot.era}, not {self.eras.era}")
        listed = [change.content for change in snapshot.changes]
        hosts = {h.host: h for h in listed if isinstance(h, ListedHost)}
        self._check_entry(hosts, asked_at - STALE_LIST_MS if stale else asked_at)
        return hosts

    def _check_entry(self, hosts: dict[HostId, ListedHost], as_of: int) -> None:
        """Write this host's entry again if a list as of a time lacks it or its mark.

        A write without an answer may take effect after a later one.
        """
        if not self._is_written() or self.written_at >= as_of:
            return
        found = hosts.get(self.host)
        if found is None or found.leaving != self.is_leaving:
            self._write_again()

    def _record_lost(self, error: StoreError) -> None:
        if self.is_available:
            self.is_available = False
            self.journal.record(
                EventKind.STORE_LOST, kind=StoredKind.HOST.value, why=str(error)
            )

    def _record_back(self) -> None:
        if not self.is_available:
            self.is_available = True
            self.journal.record(EventKind.STORE_BACK, kind=StoredKind.HOST.value)
