"""Requests between hosts for the age of their proofs, over sockets."""

import asyncio
import re
import socket
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
from apricotshore_platform import freshness, program
from apricotshore_platform.callers import listen_for_hosts
from apricotshore_platform.peers import MAX_CHANNELS, LinePeers

from apricotshore.decisions.relays import ListedHost
from apricotshore.freshness import NO_PROOF, FreshnessRequest, FreshnessResponse
from apricotshore.identifiers import DataCentreId, HostId, StoreEra, StoreRevision
from apricotshore.pooling.listeners import HostHandler
from apricotshore.pooling.ports import ConnectionLostError
from apricotshore.pooling.stored_objects import Change, StoredKind
from apricotshore.queries import FailureCode
from tests.pooling.support import wait_until
from tests.pooling.test_freshness_host import OLD_KEY, STRICT, write_keys
from tests.pooling.test_host import running_host

LOOPBACK = "127.0.0.1"
TIMEOUT_S = 0.15
REQUEST = FreshnessRequest(version=7, era=StoreEra(2))


def make_response(age_ms: int) -> FreshnessResponse:
    return FreshnessResponse(
        version=7,
        era=StoreEra(2),
        age_ms=age_ms,
        revision=StoreRevision(50),
        applied=StoreRevision(40),
        servers_changed=StoreRevision(30),
        servers_age_ms=NO_PROOF,
    )


def list_host(port: int, name: str = "h2") -> ListedHost:
    return ListedHost(
        host=HostId(name), data_centre=DataCentreId("a"), address=f"{LOOPBACK}:{port}"
    )


@asynccontextmanager
async def listening(questions):
    """Listen for other hosts; yield the port."""

    async def serve(group, server, link):
        raise AssertionError("no connection is accepted")

    handler = HostHandler(
        admit=lambda group, server: FailureCode.WRONG_SERVER,
        serve=serve,
        quiesce=serve,
        questions=questions,
    )
    server = await listen_for_hosts(f"{LOOPBACK}:0", handler)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


@pytest.fixture
def unused_tcp_ports() -> list[int]:
    """Return two ports at which nobody listens."""
    with socket.socket() as one, socket.socket() as other:
        for each in (one, other):
            each.bind((LOOPBACK, 0))
        return [each.getsockname()[1] for each in (one, other)]


def test_lines_are_read_as_they_were_written():
    assert freshness.decode_request(freshness.encode_request(REQUEST)) == REQUEST
    assert freshness.encode_request(REQUEST) == "FRESH 7 2"
    for response in (make_response(12), make_response(NO_PROOF)):
        line = freshness.encode_response(response)
        assert freshness.decode_response(line) == response
        assert freshness.decode_response(f"{line} 9 later-words") == response


@pytest.mark.parametrize(
    "line",
    [
        "",
        "FRESH",
        "FRESH 7",
        "FRESH 7 x",
        "FRESH  7 2",
        "FRESH 7 -1",
        "FRESH 7 \u00b2",
        "FRESH 7 " + "9" * 30,
        "fresh 7 2",
    ],
)
def test_malformed_lines_are_refused(line):
    with pytest.raises(ValueError):
        freshness.decode_request(line)
    with pytest.raises(ValueError):
        freshness.decode_response(line)


@pytest.mark.parametrize(
    "line", ["FRESH 7 2 -2 1 1 1 1", "FRESH 7 2 1.5 1 1 1 1", "FRESH 7 2 1 1 1 1"]
)
def test_malformed_responses_are_refused(line):
    with pytest.raises(ValueError):
        freshness.decode_response(line)


async def test_hosts_ask_again_over_one_connection():
    asked = []

    async def answer(request):
        asked.append(request)
        return make_response(len(asked))

    peers = LinePeers()
    questions = {freshness.FRESH: freshness.make_answer(answer)}
    async with listening(questions) as port:
        for number in (1, 2, 3):
            found = await peers.ask_freshness(list_host(port), REQUEST, TIMEOUT_S)
            assert found == make_response(number)
        for number in range(MAX_CHANNELS + 3):
            await peers.ask_freshness(list_host(port, f"o{number}"), REQUEST, TIMEOUT_S)
        assert len(peers.channels.channels) == MAX_CHANNELS
        peers.close()
    assert set(asked) == {REQUEST}


async def test_a_late_response_is_never_read_as_that_to_a_later_request():
    """Guards against an age that counts from a request it does not belong to."""
    delays = [0.3, 0.0]

    async def answer(request):
        delay = delays.pop(0)
        await asyncio.sleep(delay)
        return make_response(int(delay * 1000))

    peers = LinePeers()
    questions = {freshness.FRESH: freshness.make_answer(answer)}
    async with listening(questions) as port:
        with pytest.raises(ConnectionLostError):
            await peers.ask_freshness(list_host(port), REQUEST, TIMEOUT_S)
        found = await peers.ask_freshness(list_host(port), REQUEST, TIMEOUT_S)
        assert found == make_response(0)
        peers.close()


async def test_a_host_of_the_version_before_gives_no_response_at_once():
    """Guards against an upgrade in which each request takes its whole timeout."""
    loop = asyncio.get_running_loop()
    async with listening({}) as port:
        began = loop.time()
        with pytest.raises(ConnectionLostError):
            await LinePeers().ask_freshness(list_host(port), REQUEST, 5.0)
        assert loop.time() - began < 1.0


async def test_a_running_host_answers_with_the_age_of_its_proof():
    async with running_host(STRICT) as (host, store):
        write_keys(store, 7, OLD_KEY)
        await wait_until(lambda: host.is_ready)
        server = await program._listen_for_hosts(host, f"{LOOPBACK}:0")
        port = server.sockets[0].getsockname()[1]
        peers = LinePeers()
        try:
            found = await peers.ask_freshness(list_host(port), REQUEST, TIMEOUT_S)
        finally:
            peers.close()
            server.close()
        assert found.version == 7
        assert found.revision == found.applied == 7
        assert 0 < found.age_ms < host.freshness.bounds.serve_ms
        assert found.servers_age_ms >= 0


async def test_a_host_cut_from_the_store_is_vouched_for_over_sockets(unused_tcp_ports):
    """Guards against a host whose parts don't reach each other."""
    strict = STRICT.replace("600 ms", "5 s")
    entries = [list_host(port, f"host-{port}") for port in unused_tcp_ports]
    listed = [Change(name=e.host, content=e, removed=False) for e in entries]
    servers = []
    async with AsyncExitStack() as stack:
        hosts, stores = [], []
        for entry in entries:
            text = re.sub("(?m)^name = .*", f"name = {entry.host}", strict)
            host, store = await stack.enter_async_context(running_host(text))
            host.freshness_asker.peers = LinePeers()
            stack.callback(host.freshness_asker.peers.close)
            store.lists[StoredKind.HOST] = listed
            write_keys(store, 7, OLD_KEY)
            servers.append(await program._listen_for_hosts(host, entry.address))
            hosts.append(host)
            stores.append(store)
        try:
            await wait_until(lambda: all(len(h.fleet.hosts) == 2 for h in hosts))
            await wait_until(
                lambda: any(h.freshness.rested_ms[StoredKind.SERVER] for h in hosts)
            )
            resting = next(h for h in hosts if not h.freshness.is_voucher)
            stores[hosts.index(resting)].down = True
            await asyncio.sleep(resting.freshness.bounds.serve_ms / 1000 + 0.5)
            assert resting.is_ready
            servers[1 - hosts.index(resting)].close()
            hosts[1 - hosts.index(resting)].freshness.configuration_state = None
            await wait_until(lambda: not resting.is_ready)
        finally:
            for server in servers:
                server.close()
