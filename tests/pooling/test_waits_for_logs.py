"""Groups that wait for logs: nobody may be ordered, so callers aren't kept waiting.

s3 is behind. s1 leads and crashes; s2, which has as much, is ordered and crashes as its
order is accepted. Until one of the two is back, nobody may lead.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import pytest
from aioprometheus import Registry

from apricotshore.decisions import log_wait, wait_queue
from apricotshore.decisions.change_attempt import Attempt, update_status
from apricotshore.decisions.change_members import Member, MemberStatus
from apricotshore.decisions.followed_order import NO_ANSWER_LIMIT_MS
from apricotshore.decisions.lease import LEASE_MS, PROMOTION_MS
from apricotshore.decisions.log_floor import NO_FLOOR, UNKNOWN_END, LogFloor
from apricotshore.decisions.needed_end import observe_needed_end
from apricotshore.decisions.order_effect import NEXT_ORDER_MS, is_refusal_followed
from apricotshore.decisions.primary_change import STEPS_WITHOUT_PRIMARY_MS
from apricotshore.identifiers import HostId, ServerId, StoreEra, StoreRevision, Term
from apricotshore.pooling import log_waits
from apricotshore.pooling.autocommit import run_autocommit, run_write
from apricotshore.pooling.journal import EventKind
from apricotshore.pooling.metrics import PoolingMetrics
from apricotshore.pooling.sessions import Job, RefusedError, Session
from apricotshore.pooling.stored_objects import LeaseRecord
from apricotshore.queries import FailureCode
from apricotshore.routes import Consistency
from apricotshore.services.clock import read_boot_ms
from standins.in_memory import GROUP, ModelGroup

from .support import (
    ModelHost,
    log_position,
    make_route,
    read,
    running,
    wait_until,
    write,
    writing,
)
from .test_orders_of_promotions import S1, S2, S3, OrderingPlatform, make_group

COMMITS_OF_TWO = 12
# Time after the last heartbeat in which an entry stays in the store.
ENTRY_S = 3.6
WAIT_S = 12.0
# Route whose statements wait 960 ms for a primary.
PATIENT_MS = 4_000
AT_ONCE_MS = 60
# Longest time until a change begins that follows the order of the first one.
FOLLOWED_S = 20.0
# Longest time from the return of a log to a primary that all hosts know.
LEAD_S = 4.0
STARTED_AT = 10_000
LATE = STARTED_AT + NO_ANSWER_LIMIT_MS

counts = pytest.mark.parametrize("count", [1, 3], ids=["one-host", "three-hosts"])


# -- decisions --


def make_attempt(
    ends: dict[ServerId, tuple[int, int]], floor: LogFloor = NO_FLOOR
) -> tuple[Attempt, tuple[Member, ...]]:
    """Return a change in which some of three servers have named their ends."""
    attempt = Attempt(from_term=Term(1), started_at=STARTED_AT, floor=floor)
    attempt.replaced = S1
    for server, end in ends.items():
        status = MemberStatus(
            log_position=log_position(*end),
            term=Term(1),
            paused_term=Term(0),
            is_primary=False,
        )
        update_status(attempt, server, status, STARTED_AT)
    members = tuple(Member(server=s) for s in (S1, S2, S3))
    observe_needed_end(attempt, members, None)
    return attempt, members


def find_wait(attempt: Attempt, members: tuple[Member, ...], now: int) -> str | None:
    return log_wait.find_wait(attempt, members, now)


def test_change_that_still_asks_has_not_found_that_nobody_may_be_ordered():
    attempt, members = make_attempt({S3: (1, 6)})
    assert find_wait(attempt, members, LATE - 1) is None
    assert find_wait(attempt, members, LATE) == "the logs of s1, s2 are unknown"


def test_overloaded_server_is_not_taken_for_one_that_is_gone():
    attempt, members = make_attempt({S3: (1, 6)})
    attempt.busy.add(S2)
    assert find_wait(attempt, members, LATE) is None


def test_server_that_may_be_ordered_ends_the_wait_whoever_is_missing():
    attempt, members = make_attempt({S2: (1, 19), S3: (1, 6)})
    assert find_wait(attempt, members, LATE) == log_wait.NO_WAIT


def test_floor_that_no_known_log_reaches_is_named():
    floor = LogFloor(end=log_position(9, 3109), holder=S2)
    attempt, members = make_attempt({S1: (9, 3097), S3: (9, 3097)}, floor)
    assert find_wait(attempt, members, LATE) == "no known log reaches 9.3109"


def test_inherited_order_of_a_server_that_is_gone_is_no_reason_to_wait():
    attempt, members = make_attempt({S3: (1, 6)})
    attempt.inherited = attempt.requested = S2
    assert find_wait(attempt, members, LATE) == "the logs of s1, s2 are unknown"


def test_own_order_has_callers_wait_for_its_effect():
    attempt, members = make_attempt({S3: (1, 6)})
    attempt.requested, attempt.is_ordered = S2, True
    assert find_wait(attempt, members, LATE) == log_wait.NO_WAIT


def test_server_that_the_platform_refused_is_not_about_to_lead():
    attempt, members = make_attempt({S2: (1, 19), S3: (1, 6)})
    attempt.rejected.add(S2)
    why = find_wait(attempt, members, LATE)
    assert why == "no server that reaches 1.19 can be ordered"


def test_log_that_was_lost_is_named():
    attempt, members = make_attempt({S2: (1, 19), S3: (1, 6)})
    observe_needed_end(attempt, members, UNKNOWN_END)
    assert attempt.lost_end == UNKNOWN_END
    why = find_wait(attempt, members, LATE)
    assert why == "the log of s1 is unknown and one was lost"


def test_entries_alone_show_that_two_logs_are_missing():
    assert log_wait.lacks_logs([S1, S2, S3], {S3})
    assert not log_wait.lacks_logs([S1, S2, S3], {S2, S3})


def test_change_follows_a_refused_order_only_if_it_is_over_in_time():
    attempt, _ = make_attempt({S1: (1, 19), S3: (1, 6)})
    limit = STARTED_AT + STEPS_WITHOUT_PRIMARY_MS
    latest = limit - PROMOTION_MS - NEXT_ORDER_MS
    assert not is_refusal_followed(attempt, limit, STARTED_AT)
    attempt.refused_at = latest
    assert is_refusal_followed(attempt, limit, limit - 1)
    assert not is_refusal_followed(attempt, limit, limit)
    attempt.refused_at = latest + 1
    assert not is_refusal_followed(attempt, limit, latest + 2)


# -- hosts --


@dataclass(kw_only=True)
class Scene:
    """A group whose two longest logs are gone, and the hosts in front of it.

    Parameters
    ----------
    phases
        Phases that the hosts recorded, with their details.
    """

    model: ModelGroup
    platform: OrderingPlatform
    hosts: list[ModelHost]
    phases: list[dict[str, object]] = field(default_factory=list)

    def list_waits(self) -> list[object]:
        return [p["why"] for p in self.phases if p["phase"] == "waiting"]

    def follows_order(self) -> bool:
        """Return whether a change has taken the order of an earlier one over."""
        began = [p for p in self.phases if p["phase"] == "began"]
        return any(p["inherited"] is not None for p in began)

    def observe_phases(self) -> None:
        for host in self.hosts:
            self._observe_phases(host)

    def _observe_phases(self, host: ModelHost) -> None:
        record = host.group.journal.record

        def collect(kind: EventKind, **details: object) -> None:
            if kind is EventKind.PRIMARY_CHANGE:
                self.phases.append(details)
            record(kind, **details)

        host.group.journal.record = collect

    def crash(self, name: ServerId) -> None:
        server = self.model.servers[name]
        server.up = server.is_primary = False
        asyncio.get_running_loop().call_later(ENTRY_S, self._remove_entry, name)

    def _remove_entry(self, name: ServerId) -> None:
        server = self.model.servers[name]
        if not server.up:
            server.listed = False
            for host in self.hosts:
                host.group.remove_server(name)

    def come_back(self, name: ServerId) -> None:
        server = self.model.servers[name]
        server.up = server.listed = True
        for host in self.hosts:
            host.group.update_server(self.model.list(server))

    def is_led(self) -> bool:
        """Return whether a primary leads, and all hosts know it."""
        primary = self.model.find_primary()
        return primary is not None and all(
            host.group.primary == primary.name
            and host.group.primary_state.silent_since is None
            for host in self.hosts
        )


def make_scene(count: int) -> Scene:
    model, platform = make_group()
    names = [f"host-{n}" for n in range(count)]
    hosts = [ModelHost.make(name, model, platform) for name in names]
    for host in hosts:
        for name in names:
            if name != host.name:
                host.add_other_host(name)
    return Scene(model=model, platform=platform, hosts=hosts)


@asynccontextmanager
async def without_logs(count: int) -> AsyncIterator[Scene]:
    """Have the primary crash, and the server that is ordered in its place."""
    scene = make_scene(count)
    model, platform = scene.model, scene.platform
    async with writing(model), running(*scene.hosts):
        scene.observe_phases()
        await wait_until(lambda: len(model.acknowledged) > 5)
        model.servers[S3].partitioned = True
        before = len(model.acknowledged)
        await wait_until(lambda: len(model.acknowledged) > before + COMMITS_OF_TWO)
        scene.crash(S1)
        await wait_until(lambda: platform.orders)
        assert platform.orders[0][1] == S2
        scene.crash(S2)
        model.servers[S3].partitioned = False
        yield scene
        assert model.lost == []


async def run_refused(host: ModelHost, target_ms: int) -> tuple[RefusedError, int]:
    """Run a write that is refused; return the refusal and how long it took."""
    route = replace(make_route(), timeout_ms=2 * target_ms, target_ms=target_ms)
    began = read_boot_ms()
    job = Job(query=write(), shape=None, route=route, arrived_at=began, writes=True)
    session = Session(database=route.database)
    with pytest.raises(RefusedError) as refused:
        await run_write(host.make_context(route), host.group, session, job)
    return refused.value, read_boot_ms() - began


@counts
async def test_write_is_rejected_at_once_while_nobody_may_be_ordered(count):
    async with without_logs(count) as scene:
        await asyncio.sleep(WAIT_S - 2)
        for _ in range(20):
            for host in scene.hosts:
                error, took_ms = await run_refused(host, PATIENT_MS)
                assert took_ms < AT_ONCE_MS, host.name
                assert error.code is FailureCode.OVERLOADED
                assert f"retry-after-ms={wait_queue.LOG_RETRY_MS}" in error.detail
            await asyncio.sleep(0.1)
        assert len(scene.model.promotions) == 0


async def test_write_that_waits_is_rejected_once_nobody_may_be_ordered():
    async with without_logs(1) as scene:
        host = scene.hosts[0]
        began = read_boot_ms()
        error, _ = await run_refused(host, 10 * PATIENT_MS)
        assert error.code is FailureCode.OVERLOADED
        assert scene.list_waits()
        assert read_boot_ms() - began < LEASE_MS


async def test_bounded_read_is_served_while_nobody_may_be_ordered():
    route = make_route(Consistency.BOUNDED, staleness_ms=60_000)
    async with without_logs(1) as scene:
        host = scene.hosts[0]
        await wait_until(lambda: log_waits.waits_for_logs(host.group))
        job = Job(query=read(), shape=None, route=route, arrived_at=read_boot_ms())
        session = Session(database=route.database)
        answer = await run_autocommit(host.make_context(route), session, job)
        assert answer.failure is None


async def test_write_waits_for_a_primary_that_is_about_to_lead():
    async with without_logs(1) as scene:
        host = scene.hosts[0]
        await wait_until(lambda: log_waits.waits_for_logs(host.group))
        orders = len(scene.platform.orders)
        scene.come_back(S2)
        await wait_until(lambda: len(scene.platform.orders) > orders)
        route = replace(make_route(), timeout_ms=PATIENT_MS, target_ms=PATIENT_MS)
        job = Job(
            query=write(),
            shape=None,
            route=route,
            arrived_at=read_boot_ms(),
            writes=True,
        )
        session = Session(database=route.database)
        context = host.make_context(route)
        answer = await run_write(context, host.group, session, job)
        assert answer.failure is None
        assert not log_waits.waits_for_logs(host.group)


async def test_wait_is_recorded_once_and_shown_by_a_gauge():
    metrics = PoolingMetrics(registry=Registry())
    labels = {"group": GROUP}
    async with without_logs(1) as scene:
        group = scene.hosts[0].group
        metrics.refresh([group], 0, 0)
        assert metrics.waits_for_logs.get(labels) == 0
        await asyncio.sleep(WAIT_S)
        metrics.refresh([group], 0, 0)
        assert metrics.waits_for_logs.get(labels) == 1
        waits = scene.list_waits()
        assert waits == ["the logs of s1, s2 are unknown"]
        scene.come_back(S2)
        await wait_until(scene.is_led)
        metrics.refresh([group], 0, 0)
        assert metrics.waits_for_logs.get(labels) == 0


def test_host_forgets_what_its_change_found_once_another_holds_the_lease():
    scene = make_scene(1)
    host = scene.hosts[0]
    holder = host.changer.lease.holder
    scene.model.servers[S1].is_primary = False
    host.group.update_server(scene.model.list(scene.model.servers[S1]))
    host.group.log_wait = "the logs of s1, s2 are unknown"
    record = LeaseRecord(
        group=GROUP,
        era=StoreEra(1),
        revision=StoreRevision(11),
        holder=holder,
        open=True,
    )
    log_waits.observe_lease(host.group, record, holder)
    assert log_waits.waits_for_logs(host.group)
    other = replace(record, holder=HostId("host-9"))
    log_waits.observe_lease(host.group, other, holder)
    assert not log_waits.waits_for_logs(host.group)


@counts
@pytest.mark.parametrize("server", [S2, S1], ids=["ordered", "former"])
@pytest.mark.parametrize("age_s", [0.5, 2.7, 3.9])
async def test_group_leads_within_seconds_of_the_return_of_a_log(count, server, age_s):
    """A change that follows the order of s2 is refused it, and may end amid the wait.

    The next one is refused it again, and waits for as long.
    """
    async with without_logs(count) as scene:
        await wait_until(scene.follows_order, FOLLOWED_S)
        await asyncio.sleep(age_s)
        assert scene.model.promotions == []
        scene.come_back(server)
        await wait_until(scene.is_led, LEAD_S)
