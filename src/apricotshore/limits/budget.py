"""Rate and size of an organisation's token bucket, and the times of the protocol."""

from collections.abc import Mapping
from dataclasses import dataclass

from ..identifiers import OrganisationId
from ..rate_decisions import FORWARD_MS
from ..routes import Organisation

REPORT_INTERVAL_MS = 400
# Keeps an allocator of many hosts at about 330 reports a second.
INTERVAL_PER_HOST_MS = 3
# A lease outlives one lost report.
VALIDITY_INTERVALS = 2.5
# Part of the bound that is used, and tokens below that: clocks differ by less than
# this, and levels are rounded.
USED_PART = 0.99
ROUNDING_TOKENS = 1
# Part of the permitted excess that is added to the rate.
RATE_PART_OF_EXCESS = 0.25


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitSettings:
    """How the rate limits of a deployment are judged.

    Parameters
    ----------
    window_ms
        Length of the sliding window; 0 where no rate is limited.
    excess
        Share of a limit by which a window may exceed it.
    slack
        Operations by which a window may exceed a limit beside that share.
    """

    window_ms: int
    excess: float = 0.0
    slack: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Budget:
    """Token bucket of an organisation, for the whole fleet.

    Parameters
    ----------
    rate
        Tokens that are added, per millisecond.
    size
        Largest number of tokens in the bucket and in unused leases together.
    """

    rate: float
    size: float


def find_bound(organisation: Organisation, settings: LimitSettings) -> float:
    """Return how many operations an organisation may run in any window.

    Raises
    ------
    ValueError
        When the organisation has no rate limit.
    """
    if organisation.rate_per_s is None:
        raise ValueError(f"no rate limit: {organisation.organisation}")
    usual = organisation.rate_per_s * settings.window_ms / 1000 + organisation.burst
    return usual * (1 + settings.excess) + settings.slack


def derive_budget(organisation: Organisation, settings: LimitSettings) -> Budget:
    """Return the bucket of an organisation that has a rate limit.

    At most ``size + rate * window`` tokens are used in a window. A quarter of what a
    window may exceed the limit by goes into the rate, as some tokens expire unused on
    hosts that the operations have left. The bucket takes all that the bound leaves:
    where operations arrive in bunches, a larger bucket refuses fewer of those that are
    within the limit.
    """
    used = max(0.0, find_bound(organisation, settings) * USED_PART - ROUNDING_TOKENS)
    span_ms = settings.window_ms + FORWARD_MS
    rate = (organisation.rate_per_s or 0) / 1000
    usual = rate * settings.window_ms + organisation.burst
    least = min(max(organisation.burst, 1), used / 2)
    unused = RATE_PART_OF_EXCESS * (find_bound(organisation, settings) - usual)
    rate = min(rate + unused / span_ms, (used - least) / span_ms)
    return Budget(rate=rate, size=min(usual, used - rate * span_ms))


def derive_budgets(
    organisations: Mapping[OrganisationId, Organisation] | None,
    settings: LimitSettings,
) -> dict[OrganisationId, Budget]:
    """Return the buckets of all organisations with a rate; empty without a window."""
    if not settings.window_ms or not organisations:
        return {}
    return {
        name: derive_budget(organisation, settings)
        for name, organisation in organisations.items()
        if organisation.rate_per_s is not None
    }


def find_interval_ms(hosts: int) -> int:
    """Return the time between two reports of a host in a fleet of some size."""
    return max(REPORT_INTERVAL_MS, INTERVAL_PER_HOST_MS * hosts)


def find_validity_ms(hosts: int) -> int:
    """Return for how long a lease is valid in a fleet of some size."""
    return int(find_interval_ms(hosts) * VALIDITY_INTERVALS)
