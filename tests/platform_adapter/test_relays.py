"""Statements sent to a backend server through another host, over sockets."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest
from apricotshore_platform.backends import LineDialer
from apricotshore_platform.callers import listen_for_hosts

from apricotshore.identifiers import RequestId, ServerId, Term
from apricotshore.pooling.host_session import HostSession
from apricotshore.pooling.listeners import HostHandler
from apricotshore.pooling.ports import ConnectionLostError, ConnectionRejectedError
from apricotshore.queries import (
    Access,
    FailureCode,
    PreparedShape,
    Query,
    QueryKind,
    TransactionState,
)
from standins.in_memory import GROUP, ModelConnection, ModelGroup, ModelPlatform
from tests.pooling.support import ModelHost, log_position, read, wait_until, write

S1 = ServerId("s1")
ROLLBACK = Query(kind=QueryKind.ROLLBACK)


class RelayHost:
    """Host that connects to the backend servers on behalf of other hosts."""

    def __init__(self) -> None:
        self.model = ModelGroup.make()
        self.host = ModelHost.make("relay", self.model, ModelPlatform(group=self.model))
        self.sessions: list[HostSession] = []
        self.draining = False

    def admit(self, group, server, organisation):
        if group != GROUP or server not in self.host.group.pools:
            return FailureCode.WRONG_SERVER
        return FailureCode.OVERLOADED if self.draining else None

    async def serve(self, group, server, organisation, link):
        pool = self.host.group.pools[server]
        session = HostSession(
            group=self.host.group, pool=pool, link=link, organisation=organisation
        )
        self.sessions.append(session)
        await session.run()

    async def quiesce(self, request):
        raise AssertionError("no test of relays asks for it")

    def list_received(self) -> list[tuple[str, dict[str, str]]]:
        """Return the statements run at the server, with the session's values."""
        return [
            (q.request if q.request != "-" else q.kind.value, values)
            for link in self.host.dialer.links
            for q, values in link.received
        ]


@asynccontextmanager
async def start_relay(make=RelayHost):
    """Start a relay; yield it and a function that connects to a server through it."""
    relay = make()
    handler = HostHandler(admit=relay.admit, serve=relay.serve, quiesce=relay.quiesce)
    server = await listen_for_hosts("127.0.0.1:0", handler)
    port = server.sockets[0].getsockname()[1]
    listed = replace(
        relay.model.list(relay.model.servers[S1]), address=f"127.0.0.1:{port}"
    )

    async def dial(server=listed):
        return await LineDialer().dial(server, 1.0)

    try:
        yield relay, dial
    finally:
        server.close()


def set_value(name: str, value: str) -> Query:
    return Query(kind=QueryKind.SET, name=name, value=value)


async def test_statement_runs_with_the_session_values_of_its_host():
    shape = PreparedShape(access=Access.WRITE, shape="q1")
    prepare = Query(kind=QueryKind.PREPARE, name=shape.name, shape=shape)
    execute = Query(
        kind=QueryKind.EXECUTE,
        request=RequestId("e1"),
        name=shape.name,
        arguments="a b",
    )
    async with start_relay() as (relay, dial):
        one, other = await dial(), await dial()
        await one.run([set_value("zone", "a"), prepare], None, 1.0)
        await other.run([set_value("tone", "b")], None, 1.0)
        answers = await one.run([execute], None, 1.0)
        await other.run([read("r2")], None, 1.0)
        assert answers[0].receipt == "r.s1"
        assert relay.model.acknowledged == ["e1"]
    seen = dict(relay.list_received())
    assert seen["e1"] == {"zone": "a"}
    assert seen["r2"] == {"tone": "b"}


async def test_transaction_keeps_one_connection_of_the_relay():
    begin = Query(kind=QueryKind.BEGIN)
    commit = Query(kind=QueryKind.COMMIT, request=RequestId("c1"), text="COMMIT")
    async with start_relay() as (relay, dial):
        one, other = await dial(), await dial()
        answer = (await one.run([begin], None, 1.0))[0]
        assert answer.state is TransactionState.OPEN
        await other.run([read("r1")], None, 1.0)
        await one.run([write("w1")], None, 1.0)
        assert (await one.run([commit], None, 1.0))[0].receipt
        assert relay.model.acknowledged == ["w1"]
        connections = [
            link for link in relay.host.dialer.links for q, _ in link.received
            if q.request in ("w1", "c1")
        ]  # fmt: skip
        assert len(set(map(id, connections))) == 1
        assert relay.host.group.pools[S1].used == set()


async def test_position_and_commands_reach_the_server():
    pause = Query(kind=QueryKind.PAUSE, term=Term(9))
    async with start_relay() as (relay, dial):
        link = await dial()
        behind = (await link.run([read("r1")], log_position(5, 5), 1.0))[0]
        assert behind.failure is FailureCode.BEHIND
        report = (await link.run([pause], None, 1.0))[0].report
        assert report is not None
        assert report.paused_term == 9
        assert relay.model.servers[S1].paused_term == 9


async def test_transaction_of_a_disconnected_host_is_rolled_back():
    async with start_relay() as (relay, dial):
        link = await dial()
        await link.run([Query(kind=QueryKind.BEGIN), write("w1")], None, 1.0)
        link.close()
        await wait_until(lambda: not relay.host.group.pools[S1].used)
        assert all(not each.open for each in relay.host.dialer.links)
        assert relay.model.acknowledged == []


async def test_statement_of_a_host_that_timed_out_is_cancelled():
    async with start_relay() as (relay, dial):
        relay.model.servers[S1].mute = True
        link = await dial()
        with pytest.raises(ConnectionLostError) as error:
            await link.run([write("w1")], None, 0.2)
        assert error.value.sent
        await wait_until(lambda: not relay.host.group.pools[S1].used, 2.0)


async def test_relay_that_cannot_reach_the_server_reports_the_statement_as_not_sent():
    async with start_relay() as (relay, dial):
        link = await dial()
        relay.model.servers[S1].unreachable_by.add("relay")
        with pytest.raises(ConnectionLostError) as error:
            await link.run([write("w1")], None, 2.0)
        assert not error.value.sent
        assert relay.model.acknowledged == []


async def test_statement_is_prepared_again_in_a_transaction_without_a_reset():
    shape = PreparedShape(access=Access.WRITE, shape="q1")
    prepare = Query(kind=QueryKind.PREPARE, name=shape.name, shape=shape)
    execute = Query(
        kind=QueryKind.EXECUTE,
        request=RequestId("e1"),
        name=shape.name,
        arguments="a b",
    )
    async with start_relay() as (relay, dial):
        link = await dial()
        await link.run([Query(kind=QueryKind.BEGIN)], None, 1.0)
        pooled = relay.sessions[0].pinned
        pooled.prepared.update(f"x{number}" for number in range(300))
        await link.run([prepare], None, 1.0)
        pooled.prepared.discard(shape.name)
        assert (await link.run([execute], None, 1.0))[0].failure is None
        kinds = [q.kind for each in relay.host.dialer.links for q, _ in each.received]
        assert QueryKind.RESET not in kinds


async def test_statement_that_is_not_prepared_for_lack_of_room_leaves_its_transaction(
    monkeypatch,
):
    """It was rolled back unseen, and what followed was committed one by one."""
    shape = PreparedShape(access=Access.WRITE, shape="q1")
    prepare = Query(kind=QueryKind.PREPARE, name=shape.name, shape=shape)
    execute = Query(
        kind=QueryKind.EXECUTE,
        request=RequestId("e1"),
        name=shape.name,
        arguments="a b",
    )
    commit = Query(kind=QueryKind.COMMIT, request=RequestId("c1"), text="COMMIT")
    full = [True]
    run = ModelConnection._execute

    async def run_unless_full(self, query, after):
        if query.kind is QueryKind.PREPARE and full.pop():
            full.append(False)
            return FailureCode.OVERLOADED
        return await run(self, query, after)

    monkeypatch.setattr(ModelConnection, "_execute", run_unless_full)
    async with start_relay() as (relay, dial):
        link = await dial()
        await link.run([prepare], None, 1.0)
        await link.run([Query(kind=QueryKind.BEGIN)], None, 1.0)
        await link.run([write("w1")], None, 1.0)
        refused = (await link.run([execute], None, 1.0))[0]
        assert refused.failure is FailureCode.OVERLOADED
        assert refused.state is TransactionState.OPEN
        assert (await link.run([execute], None, 1.0))[0].failure is None
        assert (await link.run([commit], None, 1.0))[0].receipt
        assert relay.model.acknowledged == ["w1+e1"]


async def test_commit_without_a_transaction_is_no_success():
    commit = Query(kind=QueryKind.COMMIT, request=RequestId("c1"), text="COMMIT")
    async with start_relay() as (_, dial):
        answer = (await (await dial()).run([commit], None, 1.0))[0]
        assert answer.failure is FailureCode.ROLLED_BACK


async def test_stopping_relay_runs_no_statement_after_its_notice():
    async with start_relay() as (relay, dial):
        idle, busy = await dial(), await dial()
        await busy.run([Query(kind=QueryKind.BEGIN)], None, 1.0)
        await wait_until(lambda: len(relay.sessions) == 2)
        relay.draining = True
        for session in relay.sessions:
            session.leave()
        with pytest.raises(ConnectionLostError) as error:
            await idle.run([write("w1")], None, 1.0)
        assert not error.value.sent
        # The open transaction can still be completed.
        assert (await busy.run([write("w2")], None, 1.0))[0].failure is None
        commit = Query(kind=QueryKind.COMMIT, request=RequestId("c"), text="COMMIT")
        assert (await busy.run([commit], None, 1.0))[0].receipt
        assert relay.model.acknowledged == ["w2"]
        with pytest.raises(ConnectionRejectedError):
            await dial()


async def test_idle_connection_is_unusable_after_the_notice_of_a_stopping_relay():
    async with start_relay() as (relay, dial):
        link = await dial()
        await link.run([read("r1")], None, 1.0)
        assert link.usable
        relay.sessions[0].leave()
        await wait_until(lambda: not link.usable, 1.0)


async def test_relay_rejects_an_unknown_server():
    async with start_relay() as (relay, dial):
        listed = relay.model.list(relay.model.servers[S1])
        port = (await dial()).writer.get_extra_info("peername")[1]
        unknown = replace(listed, server=ServerId("s9"), address=f"127.0.0.1:{port}")
        with pytest.raises(ConnectionRejectedError) as error:
            await dial(unknown)
        assert error.value.code is FailureCode.WRONG_SERVER


async def test_relay_without_a_free_connection_is_overloaded_and_runs_nothing():
    async with start_relay() as (relay, dial):
        relay.model.limit = 0
        link = await dial()
        answer = (await link.run([write("w1")], None, 1.0))[0]
        assert answer.failure is FailureCode.OVERLOADED
        assert link.usable
        assert relay.model.acknowledged == []


@pytest.mark.parametrize("line", [b"HELLO\r\n", b"STARTUP a b\r\n", b"\xff\r\n"])
async def test_connection_without_a_valid_startup_is_closed(line):
    async with start_relay() as (_, dial):
        address = (await dial()).writer.get_extra_info("peername")
        reader, writer = await asyncio.open_connection(*address)
        writer.write(line)
        assert await reader.read() == b""
        writer.close()


async def test_host_that_is_no_relay_any_more_sends_others_away():
    async with start_relay() as (relay, dial):
        link = await dial()
        relay.host.group.pools[S1].set_relayed(True)
        assert (await link.run([read("r1")], None, 1.0))[0].receipt == "r.s1"
        await wait_until(lambda: not link.usable)
