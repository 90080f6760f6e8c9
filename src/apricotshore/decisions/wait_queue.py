"""Waiting for a connection: who is next, and who is refused at once."""

import heapq
from dataclasses import dataclass, field

# A statement that waits longer than this share of its latency objective
# without being sent is better refused: the caller can try another host.
WAIT_SHARE_OF_TARGET = 0.24
# Full servers are asked again for this share of it: their queues drain in less.
RETRY_SHARE_OF_TARGET = 0.5
MIN_RETRY_MS = 50
# A change of primary takes about this long from the first silence on.
OUTAGE_MS = 2_000
# A server that is full of other hosts' connections stays so for a while.
FULL_SERVER_RETRY_MS = 500


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Waiter:
    """A statement that waits for a connection to one server.

    Parameters
    ----------
    priority
        0 goes first.
    number
        Order of arrival.
    give_up_at
        When it is refused, in milliseconds since boot.
    """

    priority: int
    number: int
    expires_at: int


@dataclass(kw_only=True, slots=True)
class WaitQueue:
    """Statements that wait for a connection to one server.

    Parameters
    ----------
    hold_ms
        Smoothed time for which a statement or a transaction holds a
        connection.
    """

    heap: list[Waiter] = field(default_factory=list)
    hold_ms: float = 20.0


def limit_wait(target_ms: int, left_ms: int) -> int:
    """Return how long a statement may wait before it is sent."""
    return max(0, min(int(target_ms * WAIT_SHARE_OF_TARGET), left_ms))


def limit_retries(target_ms: int, left_ms: int) -> int:
    """Return for how long a statement may be offered to full servers."""
    return max(0, min(int(target_ms * RETRY_SHARE_OF_TARGET), left_ms))


def enqueue(queue: WaitQueue, waiter: Waiter) -> None:
    """Add a statement to the line."""
    heapq.heappush(queue.heap, waiter)


def remove(queue: WaitQueue, waiter: Waiter) -> None:
    """Remove a statement that no longer waits."""
    if waiter in queue.heap:
        queue.heap.remove(waiter)
        heapq.heapify(queue.heap)


def dequeue(queue: WaitQueue, now: int) -> Waiter | None:
    """Remove and return the statement that goes next, None without one."""
    while queue.heap:
        waiter = heapq.heappop(queue.heap)
        if waiter.expires_at >= now:
            return waiter
    return None


def observe_hold(queue: WaitQueue, held_ms: float) -> None:
    """Take in for how long a connection was held."""
    queue.hold_ms += 0.1 * (held_ms - queue.hold_ms)


def advise_retry_ms(queue: WaitQueue, connections: int) -> int:
    """Return when a refused caller may come back, in milliseconds.

    Parameters
    ----------
    line
        Who waits for a connection.
    connections
        Connections that this host holds to the server; without any it depends
        on those that other hosts give back.
    """
    if connections == 0:
        return FULL_SERVER_RETRY_MS
    ahead = len(queue.heap) + 1
    return max(MIN_RETRY_MS, int(ahead * queue.hold_ms / connections))


def advise_outage_retry_ms(since: int | None, now: int) -> int:
    """Return when a caller may come back that was refused for want of a primary.

    Parameters
    ----------
    since
        Since when no primary answers, in milliseconds since boot.
    now
        Milliseconds since boot.
    """
    gone = 0 if since is None else now - since
    return max(MIN_RETRY_MS, OUTAGE_MS - gone)
