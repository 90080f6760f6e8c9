"""Choice of relays, and the paths through them."""

from dataclasses import replace

from apricotshore.decisions import relays
from apricotshore.decisions.placement import Distance
from apricotshore.decisions.relays import Fleet, ListedHost
from apricotshore.identifiers import DataCentreId, HostId, ServerId

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}
S1 = ServerId("s1")


def measure(one, other):
    if one == other:
        return Distance.SAME_DATA_CENTRE
    same = REGIONS[one] == REGIONS[other]
    return Distance.SAME_REGION if same else Distance.REMOTE


def make_fleet(local_host: str, count: int = 30) -> Fleet:
    centres = sorted(REGIONS)
    hosts = [
        ListedHost(
            host=HostId(f"h{n}"),
            data_centre=DataCentreId(centres[n % 3]),
            address=f"10.0.0.{n}:1",
        )
        for n in range(count)
    ]
    return Fleet(local_host=HostId(local_host), hosts={h.host: h for h in hosts})


def list_near(fleet, server=S1):
    return relays.list_relays(fleet, server, DataCentreId("a1"), measure)


def test_hosts_connect_directly_while_the_limit_allows():
    assert relays.count_relays(make_fleet("h0", 6), 22) == 0
    assert relays.count_relays(make_fleet("h0", 30), 46) == relays.RELAYS_PER_SERVER
    assert relays.count_relays(Fleet(local_host=HostId("h0")), 1) == 0


def test_relays_are_near_the_server_and_the_same_for_every_host():
    lists = [list_near(make_fleet(f"h{n}")) for n in range(30)]
    assert all(each == lists[0] for each in lists)
    assert {h.data_centre for h in lists[0]} == {"a1"}


def test_relays_come_from_other_data_centres_if_the_nearest_has_too_few():
    fleet = make_fleet("h0")
    fleet.hosts = {
        h: v for h, v in fleet.hosts.items() if v.data_centre != "a1" or h == "h0"
    }
    centres = [h.data_centre for h in list_near(fleet)]
    assert centres == ["a1", "a2", "a2", "a2"]


def test_relays_connect_directly_and_other_hosts_spread_over_them():
    everyone = [make_fleet(f"h{n}") for n in range(30)]
    chosen = [relays.list_paths(f, list_near(f), 0) for f in everyone]
    assert sum(not paths for paths in chosen) == relays.RELAYS_PER_SERVER
    first = [paths[0].host for paths in chosen if paths]
    assert len(set(first)) == relays.RELAYS_PER_SERVER
    assert max(first.count(h) for h in set(first)) <= 15


def test_failed_relay_is_avoided_with_growing_backoff():
    fleet = make_fleet("h1")
    paths = relays.list_paths(fleet, list_near(fleet), 0)
    relays.observe_failure(fleet, paths[0].host, 0)
    assert paths[0] not in relays.list_paths(fleet, list_near(fleet), 100)
    back = relays.FIRST_BACKOFF_MS
    assert paths[0] in relays.list_paths(fleet, list_near(fleet), back)
    relays.observe_failure(fleet, paths[0].host, back)
    later = back + relays.FIRST_BACKOFF_MS
    assert paths[0] not in relays.list_paths(fleet, list_near(fleet), later)
    relays.observe_success(fleet, paths[0].host)
    assert paths[0] in relays.list_paths(fleet, list_near(fleet), later)


def test_hosts_connect_directly_when_all_relays_failed():
    fleet = make_fleet("h1")
    near = list_near(fleet)
    for relay in near:
        relays.observe_failure(fleet, relay.host, 0)
    assert relays.list_paths(fleet, near, 100) == []


def test_loss_of_a_relay_changes_one_relay():
    fleet = make_fleet("h0")
    before = list_near(fleet)
    del fleet.hosts[before[0].host]
    after = list_near(fleet)
    assert len({h.host for h in after} & {h.host for h in before}) == len(before) - 1


def mark_leaving(fleet: Fleet, *hosts: HostId) -> None:
    for host in hosts:
        fleet.hosts[host] = replace(fleet.hosts[host], leaving=True)


def without(fleet: Fleet, *hosts: HostId) -> Fleet:
    kept = {h: v for h, v in fleet.hosts.items() if h not in hosts}
    return Fleet(local_host=fleet.local_host, hosts=kept)


def choose_all(fleet: Fleet):
    """Return everything that is chosen from the hosts of a fleet."""
    return (
        list_near(fleet),
        relays.list_detours(fleet, S1),
        [relays.rank_host(fleet, f"g{n}") for n in range(20)],
    )


def test_leaving_hosts_are_chosen_for_nothing():
    fleet = make_fleet("h0")
    relay = next(h.host for h in list_near(fleet) if h.host != "h0")
    detour = next(h.host for h in relays.list_detours(fleet, S1) if h.host != relay)
    gone = (relay, detour)
    before = choose_all(fleet)
    mark_leaving(fleet, *gone)
    limit = 2 * (len(fleet.hosts) - len(gone))
    assert relays.count_relays(fleet, limit) == 0
    assert relays.count_relays(fleet, limit - 1) == relays.RELAYS_PER_SERVER
    chosen, expected = choose_all(fleet), choose_all(without(fleet, *gone))
    assert chosen == expected
    assert all(new != old for new, old in zip(chosen, before, strict=True))


def test_leaving_host_keeps_its_own_paths():
    fleet = make_fleet("h1")
    local = next(h.host for h in list_near(fleet))
    fleet.local_host = local
    before = list_near(fleet), relays.count_relays(fleet, 59)
    mark_leaving(fleet, local)
    after = list_near(fleet), relays.count_relays(fleet, 59)
    assert [h.host for h in after[0]] == [h.host for h in before[0]]
    assert after[1] == before[1] == relays.RELAYS_PER_SERVER
    assert relays.list_paths(fleet, after[0], 0) == []


def test_tasks_are_left_to_hosts_that_stay():
    fleet = make_fleet("h0", 3)
    assert relays.has_others(fleet)
    mark_leaving(fleet, HostId("h0"), HostId("h1"))
    assert relays.has_others(fleet)
    mark_leaving(fleet, HostId("h2"))
    assert not relays.has_others(fleet)
