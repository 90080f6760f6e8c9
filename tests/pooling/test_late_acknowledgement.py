"""Commits that are acknowledged late, amid a change of primary, are not lost.

Nothing says that a primary which has stepped down does not acknowledge a commit that
waited for a replica, or that it does not lead again after a crash. Replicas receive at
different times.
"""

import asyncio

from apricotshore.identifiers import ServerId
from standins.in_memory import ModelGroup, ModelPlatform

from .support import ModelHost, running, wait_until, writing

S1, S2, S3 = (ServerId(f"s{n}") for n in (1, 2, 3))


def make() -> tuple[ModelGroup, ModelPlatform, ModelHost]:
    model = ModelGroup.make()
    model.acknowledges_late = True
    platform = ModelPlatform(group=model, promote_s=0.5)
    return model, platform, ModelHost.make("host-0", model, platform)


async def test_commit_that_waits_for_a_replica_at_the_step_down_is_not_lost():
    """A replica that isn't the target receives it while the promotion is awaited."""
    model, platform, host = make()
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        model.servers[S2].partitioned = model.servers[S3].partitioned = True
        await asyncio.sleep(0.1)
        host.mark_leaving("s1")
        await wait_until(lambda: platform.orders)
        other = S2 if platform.orders[0][1] == S3 else S3
        model.servers[other].partitioned = False
        await wait_until(lambda: model.promotions)
    assert model.lost == []


async def test_primary_that_leads_again_after_its_step_down_loses_no_commit():
    """It crashed and came back before the effect; the target receives a bit later."""
    model, platform, host = make()
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        host.mark_leaving("s1")
        await wait_until(lambda: platform.orders)
        target = platform.orders[0][1]
        model.servers[target].partitioned = True
        model.servers[S1].is_primary = True
        await wait_until(lambda: model.promotions)
    assert model.lost == []


async def test_silent_primary_that_returns_to_other_hosts_is_asked_again():
    """Other hosts were asked once only, before the promotion was requested."""
    model = ModelGroup.make()
    platform = ModelPlatform(group=model, promote_s=1.0)
    host = ModelHost.make("host-0", model, platform)
    host.add_other_host("10.0.0.2:7")
    model.servers[S1].unreachable_by = {"host-0", "10.0.0.2:7"}
    async with running(host), writing(model):
        await wait_until(lambda: platform.orders)
        target = platform.orders[0][1]
        model.servers[target].partitioned = True
        other = S2 if target == S3 else S3
        model.servers[S1].unreachable_by.remove("10.0.0.2:7")
        await wait_until(lambda: not model.servers[S1].is_primary, 0.6)
        model.servers[other].paused_term = 0
        await wait_until(lambda: model.promotions)
    assert model.lost == []


async def test_change_that_ends_without_a_promotion_after_the_step_down_goes_on():
    """No server answered in time after the primary had stepped down."""
    model = ModelGroup.make()
    platform = ModelPlatform(group=model, promote_s=0.05)
    host = ModelHost.make("host-0", model, platform)
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        host.mark_leaving("s1")
        await wait_until(lambda: not model.servers[S1].is_primary)
        model.servers[S2].busy = model.servers[S3].busy = True
        await asyncio.sleep(4.0)
        model.servers[S2].busy = model.servers[S3].busy = False
        await wait_until(lambda: model.promotions, 3.0)
    assert model.lost == []


async def test_statement_that_begins_after_the_step_down_stores_nothing():
    """The stand-in's primary stored one as an entry of the later term."""
    model = ModelGroup.make()
    primary = model.servers[S1]
    work = asyncio.create_task(model.commit(primary, "w1"))
    primary.is_primary, primary.term = False, 2
    assert not await work
    assert primary.log == []
