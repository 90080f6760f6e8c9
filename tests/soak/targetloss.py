"""Rounds that lose each primary, then the server that is ordered (issue 43).

The third server is some commits behind, so that the two that are lost hold the last
ones alone. Each of them comes back with its log.
"""

import asyncio
import random
import signal
from dataclasses import dataclass, field, replace
from enum import Enum

from .changes import find_holder, wait_until
from .cutoffs import UNSEEN_S, Unseen, UnseenDraws, draw_unseen, hide
from .faults import Cluster
from .fleet import LEAVE_S
from .fleetstops import WRITE_SHARE, draw_leeway, stop_host
from .model import Group, Leeway, Server, now
from .releases import Releases
from .serverlosses import HEARTBEAT_S, ORDER_TIMEOUT_S, Loss, LossDraws, lose

BEHIND = (1, 20)
BEHIND_TIMEOUT_S = 6.0
# Connections are reset this long before the loss: servers count what waits on them.
RESET_BEFORE_S = 0.1
RESET_SHARE = 0.7
START_SPREAD_S = (0.0, 0.3)
AFTER_ORDER_S = (0.0, 1.2)
# Wait for an order after a lost primary is back.
LATE_ORDER_S = 3.0
AWAY_S = ((1.0, 4.0), (4.0, 12.0), (12.0, 30.0))
SHORT_DRAIN_SHARE = 0.5
DRAIN_S = (LEAVE_S, LEAVE_S + 2.0)
STOP_AFTER_S = (0.0, 3.0)
STOP_AWAY_S = (0.1, 4.0)
STOP_SIGNALS = (signal.SIGTERM, signal.SIGKILL)
SETTLE_TIMEOUT_S = 30.0
CALM_S = (1.0, 2.0)
# 6 s until a lease may be taken, 5.5 s of a change, and its promotion.
LED_WITHIN_S = 15.0
POLL_S = 0.02


class Stopped(Enum):
    """Which hosts are stopped after the loss of a server that was ordered."""

    NONE = "no host"
    HOLDER = "the holder"
    ALL = "all hosts"


FIRST_LOSSES = (Loss.KILLED, Loss.KILLED, Loss.FROZEN, Loss.LEAVES)
TARGET_LOSSES = (Loss.KILLED, Loss.KILLED, Loss.FROZEN)
STOPPED = (Stopped.NONE, Stopped.NONE, Stopped.HOLDER, Stopped.ALL)


@dataclass(frozen=True, kw_only=True)
class TargetLosses:
    """What is played.

    Parameters
    ----------
    count
        Number of rounds.
    write_share
        Share of the callers' statements that write.
    away_s
        Ranges of the time after which a lost server is back.
    first, target
        Ways in which the primary and the ordered server are lost.
    stopped
        Which hosts may be stopped.
    unseen_share
        Share of the plays that lose a server unseen by the hosts, before any order.
    unseen, unseen_s
        Why no host sees it, and for how long before the loss.
    """

    count: int
    write_share: float = WRITE_SHARE
    away_s: tuple[tuple[float, float], ...] = AWAY_S
    first: tuple[Loss, ...] = FIRST_LOSSES
    target: tuple[Loss, ...] = TARGET_LOSSES
    stopped: tuple[Stopped, ...] = STOPPED
    unseen_share: float = 0.0
    unseen: tuple[Unseen, ...] = tuple(Unseen)
    unseen_s: tuple[float, float] = UNSEEN_S


@dataclass(frozen=True, kw_only=True)
class Play:
    """Draws of one group in one round.

    Parameters
    ----------
    start_s
        When it begins.
    third
        Draws the server that is behind.
    behind
        How many commits it is behind, at least.
    resets
        Whether connections to the primary are reset just before its loss.
    first, target
        How the primary and the ordered server are lost.
    after_order_s
        From the acceptance of the order to the loss of its server.
    unseen
        How the second server acknowledges unseen and is lost with the primary, before
        any order; None where the ordered server is lost.
    """

    start_s: float
    third: random.Random
    behind: int
    resets: bool
    first: LossDraws
    target: LossDraws
    after_order_s: float
    unseen: UnseenDraws | None = None

    def __str__(self) -> str:
        """Describe the play in one line."""
        if self.unseen is not None:
            away = f"{self.first.away_s:.1f} s and {self.target.away_s:.1f} s"
            return f"a replica {self.unseen}; back after {away}"
        return (
            f"primary {self.first}; ordered server {self.target}, lost "
            f"{self.after_order_s:.2f} s after its order"
        )


@dataclass(frozen=True, kw_only=True)
class HostStop:
    """Draws of the stops of hosts in one round."""

    which: Stopped
    number: signal.Signals
    after_s: float
    away_s: float


@dataclass(kw_only=True)
class FirstLoss:
    """First loss of an ordered server in a round.

    Parameters
    ----------
    happened
        Set once it has happened.
    group
        Name of its group.
    """

    happened: asyncio.Event = field(default_factory=asyncio.Event)
    group: str = ""


def draw_loss_leeway(base: Leeway, seed: int) -> Leeway:
    """Draw what servers do in the run of a seed where no page says it."""
    rng = random.Random(f"{seed}frozen")
    return replace(draw_leeway(base, seed), promotes_frozen=rng.random() < 0.5)


def draw_play(losses: TargetLosses, rng: random.Random) -> Play:
    """Draw what one group meets in one round."""
    is_short, drain_s = rng.random() < SHORT_DRAIN_SHARE, rng.uniform(*DRAIN_S)
    end_after_s = rng.uniform(*AFTER_ORDER_S)
    first, target = (
        LossDraws(
            kind=rng.choice(kinds),
            away_s=rng.uniform(*rng.choice(losses.away_s)),
            heartbeat_s=rng.uniform(0.0, HEARTBEAT_S),
        )
        for kinds in (losses.first, losses.target)
    )
    if first.kind is Loss.LEAVES:
        end_s = None if is_short else drain_s
        first = replace(first, drain_s=end_s, end_after_s=end_after_s)
    start_s, third = rng.uniform(*START_SPREAD_S), random.Random(rng.random())
    behind, resets = rng.randint(*BEHIND), rng.random() < RESET_SHARE
    after_order_s, unseen = rng.uniform(*AFTER_ORDER_S), None
    if losses.unseen_share and rng.random() < losses.unseen_share:
        unseen = draw_unseen(losses.unseen, losses.unseen_s, rng)
    return Play(
        start_s=start_s,
        third=third,
        behind=behind,
        resets=resets,
        first=first,
        target=target,
        after_order_s=after_order_s,
        unseen=unseen,
    )


def draw_stop(losses: TargetLosses, rng: random.Random) -> HostStop:
    """Draw which hosts are stopped in one round."""
    return HostStop(
        which=rng.choice(losses.stopped),
        number=rng.choice(STOP_SIGNALS),
        after_s=rng.uniform(*STOP_AFTER_S),
        away_s=rng.uniform(*STOP_AWAY_S),
    )


async def play_target_losses(releases: Releases, losses: TargetLosses) -> list[str]:
    """Play rounds on end; return a line for each group of each."""
    cluster, rng = releases.cluster, releases.random
    fault = cluster.fault_log.begin("target-losses", "")
    played = [f"{now():.3f} {next(iter(cluster.groups.values())).leeway}"]
    for number in range(1, losses.count + 1):
        plays = {name: draw_play(losses, rng) for name in cluster.groups}
        stop, calm_s = draw_stop(losses, rng), rng.uniform(*CALM_S)
        for group in cluster.groups.values():
            group.draw_delays(rng)
        settled = await wait_until(lambda: _has_settled(cluster), SETTLE_TIMEOUT_S)
        cluster.checker.add_note("settled" if settled else "not settled in time")
        await asyncio.sleep(calm_s)
        for name, play in plays.items():
            line = f"round {number}: {name}: {play}; stops {stop.which.value}"
            cluster.checker.add_note(line)
            played.append(f"{now():.3f} {line}")
        await _play_round(cluster, plays, stop)
    fault.ended_at = now()
    return played


def _has_settled(cluster: Cluster) -> bool:
    """Return whether all servers follow a primary, and all hosts are ready."""
    return all(
        _is_led(group) and _is_whole(group) and not find_holder(cluster, group)
        for group in cluster.groups.values()
    ) and all(h.is_running and h.failed_checks == 0 for h in cluster.hosts)


def _is_led(group: Group) -> bool:
    primary = group.find_primary()
    return primary is group.leader and not primary.leaving


def _is_whole(group: Group) -> bool:
    """Return whether all servers run, and none is far behind the primary."""
    return all(
        s.up and not s.silent and s.followed_term == group.term
        for s in group.servers.values()
    )


async def _play_round(cluster: Cluster, plays: dict[str, Play], stop: HostStop) -> None:
    loss = FirstLoss()
    async with asyncio.TaskGroup() as tasks:
        stopping = tasks.create_task(_stop_hosts(cluster, loss, stop))
        async with asyncio.TaskGroup() as groups:
            for name, play in plays.items():
                groups.create_task(_play(cluster, cluster.groups[name], play, loss))
        stopping.cancel()


async def _stop_hosts(cluster: Cluster, loss: FirstLoss, stop: HostStop) -> None:
    """Stop the drawn hosts some time after the first loss of an ordered server."""
    await loss.happened.wait()
    await asyncio.sleep(stop.after_s)
    holder = find_holder(cluster, cluster.groups[loss.group])
    for host in cluster.hosts:
        is_holder = stop.which is Stopped.HOLDER and host.name == holder
        if stop.which is Stopped.ALL or is_holder:
            stop_host(cluster, host, stop.number, stop.away_s)


async def _play(cluster: Cluster, group: Group, play: Play, loss: FirstLoss) -> None:
    await asyncio.sleep(play.start_s)
    primary = group.find_primary()
    if primary is None or not _is_whole(group):
        group.checker.add_note(f"{group.name} isn't whole: nothing is played")
        return
    third = play.third.choice([s for s in group.servers.values() if s is not primary])
    if play.unseen is not None:
        await _lose_unseen(cluster, group, primary, third, play, play.unseen, loss)
        await _check_led(cluster, group)
        return
    third.receive_paused = True
    try:
        await wait_until(
            lambda: len(primary.log) - len(third.log) >= play.behind, BEHIND_TIMEOUT_S
        )
        if play.resets:
            for host in cluster.hosts:
                host.server_proxies[primary.name].reset()
        await asyncio.sleep(RESET_BEFORE_S)
        missing = primary.log[len(third.log) :]
        group.checker.add_note(f"{third.name} lacks {len(missing)} commits")
        if play.first.kind is Loss.LEAVES and missing:
            # It stays so far behind, as the primary goes on until it steps down.
            third.receive_delay_s = now() - missing[0].committed_at
            third.receive_paused = False
        await _lose_both(cluster, group, primary, third, play, loss)
    finally:
        third.receive_paused = False
    await _check_led(cluster, group)


async def _lose_unseen(
    cluster: Cluster,
    group: Group,
    primary: Server,
    third: Server,
    play: Play,
    unseen: UnseenDraws,
    loss: FirstLoss,
) -> None:
    """Lose the primary and a replica that acknowledges unseen by the hosts."""
    server = next(s for s in group.servers.values() if s not in (primary, third))
    first, second = (
        replace(draws, kind=Loss.KILLED) for draws in (play.first, play.target)
    )
    is_back = unseen.kind is Unseen.BACK
    async with asyncio.TaskGroup() as tasks:
        async with hide(cluster, group, server, third, unseen):
            await wait_until(
                lambda: len(server.log) - len(third.log) >= play.behind,
                HEARTBEAT_S if is_back else BEHIND_TIMEOUT_S,
            )
            missing = len(server.log) - len(third.log)
            group.checker.add_note(f"{third.name} lacks {missing} commits")
            tasks.create_task(lose(cluster, group, primary, first, lambda: False))
            await asyncio.sleep(unseen.lost_after_s)
            tasks.create_task(lose(cluster, group, server, second, lambda: False))
            # It has ended by the time it may be seen.
            await asyncio.sleep(0)
        if not loss.happened.is_set():
            loss.group = group.name
            loss.happened.set()


async def _lose_both(
    cluster: Cluster,
    group: Group,
    primary: Server,
    third: Server,
    play: Play,
    loss: FirstLoss,
) -> None:
    """Lose the primary, then the server that is ordered; return once both are back."""
    orders = cluster.store.accepted[group.name]
    before = len(orders)

    def is_ordered() -> bool:
        return any(name != primary.name for name in orders[before:])

    async with asyncio.TaskGroup() as tasks:
        losing = lose(cluster, group, primary, play.first, is_ordered)
        first = tasks.create_task(losing)
        await wait_until(lambda: is_ordered() or first.done(), ORDER_TIMEOUT_S)
        if not await wait_until(is_ordered, LATE_ORDER_S):
            group.checker.add_note(f"no order in {group.name}")
            return
        target = next(name for name in orders[before:] if name != primary.name)
        await asyncio.sleep(play.after_order_s)
        server = group.servers[target]
        tasks.create_task(lose(cluster, group, server, play.target, is_ordered))
        third.receive_paused = False
        if not loss.happened.is_set():
            loss.group = group.name
            loss.happened.set()


async def _check_led(cluster: Cluster, group: Group) -> None:
    """Record a violation if a whole group isn't led in time by hosts that run."""
    since = now()
    while not _is_led(group):
        await asyncio.sleep(POLL_S)
        if not all(host.is_running for host in cluster.hosts):
            since = now()
        if now() - since > LED_WITHIN_S:
            detail = (
                f"{group.name} has no primary {LED_WITHIN_S:.0f} s after all are back"
            )
            group.checker.add_violation("WAITS", detail)
            return
