"""Whether an accepted promotion may still take effect.

A platform may take a primary that has stepped down for the present one: it accepts its
promotion and changes nothing. The order is over once accepted promotions have taken
effect, if the server still doesn't lead. Requests of before carry a lower fencing token
and are refused from the acceptance on. So the order of another server meets none.
"""

from ..identifiers import ServerId, Term
from . import lease
from .change_attempt import Attempt
from .change_members import MemberStatus
from .commit_barrier import list_led
from .log_floor import LogFloor

# Time for the server to say that it doesn't lead.
ANSWER_MS = 400
# Time to order another server once a refused order is over.
NEXT_ORDER_MS = 100


def find_overdue(attempt: Attempt, now: int) -> ServerId | None:
    """Return the requested server if its accepted promotion should show by now."""
    accepted_at = attempt.accepted_at
    if accepted_at is None or now - accepted_at < lease.PROMOTION_MS:
        return None
    return attempt.requested


def may_be_followed(attempt: Attempt, now: int) -> bool:
    """Return whether the time in which an accepted promotion shows is not over."""
    accepted_at = attempt.accepted_at
    return accepted_at is not None and now - accepted_at < (
        lease.PROMOTION_MS + ANSWER_MS
    )


def is_refusal_followed(attempt: Attempt, limit: int, now: int) -> bool:
    """Return whether a refused order is over before a limit, and another is due then.

    The next change would repeat the order, and wait for as long again.

    Parameters
    ----------
    attempt
        The change.
    limit
        When the change ends in any case, in milliseconds since boot.
    now
        Milliseconds since boot.
    """
    if attempt.refused_at is None:
        return False
    is_in_time = attempt.refused_at + lease.PROMOTION_MS + NEXT_ORDER_MS <= limit
    return is_in_time and now < limit


def make_next_attempt(
    attempt: Attempt, floor: LogFloor, term: Term, now: int
) -> Attempt:
    """Return a change that follows an order without effect.

    Parameters
    ----------
    attempt
        The change whose order had none.
    floor
        Floor of logs in the lease.
    term
        Latest term that this host knows.
    now
        Milliseconds since boot.
    """
    ineffective = attempt.requested
    assert ineffective is not None
    former = attempt.replaced
    return Attempt(
        from_term=max(attempt.from_term, term),
        started_at=now,
        replaced=ineffective if former is None else former,
        led={ineffective, *attempt.led, *list_led(attempt)},
        recorded=ineffective,
        ineffective=ineffective,
        floor=floor,
    )


def is_without_effect(attempt: Attempt, unanswered: int, now: int) -> bool:
    """Return whether no request for the server's promotion can take effect any more.

    Parameters
    ----------
    attempt
        The change.
    unanswered
        Number of requests without an answer, which may be accepted at any time.
    now
        Milliseconds since boot.
    """
    server = find_overdue(attempt, now)
    if server is None or unanswered:
        return False
    assert attempt.accepted_at is not None
    if server in attempt.busy or server in attempt.leaders:
        # It leads as far as is known, or answers and may be full of writes.
        return False
    status = attempt.statuses.get(server)
    shown_from = attempt.accepted_at + lease.PROMOTION_MS
    if status is None or attempt.asked_at[server] <= shown_from:
        # It is replaced as a silent primary, by a change of its own.
        return not (may_be_followed(attempt, now) or _says_it_leads(status))
    return not status.is_primary


def _says_it_leads(status: MemberStatus | None) -> bool:
    return status is not None and status.is_primary
