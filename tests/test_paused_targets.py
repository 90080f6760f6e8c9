"""Targets that an earlier change left paused, at a primary that holds more."""

import pytest

from apricotshore.decisions import change_attempt, primary_change
from apricotshore.decisions.change_actions import (
    Pause,
    Promote,
    Quiesce,
    Resume,
    Secure,
)
from apricotshore.decisions.change_attempt import Attempt
from apricotshore.decisions.change_members import Member
from apricotshore.decisions.change_targets import CATCH_UP_MS
from apricotshore.groups import LogPosition
from apricotshore.identifiers import Position, Term

from .test_stepped_down_primaries import (
    END,
    MEMBERS,
    S1,
    S2,
    S3,
    STEPPED_DOWN_AT,
    confirm,
    hear,
    make_attempt,
    make_status,
    plan,
)

BEHIND = LogPosition(term=Term(1), position=Position(5))
OVER = STEPPED_DOWN_AT + CATCH_UP_MS + 10


def answer(attempt: Attempt, now: int, paused_term: int, end=BEHIND) -> None:
    """Have the replicas answer; s2, the target, as it is told."""
    status = make_status(paused_term=paused_term, log_position=end)
    change_attempt.update_status(attempt, S2, status, now)
    other = make_status(paused_term=2, log_position=BEHIND)
    change_attempt.update_status(attempt, S3, other, now)


def make_changed(paused_term: int) -> Attempt:
    attempt = make_attempt(confirm(), quiesced=confirm(at=50))
    attempt.ends.clear()
    answer(attempt, STEPPED_DOWN_AT, paused_term)
    attempt.listed = True
    return attempt


def test_paused_target_is_resumed_before_the_primary_steps_down():
    attempt = Attempt(from_term=Term(1), started_at=0, replaced=S1, must_step_down=True)
    hear(attempt, 10, is_primary=True)
    answer(attempt, 10, paused_term=2)
    target = plan(attempt, 10)
    assert target in (Resume(server=S2), Resume(server=S3))
    answer(attempt, 20, paused_term=0, end=END)
    attempt.target = S2
    assert plan(attempt, 20) == Quiesce(server=S1)


def test_target_left_paused_is_ordered_with_what_the_former_primary_holds():
    """The nine commits that waited were received by another server instead."""
    attempt = make_changed(paused_term=1)
    now = STEPPED_DOWN_AT + 20
    assert plan(attempt, now) == Resume(server=S2)
    answer(attempt, now, paused_term=0)
    assert isinstance(plan(attempt, now), Secure)
    answer(attempt, now + 20, paused_term=0, end=END)
    assert plan(attempt, now + 20) == Promote(server=S2)


def test_order_waits_for_the_rest_once_the_target_is_resumed():
    attempt = make_changed(paused_term=1)
    assert plan(attempt, OVER) == Resume(server=S2)
    for now in range(OVER + 20, OVER + CATCH_UP_MS, 50):
        hear(attempt, now)
        answer(attempt, now, paused_term=0)
        assert isinstance(plan(attempt, now), Secure)
    now = OVER + CATCH_UP_MS
    answer(attempt, now, paused_term=0)
    assert plan(attempt, now) == Promote(server=S2)


@pytest.mark.parametrize("leaving", [False, True])
def test_target_that_stays_paused_is_not_ordered_unless_the_primary_leaves(leaving):
    attempt = make_changed(paused_term=1)
    members = (Member(server=S1, leaving=leaving), *MEMBERS[1:])

    def plan_at(now: int, paused_term: int) -> object:
        hear(attempt, now)
        answer(attempt, now, paused_term)
        return primary_change.plan_step(attempt, members, None, now)

    begun_at = STEPPED_DOWN_AT + 20
    for now in range(begun_at, begun_at + CATCH_UP_MS, 50):
        assert plan_at(now, paused_term=1) == Resume(server=S2)
    for _ in range(2):
        # It is paused again where another is to be ordered, and then recorded.
        step = plan_at(begun_at + CATCH_UP_MS, paused_term=2)
        attempt.recorded = attempt.target
    assert step == Promote(server=S2 if leaving else S1)


def test_former_primary_that_gives_no_answer_is_not_waited_for():
    attempt = make_changed(paused_term=1)
    change_attempt.remove_status(attempt, S1, OVER)
    answer(attempt, OVER, paused_term=1)
    step = plan(attempt, OVER)
    assert not isinstance(step, Resume)
    assert isinstance(step, (Pause, Promote))
