"""Leases that a stopping host leaves to the others."""

from apricotshore.decisions import lease
from apricotshore.identifiers import ServerId
from standins.in_memory import ModelGroup, ModelPlatform

from .support import make_lease

S2 = ServerId("s2")


async def test_lease_of_a_stopped_host_is_taken_at_once_with_its_target():
    platform = ModelPlatform(group=ModelGroup.make())
    first, second = make_lease(platform, "a"), make_lease(platform, "b")
    await first.acquire()
    await first.write(still_open=True, target=S2)
    assert await second.acquire() is None
    await first.hand_on()
    assert not first.is_held(0)
    assert await second.acquire()
    assert second.target == S2
    assert await first.write(still_open=False) is None


async def test_lease_that_another_host_has_taken_is_not_left_to_others():
    platform = ModelPlatform(group=ModelGroup.make())
    first, second = make_lease(platform, "a"), make_lease(platform, "b")
    await first.acquire()
    stored = next(iter(platform.leases.values()))
    await second.read()
    second.seen.seen_at -= lease.LEASE_MS
    await second.acquire()
    await first.hand_on()
    found = next(iter(platform.leases.values()))
    assert stored.holder == first.holder
    assert found.holder == second.holder


async def test_released_lease_is_not_opened_again_by_a_stop():
    platform = ModelPlatform(group=ModelGroup.make())
    first = make_lease(platform, "a")
    await first.acquire()
    await first.release()
    await first.hand_on()
    assert not next(iter(platform.leases.values())).open
