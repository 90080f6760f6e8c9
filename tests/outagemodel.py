"""Model of callers during one outage of a primary: ``python -m tests.outagemodel``."""

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field, replace

from apricotshore import outages
from apricotshore.decisions import wait_queue
from apricotshore.outages import Cause, OutageHistory, Reject, Timing, Wait
from apricotshore.outages.refusals import SERVICE_MS

SLOTS, QUEUE, RATE_PER_S, BEGAN_MS, RUN_MS = 5, 24, 120, 1_000, 12_000
STEP_MS = 20
RETRIES = 2
POLICIES = ("today", "at once", "to the deadline", "decision")


@dataclass(kw_only=True, slots=True)
class Operation:
    """An operation of a caller, which sends its statement up to three times."""

    number: int
    began: int
    service: int
    tries: int = 0
    arrived: int = 0
    held: int = 0


@dataclass(kw_only=True, slots=True)
class Server:
    """A primary whose slots take statements from a queue of limited length."""

    slots: list[int] = field(default_factory=lambda: [0] * SLOTS)
    queued: list[int] = field(default_factory=list)

    def take(self, operation: Operation, at: int) -> int | None:
        """Return when a statement is answered, None when the queue is full."""
        self.queued = [begins for begins in self.queued if begins > at]
        if len(self.queued) >= QUEUE:
            return None
        begins = max(at, heapq.heappop(self.slots))
        self.queued.append(begins)
        heapq.heappush(self.slots, begins + operation.service)
        return begins + operation.service


def decide(
    policy: str, history: OutageHistory, timing: Timing, request: str, at: int
) -> Wait | Reject:
    """Return what a policy does with a statement during the outage."""
    if policy == "today":
        hint = wait_queue.advise_outage_retry_ms(BEGAN_MS, at)
        is_late = at >= timing.expires_at
        return Reject(retry_ms=hint) if is_late else Wait(until=timing.expires_at)
    if policy == "at once":
        return Reject(retry_ms=outages.advise_retry_ms(history, request, at))
    if policy == "to the deadline":
        timing = replace(timing, expires_at=timing.deadline_at - SERVICE_MS)
    return outages.decide(history, timing, request, at)


def list_operations(seed: int) -> list[tuple[int, int, Operation]]:
    """Return the operations of a run, by the time at which they begin."""
    chance = random.Random(seed)
    events: list[tuple[int, int, Operation]] = []
    now = 0.0
    while now < RUN_MS:
        now += chance.expovariate(RATE_PER_S / 1_000)
        number, service = len(events), chance.randint(8, 40)
        operation = Operation(number=number, began=int(now), service=service)
        events.append((int(now), number, operation))
    return events


def play(
    policy: str,
    lasts_ms: int,
    cause: Cause,
    *,
    seed: int = 1,
    target_ms: int = 800,
    timeout_ms: int = 1_500,
    heeds: bool = True,
) -> tuple[float, float, int]:
    """Return the shares served in the objective and at all, and the crest per 100 ms.

    Only operations that begin during the outage or within 1 s after it count. Callers
    that don't heed the hint retry after 50 ms.
    """
    history, server = OutageHistory(), Server()
    ends = BEGAN_MS + lasts_ms
    events = list_operations(seed)
    is_counted = range(BEGAN_MS, ends + 1_000).__contains__
    counted = sum(is_counted(operation.began) for _, _, operation in events)
    in_time = served = 0
    returns: Counter[int] = Counter()

    def push(operation: Operation, at: int) -> None:
        heapq.heappush(events, (at, operation.number, operation))

    def reject(operation: Operation, at: int, hint: int) -> None:
        operation.tries += 1
        operation.arrived = operation.held = 0
        if operation.tries <= RETRIES:
            push(operation, at + (hint if heeds else 50))

    while events:
        at, _, operation = heapq.heappop(events)
        if not operation.arrived:
            operation.arrived = at
            returns[at // 100] += ends <= at < ends + 2_000
        arrived = operation.arrived
        if BEGAN_MS <= at < ends:
            outages.observe(history, cause, BEGAN_MS, at)
            timing = Timing(
                arrived_at=arrived,
                expires_at=arrived + wait_queue.limit_wait(target_ms, timeout_ms),
                objective_at=arrived + target_ms,
                deadline_at=arrived + timeout_ms,
            )
            found = decide(policy, history, timing, str(operation.number), at)
            if isinstance(found, Wait):
                until = max(at + 1, min(found.until, ends))
                operation.held = until - arrived
                push(operation, until)
            else:
                reject(operation, at, found.retry_ms)
            continue
        answered = server.take(operation, at)
        if answered is not None:
            served += is_counted(operation.began)
            is_late = answered - operation.began > target_ms
            in_time += is_counted(operation.began) and not is_late
            continue
        patience = wait_queue.limit_retries(target_ms, timeout_ms)
        patience += operation.held * (policy != "today")
        if at - arrived >= min(patience, timeout_ms - STEP_MS):
            reject(operation, at, wait_queue.MIN_RETRY_MS)
        else:
            push(operation, at + STEP_MS)
    return in_time / counted, served / counted, max(returns.values(), default=0)


def main() -> None:
    """Print what callers get, for each outage and policy."""
    for target_ms, timeout_ms in ((800, 1_500), (500, 1_000)):
        for heeds in (True, False):
            print(f"target {target_ms}, timeout {timeout_ms}, heeds hints: {heeds}")
            for cause in (Cause.REPLACED, Cause.SILENT):
                for lasts_ms in (150, 700, 1_500, 3_000, 5_000):
                    cells = []
                    for policy in POLICIES:
                        runs = [
                            play(
                                policy,
                                lasts_ms,
                                cause,
                                seed=seed,
                                target_ms=target_ms,
                                timeout_ms=timeout_ms,
                                heeds=heeds,
                            )
                            for seed in range(1, 6)
                        ]
                        means = [sum(run[i] for run in runs) / 5 for i in range(3)]
                        cells.append(f"{means[0]:.3f} {means[1]:.3f} {means[2]:3.0f}")
                    print(f"{cause.name:9}{lasts_ms:5} ms | " + " | ".join(cells))


if __name__ == "__main__":
    main()
