"""Failover: suspect the primary, fence a majority, promote, redirect replicas.

Safety depends on terms only: each server grants a term to one coordinator, a
fenced server accepts no log entries of a lower term, and the candidate holds
every write that a majority may hold. Any number of coordinators may compete.
"""

from collections.abc import Mapping
from enum import Enum

from ..groups import LogPosition, Role
from ..identifiers import ServerId, Term
from .failover_messages import (
    Action,
    AskWitnesses,
    Fence,
    FenceAnswer,
    Follow,
    Promote,
    PromoteAnswer,
    ReportStep,
)
from .failover_state import (
    DETECT_MS,
    FIRST_BACKOFF_MS,
    REPAIR_PERIOD_MS,
    Failover,
    Phase,
)
from .routing import GroupView, is_leaving

WITNESSES_NEEDED = 2
STALL_MS = 2_500
FENCE_GRACE_MS = 150
STEP_TIMEOUT_MS = 1_000
MAX_BACKOFF_MS = 3_000
SETTLE_MS = 2_000


class Cause(Enum):
    """Why a primary is replaced."""

    LOST = "lost-by-majority"
    SILENT = "silent-to-witnesses"
    LEAVING = "leaving"
    STALLED = "commits-stalled"
    ABSENT = "no-primary"


def count_lost_contact(view: GroupView, now: int) -> int:
    """Return how many reachable replicas have lost contact with the primary."""
    lost = 0
    for server, seen in view.observations.items():
        if server == view.primary or not seen.reachable:
            continue
        fresh = now - seen.asked_at < DETECT_MS
        if fresh and seen.status.contact_ms >= DETECT_MS:
            lost += 1
    return lost


def _is_unresponsive(view: GroupView, now: int) -> bool:
    if view.primary is None:
        return False
    seen = view.observations.get(view.primary)
    return seen is None or now - seen.asked_at >= DETECT_MS


def _has_candidate(view: GroupView) -> bool:
    return any(
        seen.reachable
        and seen.status.role is Role.REPLICA
        and seen.status.term == view.term
        and not is_leaving(view, server)
        for server, seen in view.observations.items()
    )


def record_commit(state: Failover, durable: bool, sent_at: int, now: int) -> None:
    """Record whether a commit became durable.

    This is the only sign of a primary that answers probes and stays in contact
    with its group, but whose commits do not become durable.

    Parameters
    ----------
    state
        The coordinator; changed in place.
    durable
        Whether a majority stored the commit.
    sent_at
        When its request was sent; failures of requests sent before the last
        durable commit are ignored.
    now
        Monotonic milliseconds.
    """
    if durable:
        state.durable_at = now
        state.stalled_since = None
    elif state.stalled_since is None and sent_at > state.durable_at:
        state.stalled_since = sent_at


def find_cause(state: Failover, view: GroupView, now: int) -> Cause | None:
    """Return why the primary should be replaced, or None."""
    if count_lost_contact(view, now) >= view.majority:
        return Cause.ABSENT if view.primary is None else Cause.LOST
    if view.primary is None:
        return None
    if _is_unresponsive(view, now) and state.silent_hosts >= WITNESSES_NEEDED:
        return Cause.SILENT
    since = state.stalled_since
    if since is not None and now - since >= STALL_MS and _has_candidate(view):
        return Cause.STALLED
    if is_leaving(view, view.primary) and _has_candidate(view):
        return Cause.LEAVING
    return None


def _begin(state: Failover, view: GroupView, cause: Cause, now: int) -> list[Action]:
    known = [seen.status.term for seen in view.observations.values()]
    state.term = Term(max([view.term, state.highest_term, *known]) + 1)
    state.highest_term = state.term
    state.phase = Phase.FENCING
    state.granted = {}
    state.candidate = None
    state.replaced = view.primary or state.replaced
    state.majority_at = None
    state.began_at = now
    text = f"term {state.term}, cause {cause.value}, old primary {view.primary}"
    acts: list[Action] = [ReportStep(step="fence", detail=text)]
    acts.extend(Fence(server=server, term=state.term) for server in view.members)
    return acts


def _abandon(state: Failover, why: str, now: int) -> list[Action]:
    state.phase = Phase.WATCHING
    state.backoff_until = now + state.backoff_ms
    state.backoff_ms = min(state.backoff_ms * 2, MAX_BACKOFF_MS)
    return [ReportStep(step="abandon", detail=f"term {state.term}: {why}")]


def find_durable_bound(
    granted: Mapping[ServerId, LogPosition], members: int, majority: int
) -> tuple[int, int]:
    """Return a position that no acknowledged write can exceed.

    Parameters
    ----------
    granted
        Log ends of the servers that granted the term.
    members, majority
        Size of the group and of its majority.

    Returns
    -------
    tuple of int
        Term and position. A server whose log reaches it holds every write that
        a majority may hold; servers that did not answer are assumed to hold
        every write.
    """
    ends = sorted(((m.term, m.position) for m in granted.values()), reverse=True)
    unknown = members - len(granted)
    return ends[majority - unknown - 1] if unknown < majority else ends[0]


def choose_candidate(state: Failover, view: GroupView) -> ServerId:
    """Return the server to promote among those that granted the term.

    Any server at or above the durable bound is safe. The replaced primary and
    leaving servers are chosen last; among the others the longest log wins.
    """
    bound = find_durable_bound(state.granted, len(view.members), view.majority)

    def rank(server: ServerId) -> tuple[bool, bool, int, int, str]:
        end = state.granted[server]
        fresh = server != state.replaced
        return (
            fresh,
            not is_leaving(view, server),
            end.term,
            end.position,
            server,
        )

    safe = [s for s, m in state.granted.items() if (m.term, m.position) >= bound]
    return max(safe, key=rank)


def _promote(state: Failover, view: GroupView, now: int) -> list[Action]:
    state.candidate = choose_candidate(state, view)
    state.phase = Phase.PROMOTING
    state.began_at = now
    end = state.granted[state.candidate]
    detail = f"{state.candidate} at ({end.term}, {end.position}) for term {state.term}"
    return [
        ReportStep(step="promote", detail=detail),
        Promote(server=state.candidate, term=state.term),
    ]


def _repair_followers(state: Failover, view: GroupView, now: int) -> list[Action]:
    if view.primary is None or now - state.repaired_at < REPAIR_PERIOD_MS:
        return []
    state.repaired_at = now
    acts: list[Action] = []
    for server, seen in view.observations.items():
        not_following = (
            seen.status.role is not Role.REPLICA or seen.status.term < view.term
        )
        out_of_contact = seen.status.contact_ms >= DETECT_MS
        if (
            server != view.primary
            and seen.reachable
            and (not_following or out_of_contact)
        ):
            acts.append(Follow(server=server, primary=view.primary, term=view.term))
    return acts


def _watch(state: Failover, view: GroupView, now: int) -> list[Action]:
    acts: list[Action] = []
    if _is_unresponsive(view, now) and view.primary is not None:
        if now - state.asked_at >= DETECT_MS // 2:
            state.asked_at = now
            acts.append(AskWitnesses(server=view.primary))
    else:
        state.silent_hosts = 0
    cause = find_cause(state, view, now)
    if cause is not None and now >= state.backoff_until:
        return acts + _begin(state, view, cause, now)
    return acts + _repair_followers(state, view, now)


def tick(state: Failover, view: GroupView, now: int) -> list[Action]:
    """Advance the failover to the current time.

    Parameters
    ----------
    state
        The coordinator; changed in place.
    view
        State of the group.
    now
        Monotonic milliseconds.

    Returns
    -------
    list of Action
        Actions for the services to perform.
    """
    if state.phase is Phase.WATCHING:
        return _watch(state, view, now)
    if state.phase is Phase.FENCING:
        if state.majority_at is not None:
            complete = len(state.granted) == len(view.members)
            if complete or now - state.majority_at >= FENCE_GRACE_MS:
                return _promote(state, view, now)
        if now - state.began_at >= STEP_TIMEOUT_MS:
            return _abandon(state, "no majority granted the term", now)
        return []
    if view.primary == state.candidate and view.term == state.term:
        return _finish(state, view, now)
    if now - state.began_at >= STEP_TIMEOUT_MS:
        return _abandon(state, "the candidate did not answer", now)
    return []


def handle_fence_answer(
    state: Failover, view: GroupView, answer: FenceAnswer, now: int
) -> list[Action]:
    """Handle a server's answer to a fence."""
    state.highest_term = max(state.highest_term, answer.term)
    if state.phase is not Phase.FENCING or answer.term != state.term:
        if state.phase is Phase.FENCING and answer.term > state.term:
            return _abandon(state, f"{answer.server} is at term {answer.term}", now)
        return []
    if not answer.granted:
        return _abandon(
            state, f"{answer.server} granted the term to another coordinator", now
        )
    state.granted[answer.server] = answer.end
    if len(state.granted) >= view.majority and state.majority_at is None:
        state.majority_at = now
    return tick(state, view, now)


def handle_promote_answer(
    state: Failover, view: GroupView, answer: PromoteAnswer, now: int
) -> list[Action]:
    """Handle the candidate's answer to its promotion."""
    if state.phase is not Phase.PROMOTING or answer.term != state.term:
        return []
    if not answer.done:
        return _abandon(state, f"{answer.server} refused the promotion", now)
    view.term = answer.term
    view.primary = answer.server
    return _finish(state, view, now)


def _finish(state: Failover, view: GroupView, now: int) -> list[Action]:
    state.phase = Phase.WATCHING
    state.backoff_until = now + SETTLE_MS
    state.stalled_since = None
    state.backoff_ms = FIRST_BACKOFF_MS
    state.silent_hosts = 0
    acts: list[Action] = [
        ReportStep(step="promoted", detail=f"{view.primary} at term {view.term}")
    ]
    if view.primary is not None:
        acts.extend(
            Follow(server=server, primary=view.primary, term=view.term)
            for server in view.members
            if server != view.primary
        )
    return acts
