"""Outcome of a rate limit for one operation."""

from dataclasses import dataclass

# An admitted operation is forwarded within this time, or needs another token.
FORWARD_MS = 100


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
