"""Whether a promotion may be ordered first: the one rule of all paths.

An order needs that nobody can be told of a commit by a former primary any more, that
the target's log reaches the needed end, and that every other server which may receive
is paused. A pause that can't be had in time is waived, and named in the order.
"""

from ..identifiers import ServerId
from .change_actions import Promote, RecordTarget, RequestStatus, Seal, Secure, Step
from .change_attempt import Attempt
from .change_members import Member
from .change_targets import (
    CATCH_UP_MS,
    FRESH_MS,
    choose_pause_term,
    is_paused,
    list_followers,
    list_names,
    set_target,
)
from .commit_barrier import (
    BarrierProof,
    find_proof,
    is_sealed,
    list_led,
    list_unasked,
)
from .needed_end import list_unknown, may_lead, set_floor

# For this long after the primary stepped down, only its target may be promoted, and a
# promotion waits for the pause of a server that has not answered before.
SECURE_MS = 100
# Longest time for which servers that were paused are asked again before an order: each
# may answer late by itself, and another is outdated by then.
RENEWAL_MS = 1_000


def plan_proof(
    attempt: Attempt, others: tuple[Member, ...], now: int
) -> Seal | Secure | None:
    """Return the next step until no former primary can acknowledge, None then.

    Parameters
    ----------
    attempt
        The change; no server that leads may be left.
    others
        Members of the group except for the former primary.
    now
        Milliseconds since boot.
    """
    others = tuple(m for m in others if m.server not in attempt.absent)
    unpaused = list_unpaused(attempt, others)
    if attempt.barrier is None:
        return Seal(servers=list_led(attempt), beside=secure(attempt, unpaused))
    if not is_sealed(attempt, _drop_silent(attempt, others), now):
        return secure(attempt, unpaused, list_unasked(attempt, others))
    return None


def _drop_silent(attempt: Attempt, others: tuple[Member, ...]) -> tuple[Member, ...]:
    """Leave out silent servers that led before an order without effect.

    Only time proves that such a server acknowledges nothing, as for a silent primary.
    """
    if attempt.ineffective is None:
        return others
    silent = attempt.led - attempt.statuses.keys()
    return tuple(m for m in others if m.server not in silent)


def plan_order(
    attempt: Attempt, members: tuple[Member, ...], target: ServerId, now: int
) -> Step:
    """Return the next step towards the promotion of a server.

    Parameters
    ----------
    attempt
        The change; its target and pause term are set in place.
    members
        Servers that may hold acknowledged commits.
    target
        Server that holds all that any of them named.
    now
        Milliseconds since boot.
    """
    set_target(attempt, target, now)
    others = tuple(m for m in members if m.server != attempt.replaced)
    step = plan_proof(attempt, others, now)
    if step is not None:
        return step
    if not may_lead(attempt, target):
        unknown = list_unknown(attempt, members)
        return RequestStatus(servers=unknown or list_names(members))
    unpaused = list_unpaused(attempt, others)
    if _must_wait_for(attempt, others, unpaused, now):
        return secure(attempt, unpaused)
    if set_floor(attempt, members, target) or attempt.recorded != target:
        return RecordTarget(server=target)
    stale = _list_stale(attempt, members, now)
    if stale and _must_ask_again(attempt, stale, now):
        return Secure(
            paused=tuple(s for s in stale if s not in (target, attempt.replaced)),
            term=choose_pause_term(attempt),
            asked=(target,),
        )
    return Promote(server=target, waived=tuple(dict.fromkeys((*unpaused, *stale))))


def _must_ask_again(attempt: Attempt, stale: tuple[ServerId, ...], now: int) -> bool:
    """Return whether servers whose answers are old are to answer before the order.

    Where the pauses are all that is left, they are. Otherwise only the target is, after
    a while.
    """
    if attempt.target in stale or find_proof(attempt) is BarrierProof.TIME:
        return True
    return _find_waited(attempt, now) < RENEWAL_MS


def secure(
    attempt: Attempt,
    unpaused: tuple[ServerId, ...],
    unasked: tuple[ServerId, ...] = (),
) -> Secure:
    """Pause servers, and ask the target whether it has received the rest.

    The former primary is told again: it may lead again, or have stored a commit
    that it was running when it stepped down. A silent one is only asked, as it may be
    back, and need not be replaced.
    """
    replaced = attempt.replaced
    must_tell = attempt.must_step_down or attempt.final_end is not None
    must_tell |= attempt.ineffective is not None
    status = None if replaced is None else attempt.statuses.get(replaced)
    # A replica names in its answer to that what it still runs.
    must_tell |= status is not None and not status.is_primary
    asked = [attempt.target, *unasked, None if must_tell else replaced]
    # The answer to a STATUS may count itself with the statements that run.
    led = (s for s in unasked if s in attempt.led and s != attempt.target)
    paused = tuple(dict.fromkeys((*unpaused, *led)))
    return Secure(
        paused=paused,
        term=choose_pause_term(attempt),
        asked=tuple(
            dict.fromkeys(s for s in asked if s is not None and s not in paused)
        ),
        former=replaced if must_tell else None,
    )


def list_unpaused(attempt: Attempt, others: tuple[Member, ...]) -> tuple[ServerId, ...]:
    """Return the servers but the target that are not known to be paused."""
    return tuple(
        server
        for server in list_names(others)
        if server != attempt.target
        and not (server in attempt.statuses and is_paused(attempt, server))
    )


def _must_wait_for(
    attempt: Attempt,
    others: tuple[Member, ...],
    unpaused: tuple[ServerId, ...],
    now: int,
) -> bool:
    """Return whether the promotion is to wait for pauses.

    A server that answered in this change is waited for longer than one that did not.
    """
    since = _find_waited(attempt, now)
    waited = [m.server for m in others if m.listed and m.server in unpaused]
    if attempt.heard.intersection(waited):
        return since < CATCH_UP_MS
    return bool(waited) and since < SECURE_MS


def _find_waited(attempt: Attempt, now: int) -> int:
    """Return for how long pauses have been waited for, in milliseconds."""
    # A target that was replaced by another has to be paused as well.
    return now - max(attempt.stepped_down_at, attempt.target_since)


def _list_stale(
    attempt: Attempt, members: tuple[Member, ...], now: int
) -> tuple[ServerId, ...]:
    """Return the followers whose last answer is too old to rely on."""
    return tuple(
        m.server
        for m in list_followers(attempt, members)
        if (m.server != attempt.replaced or m.server == attempt.target)
        and now - attempt.answered_at[m.server] > FRESH_MS
    )
