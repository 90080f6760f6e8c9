"""Interfaces between the pooling proxy and its surroundings.

The platform implements the store, the promotion API and the connections.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from ..decisions.relays import ListedHost
from ..decisions.rounds import HostAddress
from ..freshness.messages import FreshnessRequest, FreshnessResponse
from ..groups import LogPosition
from ..identifiers import (
    FencingToken,
    GroupId,
    HostId,
    OrganisationId,
    ServerId,
    StoreEra,
    StoreRevision,
    Term,
)
from ..queries import Answer, FailureCode, Query
from ..routes import ListedServer
from .stored_objects import LeaseRead, LeaseRecord, LeaseWrite, Snapshot, StoredKind

if TYPE_CHECKING:
    from ..limits.messages import TokensReply, TokensRequest


class StoreError(Exception):
    """Missing or unusable answer of the store; a write may have taken effect."""


class StoreConflictError(StoreError):
    """Write to an object not at the expected revision; nothing was written."""


class HistoryLostError(StoreError):
    """Watch from a revision whose history the store no longer has."""


class ConnectionLostError(Exception):
    """Failure of a connection to a backend server, or no answer in time.

    Parameters
    ----------
    detail
        What happened.
    sent
        Whether the statement may have been sent to the server.
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class ConnectionRejectedError(Exception):
    """Rejection of a connection by a backend server.

    Parameters
    ----------
    code
        Reason that the server gave.
    """

    def __init__(self, code: FailureCode) -> None:
        super().__init__(code.value)
        self.code = code


class ObjectStore(Protocol):
    """The platform's object store."""

    async def list(self, kind: StoredKind, *, stale: bool = False) -> Snapshot:
        """List the objects of a kind; a stale list is cheaper but seconds old."""

    async def watch(
        self, kind: StoredKind, revision: StoreRevision, wait_ms: int
    ) -> Snapshot:
        """Wait for changes after a revision.

        Raises
        ------
        HistoryLostError
            When the store has dropped the history after the revision.
        """

    async def read_lease(self, group: GroupId, era: StoreEra) -> LeaseRead:
        """Read an era's lease on a group's change of primary."""

    async def write_lease(self, record: LeaseRecord) -> LeaseWrite:
        """Write a lease if it is still at ``record.revision`` (0: absent)."""

    async def remove_lease(self, group: GroupId, era: StoreEra) -> None:
        """Remove an era's lease if there is one."""

    async def write_host(self, host: ListedHost) -> StoreEra:
        """Create or replace the entry of a host; return the era of the answer."""

    async def remove_host(self, host: HostId) -> StoreEra:
        """Remove the entry of a host if there is one; return the era of the answer."""


class Promoter(Protocol):
    """Client of the platform's promotion API."""

    async def promote(
        self, group: GroupId, server: ServerId, holder: HostId, token: FencingToken
    ) -> bool:
        """Ask the platform to make a server the primary; return whether it accepts.

        Raises
        ------
        StoreError
            When there was no answer; the promotion may still take effect.
        """


class BackendConnection(Protocol):
    """A connection to a backend server, used by one task at a time."""

    async def run(
        self, queries: Sequence[Query], after: LogPosition | None, timeout_s: float
    ) -> list[Answer]:
        """Send statements in one packet and return their answers.

        Parameters
        ----------
        queries
            Statements, in order.
        after
            Log position that the server must have reached to run the last one.
        timeout_s
            Time limit for all answers together.

        Raises
        ------
        ConnectionLostError
            When not all answers arrived; the connection is unusable.
        """

    @property
    def usable(self) -> bool:
        """Whether the server has not closed the connection."""

    def close(self) -> None:
        """Close at once; an open transaction is rolled back."""

    def abandon(self) -> None:
        """Reset the connection: nothing that is on its way is delivered any more."""


class Dialer(Protocol):
    """Factory of connections to backend servers."""

    async def dial(
        self,
        server: ListedServer,
        timeout_s: float,
        organisation: OrganisationId | None = None,
    ) -> BackendConnection:
        """Connect to a server.

        Parameters
        ----------
        server
            The server.
        timeout_s
            Time limit in seconds.
        organisation
            Organisation whose statements the connection is for; None for those of
            callers without one, and for the proxy's own.

        Raises
        ------
        ConnectionLostError
            When the server cannot be reached in time.
        ConnectionRejectedError
            When the server rejects the connection.
        """


class CallerLink(Protocol):
    """A caller's connection."""

    async def receive(self) -> Query | None:
        """Return the next statement, None when the caller has disconnected."""

    async def send(self, query: Query, answer: Answer) -> None:
        """Send the whole answer to a statement."""

    def hold_state(self, size: int) -> bool:
        """Return whether the session may keep values and names of a size in bytes."""

    @property
    def is_open(self) -> bool:
        """Whether the caller is still connected."""

    def end_transaction(self) -> None:
        """Take note that the transaction was rolled back between two statements."""

    @property
    def has_statement(self) -> bool:
        """Whether a whole statement waits to be read, for its turn or for room."""

    def end_when_idle(self, ends: bool) -> None:
        """Have `receive` return None once nothing is left that was received."""

    def close(self) -> None:
        """Close at once."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HostStatement:
    """A statement that another host forwards.

    Parameters
    ----------
    query
        The statement.
    after
        Log position that the server must have reached to run it.
    """

    query: Query
    after: LogPosition | None


class HostLink(Protocol):
    """Another host's connection to one server through this host."""

    async def receive(self) -> HostStatement | None:
        """Return the next statement, None when the other host has disconnected."""

    async def send(self, answer: Answer) -> None:
        """Send the whole answer to a statement."""

    def leave(self) -> None:
        """Tell the other host that no more statements are run here, and close."""

    @property
    def is_open(self) -> bool:
        """Whether the other host is still connected."""

    def close(self) -> None:
        """Close at once."""


class ServerStoppedError(ConnectionLostError):
    """Refusal of a connection to a backend server: its process has ended."""


class HostStoppedError(ConnectionLostError):
    """Refusal of a connection: no process listens, so its connections are closed."""


@dataclass(frozen=True, kw_only=True, slots=True)
class QuiesceRequest:
    """Request to a host to send nothing more to a primary that is being replaced.

    Parameters
    ----------
    group, server
        The group and its primary.
    term
        Term of the primary's lead. The host sends again once it has found a primary
        of a later term.
    token
        Fencing token of the change. A later change's hold isn't ended by it.
    hold_ms
        Time after which the host sends again in any case, in milliseconds; 0 has it
        send again at once.
    share
        Other hosts that the host is to ask as well, at once and directly.
    repeated
        Whether an earlier request of the same round may have reached the host, so
        that its reply has to count what that one closed.
    """

    group: GroupId
    server: ServerId
    term: Term
    token: FencingToken
    hold_ms: int
    share: tuple[HostAddress, ...] = ()
    repeated: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class QuiesceReply:
    """Confirmation of a host that no statement of it is in progress at a server.

    Parameters
    ----------
    ended
        Statements that were in progress and got their answers.
    closed
        Statements whose connections the host closed before there was an answer.
    forwarded
        Hosts of the request's share that confirmed; the counts above are sums then.
    missing
        Hosts of the request's share that gave no confirmation.
    """

    ended: int = 0
    closed: int = 0
    forwarded: int = 0
    missing: tuple[HostId, ...] = ()


class HostPeers(Protocol):
    """Client of the other hosts of the fleet."""

    async def quiesce(
        self, host: ListedHost | HostAddress, request: QuiesceRequest, timeout_s: float
    ) -> QuiesceReply:
        """Have a host send nothing more to a server, and wait for its confirmation.

        Raises
        ------
        HostStoppedError
            When no process listens at the host's address.
        ConnectionLostError
            When the host gave no confirmation in time.
        """

    async def has_ended(self, host: ListedHost, timeout_s: float) -> bool:
        """Return whether a host refuses connections, as its process has ended.

        False where it accepts one, or nothing can be told in time.
        """


class FreshnessPeers(Protocol):
    """Client of the other hosts that asks how recent their configuration is."""

    async def ask_freshness(
        self, host: ListedHost, request: FreshnessRequest, timeout_s: float
    ) -> FreshnessResponse:
        """Ask a host how old the proof of its configuration is.

        Raises
        ------
        ConnectionLostError
            When the host gave no answer in time, or none that can be read.
        """


class TokenPeers(Protocol):
    """Client of other hosts as allocators of rate limits."""

    async def ask(
        self, host: ListedHost, request: "TokensRequest", timeout_s: float
    ) -> "TokensReply":
        """Report to a host, and ask it for tokens.

        Raises
        ------
        ConnectionLostError
            When there was no reply in time, or the host is no allocator.
        """
