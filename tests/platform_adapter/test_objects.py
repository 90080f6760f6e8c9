"""Decoding of valid and malformed objects of the store."""

from pathlib import Path

import pytest
from apricotshore_platform.objects import (
    decode_configuration,
    decode_host,
    decode_lease,
    decode_server,
    encode_host,
)

from apricotshore.decisions.lease import FormerPrimaries
from apricotshore.decisions.relays import ListedHost
from apricotshore.identifiers import DataCentreId, HostId, Term
from apricotshore.routes import Consistency

META = {"name": "main", "revision": 7}
ROUTE = {
    "name": "r-1",
    "database": "shop",
    "type": "bounded_staleness",
    "timeoutMs": 2000,
    "targetLatencyMs": 800,
    "priority": 2,
    "service": "g1",
    "maxStalenessMs": 1500,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "g1", "maxConnections": 22}],
    "limits": {"txIdleMs": 3000},
}
ENTRY = {
    "service": "g1",
    "address": "10.128.0.9:8080",
    "zone": "braga-a",
    "slots": 3,
    "state": "ready",
    "dbRole": "replica",
    "born": 12,
}


def make(spec, meta=META):
    return {"meta": meta, "spec": spec, "status": None}


def test_configuration_is_decoded():
    found = decode_configuration(make(CONFIGURATION))
    assert found is not None
    assert (found.revision, found.version, found.idle_transaction_ms) == (7, 7, 3000)
    route = found.routes["shop"]
    assert route.consistency is Consistency.BOUNDED
    assert (route.group, route.staleness_ms, route.timeout_ms) == ("g1", 1500, 2000)
    assert found.groups["g1"].connections == 22


@pytest.mark.parametrize(
    "spec",
    [
        None,
        "text",
        {},
        {**CONFIGURATION, "routes": None},
        {**CONFIGURATION, "routes": [{**ROUTE, "type": "new"}]},
        {**CONFIGURATION, "limits": 3},
    ],
)
def test_malformed_configuration_is_none(spec):
    assert decode_configuration(make(spec)) is None


def test_server_is_decoded():
    found = decode_server(make(ENTRY, {"name": "i-1", "revision": 9}))
    assert found is not None
    assert (found.server, found.group, found.started_ms) == ("i-1", "g1", 12)
    assert not found.leaving
    assert not found.reports_primary


@pytest.mark.parametrize("field", ["service", "address", "zone", "state"])
@pytest.mark.parametrize("value", [None, 7, "", [], {}])
def test_server_with_a_missing_or_mistyped_field_is_none(field, value):
    assert decode_server(make({**ENTRY, field: value})) is None
    without = {key: kept for key, kept in ENTRY.items() if key != field}
    assert decode_server(make(without)) is None


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"address": "nowhere"},
        {"address": "127.0.0.1:70000"},
        {"address": "127.0.0.1:0"},
        {"address": "host\r\n:80"},
        {"slots": "3"},
        {"slots": float("inf")},
        {"slots": float("nan")},
        {"slots": 10**400},
        {"slots": -1},
        {"service": "g1 x\r\nQUERY"},
        {"service": "\ud800"},
        {"born": True},
    ],
)
def test_server_with_an_invalid_value_is_none(change):
    assert decode_server(make({**ENTRY, **change})) is None


def test_lease_without_a_revision_is_none():
    assert decode_lease({"meta": {"name": "g1.2"}, "spec": {"holder": "h"}}) is None
    meta = {"name": "g.1.2", "revision": 7}
    held = decode_lease(make({"holder": "h/1", "open": True}, meta))
    assert held is not None
    assert held.open
    assert (held.group, held.era) == ("g.1", 2)


def test_lease_names_the_primaries_that_a_change_replaces():
    meta = {"name": "g1.2", "revision": 7}
    spec = {"holder": "h/1", "open": True, "former": ["i-1", "i-2"], "formerTerm": 4}
    held = decode_lease(make(spec, meta))
    assert held is not None
    assert held.former == FormerPrimaries(servers=("i-1", "i-2"), term=Term(4))


def test_lease_of_an_older_host_names_no_former_primary():
    held = decode_lease(
        make({"holder": "h/1", "open": True}, {"name": "g1.2", "revision": 7})
    )
    assert held is not None
    assert held.former == FormerPrimaries()


@pytest.mark.parametrize(
    "change",
    [{"former": "i-1"}, {"former": [1]}, {"former": ["a b"]}, {"formerTerm": -1}],
)
def test_lease_with_invalid_former_primaries_is_none(change):
    spec = {"holder": "h/1", "open": True, **change}
    assert decode_lease(make(spec, {"name": "g1.2", "revision": 7})) is None


@pytest.mark.parametrize("name", ["g1", ".2", "g1.", "g1.x"])
def test_lease_without_a_group_and_an_era_is_none(name):
    meta = {"name": name, "revision": 7}
    assert decode_lease(make({"holder": "h/1", "open": True}, meta)) is None


def list_host(*, leaving: bool) -> ListedHost:
    return ListedHost(
        host=HostId("h1"),
        data_centre=DataCentreId("braga-a"),
        address="10.0.0.1:80",
        leaving=leaving,
    )


@pytest.mark.parametrize("leaving", [True, False])
def test_host_is_encoded_and_decoded(leaving):
    host = list_host(leaving=leaving)
    item = encode_host(host)
    item["meta"]["revision"] = 3
    assert decode_host(item) == host


@pytest.mark.parametrize("value", [None, "true", 1, [], {}])
def test_host_without_a_valid_mark_is_not_leaving(value):
    item = encode_host(list_host(leaving=True))
    item["meta"]["revision"] = 3
    item["spec"]["leaving"] = value
    assert decode_host(item) == list_host(leaving=False)
    del item["spec"]["leaving"]
    assert decode_host(item) == list_host(leaving=False)


def test_words_of_the_platform_occur_only_in_the_adapter():
    words = (
        "maxStalenessMs", "dbRole", "Fencing-Token", "coldRemainingMs", "cloudApi",
        "storeRevision", "bindAddresses", "STEPDOWN", "LAGGING", "WRONGNODE",
    )  # fmt: skip
    root = Path(__file__).parents[2]
    knowing = [
        str(path.relative_to(root))
        for folder in ("src", "standins", "tools")
        for path in (root / folder).rglob("*.py")
        if any(word in path.read_text() for word in words)
    ]
    assert knowing == []
