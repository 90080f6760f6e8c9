"""Events between the steps of a change of primary lose no acknowledged write.

Each test is named after a failure; the target of the promotion receives nothing, so
only the server of the event can help to acknowledge.
"""

import asyncio
from dataclasses import replace

import pytest

from apricotshore.decisions.lease import LEASE_MS
from apricotshore.identifiers import ServerId
from apricotshore.services.clock import read_boot_ms
from standins.in_memory import ModelGroup, ModelPlatform

from .support import ModelHost, running, wait_until, writing

# Time that a command to a server that gives no answer takes.
UNREACHABLE_ROUND_MS = 400
OTHER_HOST = "10.0.0.7:1"
S1, S2, S3, S4 = (ServerId(f"s{n}") for n in (1, 2, 3, 4))


def make(**faults) -> tuple[ModelGroup, ModelPlatform, ModelHost]:
    model = ModelGroup.make()
    platform = ModelPlatform(group=model, **faults)
    return model, platform, ModelHost.make("host-0", model, platform)


def replace_leaving(model: ModelGroup, host: ModelHost) -> None:
    host.mark_leaving("s1")


def replace_silent(model: ModelGroup, host: ModelHost) -> None:
    """The host can't reach the primary, which goes on acknowledging."""
    model.servers[S1].unreachable_by.add("host-0")


async def isolate_target(model: ModelGroup, platform: ModelPlatform) -> ServerId:
    """Wait for a promotion to be requested, and have its target receive nothing."""
    await wait_until(lambda: platform.orders)
    target = platform.orders[0][1]
    model.servers[target].partitioned = True
    return target


async def test_replica_that_starts_amid_a_change_of_primary_loses_no_commit():
    """Failure 1: a new replica helped the leaving primary to acknowledge."""
    model, platform, host = make(promote_s=0.5)
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        replace_leaving(model, host)
        await isolate_target(model, platform)
        model.add_server(S4)
        await wait_until(lambda: model.promotions)
    assert model.lost == []


async def test_replica_that_starts_before_its_entry_is_known_loses_no_commit():
    """Failure 1: the host's list of servers is older than the new replica."""
    model, platform, host = make(promote_s=0.5)
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        model.add_server(S4)
        model.servers[S2].partitioned = model.servers[S3].partitioned = True
        await asyncio.sleep(0.1)
        replace_leaving(model, host)
        await wait_until(lambda: model.promotions)
    assert model.lost == []


async def test_replica_that_starts_before_a_silent_primary_is_replaced_is_found():
    """Failure 1, silent primary: the list of servers is read anew after the pauses."""
    model, platform, host = make(promote_s=0.5)
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        model.add_server(S4)
        replace_silent(model, host)
        await isolate_target(model, platform)
        await wait_until(lambda: model.promotions)
    assert model.lost == []


@pytest.mark.parametrize("change", [replace_leaving, replace_silent])
async def test_live_replica_whose_entry_was_removed_loses_no_commit(change):
    """Failure 3: a change neither asked nor paused a replica without an entry."""
    model, platform, host = make(promote_s=0.5)
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        model.servers[S3].listed = False
        host.group.update_server(model.list(model.add_server(S4)))
        host.group.remove_server(S3)
        await wait_until(lambda: host.group.primary_state.primary == S1)
        await asyncio.sleep(0.7)
        change(model, host)
        await isolate_target(model, platform)
        await wait_until(lambda: model.promotions)
    assert model.lost == []


@pytest.mark.parametrize("change", [replace_leaving, replace_silent])
async def test_paused_replica_that_restarts_amid_a_change_loses_no_commit(change):
    """Failure 4: nobody paused it again until the promotion took effect."""
    model, platform, host = make(promote_s=0.8)
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        change(model, host)
        target = await isolate_target(model, platform)
        other = model.servers[next(s for s in (S2, S3) if s != target)]
        other.up = False
        await asyncio.sleep(0.1)
        other.up, other.paused_term = True, 0
        # A host can't know of the restart before it has asked again.
        other.partitioned = change is replace_silent
        await asyncio.sleep(0.3)
        other.partitioned = False
        await wait_until(lambda: model.promotions)
    assert model.lost == []


async def test_promotion_that_was_accepted_before_a_newer_token_loses_no_commit():
    """Failure 2: the change ended while the late promotion was taking effect."""
    model, platform, host = make(promote_s=1.0, unanswered_delay_s=3.9)
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        model.servers[S1].up = False
        await isolate_target(model, platform)
        await asyncio.sleep(1.5)
        model.servers[S1].up = True
        await wait_until(lambda: model.promotions, 12.0)
        await asyncio.sleep(0.2)
    assert model.lost == []


async def test_live_primary_that_only_other_hosts_reach_steps_down_through_them():
    """Failure 1, primary cut off from the host: a new replica helped it go on."""
    model, platform, host = make(promote_s=0.5)
    host.add_other_host(OTHER_HOST)
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        replace_silent(model, host)
        # Reached before the change begins, the primary would stay.
        model.servers[S1].unreachable_by.add(OTHER_HOST)
        await wait_until(lambda: host.changer.work is not None)
        model.servers[S1].unreachable_by.discard(OTHER_HOST)
        await isolate_target(model, platform)
        count = len(model.acknowledged)
        model.add_server(S4)
        while not model.promotions:
            assert len(model.acknowledged) == count
            await asyncio.sleep(0.01)
    assert model.lost == []


async def test_dead_primary_is_replaced_although_no_host_reaches_it():
    model, _, host = make()
    for number in range(6):
        host.add_other_host(f"10.0.0.{number}:1")
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        model.servers[S1].up = model.servers[S1].is_primary = False
        await wait_until(lambda: model.promotions)
    assert model.lost == []


async def test_change_that_takes_an_open_lease_is_fenced_before_it_is_released():
    """Failure 2: a release alone would forget the earlier holder's request."""
    model, platform, host = make()
    (key, lease), *_ = platform.leases.items()
    platform.leases[key] = replace(lease, open=True, holder="host-9", target=S2)
    model.servers[S2].up = False
    async with running(host), writing(model):
        await wait_until(lambda: host.group.primary_state.primary == S1)
        changer = host.changer
        await changer.lease.read()
        changer.lease.current.seen_at -= LEASE_MS
        host.group.writes.unanswered = []
        host.mark_leaving("s1")
        await wait_until(lambda: not platform.leases[key].open, 12.0)
    assert platform.orders
    assert model.lost == []


async def test_server_that_an_earlier_change_left_paused_is_resumed_by_a_planned_one():
    model, _, host = make()
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        model.servers[S2].paused_term = 2
        replace_leaving(model, host)
        await wait_until(lambda: model.promotions)
        await wait_until(lambda: not model.servers[S2].paused_term)
    assert model.lost == []


async def test_gone_servers_do_not_delay_the_end_of_a_change():
    model, platform, host = make()
    async with running(host), writing(model):
        await wait_until(lambda: len(model.acknowledged) > 5)
        for number in range(4):
            gone = model.add_server(ServerId(f"gone-{number}"))
            host.group.update_server(model.list(gone, leaving=True))
            gone.up = gone.listed = False
            host.group.remove_server(gone.name)
        host.group.members.lost.clear()
        model.servers[S1].up = model.servers[S1].is_primary = False
        model.servers[S1].listed = False
        host.group.remove_server(S1)
        host.group.members.lost.clear()
        await wait_until(lambda: model.promotions)
        promoted_at = read_boot_ms()
        await wait_until(lambda: not next(iter(platform.leases.values())).open)
    assert read_boot_ms() - promoted_at < UNREACHABLE_ROUND_MS
