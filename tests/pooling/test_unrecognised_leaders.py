"""Servers that lead a term below an adopted one step down before an order."""

import asyncio
from dataclasses import dataclass, field

from apricotshore.decisions import change_actions, change_attempt, primary_change
from apricotshore.decisions.change_actions import Hold, Promote, Quiesce, Seal, StepDown
from apricotshore.decisions.change_attempt import Attempt, BarrierReport
from apricotshore.decisions.change_members import Member, MemberStatus
from apricotshore.groups import LogPosition
from apricotshore.identifiers import (
    FencingToken,
    GroupId,
    HostId,
    Position,
    ServerId,
    Term,
)
from apricotshore.services.clock import read_boot_ms
from standins.in_memory import ModelGroup, ModelPlatform

from .support import ModelHost, running, wait_until, writing

S1, S2, S3, S4 = (ServerId(f"s{n}") for n in (1, 2, 3, 4))
MEMBERS = tuple(Member(server=s) for s in (S1, S2, S3, S4))
# A term that a replica adopted from a command of an earlier change.
ADOPTED = 9


@dataclass(kw_only=True)
class WatchedPlatform(ModelPlatform):
    """Platform that notes who led whenever another server was ordered."""

    leading: list[ServerId] = field(default_factory=list)

    async def promote(
        self, group: GroupId, server: ServerId, holder: HostId, token: FencingToken
    ) -> bool:
        self.leading += [
            s.name
            for s in self.group.servers.values()
            if s.is_primary and s.name != server
        ]
        return await super().promote(group, server, holder, token)


def make(count: int = 3) -> tuple[ModelGroup, WatchedPlatform, ModelHost]:
    model = ModelGroup.make(count)
    platform = WatchedPlatform(group=model, promote_s=0.3)
    return model, platform, ModelHost.make("host-0", model, platform)


async def test_leader_below_an_adopted_term_goes_on_while_another_is_ordered():
    model, platform, host = make()
    async with writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        model.servers[S3].term = ADOPTED
        host.group.no_primary_since = read_boot_ms() - 1_000
        change = asyncio.create_task(host.changer._change("unfinished"))
        await asyncio.sleep(2.5)
        await host.prober.probe()
        await change
    assert {server for _, server, _ in platform.orders} & {S2, S3}
    assert platform.leading == []
    assert model.lost == []


async def test_second_leader_goes_on_while_the_leaving_primary_is_replaced():
    model, platform, host = make(4)
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        model.servers[S3].term = ADOPTED
        model.term = model.servers[S1].term = 2
        model.servers[S2].is_primary = True
        host.mark_leaving("s1")
        await wait_until(lambda: model.promotions)
    assert platform.leading == []
    assert model.lost == []


def status(
    position: int, term: int = 1, *, is_primary: bool = False, paused_term: int = 0
) -> MemberStatus:
    return MemberStatus(
        log_position=LogPosition(term=Term(1), position=Position(position)),
        term=Term(term),
        paused_term=Term(paused_term),
        is_primary=is_primary,
    )


def make_attempt(**details) -> Attempt:
    return Attempt(from_term=Term(1), started_at=0, replaced=S1, **details)


def plan(attempt: Attempt, now: int):
    return primary_change.plan_step(attempt, MEMBERS, None, now)


def run_until_order(attempt: Attempt, answers, now: int = 0) -> list:
    """Run steps with the answers of servers; return the steps up to an order."""
    steps = []
    while now < 5_000:
        step = plan(attempt, now)
        steps.append(step)
        if isinstance(step, Promote):
            return steps
        if isinstance(step, Quiesce):
            attempt.quiesced = BarrierReport(at=now)
        if isinstance(step, Seal):
            attempt.barrier = BarrierReport(at=now)
        now += 20
        answers(step, now)
    return steps


def observe(attempt: Attempt, statuses: dict[ServerId, MemberStatus], now: int) -> None:
    for server, found in statuses.items():
        change_attempt.update_status(attempt, server, found, now)


def test_two_servers_that_lead_both_step_down_before_a_third_is_ordered():
    attempt = make_attempt(must_step_down=True)
    led = {S1: status(50, 3, is_primary=True), S2: status(20, is_primary=True)}
    told = set()

    def answer(step, now):
        if isinstance(step, StepDown):
            told.add(step.server)
            assert step.term > 3
            led[step.server] = status(50 if step.server == S1 else 20, step.term)
        match step:
            case change_actions.RecordTarget(server=server):
                attempt.recorded = server
        term = attempt.pause_term
        paused = {s: status(50, 3, paused_term=term) for s in (S3, S4)}
        observe(attempt, {**led, **paused}, now)

    steps = run_until_order(attempt, answer)
    assert isinstance(steps[-1], Promote)
    assert told == {S1, S2}


def test_leader_that_refuses_its_step_down_keeps_another_from_being_ordered():
    """It is too busy for commands, and goes on acknowledging."""
    attempt = make_attempt(must_step_down=True)
    stepped = set()

    def answer(step, now):
        if isinstance(step, StepDown):
            stepped.add(step.server)
        if isinstance(step, change_actions.RecordTarget):
            attempt.recorded = step.server
        former = status(50, 3, is_primary=S1 not in stepped)
        term = attempt.pause_term
        observe(
            attempt,
            {
                S1: former,
                S3: status(50, 3, paused_term=term),
                S4: status(50, 3, paused_term=term),
            },
            now,
        )
        if now > 20:
            change_attempt.remove_status(attempt, S2, now)
            change_attempt.observe_refusal(attempt, S2)
        else:
            observe(attempt, {S2: status(20, is_primary=True)}, now)

    steps = run_until_order(attempt, answer)
    assert not isinstance(steps[-1], Promote)
    assert S2 in stepped


def test_log_of_a_second_leader_counts_until_it_has_stepped_down():
    attempt = make_attempt(must_step_down=True)
    observe(attempt, {S1: status(50, is_primary=True)}, 0)
    observe(attempt, {S1: status(50, 2)}, 10)
    attempt.pause_term = Term(5)
    observe(attempt, {S2: status(70, is_primary=True), S3: status(50)}, 20)
    observe(attempt, {S2: status(71, 5)}, 30)
    assert attempt.final_end.position == 71
    assert set(attempt.statuses) == {S1, S2}
    assert attempt.stepped_down_at == 30


def test_unknown_leader_that_gives_no_more_answer_is_told_to_step_down():
    attempt = Attempt(from_term=Term(9), started_at=0)
    observe(attempt, {s: status(50) for s in (S1, S3, S4)}, 0)
    observe(attempt, {S2: status(50, is_primary=True)}, 0)
    change_attempt.remove_status(attempt, S2, 10)
    plan(attempt, 20)
    assert attempt.replaced == S2
    assert attempt.must_step_down


def test_order_is_not_repeated_while_another_server_leads():
    attempt = make_attempt(
        requested=S3, held=True, pause_term=Term(2), target=S3, recorded=S3
    )
    observe(attempt, {S3: status(60, 1)}, 0)
    assert plan(attempt, 0) == Promote(server=S3)
    observe(attempt, {S4: status(60, 4, is_primary=True)}, 10)
    step = plan(attempt, 20)
    assert isinstance(step, Hold)
    assert step.primary == S4
    assert step.term > 4
    assert set(step.servers) == {S1, S2}
    observe(attempt, {S4: status(60, 5)}, 30)
    assert plan(attempt, 40) == Promote(server=S3)


def test_former_primary_is_paused_while_another_leader_is_held():
    attempt = make_attempt(
        requested=S3, accepted=True, pause_term=Term(2), target=S3, recorded=S3
    )
    assert plan(attempt, 0) == Hold(servers=(S2, S4), primary=S1, term=Term(2))
    observe(attempt, {S4: status(60, 1, is_primary=True)}, 10)
    assert plan(attempt, 20) == Hold(servers=(S1, S2), primary=S4, term=Term(2))
