"""State of the failover coordinator of one group."""

from dataclasses import dataclass, field
from enum import Enum

from ..groups import LogPosition
from ..identifiers import ServerId, Term

DETECT_MS = 900
FIRST_BACKOFF_MS = 300
REPAIR_PERIOD_MS = 500


class Phase(Enum):
    """Phase of a failover."""

    WATCHING = "watching"
    FENCING = "fencing"
    PROMOTING = "promoting"


@dataclass(kw_only=True, slots=True)
class Failover:
    """State of the failover coordinator of one group.

    Parameters
    ----------
    phase
        Current phase.
    term
        Term being fenced or promoted.
    highest_term
        Highest term that was fenced or that a server answered with.
    granted
        Log ends of the servers that granted the term.
    replaced
        Primary to be replaced.
    candidate
        Server being promoted.
    began_at, majority_at
        When the phase began and when a majority had granted.
    backoff_until
        No attempt starts before this time.
    backoff_ms
        Pause after the next failed attempt.
    silent_hosts
        Hosts that failed to reach the primary, when last asked.
    asked_at
        When the witnesses were last asked.
    repaired_at
        When replicas were last redirected to the primary.
    stalled_since
        When the first of the commits that failed to become durable was sent;
        None while commits succeed.
    durable_at
        When a commit last became durable.
    """

    phase: Phase = Phase.WATCHING
    term: Term = Term(0)
    highest_term: Term = Term(0)
    granted: dict[ServerId, LogPosition] = field(default_factory=dict)
    replaced: ServerId | None = None
    candidate: ServerId | None = None
    began_at: int = 0
    majority_at: int | None = None
    backoff_until: int = 0
    backoff_ms: int = FIRST_BACKOFF_MS
    silent_hosts: int = 0
    asked_at: int = -DETECT_MS
    repaired_at: int = -REPAIR_PERIOD_MS
    stalled_since: int | None = None
    durable_at: int = -1
