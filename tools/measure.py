"""Benchmarks at the sizes of the two users' deployments.

Runs the named measures, or all, prints each figure with its bound and writes
the figures to build/measures.json. The exit status is 1 if a bound is not met.
"""

import asyncio
import json
import re
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path

from apricotshore.load import (
    LoadResult,
    Verdicts,
    check_history,
    find_percentile,
    parse_scenario,
    run_load,
)
from apricotshore.load.history import Operation, Work
from apricotshore.load.runner import EntryHost
from standins.deployment import PASSWORD, Deployment, DeploymentOptions, run_sql

SEED = 7
OUTPUT = Path("build/measures.json")

COOPERATIVE_KINDS = """
[kind balance]
staleness = 5 s
deadline = 1 s
weight = 2

[kind delivery]
deadline = 6 s
weight = 8
"""

KALAMANSI_KINDS = """
[kind lookup]
staleness = 5 s
deadline = 4 s
weight = 8

[kind reorder]
deadline = 6 s
weight = 8

[kind batch]
staleness = 30 s
deadline = 20 s
weight = 2
long = yes
"""


@dataclass(kw_only=True)
class Measure:
    """Measured figure and its bound.

    Parameters
    ----------
    name, value, unit
        The figure.
    bound
        The bound as text.
    met
        Whether the figure is within the bound.
    baseline
        The figure with the first-come admission policy in the same run, or None.
    seed
        Seed of the load.
    """

    name: str
    value: float
    unit: str
    bound: str
    met: bool
    baseline: float | None = None
    seed: int = SEED


@dataclass(kw_only=True)
class Report:
    """Figures of a run, with the commit that they were measured at."""

    commit: str
    measures: list[Measure] = field(default_factory=list)

    def add(self, measure: Measure) -> None:
        """Add a figure and print it."""
        self.measures.append(measure)
        base = "" if measure.baseline is None else f" (baseline {measure.baseline:g})"
        verdict = "met" if measure.met else "NOT MET"
        print(
            f"{measure.name}: {measure.value:g} {measure.unit}{base}; "
            f"bound {measure.bound}: {verdict}",
            flush=True,
        )


def cooperative_options(**changes: object) -> DeploymentOptions:
    """Return the options of the co-operative's deployment: 6 hosts, 3 databases."""
    values = {
        "hosts": 6,
        "databases": ("deliveries", "orders", "members"),
        "connections": 20,
        "connect_ms": 10,
        "latency_ms": 1.5,
        "kinds": COOPERATIVE_KINDS,
    }
    return DeploymentOptions(**(values | changes))


def kalamansi_options(**changes: object) -> DeploymentOptions:
    """Return the options of Kalamansi's deployment: 6 hosts, 3 databases."""
    values = {
        "hosts": 6,
        "databases": ("ledger", "branches", "printing"),
        "connections": 40,
        "connect_ms": 30,
        "latency_ms": 0.5,
        "data_centres": ("luzon-pasig", "visayas-cebu", "mindanao-davao"),
        "kinds": KALAMANSI_KINDS,
    }
    return DeploymentOptions(**(values | changes))


def list_entry_hosts(deployment: Deployment) -> list[EntryHost]:
    """Return the caller address of every host."""
    return [
        EntryHost(host="127.0.0.1", port=deployment.host_ports(n)[0])
        for n in range(deployment.options.hosts)
    ]


async def with_deployment(
    options: DeploymentOptions, work: Callable[[Deployment], Awaitable[object]]
) -> object:
    """Start a deployment, run work on it and stop it."""
    deployment = Deployment(options=options)
    try:
        await deployment.start()
        await warm_up(deployment)
        return await work(deployment)
    finally:
        deployment.stop()


async def warm_up(deployment: Deployment) -> None:
    """Wait until every database has an owner."""
    for database in deployment.options.databases:
        connection = await deployment.connect(0, database=database)
        await run_sql(connection, "SELECT COUNT(*) FROM delivery")
        connection.close()


async def run_scenario(deployment: Deployment, text: str) -> LoadResult:
    """Run the load of a scenario against the deployment."""
    scenario = parse_scenario(text, "scenario")
    return await run_load(scenario, list_entry_hosts(deployment), PASSWORD)


def format_scenario(duration_s: float, *streams: str) -> str:
    """Return the text of a scenario file."""
    head = f"[scenario]\nduration = {int(duration_s * 1000)} ms\nseed = {SEED}\n"
    return head + "\n".join(streams)


def format_stream(name: str, **keys: object) -> str:
    """Return the section of one stream of a scenario file."""
    lines = [f"[stream {name}]", "caller = members-app"]
    lines += [f"{key.replace('_', '-')} = {value}" for key, value in keys.items()]
    return "\n".join(lines) + "\n"


def count_reads(deployment: Deployment) -> dict[str, int]:
    """Return the reads served by each backend server, summed over all hosts."""
    counts: dict[str, int] = {}
    for number in range(deployment.options.hosts):
        text = deployment.read_metrics(number)
        for server, count in re.findall(
            r'apricotshore_reads_served\{.*?server="([^"]+)".*?\} (\d+)', text
        ):
            counts[server] = counts.get(server, 0) + int(count)
    return counts


# -- replica reads --

REPLICA_LAG_S = 2


async def measure_replica_reads(report: Report) -> None:
    """Measure the share of reads that replicas serve with a lag of 2 s."""

    async def work(deployment: Deployment) -> tuple[float, int]:
        text = format_scenario(
            15,
            format_stream(
                "entries",
                database="deliveries",
                kind="delivery",
                work="entry",
                rate=10,
                group="members",
                sessions=600,
                move_every="5 s",
                move_with="name",
            ),
            format_stream(
                "balances",
                database="deliveries",
                kind="balance",
                work="balance",
                rate=100,
                group="members",
            ),
        )
        # A new owner reads at the primary until replicas have applied its claim.
        await asyncio.sleep(REPLICA_LAG_S + 1)
        before = count_reads(deployment)
        result = await run_scenario(deployment, text)
        after = count_reads(deployment)
        primary = await deployment.find_primary("deliveries")
        reads = {
            s: after[s] - before.get(s, 0) for s in after if s.startswith("deliveries")
        }
        # run_load ends with one read at the primary for the history check.
        at_primary = reads.get(primary, 0) - 1
        share = 1 - at_primary / max(sum(reads.values()) - 1, 1)
        findings = check_history(result.operations, result.stored)
        return share * 100, findings.count()

    share, violations = await with_deployment(
        cooperative_options(lag_ms=REPLICA_LAG_S * 1000), work
    )
    report.add(
        Measure(
            name="balance reads served by replicas, 2 s behind",
            value=round(share, 2),
            unit="%",
            bound=">= 95 %",
            met=share >= 95,
        )
    )
    add_violations(report, "replica reads", violations)


def add_violations(report: Report, where: str, violations: int) -> None:
    """Add the number of consistency violations found by the history check."""
    report.add(
        Measure(
            name=f"violations, {where}",
            value=violations,
            unit="",
            bound="0",
            met=violations == 0,
        )
    )


# -- failover gap --


async def fail_by_kill(deployment: Deployment, primary: str) -> None:
    """Kill the primary and restart it 4 s later as an empty replica."""
    deployment.signal(primary, signal.SIGKILL)
    deployment.processes[primary].wait()
    await asyncio.sleep(4)
    deployment.start_server(primary)


async def fail_by_freeze(deployment: Deployment, primary: str) -> None:
    """Freeze the primary for 4 s; it resumes as if it were still the primary."""
    deployment.signal(primary, signal.SIGSTOP)
    await asyncio.sleep(4)
    deployment.signal(primary, signal.SIGCONT)


async def fail_by_cut(deployment: Deployment, primary: str) -> None:
    """Stop replication of the primary for 4 s; it still acts as the primary."""
    await deployment.set_fault(primary, "cut_replication", 1)
    await asyncio.sleep(4)
    await deployment.set_fault(primary, "cut_replication", 0)


async def fail_by_silence(deployment: Deployment, primary: str) -> None:
    """Make the primary accept statements without answering, then restart it."""
    await deployment.set_fault(primary, "mute", 1)
    await asyncio.sleep(4)
    deployment.signal(primary, signal.SIGKILL)
    deployment.processes[primary].wait()
    deployment.start_server(primary)


FAILURE_KINDS = (fail_by_kill, fail_by_freeze, fail_by_cut, fail_by_silence)
FAILOVERS = 20
FAILOVER_PERIOD_S = 8.0


def measure_gap(operations: list[Operation], start_s: float, end_s: float) -> float:
    """Return the longest time in a window without an acknowledged write."""
    ends = sorted(
        o.ended_s
        for o in operations
        if o.work is Work.ENTRY
        and o.verdict is Verdicts.RAN
        and start_s <= o.ended_s <= end_s
    )
    points = [start_s, *ends, end_s]
    return max(b - a for a, b in zip(points, points[1:], strict=False))


async def measure_failovers(report: Report) -> None:
    """Measure the write gap over 20 failovers by four kinds of failure."""

    async def work(deployment: Deployment) -> tuple[list[float], int]:
        text = format_scenario(
            FAILOVERS * FAILOVER_PERIOD_S + 2,
            format_stream(
                "entries",
                database="ledger",
                kind="reorder",
                work="entry",
                rate=40,
                sessions=60,
                repeat_percent=10,
            ),
        )
        began = time.monotonic()
        load = asyncio.create_task(run_scenario(deployment, text))
        failure_times: list[float] = []
        for number in range(FAILOVERS):
            at_s = 1 + number * FAILOVER_PERIOD_S
            await asyncio.sleep(max(began + at_s - time.monotonic(), 0))
            primary = await deployment.find_primary("ledger")
            failure_times.append(time.monotonic() - began)
            await FAILURE_KINDS[number % len(FAILURE_KINDS)](deployment, primary)
        result = await load
        gaps = [
            measure_gap(result.operations, at_s, at_s + FAILOVER_PERIOD_S - 1)
            for at_s in failure_times
        ]
        findings = check_history(result.operations, result.stored)
        if findings.count():
            print(findings.describe())
        return gaps, findings.count()

    gaps, violations = await with_deployment(kalamansi_options(), work)
    worst = max(gaps)
    for kind_index, fail in zip(range(len(FAILURE_KINDS)), FAILURE_KINDS, strict=True):
        kind_gaps = gaps[kind_index :: len(FAILURE_KINDS)]
        label = fail.__name__.removeprefix("fail_by_")
        print(
            f"  write gap by {label}: worst {max(kind_gaps):.2f} s of {len(kind_gaps)}"
        )
    report.add(
        Measure(
            name=f"write gap, worst of {len(gaps)} failovers",
            value=round(worst, 2),
            unit="s",
            bound="<= 8 s (aim 2 s)",
            met=worst <= 8,
        )
    )
    add_violations(report, "failovers", violations)


# -- overload --

OVERLOAD_WORK_MS = 30
OVERLOAD_S = 6.0
OVERLOAD_RATE = 600
CAPACITY_RATES = (170, 200, 260)


async def run_overload_with(policy: str) -> tuple[float, float, float]:
    """Return capacity and, under overload, goodput and % of entries that ran."""

    async def work(deployment: Deployment) -> tuple[float, float, float]:
        capacity = 0.0
        for rate in CAPACITY_RATES:
            probe_result = await run_scenario(
                deployment,
                format_scenario(
                    4,
                    format_stream(
                        "probe",
                        database="deliveries",
                        kind="balance",
                        work="balance",
                        rate=rate,
                        sessions=300,
                        work_time=f"{OVERLOAD_WORK_MS} ms",
                    ),
                ),
            )
            capacity = max(
                capacity, compute_goodput(probe_result, 1.0, 4.0, deadline_s=99)
            )
        overload = await run_scenario(
            deployment,
            format_scenario(
                2 + OVERLOAD_S,
                format_stream(
                    "balances",
                    database="deliveries",
                    kind="balance",
                    work="balance",
                    rate=OVERLOAD_RATE // 10,
                    surge_rate=OVERLOAD_RATE,
                    surge_at="2 s",
                    surge_for=f"{int(OVERLOAD_S * 1000)} ms",
                    sessions=1200,
                    work_time=f"{OVERLOAD_WORK_MS} ms",
                ),
                format_stream(
                    "entries",
                    database="deliveries",
                    kind="delivery",
                    work="entry",
                    rate=10,
                    sessions=100,
                ),
            ),
        )
        goodput = compute_goodput(overload, 3.0, 2 + OVERLOAD_S, deadline_s=1.0)
        entries = [o for o in overload.operations if o.work is Work.ENTRY]
        ran = sum(o.verdict is Verdicts.RAN for o in entries)
        return capacity, goodput, 100 * ran / len(entries)

    options = cooperative_options(policy=policy, databases=("deliveries",))
    return await with_deployment(options, work)


def compute_goodput(
    result: LoadResult, from_s: float, to_s: float, deadline_s: float
) -> float:
    """Return balance reads per second that met the deadline in a window.

    The deadline counts from the planned arrival, so that a delayed start of the
    request is included.
    """
    good = sum(
        o.verdict is Verdicts.RAN and o.ended_s - o.arrived_s <= deadline_s
        for o in result.operations
        if o.work is Work.BALANCE and from_s <= o.ended_s < to_s
    )
    return good / (to_s - from_s)


async def measure_overload(report: Report) -> None:
    """Measure goodput when load rises tenfold to about three times the capacity."""
    capacity, goodput, entries = await run_overload_with("fair")
    _, baseline_goodput, baseline_entries = await run_overload_with("first-come")
    share = 100 * goodput / capacity
    print(f"  capacity {capacity:.0f}/s, overload {OVERLOAD_RATE}/s")
    report.add(
        Measure(
            name="goodput at the crest, of capacity",
            value=round(share, 1),
            unit="%",
            bound=">= 90 %",
            met=share >= 90,
            baseline=round(100 * baseline_goodput / capacity, 1),
        )
    )
    report.add(
        Measure(
            name="delivery entries accepted at the crest",
            value=round(entries, 1),
            unit="%",
            bound=">= 99 % (before balances)",
            met=entries >= 99,
            baseline=round(baseline_entries, 1),
        )
    )


# -- head-of-line blocking --

BATCH_MS = 1_500


async def measure_blocking_with(policy: str) -> tuple[float, float, int]:
    """Return the lookups' p99 without and with batches, and the batches done."""

    async def work(deployment: Deployment) -> tuple[float, float, int]:
        lookups = format_stream(
            "lookups",
            database="ledger",
            kind="lookup",
            work="lookup",
            rate=60,
            sessions=60,
            work_time="5 ms",
        )
        batches = format_stream(
            "batches",
            database="ledger",
            kind="batch",
            work="batch",
            rate=4,
            sessions=40,
            work_time=f"{BATCH_MS} ms",
        )
        alone = await run_scenario(deployment, format_scenario(8, lookups))
        with_batches = await run_scenario(
            deployment, format_scenario(12, lookups, batches)
        )
        done = sum(
            o.work is Work.BATCH and o.verdict is Verdicts.RAN
            for o in with_batches.operations
        )
        return find_lookup_p99(alone), find_lookup_p99(with_batches), done

    options = kalamansi_options(policy=policy, databases=("ledger",))
    return await with_deployment(options, work)


def find_lookup_p99(result: LoadResult) -> float:
    """Return the p99 latency of all lookups in ms, including failed ones."""
    return 1000 * find_percentile(
        [
            o.ended_s - o.arrived_s
            for o in result.operations
            if o.work is Work.LOOKUP and o.arrived_s >= 1
        ],
        99,
    )


async def measure_blocking(report: Report) -> None:
    """Measure how much long batches increase the p99 of short lookups."""
    alone, with_batches, done = await measure_blocking_with("fair")
    baseline_alone, baseline_with_batches, baseline_done = await measure_blocking_with(
        "first-come"
    )
    print(
        f"  lookup p99 alone {alone:.1f} ms, with batches {with_batches:.1f} ms; "
        f"batches done {done} (baseline {baseline_done})"
    )
    report.add(
        Measure(
            name="lookup p99 beside batch lists, of p99 alone",
            value=round(with_batches / alone, 2),
            unit="times",
            bound="<= 2 times",
            met=with_batches <= 2 * alone,
            baseline=round(baseline_with_batches / baseline_alone, 2),
        )
    )
    report.add(
        Measure(
            name="batch lists done beside lookups",
            value=done,
            unit="",
            bound="> 0",
            met=done > 0,
            baseline=baseline_done,
        )
    )


# -- rollout --


async def measure_rollout(report: Report) -> None:
    """Measure how long the rollout of a bundle and a withdrawal take at 6 hosts."""

    async def work(deployment: Deployment) -> tuple[float, float]:
        connection = await deployment.connect(
            3, caller="old-branch", database="members"
        )
        await run_sql(connection, "SELECT 1 FROM delivery")
        started = time.monotonic()
        rolling = asyncio.create_task(deployment.roll_out(("members-app",)))
        disconnected_s = None
        while disconnected_s is None:
            try:
                await run_sql(connection, "SELECT 1 FROM delivery")
                await asyncio.sleep(0.005)
            except Exception:
                disconnected_s = time.monotonic() - started
        await rolling
        while not all_have_bundle(deployment, 2):
            await asyncio.sleep(0.02)
        return time.monotonic() - started, disconnected_s

    rollout_s, disconnected_s = await with_deployment(cooperative_options(), work)
    report.add(
        Measure(
            name="bundle in force at 6 hosts",
            value=round(rollout_s, 2),
            unit="s",
            bound="<= 15 s (aim 3 s)",
            met=rollout_s <= 15,
        )
    )
    report.add(
        Measure(
            name="withdrawn caller quiet",
            value=round(disconnected_s, 2),
            unit="s",
            bound="<= 15 s",
            met=disconnected_s <= 15,
        )
    )


def all_have_bundle(deployment: Deployment, version: int) -> bool:
    """Return whether every host reports the bundle version in its metrics."""
    for number in range(deployment.options.hosts):
        text = deployment.read_metrics(number)
        if f"apricotshore_bundle_version {version}" not in text:
            return False
    return True


MEASURES = {
    "replica-reads": measure_replica_reads,
    "failovers": measure_failovers,
    "crest": measure_overload,
    "blocking": measure_blocking,
    "rollout": measure_rollout,
}


async def main(names: list[str]) -> int:
    """Run the named measures, or all, and return the exit status."""
    head = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True
    )
    report = Report(commit=head.stdout.strip())
    for name in names or MEASURES:
        await MEASURES[name](report)
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(asdict(report), indent=2) + "\n")
    return 0 if all(measure.met for measure in report.measures) else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main(sys.argv[1:])))
