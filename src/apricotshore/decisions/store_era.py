"""Eras of the platform's store.

A store that comes back from an older copy begins another era. What was written
after the copy is gone, leases included, and revisions are given out again, so that
they compare within one era only.
"""

from dataclasses import dataclass
from enum import Enum

from ..identifiers import StoreEra


class EraRelation(Enum):
    """Relation of an answer's era to the latest one that is known."""

    OUTDATED = "outdated"
    CURRENT = "current"
    NEW = "new"


@dataclass(kw_only=True, slots=True)
class EraState:
    """Latest era of the store that a host knows.

    Parameters
    ----------
    era
        The era, None before the first answer.
    seen_at
        When this host got the first answer of that era, in milliseconds since boot.
    earlier
        Era that this host knew before, None if it knew none.
    """

    era: StoreEra | None = None
    seen_at: int = 0
    earlier: StoreEra | None = None

    @property
    def is_restored(self) -> bool:
        """Whether the store was restored since this host's first answer of it."""
        return self.earlier is not None


def observe_era(state: EraState, era: StoreEra, now: int) -> EraRelation:
    """Record the era of an answer and return its relation to the latest one."""
    if era == state.era:
        return EraRelation.CURRENT
    if state.era is not None and era < state.era:
        return EraRelation.OUTDATED
    state.earlier = state.era
    state.era = era
    state.seen_at = now
    return EraRelation.NEW


def is_settling(state: EraState, grace_ms: int, now: int) -> bool:
    """Return whether the store was restored less than ``grace_ms`` ago.

    Others may not have written their entries again yet.
    """
    return state.is_restored and now - state.seen_at < grace_ms
