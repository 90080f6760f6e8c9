"""Limits as a client sees them, over real sockets in this process."""

import asyncio
import errno
import socket
from contextlib import asynccontextmanager

from apricotshore_platform import callers

from apricotshore.identifiers import DatabaseId
from apricotshore.intake import IntakeSettings, Phase, derive_limits
from apricotshore.organisations import Admission
from apricotshore.pooling.client_intake import ClientIntake
from apricotshore.pooling.listeners import CallerHandler
from apricotshore.pooling.sessions import Session
from apricotshore.queries import (
    Access,
    Answer,
    FailureCode,
    PreparedShape,
    Query,
    QueryKind,
    TransactionState,
)
from tests.pooling.support import wait_until

START = b"STARTUP shop u1\r\n"
SMALL = Answer(receipt="m")
LARGE = Answer(rows=("r" * 100_000,) * 200, receipt="m")


@asynccontextmanager
async def listening(answer=SMALL, hold=None, **settings):
    """Listen with settings of the limits; ``hold`` delays each answer."""

    async def admit(database, key):
        return Admission(database=database)

    async def serve(admission, link):
        while (query := await link.receive()) is not None:
            if hold is not None:
                await hold.wait()
            await link.send(query, answer)
        link.close()

    limits = derive_limits(IntakeSettings(**settings), 1_024)
    intake = ClientIntake(limits=limits)
    handler = CallerHandler(admit=admit, serve=serve)
    server = await callers.listen("127.0.0.1:0", handler, intake)
    writers = []

    async def connect(sent=b""):
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writers.append(writer)
        writer.write(sent)
        return reader, writer

    try:
        yield intake, connect
    finally:
        for writer in writers:
            writer.close()
        server.close()


async def test_start_over_its_limit_gets_an_error():
    """The first line could take as much memory as a statement."""
    async with listening(start_line=100) as (intake, connect):
        reader, _ = await connect(b"STARTUP shop " + b"k" * 200)
        assert (await reader.read()).startswith(b"ERROR TOOLARGE")
        await wait_until(lambda: not intake.accounts)


async def test_client_that_holds_most_is_told_and_the_others_are_served():
    """Closing whoever comes last would let the first ones keep all memory."""
    async with listening(client_memory=300_000) as (intake, connect):
        small, writer = await connect(START)
        large, _ = await connect(START + b"QUERY 1 READ " + b"x" * 200_000)
        await wait_until(lambda: intake.budget.total > 200_000)
        other, _ = await connect(START + b"QUERY 1 READ " + b"x" * 150_000)
        received = await large.read()
        error = b"ERROR BUSY memory is short, retry-after-ms=1000\r\n"
        assert received == b"READY I -\r\n" + error
        writer.write(b"QUERY 1 READ k\r\n")
        expected = b"READY I -\r\nCOMPLETE m\r\nREADY I -\r\n"
        assert await small.readexactly(len(expected)) == expected
        await wait_until(lambda: len(intake.accounts) == 2)


async def test_answer_that_is_not_taken_is_dropped():
    """A session that waits for its client keeps its transaction's connection."""
    async with listening(answer=LARGE, answer_ms=1) as (intake, connect):
        _, writer = await connect(START + b"QUERY 1 READ k\r\n")
        writer.transport.pause_reading()
        await wait_until(lambda: intake.budget.total > 1 << 20)
        (account,) = intake.accounts.values()
        assert account.connection.phase is Phase.SENDING
        account.connection.due_at = 0
        await wait_until(lambda: not intake.accounts)
        assert intake.budget.total == 0


async def test_message_that_is_never_finished_is_given_up():
    """A client that stops half-way would hold its part for ever."""
    async with listening(message_ms=1) as (intake, connect):
        reader, _ = await connect(START + b"QUERY 1 RE")
        error = b"ERROR BUSY receiving for too long, retry-after-ms=1000\r\n"
        assert await reader.read() == b"READY I -\r\n" + error


async def test_accepting_waits_while_all_sessions_are_busy():
    """A statement in work isn't given up for a client that has just come."""
    hold = asyncio.Event()
    async with listening(hold=hold, connections=2, starting=2) as (intake, connect):
        first = [await connect(START + b"QUERY 1 READ k\r\n") for _ in range(2)]
        phases = [Phase.RUNNING] * 2
        await wait_until(
            lambda: [a.connection.phase for a in intake.accounts.values()] == phases
        )
        late, _ = await connect(START)
        await asyncio.sleep(0.05)
        assert len(intake.accounts) == 2
        hold.set()
        for reader, writer in first:
            expected = b"READY I -\r\nCOMPLETE m\r\nREADY I -\r\n"
            assert await reader.readexactly(len(expected)) == expected
            writer.close()
        assert await late.readline() == b"READY I -\r\n"


async def test_connection_whose_transaction_failed_gives_way_to_another():
    """Callers that rested in failed transactions kept all others from the host."""
    failed = Answer(failure=FailureCode.ROLLED_BACK, state=TransactionState.FAILED)
    async with listening(answer=failed, connections=1) as (intake, connect):
        first, _ = await connect(START + b"QUERY 1 READ k\r\n")
        assert await first.readline() == b"READY I -\r\n"
        assert (await first.readline()).startswith(b"ERROR ABORTED")
        late, _ = await connect(START)
        async with asyncio.timeout(5):
            assert await late.readline() == b"READY I -\r\n"


async def test_accepting_goes_on_after_descriptors_ran_short(monkeypatch):
    """A listener that ends, or stays away for a second, would turn everybody away."""
    failures = [OSError(errno.EMFILE, "too many files"), OSError(errno.ECONNABORTED)]
    accept = socket.socket.accept

    def accept_or_fail(raw):
        if failures:
            raise failures.pop()
        return accept(raw)

    monkeypatch.setattr(socket.socket, "accept", accept_or_fail)
    async with listening() as (_, connect):
        reader, _ = await connect(START)
        assert await reader.readline() == b"READY I -\r\n"
    assert not failures


async def test_size_of_a_session_follows_its_values_and_names():
    """A size that only grows would refuse sessions that replace their values."""
    session = Session(database=DatabaseId("shop"))
    shape = PreparedShape(access=Access.READ, shape="s")
    changes = [
        Query(kind=QueryKind.SET, name="a", value="1" * 5_000),
        Query(kind=QueryKind.SET, name="a", value="1"),
        Query(kind=QueryKind.PREPARE, name="p", shape=shape),
        Query(kind=QueryKind.DEALLOCATE, name="p"),
        Query(kind=QueryKind.DEALLOCATE, name="p"),
        Query(kind=QueryKind.RESET),
    ]
    sizes = []
    for change in changes:
        session.change(change)
        sizes.append(session.state_bytes)
    assert sizes[0] > 5_000 > sizes[2] > sizes[1] == sizes[3] == sizes[4] > 0
    assert sizes[5] == 0
