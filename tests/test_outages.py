"""Rejections during an outage: the decision, and what callers get of it in a model."""

from dataclasses import replace

import pytest

from apricotshore import outages
from apricotshore.outages import Cause, OutageHistory, Reject, Timing, Wait
from apricotshore.outages.refusals import LONGEST_RETRY_MS

from .outagemodel import play

TIMING = Timing(arrived_at=0, expires_at=192, objective_at=800, deadline_at=1_500)


def begin(cause: Cause, *lasted_ms: int) -> OutageHistory:
    history = OutageHistory()
    for lasted in lasted_ms:
        outages.observe(history, cause, 0, 0)
        outages.observe(history, None, 0, lasted)
    outages.observe(history, cause, 0, 0)
    return history


def test_expected_end_is_learnt_and_grows_once_it_is_exceeded():
    """An outage that outlasts all others was announced as over each 50 ms."""
    history = begin(Cause.REPLACED, *[300] * 12)
    outage = history.current
    left = outages.list_left_ms(history, outage, 100)
    assert left[len(left) // 2] == 200
    assert outages.list_left_ms(history, outage, 3_000) == (3_000,)
    assert outages.list_left_ms(history, outage, 5_000) == (5_000,)


def test_cause_that_changes_amid_an_outage_keeps_its_beginning():
    history = begin(Cause.SILENT)
    outage = outages.observe(history, Cause.REPLACED, 900, 900)
    assert (outage.since, outage.first_cause) == (0, Cause.SILENT)
    outages.observe(history, None, 0, 2_000)
    assert list(history.ended_ms[Cause.SILENT]) == [2_000]


@pytest.mark.parametrize("cause", [Cause.REPLACED, Cause.SILENT, Cause.UNKNOWN])
def test_no_statement_is_rejected_sooner_than_without_the_decision(cause):
    """A rejection costs one of two retries, and the outage may end at any time."""
    for timing in (TIMING, replace(TIMING, objective_at=200, deadline_at=200)):
        for now in range(0, timing.expires_at, 8):
            assert isinstance(outages.decide(begin(cause), timing, "r", now), Wait)


def test_statement_waits_longer_where_its_objective_holds_the_expected_end():
    history = begin(Cause.REPLACED, *[700] * 6)
    assert outages.decide(history, TIMING, "r", 10) == Wait(until=740)
    history = begin(Cause.SILENT)
    assert outages.decide(history, TIMING, "r", 10) == Wait(until=560)
    assert isinstance(outages.decide(history, TIMING, "r", 560), Reject)


def test_statement_is_rejected_at_once_while_a_log_is_awaited():
    assert isinstance(outages.decide(begin(Cause.LOGS), TIMING, "r", 0), Reject)


@pytest.mark.parametrize("now", [600, 3_000, 9_000])
def test_hints_are_spread_past_the_expected_end_and_repeat(now):
    """Callers that were all told the same came back together, to a full server."""
    history = begin(Cause.SILENT)
    hints = [outages.advise_retry_ms(history, f"r{i}", now) for i in range(400)]
    assert hints == [outages.advise_retry_ms(history, f"r{i}", now) for i in range(400)]
    expected = min(2_000 - now if now < 2_000 else now, LONGEST_RETRY_MS // 2)
    assert min(hints) >= expected
    assert max(hints) <= LONGEST_RETRY_MS
    tenth = (max(hints) - min(hints)) / 10 + 1
    crest = max(sum(min(hints) + i * tenth <= h < min(hints) + (i + 1) * tenth
                    for h in hints) for i in range(10))  # fmt: skip
    assert crest < 80


@pytest.mark.parametrize("lasts_ms", [150, 700, 1_500, 3_000, 5_000])
def test_callers_that_heed_hints_get_more_than_by_equal_waits(lasts_ms):
    """In the model, more are served; of short outages more within the objective."""
    before = play("today", lasts_ms, Cause.SILENT)
    after = play("decision", lasts_ms, Cause.SILENT)
    assert after[1] >= max(before[1], 0.95)
    if lasts_ms <= 1_500:
        assert after[0] >= before[0]
