"""Reads of a host whose settings ask for `spillover`."""

import json
import os

from aioprometheus import Registry

from apricotshore.decisions.placement import Distance
from apricotshore.identifiers import ServerId
from apricotshore.pooling.autocommit import run_autocommit
from apricotshore.pooling.group_spillover import LINE_PERIOD_MS, GroupSpillover
from apricotshore.pooling.journal import Journal
from apricotshore.pooling.metrics import PoolingMetrics
from apricotshore.pooling.sessions import Job, Session
from apricotshore.routes import Consistency
from apricotshore.services.clock import read_boot_ms
from apricotshore.spillover import Prices
from standins.in_memory import ModelGroup, ModelPlatform

from .support import ModelHost, log_position, make_route, read

S1, S2, S3 = ServerId("s1"), ServerId("s2"), ServerId("s3")


def make_host(journal: Journal) -> ModelHost:
    """Return a host beside s2, with s3 in another region and s1 as the primary."""
    model = ModelGroup.make()
    host = ModelHost.make("h", model, ModelPlatform(group=model))
    group = host.group
    group.observe_primary(S1, 1, read_boot_ms())
    group.observe_position(log_position(0, 0), read_boot_ms())
    group.pools[S3].load.distance = Distance.REMOTE
    group.pools[S1].load.distance = Distance.REMOTE
    group.spillover = GroupSpillover(
        group=group.group, journal=journal, prices=Prices()
    )
    return host


async def test_share_that_changes_is_logged_with_its_inputs_and_exported():
    receiver, sender = os.pipe()
    host = make_host(Journal(host="h", descriptor=sender))
    group = host.group
    assert group.rank_readers()[0].server.server == S2
    for server, answered_ms in ((S2, 380.0), (S3, 40.0)):
        times = group.pools[server].times
        times.answered_ms, times.answered_at = answered_ms, read_boot_ms()
    group.spillover.shares.updated_at = 0
    firsts = {group.rank_readers()[0].server.server for _ in range(20)}
    assert firsts == {S2, S3}
    lines = os.read(receiver, 10_000).decode().splitlines()
    (line,) = [x for x in map(json.loads, lines) if x["step"] == "spillover"]
    assert line["beyond_data_centre"] > 0
    assert line["same_data_centre"]["expected_ms"] == 380
    assert line["same_data_centre"]["age_ms"] < LINE_PERIOD_MS
    registry = Registry()
    PoolingMetrics(registry=registry).refresh([group], 0, 0)
    gauge = registry.get("apricotshore_spillover_share")
    labels = {"group": group.group, "beyond": "same_data_centre"}
    assert gauge.get(labels) == line["beyond_data_centre"]
    os.close(receiver)
    os.close(sender)


async def test_answered_reads_are_measured():
    host = make_host(Journal(host="h", descriptor=os.open(os.devnull, os.O_WRONLY)))
    route = make_route(Consistency.BOUNDED, staleness_ms=2_000)
    job = Job(query=read(), shape=None, route=route, arrived_at=read_boot_ms())
    session = Session(database=route.database)
    answer = await run_autocommit(host.make_context(route), session, job)
    assert answer.failure is None
    assert host.group.pools[S2].times.answered_ms is not None
    assert host.group.pools[S2].times.size == len("row")
