"""Limits at the moment at which a statement arrives, over real sockets."""

import asyncio
import time

import pytest
from apricotshore_platform.metered import LARGE_BYTES, MeteredReader

from apricotshore.intake import Phase
from tests.pooling.support import wait_until

from .test_connections import START, listening

QUERY = b"QUERY 1 READ k\r\n"
READY = b"READY I -\r\n"
COMPLETE = b"COMPLETE m\r\n" + READY
QUIET_MS = 10_000


@pytest.fixture
def on_arrival(monkeypatch):
    """Return a function that has work done before and after bytes are received."""
    feed = MeteredReader.feed_data

    def arrange(before, after):
        def feed_data(reader, data):
            before(reader.account)
            feed(reader, data)
            after(reader.intake)

        monkeypatch.setattr(MeteredReader, "feed_data", feed_data)

    return arrange


def find_only(intake):
    (account,) = intake.accounts.values()
    return account.connection


async def wait_for_phase(intake, phase):
    await wait_until(lambda: find_only(intake).phase is phase)


async def test_session_whose_statement_has_arrived_does_not_give_way(on_arrival):
    """It counted as quiet until its task had its turn: the statement was dropped."""
    async with listening(connections=1) as (intake, connect):
        reader, writer = await connect(START)
        assert await reader.readline() == READY
        await wait_for_phase(intake, Phase.IDLE)
        find_only(intake).since -= QUIET_MS
        on_arrival(lambda account: None, lambda intake: intake.make_room())
        writer.write(QUERY)
        assert await reader.readexactly(len(COMPLETE)) == COMPLETE


async def test_connection_whose_start_has_arrived_does_not_give_way(on_arrival):
    """It was reset as one that sends nothing, with the statement that it had sent."""
    on_arrival(lambda account: None, lambda intake: intake.make_room())
    async with listening(connections=2, starting=1) as (_, connect):
        reader, _ = await connect(START + QUERY)
        assert await reader.readexactly(len(READY + COMPLETE)) == READY + COMPLETE


async def test_statement_that_arrives_whole_in_time_is_not_overdue(on_arrival):
    """A sweep before the task's turn closed its connection."""

    def let_time_pass(account):
        account.connection.due_at = 0

    async with listening() as (intake, connect):
        reader, writer = await connect(START + QUERY[:5])
        assert await reader.readline() == READY
        await wait_for_phase(intake, Phase.RECEIVING)
        on_arrival(let_time_pass, lambda intake: intake.close_overdue())
        writer.write(QUERY[5:])
        assert await reader.readexactly(len(COMPLETE)) == COMPLETE


async def test_statement_that_waits_at_the_gate_does_not_give_way():
    """Its session counted as quiet while there was no room for the statement."""
    async with listening(connections=1) as (intake, connect):
        reader, writer = await connect(START)
        assert await reader.readline() == READY
        intake.gate.taken = intake.gate.limit
        writer.write(b"QUERY 1 READ " + b"x" * LARGE_BYTES + b"\r\n")
        await wait_until(lambda: intake.gate.waiting)
        find_only(intake).since -= QUIET_MS
        assert not intake.make_room()
        intake.gate.leave(intake.gate.limit)
        assert await reader.readexactly(len(COMPLETE)) == COMPLETE


async def test_start_that_arrives_as_its_time_ends_is_served():
    """After a freeze of the host the timer came first, and nobody got an answer."""
    async with listening(start_ms=100) as (intake, connect):
        reader, writer = await connect()
        await wait_until(lambda: intake.starting)
        await asyncio.sleep(0.05)
        writer.write(START + QUERY)
        time.sleep(0.2)
        assert await reader.readexactly(len(READY + COMPLETE)) == READY + COMPLETE
