"""Orders below a known end that a host gives, or doesn't tell of, despite its floor."""

import asyncio
from dataclasses import replace

import pytest

from apricotshore.decisions import needed_end, order_effect
from apricotshore.decisions.change_attempt import Attempt
from apricotshore.decisions.lease import LEASE_MS
from apricotshore.decisions.log_floor import NO_FLOOR, LogFloor, StoredMember
from apricotshore.groups import LogPosition
from apricotshore.identifiers import Position, ServerId, StoreEra, StoreRevision, Term
from apricotshore.pooling import group_members
from apricotshore.pooling.stored_objects import LeaseRecord
from standins.in_memory import GROUP

from .support import (
    ModelHost,
    make_lease,
    running,
    wait_until,
    writing,
)
from .test_change_records import keep_journal
from .test_orders_of_promotions import KEY, S1, S2, S3, make_group
from .test_review_of_log_floors import RECORD_S, make_late_host, start_anew
from .test_short_promotions import list_promotions, make_attempt, order
from .test_shorter_logs import (
    LEAD_S,
    ORDER_LIMIT_S,
    assert_nothing_lost,
    come_back,
    fail,
    fall_behind,
    make_hosts,
    play,
)

LONGEST, SHORTER = 3_109, 3_097
# The order of the users' line came as much later in a second change.
LATER_MS = 60_000
FAR_END = 10_000


@pytest.fixture
def one_host(tmp_path):
    model, platform = make_group()
    host = ModelHost.make("host-0", model, platform)
    return model, platform, host, keep_journal(host, tmp_path / "host-0.log")


def list_shorts(read) -> list[int]:
    return [told["short"] for told in list_promotions(read) if "short" in told]


def make_end(position: int, term: int = 1) -> LogPosition:
    return LogPosition(term=Term(term), position=Position(position))


def order_first(host: ModelHost) -> Attempt:
    """Order s2, which holds 12 more than s3, and have the order take no effect."""
    attempt = make_attempt({S2: LONGEST, S3: SHORTER})
    members = group_members.list_members(host.group)
    needed_end.observe_needed_end(attempt, members, None)
    needed_end.set_floor(attempt, members, S2)
    attempt.requested = S2
    order(host, attempt, S2)
    return attempt


def order_second(host: ModelHost, attempt: Attempt) -> None:
    """Order s3 while s2 gives no answer."""
    attempt.statuses = make_attempt({S3: SHORTER}).statuses
    order(host, attempt, S3)


# -- the users' line: what the host tells, if the gate lets the order pass --


def test_users_line_is_told_in_the_change_that_follows(one_host):
    _, _, host, read = one_host
    first = order_first(host)
    order_second(
        host, order_effect.make_next_attempt(first, first.floor, Term(1), 2_400)
    )
    assert list_shorts(read) == [12]


def test_users_line_is_told_a_minute_later(one_host):
    _, _, host, read = one_host
    floor = order_first(host).floor
    order_second(host, Attempt(from_term=Term(1), started_at=LATER_MS, floor=floor))
    assert list_shorts(read) == [12]


def test_users_line_is_told_by_another_host_with_the_floor(one_host):
    model, platform, host, read = one_host
    floor = order_first(ModelHost.make("host-1", model, platform)).floor
    order_second(host, Attempt(from_term=Term(1), started_at=LATER_MS, floor=floor))
    assert list_shorts(read) == [12]


def test_users_line_is_told_by_a_host_whose_change_forgot_the_floor(one_host):
    _, _, host, read = one_host
    first = order_first(host)
    order_second(host, order_effect.make_next_attempt(first, NO_FLOOR, Term(1), 2_400))
    assert list_shorts(read) == [12]


def test_users_line_is_told_a_minute_later_though_the_floor_is_forgotten(one_host):
    _, _, host, read = one_host
    order_first(host)
    order_second(host, Attempt(from_term=Term(1), started_at=LATER_MS))
    assert list_shorts(read) == [12]


def test_users_line_is_told_where_the_gate_takes_the_floor_for_outdated(one_host):
    _, _, host, read = one_host
    first = order_first(host)
    second = order_effect.make_next_attempt(first, first.floor, Term(1), 2_400)
    second.statuses = make_attempt({S1: 0, S3: SHORTER}).statuses
    order(host, second, S3)
    assert list_shorts(read) == [12]


# -- orders that pass the gate --


def test_replica_born_anew_before_its_entry_shows_it_lets_no_shorter_log_lead(
    monkeypatch,
):
    async def lose_both() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        async with writing(model), running(*hosts):
            await fall_behind(model, S3)
            fail(model, hosts, S1, "crashed")
            model.servers[S2].log, model.servers[S2].applied = [], 0
            model.servers[S2].partitioned = True
            await asyncio.sleep(2 * LEAD_S)
            assert_nothing_lost(model, platform)
            come_back(model, hosts, S1)
            await asyncio.sleep(2 * LEAD_S)
        assert_nothing_lost(model, platform)

    play(monkeypatch, lose_both())


def test_former_primary_born_anew_without_an_entry_ends_no_floor(monkeypatch):
    async def lose_both() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        async with writing(model), running(*hosts):
            await fall_behind(model, S3)
            fail(model, hosts, S1, "crashed")
            await wait_until(lambda: platform.orders, ORDER_LIMIT_S)
            fail(model, hosts, S2, "crashed")
            model.servers[S3].partitioned = False
            await asyncio.sleep(LEAD_S)
            former = model.servers[S1]
            former.log, former.applied, former.partitioned = [], 0, True
            former.up = True
            await asyncio.sleep(2 * LEAD_S)
            assert_nothing_lost(model, platform)
            come_back(model, hosts, S2)
            await asyncio.sleep(2 * LEAD_S)
        assert_nothing_lost(model, platform)

    play(monkeypatch, lose_both())


def test_draining_server_whose_entry_ran_out_counts_while_it_receives(monkeypatch):
    async def drain() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        async with writing(model), running(*hosts):
            await wait_until(lambda: len(model.acknowledged) > 5)
            hosts[0].mark_leaving(S2)
            model.servers[S2].listed = False
            hosts[0].group.remove_server(S2)
            await asyncio.sleep(RECORD_S)
            await fall_behind(model, S3)
            fail(model, hosts, S1, "crashed")
            fail(model, hosts, S2, "shut")
            model.servers[S3].partitioned = False
            await asyncio.sleep(2 * LEAD_S)
            assert_nothing_lost(model, platform)
            come_back(model, hosts, S1)
            await asyncio.sleep(2 * LEAD_S)
        assert_nothing_lost(model, platform)

    play(monkeypatch, drain())


def test_log_that_is_lost_as_a_change_settles_is_not_forgotten(monkeypatch):
    async def settle() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        resumption = hosts[0].changer.resumption
        resume_all = resumption.resume_all

        async def lose_replica() -> None:
            monkeypatch.setattr(resumption, "resume_all", resume_all)
            model.servers[S1].partitioned = True
            come_back(model, hosts, S1)
            before = len(model.acknowledged)
            await wait_until(lambda: len(model.acknowledged) > before + 12)
            start_anew(model, hosts, S2)
            await resume_all()

        monkeypatch.setattr(resumption, "resume_all", lose_replica)
        async with writing(model), running(*hosts):
            await wait_until(lambda: len(model.acknowledged) > 5)
            fail(model, hosts, S1, "crashed")
            await wait_until(lambda: model.promotions, ORDER_LIMIT_S)
            await asyncio.sleep(RECORD_S)
            assert [server for server, _ in model.promotions] == [S3]
            assert model.servers[S2].started_ms == 2
            fail(model, hosts, S3, "crashed")
            await asyncio.sleep(2 * LEAD_S)
        assert_nothing_lost(model, platform)

    play(monkeypatch, settle())


def test_inherited_order_of_a_silent_server_born_anew_without_an_entry(monkeypatch):
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
                await asyncio.sleep(2 * LEAD_S)
            target = model.servers[S2]
            target.log, target.applied, target.partitioned = [], 0, True
            target.up = target.listed = True
            target.unreachable_by.add("host-9")
            platform.unanswered.clear()
            platform.is_cut_off = False
            model.servers[S3].partitioned = False
            come_back(model, hosts, S1)
            late = make_late_host(model, platform)
            async with running(late):
                await asyncio.sleep(3 * LEAD_S)
        assert_nothing_lost(model, platform)

    play(monkeypatch, inherit())


# -- the fence --


async def test_fence_promotes_no_server_that_is_known_to_be_born_anew(
    one_host, monkeypatch
):
    model, platform, host, _ = one_host
    write_lease = platform.write_lease

    async def lose_log(record: LeaseRecord):
        written = await write_lease(record)
        if record.target == S1:
            start_anew(model, [host], S1)
        return written

    async with writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        await host.changer.lease.acquire()
        await host.prober.start()
        monkeypatch.setattr(platform, "write_lease", lose_log)
        await host.changer.ending.raise_token()
        await asyncio.sleep(1.0)
        await host.prober.stop()
    assert_nothing_lost(model, platform)


async def test_shortfall_of_a_fence_is_told_before_it_is_sent(one_host):
    model, platform, host, read = one_host
    told: list[list[int]] = []

    async def look(server: ServerId) -> None:
        told.append(list_shorts(read))

    platform.before_promote = look
    async with writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        await host.changer.lease.acquire()
        await host.prober.start()
        host.changer.lease.floor = LogFloor(end=make_end(FAR_END), holder=S2)
        await host.changer.ending.raise_token()
        await host.prober.stop()
    assert [len(shorts) for shorts in told] == [1]
    assert host.group.changes.short_promotions == 1


# -- members --


def test_server_whose_address_an_entry_borrowed_counts_still():
    model, platform = make_group()
    host = ModelHost.make("host-0", model, platform)
    borrower = replace(
        model.list(model.servers[S2]), server=ServerId("s9"), leaving=True
    )
    host.group.update_server(borrower)
    host.group.remove_server(ServerId("s9"))
    host.group.remove_server(S2)
    counted = [m.server for m in group_members.list_members(host.group) if m.is_counted]
    assert S2 in counted


def test_commits_of_a_server_whose_address_an_entry_borrowed_are_kept(monkeypatch):
    async def borrow() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        entry = model.list(model.servers[S2], leaving=True)
        async with writing(model), running(*hosts):
            await wait_until(lambda: len(model.acknowledged) > 5)
            hosts[0].group.update_server(replace(entry, server=ServerId("s9")))
            hosts[0].group.remove_server(ServerId("s9"))
            await asyncio.sleep(RECORD_S)
            await fall_behind(model, S3)
            fail(model, hosts, S2, "crashed")
            await asyncio.sleep(1.0)
            fail(model, hosts, S1, "crashed")
            model.servers[S3].partitioned = False
            await asyncio.sleep(2 * LEAD_S)
        assert_nothing_lost(model, platform)

    play(monkeypatch, borrow())


# -- leases --


async def test_lower_floor_of_a_host_that_missed_one_replaces_none():
    _, platform = make_group()
    knowing, other = make_lease(platform, "host-0"), make_lease(platform, "host-1")
    await knowing.acquire()
    knowing.floor = LogFloor(end=make_end(LONGEST, 9), holder=S2, unknown=())
    await knowing.write(still_open=True, target=S2)
    other.floor = LogFloor(end=make_end(SHORTER, 9), holder=S3, unknown=())
    platform.restore()
    for lease in (knowing, other):
        lease.eras.accept(StoreEra(platform.era))
        lease.eras.state.seen_at -= LEASE_MS
    await other.acquire()
    await knowing.read()
    assert knowing.floor.end == make_end(LONGEST, 9)


async def test_floor_of_an_older_era_is_taken_after_a_lease_without_one():
    _, platform = make_group()
    member = StoredMember(server=S2, address="10.0.0.2:1", started_ms=1)
    held = LogFloor(end=make_end(LONGEST, 9), holder=S2, members=(member,))
    older = replace(platform.leases[KEY], holder="host-1@a/1", floor=held)
    platform.restore()
    platform.leases[GROUP, StoreEra(platform.era)] = replace(
        older,
        era=StoreEra(platform.era),
        revision=StoreRevision(platform.revision),
        floor=LogFloor(members=(member,)),
    )
    lease = make_lease(platform, "host-0")
    await lease.read()
    lease.observe(older)
    assert lease.floor.end == make_end(LONGEST, 9)


def test_members_are_written_again_over_a_lease_of_an_older_build(monkeypatch):
    async def overwrite() -> None:
        model, platform = make_group()
        hosts = make_hosts(model, platform, 1)
        async with writing(model), running(*hosts):
            await wait_until(lambda: platform.leases[KEY].floor.members)
            platform.revision += 1
            platform.leases[KEY] = replace(
                platform.leases[KEY],
                revision=StoreRevision(platform.revision),
                holder="host-8@10.0.0.8:1/old",
                floor=NO_FLOOR,
            )
            await hosts[0].changer.lease.read()
            await asyncio.sleep(LEAD_S)
        assert platform.leases[KEY].floor.members

    play(monkeypatch, overwrite())
