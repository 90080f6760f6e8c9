"""Decision which share of a group's reads leaves the data centre, and the region.

The price of a byte and of a hop is the response time that a read may lose before it
pays to send it one tier farther.
"""

from dataclasses import dataclass, field

from ..decisions.placement import DEFAULT_SERVICE_MS, DISTANCE_COST_MS, Distance

# Time between two changes of a share: answers at the new one are known by then.
PERIOD_MS = 250
STEP = 0.05
# Where answers are late, the share grows by up to this many steps at once.
LATE_STEPS = 4
# No share grows while the near servers' queue shrinks by itself: response times that
# fell below this share of the last ones show that.
EASING = 0.95
# Reads that stay show when the near servers have room again.
LARGEST_SHARE = 0.95
# Response times as shares of the latency objective: above the first one the price does
# not count, and below the second one reads return. The queue of a full server swings
# between the two without a change.
HIGH = 0.35
LOW = 0.2
# Reads return only where that is better by this share of the objective, too.
BAND = 0.05
# Older response times tell nothing; a few reads are sent to renew them.
STALE_MS = 2_000
KIB = 1_024


@dataclass(frozen=True, kw_only=True, slots=True)
class Prices:
    """Prices of a message, as response time in milliseconds.

    Parameters
    ----------
    hop_ms
        Price of a hop: one to another data centre, two to another region.
    kib_ms
        Price of 1,024 bytes over one hop.
    """

    hop_ms: float = 50.0
    kib_ms: float = 10.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Tier:
    """The servers at one distance that may serve a read, as one host observes them.

    Parameters
    ----------
    distance
        Their distance.
    expected_ms
        Response time of the best of them, None without an answer.
    age_ms
        Age of that time, None without an answer.
    shed
        Share of reads that it rejects as full.
    size
        Size of an answer, in bytes.
    """

    distance: Distance
    expected_ms: float | None = None
    age_ms: int | None = None
    shed: float = 0.0
    size: float = 0.0

    @property
    def is_known(self) -> bool:
        """Whether its response time is recent."""
        return self.age_ms is not None and self.age_ms < STALE_MS


@dataclass(kw_only=True, slots=True)
class Shares:
    """Shares of a group's reads that one host sends beyond each distance.

    Parameters
    ----------
    beyond
        The shares: beyond the data centre, and beyond the region.
    expected_ms
        Response times at each distance when the shares were last decided.
    updated_at
        When they were last decided, in milliseconds since boot.
    number
        Reads so far, which spreads them.
    """

    beyond: dict[Distance, float] = field(
        default_factory=lambda: {
            Distance.SAME_DATA_CENTRE: 0.0,
            Distance.SAME_REGION: 0.0,
        }
    )
    expected_ms: dict[Distance, float] = field(default_factory=dict)
    updated_at: int = 0
    number: int = 0


def find_price_ms(near: Tier, far: Tier, prices: Prices) -> float:
    """Return the price of a read at a far tier in place of a near one."""
    hops = far.distance - near.distance
    return hops * (prices.hop_ms + prices.kib_ms * near.size / KIB)


def expect_ms(tier: Tier, near: Tier) -> float:
    """Return the response time of a tier, estimated from a nearer one if unknown."""
    if tier.is_known and tier.expected_ms is not None:
        return tier.expected_ms
    distance_ms = DISTANCE_COST_MS[tier.distance] - DISTANCE_COST_MS[near.distance]
    return DEFAULT_SERVICE_MS + distance_ms


def update(
    shares: Shares, tiers: list[Tier], objective_ms: int, prices: Prices, now: int
) -> bool:
    """Decide the shares anew if that is due; return whether one changed.

    Parameters
    ----------
    shares
        Shares of the group; changed in place.
    tiers
        Tiers with a server that is fit to serve reads, the nearest first.
    objective_ms
        Latency objective of the reads.
    prices
        Prices of a message.
    now
        Milliseconds since boot.
    """
    if now - shares.updated_at < PERIOD_MS:
        return False
    shares.updated_at = now
    before = dict(shares.beyond)
    for near, far in zip(tiers, tiers[1:], strict=False):
        step = _find_step(near, far, objective_ms, prices)
        expected_ms = near.expected_ms or 0.0
        is_easing = expected_ms < EASING * shares.expected_ms.get(near.distance, 0.0)
        shares.expected_ms[near.distance] = expected_ms
        if step > 0 and is_easing:
            continue
        share = shares.beyond[near.distance] + step
        shares.beyond[near.distance] = round(max(0.0, min(share, LARGEST_SHARE)), 3)
    return shares.beyond != before


def _find_step(near: Tier, far: Tier, objective_ms: int, prices: Prices) -> float:
    """Return by how much the share of reads changes that goes to the far tier."""
    if not near.is_known or near.expected_ms is None:
        return -STEP
    gain_ms = near.expected_ms - expect_ms(far, near)
    worth_ms = gain_ms - find_price_ms(near, far, prices)
    is_late = near.expected_ms > HIGH * objective_ms
    if is_late and gain_ms > BAND * objective_ms:
        return STEP * min(LATE_STEPS, 2 * near.expected_ms / (HIGH * objective_ms))
    if worth_ms > 0:
        return STEP
    if near.expected_ms < LOW * objective_ms and worth_ms < -BAND * objective_ms:
        return -STEP
    if gain_ms < 0:
        return -STEP
    return 0.0


def describe(shares: Shares, tiers: list[Tier]) -> dict[str, object]:
    """Return the shares and the inputs of their decision for a line of the journal."""
    details: dict[str, object] = {
        "beyond_data_centre": shares.beyond[Distance.SAME_DATA_CENTRE],
        "beyond_region": shares.beyond[Distance.SAME_REGION],
    }
    for tier in tiers:
        known = None if tier.expected_ms is None else round(tier.expected_ms)
        details[tier.distance.name.lower()] = {
            "expected_ms": known,
            "age_ms": tier.age_ms,
            "shed": round(tier.shed, 2),
            "bytes": round(tier.size),
        }
    return details
