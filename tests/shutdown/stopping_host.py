"""A host's callers, their listener and its stop, stepped through without sockets."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from types import SimpleNamespace

from aioprometheus import Registry
from apricotshore_platform import callers as platform_callers
from apricotshore_platform import listener as platform_listener

from apricotshore.identifiers import HostId
from apricotshore.intake import IntakeSettings, derive_limits
from apricotshore.pooling import (
    autocommit,
    caller_session,
    callers,
    client_intake,
    host_shutdown,
    key_checks,
    stopping,
    transactions,
)
from apricotshore.pooling.callers import Callers
from apricotshore.pooling.client_intake import ClientIntake
from apricotshore.pooling.host_shutdown import HostShutdown
from apricotshore.pooling.listeners import CallerHandler
from apricotshore.pooling.metrics import PoolingMetrics
from apricotshore.pooling.readiness import Readiness
from apricotshore.pooling.sessions import Context, Job, RefusedError, Session
from apricotshore.queries import Answer, FailureCode, QueryKind, TransactionState
from apricotshore.shutdown import BALANCER_DELAY_MS, Drain, find_last_answer
from tests.pooling.support import make_configuration, make_route

from .stepping import FakeListeningSocket, FakeSocket, SteppedLoop

GRACE_MS = 6_000
TIMEOUT_MS = 800
TICK_MS = 100
CLOSING_S = 0.25
_CLOCKED = (
    caller_session,
    callers,
    client_intake,
    host_shutdown,
    key_checks,
    stopping,
)


class FakeServer:
    """Server that answers when a test says so."""

    def __init__(self, drain: Drain) -> None:
        self.drain = drain
        self.running: list[asyncio.Future[None]] = []
        self.begun = 0
        self.begun_too_late: list[str] = []

    async def run(self, context, session, job) -> Answer:
        job.check()
        self.begun += 1
        if self.drain.exiting:
            self.begun_too_late.append(job.query.request)
        loop = asyncio.get_running_loop()
        answer = loop.create_future()
        self.running.append(answer)
        left_s = job.deadline_at / 1_000 - loop.time()
        try:
            async with asyncio.timeout(left_s):
                await answer
        except TimeoutError:
            raise RefusedError(FailureCode.UNKNOWN_OUTCOME, "no answer") from None
        finally:
            if answer in self.running:
                self.running.remove(answer)
        is_open = session.transaction is not None
        is_open = is_open and job.query.kind is not QueryKind.COMMIT
        state = TransactionState.OPEN if is_open else TransactionState.IDLE
        return Answer(receipt="m", state=state)


class StoppingHost:
    """The parts of a host that a stop concerns, with their real classes."""

    def __init__(
        self,
        loop: SteppedLoop,
        *,
        grace_ms: int = GRACE_MS,
        timeout_ms: int = TIMEOUT_MS,
        **limits: int,
    ) -> None:
        self.loop = loop
        self.drain = Drain(grace_ms=grace_ms)
        self.server = FakeServer(self.drain)
        self.is_gone = False
        self.exiting_at = 0
        route = replace(make_route(), timeout_ms=timeout_ms)
        self.configuration = replace(make_configuration(route), idle_transaction_ms=400)
        self.metrics = PoolingMetrics(registry=Registry())
        ignore = SimpleNamespace(record=lambda *args, **details: None)
        context = Context(
            host=HostId("h"),
            find_group=lambda name: self.server,
            configuration=lambda: self.configuration,
            journal=ignore,
            spawn=lambda work: loop.create_task(work) and None,
        )
        store = SimpleNamespace(configuration=self.configuration, servers_listed=True)
        self.readiness = Readiness(
            store_watcher=store, host_watcher=None, open_changes=None, groups={}
        )
        self.readiness.has_awaited_entry = True
        self.callers = Callers(
            context=context,
            readiness=self.readiness,
            drain=self.drain,
            metrics=self.metrics,
        )
        self.host_shutdown = HostShutdown(
            drain=self.drain,
            callers=self.callers,
            other_hosts=SimpleNamespace(sessions=(), leave=lambda: None),
            host_groups=SimpleNamespace(changers={}),
            host_watcher=SimpleNamespace(mark_leaving=lambda: None),
            journal=ignore,
        )
        self.intake = ClientIntake(
            limits=replace(derive_limits(IntakeSettings(), 1_024), **limits)
        )
        self.raw = FakeListeningSocket()
        loop.listeners.append(self.raw)
        self.sockets: list[FakeSocket] = []
        self.process = loop.create_task(self._run_process())
        while loop.has_ready:
            loop.turn()

    async def _run_process(self) -> None:
        """Do what the adapter's program does around a stop."""
        listener = await platform_callers.listen(
            "127.0.0.1:0",
            CallerHandler(admit=self.callers.admit, serve=self.callers.serve),
            self.intake,
        )
        await self.host_shutdown.ended.wait()
        await listener.stop(self.host_shutdown.read_left_s())
        self.callers.close()
        for _ in range(int(CLOSING_S * 100)):
            if self.callers.sessions:
                await asyncio.sleep(0.01)
        self.is_gone = True

    # -- what happens to it --

    def connect(self, sent: bytes) -> FakeSocket:
        raw = FakeSocket(unread=bytearray(sent))
        if self.raw.is_closed:
            raw.is_closed = True
        else:
            self.raw.backlog.append(raw)
            self.sockets.append(raw)
        return raw

    def open(self, key: str = "") -> FakeSocket:
        """Open a session, and let it come to rest."""
        raw = self.connect(f"STARTUP shop {key}\r\n".encode())
        while self.loop.has_ready:
            self.loop.turn()
        assert raw.answered == b"READY I -\r\n"
        return raw

    def ask(self, raw: FakeSocket, statement: bytes) -> None:
        """Have a statement answered, and let the session come to rest."""
        raw.unread += statement
        while self.loop.has_ready or self.server.running:
            self.answer()
            self.loop.turn()

    def answer(self) -> None:
        waiting = [answer for answer in self.server.running if not answer.done()]
        if waiting:
            waiting[0].set_result(None)

    def pass_time(self) -> None:
        """Let time pass to the next moment at which a stop goes on."""
        moment = self.find_next_moment()
        if moment is not None:
            self.loop.run_until(moment)

    def freeze(self) -> None:
        """Give the process no time until the next moment at which a stop goes on."""
        self.loop.now_ms = self.find_next_moment() or self.loop.now_ms

    def find_next_moment(self) -> int | None:
        began, grace_ms = self.drain.began_at, self.drain.grace_ms
        if began is None:
            return None
        moments = (
            began + BALANCER_DELAY_MS,
            began + grace_ms // 2,
            find_last_answer(self.drain) - 400,
            find_last_answer(self.drain),
            began + grace_ms * 9 // 10,
        )
        return next((m for m in sorted(moments) if m > self.loop.now_ms), None)

    def finish(self) -> None:
        """Stop, if that isn't done yet, and let time pass up to the kill."""
        self.host_shutdown.begin()
        end = self.drain.began_at + self.drain.grace_ms
        while not self.is_gone and self.loop.now_ms < end:
            self.loop.run_until(min(self.loop.now_ms + TICK_MS, end))
            self.host_shutdown.go_on()

    # -- what is asked of it --

    def list_faults(self, *, has_ended: bool = False) -> list[str]:
        """List what a stop must never do, and has done."""
        faults = [f"error: {error}" for error in self.loop.errors]
        faults += [f"begun too late: {name}" for name in self.server.begun_too_late]
        if self.metrics.count_cuts():
            faults.append("a statement counts as cut")
        if has_ended and not self.is_gone:
            faults.append("the process is killed")
        if has_ended and self.raw.backlog:
            faults.append("a connection in the backlog is reset")
        if has_ended and self._count_refused() + self.server.begun > self._count_read():
            faults.append("a statement that was begun is refused")
        for number, raw in enumerate(self.sockets):
            faults += self._list_faults_of(number, raw, has_ended=has_ended)
        return faults

    def _count_refused(self) -> int:
        """Count the answers that promise that nothing was run.

        What is told to a part of a line answers no statement.
        """
        answers = b"".join(bytes(raw.answered) for raw in self.sockets)
        refused = answers.count(b"ERROR BUSY") + answers.count(b"ERROR UNAUTH")
        return refused - answers.count(b"ERROR BUSY receiving for too long")

    def _count_read(self) -> int:
        """Count the statements that were read, and the starts that were refused."""
        lines = sum(raw.read.count(b"\r\n") for raw in self.sockets)
        return lines - sum(raw.answered.startswith(b"READY") for raw in self.sockets)

    def _list_faults_of(
        self, number: int, raw: FakeSocket, *, has_ended: bool
    ) -> list[str]:
        if not (raw.is_closed or has_ended):
            return []
        received = raw.read.count(b"\r\n")
        answers = raw.answered.count(b"READY ") + raw.answered.startswith(b"ERROR")
        if raw.answered.startswith(b"ERROR"):
            received = min(received, 1)
        if answers == received:
            return []
        return [f"caller {number}: {received} lines read, {answers} answered"]


async def _run_at_fake_server(context: Context, session: Session, job: Job) -> Answer:
    return await context.find_group(job.route.group).run(context, session, job)


@contextmanager
def stepping(monkeypatch) -> Iterator[SteppedLoop]:
    """Yield a stepped loop, in which the classes of a stop run."""
    loop = SteppedLoop()
    for module in _CLOCKED:
        monkeypatch.setattr(module, "read_boot_ms", lambda: loop.now_ms)
    for module, name in (
        (autocommit, "run_autocommit"),
        (transactions, "run_in_transaction"),
    ):
        monkeypatch.setattr(module, name, _run_at_fake_server)
    constants = ("SOL_SOCKET", "SO_REUSEADDR", "SO_RCVBUF", "SO_SNDBUF")
    fake = SimpleNamespace(**dict.fromkeys((*constants, "AF_INET", "AF_INET6"), 0))
    fake.socket = lambda family: loop.listeners[-1]
    monkeypatch.setattr(platform_listener, "socket", fake)
    monkeypatch.setattr(platform_callers, "tune_socket", lambda writer: None)
    asyncio._set_running_loop(loop)
    try:
        yield loop
    finally:
        loop.cancel_all()
        asyncio._set_running_loop(None)
        loop.close()
