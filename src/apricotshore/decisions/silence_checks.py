"""Questions to other hosts about a primary that gives this host no answer."""

from dataclasses import dataclass

from ..identifiers import ServerId
from .change_triggers import SILENCE_LIMIT_MS

# Early enough that the others have answered, or not, once the silence is too long.
ASK_AFTER_MS = 400
# How much longer a first question that has no reply yet is waited for.
LONGEST_WAIT_MS = 150
# A primary that was silent for too long, and is again within this time, is replaced
# even if it answers in between.
RETURN_MS = 10_000


@dataclass(kw_only=True, slots=True)
class SilenceCheck:
    """What other hosts say of a silent primary.

    Parameters
    ----------
    since
        Since when the primary that they were last asked about is silent.
    asked_at
        When the question in progress was asked, None without one.
    replies
        Number of questions about this silence that ended.
    reached_at
        When a host that reached the primary was asked, in milliseconds since boot.
    """

    since: int | None = None
    asked_at: int | None = None
    replies: int = 0
    reached_at: int = 0


def find_silence(check: SilenceCheck, silent_since: int | None) -> int | None:
    """Return since when no host is known to have had an answer of the primary."""
    if silent_since is None:
        return None
    return max(silent_since, check.reached_at)


def begin_question(
    check: SilenceCheck, silent_since: int | None, now: int, *, has_others: bool
) -> bool:
    """Return whether other hosts are to be asked now, and record that they are."""
    if silent_since != check.since:
        check.since, check.replies = silent_since, 0
    silence = find_silence(check, silent_since)
    is_long = silence is not None and now - silence >= ASK_AFTER_MS
    if not has_others or not is_long or check.asked_at is not None:
        return False
    check.asked_at = now
    return True


def end_question(check: SilenceCheck, *, is_reached: bool) -> None:
    """Record whether a host that was asked has reached the primary."""
    if is_reached and check.asked_at is not None:
        check.reached_at = check.asked_at
    check.asked_at = None
    check.replies += 1


def awaits_reply(check: SilenceCheck, silent_since: int | None, now: int) -> bool:
    """Return whether the first reply about a silence is still waited for."""
    silence = find_silence(check, silent_since)
    if silence is None or check.asked_at is None or check.replies:
        return False
    # A host that was busy with another change may ask late.
    due_at = max(silence + SILENCE_LIMIT_MS, check.asked_at)
    return now - due_at < LONGEST_WAIT_MS


@dataclass(kw_only=True, slots=True)
class LongSilence:
    """Last silence of a primary that lasted too long.

    Parameters
    ----------
    server
        The primary, None before the first one.
    since
        When it began, in milliseconds since boot.
    seen_at
        When it was last seen to go on.
    earlier_at
        The same of the silence before of the same primary, None without one.
    """

    server: ServerId | None = None
    since: int = 0
    seen_at: int = 0
    earlier_at: int | None = None


def observe_silence(
    last: LongSilence, server: ServerId | None, silent_since: int | None, now: int
) -> None:
    """Record that a primary is silent, if that lasts too long."""
    if silent_since is None or now - silent_since < SILENCE_LIMIT_MS:
        return
    is_another = last.server != server
    if is_another or silent_since > last.seen_at:
        last.earlier_at = None if is_another else last.seen_at
        last.server, last.since = server, silent_since
    last.seen_at = now


def returns_often(last: LongSilence) -> bool:
    """Return whether a primary has fallen silent again soon after it was back."""
    earlier = last.earlier_at
    return earlier is not None and last.since - earlier < RETURN_MS
