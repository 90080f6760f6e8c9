"""End of the log below which no server of a group may be promoted.

A commit is acknowledged once the primary and one replica hold it. So everything that
was acknowledged lies at or below the second-longest log of all members, where one whose
log isn't known may have any length. A server whose log ends there holds it all. While
too many logs are unknown, nobody may be promoted: waiting without a primary is the
price of losing nothing.

The floor is kept in the lease on the group's change of primary. It outlives the change
and its holder, so what one has read of a log counts for the next one as well. A log of
a newer term that began at or above it lies above it.

A member is anyone that was listed since the last settled change. One whose entry has
only run out still counts: its log may be back with it.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from ..groups import LogPosition
from ..identifiers import ServerId
from .change_members import log_order

# An acknowledged commit is stored on the primary and on one replica.
COPIES_PER_COMMIT = 2

# Sort key of the end of a log.
End = tuple[float, float]
UNKNOWN_END: End = (float("inf"), float("inf"))
# Stands for a server that nobody knows.
ANY_SERVER = ServerId("")
EMPTY_END: End = (0, 0)


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredMember:
    """A server that may hold acknowledged commits, as the lease names it.

    Parameters
    ----------
    server
        The server.
    address
        Its ``ip:port``. A server that leaves hands its log to its successor there.
    started_ms
        When it started, in Unix milliseconds. Another value for the same server means
        that it has lost its log.
    """

    server: ServerId
    address: str
    started_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LogFloor:
    """End of the log below which no server of a group may be promoted.

    Parameters
    ----------
    end
        The end, None while none is known.
    holder, holder_started_ms
        Server that was known to hold a log up to it, and when that had started, 0 if
        that isn't known. In Unix milliseconds.
    unknown
        Servers whose logs weren't known then. Once they are, it may be too high.
    members
        Servers that may hold acknowledged commits, listed or not.
    """

    end: LogPosition | None = None
    holder: ServerId | None = None
    holder_started_ms: int = 0
    unknown: tuple[ServerId, ...] = (ANY_SERVER,)
    members: tuple[StoredMember, ...] = ()


NO_FLOOR = LogFloor()


def raise_floor(floor: LogFloor, end: LogPosition) -> LogFloor:
    """Return a floor that is at least at an end, whatever becomes known."""
    if floor.end is not None and log_order(floor.end) >= log_order(end):
        return floor
    return LogFloor(end=end, members=floor.members)


def is_below(floor: LogFloor, other: LogFloor) -> bool:
    """Return whether a floor's end lies below that of another."""
    return find_floor_end(floor) < find_floor_end(other)


def find_floor_end(floor: LogFloor) -> End:
    """Return the sort key of a floor's end."""
    return EMPTY_END if floor.end is None else log_order(floor.end)


def count_missing(end: End, needed: End) -> int:
    """Return how many entries a log lacks of a needed end, at least one if it does."""
    return 0 if end >= needed else max(1, int(needed[1] - end[1]))


def find_needed_end(
    floor: LogFloor,
    ends: Mapping[ServerId, End],
    lost_ends: Collection[End] = (),
    led_end: End = UNKNOWN_END,
) -> End | None:
    """Return the end that a server's log has to reach, None while it isn't known.

    Parameters
    ----------
    floor
        The floor that earlier changes left.
    ends
        Ends of the logs of all members, `UNKNOWN_END` of those that aren't known.
    lost_ends
        Ends up to which logs that were lost count.
    led_end
        End of the logs of all servers that have led, `UNKNOWN_END` if it isn't known.
    """
    # A lost log that reaches the floor stands for that of a holder which lost it.
    is_holder_lost = any(end >= find_floor_end(floor) for end in lost_ends)
    logs = list(ends.values()) if is_holder_lost else _read_logs(floor, ends)
    logs.extend(lost_ends)
    longest = sorted(logs, reverse=True)[:COPIES_PER_COMMIT]
    needed = min(max(longest[-1:], default=EMPTY_END), led_end)
    if not _is_outdated(floor, ends):
        needed = max(needed, find_floor_end(floor))
    return None if needed == UNKNOWN_END else needed


def _read_logs(floor: LogFloor, ends: Mapping[ServerId, End]) -> list[End]:
    """Return the ends of logs, that of a holder that lost its log as unknown."""
    floor_end = find_floor_end(floor)
    return [
        UNKNOWN_END if server == floor.holder and end < floor_end else end
        for server, end in ends.items()
    ]


def _is_outdated(floor: LogFloor, ends: Mapping[ServerId, End]) -> bool:
    """Return whether all logs are known by now that weren't when the floor was set.

    The floor was at the longest log known then, for an unknown one could reach as far.
    What is needed by the ends that are known now replaces it.
    """
    return bool(floor.unknown) and all(
        _is_known(ends.get(server, UNKNOWN_END)) for server in floor.unknown
    )


def _is_known(end: End) -> bool:
    """Return whether a log is known that is no empty one: such a one was lost."""
    return end != UNKNOWN_END and end[1] > 0
