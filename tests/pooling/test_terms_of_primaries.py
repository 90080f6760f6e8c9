"""Which of two servers that say that they lead is taken for the primary."""

import asyncio

import pytest

from apricotshore.identifiers import ServerId, Term
from apricotshore.queries import QueryKind
from apricotshore.services.clock import read_boot_ms
from standins.in_memory import ModelGroup, ModelPlatform

from .support import ModelHost, log_position, running, wait_until, writing

S1, S2, S3 = (ServerId(f"s{n}") for n in (1, 2, 3))
# Time in which the former primary goes on, as it doesn't know of the promotion.
UNAWARE_S = 0.5


def make(*, fenced: bool = True) -> tuple[ModelGroup, ModelHost]:
    model = ModelGroup.make()
    platform = ModelPlatform(group=model)
    return model, ModelHost.make("host-0", model, platform, fenced=fenced)


async def write_some(model: ModelGroup, count: int = 5) -> None:
    primary = model.find_primary()
    assert primary is not None
    for number in range(count):
        assert await model.commit(primary, f"{primary.name}-{number}")


def find_primary(host: ModelHost) -> tuple[ServerId | None, int]:
    return host.group.primary_state.primary, host.group.primary_state.term


@pytest.mark.parametrize("fenced", [True, False])
async def test_new_primary_without_a_commit_does_not_lead_the_term_of_its_log(fenced):
    model, host = make(fenced=fenced)
    await write_some(model)
    model.promote(S2)
    await host.prober.probe()
    assert find_primary(host) == (S2, 2)
    (sample,) = host.group.position_history.samples
    assert (sample.term, sample.position) == (1, 5)


async def test_former_primary_that_goes_on_does_not_take_the_lead_back():
    model, host = make()
    await write_some(model)
    model.servers[S1].learns_after_s = UNAWARE_S
    model.promote(S2)
    await host.prober._ask(S2)
    assert model.servers[S1].is_primary
    await host.prober._ask(S1)
    assert find_primary(host) == (S2, 2)


async def test_transaction_begun_at_the_former_primary_does_not_take_the_lead_back():
    model, host = make()
    await write_some(model)
    model.promote(S2)
    await host.prober.probe()
    host.group.observe_begin(S1, log_position(1, 5), read_boot_ms() + 1)
    assert find_primary(host) == (S2, 2)


async def test_former_primary_is_not_taken_up_while_its_successor_is_unknown():
    model, host = make()
    await write_some(model)
    model.servers[S1].learns_after_s = UNAWARE_S
    model.promote(S2)
    await host.prober._ask(S2)
    host.group.observe_denial(S2)
    await host.prober._ask(S1)
    assert find_primary(host) == (None, 2)
    assert host.group.primary is None


async def test_server_that_refuses_its_status_does_not_take_the_lead_from_another():
    model, host = make()
    await write_some(model)
    model.servers[S1].learns_after_s = UNAWARE_S
    await host.prober.probe()
    model.promote(S2)
    model.servers[S2].refuses_commands = True
    await host.prober._ask(S2)
    assert find_primary(host) == (S1, 1)


async def test_server_that_refuses_its_status_is_the_primary_if_nobody_else_leads():
    model, host = make()
    await write_some(model)
    model.promote(S2)
    model.servers[S2].refuses_commands = True
    async with running(host):
        await wait_until(lambda: host.group.primary_state.primary == S2)
        model.servers[S2].refuses_commands = False
        asked_at = read_boot_ms()
        await wait_until(lambda: host.group.primary_state.term == 2)
    assert read_boot_ms() - asked_at < 500


async def test_usual_probes_ask_for_no_status():
    model, host = make()
    await write_some(model)
    for _ in range(5):
        await host.prober.probe()
    kinds = [query.kind for link in host.dialer.links for query, _ in link.received]
    assert kinds.count(QueryKind.BEGIN) == 5
    assert kinds.count(QueryKind.STATUS) == 1


async def test_log_positions_go_on_while_the_log_has_an_earlier_term():
    model, host = make()
    await write_some(model)
    model.promote(S2)
    await host.prober.probe()
    await asyncio.sleep(0.1)
    await host.prober.probe()
    assert [s.term for s in host.group.position_history.samples] == [1, 1]
    await write_some(model)
    await asyncio.sleep(0.1)
    await host.prober.probe()
    assert [s.term for s in host.group.position_history.samples] == [1, 1, 2]


@pytest.mark.parametrize("fenced", [True, False])
async def test_replaced_primary_that_answers_busy_probes_keeps_no_term(fenced):
    """The former primary steps down only when it is told to, or learns late."""
    model, host = make(fenced=fenced)
    model.servers[S1].learns_after_s = UNAWARE_S
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        host.mark_leaving("s1")
        await wait_until(lambda: model.promotions)
        await wait_until(lambda: find_primary(host) == (model.promotions[0][0], 2))
        await asyncio.sleep(UNAWARE_S)
        assert find_primary(host) == (model.promotions[0][0], 2)
    assert model.lost == []


def test_known_primary_that_commits_in_a_later_term_leads_that():
    _, host = make()
    host.group.observe_begin(S1, log_position(1, 5), 100, Term(1))
    host.group.observe_begin(S1, log_position(3, 7), 200)
    assert find_primary(host) == (S1, 3)
    assert not host.group.primary_state.is_term_read
