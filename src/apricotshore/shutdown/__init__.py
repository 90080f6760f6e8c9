"""Graceful shutdown of a host: its phases, and what each of them allows."""

from .phases import (
    BALANCER_DELAY_MS,
    Drain,
    Phase,
    begin,
    find_last_answer,
    find_last_byte,
    find_phase,
    has_time,
    set_grace,
    should_abort_transactions,
    should_exit,
)
from .sessions import (
    QUIET_MS,
    IdleSession,
    Work,
    may_begin,
    should_close,
)

__all__ = [
    "BALANCER_DELAY_MS",
    "QUIET_MS",
    "Drain",
    "IdleSession",
    "Phase",
    "Work",
    "begin",
    "find_last_answer",
    "find_last_byte",
    "find_phase",
    "has_time",
    "may_begin",
    "set_grace",
    "should_abort_transactions",
    "should_close",
    "should_exit",
]
