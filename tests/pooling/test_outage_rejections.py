"""Rejections of a host whose settings ask for `early-rejection`."""

import asyncio
from dataclasses import replace

import pytest

from apricotshore.decisions import position_history
from apricotshore.identifiers import ServerId
from apricotshore.outages import Cause
from apricotshore.pooling import group_outages
from apricotshore.pooling.autocommit import run_autocommit
from apricotshore.pooling.sessions import Job, RefusedError, Session
from apricotshore.queries import FailureCode
from apricotshore.routes import Consistency
from apricotshore.services.clock import read_boot_ms
from standins.in_memory import ModelGroup, ModelPlatform

from .support import ModelHost, log_position, make_route, read, write

S1 = ServerId("s1")


@pytest.fixture
async def host():
    model = ModelGroup.make()
    host = ModelHost.make("h", model, ModelPlatform(group=model))
    host.group.early_rejection = True
    host.group.observe_primary(S1, 1, read_boot_ms())
    return host


async def run(host: ModelHost, route, query, *, writes: bool):
    job = Job(query=query, shape=None, route=route, arrived_at=read_boot_ms(),
              writes=writes)  # fmt: skip
    context = host.make_context(route)
    return await run_autocommit(context, Session(database=route.database), job)


async def test_write_waits_past_the_equal_wait_and_is_served(host):
    """It was rejected after 24 % of its objective, just before the primary returned."""
    route = replace(make_route(), timeout_ms=2_000, target_ms=1_000)
    host.group.observe_denial(S1)
    task = asyncio.create_task(run(host, route, write(), writes=True))
    await asyncio.sleep(0.4)
    assert not task.done()
    host.group.observe_primary(S1, 1, read_boot_ms())
    assert (await task).failure is None
    group_outages.observe(host.group)
    assert 300 < host.group.outages.ended_ms[Cause.UNKNOWN][0] < 1_500


async def test_rejection_names_the_expected_end(host):
    host.group.observe_denial(S1)
    began = read_boot_ms()
    with pytest.raises(RefusedError) as refused:
        await run(host, make_route(), write(), writes=True)
    assert refused.value.code is FailureCode.OVERLOADED
    assert int(refused.value.detail.rpartition("=")[2]) > 1_000
    assert read_boot_ms() - began < 700
    assert host.group.outage_rejections == 1


async def test_bounded_read_goes_on_at_a_replica(host):
    host.group.observe_denial(S1)
    position_history.observe(
        host.group.position_history, log_position(0, 0), read_boot_ms()
    )
    route = make_route(Consistency.BOUNDED, staleness_ms=2_000)
    assert (await run(host, route, read(), writes=False)).failure is None
