"""Targets of a change that are paused, and so receive nothing of what they lack.

A pause that an earlier change has left keeps a target from the rest of the log. What
waits at the former primary for a replica is acknowledged once the pause of any ends,
so the target is to hold it before it is ordered.
"""

from ..groups import LogPosition
from .change_actions import Resume
from .change_attempt import Attempt
from .change_targets import CATCH_UP_MS, reaches


def plan_resumption(
    attempt: Attempt, end: LogPosition | None, now: int
) -> Resume | None:
    """Return the step that has a paused target receive the rest, None without need.

    Parameters
    ----------
    attempt
        The change; it learns when the target was first resumed.
    end
        End of the primary's log, None if it isn't known.
    now
        Milliseconds since boot.
    """
    target = attempt.target
    if target is None or end is None or not is_kept_from(attempt, end):
        return None
    began_at = attempt.resumed.setdefault(target, now)
    return Resume(server=target) if now - began_at < CATCH_UP_MS else None


def is_kept_from(attempt: Attempt, end: LogPosition) -> bool:
    """Return whether the target shows a pause, and the primary could send it more."""
    target = attempt.target
    if target is None or attempt.replaced not in attempt.statuses:
        return False
    status = attempt.statuses.get(target)
    is_held = status is not None and status.paused_term > 0
    return is_held and not reaches(attempt, target, end)


def may_receive(attempt: Attempt, now: int) -> bool:
    """Return whether the target was resumed just now, and may receive the rest."""
    if attempt.target is None:
        return False
    began_at = attempt.resumed.get(attempt.target)
    return began_at is not None and now - began_at < CATCH_UP_MS
