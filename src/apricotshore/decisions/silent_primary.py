"""Replacement of a primary that gives no answer, or whose promotion has no effect.

Replication is paused at every other server that can be found, except the target. Other
hosts are asked to have the primary step down, and the list of servers is read anew,
before the promotion is requested.
"""

from ..identifiers import ServerId
from .change_actions import AskOthers, ListServers, Pause, RequestStatus, Step, Wait
from .change_attempt import Attempt
from .change_members import Member
from .change_targets import (
    CATCH_UP_MS,
    NO_ANSWER_LIMIT_MS,
    choose_pause_term,
    choose_target,
    find_unpaused,
    is_paused,
    list_candidates,
    list_followers,
    list_names,
    set_target,
)
from .log_floor import COPIES_PER_COMMIT
from .needed_end import list_unknown, may_lead
from .promotion_order import plan_order, plan_proof


def plan_with_pauses(attempt: Attempt, members: tuple[Member, ...], now: int) -> Step:
    """Pause every server that answers except the target, and promote that one."""
    missing = tuple(m.server for m in members if m.server not in attempt.statuses)
    if attempt.replaced is None:
        # They may have led, but one that can't be promoted isn't running.
        counted = {m.server for m in members if m.is_counted} - attempt.rejected
        attempt.absent = counted.intersection(missing)
    followers = list_followers(attempt, members)
    # A server that is merely overloaded may be the primary.
    has_busy = bool(attempt.busy.intersection(missing)) and not attempt.is_cut_off
    if has_busy or not followers:
        servers = missing or list_names(members)
        return RequestStatus(servers=_prefer_responsive(attempt, servers))
    unknown = list_unknown(attempt, members)
    if len(unknown) >= COPIES_PER_COMMIT and attempt.needed_end is None:
        return _plan_wait(attempt, members, unknown, now)
    if attempt.target is None or attempt.target not in attempt.statuses:
        set_target(attempt, choose_target(attempt, followers), now)
    if attempt.target is None:
        return RequestStatus(servers=list_names(members))
    term = choose_pause_term(attempt)
    unpaused = find_unpaused(attempt, members)
    if unpaused:
        attempt.listed = False
        return Pause(servers=unpaused, term=term)
    return _plan_promotion(attempt, members, followers, now)


def _plan_wait(
    attempt: Attempt,
    members: tuple[Member, ...],
    unknown: tuple[ServerId, ...],
    now: int,
) -> Step:
    """Ask for logs that aren't known, and have the barrier stand once one is."""
    is_late = now - attempt.started_at >= NO_ANSWER_LIMIT_MS
    if is_late and attempt.barrier is None:
        attempt.target = None
        unpaused = find_unpaused(attempt, members)
        if unpaused:
            return Pause(servers=unpaused, term=choose_pause_term(attempt))
        others = tuple(m for m in members if m.server != attempt.replaced)
        step = plan_proof(attempt, others, now)
        if step is not None:
            return step
    return RequestStatus(servers=_prefer_responsive(attempt, unknown))


def _plan_promotion(
    attempt: Attempt, members: tuple[Member, ...], followers: list[Member], now: int
) -> Step:
    target = attempt.target
    if target is None:
        return Wait(why="no server can be promoted")
    if not may_lead(attempt, target):
        return _plan_longer_log(attempt, members, followers, now)
    silent = attempt.replaced
    is_unknown = silent not in attempt.statuses or silent in attempt.shrunk
    if silent is not None and is_unknown and not attempt.asked_others:
        return AskOthers(server=silent, term=attempt.pause_term)
    return _plan_order(attempt, members, target, now)


def _plan_longer_log(
    attempt: Attempt, members: tuple[Member, ...], followers: list[Member], now: int
) -> Step:
    """Wait until the target has received the rest, then choose the longest log."""
    target = attempt.target
    assert target is not None
    if now - attempt.target_since < CATCH_UP_MS:
        return RequestStatus(servers=(target,))
    candidates = list_candidates(attempt, followers)
    if not any(may_lead(attempt, m.server) for m in candidates):
        unknown = list_unknown(attempt, members) or list_names(followers)
        return RequestStatus(servers=_prefer_responsive(attempt, unknown))
    if not is_paused(attempt, target):
        return Pause(servers=(target,), term=attempt.pause_term)
    attempt.target = None
    set_target(attempt, choose_target(attempt, followers), now)
    return RequestStatus(servers=list_names(followers))


def _plan_order(
    attempt: Attempt, members: tuple[Member, ...], target: ServerId, now: int
) -> Step:
    """Order the promotion once the list was read after all waits."""
    others = tuple(m for m in members if m.server != attempt.replaced)
    step = plan_proof(attempt, others, now)
    if step is not None:
        attempt.listed = False
        return step
    if not attempt.listed:
        return ListServers()
    return plan_order(attempt, members, target, now)


def _prefer_responsive(
    attempt: Attempt, servers: tuple[ServerId, ...]
) -> tuple[ServerId, ...]:
    """Leave out a silent primary if other servers can be asked.

    Its answer is rarely needed, and waiting for it delays the others.
    """
    others = tuple(s for s in servers if s != attempt.replaced)
    return others if attempt.is_silent and others else servers
