"""Fuzzing of the line parsers, and of the reading of lines in any pieces."""

import asyncio
from contextlib import suppress

from apricotshore_platform import lines
from apricotshore_platform.metered import READ_BYTES, ClosedForLimitError, MeteredReader
from hypothesis import example, given, settings
from hypothesis import strategies as st

from apricotshore.intake import IntakeSettings, derive_limits
from apricotshore.intake.limits import CONNECTION_BYTES
from apricotshore.pooling.client_intake import GRAIN_BYTES, ClientIntake

WORDS = [
    "QUERY", "READ", "WRITE", "SET", "PREPARE", "EXECUTE", "DEALLOC", "BEGIN", "AFTER",
    "PAUSE", "STEPDOWN", "STATUS", "QUIESCE", "QUIESCED", "SHARE", "REPEATED", "-",
    "1.2", "7", "²", "٣", "9" * 5_000, "1.", "", "primary", "replica", "\U0001f600",
]  # fmt: skip
line = st.one_of(
    st.text(st.characters(exclude_categories=["Cs"]), max_size=60),
    st.lists(st.one_of(st.sampled_from(WORDS), st.text(max_size=4))).map(" ".join),
)


@settings(max_examples=400)
@given(line)
@example("QUERY 1 AFTER x")
@example("QUERY 1 PAUSE ²")
def test_parsers_raise_only_the_declared_error(text):
    """Any other error would end a task, and with it what the task keeps up."""
    for decode in (
        lines.decode_query,
        lines.decode_host_query,
        lines.decode_position,
        lines.decode_state,
        lines.decode_report,
        lines.decode_error,
        lines.decode_quiesce,
        lines.decode_quiesce_reply,
    ):
        with suppress(lines.LineError):
            decode(text)


pieces = st.lists(
    st.one_of(
        st.binary(max_size=40),
        st.sampled_from([b"\r", b"\n", b"\r\n", b"QUERY 1 READ k\r\n", b"\xf0\x9f"]),
        st.integers(1, 3 * READ_BYTES).map(lambda n: b"x" * n),
    ),
    max_size=30,
)


class Transport:
    """Transport that only records whether it is paused."""

    def __init__(self) -> None:
        self.paused = False

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def is_closing(self) -> bool:
        return False


async def read_all(
    received: list[bytes], limit: int, budget: int
) -> tuple[list[str], int]:
    """Feed pieces while lines are read; return the lines and the most ever held."""
    memory = CONNECTION_BYTES + budget
    intake = ClientIntake(
        limits=derive_limits(IntakeSettings(client_memory=memory), 1_024)
    )
    reader = MeteredReader(intake=intake)
    reader.account = intake.open(reader.end_for_limit)
    transport = Transport()
    reader.set_transport(transport)
    found: list[str] = []
    most = 0

    async def read() -> None:
        while True:
            length = await reader.wait_for_line(limit)
            found.append(reader.take_line(length))

    task = asyncio.create_task(read())
    for piece in received:
        for _ in range(3):
            await asyncio.sleep(0)
        if task.done() or transport.paused:
            break
        reader.feed_data(piece)
        held = len(reader._buffer)
        accounted = max(0, intake.budget.total - CONNECTION_BYTES)
        assert abs(held - accounted) < GRAIN_BYTES
        most = max(most, held)
    reader.feed_eof()
    with suppress(lines.LineError, EOFError, ClosedForLimitError):
        await task
    return found, most


@settings(max_examples=150)
@given(
    pieces,
    st.sampled_from([64, 1_000, 2 * READ_BYTES]),
    st.sampled_from([2_000, 2 * READ_BYTES, 1 << 30]),
)
def test_lines_in_any_pieces_are_those_of_the_whole(received, limit, budget):
    """Only the declared errors are raised, and no more is held than the limits say."""
    found, most = asyncio.run(read_all(received, limit, budget))
    whole = b"".join(received).split(b"\r\n")
    for line, expected in zip(found, whole, strict=False):
        assert line.encode() == expected
        assert len(expected) <= limit
    assert most <= min(budget + GRAIN_BYTES, limit + 3 * READ_BYTES + 2)
