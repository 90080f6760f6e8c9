"""Tests of the HTTP client and of the status page over real sockets."""

import asyncio
from contextlib import asynccontextmanager, suppress

import pytest
from aioprometheus import Registry

from apricotshore.services import jsonapi, statuspage
from apricotshore.services.jsonapi import JsonClient, NoAnswerError
from apricotshore.services.statuspage import StatusPage

HOST = "127.0.0.1"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n%d%d"


@asynccontextmanager
async def api(script):
    """Run a server that writes ``script(connection, call)``, or closes at None."""
    connections = 0
    calls = []

    async def handle(reader, writer):
        nonlocal connections
        connections += 1
        mine = connections
        with_calls = 0
        while await reader.readuntil(b"\r\n\r\n"):
            with_calls += 1
            calls.append((mine, with_calls))
            reply = script(mine, with_calls)
            if reply is None:
                break
            writer.write(reply)
        writer.close()

    async def serve(reader, writer):
        try:
            await handle(reader, writer)
        except (EOFError, OSError):
            writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    client = JsonClient()
    try:
        yield client, f"http://{HOST}:{server.sockets[0].getsockname()[1]}/a", calls
    finally:
        await client.close()
        server.close()


def number(connection, call):
    return OK % (connection, call)


async def test_connection_is_used_again():
    """A connection for each call would cost the store and the host a handshake."""
    async with api(number) as (client, url, _):
        assert [(await client.call("GET", url, 1.0)).body for _ in "ab"] == [11, 12]


async def test_bytes_after_an_answer_are_not_the_next_answer():
    """A surplus answer would be taken for that of the next call."""

    def reply(connection, call):
        return number(connection, call) + OK % (9, 9)

    async with api(reply) as (client, url, _):
        assert [(await client.call("GET", url, 1.0)).body for _ in "ab"] == [11, 21]


@pytest.mark.parametrize(("method", "answered"), [("GET", True), ("POST", False)])
async def test_call_on_a_closed_connection_is_repeated(method, answered):
    """A POST that is sent twice might take effect twice."""

    def reply(connection, call):
        return None if (connection, call) == (1, 2) else number(connection, call)

    async with api(reply) as (client, url, calls):
        await client.call("GET", url, 1.0)
        if answered:
            assert (await client.call(method, url, 1.0)).body == 21
        else:
            with pytest.raises(NoAnswerError):
                await client.call(method, url, 1.0)
        assert len(calls) == (3 if answered else 2)


async def test_call_that_timed_out_leaves_no_connection():
    """The late answer would be taken for that of the next call."""

    def reply(connection, call):
        return b"" if connection == 1 else number(connection, call)

    async with api(reply) as (client, url, _):
        with pytest.raises(NoAnswerError):
            await client.call("GET", url, 0.05)
        assert (await client.call("GET", url, 1.0)).body == 21


async def test_answer_over_the_limit_is_refused(monkeypatch):
    """An endless answer would take the memory of the host."""
    monkeypatch.setattr(jsonapi, "MAX_BODY_BYTES", 1)
    async with api(number) as (client, url, _):
        with pytest.raises(NoAnswerError, match="too large"):
            await client.call("GET", url, 1.0)


@asynccontextmanager
async def status_page():
    page = StatusPage(
        address=f"{HOST}:0",
        registry=Registry(),
        is_ready=lambda: True,
        refresh=lambda: None,
    )
    await page.start()
    try:
        yield page.server.sockets[0].getsockname()[1]
    finally:
        await page.stop()


async def ask(port, method="GET"):
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(f"{method} /health HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    head = await reader.readuntil(b"\r\n\r\n")
    return head.split()[1], reader, writer


@pytest.mark.parametrize("method", ["GET", "HEAD"])
async def test_health_is_told_to_both_reading_methods(method):
    """Load balancers probe with either; a refusal takes the host out of service."""
    async with status_page() as port:
        status, _, writer = await ask(port, method)
        assert status == b"200"
        writer.close()


async def test_idle_connections_keep_out_no_health_check(monkeypatch):
    """A host whose page is full of idle clients would count as not ready."""
    monkeypatch.setattr(statuspage, "MAX_CONNECTIONS", 2)
    async with status_page() as port:
        idle = [await ask(port) for _ in "ab"]
        status, _, writer = await ask(port)
        assert status == b"200"
        # Ends only once the connection is closed.
        with suppress(OSError):
            async with asyncio.timeout(1.0):
                await idle[0][1].read()
        for _, _, other in [*idle, (0, 0, writer)]:
            other.close()
