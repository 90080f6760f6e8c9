"""Consumers: sessions over the line protocol."""

import asyncio
from dataclasses import dataclass

READY_TIMEOUT_S = 2.0


class SessionEndedError(Exception):
    """End of a connection, or an answer that did not come in time."""


@dataclass(frozen=True, kw_only=True)
class Reply:
    """Answer to a statement."""

    status: str
    rows: tuple[str, ...]
    state: str

    @property
    def succeeded(self) -> bool:
        """Whether the statement succeeded."""
        return self.status.startswith("COMPLETE")


class ConsumerSession:
    """A session of a consumer.

    Parameters
    ----------
    reader, writer
        Stream of the connection after its STARTUP was accepted.
    """

    def __init__(
        self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def send(self, request: str, text: str, timeout_s: float) -> Reply:
        """Send a statement and return its answer.

        Raises
        ------
        SessionEndedError
            When the connection ended or no answer came in time.
        """
        self.writer.write(f"QUERY {request} {text}\r\n".encode())
        rows: list[str] = []
        status = ""
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    line = (await self.reader.readuntil(b"\r\n"))[:-2].decode()
                    word, _, rest = line.partition(" ")
                    if word == "ROW":
                        rows.append(rest)
                    elif word == "READY":
                        return Reply(status=status, rows=tuple(rows), state=rest[:1])
                    else:
                        status = line
        except (OSError, EOFError, TimeoutError) as error:
            raise SessionEndedError(type(error).__name__) from None

    def close(self) -> None:
        """Close the session."""
        self.writer.transport.abort()


async def open_session(port: int, database: str) -> ConsumerSession:
    """Connect to a host and start a session.

    Raises
    ------
    SessionEndedError
        When the host does not accept it in time.
    """
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(f"STARTUP {database} u1\r\n".encode())
            line = (await reader.readuntil(b"\r\n"))[:-2].decode()
    except (OSError, EOFError, TimeoutError) as error:
        raise SessionEndedError(type(error).__name__) from None
    if not line.startswith("READY"):
        writer.close()
        raise SessionEndedError(line)
    return ConsumerSession(reader=reader, writer=writer)
