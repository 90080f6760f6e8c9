"""Connections to backend servers, directly or through a relay host."""

from collections.abc import Sequence
from dataclasses import replace

from ..decisions import relays
from ..decisions.relays import Fleet, ListedHost, MeasureDistance
from ..groups import LogPosition
from ..identifiers import OrganisationId
from ..queries import Answer, Query
from ..routes import ListedServer
from ..services.clock import read_boot_ms
from .journal import EventKind, Journal
from .ports import (
    BackendConnection,
    ConnectionLostError,
    ConnectionRejectedError,
    Dialer,
)

# Two round trips between regions, and a pause of the other host.
RELAY_TIMEOUT_S = 0.25


class RelayedConnection:
    """A connection to a backend server through a relay.

    Parameters
    ----------
    link
        The connection to the relay.
    relay, fleet
        The relay, and the hosts among which its failures are recorded.
    """

    def __init__(
        self, *, link: BackendConnection, relay: ListedHost, fleet: Fleet
    ) -> None:
        self.link = link
        self.relay = relay
        self.fleet = fleet
        self.is_abandoned = False

    @property
    def usable(self) -> bool:
        """Whether the other host still holds the link open."""
        return self.link.usable

    def close(self) -> None:
        """Close at once; an open transaction is rolled back."""
        self.link.close()

    def abandon(self) -> None:
        """Reset the connection to the relay, which then resets its own."""
        self.is_abandoned = True
        self.link.abandon()

    async def run(
        self, queries: Sequence[Query], after: LogPosition | None, timeout_s: float
    ) -> list[Answer]:
        """Send statements in one packet and return their answers."""
        try:
            answers = await self.link.run(queries, after, timeout_s)
        except ConnectionLostError:
            if not self.is_abandoned:
                relays.observe_failure(self.fleet, self.relay.host, read_boot_ms())
            raise
        relays.observe_success(self.fleet, self.relay.host)
        return answers


class RelayDialer:
    """Dialer that connects to a server directly or through one of its relays.

    Parameters
    ----------
    direct
        Opens connections.
    fleet
        The known hosts.
    measure
        Returns the distance between two data centres.
    journal
        Journal of the host.
    """

    def __init__(
        self,
        *,
        direct: Dialer,
        fleet: Fleet,
        measure: MeasureDistance,
        journal: Journal,
    ) -> None:
        self.direct = direct
        self.fleet = fleet
        self.measure = measure
        self.journal = journal
        # Connections that each server accepts, by the server's group.
        self.limits: dict[str, int] = {}

    def is_relayed(self, server: ListedServer) -> bool:
        """Return whether this host is to connect to a server through a relay."""
        near = self._list_relays(server)
        return bool(near) and all(h.host != self.fleet.local_host for h in near)

    async def dial(
        self,
        server: ListedServer,
        timeout_s: float,
        organisation: OrganisationId | None = None,
    ) -> BackendConnection:
        """Connect through the first relay that answers, or else directly.

        A server that only other hosts reach is reached through one of them. Nothing of
        an organisation goes through a host that would not tell the server its name.
        """
        detours = await self._list_detours(server)
        for relay in detours or self._list_paths(server, organisation):
            if organisation is not None and not relay.knows_organisations:
                continue
            relayed = replace(server, address=relay.address)
            try:
                link = await self.direct.dial(relayed, RELAY_TIMEOUT_S, organisation)
            except (ConnectionLostError, ConnectionRejectedError) as error:
                relays.observe_failure(self.fleet, relay.host, read_boot_ms())
                self.journal.record(
                    EventKind.RELAY_FAILED,
                    server=server.server,
                    holder=relay.host,
                    why=str(error),
                )
                continue
            return RelayedConnection(link=link, relay=relay, fleet=self.fleet)
        return await self.direct.dial(server, timeout_s, organisation)

    async def _list_detours(self, server: ListedServer) -> list[ListedHost]:
        """List the detour to a server; from time to time the direct way is tried."""
        detour = relays.find_detour(self.fleet, server.server)
        if detour is None:
            return []
        if relays.is_direct_due(self.fleet, server.server, read_boot_ms()):
            relays.observe_detour(
                self.fleet, server.server, detour.host, read_boot_ms()
            )
            try:
                link = await self.direct.dial(server, RELAY_TIMEOUT_S)
            except (ConnectionLostError, ConnectionRejectedError) as error:
                self.journal.record(
                    EventKind.DETOUR_FAILED,
                    server=server.server,
                    through=self.fleet.local_host,
                    why=str(error),
                )
            else:
                link.close()
                self.fleet.detours.pop(server.server, None)
                return []
        return [detour]

    def _list_paths(
        self, server: ListedServer, organisation: OrganisationId | None
    ) -> list[ListedHost]:
        near = self._list_relays(server)
        return relays.list_paths(self.fleet, near, read_boot_ms(), organisation)

    def _list_relays(self, server: ListedServer) -> list[ListedHost]:
        limit = self.limits.get(server.group)
        if limit is None or not relays.count_relays(self.fleet, limit):
            return []
        return relays.list_relays(
            self.fleet, server.server, server.data_centre, self.measure
        )
