"""Choice of the server for a read."""

from hypothesis import given
from hypothesis import strategies as st

from apricotshore.decisions import routing
from apricotshore.decisions.routing import GroupView, ReadRequirement
from apricotshore.groups import LOG_START, LogPosition, Role, ServerStatus, TermHistory


def make_status(server, role=Role.REPLICA, term=2, applied=10, **more):
    starts = more.pop("starts", ((1, 1), (2, 6)))
    term_history = TermHistory(
        starts=tuple(LogPosition(term=t, position=p) for t, p in starts)
    )
    return ServerStatus(
        server=server,
        role=role,
        term=term,
        end=LogPosition(term=term_history.find_term(applied), position=applied),
        applied=applied,
        term_history=term_history,
        **more,
    )


def make_view(*statuses, asked_at=0):
    view = GroupView(members=("s1", "s2", "s3"))
    for status in statuses:
        routing.observe_status(view, status, asked_at)
    return view


def make_group(**replica):
    return make_view(
        make_status("s1", Role.PRIMARY, applied=12), make_status("s2", **replica)
    )


RECENT = ReadRequirement(
    log_position=LogPosition(term=2, position=10), staleness_ms=5_000
)


def test_replica_that_covers_the_session_serves():
    assert routing.list_readers(make_group(), RECENT, 0) == ("s2",)


def test_read_without_accepted_staleness_goes_to_the_primary():
    assert routing.list_readers(make_group(), ReadRequirement(), 0) == ("s1",)


def test_replica_behind_the_session_does_not_serve():
    assert routing.list_readers(make_group(applied=9), RECENT, 0) == ("s1",)


def test_replica_staler_than_accepted_does_not_serve():
    assert routing.list_readers(make_group(behind_ms=4_600), RECENT, 500) == ("s1",)


def test_diverged_suffix_is_never_served():
    diverged = make_group(starts=((1, 1),), applied=30)
    assert routing.list_readers(diverged, RECENT, 0) == ("s1",)


def test_server_of_an_older_term_is_never_served():
    assert routing.list_readers(make_group(term=1), RECENT, 0) == ("s1",)


def test_leaving_server_gets_no_reads():
    assert routing.list_readers(make_group(leaving=True), RECENT, 0) == ("s1",)


def test_silent_primary_gets_no_work():
    view = make_group()
    routing.observe_silence(view, "s1")
    assert routing.find_primary(view, 0) is None


def test_host_without_a_majority_may_not_serve():
    view = make_group()
    late = routing.MAJORITY_CONTACT_MS
    assert routing.has_majority_contact(view, late)
    assert not routing.has_majority_contact(view, late + 1)


def test_older_primary_does_not_displace_a_newer_one():
    view = make_view(
        make_status("s2", Role.PRIMARY, term=5), make_status("s1", Role.PRIMARY, term=4)
    )
    assert view.primary == "s2"


log_positions = st.builds(
    LogPosition, term=st.integers(1, 5), position=st.integers(0, 50)
)


@given(log_positions, log_positions, log_positions)
def test_log_position_of_a_session_never_decreases(one, two, three):
    highest = LOG_START
    for log_position in (one, two, three):
        higher = routing.later_position(highest, log_position)
        assert higher.position >= highest.position and higher.term >= highest.term
        highest = higher
