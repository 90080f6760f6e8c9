"""Ways in which the floor of a group's logs may be forgotten, or never be reached."""

import asyncio
from contextlib import suppress
from dataclasses import replace

import pytest

from apricotshore.decisions.lease import LEASE_MS
from apricotshore.decisions.log_floor import NO_FLOOR, LogFloor, StoredMember
from apricotshore.decisions.log_members import begin_members
from apricotshore.groups import LogPosition
from apricotshore.identifiers import Position, ServerId, StoreEra, Term
from apricotshore.pooling.ports import StoreError
from apricotshore.services.clock import read_boot_ms
from standins.in_memory import GROUP, ModelGroup

from .support import ModelHost, make_lease, running, wait_until, writing
from .test_orders_of_promotions import KEY, S1, S2, S3, S4, make_group
from .test_shorter_logs import (
    AWAY_S,
    ENTRY_S,
    LEAD_S,
    ORDER_LIMIT_S,
    assert_nothing_lost,
    come_back,
    fail,
    fall_behind,
    make_hosts,
    play,
    remove_entry,
)

# Time in which the servers that count are written to the lease.
RECORD_S = 4.0
MEMBER = StoredMember(server=S2, address="10.0.0.2:1", started_ms=1)


def start_anew(model: ModelGroup, hosts: list[ModelHost], name: ServerId) -> None:
    """Start a server again under its id; it holds nothing, and receives nothing yet."""
    server = model.servers[name]
    server.log, server.applied, server.is_primary = [], 0, False
    server.partitioned = True
    server.started_ms += 1
    come_back(model, hosts, name)


def make_late_host(model: ModelGroup, platform, name: str = "host-9") -> ModelHost:
    """Start a host that knows only the servers that are listed now."""
    host = ModelHost.make(name, model, platform)
    host.eras.accept(StoreEra(platform.era))
    group = host.group
    group.members = begin_members(read_boot_ms())
    group.servers.clear()
    group.pools.clear()
    for server in model.servers.values():
        if server.listed:
            group.update_server(model.list(server))
    return host


def name_no_members(platform) -> None:
    """Have the lease be one of a version that names no members."""
    platform.leases[KEY] = replace(platform.leases[KEY], floor=NO_FLOOR)


async def lead_for(model: ModelGroup, span_s: float) -> bool:
    """Return whether a server leads after some time."""
    await asyncio.sleep(span_s)
    primary = model.find_primary()
    return primary is not None and primary.up


def test_unanswered_order_is_not_repeated_for_a_server_born_anew(monkeypatch):
    async def lose_target() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        async with writing(model), running(*hosts):
            await fall_behind(model, S3)
            platform.is_cut_off = True
            fail(model, hosts, S1, "crashed")
            await wait_until(lambda: platform.orders, ORDER_LIMIT_S)
            assert platform.orders[0][1] == S2
            fail(model, hosts, S2, "crashed")
            await asyncio.sleep(0.3)
            start_anew(model, hosts, S2)
            await asyncio.sleep(0.3)
            platform.unanswered.clear()
            platform.is_cut_off = False
            await asyncio.sleep(LEAD_S)
            assert_nothing_lost(model, platform)

    play(monkeypatch, lose_target())


def test_starting_host_keeps_assuming_a_lost_log_after_its_own_lease(monkeypatch):
    async def start_late() -> None:
        model, platform = make_group()
        async with writing(model):
            await fall_behind(model, S3)
            fail(model, [], S2, "crashed")
            fail(model, [], S1, "crashed")
            name_no_members(platform)
            start_anew(model, [], S2)
            model.servers[S3].partitioned = False
            late = make_late_host(model, platform)
            async with running(late):
                await asyncio.sleep(2 * LEAD_S)
        assert_nothing_lost(model, platform)

    play(monkeypatch, start_late())


def test_starting_host_knows_of_a_log_lost_before_the_members_were_recorded(
    monkeypatch,
):
    async def start_late() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        async with writing(model):
            async with running(*hosts):
                await wait_until(lambda: hosts[0].changer.lease.floor.members)
                await fall_behind(model, S3)
                fail(model, hosts, S2, "crashed")
                await asyncio.sleep(0.3)
                start_anew(model, hosts, S2)
                await asyncio.sleep(RECORD_S)
            fail(model, hosts, S1, "crashed")
            model.servers[S3].partitioned = False
            late = make_late_host(model, platform)
            async with running(late):
                await asyncio.sleep(2 * LEAD_S)
        assert_nothing_lost(model, platform)

    play(monkeypatch, start_late())


def test_host_that_saw_the_loss_waits_where_a_starting_host_may_not(monkeypatch):
    async def stay() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        async with writing(model), running(*hosts):
            await fall_behind(model, S3)
            fail(model, hosts, S2, "crashed")
            await asyncio.sleep(0.3)
            start_anew(model, hosts, S2)
            await asyncio.sleep(RECORD_S)
            fail(model, hosts, S1, "crashed")
            model.servers[S3].partitioned = False
            await asyncio.sleep(2 * LEAD_S)
        assert_nothing_lost(model, platform)

    play(monkeypatch, stay())


def test_unlisted_server_that_answers_counts_after_a_settled_change(monkeypatch):
    async def settle_without_entry() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        async with writing(model), running(*hosts):
            await wait_until(lambda: len(model.acknowledged) > 5)
            model.servers[S3].listed = False
            hosts[0].group.remove_server(S3)
            fail(model, hosts, S1, "crashed")
            await wait_until(lambda: model.promotions, ORDER_LIMIT_S)
            await asyncio.sleep(RECORD_S)
            assert model.promotions[0][0] == S2
            model.servers[S1].partitioned = True
            come_back(model, hosts, S1)
            before = len(model.acknowledged)
            await wait_until(lambda: len(model.acknowledged) > before + 20)
            fail(model, hosts, S2, "crashed")
            await asyncio.sleep(2 * LEAD_S)
        assert_nothing_lost(model, platform)

    play(monkeypatch, settle_without_entry())


@pytest.mark.parametrize("size", [3, 4, 5])
def test_group_waits_for_a_server_that_was_gone_for_long(monkeypatch, size):
    """The primary may have reached it at the end, when its process ran again."""

    async def crash_later() -> None:
        model, platform = make_group(size)
        gone = ServerId(f"s{size}")
        hosts = make_hosts(model, platform, 1)
        async with writing(model), running(*hosts):
            await wait_until(lambda: len(model.acknowledged) > 5)
            fail(model, hosts, gone, "shut")
            await asyncio.sleep(AWAY_S)
            fail(model, hosts, S1, "shut")
            await asyncio.sleep(LEAD_S)
            assert platform.orders == []
            come_back(model, hosts, gone)
            is_led = await lead_for(model, LEAD_S)
        assert_nothing_lost(model, platform)
        assert is_led, (platform.orders, hosts[0].group.members.counted.keys())

    play(monkeypatch, crash_later())


@pytest.mark.parametrize("size", [3, 4, 5])
@pytest.mark.parametrize("end", ["born-anew", "successor", "left"])
def test_group_waits_for_no_log_that_has_ended(monkeypatch, size, end):
    async def crash_later() -> None:
        model, platform = make_group(size)
        gone = ServerId(f"s{size}")
        hosts = make_hosts(model, platform, 1)
        async with writing(model), running(*hosts):
            await wait_until(lambda: len(model.acknowledged) > 5)
            if end == "left":
                hosts[0].mark_leaving(gone)
            fail(model, hosts, gone, "shut")
            await asyncio.sleep(ENTRY_S + 1.0)
            if end == "born-anew":
                start_anew(model, hosts, gone)
            elif end == "successor":
                entry = model.list(model.servers[gone])
                successor = model.add_server(ServerId("s9"))
                entry = replace(model.list(successor), address=entry.address)
                hosts[0].group.update_server(entry)
            await asyncio.sleep(RECORD_S)
            fail(model, hosts, S1, "shut")
            is_led = await lead_for(model, LEAD_S)
        assert_nothing_lost(model, platform)
        assert is_led, (platform.orders, hosts[0].group.members.counted.keys())

    play(monkeypatch, crash_later())


def test_draining_primary_that_crashed_and_is_back_leads_again(monkeypatch):
    async def crash_while_draining() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        async with writing(model), running(*hosts):
            await fall_behind(model, S3)
            hosts[0].mark_leaving(S1)
            fail(model, hosts, S2, "crashed")
            fail(model, hosts, S1, "crashed")
            model.servers[S3].partitioned = False
            await asyncio.sleep(ENTRY_S + 1.0)
            come_back(model, hosts, S1)
            is_led = await lead_for(model, 2 * LEAD_S)
        assert_nothing_lost(model, platform)
        assert is_led, (platform.orders, hosts[0].group.members)

    play(monkeypatch, crash_while_draining())


def test_successor_with_the_log_of_a_primary_that_left_leads(monkeypatch):
    async def hand_log_over() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        async with writing(model), running(*hosts):
            await fall_behind(model, S3)
            hosts[0].mark_leaving(S1)
            fail(model, hosts, S2, "crashed")
            fail(model, hosts, S1, "shut")
            model.servers[S3].partitioned = False
            await asyncio.sleep(ENTRY_S + 1.0)
            successor = model.add_server(S4)
            successor.log = list(model.servers[S1].log)
            successor.applied = len(successor.log)
            entry = replace(model.list(successor), address="10.0.0.1:1")
            hosts[0].group.update_server(entry)
            is_led = await lead_for(model, 2 * LEAD_S)
        assert_nothing_lost(model, platform)
        assert is_led, (platform.orders, hosts[0].group.members)

    play(monkeypatch, hand_log_over())


def test_starting_host_counts_the_members_of_an_earlier_era(monkeypatch):
    async def restore() -> None:
        model, platform = make_group(4)
        hosts = make_hosts(model, platform, 1)
        async with writing(model):
            async with running(*hosts):
                await wait_until(lambda: hosts[0].changer.lease.floor.members)
                await fall_behind(model, S3, S4)
                fail(model, hosts, S1, "crashed")
                fail(model, hosts, S2, "crashed")
            for name in (S1, S2):
                remove_entry(model, hosts, name)
            kept = platform.leases[KEY]
            platform.restore()
            platform.leases[GROUP, kept.era] = kept
            for name in (S3, S4):
                model.servers[name].partitioned = False
            late = make_late_host(model, platform)
            late.changer.observe_lease(kept)
            async with running(late):
                await asyncio.sleep(3 * LEAD_S)
        assert_nothing_lost(model, platform)

    play(monkeypatch, restore())


def test_server_lost_after_the_step_down_keeps_no_full_server_from_leading(
    monkeypatch,
):
    """All that was acknowledged lies below the end that the former primary named."""

    async def lose_replicas() -> None:
        model, platform = make_group(4)
        hosts = make_hosts(model, platform, 1)
        async with writing(model), running(*hosts):
            await wait_until(lambda: len(model.acknowledged) > 5)
            fail(model, hosts, S4, "crashed")
            hosts[0].mark_leaving(S3)
            await asyncio.sleep(1.0)
            hosts[0].mark_leaving(S1)
            await wait_until(lambda: not model.servers[S1].is_primary)
            fail(model, hosts, S3, "shut")
            remove_entry(model, hosts, S3)
            is_led = await lead_for(model, 2 * LEAD_S)
        assert_nothing_lost(model, platform)
        assert is_led, (platform.orders, hosts[0].group.members)

    play(monkeypatch, lose_replicas())


def test_inherited_order_of_a_silent_server_born_anew_is_not_repeated(monkeypatch):
    async def inherit() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        async with writing(model):
            async with running(*hosts):
                await fall_behind(model, S3)
                platform.is_cut_off = True
                fail(model, hosts, S1, "crashed")
                await wait_until(lambda: platform.orders, ORDER_LIMIT_S)
                fail(model, hosts, S2, "crashed")
                await asyncio.sleep(0.3)
                start_anew(model, hosts, S2)
                fail(model, [*hosts], S2, "silent")
                model.servers[S2].unreachable_by.add("host-9")
                await asyncio.sleep(2 * LEAD_S)
            platform.unanswered.clear()
            platform.is_cut_off = False
            model.servers[S3].partitioned = False
            late = make_late_host(model, platform)
            async with running(late):
                await asyncio.sleep(LEAD_S)
                come_back(model, [late], S1)
                await asyncio.sleep(2 * LEAD_S)
        assert_nothing_lost(model, platform)

    play(monkeypatch, inherit())


def add_member(floor: LogFloor) -> LogFloor:
    return replace(floor, members=(MEMBER,))


def make_end(position: int) -> LogPosition:
    return LogPosition(term=Term(9), position=Position(position))


async def test_lease_written_by_a_host_without_a_floor_forgets_none():
    _, platform = make_group()
    knowing, other = make_lease(platform, "host-0"), make_lease(platform, "host-1")
    for lease in (knowing, other):
        lease.make_floor = add_member
    await knowing.acquire()
    knowing.floor = LogFloor(end=make_end(3109), holder=S2)
    await knowing.write(still_open=True, target=S2)
    platform.restore()
    for lease in (knowing, other):
        lease.eras.accept(StoreEra(platform.era))
        lease.eras.state.seen_at -= LEASE_MS
    await other.acquire()
    await knowing.read()
    assert knowing.floor.end == make_end(3109)


async def test_floor_survives_a_conflict_with_an_own_write_whose_answer_was_lost(
    monkeypatch,
):
    _, platform = make_group()
    lease = make_lease(platform, "host-0")
    lease.make_floor = add_member
    await lease.acquire()
    answer = platform.write_lease

    async def lose_answer(record):
        await answer(record)
        raise StoreError("no answer")

    monkeypatch.setattr(platform, "write_lease", lose_answer)
    with suppress(StoreError):
        await lease.extend()
    monkeypatch.setattr(platform, "write_lease", answer)
    lease.floor = LogFloor(end=make_end(3109), holder=S2)
    assert await lease.write(still_open=True, target=S2) is not None
    stored = platform.leases[KEY]
    assert (stored.target, stored.floor.end) == (S2, make_end(3109))


def test_every_counted_server_without_an_entry_can_be_reached():
    model, platform = make_group(6)
    for server in model.servers.values():
        server.listed = server.name == S1
    late = make_late_host(model, platform)
    members = tuple(
        StoredMember(server=s, address=f"10.0.0.{n}:1", started_ms=1)
        for n, s in enumerate(model.servers, start=1)
    )
    record = platform.leases[KEY]
    late.changer.observe_lease(
        replace(record, revision=99, floor=LogFloor(members=members))
    )
    counted = late.group.members.counted
    unreachable = [s for s in counted if late.group.find_pool(s) is None]
    assert len(counted) == len(members)
    assert unreachable == []


def test_server_that_left_long_ago_keeps_no_successor_from_counting(monkeypatch):
    """A replica leaves, and its successor with its log stands at its address."""

    async def replace_replica() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        async with writing(model), running(*hosts):
            await wait_until(lambda: len(model.acknowledged) > 5)
            hosts[0].mark_leaving(S3)
            await asyncio.sleep(0.5)
            fail(model, hosts, S3, "shut")
            remove_entry(model, hosts, S3)
            successor = model.add_server(S4)
            entry = replace(model.list(successor), address="10.0.0.3:1")
            hosts[0].group.update_server(entry)
            await asyncio.sleep(RECORD_S)
            fail(model, hosts, S1, "shut")
            is_led = await lead_for(model, LEAD_S)
        assert_nothing_lost(model, platform)
        assert is_led, (platform.orders, hosts[0].group.members)

    play(monkeypatch, replace_replica())


def test_floor_is_kept_where_the_store_comes_back_amid_a_change(monkeypatch):
    async def restore() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        async with writing(model), running(*hosts):
            await fall_behind(model, S3)
            fail(model, hosts, S1, "crashed")
            await wait_until(lambda: platform.orders, ORDER_LIMIT_S)
            fail(model, hosts, S2, "crashed")
            platform.restore()
            hosts[0].eras.accept(StoreEra(platform.era))
            model.servers[S3].partitioned = False
            await asyncio.sleep(2 * LEAD_S)
            assert_nothing_lost(model, platform)
            come_back(model, hosts, S2)
            is_led = await lead_for(model, 2 * LEAD_S)
        assert_nothing_lost(model, platform)
        assert is_led, (platform.orders, hosts[0].group.members)

    play(monkeypatch, restore())
