"""Rounds that lose a primary and the server that is ordered, their judges and draws."""

import os
import random
import re
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace

import pytest

from apricotshore.pooling.journal import EventKind, Journal

from . import cutoffs, serverlosses, targetloss
from .cutoffs import Unseen, UnseenDraws
from .failures import print_failure
from .run import REAL_LEEWAY, Result, run_seed
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
from .tcpproxy import TcpProxy
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
UNSEEN = TargetLosses(
    count=1,
    away_s=((9.0, 10.0),),
    stopped=(Stopped.NONE,),
    unseen_share=1.0,
    unseen_s=(16.0, 18.0),
)
UNSEEN_CASES = {
    4343: replace(UNSEEN, unseen=(Unseen.CUT_OFF,)),
    4344: replace(UNSEEN, unseen=(Unseen.BACK,)),
}
RULES = ("LOST", "LATE-ACK", "LATE-BY-SERVER", "SHORT", "WAITS")


def play(seed: int, losses: TargetLosses, folder: Path) -> tuple[Result, list[str]]:
    """Play a seed; return the result and what broke a promise."""
    result = run_seed(
        seed,
        0.0,
        hosts=4,
        groups=6,
        callers=48,
        folder=folder,
        rounds=losses,
        leeway={"has_earlier_life": False},
    )
    print_failure(result)
    return result, [v for v in result.violations if any(rule in v for rule in RULES)]


@pytest.mark.timeout(120)
@pytest.mark.parametrize("seed", CASES)
def test_shorter_log_is_not_ordered_once_the_ordered_server_is_lost(seed, tmp_path):
    result, found = play(seed, CASES[seed], tmp_path)
    assert found == []
    assert result.promotions >= 6


@pytest.mark.timeout(120)
@pytest.mark.parametrize("seed", UNSEEN_CASES)
def test_commit_of_a_server_that_no_host_saw_is_lost_with_its_primary(seed, tmp_path):
    _, found = play(seed, UNSEEN_CASES[seed], tmp_path)
    assert found == []
    notes = (tmp_path / "notes.txt").read_text()
    assert len(re.findall(r" lacks [1-9]\d* commits", notes)) == 6


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


@pytest.mark.parametrize("kind", list(Unseen))
async def test_hidden_server_is_seen_by_hosts_or_store(kind, monkeypatch):
    group, seen = make_group(REAL_LEEWAY), []
    server, third, cluster = (
        group.servers["g-2"],
        group.servers["g-3"],
        make_cluster(group),
    )
    proxy, served = TcpProxy(target=1), SimpleNamespace(drop_connections=lambda: None)
    cluster.hosts[0].server_proxies = {"g-2": proxy}
    cluster.servers = {"g-2": served}
    draws = UnseenDraws(kind=kind, seconds=12.0, heartbeat_s=0.6, lost_after_s=0.0)

    async def sleep(seconds: float) -> None:
        seen.append((round(seconds, 3), server.up, server.unlisted, proxy.silent_to))

    monkeypatch.setattr(cutoffs.asyncio, "sleep", sleep)
    async with cutoffs.hide(cluster, group, server, third, draws):
        assert server.up and server.unlisted and third.receive_paused
        assert proxy.silent_from == (kind is Unseen.CUT_OFF)
    is_cut = kind is Unseen.CUT_OFF
    assert seen == [(3.0, is_cut, False, is_cut), (9.0, is_cut, True, is_cut)]
    assert not (server.unlisted or proxy.silent_to or third.receive_paused)


@pytest.mark.parametrize("promotes_frozen", [True, False])
def test_promotion_of_a_frozen_server(promotes_frozen):
    leeway = draw_loss_leeway(REAL_LEEWAY, 1)
    group = make_group(leeway)
    group.leeway = replace(leeway, promotes_frozen=promotes_frozen)
    group.servers["g-2"].silent = True
    group.promote("g-2")
    assert group.promotions == promotes_frozen


def test_draws_belong_to_the_seed():
    texts = [
        f"{draw_play(losses, rng)} {draw_stop(losses, rng)}"
        for losses in (TargetLosses(count=1), UNSEEN)
        for rng in (random.Random(1), random.Random(1), random.Random(2))
    ]
    assert texts[0] == texts[1] != texts[2]
    assert texts[3] == texts[4] != texts[5]
    assert "unseen for" in texts[3]


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
