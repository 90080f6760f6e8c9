"""Late promotion that is accepted just before a newer token comes."""

import asyncio
from pathlib import Path

from fakes.database import Service
from fakes.deployment import Deployment, run_case
from fakes.platform import Order
from fakes.record import Record
from fakes.rounds import SERVICES, Rounds, play_rounds

# One way between geos, and what a busy link adds.
RECEIVE_S = (0.012, 0.04)
DARK_S = 3.0
LATE_S = 3.7


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


async def go_dark(service: Service) -> None:
    """Have the primary of a service go dark for a while."""
    primary = service.primary
    service.record.show(f"{primary.name} goes dark")
    primary.go_dark()
    await asyncio.sleep(DARK_S)
    primary.come_back()
    service.record.show(f"{primary.name} is back")


async def play(record: Record, folder: Path, has_trouble: bool) -> int:
    """Play the case and return its exit status."""
    late = LateOrders()

    def begin_round(deployment: Deployment, services: list[Service]) -> None:
        late.begin_round()
        for service in services:
            deployment.platform.spawn(go_dark(service))

    rounds = Rounds(count=4, length_s=14.0, receive_s=RECEIVE_S, begin=begin_round)
    deployment = Deployment(record=record, folder=folder, delay_order=late.delay)
    return await play_rounds(record, deployment, rounds, has_trouble)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
