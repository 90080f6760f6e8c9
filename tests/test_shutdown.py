"""When sessions are closed during a shutdown."""

from apricotshore.shutdown import (
    BALANCER_DELAY_MS,
    QUIET_MS,
    Drain,
    IdleSession,
    should_abort_transactions,
    should_close,
    should_exit,
)

BEGAN = 10_000
DRAIN = Drain(grace_ms=6_000, began_at=BEGAN)


def make_session(**changes) -> IdleSession:
    given = {
        "in_transaction": False,
        "opened_at": 0,
        "operations": 5,
        "ended_operation": False,
        "quiet_since": 0,
    }
    return IdleSession(**(given | changes))


def test_nothing_is_closed_before_the_signal():
    assert not should_close(
        Drain(grace_ms=6_000), make_session(ended_operation=True), BEGAN
    )


def test_idle_session_is_closed_at_once():
    assert should_close(DRAIN, make_session(), BEGAN)


def test_session_just_prepared_is_kept_for_its_statement():
    """The caller has already sent the next statement when the session is idle.

    Closing such sessions aborted 101 requests in one run (lupvime-pool scale-2).
    """
    now = BEGAN + 500
    prepared = make_session(opened_at=now - 20, operations=0, quiet_since=now - 1)
    assert not should_close(DRAIN, prepared, now)
    old = make_session(quiet_since=now - QUIET_MS + 1)
    assert not should_close(DRAIN, old, now)


def test_new_session_is_closed_after_its_first_operation():
    now = BEGAN + 500
    fresh = make_session(opened_at=now, operations=0, quiet_since=now)
    assert not should_close(DRAIN, fresh, now)
    done = make_session(
        opened_at=now, operations=1, ended_operation=True, quiet_since=now
    )
    assert should_close(DRAIN, done, now)


def test_new_session_without_an_operation_is_closed_after_the_balancer_delay():
    fresh = make_session(opened_at=BEGAN + 1, operations=0, quiet_since=BEGAN + 1)
    assert not should_close(DRAIN, fresh, BEGAN + BALANCER_DELAY_MS - 1)
    assert should_close(DRAIN, fresh, BEGAN + BALANCER_DELAY_MS)


def test_open_transaction_has_half_of_the_grace_period():
    open_one = make_session(in_transaction=True)
    assert not should_close(DRAIN, open_one, BEGAN + 5_000)
    assert not should_abort_transactions(DRAIN, BEGAN + 2_999)
    assert should_abort_transactions(DRAIN, BEGAN + 3_000)


def test_process_exits_without_sessions_or_shortly_before_the_kill():
    assert not should_exit(DRAIN, 0, BEGAN + BALANCER_DELAY_MS - 1)
    assert should_exit(DRAIN, 0, BEGAN + BALANCER_DELAY_MS)
    assert not should_exit(DRAIN, 3, BEGAN + BALANCER_DELAY_MS)
    assert should_exit(DRAIN, 3, BEGAN + 5_400)
