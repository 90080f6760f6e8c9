"""Hosts that stop while callers keep using and opening connections."""

import asyncio
import signal
import time
from contextlib import asynccontextmanager

from standins.deployment import Deployment, DeploymentOptions

from .returningcallers import ReturningCaller, Tally, read_notes

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


async def check(deployment, tally):
    """Compare what the callers were told with what the servers hold."""
    notes = await read_notes(deployment)
    ran = [t for t in tally.cut if notes[t.partition(":")[0]]]
    assert not tally.cut, f"{len(tally.cut)} cut, {len(ran)} ran: {tally.cut[:5]}"
    assert [tag for tag in tally.not_run if notes[tag]] == []


async def test_next_statement_over_a_connection_closed_as_idle_gets_no_answer():
    tally = Tally()
    async with deploy(hosts=2) as deployment:
        callers = [
            ReturningCaller(deployment=deployment, host=0, name=f"i{n}", tally=tally)
            for n in range(8)
        ]
        links = [await deployment.connect(0) for _ in callers]
        await asyncio.sleep(3.2)
        status, _ = await stop_host(deployment, 0)
        for caller, link in zip(callers, links, strict=True):
            await caller.run_statement(
                link, caller.name, caller.make_insert(caller.name)
            )
            link.close()
        assert status == 0
        await check(deployment, tally)
