"""Organisations in the configuration, and keys on the line protocol."""

import asyncio
import json
from dataclasses import replace

import pytest
from apricotshore_platform import callers
from apricotshore_platform.backends import LineDialer
from apricotshore_platform.objects import (
    MalformedError,
    decode_configuration,
    decode_host,
    encode_host,
    read_configuration,
)
from apricotshore_platform.store import PlatformStore

from apricotshore.decisions.relays import ListedHost
from apricotshore.identifiers import DataCentreId, HostId, OrganisationId
from apricotshore.organisations import digest_key
from apricotshore.pooling.listeners import CallerHandler
from apricotshore.pooling.stored_objects import StoredKind
from apricotshore.queries import Query, QueryKind
from apricotshore.routes import Organisation
from tests.pooling.callers_of_organisations import OrganisationsBed
from tests.pooling.support import read, write

from .test_objects import CONFIGURATION, META, ROUTE
from .test_relays import S1, set_value, start_relay

SECRET = "s3cr3t-of-acme"
ACME = {
    "name": "acme",
    "apiKeys": [SECRET, "k2"],
    "priority": 0,
    "ratePerS": 40,
    "burst": 10,
}
AJAX = {"name": "ajax", "apiKeys": [], "priority": 2, "ratePerS": 1, "burst": 0}


def make_object(*tenants, **spec):
    return {"meta": META, "spec": CONFIGURATION | {"tenants": list(tenants)} | spec}


def test_organisations_of_a_configuration():
    found = decode_configuration(make_object(ACME, AJAX))
    assert found.organisations == {
        "acme": Organisation(
            organisation=OrganisationId("acme"),
            keys=frozenset({digest_key(SECRET), digest_key("k2")}),
            rate_per_s=40,
            burst=10,
            priority=0,
        ),
        "ajax": Organisation(
            organisation=OrganisationId("ajax"), rate_per_s=1, priority=2
        ),
    }
    assert SECRET not in repr(found)
    assert decode_configuration(make_object()).organisations == {}
    plain = decode_configuration({"meta": META, "spec": CONFIGURATION})
    assert plain.organisations is None
    assert not plain.routes["shop"].public


def test_public_route():
    item = make_object(ACME, routes=[ROUTE | {"public": True}])
    assert decode_configuration(item).routes["shop"].public


@pytest.mark.parametrize(
    ("item", "why"),
    [
        (make_object(ACME | {"name": ""}), "organisation 1: name is not"),
        (make_object(ACME | {"name": "a b"}), "organisation 1: name is not"),
        (make_object(ACME | {"name": "apricotshore"}), "is taken"),
        (make_object({"apiKeys": [SECRET]}), "organisation 1: name is not"),
        (make_object(SECRET), "organisation 1 is not an object"),
        (make_object(ACME, ACME), "'acme': another one has the same name"),
        (make_object(ACME | {"apiKeys": SECRET}), "apiKeys is not a list"),
        (make_object(ACME | {"apiKeys": None}), "apiKeys is not a list"),
        (make_object(ACME | {"apiKeys": [SECRET, ""]}), "key 2 is not a non-empty"),
        (make_object(ACME | {"apiKeys": [7]}), "key 1 is not a non-empty"),
        (
            make_object(ACME, AJAX | {"apiKeys": ["k9", SECRET]}),
            f"2, 'ajax': its key {digest_key(SECRET)[:8]} is also one of 'acme'",
        ),
        (make_object(ACME | {"ratePerS": 0}), "'acme': ratePerS is not a positive"),
        (make_object(ACME | {"ratePerS": -1}), "ratePerS is not a whole"),
        (make_object(ACME | {"ratePerS": 1.5}), "ratePerS is not a whole"),
        (make_object(ACME | {"ratePerS": SECRET}), "ratePerS is not a whole"),
        (make_object(ACME | {"burst": "9"}), "burst is not a whole"),
        (make_object(tenants={"acme": SECRET}), "tenants is not a list"),
        (make_object(tenants=None), "tenants is not a list"),
        (make_object(ACME, routes=[ROUTE | {"public": "no"}]), "public is neither"),
        (make_object(ACME, routes=[ROUTE | {"type": SECRET}]), "KeyError"),
    ],
)
def test_malformed_organisation_makes_the_version_malformed(item, why):
    assert decode_configuration(item) is None
    with pytest.raises(MalformedError) as error:
        read_configuration(item)
    assert why in str(error.value)
    assert SECRET not in str(error.value)


def test_log_can_say_why_a_version_is_refused():
    store = PlatformStore(store_address="127.0.0.1:1", promotion_address="127.0.0.1:1")
    item = make_object(ACME | {"ratePerS": 0})
    change = store._decode(StoredKind.CONFIGURATION, item, removed=False)
    assert change.content is None
    assert "'acme': ratePerS" in change.why


def test_host_declares_that_it_knows_organisations():
    host = ListedHost(
        host=HostId("h1"), data_centre=DataCentreId("a"), address="10.0.0.1:1"
    )
    knowing = replace(host, knows_organisations=True)
    item = json.loads(json.dumps(encode_host(knowing)))
    item["meta"]["revision"] = 3
    assert decode_host(item) == knowing
    del item["spec"]["organisations"]
    assert decode_host(item) == host


async def talk(bed: OrganisationsBed, *sent: str) -> list[bytes]:
    """Send lines to a host, each once the one before was answered."""
    handler = CallerHandler(admit=bed.callers.admit, serve=bed.callers.serve)
    server = await callers.listen("127.0.0.1:0", handler)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    received = []
    async with asyncio.timeout(3):
        for line in sent:
            writer.write(f"{line}\r\n".encode())
            received.append(await reader.readline())
        writer.close()
        await writer.wait_closed()
    server.close()
    return received


@pytest.mark.parametrize(
    ("startup", "answer"),
    [
        (f"STARTUP shop {SECRET}", b"READY I -\r\n"),
        (f"STARTUP shop {SECRET}x", b"ERROR UNAUTH shop\r\n"),
        ("STARTUP shop", b"ERROR UNAUTH shop\r\n"),
        ("STARTUP shop ", b"ERROR UNAUTH shop\r\n"),
        (f"STARTUP cellar {SECRET}", b"ERROR NODATABASE cellar\r\n"),
        ("STARTUP cellar nokey", b"ERROR NODATABASE cellar\r\n"),
        ("STARTUP help", b"READY I -\r\n"),
        ("STARTUP help nokey", b"READY I -\r\n"),
    ],
)
async def test_key_in_the_startup_of_a_caller(startup, answer):
    assert await talk(OrganisationsBed(("acme", SECRET)), startup) == [answer]


async def test_key_is_in_no_error():
    startup = f"STARTUP shop {SECRET}"
    answers = await talk(OrganisationsBed(("acme", SECRET)), startup, startup)
    assert answers[1] == b"ERROR MALFORMED the session is open\r\n"


async def test_server_is_told_the_organisation_and_no_key():
    words = []

    async def answer(reader, writer):
        words.append((await reader.readline()).decode().split()[2])
        writer.write(b"READY I -\r\n")

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    bed = OrganisationsBed()
    listed = replace(bed.model.list(bed.model.servers[S1]), address=f"127.0.0.1:{port}")
    for organisation in ("acme", None):
        (await LineDialer().dial(listed, 1.0, organisation)).close()
    server.close()
    assert words == ["acme", "apricotshore"]


async def test_statements_of_organisations_never_meet_at_a_relay():
    """Two connections for three kinds of links, each used by two of them."""
    begin = Query(kind=QueryKind.BEGIN)
    async with start_relay() as (relay, dial):
        relay.host.group.pools[S1].quota.limit = 6
        address = (await dial()).writer.get_extra_info("peername")
        listed = replace(
            relay.model.list(relay.model.servers[S1]),
            address=f"127.0.0.1:{address[1]}",
        )

        async def work(name: str | None, number: int) -> None:
            link = await LineDialer().dial(listed, 1.0, name)
            await link.run([set_value("who", str(name))], None, 1.0)
            for turn in range(4):
                await link.run([read(f"{name}-{number}{turn}")], None, 1.0)
                if (await link.run([begin], None, 1.0))[0].failure is not None:
                    continue
                await link.run([write(f"{name}-t{number}{turn}")], None, 1.0)
                await link.run([Query(kind=QueryKind.ROLLBACK)], None, 1.0)

        async with asyncio.TaskGroup() as tasks:
            for number in range(2):
                for name in ("acme", "ajax", None):
                    tasks.create_task(work(name, number))
    seen = [
        (str(link.organisation), query.request.partition("-")[0], values)
        for link in relay.host.dialer.links
        for query, values in link.received
        if "-" in query.request[1:]
    ]
    assert {organisation for organisation, _, _ in seen} == {"acme", "ajax", "None"}
    assert all(organisation == owner for organisation, owner, _ in seen)
    assert all(values == {"who": owner} for _, owner, values in seen)
    assert relay.host.group.pools[S1].evictions > 0
