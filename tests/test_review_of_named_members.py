"""Servers whose logs count, where a lease names an earlier start of them again."""

from apricotshore.decisions import log_members
from apricotshore.decisions.log_floor import LogFloor, StoredMember
from apricotshore.decisions.log_members import LogMembers
from apricotshore.groups import LogPosition
from apricotshore.identifiers import Position, ServerId, Term

ERA = 7
S1, S2, S3 = (ServerId(f"s{n}") for n in (1, 2, 3))


def make_member(server: ServerId, started_ms: int = 1) -> StoredMember:
    return StoredMember(server=server, address=f"{server}:1", started_ms=started_ms)


def make_floor(started_ms: int) -> LogFloor:
    return LogFloor(
        members=(make_member(S1), make_member(S2, started_ms), make_member(S3))
    )


def test_server_without_an_entry_counts_though_a_lease_names_its_earlier_start():
    """Its writer has lost sight of the primary, and knows of no end that covers it."""
    state = LogMembers()
    for server in (S1, S2, S3):
        log_members.observe_listed(state, make_member(server), 0)
    log_members.observe_listed(state, make_member(S2, 2), 100)
    end = LogPosition(term=Term(1), position=Position(9))
    log_members.observe_position(state, end, 200)
    listed = [make_member(S1), make_member(S2, 2), make_member(S3)]
    log_members.observe_stored(state, make_floor(2), listed, 300, era=ERA)
    log_members.observe_unlisted(state, S2, 400, is_leaving=False)
    del listed[1]
    log_members.observe_stored(state, make_floor(1), listed, 500, era=ERA)
    assert S2 in state.counted
