"""Writer of a caller's connection, which can give a last answer in advance."""

import asyncio

# After the last answer, a connection is kept this long for what is on its way.
LINGER_S = 1.0


def frame_first_answer(payload: bytes) -> bytes:
    """Return the packet that answers the next command, whose own number is 0."""
    return len(payload).to_bytes(3, "little") + b"\x01" + payload


class CallerWriter(asyncio.StreamWriter):
    """Writer that drops what comes after its last answer.

    Parameters
    ----------
    reader, writer
        Reader and writer of the accepted connection.
    """

    def __init__(
        self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        transport = writer.transport
        loop = asyncio.get_running_loop()
        super().__init__(transport, transport.get_protocol(), reader, loop)  # type: ignore[arg-type]
        self.finished = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write data, unless the last answer was given."""
        if not self.finished:
            super().write(data)

    def finish(self, payload: bytes) -> None:
        """Answer the next command in advance, then end the connection.

        A closed socket resets the connection when a command arrives, which may
        discard the answer; so the connection is closed some time after.
        """
        if self.finished or self.is_closing():
            return
        self.write(frame_first_answer(payload))
        self.finished = True
        if self.can_write_eof():
            self.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self.close)
