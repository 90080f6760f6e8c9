"""Leaving servers whose entries are gone: they count until their processes end."""

import asyncio

import pytest

from apricotshore.pooling.ports import ConnectionRejectedError
from apricotshore.queries import FailureCode
from standins.in_memory import ModelGroup

from .support import ModelHost, running, wait_until, writing
from .test_orders_of_promotions import S1, S2, make_group
from .test_review_of_log_floors import lead_for
from .test_shorter_logs import (
    DARK_S,
    LEAD_S,
    assert_nothing_lost,
    come_back,
    fail,
    make_hosts,
    play,
)

# Two looks at a server, and a sample of the primary's position.
FOUND_S = 3.0


async def leave(model: ModelGroup, host: ModelHost) -> None:
    """Have a replica leave and lose its entry while it goes on."""
    await wait_until(lambda: len(model.acknowledged) > 5)
    host.mark_leaving(S2)
    model.servers[S2].listed = False
    host.group.remove_server(S2)


def give_address_away(host: ModelHost) -> None:
    """Have another server answer at the address of the one that has left."""
    pool = host.group.find_pool(S2)
    assert pool is not None

    class OtherServer:
        async def dial(self, server, timeout_s: float):
            raise ConnectionRejectedError(FailureCode.WRONG_SERVER)

    pool.dialer = OtherServer()
    pool.close_idle_before(2**60)


@pytest.mark.parametrize("how", ["refused", "other server"])
def test_group_is_led_without_a_server_that_has_left(monkeypatch, how):
    async def end() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        members = hosts[0].group.members
        async with writing(model), running(*hosts):
            await leave(model, hosts[0])
            await asyncio.sleep(FOUND_S)
            assert S2 in members.counted
            fail(model, hosts, S2, "shut")
            if how == "other server":
                give_address_away(hosts[0])
            await asyncio.sleep(FOUND_S)
            assert (S2 in members.counted, members.lost) == (False, {})
            fail(model, hosts, S1, "crashed")
            assert await lead_for(model, LEAD_S), platform.orders
        assert_nothing_lost(model, platform)

    play(monkeypatch, end())


@pytest.mark.parametrize("how", ["silent", "crashed"])
def test_server_counts_that_left_the_store_and_gives_no_answer(monkeypatch, how):
    """It may receive still; a machine that is gone for good can't be told from it."""

    async def fall_silent() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        async with writing(model), running(*hosts):
            await leave(model, hosts[0])
            fail(model, hosts, S2, how)
            await asyncio.sleep(DARK_S)
            assert S2 in hosts[0].group.members.counted
            fail(model, hosts, S1, "crashed")
            assert not await lead_for(model, LEAD_S)
            come_back(model, hosts, S2)
            assert await lead_for(model, LEAD_S), platform.orders
        assert_nothing_lost(model, platform)

    play(monkeypatch, fall_silent())


def test_server_that_is_listed_again_counts_though_it_was_found_ended(monkeypatch):
    async def crash_amid() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        members = hosts[0].group.members
        async with writing(model), running(*hosts):
            await leave(model, hosts[0])
            fail(model, hosts, S2, "shut")
            await asyncio.sleep(FOUND_S)
            assert S2 not in members.counted
            come_back(model, hosts, S2)
            await asyncio.sleep(FOUND_S)
            assert (S2 in members.counted, members.lost) == (True, {})
        assert_nothing_lost(model, platform)

    play(monkeypatch, crash_amid())
