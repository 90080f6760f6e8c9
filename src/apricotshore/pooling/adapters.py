"""Adapters of a host to the platform."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .ports import (
    Dialer,
    FreshnessPeers,
    HostPeers,
    ObjectStore,
    Promoter,
    TokenPeers,
)


@dataclass(frozen=True, kw_only=True)
class Adapters:
    """Adapters of a host to the platform.

    Parameters
    ----------
    store, promoter, dialer
        The platform's store and promotion API, and the factory of connections
        to backend servers.
    peers
        Client of the other hosts of the fleet.
    close
        Releases the resources of the others.
    freshness_peers
        Client of the other hosts that asks how recent their configuration is; None
        where none of them is asked.
    token_peers
        Client of other hosts as allocators of rate limits, None without one.
    """

    store: ObjectStore
    promoter: Promoter
    dialer: Dialer
    peers: HostPeers
    close: Callable[[], Awaitable[None]]
    freshness_peers: FreshnessPeers | None = None
    token_peers: TokenPeers | None = None
