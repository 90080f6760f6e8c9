"""Requests for promotions that the next holder of the lease has to follow."""

import asyncio

from apricotshore.decisions import lease
from apricotshore.decisions.primary_change import STEPS_WITHOUT_PRIMARY_MS
from apricotshore.identifiers import ServerId, StoreEra
from standins.in_memory import GROUP

from .support import ModelHost, running, wait_until, writing
from .test_orders_of_promotions import (
    KEY,
    PROMOTE_S,
    RECEIVE_S,
    S2,
    find_leases,
    leave_open,
    make_group,
    wait_a_while,
    wait_for_effects,
)

# Steps that can't go on are repeated for this long once there is no primary.
LONGEST_GAP_S = STEPS_WITHOUT_PRIMARY_MS / 1000


async def test_lost_lease_is_not_released_before_a_request_was_accepted(monkeypatch):
    """The store was restored, and the first call that raises the token fails."""
    monkeypatch.setattr(lease, "LEASE_MS", 1_500)
    monkeypatch.setattr(lease, "PROMOTION_MS", 300)
    model, platform = make_group()
    host = ModelHost.make("host-0", model, platform)
    async with writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        await host.prober.probe()
        platform.restore()
        host.eras.accept(StoreEra(platform.era))
        host.eras.state.seen_at -= lease.LEASE_MS
        platform.is_cut_off = True
        key = GROUP, StoreEra(platform.era)
        async with running(host):
            await wait_until(lambda: len(platform.unanswered) > 1, 12.0)
            assert platform.leases[key].open
            platform.is_cut_off = False
            await wait_until(lambda: not platform.leases[key].open, 12.0)
    assert platform.tokens[GROUP] > 0
    assert model.promotions == []


async def test_request_of_a_stopped_host_is_refused_once_the_next_has_settled():
    """Its first call has no answer, a repeated one is accepted, the host ends."""
    model, platform = make_group()
    first = ModelHost.make("host-0", model, platform)
    second = ModelHost.make("host-1", model, platform)
    async with writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        platform.is_cut_off = True
        async with running(first):
            first.mark_leaving("s1")
            await wait_until(lambda: platform.unanswered)
            platform.is_cut_off = False
            await wait_until(lambda: len(platform.orders) > 1 and platform.tokens)
            # A host that has drained doesn't wait for the effect.
            first.changer.is_draining = True
        del platform.unanswered[1:]
        await wait_for_effects(model, 1)
        replaced = model.promotions[0][0]
        async with running(second):
            await wait_until(lambda: not platform.leases[KEY].open, 12.0)
            assert platform.tokens[GROUP] > platform.unanswered[0][1]

            async def come_first(server: ServerId) -> None:
                platform.before_promote = None
                model.servers[server].receive_s = RECEIVE_S
                assert not platform.carry_out(PROMOTE_S - 0.03)

            platform.before_promote = come_first
            second.mark_leaving(replaced)
            await wait_a_while(lambda: len(model.promotions) > 1)
    assert model.lost == []


async def test_group_is_led_again_within_the_time_of_the_steps_if_its_target_is_dead():
    """The next holder inherits a target that is down; the primary is healthy."""
    model, platform = make_group()
    host = ModelHost.make("host-0", model, platform)
    async with writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        model.servers[S2].up = False
        leave_open(platform, S2)
        await host.prober.probe()
        await find_leases(host)
        async with running(host):
            gap_s = await measure_longest_gap(model, platform)
    assert model.lost == []
    assert gap_s < LONGEST_GAP_S


async def measure_longest_gap(model, platform) -> float:
    """Return the longest time without a commit until the lease is released."""
    loop = asyncio.get_running_loop()
    until, last_at, longest = loop.time() + 8.0, loop.time(), 0.0
    count = len(model.acknowledged)
    while loop.time() < until and platform.leases[KEY].open:
        await asyncio.sleep(0.01)
        if len(model.acknowledged) > count:
            count, last_at = len(model.acknowledged), loop.time()
        longest = max(longest, loop.time() - last_at)
    return longest
