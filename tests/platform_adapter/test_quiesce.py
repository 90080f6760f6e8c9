"""Requests between hosts to send nothing more to a server."""

import asyncio
import errno
import socket
import struct
from contextlib import asynccontextmanager

import pytest
from apricotshore_platform import lines, peers, program
from apricotshore_platform.backends import LineDialer
from apricotshore_platform.callers import listen_for_hosts
from apricotshore_platform.peers import LinePeers

from apricotshore.decisions.relays import ListedHost
from apricotshore.identifiers import (
    DataCentreId,
    FencingToken,
    GroupId,
    HostId,
    ServerId,
    Term,
)
from apricotshore.organisations import Admission
from apricotshore.pooling.group import Group
from apricotshore.pooling.host import PoolingHost
from apricotshore.pooling.listeners import HostHandler
from apricotshore.pooling.ports import (
    ConnectionLostError,
    ConnectionRejectedError,
    HostStoppedError,
    QuiesceReply,
    QuiesceRequest,
)
from apricotshore.queries import FailureCode
from standins.in_memory import GROUP, ModelGroup
from tests.pooling.support import read, wait_until, write
from tests.pooling.test_caller_session import FakeCaller
from tests.pooling.test_host import SHOP, configure, running_host

from .test_start import write_settings

LOOPBACK = "127.0.0.1"
TIMEOUT_S = 1.0
TOKEN = FencingToken(5)
REQUEST = QuiesceRequest(
    group=GroupId("g1"),
    server=ServerId("i-1"),
    term=Term(7),
    token=TOKEN,
    hold_ms=1_500,
)
REPLY = QuiesceReply(ended=3, closed=2)
RESET = struct.pack("ii", 1, 0)
MALFORMED_REQUESTS = [
    "QUIESCE",
    "QUIESCE g1 i-1 7 5",
    "QUIESCE g1 i-1 7 5 1500 9",
    "QUIESCE g1 i-1 7 5 -1",
    "QUIESCE g1 i-1 x 5 1500",
    "QUIESCE g1 i-1 7 x 1500",
    "QUIESCE g1 i-1 \u00b2 5 1500",
    "QUIESCE g1 i-1 7 5 1.5",
    "QUIESCE  i-1 7 5 1500",
    "QUIESCE g1  7 5 1500",
    "QUIESCE g1 i-1 7 5 " + "9" * 19,
    "quiesce g1 i-1 7 5 1500",
]
MALFORMED_REPLIES = [
    "",
    "QUIESCED",
    "QUIESCED 3",
    "QUIESCED 3 2 1",
    "QUIESCED 3 -2",
    "QUIESCED 3 x",
    "QUIESCED 3 " + "9" * 19,
    "READY I -",
    "ERROR BUSY i-1",
    "LEAVING",
]


def list_host(port: int) -> ListedHost:
    return ListedHost(
        host=HostId("h2"),
        data_centre=DataCentreId("a"),
        address=f"{LOOPBACK}:{port}",
    )


async def ask(port: int, request=REQUEST, timeout_s: float = TIMEOUT_S):
    return await LinePeers().quiesce(list_host(port), request, timeout_s)


def find_port(server: asyncio.Server) -> int:
    return server.sockets[0].getsockname()[1]


@asynccontextmanager
async def listening(quiesce):
    """Listen for other hosts; yield the port."""

    async def serve(group, server, organisation, link):
        raise AssertionError("no connection is accepted")

    handler = HostHandler(
        admit=lambda group, server, organisation: FailureCode.WRONG_SERVER,
        serve=serve,
        quiesce=quiesce,
    )
    server = await listen_for_hosts(f"{LOOPBACK}:0", handler)
    try:
        yield find_port(server)
    finally:
        server.close()


@asynccontextmanager
async def peer(handle):
    """Run a peer whose connections ``handle(reader, writer)`` serves."""

    async def run(reader, writer):
        try:
            await handle(reader, writer)
        finally:
            writer.close()

    server = await asyncio.start_server(run, LOOPBACK, 0)
    try:
        yield find_port(server)
    finally:
        server.close()


# -- codec --


def test_request_and_reply_as_lines():
    line = lines.encode_quiesce(REQUEST)
    assert line == b"QUIESCE g1 i-1 7 5 1500\r\n"
    assert lines.decode_quiesce(line[:-2].decode()) == REQUEST
    line = lines.encode_quiesce_reply(REPLY)
    assert line == b"QUIESCED 3 2\r\n"
    assert lines.decode_quiesce_reply(line[:-2].decode()) == REPLY


@pytest.mark.parametrize("line", MALFORMED_REQUESTS)
def test_malformed_request_is_not_decoded(line):
    with pytest.raises(lines.LineError):
        lines.decode_quiesce(line)


@pytest.mark.parametrize("line", MALFORMED_REPLIES)
def test_malformed_reply_is_not_decoded(line):
    with pytest.raises(lines.LineError):
        lines.decode_quiesce_reply(line)


# -- over loopback --


async def test_request_reaches_the_host_and_its_confirmation_comes_back():
    requests = []

    async def quiesce(request):
        requests.append(request)
        await asyncio.sleep(0.05)
        return REPLY

    async with listening(quiesce) as port:
        assert await ask(port) == REPLY
    assert requests == [REQUEST]


async def test_connection_closes_after_one_confirmation():
    async def quiesce(request):
        return REPLY

    async with listening(quiesce) as port:
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        writer.write(lines.encode_quiesce(REQUEST))
        assert await reader.read() == b"QUIESCED 3 2\r\n"
        writer.close()


@pytest.mark.parametrize("line", MALFORMED_REQUESTS)
async def test_malformed_request_closes_its_connection_only(line):
    requests = []
    errors = []

    async def quiesce(request):
        requests.append(request)
        return REPLY

    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: errors.append(context))
    async with listening(quiesce) as port:
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        writer.write(line.encode() + lines.END)
        assert await reader.read() == b""
        writer.close()
        assert requests == []
        assert await ask(port) == REPLY
    assert errors == []


async def test_statements_of_other_hosts_are_still_admitted_or_refused():
    async def quiesce(request):
        return REPLY

    model = ModelGroup.make()
    listed = model.list(next(iter(model.servers.values())))
    async with listening(quiesce) as port:
        entry = type(listed)(
            **{
                field: getattr(listed, field)
                for field in listed.__dataclass_fields__
                if field != "address"
            },
            address=f"{LOOPBACK}:{port}",
        )
        with pytest.raises(ConnectionRejectedError):
            await LineDialer().dial(entry, TIMEOUT_S)


async def test_refused_connection_says_that_the_host_has_stopped():
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        port = probe.getsockname()[1]
        with pytest.raises(HostStoppedError) as error:
            await ask(port)
    assert not error.value.sent


async def test_host_that_does_not_confirm_in_time_is_not_taken_for_stopped():
    ended = asyncio.Event()

    async def quiesce(request):
        await ended.wait()
        return REPLY

    async with listening(quiesce) as port:
        with pytest.raises(ConnectionLostError) as error:
            await ask(port, timeout_s=0.1)
        ended.set()
    assert not isinstance(error.value, HostStoppedError)
    assert error.value.sent


async def test_stopped_process_whose_kernel_accepts_is_not_taken_for_stopped():
    with socket.socket() as listener:
        listener.bind((LOOPBACK, 0))
        listener.listen()
        with pytest.raises(ConnectionLostError) as error:
            await ask(listener.getsockname()[1], timeout_s=0.1)
    assert not isinstance(error.value, HostStoppedError)


async def test_request_that_was_given_up_is_reset():
    ends = []

    async def handle(reader, writer):
        await reader.readline()
        try:
            ends.append(await reader.read())
        except ConnectionResetError as error:
            ends.append(error)

    async with peer(handle) as port:
        with pytest.raises(ConnectionLostError):
            await ask(port, timeout_s=0.1)
        await wait_until(lambda: ends)
    assert isinstance(ends[0], ConnectionResetError)


async def test_end_without_a_confirmation_is_not_taken_for_stopped():
    async def handle(reader, writer):
        await reader.readline()

    async with peer(handle) as port:
        with pytest.raises(ConnectionLostError) as error:
            await ask(port)
    assert not isinstance(error.value, HostStoppedError)
    assert error.value.sent


async def test_reset_is_not_taken_for_stopped():
    async def handle(reader, writer):
        await reader.readline()
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort()

    async with peer(handle) as port:
        with pytest.raises(ConnectionLostError) as error:
            await ask(port)
    assert not isinstance(error.value, HostStoppedError)
    assert error.value.sent


@pytest.mark.parametrize(
    "reply", [*(line.encode() + b"\r\n" for line in MALFORMED_REPLIES), b"\xff\r\n"]
)
async def test_malformed_confirmation_is_not_taken_for_stopped(reply):
    async def handle(reader, writer):
        await reader.readline()
        writer.write(reply)
        await writer.drain()
        await reader.read()

    async with peer(handle) as port:
        with pytest.raises(ConnectionLostError) as error:
            await ask(port)
    assert not isinstance(error.value, HostStoppedError)
    assert error.value.sent


@pytest.mark.parametrize(
    "number", [errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ECONNRESET, errno.ETIMEDOUT]
)
async def test_other_failure_to_connect_is_not_taken_for_stopped(monkeypatch, number):
    async def connect(address):
        raise OSError(number, address)

    monkeypatch.setattr(peers, "connect", connect)
    with pytest.raises(ConnectionLostError) as error:
        await ask(1)
    assert not isinstance(error.value, HostStoppedError)
    assert not error.value.sent


async def test_address_that_cannot_be_dialled_is_not_taken_for_stopped():
    with pytest.raises(ConnectionLostError) as error:
        await ask(70_000)
    assert not isinstance(error.value, HostStoppedError)
    assert not error.value.sent


# -- the host --


async def confirm(group, request):
    return REPLY


async def test_host_answers_for_its_group_and_for_one_that_it_does_not_know(
    monkeypatch,
):
    monkeypatch.setattr(Group, "quiesce", confirm, raising=False)
    async with running_host() as (host, store):
        configure(store)
        await wait_until(lambda: host.is_loaded)
        known = QuiesceRequest(
            group=GROUP, server=ServerId("s1"), term=Term(1), token=TOKEN, hold_ms=1_000
        )
        assert await host.quiesce(known) == REPLY
        assert await host.quiesce(REQUEST) == QuiesceReply()


async def test_draining_host_still_answers(monkeypatch):
    monkeypatch.setattr(Group, "quiesce", confirm, raising=False)
    async with running_host() as (host, store):
        configure(store)
        await wait_until(lambda: host.is_loaded)
        host.begin_drain()
        known = QuiesceRequest(
            group=GROUP, server=ServerId("s1"), term=Term(1), token=TOKEN, hold_ms=1_000
        )
        async with listening(host.quiesce) as port:
            assert await ask(port, known) == REPLY


async def test_stopped_host_has_closed_the_connections_of_its_statements():
    async with running_host() as (host, store):
        configure(store)
        await wait_until(lambda: host.is_ready)
        model = host.adapters.dialer.group
        caller = FakeCaller()
        serving = asyncio.create_task(host.serve(Admission(database=SHOP), caller))
        assert (await caller.ask(read("r1"))).failure is None
        for server in model.servers.values():
            server.mute = True
        caller.incoming.put_nowait(write("w1"))
        await wait_until(lambda: host.groups[GROUP].pools["s1"].used)
        assert host.has_connections
        await host.stop()
        assert not host.has_connections
        assert not any(link.open for link in host.adapters.dialer.links)
        assert serving.done()


class ObservedHost(PoolingHost):
    """Host that asks its own peer port as it starts and as it stops.

    The fields of the class are set by the test.
    """

    port = 0
    holds_on = False
    replies: list[str] = []
    made: list[PoolingHost] = []

    async def _ask_itself(self, when: str) -> None:
        assert await ask(self.port) == QuiesceReply()
        self.replies.append(when)

    async def on_start(self) -> None:
        await self._ask_itself("starts")
        await super().on_start()
        self.made.append(self)
        self.ended.set()

    async def on_stop(self) -> None:
        await self._ask_itself("stops")
        await super().on_stop()

    async def on_shutdown(self) -> None:
        await self._ask_itself("has stopped")

    @property
    def has_connections(self) -> bool:
        return self.holds_on or super().has_connections


def observe_host(monkeypatch, tmp_path, *, holds_on: bool):
    """Have the program run an observed host; return its settings and its port."""
    path = tmp_path / "host.ini"
    write_settings(path)
    text = path.read_text()
    port = int(text.partition("peer-address = 127.0.0.1:")[2].split()[0])
    monkeypatch.setattr(ObservedHost, "port", port)
    monkeypatch.setattr(ObservedHost, "holds_on", holds_on)
    monkeypatch.setattr(ObservedHost, "replies", [])
    monkeypatch.setattr(ObservedHost, "made", [])
    monkeypatch.setattr(program, "PoolingHost", ObservedHost)
    return path, port


async def test_peer_port_is_open_from_the_start_until_the_connections_are_closed(
    monkeypatch, tmp_path
):
    path, port = observe_host(monkeypatch, tmp_path, holds_on=False)
    await program._run(path)
    assert ObservedHost.replies == ["starts", "stops", "has stopped"]
    with pytest.raises(HostStoppedError):
        await ask(port)


async def test_peer_port_of_a_host_with_an_open_connection_is_not_closed(
    monkeypatch, tmp_path
):
    path, port = observe_host(monkeypatch, tmp_path, holds_on=True)
    await program._run(path)
    assert ObservedHost.replies == ["starts", "stops", "has stopped"]
    assert await ask(port) == QuiesceReply()
