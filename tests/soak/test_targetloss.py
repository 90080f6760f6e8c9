"""Rounds that lose a primary and the server that is ordered, their judges and draws."""

import os
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest

from apricotshore.pooling.journal import EventKind, Journal

from . import serverlosses, targetloss
from .run import REAL_LEEWAY, run_seed
from .serverlosses import Loss, LossDraws
from .shortpromotions import list_short_promotions
from .targetloss import (
    Stopped,
    TargetLosses,
    _check_led,
    draw_loss_leeway,
    draw_play,
    draw_stop,
)
from .test_model import make_group, make_store

# Long enough for the entries to run out, and for a change by the next holder.
AWAY_S = (6.0, 7.0)
CASES = {
    4341: TargetLosses(
        count=1,
        away_s=(AWAY_S,),
        first=(Loss.KILLED,),
        target=(Loss.KILLED,),
        stopped=(Stopped.NONE,),
    ),
    4342: TargetLosses(
        count=1, away_s=(AWAY_S,), first=(Loss.LEAVES,), stopped=(Stopped.ALL,)
    ),
}
RULES = ("LOST", "LATE-ACK", "LATE-BY-SERVER", "SHORT", "WAITS")


@pytest.mark.timeout(120)
@pytest.mark.parametrize("seed", CASES)
def test_shorter_log_is_not_ordered_once_the_ordered_server_is_lost(seed, tmp_path):
    result = run_seed(
        seed,
        0.0,
        hosts=4,
        groups=6,
        callers=48,
        folder=tmp_path,
        rounds=CASES[seed],
        leeway={"has_earlier_life": False},
    )
    found = [v for v in result.violations if any(rule in v for rule in RULES)]
    assert found == []
    assert result.promotions >= 6


def make_cluster(group) -> SimpleNamespace:
    return SimpleNamespace(
        hosts=[SimpleNamespace(is_running=True)], groups={"g": group}
    )


@pytest.mark.parametrize("is_led", [True, False])
async def test_group_without_a_primary_waits_too_long(is_led, monkeypatch):
    monkeypatch.setattr(targetloss, "LED_WITHIN_S", 0.1)
    group = make_group(REAL_LEEWAY)
    group.leader.is_primary = is_led
    await _check_led(make_cluster(group), group)
    assert ["WAITS" in v for v in group.checker.violations] == [True] * (not is_led)


async def test_entry_of_a_frozen_server_runs_out_and_is_back(monkeypatch):
    monkeypatch.setattr(serverlosses, "EXPIRY_S", 0.1)
    group = make_group(REAL_LEEWAY)
    server, seen = group.servers["g-1"], []
    draws = LossDraws(kind=Loss.FROZEN, away_s=0.2, heartbeat_s=0.0)

    async def sleep(seconds: float) -> None:
        seen.append((round(seconds, 3), server.silent, server.unlisted))

    monkeypatch.setattr(serverlosses.asyncio, "sleep", sleep)
    await serverlosses.lose(make_cluster(group), group, server, draws, lambda: False)
    assert seen == [(0.1, True, False), (0.1, True, True)]
    assert not (server.silent or server.partitioned or server.unlisted)


@pytest.mark.parametrize("promotes_frozen", [True, False])
def test_promotion_of_a_frozen_server(promotes_frozen):
    leeway = draw_loss_leeway(REAL_LEEWAY, 1)
    group = make_group(leeway)
    group.leeway = replace(leeway, promotes_frozen=promotes_frozen)
    group.servers["g-2"].silent = True
    group.promote("g-2")
    assert group.promotions == promotes_frozen


def test_draws_belong_to_the_seed():
    losses = TargetLosses(count=1)
    texts = [
        f"{draw_play(losses, rng)} {draw_stop(losses, rng)}"
        for rng in (random.Random(1), random.Random(1), random.Random(2))
    ]
    assert texts[0] == texts[1] != texts[2]


def test_order_of_a_shorter_log_is_found_in_the_log_of_its_host(tmp_path):
    path = tmp_path / "h0.log"
    journal = Journal(host="h0", descriptor=os.open(path, os.O_WRONLY | os.O_CREAT))
    for outcome in ("open", "without-effect"):
        details = {"short": 12, "to": "g-3@9.3097", "by": outcome}
        journal.record(EventKind.PROMOTION, group="g", **details)
    journal.record(EventKind.PROMOTION, group="g", to="g-2@9.3109")
    journal.record(EventKind.PRIMARY_CHANGE, group="g", to="g-2")
    journal.flush()
    found = list_short_promotions(path.read_text().splitlines())
    assert len(found) == 2
    assert all('"short":12' in line and "g-3@9.3097" in line for line in found)


def test_lease_names_members_by_the_addresses_of_the_host_that_reads_it():
    store = make_store(REAL_LEEWAY)
    store.addresses = {("h0", "g-1"): "h0:1", ("h1", "g-1"): "h1:1"}
    members = [{"id": "g-1", "address": "h0:1"}]
    read = store._substitute_members("h1", {"spec": {"members": members}})
    assert read["spec"]["members"] == [{"id": "g-1", "address": "h1:1"}]
    assert members == [{"id": "g-1", "address": "h0:1"}]
