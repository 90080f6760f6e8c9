"""Relayed connections in steady use as the relay stops, over sockets."""

import asyncio

import pytest

from apricotshore.pooling.ports import ConnectionLostError
from tests.pooling.support import wait_until, write

from .test_relays import start_relay
from .test_stopping_relays import BEGIN, StoppingRelay


def hold_answers(relay) -> asyncio.Event:
    """Have the server's answers wait until the event is set."""
    pool = relay.host.group.pools["s1"]
    run, released = pool.run, asyncio.Event()

    async def run_held(*args):
        answers = await run(*args)
        await released.wait()
        return answers

    pool.run = run_held
    return released


async def test_relayed_connection_that_ticks_find_at_work_is_never_left():
    """A statement was taken after each look, and the last one was cut."""
    async with start_relay(StoppingRelay) as (relay, dial):
        link = await dial()
        released = hold_answers(relay)
        running = asyncio.create_task(link.run([write("w1")], None, 5.0))
        await wait_until(lambda: "w1" in dict(relay.list_received()))
        relay.stop(0.1)
        released.set()
        assert (await running)[0].failure is None
        with pytest.raises(ConnectionLostError) as error:
            await link.run([write("w2")], None, 1.0)
        assert not error.value.sent


async def test_relayed_transaction_that_ticks_find_at_work_goes_on_after_its_end():
    """Half of the grace passed during a statement, and the next ones ran as well."""
    async with start_relay(StoppingRelay) as (relay, dial):
        link = await dial()
        await link.run([BEGIN], None, 1.0)
        released = hold_answers(relay)
        running = asyncio.create_task(link.run([write("w1")], None, 5.0))
        await wait_until(lambda: "w1" in dict(relay.list_received()))
        relay.stop(0.5)
        released.set()
        assert (await running)[0].failure is None
        with pytest.raises(ConnectionLostError):
            await link.run([write("w2")], None, 1.0)
        assert "w2" not in dict(relay.list_received())
