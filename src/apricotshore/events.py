"""Bounded records of what a host saw, decided and did."""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from .identifiers import HostId

MAX_EVENTS = 2_000


class Topic(Enum):
    """What an event is about."""

    FAILOVER = "failover"
    OWNERSHIP = "ownership"
    ROLLOUT = "rollout"
    SHED = "shed"
    WITHDRAWAL = "withdrawal"
    MEMBERSHIP = "membership"
    DRAIN = "drain"


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """One step of a matter that operators may ask about.

    Parameters
    ----------
    at_ms
        Wall-clock milliseconds since 1970.
    host
        Host that acted.
    topic, subject
        What it is about, such as a failover of one database.
    step, detail
        What was done and why.
    """

    at_ms: int
    host: HostId
    topic: Topic
    subject: str
    step: str
    detail: str


class EventLog:
    """The last events of this host.

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
        """Return events of a topic and subject; empty strings match all."""
        return [
            event
            for event in self.events
            if topic in ("", event.topic.value) and subject in ("", event.subject)
        ]
