"""Draining hosts and leaving backend servers, tested with live processes."""

import asyncio
import signal
import time
from collections import Counter

from apricotshore.load import Verdicts, parse_scenario, run_load
from standins.deployment import PASSWORD, Deployment, DeploymentOptions, run_sql

from .support import MIXED, list_entry_hosts, run_with_fault

MAX_HANDOVER_S = 5.0


async def test_drain_under_load_leaves_no_outcome_unknown():
    async def drain(deployment):
        deployment.signal("host-0", signal.SIGTERM)
        status = await asyncio.to_thread(deployment.processes["host-0"].wait, 15)
        assert status == 0

    options = DeploymentOptions(hosts=3)
    run = await run_with_fault(options, drain, seed=5)
    assert run.findings.count() == 0, run.findings.describe()
    unknown = [o for o in run.result.operations if o.verdict is Verdicts.MAY_HAVE_RUN]
    assert unknown == []


async def test_leaving_primary_is_replaced_and_writes_continue():
    deployment = Deployment(options=DeploymentOptions(hosts=2))
    try:
        await deployment.start()
        link = await deployment.connect(0)
        await run_sql(link, "INSERT INTO delivery (member) VALUES ('before')")
        primary = await deployment.find_primary()
        await deployment.set_fault(primary, "leaving", 1)
        deadline = time.monotonic() + MAX_HANDOVER_S
        while await deployment.find_primary() == primary:
            assert time.monotonic() < deadline
            await asyncio.sleep(0.05)
        await run_sql(link, "INSERT INTO delivery (member) VALUES ('after')")
        rows = await run_sql(link, "SELECT COUNT(*) FROM delivery")
        assert rows == ((2,),)
    finally:
        deployment.stop()


async def test_leaving_replica_gets_no_new_reads():
    deployment = Deployment(options=DeploymentOptions(hosts=2))
    try:
        await deployment.start()
        names = deployment.server_names("deliveries")
        await deployment.set_fault(names[1], "leaving", 1)
        await asyncio.sleep(MAX_HANDOVER_S / 2)
        before = await count_reads(deployment, names[1])
        scenario = parse_scenario(
            MIXED.format(duration=2000, seed=1, move_with="name"), "s"
        )
        result = await run_load(scenario, list_entry_hosts(deployment), PASSWORD)
        assert Counter(o.verdict for o in result.operations)[Verdicts.RAN] > 100
        assert await count_reads(deployment, names[1]) == before
        assert await count_reads(deployment, names[2]) > 0
    finally:
        deployment.stop()


async def count_reads(deployment, server):
    return int((await deployment.command(server, "CALL standin_reads()"))[0][0])
