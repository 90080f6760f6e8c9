"""Requests between hosts that carry a share of a large fleet."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace

import pytest
from apricotshore_platform import lines
from apricotshore_platform.peers import LinePeers

from apricotshore.decisions.relays import ListedHost
from apricotshore.decisions.rounds import HostAddress
from apricotshore.identifiers import DataCentreId, HostId
from apricotshore.pooling.fleet_asker import FleetAsker
from apricotshore.pooling.ports import ConnectionLostError, QuiesceReply
from apricotshore.services.clock import read_boot_ms
from tests.pooling.support import wait_until
from tests.pooling.test_host import running_host

from .test_quiesce import LOOPBACK, REQUEST, ask, find_port, listening

SHARED = replace(
    REQUEST,
    share=(
        HostAddress(host=HostId("h3"), address="10.0.0.3:1"),
        HostAddress(host=HostId("h4"), address="10.0.0.4:65535"),
    ),
)
MALFORMED_REQUESTS = [
    "QUIESCE g1 i-1 7 5 1500 SHARE",
    "QUIESCE g1 i-1 7 5 1500 SHARE h3",
    "QUIESCE g1 i-1 7 5 1500 SHARE h3 10.0.0.3:1 h4",
    "QUIESCE g1 i-1 7 5 1500 SHARE  10.0.0.3:1",
    "QUIESCE g1 i-1 7 5 1500 SHARE h3 10.0.0.3:1 ",
    "QUIESCE g1 i-1 7 5 1500 SHARE h3 10.0.0.3",
    "QUIESCE g1 i-1 7 5 1500 SHARE h3 10.0.0.3:0",
    "QUIESCE g1 i-1 7 5 1500 SHARE h3 10.0.0.3:65536",
    "QUIESCE g1 i-1 7 5 1500 SHARE h3 there:1",
    "QUIESCE g1 i-1 7 5 1500 SHARE h3 10.0.0.3:1 h3 10.0.0.4:1",
    "QUIESCE g1 i-1 7 5 1500 share h3 10.0.0.3:1",
    "QUIESCE g1 i-1 7 5 1500 h3 10.0.0.3:1",
    "QUIESCE g1 i-1 7 5 1500 repeated",
    "QUIESCE g1 i-1 7 5 1500 REPEATED REPEATED",
    "QUIESCE g1 i-1 7 5 1500 REPEATED ",
    "QUIESCE g1 i-1 7 5 SHARE h3 10.0.0.3:1",
]
MALFORMED_REPLIES = [
    "QUIESCED 3 2 SHARE",
    "QUIESCED 3 2 SHARE h3",
    "QUIESCED 3 2 SHARE -1",
    "QUIESCED 3 2 SHARE 1 ",
    "QUIESCED 3 2 SHARE 0 h3 h3",
    "QUIESCED 3 2 share 1",
    "QUIESCED 3 2 1 SHARE",
    "QUIESCED 3 SHARE 1",
]

# -- codec --


def test_request_with_a_share_as_a_line():
    line = lines.encode_quiesce(SHARED)
    expected = b"QUIESCE g1 i-1 7 5 1500 SHARE h3 10.0.0.3:1 h4 10.0.0.4:65535\r\n"
    assert line == expected
    assert lines.decode_quiesce(line[:-2].decode()) == SHARED


def test_repeated_request_as_a_line():
    request = replace(REQUEST, repeated=True)
    line = lines.encode_quiesce(request)
    assert line == b"QUIESCE g1 i-1 7 5 1500 REPEATED\r\n"
    assert lines.decode_quiesce(line[:-2].decode()) == request


@pytest.mark.parametrize(
    ("reply", "expected"),
    [
        (QuiesceReply(forwarded=2), b"QUIESCED 0 0 SHARE 2\r\n"),
        (
            QuiesceReply(ended=3, closed=2, missing=(HostId("h3"), HostId("h4"))),
            b"QUIESCED 3 2 SHARE 0 h3 h4\r\n",
        ),
    ],
)
def test_reply_of_a_forwarder_as_a_line(reply, expected):
    line = lines.encode_quiesce_reply(reply)
    assert line == expected
    assert lines.decode_quiesce_reply(line[:-2].decode()) == reply


@pytest.mark.parametrize("line", MALFORMED_REQUESTS)
def test_malformed_share_is_not_decoded(line):
    with pytest.raises(lines.LineError):
        lines.decode_quiesce(line)


@pytest.mark.parametrize("line", MALFORMED_REPLIES)
def test_malformed_reply_of_a_forwarder_is_not_decoded(line):
    with pytest.raises(lines.LineError):
        lines.decode_quiesce_reply(line)


def test_line_of_a_share_of_long_names_is_within_the_limit():
    share = tuple(
        HostAddress(host=HostId(f"{n:0253}"), address="100.100.100.100:65535")
        for n in range(256)
    )
    line = lines.encode_quiesce(replace(REQUEST, share=share))
    assert len(line) < lines.LINE_LIMIT


# -- over loopback --


def list_host(name: str, port: int) -> ListedHost:
    return ListedHost(
        host=HostId(name),
        data_centre=DataCentreId("a"),
        address=f"{LOOPBACK}:{port}",
    )


def make_share(ports: dict[str, int]) -> tuple[HostAddress, ...]:
    return tuple(
        HostAddress(host=HostId(name), address=f"{LOOPBACK}:{port}")
        for name, port in ports.items()
    )


@asynccontextmanager
async def listening_host(requests, *, delay_s: float = 0.0, reply=None):
    """Listen as a host that confirms requests and records them."""

    async def quiesce(request):
        requests.append(request)
        await asyncio.sleep(delay_s)
        return reply or QuiesceReply()

    async with listening(quiesce) as port:
        yield port


async def test_host_asks_its_share_and_confirms_whom_it_has_heard_from():
    requests = []
    async with AsyncExitStack() as stack:
        enter = stack.enter_async_context
        working = await enter(listening_host(requests, reply=QuiesceReply(closed=2)))
        frozen = await enter(listening_host(requests, delay_s=1.0))
        host, _ = await enter(running_host())
        host.asker.peers = LinePeers()
        forwarder = await enter(listening(host.quiesce))
        with_nobody = await asyncio.start_server(lambda r, w: None, LOOPBACK, 0)
        stopped = find_port(with_nobody)
        with_nobody.close()
        await with_nobody.wait_closed()
        share = make_share({"w": working, "f": frozen, "s": stopped})
        reply = await ask(forwarder, replace(REQUEST, share=share))
    assert reply == QuiesceReply(closed=2, forwarded=2, missing=(HostId("f"),))
    assert requests == [REQUEST, REQUEST]


async def test_round_over_sockets_through_forwarders():
    requests = []
    async with AsyncExitStack() as stack:
        hosts = []
        for number in range(30):
            asker = FleetAsker(peers=LinePeers())
            handler = make_handler(asker, requests)
            port = await stack.enter_async_context(listening(handler))
            hosts.append(list_host(f"h{number}", port))
        until = read_boot_ms() + 600
        asker = FleetAsker(peers=LinePeers())
        replies = await asker.ask_fleet(hosts, REQUEST, (), until)
    assert replies == {host.host: QuiesceReply() for host in hosts}
    assert requests == [REQUEST] * 30


def make_handler(asker: FleetAsker, requests: list):
    async def quiesce(plain):
        requests.append(plain)
        return QuiesceReply()

    async def handle(request):
        if request.share:
            return await asker.forward(request, quiesce)
        return await quiesce(request)

    return handle


async def test_share_of_a_request_that_was_given_up_is_not_asked_any_longer():
    """Its hosts would be held for nothing; each request of the forwarder is reset."""
    ends = []

    async def hang(reader, writer):
        await reader.readline()
        try:
            ends.append(await reader.read())
        except ConnectionResetError as error:
            ends.append(error)
        writer.close()

    server = await asyncio.start_server(hang, LOOPBACK, 0)
    share = make_share({"hanging": find_port(server)})
    handler = make_handler(FleetAsker(peers=LinePeers()), [])
    async with listening(handler) as port:
        began = read_boot_ms()
        with pytest.raises(ConnectionLostError):
            await ask(port, replace(REQUEST, share=share), timeout_s=0.1)
        await wait_until(lambda: ends)
        # Before the forwarder's own limit.
        assert read_boot_ms() - began < 250
    server.close()
    assert isinstance(ends[0], ConnectionResetError)


@pytest.mark.parametrize("line", MALFORMED_REQUESTS)
async def test_malformed_share_is_not_carried_out(line):
    requests = []
    async with listening_host(requests) as port:
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        writer.write(line.encode() + lines.END)
        assert await reader.read() == b""
        writer.close()
    assert requests == []
