"""Rounds of confirmations of thousands of hosts, through forwarders."""

import asyncio

import pytest

from apricotshore.decisions import commit_barrier
from apricotshore.decisions.relays import ListedHost, observe_failure
from apricotshore.decisions.rounds import DIRECT_HOSTS, plan_shares
from apricotshore.identifiers import DataCentreId, FencingToken, HostId, ServerId, Term
from apricotshore.pooling import write_barrier
from apricotshore.pooling.fleet_asker import ABSENT_WAIT_MS, ASKED_AT_ONCE
from apricotshore.pooling.ports import QuiesceReply
from apricotshore.pooling.server_gate import CLOSE_WAIT_S, END_WAIT_S
from standins.in_memory import GROUP

from .fleet_model import OWN, FleetModel, HostState
from .virtual_time import run_in_virtual_time

S1 = ServerId("s1")
TERM = Term(1)
TOKEN = FencingToken(5)
HOLD_MS = commit_barrier.QUIESCE_MS
TARGET = 7_400
# A fleet with forwarders that takes less time to test.
COUNT = 400
ROUND_S = commit_barrier.LONGEST_ROUND_MS / 1000
MOST_SENT = 300


def list_others(model: FleetModel) -> list[ListedHost]:
    return [h for h in model.fleet.hosts.values() if h.host != OWN]


def find_share(model: FleetModel):
    return plan_shares(list_others(model), (), GROUP)[0]


async def ask(barrier):
    """Return the report of a round and how long it took, in seconds."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    report = await barrier.quiesce(S1, TERM, TOKEN, HOLD_MS)
    return report, loop.time() - began


def test_all_hosts_of_the_target_fleet_confirm_in_time(monkeypatch):
    model = FleetModel(count=TARGET)

    async def run() -> None:
        report, took_s = await ask(model.make_barrier())
        assert report.is_complete
        assert report.hosts == model.fleet.hosts.keys()
        assert took_s < ROUND_S / 2

    run_in_virtual_time(monkeypatch, run())
    asked = {host: len(requests) for host, requests in model.received.items()}
    assert asked == {host.host: 1 for host in list_others(model)}
    assert max(model.sent.values()) <= MOST_SENT


def test_hosts_that_wait_for_their_statements_are_asked_once(monkeypatch):
    """All do for a primary that answers nothing: asking them again takes seconds."""
    model = FleetModel(count=TARGET)
    model.end_s = END_WAIT_S + CLOSE_WAIT_S

    async def run() -> None:
        report, took_s = await ask(model.make_barrier())
        assert not report.missing
        assert took_s < ROUND_S

    run_in_virtual_time(monkeypatch, run())
    assert {len(requests) for requests in model.received.values()} == {1}


def test_direct_round_of_the_target_fleet_is_not_in_time(monkeypatch):
    """What a round through forwarders is for: the model shows the fault."""
    monkeypatch.setattr(write_barrier, "DIRECT_HOSTS", TARGET)
    model = FleetModel(count=TARGET)

    async def run() -> None:
        report, _ = await ask(model.make_barrier())
        assert len(report.missing) > TARGET / 2

    run_in_virtual_time(monkeypatch, run())


@pytest.mark.parametrize("count", [2, DIRECT_HOSTS + 1])
def test_hosts_of_a_small_fleet_are_asked_directly(monkeypatch, count):
    model = FleetModel(count=count)

    async def run() -> None:
        report, _ = await ask(model.make_barrier())
        assert report.is_complete

    run_in_virtual_time(monkeypatch, run())
    assert model.sent == {OWN: count - 1}
    requests = [r for requests in model.received.values() for r in requests]
    assert not any(r.share or r.repeated for r in requests)


def test_forwarded_request_keeps_token_term_and_hold(monkeypatch):
    model = FleetModel(count=COUNT)
    run_in_virtual_time(monkeypatch, ask(model.make_barrier()))
    kept = {
        (r.group, r.server, r.term, r.token, r.hold_ms)
        for requests in model.received.values()
        for r in requests
    }
    assert kept == {(GROUP, S1, TERM, TOKEN, HOLD_MS)}


@pytest.mark.parametrize("state", [HostState.DEAD, HostState.GONE])
def test_share_of_a_forwarder_that_is_gone_is_asked_directly(monkeypatch, state):
    model = FleetModel(count=TARGET)
    share = find_share(model)
    model.states[share.forwarder.host] = state

    async def run() -> None:
        report, took_s = await ask(model.make_barrier())
        missing = () if state is HostState.DEAD else (share.forwarder.host,)
        assert report.missing == missing
        assert took_s < ROUND_S

    run_in_virtual_time(monkeypatch, run())
    for host in share.hosts:
        (request,) = model.received[host.host]
        # A host that refused a connection has asked nobody.
        assert request.repeated == (state is HostState.GONE)
    assert max(model.sent.values()) <= MOST_SENT


def test_frozen_forwarder_costs_a_bounded_time(monkeypatch):
    model = FleetModel(count=TARGET)
    share = find_share(model)
    model.states[share.forwarder.host] = HostState.FROZEN

    async def run() -> None:
        report, took_s = await ask(model.make_barrier())
        assert report.missing == (share.forwarder.host,)
        assert took_s <= ROUND_S + 0.01

    run_in_virtual_time(monkeypatch, run())
    # It may have asked them before it froze.
    assert all(model.received[host.host][-1].repeated for host in share.hosts)


def test_host_that_was_frozen_delays_no_later_round(monkeypatch):
    model = FleetModel(count=COUNT)
    share = find_share(model)
    frozen = {share.forwarder.host, share.hosts[0].host}
    for host in frozen:
        model.states[host] = HostState.FROZEN

    async def run() -> None:
        barrier = model.make_barrier()
        await ask(barrier)
        report, took_s = await ask(barrier)
        assert set(report.missing) == frozen
        assert took_s < ABSENT_WAIT_MS / 1000 + 0.05

    run_in_virtual_time(monkeypatch, run())


@pytest.mark.parametrize("state", [HostState.GONE, HostState.FROZEN])
def test_host_missing_at_its_forwarder_is_missing(monkeypatch, state):
    model = FleetModel(count=TARGET)
    host = find_share(model).hosts[3].host
    model.states[host] = state

    async def run() -> None:
        report, took_s = await ask(model.make_barrier())
        assert report.missing == (host,)
        assert len(report.hosts) == TARGET - 1
        assert took_s <= ROUND_S + 0.01

    run_in_virtual_time(monkeypatch, run())


def test_host_that_only_its_forwarder_does_not_reach_is_asked_directly(monkeypatch):
    model = FleetModel(count=COUNT)
    share = find_share(model)
    model.cuts.add((share.forwarder.host, share.hosts[0].host))

    async def run() -> None:
        report, _ = await ask(model.make_barrier())
        assert report.is_complete

    run_in_virtual_time(monkeypatch, run())
    (request,) = model.received[share.hosts[0].host]
    assert request.repeated


def test_hosts_without_a_confirmation_are_recorded_with_the_reason(monkeypatch):
    model = FleetModel(count=COUNT)
    host = find_share(model).hosts[3].host
    model.states[host] = HostState.GONE
    recorded = []

    def record(group, phase, **details) -> None:
        recorded.append((phase, details.get("host"), details.get("why")))

    monkeypatch.setattr(write_barrier, "record_phase", record)
    run_in_virtual_time(monkeypatch, ask(model.make_barrier()))
    assert ("unconfirmed-host", host, "cannot connect") in recorded


def test_host_that_stopped_is_confirmed_by_its_forwarder(monkeypatch):
    model = FleetModel(count=COUNT)
    model.states[find_share(model).hosts[0].host] = HostState.DEAD

    async def run() -> None:
        report, _ = await ask(model.make_barrier())
        assert report.is_complete

    run_in_virtual_time(monkeypatch, run())


def test_late_answer_of_a_forwarder_leaves_its_share_missing(monkeypatch):
    """The holder reaches none of the share itself."""
    model = FleetModel(count=COUNT)
    share = find_share(model)
    model.states[share.forwarder.host] = HostState.LATE
    model.cuts |= {(OWN, host.host) for host in share.hosts}

    async def run() -> None:
        report, took_s = await ask(model.make_barrier())
        hosts = (share.forwarder, *share.hosts)
        assert set(report.missing) == {host.host for host in hosts}
        assert took_s <= ROUND_S + 0.01

    run_in_virtual_time(monkeypatch, run())
    assert all(model.received[host.host] for host in share.hosts)


class StalledWire:
    """Client of a process that stands still before it reads the replies."""

    async def quiesce(self, host, request, timeout_s):
        loop = asyncio.get_running_loop()
        loop.now += ROUND_S + 0.1
        return QuiesceReply(forwarded=len(request.share))


def test_replies_that_a_stalled_holder_reads_late_are_none(monkeypatch):
    model = FleetModel(count=COUNT)

    async def run() -> None:
        barrier = model.make_barrier()
        barrier.asker.peers = StalledWire()
        report, _ = await ask(barrier)
        assert report.hosts == {OWN}

    run_in_virtual_time(monkeypatch, run())


@pytest.mark.parametrize("state", [HostState.OLD, HostState.CARELESS])
def test_forwarder_that_does_not_ask_its_share_confirms_none_of_it(monkeypatch, state):
    """A build of before shares refuses the line; another could overlook them."""
    model = FleetModel(count=COUNT)
    share = find_share(model)
    model.states[share.forwarder.host] = state

    async def run() -> None:
        report, _ = await ask(model.make_barrier())
        assert report.hosts >= {host.host for host in share.hosts}

    run_in_virtual_time(monkeypatch, run())
    assert all(len(model.received[host.host]) == 1 for host in share.hosts)


def test_connections_closed_anywhere_in_a_share_are_reported(monkeypatch):
    model = FleetModel(count=COUNT)
    share = find_share(model)
    model.closes = {share.forwarder.host: 1, share.hosts[0].host: 2}

    async def run() -> None:
        report, _ = await ask(model.make_barrier())
        assert report.closed == 3
        assert not report.is_complete

    run_in_virtual_time(monkeypatch, run())


def test_host_that_backed_off_forwards_nothing(monkeypatch):
    model = FleetModel(count=COUNT)
    failed = find_share(model).forwarder.host

    async def run() -> None:
        barrier = model.make_barrier()
        observe_failure(model.fleet, failed, write_barrier.read_boot_ms())
        report, _ = await ask(barrier)
        assert report.is_complete

    run_in_virtual_time(monkeypatch, run())
    assert failed not in model.sent


def test_many_direct_questions_are_asked_a_limited_number_at_once(monkeypatch):
    """All forwarders are dead."""
    model = FleetModel(count=2_000)
    for share in plan_shares(list_others(model), (), GROUP):
        model.states[share.forwarder.host] = HostState.DEAD
    run_in_virtual_time(monkeypatch, ask(model.make_barrier()))
    assert model.most_open[OWN] <= ASKED_AT_ONCE


def test_lost_data_centre_costs_a_bounded_time(monkeypatch):
    model = FleetModel(count=TARGET)
    lost = {h.host for h in list_others(model) if h.data_centre == "b"}
    model.states = dict.fromkeys(lost, HostState.GONE)

    async def run() -> None:
        barrier = model.make_barrier()
        for _ in range(2):
            report, took_s = await ask(barrier)
            assert set(report.missing) == lost
            assert took_s <= ROUND_S + 0.01

    run_in_virtual_time(monkeypatch, run())
    assert model.most_open[OWN] <= ASKED_AT_ONCE


def test_all_hosts_send_again_to_a_primary_that_was_not_replaced(monkeypatch):
    model = FleetModel(count=TARGET)

    async def run() -> None:
        barrier = model.make_barrier()
        await barrier.reopen(S1, TERM, TOKEN)

    run_in_virtual_time(monkeypatch, run())
    asked = {h: [r.hold_ms for r in model.received[h]] for h in model.received}
    assert asked == {host.host: [0] for host in list_others(model)}
    assert max(model.sent.values()) <= MOST_SENT


@pytest.mark.parametrize("state", [HostState.DEAD, HostState.FROZEN])
def test_share_of_a_lost_forwarder_sends_again(monkeypatch, state):
    model = FleetModel(count=COUNT)
    share = find_share(model)
    model.states[share.forwarder.host] = state

    async def run() -> None:
        await model.make_barrier().reopen(S1, TERM, TOKEN)

    run_in_virtual_time(monkeypatch, run())
    assert all(model.received[host.host] for host in share.hosts)


def add_host(model: FleetModel) -> HostId:
    started = ListedHost(
        host=HostId("new"), data_centre=DataCentreId("a"), address="10.9.0.1:1"
    )
    model.fleet.hosts[started.host] = started
    return started.host


def test_host_that_started_meanwhile_is_asked_directly(monkeypatch):
    model = FleetModel(count=COUNT)

    async def refresh() -> None:
        await asyncio.sleep(0.3)
        add_host(model)

    async def run() -> None:
        report, _ = await ask(model.make_barrier(refresh))
        assert report.is_complete
        assert "new" in report.hosts

    run_in_virtual_time(monkeypatch, run())


def test_list_that_is_read_late_makes_no_round_longer(monkeypatch):
    """Holds count from the report's time: all confirmations came before."""
    model = FleetModel(count=COUNT)

    async def refresh() -> None:
        await asyncio.sleep(0.75)

    async def run() -> None:
        began = write_barrier.read_boot_ms()
        report, _ = await ask(model.make_barrier(refresh))
        assert report.is_complete
        assert report.at - began <= commit_barrier.LONGEST_ROUND_MS

    run_in_virtual_time(monkeypatch, run())


def test_host_that_is_listed_after_the_round_is_missing(monkeypatch):
    """Nothing may count on the time of such a round: this host isn't in it."""
    model = FleetModel(count=COUNT)

    async def refresh() -> None:
        await asyncio.sleep(0.75)
        add_host(model)

    async def run() -> None:
        report, took_s = await ask(model.make_barrier(refresh))
        assert set(report.missing) == {OWN, "new"}
        assert report.at - 1_000 >= took_s * 1000 - 1

    run_in_virtual_time(monkeypatch, run())
