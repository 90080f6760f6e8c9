"""Pooled connection with its session state, and why a pool gives none."""

from dataclasses import dataclass, field

from ..identifiers import OrganisationId
from .ports import BackendConnection


class WithheldError(Exception):
    """Statement that was not sent, as it may not be sent any more."""


class NoConnectionError(Exception):
    """Failure to acquire a connection in time; nothing was sent.

    Parameters
    ----------
    retry_ms
        Time after which a caller may retry.
    """

    def __init__(self, retry_ms: int) -> None:
        super().__init__(f"no connection, retry after {retry_ms} ms")
        self.retry_ms = retry_ms


@dataclass(kw_only=True)
class PooledConnection:
    """A pooled connection and the session state that the server keeps for it.

    Parameters
    ----------
    link
        The connection.
    values
        Session values set on it.
    prepared
        Names of the statements prepared on it.
    acquired_at, idle_since
        When it was last acquired and released, in milliseconds since boot.
    relayed
        Whether it was opened while this host was to connect through a relay.
    organisation
        Organisation under which it was opened, None for callers without one.
    """

    link: BackendConnection
    relayed: bool = False
    organisation: OrganisationId | None = None
    values: dict[str, str] = field(default_factory=dict)
    prepared: set[str] = field(default_factory=set)
    acquired_at: int = 0
    idle_since: int = 0
