"""A host process outlives crowds of clients that nobody controls.

Each test starts ``platform/serve.py`` and checks only what doesn't depend on the speed
of the machine: the process lives, its memory and its descriptors stay under a bound,
and an ordinary request is served while the crowd is still connected.
"""

import asyncio
import fcntl
import tempfile
from contextlib import suppress
from pathlib import Path

import pytest

from .harness import CLIENT_S, LINE_LIMIT, Host, running_host

pytestmark = [pytest.mark.xdist_group("fleets"), pytest.mark.timeout(300)]

MEMORY_MB = 96
DESCRIPTORS = 500
# The platform keeps 200 descriptors of each process for itself.
MOST_DESCRIPTORS = DESCRIPTORS - 200
LIMITS = f"memory = {MEMORY_MB} MB\ndescriptors = {DESCRIPTORS}\n"
START = b"STARTUP shop u1\r\n"
# Most of a line of the largest size, without its end.
UNFINISHED = b"QUERY q1 READ " + b"x" * (LINE_LIMIT - 64)
SMALL_PIECE = 16_384
CROWD = 100


@pytest.fixture(autouse=True)
def machine():
    """Run one of these tests at a time, whichever worker takes it."""
    with (Path(tempfile.gettempdir()) / "apricotshore-crowds.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@pytest.fixture
async def host(tmp_path):
    async with running_host(tmp_path, LIMITS) as running:
        yield running


async def send(raw, pieces) -> None:
    """Send pieces until the host takes no more or closes the connection."""
    loop = asyncio.get_running_loop()
    with suppress(OSError, TimeoutError):
        async with asyncio.timeout(CLIENT_S):
            for piece in pieces:
                await loop.sock_sendall(raw, piece)
                await asyncio.sleep(0)


async def open_crowd(host: Host, count: int, pieces, receive_buffer: int = 0) -> list:
    """Connect clients that send the same pieces, all at once."""
    crowd = [await host.connect(receive_buffer) for _ in range(count)]
    await asyncio.gather(*(send(raw, pieces) for raw in crowd))
    return crowd


async def check(host: Host, crowd: list) -> None:
    """Check what must hold while a crowd is connected, and close it."""
    served = await host.ask_until_served()
    descriptors = host.descriptors if host.process.returncode is None else -1
    peak = host.peak_mb if host.process.returncode is None else -1.0
    print(f"peak {peak:.0f} MB, {descriptors} descriptors, served {served}")
    for raw in crowd:
        raw.close()
    assert host.process.returncode is None
    assert served
    assert peak <= MEMORY_MB
    assert descriptors <= MOST_DESCRIPTORS
    assert await host.ask_until_served()


def cut(data: bytes, size: int) -> list[bytes]:
    return [data[i : i + size] for i in range(0, len(data), size)]


async def test_unfinished_messages_of_nearly_the_legal_size_in_one_piece(host):
    """Each connection could hold 1 MiB for as long as it liked."""
    crowd = await open_crowd(host, CROWD, [START + UNFINISHED])
    await check(host, crowd)


async def test_unfinished_messages_of_nearly_the_legal_size_in_small_pieces(host):
    """A limit on what is read at once doesn't bound what is held."""
    crowd = await open_crowd(host, CROWD, [START, *cut(UNFINISHED, SMALL_PIECE)])
    await check(host, crowd)


async def test_messages_far_over_the_limit(host):
    """While a session runs a statement, twice the limit of the next was held."""
    piece = b"QUERY q2 READ " + b"x" * (4 * LINE_LIMIT)
    first = START + b"QUERY q1 READ k\r\n"
    crowd = await open_crowd(host, CROWD, [first + piece, piece])
    await check(host, crowd)


async def test_connections_that_send_nearly_a_message_before_the_start(host):
    """The first line could be as long as a statement."""
    crowd = await open_crowd(host, CROWD, [b"STARTUP shop " + UNFINISHED])
    await check(host, crowd)


async def test_connections_that_never_send_anything(host):
    """They used up the descriptors, so that nobody else could connect."""
    await check(host, await open_crowd(host, 400, []))


async def test_sessions_that_send_nothing_after_the_start(host):
    """They used up the descriptors as well."""
    await check(host, await open_crowd(host, 400, [START]))


async def test_statements_sent_ahead_without_reading_the_answers(host):
    """Twice the largest line was read ahead for each connection."""
    statements = [b"QUERY q1 READ " + b"k" * 490 + b"\r\n"] * 5_000
    crowd = await open_crowd(
        host, CROWD, [START, *cut(b"".join(statements), 1 << 17)], 4_096
    )
    await check(host, crowd)


async def test_slow_readers_of_large_answers(host):
    """Answers were kept for as long as their connections stood."""
    asked = START + b"QUERY q1 READ big\r\n" * 8
    crowd = await open_crowd(host, CROWD, [asked], 4_096)
    loop = asyncio.get_running_loop()
    for _ in range(10):
        await asyncio.sleep(0.3)
        for raw in crowd:
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(0.01):
                    await loop.sock_recv(raw, 64)
    await check(host, crowd)


async def test_callers_that_stop_half_way_through_a_message(host):
    """Their sessions were ordinary ones until then."""
    half = UNFINISHED[: LINE_LIMIT // 2]
    pieces = [START + b"QUERY q1 READ k\r\n", *cut(half, SMALL_PIECE)]
    await check(host, await open_crowd(host, 2 * CROWD, pieces))


async def test_many_session_values_and_prepared_names(host):
    """A session could keep any number of values and names."""
    value = b"v" * 100_000
    pieces = [START]
    for i in range(30):
        pieces.append(b"QUERY q%d SET n%d %b\r\n" % (i, i, value))
        pieces.append(b"QUERY p%d PREPARE p%d READ %b\r\n" % (i, i, value))
    await check(host, await open_crowd(host, 20, pieces))


async def test_single_message_of_nearly_the_legal_size_is_served_in_calm(host):
    """The limits leave alone what the protocol allows."""
    text = "READ " + "k" * (LINE_LIMIT - 64)
    assert await host.ask_until_served(text)
    assert "apricotshore_callers_closed_total{" not in await host.read_metrics()


async def test_failing_statements_with_long_request_ids(host):
    """The journal kept the ids of failures, whatever their length, until a line."""
    statement = b"QUERY " + b"i" * (LINE_LIMIT - 64) + b" x\r\n"
    crowd = await open_crowd(host, 20, [START, *[statement] * 8])
    await check(host, crowd)


async def test_prepared_statements_with_long_shapes(host):
    """Shapes of letters alone were kept as names on each server connection."""
    pieces = [START]
    for i in range(100):
        shape = b"s%d" % i + b"s" * (LINE_LIMIT // 2)
        pieces.append(b"QUERY p PREPARE n READ %b\r\nQUERY e EXECUTE n 1\r\n" % shape)
    await check(host, await open_crowd(host, 6, pieces))
