"""Human-readable summary of a load run."""

from collections import Counter, defaultdict
from collections.abc import Iterable

from .history import Operation, Verdicts

PERCENTILES = (50, 99)


def find_percentile(values: list[float], percent: float) -> float:
    """Return a percentile as one of the values, or 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def summarize(operations: Iterable[Operation]) -> str:
    """Return one line per stream with verdict counts and latency percentiles.

    Latencies are measured from the planned arrival, in milliseconds.
    """
    latencies: dict[str, list[float]] = defaultdict(list)
    verdicts: dict[str, Counter[Verdicts]] = defaultdict(Counter)
    for operation in operations:
        latency_ms = 1000 * (operation.ended_s - operation.arrived_s)
        latencies[operation.stream].append(latency_ms)
        verdicts[operation.stream][operation.verdict] += 1
    lines = []
    for stream, values in sorted(latencies.items()):
        counts = ", ".join(f"{v.value} {n}" for v, n in verdicts[stream].items())
        times = ", ".join(
            f"p{p} {find_percentile(values, p):.0f} ms" for p in PERCENTILES
        )
        lines.append(f"{stream}: {counts}; {times}")
    return "\n".join(lines)
