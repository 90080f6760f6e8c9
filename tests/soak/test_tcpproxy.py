"""Connections that the soak's proxy has silenced."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest

from standins.ports import find_free_port

from . import tcpproxy
from .tcpproxy import TcpProxy


@dataclass(kw_only=True)
class Server:
    """Server that counts its open connections.

    Parameters
    ----------
    writers
        Its open connections.
    received
        All that came on them.
    """

    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    received: bytes = b""

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read a connection to its end."""
        self.writers.add(writer)
        try:
            while data := await reader.read(1_000):
                self.received += data
        except OSError:
            return
        finally:
            self.writers.discard(writer)
            writer.close()


@asynccontextmanager
async def silenced() -> AsyncIterator[tuple[Server, asyncio.StreamWriter]]:
    """Yield a server, and a host's end of a connection to it that is silenced."""
    server, port = Server(), find_free_port()
    listening = await asyncio.start_server(server.handle, "127.0.0.1", port)
    proxy = TcpProxy(target=port)
    await proxy.start()
    _, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
    writer.write(b"before ")
    async with asyncio.timeout(2), listening:
        while server.received != b"before ":
            await asyncio.sleep(0.01)
        proxy.silence_open()
        yield server, writer
        proxy.reset()
        listening.close()


async def test_server_drops_a_silenced_connection_that_its_host_closed(monkeypatch):
    """RECOVER: such connections held most of a server's places until the end."""
    monkeypatch.setattr(tcpproxy, "DROPPED_S", 0.2, raising=False)
    async with silenced() as (server, writer):
        writer.write(b"a statement without an answer")
        await asyncio.sleep(0.05)
        writer.write(b"CLOSE")
        writer.close()
        await asyncio.sleep(0.1)
        assert len(server.writers) == 1
        await asyncio.sleep(0.3)
        assert not server.writers
        assert server.received == b"before "


async def test_silenced_connection_that_its_host_keeps_open_stays_silent(monkeypatch):
    monkeypatch.setattr(tcpproxy, "DROPPED_S", 0.1, raising=False)
    async with silenced() as (server, writer):
        writer.write(b"a statement without an answer")
        await asyncio.sleep(0.4)
        assert len(server.writers) == 1
        assert server.received == b"before "
        assert not writer.transport.is_closing()


async def test_host_learns_nothing_of_a_silenced_connection_that_its_server_closed():
    async with silenced() as (server, writer):
        for each in server.writers:
            each.close()
        await asyncio.sleep(0.2)
        assert not writer.transport.is_closing()


async def test_proxy_refuses_connections_and_accepts_them_again():
    server, port = Server(), find_free_port()
    proxy = TcpProxy(target=port)
    async with await asyncio.start_server(server.handle, "127.0.0.1", port):
        await proxy.start()
        proxy.refuse()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", proxy.port)
        await proxy.accept()
        _, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
        writer.transport.abort()
