"""Causes of a failover and the choice of the new primary."""

from apricotshore.decisions import failover
from apricotshore.decisions.failover import Cause, Failover, Fence
from apricotshore.decisions.routing import GroupView, observe_status
from apricotshore.groups import LogPosition, Role

from .test_routing import make_status

LONG_MS = failover.DETECT_MS


def make_view(contact_ms=0, leaving=False):
    view = GroupView(members=("s1", "s2", "s3"))
    primary = make_status("s1", Role.PRIMARY, applied=12, leaving=leaving)
    observe_status(view, primary, 0)
    for server in ("s2", "s3"):
        observe_status(view, make_status(server, contact_ms=contact_ms), 0)
    return view


def test_healthy_primary_is_not_replaced():
    assert failover.find_cause(Failover(), make_view(), 0) is None


def test_pause_below_the_detection_time_causes_no_failover():
    view = make_view(contact_ms=500)
    assert failover.find_cause(Failover(), view, 500) is None


def test_primary_lost_by_a_majority_is_replaced():
    assert failover.find_cause(Failover(), make_view(LONG_MS), 0) is Cause.LOST


def test_loss_of_contact_at_one_host_causes_no_failover():
    view, state = make_view(), Failover(silent_hosts=1)
    for server in ("s2", "s3"):
        observe_status(view, make_status(server), LONG_MS)
    assert failover.find_cause(state, view, LONG_MS) is None
    state.silent_hosts = failover.WITNESSES_NEEDED
    assert failover.find_cause(state, view, LONG_MS) is Cause.SILENT


def test_primary_whose_commits_stall_is_replaced():
    # The primary answers probes and its replicas, but no commit becomes durable.
    view, state = make_view(), Failover()
    failover.record_commit(state, False, 0, 10)
    assert failover.find_cause(state, view, failover.STALL_MS - 1) is None
    assert failover.find_cause(state, view, failover.STALL_MS) is Cause.STALLED
    failover.record_commit(state, True, 20, 30)
    failover.record_commit(state, False, 25, 40)
    assert failover.find_cause(state, view, 2 * failover.STALL_MS) is None


def test_leaving_primary_is_replaced():
    assert failover.find_cause(Failover(), make_view(leaving=True), 0) is Cause.LEAVING


def test_terms_are_never_used_twice_by_one_coordinator():
    state, view, seen = Failover(), make_view(LONG_MS), set()
    now = 0
    for _ in range(6):
        fences = {a.term for a in failover.tick(state, view, now) if type(a) is Fence}
        assert not fences & seen
        seen |= fences
        now += failover.STEP_TIMEOUT_MS
        failover.tick(state, view, now)
        now += failover.MAX_BACKOFF_MS
        for server in ("s2", "s3"):
            observe_status(view, make_status(server, contact_ms=LONG_MS), now)
    assert len(seen) == 6


def test_replaced_primary_is_not_promoted_when_another_is_safe():
    view = make_view()
    ends = {"s1": (2, 14), "s2": (2, 12), "s3": (2, 12)}
    granted = {s: LogPosition(term=t, position=p) for s, (t, p) in ends.items()}
    state = Failover(granted=granted, replaced="s1")
    assert failover.choose_candidate(state, view) == "s3"
    del state.granted["s3"]
    assert failover.choose_candidate(state, view) == "s1"
