"""Servers that were left paused, and that no holder of a lease knows of."""

import asyncio
from dataclasses import replace

import pytest

from apricotshore.decisions import lease, left_pauses, log_members
from apricotshore.decisions.log_floor import NO_FLOOR
from apricotshore.identifiers import ServerId, StoreEra
from apricotshore.pooling.change_lease import ChangeLease
from apricotshore.queries import Query, QueryKind
from standins.in_memory import GROUP, ModelConnection, ModelGroup, ModelPlatform

from .support import ModelHost, make_lease, running, wait_until, writing

S1, S2, S3 = (ServerId(f"s{n}") for n in (1, 2, 3))
KEY = GROUP, StoreEra(1)
# Two looks of a host that is alone, and some more.
LOOKED_S = 8.0


def make(fenced: bool = True) -> tuple[ModelGroup, ModelPlatform, ModelHost]:
    model = ModelGroup.make()
    platform = ModelPlatform(group=model)
    host = ModelHost.make("host-0", model, platform, fenced=fenced)
    return model, platform, host


def count_resumes(host: ModelHost) -> int:
    received = [query for link in host.dialer.links for query, _ in link.received]
    return sum(query.kind is QueryKind.RESUME for query in received)


@pytest.mark.parametrize("fenced", [True, False])
async def test_pause_that_comes_after_a_change_without_a_promotion_ends(
    fenced, monkeypatch
):
    """The former holder's PAUSE; the next one has released its lease."""
    model, platform, host = make(fenced)
    were_held: list[bool] = []
    run_command = ModelConnection._run_command

    def observe(link: ModelConnection, query: Query) -> None:
        if query.kind is QueryKind.RESUME:
            were_held.append(platform.leases[KEY].holder == host.changer.lease.holder)
            were_held.append(platform.leases[KEY].open)
        run_command(link, query)

    monkeypatch.setattr(ModelConnection, "_run_command", observe)
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        model.servers[S3].paused_term = 2
        await wait_until(lambda: not model.servers[S3].paused_term, LOOKED_S)
        await wait_until(lambda: not platform.leases[KEY].open)
    assert were_held == [True, True]
    assert model.promotions == []
    assert model.lost == []


async def test_server_that_an_open_change_holds_is_not_resumed():
    """This host has not heard of it; the lease is read before anything is sent."""
    model, platform, host = make()
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        other = make_lease(platform, "other")
        assert await other.acquire()
        model.servers[S3].paused_term = 2
        await wait_until(lambda: host.changer.resumption.left.found, LOOKED_S)
        assert await other.extend()
        await asyncio.sleep(left_pauses.CONFIRM_MS / 1000 + 0.5)
        assert platform.leases[KEY].holder == other.holder
    assert model.servers[S3].paused_term == 2
    assert count_resumes(host) == 0


async def test_server_is_not_resumed_while_no_server_proves_to_lead():
    model, platform, host = make()
    await host.prober.probe()
    model.servers[S1].up = False
    model.servers[S3].paused_term = 2
    await host.changer.resumption._resume_alone({S3})
    assert model.servers[S3].paused_term == 2
    assert not platform.leases[KEY].open


async def test_change_that_another_host_leaves_meanwhile_is_not_ended(monkeypatch):
    """Its lease may name a target whose order was accepted."""
    model, platform, host = make()
    await host.prober.probe()
    model.servers[S3].paused_term = 2
    acquire = ChangeLease.acquire

    async def acquire_after_another(own, former):
        left = replace(
            platform.leases[KEY], open=True, target=S2, holder=f"{lease.LEFT_BY}other"
        )
        await platform.write_lease(left)
        return await acquire(own, former)

    monkeypatch.setattr(ChangeLease, "acquire", acquire_after_another)
    await host.changer.resumption._resume_alone({S3})
    stored = platform.leases[KEY]
    assert (stored.open, stored.target) == (True, S2)
    assert stored.holder.startswith(lease.LEFT_BY)
    assert model.servers[S3].paused_term == 2


async def test_looks_of_a_host_that_finds_nobody_paused_write_no_lease():
    model, platform, host = make()
    # The lease names the servers whose logs count, or they would be written.
    floor = log_members.make_floor(host.group.members, NO_FLOOR)
    before = platform.leases[KEY] = replace(platform.leases[KEY], floor=floor)
    async with running(host), writing(model):
        await asyncio.sleep(LOOKED_S)
    assert platform.leases[KEY] == before
    assert count_resumes(host) == 0
    received = [query for link in host.dialer.links for query, _ in link.received]
    looks = [query for query in received if query.kind is QueryKind.STATUS]
    # Two replicas, at most once each 4 s, besides one status of the primary.
    assert len(looks) <= 2 * 2 + 1
