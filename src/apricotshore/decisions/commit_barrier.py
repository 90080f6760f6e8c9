"""Whether a former primary can acknowledge a commit to any host."""

from collections.abc import Iterable
from enum import Enum

from ..identifiers import ServerId
from .barrier_report import BarrierReport
from .change_attempt import Attempt
from .change_members import Member
from .change_targets import is_paused

# Time for which hosts send nothing to a primary that is about to step down, and to one
# that has.
QUIESCE_MS = 1_500
SEAL_MS = 8_000
# A server drops a connection whose other end is unreachable within this time.
UNCONFIRMED_MS = 3_000
# For this long after that, another server is not promoted in place of a former primary
# that names running statements; then the former primary is.
RUNNING_MS = 500
# A round of a large fleet lasts at most this long, and others do as a rule.
LONGEST_ROUND_MS = 600


class BarrierProof(Enum):
    """What shows that a former primary can acknowledge nothing to any host."""

    HOSTS = "hosts"
    SERVER = "server"
    # A server drops the connections of a host that is gone.
    TIME = "time"
    NONE = "none"


def list_led(attempt: Attempt) -> tuple[ServerId, ...]:
    """List the servers that led in this change, except for its target.

    A holder that took a change over may not know who led: it may be any other.
    """
    former = set(attempt.led)
    if attempt.replaced is not None:
        former.add(attempt.replaced)
    elif not former:
        former.update(attempt.statuses, attempt.absent)
    return tuple(sorted(former - {attempt.target}))


def list_reopened(attempt: Attempt, *, is_settled: bool) -> tuple[ServerId, ...]:
    """List the servers to which hosts are to send again at the end of a change.

    Parameters
    ----------
    attempt
        The change.
    is_settled
        Whether the server whose promotion was requested leads.
    """
    if attempt.requested is not None:
        # An earlier holder may have had hosts stop sending to it.
        may_be_shut = attempt.replaced in (None, attempt.requested)
        may_be_shut |= attempt.inherited is not None or attempt.ineffective is not None
        is_led = is_settled and may_be_shut
        return (attempt.requested,) if is_led else ()
    was_quiesced = attempt.quiesced is not None or attempt.barrier is not None
    is_replaced = attempt.final_end is not None or not was_quiesced
    return () if is_replaced else list_led(attempt)


def is_quiesced(attempt: Attempt, now: int) -> bool:
    """Return whether hosts send nothing to the primary, for a while yet."""
    quiesced = attempt.quiesced
    return quiesced is not None and now - quiesced.at < QUIESCE_MS // 2


def is_confirmed(attempt: Attempt) -> bool:
    """Return whether all hosts confirmed, and no connection is left at a server.

    A server may learn late of a connection that was closed. A host whose first
    confirmation was lost may have closed one.
    """
    barrier, quiesced = attempt.barrier, attempt.quiesced
    if barrier is None or not barrier.is_complete:
        return False
    if quiesced is None or not (quiesced.closed or quiesced.missing):
        return True
    return _runs_nothing_since(attempt, quiesced.at)


def is_sealed(attempt: Attempt, others: tuple[Member, ...], now: int) -> bool:
    """Return whether the servers' logs hold all that was or will be acknowledged.

    Parameters
    ----------
    attempt
        The change, whose primary has stepped down.
    others
        Members of the group except for the former primary.
    now
        Milliseconds since boot.
    """
    barrier = attempt.barrier
    if barrier is None:
        return False
    since = _find_moment(attempt, barrier)
    if find_proof(attempt) is BarrierProof.TIME and (
        now < since or not _are_paused(attempt, others) or names_running(attempt)
    ):
        # A living host may still get an answer, if by a server that receives.
        return False
    return _is_end_known(attempt, since) or not list_unasked(attempt, others)


def find_proof(attempt: Attempt) -> BarrierProof:
    """Return what shows that nothing can be acknowledged to any host any more."""
    if attempt.barrier is None:
        return BarrierProof.NONE
    has_waiting = _is_running(attempt) or _may_have_waiting(attempt)
    if is_confirmed(attempt) and not has_waiting:
        return BarrierProof.HOSTS
    is_former = attempt.target is not None and attempt.target == attempt.replaced
    if (list_led(attempt) or is_former) and _runs_nothing_since(
        attempt, attempt.barrier.at
    ):
        return BarrierProof.SERVER
    return BarrierProof.TIME


def list_unasked(attempt: Attempt, members: Iterable[Member]) -> tuple[ServerId, ...]:
    """List the servers that have not answered a question of after the barrier."""
    if attempt.barrier is None:
        return ()
    since = _find_moment(attempt, attempt.barrier)
    return tuple(
        m.server
        for m in members
        if m.listed and not _is_asked_since(attempt, m.server, since)
    )


def _find_moment(attempt: Attempt, barrier: BarrierReport) -> int:
    """Return since when nothing can be acknowledged to any host."""
    if find_proof(attempt) is not BarrierProof.TIME:
        return barrier.at
    quiesced = attempt.quiesced
    if not barrier.is_complete or quiesced is None or quiesced.unproven_at is None:
        return barrier.at + UNCONFIRMED_MS
    # Only connections that were closed until then may be left.
    return max(quiesced.unproven_at + UNCONFIRMED_MS, barrier.at)


def _are_paused(attempt: Attempt, others: tuple[Member, ...]) -> bool:
    """Return whether all listed servers but the target are paused."""
    return all(
        m.server in attempt.statuses and is_paused(attempt, m.server)
        for m in others
        if m.listed and m.server != attempt.target
    )


def _is_asked_since(attempt: Attempt, server: ServerId, moment: int) -> bool:
    """Return whether a server has answered a question of after a moment."""
    return server in attempt.statuses and attempt.asked_at[server] > moment


def is_running_late(attempt: Attempt, now: int) -> bool:
    """Return whether a former primary names running statements after all waits."""
    barrier = attempt.barrier
    limit_ms = UNCONFIRMED_MS + RUNNING_MS
    is_late = barrier is not None and now - barrier.at >= limit_ms
    return is_late and names_running(attempt)


def _is_running(attempt: Attempt) -> bool:
    """Return whether a former primary may run statements, by what it said last.

    They may be of a host that is not known, or on a connection whose end it hasn't
    noticed yet. One that gives no answer since may run them still.
    """
    led = list_led(attempt)
    known = [attempt.statuses[s] for s in led if s in attempt.statuses]
    silent = attempt.running - attempt.statuses.keys() - attempt.stopped
    return any(status.running != 0 for status in known) or not silent.isdisjoint(led)


def _may_have_waiting(attempt: Attempt) -> bool:
    """Return whether a silent former primary may hold commits that wait for a replica.

    Back before the promotion takes effect, it acknowledges them with any replica whose
    pause has ended, though no connection is left to tell a host. The end that one named
    as it stepped down includes them.
    """
    if attempt.final_end is not None:
        return False
    known = attempt.statuses.keys() | attempt.stopped
    return not known.issuperset(list_led(attempt))


def names_running(attempt: Attempt) -> bool:
    """Return whether a server that is known to have led says that it runs statements.

    The order isn't given for that server then, unless its own had no effect.
    """
    barrier = attempt.barrier
    if barrier is None or attempt.ineffective is not None:
        return False
    former = (attempt.led | {attempt.replaced}) - {attempt.target}
    return any(
        server is not None
        and _is_asked_since(attempt, server, barrier.at)
        and attempt.statuses[server].running != 0
        for server in former
    )


def _runs_nothing_since(attempt: Attempt, moment: int) -> bool:
    """Return whether all former primaries, asked after a moment, run nothing."""
    return all(
        _is_asked_since(attempt, s, moment) and attempt.statuses[s].running == 0
        for s in list_led(attempt)
    )


def _is_end_known(attempt: Attempt, since: int) -> bool:
    """Return whether nothing was stored since the former primaries named their ends.

    Nothing was if the hosts sent them nothing since before the step-down.
    """
    barrier, quiesced = attempt.barrier, attempt.quiesced
    if barrier is None:
        return False
    if all(_is_asked_since(attempt, s, since) for s in list_led(attempt)):
        return True
    if quiesced is None or not is_confirmed(attempt):
        return False
    held_since = quiesced.began_at
    if held_since is None:
        held_since = quiesced.at - LONGEST_ROUND_MS
    is_held = barrier.at - held_since < QUIESCE_MS
    return is_held and not barrier.ended and barrier.hosts <= quiesced.hosts
