"""Change of primary: its steps, in an order that loses no acknowledged commit.

A commit is acknowledged once the primary and one replica have stored it. Which
replica that was cannot be known: servers join, restart and lose their entries at
any time. So the order of the steps keeps the promise, not what is known of servers:

1. The primary steps down and names the end of its log. From then on nobody can
   acknowledge a commit, whoever else joins, restarts or is not listed.
2. A server whose log reaches that end is promoted.

A primary that gives no answer may be reached by other hosts. If by none that is asked,
replication is paused at every other server that can be found except the target, and
again until the promotion takes effect; a primary that returns in that time is told to
step down.

The target is recorded in the lease before its promotion is requested. While that
promotion may take effect, no other server is promoted: a repeated request for the
same server changes nothing.
"""

from collections.abc import Iterable

from ..groups import LogPosition
from ..identifiers import ServerId, Term
from .change_attempt import (
    Abandon,
    AskOthers,
    Attempt,
    Hold,
    ListServers,
    Member,
    Pause,
    Promote,
    RecordTarget,
    RequestStatus,
    Step,
    StepDown,
    Wait,
    log_order,
)
from .position_history import PositionSample

# Time into the lease after which no step, and no confirmation, is started.
STEPS_MS = 2_500
CONFIRM_MS = 4_500
# The same for steps that follow once there is no primary any more.
STEPS_WITHOUT_PRIMARY_MS = 3_500
# Longest wait for the target to receive the log entries of the other members.
CATCH_UP_MS = 300
# For this long after the primary stepped down, only the target is asked: a server
# that gives no answer would delay the others.
TARGET_ALONE_MS = 100
# A primary steps down after this time although no replica has caught up with it.
STEP_DOWN_AFTER_MS = 800
# A primary that answers none of its commands for this long is taken for silent.
NO_ANSWER_LIMIT_MS = 700
# An acknowledged commit is stored on the primary and on one replica.
COPIES_PER_COMMIT = 2


def find_primary(attempt: Attempt) -> ServerId | None:
    """Return a primary that need not be replaced, None without one.

    A server that leads a lower term than others have adopted was replaced already.
    """
    newest = max((s.term for s in attempt.statuses.values()), default=Term(0))
    for server, status in attempt.statuses.items():
        if status.term < max(newest, attempt.from_term):
            continue
        if status.is_primary and (
            server != attempt.replaced or not attempt.must_step_down
        ):
            return server
    return None


def _is_paused(attempt: Attempt, server: ServerId) -> bool:
    status = attempt.statuses[server]
    return bool(attempt.pause_term) and status.paused_term >= attempt.pause_term


def _list_followers(attempt: Attempt, members: Iterable[Member]) -> list[Member]:
    return [
        m
        for m in members
        if m.server in attempt.statuses and not attempt.statuses[m.server].is_primary
    ]


def _choose_target(attempt: Attempt, followers: list[Member]) -> ServerId | None:
    candidates = [m for m in followers if m.listed and m.server not in attempt.rejected]
    if not candidates:
        return None
    best = max(
        candidates,
        key=lambda m: (
            log_order(attempt.statuses[m.server].log_position),
            not m.leaving,
            m.server,
        ),
    )
    best_end = attempt.statuses[best.server].log_position
    inherited = attempt.inherited
    if inherited in _list_names(candidates) and _reaches(attempt, inherited, best_end):
        return inherited
    staying = [
        m
        for m in candidates
        if not m.leaving
        and attempt.statuses[m.server].log_position.term
        == attempt.statuses[best.server].log_position.term
    ]
    if best.leaving and staying and not _is_paused(attempt, best.server):
        return max(
            staying, key=lambda m: log_order(attempt.statuses[m.server].log_position)
        ).server
    return best.server


def _set_target(attempt: Attempt, server: ServerId | None, now: int) -> None:
    if server != attempt.target:
        attempt.target = server
        attempt.target_since = now


def _prefer_responsive(
    attempt: Attempt, servers: tuple[ServerId, ...]
) -> tuple[ServerId, ...]:
    """Leave out the unresponsive primary if other servers can be asked.

    Its answer is rarely needed, and waiting for it delays the others.
    """
    others = tuple(s for s in servers if s != attempt.replaced)
    return servers if attempt.must_step_down or not others else others


def plan_step(
    attempt: Attempt,
    members: tuple[Member, ...],
    since_loss: PositionSample | None,
    lossless: bool,
    now: int,
) -> Step:
    """Return the next step of a change of primary.

    Parameters
    ----------
    attempt
        The change; its target and pause term are set in place.
    members
        Servers that may hold acknowledged commits.
    since_loss
        Sample of the primary's log position since a member last lost its log,
        None without one.
    lossless
        Whether this host knows of no member that lost its log.
    now
        Milliseconds since boot.
    """
    if attempt.requested is not None:
        return _plan_until_effect(attempt, members)
    leader = find_primary(attempt)
    if leader is not None:
        return Abandon(leader=leader)
    if attempt.final_end is not None:
        return _plan_after_step_down(attempt, members, since_loss, lossless, now)
    if _can_step_down(attempt, now):
        return _plan_step_down(attempt, members, now)
    return _plan_with_pauses(attempt, members, since_loss, lossless, now)


def _can_step_down(attempt: Attempt, now: int) -> bool:
    """Return whether the primary is to be asked, as it may still answer."""
    if not attempt.must_step_down or attempt.replaced is None:
        return False
    status = attempt.statuses.get(attempt.replaced)
    if status is not None and not status.is_primary:
        return False
    since = attempt.unanswered_since
    return since is None or now - since < NO_ANSWER_LIMIT_MS


def _choose_pause_term(attempt: Attempt) -> Term:
    if not attempt.pause_term:
        terms = [
            max(s.term, s.paused_term, s.log_position.term)
            for s in attempt.statuses.values()
        ]
        attempt.pause_term = Term(max(attempt.from_term, *terms) + 1)
    return attempt.pause_term


def _list_names(members: Iterable[Member]) -> tuple[ServerId, ...]:
    return tuple(m.server for m in members)


def _reaches(attempt: Attempt, server: ServerId, end: LogPosition) -> bool:
    return log_order(attempt.statuses[server].log_position) >= log_order(end)


def _plan_step_down(attempt: Attempt, members: tuple[Member, ...], now: int) -> Step:
    """Have the primary step down once a server that answers has caught up."""
    primary = attempt.replaced
    assert primary is not None
    followers = [m for m in _list_followers(attempt, members) if m.server != primary]
    if not followers:
        return RequestStatus(servers=_list_names(members))
    end = attempt.primary_end
    is_late = now - attempt.started_at >= STEP_DOWN_AFTER_MS
    if end is None and not is_late:
        return RequestStatus(servers=_list_names(members))
    full = [m for m in followers if end and _reaches(attempt, m.server, end)]
    if attempt.target not in _list_names(full):
        _set_target(attempt, _choose_target(attempt, full or followers), now)
    target = attempt.target
    if target is None or attempt.inherited not in (None, target):
        return RequestStatus(servers=_list_names(members))
    if not full and not is_late:
        return RequestStatus(servers=_list_names(followers))
    if attempt.recorded != target:
        return RecordTarget(server=target)
    status = attempt.statuses.get(primary)
    terms = (attempt.from_term, status.term if status is not None else 0)
    return StepDown(server=primary, term=Term(max(*terms, attempt.pause_term - 1) + 1))


def _plan_after_step_down(
    attempt: Attempt,
    members: tuple[Member, ...],
    since_loss: PositionSample | None,
    lossless: bool,
    now: int,
) -> Step:
    """Promote a server that holds all that the former primary has stored.

    Nobody acknowledges a commit meanwhile. If no server receives the rest, it was
    never acknowledged, provided that every server has answered that was listed
    after the primary stepped down; else the former primary alone holds it.
    """
    end = attempt.final_end
    assert end is not None
    followers = _list_followers(attempt, members)
    others = [m for m in followers if m.server != attempt.replaced]
    full = [m for m in others if _reaches(attempt, m.server, end)]
    target = attempt.target
    if target is None or target not in _list_names(full):
        target = _choose_target(attempt, full)
    if target is not None:
        return _request(attempt, members, target, now)
    return _plan_incomplete(attempt, members, others, since_loss, lossless, now)


def _plan_incomplete(
    attempt: Attempt,
    members: tuple[Member, ...],
    others: list[Member],
    since_loss: PositionSample | None,
    lossless: bool,
    now: int,
) -> Step:
    """Find who is to be promoted while no server is known to hold all."""
    asked = tuple(s for s in _list_names(members) if s != attempt.replaced)
    since = now - attempt.stepped_down_at
    if since < TARGET_ALONE_MS and attempt.target is not None:
        return RequestStatus(servers=(attempt.target,))
    if since < CATCH_UP_MS:
        return RequestStatus(servers=asked)
    if not attempt.listed:
        return ListServers()
    missing = tuple(
        m.server for m in members if m.listed and m.server not in attempt.statuses
    )
    if missing and since < NO_ANSWER_LIMIT_MS:
        return RequestStatus(servers=missing)
    target = _choose_target(attempt, others)
    if target is not None and not missing:
        needed = [_read_order(attempt, m.server) for m in others]
        if not lossless:
            proven = since_loss or attempt.final_end
            needed.append((proven.term, proven.position))
        if _read_order(attempt, target) >= max(needed):
            return _request(attempt, members, target, now)
    former = [m for m in members if m.server == attempt.replaced]
    target = _choose_target(attempt, _list_followers(attempt, former))
    if target is None:
        return RequestStatus(servers=_list_names(members))
    return _request(attempt, members, target, now)


def _read_order(attempt: Attempt, server: ServerId) -> tuple[int, int]:
    return log_order(attempt.statuses[server].log_position)


def _request(
    attempt: Attempt, members: tuple[Member, ...], target: ServerId, now: int
) -> Step:
    """Return the next step towards the promotion of a server."""
    _set_target(attempt, target, now)
    if attempt.inherited not in (None, target):
        # The other promotion may take effect first; only the target may then help
        # to acknowledge.
        unpaused = _find_unpaused(attempt, members)
        if unpaused:
            return Pause(servers=unpaused, term=_choose_pause_term(attempt))
    if attempt.recorded != target:
        return RecordTarget(server=target)
    return Promote(server=target)


def _find_unpaused(
    attempt: Attempt, members: tuple[Member, ...]
) -> tuple[ServerId, ...]:
    return tuple(
        m.server
        for m in _list_followers(attempt, members)
        if m.server != attempt.target and not _is_paused(attempt, m.server)
    )


def _plan_until_effect(attempt: Attempt, members: tuple[Member, ...]) -> Step:
    """Request the promotion until it is accepted, and hold the others meanwhile."""
    assert attempt.requested is not None
    may_hold = bool(attempt.pause_term)
    if not attempt.accepted and (attempt.held or not may_hold):
        return Promote(server=attempt.requested)
    if not may_hold:
        return Wait(why="the promotion takes effect")
    others = tuple(
        s
        for s in _list_names(members)
        if s not in (attempt.requested, attempt.replaced)
    )
    primary = attempt.replaced if attempt.replaced != attempt.requested else None
    return Hold(servers=others, primary=primary, term=attempt.pause_term)


def _plan_with_pauses(
    attempt: Attempt,
    members: tuple[Member, ...],
    since_loss: PositionSample | None,
    lossless: bool,
    now: int,
) -> Step:
    """Pause every server that answers except the target, and promote that one."""
    missing = tuple(m.server for m in members if m.server not in attempt.statuses)
    listed = {m.server for m in members if m.listed}
    followers = _list_followers(attempt, members)
    if len(listed & set(missing)) >= COPIES_PER_COMMIT or not followers:
        servers = missing or _list_names(members)
        return RequestStatus(servers=_prefer_responsive(attempt, servers))
    if attempt.target is None or attempt.target not in attempt.statuses:
        _set_target(attempt, _choose_target(attempt, followers), now)
    if attempt.target is None:
        return RequestStatus(servers=_list_names(members))
    term = _choose_pause_term(attempt)
    unpaused = _find_unpaused(attempt, members)
    if unpaused:
        attempt.listed = False
        return Pause(servers=unpaused, term=term)
    return _plan_promotion(attempt, members, followers, since_loss, lossless, now)


def _plan_promotion(
    attempt: Attempt,
    members: tuple[Member, ...],
    followers: list[Member],
    since_loss: PositionSample | None,
    lossless: bool,
    now: int,
) -> Step:
    target = attempt.target
    if target is None:
        return Wait(why="no server can be promoted")
    known = set(_list_names(followers))
    unknown = tuple(m.server for m in members if m.listed and m.server not in known)
    if len(unknown) >= COPIES_PER_COMMIT:
        return RequestStatus(servers=_prefer_responsive(attempt, unknown))
    reached = _read_order(attempt, target)
    needed = max(_read_order(attempt, s) for s in known)
    if reached < needed:
        if now - attempt.target_since < CATCH_UP_MS:
            return RequestStatus(servers=(target,))
        if not _is_paused(attempt, target):
            return Pause(servers=(target,), term=attempt.pause_term)
        attempt.target = None
        _set_target(attempt, _choose_target(attempt, followers), now)
        return RequestStatus(servers=tuple(known))
    if unknown and not lossless:
        proven = None if since_loss is None else (since_loss.term, since_loss.position)
        if proven is None or reached < proven:
            return RequestStatus(servers=(*unknown, target))
    silent = attempt.replaced
    if silent is not None and silent not in known and not attempt.asked_others:
        return AskOthers(server=silent, term=attempt.pause_term)
    if not attempt.listed:
        return ListServers()
    return _request(attempt, members, target, now)
