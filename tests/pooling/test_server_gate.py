"""Statements in progress at a primary that is being replaced end, or are closed."""

import asyncio

import pytest

from apricotshore.decisions.placement import Distance, ServerLoad
from apricotshore.groups import LogPosition
from apricotshore.identifiers import FencingToken, ServerId, Term
from apricotshore.pooling import server_gate
from apricotshore.pooling.pool import ServerPool
from apricotshore.pooling.ports import ConnectionLostError, QuiesceReply, QuiesceRequest
from apricotshore.pooling.preparation import BEGIN, BEGIN_READ, ROLLBACK
from apricotshore.pooling.server_gate import QuiescedError, ServerGate
from apricotshore.queries import Answer, Query, QueryKind
from apricotshore.services.clock import read_boot_ms
from standins.in_memory import GROUP, ModelGroup, ModelPlatform

from .support import ModelHost, read, write

S1, S2 = ServerId("s1"), ServerId("s2")
TERM = Term(1)
TOKEN = FencingToken(5)
HOLD_MS = 5_000
COMMIT = Query(kind=QueryKind.COMMIT)
EXECUTE = Query(kind=QueryKind.EXECUTE, name="p")
STEP_DOWN = Query(kind=QueryKind.STEP_DOWN, term=Term(2))


class SlowLink:
    """Connection whose server answers after a time, unless it is closed before."""

    def __init__(self, answer_s: float) -> None:
        self.answer_s = answer_s
        self.was_abandoned = asyncio.Event()
        self.runs = 0

    @property
    def usable(self) -> bool:
        return not self.was_abandoned.is_set()

    async def run(
        self, queries: list[Query], after: LogPosition | None, timeout_s: float
    ) -> list[Answer]:
        self.runs += 1
        try:
            async with asyncio.timeout(self.answer_s):
                await self.was_abandoned.wait()
        except TimeoutError:
            return [Answer() for _ in queries]
        raise ConnectionLostError("reset", sent=True)

    def close(self) -> None:
        self.was_abandoned.set()

    def abandon(self) -> None:
        self.was_abandoned.set()


class OneLinkDialer:
    """Dialer that always returns the same connection."""

    def __init__(self, link: SlowLink) -> None:
        self.link = link

    async def dial(self, server, timeout_s: float, organisation=None) -> SlowLink:
        return self.link


def make_pool(answer_s: float, gate: ServerGate) -> ServerPool:
    model = ModelGroup.make()
    load = ServerLoad(server=S1, distance=Distance.SAME_DATA_CENTRE, slots=3)
    return ServerPool(
        server=model.list(model.servers[S1]),
        load=load,
        limit=20,
        dialer=OneLinkDialer(SlowLink(answer_s)),
        gate=gate,
    )


async def begin(pool: ServerPool, query: Query) -> asyncio.Task[list[Answer]]:
    pooled = await pool.acquire({}, 0, read_boot_ms() + 100)
    task = asyncio.create_task(pool.run(pooled, [query], None, 2_000))
    await asyncio.sleep(0.01)
    return task


@pytest.mark.parametrize("query", [write(), COMMIT, EXECUTE])
async def test_statement_that_gets_its_answer_is_waited_for(query):
    gate = ServerGate(server=S1)
    task = await begin(make_pool(0.05, gate), query)
    assert await gate.quiesce(TERM, TOKEN, HOLD_MS) == QuiesceReply(ended=1)
    assert task.done()
    assert len(await task) == 1


@pytest.mark.parametrize("query", [write(), COMMIT, EXECUTE])
async def test_commit_without_an_answer_is_closed_and_its_outcome_unknown(query):
    """The server could acknowledge it to this host after the promotion."""
    gate = ServerGate(server=S1)
    pool = make_pool(1.5, gate)
    task = await begin(pool, query)
    assert await gate.quiesce(TERM, TOKEN, HOLD_MS) == QuiesceReply(closed=1)
    with pytest.raises(ConnectionLostError) as raised:
        await task
    assert raised.value.sent
    assert gate.running == {}


async def test_statement_of_a_pool_that_was_dropped_is_closed():
    gate = ServerGate(server=S1)
    pool = make_pool(1.5, gate)
    task = await begin(pool, write())
    pool.close()
    assert (await gate.quiesce(TERM, TOKEN, HOLD_MS)).closed == 1
    with pytest.raises(ConnectionLostError):
        await task


async def test_repeated_request_counts_what_an_earlier_one_closed():
    """The reply to the earlier one was lost: the server may learn late of the close."""
    gate = ServerGate(server=S1)
    task = await begin(make_pool(1.5, gate), write())
    await gate.quiesce(TERM, TOKEN, HOLD_MS)
    assert await gate.quiesce(TERM, TOKEN, HOLD_MS) == QuiesceReply()
    reply = await gate.quiesce(TERM, TOKEN, HOLD_MS, repeated=True)
    assert reply == QuiesceReply(closed=1)
    with pytest.raises(ConnectionLostError):
        await task


async def test_repeated_request_counts_what_an_earlier_one_waited_for():
    gate = ServerGate(server=S1)
    task = await begin(make_pool(0.05, gate), write())
    await gate.quiesce(TERM, TOKEN, HOLD_MS)
    reply = await gate.quiesce(TERM, TOKEN, HOLD_MS, repeated=True)
    assert reply == QuiesceReply(ended=1)
    await task


async def test_repeated_request_amid_an_earlier_one_counts_what_that_closes():
    gate = ServerGate(server=S1)
    task = await begin(make_pool(1.5, gate), write())
    earlier = asyncio.create_task(gate.quiesce(TERM, TOKEN, HOLD_MS))
    await asyncio.sleep(0.1)
    reply = await gate.quiesce(TERM, TOKEN, HOLD_MS, repeated=True)
    assert reply.closed == 1
    assert await earlier == QuiesceReply(closed=1)
    with pytest.raises(ConnectionLostError):
        await task


async def test_repeated_request_counts_nothing_of_earlier_rounds(monkeypatch):
    monkeypatch.setattr(server_gate, "COUNTS_KEPT_MS", 10)
    gate = ServerGate(server=S1)
    task = await begin(make_pool(0.05, gate), write())
    await gate.quiesce(TERM, TOKEN, HOLD_MS)
    await asyncio.sleep(0.02)
    reply = await gate.quiesce(TERM, TOKEN, HOLD_MS, repeated=True)
    assert reply == QuiesceReply()
    await task


@pytest.mark.parametrize("query", [write(), COMMIT, EXECUTE, BEGIN_READ])
async def test_nothing_is_sent_while_the_gate_is_shut(query):
    gate = ServerGate(server=S1)
    pool = make_pool(0.0, gate)
    await gate.quiesce(TERM, TOKEN, HOLD_MS)
    pooled = await pool.acquire({}, 0, read_boot_ms() + 100)
    with pytest.raises(QuiescedError) as raised:
        await pool.run(pooled, [query], None, 100)
    assert not raised.value.sent
    assert pooled.link.runs == 0


async def test_commands_reads_and_questions_who_leads_pass_a_shut_gate():
    gate = ServerGate(server=S1)
    pool = make_pool(0.0, gate)
    await gate.quiesce(TERM, TOKEN, HOLD_MS)
    pooled = await pool.acquire({}, 0, read_boot_ms() + 100)
    for queries in ([STEP_DOWN], [BEGIN, ROLLBACK], [read()]):
        assert len(await pool.run(pooled, queries, None, 100)) == len(queries)


async def test_gate_opens_by_itself_when_the_holder_has_ended():
    gate = ServerGate(server=S1)
    await gate.quiesce(TERM, TOKEN, 50)
    assert gate.is_shut
    await gate.wait_until_open(1_000)
    assert not gate.is_shut


async def test_later_request_does_not_shorten_the_hold():
    gate = ServerGate(server=S1)
    await gate.quiesce(TERM, TOKEN, HOLD_MS)
    await gate.quiesce(TERM, TOKEN, 10)
    await asyncio.sleep(0.02)
    assert gate.is_shut


def make_host() -> ModelHost:
    model = ModelGroup.make()
    return ModelHost.make("host-0", model, ModelPlatform(group=model))


def quiesce(
    term: int = 1, hold_ms: int = HOLD_MS, token: int = TOKEN
) -> QuiesceRequest:
    return QuiesceRequest(
        group=GROUP,
        server=S1,
        term=Term(term),
        token=FencingToken(token),
        hold_ms=hold_ms,
    )


async def test_host_sends_again_once_another_server_leads_a_later_term():
    host = make_host()
    host.group.observe_primary(S1, TERM, read_boot_ms(), TERM)
    await host.group.quiesce(quiesce())
    assert host.group.is_quiesced(S1)
    # It crashed and leads again, before the promotion takes effect.
    host.group.observe_primary(S1, Term(2), read_boot_ms(), Term(2))
    assert host.group.is_quiesced(S1)
    host.group.observe_primary(S2, Term(3), read_boot_ms(), Term(3))
    assert not host.group.is_quiesced(S1)


async def test_late_request_of_a_former_holder_stops_no_later_primary():
    host = make_host()
    host.group.observe_primary(S2, Term(3), read_boot_ms(), Term(3))
    await host.group.quiesce(quiesce(term=1))
    assert not host.group.is_quiesced(S2)
    host.group.observe_primary(S2, Term(3), read_boot_ms(), Term(3))
    assert not host.group.is_quiesced(S1)


async def test_host_that_learns_of_a_server_later_sends_it_nothing():
    host = make_host()
    host.group.remove_server(S1)
    await host.group.quiesce(quiesce())
    host.group.update_server(host.model.list(host.model.servers[S1]))
    assert host.group.pools[S1].gate.is_shut


async def test_primary_that_was_not_replaced_gets_statements_again():
    host = make_host()
    await host.group.quiesce(quiesce())
    await host.group.quiesce(quiesce(hold_ms=0))
    assert not host.group.is_quiesced(S1)


async def test_late_request_of_a_former_holder_ends_no_later_hold():
    host = make_host()
    await host.group.quiesce(quiesce(token=TOKEN))
    await host.group.quiesce(quiesce(token=TOKEN - 1, hold_ms=0))
    assert host.group.is_quiesced(S1)
