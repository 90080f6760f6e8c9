"""Prometheus metrics of a host."""

from aioprometheus import REGISTRY, Counter, Gauge, Histogram, Registry

LATENCY_BUCKETS_S = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0]


class Metrics:
    """All metrics that a host exports.

    Parameters
    ----------
    registry
        Registry that the metrics are added to.
    """

    def __init__(self, *, registry: Registry = REGISTRY) -> None:
        self.registry = registry
        self.requests = Counter(
            "apricotshore_requests_total",
            "Requests answered, by caller, kind and outcome",
            registry=registry,
        )
        self.latency = Histogram(
            "apricotshore_request_seconds",
            "Time to answer a request, by kind",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.reads = Gauge(
            "apricotshore_reads_served",
            "Reads served, by database and backend server",
            registry=registry,
        )
        self.refused = Counter(
            "apricotshore_callers_refused_total",
            "Connections refused because the caller has no contract",
            registry=registry,
        )
        self.cuts = Counter(
            "apricotshore_cut_statements_total",
            "Statements received and cut off by this host",
            registry=registry,
        )
        self.cuts.set({}, 0)
        self.bundle = Gauge(
            "apricotshore_bundle_version", "Bundle in force", registry=registry
        )
        self.owned = Gauge(
            "apricotshore_databases_owned", "Databases owned", registry=registry
        )
        self.members = Gauge(
            "apricotshore_live_hosts", "Hosts believed alive", registry=registry
        )
        self.platform_calls = Gauge(
            "apricotshore_platform_calls",
            "Calls to the platform since start, by purpose",
            registry=registry,
        )
        self.backend_connections = Gauge(
            "apricotshore_backend_connections",
            "Open connections, by backend server",
            registry=registry,
        )
