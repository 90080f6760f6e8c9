"""Callers of a host, over the line protocol."""

import asyncio
import socket
from dataclasses import dataclass, field

LINE_LIMIT = 1 << 21


@dataclass(kw_only=True)
class Outcome:
    """Answer to a statement.

    Parameters
    ----------
    rows
        Number of rows.
    result
        ``COMPLETE`` or ``ERROR`` line, empty if the connection ended before.
    state
        State in the READY line, empty if the connection ended before.
    """

    rows: int = 0
    result: str = ""
    state: str = ""

    @property
    def is_whole(self) -> bool:
        """Whether the answer arrived to its end."""
        return bool(self.state)

    @property
    def is_success(self) -> bool:
        """Whether the statement succeeded."""
        return self.is_whole and self.result.startswith("COMPLETE")


@dataclass(kw_only=True, eq=False)
class Caller:
    """A caller's session.

    Parameters
    ----------
    reader, writer
        Stream of its connection.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    asked: int = field(default=0)

    async def send(self, request: str, text: str) -> None:
        """Send a statement whole."""
        self.asked += 1
        self.writer.write(f"QUERY {request} {text}\r\n".encode())
        await self.writer.drain()

    async def receive(self) -> Outcome:
        """Return the answer to a statement, as far as it arrives."""
        outcome = Outcome()
        try:
            while not outcome.state:
                line = (await self.reader.readuntil(b"\r\n"))[:-2].decode()
                word, _, rest = line.partition(" ")
                if word == "ROW":
                    outcome.rows += 1
                elif word == "READY":
                    outcome.state = rest.partition(" ")[0]
                else:
                    outcome.result = line
        except (OSError, EOFError):
            return outcome
        return outcome

    async def ask(self, request: str, text: str) -> Outcome:
        """Send a statement and return its answer."""
        try:
            await self.send(request, text)
        except OSError:
            return Outcome()
        return await self.receive()

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def open_session(
    address: str,
    database: str,
    timeout_s: float = 2.0,
    receive_buffer: int = 0,
    key: str = "u1",
) -> Caller | None:
    """Open a session; return None if it is not ready in time.

    Parameters
    ----------
    address, database, timeout_s
        Address of the host, database, and time for the session to be ready.
    receive_buffer
        Bytes that this side holds of what was not read yet; 0 for the usual number.
    key
        What the caller names itself with.
    """
    raw = socket.socket()
    raw.setblocking(False)
    if receive_buffer:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            loop = asyncio.get_running_loop()
            await loop.sock_connect(raw, (host, int(port)))
            reader, writer = await asyncio.open_connection(
                sock=raw, limit=receive_buffer or LINE_LIMIT
            )
            writer.write(f"STARTUP {database} {key}\r\n".encode())
            line = await reader.readuntil(b"\r\n")
    except (OSError, EOFError, TimeoutError):
        raw.close() if writer is None else writer.close()
        return None
    if not line.startswith(b"READY"):
        writer.close()
        return None
    return Caller(reader=reader, writer=writer)
