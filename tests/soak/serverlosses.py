"""Losses of servers that are back later with their logs; their entries run out."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from .changes import wait_until
from .faults import Cluster
from .model import Group, Server, now

HEARTBEAT_S = 1.2
# An entry is removed this long after the last heartbeat.
EXPIRY_S = 3 * HEARTBEAT_S
ORDER_TIMEOUT_S = 20.0


class Loss(Enum):
    """How a server is lost."""

    KILLED = "is killed"
    FROZEN = "freezes"
    LEAVES = "leaves"


@dataclass(frozen=True, kw_only=True)
class LossDraws:
    """How one server is lost, and when it is back.

    Parameters
    ----------
    kind
        How it is lost.
    away_s
        Time after which it is back.
    heartbeat_s
        Age of its last heartbeat at its loss.
    drain_s
        From the report of a server that leaves to its end; None for an end
        `end_after_s` after the order of another.
    """

    kind: Loss
    away_s: float
    heartbeat_s: float
    drain_s: float | None = None
    end_after_s: float = 0.0

    def __str__(self) -> str:
        """Describe the loss in a few words."""
        drain = "" if self.drain_s is None else f" after {self.drain_s:.1f} s"
        return f"{self.kind.value}{drain}, back after {self.away_s:.1f} s"


async def lose(
    cluster: Cluster,
    group: Group,
    server: Server,
    draws: LossDraws,
    is_ordered: Callable[[], bool],
) -> None:
    """Lose a server; return once it is back.

    Parameters
    ----------
    cluster, group, server
        The server, and where it is.
    draws
        How it is lost.
    is_ordered
        Returns whether another server has been ordered.
    """
    group.checker.add_note(f"{server.name} {draws}")
    match draws.kind:
        case Loss.KILLED:
            await _kill(cluster, group, server, draws)
        case Loss.FROZEN:
            await _freeze(server, draws)
        case Loss.LEAVES:
            await _leave(cluster, group, server, draws, is_ordered)
    group.checker.add_note(f"{server.name} is back")


async def _kill(
    cluster: Cluster, group: Group, server: Server, draws: LossDraws
) -> None:
    end_process(cluster, server, draws.heartbeat_s)
    await asyncio.sleep(draws.away_s)
    await start_process(cluster, group, server)


def end_process(cluster: Cluster, server: Server, heartbeat_s: float) -> None:
    """End a server's process, whose last heartbeat has an age."""
    _end(cluster, server)
    server.down_since = now() - heartbeat_s


async def start_process(cluster: Cluster, group: Group, server: Server) -> None:
    """Start a server whose process has ended, with its log."""
    for host in cluster.hosts:
        await host.server_proxies[server.name].accept()
    group.restart(server)


def _end(cluster: Cluster, server: Server) -> None:
    """End a server's process: its address refuses connections."""
    server.up = False
    server.paused_term = 0
    cluster.servers[server.name].drop_connections()
    for host in cluster.hosts:
        host.server_proxies[server.name].refuse()


async def _freeze(server: Server, draws: LossDraws) -> None:
    server.silent = server.partitioned = True
    listed_s = min(draws.away_s, EXPIRY_S - draws.heartbeat_s)
    await asyncio.sleep(listed_s)
    server.unlisted = True
    await asyncio.sleep(draws.away_s - listed_s)
    server.silent = server.partitioned = server.unlisted = False


async def _leave(
    cluster: Cluster,
    group: Group,
    server: Server,
    draws: LossDraws,
    is_ordered: Callable[[], bool],
) -> None:
    """Have a server leave; another with its log starts later at its address."""
    server.leaving = True
    if draws.drain_s is None:
        await wait_until(is_ordered, ORDER_TIMEOUT_S)
        await asyncio.sleep(draws.end_after_s)
    else:
        await asyncio.sleep(draws.drain_s)
    group.checker.add_note(f"{server.name} ends at {server.received_position}")
    _end(cluster, server)
    server.is_primary = False
    server.unlisted = True
    await asyncio.sleep(draws.away_s)
    await _succeed(cluster, group, server)


async def _succeed(cluster: Cluster, group: Group, server: Server) -> None:
    """Start another server with the log of one that left, at its address."""
    before = set(group.servers)
    await cluster.replace_server(group, server)
    (name,) = set(group.servers) - before
    group.checker.add_note(f"{name} has the address and the log of {server.name}")
