"""Budget of bytes that clients make a host hold, and whose connection is closed."""

from collections import defaultdict
from dataclasses import dataclass, field

from ..identifiers import ClientNumber, OrganisationId


@dataclass(kw_only=True, slots=True)
class Holding:
    """What a client makes the host hold.

    Parameters
    ----------
    client
        The client's connection.
    organisation
        Its organisation, None before its session is open and on public routes.
    held
        Bytes.
    """

    client: ClientNumber
    organisation: OrganisationId | None
    held: int


@dataclass(kw_only=True, slots=True)
class Budget:
    """Budget that all clients share.

    Parameters
    ----------
    limit
        Bytes that may be held.
    total
        Bytes that are held.
    holdings
        Holding of each client.
    by_organisation
        Bytes of each organisation's clients together.
    """

    limit: int
    total: int = 0
    holdings: dict[ClientNumber, Holding] = field(default_factory=dict)
    by_organisation: dict[OrganisationId | None, int] = field(
        default_factory=lambda: defaultdict(int)
    )


def hold(
    budget: Budget,
    client: ClientNumber,
    organisation: OrganisationId | None,
    held: int,
) -> bool:
    """Set what a client holds; return whether all clients are within the budget."""
    holding = budget.holdings.get(client)
    if holding is None or holding.organisation != organisation:
        forget(budget, client)
        holding = Holding(client=client, organisation=organisation, held=0)
        budget.holdings[client] = holding
    change = held - holding.held
    holding.held = held
    budget.total += change
    budget.by_organisation[organisation] += change
    return budget.total <= budget.limit


def forget(budget: Budget, client: ClientNumber) -> None:
    """Remove a client and what it holds."""
    holding = budget.holdings.pop(client, None)
    if holding is None:
        return
    budget.total -= holding.held
    budget.by_organisation[holding.organisation] -= holding.held
    if not budget.by_organisation[holding.organisation]:
        del budget.by_organisation[holding.organisation]


def choose_largest(budget: Budget) -> Holding | None:
    """Return the largest holding of the organisation that holds most.

    Clients without an organisation count as one organisation together. None when
    nobody holds anything.
    """
    if not budget.holdings:
        return None
    most = max(budget.by_organisation, key=lambda o: budget.by_organisation[o])
    return max(
        (h for h in budget.holdings.values() if h.organisation == most),
        key=lambda h: h.held,
        default=None,
    )
