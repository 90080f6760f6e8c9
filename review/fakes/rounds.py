"""Rounds of trouble while consumers write, and the commits that they lose."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from .database import Service
from .deployment import BROKEN, HELD, NOT_RUN, Deployment
from .load import Load
from .record import Record

SERVICES = ("db1", "db2", "db3")
# Hosts take 6 s until one of them may change a primary.
FIRST_ROUND_S = 9.0
WRITERS = 8
WRITER_PAUSE_S = 0.02


@dataclass(frozen=True, kw_only=True)
class Rounds:
    """Rounds of a case.

    Parameters
    ----------
    count, length_s
        Number of rounds, and the time of one.
    receive_s
        Shortest and longest time that a commit takes to another zone.
    begin
        Starts the trouble of a round in the given services.
    """

    count: int
    length_s: float
    receive_s: tuple[float, float]
    begin: Callable[[Deployment, list[Service]], None]


async def play_rounds(
    record: Record, deployment: Deployment, rounds: Rounds, has_trouble: bool
) -> int:
    """Play rounds and return the exit status: whether an acknowledged commit is lost.

    Parameters
    ----------
    record
        Record of the case.
    deployment
        Deployment to start and stop.
    rounds
        The rounds.
    has_trouble
        Whether the trouble is played.
    """
    try:
        await deployment.start_platform()
        for name in SERVICES:
            await deployment.add_service(name, [rounds.receive_s] * 3)
            deployment.add_route(f"orders-{name}", name)
        deployment.write_configuration()
        if not await deployment.start_hosts():
            return NOT_RUN
        load = Load(record=record, hosts=deployment.hosts)
        for name in SERVICES:
            load.add(f"orders-{name}", "TRANSACTION", WRITERS, WRITER_PAUSE_S)
        await asyncio.sleep(FIRST_ROUND_S)
        services = list(deployment.services.values())
        for _ in range(rounds.count):
            if has_trouble:
                rounds.begin(deployment, services)
            await asyncio.sleep(rounds.length_s)
        await load.stop()
    finally:
        await deployment.stop()
    kept = sum(len(service.acknowledged) for service in services)
    lost = sum(len(service.lost) for service in services)
    record.show(f"{kept + lost} commits acknowledged, {lost} of them lost")
    return BROKEN if lost else HELD if kept else NOT_RUN
