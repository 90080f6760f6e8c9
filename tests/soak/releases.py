"""Planned replacements of servers, with events between the steps of a change."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .faults import Cluster
from .model import Group, Server

PAUSE_S = (0.5, 3.0)
# The new server starts this long before the old one leaves.
OVERLAP_S = 1.0
# From the start of a replacement to the event, around the time of the promotion.
EVENT_AFTER_S = (0.9, 1.9)
LEAVE_S = 7.0
DEAF_S = 2.0
UNLISTED_S = (4.0, 8.0)
DOWN_S = (0.05, 0.4)
Event = Callable[["Releases", Group], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class Releases:
    """What replacements of servers need.

    Parameters
    ----------
    cluster
        The servers, and the groups in which another fault acts.
    join
        Starts a server in a group, in a data centre.
    retire
        Ends a server for good.
    random
        Source of the schedule.
    """

    cluster: Cluster
    join: Callable[[Group, str], Awaitable[Server]]
    retire: Callable[[Group, Server], None]
    random: random.Random


async def replace_servers(releases: Releases) -> None:
    """Replace primaries again and again, until cancelled."""
    rng, cluster = releases.random, releases.cluster
    async with asyncio.TaskGroup() as tasks:
        while True:
            await asyncio.sleep(rng.uniform(*PAUSE_S))
            group = rng.choice(list(cluster.groups.values()))
            if group.name in cluster.faulted_groups:
                continue
            cluster.faulted_groups[group.name] = "release"
            tasks.create_task(_play_round(releases, group))


async def _play_round(releases: Releases, group: Group) -> None:
    """Replace a primary, with an event amid the change and a deaf new server."""
    rng = releases.random
    event = rng.choice(EVENTS)
    event_at, deaf_at = rng.uniform(*EVENT_AFTER_S), rng.uniform(*EVENT_AFTER_S)
    fault = releases.cluster.fault_log.begin(f"release-{event.__name__}", "")
    try:
        primary = group.find_primary()
        if primary is None:
            return
        if event is unlist_replica:
            await event(releases, group)
            await asyncio.sleep(rng.uniform(*UNLISTED_S) / 2)
        new = await releases.join(group, primary.zone)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(_deafen(new, deaf_at))
            tasks.create_task(_leave(releases, group, primary))
            if event is not unlist_replica:
                await asyncio.sleep(event_at)
                await event(releases, group)
    finally:
        fault.ended_at = asyncio.get_running_loop().time()
        for server in group.servers.values():
            server.unlisted = False
        del releases.cluster.faulted_groups[group.name]


async def _deafen(server: Server, after_s: float) -> None:
    await asyncio.sleep(after_s)
    server.receive_paused = True
    await asyncio.sleep(DEAF_S)
    server.receive_paused = False


async def _leave(releases: Releases, group: Group, server: Server) -> None:
    """Have a server leave; it ends once it isn't the primary any more."""
    await asyncio.sleep(OVERLAP_S)
    server.leaving = True
    await asyncio.sleep(LEAVE_S)
    while server.is_primary:
        await asyncio.sleep(0.1)
    releases.retire(group, server)


def _choose_replica(releases: Releases, group: Group) -> Server | None:
    replicas = [s for s in group.servers.values() if not (s.is_primary or s.leaving)]
    return releases.random.choice(replicas) if replicas else None


async def replace_replica(releases: Releases, group: Group) -> None:
    """Replace a replica as well: its successor joins amid the change."""
    replica = _choose_replica(releases, group)
    if replica is not None:
        await releases.join(group, replica.zone)
        await _leave(releases, group, replica)


async def restart_replica(releases: Releases, group: Group) -> None:
    """Crash a replica, and start it again with its log; a pause ends with that."""
    replica = _choose_replica(releases, group)
    if replica is None:
        return
    replica.up = False
    releases.cluster.servers[replica.name].drop_connections()
    await asyncio.sleep(releases.random.uniform(*DOWN_S))
    group.restart(replica)


async def unlist_replica(releases: Releases, group: Group) -> None:
    """Remove the entry of a replica that goes on; it is back after the round."""
    replica = _choose_replica(releases, group)
    if replica is not None:
        replica.unlisted = True


EVENTS: tuple[Event, ...] = (replace_replica, restart_replica, unlist_replica)
