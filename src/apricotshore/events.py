"""Bounded event log of a host: observations, decisions and actions."""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from .identifiers import HostId

MAX_EVENTS = 2_000


class Topic(Enum):
    """Area that an event belongs to."""

    FAILOVER = "failover"
    OWNERSHIP = "ownership"
    ROLLOUT = "rollout"
    SHED = "shed"
    WITHDRAWAL = "withdrawal"
    MEMBERSHIP = "membership"
    DRAIN = "drain"


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """One step of a process that operators can inspect.

    Parameters
    ----------
    at_ms
        Wall-clock time in Unix milliseconds.
    host
        Host that recorded the event.
    topic, subject
        Area and object of the event, such as failover and a database.
    step, detail
        Name of the step, and details about it.
    """

    at_ms: int
    host: HostId
    topic: Topic
    subject: str
    step: str
    detail: str


class EventLog:
    """The most recent events of this host.

    Parameters
    ----------
    host
        This host.
    """

    def __init__(self, *, host: HostId) -> None:
        self.host = host
        self.events: deque[Event] = deque(maxlen=MAX_EVENTS)

    def add(
        self, at_ms: int, topic: Topic, subject: str, step: str, detail: str
    ) -> Event:
        """Record an event and return it."""
        event = Event(
            at_ms=at_ms,
            host=self.host,
            topic=topic,
            subject=subject,
            step=step,
            detail=detail,
        )
        self.events.append(event)
        return event

    def find(self, topic: str, subject: str) -> list[Event]:
        """Return the events of a topic and subject; an empty string matches all."""
        return [
            event
            for event in self.events
            if topic in ("", event.topic.value) and subject in ("", event.subject)
        ]
