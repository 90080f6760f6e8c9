"""Choice of the allocator that a host reports to, and when it is counted there."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..decisions.ownership import weigh
from ..decisions.relays import ListedHost
from ..identifiers import HostId
from .messages import Stamp, TokensReply

# A single lost message is no reason to leave the allocator that counts this host.
FAILURES = 2
# Many hosts may have ended at once, so each of the others is tried once.
FAILURES_OF_OTHERS = 1
FIRST_BACKOFF_MS = 2_000
MAX_BACKOFF_MS = 16_000
SCOUT_MS = 2_000
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
    leader
        Allocator that hands out more than half of the tokens, None if unknown.
    scout_at
        When this host asks another one for the leader while it allocates for itself,
        in milliseconds since boot.
    unsure_until
        Until when nobody is believed about the leader, in milliseconds since boot.
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
    leader: HostId | None = None
    scout_at: int = 0
    unsure_until: int = 0
    last: tuple[HostId, Stamp] | None = None
    validity_ms: int = 0
    home: tuple[HostId, int] | None = None
    free_at: int = 0


def choose_allocator(choice: Choice, hosts: Iterable[ListedHost], now: int) -> HostId:
    """Return the host to report to.

    That is the allocator that leads, wherever it is known: moving to another one
    leaves all hosts uncounted for a while. Else it is the first by hash that answers,
    else this host. A host that comes first itself asks the next one at times, as a
    leader may be known there.
    """
    usable = {h.host for h in hosts if _is_usable(choice, h, now)}
    if choice.leader is not None and choice.leader in usable:
        return choice.leader
    ranked = sorted(usable, key=lambda host: weigh("allocator", host), reverse=True)
    if not ranked:
        return choice.local_host
    if ranked[0] == choice.local_host and len(ranked) > 1 and now >= choice.scout_at:
        choice.scout_at = now + SCOUT_MS
        return ranked[1]
    return ranked[0]


def _is_usable(choice: Choice, host: ListedHost, now: int) -> bool:
    if host.leaving:
        return False
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
    choice: Choice,
    allocator: HostId,
    reply: TokensReply,
    hosts: Mapping[HostId, ListedHost],
    now: int,
) -> bool:
    """Record a reply; return whether another allocator is to be asked at once."""
    choice.outages.pop(allocator, None)
    choice.last = (allocator, reply.stamp)
    choice.validity_ms = reply.validity_ms
    if reply.leading:
        choice.leader = allocator
        return False
    if choice.leader == allocator:
        # What others say of the leader may be old.
        choice.unsure_until = now + SCOUT_MS
    choice.leader = None
    referred = hosts.get(reply.referral) if reply.referral is not None else None
    if referred is None or now < choice.unsure_until:
        return False
    if referred.host == choice.local_host or not _is_usable(choice, referred, now):
        return False
    choice.leader = referred.host
    return True


def observe_failure(choice: Choice, allocator: HostId, now: int) -> None:
    """Record a request without a reply."""
    outage = choice.outages.setdefault(allocator, Outage())
    outage.count += 1
    is_home = choice.home is not None and choice.home[0] == allocator
    if outage.count < (FAILURES if is_home else FAILURES_OF_OTHERS):
        return
    pause = outage.pause_ms * 2 or FIRST_BACKOFF_MS
    outage.pause_ms = min(pause, MAX_BACKOFF_MS)
    outage.until = now + outage.pause_ms
    if choice.leader == allocator:
        choice.leader = None
