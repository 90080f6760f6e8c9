"""Change of primary: its steps, in an order that loses no acknowledged commit.

A commit is acknowledged once the primary and one replica have stored it. Which
replica that was cannot be known: servers join, restart and lose their entries at
any time. So barriers keep commits from being acknowledged that the promoted server
lacks:

1. All hosts stop sending to the primary, and their statements end. Then it steps down
   and names the end of its log.
2. All hosts confirm that no statement of theirs is in progress at it. A server can
   acknowledge only on an open connection, so it acknowledges nothing more.
3. Replication is paused at every other server except the target, and again until
   the promotion takes effect. A commit that the former primary still acknowledges,
   as it leads again, is then on the target.

Where a host gives no confirmation, a former primary that runs nothing any more shows
as much. A server that reaches the end of the log is promoted. If none does, the longest
log among the servers that were asked after the barrier holds whatever was acknowledged.

A primary that gives no answer may be reached by other hosts. If by none that is asked,
only the hosts and the pauses are left; a primary that returns is told to step down.

Nobody is promoted while a server says that it leads and has not stepped down in this
change, whatever its term: it may go on acknowledging.

The target is recorded in the lease before its promotion is requested. While that
promotion may take effect, no other server is promoted: a repeated request for the
same server changes nothing.
"""

from ..identifiers import ServerId, Term
from .change_actions import (
    Abandon,
    ListServers,
    Pause,
    Quiesce,
    RequestStatus,
    Step,
    StepDown,
)
from .change_attempt import Attempt
from .change_members import Member, log_order
from .change_targets import (
    CATCH_UP_MS,
    NO_ANSWER_LIMIT_MS,
    choose_pause_term,
    choose_target,
    is_paused,
    list_followers,
    list_names,
    next_term,
    reaches,
    read_order,
    set_target,
)
from .commit_barrier import is_quiesced, is_running_late
from .followed_order import (
    list_leaders,
    plan_until_effect,
    raise_led_term,
    replace_leader,
)
from .log_floor import End
from .needed_end import list_unknown, may_lead, observe_needed_end
from .paused_targets import is_kept_from, may_receive, plan_resumption
from .primary_return import plan_return
from .promotion_order import SECURE_MS, list_unpaused, plan_order, plan_proof, secure
from .silent_primary import plan_with_pauses

# Time into the lease after which no step, and no confirmation, is started.
STEPS_MS = 2_500
CONFIRM_MS = 4_500
# A promotion is followed for this long in any case.
FOLLOW_MS = 1_500
# The same for steps that follow once there is no primary any more.
STEPS_WITHOUT_PRIMARY_MS = 5_500
# A primary steps down after this time although no replica has caught up with it.
STEP_DOWN_AFTER_MS = 800
# Pause before a server that went on leading is told to step down again.
LEADER_PAUSE_MS = 20


def find_primary(attempt: Attempt) -> ServerId | None:
    """Return a primary that need not be replaced, None without one.

    A server that leads a lower term than others have adopted may have been replaced
    already. It isn't recognised, and steps down before another is promoted.
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


def find_limit(attempt: Attempt) -> int:
    """Return the time into the lease for steps of this change, in milliseconds."""
    has_none = attempt.final_end is not None or attempt.has_lost_lead
    has_none |= attempt.ineffective is not None or attempt.inherited is not None
    # A silent primary may hold commits, which is waited for once others are paused.
    may_wait = has_none or bool(attempt.pause_term)
    return STEPS_WITHOUT_PRIMARY_MS if may_wait else STEPS_MS


def plan_step(
    attempt: Attempt,
    members: tuple[Member, ...],
    lost_end: End | None,
    now: int,
) -> Step:
    """Return the next step of a change of primary.

    Parameters
    ----------
    attempt
        The change; its target and pause term are set in place.
    members
        Servers that may hold acknowledged commits.
    lost_end
        End up to which logs that members have lost count, `UNKNOWN_END` where that
        can't be told, None where this host knows of no member that lost its log.
    now
        Milliseconds since boot.
    """
    observe_needed_end(attempt, members, lost_end)
    if attempt.requested is not None:
        step = plan_until_effect(attempt, members, now)
        if step is not None:
            return step
    leader = find_primary(attempt)
    if leader in (None, attempt.replaced):
        step = plan_return(attempt, members, is_led=leader is not None, now=now)
        if step is not None:
            return step
    if leader is not None and attempt.inherited in (None, leader):
        return Abandon(leader=leader)
    if leader is not None:
        replace_leader(attempt, leader)
    other = _find_other_leader(attempt, now)
    if other is not None:
        return _plan_other_leader(attempt, members, other, now)
    if attempt.final_end is not None:
        return _plan_after_step_down(attempt, members, now)
    if _can_step_down(attempt, now):
        return _plan_step_down(attempt, members, now)
    return plan_with_pauses(attempt, members, now)


def _find_other_leader(attempt: Attempt, now: int) -> ServerId | None:
    """Return a server that leads beside the primary that this change replaces.

    A primary that leads, and is not recognised, is replaced although it answers.
    """
    leaders = list_leaders(attempt, now)
    raise_led_term(attempt, leaders)
    if leaders and attempt.replaced is None:
        replace_leader(attempt, leaders[0])
    if attempt.replaced in leaders:
        attempt.must_step_down = True
    return next((s for s in leaders if s != attempt.replaced), None)


def _plan_other_leader(
    attempt: Attempt, members: tuple[Member, ...], leader: ServerId, now: int
) -> Step:
    """Have a server step down that leads beside the replaced primary."""
    told_at = attempt.leader_told_at
    was_told = told_at is not None and now - told_at < LEADER_PAUSE_MS
    if was_told and attempt.final_end is not None:
        others = tuple(m for m in members if m.server not in (attempt.replaced, leader))
        return secure(attempt, list_unpaused(attempt, others))
    attempt.leader_told_at = now
    return StepDown(server=leader, term=choose_pause_term(attempt))


def _can_step_down(attempt: Attempt, now: int) -> bool:
    """Return whether the primary is to be asked, as it may still answer."""
    if not attempt.must_step_down or attempt.replaced is None:
        return False
    status = attempt.statuses.get(attempt.replaced)
    if status is not None and not status.is_primary:
        return False
    since = attempt.unanswered_since
    return since is None or now - since < NO_ANSWER_LIMIT_MS


def _plan_step_down(attempt: Attempt, members: tuple[Member, ...], now: int) -> Step:
    """Have the primary step down once a server that answers has caught up."""
    primary = attempt.replaced
    assert primary is not None
    if _is_full(attempt, primary) and attempt.quiesced is None:
        return Quiesce(server=primary)
    followers = [m for m in list_followers(attempt, members) if m.server != primary]
    if not followers:
        return RequestStatus(servers=list_names(members))
    end = attempt.primary_end
    is_late = now - attempt.started_at >= STEP_DOWN_AFTER_MS
    if end is None and not is_late:
        return RequestStatus(servers=list_names(members))
    full = [m for m in followers if end and reaches(attempt, m.server, end)]
    if attempt.target not in list_names(full):
        set_target(attempt, choose_target(attempt, full or followers), now)
    target = attempt.target
    if target is None:
        return RequestStatus(servers=list_names(members))
    step = plan_resumption(attempt, end, now)
    if step is not None:
        return step
    if not full and not is_late:
        return RequestStatus(servers=list_names(followers))
    return _plan_quiesced_step_down(attempt, primary, now)


def _plan_quiesced_step_down(attempt: Attempt, primary: ServerId, now: int) -> Step:
    """Have the primary step down once hosts send it nothing more."""
    if not is_quiesced(attempt, now):
        return Quiesce(server=primary)
    if attempt.primary_end is None:
        # Its log has to be known, so that one that has lost it isn't trusted.
        return RequestStatus(servers=(primary,))
    return _step_down(attempt, primary)


def _is_full(attempt: Attempt, primary: ServerId) -> bool:
    """Return whether the primary may have no room for a command.

    Statements that run long or wait for a replica take it all.
    """
    has_refused = primary in attempt.busy or attempt.unanswered_since is not None
    return attempt.is_cut_off or has_refused


def _step_down(attempt: Attempt, primary: ServerId) -> StepDown:
    status = attempt.statuses.get(primary)
    term = choose_pause_term(attempt)
    return StepDown(
        server=primary, term=term if status is None else max(term, next_term(status))
    )


def _plan_after_step_down(
    attempt: Attempt, members: tuple[Member, ...], now: int
) -> Step:
    """Promote a server that holds all that the former primary has stored."""
    others = tuple(m for m in members if m.server != attempt.replaced)
    full = _list_full(attempt, others)
    is_former_due = attempt.target == attempt.replaced
    # An order of it had no effect, so it is ordered only if it must.
    is_former_due &= attempt.replaced != attempt.ineffective or not full
    if is_former_due or is_running_late(attempt, now):
        return _plan_former(attempt, members, now)
    if attempt.target not in full and now - attempt.stepped_down_at >= SECURE_MS:
        other = choose_target(attempt, [m for m in others if m.server in full])
        set_target(attempt, other or attempt.target, now)
    target = attempt.target
    step = plan_resumption(attempt, attempt.final_end, now)
    step = step or plan_proof(attempt, others, now)
    if step is not None:
        return step
    if target is None or target not in full:
        return _plan_incomplete(attempt, members, others, now)
    return plan_order(attempt, members, target, now)


def _plan_former(attempt: Attempt, members: tuple[Member, ...], now: int) -> Step:
    """Promote the former primary again: it holds all that was acknowledged."""
    former = [m for m in members if m.server == attempt.replaced]
    target = choose_target(attempt, list_followers(attempt, former))
    if target is None:
        return RequestStatus(servers=list_names(members))
    return plan_order(attempt, members, target, now)


def _list_full(attempt: Attempt, others: tuple[Member, ...]) -> tuple[ServerId, ...]:
    """Return the followers that hold all that any server is known to hold."""
    assert attempt.final_end is not None
    followers = list_names(list_followers(attempt, others))
    end = max(
        [log_order(attempt.final_end), *(read_order(attempt, s) for s in followers)]
    )
    return tuple(s for s in followers if read_order(attempt, s) >= end)


def _plan_incomplete(
    attempt: Attempt,
    members: tuple[Member, ...],
    others: tuple[Member, ...],
    now: int,
) -> Step:
    """Find who is to be promoted while no server is known to hold all.

    The rest of the log may still arrive at any server, and be acknowledged by that.
    So all but the target are paused before the longest log is taken for complete, and
    the target as well if another is ahead of it. One that can't be resumed is not
    ordered without what the former primary holds, unless that is leaving.
    """
    since = now - attempt.stepped_down_at
    unpaused = list_unpaused(attempt, others)
    if since < CATCH_UP_MS or may_receive(attempt, now):
        return secure(attempt, unpaused)
    if not attempt.listed:
        return ListServers()
    missing = list_unknown(attempt, others)
    if missing and since < NO_ANSWER_LIMIT_MS:
        return Pause(servers=missing, term=choose_pause_term(attempt))
    followers = list_followers(attempt, others)
    target = _choose_longest(attempt, followers)
    assert attempt.final_end is not None
    if target == attempt.target and is_kept_from(attempt, attempt.final_end):
        former = next((m for m in members if m.server == attempt.replaced), None)
        if former is not None and not former.leaving:
            return _plan_former(attempt, members, now)
    receiving = tuple(
        m.server
        for m in followers
        if m.server != target and not is_paused(attempt, m.server)
    )
    if receiving:
        return Pause(servers=receiving, term=choose_pause_term(attempt))
    if target is not None and may_lead(attempt, target):
        return plan_order(attempt, members, target, now)
    return _plan_former(attempt, members, now)


def _choose_longest(attempt: Attempt, followers: list[Member]) -> ServerId | None:
    """Return the follower with the longest log, the present target if it has it."""
    best = choose_target(attempt, followers)
    target = attempt.target
    if best is None or target not in list_names(followers):
        return best
    return target if read_order(attempt, target) >= read_order(attempt, best) else best
