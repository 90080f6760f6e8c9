"""Servers that are resumed after a change of primary."""

import asyncio

from apricotshore.identifiers import ServerId
from apricotshore.queries import Query, QueryKind
from standins.in_memory import ModelConnection, ModelGroup, ModelPlatform

from .support import ModelHost, running, wait_until, writing

S2, S3 = ServerId("s2"), ServerId("s3")


async def test_server_is_resumed_once_it_has_learnt_who_leads(monkeypatch):
    """Before, it would help the former primary to acknowledge its last commits."""
    model = ModelGroup.make()
    platform = ModelPlatform(group=model, promote_s=0.3)
    host = ModelHost.make("host-0", model, platform)
    run_command = ModelConnection._run_command
    shown: list[int | None] = []

    def record_resume(link: ModelConnection, query: Query) -> None:
        if query.kind is QueryKind.RESUME and link.server.name == other:
            shown.append(link.server.shown_term)
        run_command(link, query)

    monkeypatch.setattr(ModelConnection, "_run_command", record_resume)
    other = S3
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        host.mark_leaving("s1")
        await wait_until(lambda: platform.orders)
        other = S2 if platform.orders[0][1] == S3 else S3
        model.servers[other].shown_term = 1
        await wait_until(lambda: model.promotions)
        await wait_until(lambda: host.group.primary == platform.orders[0][1])
        await asyncio.sleep(0.1)
        model.servers[other].shown_term = None
        await wait_until(lambda: shown)
        await wait_until(lambda: not model.servers[other].paused_term)
    assert shown[0] is None
    assert model.lost == []


async def test_server_that_learns_only_when_it_is_resumed_is_resumed_all_the_same():
    model = ModelGroup.make()
    platform = ModelPlatform(group=model, promote_s=0.3)
    host = ModelHost.make("host-0", model, platform)
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        host.mark_leaving("s1")
        await wait_until(lambda: platform.orders)
        other = S2 if platform.orders[0][1] == S3 else S3
        model.servers[other].shown_term = 1
        await wait_until(lambda: model.promotions)
        await wait_until(lambda: not model.servers[other].paused_term, 3.0)
    assert model.lost == []
