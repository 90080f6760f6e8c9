"""New replica that starts while a change of primary is under way.

Each round replaces, in each service, the primary and then one replica. The new
backend starts first, then the old one drains.
"""

import asyncio
from pathlib import Path

from fakes.database import Service
from fakes.deployment import Deployment, run_case
from fakes.record import Record
from fakes.rounds import Rounds, play_rounds

# One way between geos.
RECEIVE_S = (0.012, 0.016)
# From the start of the primary's replacement to that of the replica's.
GAP_S = 1.5
DRAIN_S = 8.0


async def play_round(deployment: Deployment, service: Service) -> None:
    """Replace the primary of a service, and shortly after it a replica.

    The new backends come in each other's zones.
    """
    primary = service.primary
    staying = [b for b in service.backends.values() if not b.draining]
    replica = next(b for b in staying if b is not primary)
    await deployment.replace(primary, replica.zone, DRAIN_S)
    await asyncio.sleep(GAP_S)
    await deployment.replace(replica, primary.zone, DRAIN_S)


def begin_round(deployment: Deployment, services: list[Service]) -> None:
    """Start a round in all services."""
    for service in services:
        deployment.platform.spawn(play_round(deployment, service))


ROUNDS = Rounds(count=4, length_s=14.0, receive_s=RECEIVE_S, begin=begin_round)


async def play(record: Record, folder: Path, has_trouble: bool) -> int:
    """Play the case and return its exit status."""
    deployment = Deployment(record=record, folder=folder)
    return await play_rounds(record, deployment, ROUNDS, has_trouble)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
