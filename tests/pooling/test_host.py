"""Application object of a pooling host."""

import asyncio
from contextlib import asynccontextmanager

from aioprometheus import Registry

from apricotshore.decisions.relays import ListedHost
from apricotshore.identifiers import (
    DatabaseId,
    DataCentreId,
    HostId,
    StoreEra,
    StoreRevision,
)
from apricotshore.organisations import Admission
from apricotshore.pooling import host_watcher
from apricotshore.pooling.adapters import Adapters
from apricotshore.pooling.host import PoolingHost
from apricotshore.pooling.ports import StoreError
from apricotshore.pooling.settings import parse_pooling_settings
from apricotshore.pooling.stored_objects import Change, StoredKind
from apricotshore.queries import FailureCode
from apricotshore.routes import Configuration, GroupSettings
from standins.in_memory import GROUP, ModelDialer, ModelGroup, ModelPlatform
from tests.test_pooling_settings import GOOD

from .support import make_journal, make_route, read, wait_until, write
from .test_caller_session import FakeCaller
from .test_store_watcher import ScriptedStore

SHOP = DatabaseId("shop")


class NoPeers:
    """Other hosts, none of which is asked for anything."""

    async def quiesce(self, host, request, timeout_s):
        raise AssertionError(f"{host.host!r} was asked")


class ListingStore(ScriptedStore):
    """A scripted store that also keeps the entries of hosts."""

    def __init__(self) -> None:
        super().__init__()
        self.hosts: dict[HostId, ListedHost] = {}
        self.takes_writes = True

    async def write_host(self, entry):
        if not self.takes_writes:
            raise StoreError("takes no writes")
        self.hosts[entry.host] = entry
        return StoreEra(self.era)

    async def remove_host(self, host):
        self.hosts.pop(host, None)
        return StoreEra(self.era)


class StuckSession:
    """Session of another host that does not end."""

    def leave(self) -> None:
        return

    def end(self) -> None:
        return


PEER_ADDRESS = "caller-address = 10.1.0.8:8784\npeer-address = 10.1.0.8:8786"
LISTED = GOOD.replace("caller-address = 10.1.0.8:8784", PEER_ADDRESS)


@asynccontextmanager
async def running_host(text: str = GOOD):
    model = ModelGroup.make()
    store = ListingStore()

    async def close() -> None:
        return

    host = PoolingHost(
        settings=parse_pooling_settings(text, "host.ini"),
        adapters=Adapters(
            store=store,
            promoter=ModelPlatform(group=model),
            dialer=ModelDialer(group=model, host_name="h"),
            peers=NoPeers(),
            close=close,
        ),
        journal=make_journal(),
        registry=Registry(),
    )
    store.lists[StoredKind.SERVER] = [
        Change(name=name, content=model.list(server), removed=False)
        for name, server in model.servers.items()
    ]
    await host.start()
    try:
        yield host, store
    finally:
        await host.stop()


def configure(store: ScriptedStore) -> None:
    content = Configuration(revision=StoreRevision(2), routes={SHOP: make_route()})
    change = Change(name="main", content=content, removed=False)
    store.events[StoredKind.CONFIGURATION].put_nowait(change)


def list_host(number: int) -> ListedHost:
    return ListedHost(
        host=HostId(f"host-{number}"),
        data_centre=DataCentreId("braga-a"),
        address=f"10.0.0.{number}:1",
    )


async def test_callers_wait_for_the_first_configuration():
    async with running_host() as (host, store):
        admitting = asyncio.create_task(host.admit(SHOP))
        await asyncio.sleep(0.1)
        assert not host.is_ready
        assert not admitting.done()
        configure(store)
        assert await admitting == Admission(database=SHOP)
        assert host.is_ready


async def test_callers_wait_until_other_hosts_can_know_of_the_host(monkeypatch):
    monkeypatch.setattr(host_watcher, "RETRY_PERIOD_S", 0.05)
    async with running_host(LISTED) as (host, store):
        store.takes_writes = False
        configure(store)
        await wait_until(lambda: host.readiness.has_read_store)
        await asyncio.sleep(0.1)
        assert not store.hosts
        assert not host.is_loaded
        assert not host.is_ready
        admitting = asyncio.create_task(host.admit(SHOP))
        await asyncio.sleep(0.1)
        assert not admitting.done()
        store.takes_writes = True
        assert await admitting == Admission(database=SHOP)
        assert host.is_ready
        assert list(store.hosts) == [host.settings.host]


async def test_store_that_takes_no_writes_delays_callers_for_a_bounded_time(
    monkeypatch,
):
    monkeypatch.setattr("apricotshore.pooling.readiness.LISTING_S", 0.2)
    async with running_host(LISTED) as (host, store):
        store.takes_writes = False
        configure(store)
        await wait_until(lambda: host.readiness.has_read_store)
        assert not host.is_loaded
        assert await host.admit(SHOP) == Admission(database=SHOP)
        assert host.is_ready
        assert not store.hosts


async def test_entry_of_a_stopping_host_stays_until_its_connections_are_closed(
    monkeypatch,
):
    async with running_host(LISTED) as (host, store):
        configure(store)
        await wait_until(lambda: host.is_ready)
        name, model = host.settings.host, host.adapters.dialer.group
        caller = FakeCaller()
        serving = asyncio.create_task(host.serve(Admission(database=SHOP), caller))
        assert (await caller.ask(read("r1"))).failure is None
        for server in model.servers.values():
            server.mute = True
        caller.incoming.put_nowait(write("w1"))
        await wait_until(lambda: host.groups[GROUP].pools["s1"].used)
        host.begin_drain()
        await wait_until(lambda: store.hosts[name].leaving)
        open_at_removal = []
        remove_host = store.remove_host

        async def observe(removed):
            links = host.adapters.dialer.links
            open_at_removal.append(sum(link.open for link in links))
            return await remove_host(removed)

        monkeypatch.setattr(store, "remove_host", observe)
        assert host.groups[GROUP].pools["s1"].used
        await host.stop()
        assert open_at_removal == [0]
        assert not store.hosts
        assert serving.done()


async def test_entry_of_a_host_that_cannot_close_its_connections_stays():
    async with running_host(LISTED) as (host, store):
        configure(store)
        await wait_until(lambda: host.is_ready)
        host.begin_drain()
        await wait_until(lambda: store.hosts[host.settings.host].leaving)
        host.other_hosts.sessions.add(StuckSession())
        async with asyncio.timeout(3):
            await host.stop()
        assert store.hosts[host.settings.host].leaving


async def test_missing_configuration_is_not_reported_as_an_unknown_database(
    monkeypatch,
):
    monkeypatch.setattr("apricotshore.pooling.readiness.LOADING_S", 0.05)
    async with running_host() as (host, store):
        assert await host.admit(SHOP) is FailureCode.OVERLOADED
        configure(store)
        await wait_until(lambda: host.is_ready)
        assert await host.admit(DatabaseId("none")) is FailureCode.NO_DATABASE


async def test_stopping_host_closes_idle_sessions_and_finishes_statements():
    async with running_host() as (host, store):
        configure(store)
        await wait_until(lambda: host.is_ready)
        idle, busy = FakeCaller(), FakeCaller()
        tasks = [
            asyncio.create_task(host.serve(Admission(database=SHOP), c))
            for c in (idle, busy)
        ]
        assert (await busy.ask(read("r1"))).failure is None
        await asyncio.sleep(0.2)
        busy.incoming.put_nowait(read("r2"))
        await asyncio.sleep(0)
        host.begin_drain()
        assert not host.is_ready
        async with asyncio.timeout(2):
            assert (await busy.answers.get()).failure is None
            await asyncio.gather(*tasks, return_exceptions=True)
        assert not idle.is_open
        assert not busy.is_open


async def test_host_that_reaches_no_server_is_not_ready():
    async with running_host() as (host, store):
        configure(store)
        await wait_until(lambda: host.is_ready)
        for server in host.adapters.dialer.group.servers.values():
            server.up = False
        await wait_until(lambda: not host.is_ready)
        for server in host.adapters.dialer.group.servers.values():
            server.up = True
        await wait_until(lambda: host.is_ready)


async def test_reloaded_settings_apply_without_a_restart():
    async with running_host() as (host, _):
        text = GOOD.replace("grace = 6 s", "grace = 9 s\napply-within = 2 s")
        host.reload(parse_pooling_settings(text, "host.ini"))
        assert host.drain.grace_ms == 9_000
        assert host.store_watcher.check_period_ms == 1_000


async def test_pools_connect_through_relays_once_the_fleet_is_too_large():
    async with running_host() as (host, store):
        groups = {GROUP: GroupSettings(connections=4)}
        content = Configuration(
            revision=StoreRevision(2), routes={SHOP: make_route()}, groups=groups
        )
        change = Change(name="main", content=content, removed=False)
        store.events[StoredKind.CONFIGURATION].put_nowait(change)
        await wait_until(lambda: host.is_loaded)
        pools = host.groups[GROUP].pools.values()
        assert not any(pool.relayed for pool in pools)
        host._update_hosts({h.host: h for h in map(list_host, range(20))})
        assert all(pool.relayed for pool in pools)
        host._update_hosts({})
        assert not any(pool.relayed for pool in pools)
