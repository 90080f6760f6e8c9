"""State and steps of one change of primary."""

from dataclasses import dataclass, field

from ..groups import LogPosition
from ..identifiers import ServerId, Term
from . import barrier_report
from .barrier_report import BarrierReport
from .change_members import MemberStatus, log_order
from .log_floor import NO_FLOOR, End, LogFloor


@dataclass(kw_only=True, slots=True)
class Attempt:
    """One change of primary, run by this host.

    Parameters
    ----------
    from_term
        Term of the primary that is to be replaced.
    replaced
        The primary at the start, None without one.
    must_step_down
        Whether the primary is replaced even if it answers.
    heard
        Servers that answered in this change.
    busy
        Servers that refused their last command.
    answered_at
        When each server last answered.
    ends
        Furthest end of each server's log in this change.
    shrunk
        Servers whose log has ended before that: they lost it.
    floor
        Floor of logs that earlier changes left in the lease.
    knows_members
        Whether this host knows all servers whose logs count.
    new_servers
        Servers whose logs may be empty without a loss: their entries showed to this
        host that they have started anew, or were added since nobody leads.
    holds_commits
        Whether a primary named a position to this host that isn't 0.
    lost_count
        How many logs of unknown length the lost ones stand for.
    lost_end
        End up to which the log of a server that is gone counts, `UNKNOWN_END` where
        that can't be told, None where no server has lost its log.
    sealed_end
        Needed end when this change last set the floor, None before. All hosts had
        confirmed then.
    needed_end
        End that a server's log has to reach to be ordered, None while it isn't known.
    is_silent
        Whether the primary is taken for silent, so that its answer is not waited for.
    returns_often
        Whether it is replaced although it answers again, as it did shortly before.
    returned_at
        Since when it answers again amid the change, None while it doesn't.
    is_cut_off
        Whether its commits reach no replica.
    inherited
        Server whose promotion an earlier holder of the lease may have requested.
    started_at
        When it began, in milliseconds since boot.
    primary_end
        A position that its log had while it was the primary, in this change.
    final_end
        End of its log after it has stepped down, None before.
    stepped_down_at
        When that was known.
    asked_at
        When each server was asked what it last answered.
    led
        Servers that were seen to lead in this change, besides the replaced primary.
    told_at
        When the replaced primary was last told to step down, None before.
    has_lost_lead
        Whether it was found to lead no more after that, as the change was to end.
    led_end
        End of a leader's log once the others were paused for an inherited target.
    absent
        Servers that gave no answer, where nobody is known to have led.
    stopped
        Servers whose process had ended in this change.
    running
        Servers whose last answer named running statements, or left that open.
    quiesced
        What hosts confirmed before the primary was told to step down, None before.
    barrier
        What hosts confirmed since nobody leads, None before.
    unanswered_since
        Since when the primary has answered no command.
    leaders
        Servers that say that they lead and have not stepped down, and since when each
        has answered no command, None while it answers.
    leader_told_at
        When a server other than the replaced primary was last told to step down.
    pause_term
        Term sent with pauses.
    statuses
        Latest status of each member.
    listed
        Whether the store's list was read after the last pause or step-down.
    target
        Server to be promoted.
    target_since
        When the target was chosen.
    resumed
        When each target that showed a pause was first told to receive again.
    recorded
        Target that the lease names.
    rejected
        Servers that the platform refused to promote.
    asked_others
        Whether other hosts were asked to reach a silent primary.
    requested
        Server whose promotion was requested and may still take effect.
    is_ordered
        Whether this host has requested it, and not only an earlier holder.
    refused_at
        When the platform refused to repeat it, None if it did not.
    accepted
        Whether the platform has accepted that request.
    accepted_at
        When its answer came, None before.
    ineffective
        Server whose promotion was accepted just before and took no effect.
    is_requesting
        Whether a request is being made.
    held
        Whether the others were told to hold since it was last requested.
    """

    from_term: Term
    started_at: int
    replaced: ServerId | None = None
    must_step_down: bool = False
    heard: set[ServerId] = field(default_factory=set)
    busy: set[ServerId] = field(default_factory=set)
    answered_at: dict[ServerId, int] = field(default_factory=dict)
    ends: dict[ServerId, tuple[int, int]] = field(default_factory=dict)
    shrunk: set[ServerId] = field(default_factory=set)
    floor: LogFloor = NO_FLOOR
    knows_members: bool = True
    new_servers: frozenset[ServerId] = frozenset()
    holds_commits: bool = False
    lost_count: int = 1
    lost_end: End | None = None
    sealed_end: End | None = None
    needed_end: End | None = None
    is_silent: bool = False
    returns_often: bool = False
    returned_at: int | None = None
    is_cut_off: bool = False
    inherited: ServerId | None = None
    primary_end: LogPosition | None = None
    final_end: LogPosition | None = None
    stepped_down_at: int = 0
    asked_at: dict[ServerId, int] = field(default_factory=dict)
    led: set[ServerId] = field(default_factory=set)
    told_at: int | None = None
    has_lost_lead: bool = False
    led_end: tuple[int, int] | None = None
    absent: set[ServerId] = field(default_factory=set)
    stopped: set[ServerId] = field(default_factory=set)
    running: set[ServerId] = field(default_factory=set)
    quiesced: BarrierReport | None = None
    barrier: BarrierReport | None = None
    unanswered_since: int | None = None
    leaders: dict[ServerId, int | None] = field(default_factory=dict)
    leader_told_at: int | None = None
    pause_term: Term = Term(0)
    statuses: dict[ServerId, MemberStatus] = field(default_factory=dict)
    listed: bool = False
    target: ServerId | None = None
    target_since: int = 0
    resumed: dict[ServerId, int] = field(default_factory=dict)
    recorded: ServerId | None = None
    rejected: set[ServerId] = field(default_factory=set)
    asked_others: bool = False
    requested: ServerId | None = None
    is_ordered: bool = False
    refused_at: int | None = None
    accepted: bool = False
    accepted_at: int | None = None
    ineffective: ServerId | None = None
    is_requesting: bool = False
    held: bool = False


def observe_quiesced(attempt: Attempt, report: BarrierReport) -> None:
    """Record a round before the step-down, with what an earlier one closed."""
    attempt.quiesced = barrier_report.combine(attempt.quiesced, report)


def observe_primary_end(attempt: Attempt, log_position: LogPosition) -> None:
    """Record a position that the replaced primary had while it was the primary."""
    if attempt.primary_end is None:
        attempt.primary_end = log_position


def update_status(
    attempt: Attempt,
    server: ServerId,
    status: MemberStatus,
    now: int,
    asked_at: int | None = None,
) -> None:
    """Store the status of a member, and whether the primary has stepped down.

    Parameters
    ----------
    attempt
        The change.
    server, status
        The member and its answer.
    now
        Milliseconds since boot.
    asked_at
        When it was asked, None if that was now.
    """
    attempt.statuses[server] = status
    attempt.asked_at[server] = now if asked_at is None else asked_at
    attempt.heard.add(server)
    attempt.busy.discard(server)
    attempt.answered_at[server] = now
    if status.running == 0:
        attempt.running.discard(server)
    else:
        attempt.running.add(server)
    _observe_end(attempt, server, log_order(status.log_position))
    was_leader = server in attempt.leaders
    attempt.leaders.pop(server, None)
    if status.is_primary:
        attempt.leaders[server] = None
        attempt.led.add(server)
    if server != attempt.replaced:
        if was_leader and not status.is_primary and attempt.final_end is not None:
            _observe_other_end(attempt, server, status, now)
        return
    attempt.unanswered_since = None
    if status.is_primary:
        observe_primary_end(attempt, status.log_position)
        if attempt.final_end is not None:
            # It crashed after it had stepped down, and leads again in a later term.
            attempt.final_end = attempt.quiesced = None
            _reopen_barrier(attempt)
        if attempt.pause_term and status.term >= attempt.pause_term:
            attempt.pause_term = Term(status.term + 1)
    elif attempt.final_end is not None:
        # A commit that was being run may have been stored since it stepped down.
        attempt.final_end = max(attempt.final_end, status.log_position, key=log_order)
    elif _keeps_log(attempt, status):
        attempt.final_end = status.log_position
        attempt.stepped_down_at = now
        # A host that has started since the last barrier may have sent to it.
        _reopen_barrier(attempt)
        attempt.listed = False
        # What the others held before may have grown until the primary stepped down.
        attempt.statuses = {server: status}


def _reopen_barrier(attempt: Attempt) -> None:
    """Take it that former primaries may have acknowledged more since the barrier."""
    attempt.barrier = attempt.sealed_end = None


def _observe_other_end(
    attempt: Attempt, server: ServerId, status: MemberStatus, now: int
) -> None:
    """Add the log of a server that led beside the replaced primary, until now."""
    assert attempt.final_end is not None
    _reopen_barrier(attempt)
    attempt.final_end = max(attempt.final_end, status.log_position, key=log_order)
    attempt.stepped_down_at = now
    attempt.listed = False
    kept = (server, attempt.replaced)
    attempt.statuses = {s: v for s, v in attempt.statuses.items() if s in kept}


def _observe_end(attempt: Attempt, server: ServerId, end: tuple[int, int]) -> None:
    """Record a server whose log ends before it did, until it has received the rest."""
    furthest = max(end, attempt.ends.get(server, end))
    attempt.ends[server] = furthest
    if end < furthest:
        attempt.shrunk.add(server)
    else:
        attempt.shrunk.discard(server)


def _keeps_log(attempt: Attempt, status: MemberStatus) -> bool:
    """Return whether a server that was the primary still holds what it had then."""
    known = attempt.primary_end
    return known is not None and log_order(status.log_position) >= log_order(known)


def observe_refusal(attempt: Attempt, server: ServerId) -> None:
    """Record that a member answered, but refused a command.

    A primary that is merely overloaded is asked again. One that is cut off may be
    full of commits that wait for a replica, and never accept a command.
    """
    attempt.busy.add(server)
    if server == attempt.replaced and attempt.is_cut_off:
        return
    if server in attempt.leaders:
        attempt.leaders[server] = None
    if server == attempt.replaced:
        attempt.unanswered_since = None


def remove_status(attempt: Attempt, server: ServerId, now: int) -> None:
    """Remove the status of a member that gave no answer."""
    attempt.statuses.pop(server, None)
    attempt.busy.discard(server)
    if attempt.target == server:
        attempt.target = None
    if server in attempt.leaders and attempt.leaders[server] is None:
        attempt.leaders[server] = now
    if server == attempt.replaced and attempt.unanswered_since is None:
        attempt.unanswered_since = now
