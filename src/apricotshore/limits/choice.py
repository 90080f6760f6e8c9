"""Choice of the allocator that a host reports to, and when it is counted there."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..decisions.ownership import weigh
from ..decisions.relays import ListedHost
from ..identifiers import HostId
from .messages import Stamp

# A single lost message is no reason to leave an allocator.
FAILURES = 2
FIRST_BACKOFF_MS = 2_000
MAX_BACKOFF_MS = 16_000
# Validities of a lease after which a host is counted by another allocator: in the
# first one its count at the former one ends, in the second the leases that the
# former one granted before that.
QUARANTINE_VALIDITIES = 2


@dataclass(kw_only=True, slots=True)
class Outage:
    """Failures of a host as an allocator.

    Parameters
    ----------
    count
        Failures since its last reply.
    until
        Until when it isn't asked, in milliseconds since boot.
    pause_ms
        Length of that pause; doubled at each failure.
    """

    count: int = 0
    until: int = 0
    pause_ms: int = 0


@dataclass(kw_only=True, slots=True)
class Choice:
    """Allocator that a host reports to.

    Parameters
    ----------
    local_host
        This host.
    outages
        Failures of other hosts.
    last
        Host that sent the last reply, and the stamp of that.
    validity_ms
        Validity of the leases of that reply.
    home
        Host and epoch of the allocator that may count this host.
    free_at
        When another allocator may, in milliseconds since boot.
    """

    local_host: HostId
    outages: dict[HostId, Outage] = field(default_factory=dict)
    last: tuple[HostId, Stamp] | None = None
    validity_ms: int = 0
    home: tuple[HostId, int] | None = None
    free_at: int = 0


def choose_allocator(choice: Choice, hosts: Iterable[ListedHost], now: int) -> HostId:
    """Return the host to report to: the first by hash that answers, else this one."""
    candidates = [
        h.host
        for h in hosts
        if not h.leaving and (h.host == choice.local_host or _is_usable(choice, h, now))
    ]
    if not candidates:
        return choice.local_host
    return max(candidates, key=lambda host: weigh("allocator", host))


def _is_usable(choice: Choice, host: ListedHost, now: int) -> bool:
    outage = choice.outages.get(host.host)
    return outage is None or now >= outage.until


def choose_stamp(choice: Choice, allocator: HostId, now: int) -> Stamp | None:
    """Return the stamp to repeat in a request that is sent now.

    An allocator counts a host only at a repeated stamp. None while another one may
    count the host, or hold for it what it granted.
    """
    if choice.last is None or choice.last[0] != allocator:
        return None
    stamp = choice.last[1]
    home = (allocator, stamp.epoch)
    if home != choice.home and now < choice.free_at:
        return None
    choice.home = home
    choice.free_at = now + QUARANTINE_VALIDITIES * choice.validity_ms
    return stamp


def observe_reply(
    choice: Choice, allocator: HostId, stamp: Stamp, validity_ms: int
) -> None:
    """Record a reply."""
    choice.outages.pop(allocator, None)
    choice.last = (allocator, stamp)
    choice.validity_ms = validity_ms


def observe_failure(choice: Choice, allocator: HostId, now: int) -> None:
    """Record a request without a reply."""
    outage = choice.outages.setdefault(allocator, Outage())
    outage.count += 1
    if outage.count < FAILURES:
        return
    pause = outage.pause_ms * 2 or FIRST_BACKOFF_MS
    outage.pause_ms = min(pause, MAX_BACKOFF_MS)
    outage.until = now + outage.pause_ms
