"""Whether a statement waits for the end of an outage, or is rejected at once."""

from dataclasses import dataclass
from hashlib import blake2s

from .durations import Cause, Outage, OutageHistory, list_left_ms

# A statement that is sent this shortly before its deadline is hardly answered in time.
SERVICE_MS = 60
# Share of the latency objective for which a statement waits for a primary whose return
# can't be told. The rest is left for the queue of those that waited with it.
WAIT_SHARE_OF_TARGET = 0.7
# Callers return spread over this multiple of the time that the outage will have lasted,
# so that returns add no more than half of what arrives anyway, up to the longest hint.
SPREAD_SHARE = 2.0
SHORTEST_SPREAD_MS = 100
LONGEST_RETRY_MS = 6_000
# A server whose log is awaited leads no sooner than that after its return.
LOG_RETRY_MS = 1_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Timing:
    """Times of a statement, in milliseconds since boot.

    Parameters
    ----------
    arrived_at
        When it arrived.
    expires_at
        Until when it waits at least, as statements do without this decision.
    objective_at
        When its latency objective ends.
    deadline_at
        When the timeout of its route expires.
    """

    arrived_at: int
    expires_at: int
    objective_at: int
    deadline_at: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Wait:
    """The statement waits for the primary.

    Parameters
    ----------
    until
        When to decide anew at the latest, in milliseconds since boot.
    """

    until: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Reject:
    """The statement is rejected.

    Parameters
    ----------
    retry_ms
        After how many milliseconds the caller should retry.
    """

    retry_ms: int


def decide(
    history: OutageHistory, timing: Timing, request: str, now: int
) -> Wait | Reject:
    """Return whether a statement waits for the end of the current outage.

    It waits for a share of its latency objective, and up to the whole objective where
    the outage is expected to end within it. Waiting longer would fill the returned
    primary with statements that are late in any case.

    Parameters
    ----------
    history
        Outages of the group, with a current one.
    timing
        Times of the statement.
    request
        Its request id.
    now
        Milliseconds since boot.
    """
    outage = history.current
    assert outage is not None
    if outage.cause is Cause.LOGS:
        return Reject(retry_ms=LOG_RETRY_MS + _spread(request, LOG_RETRY_MS))
    left = list_left_ms(history, outage, now)
    expected_at = now + left[len(left) // 2]
    target_ms = timing.objective_at - timing.arrived_at
    latest = min(timing.objective_at, timing.deadline_at) - SERVICE_MS
    until = timing.arrived_at + int(target_ms * WAIT_SHARE_OF_TARGET)
    if expected_at <= latest:
        until = latest
    until = max(timing.expires_at, min(until, latest))
    if now < until:
        return Wait(until=until)
    return Reject(retry_ms=advise_retry_ms(history, request, now))


def advise_retry_ms(history: OutageHistory, request: str, now: int) -> int:
    """Return after how many milliseconds the caller of a request should retry.

    Callers are spread by a hash of their request ids over a time that begins with the
    expected end.

    Parameters
    ----------
    history, request, now
        See `decide`.
    """
    outage = history.current
    if outage is None:
        # The primary is still there, but about to leave.
        outage = Outage(cause=Cause.REPLACED, first_cause=Cause.REPLACED, since=now)
    left = list_left_ms(history, outage, now)
    expected = min(left[len(left) // 2], LONGEST_RETRY_MS // 2)
    lasted = max(0, now - outage.since) + expected
    window = max(SHORTEST_SPREAD_MS, int(lasted * SPREAD_SHARE))
    return expected + _spread(request, min(window, LONGEST_RETRY_MS - expected))


def _spread(request: str, window_ms: int) -> int:
    """Return a time in a window, by the hash of a request id, in milliseconds."""
    digest = blake2s(request.encode(), digest_size=4).digest()
    return int.from_bytes(digest) * window_ms >> 32
