"""Statements of other hosts through a relay that stops, over sockets."""

import asyncio
from types import SimpleNamespace

import pytest
from aioprometheus import Registry

from apricotshore.identifiers import RequestId
from apricotshore.pooling.journal import EventKind
from apricotshore.pooling.metrics import PoolingMetrics
from apricotshore.pooling.other_hosts import OtherHosts
from apricotshore.pooling.ports import ConnectionLostError
from apricotshore.queries import Query, QueryKind
from apricotshore.services.clock import read_boot_ms
from apricotshore.shutdown import Drain
from standins.in_memory import GROUP
from tests.pooling.support import wait_until, write

from .test_relays import RelayHost, start_relay

GRACE_MS = 6_000
BEGIN = Query(kind=QueryKind.BEGIN)
COMMIT = Query(kind=QueryKind.COMMIT, request=RequestId("c"), text="COMMIT")


class StoppingRelay(RelayHost):
    """Relay whose stop a test lets come to any moment."""

    def __init__(self) -> None:
        super().__init__()
        self.drain = Drain(grace_ms=GRACE_MS)
        self.lines: list[tuple[EventKind, dict[str, object]]] = []
        self.metrics = PoolingMetrics(registry=Registry())
        self.others = OtherHosts(
            host_groups=SimpleNamespace(groups={GROUP: self.host.group}),
            fleet=self.host.fleet,
            asker=None,
            drain=self.drain,
            journal=SimpleNamespace(record=self.record),
            metrics=self.metrics,
        )

    def record(self, step, **details):
        self.lines.append((step, details))

    async def serve(self, group, server, organisation, link):
        await self.others.serve(group, server, organisation, link)

    def stop(self, share):
        """Have the host do what is due when a share of the grace has passed."""
        self.drain.began_at = read_boot_ms() - int(GRACE_MS * share)
        self.others.leave()


async def test_transaction_through_a_relay_ends_at_half_of_the_grace():
    """It ran until the relay's exit, where its commit was cut with its outcome open."""
    async with start_relay(StoppingRelay) as (relay, dial):
        link = await dial()
        await link.run([BEGIN], None, 1.0)
        assert (await link.run([write("w1")], None, 1.0))[0].failure is None
        relay.stop(0.4)
        assert (await link.run([write("w2")], None, 1.0))[0].failure is None
        relay.stop(0.5)
        with pytest.raises(ConnectionLostError) as error:
            await link.run([COMMIT], None, 1.0)
        assert not error.value.sent
        assert relay.model.acknowledged == []
        await wait_until(lambda: not relay.others.sessions)


async def test_statement_that_a_relay_cuts_is_reported_by_it():
    """Nothing told at which host a statement of another one was cut."""
    async with start_relay(StoppingRelay) as (relay, dial):
        link = await dial()
        await link.run([BEGIN], None, 1.0)
        relay.model.servers["s1"].mute = True
        running = asyncio.create_task(link.run([write("w1")], None, 5.0))
        await wait_until(lambda: "w1" in dict(relay.list_received()))
        relay.stop(0.5)
        assert not running.done()
        relay.stop(0.9)
        with pytest.raises(ConnectionLostError) as error:
            await running
        assert error.value.sent
        await wait_until(lambda: not relay.others.sessions)
        ((step, details),) = relay.lines
        assert step is EventKind.REQUEST_CUT
        assert (details["request"], details["stage"]) == ("w1", "running")
        assert relay.metrics.count_cuts() == 1


async def test_statement_that_waits_at_a_relay_that_ends_is_known_not_to_have_run():
    """Its connection was closed without the notice, as if it might have run."""
    async with start_relay(StoppingRelay) as (relay, dial):
        link = await dial()
        relay.model.limit = 0
        waiting = asyncio.create_task(link.run([write("w1")], None, 1.0))
        await wait_until(lambda: any(s.running for s in relay.others.sessions))
        relay.others.close()
        with pytest.raises(ConnectionLostError) as error:
            await waiting
        assert not error.value.sent
        assert relay.lines == []
