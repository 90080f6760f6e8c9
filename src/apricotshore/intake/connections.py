"""Number of clients' connections, and which of them are closed."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum

from ..identifiers import ClientNumber
from .limits import IntakeLimits

# A session that is quiet for a shorter time is about to send its next statement.
LEAST_QUIET_MS = 1_000


class Phase(Enum):
    """What a client's connection waits for.

    A received statement or start is whole and waits for its turn. From then on its
    connection is neither idle nor late.
    """

    STARTING = "starting"
    IDLE = "idle"
    RECEIVING = "receiving"
    RECEIVED = "received"
    RUNNING = "running"
    SENDING = "sending"
    CLOSING = "closing"


@dataclass(kw_only=True, slots=True)
class ClientConnection:
    """A client's connection.

    Parameters
    ----------
    client
        Number of the connection.
    phase
        What it waits for.
    since
        When that began, in milliseconds since boot.
    due_at
        When it is closed unless that has ended, None for never.
    in_transaction
        Whether a transaction is open.
    """

    client: ClientNumber
    phase: Phase
    since: int
    due_at: int | None = None
    in_transaction: bool = False


def may_accept(limits: IntakeLimits, open_count: int) -> bool:
    """Return whether one more connection may be accepted.

    Connections that are being closed count until their descriptors are free.
    """
    return open_count < limits.connections


def choose_for_room(
    limits: IntakeLimits, connections: Collection[ClientConnection], now: int
) -> ClientNumber | None:
    """Return the connection to close before another is accepted, None without one.

    Connections that have not started give way first, the oldest of them, so that a
    crowd of them holds up nobody who sends a STARTUP at once. Then sessions outside of
    transactions that have been quiet longest.
    """
    starting = [c for c in connections if c.phase is Phase.STARTING]
    if len(starting) >= limits.starting:
        return _find_oldest(starting)
    is_closing = any(c.phase is Phase.CLOSING for c in connections)
    if is_closing or may_accept(limits, len(connections)):
        return None
    quiet = [
        c
        for c in connections
        if c.phase in (Phase.IDLE, Phase.RECEIVING)
        and not c.in_transaction
        and now - c.since >= LEAST_QUIET_MS
    ]
    return _find_oldest(starting or quiet)


def _find_oldest(connections: Iterable[ClientConnection]) -> ClientNumber | None:
    oldest = min(connections, key=lambda c: c.since, default=None)
    return None if oldest is None else oldest.client


def list_overdue(
    connections: Iterable[ClientConnection], now: int
) -> list[ClientConnection]:
    """List the connections whose time has passed."""
    return [c for c in connections if c.due_at is not None and now >= c.due_at]
