"""Position history, primary state, placement, wait queue and quota."""

from apricotshore.decisions import (
    leadership,
    placement,
    position_history,
    quota,
    wait_queue,
)
from apricotshore.decisions.leadership import PrimaryState
from apricotshore.decisions.placement import Distance, ServerLoad
from apricotshore.decisions.position_history import PositionHistory
from apricotshore.decisions.quota import ConnectionQuota
from apricotshore.decisions.wait_queue import Waiter, WaitQueue
from apricotshore.groups import LogPosition
from apricotshore.identifiers import Position, ServerId, Term

A, B = ServerId("a"), ServerId("b")


def log_position(position: int, term: int = 1) -> LogPosition:
    return LogPosition(term=Term(term), position=Position(position))


def test_lower_bound_is_the_oldest_sample_within_the_staleness():
    known = PositionHistory()
    for asked_at, position in ((1_000, 10), (1_300, 13), (1_600, 16)):
        position_history.observe(known, log_position(position), asked_at)
    found = position_history.find_lower_bound(known, 1_500, 2_700)
    assert found is not None
    assert found.position == 13
    assert position_history.find_lower_bound(known, 1_500, 3_200) is None


def test_late_sample_is_inserted_in_order():
    known = PositionHistory()
    position_history.observe(known, log_position(16), 1_600)
    position_history.observe(known, log_position(10), 1_000)
    assert [e.position for e in known.samples] == [10, 16]


def test_samples_are_bounded():
    known = PositionHistory()
    for asked_at in range(0, 100_000, 100):
        position_history.observe(known, log_position(asked_at), asked_at)
    assert len(known.samples) <= position_history.MAX_SAMPLES


def test_server_of_a_lower_term_does_not_become_primary():
    primary_state = PrimaryState()
    assert leadership.observe_primary(primary_state, A, Term(2), 1)
    assert not leadership.observe_primary(primary_state, B, Term(1), 2)
    assert primary_state.primary == A


def test_primary_is_unknown_after_a_denial():
    primary_state = PrimaryState()
    leadership.observe_primary(primary_state, A, Term(1), 1)
    assert leadership.observe_denial(primary_state, A, 2)
    assert leadership.find_primary(primary_state, []) is None


def load(server: ServerId, distance: Distance, **changes) -> ServerLoad:
    return ServerLoad(server=server, distance=distance, slots=3, **changes)


def rank(*loads: ServerLoad, now: int = 1_000) -> list[ServerId]:
    return [x.server for x in placement.rank_readers(list(loads), None, now)]


def test_reads_go_to_the_near_server_until_its_queue_costs_more():
    near, far = load(A, Distance.SAME_DATA_CENTRE), load(B, Distance.REMOTE)
    assert rank(near, far) == [A, B]
    near.outstanding = 6
    assert rank(near, far) == [B, A]


def test_server_that_is_behind_or_silent_comes_last():
    near, far = load(A, Distance.SAME_DATA_CENTRE), load(B, Distance.REMOTE)
    placement.observe_behind(near, 1_000)
    assert rank(near, far) == [B, A]
    assert rank(near, far, now=1_000 + placement.BEHIND_PAUSE_MS) == [A, B]
    placement.observe_silence(near, 2_000)
    assert rank(near, far, now=2_001) == [B, A]


def test_leaving_server_gets_no_read():
    assert rank(load(A, Distance.REMOTE, leaving=True)) == []


def test_urgent_statement_goes_first_and_expired_ones_are_skipped():
    queue = WaitQueue()
    wait_queue.enqueue(queue, Waiter(priority=2, number=1, expires_at=100))
    wait_queue.enqueue(queue, Waiter(priority=1, number=2, expires_at=100))
    wait_queue.enqueue(queue, Waiter(priority=0, number=3, expires_at=10))
    taken = wait_queue.dequeue(queue, 50)
    assert taken is not None
    assert taken.number == 2


def test_wait_ends_within_a_quarter_of_the_objective():
    assert wait_queue.limit_wait(400, 800) < 100
    assert wait_queue.limit_wait(800, 50) == 50


def test_refused_connection_pauses_growth():
    host_quota = ConnectionQuota(limit=22)
    assert quota.may_open(host_quota, 2, 1_000)
    quota.observe_refusal(host_quota, 2, 1_000)
    assert not quota.may_open(host_quota, 2, 1_100)
    assert quota.may_open(host_quota, 1, 1_000 + quota.GROWTH_INTERVAL_MS)


def test_host_without_connections_retries_sooner():
    host_quota = ConnectionQuota(limit=22)
    quota.observe_refusal(host_quota, 0, 1_000)
    assert not quota.may_open(host_quota, 0, 1_000 + quota.EMPTY_RETRY_MS - 1)
    assert quota.may_open(host_quota, 0, 1_000 + quota.EMPTY_RETRY_MS)


def test_rejected_hosts_halve_their_quota_and_grow_again():
    host_quota = ConnectionQuota(limit=102)
    quota.observe_refusal(host_quota, 20, 1_000)
    assert quota.find_max(host_quota, 1_000) == 10
    assert quota.find_max(host_quota, 1_000 + 5 * quota.GROWTH_INTERVAL_MS) == 15
    assert quota.find_max(host_quota, 1_000_000) == 50


def test_quotas_of_rejected_hosts_converge():
    """One host has all connections at first; the others get a share in seconds."""
    limit = 40
    hosts = [ConnectionQuota(limit=limit * 10) for _ in range(8)]
    held = [limit, *(0 for _ in hosts[1:])]
    for now in range(1_000, 41_000, 100):
        for number, host_quota in enumerate(hosts):
            held[number] = min(held[number], quota.find_max(host_quota, now))
            if not quota.may_open(host_quota, held[number], now):
                continue
            if sum(held) < limit:
                held[number] += 1
            else:
                quota.observe_refusal(host_quota, held[number], now)
    assert max(held) <= 3 * limit / len(hosts)
    assert min(held) >= 1


def test_idle_connections_close_sooner_after_a_rejection():
    host_quota = ConnectionQuota(limit=22)
    assert quota.find_idle_limit_ms(host_quota, 1_000) == quota.LONG_IDLE_MS
    assert quota.count_kept_idle(host_quota, 1_000) == 1
    quota.observe_refusal(host_quota, 4, 1_000)
    assert quota.find_idle_limit_ms(host_quota, 2_000) == quota.SHORT_IDLE_MS
    assert quota.count_kept_idle(host_quota, 2_000) == 0
    assert quota.count_kept_idle(host_quota, 1_000 + quota.SCARCE_MS) == 1


def test_one_host_leaves_connections_for_others():
    assert not quota.may_open(ConnectionQuota(limit=22), 10, 0)
    assert quota.may_open(ConnectionQuota(limit=2), 0, 0)


def test_host_that_holds_its_largest_number_tries_one_more_at_times():
    """It is refused nothing otherwise, and would leave others without any."""
    host_quota = ConnectionQuota(limit=10)
    due = 1_000 + quota.TRIAL_INTERVAL_MS
    quota.observe_opening(host_quota, 1_000)
    assert not quota.may_open(host_quota, 4, due - 1)
    assert quota.may_open(host_quota, 4, due)
    assert not quota.may_open(host_quota, 5, due)
    quota.observe_opening(host_quota, due)
    assert not quota.may_open(host_quota, 4, due + 1)
    quota.observe_refusal(host_quota, 4, due)
    assert quota.find_max(host_quota, due) == 2


def test_relay_never_takes_the_room_left_to_others():
    host_quota = ConnectionQuota(limit=88, relays=4, is_relay=True)
    largest = quota.find_max(host_quota, 1_000_000)
    assert not quota.may_open(host_quota, largest, 1_000_000)


def test_retry_hint_depends_on_queue_and_outage():
    queue = WaitQueue(hold_ms=100.0)
    assert wait_queue.advise_retry_ms(queue, 0) == wait_queue.FULL_SERVER_RETRY_MS
    assert wait_queue.advise_retry_ms(queue, 1) == 100
    assert wait_queue.advise_outage_retry_ms(1_000, 1_500) == 1_500
    assert wait_queue.advise_outage_retry_ms(1_000, 9_000) == wait_queue.MIN_RETRY_MS


def test_reads_avoid_a_full_server_for_a_while():
    """The load from other hosts is known only from the server's answers."""
    near, far = load(A, Distance.SAME_DATA_CENTRE), load(B, Distance.REMOTE)
    for _ in range(3):
        placement.observe_full(near, 1_000)
    assert rank(near, far, now=1_000) == [B, A]
    assert rank(near, far, now=3_000) == [A, B]


def test_slow_answers_count_as_queueing_beyond_network_and_service_time():
    near, far = load(A, Distance.SAME_DATA_CENTRE), load(B, Distance.REMOTE)
    for _ in range(10):
        placement.observe_answer(near, 30.0, 1_000)
    assert placement.find_delay(near, 1_000) == 0.0
    for _ in range(10):
        placement.observe_answer(near, 250.0, 1_000)
    assert rank(near, far, now=1_000) == [B, A]
    assert placement.find_delay(near, 1_000) <= placement.LARGEST_DELAY_MS


def test_position_is_sampled_within_the_shortest_accepted_staleness():
    assert position_history.choose_period_ms([1_500, 2_500]) == 600
    assert position_history.choose_period_ms([500, 2_500]) == 200
    assert position_history.choose_period_ms([0]) == position_history.SHORTEST_PERIOD_MS
    assert position_history.choose_period_ms([]) == position_history.LONGEST_PERIOD_MS
