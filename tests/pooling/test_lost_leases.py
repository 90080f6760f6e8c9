"""A host whose lease has expired, or was taken by another host, changes nothing."""

import asyncio

import pytest

from apricotshore.decisions import lease
from apricotshore.identifiers import ServerId, StoreEra
from apricotshore.pooling.ports import (
    LeaseRecord,
    LeaseWrite,
    StoreError,
)
from apricotshore.queries import Query, QueryKind
from standins.in_memory import GROUP, ModelConnection, ModelGroup, ModelPlatform

from .support import ModelHost
from .test_restored_leases import make_lease, restore

S1, S2, S3 = ServerId("s1"), ServerId("s2"), ServerId("s3")
KEY = GROUP, StoreEra(1)


async def take_expired(platform: ModelPlatform) -> LeaseRecord:
    """Have another host take a lease once it has expired, and record a target."""
    taker = make_lease(platform, "b")
    await taker.read()
    await asyncio.sleep(lease.LEASE_MS / 1000 + 0.02)
    assert await taker.acquire()
    assert await taker.write(still_open=True, target=S2)
    return platform.leases[KEY]


@pytest.mark.parametrize("learn", ["list", "conflict"])
@pytest.mark.parametrize("still_open", [True, False])
async def test_slow_holder_does_not_write_over_a_lease_taken_since(
    learn, still_open, monkeypatch
):
    monkeypatch.setattr(lease, "LEASE_MS", 100)
    platform = ModelPlatform(group=ModelGroup.make())
    former = make_lease(platform, "a")
    assert await former.acquire()
    taken = await take_expired(platform)
    if learn == "list":
        former.observe(taken)
    else:
        assert await former.write(still_open=True, target=S3) is None
    assert await former.write(still_open=still_open, target=S3) is None
    assert platform.leases[KEY] == taken


async def test_slow_holder_does_not_write_to_a_restored_store():
    platform = ModelPlatform(group=ModelGroup.make())
    former = make_lease(platform, "a")
    assert await former.acquire()
    former.held_until = 0
    restore(platform, former)
    assert await former.write(still_open=True) is None
    assert (GROUP, StoreEra(2)) not in platform.leases


class RepeatingPlatform(ModelPlatform):
    """Store that gets each write twice, as after a lost connection."""

    async def write_lease(self, record: LeaseRecord) -> LeaseWrite:
        await super().write_lease(record)
        return await super().write_lease(record)


async def test_write_that_the_store_gets_twice_keeps_the_lease():
    platform = RepeatingPlatform(group=ModelGroup.make())
    holder = make_lease(platform, "a")
    assert await holder.acquire()
    token = await holder.write(still_open=True, target=S2)
    stored = platform.leases[KEY]
    assert token == lease.make_token(stored.era, stored.revision)
    assert stored.target == S2


async def test_write_whose_answer_is_lost_is_followed_by_the_next():
    platform = ModelPlatform(group=ModelGroup.make())
    holder = make_lease(platform, "a")
    await holder.acquire()
    held_until = holder.held_until
    write_lease = platform.write_lease

    async def lose_answer(record: LeaseRecord) -> LeaseWrite:
        platform.write_lease = write_lease
        await write_lease(record)
        raise StoreError("no answer")

    platform.write_lease = lose_answer
    with pytest.raises(StoreError):
        await holder.write(still_open=True, target=S2)
    assert holder.held_until == held_until
    token = await holder.write(still_open=True, target=S3)
    stored = platform.leases[KEY]
    assert token == lease.make_token(stored.era, stored.revision)
    assert stored.target == S3


async def test_extended_lease_is_not_taken_at_the_end_of_its_first_time(monkeypatch):
    monkeypatch.setattr(lease, "LEASE_MS", 300)
    platform = ModelPlatform(group=ModelGroup.make())
    holder, other = make_lease(platform, "a"), make_lease(platform, "b")
    await holder.acquire()
    await other.read()
    await asyncio.sleep(0.2)
    assert await holder.write(still_open=True)
    await asyncio.sleep(0.15)
    assert await other.acquire() is None


# -- resumes --


def make_host() -> tuple[ModelGroup, ModelPlatform, ModelHost]:
    model = ModelGroup.make()
    platform = ModelPlatform(group=model)
    return model, platform, ModelHost.make("host-0", model, platform)


async def end_change_unresumed(host: ModelHost, server: ServerId) -> None:
    """End a change that could not resume one server."""
    assert await host.changer.lease.acquire()
    await host.changer.lease.release()
    host.changer.unresumed = {server}


async def test_server_that_the_next_holder_paused_stays_paused():
    model, platform, host = make_host()
    await end_change_unresumed(host, S2)
    assert await make_lease(platform, "b").acquire()
    model.servers[S2].paused_term = 5
    host.changer.observe_lease(platform.leases[KEY])
    await host.changer._resume_remaining()
    assert model.servers[S2].paused_term == 5
    assert not host.changer.unresumed


async def test_server_stays_paused_while_an_own_promotion_is_unconfirmed():
    model, _, host = make_host()
    await end_change_unresumed(host, S2)
    assert await host.changer.lease.acquire()
    model.servers[S2].paused_term = 5
    await host.changer._resume_remaining()
    assert model.servers[S2].paused_term == 5


async def test_server_is_not_resumed_while_another_host_may_begin_a_change(
    monkeypatch,
):
    model, platform, host = make_host()
    await end_change_unresumed(host, S2)
    model.servers[S2].paused_term = 5
    was_held = []
    run_command = ModelConnection._run_command

    def observe(link: ModelConnection, query: Query) -> None:
        if query.kind is QueryKind.RESUME:
            was_held.append(platform.leases[KEY].open)
        run_command(link, query)

    monkeypatch.setattr(ModelConnection, "_run_command", observe)
    await host.changer._resume_remaining()
    assert not model.servers[S2].paused_term
    assert was_held == [True]
    assert not platform.leases[KEY].open
    assert not host.changer.unresumed


async def test_lease_is_not_taken_while_no_server_is_found_paused():
    model, platform, host = make_host()
    await end_change_unresumed(host, S2)
    model.servers[S2].up = False
    before = platform.leases[KEY]
    await host.changer._resume_remaining()
    assert platform.leases[KEY] == before
    assert host.changer.unresumed == {S2}


async def test_servers_are_resumed_without_a_look_at_them_first():
    model, _, host = make_host()
    assert await host.changer.lease.acquire()
    model.servers[S2].paused_term = 5
    assert await host.changer.commands.resume({S2, S3}) == {S2, S3}
    assert not model.servers[S2].paused_term
    kinds = [query.kind for link in host.dialer.links for query, _ in link.received]
    assert kinds == [QueryKind.RESUME, QueryKind.RESUME]
