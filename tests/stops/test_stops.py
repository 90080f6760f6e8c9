"""Hosts that get a SIGTERM under load lose no statement, by real processes."""

import asyncio

import pytest

from .callers import Kind
from .harness import running_fleet


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
            stops = [fleet.play_stop(host) for host in fleet.hosts]
            await asyncio.gather(*stops)
        await fleet.check()


@pytest.mark.parametrize("callers", [12, 24])
async def test_callers_that_come_to_the_end_are_not_cut(tmp_path, callers):
    """Statements were taken until 0.9 of the grace, and all cut then."""
    async with running_fleet(tmp_path, work_s=0.05) as fleet:
        fleet.gather(fleet.hosts[0], callers, Kind.STATEMENTS)
        await fleet.play_stop(fleet.hosts[0])
        await fleet.check()


async def test_statements_that_wait_for_full_servers_are_not_cut(tmp_path):
    """Statements waited for a connection longer than the grace had left."""
    async with running_fleet(tmp_path, work_s=0.4, slots=2) as fleet:
        fleet.gather(fleet.hosts[0], 16, Kind.STATEMENTS)
        await fleet.play_stop(fleet.hosts[0])
        await fleet.check()


async def test_transactions_are_not_cut(tmp_path):
    """A transaction's next statement was cut in place of an answer."""
    async with running_fleet(tmp_path, work_s=0.1) as fleet:
        fleet.gather(fleet.hosts[0], 16, Kind.TRANSACTIONS)
        await fleet.play_stop(fleet.hosts[0])
        await fleet.check()


async def test_prepared_names_are_not_cut(tmp_path):
    """A session that prepared a name was kept for a statement, which was cut."""
    async with running_fleet(tmp_path, work_s=0.05) as fleet:
        fleet.gather(fleet.hosts[0], 12, Kind.PREPARED)
        await fleet.play_stop(fleet.hosts[0])
        await fleet.check()


async def test_large_statements_that_wait_for_room_are_not_cut(tmp_path):
    """Their sessions counted as idle while they waited (issue 48)."""
    async with running_fleet(tmp_path, work_s=0.16) as fleet:
        fleet.gather(fleet.hosts[0], 16, Kind.LARGE)
        await fleet.play_stop(fleet.hosts[0])
        await fleet.check()


async def test_statements_sent_with_their_start_are_not_cut(tmp_path):
    """Sessions in the listener's queue were reset as its port closed."""
    async with running_fleet(tmp_path, work_s=0.03) as fleet:
        fleet.gather(fleet.hosts[0], 40, Kind.STATEMENTS, at_once=True)
        await fleet.play_stop(fleet.hosts[0])
        await fleet.check()


async def test_statements_with_a_timeout_beyond_the_grace_are_not_cut(tmp_path):
    """A statement was begun that could take longer than the host had left."""
    async with running_fleet(tmp_path, work_s=1.2, timeout_ms=8_000) as fleet:
        fleet.gather(fleet.hosts[0], 16, Kind.STATEMENTS)
        await fleet.play_stop(fleet.hosts[0])
        await fleet.check()


async def test_answers_that_callers_read_late_are_whole(tmp_path):
    """A close with unread bytes resets the connection, and drops the answer."""
    async with running_fleet(tmp_path) as fleet:
        fleet.gather(fleet.hosts[0], 12, Kind.STATEMENTS, reads_after_s=0.3)
        await fleet.play_stop(fleet.hosts[0])
        await fleet.check()


async def test_grace_that_ends_before_the_balancers_delay_cuts_none(tmp_path):
    """A host was due to exit while it still served whoever came."""
    async with running_fleet(tmp_path, work_s=0.05, grace_s=2) as fleet:
        fleet.gather(fleet.hosts[0], 12, Kind.STATEMENTS)
        await fleet.play_stop(fleet.hosts[0])
        await fleet.check()
