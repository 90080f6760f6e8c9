"""Servers that hosts forget as their leases name different starts of them."""

import asyncio

from .support import running, wait_until, writing
from .test_orders_of_promotions import S1, S2, S3, make_group
from .test_review_of_log_floors import RECORD_S, start_anew
from .test_shorter_logs import (
    LEAD_S,
    assert_nothing_lost,
    come_back,
    fail,
    fall_behind,
    hide,
    make_hosts,
    play,
)


def test_host_cut_off_from_the_primary_has_others_forget_no_server(monkeypatch):
    """It finds no position that covers a lost log, and names its start again."""

    async def name_again() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 2)
        async with writing(model), running(*hosts):
            await wait_until(lambda: len(model.acknowledged) > 5)
            await asyncio.sleep(RECORD_S)
            model.servers[S1].unreachable_by = {hosts[0].name}
            await asyncio.sleep(0.5)
            start_anew(model, hosts, S2)
            model.servers[S2].partitioned = False
            await asyncio.sleep(RECORD_S)
            hide(model, hosts, S2)
            await asyncio.sleep(RECORD_S)
            await fall_behind(model, S3)
            fail(model, hosts, S1, "crashed")
            fail(model, hosts, S2, "crashed")
            model.servers[S3].partitioned = False
            await asyncio.sleep(2 * LEAD_S)
            assert_nothing_lost(model, platform)
            come_back(model, hosts, S1)
            await asyncio.sleep(2 * LEAD_S)
        assert_nothing_lost(model, platform)

    play(monkeypatch, name_again())
