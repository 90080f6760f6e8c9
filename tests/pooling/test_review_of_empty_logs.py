"""Empty logs that are taken for known, or for unknown for ever."""

import asyncio

import pytest

from apricotshore.identifiers import ServerId

from .support import running, wait_until, writing
from .test_orders_of_promotions import KEY, S1, S2, S3, S4, make_group
from .test_review_of_log_floors import RECORD_S, make_late_host, start_anew
from .test_shorter_logs import (
    LEAD_S,
    assert_nothing_lost,
    come_back,
    fail,
    fall_behind,
    make_hosts,
    play,
)


def lose_log(model, name: ServerId) -> None:
    """Start a server anew, empty, before its entry shows it."""
    server = model.servers[name]
    server.log, server.applied, server.partitioned = [], 0, True


def test_second_birth_before_its_entry_shows_it_lets_no_shorter_log_lead(monkeypatch):
    """The first birth was long ago: the server has received all since."""

    async def lose_both() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        async with writing(model), running(*hosts):
            await wait_until(lambda: len(model.acknowledged) > 5)
            start_anew(model, hosts, S2)
            model.servers[S2].partitioned = False
            await asyncio.sleep(RECORD_S)
            assert hosts[0].group.members.lost == {}
            assert model.servers[S2].log
            await fall_behind(model, S3)
            fail(model, hosts, S1, "crashed")
            lose_log(model, S2)
            await asyncio.sleep(2 * LEAD_S)
            assert_nothing_lost(model, platform)
            come_back(model, hosts, S1)
            await asyncio.sleep(2 * LEAD_S)
        assert_nothing_lost(model, platform)

    play(monkeypatch, lose_both())


def test_server_that_left_and_starts_anew_under_its_id_is_not_its_own_successor(
    monkeypatch,
):
    """It holds nothing, and its primary has the only copy of the last commits."""

    async def lose_both() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        async with writing(model), running(*hosts):
            await fall_behind(model, S3)
            hosts[0].mark_leaving(S2)
            fail(model, hosts, S1, "crashed")
            model.servers[S2].up = model.servers[S2].listed = False
            hosts[0].group.remove_server(S2)
            await asyncio.sleep(0.1)
            start_anew(model, hosts, S2)
            await asyncio.sleep(2 * LEAD_S)
            assert_nothing_lost(model, platform)
            come_back(model, hosts, S1)
            await asyncio.sleep(2 * LEAD_S)
        assert_nothing_lost(model, platform)

    play(monkeypatch, lose_both())


@pytest.mark.parametrize("size", [2, 3])
def test_replicas_born_anew_before_their_entries_show_it_do_not_lead_empty(
    monkeypatch, size
):
    """All that answer are empty, but their host has seen a primary with a log."""

    async def lose_all_replicas() -> None:
        model, platform = make_group(size)
        hosts = make_hosts(model, platform, 1)
        async with writing(model), running(*hosts):
            await wait_until(lambda: len(model.acknowledged) > 5)
            await asyncio.sleep(RECORD_S)
            fail(model, hosts, S1, "crashed")
            for name in list(model.servers)[1:]:
                lose_log(model, name)
            await asyncio.sleep(2 * LEAD_S)
            assert_nothing_lost(model, platform)
            come_back(model, hosts, S1)
            await asyncio.sleep(2 * LEAD_S)
        assert_nothing_lost(model, platform)

    play(monkeypatch, lose_all_replicas())


def put_in_place(model, hosts, former: ServerId, name: ServerId) -> None:
    """Start an empty server with another id at the address of one gone for good."""
    servers = list(model.servers.items())
    at = list(model.servers).index(former)
    model.servers.clear()
    server = model.add_server(name)
    server.started_ms = 2
    servers[at] = (name, server)
    model.servers.clear()
    model.servers.update(servers)
    come_back(model, hosts, name)


def test_group_waits_for_no_empty_server_in_place_of_one_gone_for_good(monkeypatch):
    """All servers there are answer, and both that are left of three hold their logs."""

    async def lose_first() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        async with writing(model), running(*hosts):
            await wait_until(lambda: len(model.acknowledged) > 5)
            await asyncio.sleep(RECORD_S)
            fail(model, hosts, S2, "crashed")
            fail(model, hosts, S1, "crashed")
            await asyncio.sleep(LEAD_S)
            put_in_place(model, hosts, S1, S4)
            come_back(model, hosts, S2)
            await asyncio.sleep(3 * LEAD_S)
            assert_nothing_lost(model, platform)
            assert model.find_primary() is not None, platform.orders

    play(monkeypatch, lose_first())


def test_replica_born_anew_that_has_received_a_little_lets_no_shorter_log_lead(
    monkeypatch,
):
    """Its log is neither empty nor what it was, and its entry doesn't show that yet."""

    async def lose_both() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        async with writing(model), running(*hosts):
            await fall_behind(model, S3)
            first = model.servers[S2].log[:1]
            fail(model, hosts, S1, "crashed")
            lose_log(model, S2)
            model.servers[S2].log, model.servers[S2].applied = first, 1
            await asyncio.sleep(2 * LEAD_S)
            assert_nothing_lost(model, platform)
            come_back(model, hosts, S1)
            await asyncio.sleep(2 * LEAD_S)
        assert_nothing_lost(model, platform)

    play(monkeypatch, lose_both())


def test_host_that_starts_waits_for_no_empty_log_of_a_birth_that_is_covered(
    monkeypatch,
):
    """All servers answer; a host that has seen both births orders the third one."""

    async def start_host() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        async with writing(model):
            async with running(*hosts):
                await wait_until(lambda: len(model.acknowledged) > 5)
                await asyncio.sleep(RECORD_S)
                start_anew(model, hosts, S2)
                await asyncio.sleep(RECORD_S)
                named = platform.leases[KEY].floor.members
                assert [m.started_ms for m in named] == [1, 2, 1]
            fail(model, hosts, S1, "crashed")
            late = make_late_host(model, platform)
            start_anew(model, [late], S1)
            async with running(late):
                await asyncio.sleep(3 * LEAD_S)
            assert_nothing_lost(model, platform)
            assert model.find_primary() is not None, platform.orders

    play(monkeypatch, start_host())
