"""Stops of hosts that callers go on using (issue 54)."""

import random
from concurrent.futures import ProcessPoolExecutor

import pytest

from .failures import print_failure
from .fleet import GRACE_S
from .stops import Stops, choose_caller_port, draw_plan, list_balanced
from .test_run import make_host
from .test_soak import Case

MAX_PARALLEL = 2
CASES = [
    Case(seed=2, hosts=6, groups=3, rounds=Stops(count=2)),
    Case(seed=5, hosts=3, groups=2, callers=96, rounds=Stops(count=2)),
]


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Run all cases beside each other."""
    with ProcessPoolExecutor(MAX_PARALLEL) as pool:
        runs = {
            case.seed: pool.submit(case.run, tmp_path_factory.mktemp(str(case.seed)))
            for case in CASES
        }
        return {seed: run.result() for seed, run in runs.items()}


@pytest.mark.timeout(180)
@pytest.mark.parametrize("case", CASES, ids=lambda case: str(case.seed))
def test_stopping_hosts_cut_no_statement(case, results):
    result = results[case.seed]
    print_failure(result)
    assert result.violations == []
    assert result.served > 300
    assert result.restarts >= case.rounds.count


def make_hosts(folder, zones: str) -> list:
    hosts = [make_host(f"h{number}", folder) for number in range(len(zones))]
    for host, zone in zip(hosts, zones, strict=True):
        host.zone = zone
    return hosts


def test_plans_belong_to_a_seed_and_vary():
    plans = [draw_plan(6, ["g0", "g1"], random.Random(seed)) for seed in range(200)]
    again = [draw_plan(6, ["g0", "g1"], random.Random(seed)) for seed in range(200)]
    assert [str(plan) for plan in plans] == [str(plan) for plan in again]
    stops = [stop for plan in plans for stop in plan.stops]
    assert {len(plan.stops) for plan in plans} == {1, 2, 3}
    assert any(stop.reload_after_s is not None for stop in stops)
    assert any(stop.stop_start_after_s is not None for stop in stops)
    frozen = [stop.freeze for stop in stops if stop.freeze]
    # A process that goes on by then has time left to end.
    assert frozen and all(sum(freeze) < GRACE_S - 1.0 for freeze in frozen)


def test_some_callers_come_to_a_stopping_host(tmp_path, monkeypatch):
    hosts = make_hosts(tmp_path, "aab")
    monkeypatch.setattr(type(hosts[0]), "is_running", True)
    hosts[1].stopping = True
    hosts[1].failed_checks = 2
    rng = random.Random(1)
    names = [
        {choose_caller_port(hosts, caller, rng)[0] for _ in range(50)}
        for caller in range(3)
    ]
    assert names == [{"h0", "h2"}, {"h1"}, {"h1"}]


def test_all_hosts_are_used_where_fewer_than_half_are_in_rotation(tmp_path):
    hosts = make_hosts(tmp_path, "aab")
    hosts[0].failed_checks = 2
    assert [host.name for host in list_balanced(hosts, "a")] == ["h1"]
    hosts[1].failed_checks = 2
    assert [host.name for host in list_balanced(hosts, "a")] == ["h0", "h1"]
