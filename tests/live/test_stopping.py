"""Hosts that stop while callers keep using and opening connections."""

import asyncio
import signal
import time
from contextlib import asynccontextmanager

from standins.deployment import Deployment, DeploymentOptions

from .returningcallers import ReturningCaller, Tally, finish, read_notes

EXIT_TIMEOUT_S = 15.0
USED_S = 0.5


@asynccontextmanager
async def deploy(**options):
    deployment = Deployment(options=DeploymentOptions(**options))
    try:
        await deployment.start()
        yield deployment
    finally:
        deployment.stop()


async def stop_host(deployment, number):
    """Send SIGTERM, wait for the exit; return its status and the seconds it took."""
    process = deployment.processes[f"host-{number}"]
    began = time.monotonic()
    deployment.signal(f"host-{number}", signal.SIGTERM)
    status = await asyncio.to_thread(process.wait, EXIT_TIMEOUT_S)
    return status, time.monotonic() - began


def start_callers(deployment, tally, host, count, **kwargs):
    callers = [
        ReturningCaller(
            deployment=deployment, host=host, name=f"h{host}c{n}", tally=tally, **kwargs
        )
        for n in range(count)
    ]
    return [asyncio.create_task(caller.run()) for caller in callers]


async def finish_others(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def check(deployment, tally):
    """Compare what the callers were told with what the servers hold."""
    notes = await read_notes(deployment)
    ran = [t for t in tally.cut if notes[t.partition(":")[0]]]
    assert not tally.cut, f"{len(tally.cut)} cut, {len(ran)} ran: {tally.cut[:5]}"
    assert [tag for tag in tally.not_run if notes[tag]] == []


async def test_many_callers_that_return_until_the_port_is_closed_lose_statements():
    tally = Tally()
    async with deploy(hosts=2) as deployment:
        tasks = start_callers(deployment, tally, 0, 24, per_connection=2)
        others = start_callers(deployment, tally, 1, 12)
        await asyncio.sleep(USED_S)
        status, _ = await stop_host(deployment, 0)
        await asyncio.sleep(USED_S)
        await finish(tasks, 2)
        await finish_others(others)
        assert status == 0
        await check(deployment, tally)


async def test_two_callers_lose_a_statement_at_the_exit():
    tally = Tally()
    async with deploy(hosts=2) as deployment:
        tasks = start_callers(deployment, tally, 0, 2, work_ms=15, per_connection=3)
        others = start_callers(deployment, tally, 1, 2, work_ms=15)
        await asyncio.sleep(USED_S)
        status, _ = await stop_host(deployment, 0)
        await asyncio.sleep(USED_S)
        await finish(tasks, 2)
        await finish_others(others)
        assert status == 0
        await check(deployment, tally)


async def test_open_transaction_of_a_pausing_caller_ends_without_an_answer():
    tally = Tally()
    async with deploy(hosts=2, drain_ms=1_000) as deployment:
        caller = ReturningCaller(deployment=deployment, host=0, name="t", tally=tally)
        link = await deployment.connect(0)
        await caller.run_statement(link, "begin", "BEGIN")
        await caller.run_statement(link, "first", caller.make_insert("first"))
        status, _ = await stop_host(deployment, 0)
        await caller.run_statement(link, "t", caller.make_insert("t"))
        link.close()
        assert status == 0
        assert tally.answered == {"begin", "first"}
        await check(deployment, tally)


async def test_next_statement_over_a_connection_closed_as_idle_gets_no_answer():
    tally = Tally()
    async with deploy(hosts=2) as deployment:
        callers = [
            ReturningCaller(deployment=deployment, host=0, name=f"i{n}", tally=tally)
            for n in range(8)
        ]
        links = [await deployment.connect(0) for _ in callers]
        status, _ = await stop_host(deployment, 0)
        for caller, link in zip(callers, links, strict=True):
            await caller.run_statement(
                link, caller.name, caller.make_insert(caller.name)
            )
            link.close()
        assert status == 0
        await check(deployment, tally)


async def test_second_sigterm_cuts_statements_at_work():
    tally = Tally()
    async with deploy(hosts=2, slots=8) as deployment:
        tasks = start_callers(deployment, tally, 0, 3, work_ms=400)
        others = start_callers(deployment, tally, 1, 1, work_ms=400)
        await asyncio.sleep(USED_S)
        deployment.signal("host-0", signal.SIGTERM)
        await asyncio.sleep(0.1)
        status, _ = await stop_host(deployment, 0)
        await finish(tasks, 2)
        await asyncio.sleep(USED_S)
        await finish_others(others)
        assert status == 0
        await check(deployment, tally)


async def test_two_hosts_that_stop_within_a_second_cut_statements():
    tally = Tally()
    async with deploy(hosts=3) as deployment:
        tasks = start_callers(deployment, tally, 0, 8)
        tasks += start_callers(deployment, tally, 1, 8)
        others = start_callers(deployment, tally, 2, 8)
        await asyncio.sleep(USED_S)

        async def stop_second():
            await asyncio.sleep(0.5)
            return await stop_host(deployment, 1)

        ends = await asyncio.gather(stop_host(deployment, 0), stop_second())
        await asyncio.sleep(USED_S)
        await finish(tasks, 2)
        await finish_others(others)
        assert [status for status, _ in ends] == [0, 0]
        await check(deployment, tally)


async def test_statement_begun_after_the_signal_is_cut_at_the_end_of_the_drain():
    tally = Tally()
    async with deploy(hosts=2, drain_ms=1_000) as deployment:
        caller = ReturningCaller(
            deployment=deployment, host=0, name="late", tally=tally, work_ms=2_500
        )
        link = await deployment.connect(0)
        stop = asyncio.create_task(stop_host(deployment, 0))
        await asyncio.sleep(0.1)
        await caller.run_statement(link, "late", caller.make_insert("late"))
        link.close()
        status, _ = await stop
        assert status == 0
        await check(deployment, tally)
