"""Replica that the store no longer lists, during a change of primary.

Each round cuts one replica of each service off from the store, until its entry has been
removed, and then replaces the primary. Everyone else still reaches the replica. While
the promotion is on its way, the new backend receives nothing.
"""

import asyncio
from pathlib import Path

from fakes.database import Service
from fakes.deployment import Deployment, run_case
from fakes.record import Record
from fakes.rounds import Rounds, play_rounds

# One way between geos.
RECEIVE_S = (0.012, 0.016)
CUT_S = 8.0
# From the start of the cut to that of the primary's replacement.
GAP_S = 4.0
# From the start of the new backend to the time in which it receives nothing.
DEAF_AFTER_S = 1.6
DEAF_S = 2.0
DRAIN_S = 8.0


async def play_round(deployment: Deployment, service: Service) -> None:
    """Cut a replica off from the store, and replace the primary."""
    primary = service.primary
    replica = next(
        b for b in service.backends.values() if b is not primary and not b.draining
    )
    deployment.cut_from_store(replica)
    await asyncio.sleep(GAP_S)
    new = await deployment.replace(primary, primary.zone, DRAIN_S)
    deployment.platform.spawn(new.be_deaf(DEAF_AFTER_S, DEAF_S))
    await asyncio.sleep(CUT_S - GAP_S)
    deployment.join_store(replica)


def begin_round(deployment: Deployment, services: list[Service]) -> None:
    """Start a round in all services."""
    for service in services:
        deployment.platform.spawn(play_round(deployment, service))


ROUNDS = Rounds(count=2, length_s=17.0, receive_s=RECEIVE_S, begin=begin_round)


async def play(record: Record, folder: Path, has_trouble: bool) -> int:
    """Play the case and return its exit status."""
    deployment = Deployment(record=record, folder=folder)
    return await play_rounds(record, deployment, ROUNDS, has_trouble)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
