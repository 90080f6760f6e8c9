"""Triggers of a change of primary: when a host begins one, and why."""

from dataclasses import dataclass

from ..groups import LogPosition
from ..identifiers import ServerId
from .change_members import log_order

# A primary that does not answer for this long is replaced.
SILENCE_LIMIT_MS = 700
# Commits without an answer for this long indicate a partitioned primary.
STALL_LIMIT_MS = 700
STAGGER_STEP_MS = 50
# Commits at a new primary wait until the pauses of its promotion have ended.
SETTLE_MS = 850
# Longest time for which paused replicas excuse commits that wait at a new primary, and
# for which they are resumed in place of a change.
PAUSED_MS = 3_000


def stagger_ms(host: str, group: str) -> int:
    """Return the delay of a host before it starts a change of primary.

    Different delays keep hosts from starting at the same time.
    """
    return sum(f"{host}/{group}".encode()) % 5 * STAGGER_STEP_MS


@dataclass(kw_only=True, slots=True)
class ChangeConditions:
    """Conditions under which a primary is replaced, as one host observes them.

    Parameters
    ----------
    leaving_since
        Since when the primary is leaving.
    silent_since
        Since when it has not answered.
    stalled_since
        Since when the oldest commit is unanswered.
    no_primary_since
        Since when no server proves to be the primary.
    found_at
        When the primary was found, 0 if it was not.
    """

    leaving_since: int | None = None
    silent_since: int | None = None
    stalled_since: int | None = None
    no_primary_since: int | None = None
    found_at: int = 0


def find_reason(conditions: ChangeConditions, stagger: int, now: int) -> str | None:
    """Return why the primary is to be replaced now, None if it is to stay."""
    is_settled = now - conditions.found_at >= SETTLE_MS
    stalled_since = conditions.stalled_since if is_settled else None
    limits = (
        ("leaving", conditions.leaving_since, 0),
        ("silent", conditions.silent_since, SILENCE_LIMIT_MS),
        ("stalled", stalled_since, STALL_LIMIT_MS),
        ("headless", conditions.no_primary_since, SILENCE_LIMIT_MS),
    )
    for reason, since, limit in limits:
        if since is not None and now - since >= limit + stagger:
            return reason
    return None


def is_still_missed(conditions: ChangeConditions, now: int) -> bool:
    """Return whether a silent primary has given no answer, or denied to lead since."""
    starts = (conditions.silent_since, conditions.no_primary_since)
    return any(
        since is not None and now - since >= SILENCE_LIMIT_MS for since in starts
    )


def is_cut_off(
    primary: LogPosition | None,
    before: dict[ServerId, LogPosition],
    after: dict[ServerId, LogPosition],
) -> bool:
    """Return whether a primary with stalled commits is partitioned from its replicas.

    The replicas of an overloaded primary still advance; a partitioned primary has
    log entries that no replica has received.

    Parameters
    ----------
    primary
        End of the primary's log, None if it did not answer: commits that wait
        for a replica may occupy all its slots.
    before, after
        Ends of the replicas' logs at two points in time, without the replicas
        that did not answer.
    """
    answered = before.keys() & after.keys()
    if not answered or any(
        log_order(after[s]) > log_order(before[s]) for s in answered
    ):
        return False
    return primary is None or all(
        log_order(after[s]) < log_order(primary) for s in after
    )


@dataclass(kw_only=True, slots=True)
class PausedStall:
    """Stall during which paused replicas are resumed.

    Parameters
    ----------
    since
        When they were first found, in milliseconds since boot.
    seen_at
        When they were last found, None before.
    """

    since: int = 0
    seen_at: int | None = None


def may_resume(state: PausedStall, now: int) -> bool:
    """Return whether paused replicas are resumed, and the primary stays.

    Parameters
    ----------
    state
        The stall; it learns that paused replicas were found.
    now
        Milliseconds since boot.
    """
    if state.seen_at is None or now - state.seen_at >= PAUSED_MS:
        state.since = now
    state.seen_at = now
    return now - state.since < PAUSED_MS


def is_excused(has_paused: bool, found_at: int, now: int) -> bool:
    """Return whether commits wait for replicas that a change has paused.

    Parameters
    ----------
    has_paused
        Whether a replica is paused.
    found_at
        When the primary was found, in milliseconds since boot.
    now
        Milliseconds since boot.
    """
    return has_paused and now - found_at < PAUSED_MS
