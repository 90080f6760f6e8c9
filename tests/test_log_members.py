"""Servers whose logs count, without a model around them."""

from dataclasses import replace

from apricotshore.decisions import log_members
from apricotshore.decisions.log_floor import NO_FLOOR, LogFloor, StoredMember
from apricotshore.decisions.log_members import MAX_STRUCK, LogMembers
from apricotshore.groups import LogPosition
from apricotshore.identifiers import Position, ServerId, Term

ERA = 7
S1, S2, S3 = (ServerId(f"s{n}") for n in (1, 2, 3))


def make_member(server: ServerId, started_ms: int = 1) -> StoredMember:
    return StoredMember(server=server, address=f"{server}:1", started_ms=started_ms)


def make_members() -> LogMembers:
    state = LogMembers()
    for server in (S1, S2):
        log_members.observe_listed(state, make_member(server), 0)
    return state


def test_server_counts_that_only_a_lease_names():
    state = make_members()
    del state.counted[S2]
    floor = LogFloor(members=(make_member(S1), make_member(S2)))
    log_members.observe_stored(state, floor, [make_member(S1)], 100, era=ERA)
    assert S2 in state.counted


def test_server_counts_that_a_lease_has_never_named():
    state = make_members()
    for _ in range(2):
        floor = LogFloor(members=(make_member(S1),))
        log_members.observe_stored(state, floor, [make_member(S1)], 100, era=ERA)
    assert log_members.make_floor(state, NO_FLOOR).members[1].server == S2


def test_server_that_another_host_struck_off_counts_no_more():
    """Else one that missed why would name it in the lease again, for ever."""
    state = make_members()
    both = LogFloor(members=(make_member(S1), make_member(S2)))
    log_members.observe_stored(state, both, [make_member(S1)], 100, era=ERA)
    one = replace(both, members=both.members[:1])
    log_members.observe_stored(
        state, one, [make_member(S1), make_member(S2)], 200, era=ERA
    )
    assert S2 in state.counted
    log_members.observe_stored(state, both, [make_member(S1)], 300, era=ERA)
    log_members.observe_stored(state, one, [make_member(S1)], 400, era=ERA)
    assert S2 not in state.counted
    log_members.observe_stored(state, both, [make_member(S1)], 500, era=ERA)
    assert S2 not in state.counted


def test_lease_of_another_era_strikes_nobody_off():
    """Its writer may not have known of servers that a lost lease named."""
    state = make_members()
    both = LogFloor(members=(make_member(S1), make_member(S2)))
    log_members.observe_stored(state, both, [make_member(S1)], 100, era=ERA)
    one = replace(both, members=both.members[:1])
    log_members.observe_stored(state, one, [make_member(S1)], 200, era=ERA + 1)
    assert S2 in state.counted


def test_server_that_leaves_counts_as_a_lost_log_until_its_successor_is_there():
    state = make_members()
    log_members.observe_left(state, S2, 100)
    assert (S2 in state.counted, state.lost_at) == (False, 100)
    log_members.observe_listed(state, replace(make_member(S2), server=S3), 200)
    assert (S3 in state.counted, state.lost_at) == (True, None)


def test_successor_that_is_listed_first_replaces_a_server_without_its_entry():
    state = make_members()
    log_members.observe_listed(state, replace(make_member(S2), server=S3), 100)
    assert set(state.counted) == {S1, S2, S3}
    log_members.observe_unlisted(state, S2, 200, is_leaving=False)
    assert (S2 in state.counted, state.lost_at) == (False, 200)


def test_entry_that_has_gone_leaves_the_server_at_its_address_counted():
    state = make_members()
    log_members.observe_listed(state, replace(make_member(S2), server=S3), 100)
    log_members.observe_unlisted(state, S3, 200, is_leaving=False)
    assert (set(state.counted), state.lost_at) == ({S1, S2}, 200)
    log_members.observe_unlisted(state, S2, 300, is_leaving=False)
    assert S2 in state.counted


def test_end_that_covers_lost_logs_is_taken_from_the_lease():
    state = make_members()
    end = LogPosition(term=Term(2), position=Position(9))
    floor = LogFloor(end=end, members=(make_member(S1), make_member(S2)))
    log_members.observe_stored(state, floor, [], 100, era=ERA)
    assert log_members.make_floor(state, NO_FLOOR).end == end


def test_end_of_an_order_covers_no_lost_logs():
    state = make_members()
    end = LogPosition(term=Term(2), position=Position(9))
    floor = LogFloor(end=end, unknown=(S1,), members=(make_member(S1),))
    log_members.observe_stored(state, floor, [], 100, era=ERA)
    assert log_members.make_floor(state, NO_FLOOR).end is None


def test_struck_servers_take_no_memory_for_ever():
    state = make_members()
    for started_ms in range(2, 2 * MAX_STRUCK):
        log_members.observe_listed(state, make_member(S2, started_ms), started_ms)
    assert len(state.struck) == MAX_STRUCK


def test_entry_without_a_start_tells_of_no_lost_log():
    state = make_members()
    assert not log_members.observe_listed(state, make_member(S2, 0), 100)
    floor = LogFloor(members=(make_member(S1), make_member(S2)))
    listed = [make_member(S1), make_member(S2, 0)]
    log_members.observe_stored(state, floor, listed, 200, era=ERA)
    assert (state.counted[S2], state.lost_at) == (make_member(S2), None)


def test_start_after_an_entry_without_one_is_another_if_it_differs():
    state = make_members()
    log_members.observe_listed(state, make_member(S2, 0), 100)
    assert log_members.observe_listed(state, make_member(S2, 2), 200)
    assert (state.counted[S2], state.lost_at) == (make_member(S2, 2), 200)
