"""Reads that leave the data centre: the decision, and a model of hosts and servers."""

import pytest

from apricotshore import spillover
from apricotshore.decisions.placement import Distance, ServerLoad
from apricotshore.identifiers import ServerId
from apricotshore.spillover import Candidate, Prices, ServerTimes, Shares, Tier

from .spillovermodel import play

HERE, REGION, FAR = Distance
OBJECTIVE_MS = 400


def tier(distance: Distance, expected_ms: float, age_ms: int = 10) -> Tier:
    return Tier(distance=distance, expected_ms=expected_ms, age_ms=age_ms, size=1_024)


def decide(shares: Shares, *tiers: Tier, periods: int = 8, price: int = 50) -> None:
    for _ in range(periods):
        now = shares.updated_at + 1_000
        prices = Prices(hop_ms=price, kib_ms=0)
        spillover.update(shares, list(tiers), OBJECTIVE_MS, prices, now)


def candidate(name: str, distance: Distance, answered_ms: float | None = 30.0):
    load = ServerLoad(server=ServerId(name), distance=distance, slots=5)
    times = ServerTimes(answered_ms=answered_ms, answered_at=1_000)
    return Candidate(load=load, times=times)


def rank(shares: Shares, *candidates: Candidate, now: int = 1_000) -> list[str]:
    tiers = spillover.list_tiers(candidates, None, now)
    ranked = spillover.rank_readers(shares, candidates, tiers, None, now)
    return [c.load.server for c in ranked]


def test_reads_stay_while_the_gain_is_below_the_price():
    shares = Shares()
    decide(shares, tier(HERE, 100), tier(REGION, 55), price=50)
    assert shares.beyond[HERE] == 0
    decide(shares, tier(HERE, 100), tier(REGION, 55), price=40)
    assert shares.beyond[HERE] > 0.3


def test_objective_takes_precedence_over_the_price():
    shares = Shares()
    decide(shares, tier(HERE, 300), tier(FAR, 60), price=10_000)
    assert shares.beyond[HERE] > 0.9


def test_nearer_region_is_left_only_once_it_is_late_itself():
    shares = Shares()
    decide(shares, tier(HERE, 300), tier(REGION, 40), tier(FAR, 60))
    assert shares.beyond[HERE] > 0.9
    assert shares.beyond[REGION] == 0
    decide(shares, tier(HERE, 300), tier(REGION, 300), tier(FAR, 60))
    assert shares.beyond[REGION] > 0.5


def test_share_stays_between_the_two_thresholds():
    """Reads that returned as soon as the queue was shorter filled it again."""
    shares = Shares()
    decide(shares, tier(HERE, 300), tier(FAR, 60), periods=2)
    held = dict(shares.beyond)
    decide(shares, tier(HERE, 110), tier(FAR, 60))
    assert shares.beyond == held
    decide(shares, tier(HERE, 40), tier(FAR, 60))
    assert shares.beyond[HERE] == 0


def test_share_falls_where_response_times_are_old():
    shares = Shares(beyond={HERE: 0.5, REGION: 0.0})
    decide(shares, tier(HERE, 300, age_ms=5_000), tier(FAR, 60), periods=3)
    assert 0 < shares.beyond[HERE] < 0.5


def test_reads_are_spread_evenly_by_their_number():
    shares = Shares(beyond={HERE: 0.3, REGION: 0.1})
    firsts = [
        spillover.choose_distance(shares, (HERE, REGION, FAR)) for _ in range(100)
    ]
    counts = [firsts.count(distance) for distance in Distance]
    assert counts == pytest.approx([70, 20, 10], abs=2)


def test_read_that_is_shed_goes_on_to_the_nearest_other_server():
    servers = [candidate("far", FAR), candidate("near", REGION), candidate("own", HERE)]
    assert rank(Shares(), *servers) == ["own", "near", "far"]


def test_server_that_hangs_is_passed_by_and_moves_no_share():
    own, far = candidate("own", HERE), candidate("far", FAR)
    own.load.silent_until = 2_000
    shares = Shares()
    assert rank(shares, own, far) == ["far", "own"]
    assert spillover.list_tiers([own, far], None, 1_000)[0].distance is FAR
    assert rank(shares, own, far, now=2_001) == ["own", "far"]


def test_server_that_sheds_soon_is_not_taken_for_a_late_one():
    own = candidate("own", HERE)
    for _ in range(20):
        spillover.observe_full(own.times)
    (first, _) = spillover.list_tiers([own, candidate("far", FAR)], None, 1_000)
    assert (first.expected_ms, first.shed > 0.9) == (30.0, True)


@pytest.mark.parametrize("scene", ["crest", "sheds", "one data centre"])
def test_fewer_bytes_leave_and_the_objective_is_kept(scene):
    """In the model, the ranking by expected time swings between the regions."""
    before, after = (play(policy, scene, Prices()) for policy in ("today", "decision"))
    assert after.in_time >= before.in_time
    assert after.left_bytes < 0.8 * before.left_bytes
    assert after.swing < before.swing
    assert after.refused == 0


def test_long_queues_of_late_reads_are_left_in_time():
    after = play("decision", "one data centre", Prices(), queue=96)
    assert after.in_time > 0.99
