"""Share of a group's reads that leaves the data centre, and the servers that get it."""

from .ranking import Candidate, choose_distance, list_tiers, rank_readers
from .shares import Prices, Shares, Tier, describe, update
from .times import ServerTimes, observe_answer, observe_full

__all__ = [
    "Candidate",
    "Prices",
    "ServerTimes",
    "Shares",
    "Tier",
    "choose_distance",
    "describe",
    "list_tiers",
    "observe_answer",
    "observe_full",
    "rank_readers",
    "update",
]
