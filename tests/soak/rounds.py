"""Rounds that change the primaries of all groups at once, and stop all hosts amid it.

Servers, store and platform keep their state through all rounds. The draws belong to
a seed, each group's of a round are its own, and none depends on what hosts do.
"""

import asyncio
import random
import signal
from dataclasses import dataclass, replace

from .callers import WRITE_SHARE
from .changes import cut_primary, find_holder, wait_until
from .faultlog import Fault
from .faults import Cluster
from .fleet import LEAVE_S
from .model import Group, now
from .releases import Event, Releases

STOP_AFTER_S = (0.0, 1.5)
# Hosts are stopped all at once, or one after the other.
STOP_SPACINGS_S = (0.0, 0.1)
STOP_SIGNALS = (signal.SIGTERM, signal.SIGTERM, signal.SIGKILL)
START_SPREAD_S = (0.0, 0.2)
AWAY_S = (1.0, 7.0)
REPLACED_SHARE = 0.5
DRAIN_S = (LEAVE_S, LEAVE_S + 2.0)
LEAVE_TIMEOUT_S = 8.0
# From the lease to the cut, and from the step-down to its end.
CUT_BEFORE_S = (0.0, 0.1)
CUT_AFTER_S = (0.5, 1.5)
SETTLE_TIMEOUT_S = 10.0
# Callers write in peace for this long, so that each round begins with new commits.
CALM_S = (1.5, 3.0)
BY_THE_CLOCK_WRITES = 0.9


@dataclass(frozen=True, kw_only=True)
class Rounds:
    """What is played.

    Parameters
    ----------
    count
        Number of rounds.
    kind
        Name of the only kind of change, empty for all of them.
    stops_hosts
        Whether the hosts are stopped amid the changes.
    write_share
        Share of the callers' statements that write.
    by_the_clock
        Whether servers hold back what runs at the step-down (issue 37).
    """

    count: int
    kind: str = ""
    stops_hosts: bool = True
    write_share: float = WRITE_SHARE
    by_the_clock: bool = False


def make_rounds_by_the_clock(count: int) -> Rounds:
    """Return planned changes amid long writes, with the leeway of issue 37."""
    return Rounds(
        count=count,
        kind=leave.__name__,
        stops_hosts=False,
        write_share=BY_THE_CLOCK_WRITES,
        by_the_clock=True,
    )


@dataclass(frozen=True, kw_only=True)
class Plan:
    """Draws of one round.

    Parameters
    ----------
    plays
        For each group the kind of its change, when it begins and its own draws.
    stop_after_s, stop_spacing_s, stop_signal
        When and how the hosts are stopped.
    order
        Draws the order in which hosts are stopped.
    calm_s
        Pause at the end.
    """

    plays: dict[str, tuple[Event, float, random.Random]]
    stop_after_s: float
    stop_spacing_s: float
    stop_signal: signal.Signals
    order: random.Random
    calm_s: float

    def __str__(self) -> str:
        """Describe the round in one line."""
        plays = ", ".join(f"{g} {p[0].__name__}" for g, p in self.plays.items())
        return (
            f"{plays}; {self.stop_signal.name} after {self.stop_after_s:.2f} s, "
            f"{self.stop_spacing_s} s apart"
        )


def draw_plan(rounds: Rounds, groups: list[str], rng: random.Random) -> Plan:
    """Draw a round."""
    kinds = [k for k in KINDS if rounds.kind in ("", k.__name__)]
    kinds = kinds or [k for k in NAMED_KINDS if rounds.kind == k.__name__]
    return Plan(
        plays={
            name: (
                rng.choice(kinds),
                rng.uniform(*START_SPREAD_S),
                random.Random(rng.random()),
            )
            for name in groups
        },
        stop_after_s=rng.uniform(*STOP_AFTER_S),
        stop_spacing_s=rng.choice(STOP_SPACINGS_S),
        stop_signal=rng.choice(STOP_SIGNALS),
        order=random.Random(rng.random()),
        calm_s=rng.uniform(*CALM_S),
    )


async def play_rounds(releases: Releases, rounds: Rounds) -> list[str]:
    """Play rounds on end; return a line for each."""
    cluster = releases.cluster
    played = []
    for number in range(1, rounds.count + 1):
        plan = draw_plan(rounds, list(cluster.groups), releases.random)
        line = f"round {number}: {plan}"
        cluster.checker.add_note(line)
        played.append(f"{now():.3f} {line}")
        await _play_round(releases, rounds, plan)
    return played


async def _play_round(releases: Releases, rounds: Rounds, plan: Plan) -> None:
    cluster = releases.cluster
    fault = cluster.fault_log.begin("round", "")
    # A host that is not stopped need not have restarted.
    lowest = 1 if rounds.stops_hosts else 0
    restarts = {host.name: host.restarts + lowest for host in cluster.hosts}
    stops: list[Fault] = []
    try:
        async with asyncio.TaskGroup() as tasks:
            for name, (play, after_s, rng) in plan.plays.items():
                own = replace(releases, random=rng)
                tasks.create_task(_play(own, cluster.groups[name], play, after_s))
            if rounds.stops_hosts:
                tasks.create_task(_stop_hosts(cluster, plan, stops))
        settled = await wait_until(
            lambda: _has_settled(cluster, restarts), SETTLE_TIMEOUT_S
        )
        cluster.checker.add_note("settled" if settled else "not settled in time")
    finally:
        for each in (fault, *stops):
            each.ended_at = now()
        for group in cluster.groups.values():
            for server in group.servers.values():
                server.leaving = False
    await asyncio.sleep(plan.calm_s)


async def _play(releases: Releases, group: Group, play: Event, after_s: float) -> None:
    group.draw_delays(releases.random)
    await asyncio.sleep(after_s)
    primary = group.find_primary()
    name = primary.name if primary else "no primary"
    group.checker.add_note(f"{play.__name__} of {group.name}: {name}")
    if primary is not None:
        await play(releases, group)
        group.checker.add_note(f"{play.__name__} of {group.name} is over")


async def _stop_hosts(cluster: Cluster, plan: Plan, stops: list[Fault]) -> None:
    await asyncio.sleep(plan.stop_after_s)
    is_planned = plan.stop_signal is signal.SIGTERM
    kind = "stop" if is_planned else "kill"
    for host in plan.order.sample(cluster.hosts, len(cluster.hosts)):
        cluster.checker.add_note(f"{kind} of {host.name}")
        stops.append(cluster.fault_log.begin(kind, host.name, planned=is_planned))
        host.send_signal(plan.stop_signal)
        await asyncio.sleep(plan.stop_spacing_s)


def _has_settled(cluster: Cluster, restarts: dict[str, int]) -> bool:
    """Return whether all groups are led, none is changed, and all hosts are ready."""
    for group in cluster.groups.values():
        primary = group.find_primary()
        if primary is None or primary.leaving or find_holder(cluster, group):
            return False
    return all(
        host.restarts >= restarts[host.name] and host.failed_checks == 0
        for host in cluster.hosts
    )


# -- kinds of changes --


async def leave(releases: Releases, group: Group) -> None:
    """Have the primary leave; it may stay after all, or be replaced in time."""
    rng = releases.random
    is_replaced, drain_s = rng.random() < REPLACED_SHARE, rng.uniform(*DRAIN_S)
    primary = group.find_primary()
    if primary is None:
        return
    primary.leaving = True
    if not is_replaced:
        await wait_until(lambda: not primary.is_primary, LEAVE_TIMEOUT_S)
        return
    await asyncio.sleep(drain_s)
    await releases.cluster.replace_server(group, primary)
    group.checker.add_note(f"{primary.name} has left")


async def leave_cut(releases: Releases, group: Group) -> None:
    """Have the primary leave while it is cut from its replicas, so commits wait."""
    rng = releases.random
    before_s, after_s = rng.uniform(*CUT_BEFORE_S), rng.uniform(*CUT_AFTER_S)
    primary = group.find_primary()
    if primary is None:
        return
    primary.leaving = True
    await wait_until(lambda: bool(find_holder(releases.cluster, group)), LEAVE_S)
    await asyncio.sleep(before_s)
    primary.partitioned = True
    try:
        await wait_until(lambda: not primary.is_primary, LEAVE_TIMEOUT_S)
        await asyncio.sleep(after_s)
    finally:
        primary.partitioned = False
        group.checker.add_note(f"{primary.name} reaches its replicas again")


async def crash(releases: Releases, group: Group) -> None:
    """Crash the primary; it comes back with its log."""
    away_s = releases.random.uniform(*AWAY_S)
    primary = group.find_primary()
    if primary is None:
        return
    primary.up = False
    primary.paused_term = 0
    primary.down_since = now()
    releases.cluster.servers[primary.name].drop_connections()
    try:
        await asyncio.sleep(away_s)
    finally:
        group.restart(primary)


async def go_silent(releases: Releases, group: Group) -> None:
    """Silence the primary to hosts and to the other servers."""
    away_s = releases.random.uniform(*AWAY_S)
    primary = group.find_primary()
    if primary is None:
        return
    primary.silent = primary.partitioned = True
    try:
        await asyncio.sleep(away_s)
    finally:
        primary.silent = primary.partitioned = False


async def hide_from_hosts(releases: Releases, group: Group) -> None:
    """Cut some hosts, but not all, from the primary."""
    rng, hosts = releases.random, releases.cluster.hosts
    away_s = rng.uniform(*AWAY_S)
    chosen = rng.sample(hosts, rng.randint(1, len(hosts) - 1))
    primary = group.find_primary()
    if primary is None:
        return
    proxies = [host.server_proxies[primary.name] for host in chosen]
    names = "+".join(host.name for host in chosen)
    group.checker.add_note(f"{primary.name} is silent to {names}")
    for proxy in proxies:
        proxy.silent_to = proxy.silent_from = True
    try:
        await asyncio.sleep(away_s)
    finally:
        for proxy in proxies:
            proxy.silent_to = proxy.silent_from = False


KINDS: tuple[Event, ...] = (
    leave,
    leave,
    crash,
    go_silent,
    cut_primary,
    hide_from_hosts,
)
# Played only by name, as the draws of a seed are of the others.
NAMED_KINDS: tuple[Event, ...] = (leave_cut,)
