"""Log positions that sessions must see."""

from apricotshore.decisions import sessions
from apricotshore.decisions.sessions import MAX_SESSIONS, SessionKey, SessionPositions
from apricotshore.groups import LOG_START, LogPosition


def at(position):
    return LogPosition(term=1, position=position)


def key(session, caller="c"):
    return SessionKey(caller=caller, session=session)


def find(
    state, session, token=LOG_START, complete=False, session_named=True, caller="c"
):
    return sessions.find_position(
        state, key(session, caller), token, complete, session_named
    )


def test_session_must_see_what_it_has_seen():
    state = SessionPositions()
    sessions.record_position(state, key("s"), at(9))
    assert find(state, "s") == at(9)
    assert find(state, "s", token=at(12)) == at(12)


def test_unknown_session_must_see_the_minimum_position():
    state = SessionPositions()
    sessions.reset_positions(state, at(5))
    assert find(state, "new") == at(5)
    assert find(state, "new", token=at(2), complete=True) == at(2)


def test_session_without_a_name_must_see_all_that_its_caller_has_seen():
    state = SessionPositions()
    sessions.record_position(state, key("earlier"), at(9))
    assert find(state, "new", session_named=False) == at(9)
    assert find(state, "new", session_named=False, caller="other") == LOG_START


def test_evicted_sessions_raise_the_minimum_position():
    state = SessionPositions()
    for number in range(MAX_SESSIONS + 3):
        sessions.record_position(state, key(f"s{number}"), at(number))
    assert len(state.log_positions) == MAX_SESSIONS
    assert find(state, "s0") == at(2)


def test_positions_of_a_withdrawn_caller_are_removed():
    state = SessionPositions()
    sessions.record_position(state, key("s"), at(9))
    sessions.remove_caller(state, "c")
    assert not state.log_positions and not state.callers
