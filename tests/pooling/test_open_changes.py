"""A host that starts amid a change of primary sends no writes to who is replaced."""

import asyncio
from contextlib import asynccontextmanager, suppress
from dataclasses import replace

import pytest

from apricotshore.decisions.commit_barrier import SEAL_MS
from apricotshore.decisions.lease import FormerPrimaries
from apricotshore.identifiers import (
    GroupId,
    StoreEra,
    StoreRevision,
    Term,
)
from apricotshore.organisations import Admission
from apricotshore.pooling.open_changes import FoundChange, OpenChanges
from apricotshore.pooling.ports import StoreError
from apricotshore.pooling.stored_objects import (
    Change,
    LeaseRead,
    LeaseRecord,
    StoredKind,
)
from apricotshore.services.clock import read_boot_ms
from standins.in_memory import GROUP

from . import test_host
from .support import ModelHost, committing, running, wait_until
from .test_commits_by_the_clock import S1, S2, S3, SETTLE_S, Scene, playing
from .test_host import LISTED, SHOP, ListingStore, configure
from .test_server_gate import make_host, quiesce

OPEN = LeaseRecord(
    group=GROUP,
    era=StoreEra(1),
    revision=StoreRevision(11),
    holder="h2@10.1.0.9:8784/1",
    open=True,
    former=FormerPrimaries(servers=(S1,), term=Term(1)),
)
RELEASED = replace(
    OPEN, revision=StoreRevision(13), open=False, former=FormerPrimaries()
)
OTHER_GROUPS = 500


def as_change(record: LeaseRecord) -> Change:
    name = f"{record.group}.{record.era}"
    return Change(name=name, content=record, removed=False)


class LeasingStore(ListingStore):
    """A scripted store with leases, which tells the order of its calls."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: list[str] = []
        self.lease = OPEN
        self.lists[StoredKind.PRIMARY_CHANGE] = [as_change(OPEN)]
        self.answers_leases = True

    async def list(self, kind, *, stale=False):
        if kind is StoredKind.PRIMARY_CHANGE and not stale:
            self.calls.append("leases")
            if not self.answers_leases:
                raise StoreError("no leases")
        return await super().list(kind, stale=stale)

    async def write_host(self, entry):
        era = await super().write_host(entry)
        self.calls.append("entry")
        return era

    async def read_lease(self, group, era):
        self.calls.append("lease")
        return LeaseRead(era=StoreEra(self.era), record=self.lease)

    async def write_lease(self, record):
        raise StoreError("takes no leases")


@asynccontextmanager
async def starting_host(monkeypatch, store: LeasingStore, text: str = LISTED):
    monkeypatch.setattr(test_host, "ListingStore", lambda: store)
    async with test_host.running_host(text) as (host, _):
        configure(store)
        yield host


def list_shut(group) -> list:
    return sorted(s for s in (S1, S2, S3) if group.is_quiesced(s))


@pytest.mark.parametrize("text", [LISTED, test_host.GOOD], ids=["listed", "no-entry"])
async def test_host_that_starts_sends_nothing_to_who_is_replaced(monkeypatch, text):
    store = LeasingStore()
    async with starting_host(monkeypatch, store, text) as host:
        assert await host.admit(SHOP) == Admission(database=SHOP)
        assert list_shut(host.groups[GROUP]) == [S1]
        left_ms = host.groups[GROUP].gates[S1].shut_until - read_boot_ms()
        assert SEAL_MS - 2_000 < left_ms <= SEAL_MS


async def test_leases_are_read_after_the_entry_was_written(monkeypatch):
    """A holder that lists the hosts before then has written its lease before that."""
    store = LeasingStore()
    async with starting_host(monkeypatch, store) as host:
        assert await host.admit(SHOP) == Admission(database=SHOP)
    assert store.calls.index("leases") > store.calls.index("entry")


async def test_one_list_tells_of_all_groups(monkeypatch):
    store = LeasingStore()
    store.lists[StoredKind.PRIMARY_CHANGE] = [
        as_change(replace(RELEASED, group=GroupId(f"g-{n}")))
        for n in range(OTHER_GROUPS)
    ]
    async with starting_host(monkeypatch, store) as host:
        assert await host.admit(SHOP) == Admission(database=SHOP)
        assert list_shut(host.groups[GROUP]) == []
        assert host.open_changes.found == {}
    assert store.calls.count("leases") == 1


async def test_writes_go_on_once_the_lease_is_released(monkeypatch):
    store = LeasingStore()
    async with starting_host(monkeypatch, store) as host:
        assert await host.admit(SHOP) == Admission(database=SHOP)
        group = host.groups[GROUP]
        store.lease = RELEASED
        await wait_until(lambda: not list_shut(group), 2.0)
        assert host.open_changes.found == {}


async def test_hold_is_renewed_while_the_lease_is_open(monkeypatch):
    store = LeasingStore()
    async with starting_host(monkeypatch, store) as host:
        assert await host.admit(SHOP) == Admission(database=SHOP)
        gate = host.groups[GROUP].gates[S1]
        first = gate.shut_until
        await wait_until(lambda: gate.shut_until > first, 2.0)


async def test_store_that_does_not_list_leases_delays_callers_for_a_bounded_time(
    monkeypatch,
):
    monkeypatch.setattr("apricotshore.pooling.readiness.LEASES_S", 0.2)
    store = LeasingStore()
    store.answers_leases = False
    async with starting_host(monkeypatch, store) as host:
        assert await host.admit(SHOP) == Admission(database=SHOP)
        assert host.is_ready
        assert list_shut(host.groups[GROUP]) == []
        store.answers_leases = True
        await wait_until(lambda: list_shut(host.groups[GROUP]) == [S1], 1.0)


async def test_host_whose_entry_is_written_late_reads_the_leases_then(monkeypatch):
    monkeypatch.setattr("apricotshore.pooling.readiness.LISTING_S", 0.2)
    monkeypatch.setattr("apricotshore.pooling.host_watcher.RETRY_PERIOD_S", 0.5)
    store = LeasingStore()
    store.takes_writes = False
    async with starting_host(monkeypatch, store) as host:
        assert await host.admit(SHOP) == Admission(database=SHOP)
        assert store.calls.count("leases") == 0
        store.takes_writes = True
        await wait_until(lambda: list_shut(host.groups[GROUP]) == [S1], 2.0)


# -- leases as they are read --


def make_changes(host) -> OpenChanges:
    return OpenChanges(
        store_watcher=None,
        host_watcher=None,
        journal=host.group.journal,
        find_group=lambda name: host.group if name == GROUP else None,
    )


async def test_unknown_former_primary_may_be_any_server_but_the_target():
    host = make_host()
    changes = make_changes(host)
    unknown = replace(OPEN, former=FormerPrimaries())
    changes.begin(unknown)
    assert list_shut(host.group) == [S1, S2, S3]
    changes.observe(replace(unknown, revision=StoreRevision(12), target=S2))
    assert list_shut(host.group) == [S1, S3]


async def test_lease_that_was_read_late_changes_nothing():
    host = make_host()
    changes = make_changes(host)
    changes.begin(replace(OPEN, revision=StoreRevision(20)))
    changes.observe(RELEASED)
    assert list_shut(host.group) == [S1]


async def test_later_change_keeps_its_hold_when_an_earlier_one_ends():
    host = make_host()
    changes = make_changes(host)
    changes.begin(OPEN)
    change = FoundChange(record=RELEASED, read_at=0)
    await host.group.quiesce(quiesce(token=change.token + 1))
    changes.observe(RELEASED)
    assert list_shut(host.group) == [S1]


async def test_later_change_of_a_group_is_left_to_its_holder():
    """This host is on the list by then, and is asked."""
    host = make_host()
    changes = make_changes(host)
    changes.begin(OPEN)
    changes.observe(RELEASED)
    changes.observe(replace(OPEN, revision=StoreRevision(14)))
    assert list_shut(host.group) == []


async def test_group_that_is_listed_after_its_lease_was_read_is_held():
    host = make_host()
    groups: dict = {}
    changes = make_changes(host)
    changes.find_group = groups.get
    changes.begin(OPEN)
    groups[GROUP] = host.group
    assert list_shut(host.group) == []
    changes.renew(host.group)
    assert list_shut(host.group) == [S1]


async def test_host_sends_again_once_a_later_term_is_led():
    host = make_host()
    make_changes(host).begin(OPEN)
    host.group.observe_primary(S1, Term(1), read_boot_ms(), Term(1))
    assert list_shut(host.group) == [S1]
    host.group.observe_primary(S2, Term(2), read_boot_ms(), Term(2))
    assert list_shut(host.group) == []


async def test_callers_wait_while_the_primary_is_replaced(monkeypatch):
    store = LeasingStore()
    async with starting_host(monkeypatch, store) as host:
        assert await host.admit(SHOP) == Admission(database=SHOP)
        gate = host.groups[GROUP].gates[S1]
        waiting = asyncio.create_task(gate.wait_until_open(5_000))
        await asyncio.sleep(0.1)
        assert not waiting.done()
        store.lease = RELEASED
        with suppress(TimeoutError):
            await asyncio.wait_for(waiting, 2.0)
        assert waiting.done()
        assert not gate.is_shut


async def play_start_after_the_order(reads_leases: bool) -> Scene:
    """Have the former primary lead again for a host that starts after the order.

    Neither it nor the replica that receives from it is reached by the holder.
    """
    scene = Scene.make(1)
    late = ModelHost.make("late", scene.model, scene.platform)
    changes = make_changes(late)
    late.changer.lease.on_lease = changes.observe
    s3 = scene.model.servers[S3]

    async with playing(scene):
        s3.unreachable_by = {"host-0"}
        scene.leave()
        await wait_until(lambda: scene.platform.orders)
        if reads_leases:
            changes.begin(scene.platform.leases[GROUP, StoreEra(scene.platform.era)])
        scene.primary.unreachable_by = {"host-0"}
        scene.primary.is_primary = True
        async with running(late), committing(scene.model, [late]) as commits:
            await wait_until(scene.has_ended)
            told = len(commits.told)
            await wait_until(lambda: len(commits.told) > told)
            await asyncio.sleep(SETTLE_S)
    return scene


async def test_host_that_starts_after_the_order_loses_no_commit():
    scene = await play_start_after_the_order(reads_leases=True)
    assert scene.model.lost == [], scene.describe()


async def test_host_that_starts_after_the_order_and_reads_no_leases_loses_commits():
    """Else the test above would show nothing."""
    scene = await play_start_after_the_order(reads_leases=False)
    assert scene.model.lost
