"""Admission and scheduling of requests on the slots of a database group.

Requests are queued per flow, a pair of caller and kind. Flows share the slots by
weighted fair queueing. Long requests may occupy only part of a server's slots. A
request that cannot meet its deadline is rejected before it runs.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from ..identifiers import CallerId, Fingerprint, KindId, ServerId
from ..verdicts import Failure, Reason, Verdict

LONG_WORK_MS = 60
DEFAULT_COST_MS = 5.0
DEFAULT_LONG_COST_MS = 300.0
COST_SMOOTHING = 0.2
MAX_COSTS = 4_096
# A longer queue adds latency but no throughput.
QUEUE_SHARE_OF_DEADLINE = 0.5
FLOW_QUEUE_LIMIT = 2_000
MIN_RETRY_MS = 50


class Policy(Enum):
    """Order of queued requests; FIRST_COME is the baseline for measurements."""

    FAIR = "fair"
    FIRST_COME = "first-come"


@dataclass(frozen=True, kw_only=True, slots=True)
class FlowId:
    """Requests of one caller and one kind."""

    caller: CallerId
    kind: KindId


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """A request that waits for a slot.

    Parameters
    ----------
    number
        Unique number assigned by the owner.
    flow
        Caller and kind.
    weight
        Weight of the kind in fair queueing.
    fingerprint
        Statement shape; costs are estimated by it.
    declared_long
        Whether the kind is declared as long.
    arrived_at, deadline_at
        Monotonic milliseconds.
    in_transaction
        Whether it belongs to an open transaction. It then goes first and needs
        no free slot, because the transaction holds locks and a connection.
    """

    number: int
    flow: FlowId
    weight: int
    fingerprint: Fingerprint
    declared_long: bool
    arrived_at: int
    deadline_at: int
    in_transaction: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Assignment:
    """Action: run a ticket at a server."""

    ticket: Ticket
    server: ServerId


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejection:
    """Action: fail a ticket without running it."""

    ticket: Ticket
    failure: Failure


@dataclass(frozen=True, kw_only=True, slots=True)
class Running:
    """A ticket that occupies a slot."""

    ticket: Ticket
    server: ServerId
    started_at: int
    cost_ms: float


@dataclass(kw_only=True, slots=True)
class Flow:
    """Queue of one flow and its weighted service so far."""

    queue: deque[Ticket] = field(default_factory=deque)
    queued_ms: float = 0.0
    served: float = 0.0


@dataclass(kw_only=True, slots=True)
class Backlog:
    """Queued and running requests of one database.

    Parameters
    ----------
    slots
        Number of slots of each backend server.
    policy
        Order of service.
    flows
        Queue of each flow.
    running
        Tickets that occupy a slot, by their number.
    costs
        Estimated run time of each statement shape in milliseconds, least recently
        updated first.
    served
        Virtual time: highest weighted service of a flow when it got a slot. A flow
        that was empty starts from it, so that idle time earns no credit.
    """

    slots: dict[ServerId, int]
    policy: Policy = Policy.FAIR
    flows: dict[FlowId, Flow] = field(default_factory=dict)
    running: dict[int, Running] = field(default_factory=dict)
    costs: OrderedDict[Fingerprint, float] = field(default_factory=OrderedDict)
    served: float = 0.0


Eligible = Callable[[Ticket], tuple[ServerId, ...]]


def estimate_cost(backlog: Backlog, ticket: Ticket) -> float:
    """Return the estimated run time of a ticket in milliseconds."""
    known = backlog.costs.get(ticket.fingerprint)
    if known is not None:
        return known
    return DEFAULT_LONG_COST_MS if ticket.declared_long else DEFAULT_COST_MS


def update_cost(backlog: Backlog, fingerprint: Fingerprint, run_ms: float) -> None:
    """Update the estimated cost of a statement shape."""
    old = backlog.costs.pop(fingerprint, run_ms)
    backlog.costs[fingerprint] = old + COST_SMOOTHING * (run_ms - old)
    while len(backlog.costs) > MAX_COSTS:
        backlog.costs.popitem(last=False)


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
