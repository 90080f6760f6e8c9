"""Members of a group during a change of primary, and which of them is promoted."""

from collections.abc import Iterable

from ..groups import LogPosition
from ..identifiers import ServerId, Term
from .change_attempt import Attempt
from .change_members import Member, MemberStatus, log_order
from .needed_end import may_lead

# Age of an answer on which a promotion may still be requested. A pause or a log may be
# gone since, if its server has restarted.
FRESH_MS = 200
# Longest wait for the target to receive the log entries of the other members.
CATCH_UP_MS = 300
# A server that answers none of its commands for this long is taken for silent.
NO_ANSWER_LIMIT_MS = 700


def list_names(members: Iterable[Member]) -> tuple[ServerId, ...]:
    """Return the names of members."""
    return tuple(m.server for m in members)


def read_order(attempt: Attempt, server: ServerId) -> tuple[int, int]:
    """Return the sort key of the end of a member's log."""
    return log_order(attempt.statuses[server].log_position)


def reaches(attempt: Attempt, server: ServerId, end: LogPosition) -> bool:
    """Return whether a member's log reaches a position."""
    return log_order(attempt.statuses[server].log_position) >= log_order(end)


def is_paused(attempt: Attempt, server: ServerId) -> bool:
    """Return whether a member is paused with the term of this change."""
    status = attempt.statuses[server]
    return bool(attempt.pause_term) and status.paused_term >= attempt.pause_term


def is_known_replica(attempt: Attempt, server: ServerId) -> bool:
    """Return whether a server has answered as a replica and isn't being replaced."""
    status = attempt.statuses.get(server)
    is_replica = status is not None and not status.is_primary
    return is_replica and server != attempt.replaced


def list_followers(attempt: Attempt, members: Iterable[Member]) -> list[Member]:
    """Return the members that answered, without primaries."""
    return [
        m
        for m in members
        if m.server in attempt.statuses and not attempt.statuses[m.server].is_primary
    ]


def find_unpaused(
    attempt: Attempt, members: tuple[Member, ...]
) -> tuple[ServerId, ...]:
    """Return the followers but the target that are not paused."""
    return tuple(
        m.server
        for m in list_followers(attempt, members)
        if m.server != attempt.target and not is_paused(attempt, m.server)
    )


def next_term(status: MemberStatus) -> Term:
    """Return the term above that of a member."""
    return Term(status.term + 1)


def choose_pause_term(attempt: Attempt) -> Term:
    """Return the term of pauses, above all that are known; it is kept.

    It is the next term where no server was left paused, so that a pause that comes
    after the promotion's effect is refused.
    """
    if not attempt.pause_term:
        terms = [
            max(s.term, s.paused_term, s.log_position.term)
            for s in attempt.statuses.values()
        ]
        attempt.pause_term = Term(max(attempt.from_term, *terms) + 1)
    return attempt.pause_term


def choose_target(attempt: Attempt, followers: list[Member]) -> ServerId | None:
    """Return the best follower to promote, None without one."""
    candidates = list_candidates(attempt, followers)
    if not candidates:
        return None
    best = max(
        candidates,
        key=lambda m: (
            log_order(attempt.statuses[m.server].log_position),
            not m.leaving,
            # One that has just started is slow, and has only just copied its log.
            -m.started_ms,
            m.server,
        ),
    )
    staying = [
        m
        for m in candidates
        if not m.leaving
        and attempt.statuses[m.server].log_position.term
        == attempt.statuses[best.server].log_position.term
    ]
    if best.leaving and staying and not is_paused(attempt, best.server):
        return max(
            staying, key=lambda m: log_order(attempt.statuses[m.server].log_position)
        ).server
    return best.server


def list_candidates(attempt: Attempt, followers: list[Member]) -> list[Member]:
    """List the followers that may be ordered, one without an effect only if it must."""
    candidates = [m for m in followers if m.listed and m.server not in attempt.rejected]
    if attempt.ineffective is None:
        return candidates
    others = [m for m in candidates if m.server != attempt.ineffective]
    if any(may_lead(attempt, m.server) for m in others):
        return others
    return candidates


def set_target(attempt: Attempt, server: ServerId | None, now: int) -> None:
    """Set the target, and since when it is the target."""
    if server != attempt.target:
        attempt.target = server
        attempt.target_since = now
