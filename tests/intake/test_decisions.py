"""Decisions about what clients hold and which connections are closed."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricotshore import intake
from apricotshore.identifiers import ClientNumber, OrganisationId
from apricotshore.intake import (
    Budget,
    ClientConnection,
    IntakeSettings,
    Phase,
    derive_limits,
)
from apricotshore.intake.limits import MIB
from apricotshore.pooling.client_intake import ClientIntake
from apricotshore.pooling.statement_gate import StatementGate

LIMITS = derive_limits(IntakeSettings(connections=4, starting=2), 1_024)


def connect(number, phase, since=0, in_transaction=False) -> ClientConnection:
    return ClientConnection(
        client=ClientNumber(number),
        phase=phase,
        since=since,
        in_transaction=in_transaction,
    )


def test_largest_client_of_the_largest_organisation_is_chosen():
    """An organisation with many clients must not displace those of a smaller one."""
    budget = Budget(limit=100)
    many, few = OrganisationId("many"), OrganisationId("few")
    for number in range(5):
        assert intake.hold(budget, ClientNumber(number), many, 10 + number)
    assert not intake.hold(budget, ClientNumber(9), few, 45)
    chosen = intake.choose_largest(budget)
    assert chosen is not None
    assert chosen.client == 4
    intake.forget(budget, ClientNumber(4))
    assert budget.total == 91


operations = st.lists(
    st.tuples(st.integers(0, 5), st.sampled_from([None, "a", "b"]), st.integers(0, 99))
)


@given(operations)
def test_sums_of_the_budget_match_its_holdings(done):
    """Sums that drift would have clients closed for nothing, or none at all."""
    budget = Budget(limit=100)
    for number, organisation, held in done:
        if held > 90:
            intake.forget(budget, ClientNumber(number))
        else:
            intake.hold(budget, ClientNumber(number), organisation, held)
    holdings = budget.holdings.values()
    assert budget.total == sum(h.held for h in holdings)
    for organisation, total in budget.by_organisation.items():
        own = [h.held for h in holdings if h.organisation == organisation]
        assert total == sum(own)


@pytest.mark.parametrize(
    ("connections", "chosen"),
    [
        ([connect(1, Phase.STARTING, 5), connect(2, Phase.STARTING, 3)], 2),
        ([connect(n, Phase.RUNNING) for n in range(4)], None),
        ([connect(n, Phase.IDLE, n) for n in range(4)], 0),
        ([connect(n, Phase.IDLE, n, n < 2) for n in range(4)], 2),
        ([connect(n, Phase.IDLE, 9_500) for n in range(4)], None),
        ([connect(n, Phase.IDLE, n) for n in range(3)], None),
        (
            [*(connect(n, Phase.IDLE) for n in range(3)), connect(3, Phase.CLOSING)],
            None,
        ),
    ],
    ids=["starting", "busy", "quiet", "transactions", "just-quiet", "room", "closing"],
)
def test_connection_that_gives_way(connections, chosen):
    """Whoever is served is kept, and only as many are closed as have to be."""
    assert intake.choose_for_room(LIMITS, connections, 10_000) == chosen


def test_limits_follow_the_memory_and_the_descriptors():
    """A small host would be filled by limits that fit a large one."""
    small = derive_limits(IntakeSettings(memory=150 * MIB), 1 << 20)
    assert derive_limits(IntakeSettings(), 1 << 20) == small
    large = derive_limits(IntakeSettings(memory=552 * MIB, descriptors=600), 1 << 20)
    assert small.budget == 43 * MIB < large.budget == 244 * MIB
    assert large.connections == 300
    assert derive_limits(IntakeSettings(memory=MIB), 10).connections > 0


def test_overdue_connection_is_closed_once():
    """A connection that waits for too long is reported in one line only."""
    closed: list[str] = []
    clients = ClientIntake(limits=LIMITS)
    account = clients.open(closed.append)
    clients.enter(account, Phase.SENDING, 0)
    clients.close_overdue()
    clients.close_overdue()
    assert closed == ["sending for too long"]
    clients.end(account)
    clients.update(account)
    assert clients.budget.total == 0


async def test_large_statements_are_in_work_in_turn():
    """A session that ends while it waits must not keep the room of the next ones."""
    gate = StatementGate(limit=10)
    assert await gate.enter(8) == 8
    tasks = [asyncio.create_task(gate.enter(size)) for size in (50, 3, 3)]
    await asyncio.sleep(0)
    tasks[1].cancel()
    gate.leave(8)
    assert await tasks[0] == 10
    assert not tasks[2].done()
    gate.leave(10)
    assert await tasks[2] == 3
    assert gate.taken == 3
