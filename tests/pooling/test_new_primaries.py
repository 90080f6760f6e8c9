"""Primaries that were just promoted, full of commits that wait for their replicas."""

import asyncio
from dataclasses import dataclass

import pytest

from apricotshore.decisions.change_triggers import (
    PAUSED_MS,
    SETTLE_MS,
    STALL_LIMIT_MS,
    ChangeConditions,
    find_reason,
    is_excused,
)
from apricotshore.identifiers import ServerId
from apricotshore.pooling.pooled_connection import NoConnectionError
from apricotshore.pooling.ports import ConnectionRejectedError
from apricotshore.queries import FailureCode
from apricotshore.services.clock import read_boot_ms
from standins.in_memory import ModelConnection, ModelGroup, ModelPlatform

from .support import ModelHost, committing, running, wait_until

S1, S2, S3 = (ServerId(f"s{n}") for n in (1, 2, 3))


def make_host() -> ModelHost:
    """Return a host that has just found its primary."""
    model = ModelGroup.make()
    host = ModelHost.make("host-0", model, ModelPlatform(group=model, promote_s=0.2))
    host.group.observe_primary(S1, 1, read_boot_ms())
    return host


async def test_commits_that_wait_for_paused_replicas_have_no_new_primary_replaced():
    """The holder of the change resumes them late."""
    host = make_host()
    model = host.model
    for server in (S2, S3):
        model.servers[server].paused_term = 1
    async with running(host), committing(model, [host]) as commits:
        await asyncio.sleep(2.0)
        for server in (S2, S3):
            model.servers[server].paused_term = 0
        await wait_until(lambda: commits.told)
    assert host.platform.orders == []


async def test_new_primary_that_is_cut_off_from_its_replicas_is_replaced():
    host = make_host()
    model = host.model
    for server in (S2, S3):
        model.servers[server].partitioned = True
    async with running(host), committing(model, [host]):
        await wait_until(lambda: host.platform.orders)
    assert model.lost == []


def test_writes_to_a_former_primary_are_no_stall_of_the_new_one():
    host = make_host()
    now = read_boot_ms()
    host.group.writes.sent_at = {1: now - 900, 2: now - 900}
    host.group.observe_primary(S2, 2, now, 2)
    assert host.changer.reasons.observe_conditions().stalled_since is None


def test_stall_of_a_primary_counts_once_it_has_settled():
    found_at = 10_000
    conditions = ChangeConditions(stalled_since=found_at, found_at=found_at)
    assert find_reason(conditions, 0, found_at + STALL_LIMIT_MS) is None
    assert find_reason(conditions, 0, found_at + SETTLE_MS) == "stalled"
    assert SETTLE_MS - STALL_LIMIT_MS <= 150


def test_paused_replicas_excuse_a_stall_for_a_bounded_time():
    assert is_excused(True, 0, PAUSED_MS - 1)
    assert not is_excused(True, 0, PAUSED_MS)
    assert not is_excused(False, 0, 0)


@dataclass(kw_only=True)
class Refusing:
    """Dialer to a server that refuses connections."""

    code: FailureCode

    async def dial(
        self, server, timeout_s: float, organisation=None
    ) -> ModelConnection:
        raise ConnectionRejectedError(self.code)


@pytest.mark.parametrize(
    "code", [FailureCode.OVERLOADED, FailureCode.TOO_MANY_CONNECTIONS]
)
async def test_server_too_full_for_a_connection_is_not_silent(code):
    host = make_host()
    host.group.observe_silence(S1)
    pool = host.group.pools[S1]
    pool.dialer = Refusing(code=code)
    with pytest.raises(NoConnectionError):
        await pool.acquire({}, 0, read_boot_ms() + 80)
    assert host.group.primary_state.silent_since is None
    assert pool.load.silent_until == 0
