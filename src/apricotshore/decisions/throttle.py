"""Adaptive throttling at the entry hosts.

An overloaded owner spends time on rejections that its requests need. Each entry
host therefore compares the requests that it sends with those that owners accept,
and rejects the surplus itself (see "Site Reliability Engineering", chapter 21).
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from ..identifiers import CallerId, DatabaseId, KindId

HALF_LIFE_MS = 500
HEADROOM = 1.6
MIN_SURPLUS = 8.0
MAX_FLOWS = 4_096


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleKey:
    """Flow of requests that are throttled together."""

    database: DatabaseId
    caller: CallerId
    kind: KindId


@dataclass(kw_only=True, slots=True)
class Tally:
    """Exponentially decayed counts of requests and of accepted requests."""

    requests: float = 0.0
    accepts: float = 0.0
    counted_at: int = 0


@dataclass(kw_only=True, slots=True)
class Throttle:
    """Tallies of the flows of one entry host, oldest first."""

    tallies: OrderedDict[ThrottleKey, Tally] = field(default_factory=OrderedDict)


def _find_tally(state: Throttle, key: ThrottleKey, now: int) -> Tally:
    tally = state.tallies.get(key)
    if tally is None:
        tally = state.tallies[key] = Tally(counted_at=now)
        if len(state.tallies) > MAX_FLOWS:
            state.tallies.popitem(last=False)
    decay = 0.5 ** ((now - tally.counted_at) / HALF_LIFE_MS)
    tally.requests *= decay
    tally.accepts *= decay
    tally.counted_at = now
    return tally


def admit(state: Throttle, key: ThrottleKey, draw: float, now: int) -> bool:
    """Return whether a request may be forwarded, and count it.

    Parameters
    ----------
    state
        Tallies of this host; changed in place.
    key
        Flow of the request.
    draw
        Random number from 0 to 1.
    now
        Monotonic milliseconds.
    """
    tally = _find_tally(state, key, now)
    surplus = tally.requests - HEADROOM * tally.accepts - MIN_SURPLUS
    share = surplus / (tally.requests + 1)
    tally.requests += 1
    return draw >= share


def record_accepted(state: Throttle, key: ThrottleKey, now: int) -> None:
    """Count a request that was not refused for overload."""
    _find_tally(state, key, now).accepts += 1
