"""Promotion that was ordered, by this change or by an earlier holder of the lease.

It may take effect at any time: all but its target are held until then. An inherited one
is repeated, so that it is known to be accepted. It may never have been made, so that a
server led on meanwhile: then the repetition needs the proofs of a first order. It is
given up where its target is refused, or lacks what was acknowledged before the others
were held.
"""

from ..identifiers import ServerId, Term
from . import lease
from .change_actions import Hold, Promote, RequestStatus, Seal, Secure, Step, Wait
from .change_attempt import Attempt
from .change_members import Member
from .change_targets import (
    CATCH_UP_MS,
    FRESH_MS,
    NO_ANSWER_LIMIT_MS,
    choose_pause_term,
    list_followers,
    list_names,
    read_order,
)
from .commit_barrier import is_running_late, list_led
from .log_floor import UNKNOWN_END, find_floor_end
from .needed_end import find_end
from .order_effect import find_overdue
from .promotion_order import list_unpaused, plan_proof, secure


def replace_leader(attempt: Attempt, leader: ServerId) -> None:
    """Replace a server that leads although an earlier holder may have ordered another.

    That promotion may still take effect, and this host did not know the leader.
    """
    if attempt.replaced != leader:
        attempt.final_end = None
    attempt.replaced = leader
    attempt.must_step_down = True
    attempt.unanswered_since = None
    status = attempt.statuses.get(leader)
    attempt.primary_end = None if status is None else status.log_position


def list_leaders(attempt: Attempt, now: int) -> list[ServerId]:
    """List the servers that lead, except the one whose promotion was requested.

    One that answers nothing for a while is taken for silent.
    """
    return [
        server
        for server, since in attempt.leaders.items()
        if server != attempt.requested
        and (since is None or now - since < NO_ANSWER_LIMIT_MS)
    ]


def raise_led_term(attempt: Attempt, leaders: list[ServerId]) -> None:
    """Have later commands carry a term above all that servers have adopted since.

    A server refuses a command of a lower term.
    """
    known = attempt.statuses
    newest = max((s.term for s in known.values()), default=Term(0))
    led = max((known[s].term for s in leaders if s in known), default=Term(0))
    is_passed = newest > attempt.pause_term or led >= attempt.pause_term
    if attempt.pause_term and is_passed:
        attempt.pause_term = Term(newest + 1)


def plan_until_effect(
    attempt: Attempt, members: tuple[Member, ...], now: int
) -> Step | None:
    """Request the promotion until it is accepted, and hold the others meanwhile.

    Returns
    -------
    Step or None
        None where another server may be ordered from now on.
    """
    assert attempt.requested is not None
    leaders = list_leaders(attempt, now)
    if leaders:
        raise_led_term(attempt, leaders)
        if attempt.replaced in (None, attempt.requested):
            replace_leader(attempt, leaders[0])
    is_inherited = _is_inherited(attempt)
    others = tuple(m for m in members if m.server != attempt.requested)
    if is_inherited and not attempt.pause_term:
        if not attempt.statuses:
            return RequestStatus(servers=list_names(members))
        choose_pause_term(attempt)
    since = _find_end(attempt, members)
    is_over = since is not None and now - since >= lease.PROMOTION_MS
    if is_over or (is_inherited and is_running_late(attempt, now)):
        _give_up(attempt)
        return None
    if is_inherited and leaders and _is_awaited(attempt, others, leaders, now):
        return Secure(
            paused=list_unpaused(attempt, _drop(others, leaders)),
            term=attempt.pause_term,
            asked=(attempt.requested, *leaders),
        )
    if not leaders and since is None and _may_request(attempt, members, now):
        proof = _plan_inherited_proof(attempt, members, now) if is_inherited else None
        return proof or Promote(server=attempt.requested)
    if since is not None and attempt.held and attempt.barrier is None:
        beside = secure(attempt, list_unpaused(attempt, others))
        return Seal(servers=list_led(attempt), beside=beside)
    return _plan_hold(attempt, members, leaders, now)


def _may_request(attempt: Attempt, members: tuple[Member, ...], now: int) -> bool:
    """Return whether the promotion is to be requested while nobody leads."""
    others = tuple(m for m in members if m.server != attempt.requested)
    if attempt.accepted or attempt.is_requesting:
        return False
    if attempt.pause_term and not attempt.held:
        return False
    if _has_lost_log(attempt, members):
        return False
    if not _is_inherited(attempt):
        return _reaches_floor(attempt) and _is_heard(attempt, now)
    if attempt.needed_end is None:
        return False
    is_late = now - attempt.started_at >= CATCH_UP_MS
    return is_late or not list_unpaused(attempt, others)


def _is_heard(attempt: Attempt, now: int) -> bool:
    """Return whether the requested server has answered just now."""
    server = attempt.requested
    assert server is not None
    is_known = server in attempt.statuses
    return is_known and now - attempt.answered_at[server] <= FRESH_MS


def _reaches_floor(attempt: Attempt) -> bool:
    """Return whether the requested server still holds what its order demanded."""
    server = attempt.requested
    assert server is not None
    return find_floor_end(attempt.floor) <= find_end(attempt, server) < UNKNOWN_END


def _has_lost_log(attempt: Attempt, members: tuple[Member, ...]) -> bool:
    """Return whether the requested server has started anew since its order."""
    floor = attempt.floor
    if floor.holder != attempt.requested or not floor.holder_started_ms:
        return False
    return any(
        m.server == floor.holder and m.started_ms not in (0, floor.holder_started_ms)
        for m in members
    )


def _plan_inherited_proof(
    attempt: Attempt, members: tuple[Member, ...], now: int
) -> Step | None:
    """Return the next step until a server that led on can acknowledge nothing more."""
    if not attempt.led - {attempt.requested}:
        return None
    kept = (attempt.requested, attempt.replaced)
    return plan_proof(attempt, tuple(m for m in members if m.server not in kept), now)


def _is_awaited(
    attempt: Attempt, others: tuple[Member, ...], leaders: list[ServerId], now: int
) -> bool:
    """Return whether a leader goes on, so that the target receives what it lacks.

    It may hold what a server helped to acknowledge that is paused by now.
    """
    known = [s for s in leaders if s in attempt.statuses]
    if now - attempt.started_at >= CATCH_UP_MS or not known:
        return False
    followers = list_followers(attempt, others)
    if list_unpaused(attempt, tuple(followers)):
        return True
    paused_at = max((attempt.answered_at[m.server] for m in followers), default=0)
    if attempt.led_end is None and attempt.asked_at[known[0]] > paused_at:
        attempt.led_end = read_order(attempt, known[0])
    target = attempt.requested
    is_full = attempt.led_end is not None and target in attempt.statuses
    return not (is_full and read_order(attempt, target) >= attempt.led_end)


def _drop(members: tuple[Member, ...], servers: list[ServerId]) -> tuple[Member, ...]:
    return tuple(m for m in members if m.server not in servers)


def _is_inherited(attempt: Attempt) -> bool:
    """Return whether only an earlier holder has requested the promotion."""
    return attempt.inherited is not None and not attempt.is_ordered


def _find_end(attempt: Attempt, members: tuple[Member, ...]) -> int | None:
    """Return since when the others are held for an order that is to be given up.

    None if it is followed.
    """
    if attempt.refused_at is not None:
        return attempt.refused_at
    target = attempt.requested
    if not _is_inherited(attempt):
        return None
    if _has_lost_log(attempt, members):
        return attempt.started_at
    if target not in attempt.statuses:
        return None
    ends = [read_order(attempt, m.server) for m in list_followers(attempt, members)]
    # A floor that is outdated is recorded anew with the next order.
    ends.append(find_floor_end(attempt.floor))
    if attempt.needed_end is not None:
        ends.append(attempt.needed_end)
    if attempt.final_end is not None:
        ends.append((attempt.final_end.term, attempt.final_end.position))
    return attempt.started_at if read_order(attempt, target) < max(ends) else None


def _give_up(attempt: Attempt) -> None:
    """Have another server be chosen, once no earlier order can take effect."""
    if attempt.refused_at is not None and attempt.requested is not None:
        attempt.rejected.add(attempt.requested)
    attempt.requested = attempt.target = attempt.refused_at = None
    attempt.is_ordered = attempt.held = False


def _plan_hold(
    attempt: Attempt, members: tuple[Member, ...], leaders: list[ServerId], now: int
) -> Step:
    overdue = find_overdue(attempt, now)
    if not attempt.pause_term and overdue is not None:
        return RequestStatus(servers=(overdue,))
    if not attempt.pause_term:
        return Wait(why="the promotion takes effect")
    former = _find_former(attempt, leaders)
    others = tuple(
        s for s in list_names(members) if s not in (attempt.requested, former)
    )
    is_repeated = _is_inherited(attempt) or not (
        attempt.accepted or attempt.is_requesting
    )
    asked = attempt.requested if is_repeated else overdue
    return Hold(servers=others, primary=former, term=attempt.pause_term, asked=asked)


def _find_former(attempt: Attempt, leaders: list[ServerId]) -> ServerId | None:
    """Return the server to be told to step down while a promotion is awaited.

    A holder that took the change over may learn who led only when it leads again.
    """
    if leaders and attempt.replaced not in leaders:
        return leaders[0]
    return attempt.replaced if attempt.replaced != attempt.requested else None
