"""Log lines of rate limits, at a limited rate."""

from ..identifiers import OrganisationId
from ..limits.host_limits import HostLimits
from ..rate_decisions import Limited
from .journal import EventKind, Journal

# Lines on rejections: one for an organisation in this time.
LIMITED_LINE_MS = 10_000
SHARE_LINE_MS = 2_000
# Smaller changes of the share are not logged.
SHARE_STEP = 0.01


class LimitLines:
    """Writer of lines on rejected operations, and on this host as an allocator.

    Parameters
    ----------
    journal
        Journal of the host.
    limits
        State of the rate limits at the host.
    """

    def __init__(self, *, journal: Journal, limits: HostLimits) -> None:
        self.journal = journal
        self.limits = limits
        # By organisation: when its last line was written, and rejections since.
        self.lines: dict[OrganisationId, tuple[int, int]] = {}
        self.share = 0.0
        self.share_logged_at = 0

    def record_limited(
        self, organisation: OrganisationId, verdict: Limited, now: int
    ) -> None:
        """Log a rejection, with those of the organisation since its last line."""
        written_at, count = self.lines.get(organisation, (now - LIMITED_LINE_MS, 0))
        if now - written_at < LIMITED_LINE_MS:
            self.lines[organisation] = (written_at, count + 1)
            return
        self.lines[organisation] = (now, 0)
        holding = self.limits.holdings.holdings.get(organisation)
        home = self.limits.choice.home
        self.journal.record(
            EventKind.RATE_LIMITED,
            organisation=organisation,
            refused=count + 1,
            tokens=holding.tokens if holding else 0,
            arrivals_per_s=round(holding.rate * 1000, 1) if holding else None,
            allocator=home[0] if home else None,
            reply_age_ms=now - self.limits.replied_at,
            retry_ms=verdict.retry_ms,
        )

    def record_share(self, now: int) -> None:
        """Log the share of this host as an allocator when it has changed."""
        allocator = self.limits.allocator
        if abs(allocator.share - self.share) < SHARE_STEP:
            return
        if now - self.share_logged_at < SHARE_LINE_MS:
            return
        self.share, self.share_logged_at = allocator.share, now
        self.journal.record(
            EventKind.RATE_SHARE,
            share=round(allocator.share, 3),
            reporters=len(allocator.reporters),
            missing=allocator.missing,
            hosts=len(self.limits.roster.hosts),
            settled=self.limits.roster.is_settled,
        )
