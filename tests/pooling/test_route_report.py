"""Reports where a request would go, which send nothing and change no routing."""

import asyncio
import json
import socket

import pytest
from aioprometheus import Registry

from apricotshore import cli
from apricotshore.exceptions import ApricotshoreError
from apricotshore.identifiers import ServerId
from apricotshore.pooling.group_spillover import GroupSpillover
from apricotshore.pooling.route_report import UnknownRouteError, report_route
from apricotshore.routes import Consistency
from apricotshore.services.clock import read_boot_ms
from apricotshore.services.statuspage import StatusPage
from apricotshore.spillover import Prices
from standins.in_memory import ModelGroup, ModelPlatform

from .support import ModelHost, log_position, make_route

S1 = ServerId("s1")
SHOP = {"database": "shop"}


@pytest.fixture
async def host():
    model = ModelGroup.make()
    host = ModelHost.make("h", model, ModelPlatform(group=model))
    host.group.observe_primary(S1, 1, read_boot_ms())
    host.group.observe_position(log_position(4, 7), read_boot_ms())
    return host


def report(host: ModelHost, consistency=Consistency.BOUNDED, **request):
    context = host.make_context(make_route(consistency, 2_000))
    return report_route(context, SHOP | request)


async def test_report_follows_the_rules_that_route(host):
    found = report(host)
    ranked = [pool.server.server for pool in host.group.rank_readers()]
    assert [found["goes_to"], *found["then"]] == ranked
    assert found["needed_position"] == "4.7"
    assert report(host, Consistency.SESSION, position="5.1")["needed_position"] == "5.1"
    assert report(host, kind="write")["goes_to"] == S1
    assert report(host, Consistency.LATEST)["goes_to"] == S1
    host.group.observe_denial(S1)
    assert report(host, kind="write")["goes_to"] is None
    assert report(host)["outage"]["cause"] == "no primary"


async def test_report_counts_no_read_of_the_shares(host):
    host.group.spillover = GroupSpillover(
        group=host.group.group, journal=host.group.journal, prices=Prices()
    )
    report(host)
    assert host.group.spillover.shares.number == 0
    assert host.group.spillover.shares.updated_at == 0


@pytest.mark.parametrize(
    "request_", [{"database": "none"}, {"kind": "x"}, {"organisation": "x"}]
)
async def test_request_without_a_route_is_named(host, request_):
    with pytest.raises(UnknownRouteError):
        report(host, **request_)


async def test_command_asks_the_live_process(host, capsys):
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{free.getsockname()[1]}"
    context = host.make_context(make_route(Consistency.BOUNDED, 2_000))
    page = StatusPage(
        address=address,
        registry=Registry(),
        is_ready=lambda: True,
        refresh=lambda: None,
        report_route=lambda asked: report_route(context, asked),
    )
    await page.start()
    try:
        await asyncio.to_thread(cli.route, address, "shop", as_json=True)
        assert json.loads(capsys.readouterr().out)["group"] == host.group.group
        await asyncio.to_thread(cli.route, address, "shop")
        assert f"goes_to: {host.group.rank_readers()[0].server.server}" in (
            capsys.readouterr().out
        )
        with pytest.raises(ApricotshoreError, match="no route"):
            await asyncio.to_thread(cli.route, address, "none")
    finally:
        await page.stop()
