"""Decisions of a stop: its phases, what each of them begins, and the exit."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricotshore.shutdown import (
    BALANCER_DELAY_MS,
    Drain,
    Phase,
    Work,
    begin,
    find_last_answer,
    find_phase,
    may_begin,
    set_grace,
    should_abort_transactions,
    should_exit,
)
from apricotshore.shutdown.phases import END_SHARE

BEGAN = 10_000
TIMEOUT_MS = 800
ORDER = list(Phase)
GRACES = st.integers(1, 60_000)
TIMES = st.integers(0, 70_000)
TIMEOUTS = st.integers(1, 30_000)
WORKS = st.sampled_from(Work)

SERVING, ANNOUNCING = Phase.SERVING, Phase.ANNOUNCING
LAME_DUCK, FINISHING, EXITING = Phase.LAME_DUCK, Phase.FINISHING, Phase.EXITING


def make_drain(grace_ms: int = 6_000, **fields) -> Drain:
    return Drain(grace_ms=grace_ms, **({"began_at": BEGAN} | fields))


def list_phases(grace_ms: int) -> list[tuple[int, Phase]]:
    """List the phases of a stop, each with its beginning after the signal."""
    drain = make_drain(grace_ms)
    found: list[tuple[int, Phase]] = []
    for passed in range(grace_ms + 1):
        phase = find_phase(drain, BEGAN + passed)
        if not found or found[-1][1] is not phase:
            found.append((passed, phase))
    return found


@pytest.mark.parametrize(
    ("grace_ms", "phases"),
    [
        (1_000, [(0, ANNOUNCING), (500, FINISHING), (900, EXITING)]),
        (2_600, [(0, ANNOUNCING), (1_300, FINISHING), (2_340, EXITING)]),
        (3_000, [(0, ANNOUNCING), (1_500, FINISHING), (2_700, EXITING)]),
        (5_200, [(0, ANNOUNCING), (2_600, FINISHING), (4_680, EXITING)]),
        (
            6_000,
            [(0, ANNOUNCING), (2_600, LAME_DUCK), (3_000, FINISHING), (5_400, EXITING)],
        ),
        (
            30_000,
            [
                (0, ANNOUNCING),
                (2_600, LAME_DUCK),
                (15_000, FINISHING),
                (27_000, EXITING),
            ],
        ),
    ],
)
def test_phase_begins_too_late_for_the_grace(grace_ms, phases):
    assert list_phases(grace_ms) == phases


def test_host_that_was_not_told_to_stop_refuses_work():
    drain = Drain(grace_ms=1)
    assert find_phase(drain, BEGAN) is SERVING
    assert all(may_begin(drain, work, 1 << 30, BEGAN) for work in Work)
    assert find_last_answer(drain) is None
    assert not should_exit(drain, 0, BEGAN)
    assert not should_abort_transactions(drain, BEGAN)


@given(GRACES, TIMES, TIMES)
def test_phase_goes_back(grace_ms, one, other):
    drain = make_drain(grace_ms)
    phases = [find_phase(drain, BEGAN + t) for t in sorted((one, other))]
    assert ORDER.index(phases[0]) <= ORDER.index(phases[1])


@given(GRACES, TIMES, TIMES, st.integers(0, 3))
def test_exit_is_taken_back(grace_ms, one, other, busy):
    """In the last phase as well as by `exiting`."""
    drain = make_drain(grace_ms)
    earlier, later = sorted((BEGAN + one, BEGAN + other))
    if should_exit(drain, busy, earlier):
        assert should_exit(drain, busy, later)
        drain.exiting = True
        assert find_phase(drain, later) is EXITING
        assert should_exit(drain, busy + 1, later)


@given(GRACES, TIMES, TIMEOUTS, WORKS)
def test_work_is_begun_after_the_exit_is_decided(grace_ms, passed, timeout_ms, work):
    drain = make_drain(grace_ms, exiting=True)
    assert not may_begin(drain, work, timeout_ms, BEGAN + passed)


@given(GRACES, TIMES, TIMEOUTS, WORKS)
def test_work_that_was_begun_ends_after_the_exit(grace_ms, passed, timeout_ms, work):
    drain, now = make_drain(grace_ms), BEGAN + passed
    if may_begin(drain, work, timeout_ms, now):
        ends_at = min(now + timeout_ms, max(now, find_last_answer(drain)))
        assert ends_at <= BEGAN + grace_ms * END_SHARE


@given(GRACES, TIMES, TIMEOUTS, WORKS)
def test_work_is_begun_without_any_time_for_it(grace_ms, passed, timeout_ms, work):
    """It would be sent to a server and given up in the same moment, in doubt."""
    drain, now = make_drain(grace_ms), BEGAN + passed
    if may_begin(drain, work, timeout_ms, now):
        assert find_last_answer(drain) > now


@given(GRACES, TIMES, TIMEOUTS, TIMEOUTS)
def test_statement_is_refused_where_a_longer_one_is_begun(grace_ms, passed, one, other):
    drain, now = make_drain(grace_ms), BEGAN + passed
    shorter, longer = sorted((one, other))
    if may_begin(drain, Work.STATEMENT, longer, now):
        assert may_begin(drain, Work.STATEMENT, shorter, now)


@pytest.mark.parametrize(
    ("passed", "statement", "new", "open_one"),
    [
        (0, True, True, True),
        (BALANCER_DELAY_MS - 1, True, True, True),
        (BALANCER_DELAY_MS, True, False, True),
        (2_999, True, False, True),
        (3_000, True, False, False),
        (5_200 - TIMEOUT_MS, True, False, False),
        (5_201 - TIMEOUT_MS, False, False, False),
        (5_400, False, False, False),
    ],
)
def test_work_is_begun_in_a_phase_that_does_not_allow_it(
    passed, statement, new, open_one
):
    drain = make_drain()
    works = (Work.STATEMENT, Work.NEW_TRANSACTION, Work.OPEN_TRANSACTION)
    begun = [may_begin(drain, work, TIMEOUT_MS, BEGAN + passed) for work in works]
    assert begun == [statement, new, open_one]


@pytest.mark.parametrize("grace_ms", [300, 1_000, 2_600, 6_000, 30_000])
def test_process_exits_amid_work_before_its_time_is_up(grace_ms):
    drain = make_drain(grace_ms)
    end = BEGAN + int(grace_ms * END_SHARE)
    assert not should_exit(drain, 1, end - 1)
    assert should_exit(drain, 1, end)


@pytest.mark.parametrize("grace_ms", [1_000, 2_600, 6_000, 30_000])
def test_process_without_sessions_exits_while_the_balancer_sends_callers(grace_ms):
    drain = make_drain(grace_ms)
    first = next(t for t in range(grace_ms) if should_exit(drain, 0, BEGAN + t))
    assert first >= min(BALANCER_DELAY_MS, grace_ms // 2)


def test_changed_grace_moves_a_running_stop():
    drain = Drain(grace_ms=6_000)
    set_grace(drain, 8_000)
    assert drain.grace_ms == 8_000
    assert begin(drain, BEGAN)
    before = find_last_answer(drain)
    for grace_ms in (1, 100, 60_000):
        set_grace(drain, grace_ms)
        assert find_last_answer(drain) == before
        assert find_phase(drain, BEGAN + 1) is ANNOUNCING


def test_second_signal_restarts_the_grace():
    drain = Drain(grace_ms=6_000)
    assert begin(drain, BEGAN)
    before = find_last_answer(drain)
    assert not begin(drain, BEGAN + 4_000)
    assert find_last_answer(drain) == before
    assert find_phase(drain, BEGAN + 5_400) is EXITING
