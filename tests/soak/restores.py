"""Restores of the store from an older copy, on a seeded schedule of their own."""

import asyncio
import random

from .faultlog import FaultLog
from .model import now
from .operator import Operator
from .store import Store

PAUSE_S = (0.0, 8.0)
COPY_AGE_S = (0.3, 8.0)
MOST_LOST_CHANGES = 3
AWAY_S = (0.0, 2.0)
# Time after the return in which the operator has not written its latest version yet.
REWRITE_S = (0.2, 1.5)


async def restore_store(
    store: Store, operator: Operator, fault_log: FaultLog, rng: random.Random
) -> None:
    """Have the store go away and come back from an older copy, again and again."""
    while True:
        await asyncio.sleep(rng.uniform(*PAUSE_S))
        earlier = store.copy()
        lost_changes = rng.randint(0, MOST_LOST_CHANGES)
        age_s = rng.uniform(*COPY_AGE_S)
        for _ in range(lost_changes):
            await asyncio.sleep(age_s / (lost_changes + 1))
            operator.write()
        await asyncio.sleep(age_s / (lost_changes + 1))
        fault = fault_log.begin("store-restored", "")
        store.away = True
        await asyncio.sleep(rng.uniform(*AWAY_S))
        store.restore(earlier)
        await asyncio.sleep(rng.uniform(*REWRITE_S))
        await operator.check_none_went_back()
        operator.write_again()
        fault.ended_at = now()
