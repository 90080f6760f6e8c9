"""Phases of a graceful shutdown, counted from the signal within the grace period."""

from dataclasses import dataclass
from enum import Enum

# The load balancer sends new callers until it detects that the host is leaving.
BALANCER_DELAY_MS = 2_600
# Share of the grace period in which open transactions may end.
TRANSACTION_SHARE = 0.5
# Share of the grace period after which the process exits in any case.
END_SHARE = 0.9
# Share of it after which no statement is waited for; the rest is for its answer.
ANSWER_SHARE = 13 / 15
# Share of it after which answers that callers don't take are given up.
FLUSH_SHARE = 0.95


class Phase(Enum):
    """Phase of a host's life.

    An announcing host isn't ready any more, but serves whoever still comes. As of the
    lame-duck phase it begins no transaction, and single statements only if their time
    ends before the exit. A finishing host has aborted open transactions too. An exiting
    host has nothing at work, or no time for it, and begins nothing.
    """

    SERVING = "serving"
    ANNOUNCING = "announcing"
    LAME_DUCK = "lame-duck"
    FINISHING = "finishing"
    EXITING = "exiting"


@dataclass(kw_only=True, slots=True)
class Drain:
    """Shutdown of a host.

    Parameters
    ----------
    grace_ms
        Time between the signal and the kill.
    began_at
        When the signal arrived, in milliseconds since boot; None before.
    exiting
        Whether the exit was decided; that is never taken back.
    """

    grace_ms: int
    began_at: int | None = None
    exiting: bool = False


def begin(drain: Drain, now: int) -> bool:
    """Take note of the signal; return whether it is the first one."""
    if drain.began_at is not None:
        return False
    drain.began_at = now
    return True


def set_grace(drain: Drain, grace_ms: int) -> None:
    """Apply a changed grace period, unless one is running already."""
    if drain.began_at is None:
        drain.grace_ms = grace_ms


def find_phase(drain: Drain, now: int) -> Phase:
    """Return the phase at a time in milliseconds since boot."""
    began = drain.began_at
    if began is None:
        return Phase.SERVING
    passed = now - began
    if drain.exiting or passed >= drain.grace_ms * END_SHARE:
        return Phase.EXITING
    half = drain.grace_ms * TRANSACTION_SHARE
    if passed >= half:
        return Phase.FINISHING
    return Phase.LAME_DUCK if passed >= BALANCER_DELAY_MS else Phase.ANNOUNCING


def find_last_answer(drain: Drain) -> int | None:
    """Return by when each statement is answered, None while the host doesn't stop."""
    began = drain.began_at
    if began is None:
        return None
    return began + int(drain.grace_ms * ANSWER_SHARE)


def find_last_byte(drain: Drain) -> int | None:
    """Return by when answers have left, None while the host doesn't stop."""
    began = drain.began_at
    return None if began is None else began + int(drain.grace_ms * FLUSH_SHARE)


def has_time(drain: Drain, timeout_ms: int, now: int) -> bool:
    """Return whether a statement that is begun now is answered before the exit."""
    last_answer = find_last_answer(drain)
    return last_answer is None or now + timeout_ms <= last_answer


def should_abort_transactions(drain: Drain, now: int) -> bool:
    """Return whether open transactions are to be aborted."""
    return find_phase(drain, now) in (Phase.FINISHING, Phase.EXITING)


def should_exit(drain: Drain, busy: int, now: int) -> bool:
    """Return whether the process is to exit.

    Once it is, nothing is begun any more: see `Drain.exiting`.

    Parameters
    ----------
    drain
        The shutdown.
    busy
        Number of open sessions, and of changes that others would have to wait for.
    now
        Milliseconds since boot.
    """
    phase = find_phase(drain, now)
    if phase in (Phase.SERVING, Phase.ANNOUNCING):
        return False
    return phase is Phase.EXITING or busy == 0
