"""Throttling at the entry hosts: shed there what an owner would refuse.

An owner that refuses for overload spends the time of its own requests on
refusals. Each entry host therefore compares what it sends with what owners
accept and refuses the surplus itself (adaptive throttling, as described in
"Site Reliability Engineering", chapter 21).
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
    """Requests that are throttled together."""

    database: DatabaseId
    caller: CallerId
    kind: KindId


@dataclass(kw_only=True, slots=True)
class Tally:
    """Decayed counts of requests and of those that were accepted."""

    requests: float = 0.0
    accepts: float = 0.0
    counted_at: int = 0


@dataclass(kw_only=True, slots=True)
class Throttle:
    """Tallies of the flows that pass through one host, oldest first."""

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
    """Return whether a request should be sent on, and count it.

    Parameters
    ----------
    state
        Tallies of this host; changed in place.
    key
        Flow of the request.
    draw
        Random number from 0 to 1, drawn by the service.
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
