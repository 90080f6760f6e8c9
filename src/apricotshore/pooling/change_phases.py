"""Phases of a change of primary in the journal, and the promotions that they tell."""

from dataclasses import replace

from ..decisions import known_ends, log_floor, needed_end
from ..decisions.change_attempt import Attempt
from ..decisions.commit_barrier import BarrierProof
from ..decisions.log_floor import LogFloor
from ..decisions.position_history import PositionSample
from ..groups import LogPosition
from ..identifiers import FencingToken, ServerId
from ..services.clock import read_boot_ms
from . import group_members, promotion_summary
from .group import Group
from .journal import EventKind
from .promotion_line import record_promotion
from .promotion_summary import Promotion


def record_phase(group: Group, phase: str, **details: object) -> None:
    """Record a phase of a change of primary in the journal, and count changes."""
    group.changes.observe(phase, details)
    group.journal.record(
        EventKind.PRIMARY_CHANGE, group=group.group, phase=phase, **details
    )
    ended = promotion_summary.observe_phase(
        group.promotions, group.group, phase, details, read_boot_ms()
    )
    if ended is not None:
        record_promotion(group.journal, ended)


def record_order(
    group: Group, attempt: Attempt, server: ServerId, proof: BarrierProof
) -> None:
    """Have the order of a server's promotion remembered for its summary.

    A target whose log lacks entries of an end that is known is recorded at once, and
    counted, whoever planned the order.
    """
    members = group_members.list_members(group)
    for stated, status in attempt.statuses.items():
        known_ends.observe_end(group.known_ends, stated, status.log_position)
    ordered = promotion_summary.describe_order(
        group=group.group,
        attempt=attempt,
        members=(*group.servers, *group.unlisted),
        target=server,
        proof=proof,
        reason=group.changes.reason or "",
        now=read_boot_ms(),
        short=max(
            needed_end.find_shortfall(attempt, members, server),
            known_ends.find_shortfall(group.known_ends, attempt, members, server),
        ),
    )
    former = group.promotions.under_way
    ended = promotion_summary.begin(group.promotions, ordered)
    _record_shortfall(group, former)
    if ended is not None:
        record_promotion(group.journal, ended)


def record_fence(
    group: Group, floor: LogFloor, server: ServerId, token: FencingToken
) -> None:
    """Record the order of a server that leads, and what its log lacks of the floor."""
    former = group.promotions.under_way
    record_phase(group, "fencing", server=server, token=token)
    fence, sample = group.promotions.under_way, _find_sample(group)
    if fence is None or sample is None:
        return
    short = log_floor.count_missing(
        (sample.term, sample.position), log_floor.find_floor_end(floor)
    )
    group.promotions.under_way = replace(fence, short=max(fence.short, short))
    _record_shortfall(group, former)


def _find_sample(group: Group) -> PositionSample | None:
    """Return the latest position of the server that leads, None without one."""
    samples = group.position_history.samples
    is_of_leader = samples and samples[-1].asked_at >= group.primary_state.found_at
    return samples[-1] if is_of_leader else None


def _record_shortfall(group: Group, former: Promotion | None) -> None:
    """Record the shortfall of a promotion, at the first order that has one."""
    ordered = group.promotions.under_way
    if ordered is None:
        return
    is_same = former is not None and former.target.server == ordered.target.server
    known = former.short if former is not None and is_same else 0
    if ordered.short and not known:
        record_promotion(group.journal, ordered)
        group.changes.short_promotions += 1


def end_promotion(group: Group, outcome: str) -> None:
    """Record the promotion of a change that ended before its last phase."""
    ended = promotion_summary.end(group.promotions, outcome)
    if ended is not None:
        record_promotion(group.journal, ended)


def format_position(log_position: LogPosition) -> str:
    """Return a log position as ``TERM.NUMBER``."""
    return f"{log_position.term}.{log_position.position}"


def record_settled(group: Group, mark: str, requested_at: int) -> None:
    """Record where a promoted server's log stood when it was first seen to lead.

    Parameters
    ----------
    group
        The group, whose primary is the promoted server.
    mark
        Log position that the server had when it was ordered.
    requested_at
        When it was ordered, in milliseconds since boot.
    """
    state = group.primary_state
    # A former primary may have been sampled after the order, too.
    since = max(requested_at, state.found_at)
    samples = group.position_history.samples
    first = next((sample for sample in samples if sample.asked_at >= since), None)
    seen_at = first.asked_at if first is not None else read_boot_ms()
    record_phase(
        group,
        "settled",
        server=state.primary,
        term=state.term,
        mark=mark,
        received=f"{first.term}.{first.position}" if first is not None else None,
        after_ms=seen_at - requested_at,
    )
