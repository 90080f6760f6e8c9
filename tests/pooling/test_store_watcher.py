"""The store watcher, with faults of the store."""

import asyncio

from apricotshore.identifiers import StoreEra, StoreRevision
from apricotshore.pooling import store_watcher
from apricotshore.pooling.ports import HistoryLostError, StoreError
from apricotshore.pooling.store_watcher import (
    StoreWatcher,
    choose_check_period_ms,
    choose_wait_ms,
)
from apricotshore.pooling.stored_objects import Change, Snapshot, StoredKind
from apricotshore.routes import Configuration
from apricotshore.services.eras import EraTracker
from standins.in_memory import ModelGroup

from .support import make_journal, wait_until

# Timeout of a call to the store.
CALL_TIMEOUT_MS = 800
# Time that the client allows a watch beyond its wait.
WATCH_MARGIN_S = 0.5


class ScriptedStore:
    """A store whose lists and watches a test sets."""

    def __init__(self) -> None:
        self.lists: dict[StoredKind, list] = {kind: [] for kind in StoredKind}
        self.events: dict[StoredKind, asyncio.Queue] = {
            kind: asyncio.Queue() for kind in StoredKind
        }
        self.down = False
        self.checks_fail = False
        self.mute = False
        self.listed = 0
        self.era = 1
        self.watched: list[StoredKind] = []

    def restore(self) -> None:
        """Begin another era, as a store does that comes back from an older copy."""
        self.era += 1

    async def list(self, kind, *, stale=False):
        if self.down or (stale and self.checks_fail):
            raise StoreError("down")
        self.listed += kind is StoredKind.CONFIGURATION
        return Snapshot(
            changes=tuple(self.lists[kind]),
            revision=StoreRevision(1),
            era=StoreEra(self.era),
        )

    async def watch(self, kind, revision, wait_ms):
        self.watched.append(kind)
        if self.down:
            raise StoreError("down")
        if self.mute:
            await asyncio.sleep(wait_ms / 1000 + WATCH_MARGIN_S)
            raise StoreError("no answer in time")
        try:
            async with asyncio.timeout(wait_ms / 1000):
                event = await self.events[kind].get()
        except TimeoutError:
            return Snapshot(changes=(), revision=revision, era=StoreEra(self.era))
        if isinstance(event, Exception):
            raise event
        return Snapshot(changes=(event,), revision=revision, era=StoreEra(self.era))


def configuration(revision: int, version: int) -> Change:
    content = Configuration(revision=StoreRevision(revision), version=version)
    return Change(name="main", content=content, removed=False)


def server(name: str = "s1", *, removed: bool = False) -> Change:
    model = ModelGroup.make()
    content = None if removed else model.list(model.servers[name])
    return Change(name=name, content=content, removed=removed)


class Bed:
    def __init__(self) -> None:
        self.store = ScriptedStore()
        self.servers: set[str] = set()
        self.applied: list[int] = []
        journal = make_journal()
        self.store_watcher = StoreWatcher(
            store=self.store,
            journal=journal,
            eras=EraTracker(),
            apply_ms=1_600,
            leave_ms=1_600,
            window_ms=1_600,
            on_server=lambda s: self.servers.add(s.server),
            on_server_gone=lambda s: self.servers.remove(s),
            on_configuration=lambda c: self.applied.append(c.version),
            on_lease=lambda record: None,
        )

    async def __aenter__(self) -> "Bed":
        await self.store_watcher.start()
        return self

    async def __aexit__(self, *error) -> None:
        await self.store_watcher.stop()


async def test_older_configuration_is_ignored():
    bed = Bed()
    bed.store.lists[StoredKind.CONFIGURATION] = [configuration(5, 50)]
    async with bed:
        await wait_until(lambda: bed.applied)
        bed.store.events[StoredKind.CONFIGURATION].put_nowait(configuration(9, 40))
        bed.store.events[StoredKind.CONFIGURATION].put_nowait(configuration(4, 55))
        await wait_until(lambda: len(bed.applied) > 1)
    assert bed.applied == [50, 55]


async def test_lost_history_is_replaced_by_a_new_list():
    bed = Bed()
    bed.store.lists[StoredKind.CONFIGURATION] = [configuration(5, 50)]
    async with bed:
        await wait_until(lambda: bed.applied)
        bed.store.lists[StoredKind.CONFIGURATION] = [configuration(7, 70)]
        bed.store.events[StoredKind.CONFIGURATION].put_nowait(HistoryLostError(""))
        await wait_until(lambda: bed.applied == [50, 70])


async def test_undecodable_configuration_is_ignored():
    bed = Bed()
    bed.store.lists[StoredKind.CONFIGURATION] = [configuration(5, 50)]
    async with bed:
        await wait_until(lambda: bed.applied)
        broken = Change(name="main", content=None, removed=False)
        bed.store.events[StoredKind.CONFIGURATION].put_nowait(broken)
        await asyncio.sleep(0.05)
        assert bed.store_watcher.configuration.version == 50


async def test_servers_that_expire_in_an_outage_get_a_grace_period(monkeypatch):
    monkeypatch.setattr(store_watcher, "RETURN_GRACE_MS", 500)
    bed = Bed()
    bed.store.lists[StoredKind.SERVER] = [server("s1"), server("s2")]
    async with bed:
        await wait_until(lambda: len(bed.servers) == 2)
        bed.store.down = True
        await wait_until(lambda: StoredKind.SERVER in bed.store_watcher.unavailable)
        bed.store.lists[StoredKind.SERVER] = [server("s2")]
        bed.store.down = False
        await wait_until(lambda: StoredKind.SERVER not in bed.store_watcher.unavailable)
        assert bed.servers == {"s1", "s2"}
        await wait_until(lambda: bed.servers == {"s2"})


async def test_server_removed_while_the_store_is_available_is_removed():
    bed = Bed()
    bed.store.lists[StoredKind.SERVER] = [server("s1")]
    async with bed:
        await wait_until(lambda: bed.servers)
        bed.store.events[StoredKind.SERVER].put_nowait(server("s1", removed=True))
        await wait_until(lambda: not bed.servers)


async def test_changes_in_a_burst_are_fetched_together():
    bed = Bed()
    bed.store.lists[StoredKind.CONFIGURATION] = [configuration(1, 1)]
    async with bed:
        await wait_until(lambda: bed.applied)
        began = asyncio.get_running_loop().time()
        bed.store.events[StoredKind.CONFIGURATION].put_nowait(configuration(2, 2))
        bed.store.events[StoredKind.CONFIGURATION].put_nowait(configuration(3, 3))
        await wait_until(lambda: bed.applied[-1] == 3)
        assert asyncio.get_running_loop().time() - began >= store_watcher.BURST_PAUSE_S


async def test_watches_restart_when_a_check_fails():
    bed = Bed()
    bed.store_watcher.check_period_ms = 50
    bed.store.lists[StoredKind.CONFIGURATION] = [configuration(1, 1)]
    async with bed:
        await wait_until(lambda: len(bed.store.watched) == 2)
        bed.store.checks_fail = True
        # A watch that waits in an outage is never answered; only a new one is.
        await wait_until(lambda: len(bed.store.watched) >= 4, 1.0)
        bed.store.checks_fail = False
        await wait_until(lambda: not bed.store_watcher.unavailable)
        began = len(bed.store.watched)
        await asyncio.sleep(0.3)
        assert len(bed.store.watched) - began <= 2


async def test_watches_are_not_interrupted_while_checks_succeed():
    bed = Bed()
    bed.store_watcher.set_bounds(10_000, 10_000, 10_000)
    bed.store_watcher.check_period_ms = 20
    bed.store.lists[StoredKind.CONFIGURATION] = [configuration(1, 1)]
    async with bed:
        await wait_until(lambda: len(bed.store.watched) == 2)
        await asyncio.sleep(0.3)
        assert len(bed.store.watched) == 2


def test_failed_check_leaves_time_for_a_new_watch_within_the_bound():
    assert choose_check_period_ms(3_000) + CALL_TIMEOUT_MS < 3_000
    assert choose_check_period_ms(2_000) + CALL_TIMEOUT_MS < 2_000
    assert choose_check_period_ms(100) == store_watcher.SHORTEST_CHECK_MS


async def test_change_missed_by_an_unanswered_watch_is_applied_within_the_window():
    """A store that drops its history may never answer a watch that waits."""
    bed = Bed()
    bed.store.lists[StoredKind.CONFIGURATION] = [configuration(5, 50)]
    bed.store.mute = True
    async with bed:
        await wait_until(lambda: StoredKind.CONFIGURATION in bed.store.watched)
        bed.store.lists[StoredKind.CONFIGURATION] = [configuration(7, 70)]
        await wait_until(lambda: bed.applied == [50, 70], 1.6)


def test_unanswered_watch_leaves_time_for_a_new_list_within_the_window():
    assert choose_wait_ms(3_000, 5_000) + 1_000 * WATCH_MARGIN_S < 5_000
    # The bound of a server that leaves just before the watch goes silent begins then.
    gap_ms = 1_300
    for bound_ms, window_ms in ((7_000, 5_000), (10_000, 6_000)):
        ends = choose_wait_ms(bound_ms, window_ms) + 1_000 * WATCH_MARGIN_S
        assert ends < max(bound_ms - gap_ms, window_ms)
    assert choose_wait_ms(100, 100) == store_watcher.SHORTEST_WAIT_MS


async def test_heartbeats_of_starting_servers_cost_few_calls():
    """Their entries change at each heartbeat in a field that is not used here."""
    bed = Bed()
    duration_s = 3.2
    watcher = bed.store_watcher
    async with bed:
        await wait_until(lambda: watcher.servers_listed)
        bed.store.events[StoredKind.SERVER].put_nowait(server())
        await asyncio.sleep(store_watcher.BURST_PAUSE_S + 0.1)
        bed.store.watched.clear()
        for _ in range(int(duration_s / 0.1)):
            bed.store.events[StoredKind.SERVER].put_nowait(server())
            await asyncio.sleep(0.1)
    assert bed.store.watched.count(StoredKind.SERVER) <= 3


async def test_removal_of_a_server_is_not_taken_for_a_heartbeat():
    bed = Bed()
    watcher = bed.store_watcher
    async with bed:
        await wait_until(lambda: watcher.servers_listed)
        assert watcher._apply_changes((server(),))
        assert not watcher._apply_changes((server(),))
        assert watcher._apply_changes((server(removed=True),))
        assert watcher._apply_changes((server(),))


async def test_entry_whose_use_fails_costs_only_itself():
    """Other operators' report: one odd entry ended the watch of all servers."""
    bed = Bed()

    def refuse_first(found):
        if found.server == "s1":
            raise OverflowError("port must be 0-65535")
        bed.servers.add(found.server)

    bed.store_watcher.on_server = refuse_first
    bed.store.lists[StoredKind.SERVER] = [server("s1"), server("s2")]
    async with bed:
        await wait_until(lambda: bed.servers == {"s2"})
        bed.store.events[StoredKind.SERVER].put_nowait(server("s1"))
        bed.store.events[StoredKind.SERVER].put_nowait(server("s3"))
        await wait_until(lambda: bed.servers == {"s2", "s3"})
