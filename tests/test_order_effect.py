"""When an accepted promotion is over, and whose promotion may be requested then."""

import pytest

from apricotshore.decisions import change_attempt, primary_change
from apricotshore.decisions.change_actions import (
    Hold,
    Promote,
    RecordTarget,
    RequestStatus,
    Secure,
    Step,
)
from apricotshore.decisions.change_attempt import Attempt, BarrierReport
from apricotshore.decisions.change_members import Member, MemberStatus
from apricotshore.decisions.lease import PROMOTION_MS
from apricotshore.decisions.order_effect import ANSWER_MS, is_without_effect
from apricotshore.groups import LogPosition
from apricotshore.identifiers import HostId, Position, ServerId, Term

S1, S2, S3 = (ServerId(f"s{n}") for n in (1, 2, 3))
MEMBERS = tuple(Member(server=s) for s in (S1, S2, S3))
NOW = 100_000
SHOWN_FROM = NOW + PROMOTION_MS
HOSTS = frozenset({HostId("h1")})


def status(position: int, *, running: int = 0, **fields) -> MemberStatus:
    return MemberStatus(
        log_position=LogPosition(term=Term(1), position=Position(position)),
        term=Term(1),
        paused_term=fields.get("paused_term", Term(0)),
        is_primary=fields.get("is_primary", False),
        running=running,
    )


def make_ordered(**fields) -> Attempt:
    """Return a change whose order of s1 was accepted just now."""
    return Attempt(
        from_term=Term(1),
        started_at=NOW,
        requested=S1,
        accepted=True,
        accepted_at=NOW,
        pause_term=Term(2),
        **fields,
    )


@pytest.mark.parametrize(
    ("asked_at", "is_primary", "unanswered", "expected"),
    [
        (SHOWN_FROM + 1, False, 0, True),
        # Asked before the last moment at which it may have begun to lead.
        (SHOWN_FROM, False, 0, False),
        (SHOWN_FROM + 1, True, 0, False),
        # Another request may be accepted at any time.
        (SHOWN_FROM + 1, False, 1, False),
        # It gave no answer.
        (None, False, 0, False),
    ],
)
def test_order_is_over_once_its_server_says_that_it_does_not_lead(
    asked_at, is_primary, unanswered, expected
):
    attempt, now = make_ordered(), SHOWN_FROM + 2
    if asked_at is not None:
        known = status(5, is_primary=is_primary)
        change_attempt.update_status(attempt, S1, known, now, asked_at)
    assert is_without_effect(attempt, unanswered, now) is expected


@pytest.mark.parametrize(("after_ms", "expected"), [(-1, False), (0, True)])
def test_order_is_over_where_its_server_gives_no_answer_for_long(after_ms, expected):
    """It is replaced as a silent primary then."""
    attempt = make_ordered()
    now = SHOWN_FROM + ANSWER_MS + after_ms
    change_attempt.remove_status(attempt, S1, now)
    assert is_without_effect(attempt, 0, now) is expected
    assert not is_without_effect(attempt, 1, now)


@pytest.mark.parametrize(("after_ms", "expected"), [(-1, False), (0, True)])
def test_order_is_over_where_its_server_was_asked_too_early_and_not_since(
    after_ms, expected
):
    """A host that stands still asks nobody, and its next change repeats the order."""
    attempt = make_ordered()
    now = SHOWN_FROM + ANSWER_MS + after_ms
    change_attempt.update_status(attempt, S1, status(5), NOW + 1)
    assert is_without_effect(attempt, 0, now) is expected
    assert not is_without_effect(attempt, 1, now)


@pytest.mark.parametrize("has_led", [True, False])
def test_order_is_not_over_while_its_server_is_too_busy_to_answer(has_led):
    """Writes that keep a new primary full show no order without an effect."""
    attempt = make_ordered()
    now = SHOWN_FROM + ANSWER_MS
    if has_led:
        known = status(5, is_primary=True)
        change_attempt.update_status(attempt, S1, known, now - 1)
    change_attempt.remove_status(attempt, S1, now)
    change_attempt.observe_refusal(attempt, S1)
    assert not is_without_effect(attempt, 0, now)


def test_order_that_had_an_effect_is_not_over_when_its_server_falls_silent():
    attempt = make_ordered()
    now = SHOWN_FROM + ANSWER_MS
    change_attempt.update_status(attempt, S1, status(5, is_primary=True), now - 1)
    change_attempt.remove_status(attempt, S1, now)
    assert not is_without_effect(attempt, 0, now)


def test_order_is_not_over_before_accepted_promotions_are():
    attempt, now = make_ordered(), SHOWN_FROM - 1
    change_attempt.update_status(attempt, S1, status(5), now)
    assert not is_without_effect(attempt, 0, now)


@pytest.mark.parametrize(("after_ms", "asked"), [(-1, None), (0, S1)])
def test_ordered_server_is_asked_once_it_should_lead(after_ms, asked):
    step = primary_change.plan_step(
        make_ordered(), MEMBERS, None, SHOWN_FROM + after_ms
    )
    assert isinstance(step, Hold)
    assert step.asked == asked


def plan(
    positions: dict[ServerId, int],
    *,
    missing: tuple[HostId, ...] = (),
    running: int = 0,
) -> Step:
    """Return the next step once all that answer are paused and hosts were asked."""
    attempt = Attempt(
        from_term=Term(1),
        started_at=NOW,
        replaced=S1,
        recorded=S2,
        rejected={S1},
        ineffective=S1,
        pause_term=Term(2),
        target=S2,
        target_since=NOW - 1_000,
        listed=True,
        asked_others=True,
        barrier=BarrierReport(at=NOW - 1, hosts=HOSTS, missing=missing),
    )
    for server, position in positions.items():
        is_former = server == S1
        paused_term = Term(0 if server == S2 else 2)
        known = status(position, running=running * is_former, paused_term=paused_term)
        change_attempt.update_status(attempt, server, known, NOW)
    return primary_change.plan_step(attempt, MEMBERS, None, NOW)


def test_longest_of_the_other_logs_is_promoted_if_all_are_known():
    assert plan({S1: 9, S2: 5, S3: 5}) == Promote(server=S2)


def test_log_of_an_ineffective_server_is_complete_where_another_reaches_it():
    assert plan({S1: 9, S2: 9}) == Promote(server=S2, waived=(S3,))


def test_nobody_is_promoted_while_the_only_other_copy_may_be_missing():
    assert isinstance(plan({S1: 9, S2: 5}), RequestStatus)


def test_shorter_log_than_that_of_another_replica_is_not_promoted():
    assert not isinstance(plan({S1: 9, S2: 5, S3: 6}), Promote)


@pytest.mark.parametrize(
    ("missing", "running", "expected"),
    [
        ((HostId("h2"),), 1, Secure),
        ((), 1, Secure),
        # The server itself says that it runs nothing.
        ((HostId("h2"),), 0, Promote),
        ((), 0, Promote),
    ],
)
def test_order_after_one_without_effect_waits_for_the_commit_barrier(
    missing, running, expected
):
    step = plan({S1: 5, S2: 5, S3: 5}, missing=missing, running=running)
    assert isinstance(step, expected)


def plan_after_step_down(positions: dict[ServerId, int]) -> Step:
    """Return the next step of a change that was to order s1 again, in vain before."""
    attempt = Attempt(
        from_term=Term(1),
        started_at=NOW - 1_000,
        replaced=S1,
        recorded=S1,
        ineffective=S1,
        pause_term=Term(2),
        target=S1,
        target_since=NOW - 1_000,
        stepped_down_at=NOW - 1_000,
        final_end=LogPosition(term=Term(1), position=Position(9)),
        listed=True,
        barrier=BarrierReport(at=NOW - 1, hosts=HOSTS, missing=()),
    )
    for server, position in positions.items():
        known = status(position, paused_term=Term(0 if server == S1 else 2))
        change_attempt.update_status(attempt, server, known, NOW)
    return primary_change.plan_step(attempt, MEMBERS, None, NOW)


def test_server_without_an_effect_is_not_kept_once_another_that_may_lead_answers():
    assert plan_after_step_down({S1: 9, S3: 5}) == Promote(server=S1, waived=(S2,))
    assert plan_after_step_down({S1: 9, S2: 9, S3: 5}) == RecordTarget(server=S2)
