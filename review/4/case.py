"""Paused replica that restarts during a change of primary.

Each round replaces the primary of each service. While the promotion is on its way, one
replica crashes and is back shortly after, and the new backend receives nothing.
"""

import asyncio
from pathlib import Path

from fakes.database import Service
from fakes.deployment import BROKEN, HELD, NOT_RUN, Deployment, run_case
from fakes.load import Load
from fakes.record import Record

SERVICES = ("db1", "db2", "db3")
# One way between geos.
RECEIVE_S = [(0.012, 0.016)] * 3
FIRST_ROUND_S = 9.0
ROUND_S = 14.0
ROUNDS = 3
# From the start of the new backend to the crash of the replica.
CRASH_AFTER_S = 1.5
DOWN_S = 0.3
# From the start of the new backend to the time in which it receives nothing.
DEAF_AFTER_S = 1.6
DEAF_S = 2.0
DRAIN_S = 8.0
WRITERS = 8


async def play_round(deployment: Deployment, service: Service) -> None:
    """Replace the primary, and restart a replica that is paused."""
    primary = service.primary
    replica = next(
        b for b in service.backends.values() if b is not primary and not b.draining
    )
    new = await deployment.replace(primary, primary.zone, DRAIN_S)
    deployment.platform.spawn(replica.restart(CRASH_AFTER_S, DOWN_S))
    deployment.platform.spawn(new.be_deaf(DEAF_AFTER_S, DEAF_S))


async def play(record: Record, folder: Path, has_trouble: bool) -> int:
    """Play the case and return its exit status."""
    deployment = Deployment(record=record, folder=folder)
    try:
        await deployment.start_platform()
        for name in SERVICES:
            await deployment.add_service(name, RECEIVE_S)
            deployment.add_route(f"orders-{name}", name)
        deployment.write_configuration()
        if not await deployment.start_hosts():
            return NOT_RUN
        load = Load(record=record, hosts=deployment.hosts)
        for name in SERVICES:
            load.add(f"orders-{name}", "TRANSACTION", WRITERS, 0.02)
        await asyncio.sleep(FIRST_ROUND_S)
        services = list(deployment.services.values())
        for _ in range(ROUNDS):
            if has_trouble:
                for service in services:
                    deployment.platform.spawn(play_round(deployment, service))
            await asyncio.sleep(ROUND_S)
        await load.stop()
    finally:
        await deployment.stop()
    kept = sum(len(service.acknowledged) for service in services)
    lost = sum(len(service.lost) for service in services)
    record.show(f"{kept + lost} commits acknowledged, {lost} of them lost")
    return BROKEN if lost else HELD if kept else NOT_RUN


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
