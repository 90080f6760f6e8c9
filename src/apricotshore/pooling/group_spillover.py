"""Reads of a group that leave the data centre, as its host decides it."""

from collections.abc import Iterable
from dataclasses import replace

from .. import spillover
from ..identifiers import GroupId, ServerId
from ..routes import DEFAULT_TARGET_MS
from ..services.clock import read_boot_ms
from ..spillover import Candidate, Prices, Shares, Tier
from .journal import EventKind, Journal
from .pool import ServerPool

# Between two lines of a group, changes of its shares are not recorded.
LINE_PERIOD_MS = 5_000


class GroupSpillover:
    """Ranks the servers of a group by price and expected response time.

    Parameters
    ----------
    group
        The group.
    journal
        Journal of the host.
    prices
        Prices of a message.
    """

    def __init__(self, *, group: GroupId, journal: Journal, prices: Prices) -> None:
        self.group = group
        self.journal = journal
        self.prices = prices
        self.objective_ms = DEFAULT_TARGET_MS
        self.shares = Shares()
        self.recorded_at = -LINE_PERIOD_MS
        self.unrecorded = False

    def rank(
        self, pools: Iterable[ServerPool], primary: ServerId | None
    ) -> list[ServerPool]:
        """Return the pools of servers that may serve a read, the best first.

        Parameters
        ----------
        pools
            Pools that may be sent statements.
        primary
            The primary, None while it is unknown.
        """
        now = read_boot_ms()
        staying, tiers = self._list_tiers(pools, primary, now)
        if spillover.update(self.shares, tiers, self.objective_ms, self.prices, now):
            self.unrecorded = True
        self._record(tiers, now)
        return self._rank(self.shares, staying, tiers, primary, now)

    def preview(
        self, pools: Iterable[ServerPool], primary: ServerId | None
    ) -> list[ServerPool]:
        """Return what `rank` would for the next read at the present shares."""
        now = read_boot_ms()
        staying, tiers = self._list_tiers(pools, primary, now)
        return self._rank(replace(self.shares), staying, tiers, primary, now)

    def describe(self) -> dict[str, object]:
        """Return the shares, and what they depend on beside the servers."""
        now = read_boot_ms()
        return {
            **spillover.describe(self.shares, []),
            "decided_age_ms": now - self.shares.updated_at,
            "objective_ms": self.objective_ms,
            "hop_price_ms": self.prices.hop_ms,
            "kib_price_ms": self.prices.kib_ms,
        }

    def _list_tiers(
        self, pools: Iterable[ServerPool], primary: ServerId | None, now: int
    ) -> tuple[list[ServerPool], list[Tier]]:
        staying = [pool for pool in pools if not pool.load.leaving]
        candidates = [Candidate(load=p.load, times=p.times) for p in staying]
        return staying, spillover.list_tiers(candidates, primary, now)

    def _rank(
        self,
        shares: Shares,
        pools: list[ServerPool],
        tiers: list[Tier],
        primary: ServerId | None,
        now: int,
    ) -> list[ServerPool]:
        by_server = {pool.load.server: pool for pool in pools}
        candidates = [Candidate(load=p.load, times=p.times) for p in pools]
        ranked = spillover.rank_readers(shares, candidates, tiers, primary, now)
        return [by_server[candidate.load.server] for candidate in ranked]

    def _record(self, tiers: list[Tier], now: int) -> None:
        if not self.unrecorded or now - self.recorded_at < LINE_PERIOD_MS:
            return
        self.unrecorded = False
        self.recorded_at = now
        self.journal.record(
            EventKind.SPILLOVER,
            group=self.group,
            objective_ms=self.objective_ms,
            **spillover.describe(self.shares, tiers),
        )
