"""A healthy primary is not replaced."""

import asyncio

from apricotshore.identifiers import ServerId
from apricotshore.services.clock import read_boot_ms
from standins.in_memory import ModelGroup, ModelPlatform

from .support import ModelHost, running, wait_until, writing

S1 = ServerId("s1")


async def test_unfinished_change_leaves_the_promoted_server_that_leads_in_place():
    """The next holder asked everybody but the primary, and replaced it."""
    model = ModelGroup.make()
    platform = ModelPlatform(group=model, promote_s=0.3)
    host = ModelHost.make("host-0", model, platform)
    async with writing(model):
        async with running(host):
            await wait_until(lambda: len(model.acknowledged) > 5)
            host.mark_leaving("s1")
            await wait_until(lambda: platform.orders)
        restarted = ModelHost.make("host-0", model, platform)
        await restarted.changer.lease.read()
        async with running(restarted):
            await wait_until(lambda: not restarted.changer.lease.seen.open)
    assert model.lost == []
    assert [server for server, _ in model.promotions] == [platform.orders[0][1]]


async def test_overloaded_primary_that_a_host_has_not_found_is_left_in_place():
    """It rejects the question for its status, which was taken for silence."""
    model = ModelGroup.make()
    platform = ModelPlatform(group=model, promote_s=0.3)
    host = ModelHost.make("host-0", model, platform)
    model.servers[S1].busy = True
    host.group.no_primary_since = read_boot_ms() - 1_000
    change = asyncio.create_task(host.changer._change("headless"))
    await asyncio.sleep(1.0)
    model.servers[S1].busy = False
    await change
    assert [server for _, server, _ in platform.orders if server != S1] == []
