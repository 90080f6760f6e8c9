"""This host's entry in the store and the list of hosts."""

from contextlib import asynccontextmanager

from apricotshore.decisions.relays import ListedHost
from apricotshore.identifiers import DataCentreId, HostId
from apricotshore.pooling import host_watcher
from apricotshore.pooling.host_watcher import HostWatcher
from apricotshore.services.eras import EraTracker
from standins.in_memory import ModelGroup, ModelPlatform

from .support import make_journal, wait_until

HOST = HostId("host-0")
ENTRY = ListedHost(host=HOST, data_centre=DataCentreId("braga-a"), address="10.0.0.1:1")
PEER = ListedHost(
    host=HostId("host-1"), data_centre=DataCentreId("braga-a"), address="10.0.0.2:1"
)


class Bed:
    """A host watcher, its store, and the lists of hosts that it reported."""

    def __init__(self) -> None:
        self.store = ModelPlatform(group=ModelGroup.make())
        self.store.hosts[PEER.host] = PEER
        journal = make_journal()
        self.eras = EraTracker()
        self.lists: list[set[HostId]] = []
        self.watcher = HostWatcher(
            store=self.store,
            journal=journal,
            eras=self.eras,
            host=HOST,
            entry=ENTRY,
            on_hosts=lambda hosts: self.lists.append(set(hosts)),
        )

    def restore(self) -> None:
        """Restore the store, and have the host learn of it."""
        self.store.restore()
        self.eras.accept(self.store.era)


@asynccontextmanager
async def running(monkeypatch, grace_ms: int = 400):
    monkeypatch.setattr(host_watcher, "REWRITE_GRACE_MS", grace_ms)
    bed = Bed()
    await bed.watcher.start()
    try:
        await wait_until(lambda: bed.lists)
        yield bed
    finally:
        await bed.watcher.stop()


async def test_entry_that_a_restored_store_lost_is_written_again(monkeypatch):
    async with running(monkeypatch) as bed:
        bed.restore()
        await wait_until(lambda: HOST in bed.store.hosts, 1.0)


async def test_peers_that_a_restored_store_lost_get_time_to_write_their_entries(
    monkeypatch,
):
    async with running(monkeypatch) as bed:
        bed.restore()
        await wait_until(lambda: HOST in bed.store.hosts, 1.0)
        bed.store.hosts[PEER.host] = PEER
        await wait_until(lambda: len(bed.lists) > 1, 2.0)
    assert all(PEER.host in hosts for hosts in bed.lists)


async def test_withdrawn_entry_that_a_copy_brings_back_is_removed_again(monkeypatch):
    async with running(monkeypatch) as bed:
        bed.watcher.withdraw()
        await wait_until(lambda: HOST not in bed.store.hosts, 1.0)
        bed.store.restore()
        bed.store.hosts[HOST] = ENTRY
        bed.eras.accept(bed.store.era)
        await wait_until(lambda: HOST not in bed.store.hosts, 1.0)


async def test_withdrawal_is_repeated_until_the_store_answers(monkeypatch):
    monkeypatch.setattr(host_watcher, "RETRY_PERIOD_S", 0.05)
    async with running(monkeypatch) as bed:
        bed.store.down = True
        bed.watcher.withdraw()
        await wait_until(lambda: not bed.watcher.is_available, 1.0)
        bed.store.down = False
        await wait_until(lambda: HOST not in bed.store.hosts, 1.0)


def test_hosts_are_listed_often_only_while_the_fleet_starts():
    periods = [host_watcher.choose_hosts_period_s(n, 5) for n in range(1, 8)]
    assert periods == sorted(periods)
    assert periods[-1] == host_watcher.HOSTS_PERIOD_S
    assert host_watcher.choose_hosts_period_s(9, 0) < periods[0]
