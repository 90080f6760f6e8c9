"""Statements that were received as their session or transaction is to end."""

import asyncio
from contextlib import asynccontextmanager

from apricotshore_platform.callers import listen
from apricotshore_platform.metered import LARGE_BYTES

from apricotshore.intake import IntakeSettings, derive_limits
from apricotshore.pooling.client_intake import ClientIntake
from apricotshore.pooling.listeners import CallerHandler
from apricotshore.rate_decisions import ADMITTED
from tests.pooling.callers_of_organisations import OrganisationsBed
from tests.pooling.support import wait_until

START = b"STARTUP shop k\r\n"
READY = b"READY I -\r\n"
LARGE = b"WRITE k " + b"x" * LARGE_BYTES
REFUSED = b"ERROR UNAUTH the key is not valid any more\r\n"
ANSWER_S = 3.0


@asynccontextmanager
async def listening():
    """Listen for callers of one organisation, the gate for large statements full."""
    bed = OrganisationsBed(("o", "k"))
    intake = ClientIntake(limits=derive_limits(IntakeSettings(), 1_024))
    intake.gate.taken = intake.gate.limit
    handler = CallerHandler(admit=bed.callers.admit, serve=bed.callers.serve)
    server = await listen("127.0.0.1:0", handler, intake)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    writer.write(START)
    assert await reader.readline() == READY
    try:
        async with asyncio.timeout(ANSWER_S):
            yield bed, intake.gate, reader, writer
    finally:
        writer.close()
        server.close()


async def test_transaction_whose_statement_waits_for_room_is_not_idle():
    """It was rolled back as idle though its caller had sent the next statement."""
    async with listening() as (bed, gate, reader, writer):
        writer.write(b"QUERY b BEGIN\r\nQUERY w " + LARGE + b"\r\n")
        assert await reader.readline() == b"COMPLETE -\r\n"
        assert (await reader.readline()).startswith(b"READY T")
        await wait_until(lambda: gate.waiting)
        await asyncio.sleep(bed.configuration.idle_transaction_ms / 1_000 + 0.1)
        gate.leave(gate.limit)
        assert (await reader.readline()).startswith(b"COMPLETE")


async def test_statement_that_waits_for_room_as_its_key_is_withdrawn_is_answered():
    """The session closed after a few turns, and the statement got no answer."""
    async with listening() as (bed, gate, reader, writer):
        asked, goes_on = asyncio.Event(), asyncio.Event()

        async def admit_later(organisation):
            asked.set()
            await goes_on.wait()
            return ADMITTED

        bed.callers.context.admit_rate = admit_later
        writer.write(b"QUERY r READ k\r\nQUERY w " + LARGE + b"\r\n")
        await asked.wait()
        bed.apply(("o", "other"))
        goes_on.set()
        assert await reader.readline() == REFUSED
        assert await reader.readline() == READY
        await wait_until(lambda: gate.waiting)
        await asyncio.sleep(0.05)
        gate.leave(gate.limit)
        assert await reader.read() == REFUSED + READY
