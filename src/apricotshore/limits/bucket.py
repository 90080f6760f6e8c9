"""Token bucket of one organisation at an allocator, and its leases to hosts."""

from dataclasses import dataclass, field

from ..identifiers import HostId
from .budget import Budget
from .messages import Demand, Grant

# Leases and wants that have ended are looked for this often.
PRUNE_MS = 100
# Tokens beyond its usage that a host may keep while the bucket is full.
MAX_SPARE = 8
# Longest time that is told until a host's next token.
MAX_RETRY_MS = 10_000


@dataclass(kw_only=True, slots=True)
class Lease:
    """Unused tokens that a host may hold.

    Parameters
    ----------
    tokens
        Their number at most.
    until
        When they have expired, in milliseconds since boot.
    """

    tokens: int
    until: int


@dataclass(kw_only=True, slots=True)
class Want:
    """What a host wanted in its last request.

    Parameters
    ----------
    tokens
        Number of tokens.
    at
        Time of the request, in milliseconds since boot.
    due
        Its part of the tokens since then that it hasn't got; negative after it got
        one in advance.
    """

    tokens: int = 0
    at: int = 0
    due: float = 0.0


@dataclass(kw_only=True, slots=True)
class Bucket:
    """Tokens of one organisation at an allocator.

    Parameters
    ----------
    level
        Tokens that no host holds.
    refilled
        Refill time of the allocator up to which the level is computed.
    leases, leased
        Leases by host, and the sum of their tokens.
    wants, wanted
        Wants by host, and their sum.
    pruned_at
        When ended leases and wants were last removed.
    """

    level: float = 0.0
    refilled: float = 0.0
    leases: dict[HostId, Lease] = field(default_factory=dict)
    leased: int = 0
    wants: dict[HostId, Want] = field(default_factory=dict)
    wanted: int = 0
    pruned_at: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Terms:
    """What an allocator grants by, at one request.

    Parameters
    ----------
    now
        Time of the request, in milliseconds since boot.
    share
        Part of the fleet's tokens that this allocator hands out, from 0 to 1.
    refill_time
        Sum of shares over time, in milliseconds.
    reporters
        Number of hosts that it counts.
    validity_ms
        Validity of leases.
    in_step
        Whether the request follows the allocator's last reply to the host, so that
        what the host holds is known.
    """

    now: int
    share: float
    refill_time: float
    reporters: int
    validity_ms: int
    in_step: bool


def refill(bucket: Bucket, budget: Budget, terms: Terms) -> None:
    """Add the tokens since the last request, and remove ended leases and wants.

    The level and the leases together never exceed the allocator's share of the bucket,
    so leases may be renewed and given back without raising the bound.
    """
    if terms.now - bucket.pruned_at >= PRUNE_MS:
        bucket.pruned_at = terms.now
        _prune(bucket, terms)
    bucket.level += budget.rate * (terms.refill_time - bucket.refilled)
    bucket.refilled = terms.refill_time
    _limit_level(bucket, budget, terms)


def _prune(bucket: Bucket, terms: Terms) -> None:
    now = terms.now
    leases = {h: k for h, k in bucket.leases.items() if k.until > now and k.tokens}
    oldest = now - terms.validity_ms
    bucket.leases = leases
    bucket.leased = sum(lease.tokens for lease in leases.values())
    bucket.wants = {h: w for h, w in bucket.wants.items() if w.at > oldest}
    bucket.wanted = sum(want.tokens for want in bucket.wants.values())


def _limit_level(bucket: Bucket, budget: Budget, terms: Terms) -> None:
    room = budget.size * terms.share - bucket.leased
    bucket.level = max(0.0, min(bucket.level, room))


def grant(
    bucket: Bucket, budget: Budget, terms: Terms, host: HostId, demand: Demand
) -> Grant:
    """Renew a host's lease, and add what it wants or its part of that."""
    kept, renewed = _renew(bucket, budget, terms, host, demand)
    want = _observe_want(bucket, terms, host, demand.wanted)
    added = _choose_added(bucket, budget, terms, want)
    bucket.level -= added
    want.due = max(-1.0, want.due - added)
    tokens = kept + added
    bucket.leases[host] = Lease(tokens=tokens, until=terms.now + terms.validity_ms)
    bucket.leased += tokens
    return Grant(
        organisation=demand.organisation,
        tokens=renewed + added,
        spare=_find_spare(bucket, terms),
        retry_ms=_find_retry_ms(bucket, budget, terms, want, added),
    )


def _renew(
    bucket: Bucket, budget: Budget, terms: Terms, host: HostId, demand: Demand
) -> tuple[int, int]:
    """Return the tokens that a host may still hold, and those that are renewed."""
    lease = bucket.leases.pop(host, None)
    held = 0
    if lease is not None:
        bucket.leased -= lease.tokens
        held = lease.tokens if lease.until > terms.now else 0
    # Leases that exceed a share which has fallen must end.
    room = max(0, int(budget.size * terms.share - bucket.leased))
    renewed = min(demand.held, held, room)
    kept = held
    if terms.in_step:
        kept = min(demand.held, held)
        bucket.level += min(demand.returned, held - kept)
    bucket.leased += kept
    _limit_level(bucket, budget, terms)
    bucket.leased -= kept
    return kept, renewed


def _observe_want(bucket: Bucket, terms: Terms, host: HostId, wanted: int) -> Want:
    want = bucket.wants.setdefault(host, Want(at=terms.now))
    bucket.wanted += wanted - want.tokens
    want.tokens = wanted
    return want


def _choose_added(bucket: Bucket, budget: Budget, terms: Terms, want: Want) -> int:
    """Return how many new tokens a host gets: its part, where wants exceed the level.

    Its part of the tokens that come is carried on as ``due`` until it is a whole one.
    A host whose part is settled may get one in advance, so that an organisation whose
    operations arrive at a different host each time gets its tokens.
    """
    elapsed = min(terms.now - want.at, terms.validity_ms)
    want.at = terms.now
    if not want.tokens:
        want.due = 0.0
        return 0
    part = want.tokens / bucket.wanted
    due = want.due + budget.rate * terms.share * elapsed * part
    want.due = min(due, float(want.tokens))
    available = min(want.tokens, int(bucket.level))
    if bucket.wanted <= bucket.level:
        return available
    fair = max(int(want.due), int(bucket.level * part), int(want.due >= 0))
    return min(available, fair)


def _find_spare(bucket: Bucket, terms: Terms) -> int:
    if bucket.wanted > bucket.level:
        return 0
    return min(MAX_SPARE, int(bucket.level / max(1, terms.reporters)))


def _find_retry_ms(
    bucket: Bucket, budget: Budget, terms: Terms, want: Want, added: int
) -> int:
    """Return the time until a host's next token, 0 if it got what it wanted."""
    if added >= want.tokens:
        return 0
    rate = budget.rate * terms.share
    if rate <= 0:
        return terms.validity_ms
    first_ms = (1 - bucket.level) / rate
    part_ms = -want.due * bucket.wanted / (rate * want.tokens)
    return max(1, min(MAX_RETRY_MS, int(max(first_ms, part_ms)) + 1))
