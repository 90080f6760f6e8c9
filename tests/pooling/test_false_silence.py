"""Primaries that are slow or full, or that only one host doesn't reach, and stay."""

import asyncio
from dataclasses import dataclass

from apricotshore.decisions import relays
from apricotshore.decisions.placement import Distance
from apricotshore.decisions.silence_checks import (
    ASK_AFTER_MS,
    LONGEST_WAIT_MS,
    SilenceCheck,
    awaits_reply,
    begin_question,
    end_question,
    find_silence,
)
from apricotshore.identifiers import ServerId
from apricotshore.pooling.relay_dialer import RelayDialer
from apricotshore.queries import Query, QueryKind
from apricotshore.routes import ListedServer
from apricotshore.services.clock import read_boot_ms
from standins.in_memory import ModelConnection, ModelDialer, ModelGroup, ModelPlatform

from .support import ModelHost, committing, make_journal, running, wait_until, writing

S1 = ServerId("s1")
OTHER = "10.0.0.2:7"


def make_silent_host() -> ModelHost:
    """Return a host whose primary gave a probe no answer."""
    model = ModelGroup.make()
    host = ModelHost.make("host-0", model, ModelPlatform(group=model))
    host.group.observe_primary(S1, 1, read_boot_ms() - 100)
    host.group.observe_silence(S1)
    assert host.group.primary_state.silent_since is not None
    return host


async def test_answer_to_anything_ends_a_silence():
    """Only a BEGIN that the primary carried out ended it."""
    host = make_silent_host()
    pool = host.group.pools[S1]
    await pool.run_alone(Query(kind=QueryKind.STATUS), 0, 400)
    assert host.group.primary_state.silent_since is None


async def test_refusal_of_a_full_primary_ends_a_silence():
    """It was taken for no answer, so that the silence went on."""
    host = make_silent_host()
    host.model.servers[S1].busy = True
    pool = host.group.pools[S1]
    await pool.run_alone(Query(kind=QueryKind.STATUS), 0, 400)
    assert host.group.primary_state.silent_since is None


def test_primary_that_returns_as_a_replica_is_missed_since_its_silence():
    """An answer ends the silence; the denial that follows must not start it anew."""
    host = make_silent_host()
    since = host.group.primary_state.silent_since
    host.group.observe_answer(S1)
    host.group.observe_denial(S1, read_boot_ms() + 1)
    assert host.group.no_primary_since == since


def test_proof_of_the_lead_ends_what_a_silence_left():
    host = make_silent_host()
    host.group.observe_primary(S1, 1, read_boot_ms() + 1)
    asked_at = read_boot_ms() + 2
    host.group.primary_state.confirmed_at = 0
    host.group.observe_denial(S1, asked_at)
    assert host.group.no_primary_since is not None
    assert host.group.primary_state.unproven_since is None


@dataclass(kw_only=True)
class Paths:
    """Dialer of a host: servers at their addresses, and other hosts at theirs."""

    model: ModelGroup
    name: str

    async def dial(
        self, server: ListedServer, timeout_s: float, organisation=None
    ) -> ModelConnection:
        name = server.address if server.address == OTHER else self.name
        dialer = ModelDialer(group=self.model, host_name=name)
        return await dialer.dial(server, timeout_s)


def make_host_with_detours() -> ModelHost:
    """Return a host with another one, through which it may connect."""
    model = ModelGroup.make()
    host = ModelHost.make("host-1", model, ModelPlatform(group=model, promote_s=0.2))
    host.add_other_host(OTHER)
    dialer = RelayDialer(
        direct=Paths(model=model, name="host-1"),
        fleet=host.fleet,
        measure=lambda one, other: Distance.SAME_DATA_CENTRE,
        journal=make_journal(),
    )
    host.group.dialer = dialer
    for pool in host.group.pools.values():
        pool.dialer = dialer
    return host


async def test_host_that_does_not_reach_the_primary_writes_through_one_that_does():
    """It had the primary replaced; else its callers would be refused for as long."""
    host = make_host_with_detours()
    model = host.model
    async with running(host), committing(model, [host]) as commits:
        await wait_until(lambda: commits.told)
        model.servers[S1].unreachable_by = {"host-1"}
        await asyncio.sleep(2.5)
        told = len(commits.told)
        await wait_until(lambda: len(commits.told) > told + 20, 3.0)
    assert (model.promotions, commits.list_missing()) == ([], [])


async def test_host_connects_directly_again_once_it_reaches_the_primary(monkeypatch):
    monkeypatch.setattr(relays, "DETOUR_MS", 300)
    host = make_host_with_detours()
    model = host.model
    async with running(host), committing(model, [host]) as commits:
        await wait_until(lambda: commits.told)
        model.servers[S1].unreachable_by = {"host-1"}
        await wait_until(lambda: S1 in host.fleet.detours)
        await asyncio.sleep(0.8)
        assert S1 in host.fleet.detours
        model.servers[S1].unreachable_by = set()
        host.group.pools[S1].close_idle_before(read_boot_ms())
        await wait_until(lambda: not host.fleet.detours)
    assert model.promotions == []


async def test_primary_that_nobody_reaches_is_replaced_as_soon_as_without_other_hosts():
    """The others hang as well; they are asked before the silence is too long."""
    took = []
    for others in (0, 2):
        model = ModelGroup.make()
        platform = ModelPlatform(group=model, promote_s=0.2)
        host = ModelHost.make("host-1", model, platform)
        for number in range(others):
            host.add_other_host(f"10.0.0.{number + 2}:7")
        async with running(host), writing(model):
            await wait_until(lambda model=model: len(model.acknowledged) > 5)
            model.servers[S1].up = False
            began = read_boot_ms()
            seen = host.changer
            await wait_until(lambda seen=seen: seen.work is not None)
            took.append(read_boot_ms() - began)
    print(f"began after {took[0]} ms alone, {took[1]} ms with others")
    assert took[1] <= took[0] + LONGEST_WAIT_MS


async def test_silent_primary_is_left_in_place_if_reached_while_the_lease_is_taken():
    """Another host reaches it between the reason and the first pause."""
    host = make_host_with_detours()
    state = host.group.primary_state
    host.group.observe_primary(S1, 1, read_boot_ms() - 2_000)
    state.silent_since = read_boot_ms() - 1_000
    host.changer.silence.check.reached_at = read_boot_ms() - 100
    await host.changer._change("silent")
    assert host.platform.orders == []
    paused = [s.paused_term for s in host.model.servers.values()]
    assert paused == [0, 0, 0]


def test_change_for_silence_goes_on_once_the_primary_denies_to_lead():
    """It had ended amid its steps, and another one began 2.7 s later."""
    host = make_silent_host()
    host.group.observe_answer(S1)
    assert not host.changer.reasons.is_needed("silent")
    host.group.observe_denial(S1, read_boot_ms() + 1)
    assert host.changer.reasons.is_needed("silent")


async def test_silence_that_ended_in_a_denial_is_confirmed():
    host = make_silent_host()
    host.group.primary_state.unproven_since = read_boot_ms() - 800
    host.group.observe_answer(S1)
    assert not await host.changer.reasons.confirm("silent")
    host.group.observe_denial(S1, read_boot_ms() + 1)
    assert await host.changer.reasons.confirm("silent")


def test_other_hosts_are_asked_before_the_silence_is_too_long():
    check = SilenceCheck()
    asked = [
        now
        for now in range(0, 701, 50)
        if begin_question(check, 0, now, has_others=True)
    ]
    assert asked == [ASK_AFTER_MS]


def test_answer_of_another_host_ends_the_silence_until_it_was_asked():
    check = SilenceCheck()
    assert begin_question(check, 0, 400, has_others=True)
    end_question(check, is_reached=True)
    assert find_silence(check, 0) == 400
    assert not begin_question(check, 0, 799, has_others=True)
    assert begin_question(check, 0, 800, has_others=True)


def test_reply_is_waited_for_once_and_not_longer_than_the_bound():
    check = SilenceCheck()
    assert begin_question(check, 0, 600, has_others=True)
    assert awaits_reply(check, 0, 700)
    assert not awaits_reply(check, 0, 700 + LONGEST_WAIT_MS)
    end_question(check, is_reached=False)
    assert begin_question(check, 0, 701, has_others=True)
    assert not awaits_reply(check, 0, 702)


def test_question_that_is_asked_late_is_waited_for():
    """The host was busy with another change until the silence was too long."""
    check = SilenceCheck()
    assert begin_question(check, 0, 2_000, has_others=True)
    assert awaits_reply(check, 0, 2_000)
    assert not awaits_reply(check, 0, 2_000 + LONGEST_WAIT_MS)


async def test_other_hosts_are_asked_amid_a_change_for_another_reason():
    """Asked after it, they delayed the next one by 200 ms."""
    model = ModelGroup.make()
    host = ModelHost.make("host-1", model, ModelPlatform(group=model, promote_s=0.2))
    host.add_other_host(OTHER)
    async with running(host), committing(model, [host]) as commits:
        await wait_until(lambda: commits.told)
        model.servers[S1].up = False
        await wait_until(lambda: host.changer.work is not None)
        assert not host.changer.work.attempt.is_silent
        await wait_until(lambda: host.changer.silence.check.replies, 1.0)


async def test_primary_that_none_of_the_asked_hosts_reaches_is_replaced():
    model = ModelGroup.make()
    host = ModelHost.make("host-1", model, ModelPlatform(group=model, promote_s=0.2))
    others = {f"10.0.0.{number}:7" for number in (2, 3)}
    for other in sorted(others):
        host.add_other_host(other)
    async with running(host):
        await wait_until(lambda: host.group.primary == S1)
        model.servers[S1].unreachable_by = {"host-1", *others}
        await wait_until(lambda: model.promotions)


def test_nobody_is_asked_without_other_hosts():
    check = SilenceCheck()
    assert not begin_question(check, 0, 600, has_others=False)
    assert not awaits_reply(check, 0, 700)
