"""Metrics of rate limits."""

from aioprometheus import Counter, Gauge, Registry

from ..identifiers import OrganisationId


class LimitMetrics:
    """Counters and gauges of rate limits; one series for each limited organisation.

    Parameters
    ----------
    registry
        Registry that exports them.
    """

    def __init__(self, *, registry: Registry) -> None:
        self.admitted: dict[OrganisationId, int] = {}
        self.limited: dict[OrganisationId, int] = {}
        self.requests = {"answered": 0, "failed": 0}
        self.operations = Counter(
            "apricotshore_rate_operations_total",
            "Operations that a rate limit decided on, by organisation and outcome",
            registry=registry,
        )
        self.asks = Counter(
            "apricotshore_rate_requests_total",
            "Requests to allocators of rate limits, by outcome",
            registry=registry,
        )
        self.share = Gauge(
            "apricotshore_rate_share",
            "Part of the rate limits that this host hands out as an allocator",
            registry=registry,
        )
        self.reply_age = Gauge(
            "apricotshore_rate_reply_age_seconds",
            "Age of the last reply of this host's allocator",
            registry=registry,
        )

    def count(self, organisation: OrganisationId, *, admitted: bool) -> None:
        """Count an operation that was admitted or rejected."""
        counts = self.admitted if admitted else self.limited
        counts[organisation] = counts.get(organisation, 0) + 1

    def count_request(self, *, answered: bool) -> None:
        """Count a request to another host."""
        self.requests["answered" if answered else "failed"] += 1

    def refresh(self, share: float, reply_age_ms: int) -> None:
        """Update what is exported."""
        for outcome, counts in (("ok", self.admitted), ("limited", self.limited)):
            for organisation, count in counts.items():
                labels = {"organisation": organisation, "outcome": outcome}
                self.operations.set(labels, count)
        for outcome, count in self.requests.items():
            self.asks.set({"outcome": outcome}, count)
        self.share.set({}, share)
        self.reply_age.set({}, reply_age_ms / 1000)
