"""Statements that a host has read and has not answered whole yet."""

from dataclasses import dataclass
from enum import Enum

from ..queries import Query


class WorkStage(Enum):
    """How far a statement has come.

    A received one hasn't been read from its connection's buffer yet, a waiting one
    hasn't been sent to a backend server yet.
    """

    RECEIVED = "received"
    WAITING = "waiting"
    RUNNING = "running"
    SENDING = "sending"


@dataclass(kw_only=True, slots=True)
class StatementAtWork:
    """A statement of a caller that is not answered whole yet.

    Parameters
    ----------
    query
        The statement.
    arrived_at
        When it was read from the caller, in milliseconds since boot.
    stage
        How far it has come.
    """

    query: Query
    arrived_at: int
    stage: WorkStage = WorkStage.WAITING
