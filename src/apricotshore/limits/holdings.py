"""Tokens that a host holds, and what it asks for."""

from dataclasses import dataclass, field

from ..identifiers import OrganisationId
from ..rate_decisions import Limited
from .messages import Demand, Grant

# An organisation without an operation for this time isn't reported any more.
ACTIVE_MS = 5_000
# Weight of the last interval in the rate of operations.
RATE_WEIGHT = 0.5
MAX_RETRY_MS = 10_000


@dataclass(kw_only=True, slots=True)
class Holding:
    """Tokens of one organisation at one host.

    Parameters
    ----------
    tokens, expires_at
        Unused tokens, and when they expire, in milliseconds since boot.
    spent
        Tokens used since the last request was sent.
    spare
        Tokens beyond its usage that the host may keep.
    waiting
        Operations that wait for a reply.
    arrivals, counted_since
        Operations since the rate was last computed, and when that was.
    rate
        Operations per millisecond, admitted or not.
    active_at
        When the last operation arrived.
    short_until
        Until when there is no token for this host, in milliseconds since boot.
    pace_ms
        Time between two tokens for this host then.
    refused
        Operations that were rejected since the last reply.
    reported_none
        Whether the last report named no tokens, held, returned or wanted.
    """

    tokens: int = 0
    expires_at: int = 0
    spent: int = 0
    spare: int = 0
    waiting: int = 0
    arrivals: int = 0
    counted_since: int
    rate: float = 0.0
    active_at: int = 0
    short_until: int = 0
    pace_ms: int = 0
    refused: int = 0
    reported_none: bool = False


@dataclass(kw_only=True, slots=True)
class Holdings:
    """Tokens of a host, by organisation."""

    holdings: dict[OrganisationId, Holding] = field(default_factory=dict)


def find_holding(holdings: Holdings, organisation: OrganisationId, now: int) -> Holding:
    """Return the tokens of an organisation."""
    holding = holdings.holdings.get(organisation)
    if holding is None:
        holding = holdings.holdings[organisation] = Holding(counted_since=now)
    return holding


def observe_arrival(holding: Holding, now: int) -> None:
    """Count an operation that arrives."""
    holding.arrivals += 1
    holding.active_at = now


def take_token(holding: Holding, now: int) -> bool:
    """Use a token; return whether there was one."""
    if not holding.tokens or now >= holding.expires_at:
        return False
    holding.tokens -= 1
    holding.spent += 1
    return True


def refuse(holding: Holding, least_ms: int, now: int) -> Limited:
    """Reject an operation, with the time until its token.

    Operations that are rejected one after the other are sent to successive tokens.
    """
    wait_ms = max(holding.short_until - now, least_ms)
    wait_ms += holding.refused * holding.pace_ms
    holding.refused += 1
    return Limited(retry_ms=max(1, min(MAX_RETRY_MS, wait_ms)))


def list_demands(holdings: Holdings, interval_ms: int, now: int) -> tuple[Demand, ...]:
    """List what to report, and take out the tokens that are given back.

    An organisation without tokens is left out once that was reported: most are, and
    their names would be most of each message.
    """
    demands = []
    for name, holding in list(holdings.holdings.items()):
        idle = now - holding.active_at >= ACTIVE_MS
        if idle and not holding.waiting and now >= holding.expires_at:
            del holdings.holdings[name]
            continue
        demand = _make_demand(name, holding, interval_ms, now)
        is_none = not (demand.held or demand.returned or demand.wanted)
        if not (is_none and holding.reported_none):
            demands.append(demand)
        holding.reported_none = is_none
    return tuple(demands)


def _make_demand(
    name: OrganisationId, holding: Holding, interval_ms: int, now: int
) -> Demand:
    _observe_rate(holding, interval_ms, now)
    if now >= holding.expires_at:
        holding.tokens = 0
    idle = now - holding.active_at >= ACTIVE_MS
    usual = 0 if idle else int(holding.rate * interval_ms) + holding.spare
    returned = max(0, holding.tokens - usual)
    holding.tokens -= returned
    holding.spent = 0
    wanted = holding.waiting + max(0, usual - holding.tokens)
    return Demand(
        organisation=name, held=holding.tokens, returned=returned, wanted=wanted
    )


def _observe_rate(holding: Holding, interval_ms: int, now: int) -> None:
    elapsed = now - holding.counted_since
    if elapsed < interval_ms:
        return
    newest = holding.arrivals / elapsed
    holding.rate += RATE_WEIGHT * (newest - holding.rate)
    holding.arrivals = 0
    holding.counted_since = now


def take_grant(holding: Holding, grant: Grant, expires_at: int, now: int) -> None:
    """Take over a lease that was asked for in the last request."""
    holding.tokens = max(0, grant.tokens - holding.spent)
    holding.expires_at = expires_at
    holding.spare = grant.spare
    holding.short_until = now + grant.retry_ms
    holding.pace_ms = grant.retry_ms
    holding.refused = 0
