"""Outcome of a rate limit for one operation."""

from dataclasses import dataclass

# An admitted operation is forwarded within this time while its group has a primary.
FORWARD_MS = 100
# An operation that waited longer, in an outage, needs another token.
RENEW_MS = 1_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Admitted:
    """An operation that may be forwarded."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Limited:
    """An operation that is rejected.

    Parameters
    ----------
    retry_ms
        Time until a token will be available.
    """

    retry_ms: int


ADMITTED = Admitted()
RateDecision = Admitted | Limited
