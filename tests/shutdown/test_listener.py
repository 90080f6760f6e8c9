"""The listener's stop and the end of idle sessions, over real sockets."""

import asyncio
import errno
import socket
import time
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import pytest
from apricotshore_platform import callers
from apricotshore_platform.caller_link import LineCallerLink
from apricotshore_platform.listener import BATCH, SILENCE_S, ClientListener

from apricotshore.intake import IntakeSettings, derive_limits
from apricotshore.organisations import Admission
from apricotshore.pooling.client_intake import ClientIntake
from apricotshore.pooling.listeners import CallerHandler
from apricotshore.queries import Answer, FailureCode, Query
from tests.pooling.support import wait_until

START = b"STARTUP shop u1\r\n"
READ = b"QUERY r READ k\r\n"
LARGE = b"QUERY l READ " + b"x" * 20_000 + b"\r\n"
ROOM_FOR_ONE = 130_000
SERVED = b"READY I -\r\nCOMPLETE m\r\nREADY I -\r\n"
ANSWERED_WITHIN_S = 3
STORM = 200
# Time for answers at the end, and much of it.
WITHIN_S = 0.25
LONG_WITHIN_S = 5.0
EARLIER_ANSWER = b"ROW " + b"r" * 1_000 + b"\r\n"


@dataclass(kw_only=True)
class Bed:
    """A listener and its callers.

    Parameters
    ----------
    listener, intake
        The listener and its limits.
    links
        Connections whose start was accepted.
    received
        Outcomes of `receive`, in order.
    """

    listener: ClientListener
    intake: ClientIntake
    links: list[LineCallerLink] = field(default_factory=list)
    received: list[Query | None] = field(default_factory=list)
    opened: list[socket.socket] = field(default_factory=list)

    def connect(self, sent: bytes = b"", buffer: int = 0) -> socket.socket:
        """Connect and send without a turn of the event loop."""
        raw = socket.socket()
        if buffer:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        raw.connect(self.listener.sockets[0].getsockname())
        raw.sendall(sent)
        raw.setblocking(False)
        self.opened.append(raw)
        return raw

    def end_process(self) -> None:
        """Drop what the end of the process drops."""
        for account in list(self.intake.accounts.values()):
            account.connection.phase = None
            account.close("the process ends")


@asynccontextmanager
async def listening(answer=None, admission=None, once=False, **limits):
    """Listen; ``once`` ends each session after its first statement."""
    intake = ClientIntake(
        limits=replace(derive_limits(IntakeSettings(), 1_024), **limits)
    )

    async def admit(database, key):
        return admission or Admission(database=database)

    async def serve(admission, link):
        bed.links.append(link)
        while True:
            query = await link.receive()
            bed.received.append(query)
            if query is None:
                return
            await link.send(query, answer or Answer(receipt="m"))
            if once:
                return

    handler = CallerHandler(admit=admit, serve=serve)
    bed = Bed(
        listener=await callers.listen("127.0.0.1:0", handler, intake), intake=intake
    )
    try:
        yield bed
    finally:
        for raw in bed.opened:
            raw.close()
        if not bed.listener.is_closed:
            bed.listener.close()
        bed.listener.tasks[1].cancel()


async def read_all(raw: socket.socket) -> bytes:
    """Read up to the end of a connection."""
    received = b""
    async with asyncio.timeout(ANSWERED_WITHIN_S):
        while data := await asyncio.get_running_loop().sock_recv(raw, 1 << 16):
            received += data
    return received


def measure() -> float:
    return asyncio.get_running_loop().time()


# -- the listener's stop --


@pytest.mark.parametrize("count", [1, BATCH + 1, STORM])
async def test_caller_in_the_backlog_gets_a_reset(count):
    async with listening(once=True) as bed:
        waiting = [bed.connect(START + READ) for _ in range(count)]
        await bed.listener.stop(WITHIN_S)
        assert [await read_all(raw) for raw in waiting] == [SERVED] * count


async def test_caller_in_the_backlog_is_not_told_that_the_host_stops():
    async with listening(admission=FailureCode.OVERLOADED) as bed:
        waiting = [bed.connect(START + READ) for _ in range(STORM)]
        await bed.listener.stop(WITHIN_S)
        answers = {await read_all(raw) for raw in waiting}
        assert answers == {b"ERROR BUSY shop\r\n"}


@pytest.mark.parametrize("turns", range(7))
async def test_caller_accepted_in_the_turn_of_the_stop_gets_a_reset(turns):
    async with listening(once=True) as bed:
        await asyncio.sleep(0.01)
        waiting = [bed.connect(START + READ) for _ in range(BATCH + 8)]
        for _ in range(turns):
            await asyncio.sleep(0)
        await bed.listener.stop(WITHIN_S)
        assert {await read_all(raw) for raw in waiting} == {SERVED}


@pytest.mark.parametrize("turns", [0, 3, 100])
async def test_caller_that_waits_for_room_gets_a_reset(turns):
    async with listening(once=True, connections=2) as bed:
        held = [bed.connect(START) for _ in range(2)]
        await wait_until(lambda: len(bed.links) == 2)
        waiting = [bed.connect(START + READ) for _ in range(6)]
        for _ in range(turns):
            await asyncio.sleep(0)
        stop = asyncio.create_task(bed.listener.stop(WITHIN_S))
        await asyncio.sleep(0.02)
        for raw in held:
            raw.close()
        await stop
        assert {await read_all(raw) for raw in waiting} == {SERVED}


@pytest.mark.parametrize("error", [errno.ECONNABORTED, errno.EPROTO])
async def test_caller_behind_one_that_has_gone_gets_a_reset(monkeypatch, error):
    """A failed accept concerns one connection of the backlog, not the others."""
    async with listening(once=True) as bed:
        failures = [OSError(error, "gone")]
        accept = socket.socket.accept

        def accept_or_fail(raw):
            if failures:
                raise failures.pop()
            return accept(raw)

        await asyncio.sleep(0.01)
        waiting = [bed.connect(START + READ) for _ in range(3)]
        monkeypatch.setattr(socket.socket, "accept", accept_or_fail)
        await bed.listener.stop(WITHIN_S)
        assert {await read_all(raw) for raw in waiting} == {SERVED}


async def test_silent_connections_hold_up_the_stop():
    async with listening() as bed:
        for _ in range(20):
            bed.connect()
        await wait_until(lambda: len(bed.intake.accounts) == 20)
        began = measure()
        await bed.listener.stop(WITHIN_S)
        assert measure() - began < (SILENCE_S + WITHIN_S) / 2
        assert not bed.intake.accounts


async def test_start_on_its_way_is_taken_for_silence():
    async with listening(once=True) as bed:
        raw = bed.connect()
        stop = asyncio.create_task(bed.listener.stop(WITHIN_S))
        await asyncio.sleep(SILENCE_S / 2)
        raw.sendall(START + READ)
        await stop
        assert await read_all(raw) == SERVED


@pytest.mark.parametrize("turns", range(1, 6))
async def test_start_that_a_stalled_loop_has_not_read_is_taken_for_silence(turns):
    async with listening(once=True) as bed:
        waiting = [bed.connect(START + READ) for _ in range(3)]
        stop = asyncio.create_task(bed.listener.stop(WITHIN_S))
        for _ in range(turns):
            await asyncio.sleep(0)
        time.sleep(2 * SILENCE_S)
        await stop
        assert {await read_all(raw) for raw in waiting} == {SERVED}


async def test_stopped_listener_lets_callers_connect():
    async with listening() as bed:
        address = bed.listener.sockets[0].getsockname()
        await bed.listener.stop(WITHIN_S)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*address)


async def test_answer_to_a_slow_reader_is_cut_although_there_is_time():
    """A session ends before its answer has left the connection's buffer."""
    async with listening(once=True) as bed:
        raw, link = await open_idle(bed)
        transport = link.writer.transport
        while not transport.get_write_buffer_size():
            link.writer.write(EARLIER_ANSWER)
        raw.sendall(READ)
        await wait_until(transport.is_closing)
        stop = asyncio.create_task(bed.listener.stop(LONG_WITHIN_S))
        await asyncio.sleep(2 * WITHIN_S)
        if stop.done():
            bed.end_process()
        received = await read_all(raw)
        await stop
        assert received.endswith(SERVED[11:])


async def test_large_statement_sent_ahead_costs_a_refused_caller_its_answer():
    """A close with unread bytes resets the connection, which overtakes the answer."""
    async with listening(admission=FailureCode.OVERLOADED) as bed:
        address = bed.listener.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(START + b"QUERY l READ " + b"x" * 500_000 + b"\r\n")
        stop = asyncio.create_task(bed.listener.stop(WITHIN_S))
        try:
            async with asyncio.timeout(ANSWERED_WITHIN_S):
                assert (await reader.read()).startswith(b"ERROR BUSY")
        finally:
            writer.close()
            await stop


# -- the end of an idle session --


async def open_idle(
    bed: Bed, sent: bytes = b""
) -> tuple[socket.socket, LineCallerLink]:
    raw = bed.connect(START + sent)
    await wait_until(lambda: bed.links and bed.links[0].reader._waiter is not None)
    return raw, bed.links[0]


async def test_idle_session_waits_for_its_caller():
    async with listening() as bed:
        raw, link = await open_idle(bed)
        link.end_when_idle(True)
        assert await read_all(raw) == b"READY I -\r\n"
        assert bed.received == [None]


async def test_session_ends_amid_a_line():
    async with listening() as bed:
        raw, link = await open_idle(bed, READ[:9])
        link.end_when_idle(True)
        await asyncio.sleep(0.01)
        raw.sendall(READ[9:])
        assert await read_all(raw) == SERVED


async def test_session_ends_with_a_line_in_its_buffer():
    async with listening() as bed:
        raw, link = await open_idle(bed)
        link.reader.feed_data(READ + READ)
        link.end_when_idle(True)
        assert await read_all(raw) == SERVED + SERVED[11:]


async def test_line_that_arrives_after_the_wake_up_is_dropped():
    async with listening() as bed:
        raw, link = await open_idle(bed)
        link.end_when_idle(True)
        link.reader.feed_data(READ)
        assert await read_all(raw) == SERVED


async def test_line_at_the_gate_is_dropped():
    async with listening(statements=ROOM_FOR_ONE) as bed:
        room = await bed.intake.gate.enter(ROOM_FOR_ONE)
        raw = bed.connect(START + LARGE)
        await wait_until(lambda: bed.intake.gate.waiting)
        bed.links[0].end_when_idle(True)
        await asyncio.sleep(0.02)
        bed.intake.gate.leave(room)
        assert await read_all(raw) == SERVED


async def test_end_that_was_taken_back_ends_the_session():
    async with listening() as bed:
        raw, link = await open_idle(bed, READ[:9])
        link.end_when_idle(True)
        link.end_when_idle(False)
        raw.sendall(READ[9:])
        await wait_until(lambda: bed.received)
        await asyncio.sleep(0.01)
        assert raw.recv(1 << 10) == SERVED
        assert not link.writer.transport.is_closing()
