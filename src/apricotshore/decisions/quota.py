"""How many connections to one backend server this host may open.

The server's limit is shared by all hosts, which do not know each other. A host
opens connections on demand. When the server refuses one, every host that is
refused halves what it holds and then grows again step by step, so that shares
become even; as long as none is refused, idle connections are kept for longer. A host
that holds its largest number would not be refused, and tries one more at times.
"""

from dataclasses import dataclass

GROWTH_INTERVAL_MS = 400
# A host without any connection looks for a free one more often.
EMPTY_RETRY_MS = 80
# One host never takes more than this share of a server's connections, and one to try.
MAX_SHARE = 0.5
# A host that wants more than its largest number tries one more this long after it last
# opened one.
TRIAL_INTERVAL_MS = 800
# Share of a server's connections for its relays; the rest is left to hosts that
# cannot reach a relay.
RELAYS_SHARE = 0.85
RESERVED_CONNECTIONS = 2
# Servers count the connections of a host that lost power for seconds: few idle
# ones leave room for its successor.
SHORT_IDLE_MS = 700
# A new connection costs the server a slot for 10 to 30 ms.
LONG_IDLE_MS = 2_000
SCARCE_MS = 5_000
# Connections to the relays of a server, which cost the server nothing, where each
# belongs to one organisation.
MAX_RELAYED = 64
# Share of its connections that a relay keeps while they are idle.
RELAY_KEPT_SHARE = 0.5


@dataclass(kw_only=True, slots=True)
class ConnectionQuota:
    """Connections that this host may hold to one server.

    Parameters
    ----------
    limit
        Connections that the server accepts from all hosts together.
    relays
        Number of relays that share them; 0 if all hosts connect directly.
    is_relay
        Whether this host connects to the server for others.
    is_relayed
        Whether this host connects to the server through others.
    by_organisation
        Whether each connection belongs to one organisation.
    share
        Largest number for this host at the last rejection, None before.
    refused_at
        When the server last rejected one, in milliseconds since boot.
    opened_at
        When this host last began to open one, in milliseconds since boot.
    """

    limit: int
    relays: int = 0
    is_relay: bool = False
    is_relayed: bool = False
    by_organisation: bool = False
    share: int | None = None
    refused_at: int | None = None
    opened_at: int = 0


def find_max(quota: ConnectionQuota, now: int) -> int:
    """Return how many connections this host may hold at present."""
    share = MAX_SHARE
    if quota.relays > 1:
        share = RELAYS_SHARE / quota.relays
    largest = int((quota.limit - RESERVED_CONNECTIONS) * share)
    if _has_links(quota):
        largest = MAX_RELAYED
    if quota.share is not None and quota.refused_at is not None:
        steps = (now - quota.refused_at) // GROWTH_INTERVAL_MS
        largest = min(largest, quota.share + steps)
    return max(1, largest)


def _has_links(quota: ConnectionQuota) -> bool:
    """Return whether connections lead to relays, one or more for an organisation."""
    return quota.is_relayed and quota.by_organisation


def may_open(quota: ConnectionQuota, held: int, now: int) -> bool:
    """Return whether one more connection may be opened."""
    refused = quota.refused_at
    pause = GROWTH_INTERVAL_MS if held else EMPTY_RETRY_MS
    if refused is not None and now - refused < pause:
        return False
    largest = find_max(quota, now)
    return held < largest or (held == largest and _may_try(quota, now))


def _may_try(quota: ConnectionQuota, now: int) -> bool:
    """Return whether to see if the server refuses one more than the largest number.

    Relays leave connections to others, however many of them they hold.
    """
    return not quota.relays and now - quota.opened_at >= TRIAL_INTERVAL_MS


def may_replace(quota: ConnectionQuota, now: int) -> bool:
    """Return whether to close a connection to open another one.

    That takes no further connection of the server. One that has refused a moment ago
    has none left, and the other one would be refused too.
    """
    refused = quota.refused_at
    return refused is None or now - refused >= EMPTY_RETRY_MS


def observe_opening(quota: ConnectionQuota, now: int) -> None:
    """Record that this host begins to open a connection."""
    quota.opened_at = now


def observe_refusal(quota: ConnectionQuota, held: int, now: int) -> None:
    """Record that the server rejected a connection.

    Parameters
    ----------
    quota
        Quota of the server; changed in place.
    held
        Connections that this host holds without the rejected one.
    now
        Milliseconds since boot.
    """
    quota.share = max(1, held // 2)
    quota.refused_at = now


def is_scarce(quota: ConnectionQuota, now: int) -> bool:
    """Return whether the server rejected a connection recently."""
    refused = quota.refused_at
    return refused is not None and now - refused < SCARCE_MS


def find_idle_limit_ms(quota: ConnectionQuota, now: int) -> int:
    """Return for how long an idle connection is kept."""
    return SHORT_IDLE_MS if is_scarce(quota, now) else LONG_IDLE_MS


def count_kept_idle(quota: ConnectionQuota, now: int) -> int:
    """Return how many idle connections are kept without a limit of time.

    A relay serves bursts of many hosts that send little each. Opened anew at every
    burst, connections would cost the server more slot time than the statements. Where
    each belongs to one organisation, fewer of them fit the next burst: it keeps all.
    """
    if is_scarce(quota, now):
        return 0
    if _has_links(quota):
        return find_max(quota, now)
    if not quota.is_relay:
        return 1
    share = 1.0 if quota.by_organisation else RELAY_KEPT_SHARE
    return max(1, int(find_max(quota, now) * share))
