"""A host whose lease has expired, or was taken by another host, changes nothing."""

import asyncio
import socket
from contextlib import suppress
from dataclasses import replace

import pytest
from apricotshore_platform.backends import LineDialer

from apricotshore.decisions import lease
from apricotshore.identifiers import RequestId, ServerId, StoreEra, Term
from apricotshore.pooling.change_steps import ChangeSteps
from apricotshore.pooling.ports import ConnectionLostError, StoreError
from apricotshore.pooling.stored_objects import LeaseRecord, LeaseWrite
from apricotshore.queries import Query, QueryKind
from apricotshore.services.clock import read_boot_ms
from standins.in_memory import GROUP, ModelConnection, ModelGroup, ModelPlatform

from .support import ModelHost, running, wait_until, writing
from .test_restored_leases import make_lease, restore

S1, S2, S3 = ServerId("s1"), ServerId("s2"), ServerId("s3")
KEY = GROUP, StoreEra(1)


async def take_expired(platform: ModelPlatform) -> LeaseRecord:
    """Have another host take a lease once it has expired, and record a target."""
    taker = make_lease(platform, "b")
    await taker.read()
    await asyncio.sleep(lease.LEASE_MS / 1000 + 0.02)
    assert await taker.acquire()
    assert await taker.write(still_open=True, target=S2)
    return platform.leases[KEY]


@pytest.mark.parametrize("learn", ["list", "conflict"])
@pytest.mark.parametrize("still_open", [True, False])
async def test_slow_holder_does_not_write_over_a_lease_taken_since(
    learn, still_open, monkeypatch
):
    monkeypatch.setattr(lease, "LEASE_MS", 100)
    platform = ModelPlatform(group=ModelGroup.make())
    former = make_lease(platform, "a")
    assert await former.acquire()
    taken = await take_expired(platform)
    if learn == "list":
        former.observe(taken)
    else:
        assert await former.write(still_open=True, target=S3) is None
    assert await former.write(still_open=still_open, target=S3) is None
    assert platform.leases[KEY] == taken


async def test_slow_holder_does_not_write_to_a_restored_store():
    platform = ModelPlatform(group=ModelGroup.make())
    former = make_lease(platform, "a")
    assert await former.acquire()
    former.held_until = 0
    restore(platform, former)
    assert await former.write(still_open=True) is None
    assert (GROUP, StoreEra(2)) not in platform.leases


class RepeatingPlatform(ModelPlatform):
    """Store that gets each write twice, as after a lost connection."""

    async def write_lease(self, record: LeaseRecord) -> LeaseWrite:
        await super().write_lease(record)
        return await super().write_lease(record)


async def test_write_that_the_store_gets_twice_keeps_the_lease():
    platform = RepeatingPlatform(group=ModelGroup.make())
    holder = make_lease(platform, "a")
    assert await holder.acquire()
    token = await holder.write(still_open=True, target=S2)
    stored = platform.leases[KEY]
    assert token == lease.make_token(stored.era, stored.revision)
    assert stored.target == S2


async def test_write_whose_answer_is_lost_is_followed_by_the_next():
    platform = ModelPlatform(group=ModelGroup.make())
    holder = make_lease(platform, "a")
    await holder.acquire()
    held_until = holder.held_until
    write_lease = platform.write_lease

    async def lose_answer(record: LeaseRecord) -> LeaseWrite:
        platform.write_lease = write_lease
        await write_lease(record)
        raise StoreError("no answer")

    platform.write_lease = lose_answer
    with pytest.raises(StoreError):
        await holder.write(still_open=True, target=S2)
    assert holder.held_until == held_until
    token = await holder.write(still_open=True, target=S3)
    stored = platform.leases[KEY]
    assert token == lease.make_token(stored.era, stored.revision)
    assert stored.target == S3


async def test_extended_lease_is_not_taken_at_the_end_of_its_first_time(monkeypatch):
    monkeypatch.setattr(lease, "LEASE_MS", 300)
    platform = ModelPlatform(group=ModelGroup.make())
    holder, other = make_lease(platform, "a"), make_lease(platform, "b")
    await holder.acquire()
    await other.read()
    await asyncio.sleep(0.2)
    assert await holder.write(still_open=True)
    await asyncio.sleep(0.15)
    assert await other.acquire() is None


# -- resumes --


def make_host() -> tuple[ModelGroup, ModelPlatform, ModelHost]:
    model = ModelGroup.make()
    platform = ModelPlatform(group=model)
    return model, platform, ModelHost.make("host-0", model, platform)


async def end_change_unresumed(host: ModelHost, server: ServerId) -> None:
    """End a change that could not resume one server."""
    assert await host.changer.lease.acquire()
    await host.changer.lease.release()
    host.changer.resumption.unresumed = {server}


async def test_server_that_the_next_holder_paused_stays_paused():
    model, platform, host = make_host()
    await end_change_unresumed(host, S2)
    assert await make_lease(platform, "b").acquire()
    model.servers[S2].paused_term = 5
    host.changer.observe_lease(platform.leases[KEY])
    await host.changer.resumption.resume_remaining()
    assert model.servers[S2].paused_term == 5
    assert not host.changer.resumption.unresumed


async def test_server_stays_paused_while_an_own_promotion_is_unconfirmed():
    model, _, host = make_host()
    await end_change_unresumed(host, S2)
    assert await host.changer.lease.acquire()
    model.servers[S2].paused_term = 5
    await host.changer.resumption.resume_remaining()
    assert model.servers[S2].paused_term == 5


async def test_server_is_not_resumed_while_another_host_may_begin_a_change(
    monkeypatch,
):
    model, platform, host = make_host()
    await end_change_unresumed(host, S2)
    model.servers[S2].paused_term = 5
    was_held = []
    run_command = ModelConnection._run_command

    def observe(link: ModelConnection, query: Query) -> None:
        if query.kind is QueryKind.RESUME:
            was_held.append(platform.leases[KEY].open)
        run_command(link, query)

    monkeypatch.setattr(ModelConnection, "_run_command", observe)
    await host.changer.resumption.resume_remaining()
    assert not model.servers[S2].paused_term
    assert was_held == [True]
    assert not platform.leases[KEY].open
    assert not host.changer.resumption.unresumed


async def test_lease_is_not_taken_while_no_server_is_found_paused():
    model, platform, host = make_host()
    await end_change_unresumed(host, S2)
    model.servers[S2].up = False
    before = platform.leases[KEY]
    await host.changer.resumption.resume_remaining()
    assert platform.leases[KEY] == before
    assert host.changer.resumption.unresumed == {S2}


async def test_only_a_server_whose_status_shows_a_pause_is_resumed():
    model, _, host = make_host()
    assert await host.changer.lease.acquire()
    model.servers[S2].paused_term = 5
    for server in (S2, S3):
        reply = await host.changer.commands.resume_paused(server)
        assert reply.report is not None
        assert reply.report.paused_term == 0
    assert not model.servers[S2].paused_term
    sent = [
        (link.server.name, query.kind)
        for link in host.dialer.links
        for query, _ in link.received
    ]
    assert sent == [
        (S2, QueryKind.STATUS),
        (S2, QueryKind.RESUME),
        (S3, QueryKind.STATUS),
    ]


async def test_lease_that_expires_while_a_status_is_answered_withholds_the_resume(
    monkeypatch,
):
    model, _, host = make_host()
    assert await host.changer.lease.acquire()
    model.servers[S2].paused_term = 5
    run_command = ModelConnection._run_command

    def run_and_expire(link: ModelConnection, query: Query) -> None:
        run_command(link, query)
        host.changer.lease.held_until = read_boot_ms() - 1

    monkeypatch.setattr(ModelConnection, "_run_command", run_and_expire)
    await host.changer.commands.resume_paused(S2)
    assert model.servers[S2].paused_term == 5


# -- expiry --


@pytest.mark.parametrize(
    "kind", [QueryKind.PAUSE, QueryKind.RESUME, QueryKind.STEP_DOWN]
)
async def test_holder_that_was_stopped_past_its_lease_sends_no_command(kind):
    model, _, host = make_host()
    assert await host.changer.lease.acquire()
    host.changer.lease.held_until = read_boot_ms() - 1
    await host.changer.commands.run(S2, kind, Term(5))
    sent = [query.kind for link in host.dialer.links for query, _ in link.received]
    assert sent == []


async def test_lease_that_expires_while_a_command_gets_its_connection(monkeypatch):
    model, _, host = make_host()
    assert await host.changer.lease.acquire()
    dial = host.dialer.dial

    async def dial_and_stop(server, timeout_s, organisation=None):
        link = await dial(server, timeout_s)
        host.changer.lease.held_until = read_boot_ms() - 1
        return link

    monkeypatch.setattr(host.dialer, "dial", dial_and_stop)
    await host.changer.commands.run(S2, QueryKind.PAUSE, Term(5))
    assert not model.servers[S2].paused_term


async def test_lease_that_expires_while_another_host_is_asked(monkeypatch):
    model, _, host = make_host()
    host.add_other_host("10.0.0.7:1")
    assert await host.changer.lease.acquire()
    detours = host.changer.detours
    dial = detours.direct.dial

    async def dial_and_stop(server, timeout_s, organisation=None):
        link = await dial(server, timeout_s)
        host.changer.lease.held_until = read_boot_ms() - 1
        return link

    monkeypatch.setattr(detours.direct, "dial", dial_and_stop)
    host.group.primary_state.primary = S1
    model.servers[S1].unreachable_by.add("host-0")
    await host.changer._change("requested")
    assert model.servers[S1].is_primary


async def test_holder_that_was_stopped_after_the_step_down_requests_no_promotion(
    monkeypatch,
):
    model, platform, host = make_host()
    is_held = []
    step_down, promote = ChangeSteps._step_down, platform.promote
    stops = [1]

    async def step_down_and_stop(work, server, term):
        await step_down(work, server, term)
        if stops:
            stops.pop()
            work.lease.held_until = read_boot_ms() - 1

    async def observe(*args):
        is_held.append(host.changer.lease.held_until > read_boot_ms())
        return await promote(*args)

    monkeypatch.setattr(ChangeSteps, "_step_down", step_down_and_stop)
    monkeypatch.setattr(platform, "promote", observe)
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        host.mark_leaving("s1")
        await wait_until(lambda: model.promotions)
    assert is_held
    assert all(is_held)
    assert model.lost == []


async def test_lease_is_not_taken_while_a_slow_change_is_fenced(monkeypatch):
    monkeypatch.setattr(lease, "LEASE_MS", 1_500)
    monkeypatch.setattr(lease, "PROMOTION_MS", 1_000)
    model, platform, host = make_host()
    platform.leases[KEY] = replace(platform.leases[KEY], open=True, holder="host-9")
    stop = ChangeSteps.stop

    async def stop_slowly(work):
        await asyncio.sleep(0.9)
        await stop(work)

    monkeypatch.setattr(ChangeSteps, "stop", stop_slowly)
    other = make_lease(platform, "b")
    async with running(host), writing(model):
        await wait_until(lambda: host.group.primary_state.primary == S1)
        await host.changer.lease.read()
        host.changer.lease.current.seen_at -= lease.LEASE_MS
        await wait_until(lambda: host.changer.lease.held_until)
        while platform.leases[KEY].open:
            assert await other.acquire() is None
            await asyncio.sleep(0.02)


# -- late commands --


async def test_command_that_hangs_while_dialing_ends_at_its_timeout():
    model, _, host = make_host()
    model.servers[S2].unreachable_by.add("host-0")
    began = read_boot_ms()
    await host.changer.commands.ask(S2, QueryKind.STATUS, timeout_ms=200)
    assert read_boot_ms() - began < 300


HELD_UP = [
    Query(kind=QueryKind.PAUSE, term=Term(5)),
    Query(kind=QueryKind.WRITE, request=RequestId("w1"), text="WRITE a PAUSE"),
]


@pytest.mark.parametrize("held_up", HELD_UP, ids=["command", "write"])
@pytest.mark.parametrize("ends", ["times out", "is cancelled"])
async def test_statement_held_up_by_the_network_is_not_delivered_later(ends, held_up):
    """The server's full receive buffer stands for the network."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    listener.setblocking(False)
    loop = asyncio.get_running_loop()
    model = ModelGroup.make()
    port = listener.getsockname()[1]
    server = replace(model.list(model.servers[S2]), address=f"127.0.0.1:{port}")
    dial = asyncio.create_task(LineDialer().dial(server, 1.0))
    peer, _ = await loop.sock_accept(listener)
    await loop.sock_recv(peer, 1_000)
    await loop.sock_sendall(peer, b"READY I -\r\n")
    link = await dial
    reads = [Query(kind=QueryKind.READ, request=RequestId("r"), text="READ a")] * 30_000
    queries = [*reads, held_up]
    run = asyncio.create_task(link.run(queries, None, 0.2))
    await asyncio.sleep(0.1)
    if ends == "is cancelled":
        run.cancel()
    with pytest.raises((ConnectionLostError, asyncio.CancelledError)):
        await run
    delivered = b""
    with peer, listener, suppress(ConnectionResetError):
        while data := await asyncio.wait_for(loop.sock_recv(peer, 65_536), 2.0):
            delivered += data
    assert b"PAUSE" not in delivered
