"""Servers that acknowledge unseen by the hosts, and are lost with their primary.

No entry names such a server, and no host knows its log.
"""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import Enum

from .faults import Cluster
from .model import Group, Server
from .serverlosses import EXPIRY_S, HEARTBEAT_S, end_process, start_process

# Longer than any wait of a host before it counts a server as lost.
UNSEEN_S = (12.0, 18.0)
LOST_AFTER_S = (0.0, 2.5)


class Unseen(Enum):
    """Why no host sees a server that acknowledges."""

    CUT_OFF = "is reached by its primary only"
    BACK = "is back with its log, before its entry"


@dataclass(frozen=True, kw_only=True)
class UnseenDraws:
    """How a server comes to acknowledge unseen.

    Parameters
    ----------
    kind
        Why no host sees it.
    seconds
        How long it is cut off, or ended, before its primary is lost.
    heartbeat_s
        Age of its last heartbeat when that begins.
    lost_after_s
        From the loss of its primary to its own.
    """

    kind: Unseen
    seconds: float
    heartbeat_s: float
    lost_after_s: float

    def __str__(self) -> str:
        """Describe it in a few words."""
        return (
            f"{self.kind.value}, unseen for {self.seconds:.1f} s, and is killed "
            f"{self.lost_after_s:.2f} s after its primary"
        )


def draw_unseen(
    kinds: tuple[Unseen, ...], seconds: tuple[float, float], rng: random.Random
) -> UnseenDraws:
    """Draw how a server comes to acknowledge unseen."""
    return UnseenDraws(
        kind=rng.choice(kinds),
        seconds=rng.uniform(*seconds),
        heartbeat_s=rng.uniform(0.0, HEARTBEAT_S),
        lost_after_s=rng.uniform(*LOST_AFTER_S),
    )


@asynccontextmanager
async def hide(
    cluster: Cluster, group: Group, server: Server, third: Server, draws: UnseenDraws
) -> AsyncIterator[None]:
    """Hide a server from hosts and store for the drawn time, and amid the context.

    In the context it runs, receives from its primary and acknowledges, and the third
    server receives nothing.
    """
    group.checker.add_note(f"{server.name} {draws}")
    is_ended = draws.kind is Unseen.BACK
    if is_ended:
        end_process(cluster, server, draws.heartbeat_s)
    else:
        _set_silent(cluster, server, is_silent=True)
    try:
        await asyncio.sleep(EXPIRY_S - draws.heartbeat_s)
        server.unlisted = True
        await asyncio.sleep(draws.seconds - EXPIRY_S + draws.heartbeat_s)
        third.receive_paused = True
        if is_ended:
            await start_process(cluster, group, server)
            group.checker.add_note(f"{server.name} is back, without an entry")
        yield
    finally:
        third.receive_paused = False
        _set_silent(cluster, server, is_silent=False)
        server.unlisted = False


def _set_silent(cluster: Cluster, server: Server, *, is_silent: bool) -> None:
    for host in cluster.hosts:
        proxy = host.server_proxies[server.name]
        proxy.silent_to = proxy.silent_from = is_silent
