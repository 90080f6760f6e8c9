"""Changes of primary that are under way when this host starts.

The holder of such a change may have listed the hosts before this one registered. So
this host reads the leases after that, and sends no writes to the servers that an open
one replaces, until it is released.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from mode import Service

from ..decisions import lease
from ..decisions.commit_barrier import SEAL_MS
from ..identifiers import FencingToken, GroupId, ServerId
from ..services.clock import read_boot_ms
from .change_phases import record_phase
from .group import Group
from .host_watcher import HostWatcher
from .journal import EventKind, Journal
from .ports import LeaseRecord, StoreError
from .store_watcher import StoreWatcher
from .supervision import keep_running

RETRY_PAUSE_S = 0.15


@dataclass(frozen=True, kw_only=True, slots=True)
class FoundChange:
    """A change that was open when its lease was last read.

    Parameters
    ----------
    record
        Its lease.
    read_at
        When that was read, in milliseconds since boot.
    """

    record: LeaseRecord
    read_at: int

    @property
    def token(self) -> FencingToken:
        """Fencing token of the lease as it was read."""
        return lease.make_token(self.record.era, self.record.revision)

    def list_replaced(self, group: Group) -> tuple[ServerId, ...]:
        """List the servers that get no writes."""
        record = self.record
        if not record.open:
            return ()
        return lease.list_replaced(record.former, record.target, group.servers)


class OpenChanges(Service):
    """Service that keeps writes from servers that are being replaced at a start.

    Parameters
    ----------
    store_watcher
        Reads the leases.
    host_watcher
        Writes this host's entry.
    journal
        Journal of the host.
    find_group
        Returns a known group, None if it isn't.
    follow
        Called with the lease of a change that was found open, so that it is read again.
    """

    def __init__(
        self,
        *,
        store_watcher: StoreWatcher,
        host_watcher: HostWatcher,
        journal: Journal,
        find_group: Callable[[GroupId], Group | None],
        follow: Callable[[LeaseRecord], None] = lambda record: None,
    ) -> None:
        super().__init__()
        self.store_watcher = store_watcher
        self.host_watcher = host_watcher
        self.journal = journal
        self.find_group = find_group
        self.follow = follow
        self.found: dict[GroupId, FoundChange] = {}
        self.was_read = asyncio.Event()

    @Service.task
    @keep_running
    async def _read(self) -> None:
        """Read all leases once, as soon as the holders can list this host."""
        if self.host_watcher.entry is not None:
            await self.host_watcher.was_written.wait()
        while not self.should_stop:
            try:
                records = await self.store_watcher.read_leases()
            except StoreError as error:
                why = f"the leases were not read: {error}"
                self.journal.record(EventKind.ERROR, why=why)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            for record in records:
                self.begin(record)
            self.was_read.set()
            return

    async def wait_until_read(self, timeout_s: float) -> None:
        """Wait for the leases, or for a time limit.

        A store that takes no entry isn't waited for.
        """
        entry_is_missing = self.host_watcher.entry is not None
        entry_is_missing &= not self.host_watcher.was_written.is_set()
        if entry_is_missing:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self.was_read.wait()
        except TimeoutError:
            self.journal.record(EventKind.ERROR, why="the leases were not read in time")

    def begin(self, record: LeaseRecord) -> None:
        """Follow a change if it is open."""
        if record.open and record.group not in self.found:
            self.found[record.group] = FoundChange(record=record, read_at=0)
            self.observe(record)
            self.follow(record)

    def observe(self, record: LeaseRecord) -> None:
        """Record a lease that was read; the end of a change ends its hold."""
        known = self.found.get(record.group)
        change = FoundChange(record=record, read_at=read_boot_ms())
        if known is None or change.token < known.token:
            return
        if record.open:
            self.found[record.group] = change
        else:
            del self.found[record.group]
        group = self.find_group(record.group)
        if group is None:
            return
        replaced = change.list_replaced(group)
        for server in set(known.list_replaced(group)).difference(replaced):
            group.find_gate(server).reopen(change.token)
        if known.read_at == 0 or known.token != change.token:
            self._record(group, change, replaced)
        self._shut(group, change)

    def renew(self, group: Group) -> None:
        """Hold the writes to a group's servers, one of which was listed just now."""
        change = self.found.get(group.group)
        if change is not None:
            self._shut(group, change)

    def _shut(self, group: Group, change: FoundChange) -> None:
        hold_ms = change.read_at + SEAL_MS - read_boot_ms()
        former = change.record.former
        term = None if former.is_unknown else former.term
        for server in change.list_replaced(group):
            group.find_gate(server).shut(term, change.token, hold_ms)

    def _record(
        self, group: Group, change: FoundChange, replaced: tuple[ServerId, ...]
    ) -> None:
        record_phase(
            group,
            "found-open" if change.record.open else "found-released",
            token=change.token,
            replaced=replaced,
            target=change.record.target,
        )
