"""Hosts whose stop meets another signal or change lose no statement."""

import asyncio
import re
import signal

import pytest

from tests.soak.model import now
from tests.soak.shortpromotions import read_metrics

from .callers import Kind
from .harness import BEFORE_S, GRACE_S, Fleet, HostProcess, running_fleet

CALLERS = 12
WORK_S = 0.05
# What a process that has not come to its first line ends with, or one that stopped.
START_CODES = (0, -signal.SIGTERM)
CHANGE_S = 10.0
LINKED_S = 15.0
LINKS = re.compile(r"^apricotshore_host_links(?:\{.*\})? (\S+)$", re.MULTILINE)


async def freeze(host: HostProcess, after_s: float, for_s: float) -> None:
    """Have a process stand still some time after its SIGTERM."""
    await asyncio.sleep(after_s)
    host.send(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    host.send(signal.SIGCONT)


async def find_relay(fleet: Fleet) -> HostProcess | None:
    """Return a host through which others reach servers, None without one."""
    for host in fleet.hosts:
        page = await read_metrics(host.ports["metrics"]) or ""
        if any(float(count) for count in LINKS.findall(page)):
            return host
    return None


async def change_primary(fleet: Fleet) -> None:
    """Have the primary leave, and wait until another server leads."""
    leader = fleet.group.leader
    leader.leaving = True
    async with asyncio.timeout(CHANGE_S):
        while fleet.group.leader is leader:
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("after_s", [0.05, 2.5])
async def test_second_sigterm_cuts_none(tmp_path, after_s):
    """A second signal ended the process, or began the stop anew."""
    async with running_fleet(tmp_path, work_s=WORK_S) as fleet:
        (host,) = fleet.hosts
        fleet.gather(host, CALLERS, Kind.STATEMENTS)
        await asyncio.sleep(BEFORE_S)
        host.send(signal.SIGTERM)
        await asyncio.sleep(after_s)
        host.send(signal.SIGTERM)
        await fleet.check_stop(host)
        await fleet.check()


async def test_sighup_just_before_the_sigterm_cuts_none(tmp_path):
    """Settings with a shorter grace were put in force as the stop began."""
    async with running_fleet(tmp_path, work_s=WORK_S) as fleet:
        (host,) = fleet.hosts
        fleet.gather(host, CALLERS, Kind.STATEMENTS)
        await asyncio.sleep(BEFORE_S)
        host.write_settings(GRACE_S - 1)
        host.send(signal.SIGHUP)
        host.send(signal.SIGTERM)
        await fleet.check_stop(host)
        await fleet.check()


@pytest.mark.parametrize("grace_s", [4, 9])
async def test_sighup_just_after_the_sigterm_moves_no_end(tmp_path, grace_s):
    """A grace read amid a stop moved its end, at worst beyond the kill."""
    async with running_fleet(tmp_path, work_s=WORK_S) as fleet:
        (host,) = fleet.hosts
        fleet.gather(host, CALLERS, Kind.STATEMENTS)
        await asyncio.sleep(BEFORE_S)
        host.send(signal.SIGTERM)
        host.write_settings(grace_s)
        host.send(signal.SIGHUP)
        await fleet.check_stop(host)
        await fleet.check()


async def test_signals_in_series_throughout_a_stop_cut_none(tmp_path):
    """Each of them moved the end, or closed sessions anew."""
    async with running_fleet(tmp_path, work_s=WORK_S) as fleet:
        (host,) = fleet.hosts
        fleet.gather(host, CALLERS, Kind.STATEMENTS)
        await asyncio.sleep(BEFORE_S)
        host.send(signal.SIGTERM)
        grace_s = GRACE_S
        while host.is_running and now() - host.signal_at < GRACE_S - 1:
            grace_s = 13 - grace_s
            host.write_settings(grace_s)
            host.send(signal.SIGHUP)
            await asyncio.sleep(0.1)
            host.send(signal.SIGTERM)
            await asyncio.sleep(0.1)
        await fleet.check_stop(host)
        await fleet.check()


@pytest.mark.parametrize(
    ("after_s", "for_s"),
    [(1.0, 1.0), (0.5, 3.0), (2.0, 3.0), (3.2, 2.0), (3.6, 1.9)],
    ids=str,
)
async def test_freeze_amid_the_grace_cuts_none(tmp_path, after_s, for_s):
    """Phases that were due in a freeze came all at once after it."""
    async with running_fleet(tmp_path, work_s=WORK_S) as fleet:
        (host,) = fleet.hosts
        fleet.gather(host, CALLERS, Kind.STATEMENTS)
        await asyncio.sleep(BEFORE_S)
        host.send(signal.SIGTERM)
        await freeze(host, after_s, for_s)
        await fleet.check_stop(host)
        await fleet.check()


async def test_callers_that_queued_while_the_port_was_due_to_close(tmp_path):
    """A listener that closes resets what it has not accepted."""
    async with running_fleet(tmp_path, work_s=WORK_S) as fleet:
        (host,) = fleet.hosts
        fleet.gather(host, 4 * CALLERS, Kind.STATEMENTS, at_once=True)
        await asyncio.sleep(BEFORE_S)
        host.send(signal.SIGTERM)
        await freeze(host, 2.4, 0.6)
        await fleet.check_stop(host)
        await fleet.check()


async def test_restart_under_the_same_name_at_once_cuts_none(tmp_path):
    """Callers went on from one process to the next, amid its start."""
    async with running_fleet(tmp_path, work_s=WORK_S) as fleet:
        (host,) = fleet.hosts
        crowd = fleet.gather(host, CALLERS, Kind.STATEMENTS)
        await fleet.play_stop(host)
        served = len(crowd.list_served())
        await host.start()
        await fleet.wait_until_ready(host)
        await fleet.play_stop(host)
        assert len(crowd.list_served()) > served
        await fleet.check()


async def test_sigterm_while_a_process_starts_cuts_none(tmp_path):
    """A process that is told to stop amid its start took callers first."""

    async def stop_early(host: HostProcess, after_s: float | None) -> None:
        await host.start()
        if after_s is None:
            await fleet.wait_until_ready(host)
        else:
            await asyncio.sleep(after_s)
        host.send(signal.SIGTERM)
        await fleet.check_stop(host, START_CODES)

    async with running_fleet(tmp_path, hosts=0, work_s=WORK_S) as fleet:
        hosts = [await fleet.add_host(f"h{n}", "a") for n in range(4)]
        for host in hosts:
            fleet.gather(host, 4, Kind.STATEMENTS)
        for early, late in ((0.05, 0.2), (0.4, None)):
            first = [stop_early(host, early) for host in hosts[:2]]
            await asyncio.gather(*first, *(stop_early(h, late) for h in hosts[2:]))
        await fleet.check()


async def test_sigterm_of_two_hosts_within_a_second_cuts_none(tmp_path):
    """The second host's callers, and its changes, met a host that stopped."""
    async with running_fleet(tmp_path, hosts=3, work_s=WORK_S) as fleet:
        stopped = fleet.hosts[:2]
        for host in stopped:
            fleet.gather(host, CALLERS, Kind.STATEMENTS)
        await asyncio.sleep(BEFORE_S)
        for host in stopped:
            host.send(signal.SIGTERM)
            await asyncio.sleep(0.6)
        await asyncio.gather(*(fleet.check_stop(host) for host in stopped))
        await fleet.check()


@pytest.mark.parametrize("after_s", [-0.2, 0.5])
async def test_leaving_replica_amid_a_stop_cuts_none(tmp_path, after_s):
    """A server's leave closed the connections that the stop waited for."""
    async with running_fleet(tmp_path, hosts=2, work_s=WORK_S) as fleet:
        host = fleet.hosts[0]
        fleet.gather(host, CALLERS, Kind.STATEMENTS)
        await asyncio.sleep(BEFORE_S)
        replica = next(s for s in fleet.group.servers.values() if not s.is_primary)
        stopping = after_s > 0
        for _ in range(2):
            if stopping:
                host.send(signal.SIGTERM)
            else:
                replica.leaving = True
            stopping = not stopping
            await asyncio.sleep(abs(after_s))
        await fleet.check_stop(host)
        await fleet.check()


@pytest.mark.parametrize("kind", [Kind.STATEMENTS, Kind.TRANSACTIONS])
@pytest.mark.parametrize("after_s", [-0.2, 0.5])
async def test_change_of_primary_amid_a_stop_cuts_none(tmp_path, after_s, kind):
    """Statements held for a change were cut as their host ended."""
    async with running_fleet(tmp_path, hosts=2, work_s=WORK_S) as fleet:
        host = fleet.hosts[0]
        fleet.gather(host, CALLERS, kind)
        await asyncio.sleep(BEFORE_S)
        if after_s > 0:
            host.send(signal.SIGTERM)
            await asyncio.sleep(after_s)
        change = asyncio.create_task(change_primary(fleet))
        if after_s < 0:
            await asyncio.sleep(-after_s)
            host.send(signal.SIGTERM)
        await fleet.check_stop(host)
        await change
        await fleet.check()


async def test_stop_of_a_relay_cuts_none(tmp_path):
    """Statements of another host's callers ended with the relay's link."""
    async with running_fleet(tmp_path, hosts=6, work_s=WORK_S, connections=10) as fleet:
        for host in fleet.hosts:
            fleet.gather(host, 3, Kind.TRANSACTIONS)
        async with asyncio.timeout(LINKED_S):
            while (relay := await find_relay(fleet)) is None:
                await asyncio.sleep(0.1)
        await fleet.play_stop(relay)
        await fleet.check()
