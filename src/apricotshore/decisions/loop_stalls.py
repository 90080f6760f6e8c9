"""Times in which this process stood still, which show nothing about servers."""

from dataclasses import dataclass

TICK_MS = 50
# A tick that comes later than this shows that the process stood still.
LATE_LIMIT_MS = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class Stall:
    """A time in which nothing was sent and no answer was read.

    Parameters
    ----------
    began_at, ended_at
        Its bounds, in milliseconds since boot.
    """

    began_at: int
    ended_at: int


@dataclass(kw_only=True, slots=True)
class LoopTicks:
    """Ticks of the event loop.

    Parameters
    ----------
    ticked_at
        When it was last seen to run, in milliseconds since boot; None before that.
    """

    ticked_at: int | None = None


def observe_tick(ticks: LoopTicks, now: int) -> Stall | None:
    """Record that the loop runs; return the stall that has just ended, if any."""
    due_at = now if ticks.ticked_at is None else ticks.ticked_at + TICK_MS
    ticks.ticked_at = now
    if now - due_at <= LATE_LIMIT_MS:
        return None
    return Stall(began_at=due_at, ended_at=now)


def expired_amid(stalled_until: int, asked_at: int, now: int) -> bool:
    """Return whether a question got no answer because none could be read.

    Parameters
    ----------
    stalled_until
        End of the last stall, in milliseconds since boot.
    asked_at
        When the question was asked.
    now
        When it was given up; timeouts that ended in a stall are handled right after it.
    """
    return asked_at < stalled_until and now - stalled_until <= LATE_LIMIT_MS


def leave_out(since: int, stall: Stall) -> int:
    """Return the start of a wait that is as long without the stall."""
    if since >= stall.ended_at:
        return since
    return since + stall.ended_at - max(since, stall.began_at)
