"""Statements of other hosts through a relay that stops, over sockets."""

from types import SimpleNamespace

import pytest

from apricotshore.identifiers import RequestId
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
        self.others = OtherHosts(
            host_groups=SimpleNamespace(groups={GROUP: self.host.group}),
            fleet=self.host.fleet,
            asker=None,
            drain=self.drain,
        )

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
