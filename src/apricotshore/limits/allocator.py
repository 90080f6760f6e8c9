"""Allocator: leases tokens to the hosts that report to it, and counts these."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..identifiers import HostId, OrganisationId
from .bucket import Bucket, Terms, grant, refill
from .budget import Budget, find_validity_ms
from .choice import QUARANTINE_VALIDITIES
from .messages import Grant, Stamp, TokensReply, TokensRequest
from .roster import Roster, settle

# The shares of all allocators add up to 1 at most.
LEADING_SHARE = 0.5


@dataclass(kw_only=True, slots=True)
class Reporter:
    """A host that reports to this allocator.

    Parameters
    ----------
    stamp
        Stamp of the last reply to it.
    counted_until
        Until when it is counted, in milliseconds since boot.
    process
        Its process.
    hosts, digest, settled
        Number of hosts in its list, the digest of that, and whether the lists of all
        live hosts contain it.
    """

    stamp: Stamp | None = None
    counted_until: int = 0
    process: int = 0
    hosts: int = 0
    digest: int = 0
    settled: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Ended:
    """A host whose process has ended.

    Parameters
    ----------
    since
        From when it counts for nobody, in milliseconds since boot: what other
        allocators counted and leased has expired by then.
    until
        Until when the evidence holds.
    """

    since: int
    until: int


@dataclass(kw_only=True, slots=True)
class Allocator:
    """State of a host as an allocator.

    Parameters
    ----------
    epoch
        Random number of this process.
    reporters
        Hosts that reported.
    ended
        Hosts whose processes have ended.
    buckets
        Tokens by organisation.
    share
        Part of the fleet's tokens that it hands out, as of the last request.
    missing
        Hosts that may report to another allocator, as of the last request.
    is_changed
        Whether what the share depends on has changed since it was computed.
    valid_until
        Until when the share holds without a change, in milliseconds since boot.
    measured_for
        Changes of the list, and the core, that it was computed for.
    measured_at
        Time of the last request, in milliseconds since boot.
    refill_time
        Sum of shares over time, in milliseconds.
    last_until
        ``until`` of the last stamp.
    """

    epoch: int
    reporters: dict[HostId, Reporter] = field(default_factory=dict)
    ended: dict[HostId, Ended] = field(default_factory=dict)
    buckets: dict[OrganisationId, Bucket] = field(default_factory=dict)
    share: float = 0.0
    missing: int = 0
    is_changed: bool = True
    valid_until: int = 0
    measured_for: tuple[int, frozenset[HostId]] = (0, frozenset())
    measured_at: int = 0
    refill_time: float = 0.0
    last_until: int = 0


def answer(
    allocator: Allocator,
    roster: Roster,
    budgets: Mapping[OrganisationId, Budget],
    request: TokensRequest,
    now: int,
) -> TokensReply:
    """Count a host, and lease tokens to it."""
    _advance(allocator, roster, now)
    reporter, in_step = _count(allocator, request, now)
    _update_share(allocator, roster, now)
    validity_ms = find_validity_ms(max(len(roster.hosts), request.hosts))
    terms = Terms(
        now=now,
        share=allocator.share,
        refill_time=allocator.refill_time,
        reporters=len(allocator.reporters),
        validity_ms=validity_ms,
        in_step=in_step,
    )
    grants = _grant_all(allocator, budgets, request, terms)
    allocator.last_until = max(now + validity_ms, allocator.last_until + 1)
    reporter.stamp = Stamp(epoch=allocator.epoch, until=allocator.last_until)
    return TokensReply(
        validity_ms=validity_ms,
        settled=roster.is_settled and request.digest == roster.digest,
        stamp=reporter.stamp,
        leading=allocator.share > LEADING_SHARE,
        grants=grants,
    )


def measure_share(allocator: Allocator, roster: Roster, now: int) -> float:
    """Return the part of the fleet's tokens that this allocator hands out now.

    Each listed host that is neither counted here nor known to have ended may be
    counted elsewhere, by an allocator whose list contains the core at least.
    """
    counted = _list_counted(allocator, now)
    missing = list_missing(allocator, roster, now)
    allocator.missing = len(missing)
    largest = max((r.hosts for r in counted.values()), default=0)
    if any(r.hosts and r.digest != roster.digest for r in counted.values()):
        allocator.missing = max(len(missing), largest - len(counted))
    if not largest:
        return 0.0
    if not allocator.missing:
        return 1.0
    running = sum(_is_running(allocator, roster, h, now) for h in roster.core)
    return max(0.0, 1 - allocator.missing / running) if running else 0.0


def list_missing(allocator: Allocator, roster: Roster, now: int) -> set[HostId]:
    """List the hosts that may report to another allocator."""
    return {
        host
        for host in roster.hosts
        if not _is_counted(allocator, host, now)
        and not _has_ended(allocator, host, now)
    }


def observe_ended(
    allocator: Allocator, host: HostId, asked_at: int, validity_ms: int
) -> None:
    """Record that a host's process had ended when it was asked.

    A process that is started again is counted nowhere for twice the validity.
    """
    known = allocator.ended.get(host)
    since = asked_at + QUARANTINE_VALIDITIES * validity_ms
    if known is not None and asked_at < known.until:
        since = known.since
    allocator.ended[host] = Ended(since=since, until=asked_at + validity_ms)
    allocator.is_changed = True


def _has_ended(allocator: Allocator, host: HostId, now: int) -> bool:
    ended = allocator.ended.get(host)
    return ended is not None and ended.since <= now < ended.until


def _is_running(allocator: Allocator, roster: Roster, host: HostId, now: int) -> bool:
    """Return whether a host of the core may be running, and was not started since."""
    reporter = allocator.reporters.get(host)
    if reporter is not None and reporter.process != roster.hosts[host]:
        return False
    return not _has_ended(allocator, host, now)


def _is_counted(allocator: Allocator, host: HostId, now: int) -> bool:
    reporter = allocator.reporters.get(host)
    return reporter is not None and now < reporter.counted_until


def _advance(allocator: Allocator, roster: Roster, now: int) -> None:
    """Add to the refill time, at the smaller of the shares before and after.

    No share grows without a request, and one that fell is applied to the whole time,
    as this process may have been frozen since.
    """
    before = allocator.share
    _update_share(allocator, roster, now)
    share = min(before, allocator.share)
    allocator.refill_time += share * (now - allocator.measured_at)
    allocator.measured_at = now


def _update_share(allocator: Allocator, roster: Roster, now: int) -> None:
    """Compute the share anew if it may have changed."""
    changes, core = allocator.measured_for
    is_known = changes == roster.changes and core is roster.core
    if is_known and not allocator.is_changed and now < allocator.valid_until:
        return
    allocator.reporters = {
        host: reporter
        for host, reporter in allocator.reporters.items()
        if now < reporter.counted_until
        or (reporter.stamp is not None and now < reporter.stamp.until)
    }
    allocator.ended = {h: e for h, e in allocator.ended.items() if now < e.until}
    _settle(allocator, roster, now)
    allocator.share = measure_share(allocator, roster, now)
    ends = [r.counted_until for r in _list_counted(allocator, now).values()]
    for ended in allocator.ended.values():
        ends.append(ended.until if ended.since <= now else ended.since)
    allocator.valid_until = min(ends, default=now)
    allocator.measured_for = (roster.changes, roster.core)
    allocator.is_changed = False


def _count(
    allocator: Allocator, request: TokensRequest, now: int
) -> tuple[Reporter, bool]:
    """Count a host that repeats a stamp; return whether it is the last one.

    The host counts until the time in the stamp and not for a time from the arrival,
    because the request may have been on its way for long, or this process frozen.
    """
    reporter = allocator.reporters.setdefault(request.host, Reporter())
    known = (reporter.process, reporter.hosts, reporter.digest, reporter.settled)
    told = (request.process, request.hosts, request.digest, request.settled)
    reporter.process, reporter.hosts, reporter.digest, reporter.settled = told
    was_counted = now < reporter.counted_until
    stamp = request.stamp
    if stamp is not None and stamp.epoch == allocator.epoch:
        is_recent = now < stamp.until <= allocator.last_until
        if is_recent:
            reporter.counted_until = max(reporter.counted_until, stamp.until)
    if known != told or was_counted != (now < reporter.counted_until):
        allocator.is_changed = True
    return reporter, stamp is not None and stamp == reporter.stamp


def _list_counted(allocator: Allocator, now: int) -> dict[HostId, Reporter]:
    return {h: r for h, r in allocator.reporters.items() if now < r.counted_until}


def _settle(allocator: Allocator, roster: Roster, now: int) -> None:
    """Learn from the reporters that the lists of all live hosts contain this one's.

    That is so when no host is missing and all have the same list, and when a host
    with that list has learnt it before this process did.
    """
    if roster.is_settled or roster.listed is None:
        return
    counted = _list_counted(allocator, now).values()
    same = [r for r in counted if r.hosts and r.digest == roster.digest]
    is_told = not roster.core and any(r.settled for r in same)
    is_complete = len(same) == len(counted) and not list_missing(allocator, roster, now)
    if same and (is_told or is_complete):
        settle(roster)


def _grant_all(
    allocator: Allocator,
    budgets: Mapping[OrganisationId, Budget],
    request: TokensRequest,
    terms: Terms,
) -> tuple[Grant, ...]:
    grants = []
    for demand in request.demands:
        budget = budgets.get(demand.organisation)
        if budget is None:
            continue
        bucket = allocator.buckets.get(demand.organisation)
        if bucket is None:
            # As if it had been there since this process began.
            bucket = Bucket()
            allocator.buckets[demand.organisation] = bucket
        refill(bucket, budget, terms)
        grants.append(grant(bucket, budget, terms, request.host, demand))
    return tuple(grants)
