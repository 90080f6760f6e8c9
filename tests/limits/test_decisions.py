"""Decisions of rate limits, one at a time."""

import pytest

from apricotshore.decisions.relays import ListedHost
from apricotshore.identifiers import DataCentreId, HostId, StoreEra
from apricotshore.limits import HostLimits, LimitSettings, host_limits
from apricotshore.limits.allocator import answer, measure_share, observe_ended
from apricotshore.limits.budget import derive_budget, find_bound
from apricotshore.limits.roster import MATURE_MS, Roster, observe_hosts
from apricotshore.rate_decisions import ADMITTED, Limited

from .model import LARGE, SETTINGS, make_organisation

ERA = StoreEra(1)
ORGANISATION = make_organisation(LARGE, 100, 20)


def make_limits(name="a", hosts=("a", "b"), started_at=0):
    limits = HostLimits(host=HostId(name), process=7, started_at=started_at)
    limits.budgets = {LARGE: derive_budget(ORGANISATION, SETTINGS)}
    listed = [
        ListedHost(host=HostId(h), data_centre=DataCentreId("z"), address=h, process=7)
        for h in hosts
    ]
    host_limits.update_hosts(limits, listed, ERA, started_at)
    return limits


def exchange(limits, allocator, now):
    """Send a host's request to an allocator, whatever host it would choose."""
    ask = host_limits.make_ask(limits, now)
    reply = answer(
        allocator.allocator, allocator.roster, allocator.budgets, ask.request, now
    )
    host_limits.take_reply(limits, ask, reply, now)
    return ask, reply


@pytest.mark.parametrize("rate, burst", [(184, 184), (184, 0), (1, 1), (10_000, 5)])
@pytest.mark.parametrize("excess, slack", [(0.1, 20), (0, 0)])
def test_budget_is_within_the_bound_and_holds_a_token(rate, burst, excess, slack):
    settings = LimitSettings(window_ms=5_000, excess=excess, slack=slack)
    organisation = make_organisation(LARGE, rate, burst)
    budget = derive_budget(organisation, settings)
    most = budget.size + budget.rate * settings.window_ms
    assert most < find_bound(organisation, settings)
    assert budget.size >= 1
    assert budget.rate > 0


def test_late_request_counts_a_host_nowhere():
    """Guards against an allocator that counts what it reads after a freeze."""
    limits = make_limits(hosts=("a",))
    exchange(limits, limits, 3_000)
    ask, _ = exchange(limits, limits, 3_400)
    assert measure_share(limits.allocator, limits.roster, 3_400) == 1
    late = 10_000
    reply = answer(limits.allocator, limits.roster, limits.budgets, ask.request, late)
    assert measure_share(limits.allocator, limits.roster, late) == 0
    assert reply.stamp != ask.request.stamp


def test_restarted_host_is_not_counted_while_its_former_process_may_be():
    limits = make_limits(hosts=("a",), started_at=5_000)
    for now in range(5_000, 6_900, 400):
        ask, _ = exchange(limits, limits, now)
        assert ask.request.stamp is None
    ask, _ = exchange(limits, limits, 7_000)
    assert ask.request.stamp is not None


def test_hosts_that_a_restored_store_lost_still_count():
    roster = Roster(local_host=HostId("a"), process=1)
    observe_hosts(roster, {"a": 1, "b": 1, "c": 1}, ERA, 0)
    observe_hosts(roster, {"a": 1}, StoreEra(2), 1_000)
    assert roster.hosts.keys() == {"a", "b", "c"}
    observe_hosts(roster, {"a": 1, "b": 1}, StoreEra(2), 2_000)
    assert roster.hosts.keys() == {"a", "b", "c"}


def test_host_that_left_in_the_same_era_does_not_count():
    roster = Roster(local_host=HostId("a"), process=1)
    observe_hosts(roster, {"a": 1, "b": 1}, ERA, 0)
    observe_hosts(roster, {"a": 1}, ERA, 1_000)
    assert roster.hosts.keys() == {"a"}


def test_core_lacks_hosts_that_a_list_in_between_lacked():
    """Guards against a share that counts on lists which a cut-off host hasn't."""
    roster = Roster(local_host=HostId("a"), process=1)
    observe_hosts(roster, {"a": 1}, ERA, 0)
    observe_hosts(roster, {"a": 1, "b": 1, "c": 1}, ERA, 3_000)
    assert not roster.core
    observe_hosts(roster, {"a": 1, "b": 1, "c": 1}, ERA, MATURE_MS)
    assert roster.core == {"a"}


def test_core_lacks_a_host_that_was_removed_and_listed_again():
    """Guards against a list without it that another host read in between."""
    roster = Roster(local_host=HostId("a"), process=1)
    observe_hosts(roster, {"a": 1, "b": 1}, ERA, 0)
    observe_hosts(roster, {"a": 1, "b": 1}, ERA, MATURE_MS)
    assert roster.core == {"a", "b"}
    observe_hosts(roster, {"a": 1, "b": 2}, ERA, MATURE_MS + 1)
    assert roster.core == {"a"}


def test_ended_host_counts_until_its_leases_elsewhere_have_expired():
    limits = make_limits()
    del limits.hosts[HostId("b")]
    for now in range(2_000, 30_000, 400):
        update = {HostId("a"): 7, HostId("b"): 7}
        observe_hosts(limits.roster, update, ERA, now)
        exchange(limits, limits, now)
        if now >= 25_000:
            observe_ended(limits.allocator, HostId("b"), now, 1_000)
        share = measure_share(limits.allocator, limits.roster, now)
        if now >= 22_000:
            assert share == (1 if now >= 27_200 else 0.5)


def test_lost_reply_gives_no_tokens_twice():
    """Guards against tokens that are returned or renewed by a repeated request."""
    limits = make_limits(hosts=("a",))
    for now in range(2_000, 6_001, 400):
        exchange(limits, limits, now)
    host_limits.try_admit(limits, LARGE, 6_100)
    host_limits.change_waiting(limits, LARGE, 5, 6_100)
    ask = host_limits.make_ask(limits, 6_100)
    for now in (6_100, 6_110):
        answer(limits.allocator, limits.roster, limits.budgets, ask.request, now)
    bucket = limits.allocator.buckets[LARGE]
    assert bucket.leased == 10
    assert bucket.level + bucket.leased <= limits.budgets[LARGE].size


def test_expired_lease_admits_nothing():
    limits = make_limits(hosts=("a",))
    for now in range(2_000, 4_001, 400):
        exchange(limits, limits, now)
    host_limits.change_waiting(limits, LARGE, 2, 4_100)
    exchange(limits, limits, 4_100)
    host_limits.change_waiting(limits, LARGE, -2, 4_100)
    assert host_limits.try_admit(limits, LARGE, 4_200) is ADMITTED
    assert host_limits.try_admit(limits, LARGE, 9_000) is None


def test_hint_is_the_time_of_a_token_and_grows_with_each_rejection():
    limits = make_limits(hosts=("a",))
    for now in range(2_000, 4_001, 400):
        exchange(limits, limits, now)
    host_limits.change_waiting(limits, LARGE, 500, 4_100)
    exchange(limits, limits, 4_100)
    verdicts = [host_limits.try_admit(limits, LARGE, 4_101) for _ in range(500)]
    hints = [v.retry_ms for v in verdicts if isinstance(v, Limited)]
    assert 1 <= hints[0] <= 20
    assert hints == sorted(hints)
    assert hints[9] == pytest.approx(hints[0] + 9 * 10, abs=20)


def test_lower_limit_empties_the_bucket():
    limits = make_limits(hosts=("a",))
    for now in range(2_000, 9_001, 400):
        exchange(limits, limits, now)
    lower = derive_budget(make_organisation(LARGE, 1, 1), SETTINGS)
    limits.budgets = {LARGE: lower}
    host_limits.change_waiting(limits, LARGE, 100, 9_000)
    _, reply = exchange(limits, limits, 9_000)
    assert sum(grant.tokens for grant in reply.grants) <= lower.size


def test_organisation_without_a_limit_is_admitted_at_once():
    limits = make_limits()
    assert host_limits.try_admit(limits, "other", 1_000) is ADMITTED
