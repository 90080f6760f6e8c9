"""Silent primaries that answer again: how long they have to."""

import pytest

from apricotshore.decisions import change_attempt, primary_return
from apricotshore.decisions.change_actions import Abandon, Secure
from apricotshore.decisions.change_attempt import Attempt, BarrierReport
from apricotshore.decisions.change_members import Member, MemberStatus
from apricotshore.decisions.primary_change import plan_step
from apricotshore.decisions.primary_return import QUESTION_MS, STAY_MS
from apricotshore.groups import LogPosition
from apricotshore.identifiers import Position, ServerId, Term

S1, S2, S3 = (ServerId(f"s{n}") for n in (1, 2, 3))
MEMBERS = tuple(Member(server=s) for s in (S1, S2, S3))
SEALED_AT = 10_000
BACK_AT = SEALED_AT + 1_000


def answer(attempt: Attempt, server: ServerId, now: int, *, leads: bool) -> None:
    paused_term = Term(0 if leads else 2)
    status = MemberStatus(
        log_position=LogPosition(term=Term(1), position=Position(4)),
        term=Term(1),
        paused_term=paused_term,
        is_primary=leads,
    )
    change_attempt.update_status(attempt, server, status, now)


def make_attempt(**details) -> Attempt:
    """Return a change that waits, all but the silent primary and the target paused."""
    attempt = Attempt(
        from_term=Term(1),
        started_at=SEALED_AT - 500,
        replaced=S1,
        is_silent=True,
        pause_term=Term(2),
        target=S3,
        **details,
    )
    attempt.asked_others = attempt.listed = True
    for server in (S2, S3):
        answer(attempt, server, SEALED_AT, leads=False)
    attempt.barrier = BarrierReport(at=SEALED_AT)
    return attempt


def plan(attempt: Attempt, now: int) -> object:
    return plan_step(attempt, MEMBERS, None, now)


def test_answer_that_does_not_hold_ends_no_change():
    attempt = make_attempt()
    answer(attempt, S1, BACK_AT, leads=True)
    step = plan(attempt, BACK_AT + 1)
    assert isinstance(step, Secure)
    assert S1 in step.asked and step.former is None
    answer(attempt, S1, BACK_AT + STAY_MS - 1, leads=True)
    assert isinstance(plan(attempt, BACK_AT + STAY_MS), Secure)
    assert not attempt.returns_often


def test_primary_that_goes_on_answering_stays():
    attempt = make_attempt()
    answer(attempt, S1, BACK_AT, leads=True)
    plan(attempt, BACK_AT + 1)
    answer(attempt, S1, BACK_AT + STAY_MS, leads=True)
    assert plan(attempt, BACK_AT + STAY_MS + 1) == Abandon(leader=S1)


def test_primary_that_is_silent_again_is_replaced_although_it_answers_later():
    attempt = make_attempt()
    answer(attempt, S1, BACK_AT, leads=True)
    plan(attempt, BACK_AT + 1)
    change_attempt.remove_status(attempt, S1, BACK_AT + 200)
    plan(attempt, BACK_AT + 201)
    assert attempt.returns_often and attempt.must_step_down
    answer(attempt, S1, BACK_AT + 400, leads=True)
    assert not isinstance(plan(attempt, BACK_AT + 401), Abandon)


def test_question_of_before_the_return_does_not_show_that_the_primary_left():
    """It expires after the group has heard of the primary."""
    attempt = make_attempt()
    primary_return.observe_return(attempt, BACK_AT)
    change_attempt.remove_status(attempt, S1, BACK_AT + QUESTION_MS - 1)
    assert isinstance(plan(attempt, BACK_AT + QUESTION_MS), Secure)
    assert not attempt.returns_often
    plan(attempt, BACK_AT + STAY_MS + QUESTION_MS)
    assert attempt.returns_often


def test_full_primary_that_refuses_commands_stays():
    attempt = make_attempt()
    primary_return.observe_return(attempt, BACK_AT)
    change_attempt.remove_status(attempt, S1, BACK_AT + 1)
    change_attempt.observe_refusal(attempt, S1)
    assert isinstance(plan(attempt, BACK_AT + STAY_MS - 1), Secure)
    assert plan(attempt, BACK_AT + STAY_MS) == Abandon(leader=S1)


def test_primary_that_is_back_as_a_replica_is_not_waited_for():
    attempt = make_attempt()
    primary_return.observe_return(attempt, BACK_AT)
    answer(attempt, S1, BACK_AT + 1, leads=False)
    plan(attempt, BACK_AT + 2)
    assert attempt.returned_at is None
    assert not attempt.returns_often


@pytest.mark.parametrize("has_barrier", [False, True])
def test_primary_back_before_the_wait_has_begun_stays_at_once(has_barrier):
    """Nothing is lost to the next change then."""
    attempt = make_attempt()
    if not has_barrier:
        attempt.barrier = None
    answer(attempt, S1, BACK_AT, leads=True)
    step = plan(attempt, BACK_AT + 1)
    assert isinstance(step, Secure if has_barrier else Abandon)
