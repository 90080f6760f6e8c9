"""Decisions on keys, connections and relays of organisations."""

from dataclasses import replace

import pytest

from apricotshore import organisations
from apricotshore.decisions import quota, relays, wait_queue
from apricotshore.decisions.quota import ConnectionQuota
from apricotshore.decisions.wait_queue import REUSE_MS, Waiter, WaitQueue
from apricotshore.identifiers import OrganisationId
from apricotshore.organisations import Admission, WithdrawnKey, digest_key
from apricotshore.queries import FailureCode
from tests.pooling.callers_of_organisations import HELP, SHOP, make_keys
from tests.test_relays import make_fleet

ACME, AJAX = OrganisationId("acme"), OrganisationId("ajax")
KEYS = make_keys(("acme", "k1", "k2"), ("ajax", "k3"))
OPEN = replace(KEYS, organisations=None)
K1, K3 = digest_key("k1"), digest_key("k3")
OF_K1 = Admission(database=SHOP, organisation=ACME, key=K1)


@pytest.mark.parametrize(
    ("configuration", "database", "key", "found"),
    [
        (KEYS, SHOP, K1, OF_K1),
        (KEYS, SHOP, K3, Admission(database=SHOP, organisation=AJAX, key=K3)),
        (KEYS, SHOP, digest_key("k4"), FailureCode.UNAUTHORIZED),
        (KEYS, SHOP, None, FailureCode.UNAUTHORIZED),
        (KEYS, HELP, None, Admission(database=HELP)),
        (KEYS, HELP, K1, Admission(database=HELP)),
        (KEYS, "none", K1, FailureCode.NO_DATABASE),
        (KEYS, "none", None, FailureCode.NO_DATABASE),
        (OPEN, SHOP, K1, Admission(database=SHOP)),
        (make_keys(), SHOP, K1, FailureCode.UNAUTHORIZED),
    ],
)
def test_caller_is_identified_by_its_key_unless_its_route_is_public(
    configuration, database, key, found
):
    assert organisations.admit(configuration, database, key) == found


@pytest.mark.parametrize(
    ("admission", "configuration", "holds"),
    [
        (OF_K1, KEYS, True),
        (OF_K1, make_keys(("acme", "k1")), True),
        (OF_K1, make_keys(("acme", "k2")), False),
        (OF_K1, make_keys(("ajax", "k1")), False),
        (OF_K1, make_keys(("acme",), ("ajax", "k1")), False),
        (OF_K1, OPEN, False),
        (Admission(database=HELP), KEYS, True),
        (Admission(database=SHOP), KEYS, False),
        (Admission(database=SHOP), OPEN, True),
    ],
)
def test_session_goes_on_while_its_key_names_its_organisation(
    admission, configuration, holds
):
    assert organisations.is_admitted(configuration, admission) is holds


def test_withdrawn_keys_are_those_that_name_their_organisation_no_more():
    new = make_keys(("acme", "k1", "k3"))
    assert organisations.list_withdrawn(KEYS, new) == [
        WithdrawnKey(organisation=ACME, key=digest_key("k2")),
        WithdrawnKey(organisation=AJAX, key=K3),
    ]
    assert organisations.list_withdrawn(KEYS, KEYS) == []
    assert len(organisations.list_withdrawn(KEYS, OPEN)) == 3


def make_queue(*waiting: tuple[int, OrganisationId | None, int]) -> WaitQueue:
    """Return a queue of statements: their priority, organisation and arrival."""
    queue = WaitQueue()
    for number, (priority, organisation, since) in enumerate(waiting):
        waiter = Waiter(
            priority=priority,
            number=number,
            expires_at=1_000,
            organisation=organisation,
            since=since,
        )
        wait_queue.enqueue(queue, waiter)
    return queue


@pytest.mark.parametrize(
    ("waiting", "now", "number"),
    [
        ([(1, AJAX, 0), (1, ACME, 1)], REUSE_MS - 1, 1),
        ([(1, AJAX, 0), (1, ACME, 1)], REUSE_MS, 0),
        ([(1, ACME, 0), (1, AJAX, 1)], REUSE_MS, 0),
        ([(2, AJAX, 0), (1, ACME, 1)], 500, 1),
        ([(0, AJAX, 0), (1, ACME, 1)], REUSE_MS, 0),
        ([(1, AJAX, 0), (1, None, 1)], 0, 0),
    ],
)
def test_released_connection_is_used_again_for_a_bounded_time(waiting, now, number):
    queue = make_queue(*waiting)
    chosen = wait_queue.dequeue_for(queue, ACME, now, may_replace=True)
    assert chosen.number == number
    assert len(queue.heap) == len(waiting) - 1


def test_connection_is_not_replaced_while_the_server_refuses_others():
    queue = make_queue((1, AJAX, 0))
    assert wait_queue.dequeue_for(queue, ACME, 500, may_replace=False) is None
    assert len(queue.heap) == 1
    limited = ConnectionQuota(limit=20)
    assert quota.may_replace(limited, 0)
    quota.observe_refusal(limited, 4, 1_000)
    assert not quota.may_replace(limited, 1_000)
    assert quota.may_replace(limited, 1_000 + quota.EMPTY_RETRY_MS)
    assert not quota.may_open(limited, 1, 1_000 + quota.EMPTY_RETRY_MS)


def test_relay_of_organisations_keeps_its_idle_connections_while_there_is_room():
    relay = ConnectionQuota(limit=65, relays=4, is_relay=True, by_organisation=True)
    assert quota.count_kept_idle(relay, 0) == quota.find_max(relay, 0)
    quota.observe_refusal(relay, 10, 1_000)
    assert quota.count_kept_idle(relay, 1_000) == 0


def test_organisations_use_relays_from_fewer_hosts_on():
    fleet = make_fleet("h0", 9)
    assert relays.count_relays(fleet, 65) == 0
    fleet.by_organisation = True
    knowing = {n: replace(h, knows_organisations=True) for n, h in fleet.hosts.items()}
    fleet.hosts = knowing
    assert relays.count_relays(fleet, 72) == 0
    assert relays.count_relays(fleet, 71) == relays.RELAYS_PER_SERVER
