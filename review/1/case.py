"""New replica that starts while a change of primary is under way.

Each round replaces, in each service, the primary and then one replica. The new
backend starts first, then the old one drains.
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
ROUNDS = 4
# From the start of the primary's replacement to that of the replica's.
GAP_S = 1.5
DRAIN_S = 8.0
WRITERS = 8


async def replace_two(deployment: Deployment, service: Service) -> None:
    """Replace the primary of a service, and shortly after it a replica.

    The new backends come in each other's zones.
    """
    primary = service.primary
    staying = [b for b in service.backends.values() if not b.draining]
    replica = next(b for b in staying if b is not primary)
    await deployment.replace(primary, replica.zone, DRAIN_S)
    await asyncio.sleep(GAP_S)
    await deployment.replace(replica, primary.zone, DRAIN_S)


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
                    deployment.platform.spawn(replace_two(deployment, service))
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
