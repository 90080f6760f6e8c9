"""Statements that hosts have in progress at a primary which has stepped down."""

import pytest

from apricotshore.decisions import change_attempt, primary_change
from apricotshore.decisions.change_actions import (
    Promote,
    Quiesce,
    RecordTarget,
    RequestStatus,
    Seal,
    Secure,
    StepDown,
)
from apricotshore.decisions.change_attempt import Attempt, BarrierReport
from apricotshore.decisions.change_members import Member, MemberStatus, read_status
from apricotshore.decisions.change_targets import CATCH_UP_MS
from apricotshore.decisions.commit_barrier import QUIESCE_MS, RUNNING_MS, UNCONFIRMED_MS
from apricotshore.decisions.primary_change import STEP_DOWN_AFTER_MS
from apricotshore.decisions.promotion_order import SECURE_MS
from apricotshore.groups import LogPosition, Role
from apricotshore.identifiers import HostId, Position, ServerId, Term
from apricotshore.queries import QueryKind, ServerReport

S1, S2, S3 = (ServerId(f"s{n}") for n in (1, 2, 3))
MEMBERS = tuple(Member(server=s) for s in (S1, S2, S3))
HOSTS = frozenset({HostId("a"), HostId("b")})
ABSENT = (HostId("b"),)
STEPPED_DOWN_AT = 100
SEALED_AT = STEPPED_DOWN_AT + 10
END = LogPosition(term=Term(1), position=Position(7))


def make_status(paused_term: int = 0, **fields) -> MemberStatus:
    return MemberStatus(
        **{
            "log_position": END,
            "term": Term(1),
            "paused_term": Term(paused_term),
            "is_primary": False,
            **fields,
        }
    )


def make_attempt(
    barrier: BarrierReport | None,
    quiesced: BarrierReport | None = None,
    running: int = 0,
) -> Attempt:
    """Return a change whose primary has stepped down; s2 is the target."""
    attempt = Attempt(
        from_term=Term(1), started_at=0, replaced=S1, must_step_down=True, recorded=S2
    )
    attempt.target, attempt.pause_term = S2, Term(2)
    leading = make_status(is_primary=True)
    change_attempt.update_status(attempt, S1, leading, STEPPED_DOWN_AT)
    attempt.quiesced = quiesced
    stepped_down = make_status(running=running)
    change_attempt.update_status(attempt, S1, stepped_down, STEPPED_DOWN_AT)
    hear_followers(attempt, STEPPED_DOWN_AT)
    attempt.barrier = barrier
    return attempt


def confirm(**fields) -> BarrierReport:
    return BarrierReport(**{"at": SEALED_AT, "hosts": HOSTS, **fields})


def hear_followers(attempt: Attempt, now: int) -> None:
    change_attempt.update_status(attempt, S2, make_status(), now)
    change_attempt.update_status(attempt, S3, make_status(paused_term=2), now)


def hear(attempt: Attempt, now: int, **fields) -> None:
    change_attempt.update_status(attempt, S1, make_status(**fields), now)


def plan(attempt: Attempt, now: int) -> object:
    return primary_change.plan_step(attempt, MEMBERS, None, now)


def test_hosts_stop_sending_before_the_primary_steps_down():
    attempt = Attempt(from_term=Term(1), started_at=0, replaced=S1, must_step_down=True)
    hear(attempt, 10, is_primary=True)
    hear_followers(attempt, 10)
    assert plan(attempt, 10) == Quiesce(server=S1)
    attempt.quiesced = confirm(at=20)
    assert isinstance(plan(attempt, 20), StepDown)
    assert attempt.recorded is None


def test_target_is_recorded_right_before_the_order():
    attempt = make_attempt(confirm(), quiesced=confirm(at=50))
    attempt.recorded = None
    assert plan(attempt, SEALED_AT) == RecordTarget(server=S2)
    attempt.recorded = S2
    assert plan(attempt, SEALED_AT) == Promote(server=S2)


@pytest.mark.parametrize("waited_ms", [0, 300, 3_000])
def test_no_order_before_the_hosts_were_asked(waited_ms):
    attempt = make_attempt(barrier=None)
    now = STEPPED_DOWN_AT + waited_ms
    hear_followers(attempt, now)
    assert isinstance(plan(attempt, now), Seal)


def test_order_follows_at_once_where_hosts_had_nothing_in_progress():
    attempt = make_attempt(confirm(), quiesced=confirm(at=50))
    assert plan(attempt, SEALED_AT) == Promote(server=S2)


@pytest.mark.parametrize(
    ("was_heard", "limit_ms"), [(True, CATCH_UP_MS), (False, SECURE_MS)]
)
def test_confirmations_do_not_replace_a_pause(was_heard, limit_ms):
    attempt = make_attempt(confirm(), quiesced=confirm(at=50))
    change_attempt.remove_status(attempt, S3, STEPPED_DOWN_AT)
    if not was_heard:
        attempt.heard.remove(S3)
    for waited_ms in (10, limit_ms - 1):
        step = plan(attempt, STEPPED_DOWN_AT + waited_ms)
        assert isinstance(step, Secure)
        assert step.paused == (S3,)
    now = STEPPED_DOWN_AT + limit_ms
    change_attempt.update_status(attempt, S2, make_status(), now)
    assert plan(attempt, now) == Promote(server=S2, waived=(S3,))


@pytest.mark.parametrize(
    "quiesced, barrier",
    [
        (None, confirm()),
        (confirm(at=50), confirm(ended=1)),
        (confirm(at=50), confirm(hosts=HOSTS | {HostId("started")})),
        (confirm(at=SEALED_AT - QUIESCE_MS), confirm()),
    ],
    ids=["not-quiesced", "statement-ended", "host-started", "hold-is-over"],
)
def test_end_is_asked_again_where_a_host_may_have_had_an_answer_since(
    quiesced, barrier
):
    """What the former primary acknowledged after its step-down is on the target."""
    attempt = make_attempt(barrier, quiesced)
    assert isinstance(plan(attempt, SEALED_AT), Secure)
    later = LogPosition(term=Term(1), position=Position(8))
    hear(attempt, SEALED_AT + 5, log_position=later)
    assert isinstance(plan(attempt, SEALED_AT + 5), Secure)
    change_attempt.update_status(
        attempt, S2, make_status(log_position=later), SEALED_AT + 10
    )
    assert plan(attempt, SEALED_AT + 10) == Promote(server=S2)


@pytest.mark.parametrize(
    "barrier",
    [
        confirm(missing=ABSENT),
        confirm(closed=1),
        confirm(is_listed=False),
        confirm(),
    ],
    ids=[
        "host-is-absent",
        "connection-was-closed",
        "hosts-unknown",
        "host-not-listed",
    ],
)
def test_order_waits_until_the_former_primary_runs_nothing(barrier):
    """It may still acknowledge to a host that confirmed nothing."""
    attempt = make_attempt(barrier, running=2)
    for waited_ms in (5, 300, 1_000, UNCONFIRMED_MS - 5):
        now = SEALED_AT + waited_ms
        hear(attempt, now, running=1)
        hear_followers(attempt, now)
        assert isinstance(plan(attempt, now), Secure)
    hear(attempt, now, running=0)
    assert plan(attempt, now) == Promote(server=S2)


def test_full_primary_is_freed_of_statements_before_it_is_told_to_step_down():
    """Commits that wait for a replica leave it no room for a command."""
    attempt = Attempt(from_term=Term(1), started_at=0, replaced=S1, must_step_down=True)
    hear_followers(attempt, 10)
    change_attempt.observe_refusal(attempt, S1)
    assert plan(attempt, 10) == Quiesce(server=S1)


def test_step_down_follows_the_answer_of_a_primary_that_was_full():
    """Without it the change would end once the primary had stepped down."""
    attempt = Attempt(from_term=Term(1), started_at=0, replaced=S1, must_step_down=True)
    now = STEP_DOWN_AFTER_MS
    hear_followers(attempt, now)
    attempt.recorded = S3
    attempt.quiesced = confirm(at=now)
    assert plan(attempt, now) == RequestStatus(servers=(S1,))
    hear(attempt, now + 5, is_primary=True)
    assert isinstance(plan(attempt, now + 5), StepDown)


def test_hosts_are_asked_again_where_their_hold_is_about_to_end():
    attempt = Attempt(from_term=Term(1), started_at=0, replaced=S1, must_step_down=True)
    hear(attempt, 10, is_primary=True)
    hear_followers(attempt, 10)
    attempt.recorded = S3
    attempt.quiesced = confirm(at=10)
    assert plan(attempt, 10 + QUIESCE_MS // 2) == Quiesce(server=S1)


def test_closed_connection_is_forgotten_once_the_primary_runs_nothing():
    """It has no slot for a command after that, as it is full of reads."""
    attempt = make_attempt(confirm(), quiesced=confirm(at=50, closed=2))
    assert plan(attempt, SEALED_AT) == Promote(server=S2)


def test_others_are_asked_where_the_former_primary_refuses_commands():
    attempt = make_attempt(confirm(missing=ABSENT), running=2)
    now = SEALED_AT + UNCONFIRMED_MS
    change_attempt.observe_refusal(attempt, S1)
    step = plan(attempt, now)
    assert isinstance(step, Secure)
    assert set(step.asked) == {S2, S3}
    hear_followers(attempt, now + 5)
    assert plan(attempt, now + 5) == Promote(server=S2)


def test_answer_to_a_question_before_the_barrier_shows_nothing():
    attempt = make_attempt(confirm(missing=ABSENT))
    status = make_status(running=0)
    now = SEALED_AT + 5
    change_attempt.update_status(attempt, S1, status, now, asked_at=SEALED_AT)
    assert isinstance(plan(attempt, now), Secure)


def test_connections_of_an_absent_host_are_dropped_after_a_while():
    """An answer of before that, or a server that isn't paused, leaves the end open."""
    attempt = make_attempt(confirm(missing=ABSENT))
    now = SEALED_AT + UNCONFIRMED_MS
    hear(attempt, now, running=1)
    hear_followers(attempt, now)
    assert isinstance(plan(attempt, now), Secure)
    now += 1
    hear(attempt, now, running=1)
    change_attempt.update_status(attempt, S3, make_status(), now)
    assert isinstance(plan(attempt, now), Secure)
    hear_followers(attempt, now)
    assert isinstance(plan(attempt, now), Secure)
    change_attempt.remove_status(attempt, S1, now)
    assert plan(attempt, now) == Promote(server=S2)


def test_former_primary_that_names_running_statements_is_promoted_again():
    """It holds all that it may still acknowledge; the others are paused before."""
    attempt = make_attempt(confirm(missing=ABSENT))
    late_at = SEALED_AT + UNCONFIRMED_MS + RUNNING_MS
    for now in (SEALED_AT + UNCONFIRMED_MS + 1, late_at - 1):
        hear(attempt, now, running=1)
        hear_followers(attempt, now)
        assert isinstance(plan(attempt, now), Secure)
    hear(attempt, late_at, running=1)
    step = plan(attempt, late_at)
    assert isinstance(step, Secure)
    assert S2 in step.paused
    paused = make_status(paused_term=2)
    change_attempt.update_status(attempt, S2, paused, late_at)
    assert plan(attempt, late_at) == RecordTarget(server=S1)
    attempt.recorded = S1
    assert plan(attempt, late_at) == Promote(server=S1)


def test_all_others_are_asked_where_the_former_primary_answers_no_more():
    """Whatever it acknowledged last is on one of them."""
    attempt = make_attempt(confirm(ended=1))
    change_attempt.update_status(attempt, S2, make_status(), SEALED_AT + 5)
    assert isinstance(plan(attempt, SEALED_AT + 5), Secure)
    hear_followers(attempt, SEALED_AT + 10)
    assert plan(attempt, SEALED_AT + 10) == Promote(server=S2)


def test_round_of_before_the_step_down_does_not_count():
    """A host that started in between is asked as well."""
    attempt = Attempt(from_term=Term(1), started_at=0, replaced=S1, recorded=S2)
    attempt.barrier = confirm(at=50)
    hear(attempt, 60, is_primary=True)
    hear(attempt, STEPPED_DOWN_AT)
    hear_followers(attempt, STEPPED_DOWN_AT)
    assert isinstance(plan(attempt, STEPPED_DOWN_AT), Seal)


def test_server_that_leads_again_needs_another_barrier():
    attempt = make_attempt(confirm(), quiesced=confirm(at=50))
    hear(attempt, SEALED_AT + 5, is_primary=True)
    assert attempt.barrier is None
    assert attempt.quiesced is None


@pytest.mark.parametrize(
    "kind, busy, running",
    [
        (QueryKind.STATUS, 2, None),
        (QueryKind.STATUS, 1, None),
        (QueryKind.STATUS, 0, 0),
        (QueryKind.STEP_DOWN, 2, 2),
    ],
)
def test_status_that_may_count_itself_does_not_show_what_runs(kind, busy, running):
    report = ServerReport(
        role=Role.REPLICA, term=Term(1), received=END, paused_term=Term(0), busy=busy
    )
    assert read_status(report, kind).running == running
