"""Entries of servers of before, which a store restored from an older copy lists."""

import asyncio
from dataclasses import replace

from apricotshore.identifiers import ServerId

from .support import running, wait_until, writing
from .test_orders_of_promotions import S1, S2, S3, make_group
from .test_review_of_log_floors import RECORD_S
from .test_shorter_logs import (
    ENTRY_S,
    LEAD_S,
    assert_nothing_lost,
    come_back,
    fail,
    fall_behind,
    hide,
    make_hosts,
    play,
)

BEFORE = ServerId("s9")


def test_entry_of_a_server_that_started_earlier_ends_no_log_at_its_address(monkeypatch):
    """Its successor holds the last commits, and only the primary reaches that."""

    async def restore() -> None:
        model, platform = make_group()
        model.servers[S2].started_ms = 5
        hosts = make_hosts(model, platform, 1)
        group = hosts[0].group
        entry = model.list(model.servers[S2])
        async with writing(model), running(*hosts):
            await wait_until(lambda: len(model.acknowledged) > 5)
            await asyncio.sleep(RECORD_S)
            hide(model, hosts, S2)
            group.update_server(
                replace(entry, server=BEFORE, started_ms=1, leaving=True)
            )
            await asyncio.sleep(ENTRY_S)
            group.remove_server(BEFORE)
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

    play(monkeypatch, restore())
