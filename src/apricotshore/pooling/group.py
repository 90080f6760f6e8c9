"""State of one database group on this host: servers, pools, primary."""

from ..decisions import known_ends, leadership, log_members, placement
from ..decisions.log_floor import StoredMember
from ..identifiers import DataCentreId, GroupId, ServerId
from ..routes import ListedServer
from ..services.clock import read_boot_ms
from .change_counts import ChangeCounts
from .group_pools import GroupPools, Locate
from .group_spillover import GroupSpillover
from .journal import EventKind, Journal
from .leaving_servers import LeavingServers
from .pool import ServerPool
from .ports import Dialer, QuiesceReply, QuiesceRequest
from .primary_observer import PrimaryObserver
from .promotion_summary import Promotions
from .server_gate import ServerGate


def describe_member(server: ListedServer) -> StoredMember:
    """Return a listed server as the lease on a change of primary names it."""
    return StoredMember(
        server=server.server, address=server.address, started_ms=server.started_ms
    )


class Group(PrimaryObserver):
    """Servers, pools and primary of one database group, as known to this host.

    Parameters
    ----------
    group
        The group.
    dialer
        Factory of connections to its servers.
    locate
        Returns the distance of a data centre.
    journal
        Journal of the host.
    """

    def __init__(
        self, *, group: GroupId, dialer: Dialer, locate: Locate, journal: Journal
    ) -> None:
        self.all_pools = GroupPools(
            dialer=dialer, locate=locate, on_answer=self.observe_answer
        )
        super().__init__(
            group=group, journal=journal, open_gates=self.all_pools.open_gates
        )
        self.leaving_servers = LeavingServers()
        self.changes = ChangeCounts()
        # Set where the settings ask for it.
        self.spillover: GroupSpillover | None = None
        self.promotions = Promotions()
        # A log may have been lost before this host started, unknown to it.
        self.members = log_members.begin_members(read_boot_ms())

    # -- pools and gates of its servers --

    @property
    def dialer(self) -> Dialer:
        """Factory of connections to its servers."""
        return self.all_pools.dialer

    @dialer.setter
    def dialer(self, dialer: Dialer) -> None:
        self.all_pools.dialer = dialer

    @property
    def pools(self) -> dict[ServerId, ServerPool]:
        """Pools of the servers that the store lists."""
        return self.all_pools.listed

    @property
    def unlisted(self) -> dict[ServerId, ServerPool]:
        """Pools, for commands only, of servers that the store lists no more."""
        return self.all_pools.unlisted

    @property
    def gates(self) -> dict[ServerId, ServerGate]:
        """Gates that the statements to servers pass."""
        return self.all_pools.gates

    def find_pool(self, server: ServerId) -> ServerPool | None:
        """Return the pool of a server, whether it is listed or not."""
        return self.all_pools.find(server)

    def find_gate(self, server: ServerId) -> ServerGate:
        """Return the gate that every statement to a server passes."""
        return self.all_pools.find_gate(server)

    # -- changes in the store --

    def update_server(self, server: ListedServer) -> None:
        """Record a server that was listed or changed in the store."""
        old = self.servers.get(server.server)
        self.all_pools.forget_unlisted(server)
        self.servers[server.server] = server
        leadership.observe_claim(
            self.primary_state,
            server.server,
            read_boot_ms(),
            is_claimed=server.reports_primary,
        )
        member = describe_member(server)
        is_new_log = log_members.observe_listed(self.members, member, read_boot_ms())
        if is_new_log:
            known_ends.observe_new_log(self.known_ends, server.server)
            self.journal.record(
                EventKind.SERVER_RECREATED, group=self.group, server=server.server
            )
        has_moved = old is not None and old.address != server.address
        self.all_pools.update(server, is_replaced=is_new_log or has_moved)
        if old is None or old.leaving != server.leaving:
            self.journal.record(
                EventKind.SERVER_LISTED,
                group=self.group,
                server=server.server,
                leaving=server.leaving,
                primary=server.reports_primary,
            )
        if server.reports_primary and self.primary_state.primary != server.server:
            self.probe_wanted.set()
        self.leaving_servers.update(server, is_new=old is None)

    def remove_server(self, server: ServerId) -> None:
        """Record that a server was removed from the store."""
        removed = self.servers.pop(server, None)
        if removed is None:
            return
        self.all_pools.keep_unlisted(removed, self.members.counted)
        self.leaving_servers.remove(server)
        self.primary_state.claimed.pop(server, None)
        log_members.observe_unlisted(
            self.members, server, read_boot_ms(), is_leaving=removed.leaving
        )
        if removed.leaving:
            log_members.observe_left(self.members, server, read_boot_ms())
        self.journal.record(EventKind.SERVER_GONE, group=self.group, server=server)
        self.all_pools.remove(server)
        now = read_boot_ms()
        leadership.observe_silence(self.primary_state, server, now, now)
        self.probe_wanted.set()

    def keep_stored(self, member: StoredMember) -> None:
        """Send commands to a server that this host has never seen listed."""
        if self.find_pool(member.server) is not None:
            return
        server = ListedServer(
            server=member.server,
            group=self.group,
            address=member.address,
            data_centre=DataCentreId(""),
            slots=1,
            leaving=False,
            reports_primary=False,
            started_ms=member.started_ms,
        )
        self.all_pools.keep_unlisted(server, self.members.counted)

    @property
    def leaving(self) -> dict[ServerId, int]:
        """Since when each leaving server is known to leave, in ms since boot."""
        return self.leaving_servers.since

    @property
    def leaving_since(self) -> int | None:
        """Since when the primary is known to be leaving, None if it stays."""
        return self.leaving_servers.find_since(self.primary)

    def set_leave_bounds(self, leave_ms: int, window_ms: int) -> None:
        """Set the time that a leaving server has, and the window without a fault."""
        self.leaving_servers.set_bounds(leave_ms, window_ms)

    @property
    def may_send_to_primary(self) -> bool:
        """Whether the primary still gets new statements."""
        return self.leaving_servers.may_send(self.primary)

    # -- replacement of the primary --

    def is_quiesced(self, server: ServerId) -> bool:
        """Return whether nothing may be sent to a server that is being replaced."""
        return self.all_pools.is_shut(server)

    async def quiesce(self, request: QuiesceRequest) -> QuiesceReply:
        """Send nothing more to a primary that is being replaced, and confirm it.

        A request may come late: the next proof that another server leads a later term
        ends the hold.
        """
        gate = self.find_gate(request.server)
        reply = await gate.quiesce(
            request.term, request.token, request.hold_ms, repeated=request.repeated
        )
        if reply.closed:
            # Their answers were not awaited any longer, so they show no stall.
            self.writes.unanswered.clear()
        self.journal.record(
            EventKind.QUIESCED,
            group=self.group,
            server=request.server,
            term=request.term,
            hold_ms=request.hold_ms,
            ended=reply.ended,
            closed=reply.closed,
        )
        return reply

    # -- reads --

    def rank_readers(self) -> list[ServerPool]:
        """Return the pools of servers that may serve a read, the best first."""
        pools = [pool for pool in self.pools.values() if not pool.gate.is_shut]
        if self.spillover is not None:
            return self.spillover.rank(pools, self.primary)
        loads = [pool.load for pool in pools]
        ranked = placement.rank_readers(loads, self.primary, read_boot_ms())
        return [self.pools[load.server] for load in ranked]

    def preview_readers(self) -> list[ServerPool]:
        """Return what `rank_readers` would for the next read, which isn't counted."""
        if self.spillover is None:
            return self.rank_readers()
        pools = [pool for pool in self.pools.values() if not pool.gate.is_shut]
        return self.spillover.preview(pools, self.primary)
