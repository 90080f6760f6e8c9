"""Servers whose logs count, without a model around them."""

from apricotshore.decisions import log_members
from apricotshore.decisions.log_floor import NO_FLOOR, StoredMember
from apricotshore.decisions.log_members import GONE_MS, MAX_STRUCK, LogMembers
from apricotshore.identifiers import ServerId

S1, S2 = ServerId("s1"), ServerId("s2")


def make_member(server: ServerId, started_ms: int = 1) -> StoredMember:
    return StoredMember(server=server, address=f"{server}:1", started_ms=started_ms)


def make_members() -> LogMembers:
    state = LogMembers()
    for server in (S1, S2):
        log_members.observe_listed(state, make_member(server), 0)
    return state


def test_server_whose_entry_ran_out_counts_still():
    state = make_members()
    log_members.observe_unlisted(state, S2, 100, has_left=False)
    assert S2 in state.counted
    assert log_members.make_floor(state, NO_FLOOR).members[1].server == S2


def test_server_that_answers_without_an_entry_is_not_asked_all_the_time():
    state = make_members()
    log_members.observe_unlisted(state, S2, 0, has_left=False)
    assert log_members.list_missing(state, GONE_MS) == (S2,)
    log_members.observe_answer(state, S2, GONE_MS)
    assert log_members.list_missing(state, GONE_MS + 1) == ()
    assert log_members.list_missing(state, 2 * GONE_MS) == (S2,)


def test_server_that_is_gone_counts_as_a_lost_log_until_it_is_back():
    state = make_members()
    log_members.observe_unlisted(state, S2, 0, has_left=False)
    log_members.observe_gone(state, S2, GONE_MS)
    assert (S2 in state.counted, state.lost_at) == (False, GONE_MS)
    log_members.observe_listed(state, make_member(S2), GONE_MS + 1)
    assert (S2 in state.counted, state.lost_at) == (True, None)


def test_struck_servers_take_no_memory_for_ever():
    state = make_members()
    for started_ms in range(2, 2 * MAX_STRUCK):
        log_members.observe_listed(state, make_member(S2, started_ms), started_ms)
    assert len(state.struck) == MAX_STRUCK
