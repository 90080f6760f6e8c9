"""Paused replica that restarts during a change of primary.

Each round replaces the primary of each service. While the promotion is on its way, one
replica crashes and is back shortly after, and the new backend receives nothing.
"""

from pathlib import Path

from fakes.database import Service
from fakes.deployment import Deployment, run_case
from fakes.record import Record
from fakes.rounds import Rounds, play_rounds

# One way between geos.
RECEIVE_S = (0.012, 0.016)
# From the start of the new backend to the crash of the replica.
CRASH_AFTER_S = 1.5
DOWN_S = 0.3
# From the start of the new backend to the time in which it receives nothing.
DEAF_AFTER_S = 1.6
DEAF_S = 2.0
DRAIN_S = 8.0


async def play_round(deployment: Deployment, service: Service) -> None:
    """Replace the primary, and restart a replica that is paused."""
    primary = service.primary
    replica = next(
        b for b in service.backends.values() if b is not primary and not b.draining
    )
    new = await deployment.replace(primary, primary.zone, DRAIN_S)
    deployment.platform.spawn(replica.restart(CRASH_AFTER_S, DOWN_S))
    deployment.platform.spawn(new.be_deaf(DEAF_AFTER_S, DEAF_S))


def begin_round(deployment: Deployment, services: list[Service]) -> None:
    """Start a round in all services."""
    for service in services:
        deployment.platform.spawn(play_round(deployment, service))


ROUNDS = Rounds(count=3, length_s=14.0, receive_s=RECEIVE_S, begin=begin_round)


async def play(record: Record, folder: Path, has_trouble: bool) -> int:
    """Play the case and return its exit status."""
    deployment = Deployment(record=record, folder=folder)
    return await play_rounds(record, deployment, ROUNDS, has_trouble)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
