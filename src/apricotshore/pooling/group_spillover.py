"""Reads of a group that leave the data centre, as its host decides it."""

from collections.abc import Iterable

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
        staying = {p.load.server: p for p in pools if not p.load.leaving}
        candidates = [Candidate(load=p.load, times=p.times) for p in staying.values()]
        tiers = spillover.list_tiers(candidates, primary, now)
        if spillover.update(self.shares, tiers, self.objective_ms, self.prices, now):
            self.unrecorded = True
        self._record(tiers, now)
        ranked = spillover.rank_readers(self.shares, candidates, tiers, primary, now)
        return [staying[candidate.load.server] for candidate in ranked]

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
