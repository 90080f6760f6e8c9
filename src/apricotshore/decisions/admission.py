"""Admission and scheduling of requests on the slots of a database group.

Requests are queued per flow, a pair of caller and kind. Flows share the slots by
weighted fair queueing. Long requests may occupy only part of a server's slots. A
request that cannot meet its deadline is rejected before it runs.
"""

from collections import deque
from collections.abc import Callable, Mapping

from ..identifiers import ServerId
from ..verdicts import Failure, Reason, Verdict
from .backlog import (
    Assignment,
    Backlog,
    Flow,
    FlowId,
    Policy,
    Rejection,
    Running,
    Ticket,
    estimate_cost,
    update_cost,
)

LONG_WORK_MS = 60
# A longer queue adds latency but no throughput.
QUEUE_SHARE_OF_DEADLINE = 0.5
FLOW_QUEUE_LIMIT = 2_000
MIN_RETRY_MS = 50


Eligible = Callable[[Ticket], tuple[ServerId, ...]]


def estimate_wait(backlog: Backlog, ticket: Ticket, slots: int) -> float:
    """Return the estimated queueing time of a ticket in milliseconds.

    Parameters
    ----------
    backlog
        Queues of the database.
    ticket
        The request.
    slots
        Slots that can serve it.
    """
    flow = backlog.flows.get(ticket.flow)
    if flow is None or not flow.queue:
        return 0.0
    active = {f: q.queue[0].weight for f, q in backlog.flows.items() if q.queue}
    share = ticket.weight / sum(active.values())
    if backlog.policy is Policy.FIRST_COME:
        return sum(f.queued_ms for f in backlog.flows.values()) / max(slots, 1)
    return flow.queued_ms / (max(slots, 1) * share)


def _make_failure(reason: Reason, retry_ms: float, detail: str) -> Failure:
    return Failure(
        verdict=Verdict.NOT_RUN,
        reason=reason,
        detail=detail,
        retry_after_ms=max(MIN_RETRY_MS, int(retry_ms)),
    )


def enqueue(backlog: Backlog, ticket: Ticket, slots: int, now: int) -> Failure | None:
    """Queue a ticket or reject it.

    Parameters
    ----------
    backlog
        Queues of the database; changed in place.
    ticket
        The request.
    slots
        Slots that can serve it.
    now
        Monotonic milliseconds.

    Returns
    -------
    Failure or None
        None when the ticket is queued.
    """
    cost = estimate_cost(backlog, ticket)
    if backlog.policy is Policy.FAIR and not ticket.in_transaction:
        wait = estimate_wait(backlog, ticket, slots)
        left = (ticket.deadline_at - now) * QUEUE_SHARE_OF_DEADLINE
        if wait + cost > left:
            late = wait + cost - left
            return _make_failure(Reason.OVERLOAD, late, "the deadline cannot be met")
    flow = backlog.flows.setdefault(ticket.flow, Flow())
    if len(flow.queue) >= FLOW_QUEUE_LIMIT:
        return _make_failure(Reason.OVERLOAD, MIN_RETRY_MS, "the queue is full")
    if not flow.queue:
        flow.served = max(flow.served, backlog.served)
    if ticket.in_transaction:
        flow.queue.appendleft(ticket)
    else:
        flow.queue.append(ticket)
    flow.queued_ms += cost
    return None


def _pop_head(backlog: Backlog, flow: Flow) -> Ticket:
    ticket = flow.queue.popleft()
    flow.queued_ms = max(0.0, flow.queued_ms - estimate_cost(backlog, ticket))
    if not flow.queue:
        flow.queued_ms = 0.0
    return ticket


def _reject_late(backlog: Backlog, now: int) -> list[Rejection]:
    rejections: list[Rejection] = []
    for flow in backlog.flows.values():
        while flow.queue:
            head = flow.queue[0]
            cost = estimate_cost(backlog, head)
            margin = cost if backlog.policy is Policy.FAIR else 0.0
            if now + margin <= head.deadline_at:
                break
            _pop_head(backlog, flow)
            failure = _make_failure(
                Reason.DEADLINE, cost, "no slot before the deadline"
            )
            rejections.append(Rejection(ticket=head, failure=failure))
    return rejections


def _is_long(running: Running, now: int) -> bool:
    return running.cost_ms >= LONG_WORK_MS or now - running.started_at >= LONG_WORK_MS


def limit_long_work(slots: int) -> int:
    """Return how many of a server's slots long requests may occupy."""
    return max(1, slots // 2)


def _find_server(
    backlog: Backlog, ticket: Ticket, eligible: Eligible, now: int
) -> ServerId | None:
    candidates = eligible(ticket)
    if ticket.in_transaction:
        # All slots may be occupied by requests that wait for its locks.
        return candidates[0] if candidates else None
    busy = {server: 0 for server in candidates}
    long_busy = {server: 0 for server in candidates}
    for running in backlog.running.values():
        if running.server in busy:
            busy[running.server] += 1
            long_busy[running.server] += _is_long(running, now)
    limit_applies = (
        backlog.policy is Policy.FAIR and estimate_cost(backlog, ticket) >= LONG_WORK_MS
    )
    free = [
        server
        for server in candidates
        if busy[server] < backlog.slots[server]
        and not (
            limit_applies
            and long_busy[server] >= limit_long_work(backlog.slots[server])
        )
    ]
    if not free:
        return None
    return min(free, key=lambda s: (busy[s] - backlog.slots[s], s))


def _order_flows(backlog: Backlog) -> list[Flow]:
    waiting = [flow for flow in backlog.flows.values() if flow.queue]
    if backlog.policy is Policy.FIRST_COME:
        return sorted(waiting, key=lambda flow: flow.queue[0].number)
    return sorted(waiting, key=lambda f: (not f.queue[0].in_transaction, f.served))


def _start(backlog: Backlog, flow: Flow, server: ServerId, now: int) -> Assignment:
    cost = estimate_cost(backlog, flow.queue[0])
    backlog.served = max(backlog.served, flow.served)
    ticket = _pop_head(backlog, flow)
    flow.served += cost / ticket.weight
    backlog.running[ticket.number] = Running(
        ticket=ticket, server=server, started_at=now, cost_ms=cost
    )
    return Assignment(ticket=ticket, server=server)


def assign(
    backlog: Backlog, eligible: Eligible, now: int
) -> list[Assignment | Rejection]:
    """Assign free slots to queued requests.

    Parameters
    ----------
    backlog
        Queues of the database; changed in place.
    eligible
        Returns the servers that may run a ticket now.
    now
        Monotonic milliseconds.

    Returns
    -------
    list of Assignment or Rejection
        Tickets to run and to reject, in order.
    """
    acts: list[Assignment | Rejection] = list(_reject_late(backlog, now))
    while (started := _start_one(backlog, eligible, now)) is not None:
        acts.append(started)
    _remove_idle_flows(backlog)
    return acts


def _start_one(backlog: Backlog, eligible: Eligible, now: int) -> Assignment | None:
    full = len(backlog.running) >= sum(backlog.slots.values())
    for flow in _order_flows(backlog):
        if full and not flow.queue[0].in_transaction:
            break
        server = _find_server(backlog, flow.queue[0], eligible, now)
        if server is not None:
            return _start(backlog, flow, server, now)
    return None


def _remove_idle_flows(backlog: Backlog) -> None:
    idle = [
        name
        for name, flow in backlog.flows.items()
        if not flow.queue and flow.served <= backlog.served
    ]
    for name in idle:
        del backlog.flows[name]


def finish(backlog: Backlog, number: int, now: int) -> Running | None:
    """Release the slot of a ticket and update its estimated cost."""
    running = backlog.running.pop(number, None)
    if running is not None:
        update_cost(backlog, running.ticket.fingerprint, now - running.started_at)
    return running


def cancel_queued(backlog: Backlog, matches: Callable[[Ticket], bool]) -> list[Ticket]:
    """Remove all matching tickets from the queues and return them."""
    dropped: list[Ticket] = []
    for flow in backlog.flows.values():
        kept = deque(t for t in flow.queue if not matches(t))
        if len(kept) != len(flow.queue):
            dropped.extend(t for t in flow.queue if matches(t))
            flow.queue = kept
            flow.queued_ms = sum(estimate_cost(backlog, t) for t in kept)
    return dropped


def count_queued(backlog: Backlog) -> Mapping[FlowId, int]:
    """Return the queue length of each flow."""
    return {name: len(flow.queue) for name, flow in backlog.flows.items()}
