"""Promotions that are ordered although a host can still get an answer of a primary."""

import asyncio

import pytest

from apricotshore.decisions import commit_barrier, primary_change
from apricotshore.decisions.change_actions import Promote
from apricotshore.decisions.change_attempt import Attempt, BarrierReport
from apricotshore.decisions.change_members import Member, MemberStatus, read_status
from apricotshore.decisions.relays import Fleet, ListedHost
from apricotshore.groups import LogPosition, Role
from apricotshore.identifiers import (
    DataCentreId,
    FencingToken,
    HostId,
    Position,
    ServerId,
    Term,
)
from apricotshore.pooling.change_steps import ChangeSteps
from apricotshore.pooling.ports import QuiesceReply, QuiesceRequest
from apricotshore.pooling.relay_dialer import RelayedConnection
from apricotshore.pooling.server_gate import ServerGate
from apricotshore.pooling.write_barrier import WriteBarrier
from apricotshore.queries import ServerReport
from apricotshore.services.clock import read_boot_ms
from standins.in_memory import StopsReceiving

from . import support
from .support import ModelHost, wait_until, write
from .test_commits_by_the_clock import (
    CUT_S,
    S1,
    S2,
    S3,
    SETTLE_S,
    Scene,
    playing,
)
from .test_server_gate import HOLD_MS, SlowLink, make_host, quiesce
from .test_write_barrier import Peers, make_barrier

NOW = 100_000
TERM = Term(1)
MEMBERS = tuple(Member(server=s) for s in (S1, S2, S3))
FROZEN_S = 20
# Time within which writes go on once a primary leads.
WRITES_S = 1.5


def status(position: int = 5, paused: int = 0) -> MemberStatus:
    return MemberStatus(
        log_position=LogPosition(term=TERM, position=Position(position)),
        term=TERM,
        paused_term=Term(paused),
        is_primary=False,
    )


def make_attempt(replaced: ServerId | None) -> Attempt:
    """Return a change whose target is known and whose other replica is paused."""
    attempt = Attempt(from_term=TERM, started_at=NOW - 1_000, replaced=replaced)
    attempt.statuses = {S2: status(), S3: status(paused=2)}
    attempt.pause_term = Term(2)
    for server in attempt.statuses:
        attempt.answered_at[server] = attempt.asked_at[server] = NOW
        attempt.ends[server] = (1, 5)
        attempt.heard.add(server)
    attempt.target = attempt.recorded = S2
    attempt.listed = attempt.asked_others = attempt.is_silent = True
    attempt.unanswered_since = NOW - 1_000
    return attempt


@pytest.mark.parametrize(
    "barrier",
    [
        BarrierReport(at=NOW, hosts=frozenset({HostId("a")}), missing=(HostId("b"),)),
        BarrierReport(at=NOW, hosts=frozenset({HostId("a")}), closed=2),
        BarrierReport(at=NOW, hosts=frozenset({HostId("a")}), is_listed=False),
    ],
    ids=["host-missing", "connections-closed", "hosts-unknown"],
)
def test_silent_primary_is_not_replaced_at_once_without_confirmations(barrier):
    """Only the path of a primary that answers waits for the proof."""
    attempt = make_attempt(S1)
    attempt.barrier = barrier
    assert commit_barrier.find_proof(attempt) is commit_barrier.BarrierProof.TIME
    step = primary_change.plan_step(attempt, MEMBERS, None, NOW)
    assert not isinstance(step, Promote)


class FrozenDialer:
    """Dialer that reaches nobody."""

    async def dial(self, server, timeout_s: float, organisation=None):
        await asyncio.sleep(FROZEN_S)


def cut_off(scene: Scene, name: str) -> None:
    """Cut a host off from the other hosts, not from the servers."""

    async def hang(request: QuiesceRequest) -> QuiesceReply:
        await asyncio.sleep(FROZEN_S)
        return QuiesceReply()

    scene.platform.quiesce_handlers[name] = hang
    for host in scene.hosts:
        host.changer.detours.direct = FrozenDialer()


async def test_host_cut_off_from_the_others_gets_no_late_acknowledgement():
    """It reaches the primary, which is silent to the holder."""
    scene = Scene.make(3)
    scene.model.stops_receiving = StopsReceiving.ACCEPTANCE
    cut_off(scene, "host-2")

    async with playing(scene):
        await asyncio.sleep(CUT_S)
        scene.primary.unreachable_by = {"host-0", "host-1"}
        await wait_until(lambda: scene.model.promotions)
        await asyncio.sleep(SETTLE_S)
        assert scene.model.lost == [], scene.describe()


async def test_commit_that_the_former_primary_says_it_runs_is_not_lost(monkeypatch):
    """A frozen host confirms nothing; its kernel goes on to hold its connections."""
    # A frozen process gives no statement up.
    monkeypatch.setattr(support, "COMMIT_TIMEOUT_MS", FROZEN_S * 1_000)
    scene = Scene.make(3)
    cut_off(scene, "host-2")
    async with playing(scene):
        scene.cut_replicas(True)
        await asyncio.sleep(CUT_S)
        scene.when(lambda: scene.model.promotions, lambda: scene.cut_replicas(False))
        scene.leave()
        await scene.end_change()


def test_change_without_a_known_former_primary_asks_hosts():
    """The next holder knows no primary once the one that stepped down denies."""
    attempt = make_attempt(None)
    attempt.statuses[S1] = status(paused=2)
    attempt.answered_at[S1] = attempt.asked_at[S1] = NOW
    attempt.ends[S1] = (1, 5)
    step = primary_change.plan_step(attempt, MEMBERS, None, NOW)
    assert S1 in getattr(step, "servers", ()), step


@pytest.mark.parametrize("run_s", [1.5, 1.6, 1.7])
async def test_takeover_of_a_change_ends_statements_at_the_former_primary(run_s):
    """A holder told the primary to step down, and ended before hosts were asked."""
    scene = Scene.make(3)
    scene.model.stops_receiving = StopsReceiving.ACCEPTANCE
    async with playing(scene, statements=2):
        scene.model.run_s = run_s
        await asyncio.sleep(CUT_S)
        scene.primary.is_primary, scene.primary.term = False, 2
        await scene.end_change()


def make_steps(barrier: WriteBarrier, host: ModelHost, attempt: Attempt) -> ChangeSteps:
    return ChangeSteps(
        group=host.group,
        host=host.name,
        lease=host.changer.lease,
        promoter=host.platform,
        commands=host.changer.commands,
        refresh_servers=host.changer.refresh_servers,
        detours=host.changer.detours,
        barrier=barrier,
        attempt=attempt,
        token=1,
    )


def test_former_primary_that_may_run_statements_is_asked_again():
    """A host that isn't listed has sent them; a STATUS names 3, one of them itself."""
    attempt = make_attempt(S1)
    report = ServerReport(
        role=Role.REPLICA,
        term=Term(2),
        received=status().log_position,
        paused_term=Term(0),
        busy=3,
    )
    attempt.statuses[S1] = read_status(report)
    attempt.asked_at[S1] = NOW
    attempt.barrier = BarrierReport(at=NOW, hosts=frozenset({HostId("a")}))
    assert commit_barrier.find_proof(attempt) is commit_barrier.BarrierProof.TIME


async def test_connections_closed_in_an_earlier_round_are_not_forgotten():
    """The first round is repeated where the primary is full, or no replica is near."""
    peers = Peers(b=QuiesceReply(closed=2), c=QuiesceReply())
    barrier, host = make_barrier(peers)
    attempt = make_attempt(S1)
    steps = make_steps(barrier, host, attempt)
    await steps._quiesce(S1)
    peers.replies["b"] = QuiesceReply()
    await steps._quiesce(S1)
    attempt.barrier = await barrier.seal(
        (S1,), TERM, FencingToken(1), commit_barrier.SEAL_MS
    )
    assert not commit_barrier.is_confirmed(attempt)


async def test_hosts_send_nothing_while_a_silent_primary_may_be_replaced():
    """The order has no answer: it may be carried out seconds later."""
    peers = Peers(b=QuiesceReply(), c=QuiesceReply())
    barrier, host = make_barrier(peers)
    attempt = make_attempt(S1)
    await host.group.quiesce(quiesce(hold_ms=commit_barrier.SEAL_MS))
    attempt.barrier = BarrierReport(at=read_boot_ms())
    attempt.requested = S2
    steps = make_steps(barrier, host, attempt)
    await steps.reopen()
    assert host.group.is_quiesced(S1)
    assert peers.asked == []


async def test_former_primary_that_another_holder_promotes_gets_writes():
    """The first holder sealed it and ended; the next knows no former primary."""
    scene = Scene.make(2)
    async with playing(scene):
        scene.cut_replicas(True)
        scene.primary.is_primary, scene.primary.term = False, 2
        for host in scene.hosts:
            await host.group.quiesce(quiesce(hold_ms=commit_barrier.SEAL_MS))
        # It alone has the last entries.
        scene.primary.log.append((1, len(scene.primary.log) + 1, "stored"))
        await wait_until(lambda: scene.model.promotions)
        assert scene.model.promotions[0][0] == S1
        scene.cut_replicas(False)
        await wait_until(scene.has_ended)
        told = len(scene.commits.told)
        await asyncio.sleep(WRITES_S)
        shut = [h.name for h in scene.hosts if h.group.is_quiesced(S1)]
        assert len(scene.commits.told) > told, f"S1 leads, its gate is shut at {shut}"


async def test_late_reopening_of_an_earlier_change_leaves_the_gate_shut():
    gate = ServerGate(server=S1)
    await gate.quiesce(Term(2), FencingToken(2), HOLD_MS)
    await gate.quiesce(Term(1), FencingToken(1), 0)
    assert gate.is_shut


async def test_host_that_leaves_its_gate_open_confirms_nothing():
    """The holder has read a low term: it has just started, and S1 claims to lead."""
    host = make_host()
    host.group.observe_primary(S2, Term(1), read_boot_ms(), Term(1))
    await host.group.quiesce(quiesce(term=0))
    # That was a confirmation. The host then learns what the holder knew.
    host.group.observe_primary(S1, Term(2), read_boot_ms(), Term(2))
    assert host.group.is_quiesced(S1)


class SlowPeers(Peers):
    """Other hosts whose statements take a time to end."""

    async def quiesce(self, host, request, timeout_s):
        await asyncio.sleep(0.4)
        return await super().quiesce(host, request, timeout_s)


async def test_hold_lasts_as_long_as_the_holder_relies_on_it():
    """A hold begins at each host; the holder counts from the last confirmation."""
    barrier, host = make_barrier(SlowPeers(b=QuiesceReply(), c=QuiesceReply()))
    await check_hold(barrier, host)


async def test_hold_lasts_as_long_as_that_where_the_list_of_hosts_comes_late():
    """A round of a small fleet ends when the list was read, whatever that takes."""

    async def refresh() -> None:
        await asyncio.sleep(commit_barrier.LONGEST_ROUND_MS / 1000 + 0.2)

    peers = Peers(b=QuiesceReply(), c=QuiesceReply())
    barrier, host = make_barrier(peers, refresh=refresh)
    await check_hold(barrier, host)


async def check_hold(barrier: WriteBarrier, host: ModelHost) -> None:
    """Check that a host's hold lasts as long as a confirmation may rely on it."""
    report = await barrier.quiesce(S1, TERM, FencingToken(1), commit_barrier.QUIESCE_MS)
    attempt = make_attempt(S1)
    attempt.quiesced = report
    hosts = report.hosts
    # The latest confirmation that is taken for one within the hold.
    latest = report.at
    for at in range(report.at, report.at + commit_barrier.QUIESCE_MS):
        attempt.barrier = BarrierReport(at=at, hosts=hosts)
        if commit_barrier._is_end_known(attempt, at):
            latest = at
    assert latest > report.at
    assert host.group.gates[S1].shut_until >= latest


async def test_connection_that_this_host_closes_shows_no_failed_relay():
    fleet = Fleet(local_host=HostId("a"))
    relay = ListedHost(
        host=HostId("b"), data_centre=DataCentreId("a"), address="10.0.0.2:1"
    )
    link = RelayedConnection(link=SlowLink(1.5), relay=relay, fleet=fleet)
    gate = ServerGate(server=S1)
    number = gate.enter(link, [write()])
    task = asyncio.create_task(link.run([write()], None, 2.0))
    task.add_done_callback(lambda _: gate.leave(number))
    await asyncio.sleep(0)
    assert (await gate.quiesce(TERM, FencingToken(1), HOLD_MS)).closed == 1
    await asyncio.gather(task, return_exceptions=True)
    assert fleet.backoffs == {}
