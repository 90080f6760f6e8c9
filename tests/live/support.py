"""Live runs: a deployment under load with an injected fault and a checked history."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from apricotshore.load import (
    Findings,
    LoadResult,
    Verdicts,
    check_history,
    parse_scenario,
    run_load,
)
from apricotshore.load.history import Operation, Work
from apricotshore.load.runner import EntryHost
from standins.deployment import PASSWORD, Deployment, DeploymentOptions

MIXED = """
[scenario]
duration = {duration} ms
seed = {seed}

[stream entries]
caller = members-app
database = deliveries
kind = delivery
work = entry
rate = 40
group = members
sessions = 12
move-every = 700 ms
move-with = {move_with}
repeat-percent = 15

[stream balances]
caller = members-app
database = deliveries
kind = balance
work = balance
rate = 80
group = members

[stream pairs]
caller = members-app
database = deliveries
kind = delivery
work = pair
rate = 10
sessions = 4
"""

LOG_END_CHARACTERS = 6_000

Fault = Callable[[Deployment], Awaitable[None]]


@dataclass(kw_only=True)
class LiveRun:
    """Result of a live run, with the end of each process's log."""

    result: LoadResult
    findings: Findings
    fault_at_s: float
    logs: dict[str, str]

    @property
    def acknowledged(self) -> int:
        """Number of acknowledged writes."""
        return sum(o.verdict is Verdicts.RAN for o in self._writes())

    def _writes(self):
        works = (Work.ENTRY, Work.PAIR)
        return [o for o in self.result.operations if o.work in works]

    def measure_gap_s(self) -> float:
        """Return the longest time without an acknowledged write."""
        before, after = self._find_gap()
        return after.ended_s - before.ended_s

    def describe_gap(self) -> str:
        """Return the operations that ended in that time, and the end of each log."""
        before, after = self._find_gap()
        lines = [
            f"{o.stream} {o.number} of {o.session} at host {o.host}, "
            f"{o.arrived_s:.2f} to {o.ended_s:.2f} s: {o.verdict.value} {o.reason}"
            for o in sorted(self.result.operations, key=lambda o: o.ended_s)
            if before.ended_s <= o.ended_s <= after.ended_s
        ]
        logs = [f"{name}:\n{text}" for name, text in self.logs.items()]
        return "\n".join([*lines, *logs])

    def _find_gap(self) -> tuple[Operation, Operation]:
        """Return the acknowledged writes before and after the longest gap."""
        acked = [o for o in self._writes() if o.verdict is Verdicts.RAN]
        acked.sort(key=lambda o: o.ended_s)
        pairs = zip(acked, acked[1:], strict=False)
        return max(pairs, key=lambda pair: pair[1].ended_s - pair[0].ended_s)


def list_entry_hosts(deployment: Deployment) -> list[EntryHost]:
    """Return the caller addresses of a deployment's hosts."""
    return [
        EntryHost(host="127.0.0.1", port=deployment.host_ports(n)[0])
        for n in range(deployment.options.hosts)
    ]


def _read_log_ends(deployment: Deployment) -> dict[str, str]:
    paths = sorted(deployment.folder.glob("*.log"))
    return {path.stem: path.read_text()[-LOG_END_CHARACTERS:] for path in paths}


async def run_with_fault(
    options: DeploymentOptions,
    fault: Fault,
    *,
    seed: int = 1,
    duration_s: float = 6.0,
    fault_after_s: float = 1.5,
    move_with: str = "token",
) -> LiveRun:
    """Run mixed traffic, inject a fault meanwhile and check the history."""
    deployment = Deployment(options=options)
    try:
        await deployment.start()
        scenario = parse_scenario(
            MIXED.format(
                duration=int(duration_s * 1000), seed=seed, move_with=move_with
            ),
            "scenario",
        )
        load = asyncio.create_task(
            run_load(scenario, list_entry_hosts(deployment), PASSWORD)
        )
        await asyncio.sleep(fault_after_s)
        started = time.monotonic()
        await fault(deployment)
        result = await load
        findings = check_history(result.operations, result.stored)
        return LiveRun(
            result=result,
            findings=findings,
            fault_at_s=started,
            logs=_read_log_ends(deployment),
        )
    finally:
        deployment.stop()
