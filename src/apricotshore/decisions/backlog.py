"""Queued and running requests of one database, and the estimates of their costs."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum

from ..identifiers import CallerId, Fingerprint, KindId, ServerId
from ..verdicts import Failure

DEFAULT_COST_MS = 5.0
DEFAULT_LONG_COST_MS = 300.0
COST_SMOOTHING = 0.2
MAX_COSTS = 4_096


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
