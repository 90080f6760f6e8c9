"""All hosts confirm that no statement of theirs is in progress at a primary."""

import asyncio

import pytest

from apricotshore.decisions.relays import Fleet, ListedHost
from apricotshore.identifiers import DataCentreId, FencingToken, HostId, ServerId, Term
from apricotshore.pooling.ports import (
    ConnectionLostError,
    HostStoppedError,
    QuiesceReply,
    QuiesceRequest,
    StoreError,
)
from apricotshore.pooling.write_barrier import PEER_TIMEOUT_S, WriteBarrier
from standins.in_memory import ModelGroup, ModelPlatform

from .support import ModelHost

S1 = ServerId("s1")
OWN, B, C = HostId("host-0"), HostId("b"), HostId("c")
TERM = Term(1)
TOKEN = FencingToken(5)
HOLD_MS = 5_000


class Peers:
    """Other hosts, each of which confirms, has ended, or is frozen."""

    def __init__(self, **replies) -> None:
        self.replies = replies
        self.asked: list[tuple[HostId, QuiesceRequest]] = []

    async def quiesce(
        self, host: ListedHost, request: QuiesceRequest, timeout_s: float
    ) -> QuiesceReply:
        self.asked.append((host.host, request))
        reply = self.replies[host.host]
        if reply is None:
            await asyncio.sleep(timeout_s)
            raise ConnectionLostError("no confirmation", sent=True)
        if isinstance(reply, Exception):
            raise reply
        return reply


def make_barrier(peers: Peers, *, refresh=None) -> tuple[WriteBarrier, ModelHost]:
    model = ModelGroup.make()
    host = ModelHost.make(OWN, model, ModelPlatform(group=model))
    fleet = Fleet(local_host=OWN)
    for number, name in enumerate((OWN, B, C)):
        fleet.hosts[name] = ListedHost(
            host=name, data_centre=DataCentreId("a"), address=f"10.0.0.{number}:1"
        )

    async def keep_hosts() -> None:
        """Leave the list of hosts as it is."""

    barrier = WriteBarrier(
        group=host.group, fleet=fleet, peers=peers, refresh_hosts=refresh or keep_hosts
    )
    return barrier, host


async def test_all_hosts_confirm_this_one_included():
    peers = Peers(b=QuiesceReply(ended=1), c=QuiesceReply())
    barrier, host = make_barrier(peers)
    report = await barrier.quiesce(S1, TERM, TOKEN, HOLD_MS)
    assert report.is_complete
    assert report.hosts == {OWN, B, C}
    assert report.ended == 1
    assert host.group.is_quiesced(S1)


async def test_connection_that_a_host_closed_is_reported():
    """The server may learn of it late, and acknowledge to it until then."""
    barrier, _ = make_barrier(Peers(b=QuiesceReply(closed=1), c=QuiesceReply()))
    report = await barrier.quiesce(S1, TERM, TOKEN, HOLD_MS)
    assert report.closed == 1
    assert not report.is_complete


@pytest.mark.parametrize(
    "reply",
    [None, ConnectionLostError("reset", sent=True)],
    ids=["frozen-or-cut", "reset"],
)
async def test_host_without_a_confirmation_is_missing(reply):
    barrier, _ = make_barrier(Peers(b=reply, c=QuiesceReply()))
    report = await barrier.quiesce(S1, TERM, TOKEN, HOLD_MS)
    assert report.missing == (B,)
    assert not report.is_complete


async def test_process_that_has_ended_holds_no_connection():
    barrier, _ = make_barrier(
        Peers(b=HostStoppedError("x", sent=False), c=QuiesceReply())
    )
    report = await barrier.quiesce(S1, TERM, TOKEN, HOLD_MS)
    assert report.is_complete


async def test_host_that_was_absent_before_delays_no_later_change():
    barrier, _ = make_barrier(Peers(b=None, c=QuiesceReply()))
    await barrier.quiesce(S1, TERM, TOKEN, HOLD_MS)
    loop = asyncio.get_running_loop()
    began = loop.time()
    report = await barrier.quiesce(S1, TERM, TOKEN, HOLD_MS)
    assert loop.time() - began < PEER_TIMEOUT_S / 2
    assert report.missing == (B,)


async def test_hosts_are_not_known_while_the_store_is_away():
    async def fail() -> None:
        raise StoreError("down")

    peers = Peers(b=QuiesceReply(), c=QuiesceReply())
    barrier, _ = make_barrier(peers, refresh=fail)
    report = await barrier.quiesce(S1, TERM, TOKEN, HOLD_MS)
    assert not report.is_complete
    assert {host for host, _ in peers.asked} == {B, C}


async def test_host_that_started_meanwhile_is_asked():
    """The list is read for each round: it may have got an answer of the primary."""
    peers = Peers(b=QuiesceReply(), c=QuiesceReply(), d=QuiesceReply())
    barrier, _ = make_barrier(peers)
    started = ListedHost(
        host=HostId("d"), data_centre=DataCentreId("a"), address="10.0.0.4:1"
    )

    async def add_host() -> None:
        barrier.fleet.hosts[started.host] = started

    barrier.refresh_hosts = add_host
    report = await barrier.quiesce(S1, TERM, TOKEN, HOLD_MS)
    assert started.host in report.hosts


async def test_host_that_has_removed_its_entry_is_not_missing():
    """It holds no connection any more, and is gone before it could confirm."""
    peers = Peers(b=None, c=QuiesceReply())
    barrier, _ = make_barrier(peers)

    async def remove_host() -> None:
        del barrier.fleet.hosts[B]

    barrier.refresh_hosts = remove_host
    report = await barrier.quiesce(S1, TERM, TOKEN, HOLD_MS)
    assert report.missing == ()
    assert report.is_complete


async def test_hosts_are_asked_while_the_store_is_slow():
    """Writes wait for the whole round."""
    peers = Peers(b=QuiesceReply(), c=QuiesceReply())
    barrier, _ = make_barrier(peers)
    asked = []

    async def answer_late() -> None:
        await asyncio.sleep(0.05)
        asked.extend(host for host, _ in peers.asked)

    barrier.refresh_hosts = answer_late
    await barrier.quiesce(S1, TERM, TOKEN, HOLD_MS)
    assert set(asked) == {B, C}


async def test_all_hosts_send_again_to_a_primary_that_was_not_replaced():
    peers = Peers(b=QuiesceReply(), c=QuiesceReply())
    barrier, host = make_barrier(peers)
    await barrier.quiesce(S1, TERM, TOKEN, HOLD_MS)
    await barrier.reopen(S1, TERM, TOKEN)
    assert [r.hold_ms for _, r in peers.asked] == [HOLD_MS, HOLD_MS, 0, 0]
    assert not host.group.is_quiesced(S1)
