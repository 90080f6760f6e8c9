"""Hosts that get a SIGTERM under load lose no statement, by real processes."""

import asyncio
import signal

import pytest

from .callers import Kind
from .harness import Fleet, HostProcess, running_fleet

# A host's load before its signal, and after its process has ended.
BEFORE_S = 0.7
AFTER_S = 0.3


async def play_stop(fleet: Fleet, host: HostProcess) -> None:
    """Send one SIGTERM and wait for the end."""
    await asyncio.sleep(BEFORE_S)
    host.send(signal.SIGTERM)
    await fleet.check_stop(host)


async def check(fleet: Fleet) -> None:
    """Let the callers end, and fail if anything went wrong."""
    await asyncio.sleep(AFTER_S)
    await fleet.end_callers()
    fleet.check_requests()
    if fleet.findings:
        pytest.fail("\n".join(fleet.findings), pytrace=False)


@pytest.mark.parametrize("callers", [2, 3])
async def test_exit_between_two_sessions_cuts_none(tmp_path, callers):
    """The exit was decided when no session was open, and cut what then came."""
    async with running_fleet(tmp_path, hosts=4) as fleet:
        for round_number in range(2):
            for host in fleet.hosts:
                if round_number:
                    await host.start()
                    await fleet.wait_until_ready(host)
                else:
                    fleet.gather(host, callers, Kind.STATEMENTS)
            stops = [play_stop(fleet, host) for host in fleet.hosts]
            await asyncio.gather(*stops)
        await check(fleet)


@pytest.mark.parametrize("callers", [12, 24])
async def test_callers_that_come_to_the_end_are_not_cut(tmp_path, callers):
    """Statements were taken until 0.9 of the grace, and all cut then."""
    async with running_fleet(tmp_path, work_s=0.05) as fleet:
        fleet.gather(fleet.hosts[0], callers, Kind.STATEMENTS)
        await play_stop(fleet, fleet.hosts[0])
        await check(fleet)


async def test_statements_that_wait_for_full_servers_are_not_cut(tmp_path):
    """Statements waited for a connection longer than the grace had left."""
    async with running_fleet(tmp_path, work_s=0.4, slots=2) as fleet:
        fleet.gather(fleet.hosts[0], 16, Kind.STATEMENTS)
        await play_stop(fleet, fleet.hosts[0])
        await check(fleet)


async def test_transactions_are_not_cut(tmp_path):
    """A transaction's next statement was cut in place of an answer."""
    async with running_fleet(tmp_path, work_s=0.1) as fleet:
        fleet.gather(fleet.hosts[0], 16, Kind.TRANSACTIONS)
        await play_stop(fleet, fleet.hosts[0])
        await check(fleet)


async def test_prepared_names_are_not_cut(tmp_path):
    """A session that prepared a name was kept for a statement, which was cut."""
    async with running_fleet(tmp_path, work_s=0.05) as fleet:
        fleet.gather(fleet.hosts[0], 12, Kind.PREPARED)
        await play_stop(fleet, fleet.hosts[0])
        await check(fleet)


async def test_large_statements_that_wait_for_room_are_not_cut(tmp_path):
    """Their sessions counted as idle while they waited (issue 48)."""
    async with running_fleet(tmp_path, work_s=0.16) as fleet:
        fleet.gather(fleet.hosts[0], 16, Kind.LARGE)
        await play_stop(fleet, fleet.hosts[0])
        await check(fleet)


async def test_statements_sent_with_their_start_are_not_cut(tmp_path):
    """Sessions in the listener's queue were reset as its port closed."""
    async with running_fleet(tmp_path, work_s=0.03) as fleet:
        fleet.gather(fleet.hosts[0], 40, Kind.STATEMENTS, at_once=True)
        await play_stop(fleet, fleet.hosts[0])
        await check(fleet)
