"""Stops of `run`: promises, and time that its steps take, found in a review."""

import asyncio
from contextlib import suppress
from types import SimpleNamespace

from mysql_mimic.errors import MysqlError

from apricotshore.identifiers import DatabaseId, HostId
from apricotshore.requests import Action, Outcome, Reply
from apricotshore.services.callersession import CallerSession, OpenTransaction
from apricotshore.services.clock import read_boot_ms
from apricotshore.services.router import RoutedOutcome, Router, Target
from apricotshore.services.stopping import HostStop
from apricotshore.shutdown import Drain, Work
from apricotshore.shutdown.phases import END_SHARE
from apricotshore.verdicts import Failure, Reason, Verdict

TARGET = Target(host=HostId("h"), address="127.0.0.1:1")


class Context:
    """Front end of a host that has just become a lame duck."""

    def __init__(self):
        self.routed = []
        self.router = self
        contract = SimpleNamespace(databases=[DatabaseId("shop")])
        kind = SimpleNamespace(kind="k", deadline_ms=800)
        self.bundle = SimpleNamespace(
            callers={"u": contract}, find_kind=lambda name: kind
        )
        drain = Drain(grace_ms=6_000, began_at=read_boot_ms() - 2_700)
        self.stop = SimpleNamespace(drain=drain)

    def get_bundle(self):
        return self.bundle

    def may_begin(self, work: Work, timeout_ms: int) -> bool:
        return HostStop.may_begin(self.stop, work, timeout_ms)

    def limit_timeout(self, timeout_ms: int) -> int:
        return HostStop.limit_timeout(self.stop, timeout_ms)

    def on_served(self, request, failure, took_s):
        return

    def roll_back(self, request, open_transaction):
        self.routed.append(Action.ROLLBACK)

    async def route(self, request, pinned):
        self.routed.append(request.action)
        reply = Reply(server="s1", transaction=request.transaction)
        return RoutedOutcome(outcome=Outcome(reply=reply), target=TARGET)


async def test_begin_that_commits_first_is_not_told_as_not_run():
    """Its implicit commit ran, and the answer promised that nothing was kept."""
    context = Context()
    writer = SimpleNamespace(finished=False)
    session = CallerSession(context=context, writer=writer)
    session.username = "u"
    session.open_transaction = OpenTransaction(
        transaction="t", target=TARGET, request_id=""
    )
    error = None
    try:
        await session.handle_query("BEGIN", {})
    except MysqlError as raised:
        error = raised
    promised = error is not None and "not-run" in str(error.msg)
    assert not (promised and Action.COMMIT in context.routed), (
        context.routed,
        error and error.msg,
    )


async def test_release_that_waits_for_a_server_delays_the_end_beyond_the_grace():
    """Claims were released one by one between two looks at the clock."""
    released = []

    async def release_idle():
        # A primary that takes connections and answers nothing, for two databases.
        for _ in range(2):
            await asyncio.sleep(0.7)
        released.append(1)

    drain = Drain(grace_ms=1_000)
    stop = HostStop(
        drain=drain,
        frontend=SimpleNamespace(
            sessions=[],
            list_at_work=list,
            stop_accepting=lambda: None,
            abort_transactions=lambda: None,
            close_idle=lambda at_once: 0,
            count_open=lambda: 1,
            has_unsent=lambda: False,
        ),
        registry=SimpleNamespace(
            owners={},
            release_idle=release_idle,
            abort_transactions=lambda: None,
            count_busy=lambda: 0,
        ),
        peer_requests=SimpleNamespace(open_count=0, is_quiet=lambda ms: True),
        members=SimpleNamespace(set_state=lambda state: None),
        metrics=SimpleNamespace(cuts=SimpleNamespace(inc=lambda labels: None)),
        record=lambda subject, step, detail: None,
    )
    began = read_boot_ms()
    await stop.run()
    assert read_boot_ms() - began <= 1_000, read_boot_ms() - began


async def test_commit_whose_outcome_is_asked_for_outlasts_the_last_answer():
    """The question has its own 4 s, so that the exit cuts the commit's answer."""

    async def serve(request, origin):
        await asyncio.sleep(request.deadline_ms / 1_000)
        failure = Failure(
            verdict=Verdict.MAY_HAVE_RUN, reason=Reason.DEADLINE, detail="no answer"
        )
        return Outcome(failure=failure)

    context = Context()
    context.stop.drain = Drain(grace_ms=1_000, began_at=read_boot_ms())
    context.router = Router(
        local_host=TARGET.host,
        members=None,
        links=None,
        serve_locally=serve,
        offer_locally=lambda database: None,
    )
    context.router.hints[DatabaseId("shop")] = TARGET
    session = CallerSession(context=context, writer=SimpleNamespace(finished=False))
    session.username = "u"
    session.open_transaction = OpenTransaction(
        transaction="t", target=TARGET, request_id="r1"
    )
    began = read_boot_ms()
    with suppress(MysqlError):
        await session.handle_query("COMMIT", {})
    took_ms = read_boot_ms() - began
    assert took_ms <= 1_000 * END_SHARE, took_ms
