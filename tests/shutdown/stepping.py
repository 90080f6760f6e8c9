"""Event loop and connections that a test steps through, turn by turn."""

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

START_MS = 10_000


@dataclass(kw_only=True, eq=False)
class FakeSocket:
    """Connection of a caller, as the kernel holds it.

    Parameters
    ----------
    unread
        Sent by the caller, and not read by the host yet.
    read
        Read by the host.
    answered
        Written by the host.
    is_closed
        Whether the host has closed it.
    """

    unread: bytearray = field(default_factory=bytearray)
    read: bytearray = field(default_factory=bytearray)
    answered: bytearray = field(default_factory=bytearray)
    is_closed: bool = False

    def setblocking(self, flag: bool) -> None:
        pass

    def setsockopt(self, *args: object) -> None:
        pass

    def close(self) -> None:
        self.is_closed = True


class FakeListeningSocket:
    """Listening socket whose backlog a test fills."""

    def __init__(self) -> None:
        self.backlog: list[FakeSocket] = []
        self.on_readable: Callable[[], object] | None = None
        self.is_closed = False

    def setsockopt(self, *args: object) -> None:
        pass

    def bind(self, address: object) -> None:
        pass

    def listen(self, backlog: int) -> None:
        pass

    def setblocking(self, flag: bool) -> None:
        pass

    def accept(self) -> tuple[FakeSocket, None]:
        if not self.backlog:
            raise BlockingIOError
        return self.backlog.pop(0), None

    def close(self) -> None:
        self.is_closed = True


class FakeTransport(asyncio.Transport):
    """Transport that reads in the turns of a stepped loop and writes at once."""

    def __init__(
        self, loop: "SteppedLoop", raw: FakeSocket, protocol: asyncio.Protocol
    ) -> None:
        super().__init__({"socket": raw})
        self.loop = loop
        self.raw = raw
        self.protocol = protocol
        self.max_size = 1 << 16
        self.is_paused = False
        self.has_ended = False

    def begin(self) -> None:
        self.protocol.connection_made(self)
        self.loop.transports.append(self)

    def read_ready(self) -> None:
        if self.has_ended or self.is_paused:
            return
        data = bytes(self.raw.unread[: self.max_size])
        del self.raw.unread[: self.max_size]
        self.raw.read += data
        self.protocol.data_received(data)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        raise NotImplementedError

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self.protocol

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data: bytes) -> None:
        if not self.has_ended:
            self.raw.answered += data

    def write_eof(self) -> None:
        pass

    def is_closing(self) -> bool:
        return self.has_ended

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False

    def close(self) -> None:
        if not self.has_ended:
            self.has_ended = self.raw.is_closed = True
            self.loop.call_soon(self.protocol.connection_lost, None)

    abort = close


class SteppedLoop(asyncio.SelectorEventLoop):
    """Event loop whose turns and time a test decides."""

    def __init__(self) -> None:
        super().__init__()
        # Polls without waiting.
        self._stopping = True
        self.errors: list[str] = []
        self.set_exception_handler(
            lambda _, found: self.errors.append(
                repr(found.get("exception") or found["message"])
            )
        )
        self.reset()

    def reset(self) -> None:
        """Forget what a test has left, and go back in time."""
        self.now_ms = START_MS
        self.transports: list[FakeTransport] = []
        self.listeners: list[FakeListeningSocket] = []
        self.errors.clear()
        self._ready.clear()
        self._scheduled.clear()
        self._timer_cancelled_count = 0

    def time(self) -> float:
        return self.now_ms / 1_000

    def _process_events(self, event_list) -> None:
        super()._process_events(event_list)
        for listener in self.listeners:
            if listener.backlog and listener.on_readable and not listener.is_closed:
                self.call_soon(listener.on_readable)
        for transport in self.transports:
            if transport.raw.unread and not (
                transport.is_paused or transport.has_ended
            ):
                self.call_soon(transport.read_ready)

    def add_reader(self, fd, callback, *args) -> None:
        fd.on_readable = callback

    def remove_reader(self, fd) -> bool:
        fd.on_readable = None
        return True

    async def connect_accepted_socket(self, protocol_factory, sock, **kwargs):
        transport = FakeTransport(self, sock, protocol_factory())
        self.call_soon(transport.begin)
        waiter = self.create_future()
        self.call_soon(waiter.set_result, None)
        await waiter
        return transport, transport.protocol

    # -- steps --

    @property
    def has_ready(self) -> bool:
        """Whether the next turn has anything to do at this time."""
        can_read = any(
            t.raw.unread and not (t.is_paused or t.has_ended) for t in self.transports
        )
        can_accept = any(
            x.backlog and x.on_readable and not x.is_closed for x in self.listeners
        )
        return bool(self._ready) or can_read or can_accept or self._is_due()

    def _is_due(self) -> bool:
        when = self._find_timer()
        return when is not None and when <= self.now_ms

    def _find_timer(self) -> int | None:
        while self._scheduled and self._scheduled[0]._cancelled:
            heapq.heappop(self._scheduled)._scheduled = False
        if not self._scheduled:
            return None
        # Sums of floats are off by less than this.
        return int(self._scheduled[0]._when * 1_000 + 0.999)

    def turn(self) -> None:
        self._run_once()

    def run_until(self, until_ms: int) -> None:
        """Run all turns before a time, and set the clock to it."""
        while True:
            while self.has_ready:
                self.turn()
            when = self._find_timer()
            if when is None or when >= until_ms:
                break
            self.now_ms = max(self.now_ms, when)
        self.now_ms = max(self.now_ms, until_ms)

    def run_to_timer(self) -> bool:
        """Set the clock to the next timer, after all turns before it."""
        while self.has_ready:
            self.turn()
        when = self._find_timer()
        if when is None:
            return False
        self.now_ms = when
        return True

    def cancel_all(self) -> None:
        """End all tasks of a test."""
        for _ in range(20):
            tasks = asyncio.all_tasks(self)
            if not tasks:
                return
            for task in tasks:
                task.cancel()
            self.turn()
