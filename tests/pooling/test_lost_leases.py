"""A host whose lease has expired, or was taken by another host, changes nothing."""

import asyncio

from apricotshore.decisions import lease
from standins.in_memory import ModelGroup, ModelPlatform

from .test_restored_leases import make_lease


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
