"""Adaptive throttling at the entry hosts."""

from apricotshore.decisions import throttle
from apricotshore.decisions.throttle import Throttle, ThrottleKey

KEY = ThrottleKey(database="d", caller="c", kind="k")
DRAWS = [n / 97 % 1 for n in range(0, 97 * 61, 61)]


def send(state, accepted_share, start, count):
    sent = 0
    for n in range(count):
        now = start + n * 2
        if throttle.admit(state, KEY, DRAWS[n % len(DRAWS)], now):
            sent += 1
            if sent * accepted_share >= int(sent * accepted_share) and (
                int(sent * accepted_share) > int((sent - 1) * accepted_share)
            ):
                throttle.record_accepted(state, KEY, now)
    return sent


def test_nothing_is_shed_while_everything_is_accepted():
    assert send(Throttle(), 1.0, 0, 2_000) == 2_000


def test_surplus_over_what_owners_accept_is_shed():
    state = Throttle()
    send(state, 0.2, 0, 2_000)
    assert send(state, 0.2, 4_000, 2_000) < 1_400


def test_throttling_stops_after_the_overload():
    state = Throttle()
    send(state, 0.05, 0, 2_000)
    later = 4_000 + 10 * throttle.HALF_LIFE_MS
    assert send(state, 1.0, later, 500) == 500


def test_memory_is_bounded():
    state = Throttle()
    for n in range(throttle.MAX_FLOWS + 50):
        key = ThrottleKey(database="d", caller=f"c{n}", kind="k")
        throttle.admit(state, key, 0.5, n)
    assert len(state.tallies) == throttle.MAX_FLOWS
