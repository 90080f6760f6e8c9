"""Shares of a round of questions to all hosts of a large fleet."""

import random
from math import isqrt

from hypothesis import given
from hypothesis import strategies as st

from apricotshore.decisions.relays import ListedHost
from apricotshore.decisions.rounds import plan_shares
from apricotshore.identifiers import DataCentreId, HostId

FLEET = 7_399
TASK = "g1"


def make_host(number: int, centre: str = "a", *, leaving: bool = False) -> ListedHost:
    return ListedHost(
        host=HostId(f"h{number}"),
        data_centre=DataCentreId(centre),
        address=f"10.0.{number >> 8}.{number & 255}:1",
        leaving=leaving,
    )


def make_fleet(count: int = FLEET, centres: str = "abc") -> list[ListedHost]:
    return [make_host(n, centres[n % len(centres)]) for n in range(count)]


def list_asked(shares) -> list[HostId]:
    return sorted(h.host for s in shares for h in (s.forwarder, *s.hosts))


def list_forwarders(shares) -> set[HostId]:
    return {share.forwarder.host for share in shares}


def test_shares_of_the_target_fleet_are_as_many_as_hosts_in_each():
    shares = plan_shares(make_fleet(), (), TASK)
    assert len(shares) <= isqrt(FLEET) + 3
    assert max(len(share.hosts) for share in shares) <= isqrt(FLEET)


def test_shares_do_not_span_data_centres():
    for share in plan_shares(make_fleet(), (), TASK):
        assert len({h.data_centre for h in (share.forwarder, *share.hosts)}) == 1


def test_small_data_centres_share_forwarders():
    """Hundreds of data centres would be hundreds of connections at the holder."""
    fleet = [make_host(n, f"dc{n // 5}") for n in range(FLEET)]
    shares = plan_shares(fleet, (), TASK)
    assert len(shares) <= isqrt(FLEET) + 1
    assert list_asked(shares) == sorted(h.host for h in fleet)


def test_shares_do_not_depend_on_the_order_of_the_hosts():
    fleet = make_fleet()
    mixed = random.Random(1).sample(fleet, len(fleet))
    assert plan_shares(mixed, (), TASK) == plan_shares(fleet, (), TASK)


def test_leaving_and_avoided_hosts_are_asked_by_others():
    fleet = [make_host(n, leaving=n % 3 == 0) for n in range(300)]
    avoided = {h.host for h in fleet[1::3]}
    shares = plan_shares(fleet, avoided, TASK)
    staying = {h.host for h in fleet[2::3]}
    assert list_forwarders(shares) <= staying
    assert list_asked(shares) == sorted(h.host for h in fleet)


def test_data_centre_without_a_fit_host_is_asked_from_others():
    fleet = make_fleet(600)
    avoided = {h.host for h in fleet if h.data_centre == "b"}
    shares = plan_shares(fleet, avoided, TASK)
    assert list_forwarders(shares).isdisjoint(avoided)
    assert list_asked(shares) == sorted(h.host for h in fleet)


def test_fleet_with_no_fit_host_still_has_forwarders():
    fleet = make_fleet(200)
    shares = plan_shares(fleet, {h.host for h in fleet}, TASK)
    assert list_asked(shares) == sorted(h.host for h in fleet)


def test_rounds_of_two_groups_have_other_forwarders():
    """Many groups change their primary at once when a data centre is lost."""
    fleet = make_fleet()
    first = list_forwarders(plan_shares(fleet, (), "g1"))
    second = list_forwarders(plan_shares(fleet, (), "g2"))
    assert len(first & second) < len(first) / 4


def test_no_hosts_make_no_shares():
    assert plan_shares((), (), TASK) == ()


@given(
    centres=st.lists(st.sampled_from("abcd"), min_size=1, max_size=300),
    unfit=st.sets(st.integers(0, 299)),
)
def test_each_host_is_in_one_share_and_fit_ones_forward(centres, unfit):
    fleet = [make_host(number, centre) for number, centre in enumerate(centres)]
    avoided = {HostId(f"h{number}") for number in unfit}
    shares = plan_shares(fleet, avoided, TASK)
    assert list_asked(shares) == sorted(h.host for h in fleet)
    fit = {h.host for h in fleet} - avoided
    if len(fit) >= len(shares):
        assert list_forwarders(shares) <= fit
