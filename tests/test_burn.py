"""Burn rate of error budgets."""

from apricotshore.decisions import burn
from apricotshore.decisions.burn import BurnKey, BurnRecord
from apricotshore.verdicts import Reason

KEY = BurnKey(caller="c", kind="balance", database="d", data_centre="a")
HOUR = burn.KEPT_MS


def spend(state, good, bad, now_ms, reason=Reason.OVERLOAD):
    for _ in range(good):
        burn.record(state, KEY, None, True, now_ms)
    for _ in range(bad):
        burn.record(state, KEY, reason, True, now_ms)


def compute(state, now_ms):
    return burn.compute_burn(burn.list_buckets(state), {"balance": 99.0}, now_ms)


def test_burn_of_one_spends_the_budget_exactly():
    state = BurnRecord()
    spend(state, 99, 1, HOUR)
    (line,) = compute(state, HOUR)
    assert round(line.long_burn, 6) == 1
    assert round(line.budget_left, 6) == 0


def test_short_window_sees_what_is_recent_only():
    state = BurnRecord()
    spend(state, 0, 50, HOUR)
    spend(state, 100, 0, HOUR + burn.SHORT_WINDOW_MS + burn.BUCKET_MS)
    (line,) = compute(state, HOUR + burn.SHORT_WINDOW_MS + burn.BUCKET_MS)
    assert line.short_burn == 0 and line.long_burn > 30
    assert line.causes == (("overload", 50),)


def test_errors_of_the_request_itself_do_not_count():
    state = BurnRecord()
    spend(state, 10, 5, HOUR, Reason.DATABASE_ERROR)
    assert compute(state, HOUR)[0].bad == 0


def test_late_answer_is_bad():
    state = BurnRecord()
    burn.record(state, KEY, None, False, HOUR)
    assert compute(state, HOUR)[0].causes == (("late", 1),)


def test_old_buckets_and_surplus_flows_are_dropped():
    state = BurnRecord()
    for hour in range(1, 6):
        spend(state, 1, 0, hour * HOUR * 2)
    assert len(burn.list_buckets(state)) == 1
    for number in range(burn.MAX_FLOWS + 9):
        key = BurnKey(caller=f"c{number}", kind="k", database="d", data_centre="a")
        burn.record(state, key, None, True, HOUR)
    assert len(state.flows) == burn.MAX_FLOWS
