"""States in which what is known of a log is forgotten, without a model around them."""

import pytest
from apricotshore_platform.objects import decode_lease, decode_server

from apricotshore.decisions import (
    change_attempt,
    log_members,
    needed_end,
    primary_change,
)
from apricotshore.decisions.change_actions import Promote, RecordTarget, Seal
from apricotshore.decisions.change_attempt import Attempt, BarrierReport
from apricotshore.decisions.change_members import Member, MemberStatus
from apricotshore.decisions.lease import PROMOTION_MS
from apricotshore.decisions.log_floor import (
    NO_FLOOR,
    UNKNOWN_END,
    LogFloor,
    StoredMember,
    find_needed_end,
)
from apricotshore.decisions.log_members import MAX_STRUCK, LogMembers
from apricotshore.groups import LogPosition
from apricotshore.identifiers import HostId, Position, ServerId, Term

S1, S2, S3, S4 = (ServerId(f"s{n}") for n in (1, 2, 3, 4))
LONGEST, SHORTER = 3_109, 3_097
STEP_MS = 50


def make_end(position: int, term: int = 9) -> LogPosition:
    return LogPosition(term=Term(term), position=Position(position))


def make_member(server: ServerId, started_ms: int = 1, at: str = "") -> StoredMember:
    address = at or f"10.0.0.{server[1:]}:1"
    return StoredMember(server=server, address=address, started_ms=started_ms)


def make_members(*servers: ServerId) -> LogMembers:
    state = LogMembers()
    for server in servers:
        log_members.observe_listed(state, make_member(server), 0)
    return state


def status(position: int, *, leads: bool = False, **fields) -> MemberStatus:
    return MemberStatus(
        log_position=make_end(position),
        **{"term": Term(9), "paused_term": Term(10), "is_primary": leads, **fields},
    )


def hear(attempt: Attempt, now: int, **found: MemberStatus) -> None:
    for server, known in found.items():
        change_attempt.update_status(attempt, ServerId(server), known, now)


# -- the needed end --


def test_old_cover_of_a_lost_log_leaves_a_holder_that_lost_its_log_unknown():
    floor = LogFloor(end=make_end(LONGEST), holder=S2, unknown=(S1,))
    ends = {S1: (9, LONGEST), S2: (0, 0), S3: (9, SHORTER)}
    assert find_needed_end(floor, ends) == (9, LONGEST)
    assert find_needed_end(floor, ends, lost_ends=((9, 50),)) == (9, LONGEST)


def test_empty_log_of_a_former_primary_ends_no_floor():
    floor = LogFloor(end=make_end(LONGEST), holder=S2, unknown=(S1,))
    ends = {S1: (0, 0), S2: UNKNOWN_END, S3: (9, SHORTER)}
    assert find_needed_end(floor, ends) == (9, LONGEST)


def test_sealed_end_ends_with_its_barrier():
    members = tuple(Member(server=s) for s in (S1, S2, S3))
    attempt = Attempt(from_term=Term(9), started_at=0, replaced=S1, must_step_down=True)
    hear(attempt, 10, s2=status(SHORTER), s3=status(SHORTER))
    attempt.barrier = BarrierReport(at=20, missing=(HostId("host-1"),))
    needed_end.observe_needed_end(attempt, members, None)
    needed_end.set_floor(attempt, members, S2)
    # s1 is back, and commits with s2 for the host that confirmed nothing.
    hear(attempt, 100, s1=status(LONGEST, leads=True))
    hear(attempt, 200, s1=status(LONGEST))
    hear(attempt, 210, s2=status(LONGEST), s3=status(SHORTER))
    assert attempt.final_end == make_end(LONGEST)
    attempt.barrier = BarrierReport(at=220)
    needed_end.observe_needed_end(attempt, members, None)
    assert not needed_end.may_lead(attempt, S3), attempt.needed_end


def play_refusal(attempt: Attempt, members: tuple[Member, ...]) -> object:
    """Plan steps until the next order; s1 and s4 answer, s2 and s3 don't."""
    step = None
    for now in range(0, 2 * PROMOTION_MS, STEP_MS):
        hear(attempt, now, s1=status(SHORTER), s4=status(SHORTER))
        step = primary_change.plan_step(attempt, members, None, now)
        match step:
            case RecordTarget() | Promote():
                return step
            case Seal():
                attempt.barrier = BarrierReport(at=now)
        attempt.listed = True
    return step


def test_refused_server_that_may_have_led_meanwhile_leaves_the_end_unknown():
    """Its order took effect: it committed with s3, and both ended."""
    members = tuple(Member(server=s) for s in (S1, S2, S3, S4))
    attempt = Attempt(from_term=Term(9), started_at=0, replaced=S1)
    attempt.must_step_down = True
    attempt.pause_term = Term(10)
    hear(attempt, 0, s1=status(SHORTER, leads=True))
    hear(attempt, 0, s1=status(SHORTER))
    attempt.requested, attempt.is_ordered, attempt.held = S2, True, True
    attempt.refused_at = 0
    step = play_refusal(attempt, members)
    assert not isinstance(step, RecordTarget | Promote), step


def test_refused_server_that_is_back_ends_no_lower_than_it_led():
    """Its order took effect: it committed with s3, ended, and is back."""
    members = tuple(Member(server=s) for s in (S1, S2, S3, S4))
    attempt = Attempt(from_term=Term(9), started_at=0, replaced=S1)
    hear(attempt, 0, s1=status(SHORTER, leads=True))
    hear(attempt, 0, s1=status(SHORTER))
    hear(attempt, 0, s2=status(LONGEST), s4=status(SHORTER))
    attempt.rejected.add(S2)
    needed_end.observe_needed_end(attempt, members, None)
    assert not needed_end.may_lead(attempt, S4), attempt.needed_end


# -- the host's check of itself --


def test_shortfall_counts_the_floor_where_two_logs_are_unknown():
    members = tuple(Member(server=s) for s in (S1, S2, S3))
    floor = LogFloor(end=make_end(LONGEST), holder=S2, unknown=(S1,))
    attempt = Attempt(from_term=Term(9), started_at=0, replaced=S1, floor=floor)
    hear(attempt, 0, s3=status(SHORTER))
    assert needed_end.find_shortfall(attempt, members, S3) == 12


def test_shortfall_counts_the_longest_log_that_answers_beside_a_low_sealed_end():
    members = tuple(Member(server=s) for s in (S1, S2, S3))
    attempt = Attempt(from_term=Term(9), started_at=0, replaced=S1)
    attempt.sealed_end = (9, SHORTER)
    hear(attempt, 0, s2=status(LONGEST), s3=status(SHORTER))
    assert needed_end.find_shortfall(attempt, members, S3) == 12


# -- members --


def test_server_at_a_borrowed_address_counts_once_the_borrower_has_left():
    state = make_members(S1, S2, S3)
    borrower = make_member(S4, at=make_member(S2).address)
    log_members.observe_listed(state, borrower, 100)
    log_members.observe_left(state, S4, 200)
    log_members.observe_position(state, make_end(50), 300)
    assert S2 in state.counted


def test_entry_without_a_start_leaves_no_lost_log_behind():
    meta = {"name": S2, "revision": 7}
    spec = {"service": "g1", "address": "10.0.0.2:1", "zone": "a", "state": "ready"}
    state = make_members(S1, S2, S3)
    for entry in (spec, {**spec, "born": 1}):
        found = decode_server({"meta": meta, "spec": entry})
        if found is not None:
            member = make_member(S2, found.started_ms)
            log_members.observe_listed(state, member, 100)
    assert state.lost_at is None


@pytest.mark.parametrize("born", [12.0, 12])
def test_start_is_the_same_whatever_its_type(born):
    meta = {"name": S2, "revision": 7}
    spec = {"service": "g1", "address": "10.0.0.2:1", "zone": "a", "state": "ready"}
    state = LogMembers()
    for value in (12, born):
        found = decode_server({"meta": meta, "spec": {**spec, "born": value}})
        member = make_member(S2, found.started_ms)
        assert not log_members.observe_listed(state, member, 100)
    assert state.lost_at is None


def test_settled_lease_of_a_host_that_never_knew_a_server_strikes_none_off():
    state = make_members(S1, S2, S3)
    others = tuple(make_member(s) for s in (S1, S3))
    log_members.observe_stored(state, LogFloor(members=others), others, 200, era=1)
    assert S2 in state.counted or state.lost_at is not None


def test_server_that_has_just_answered_is_not_struck_off_by_another_host():
    state = make_members(S1, S2, S3)
    others = tuple(make_member(s) for s in (S1, S3))
    log_members.observe_stored(state, LogFloor(members=others), others, 15_100, era=1)
    assert S2 in state.counted or state.lost_at is not None


def test_struck_server_that_an_old_lease_names_is_lost_beyond_the_limit():
    state = make_members(S1, S2, S3)
    for started_ms in range(2, MAX_STRUCK + 5):
        member = make_member(S2, started_ms)
        log_members.observe_listed(state, member, started_ms)
    log_members.observe_position(state, make_end(50), 1_000)
    latest = make_member(S2, MAX_STRUCK + 4)
    listed = (make_member(S1), latest, make_member(S3))
    old = tuple(make_member(s) for s in (S1, S2, S3))
    log_members.observe_stored(state, LogFloor(members=old), listed, 2_000, era=1)
    assert state.lost_at == 2_000
    assert state.counted[S2] == latest


# -- odd leases --

LEASE_META = {"name": "g1.2", "revision": 7}
LEASE = {
    "holder": "h/1",
    "open": True,
    "floorTerm": 9,
    "floorPosition": LONGEST,
    "floorHolder": "s2",
    "members": [{"id": "s2", "address": "10.0.0.2:1", "born": 1}],
}


def read_lease(**change):
    spec = {k: v for k, v in {**LEASE, **change}.items() if v is not None}
    return decode_lease({"meta": LEASE_META, "spec": spec})


@pytest.mark.parametrize("key", ["floorTerm", "floorPosition"])
def test_lease_that_names_half_a_floor_is_not_read_as_one_without(key):
    held = read_lease(**{key: None})
    assert held is None or held.floor.end == make_end(LONGEST)


@pytest.mark.parametrize(
    "change",
    [
        {"floorTerm": "9"},
        {"floorPosition": -1},
        {"floorHolderBorn": "x"},
        {"floorUnknown": "s1"},
        {"members": {}},
        {"members": [{"id": "s2", "born": 1}]},
        {"members": [{"id": "s2", "address": "10.0.0.2:1", "born": "1"}]},
    ],
)
def test_lease_with_an_odd_floor_is_refused_as_a_whole(change):
    assert read_lease(**change) is None


def test_lease_whose_numbers_are_floats_names_the_same_floor():
    held = read_lease(floorTerm=9.0, floorPosition=float(LONGEST))
    assert held is not None
    assert held.floor.end == make_end(LONGEST)


def test_lease_without_a_floor_names_none():
    held = decode_lease({"meta": LEASE_META, "spec": {"holder": "h/1"}})
    assert held is not None
    assert held.floor == NO_FLOOR
