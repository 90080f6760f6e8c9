"""Outages of a group as its host sees them, and the rejections that follow."""

from .. import outages
from ..decisions import wait_queue
from ..outages import Cause, Reject, Timing, Wait
from ..services.clock import read_boot_ms
from .group import Group
from .journal import EventKind
from .log_waits import waits_for_logs
from .sessions import Job, RefusedError, refuse_overloaded


def find_cause(group: Group) -> tuple[Cause | None, int | None]:
    """Return why a group has no usable primary, and since when, as far as known."""
    state = group.primary_state
    if waits_for_logs(group):
        return Cause.LOGS, group.no_primary_since
    primary = group.primary
    is_replaced = any(gate.is_shut for gate in group.gates.values())
    if primary is None or primary not in group.pools:
        cause = Cause.REPLACED if is_replaced else Cause.UNKNOWN
        return cause, group.no_primary_since
    if group.is_quiesced(primary):
        return Cause.REPLACED, None
    if state.silent_since is not None:
        return Cause.SILENT, state.silent_since
    return None, None


def observe(group: Group) -> None:
    """Record whether the group has an outage now, and the end of one in the journal."""
    now = read_boot_ms()
    known = group.outages.current
    cause, since = find_cause(group)
    current = outages.observe(
        group.outages, cause, now if since is None else since, now
    )
    if known is None or current is not None:
        return
    first = known.first_cause
    group.journal.record(
        EventKind.OUTAGE_ENDED,
        group=group.group,
        cause=first.value,
        lasted_ms=now - known.since,
        rejected=group.outage_rejections,
        known=len(group.outages.ended_ms.get(first, ())),
    )
    group.outage_rejections = 0


def refuse(group: Group, detail: str, request: str) -> RefusedError:
    """Return the rejection of a statement, with a hint past the expected end."""
    group.outage_rejections += group.outages.current is not None
    retry_ms = outages.advise_retry_ms(group.outages, request, read_boot_ms())
    return refuse_overloaded(detail, retry_ms)


def decide(group: Group, job: Job, now: int) -> Wait | Reject:
    """Return whether a statement waits for the end of the group's current outage."""
    route = job.route
    limit_ms = wait_queue.limit_wait(route.target_ms, route.timeout_ms)
    timing = Timing(
        arrived_at=job.arrived_at,
        expires_at=job.arrived_at + limit_ms,
        objective_at=job.arrived_at + route.target_ms,
        deadline_at=job.deadline_at,
    )
    return outages.decide(group.outages, timing, job.query.request, now)


class Hold:
    """Wait of one statement for the end of an outage.

    Parameters
    ----------
    group
        The group.
    job
        The statement.
    """

    def __init__(self, *, group: Group, job: Job) -> None:
        self.group = group
        self.job = job
        self.began_at = read_boot_ms()

    def find_left_ms(self, detail: str) -> int:
        """Return for how long the statement waits, in milliseconds.

        Raises
        ------
        RefusedError
            When it is rejected.
        """
        group, job, now = self.group, self.job, read_boot_ms()
        observe(group)
        if group.outages.current is None:
            return job.expires_at - now
        found = decide(group, job, now)
        if isinstance(found, Wait):
            return max(1, found.until - now)
        group.outage_rejections += 1
        raise refuse_overloaded(detail, found.retry_ms)

    def end(self) -> None:
        """Give the statement the time for its other waits that it was held for."""
        if self.group.early_rejection:
            self.job.held.ms += read_boot_ms() - self.began_at
            if self.group.outages.current is not None:
                observe(self.group)
