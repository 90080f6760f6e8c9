"""Late promotion that is accepted just before a newer token comes."""

import asyncio
from pathlib import Path

from fakes.database import Service
from fakes.deployment import (
    BROKEN,
    HELD,
    NOT_RUN,
    Deployment,
    run_case,
)
from fakes.load import Load
from fakes.platform import Order
from fakes.record import Record

SERVICES = ("db1", "db2", "db3")
# One way between geos, and what a busy link adds.
RECEIVE_S = [(0.012, 0.04)] * 3
FIRST_ROUND_S = 9.0
ROUND_S = 14.0
ROUNDS = 4
DARK_S = 3.0
LATE_S = 3.7
WRITERS = 8


class LateOrders:
    """Leaves the first order of each service in a round unanswered.

    It is carried out late. The service's other orders are answered at once.
    """

    def __init__(self) -> None:
        self.waiting: set[str] = set()

    def begin_round(self) -> None:
        """Have the next order of each service come late."""
        self.waiting = set(SERVICES)

    def delay(self, order: Order) -> float | None:
        """Return how late an order is, None for one that is answered."""
        if order.service not in self.waiting:
            return None
        self.waiting.discard(order.service)
        return LATE_S


async def play_round(record: Record, services: list[Service], late: LateOrders) -> None:
    """Have the primaries go dark for a while, amid late orders."""
    primaries = [service.primary for service in services]
    late.begin_round()
    record.show(f"dark: {', '.join(p.name for p in primaries)}")
    for primary in primaries:
        primary.go_dark()
    await asyncio.sleep(DARK_S)
    for primary in primaries:
        primary.come_back()
    record.show("the primaries are back")
    await asyncio.sleep(ROUND_S - DARK_S)


async def play(record: Record, folder: Path, has_trouble: bool) -> int:
    """Play the case and return its exit status."""
    late = LateOrders()
    deployment = Deployment(record=record, folder=folder, delay_order=late.delay)
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
                await play_round(record, services, late)
            else:
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
