"""Faults and their seeded random schedule.

The draws and their order belong to a seed: changing them changes what a seed tests.
"""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .faultlog import RELOAD, FaultLog
from .fleet import LEAVE_S, Host
from .model import Checker, Group, Server, now
from .servers import LineServer
from .store import Store, StoreMode

MAX_FAULT_S = 5.0
MIN_FAULT_S = 0.5
GROUP_COOLDOWN_S = 3.0


@dataclass(kw_only=True, eq=False)
class Cluster:
    """Hosts, servers and store that faults act on."""

    hosts: list[Host]
    groups: dict[str, Group]
    servers: dict[str, LineServer]
    store: Store
    checker: Checker
    fault_log: FaultLog
    random: random.Random
    replace_server: Callable[[Group, Server], Awaitable[None]]

    def __post_init__(self) -> None:
        self.faulted_groups: dict[str, str] = {}

    def choose_host(self) -> Host:
        """Return a random host."""
        return self.random.choice(self.hosts)

    def choose_group(self) -> Group:
        """Return a random group."""
        return self.random.choice(list(self.groups.values()))

    def choose_duration(self) -> float:
        """Return a random duration of a fault in seconds."""
        return self.random.uniform(MIN_FAULT_S, MAX_FAULT_S)


async def _record_host_fault(
    cluster: Cluster, host: Host, kind: str, seconds: float
) -> None:
    fault = cluster.fault_log.begin(kind, host.name)
    await asyncio.sleep(seconds)
    fault.ended_at = now()


async def kill(cluster: Cluster) -> None:
    """Kill a host; it is restarted."""
    host = cluster.choose_host()
    host.send_signal(signal.SIGKILL)
    await _record_host_fault(cluster, host, "kill", 2.0)


async def kill_most(cluster: Cluster) -> None:
    """Kill all hosts but one at the same time."""
    for host in cluster.random.sample(cluster.hosts, len(cluster.hosts) - 1):
        host.send_signal(signal.SIGKILL)
        cluster.fault_log.begin("kill", host.name).ended_at = now() + 2.0


async def stop(cluster: Cluster) -> None:
    """Stop a host as planned work."""
    host = cluster.choose_host()
    fault = cluster.fault_log.begin("stop", host.name, planned=True)
    host.send_signal(signal.SIGTERM)
    await asyncio.sleep(MAX_FAULT_S)
    fault.ended_at = now()


async def reload(cluster: Cluster) -> None:
    """Make a host reload its settings."""
    host = cluster.choose_host()
    cluster.fault_log.begin(RELOAD, host.name, planned=True).ended_at = now()
    host.send_signal(signal.SIGHUP)


async def freeze(cluster: Cluster) -> None:
    """Pause a host's process and resume it."""
    host = cluster.choose_host()
    host.send_signal(signal.SIGSTOP)
    await _record_host_fault(cluster, host, "freeze", cluster.choose_duration())
    host.send_signal(signal.SIGCONT)


async def disrupt_store(cluster: Cluster) -> None:
    """Put the store in a random mode other than normal for some hosts or all."""
    mode = cluster.random.choice([m for m in StoreMode if m is not StoreMode.NORMAL])
    everyone = cluster.random.random() < 0.5
    chosen = [h for h in cluster.hosts if everyone or cluster.random.random() < 0.4]
    fault = cluster.fault_log.begin(f"store-{mode.value}", "")
    for host in chosen:
        cluster.store.modes[host.name] = mode
    await asyncio.sleep(cluster.choose_duration())
    for host in chosen:
        cluster.store.modes[host.name] = StoreMode.NORMAL
    fault.ended_at = now()


async def drop_history(cluster: Cluster) -> None:
    """Drop the store's history of changes, so that watches must start again."""
    cluster.store.drop_history()


async def delay_promotions(cluster: Cluster) -> None:
    """Make promotions take effect late and leave them unanswered."""
    fault = cluster.fault_log.begin("late-orders", "")
    cluster.store.late_promotions = True
    await asyncio.sleep(cluster.choose_duration())
    cluster.store.late_promotions = False
    fault.ended_at = now()


async def partition_host(cluster: Cluster) -> None:
    """Partition a host from servers, the store and its peers, in one or both ways."""
    host = cluster.choose_host()
    proxies = [r for r in host.server_proxies.values() if cluster.random.random() < 0.6]
    if cluster.random.random() < 0.5:
        proxies.append(host.store_proxy)
    if cluster.random.random() < 0.5:
        proxies.append(host.peer_proxy)
    to_target, from_target = cluster.random.choice([(1, 1), (1, 0), (0, 1)])
    for proxy in proxies:
        proxy.silent_to, proxy.silent_from = bool(to_target), bool(from_target)
    await _record_host_fault(cluster, host, "cut", cluster.choose_duration())
    for proxy in proxies:
        proxy.silent_to = proxy.silent_from = False


async def reset_connections(cluster: Cluster) -> None:
    """Reset a host's connections to servers, the store and peers."""
    host = cluster.choose_host()
    for proxy in (*host.server_proxies.values(), host.store_proxy, host.peer_proxy):
        proxy.reset()
    await _record_host_fault(cluster, host, "reset", 0.1)


async def silence_connections(cluster: Cluster) -> None:
    """Silence a host's open connections permanently; new ones work."""
    host = cluster.choose_host()
    for proxy in (*host.server_proxies.values(), host.store_proxy, host.peer_proxy):
        proxy.silence_open()
    await _record_host_fault(cluster, host, "mute", 0.1)


async def delay_connections(cluster: Cluster) -> None:
    """Delay all data between a host and the servers."""
    host = cluster.choose_host()
    for proxy in host.server_proxies.values():
        proxy.delay_s = cluster.random.uniform(0.01, 0.15)
    await _record_host_fault(cluster, host, "delay", cluster.choose_duration())
    for proxy in host.server_proxies.values():
        proxy.delay_s = 0.0


async def _fault_server(
    cluster: Cluster, kind: str, apply: Callable[[Group, Server], Awaitable[None]]
) -> None:
    """Apply a fault to one server of a group in which no other server is down.

    The group is free for the next fault GROUP_COOLDOWN_S after the end of this one.
    """
    group = cluster.choose_group()
    if group.name in cluster.faulted_groups:
        return
    primary = group.find_primary()
    chosen = primary if cluster.random.random() < 0.6 else None
    server = chosen or cluster.random.choice(list(group.servers.values()))
    cluster.faulted_groups[group.name] = kind
    fault = cluster.fault_log.begin(f"{kind}-{server.name}", "")
    try:
        await apply(group, server)
    finally:
        fault.ended_at = now()
        await asyncio.sleep(GROUP_COOLDOWN_S)
        del cluster.faulted_groups[group.name]


async def crash_server(cluster: Cluster) -> None:
    """Crash a server; it restarts with its log."""

    async def apply(group: Group, server: Server) -> None:
        server.up = False
        server.paused_term = 0
        server.down_since = now()
        cluster.servers[server.name].drop_connections()
        await asyncio.sleep(cluster.choose_duration())
        group.restart(server)

    await _fault_server(cluster, "crash", apply)


async def silence_server(cluster: Cluster) -> None:
    """Make a server unresponsive to hosts and to the other servers."""

    async def apply(group: Group, server: Server) -> None:
        server.silent = server.partitioned = True
        await asyncio.sleep(cluster.choose_duration())
        server.silent = server.partitioned = False

    await _fault_server(cluster, "dark", apply)


async def partition_server(cluster: Cluster) -> None:
    """Partition a server from the other servers."""

    async def apply(group: Group, server: Server) -> None:
        server.partitioned = True
        await asyncio.sleep(cluster.choose_duration())
        server.partitioned = False

    await _fault_server(cluster, "cut", apply)


async def replace_leaving_server(cluster: Cluster) -> None:
    """Have a server announce that it leaves, and replace it."""

    async def apply(group: Group, server: Server) -> None:
        server.leaving = True
        await asyncio.sleep(LEAVE_S + cluster.random.random() * 2)
        await cluster.replace_server(group, server)

    await _fault_server(cluster, "release", apply)


async def pause_receiving(cluster: Cluster) -> None:
    """Stop a replica from receiving log entries; the primary may fail meanwhile."""
    replicas = [s for s in cluster.choose_group().servers.values() if not s.is_primary]
    server = cluster.random.choice(replicas)
    server.receive_paused = True
    await asyncio.sleep(cluster.choose_duration())
    server.receive_paused = False


async def lag_replicas(cluster: Cluster) -> None:
    """Make the replicas of a group apply log entries late."""
    servers = [s for s in cluster.choose_group().servers.values() if not s.is_primary]
    for server in servers:
        server.lag_s = cluster.random.uniform(0.2, 3.0)
    await asyncio.sleep(cluster.choose_duration())
    for server in servers:
        server.lag_s = 0.02


async def degrade_server(cluster: Cluster) -> None:
    """Make a server lose answers, refuse statements or respond slowly."""
    server = cluster.random.choice(list(cluster.choose_group().servers.values()))
    fault = cluster.fault_log.begin(f"degraded-{server.name}", "")
    match cluster.random.choice(["lost", "busy", "slow"]):
        case "lost":
            server.lost_share = 0.1
        case "busy":
            server.busy_share = 0.4
        case _:
            server.slowness = 8.0
    await asyncio.sleep(cluster.choose_duration())
    server.lost_share = server.busy_share = 0.0
    server.slowness = 1.0
    fault.ended_at = now()


FAULTS: tuple[Callable[[Cluster], Awaitable[None]], ...] = (
    kill,
    kill_most,
    stop,
    stop,
    reload,
    freeze,
    disrupt_store,
    disrupt_store,
    drop_history,
    delay_promotions,
    partition_host,
    partition_host,
    reset_connections,
    silence_connections,
    delay_connections,
    crash_server,
    crash_server,
    silence_server,
    partition_server,
    partition_server,
    replace_leaving_server,
    replace_leaving_server,
    pause_receiving,
    lag_replicas,
    degrade_server,
)


async def inject_faults(cluster: Cluster, seconds: float, pause_s: float) -> list[str]:
    """Inject random faults, which may overlap; return their times and names.

    ``pause_s`` is the mean time between two of them; 0 means none.
    """
    if not pause_s:
        await asyncio.sleep(seconds)
        return []
    ends = now() + seconds
    injected: list[str] = []
    async with asyncio.TaskGroup() as tasks:
        while now() < ends:
            await asyncio.sleep(cluster.random.expovariate(1.0) * pause_s)
            kind = cluster.random.choice(FAULTS)
            for _ in range(cluster.random.choice([1, 1, 1, 2])):
                injected.append(
                    f"{ends - seconds:.1f}+{now() - ends + seconds:.2f} {kind.__name__}"
                )
                tasks.create_task(kind(cluster))
    return injected
