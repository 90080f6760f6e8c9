"""How many connections to one backend server this host may open.

The server's limit is shared by all hosts, which do not know each other. A host
opens connections on demand; when the server refuses one, the host keeps what
it has and tries to grow again after a pause.
"""

from dataclasses import dataclass

REGROW_PAUSE_MS = 400
# One host never takes more than this share of a server's connections.
LARGEST_SHARE = 0.5
RESERVED_CONNECTIONS = 2


@dataclass(kw_only=True, slots=True)
class Allowance:
    """Connections that this host may hold to one server.

    Parameters
    ----------
    limit
        Connections that the server takes from all hosts together.
    refused_at
        When the server last refused one, in milliseconds since boot.
    """

    limit: int
    refused_at: int | None = None


def may_open(allowance: Allowance, held: int, now: int) -> bool:
    """Return whether one more connection may be opened."""
    refused = allowance.refused_at
    if refused is not None and now - refused < REGROW_PAUSE_MS:
        return False
    largest = (allowance.limit - RESERVED_CONNECTIONS) * LARGEST_SHARE
    return held < max(1, int(largest))


def observe_refusal(allowance: Allowance, now: int) -> None:
    """Take in that the server refused a connection."""
    allowance.refused_at = now
