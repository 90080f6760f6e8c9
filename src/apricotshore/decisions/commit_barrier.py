"""Whether a former primary can acknowledge a commit to any host."""

from ..identifiers import ServerId
from .change_attempt import Attempt, Member
from .change_targets import is_paused

# Time for which hosts send nothing to a primary that is about to step down, and to one
# that has.
QUIESCE_MS = 1_500
SEAL_MS = 8_000
# A server drops a connection whose other end is unreachable within this time.
UNCONFIRMED_MS = 3_000
# A round of confirmations lasts at most this long after the first of them.
LONGEST_ROUND_MS = 600


def list_led(attempt: Attempt) -> tuple[ServerId, ...]:
    """List the servers that led in this change, except for its target."""
    former = {attempt.replaced} - {None} | attempt.led
    return tuple(sorted(s for s in former if s is not None and s != attempt.target))


def is_confirmed(attempt: Attempt) -> bool:
    """Return whether all hosts confirmed, and closed no connection for it.

    A server may learn late of a connection that was closed. A host whose first
    confirmation was lost may have closed one.
    """
    barrier, quiesced = attempt.barrier, attempt.quiesced
    if barrier is None or not barrier.is_complete:
        return False
    return quiesced is None or not (quiesced.closed or quiesced.missing)


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
    since = barrier.at
    if not (is_confirmed(attempt) or _runs_nothing(attempt)):
        # A host that is alive may still get an answer, but only by a paused server.
        since += UNCONFIRMED_MS
        if now < since or not _are_paused(attempt, others):
            return False
    if _is_end_known(attempt, since):
        return True
    return all(_is_asked_since(attempt, m.server, since) for m in others if m.listed)


def _are_paused(attempt: Attempt, others: tuple[Member, ...]) -> bool:
    """Return whether all listed servers but the target are paused."""
    return all(
        m.server in attempt.statuses and is_paused(attempt, m.server)
        for m in others
        if m.listed and m.server != attempt.target
    )


def _is_asked_since(attempt: Attempt, server: ServerId, since: int) -> bool:
    """Return whether a server has answered a question of after a moment."""
    is_known = server in attempt.statuses
    return is_known and attempt.asked_at[server] > since


def _runs_nothing(attempt: Attempt) -> bool:
    """Return whether all former primaries say that they run no statement any more."""
    assert attempt.barrier is not None
    since = attempt.barrier.at
    return all(
        _is_asked_since(attempt, s, since) and attempt.statuses[s].running == 0
        for s in list_led(attempt)
    )


def _is_end_known(attempt: Attempt, since: int) -> bool:
    """Return whether nothing was stored since the former primaries named their ends.

    Nothing was if the hosts sent them nothing since before the step-down.
    """
    if all(_is_asked_since(attempt, s, since) for s in list_led(attempt)):
        return True
    barrier, quiesced = attempt.barrier, attempt.quiesced
    if barrier is None or quiesced is None or not is_confirmed(attempt):
        return False
    is_held = barrier.at - quiesced.at < QUIESCE_MS - LONGEST_ROUND_MS
    return is_held and not barrier.ended and barrier.hosts <= quiesced.hosts
