"""Decisions on the freshness of the configuration."""

import pytest

from apricotshore.decisions.relays import ListedHost
from apricotshore.freshness import (
    NO_PROOF,
    ConfigurationState,
    FreshnessResponse,
    Proof,
    Relation,
    ServersState,
    choose_helpers,
    choose_vouchers,
    compare_configuration,
    compare_servers,
    derive_bounds,
    rank_vouchers,
)
from apricotshore.freshness.bounds import (
    ASK_PERIOD_MS,
    CONFIGURATION_PAUSE_MS,
    LATENCY_MS,
    MISSED_CHANGES_MS,
    ROUND_MS,
)
from apricotshore.freshness.revocations import list_revoked
from apricotshore.freshness.vouchers import HOSTS_PER_CELL, HOSTS_PER_VOUCHER
from apricotshore.identifiers import (
    DataCentreId,
    HostId,
    KeyDigest,
    OrganisationId,
    StoreEra,
    StoreRevision,
)
from apricotshore.routes import Configuration, Organisation

OWN = ConfigurationState(
    era=StoreEra(2), version=7, revision=StoreRevision(50), applied=StoreRevision(40)
)


def respond(era=2, version=7, revision=50, applied=40, changed=30) -> FreshnessResponse:
    return FreshnessResponse(
        version=version,
        era=StoreEra(era),
        age_ms=0,
        revision=StoreRevision(revision),
        applied=StoreRevision(applied),
        servers_changed=StoreRevision(changed),
        servers_age_ms=0,
    )


@pytest.mark.parametrize(
    ("response", "relation"),
    [
        (respond(), Relation.SAME),
        (respond(version=8), Relation.NEWER),
        (respond(revision=51), Relation.NEWER),
        (respond(era=3), Relation.NEWER),
        (respond(version=6, revision=50), Relation.OTHER),
        (respond(applied=39), Relation.OTHER),
        (respond(era=1, version=9), Relation.OTHER),
    ],
)
def test_only_the_same_state_is_vouched_for(response, relation):
    """Guards against a proof of other content under the same version or era."""
    assert compare_configuration(OWN, StoreEra(2), response) is relation


def test_nothing_is_vouched_for_across_a_restored_store():
    assert compare_configuration(None, StoreEra(2), respond()) is Relation.OTHER
    assert compare_configuration(OWN, StoreEra(3), respond()) is Relation.OTHER


@pytest.mark.parametrize(
    ("era", "changed", "relation"),
    [
        (2, 30, Relation.SAME),
        (2, 31, Relation.NEWER),
        (3, 1, Relation.NEWER),
        (1, 1, Relation.OTHER),
    ],
)
def test_servers_read_up_to_the_last_change_are_the_same(era, changed, relation):
    own = ServersState(
        era=StoreEra(2), revision=StoreRevision(30), changed=StoreRevision(10)
    )
    response = respond(era=era, changed=changed)
    assert compare_servers(own, StoreEra(2), response) is relation


def test_ages_add_up_and_an_older_response_takes_nothing_back():
    """Guards against a chain of hosts that makes a proof younger."""
    source, middle, last = Proof(), Proof(), Proof()
    assert source.tell_age(0) == NO_PROOF
    source.observe_read(1_000)
    middle.observe_vouched(asked_at=1_500, age_ms=source.tell_age(1_600))
    last.observe_vouched(asked_at=2_000, age_ms=middle.tell_age(2_100))
    assert last.proven_at <= middle.proven_at <= source.proven_at == 1_000
    middle.observe_vouched(asked_at=2_500, age_ms=last.tell_age(2_600))
    assert middle.proven_at <= 1_000
    last.observe_vouched(asked_at=2_700, age_ms=NO_PROOF)
    last.observe_vouched(asked_at=2_700, age_ms=9_000)
    assert last.proven_at == 1_000 - 100 - 1 - 100 - 1
    assert last.read_at is None


def test_a_vouchers_proof_lasts_for_a_round_of_requests():
    """Guards against hosts that watch though their voucher works."""
    bounds = derive_bounds(5_000, 5_000, 10_000, 5_000)
    assert bounds.serve_ms == 4_750
    wait_ms = bounds.configuration_wait_ms
    oldest_ms = MISSED_CHANGES_MS + 2 * wait_ms + CONFIGURATION_PAUSE_MS + LATENCY_MS
    assert oldest_ms + ROUND_MS <= bounds.configuration_ms
    assert oldest_ms + ASK_PERIOD_MS < bounds.serve_ms
    assert derive_bounds(0, 5_000, 10_000, 5_000).serve_ms == 0
    assert 0 < derive_bounds(200, 5_000, 10_000, 5_000).serve_ms < 200


def list_hosts(count: int, regions: int = 1, leaving: int = -1) -> list[ListedHost]:
    return [
        ListedHost(
            host=HostId(f"h{i}"),
            data_centre=DataCentreId(f"r{i % regions}"),
            address=f"10.0.0.{i}:1",
            leaving=i == leaving,
        )
        for i in range(count)
    ]


def rank(hosts, local: str, home: str = "r0"):
    return rank_vouchers(hosts, HostId(local), DataCentreId(home), str)


def test_hosts_of_a_region_ask_the_same_vouchers():
    hosts = list_hosts(30, regions=3)
    orders = {rank(hosts, h.host, "r0").vouchers for h in hosts[::3]}
    assert len(orders) == 1
    (order,) = orders
    assert {h.data_centre for h in order} == {"r0"}
    assert [h.host for h in choose_vouchers(rank(hosts, "new"), HostId("new"), ())] == [
        h.host for h in order[:2]
    ]
    first, second, third = order[:3]
    assert choose_vouchers(rank(hosts, first.host), first.host, ()) == []
    assert choose_vouchers(rank(hosts, second.host), second.host, ()) == [first]
    backed_off = {first.host}
    assert choose_vouchers(rank(hosts, third.host), third.host, backed_off) == [second]


def test_leaving_hosts_and_small_regions_have_no_voucher_of_their_own():
    hosts = list_hosts(8, leaving=3)
    assert all(h.host != "h3" for h in rank(hosts, "h1").vouchers)
    count = HOSTS_PER_VOUCHER - 1
    hosts = list_hosts(3 * count, regions=3)
    shared = {rank(hosts, h.host, h.data_centre).vouchers for h in hosts}
    assert len(shared) == 1


def test_a_large_region_has_several_vouchers():
    hosts = list_hosts(3 * HOSTS_PER_CELL)
    firsts = {rank(hosts, f"n{i}").vouchers[0].host for i in range(60)}
    assert len(firsts) == 3


def test_helpers_of_successive_rounds_are_others():
    order = rank(list_hosts(9), "h0")
    asked = list(order.helpers[:2])
    rounds = [choose_helpers(order, asked, number) for number in range(3)]
    assert {h.host for each in rounds for h in each} == {
        h.host for h in order.helpers[2:]
    }


def test_moved_and_removed_keys_are_revoked_and_shown_in_part():
    def configure(**keys: str) -> Configuration:
        return Configuration(
            revision=StoreRevision(1),
            organisations={
                OrganisationId(name): Organisation(
                    organisation=OrganisationId(name),
                    keys=frozenset(KeyDigest(k * 64) for k in each),
                )
                for name, each in keys.items()
            },
        )

    before, after = configure(a="123", b="4"), configure(a="1", b="43")
    assert list_revoked(before, after) == ["22222222", "33333333"]
    assert list_revoked(before, before) == []
    assert list_revoked(before, Configuration(revision=StoreRevision(2))) == [
        digit * 8 for digit in "1234"
    ]
