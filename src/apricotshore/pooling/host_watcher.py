"""Entry of this host in the platform's store, and the list of all hosts."""

import asyncio
from collections.abc import Callable

from mode import Service

from ..decisions.relays import ListedHost
from ..identifiers import HostId, StoreEra
from ..services.eras import EraTracker
from .journal import EventKind, Journal
from .ports import ObjectStore, StoredKind, StoreError
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
        # Era in which the entry was written or removed, as asked for now.
        self.written_in: StoreEra | None = None
        self.is_withdrawn = False
        self.is_available = True
        self.wake = asyncio.Event()
        eras.listeners.append(self.wake.set)

    def withdraw(self) -> None:
        """Remove this host's entry, so that other hosts choose other relays."""
        self.is_withdrawn = True
        self.written_in = None
        self.wake.set()

    @Service.task
    @keep_running
    async def _follow_hosts(self) -> None:
        lists = 0
        while not self.should_stop:
            self.wake.clear()
            try:
                await self._write_entry()
                if self.is_withdrawn:
                    await self._pause(HOSTS_PERIOD_S)
                    continue
                if self.eras.is_settling(REWRITE_GRACE_MS):
                    await self._pause(REWRITE_GRACE_MS / 1000)
                    continue
                hosts = await self._list_hosts()
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

    async def _write_entry(self) -> None:
        """Write or remove this host's entry unless that was done in this era."""
        if self.entry is None:
            return
        if self.written_in is not None and self.written_in == self.eras.era:
            return
        if self.is_withdrawn:
            era = await self.store.remove_host(self.host)
        else:
            era = await self.store.write_host(self.entry)
        self.eras.accept(era)
        self.written_in = era

    async def _list_hosts(self) -> dict[HostId, ListedHost]:
        snapshot = await self.store.list(StoredKind.HOST, stale=True)
        if not self.eras.accept(snapshot.era):
            raise StoreError(f"a list of era {snapshot.era}, not {self.eras.era}")
        listed = [change.content for change in snapshot.changes]
        return {h.host: h for h in listed if isinstance(h, ListedHost)}

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
