"""Watches of configuration and backend servers in the platform's store."""

import asyncio
from collections.abc import Callable

from mode import Service

from ..freshness.bounds import MISSED_CHANGES_MS, Bounds
from ..identifiers import ServerId
from ..routes import Configuration, ListedServer
from ..services.clock import read_boot_ms
from ..services.eras import EraTracker
from .configuration_entry import ConfigurationEntry, Continuity
from .freshness import Freshness
from .journal import EventKind, Journal
from .ports import HistoryLostError, ObjectStore, StoreError
from .server_entries import ServerEntries
from .stored_objects import Change, LeaseRecord, Snapshot, StoredKind
from .supervision import keep_running

# A watch that the store stopped answering ends after its wait plus the margin of
# the client; what is left of the window must suffice for a new list.
WATCH_MARGIN_MS = 1_000
SHORTEST_WAIT_MS = 500
LONGEST_WAIT_MS = 30_000
RETRY_PAUSE_S = 0.15
# Wait of a watch that is to report at once what has changed.
NO_WAIT_MS = 1
# Changes come in bursts: after this pause the next ones arrive in one answer.
BURST_PAUSE_S = 0.5
# Entries of servers that start change at each heartbeat in a field not used here.
QUIET_PAUSE_S = 1.5
# A stale list of the leases shows whether the store answers, at a tenth of the
# cost of a call, and finds changes of primary whose lease holder died.
LONGEST_CHECK_MS = 3_000
SHORTEST_CHECK_MS = 250
# Within a bound there must be time for a check to fail and a watch to restart.
CHECK_MARGIN_MS = 1_000
# Servers whose entries expired while the store was unavailable, or were lost with
# what it forgot, register again within about 2 s of its return.
RETURN_GRACE_MS = 2_500


def choose_check_period_ms(bound_ms: int) -> int:
    """Return the period of store checks for a bound on the age of changes."""
    return max(SHORTEST_CHECK_MS, min(bound_ms - CHECK_MARGIN_MS, LONGEST_CHECK_MS))


def choose_wait_ms(bound_ms: int, window_ms: int) -> int:
    """Return how long a watch may wait for changes.

    In a fault the store may stop answering a watch for good while it serves other
    calls. Bounds apply again once a window without a fault has passed, or once
    the bound of a change that the watch missed just before has expired.
    """
    wait = max(bound_ms - MISSED_CHANGES_MS, window_ms) - WATCH_MARGIN_MS
    return max(SHORTEST_WAIT_MS, min(wait, LONGEST_WAIT_MS))


class StoreWatcher(Service):
    """Service that watches the objects in the store and reports their changes.

    Parameters
    ----------
    store
        The platform's store.
    journal
        Journal of the host.
    eras
        Tracker of the store's era.
    apply_ms, leave_ms, window_ms
        Bounds within which a new configuration and a leaving server must be
        known, and the time without a fault after which they apply.
    on_server, on_server_gone
        Called when a server is listed or changes, and when it is removed.
    on_configuration
        Called when another configuration is put in force.
    on_lease
        Called with each lease on a change of primary that a check reads.
    freshness
        Proofs that this watcher's calls yield, and which it leaves out calls for;
        None to watch all the time.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        journal: Journal,
        eras: EraTracker,
        apply_ms: int,
        leave_ms: int,
        window_ms: int,
        on_server: Callable[[ListedServer], None],
        on_server_gone: Callable[[ServerId], None],
        on_configuration: Callable[[Configuration], None],
        on_lease: Callable[[LeaseRecord], None],
        freshness: Freshness | None = None,
    ) -> None:
        super().__init__()
        self.store = store
        self.journal = journal
        self.eras = eras
        if freshness is None:
            freshness = Freshness(journal=journal, eras=eras, bounds=Bounds())
        self.freshness = freshness
        self.eras.listeners.append(self.interrupt_watches)
        self.on_server = on_server
        self.entries = ServerEntries(
            journal=journal,
            on_server=lambda server: self.on_server(server),
            on_server_gone=on_server_gone,
        )
        self.entry = ConfigurationEntry(
            journal=journal, eras=eras, on_configuration=on_configuration
        )
        self.on_lease = on_lease
        self.check_period_ms = LONGEST_CHECK_MS
        self.wait_ms: dict[StoredKind, int] = {}
        self.set_bounds(apply_ms, leave_ms, window_ms)
        self.watch_timeouts: dict[StoredKind, asyncio.Timeout] = {}
        # When each kind was last read, in milliseconds since boot.
        self.read_at: dict[StoredKind, int] = {}
        self.unavailable: set[StoredKind] = set()
        self.back_at = 0
        self.servers_listed = False
        # When the servers are to be listed anew, None after a list that was applied.
        self.list_servers_at: int | None = None

    @property
    def configuration(self) -> Configuration:
        """Configuration in force."""
        return self.entry.in_force

    @property
    def listed(self) -> dict[ServerId, ListedServer]:
        """Servers that the store lists, as their entries were last read."""
        return self.entries.listed

    def set_bounds(self, apply_ms: int, leave_ms: int, window_ms: int) -> None:
        """Derive the waits of watches and the period of checks from the bounds."""
        self.check_period_ms = choose_check_period_ms(min(apply_ms, leave_ms))
        self.wait_ms = {
            StoredKind.CONFIGURATION: choose_wait_ms(apply_ms, window_ms),
            StoredKind.SERVER: choose_wait_ms(leave_ms, window_ms),
        }

    @Service.task
    @keep_running
    async def _follow_servers(self) -> None:
        await self._follow(StoredKind.SERVER)

    @Service.task
    @keep_running
    async def _follow_configuration(self) -> None:
        await self._follow(StoredKind.CONFIGURATION)

    @Service.task
    @keep_running
    async def _check_store(self) -> None:
        """Read the leases periodically, and restart watches around an outage.

        A watch that was waiting during an outage may never be answered, so
        watches restart at the first failed check and at the first good one.
        """
        while not self.should_stop:
            await asyncio.sleep(self.check_period_ms / 1000)
            self._remove_missing()
            try:
                snapshot = await self.store.list(StoredKind.PRIMARY_CHANGE, stale=True)
            except StoreError as error:
                self._record_lost(StoredKind.PRIMARY_CHANGE, error)
                self.interrupt_watches()
                continue
            if not self.eras.accept(snapshot.era):
                continue
            if StoredKind.PRIMARY_CHANGE in self.unavailable:
                self._record_back(StoredKind.PRIMARY_CHANGE)
                self.interrupt_watches()
            for change in snapshot.changes:
                if isinstance(change.content, LeaseRecord):
                    self.on_lease(change.content)

    def interrupt_watches(self) -> None:
        """Have each watch that waits begin again."""
        now = asyncio.get_running_loop().time()
        for scope in self.watch_timeouts.values():
            scope.reschedule(now)

    async def _follow(self, kind: StoredKind) -> None:
        latest: Snapshot | None = None
        rested = False
        while not self.should_stop:
            try:
                if latest is not None and self._may_rest(kind, latest):
                    rested = True
                    await self.freshness.rest(kind)
                    continue
                latest, changed = await self._read(kind, latest, rested=rested)
                rested = False
                self._record_back(kind)
                if latest.changes:
                    await asyncio.sleep(self._choose_pause_s(kind, changed=changed))
            except TimeoutError:
                self.journal.record(EventKind.WATCH_RESTARTED, kind=kind.value)
            except HistoryLostError:
                latest = None
            except StoreError as error:
                self._record_lost(kind, error)
                latest = None
                await asyncio.sleep(RETRY_PAUSE_S)
                await self.freshness.back_off(kind)
            self._remove_missing()

    async def _read(
        self, kind: StoredKind, latest: Snapshot | None, *, rested: bool
    ) -> tuple[Snapshot, bool]:
        """List or watch a kind, and apply the answer.

        Parameters
        ----------
        kind
            The kind.
        latest
            The answer before, None without one to go on from.
        rested
            Whether nothing was read for a while because others vouched.

        Returns
        -------
        tuple
            The answer, and whether anything that is used here changed.
        """
        self.freshness.calls[kind] += 1
        asked_at = read_boot_ms()
        is_list = latest is None or self._must_list(kind, latest)
        if latest is None or is_list:
            snapshot = await self._list(kind)
            proven_at = asked_at
        else:
            is_late = rested or self._is_late(kind, asked_at)
            snapshot = await self._watch(kind, latest, is_late=is_late)
            proven_at = asked_at - MISSED_CHANGES_MS
        self.read_at[kind] = read_boot_ms()
        if kind is StoredKind.CONFIGURATION:
            self._apply_configuration(snapshot, proven_at, is_list=is_list)
            changed = bool(snapshot.changes)
        else:
            changed = self._apply_servers(snapshot, proven_at, is_list=is_list)
        self.freshness.end_read(kind, asked_at)
        return snapshot, changed

    def _is_late(self, kind: StoredKind, now: int) -> bool:
        """Return whether the proof of the configuration can't wait for a change."""
        is_pause_over = now - self.read_at.get(kind, now) >= SHORTEST_WAIT_MS
        is_configuration = kind is StoredKind.CONFIGURATION
        return is_configuration and is_pause_over and self.freshness.needs_read

    def _apply_configuration(
        self, snapshot: Snapshot, proven_at: int, *, is_list: bool
    ) -> None:
        if is_list:
            continuity = self.entry.apply_list(
                snapshot.changes, snapshot.era, proven_at
            )
        else:
            continuity = self.entry.apply_changes(snapshot.changes, proven_at)
        if continuity is not Continuity.UNCHANGED:
            self.freshness.is_certain = continuity is Continuity.CERTAIN
        if self.configuration.revision:
            state = self.entry.describe(snapshot.era)
            self.freshness.observe_configuration(state, proven_at)

    def _apply_servers(
        self, snapshot: Snapshot, proven_at: int, *, is_list: bool
    ) -> bool:
        apply = self._apply_list if is_list else self._apply_changes
        changed = apply(snapshot.changes)
        if self.list_servers_at is None:
            # A list does not show what changed and changed back before it.
            self.freshness.observe_servers(
                snapshot.era, snapshot.revision, proven_at, changed=changed or is_list
            )
        return changed

    def _may_rest(self, kind: StoredKind, latest: Snapshot) -> bool:
        is_due = self._must_list(kind, latest) or kind in self.unavailable
        return not is_due and not self.freshness.should_read(kind)

    def _choose_pause_s(self, kind: StoredKind, *, changed: bool) -> float:
        if kind is StoredKind.CONFIGURATION and self.freshness.is_active:
            return self.freshness.choose_pause_ms() / 1000
        return BURST_PAUSE_S if changed else QUIET_PAUSE_S

    def _must_list(self, kind: StoredKind, latest: Snapshot) -> bool:
        if latest.era != self.eras.era:
            return True
        if kind is StoredKind.CONFIGURATION and self.freshness.needs_lists:
            return True
        due = self.list_servers_at if kind is StoredKind.SERVER else None
        return due is not None and read_boot_ms() >= due

    def _choose_wait_ms(self, kind: StoredKind) -> int:
        wait = self.freshness.choose_wait_ms(kind) or self.wait_ms[kind]
        if kind is not StoredKind.SERVER or self.list_servers_at is None:
            return wait
        return max(1, min(wait, self.list_servers_at - read_boot_ms()))

    async def _list(self, kind: StoredKind) -> Snapshot:
        """List the objects of a kind.

        Raises
        ------
        StoreError
            When the store gave no answer of its latest era.
        """
        snapshot = await self.store.list(kind)
        if not self.eras.accept(snapshot.era):
            raise StoreError(f"a list of era {snapshot.era}, not {self.eras.era}")
        return snapshot

    async def refresh_servers(self) -> None:
        """Read the list of servers now, and apply those that are new or changed.

        Servers that it lacks are left to the watch.

        Raises
        ------
        StoreError
            When the store gave no answer of its latest era.
        """
        snapshot = await self._list(StoredKind.SERVER)
        if not self.eras.is_settling(RETURN_GRACE_MS):
            self._apply_changes(snapshot.changes)

    async def read_leases(self) -> tuple[LeaseRecord, ...]:
        """Read the leases of the store's latest era as they are now.

        Raises
        ------
        StoreError
            When the store gave no answer of its latest era.
        """
        snapshot = await self._list(StoredKind.PRIMARY_CHANGE)
        found = [change.content for change in snapshot.changes]
        return tuple(
            record
            for record in found
            if isinstance(record, LeaseRecord) and record.era == self.eras.era
        )

    async def _watch(
        self, kind: StoredKind, latest: Snapshot, *, is_late: bool
    ) -> Snapshot:
        """Wait for changes after an earlier answer, or read those until now.

        Raises
        ------
        TimeoutError
            When `interrupt_watches` ended the wait.
        HistoryLostError
            When the store has dropped the history since then, or was restored: a
            restored store that has given out the revision again continues from it
            without an error.
        """
        async with asyncio.timeout(None) as scope:
            self.watch_timeouts[kind] = scope
            try:
                wait_ms = NO_WAIT_MS if is_late else self._choose_wait_ms(kind)
                snapshot = await self.store.watch(kind, latest.revision, wait_ms)
            finally:
                del self.watch_timeouts[kind]
        if not self.eras.accept(snapshot.era) or snapshot.era != latest.era:
            raise HistoryLostError(f"the store was restored after era {latest.era}")
        return snapshot

    def _record_lost(self, kind: StoredKind, error: StoreError) -> None:
        if kind not in self.unavailable:
            self.unavailable.add(kind)
            self.journal.record(EventKind.STORE_LOST, kind=kind.value, why=str(error))

    def _record_back(self, kind: StoredKind) -> None:
        if kind in self.unavailable:
            self.unavailable.discard(kind)
            self.back_at = read_boot_ms()
            self.journal.record(EventKind.STORE_BACK, kind=kind.value)

    def _apply_list(self, changes: tuple[Change, ...]) -> bool:
        """Apply the list of servers; return whether anything that is used changed.

        The servers of a store that was just restored are older than those known here,
        so their list is read again once they had time to register.
        """
        if self.servers_listed and self.eras.is_settling(RETURN_GRACE_MS):
            self.list_servers_at = self.eras.state.seen_at + RETURN_GRACE_MS
            return True
        changed = self._apply_changes(changes)
        self.servers_listed = True
        self.list_servers_at = None
        names = {ServerId(change.name) for change in changes}
        return self.entries.mark_unlisted(names) or changed

    def _remove_missing(self) -> None:
        now = read_boot_ms()
        if self.unavailable or now - self.back_at < RETURN_GRACE_MS:
            return
        if self.eras.is_settling(RETURN_GRACE_MS):
            return
        self.entries.remove_missing()

    def _apply_changes(self, changes: tuple[Change, ...]) -> bool:
        """Apply changes of servers; return whether anything that is used changed."""
        changed = False
        for change in changes:
            changed |= self.entries.apply(change)
        return changed
