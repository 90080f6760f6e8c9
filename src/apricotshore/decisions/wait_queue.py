"""Priority queue of statements that wait for a connection."""

import heapq
from dataclasses import dataclass, field

from ..identifiers import OrganisationId

# A statement that waits longer than this share of its latency objective is
# rejected, so that the caller can try another host.
WAIT_SHARE_OF_TARGET = 0.24
# Statements are retried at full servers for this share of the objective; the
# servers' queues drain in less time.
RETRY_SHARE_OF_TARGET = 0.5
MIN_RETRY_MS = 50
# Approximate duration of a change of primary, from the first missing answer.
OUTAGE_MS = 2_000
# A server whose log is awaited leads no sooner than that after its return.
LOG_RETRY_MS = 1_000
# The connections of other hosts that fill a server are not released sooner.
FULL_SERVER_RETRY_MS = 500
# Time for which a statement lets those of other organisations reuse their connections.
# Half of the wait at a relay, and some times what a new connection costs.
REUSE_MS = 30


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Waiter:
    """A statement that waits for a connection to one server.

    Parameters
    ----------
    priority
        Lower values go first.
    number
        Order of arrival.
    expires_at
        When it is rejected, in milliseconds since boot.
    organisation
        Organisation that it belongs to, None without one.
    takes_any
        Whether it runs on a connection of any organisation.
    since
        When it began to wait, in milliseconds since boot.
    """

    priority: int
    number: int
    expires_at: int
    organisation: OrganisationId | None = field(default=None, compare=False)
    takes_any: bool = field(default=False, compare=False)
    since: int = field(default=0, compare=False)

    def fits(self, organisation: OrganisationId | None) -> bool:
        """Return whether it runs on a connection of an organisation."""
        return self.takes_any or self.organisation == organisation


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
    """Return how long a statement is retried at full servers, in milliseconds."""
    return max(0, min(int(target_ms * RETRY_SHARE_OF_TARGET), left_ms))


def enqueue(queue: WaitQueue, waiter: Waiter) -> None:
    """Add a statement to the queue."""
    heapq.heappush(queue.heap, waiter)


def remove(queue: WaitQueue, waiter: Waiter) -> None:
    """Remove a statement that no longer waits."""
    if waiter in queue.heap:
        queue.heap.remove(waiter)
        heapq.heapify(queue.heap)


def dequeue(queue: WaitQueue, now: int) -> Waiter | None:
    """Remove and return the next statement that is not expired, None without one."""
    while queue.heap:
        waiter = heapq.heappop(queue.heap)
        if waiter.expires_at >= now:
            return waiter
    return None


def dequeue_for(
    queue: WaitQueue,
    organisation: OrganisationId | None,
    now: int,
    *,
    may_replace: bool,
) -> Waiter | None:
    """Remove and return the next statement for a released connection.

    The first one that fits the connection's organisation goes first, so that the
    connection is used again; but one of another organisation, of the same or a higher
    priority, that has waited for `REUSE_MS` goes before it.

    Parameters
    ----------
    queue
        Statements that wait for a connection.
    organisation
        Organisation that the connection belongs to, None without one.
    now
        Milliseconds since boot.
    may_replace
        Whether the connection may be closed to open one for another organisation.

    Returns
    -------
    Waiter or None
        None when no statement waits that is not expired.
    """
    if all(w.fits(organisation) for w in queue.heap):
        return dequeue(queue, now)
    waiting = sorted(w for w in queue.heap if w.expires_at >= now)
    fitting = next((w for w in waiting if w.fits(organisation)), None)
    others = [w for w in waiting if may_replace and not w.fits(organisation)]
    chosen = fitting or next(iter(others), None)
    if fitting is not None:
        overdue = [
            w
            for w in others
            if w.priority <= fitting.priority and now - w.since >= REUSE_MS
        ]
        chosen = min(overdue, key=lambda w: (w.priority, w.since), default=fitting)
    queue.heap = [w for w in waiting if w is not chosen]
    return chosen


def observe_hold(queue: WaitQueue, held_ms: float) -> None:
    """Record how long a connection was occupied."""
    queue.hold_ms += 0.1 * (held_ms - queue.hold_ms)


def advise_retry_ms(queue: WaitQueue, connections: int) -> int:
    """Return after how many milliseconds a rejected caller should retry.

    Parameters
    ----------
    queue
        Statements that wait for a connection.
    connections
        Open connections of this host to the server; with none, it has to wait
        until other hosts close theirs.
    """
    if connections == 0:
        return FULL_SERVER_RETRY_MS
    ahead = len(queue.heap) + 1
    return max(MIN_RETRY_MS, int(ahead * queue.hold_ms / connections))


def advise_outage_retry_ms(since: int | None, now: int) -> int:
    """Return after how many milliseconds a caller rejected without primary may retry.

    Parameters
    ----------
    since
        Since when no primary answers, in milliseconds since boot.
    now
        Milliseconds since boot.
    """
    gone = 0 if since is None else now - since
    return max(MIN_RETRY_MS, OUTAGE_MS - gone)
