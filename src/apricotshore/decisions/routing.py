"""Routing: which backend servers may serve a read or a write."""

from dataclasses import dataclass, field

from ..groups import LOG_START, LogPosition, Role, ServerStatus
from ..identifiers import ServerId, Term

ANSWER_TIMEOUT_MS = 1_000
MAJORITY_CONTACT_MS = 2_000


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusObservation:
    """The latest status of one backend server.

    Parameters
    ----------
    status
        Status as reported by the server.
    asked_at
        When the status was requested, in milliseconds.
    reachable
        Whether the server answered the last probe.
    """

    status: ServerStatus
    asked_at: int
    reachable: bool = True


@dataclass(kw_only=True, slots=True)
class GroupView:
    """State of a database group as its owner observes it.

    Parameters
    ----------
    members
        All backend servers of the group.
    term
        Highest term in which a primary was observed.
    primary
        Primary of that term, None while there is none.
    observations
        Latest status of each server.
    leaving
        Servers that the bundle or the platform lists as leaving.
    """

    members: tuple[ServerId, ...]
    term: Term = Term(0)
    primary: ServerId | None = None
    observations: dict[ServerId, StatusObservation] = field(default_factory=dict)
    leaving: frozenset[ServerId] = frozenset()

    @property
    def majority(self) -> int:
        """Number of servers that make a majority."""
        return len(self.members) // 2 + 1


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRequirement:
    """Freshness that a read requires.

    Parameters
    ----------
    log_position
        Log position of the session; the read must see everything up to it.
    staleness_ms
        Accepted staleness; 0 requires the primary.
    """

    log_position: LogPosition = LOG_START
    staleness_ms: int = 0


def observe_status(view: GroupView, status: ServerStatus, asked_at: int) -> None:
    """Update the group from a status answer.

    Parameters
    ----------
    view
        The group; changed in place.
    status
        Status as reported by the server.
    asked_at
        When the status was requested, in milliseconds.
    """
    view.observations[status.server] = StatusObservation(
        status=status, asked_at=asked_at
    )
    if status.role is Role.PRIMARY and status.term >= view.term:
        view.term = status.term
        view.primary = status.server
    elif status.server == view.primary and status.role is not Role.PRIMARY:
        view.primary = None


def observe_silence(view: GroupView, server: ServerId) -> None:
    """Record that a server did not answer."""
    seen = view.observations.get(server)
    if seen is not None:
        view.observations[server] = StatusObservation(
            status=seen.status, asked_at=seen.asked_at, reachable=False
        )


def has_majority_contact(view: GroupView, now: int) -> bool:
    """Return whether a majority answered within the last MAJORITY_CONTACT_MS.

    A host without a majority may be on the minority side of a partition: it could
    miss a newer claim, bundle or term, and must not serve requests.
    """
    fresh = [
        s for s in view.observations.values() if now - s.asked_at <= MAJORITY_CONTACT_MS
    ]
    return len(fresh) >= view.majority


def is_leaving(view: GroupView, server: ServerId) -> bool:
    """Return whether a server is leaving and gets no new requests."""
    seen = view.observations.get(server)
    return server in view.leaving or (seen is not None and seen.status.leaving)


def _is_fresh_replica(
    view: GroupView, seen: StatusObservation, requirement: ReadRequirement, now: int
) -> bool:
    status = seen.status
    age = now - seen.asked_at
    return (
        seen.reachable
        and age <= ANSWER_TIMEOUT_MS
        and status.role is Role.REPLICA
        and status.term == view.term
        and not is_leaving(view, status.server)
        and status.covers(requirement.log_position)
        and status.behind_ms + age <= requirement.staleness_ms
    )


def find_primary(view: GroupView, now: int) -> ServerId | None:
    """Return the primary if it is reachable, else None."""
    if view.primary is None:
        return None
    seen = view.observations.get(view.primary)
    if seen is None or not seen.reachable or now - seen.asked_at > ANSWER_TIMEOUT_MS:
        return None
    return view.primary


def list_readers(
    view: GroupView, requirement: ReadRequirement, now: int
) -> tuple[ServerId, ...]:
    """List the servers that may serve a read.

    Parameters
    ----------
    view
        State of the group.
    requirement
        Freshness that the read requires.
    now
        Monotonic milliseconds.

    Returns
    -------
    tuple of ServerId
        The replicas that are fresh enough; without one the primary; empty if
        the primary is unreachable too.
    """
    replicas = tuple(
        server
        for server, seen in view.observations.items()
        if _is_fresh_replica(view, seen, requirement, now)
    )
    if replicas and requirement.staleness_ms > 0:
        return replicas
    primary = find_primary(view, now)
    return (primary,) if primary is not None else ()


def later_position(old: LogPosition, new: LogPosition) -> LogPosition:
    """Return the later of two log positions of one session."""
    if (new.term, new.position) > (old.term, old.position):
        return LogPosition(term=new.term, position=max(new.position, old.position))
    return old
