"""Pools of connections to the servers of one group, and the gates before them."""

from collections.abc import Callable, Container
from functools import partial

from ..decisions.placement import Distance, ServerLoad
from ..identifiers import DataCentreId, ServerId, Term
from ..routes import DEFAULT_CONNECTIONS, ListedServer
from .pool import ServerPool
from .ports import Dialer
from .server_gate import ServerGate

# Servers without an entry that still get commands, beside those whose logs count.
MAX_UNLISTED = 4

Locate = Callable[[DataCentreId], Distance]


class GroupPools:
    """Pools of the servers of one group, listed in the store or not.

    Parameters
    ----------
    dialer
        Factory of connections to the servers.
    locate
        Returns the distance of a data centre.
    on_answer
        Called with a server each time that it has answered.
    """

    def __init__(
        self,
        *,
        dialer: Dialer,
        locate: Locate,
        on_answer: Callable[[ServerId], None],
    ) -> None:
        self.dialer = dialer
        self.locate = locate
        self.on_answer = on_answer
        self.connections = DEFAULT_CONNECTIONS
        self.relay_count = 0
        self.by_organisation = False
        self.listed: dict[ServerId, ServerPool] = {}
        # Pools of servers whose entry was removed. They get commands only: one that
        # is cut off from the store may still receive and acknowledge.
        self.unlisted: dict[ServerId, ServerPool] = {}
        self.gates: dict[ServerId, ServerGate] = {}

    # -- servers --

    def update(self, server: ListedServer, *, is_replaced: bool) -> None:
        """Have a pool for a listed server, a new one if another replaced the server."""
        if is_replaced:
            self._drop(server.server)
        pool = self.listed.get(server.server)
        if pool is None:
            self.listed[server.server] = self._make_pool(server)
        else:
            pool.server = server
            pool.load.leaving = server.leaving

    def remove(self, server: ServerId) -> None:
        """Close the pool of a server that is listed no more."""
        self._drop(server)
        self._forget_gates()

    def keep_unlisted(self, server: ListedServer, counted: Container[ServerId]) -> None:
        """Have a pool for commands to a server without an entry.

        Parameters
        ----------
        server
            The server.
        counted
            Servers whose logs count; those have a pool in any case.
        """
        dropped = [s for s in self.unlisted if s not in counted]
        excess = len(self.unlisted) + 1 - MAX_UNLISTED
        for name in dropped[: max(0, excess)]:
            self._close_unlisted(name)
        self.unlisted[server.server] = self._make_pool(server)

    def forget_unlisted(self, listed: ListedServer) -> None:
        """Forget a server that is listed again, or whose address another has taken."""
        for server, pool in list(self.unlisted.items()):
            if server == listed.server or pool.server.address == listed.address:
                self._close_unlisted(server)

    def find(self, server: ServerId) -> ServerPool | None:
        """Return the pool of a server, whether it is listed or not."""
        return self.listed.get(server) or self.unlisted.get(server)

    def _drop(self, server: ServerId) -> None:
        pool = self.listed.pop(server, None)
        if pool is not None:
            pool.close()

    def _close_unlisted(self, server: ServerId) -> None:
        self.unlisted.pop(server).close()

    def _make_pool(self, server: ListedServer) -> ServerPool:
        load = ServerLoad(
            server=server.server,
            distance=self.locate(server.data_centre),
            slots=server.slots,
            leaving=server.leaving,
        )
        pool = ServerPool(
            server=server,
            load=load,
            limit=self.connections,
            dialer=self.dialer,
            gate=self.find_gate(server.server),
            on_answer=partial(self.on_answer, server.server),
        )
        pool.quota.relays = self.relay_count
        pool.quota.by_organisation = self.by_organisation
        return pool

    # -- connections --

    def close(self) -> None:
        """Close every connection."""
        for pool in (*self.listed.values(), *self.unlisted.values()):
            pool.close()

    def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
        for pool in (*self.listed.values(), *self.unlisted.values()):
            pool.close_idle()

    def set_connections(self, connections: int) -> None:
        """Set the limit of connections per server."""
        self.connections = connections
        for pool in self.listed.values():
            pool.quota.limit = connections

    def set_relay_count(self, relay_count: int) -> None:
        """Set how many relays share a server's connections; 0: all hosts share them."""
        self.relay_count = relay_count
        for pool in self.listed.values():
            pool.quota.relays = relay_count

    def set_by_organisation(self, by_organisation: bool) -> None:
        """Set whether each connection belongs to one organisation."""
        self.by_organisation = by_organisation
        for pool in self.listed.values():
            pool.quota.by_organisation = by_organisation

    def update_relayed(self, is_relayed: Callable[[ListedServer], bool]) -> None:
        """Have each pool connect through a relay or directly, as is due now."""
        for pool in self.listed.values():
            pool.set_relayed(is_relayed(pool.server))

    # -- gates --

    def find_gate(self, server: ServerId) -> ServerGate:
        """Return the gate that every statement to a server passes."""
        return self.gates.setdefault(server, ServerGate(server=server))

    def is_shut(self, server: ServerId) -> bool:
        """Return whether the gate of a server is shut."""
        gate = self.gates.get(server)
        return gate is not None and gate.is_shut

    def open_gates(self, leader: ServerId, term: Term) -> None:
        """Open the gates of former primaries, as another leads a later term."""
        for gate in self.gates.values():
            if gate.server != leader and gate.is_passed(term):
                gate.open()

    def _forget_gates(self) -> None:
        """Forget the gates of servers that are gone, once nothing is in progress."""
        known = self.listed.keys() | self.unlisted.keys()
        for server, gate in list(self.gates.items()):
            if server not in known and not gate.running and not gate.is_shut:
                del self.gates[server]
