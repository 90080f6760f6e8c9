"""Messages of rate limits on the wire."""

import asyncio

import pytest
from apricotshore_platform import tokens
from apricotshore_platform.callers import listen_for_hosts
from apricotshore_platform.channels import Channels
from apricotshore_platform.lines import LineError
from hypothesis import given
from hypothesis import strategies as st

from apricotshore.decisions.relays import ListedHost
from apricotshore.identifiers import DataCentreId, HostId
from apricotshore.limits import Demand, Grant, Stamp, TokensReply, TokensRequest
from apricotshore.pooling.listeners import HostHandler
from apricotshore.pooling.ports import ConnectionLostError

names = st.text(st.characters(exclude_categories=["Cs"]), min_size=1, max_size=20)
numbers = st.integers(0, 10**15)
stamps = st.builds(Stamp, epoch=numbers, until=numbers)
demands = st.builds(
    Demand, organisation=names, held=numbers, returned=numbers, wanted=numbers
)
grants = st.builds(
    Grant, organisation=names, tokens=numbers, spare=numbers, retry_ms=numbers
)
requests = st.builds(
    TokensRequest,
    host=names,
    process=numbers,
    hosts=numbers,
    digest=numbers,
    settled=st.booleans(),
    stamp=st.none() | stamps,
    demands=st.lists(demands, max_size=5).map(tuple),
)
replies = st.builds(
    TokensReply,
    validity_ms=numbers,
    settled=st.booleans(),
    stamp=stamps,
    leading=st.booleans(),
    referral=st.none() | names,
    grants=st.lists(grants, max_size=5).map(tuple),
)


@given(requests, replies)
def test_messages_are_read_as_they_were_written(request, reply):
    assert tokens.decode_request(tokens.encode_request(request)) == request
    assert tokens.decode_reply(tokens.encode_reply(reply)) == reply


@given(st.text(max_size=60) | st.just("a 1 1 2 0 - - b:1:2"))
def test_malformed_line_raises_the_declared_error(text):
    for decode in (tokens.decode_request, tokens.decode_reply):
        with pytest.raises(LineError):
            decode(f"TOKENS {text}")


async def _listen(questions):
    async def quiesce(request):
        raise AssertionError

    handler = HostHandler(
        admit=lambda group, server: None,
        serve=lambda group, server, link: None,
        quiesce=quiesce,
        questions=questions,
    )
    server = await listen_for_hosts("127.0.0.1:0", handler)
    port = server.sockets[0].getsockname()[1]
    address = f"127.0.0.1:{port}"
    host = ListedHost(host=HostId("b"), data_centre=DataCentreId("z"), address=address)
    return server, host


REQUEST = TokensRequest(host=HostId("a"), process=1, hosts=2)
REPLY = TokensReply(validity_ms=1_000, settled=True, stamp=Stamp(epoch=1, until=2))


async def test_host_answers_many_requests_on_one_connection():
    asked = []

    async def answer(request):
        asked.append(request)
        return REPLY

    server, host = await _listen({tokens.TOKENS: tokens.make_answer(answer)})
    channels = Channels()
    peers = tokens.LineTokenPeers(channels=channels)
    for _ in range(3):
        assert await peers.ask(host, REQUEST, 1) == REPLY
    assert asked == [REQUEST] * 3
    channels.close()
    server.close()


@pytest.mark.parametrize("has_question", [False, True])
async def test_host_without_limits_or_of_the_previous_version_is_no_allocator(
    has_question,
):
    async def answer(request):
        return None

    questions = {tokens.TOKENS: tokens.make_answer(answer)} if has_question else {}
    server, host = await _listen(questions)
    channels = Channels()
    peers = tokens.LineTokenPeers(channels=channels)
    with pytest.raises(ConnectionLostError):
        async with asyncio.timeout(1):
            await peers.ask(host, REQUEST, 0.5)
    channels.close()
    server.close()
