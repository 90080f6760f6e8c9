"""Metrics of a pooling host."""

from collections.abc import Iterable, Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry

from ..identifiers import GroupId, StoreEra
from ..queries import Answer, FailureCode, Query
from ..services.clock import read_boot_ms
from .freshness import FOLLOWED, Freshness
from .group import Group
from .log_waits import waits_for_logs
from .statements_at_work import WorkStage
from .stored_objects import StoredKind

LATENCY_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2]


class PoolingMetrics:
    """Counters, gauges and histograms of a pooling host.

    Parameters
    ----------
    registry
        Registry that exports them.
    """

    def __init__(self, *, registry: Registry) -> None:
        self.registry = registry
        self.statements = Counter(
            "apricotshore_statements_total",
            "Statements answered, by kind and outcome",
            registry=registry,
        )
        self.latency = Histogram(
            "apricotshore_statement_seconds",
            "Time to answer a statement, by kind",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.sessions = Gauge(
            "apricotshore_sessions", "Open sessions of callers", registry=registry
        )
        self.host_links = Gauge(
            "apricotshore_host_links",
            "Links of other hosts that reach servers through this one",
            registry=registry,
        )
        self.configuration = Gauge(
            "apricotshore_configuration_version",
            "Version of the configuration in force",
            registry=registry,
        )
        self.store_era = Gauge(
            "apricotshore_store_era",
            "Latest era of the platform's store that was seen",
            registry=registry,
        )
        self.connections = Gauge(
            "apricotshore_connections",
            "Connections to backend servers, by server and use",
            registry=registry,
        )
        self.waiting = Gauge(
            "apricotshore_waiting",
            "Statements that wait for a connection, by server",
            registry=registry,
        )
        self.evidence_age = Gauge(
            "apricotshore_evidence_age_seconds",
            "Age of the newest position of a proven primary, by group",
            registry=registry,
        )
        self.term = Gauge(
            "apricotshore_term", "Highest term seen, by group", registry=registry
        )
        self.changes = Counter(
            "apricotshore_primary_changes_total",
            "Changes of primary that this host ran, by group, reason and outcome",
            registry=registry,
        )
        self.short_promotions = Counter(
            "apricotshore_short_promotions_total",
            "Promotions ordered though the log lacked known entries, by group",
            registry=registry,
        )
        self.refused = Counter(
            "apricotshore_refused_callers_total",
            "Callers that were refused a session, by code",
            registry=registry,
        )
        self.cuts = Counter(
            "apricotshore_cut_statements_total",
            "Statements received and cut off by this host, by how far they came",
            registry=registry,
        )
        for stage in WorkStage:
            self.cuts.set({"stage": stage.value}, 0)
        self.revoked = Counter(
            "apricotshore_revoked_total",
            "Sessions whose keys were withdrawn, and transactions rolled back for it",
            registry=registry,
        )
        self.evictions = Counter(
            "apricotshore_evicted_connections_total",
            "Connections closed to make room for another organisation, by server",
            registry=registry,
        )
        self.unresumed = Gauge(
            "apricotshore_unresumed_servers",
            "Servers that this host has still to find not paused, by group",
            registry=registry,
        )
        self.waits_for_logs = Gauge(
            "apricotshore_waits_for_logs",
            "Whether nobody may lead until the log of a server is back, by group",
            registry=registry,
        )
        self.proof_age = Gauge(
            "apricotshore_proof_age_seconds",
            "Age of the proof that nothing newer is in the store, by kind",
            registry=registry,
        )
        self.keyed_refusals = Counter(
            "apricotshore_keyed_refusals_total",
            "Requests with a key refused as the proof of the configuration was too old",
            registry=registry,
        )
        self.store_reads = Counter(
            "apricotshore_store_reads_total",
            "Lists and watches of the store, by kind",
            registry=registry,
        )
        self.store_reads_saved = Counter(
            "apricotshore_store_reads_saved_total",
            "Watches of the store that other hosts' proofs replaced, by kind",
            registry=registry,
        )
        self.spillover = Gauge(
            "apricotshore_spillover_share",
            "Share of reads that is sent beyond a distance, by group",
            registry=registry,
        )

    def observe_refusal(self, code: FailureCode) -> None:
        """Count a caller that was refused a session."""
        self.refused.inc({"code": code.value})

    def observe_cut(self, stage: WorkStage) -> None:
        """Count a statement that was cut."""
        self.cuts.inc({"stage": stage.value})

    def count_cuts(self) -> int:
        """Return the number of statements that were cut."""
        return sum(int(self.cuts.get({"stage": stage.value})) for stage in WorkStage)

    def observe_revocations(self, sessions: int, rolled_back: int) -> None:
        """Count sessions whose keys were withdrawn, and transactions that ended so."""
        self.revoked.add({"what": "session"}, sessions)
        self.revoked.add({"what": "transaction"}, rolled_back)

    def observe(self, query: Query, answer: Answer, took_ms: int) -> None:
        """Count an answered statement and its latency."""
        kind = query.kind.value
        outcome = answer.failure.value if answer.failure else "ok"
        self.statements.inc({"kind": kind, "outcome": outcome})
        self.latency.observe({"kind": kind}, took_ms / 1000)

    def refresh(self, groups: Iterable[Group], sessions: int, host_links: int) -> None:
        """Update the gauges of sessions, groups and servers."""
        self.sessions.set({}, sessions)
        self.host_links.set({}, host_links)
        for group in groups:
            self._refresh_group(group)

    def refresh_store(self, version: int, era: StoreEra | None) -> None:
        """Update the gauges of what the store holds."""
        self.configuration.set({}, version)
        self.store_era.set({}, era or 0)

    def refresh_freshness(
        self, freshness: Freshness, wait_ms: Mapping[StoredKind, int]
    ) -> None:
        """Update what is known of the configuration's proofs.

        Parameters
        ----------
        freshness
            Proofs of the host.
        wait_ms
            Waits of the watches of a host that watches all the time.
        """
        self.keyed_refusals.set({}, freshness.refused)
        for kind in FOLLOWED:
            labels = {"kind": kind.value}
            age_ms = freshness.read_age_ms(kind)
            if age_ms is not None:
                self.proof_age.set(labels, age_ms / 1000)
            self.store_reads.set(labels, freshness.calls[kind])
            saved = freshness.rested_ms[kind] // wait_ms[kind]
            self.store_reads_saved.set(labels, saved)

    def refresh_unresumed(self, counts: Mapping[GroupId, int]) -> None:
        """Update the gauge of servers that are still to be resumed."""
        for group, count in counts.items():
            self.unresumed.set({"group": group}, count)

    def _refresh_group(self, group: Group) -> None:
        labels = {"group": group.group}
        self.term.set(labels, group.primary_state.term)
        self.waits_for_logs.set(labels, int(waits_for_logs(group)))
        if group.spillover is not None:
            for distance, share in group.spillover.shares.beyond.items():
                beyond = {"beyond": distance.name.lower()}
                self.spillover.set({**labels, **beyond}, share)
        for (reason, outcome), count in group.changes.outcomes.items():
            self.changes.set({**labels, "reason": reason, "outcome": outcome}, count)
        self.short_promotions.set(labels, group.changes.short_promotions)
        if group.position_history.samples:
            age = read_boot_ms() - group.position_history.samples[-1].asked_at
            self.evidence_age.set(labels, age / 1000)
        for server, pool in group.pools.items():
            used = {"server": server, "use": "used"}
            idle = {"server": server, "use": "idle"}
            self.connections.set(used, len(pool.used))
            self.connections.set(idle, len(pool.idle))
            self.evictions.set({"server": server}, pool.evictions)
            self.waiting.set({"server": server}, len(pool.wait_queue.heap))
