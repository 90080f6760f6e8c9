"""Generator of docs/CAPACITY.md, the capacity estimate for the target's size.

The figures are computed from the measured slopes in docs/slopes.json;
tests/test_capacity.py checks that the committed page is up to date.
"""

import json
import sys
from dataclasses import dataclass
from pathlib import Path

SLOPES = Path("docs/slopes.json")
PAGE = Path("docs/CAPACITY.md")
TEMPLATE = Path(__file__).with_name("capacity_page.md")

HOSTS = 7_400
DATABASES = 12_000
CONNECTIONS = 47_000_000
STATEMENTS_PER_S = 20_000_000
CHANGES_PER_DAY = 3_900
REPLACED_PER_DAY = 2_900
FAILED_PER_DAY = 23
DATA_CENTRES = 10
PRIMARY_CHANGES_PER_DAY = 15
DAY_S = 86_400

CPU_LIMIT = 3.2
MEMORY_LIMIT_MB = 256
BYTES_LIMIT = 26_000
PLATFORM_READS = 2_000
PLATFORM_WRITES = 400

PINGS_PER_S = 12  # 3 sent and 3 answered each 500 ms
PROBES_PER_S = 4
SERVERS = 3
WATCHERS = 2
EXPIRIES_PER_S = 2
RECORDS_PER_CHANGE = 3
COPIES_PER_RECORD = 3
MAX_PEER_LINKS = 2_000
SLOW_POLL_S = 45  # mean of 60 s with jitter
LIST_PERIOD_S = 22.5  # mean of 20 s with jitter
SECTION_READS = 3
WATCH_TIMEOUT_S = 8
SIGN_OFF_WRITES = 8
PIECES = 4 * DATABASES + 256  # sections of 3 servers and a caller each; pages


@dataclass(frozen=True, kw_only=True, slots=True)
class CostItem:
    """Part of a total, shown as one row of a table."""

    label: str
    value: float
    basis: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Point:
    """Measured cost at one size."""

    size: float
    cost: float


class Slopes:
    """Measured slopes by name, as tools/slopes.py writes them."""

    def __init__(self, record: dict) -> None:
        self.commit = record["commit"]
        self.slopes = record["slopes"]

    def estimate(self, name: str, size: float) -> float:
        """Return the cost at a size, estimated from the fitted line."""
        fitted = self.slopes[name]
        return fitted["base"] + fitted["slope"] * size

    def largest(self, name: str) -> Point:
        """Return the measured cost at the largest measured size."""
        point = self.slopes[name]["points"][-1]
        return Point(size=point["size"], cost=point["cost"])

    def slope(self, name: str) -> float:
        """Return the additional cost per unit of size."""
        return self.slopes[name]["slope"]


def list_cpu(slopes: Slopes) -> list[CostItem]:
    """Return the CPU time of one host's control path, in % of a core."""
    owned = DATABASES / HOSTS
    ring_changes = RECORDS_PER_CHANGE * (REPLACED_PER_DAY + FAILED_PER_DAY)
    ring_ms = slopes.estimate("ring after a change", HOSTS)
    candidates_ms = slopes.estimate("candidates after a change", DATABASES)
    apply_ms = slopes.estimate("taking one change", DATABASES)
    expire_ms = slopes.estimate("expiry round", HOSTS)
    return [
        CostItem(
            label="idle host with its owned databases",
            value=slopes.estimate("idle processor share", owned),
            basis=f"{owned:.2f} databases a host; probes, pings, timers",
        ),
        CostItem(
            label="ring and candidates",
            value=100 * (ring_ms + candidates_ms) / 1000 * ring_changes / DAY_S,
            basis=f"{ring_changes:,} changes a day at {ring_ms + candidates_ms:.0f} ms",
        ),
        CostItem(
            label="bundle changes",
            value=100 * apply_ms / 1000 * CHANGES_PER_DAY / DAY_S,
            basis=f"{CHANGES_PER_DAY:,} a day at {apply_ms:.0f} ms",
        ),
        CostItem(
            label="expiry of members",
            value=100 * expire_ms / 1000 * EXPIRIES_PER_S,
            basis=f"{expire_ms * 1000:.0f} us, {EXPIRIES_PER_S} a second",
        ),
    ]


def list_memory(slopes: Slopes) -> list[CostItem]:
    """Return the memory of one host's control path, in MB."""
    owned = DATABASES / HOSTS
    sessions = min(10_000, CONNECTIONS / DATABASES)
    position_bytes = slopes.slope("session mark memory") * sessions * owned
    return [
        CostItem(
            label="program and owned databases",
            value=slopes.estimate("host memory", owned) / 1e6,
            basis="resident size of an idle host",
        ),
        CostItem(
            label="members",
            value=slopes.slope("member memory") * HOSTS / 1e6,
            basis=f"{HOSTS:,} records",
        ),
        CostItem(
            label="bundle",
            value=slopes.estimate("bundle memory", DATABASES) / 1e6,
            basis=f"{DATABASES:,} databases of 3 servers and a caller, with texts",
        ),
        CostItem(
            label="sessions' marks",
            value=position_bytes / 1e6,
            basis=f"{sessions:,.0f} sessions a database, bounded at 10,000",
        ),
        CostItem(
            label="links to other hosts",
            value=slopes.slope("peer links") * MAX_PEER_LINKS / 1e6,
            basis=f"{MAX_PEER_LINKS:,} at most, the least recently used are dropped",
        ),
    ]


def list_bytes(slopes: Slopes) -> list[CostItem]:
    """Return the traffic of one host's control path, in bytes per second."""
    owned = DATABASES / HOSTS
    updates = RECORDS_PER_CHANGE * (REPLACED_PER_DAY + FAILED_PER_DAY) / DAY_S
    record = slopes.slope("ping size")
    largest = slopes.largest("traffic of a host")
    return [
        CostItem(
            label="pings and fit checks",
            value=largest.cost,
            basis=f"a host's traffic in a fleet of {largest.size:g}, probes included "
            "for its share of one database; the fan-out does not grow",
        ),
        CostItem(
            label="spread records",
            value=updates * record * COPIES_PER_RECORD * 2,
            basis=f"{updates:.2f} records a second, {COPIES_PER_RECORD} copies",
        ),
        CostItem(
            label="probes of backend servers",
            value=owned * slopes.slope("probe traffic"),
            basis=f"{SERVERS} servers, status {PROBES_PER_S}/s, claim 1/s",
        ),
        CostItem(
            label="bundle changes",
            value=2
            * slopes.estimate("bytes of one change", DATABASES)
            * CHANGES_PER_DAY
            / DAY_S,
            basis="root, one page and one section; fetched once, served once",
        ),
    ]


def list_platform() -> list[CostItem]:
    """Return the calls per second to the platform, by purpose."""
    watchers = DATA_CENTRES * WATCHERS
    change_rate = CHANGES_PER_DAY / DAY_S
    moves = (REPLACED_PER_DAY + FAILED_PER_DAY) * DATABASES / HOSTS / DAY_S
    return [
        CostItem(
            label="waiting watches", value=watchers, basis="2 in each data centre"
        ),
        CostItem(
            label="reads: after each watch without a change",
            value=2 * watchers / WATCH_TIMEOUT_S,
            basis="a watch and a read each 8 s, in case the store was restored",
        ),
        CostItem(
            label="reads: rollout by watchers",
            value=watchers * SECTION_READS * change_rate,
            basis="root, page, section",
        ),
        CostItem(
            label="reads: slow polls of all others",
            value=HOSTS / SLOW_POLL_S,
            basis="one root each 45 s, in case gossip fails",
        ),
        CostItem(
            label="reads: list of hosts",
            value=watchers / LIST_PERIOD_S + REPLACED_PER_DAY / DAY_S,
            basis="watchers, and each new host once",
        ),
        CostItem(
            label="writes: sign-off",
            value=SIGN_OFF_WRITES * change_rate,
            basis="pieces, proposal, root, history",
        ),
        CostItem(
            label="writes: evidence",
            value=moves + change_rate,
            basis="one for each take-over and each withdrawn caller's database",
        ),
    ]


def format_table(title: str, unit: str, items: list[CostItem], limit: float) -> str:
    """Format a table with the sum of its items and the limit that applies."""
    total = sum(item.value for item in items)
    verdict = "fits" if total <= limit else "DOES NOT FIT"
    rows = [f"| {item.label} | {item.value:,.2f} | {item.basis} |" for item in items]
    return "\n".join(
        [
            f"### {title}",
            "",
            f"| what | {unit} | worked out from |",
            "|---|---:|---|",
            *rows,
            f"| **sum** | **{total:,.2f}** | limit {limit:,g}: **{verdict}** |",
            "",
        ]
    )


def format_slope(name: str, slope: dict) -> str:
    """Format one row of the table of slopes."""
    sizes = ", ".join(f"{point['size']:g}" for point in slope["points"])
    return (
        f"| {name} | {slope['slope']:.4g} {slope['unit']} per {slope['per']} | "
        f"{slope['base']:.4g} | {slope['error']:.0%} | {sizes} |"
    )


def render_page(record: dict) -> str:
    """Return the page: the template filled in with figures and tables."""
    slopes = Slopes(record)
    entry_ms = slopes.slope("entry processor time")
    owner_ms = slopes.slope("owner processor time")
    per_host = STATEMENTS_PER_S / HOSTS
    callers = CONNECTIONS / HOSTS
    cores = per_host * (entry_ms + owner_ms) / 1000
    caller_mb = callers * slopes.slope("caller connections") / 1e6
    bundle_mb = slopes.estimate("bundle memory", DATABASES) / 1e6
    pull_s = PIECES * DATA_CENTRES * WATCHERS / PLATFORM_READS
    rows = [format_slope(name, slope) for name, slope in slopes.slopes.items()]
    return TEMPLATE.read_text().format(
        commit=slopes.commit,
        hosts=HOSTS,
        databases=DATABASES,
        connections=CONNECTIONS,
        statements=STATEMENTS_PER_S,
        primary_changes=PRIMARY_CHANGES_PER_DAY,
        changes=CHANGES_PER_DAY,
        replaced=REPLACED_PER_DAY,
        failed=FAILED_PER_DAY,
        cpu_table=format_table(
            "Processor time", "% of a core", list_cpu(slopes), CPU_LIMIT
        ),
        memory_table=format_table("Memory", "MB", list_memory(slopes), MEMORY_LIMIT_MB),
        bytes_table=format_table("Traffic", "B/s", list_bytes(slopes), BYTES_LIMIT),
        platform_table=format_table(
            "Calls a second", "calls/s", list_platform(), PLATFORM_READS
        ),
        owned=DATABASES / HOSTS,
        pings=PINGS_PER_S,
        pieces=PIECES,
        platform_reads=PLATFORM_READS,
        platform_writes=PLATFORM_WRITES,
        pull_s=pull_s,
        pull_minutes=bundle_mb * 1e6 / BYTES_LIMIT / 60,
        centre_hosts=HOSTS // DATA_CENTRES,
        centre_databases=DATABASES // DATA_CENTRES,
        centre_s=DATABASES // DATA_CENTRES / PLATFORM_WRITES,
        per_host=per_host,
        entry_ms=entry_ms,
        owner_ms=owner_ms,
        cores=cores,
        callers=callers,
        caller_mb=caller_mb,
        bundle_mb=bundle_mb,
        slope_rows="\n".join(rows),
    )


def main() -> None:
    """Write docs/CAPACITY.md."""
    PAGE.write_text(render_page(json.loads(SLOPES.read_text())))


if __name__ == "__main__":
    sys.exit(main())
