"""Limits on what clients that nobody controls make a host hold and do."""

from .budget import Budget, Holding, choose_largest, forget, hold
from .connections import (
    ClientConnection,
    Phase,
    choose_for_room,
    list_overdue,
    may_accept,
)
from .limits import IntakeLimits, IntakeSettings, allow_answer_ms, derive_limits

__all__ = [
    "Budget",
    "ClientConnection",
    "Holding",
    "IntakeLimits",
    "IntakeSettings",
    "Phase",
    "allow_answer_ms",
    "choose_for_room",
    "choose_largest",
    "derive_limits",
    "forget",
    "hold",
    "list_overdue",
    "may_accept",
]
