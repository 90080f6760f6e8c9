"""Burn rate of the error budgets of flows.

A request is bad if it was not answered in time for a reason on the side of the
system. Errors in the request itself do not count.
"""

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..identifiers import CallerId, DatabaseId, DataCentreId, KindId
from ..verdicts import Reason

BUCKET_MS = 10_000
KEPT_MS = 3_600_000
SHORT_WINDOW_MS = 300_000
LONG_WINDOW_MS = KEPT_MS
MAX_FLOWS = 512

_EXCLUDED_REASONS = frozenset(
    {Reason.BAD_REQUEST, Reason.CALLER_REFUSED, Reason.DATABASE_ERROR}
)


@dataclass(frozen=True, kw_only=True, slots=True)
class BurnKey:
    """Flow with an error budget: caller, kind, database and data centre."""

    caller: CallerId
    kind: KindId
    database: DatabaseId
    data_centre: DataCentreId


@dataclass(kw_only=True, slots=True)
class Bucket:
    """Requests of one flow in one interval.

    Parameters
    ----------
    key
        The flow.
    start_ms
        Wall-clock milliseconds of the interval's start.
    good
        Requests answered in time.
    bad
        Number of other requests by reason.
    """

    key: BurnKey
    start_ms: int
    good: int = 0
    bad: Counter[str] = field(default_factory=Counter)


@dataclass(kw_only=True, slots=True)
class BurnRecord:
    """Buckets of one host, oldest first in each flow."""

    flows: dict[BurnKey, deque[Bucket]] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class BurnLine:
    """Burn rate of one flow.

    Parameters
    ----------
    key
        The flow.
    objective
        Percentage of requests to be answered in time.
    total, bad
        Number of requests and of bad requests in the long window.
    short_burn, long_burn
        Burn rate in each window; at 1 the budget is spent exactly.
    budget_left
        Percentage of the long window's budget that is left; negative when it is
        overspent.
    causes
        Number of bad requests by reason, the most frequent first.
    """

    key: BurnKey
    objective: float
    total: int
    bad: int
    short_burn: float
    long_burn: float
    budget_left: float
    causes: tuple[tuple[str, int], ...]


def record(
    state: BurnRecord, key: BurnKey, reason: Reason | None, in_time: bool, now_ms: int
) -> None:
    """Count one answered request.

    Parameters
    ----------
    state
        Buckets of this host; changed in place.
    key
        Flow of the request.
    reason
        Reason of its failure; None when it was served.
    in_time
        Whether the answer met the deadline.
    now_ms
        Wall-clock milliseconds.
    """
    if reason in _EXCLUDED_REASONS:
        return
    if key not in state.flows and len(state.flows) >= MAX_FLOWS:
        return
    buckets = state.flows.setdefault(key, deque())
    start = now_ms - now_ms % BUCKET_MS
    if not buckets or buckets[-1].start_ms < start:
        buckets.append(Bucket(key=key, start_ms=start))
        while buckets[0].start_ms < start - KEPT_MS:
            buckets.popleft()
    if reason is None and in_time:
        buckets[-1].good += 1
    else:
        buckets[-1].bad[reason.value if reason else "late"] += 1


def list_buckets(state: BurnRecord) -> list[Bucket]:
    """Return every bucket of a host."""
    return [bucket for buckets in state.flows.values() for bucket in buckets]


def _measure_burn(good: int, bad: int, objective: float) -> float:
    total = good + bad
    allowed = 1 - objective / 100
    return bad / total / allowed if total else 0.0


def compute_burn(
    buckets: Iterable[Bucket], objectives: dict[KindId, float], now_ms: int
) -> list[BurnLine]:
    """Compute the burn rate of every flow over a short and a long window.

    Parameters
    ----------
    buckets
        Buckets of all hosts.
    objectives
        Objective of each kind, in percent.
    now_ms
        Wall-clock milliseconds.

    Returns
    -------
    list of BurnLine
        The highest burn rate first.
    """
    flows: dict[BurnKey, list[Bucket]] = {}
    for bucket in buckets:
        if bucket.start_ms >= now_ms - LONG_WINDOW_MS:
            flows.setdefault(bucket.key, []).append(bucket)
    lines = [
        _compute_flow_burn(key, own, objectives.get(key.kind, 99.9), now_ms)
        for key, own in flows.items()
    ]
    return sorted(lines, key=lambda line: (-line.short_burn, -line.long_burn))


def _compute_flow_burn(
    key: BurnKey, buckets: list[Bucket], objective: float, now_ms: int
) -> BurnLine:
    recent = [b for b in buckets if b.start_ms >= now_ms - SHORT_WINDOW_MS]
    causes: Counter[str] = Counter()
    for bucket in buckets:
        causes.update(bucket.bad)
    good = sum(bucket.good for bucket in buckets)
    bad = sum(causes.values())
    long_burn = _measure_burn(good, bad, objective)
    return BurnLine(
        key=key,
        objective=objective,
        total=good + bad,
        bad=bad,
        short_burn=_measure_burn(
            sum(b.good for b in recent),
            sum(sum(b.bad.values()) for b in recent),
            objective,
        ),
        long_burn=long_burn,
        budget_left=100 * (1 - long_burn),
        causes=tuple(causes.most_common()),
    )


def format_burn(line: BurnLine) -> str:
    """Return the burn rate of a flow as a line of text."""
    key = line.key
    causes = ", ".join(f"{reason} {count}" for reason, count in line.causes)
    return (
        f"{key.caller}/{key.kind} on {key.database} in {key.data_centre}: "
        f"objective {line.objective:g} %, {line.bad} bad of {line.total}, "
        f"burn {line.short_burn:.1f} (5 min) {line.long_burn:.1f} (1 h), "
        f"budget left {line.budget_left:.0f} %{'; ' + causes if causes else ''}"
    )
