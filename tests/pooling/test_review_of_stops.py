"""Statements and sessions of a stopping host, found in a review."""

import asyncio
from types import SimpleNamespace

from apricotshore import shutdown
from apricotshore.pooling.host_shutdown import HostShutdown
from apricotshore.queries import FailureCode
from apricotshore.services.clock import read_boot_ms

from .support import make_route, write
from .test_caller_session import Bed, CallerSession

GRACE_MS = 200


async def test_write_that_no_server_ran_is_told_as_of_unknown_outcome(monkeypatch):
    """The server had refused it, and it waited to be sent again."""
    bed = Bed(make_route())
    bed.model.servers["s1"].busy = True
    drain = shutdown.Drain(grace_ms=GRACE_MS, began_at=read_boot_ms())
    init = CallerSession.__init__

    def make(self, **fields):
        init(self, **(fields | {"drain": drain}))

    monkeypatch.setattr(CallerSession, "__init__", make)
    answer = await bed.open().ask(write("w"))
    assert bed.model.acknowledged == []
    assert answer.failure is FailureCode.OVERLOADED, answer


async def test_session_that_fails_to_close_keeps_the_host_from_its_exit():
    """The exit was decided after all closes only, so that the kill came first."""

    def fail():
        raise RuntimeError("one session's close failed")

    callers = SimpleNamespace(
        sessions={},
        opened_late=0,
        begin_stop=lambda: None,
        count_at_work=lambda: 0,
        close_idle=fail,
    )
    stop = HostShutdown(
        drain=shutdown.Drain(grace_ms=200),
        callers=callers,
        other_hosts=SimpleNamespace(sessions=(), leave=lambda: None),
        host_groups=SimpleNamespace(changers={}),
        host_watcher=SimpleNamespace(mark_leaving=lambda: None),
        journal=SimpleNamespace(record=lambda *args, **details: None),
    )
    asyncio.get_running_loop().call_soon(stop.begin)
    async with asyncio.timeout(0.4):
        await stop.ended.wait()
