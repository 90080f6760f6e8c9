"""Golden tests of caller sessions on the line protocol.

In ``golden/*.session``, lines with ``>`` are sent by the caller and lines with
``<`` are received. ``REWRITE_GOLDEN=1`` records the files again.
"""

import asyncio
import os
from pathlib import Path

import pytest
from aioprometheus import Registry
from apricotshore_platform import callers

from apricotshore import shutdown
from apricotshore.organisations import Admission
from apricotshore.pooling.caller_session import CallerSession
from apricotshore.pooling.listeners import CallerHandler
from apricotshore.pooling.metrics import PoolingMetrics
from apricotshore.queries import FailureCode
from standins.in_memory import ModelGroup, ModelPlatform
from tests.pooling.support import ModelHost, make_route

FOLDER = Path(__file__).parent / "golden"
SESSIONS = sorted(FOLDER.glob("*.session"))


def make_handler() -> CallerHandler:
    model = ModelGroup.make()
    host = ModelHost.make("h", model, ModelPlatform(group=model))
    host.group.primary_state.primary = "s1"
    context = host.make_context(make_route())

    async def admit(database, key):
        if database != "shop":
            return FailureCode.NO_DATABASE
        return Admission(database=database)

    async def serve(admission, link):
        caller_session = CallerSession(
            database=admission.database,
            link=link,
            context=context,
            drain=shutdown.Drain(grace_ms=6_000),
            metrics=PoolingMetrics(registry=Registry()),
        )
        await caller_session.run()

    return CallerHandler(admit=admit, serve=serve)


async def read_reply(reader) -> list[str]:
    """Return the lines up to the end of an answer or of the session."""
    received: list[str] = []
    async with asyncio.timeout(3):
        while line := (await reader.readline()).decode():
            received.append(line.rstrip("\r\n"))
            if line.startswith("READY"):
                break
    return received


async def run_session(sent: list[str]) -> list[str]:
    """Send the lines of a caller and return the transcript of the session."""
    server = await callers.listen("127.0.0.1:0", make_handler())
    address = server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(*address)
    transcript: list[str] = []
    for line in sent:
        writer.write(line.encode() + b"\r\n")
        transcript += [f"> {line}"]
        transcript += [f"< {received}" for received in await read_reply(reader)]
    ended = await reader.read()
    writer.close()
    server.close()
    return [*transcript, f"< (closed){ended.decode()}"]


@pytest.mark.parametrize("path", SESSIONS, ids=lambda path: path.stem)
async def test_session_matches_its_recording(path):
    recorded = path.read_text().splitlines()
    sent = [line[2:] for line in recorded if line.startswith("> ")]
    transcript = await run_session(sent)
    if os.environ.get("REWRITE_GOLDEN"):
        path.write_text("\n".join(transcript) + "\n")
    assert transcript == path.read_text().splitlines()


def test_there_are_recorded_sessions():
    assert len(SESSIONS) >= 5
