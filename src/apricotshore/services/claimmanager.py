"""Claim of this host on a database, and its confirmation by the servers."""

from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err

from ..decisions import routing
from ..decisions.rollout import ServerEvidence, may_serve
from ..decisions.routing import GroupView
from ..groups import Claim, LogPosition
from ..identifiers import BundleVersion, HostId, ServerId, Term
from .backends import (
    BackendConnection,
    Endpoint,
    LostConnectionError,
    StatementError,
    kill_foreign_connections,
    open_connection,
    read_claim,
)
from .claims import NO_OWNER, raise_bundle, release_claim, take_over
from .clock import read_monotonic_ms, read_wall_ms


@dataclass(kw_only=True)
class ServerFence:
    """Confirmation of a claim by one backend server.

    Parameters
    ----------
    epoch
        Epoch of the confirmed claim; 0 before the first.
    confirmed_at_ms
        Wall-clock milliseconds of the confirmation.
    killed
        Hosts whose connections were killed at the server.
    """

    epoch: int = 0
    confirmed_at_ms: int | None = None
    killed: set[HostId] = field(default_factory=set)


@dataclass(kw_only=True)
class ClaimHooks:
    """Callbacks of a claim manager into its owner.

    Parameters
    ----------
    on_lost
        Another host has claimed the database.
    on_fenced
        Every server has confirmed the claim.
    on_bundle_behind
        The claim requires a newer bundle than this host has.
    on_refused
        The database could not be claimed, with the reason.
    """

    on_lost: Callable[[str], None]
    on_fenced: Callable[[], None]
    on_bundle_behind: Callable[[], None]
    on_refused: Callable[[str], None]


class ClaimManager:
    """Acquires and releases the claim on a database and fences other hosts.

    Parameters
    ----------
    local_host, address
        This host and its peer address.
    endpoints
        Address and account for each backend server.
    view
        Known state of the database group.
    hooks
        Callbacks into the owner.
    """

    def __init__(
        self,
        *,
        local_host: HostId,
        address: str,
        endpoints: dict[ServerId, Endpoint],
        view: GroupView,
        hooks: ClaimHooks,
    ) -> None:
        self.local_host = local_host
        self.address = address
        self.endpoints = endpoints
        self.view = view
        self.hooks = hooks
        self.claim: Claim | None = None
        self.seen: Claim | None = None
        self.fences = {server: ServerFence() for server in endpoints}

    async def check(self, connection: BackendConnection) -> None:
        """Verify on a new connection that this host still holds the claim.

        Raises
        ------
        LostConnectionError
            When this host does not hold the claim.
        """
        if self.claim is None:
            raise LostConnectionError("this host holds no claim")
        seen = await read_claim(connection)
        held = self.claim
        if held is None:
            raise LostConnectionError("this host holds no claim any more")
        if (
            seen is not None
            and seen.epoch > held.epoch
            and seen.host != self.local_host
        ):
            raise LostConnectionError(f"{seen.host} has claimed the database")

    async def observe(
        self, server: ServerId, seen: Claim | None, bundle: BundleVersion
    ) -> None:
        """Process the claim that was read from a server."""
        if seen is None:
            return
        if self.seen is None or seen.epoch > self.seen.epoch:
            self.seen = seen
        if not may_serve(bundle, seen.bundle):
            self.hooks.on_bundle_behind()
        held = self.claim
        if held is None:
            return
        if seen.epoch > held.epoch and seen.host != self.local_host:
            self.hooks.on_lost(f"{seen.host} has claimed the database")
        elif seen.epoch == held.epoch:
            await self._confirm(server, held)

    async def _confirm(self, server: ServerId, held: Claim) -> None:
        fence = self.fences[server]
        if fence.epoch == held.epoch:
            return
        connection = await open_connection(self.endpoints[server], Term(0))
        try:
            killed = await kill_foreign_connections(connection, self.local_host)
        finally:
            connection.close()
        if self.claim != held:
            return
        fence.epoch = held.epoch
        fence.confirmed_at_ms = read_wall_ms()
        fence.killed.update(killed)
        if all(f.epoch == held.epoch for f in self.fences.values()):
            self.hooks.on_fenced()

    async def _connect_primary(self) -> BackendConnection | None:
        primary = routing.find_primary(self.view, read_monotonic_ms())
        if primary is None:
            return None
        try:
            return await open_connection(self.endpoints[primary], self.view.term)
        except LostConnectionError:
            return None

    async def try_claim(self, bundle: BundleVersion) -> LogPosition | None:
        """Claim the database.

        Returns
        -------
        LogPosition or None
            Log position at or after every commit of other hosts; None when the
            database cannot be claimed now.
        """
        connection = await self._connect_primary()
        if connection is None:
            return None
        try:
            result = await take_over(
                connection, self.local_host, self.address, bundle, self.seen
            )
        except (LostConnectionError, StatementError):
            return None
        finally:
            connection.close()
        if isinstance(result, Err):
            self.hooks.on_refused(result.err_value)
            return None
        self.claim = self.seen = result.ok_value.claim
        return result.ok_value.min_position

    async def raise_bundle(self, bundle: BundleVersion) -> bool:
        """Raise the bundle version that the claim requires.

        Returns
        -------
        bool
            False when the attempt failed and should be repeated.
        """
        held = self.claim
        if held is None or held.bundle >= bundle:
            return True
        connection = await self._connect_primary()
        if connection is None:
            return False
        try:
            claim = await raise_bundle(connection, held, bundle)
        except (LostConnectionError, StatementError):
            return False
        finally:
            connection.close()
        if claim is not None and self.claim == held:
            self.claim = self.seen = claim
        return claim is not None

    async def release(self, held: Claim) -> None:
        """Release a claim; failures are ignored."""
        connection = await self._connect_primary()
        if connection is None:
            return
        try:
            await release_claim(connection, held)
        except (LostConnectionError, StatementError):
            return
        finally:
            connection.close()

    def find_other_owner(self) -> Claim | None:
        """Return the newest claim seen if another host owns it, else None."""
        seen = self.seen
        if seen is None or seen.host in (NO_OWNER, self.local_host):
            return None
        return seen

    def list_evidence(self) -> tuple[ServerEvidence, ...]:
        """List what each server has confirmed about the held claim."""
        epoch = self.claim.epoch if self.claim is not None else None
        return tuple(
            ServerEvidence(
                server=server,
                confirmed_at_ms=f.confirmed_at_ms if f.epoch == epoch else None,
                killed=tuple(sorted(f.killed)),
            )
            for server, f in sorted(self.fences.items())
        )
