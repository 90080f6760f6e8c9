"""Consistency guarantees under faults, tested with live processes.

The history checker verifies the recorded operations.
"""

import asyncio
import signal

import pytest

from standins.deployment import Deployment, DeploymentOptions

from .support import run_with_fault

MAX_GAP_S = 8.0
FREEZE_S = 2.5


async def kill_primary(deployment: Deployment) -> None:
    deployment.signal(await deployment.find_primary(), signal.SIGKILL)


async def freeze_primary(deployment: Deployment) -> None:
    primary = await deployment.find_primary()
    deployment.signal(primary, signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    deployment.signal(primary, signal.SIGCONT)


async def cut_primary_from_group(deployment: Deployment) -> None:
    primary = await deployment.find_primary()
    await deployment.set_fault(primary, "cut_replication", 1)
    await asyncio.sleep(FREEZE_S)
    await deployment.set_fault(primary, "cut_replication", 0)


async def silence_primary(deployment: Deployment) -> None:
    primary = await deployment.find_primary()
    await deployment.set_fault(primary, "mute", 1)


async def stall_commits(deployment: Deployment) -> None:
    """Keep the primary in contact with all servers, but hold back its commits."""
    primary = await deployment.find_primary()
    await deployment.set_fault(primary, "hold_commits", 1)


async def freeze_primary_and_host(deployment: Deployment) -> None:
    primary = await deployment.find_primary()
    deployment.signal(primary, signal.SIGSTOP)
    await asyncio.sleep(0.9)
    deployment.signal("host-1", signal.SIGSTOP)
    await asyncio.sleep(0.8)
    deployment.signal("host-1", signal.SIGCONT)
    deployment.signal(primary, signal.SIGCONT)


async def kill_host(deployment: Deployment) -> None:
    deployment.signal("host-0", signal.SIGKILL)


async def freeze_each_host(deployment: Deployment) -> None:
    for number in range(deployment.options.hosts):
        deployment.signal(f"host-{number}", signal.SIGSTOP)
        await asyncio.sleep(1.2)
        deployment.signal(f"host-{number}", signal.SIGCONT)


async def kill_primary_without_platform(deployment: Deployment) -> None:
    deployment.signal("platform", signal.SIGKILL)
    await kill_primary(deployment)


async def restart_hosts(deployment: Deployment) -> None:
    for number in (0, 1):
        name = f"host-{number}"
        deployment.signal(name, signal.SIGTERM)
        await asyncio.to_thread(deployment.processes[name].wait, 15)
        deployment.start_host(number)
        await deployment.wait_until_ready(number)


FAULTS = [
    kill_primary,
    freeze_primary,
    cut_primary_from_group,
    silence_primary,
    stall_commits,
    freeze_primary_and_host,
    kill_host,
    freeze_each_host,
    kill_primary_without_platform,
    restart_hosts,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
async def test_guarantees_hold(fault):
    options = DeploymentOptions(hosts=3, lag_ms=150)
    run = await run_with_fault(options, fault, move_with="name")
    assert run.findings.count() == 0, run.findings.describe()
    assert run.acknowledged > 100
    assert run.measure_gap_s() <= MAX_GAP_S, run.describe_gap()


async def test_guarantees_hold_for_sessions_with_a_token():
    options = DeploymentOptions(hosts=3, lag_ms=400)
    run = await run_with_fault(options, freeze_primary, seed=2, move_with="token")
    assert run.findings.count() == 0, run.findings.describe()


async def test_guarantees_hold_when_ownership_moves_while_replicas_lag():
    options = DeploymentOptions(hosts=3, lag_ms=1500)
    run = await run_with_fault(options, restart_hosts, seed=3, move_with="name")
    assert run.findings.count() == 0, run.findings.describe()


async def test_pauses_of_half_a_second_cause_no_failover():
    async def pause_primary(deployment):
        primary = await deployment.find_primary()
        for _ in range(4):
            deployment.signal(primary, signal.SIGSTOP)
            await asyncio.sleep(0.5)
            deployment.signal(primary, signal.SIGCONT)
            await asyncio.sleep(0.5)
        assert await deployment.find_primary() == primary
        status = (await deployment.command(primary, "CALL group_status()"))[0]
        assert int(status[2]) == 1

    options = DeploymentOptions(hosts=3)
    run = await run_with_fault(options, pause_primary)
    assert run.findings.count() == 0, run.findings.describe()
