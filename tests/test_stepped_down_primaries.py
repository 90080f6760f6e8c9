"""Statements that a primary still runs when it has stepped down."""

import pytest

from apricotshore.decisions import change_attempt, primary_change
from apricotshore.decisions.change_attempt import (
    Attempt,
    Member,
    MemberStatus,
    Promote,
    Secure,
    read_status,
)
from apricotshore.decisions.change_targets import CATCH_UP_MS
from apricotshore.groups import LogPosition, Role
from apricotshore.identifiers import Position, ServerId, Term
from apricotshore.queries import QueryKind, ServerReport

S1, S2, S3 = (ServerId(f"s{n}") for n in (1, 2, 3))
MEMBERS = tuple(Member(server=s) for s in (S1, S2, S3))
STEPPED_DOWN_AT = 100
END = LogPosition(term=Term(1), position=Position(7))


def make_status(paused_term: int = 0, **fields) -> MemberStatus:
    return MemberStatus(
        log_position=END,
        term=Term(1),
        paused_term=Term(paused_term),
        **{"is_primary": False, **fields},
    )


def make_attempt(running: int) -> Attempt:
    """Return a change whose primary has stepped down; s2 is the target."""
    attempt = Attempt(
        from_term=Term(1), started_at=0, replaced=S1, must_step_down=True, recorded=S2
    )
    attempt.target, attempt.pause_term = S2, Term(2)
    leading = make_status(is_primary=True)
    change_attempt.update_status(attempt, S1, leading, STEPPED_DOWN_AT)
    stepped_down = make_status(running=running)
    change_attempt.update_status(attempt, S1, stepped_down, STEPPED_DOWN_AT)
    hear_followers(attempt, STEPPED_DOWN_AT)
    return attempt


def hear_followers(attempt: Attempt, now: int) -> None:
    change_attempt.update_status(attempt, S2, make_status(), now)
    change_attempt.update_status(attempt, S3, make_status(paused_term=2), now)


def plan(attempt: Attempt, now: int) -> object:
    return primary_change.plan_step(attempt, MEMBERS, None, True, now)


def test_order_waits_for_statements_that_a_stepped_down_primary_runs():
    """A commit stored after the order waits until a pause ends, and is lost."""
    attempt = make_attempt(running=2)
    assert isinstance(plan(attempt, STEPPED_DOWN_AT + 20), Secure)
    change_attempt.update_status(attempt, S1, make_status(), STEPPED_DOWN_AT + 30)
    assert plan(attempt, STEPPED_DOWN_AT + 30) == Promote(server=S2)


def test_target_has_to_hold_what_was_stored_after_the_step_down():
    attempt = make_attempt(running=1)
    late = LogPosition(term=Term(1), position=Position(8))
    grown = MemberStatus(
        log_position=late, term=Term(1), paused_term=Term(0), is_primary=False
    )
    change_attempt.update_status(attempt, S1, grown, STEPPED_DOWN_AT + 30)
    assert isinstance(plan(attempt, STEPPED_DOWN_AT + 30), Secure)
    change_attempt.update_status(attempt, S2, grown, STEPPED_DOWN_AT + 40)
    assert plan(attempt, STEPPED_DOWN_AT + 40) == Promote(server=S2)


def test_statement_that_does_not_end_delays_the_order_for_a_moment_only():
    attempt = make_attempt(running=1)
    now = STEPPED_DOWN_AT + CATCH_UP_MS
    change_attempt.update_status(attempt, S1, make_status(running=1), now)
    hear_followers(attempt, now)
    assert plan(attempt, now) == Promote(server=S2)


@pytest.mark.parametrize(
    "kind, running", [(QueryKind.STATUS, 1), (QueryKind.STEP_DOWN, 2)]
)
def test_status_does_not_count_itself_as_running(kind, running):
    report = ServerReport(
        role=Role.REPLICA, term=Term(1), received=END, paused_term=Term(0), busy=2
    )
    assert read_status(report, kind).running == running
