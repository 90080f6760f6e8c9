"""Changes of primary, with faults inside the change and at the host that runs it.

The draws belong to a seed, as those of the other faults, and are their own.
"""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from typing import Any

from .faults import Cluster
from .fleet import Host
from .model import Group, now
from .releases import Event, Releases, restart_replica
from .store import LEASES

ALL_KINDS = "all"
POLL_S = 0.005
PAUSE_S = (0.2, 1.2)
CUT_S = (1.2, 3.5)
# A cut that is aimed at a change ends this long after the step-down.
AIMED_SHARE = 0.7
AFTER_STEP_DOWN_S = (0.2, 1.1)
# In it the cut ends for one replica after the other.
HEAL_SPREAD_S = (0.2, 1.0)
STEP_DOWN_TIMEOUT_S = 5.0
# From the step-down to the crash, which is over before most promotions take effect.
CRASH_AFTER_S = (0.0, 0.1)
DOWN_S = (0.05, 0.4)
HIDDEN_S = (2.0, 5.0)
EVENT_AFTER_S = (0.3, 2.0)
MOST_SERVERS = 5
LATE_S = (1.0, 4.0)
# Longest wait for the end of a change, in which more faults may come.
SETTLE_S = 6.0
HIT_SHARES = (0.6, 0.5)
HIT_AFTER_S = (0.0, 0.4)
FREEZE_S = (0.5, 8.0)
# Freezes from which a holder wakes while the next one is at work.
LONG_FREEZE_S = (6.0, 8.0)
DELAY_S = (0.02, 0.15)
HIT_S = (0.5, 4.0)
WAYS = ((True, True), (True, False), (False, True))
Hit = Callable[[Cluster, Host, random.Random], Awaitable[None]]


async def change_primaries(releases: Releases, kind: str) -> None:
    """Play rounds of changes, one group at a time, until cancelled.

    Parameters
    ----------
    releases
        What rounds need.
    kind
        Name of the only kind of round to play, or ALL_KINDS; after a colon the name
        of the only fault at holders, or another word for none.
    """
    rng, cluster = releases.random, releases.cluster
    kind, _, hit = kind.partition(":")
    kinds = [r for r in ROUNDS if kind in (ALL_KINDS, r.__name__)]
    holder_hits = [h for h in HITS if hit in ("", h.__name__)]
    async with asyncio.TaskGroup() as hits:
        while True:
            await asyncio.sleep(rng.uniform(*PAUSE_S))
            group = rng.choice(list(cluster.groups.values()))
            play = rng.choice(kinds)
            if group.name in cluster.faulted_groups or group.find_primary() is None:
                continue
            hitting = asyncio.create_task(
                _hit_holders(releases, group, holder_hits, hits)
            )
            try:
                await _play_round(releases, group, play)
            finally:
                await _stop(hitting)


async def _stop(task: asyncio.Task[None]) -> None:
    """Cancel a task; raise its error if it has failed."""
    task.cancel()
    await asyncio.wait({task})
    if not task.cancelled():
        task.result()


async def _play_round(releases: Releases, group: Group, play: Event) -> None:
    cluster = releases.cluster
    cluster.faulted_groups[group.name] = "change"
    cluster.checker.add_note(f"round {play.__name__} of {group.name}")
    fault = cluster.fault_log.begin(f"change-{play.__name__}", "")
    group.draw_delays(releases.random)
    try:
        await play(releases, group)
        await wait_until(lambda: _has_settled(cluster, group), SETTLE_S)
    finally:
        fault.ended_at = now()
        for server in group.servers.values():
            server.leaving = False
        del cluster.faulted_groups[group.name]


async def wait_until(is_true: Callable[[], bool], timeout_s: float) -> bool:
    """Wait until a condition holds; return whether it does."""
    ends = now() + timeout_s
    while not is_true() and now() < ends:
        await asyncio.sleep(POLL_S)
    return is_true()


def _has_settled(cluster: Cluster, group: Group) -> bool:
    primary = group.find_primary()
    is_led = primary is not None and not primary.leaving
    return is_led and not find_holder(cluster, group)


def _find_lease(cluster: Cluster, group: Group) -> dict[str, Any]:
    """Return the group's open lease, an empty one without one."""
    for name, item in cluster.store.objects.get(LEASES, {}).items():
        if name.rpartition(".")[0] == group.name and item["spec"].get("open"):
            return item["spec"]
    return {}


def find_holder(cluster: Cluster, group: Group) -> str:
    """Return the name of the host that holds the open lease, '' without one."""
    return _find_lease(cluster, group).get("holder", "").partition("@")[0]


# -- rounds --


async def cut_primary(releases: Releases, group: Group) -> None:
    """Cut the primary from its replicas; the cut heals for one after the other.

    A cut that is aimed at a change heals after the step-down, for the target last.
    """
    rng = releases.random
    primary, *replicas = sorted(group.servers.values(), key=lambda s: not s.is_primary)
    rng.shuffle(replicas)
    cut_s, after_s = rng.uniform(*CUT_S), rng.uniform(*AFTER_STEP_DOWN_S)
    spread_s, is_aimed = rng.uniform(*HEAL_SPREAD_S), rng.random() < AIMED_SHARE
    primary.partitioned = True
    try:
        if not is_aimed:
            await asyncio.sleep(cut_s)
        elif await wait_until(lambda: not primary.is_primary, STEP_DOWN_TIMEOUT_S):
            await asyncio.sleep(after_s)
            target = _find_lease(releases.cluster, group).get("target")
            replicas.sort(key=lambda s: s.name == target)
        for replica in replicas:
            replica.receive_paused = True
        primary.partitioned = False
        for replica in replicas:
            replica.receive_paused = False
            group.checker.add_note(f"{replica.name} receives again from {primary.name}")
            await asyncio.sleep(spread_s / len(replicas))
    finally:
        primary.partitioned = False
        for replica in replicas:
            replica.receive_paused = False


async def crash_stepped_down(releases: Releases, group: Group) -> None:
    """Have the primary leave, and crash briefly just after it stepped down."""
    rng = releases.random
    primary = group.find_primary()
    if primary is None:
        return
    primary.leaving = True
    crash_after_s, down_s = rng.uniform(*CRASH_AFTER_S), rng.uniform(*DOWN_S)
    if not await wait_until(lambda: not primary.is_primary, STEP_DOWN_TIMEOUT_S):
        return
    await asyncio.sleep(crash_after_s)
    primary.up = False
    primary.down_since = now()
    releases.cluster.servers[primary.name].drop_connections()
    group.checker.add_note(f"{primary.name} crashes")
    try:
        await asyncio.sleep(down_s)
    finally:
        group.restart(primary)


async def hide_primary(releases: Releases, group: Group) -> None:
    """Silence the primary to some hosts while a replica restarts or joins."""
    rng, hosts = releases.random, releases.cluster.hosts
    primary = group.find_primary()
    if primary is None:
        return
    hidden_s, event_s = rng.uniform(*HIDDEN_S), rng.uniform(*EVENT_AFTER_S)
    event = rng.choice([restart_replica, _join_replica])
    chosen = rng.sample(hosts, rng.randint(1, len(hosts) - 1))
    proxies = [h.server_proxies[primary.name] for h in chosen]
    for proxy in proxies:
        proxy.silent_to, proxy.silent_from = rng.choice(WAYS)
    names = "+".join(h.name for h in chosen)
    group.checker.add_note(f"{primary.name} is silent to {names}")
    try:
        await asyncio.sleep(event_s)
        await event(releases, group)
        await asyncio.sleep(max(0.0, hidden_s - event_s))
    finally:
        for proxy in proxies:
            proxy.silent_to = proxy.silent_from = False


async def _join_replica(releases: Releases, group: Group) -> None:
    if len(group.servers) < MOST_SERVERS:
        await releases.join(group, releases.random.choice(["a", "b", "c"]))


async def leave_late(releases: Releases, group: Group) -> None:
    """Have the primary leave while promotions take effect late, without an answer."""
    store, late_s = releases.cluster.store, releases.random.uniform(*LATE_S)
    primary = group.find_primary()
    if primary is None:
        return
    store.late_promotions = primary.leaving = True
    try:
        await asyncio.sleep(late_s)
    finally:
        store.late_promotions = False


ROUNDS: tuple[Event, ...] = (cut_primary, crash_stepped_down, hide_primary, leave_late)


# -- faults at the host that holds the lease --


async def _hit_holders(
    releases: Releases,
    group: Group,
    kinds: list[Hit],
    tasks: asyncio.TaskGroup,
) -> None:
    """Inject a fault at the holder of the lease, and maybe at the next one too."""
    rng, cluster = releases.random, releases.cluster
    # A lease that was left to others names no host.
    unhit = {host.name for host in cluster.hosts}
    for share in HIT_SHARES:
        if rng.random() >= share or not kinds:
            return
        while (name := find_holder(cluster, group)) not in unhit:
            await asyncio.sleep(POLL_S)
        unhit.remove(name)
        await asyncio.sleep(rng.uniform(*HIT_AFTER_S))
        hit = rng.choice(kinds)
        host = next(h for h in cluster.hosts if h.name == name)
        tasks.create_task(_record_hit(cluster, host, hit, rng))


async def _record_hit(
    cluster: Cluster, host: Host, hit: Hit, rng: random.Random
) -> None:
    name = hit.__name__
    cluster.checker.add_note(f"{name} at {host.name}")
    is_planned = hit is stop_holder
    fault = cluster.fault_log.begin(name, host.name, planned=is_planned)
    try:
        await hit(cluster, host, rng)
    finally:
        fault.ended_at = now()
        cluster.checker.add_note(f"{name} at {host.name} is over")


async def freeze_holder(cluster: Cluster, host: Host, rng: random.Random) -> None:
    """Pause the host's process and resume it."""
    host.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(rng.uniform(*rng.choice([FREEZE_S, LONG_FREEZE_S])))
    finally:
        host.send_signal(signal.SIGCONT)


async def stop_holder(cluster: Cluster, host: Host, rng: random.Random) -> None:
    """Stop the host as planned work."""
    host.send_signal(signal.SIGTERM)
    await asyncio.sleep(HIT_S[1])


async def kill_holder(cluster: Cluster, host: Host, rng: random.Random) -> None:
    """Kill the host."""
    host.send_signal(signal.SIGKILL)
    await asyncio.sleep(HIT_S[0])


async def delay_holder(cluster: Cluster, host: Host, rng: random.Random) -> None:
    """Delay all data between the host and the servers."""
    proxies = list(host.server_proxies.values())
    for proxy in proxies:
        proxy.delay_s = rng.uniform(*DELAY_S)
    try:
        await asyncio.sleep(rng.uniform(*HIT_S))
    finally:
        for proxy in proxies:
            proxy.delay_s = 0.0


async def cut_holder(cluster: Cluster, host: Host, rng: random.Random) -> None:
    """Cut the host from the store, in one or both ways."""
    proxy = host.store_proxy
    proxy.silent_to, proxy.silent_from = rng.choice(WAYS)
    try:
        await asyncio.sleep(rng.uniform(*HIT_S))
    finally:
        proxy.silent_to = proxy.silent_from = False


HITS: tuple[Hit, ...] = (
    freeze_holder,
    freeze_holder,
    stop_holder,
    kill_holder,
    delay_holder,
    cut_holder,
)
