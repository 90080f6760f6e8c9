"""Stops of the whole fleet amid changes of all primaries at once (issue 40).

Series overlap: the next one may begin before the last has settled.
"""

import asyncio
import json
import random
import signal
import sys
from collections import Counter
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from pathlib import Path

from .changes import find_holder, wait_until
from .faults import Cluster
from .fleet import LEAVE_S, Host
from .model import Group, Leeway, TargetStops, now
from .releases import Event, Releases

CONNECTIONS = 22
# One way, between data centres.
NEAR_S = 0.0014
FAR_S = 0.012
FAR_ZONE = "c"
# The longer ones end between an order and its effect.
SILENCE_S = ((0.5, 2.0), (1.5, 3.2))
# What is aimed at a call of the promotion API comes this long after it.
AIMED_SHARE = 0.5
CALL_TIMEOUT_S = 4.0
BACK_AFTER_CALL_S = (0.0, 0.9)
STOP_AFTER_CALL_S = (0.0, 0.3)
# Silence from which on a change is asked for.
ASKING_S = 0.7
CRASH_S = (0.5, 6.0)
DRAIN_S = (LEAVE_S, LEAVE_S + 2.0)
START_SPREAD_S = (0.0, 0.1)
STOP_AFTER_S = (0.0, 2.5)
STOP_SPACINGS_S = (0.0, 0.1, 0.3, 0.6)
STOP_SIGNALS = (signal.SIGTERM,) * 4 + (signal.SIGKILL,)
AWAY_S = ((0.1, 1.0), (1.0, 4.0), (4.0, 12.0))
AWAY_SPREAD_S = (0.0, 2.0)
BEFORE_S = (0.0, 9.0)
GAP_S = ((2.0, 7.0), (7.0, 14.0), (14.0, 22.0))
SETTLE_TIMEOUT_S = 30.0
WRITE_SHARE = 0.9
STALL_POLL_S = 0.02
STALL_S = 0.2
ASKED = "asks for a change"


@dataclass(frozen=True, kw_only=True)
class FleetStops:
    """What is played.

    Parameters
    ----------
    count
        Number of series.
    busy
        Number of busy processes beside.
    write_share
        Share of the callers' statements that write.
    kind
        Name of the only kind of trouble, empty for all of them.
    stop_signals
        What hosts are stopped with.
    aimed_share
        Share of the stops that are aimed at a call of the promotion API.
    """

    count: int
    busy: int = 0
    write_share: float = WRITE_SHARE
    kind: str = ""
    stop_signals: tuple[signal.Signals, ...] = STOP_SIGNALS
    aimed_share: float = AIMED_SHARE

    def find_delay(self, here: str, there: str) -> float:
        """Return the delay from one data centre to another, in seconds."""
        if here == there:
            return 0.0
        return FAR_S if FAR_ZONE in (here, there) else NEAR_S


def draw_leeway(base: Leeway, seed: int) -> Leeway:
    """Draw what servers do in the run of a seed where no page says it."""
    rng = random.Random(f"{seed}leeway")
    return replace(
        base,
        promotion_s=(0.9, 1.1),
        commits_after_step_down=True,
        freezes_when_silent=True,
        has_earlier_life=True,
        most_in_first_term=0,
        receive_s=(0.055, 0.065),
        slots=3,
        queue=24,
        handshake_s=0.012,
        carries_out_queued=rng.random() < 0.5,
        effect_ends_pauses=rng.random() < 0.5,
        leads_after_crash=rng.random() < 0.8,
        promotes_stepped_down=rng.random() < 0.5,
        target_stops=rng.choice(list(TargetStops)),
        command_s=rng.choice([(0.0, 0.01), (0.01, 0.1)]),
        call_ends_pauses=rng.random() < 0.4,
        unanswered_promotion_share=rng.choice([0.0, 0.0, 0.15, 0.3]),
        unanswered_s=(1.0, 12.0),
        learning_ends_pauses=rng.random() < 0.4,
    )


async def play_fleet_stops(releases: Releases, stops: FleetStops) -> list[str]:
    """Play overlapping series; return a line for each."""
    cluster, rng = releases.cluster, releases.random
    fault = cluster.fault_log.begin("fleet-stops", "")
    leeway = next(iter(cluster.groups.values())).leeway
    played = [f"{now():.3f} {leeway}"]
    for group in cluster.groups.values():
        group.draw_delays(rng)
    # An open lease of an earlier life keeps the callers of its group waiting.
    await asyncio.sleep(rng.uniform(*BEFORE_S))
    watch = asyncio.create_task(_note_stalls(cluster))
    async with _busy(stops.busy), asyncio.TaskGroup() as series:
        for number in range(1, stops.count + 1):
            own = replace(releases, random=random.Random(rng.random()))
            kinds = [k for k in KINDS if stops.kind in ("", k.__name__)]
            kind = own.random.choice(kinds)
            line = f"series {number}: {kind.__name__}"
            cluster.checker.add_note(line)
            played.append(f"{now():.3f} {line}")
            series.create_task(_play_series(own, kind, stops))
            if number < stops.count:
                await asyncio.sleep(rng.uniform(*rng.choice(GAP_S)))
    settled = await wait_until(lambda: _has_settled(cluster), SETTLE_TIMEOUT_S)
    cluster.checker.add_note("settled" if settled else "not settled in time")
    fault.ended_at = now()
    watch.cancel()
    return played


async def _note_stalls(cluster: Cluster) -> None:
    """Note when this process, and so each server and the store, stood still."""
    while True:
        began = now()
        await asyncio.sleep(STALL_POLL_S)
        if (stalled_s := now() - began - STALL_POLL_S) > STALL_S:
            cluster.checker.add_note(f"all servers stood still for {stalled_s:.2f} s")


@asynccontextmanager
async def _busy(count: int) -> AsyncIterator[None]:
    """Keep processes busy beside the hosts."""
    command = (sys.executable, "-c", "while True: pass")
    processes = [await asyncio.create_subprocess_exec(*command) for _ in range(count)]
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            await process.wait()


async def _play_series(releases: Releases, kind: Event, stops: FleetStops) -> None:
    async with asyncio.TaskGroup() as tasks:
        for group in releases.cluster.groups.values():
            own = replace(releases, random=random.Random(releases.random.random()))
            tasks.create_task(_play(own, group, kind))
        tasks.create_task(_stop_hosts(releases.cluster, releases.random, stops))


async def _play(releases: Releases, group: Group, kind: Event) -> None:
    await asyncio.sleep(releases.random.uniform(*START_SPREAD_S))
    primary = group.find_primary()
    if primary is None or not primary.up or primary.leaving or primary.silent:
        group.checker.add_note(f"{kind.__name__} of {group.name}: no primary is up")
        return
    await kind(releases, group)


async def _stop_hosts(cluster: Cluster, rng: random.Random, stops: FleetStops) -> None:
    """Stop the hosts; each starts again after a time of its own."""
    stop_signal = rng.choice(stops.stop_signals)
    spacing_s = rng.choice(STOP_SPACINGS_S)
    after_s, away_s = rng.uniform(*STOP_AFTER_S), rng.uniform(*rng.choice(AWAY_S))
    is_aimed = rng.random() < stops.aimed_share
    after_call_s = rng.uniform(*STOP_AFTER_CALL_S)
    order = rng.sample(cluster.hosts, len(cluster.hosts))
    delays = [away_s + rng.uniform(*AWAY_SPREAD_S) for _ in order]
    if is_aimed:
        await _wait_for_call(cluster, list(cluster.groups))
    await asyncio.sleep(after_call_s if is_aimed else after_s)
    for host, delay_s in zip(order, delays, strict=True):
        stop_host(cluster, host, stop_signal, delay_s)
        await asyncio.sleep(spacing_s)


async def _wait_for_call(cluster: Cluster, groups: list[str]) -> None:
    """Wait until the promotion API is called for one of some groups."""
    calls = cluster.store.calls
    before = sum(calls[name] for name in groups)
    await wait_until(
        lambda: sum(calls[name] for name in groups) > before, CALL_TIMEOUT_S
    )


async def _be_silent(releases: Releases, group: Group, what: str) -> None:
    """Note the start of a silence and wait for its end, aimed at a call or not."""
    rng = releases.random
    silence_s = rng.uniform(*rng.choice(SILENCE_S))
    is_aimed = rng.random() < AIMED_SHARE
    after_call_s = rng.uniform(*BACK_AFTER_CALL_S)
    asks = f": {ASKED}" * (is_aimed or silence_s >= ASKING_S)
    until = f"{after_call_s:.2f} s after a call" if is_aimed else f"{silence_s:.2f} s"
    group.checker.add_note(f"{what} for {until}{asks}")
    if is_aimed:
        await _wait_for_call(releases.cluster, [group.name])
    await asyncio.sleep(after_call_s if is_aimed else silence_s)


def stop_host(
    cluster: Cluster, host: Host, number: signal.Signals, away_s: float
) -> None:
    """Stop a host that runs; it starts again after a time."""
    if not host.is_running or host.stopping:
        return
    cluster.checker.add_note(f"{number.name} of {host.name}, away {away_s:.2f} s")
    host.restart_delay_s = away_s
    host.send_signal(number)


def _has_settled(cluster: Cluster) -> bool:
    """Return whether all groups are led, none is changed, and all hosts are ready."""
    for group in cluster.groups.values():
        primary = group.find_primary()
        if primary is None or primary.leaving or find_holder(cluster, group):
            return False
    return all(h.is_running and h.failed_checks == 0 for h in cluster.hosts)


def count_changes(folder: Path, notes: Iterable[str], groups: dict[str, Group]) -> str:
    """Return how many changes hosts began, by reason, and how many were asked for."""
    began: Counter[str] = Counter()
    for path in folder.glob("h*.log"):
        for line in path.read_text(errors="replace").splitlines():
            if '"phase":"began"' in line:
                began[json.loads(line)["reason"]] += 1
    asked = sum(ASKED in note for note in notes)
    close = sum(group.close_promotions for group in groups.values())
    commits = sum(a.at > 0.0 for g in groups.values() for a in g.acknowledged)
    unheard = sum(len(group.counted) for group in groups.values())
    reasons = ", ".join(f"{n} {reason}" for reason, n in began.most_common())
    stalls = sum("all servers stood still" in note for note in notes)
    return (
        f"began {reasons or 'none'}; asked {asked}; {close} close promotions; "
        f"{commits} commits and {unheard} unheard; {stalls} stalls of the soak"
    )


# -- kinds of trouble --


async def leave(releases: Releases, group: Group) -> None:
    """Have the primary leave, and replace it in time."""
    drain_s = releases.random.uniform(*DRAIN_S)
    primary = group.find_primary()
    if primary is None:
        return
    group.checker.add_note(f"{primary.name} leaves: {ASKED}")
    primary.leaving = True
    await asyncio.sleep(drain_s)
    if group.servers.get(primary.name) is primary and primary.up:
        await releases.cluster.replace_server(group, primary)
        group.draw_delays(releases.random)
        group.checker.add_note(f"{primary.name} has left")


async def crash(releases: Releases, group: Group) -> None:
    """Crash the primary; it comes back with its log."""
    away_s = releases.random.uniform(*CRASH_S)
    primary = group.find_primary()
    if primary is None:
        return
    group.checker.add_note(f"{primary.name} crashes for {away_s:.2f} s: {ASKED}")
    primary.up = False
    primary.paused_term = 0
    primary.down_since = now()
    releases.cluster.servers[primary.name].drop_connections()
    await asyncio.sleep(away_s)
    group.restart(primary)


async def freeze(releases: Releases, group: Group) -> None:
    """Freeze the primary; it goes on where it was."""
    primary = group.find_primary()
    if primary is None:
        return
    primary.silent = primary.partitioned = True
    await _be_silent(releases, group, f"{primary.name} freezes")
    primary.silent = primary.partitioned = False
    group.checker.add_note(f"{primary.name} goes on")


async def mute(releases: Releases, group: Group) -> None:
    """Cut the primary from all hosts; it goes on with its replicas."""
    primary = group.find_primary()
    if primary is None:
        return
    proxies = [host.server_proxies[primary.name] for host in releases.cluster.hosts]
    for proxy in proxies:
        proxy.silent_to = proxy.silent_from = True
    await _be_silent(releases, group, f"{primary.name} is cut")
    for proxy in proxies:
        proxy.silent_to = proxy.silent_from = False
    group.checker.add_note(f"{primary.name} is reached again")


KINDS: tuple[Event, ...] = (freeze, freeze, mute, mute, leave, leave, crash)
