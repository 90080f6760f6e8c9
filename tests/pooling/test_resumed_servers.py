"""Servers that are resumed after a change of primary."""

import asyncio

from apricotshore.decisions import lease
from apricotshore.decisions.log_members import ANY_LOG, LostLog
from apricotshore.identifiers import ServerId, StoreEra
from apricotshore.queries import Query, QueryKind
from apricotshore.services.clock import read_boot_ms
from standins.in_memory import GROUP, ModelConnection, ModelGroup, ModelPlatform

from .support import ModelHost, running, wait_until, writing
from .test_change_records import find_phases, keep_journal

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


def list_commands(host: ModelHost) -> list[tuple[ModelConnection, QueryKind]]:
    """List the commands that a host sent, connection by connection."""
    return [
        (link, query.kind) for link in host.dialer.links for query, _ in link.received
    ]


def count_resumes(host: ModelHost) -> int:
    return sum(kind is QueryKind.RESUME for _, kind in list_commands(host))


async def replace_primary(model: ModelGroup, host: ModelHost) -> None:
    """Run a planned change until its lease is released."""
    await wait_until(lambda: len(model.acknowledged) > 5)
    host.mark_leaving("s1")
    await wait_until(lambda: model.promotions)
    await wait_until(lambda: not host.changer.lease.seen.open)


async def test_server_whose_pause_the_promotion_has_ended_gets_no_resume():
    model = ModelGroup.make()
    model.checks_terms = model.promotion_resumes = True
    platform = ModelPlatform(group=model, promote_s=0.3)
    host = ModelHost.make("host-0", model, platform)
    async with running(host), writing(model):
        await replace_primary(model, host)
        await asyncio.sleep(0.5)
    assert count_resumes(host) == 0
    assert not host.changer.resumption.unresumed
    assert model.lost == []


async def test_resume_follows_a_status_that_shows_the_pause_on_its_connection(
    monkeypatch,
):
    model = ModelGroup.make()
    platform = ModelPlatform(group=model, promote_s=0.3)
    host = ModelHost.make("host-0", model, platform)
    run_command = ModelConnection._run_command
    were_paused: list[bool] = []

    def observe(link: ModelConnection, query: Query) -> None:
        if query.kind is QueryKind.RESUME:
            were_paused.append(bool(link.server.paused_term))
        run_command(link, query)

    monkeypatch.setattr(ModelConnection, "_run_command", observe)
    async with running(host), writing(model):
        await replace_primary(model, host)
    commands = list_commands(host)
    before = [
        commands[at - 1]
        for at, (_, kind) in enumerate(commands)
        if kind is QueryKind.RESUME
    ]
    resumed = [link for link, kind in commands if kind is QueryKind.RESUME]
    assert before == [(link, QueryKind.STATUS) for link in resumed]
    assert were_paused == [True]


async def test_lease_is_open_until_a_slow_resume_is_answered(monkeypatch):
    """Given up after 400 ms, it would be carried out amid the next change."""
    model = ModelGroup.make()
    platform = ModelPlatform(group=model, promote_s=0.3)
    host = ModelHost.make("host-0", model, platform)
    execute = ModelConnection._execute
    were_open: list[bool] = []

    async def run_late(link: ModelConnection, query: Query, after):
        if query.kind is QueryKind.RESUME:
            await asyncio.sleep(0.6)
            were_open.append(platform.leases[GROUP, StoreEra(1)].open)
        return await execute(link, query, after)

    monkeypatch.setattr(ModelConnection, "_execute", run_late)
    async with running(host), writing(model):
        await replace_primary(model, host)
    assert were_open == [True]
    assert not any(s.paused_term for s in model.servers.values())


async def test_resume_without_an_answer_is_not_repeated_before_a_status(monkeypatch):
    """It is carried out, and its answer is lost with the connection."""
    model = ModelGroup.make()
    platform = ModelPlatform(group=model, promote_s=0.3)
    host = ModelHost.make("host-0", model, platform)
    execute = ModelConnection._execute
    cut: list[ModelConnection] = []

    async def lose_answer(link: ModelConnection, query: Query, after):
        failure = await execute(link, query, after)
        if query.kind is QueryKind.RESUME:
            cut.append(link)
            await asyncio.sleep(60.0)
        return failure

    monkeypatch.setattr(ModelConnection, "_execute", lose_answer)
    async with running(host), writing(model):
        await replace_primary(model, host)
        await wait_until(lambda: not host.changer.resumption.unresumed)
    assert len(cut) == 1
    assert not cut[0].open


async def test_host_whose_group_has_no_lease_resumes_nobody_and_records_no_answer(
    tmp_path, monkeypatch
):
    """Nothing was left to finish; a restored store would look the same."""
    monkeypatch.setattr(lease, "LEASE_MS", 300)
    monkeypatch.setattr(lease, "PROMOTION_MS", 200)
    model = ModelGroup.make()
    platform = ModelPlatform(group=model, promote_s=0.3)
    platform.leases.clear()
    host = ModelHost.make("host-0", model, platform)
    records = keep_journal(host, tmp_path / "host-0.log")
    async with running(host), writing(model):
        await wait_until(lambda: platform.leases)
        await wait_until(lambda: not host.changer.lease.seen.open)
    assert count_resumes(host) == 0
    assert find_phases(records(), "answered") == []
    assert find_phases(records(), "ended")[0].details["outcome"] == "settled"


async def test_host_that_is_stopped_waits_for_the_answer_to_its_resume(monkeypatch):
    """Its lease is left to others next; the server may carry it out all the same."""
    model = ModelGroup.make()
    platform = ModelPlatform(group=model, promote_s=0.3)
    host = ModelHost.make("host-0", model, platform)
    execute = ModelConnection._execute
    began: list[ModelConnection] = []
    holders: list[str] = []

    async def run_late(link: ModelConnection, query: Query, after):
        if query.kind is QueryKind.RESUME:
            began.append(link)
            await asyncio.sleep(0.6)
            holders.append(platform.leases[GROUP, StoreEra(1)].holder)
        return await execute(link, query, after)

    monkeypatch.setattr(ModelConnection, "_execute", run_late)
    async with writing(model):
        async with running(host):
            await wait_until(lambda: len(model.acknowledged) > 5)
            host.mark_leaving("s1")
            await wait_until(lambda: began)
        assert holders == [host.changer.lease.holder]
        assert not any(s.paused_term for s in model.servers.values())


async def test_servers_stay_paused_while_nobody_leads_after_a_change():
    """A log was lost, so nobody is ordered; the next change would pause them again."""
    model = ModelGroup.make()
    platform = ModelPlatform(group=model, promote_s=0.3)
    host = ModelHost.make("host-0", model, platform)
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        model.servers[ServerId("s1")].up = False
        host.group.members.lost[ANY_LOG] = LostLog(at=read_boot_ms())
        await wait_until(lambda: any(s.paused_term for s in model.servers.values()))
        revision = platform.revision
        # The change of 5.5 s ends, and the next one begins.
        await asyncio.sleep(7.0)
        assert platform.revision > revision + 1
        assert not platform.orders
        assert count_resumes(host) == 0
        model.servers[ServerId("s1")].up = True
        await wait_until(lambda: not any(s.paused_term for s in model.servers.values()))
    assert model.promotions == []
    assert model.lost == []


async def test_next_change_begins_once_a_queued_resume_is_carried_out(monkeypatch):
    """The server carries it out in any case, whoever has closed the connection."""
    model = ModelGroup.make()
    platform = ModelPlatform(group=model, promote_s=0.3)
    host = ModelHost.make("host-0", model, platform)
    execute, run_command = ModelConnection._execute, ModelConnection._run_command
    done: list[str] = []

    def carry_out(link: ModelConnection, query: Query) -> None:
        done.append(query.kind.value)
        run_command(link, query)

    def carry_out_late(link: ModelConnection, query: Query) -> None:
        done.append("late")
        run_command(link, query)

    async def queue(link: ModelConnection, query: Query, after):
        if query.kind is not QueryKind.RESUME or "queued" in done:
            return await execute(link, query, after)
        done.append("queued")
        host.mark_leaving(platform.orders[0][1])
        work = asyncio.ensure_future(asyncio.sleep(0.9))
        work.add_done_callback(lambda _: carry_out_late(link, query))
        await asyncio.shield(work)

    monkeypatch.setattr(ModelConnection, "_run_command", carry_out)
    monkeypatch.setattr(ModelConnection, "_execute", queue)
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        host.mark_leaving("s1")
        await wait_until(lambda: len(model.promotions) > 1)
    meanwhile = done[done.index("queued") + 1 : done.index("late")]
    assert set(meanwhile) <= {QueryKind.STATUS.value, QueryKind.RESUME.value}
    assert model.lost == []
