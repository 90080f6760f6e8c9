"""Rejections during an outage of a group: what is known of it, and who may wait."""

from .durations import Cause, Outage, OutageHistory, list_left_ms, observe
from .refusals import Reject, Timing, Wait, advise_retry_ms, decide

__all__ = [
    "Cause",
    "Outage",
    "OutageHistory",
    "Reject",
    "Timing",
    "Wait",
    "advise_retry_ms",
    "decide",
    "list_left_ms",
    "observe",
]
