"""This host's entry in the store and the list of hosts."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from apricotshore.decisions.relays import ListedHost
from apricotshore.identifiers import DataCentreId, HostId
from apricotshore.pooling import host_watcher
from apricotshore.pooling.host_watcher import HostWatcher
from apricotshore.pooling.ports import StoreError
from apricotshore.services.eras import EraTracker
from standins.in_memory import ModelGroup, ModelPlatform

from .support import make_journal, wait_until

HOST = HostId("host-0")
ENTRY = ListedHost(host=HOST, data_centre=DataCentreId("braga-a"), address="10.0.0.1:1")
PEER = ListedHost(
    host=HostId("host-1"), data_centre=DataCentreId("braga-a"), address="10.0.0.2:1"
)
LEAVING = replace(ENTRY, leaving=True)


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


async def test_entry_of_a_leaving_host_stays_until_it_is_removed(monkeypatch):
    async with running(monkeypatch) as bed:
        bed.watcher.mark_leaving()
        await wait_until(lambda: bed.store.hosts[HOST] == LEAVING, 1.0)
        await asyncio.sleep(0.1)
        assert bed.store.hosts[HOST] == LEAVING
        await bed.watcher.remove_entry()
        assert HOST not in bed.store.hosts


async def test_entry_of_a_leaving_host_that_a_copy_brings_back_is_marked_again(
    monkeypatch,
):
    async with running(monkeypatch) as bed:
        bed.watcher.mark_leaving()
        await wait_until(lambda: bed.store.hosts[HOST] == LEAVING, 1.0)
        bed.store.restore()
        bed.store.hosts[HOST] = ENTRY
        bed.eras.accept(bed.store.era)
        await wait_until(lambda: bed.store.hosts[HOST] == LEAVING, 1.0)


async def test_mark_of_a_leaving_host_is_repeated_until_the_store_answers(monkeypatch):
    monkeypatch.setattr(host_watcher, "RETRY_PERIOD_S", 0.05)
    async with running(monkeypatch) as bed:
        bed.store.down = True
        bed.watcher.mark_leaving()
        await wait_until(lambda: not bed.watcher.is_available, 1.0)
        bed.store.down = False
        await wait_until(lambda: bed.store.hosts[HOST] == LEAVING, 1.0)


async def test_mark_that_comes_amid_a_write_is_written_after_it(monkeypatch):
    async with running(monkeypatch) as bed:
        let_write = asyncio.Event()
        write_host = bed.store.write_host

        async def write_slowly(entry):
            await let_write.wait()
            return await write_host(entry)

        monkeypatch.setattr(bed.store, "write_host", write_slowly)
        bed.restore()
        await wait_until(bed.watcher.writing.locked, 1.0)
        bed.watcher.mark_leaving()
        let_write.set()
        await wait_until(lambda: bed.store.hosts.get(HOST) == LEAVING, 1.0)


async def test_removed_entry_is_not_written_again(monkeypatch):
    async with running(monkeypatch) as bed:
        await bed.watcher.remove_entry()
        bed.restore()
        await asyncio.sleep(0.3)
        assert HOST not in bed.store.hosts


@pytest.mark.parametrize("fault", ["down", "silent"])
async def test_removal_that_fails_is_logged_and_ends_in_time(monkeypatch, fault):
    monkeypatch.setattr(host_watcher, "REMOVE_TIMEOUT_S", 0.1)
    async with running(monkeypatch) as bed:
        lines = []
        bed.watcher.journal.record = lambda kind, **data: lines.append(data["why"])

        async def remove(host):
            await asyncio.sleep(5)

        if fault == "silent":
            monkeypatch.setattr(bed.store, "remove_host", remove)
        bed.store.down = fault == "down"
        async with asyncio.timeout(1.0):
            await bed.watcher.remove_entry()
        assert [line[:25] for line in lines] == ["the entry was not removed"]


async def test_entry_is_written_at_once_when_the_store_is_back(monkeypatch):
    """Callers wait for it after a start amid an outage of the store."""
    async with running(monkeypatch) as bed:
        bed.store.down = True
        bed.watcher.mark_leaving()
        await asyncio.sleep(0.05)
        bed.watcher.was_written.clear()
        bed.store.down = False
        monkeypatch.setattr(host_watcher, "RETRY_PERIOD_S", 30.0)
        async with asyncio.timeout(1.0):
            await bed.watcher.wait_until_written(30.0)
        assert bed.store.hosts[HOST] == LEAVING


async def test_entry_that_is_gone_is_written_again(monkeypatch):
    monkeypatch.setattr(host_watcher, "FIRST_HOSTS_PERIOD_S", 0.05)
    monkeypatch.setattr(host_watcher, "STALE_LIST_MS", 20)
    async with running(monkeypatch) as bed:
        assert HOST in bed.store.hosts
        del bed.store.hosts[HOST]
        await wait_until(lambda: bed.store.hosts.get(HOST) == ENTRY, 1.0)


async def test_entry_that_a_late_write_replaced_is_written_again(monkeypatch):
    async with running(monkeypatch) as bed:
        bed.watcher.mark_leaving()
        await wait_until(lambda: bed.store.hosts[HOST] == LEAVING, 1.0)
        await asyncio.sleep(0.01)
        bed.store.hosts[HOST] = ENTRY
        await bed.watcher.refresh()
        await wait_until(lambda: bed.store.hosts[HOST] == LEAVING, 1.0)


async def test_entry_seen_under_another_address_causes_no_write(monkeypatch):
    """A network may translate the addresses that it shows to the hosts."""
    async with running(monkeypatch) as bed:
        translated = replace(ENTRY, address="10.9.0.1:1")
        bed.store.hosts[HOST] = translated
        await asyncio.sleep(0.01)
        await bed.watcher.refresh()
        await asyncio.sleep(0.1)
        assert bed.store.hosts[HOST] == translated


async def test_stale_list_that_lacks_a_new_entry_causes_no_write(monkeypatch):
    monkeypatch.setattr(host_watcher, "FIRST_HOSTS_PERIOD_S", 0.05)
    async with running(monkeypatch) as bed:
        del bed.store.hosts[HOST]
        await wait_until(lambda: len(bed.lists) > 2, 1.0)
        assert HOST not in bed.store.hosts


async def test_fresh_list_holds_a_host_that_came_since_the_last_one(monkeypatch):
    async with running(monkeypatch) as bed:
        reads = []
        list_objects = bed.store.list

        async def observe(kind, *, stale=False):
            reads.append(stale)
            return await list_objects(kind, stale=stale)

        monkeypatch.setattr(bed.store, "list", observe)
        late = replace(PEER, host=HostId("host-2"), leaving=True)
        bed.store.hosts[late.host] = late
        hosts = await bed.watcher.refresh()
        assert hosts == {HOST: ENTRY, PEER.host: PEER, late.host: late}
        assert bed.lists[-1] == set(hosts)
        assert reads == [False]


async def test_fresh_list_that_cannot_be_read_raises_and_is_not_reported(monkeypatch):
    async with running(monkeypatch) as bed:
        count = len(bed.lists)
        bed.store.down = True
        with pytest.raises(StoreError):
            await bed.watcher.refresh()
        assert len(bed.lists) == count


@pytest.mark.parametrize("is_known", [True, False])
async def test_fresh_list_of_a_store_restored_a_moment_ago_is_not_used(
    monkeypatch, is_known
):
    async with running(monkeypatch) as bed:
        count = len(bed.lists)
        bed.store.restore()
        if is_known:
            bed.eras.accept(bed.store.era)
        with pytest.raises(StoreError):
            await bed.watcher.refresh()
        assert len(bed.lists) == count


def test_hosts_are_listed_often_only_while_the_fleet_starts():
    periods = [host_watcher.choose_hosts_period_s(n, 5) for n in range(1, 8)]
    assert periods == sorted(periods)
    assert periods[-1] == host_watcher.HOSTS_PERIOD_S
    assert host_watcher.choose_hosts_period_s(9, 0) < periods[0]
