"""TCP proxy on loopback that delays, resets, silences or partitions connections."""

import asyncio
import socket
from dataclasses import dataclass, field

CHUNK_SIZE = 65_536
POLL_S = 0.01
# Servers drop a connection with an unreachable other end after this long.
DROPPED_S = 3.0


@dataclass(kw_only=True, eq=False)
class TcpProxy:
    """Proxy that forwards connections to a port and injects faults.

    Parameters
    ----------
    target
        Port on loopback to which connections are forwarded.
    delay_s
        Delay of each chunk.
    silent_to, silent_from
        Whether no data passes to the target, or from it: one alone is a one-way
        partition, both are a full one.
    """

    target: int
    delay_s: float = 0.0
    silent_to: bool = False
    silent_from: bool = False
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    silenced: set[asyncio.StreamWriter] = field(default_factory=set)
    port: int = 0
    server: asyncio.Server | None = None
    placeholder: socket.socket | None = None

    async def start(self) -> None:
        """Start listening, on the port that it had if it had one."""
        self.server = await asyncio.start_server(self._handle, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def refuse(self) -> None:
        """Refuse new connections until `accept`, as the host of an ended process does.

        A bound socket that doesn't listen keeps the port.
        """
        if self.server is None or self.placeholder is not None:
            return
        self.server.close()
        self.placeholder = socket.socket()
        self.placeholder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.placeholder.bind(("127.0.0.1", self.port))

    async def accept(self) -> None:
        """Accept new connections again."""
        if self.placeholder is None:
            return
        await self.start()
        self.placeholder.close()
        self.placeholder = None

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self.writers):
            writer.transport.abort()

    def silence_open(self) -> None:
        """Silence the open connections permanently; new ones work.

        Their target drops them some time after they were closed.
        """
        self.silenced |= self.writers

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target
            )
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, target_writer)
        self.writers.update(pair)
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._forward(reader, target_writer, to_target=True))
                tasks.create_task(self._forward(target_reader, writer, to_target=False))
        except* asyncio.CancelledError:
            # The soak ends.
            pass
        except* OSError:
            # One side reset the connection; the other one is reset below.
            pass
        finally:
            self.writers.difference_update(pair)
            self.silenced.difference_update(pair)
            for each in pair:
                each.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        to_target: bool,
    ) -> None:
        while data := await reader.read(CHUNK_SIZE):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self._wait_while_cut(writer, to_target)
            if writer in self.silenced:
                continue
            writer.write(data)
            await writer.drain()
        await self._wait_while_cut(writer, to_target)
        if writer in self.silenced:
            await self._end_silenced(to_target)
        if writer.can_write_eof():
            writer.write_eof()

    async def _wait_while_cut(
        self, writer: asyncio.StreamWriter, to_target: bool
    ) -> None:
        while self.silent_to if to_target else self.silent_from:
            if writer in self.silenced:
                return
            await asyncio.sleep(POLL_S)

    async def _end_silenced(self, to_target: bool) -> None:
        """Reset a silenced connection that was closed, if it was by the host.

        Raises
        ------
        ConnectionResetError
            Once the target has dropped it; a host learns nothing of its target's end.
        """
        if not to_target:
            await asyncio.Event().wait()
        await asyncio.sleep(DROPPED_S)
        raise ConnectionResetError
