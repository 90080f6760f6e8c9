"""Final fault while the store holds an entry that another writer wrote."""

import asyncio
from pathlib import Path
from typing import Any

from .deployment import BROKEN, HEARTBEAT_S, HELD, NOT_RUN, Deployment
from .load import Attempt, Load
from .record import Record

SERVICE = "db1"
RECEIVE_S = [(0.012, 0.016)] * 3
STEADY_S = 5.0
ENTRY_S = 4.0
DOWN_S = 1.0
RECOVER_S = 12.0
MEASURED_S = 15.0
LEAST_SHARE = 0.25
CONSUMERS = 4


async def _keep_writing(deployment: Deployment, name: str, spec: Any) -> None:
    while True:
        deployment.platform.write_changed("servers", name, spec)
        await asyncio.sleep(HEARTBEAT_S)


def _find_share(attempts: list[Attempt], since: float, until: float) -> float:
    """Return the share of the requests sent in a time that succeeded."""
    sent = [a for a in attempts if since <= a.sent_at < until]
    return sum(a.succeeded for a in sent) / len(sent)


async def play_final_fault(
    record: Record, folder: Path, name: str, spec: Any | None
) -> int:
    """Kill all hosts while another writer's entry is there; return the exit status.

    Parameters
    ----------
    record, folder
        Record of the case, and a temporary folder.
    name, spec
        Name and content of the entry; no entry is written without a content.
    """
    deployment = Deployment(record=record, folder=folder)
    try:
        await deployment.start_platform()
        await deployment.add_service(SERVICE, RECEIVE_S)
        deployment.add_route("orders", SERVICE)
        deployment.add_route(
            "balances", SERVICE, type="bounded_staleness", maxStalenessMs=1500
        )
        deployment.write_configuration()
        if not await deployment.start_hosts():
            return NOT_RUN
        load = Load(record=record, hosts=deployment.hosts)
        load.add("orders", "WRITE", CONSUMERS, 0.1)
        load.add("balances", "READ", CONSUMERS, 0.1)
        await asyncio.sleep(STEADY_S)
        if spec is not None:
            record.show(f"another writer's entry: {spec}")
            deployment.platform.spawn(_keep_writing(deployment, name, spec))
        await asyncio.sleep(ENTRY_S)
        fault_at = record.now()
        record.show("all processes are killed")
        await asyncio.gather(*(host.kill() for host in deployment.hosts))
        await asyncio.sleep(DOWN_S)
        await asyncio.gather(*(host.start() for host in deployment.hosts))
        back_at = record.now()
        record.show("the machines are back")
        await asyncio.sleep(RECOVER_S + MEASURED_S)
        await load.stop()
    finally:
        await deployment.stop()
    before = _find_share(load.attempts, 0.0, fault_at - 1.0)
    after = _find_share(load.attempts, back_at + RECOVER_S, record.now())
    record.show(f"share served before the final fault: {before:.2f}")
    record.show(
        f"share served later than {RECOVER_S:.0f} s after the return: {after:.2f}"
    )
    if before < LEAST_SHARE:
        return NOT_RUN
    return BROKEN if after < LEAST_SHARE else HELD
