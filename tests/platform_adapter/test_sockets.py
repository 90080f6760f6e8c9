"""Tests of the adapter over real sockets: backend servers, callers, the store."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from aiohttp import web
from apricotshore_platform import callers, lines
from apricotshore_platform.backends import LineDialer
from apricotshore_platform.store import PlatformStore

from apricotshore.decisions.lease import FormerPrimaries
from apricotshore.identifiers import (
    GroupId,
    HostId,
    ServerId,
    StoreEra,
    StoreRevision,
    Term,
)
from apricotshore.organisations import Admission
from apricotshore.pooling.listeners import CallerHandler
from apricotshore.pooling.ports import (
    ConnectionLostError,
    ConnectionRejectedError,
    HistoryLostError,
    StoreConflictError,
    StoreError,
)
from apricotshore.pooling.stored_objects import LeaseRecord, StoredKind
from apricotshore.queries import Answer, FailureCode, Query, QueryKind
from standins.in_memory import ModelGroup, ModelServer
from tests.pooling.support import log_position, read

HOST = "127.0.0.1"


@asynccontextmanager
async def backend(script):
    """Run a server that replies ``script(line)``, or closes when that is None."""
    seen: list[str] = []

    async def handle(reader, writer):
        try:
            while line := await reader.readline():
                seen.append(line.decode().rstrip())
                reply = script(seen[-1])
                if reply is None:
                    break
                writer.write(reply)
        finally:
            writer.close()

    server = await asyncio.start_server(handle, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    model = ModelServer(name=ServerId("i-1"))
    listed = ModelGroup().list(model)
    entry = type(listed)(
        **{
            field: getattr(listed, field)
            for field in listed.__dataclass_fields__
            if field != "address"
        },
        address=f"{HOST}:{port}",
    )
    try:
        yield entry, seen
    finally:
        server.close()


def answer_all(line: str) -> bytes | None:
    if line.startswith("STARTUP"):
        return b"READY I 1.1\r\n"
    return b"ROW x\r\nCOMPLETE 7.1\r\nREADY I 1.2\r\n"


async def test_startup_names_group_and_server_and_statements_are_pipelined():
    async with backend(answer_all) as (entry, seen):
        link = await LineDialer().dial(entry, 1.0)
        rollback = Query(kind=QueryKind.ROLLBACK)
        answers = await link.run([read("r1"), rollback], log_position(3, 4), 1.0)
        link.close()
    assert seen[0] == "STARTUP ledger apricotshore i-1"
    assert [a.receipt for a in answers] == ["7.1", "7.1"]
    assert answers[0].log_position == log_position(1, 2)


async def test_rejected_startup_carries_the_reason():
    async with backend(lambda line: b"ERROR CONNLIMIT full\r\n") as (entry, _):
        with pytest.raises(ConnectionRejectedError) as error:
            await LineDialer().dial(entry, 1.0)
    assert error.value.code is FailureCode.TOO_MANY_CONNECTIONS


@pytest.mark.parametrize(
    "reply", [None, b"ROW x\r\n", b"NOISE\r\n", b"\xff\xfe\r\n", b"READY Q -\r\n"]
)
async def test_connection_without_a_complete_answer_is_lost_and_unusable(reply):
    script = {"STARTUP": b"READY I -\r\n", "QUERY": reply}
    async with backend(lambda line: script[line.split()[0]]) as (entry, _):
        link = await LineDialer().dial(entry, 1.0)
        with pytest.raises(ConnectionLostError):
            await link.run([read("r1")], None, 0.2)
        assert not link.usable


@asynccontextmanager
async def front(serve):
    """Listen with ``serve`` as the handler and connect to it as a caller."""

    async def admit(database, key):
        if database == "none":
            return FailureCode.NO_DATABASE
        return Admission(database=database, key=key)

    server = await callers.listen(f"{HOST}:0", CallerHandler(admit=admit, serve=serve))
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    try:
        yield reader, writer
    finally:
        writer.close()
        server.close()


async def echo(admission, link):
    while (query := await link.receive()) is not None:
        await link.send(query, Answer(rows=(query.text,), receipt="m"))


async def test_caller_session_as_bytes():
    async with front(echo) as (reader, writer):
        writer.write(
            b"STARTUP shop u1\r\nQUERY 1 READ a\r\nQUERY 2 READ b\r\nCLOSE\r\n"
        )
        assert await reader.read() == (
            b"READY I -\r\nROW READ a\r\nCOMPLETE m\r\nREADY I -\r\n"
            b"ROW READ b\r\nCOMPLETE m\r\nREADY I -\r\n"
        )


@pytest.mark.parametrize(
    ("sent", "answer"),
    [
        (b"STARTUP none u1\r\n", b"ERROR NODATABASE none\r\n"),
        (b"STARTUP\r\n", b"ERROR MALFORMED expected a start\r\n"),
        (b"QUERY 1 READ a\r\n", b"ERROR MALFORMED expected a start\r\n"),
        (b"\xff\xff\r\n", b""),
        (b"STARTUP shop u1\r\nNOISE\r\n", b"READY I -\r\nERROR MALFORMED NOISE\r\n"),
    ],
)
async def test_malformed_input_ends_only_its_session(sent, answer):
    async with front(echo) as (reader, writer):
        writer.write(sent)
        assert await reader.read() == answer


async def test_line_over_the_limit_ends_the_session():
    async with front(echo) as (reader, writer):
        writer.write(b"STARTUP shop u1\r\n" + b"x" * (lines.LINE_LIMIT + 100_000))
        received = await reader.read()
    assert received.startswith(b"READY I -\r\nERROR MALFORMED")


async def send_on(writer, pieces, size=200_000):
    """Go on sending, as a caller does that hasn't read the answer yet."""
    for _ in range(pieces):
        writer.write(b"x" * size)
        await asyncio.sleep(0.01)


async def test_malformed_line_is_answered_though_more_is_sent():
    """A close with unread bytes resets, and the answer is lost on its way."""
    async with front(echo) as (reader, writer):
        writer.write(b"STARTUP shop u1\r\nNONSENSE\r\n")
        await send_on(writer, 8)
        received = await reader.read()
    assert received.startswith(b"READY I -\r\nERROR MALFORMED")


async def test_malformed_start_is_answered_though_more_is_sent():
    async with front(echo) as (reader, writer):
        writer.write(b"NONSENSE\r\n")
        await send_on(writer, 8)
        received = await reader.read()
    assert received.startswith(b"ERROR MALFORMED")


async def test_caller_that_never_ends_its_line_is_closed_soon():
    async with front(echo) as (reader, writer):
        writer.write(b"STARTUP shop u1\r\nNONSENSE\r\n")
        with pytest.raises(ConnectionError):
            async with asyncio.timeout(2 * callers.LINGER_S + 1.0):
                while True:
                    await send_on(writer, 1)
                    await writer.drain()


@asynccontextmanager
async def store(handler):
    """Run a store that answers each request with ``handler(request)``."""
    application = web.Application()
    application.router.add_route("*", "/{path:.*}", handler)
    runner = web.AppRunner(application)
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    client = PlatformStore(
        store_address=f"{host}:{port}", promotion_address=f"{host}:{port}"
    )
    try:
        yield client
    finally:
        await client.close()
        await runner.cleanup()


async def test_list_follows_the_pages():
    names = ["a", "b", "c"]

    async def handle(request):
        after = request.query.get("after")
        name = names[names.index(after) + 1] if after else names[0]
        body = {
            "items": [{"meta": {"name": name, "revision": 3}, "spec": {}}],
            "hasMore": name != "c",
            "storeRevision": 9,
        }
        return web.json_response(body)

    async with store(handle) as client:
        snapshot = await client.list(StoredKind.SERVER)
    assert [change.name for change in snapshot.changes] == names
    assert snapshot.revision == 9


GOOD_ENTRY = (
    b'{"meta": {"name": "i-good", "revision": 3}, "spec": {"service": "g1",'
    b' "zone": "z", "address": "127.0.0.1:80", "slots": 3, "state": "ready"}}'
)
ODD_ENTRY = b'{"meta": {"name": "i-odd", "revision": 4}, "spec": {"slots": '
ODD_VALUES = {
    "deep": b"[" * 100_000 + b"]" * 100_000,
    "long number": b"9" * 5_000,
    "infinite": b"1e999",
    "bytes": b'"\xff"',
}


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
async def test_odd_entry_ends_neither_the_list_nor_the_watch(value):
    """Other operators' report: machines that read the list stopped following it."""
    odd = ODD_ENTRY + value + b"}}"

    async def handle(request):
        if "watch" in request.query:
            events = b'{"object": ' + odd + b'}, {"object": ' + GOOD_ENTRY + b"}"
            text = b'{"events": [' + events + b'], "storeRevision": 9}'
        else:
            text = b'{"items": [' + odd + b"," + GOOD_ENTRY + b'], "storeRevision": 9}'
        return web.Response(body=text, content_type="application/json")

    async with store(handle) as client:
        listed = await client.list(StoredKind.SERVER)
        watched = await client.watch(StoredKind.SERVER, StoreRevision(8), 100)
    for snapshot in (listed, watched):
        assert [change.name for change in snapshot.changes] == ["i-odd", "i-good"]
        assert snapshot.changes[0].content is None
        assert snapshot.changes[1].content.address == "127.0.0.1:80"


async def test_list_that_cannot_be_continued_ends():
    async def handle(request):
        body = {"items": [{"meta": {}}], "hasMore": True, "storeRevision": 9}
        return web.json_response(body)

    async with store(handle) as client:
        with pytest.raises(StoreError, match="no name"):
            await client.list(StoredKind.SERVER)


async def list_two_pages(*, eras=("2", "2"), revisions=(8, 9)):
    """List two pages with the given eras and revisions."""

    async def handle(request):
        page = 1 if "after" in request.query else 0
        body = {
            "items": [{"meta": {"name": f"s{page}", "revision": 3}, "spec": {}}],
            "hasMore": page == 0,
            "storeRevision": revisions[page],
        }
        return web.json_response(body, headers={"Store-Era": eras[page]})

    async with store(handle) as client:
        return await client.list(StoredKind.SERVER)


async def test_change_between_two_pages_of_a_list_is_not_skipped_by_the_watch():
    assert (await list_two_pages(revisions=(8, 9))).revision == 8


async def test_list_whose_pages_are_of_two_eras_is_not_used():
    assert (await list_two_pages()).era == 2
    with pytest.raises(StoreError, match="between two pages"):
        await list_two_pages(eras=("2", "3"))


@pytest.mark.parametrize("header", ["", "x", "-1", "²"])
async def test_answer_without_a_readable_era_is_of_era_0(header):
    async def handle(request):
        body = {"items": [], "storeRevision": 1}
        return web.json_response(body, headers={"Store-Era": header})

    async with store(handle) as client:
        assert (await client.list(StoredKind.HOST)).era == 0


@pytest.mark.parametrize("status", [429, 500, 503])
async def test_error_statuses_of_the_store_raise_store_errors(status):
    async def handle(request):
        return web.Response(status=status)

    async with store(handle) as client:
        with pytest.raises(StoreError):
            await client.list(StoredKind.CONFIGURATION)
        with pytest.raises(StoreError):
            await client.watch(StoredKind.SERVER, StoreRevision(1), 10)


async def test_lost_history_raises_its_own_error():
    async def handle(request):
        return web.Response(status=410)

    async with store(handle) as client:
        with pytest.raises(HistoryLostError):
            await client.watch(StoredKind.SERVER, StoreRevision(1), 10)


async def test_unanswered_watch_times_out():
    async def handle(request):
        await asyncio.sleep(5)

    async with store(handle) as client:
        async with asyncio.timeout(1.5):
            with pytest.raises(StoreError):
                await client.watch(StoredKind.SERVER, StoreRevision(1), 100)


async def test_lease_is_created_replaced_and_in_conflict():
    calls = []

    async def handle(request):
        body = await request.json()
        calls.append((request.method, request.path, body["meta"].get("revision")))
        if len(calls) == 3:
            return web.json_response(body, status=409)
        body["meta"]["revision"] = len(calls) + 10
        return web.json_response(body)

    async with store(handle) as client:
        empty = LeaseRecord(
            group=GroupId("g1"),
            era=StoreEra(2),
            revision=StoreRevision(0),
            holder="h",
            open=True,
            former=FormerPrimaries(servers=(ServerId("i-1"),), term=Term(4)),
        )
        first = (await client.write_lease(empty)).record
        second = (await client.write_lease(first)).record
        with pytest.raises(StoreConflictError):
            await client.write_lease(second)
    assert [path.rpartition("/")[2] for _, path, _ in calls[1:]] == ["g1.2", "g1.2"]
    assert [method for method, _, _ in calls] == ["POST", "PUT", "PUT"]
    assert (first.revision, second.revision) == (11, 12)
    assert first.former == second.former == empty.former


@pytest.mark.parametrize(("status", "accepted"), [(200, True), (409, False)])
async def test_promotion_carries_holder_and_token(status, accepted):
    seen = {}

    async def handle(request):
        seen.update(request.headers)
        return web.json_response({}, status=status)

    async with store(handle) as client:
        done = await client.promote(GroupId("g1"), ServerId("i-1"), HostId("h"), 12)
    assert done is accepted
    assert (seen["Lease-Holder"], seen["Fencing-Token"]) == ("h", "12")
