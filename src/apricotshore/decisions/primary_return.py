"""Silent primary that answers again amid a change: whether it stays.

An answer alone doesn't end the change once hosts send the primary nothing: where the
primary is back for a moment only, the next change would wait for all that anew. It has
to answer for a while; if it falls silent again before, it is replaced although it
answers.
"""

from .change_actions import Abandon, Step
from .change_attempt import Attempt
from .change_members import Member
from .promotion_order import list_unpaused, secure

# A question to a silent server lasts up to this long.
QUESTION_MS = 200
# A primary is back once it has answered for this long. A return that is shorter than a
# question may be missed, and must not count either.
STAY_MS = 300


def may_return(attempt: Attempt) -> bool:
    """Return whether an answer of the primary could end the change."""
    is_kept = attempt.replaced is not None and attempt.inherited is None
    is_kept &= not attempt.must_step_down and attempt.requested is None
    return is_kept and attempt.barrier is not None and attempt.final_end is None


def observe_return(attempt: Attempt, now: int) -> None:
    """Record that the primary answers again."""
    if may_return(attempt) and attempt.returned_at is None:
        attempt.returned_at = now


def plan_return(
    attempt: Attempt, members: tuple[Member, ...], *, is_led: bool, now: int
) -> Step | None:
    """Return the next step while the primary is back, None while it isn't.

    Parameters
    ----------
    attempt
        The change.
    members
        Servers that may hold acknowledged commits.
    is_led
        Whether the primary says that it leads, and need not be replaced.
    now
        Milliseconds since boot.
    """
    primary = attempt.replaced
    if primary is None or not may_return(attempt):
        return None
    if is_led:
        observe_return(attempt, attempt.asked_at[primary])
    elif primary in attempt.statuses:
        attempt.returned_at = None
    since = attempt.returned_at
    if since is None:
        return None
    if is_led:
        has_stayed = attempt.asked_at[primary] - since >= STAY_MS
    else:
        # One that is too full for a command answers as well.
        has_stayed = primary in attempt.busy and now - since >= STAY_MS
    if has_stayed:
        return Abandon(leader=primary)
    if not is_led and _has_left(attempt, since, now):
        attempt.returned_at = None
        attempt.returns_often = attempt.must_step_down = True
        return None
    others = tuple(m for m in members if m.server != primary)
    return secure(attempt, list_unpaused(attempt, others))


def _has_left(attempt: Attempt, since: int, now: int) -> bool:
    """Return whether a primary that was back gives no answer again."""
    primary = attempt.replaced
    assert primary is not None
    if primary in attempt.busy:
        return False
    was_heard = attempt.answered_at.get(primary, since - 1) >= since
    return was_heard or now - since >= STAY_MS + QUESTION_MS
