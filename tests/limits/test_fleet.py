"""Bound and service of rate limits in a model fleet, in virtual time."""

import pytest

from apricotshore.decisions.ownership import weigh
from apricotshore.identifiers import HostId

from .faults import play_faults
from .model import LARGE, TINY, Fleet, make_organisation

START_MS = 20_000


def start_fleet(*organisations, hosts, seed=1, delay_ms=12):
    fleet = Fleet(seed=seed, organisations=list(organisations), delay_ms=delay_ms)
    for number in range(hosts):
        fleet.start(f"h{number}")
    fleet.run_until(START_MS)
    return fleet


@pytest.mark.parametrize("seed", range(14))
def test_no_window_exceeds_the_bound_amid_faults(seed):
    """Guards against allocators on several sides that hand out too much together."""
    fleet, largest = play_faults(seed, seconds=60)
    assert fleet.find_excess(LARGE) <= 0
    assert fleet.find_excess(TINY) <= 0
    assert largest <= 1 + 1e-9


@pytest.mark.parametrize("hosts", [1, 6, 86])
@pytest.mark.parametrize("part", [0.2, 0.9])
def test_what_is_below_the_limit_is_served(hosts, part):
    """Guards against tokens that are stranded at hosts which don't use them."""
    large = make_organisation(LARGE, 184, 184)
    tiny = make_organisation(TINY, 1, 1)
    fleet = start_fleet(large, tiny, hosts=hosts)
    end = fleet.now + 20_000
    fleet.drive(LARGE, 184 * part, end)
    fleet.drive(TINY, 0.4, end)
    fleet.run_until(end + 1_000)
    assert len(fleet.refused[LARGE]) <= 0.002 * fleet.asked[LARGE]
    assert not fleet.refused[TINY]
    assert fleet.asked[TINY] > 0


def test_excess_of_one_organisation_costs_another_nothing_and_is_used_up():
    greedy = make_organisation("greedy", 20, 20)
    fleet = start_fleet(greedy, make_organisation(TINY, 1, 1), hosts=12)
    end = fleet.now + 30_000
    fleet.drive(greedy.organisation, 120, end)
    fleet.drive(TINY, 0.5, end)
    fleet.run_until(end + 1_000)
    assert fleet.find_excess(greedy.organisation) <= 0
    # Guards against wants that no host's part of the tokens ever reaches.
    assert len(fleet.ran[greedy.organisation]) >= 20 * 30
    assert not fleet.refused[TINY]


def test_tiny_organisation_in_excess_gets_its_rate():
    """Guards against a bucket that is full, of which no host is due a whole token."""
    fleet = start_fleet(make_organisation(TINY, 1, 1), hosts=24)
    end = fleet.now + 60_000
    fleet.drive(TINY, 6, end)
    fleet.run_until(end)
    assert len(fleet.ran[TINY]) >= 55
    assert fleet.find_excess(TINY) <= 0


def test_shares_follow_demand_that_moves():
    """Guards against tokens that stay where the demand was."""
    large = make_organisation(LARGE, 184, 184)
    fleet = start_fleet(large, hosts=6)
    processes = list(fleet.processes.values())
    moved, end = fleet.now + 10_000, fleet.now + 20_000
    one, other = processes[0], processes[1]
    fleet.drive(LARGE, 1_000, end, lambda: one if fleet.now < moved else other)
    fleet.run_until(end)
    after = [t for t in fleet.by_host[other.name] if moved + 1_000 <= t < moved + 3_000]
    assert len(after) >= 0.9 * 2 * 184


def test_hosts_go_on_when_their_allocator_dies():
    """Guards against hosts that wait for an allocator which is gone."""
    large = make_organisation(LARGE, 184, 184)
    fleet = start_fleet(large, hosts=6)
    end = fleet.now + 15_000
    fleet.drive(LARGE, 100, end)
    fleet.run_until(fleet.now + 3_000)
    killed_at = fleet.now
    allocator = fleet.list_running()[0].limits.choice.home[0]
    fleet.kill(allocator)
    fleet.run_until(end)
    refused = fleet.refused[LARGE]
    assert max(refused, default=0) <= killed_at + 3_500
    assert fleet.find_excess(LARGE) <= 0


def test_joining_host_that_comes_first_interrupts_nothing():
    """Guards against a move of all hosts, which are counted nowhere meanwhile."""
    large = make_organisation(LARGE, 184, 184)
    fleet = start_fleet(large, hosts=6)
    running = fleet.list_running()
    names = (f"new{n}" for n in range(1_000))
    first = max(weigh("allocator", p.name) for p in running)
    name = next(n for n in names if weigh("allocator", n) > first)
    end = fleet.now + 40_000
    fleet.drive(LARGE, 150, end)
    fleet.start(name)
    fleet.run_until(end)
    assert len(fleet.refused[LARGE]) <= 0.002 * fleet.asked[LARGE]
    assert {p.limits.choice.home[0] for p in running} != {name}
    assert fleet.by_host[HostId(name)]


def test_both_sides_of_a_partition_serve_their_parts():
    """Guards against a side that gets nothing, or all of it."""
    large = make_organisation(LARGE, 184, 184)
    fleet = start_fleet(large, hosts=6)
    for name in ("h0", "h1"):
        fleet.sides[name] = 1
    fleet.store_cut = {"h0", "h1"}
    end = fleet.now + 30_000
    fleet.drive(LARGE, 1_000, end)
    fleet.run_until(end)
    late = end - 20_000
    small = sum(t >= late for n in ("h0", "h1") for t in fleet.by_host[n])
    whole = sum(t >= late for t in fleet.ran[LARGE])
    assert small == pytest.approx(20 * 184 / 3, rel=0.1)
    assert whole == pytest.approx(20 * 184, rel=0.05)
    assert fleet.find_excess(LARGE) <= 0
