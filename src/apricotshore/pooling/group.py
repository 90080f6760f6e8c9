"""State of one database group on this host: servers, pools, primary."""

import asyncio
from collections.abc import Callable

from ..decisions import (
    leadership,
    log_members,
    loop_stalls,
    placement,
    position_history,
)
from ..decisions.leadership import PrimaryState
from ..decisions.log_floor import StoredMember
from ..decisions.loop_stalls import Stall
from ..decisions.placement import Distance, ServerLoad
from ..decisions.position_history import PositionHistory
from ..decisions.primary_proof import PrimaryProof
from ..groups import LogPosition
from ..identifiers import DataCentreId, GroupId, ServerId, Term
from ..routes import DEFAULT_CONNECTIONS, ListedServer
from ..services.clock import read_boot_ms
from .change_counts import ChangeCounts
from .journal import EventKind, Journal
from .pending_writes import PendingWrites
from .pool import ServerPool
from .ports import Dialer, QuiesceReply, QuiesceRequest
from .primary_source import BegunTransaction, PrimarySource
from .promotion_summary import Promotions
from .server_gate import ServerGate
from .settings import DEFAULT_LEAVE_MS, DEFAULT_WINDOW_MS

# A host learns of a change in the store after a pause of its watch and one call.
LEARNED_AFTER_MS = 1_600
# A write shows that its server leads where nothing has for this long.
WRITE_PROOF_MS = 50
# Servers without an entry that still get commands, beside those whose logs count.
MAX_UNLISTED = 4

Locate = Callable[[DataCentreId], Distance]


def describe_member(server: ListedServer) -> StoredMember:
    """Return a listed server as the lease on a change of primary names it."""
    return StoredMember(
        server=server.server, address=server.address, started_ms=server.started_ms
    )


class Group:
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
        self.group = group
        self.dialer = dialer
        self.locate = locate
        self.journal = journal
        self.connections = DEFAULT_CONNECTIONS
        self.relay_count = 0
        self.servers: dict[ServerId, ListedServer] = {}
        self.pools: dict[ServerId, ServerPool] = {}
        # Pools of servers whose entry was removed. They get commands only: one that
        # is cut off from the store may still receive and acknowledge.
        self.unlisted: dict[ServerId, ServerPool] = {}
        self.gates: dict[ServerId, ServerGate] = {}
        self.primary_state = PrimaryState()
        # Set where a replaced primary may go on answering.
        self.prover: PrimarySource | None = None
        self.proof: PrimaryProof | None = None
        self.begun: BegunTransaction | None = None
        self.position_history = PositionHistory()
        self.sample_period_ms = position_history.choose_period_ms(())
        self.writes = PendingWrites()
        self.changes = ChangeCounts()
        self.promotions = Promotions()
        self.primary_confirmed = asyncio.Event()
        self.probe_wanted = asyncio.Event()
        # A log may have been lost before this host started, unknown to it.
        self.members = log_members.begin_members(read_boot_ms())
        self.leave_ms = DEFAULT_LEAVE_MS
        self.window_ms = DEFAULT_WINDOW_MS
        # Since when each leaving server is known to leave, in milliseconds since boot.
        self.leaving: dict[ServerId, int] = {}
        self.no_primary_since: int | None = None
        # Why this host's change found that nobody may be ordered, `NO_WAIT` if somebody
        # may be, None while it isn't known.
        self.log_wait: str | None = None
        # Notices a stall of this process that has just ended.
        self.check_loop: Callable[[], None] = lambda: None
        self.loop_stalled_until = 0

    # -- changes in the store --

    def update_server(self, server: ListedServer) -> None:
        """Record a server that was listed or changed in the store."""
        old = self.servers.get(server.server)
        self._forget_unlisted(server)
        self.servers[server.server] = server
        leadership.observe_claim(
            self.primary_state,
            server.server,
            read_boot_ms(),
            is_claimed=server.reports_primary,
        )
        member = describe_member(server)
        if log_members.observe_listed(self.members, member, read_boot_ms()):
            self.journal.record(
                EventKind.SERVER_RECREATED, group=self.group, server=server.server
            )
            self._drop_pool(server.server)
        if old is not None and old.address != server.address:
            self._drop_pool(server.server)
        if old is None or old.leaving != server.leaving:
            self.journal.record(
                EventKind.SERVER_LISTED,
                group=self.group,
                server=server.server,
                leaving=server.leaving,
                primary=server.reports_primary,
            )
        pool = self.pools.get(server.server)
        if pool is None:
            self.pools[server.server] = self._make_pool(server)
        else:
            pool.server = server
            pool.load.leaving = server.leaving
        if server.reports_primary and self.primary_state.primary != server.server:
            self.probe_wanted.set()
        self._update_leaving(server, is_new=old is None)

    def remove_server(self, server: ServerId) -> None:
        """Record that a server was removed from the store."""
        removed = self.servers.pop(server, None)
        if removed is None:
            return
        self._keep_unlisted(removed)
        self.leaving.pop(server, None)
        self.primary_state.claimed.pop(server, None)
        if removed.leaving:
            log_members.observe_left(self.members, server, read_boot_ms())
        self.journal.record(EventKind.SERVER_GONE, group=self.group, server=server)
        self._drop_pool(server)
        self._forget_gates()
        now = read_boot_ms()
        leadership.observe_silence(self.primary_state, server, now, now)
        self.probe_wanted.set()

    def _keep_unlisted(self, server: ListedServer) -> None:
        dropped = [s for s in self.unlisted if s not in self.members.counted]
        excess = len(self.unlisted) + 1 - MAX_UNLISTED
        for name in dropped[: max(0, excess)]:
            self._close_unlisted(name)
        self.unlisted[server.server] = self._make_pool(server)

    def keep_stored(self, member: StoredMember) -> None:
        """Send commands to a server that this host has never seen listed."""
        if self.find_pool(member.server) is not None:
            return
        self._keep_unlisted(
            ListedServer(
                server=member.server,
                group=self.group,
                address=member.address,
                data_centre=DataCentreId(""),
                slots=1,
                leaving=False,
                reports_primary=False,
                started_ms=member.started_ms,
            )
        )

    def _forget_unlisted(self, listed: ListedServer) -> None:
        """Forget a server that is listed again, or whose address another has taken."""
        for server, pool in list(self.unlisted.items()):
            if server == listed.server or pool.server.address == listed.address:
                self._close_unlisted(server)

    def _close_unlisted(self, server: ServerId) -> None:
        self.unlisted.pop(server).close()

    def find_pool(self, server: ServerId) -> ServerPool | None:
        """Return the pool of a server, whether it is listed or not."""
        return self.pools.get(server) or self.unlisted.get(server)

    def close_pools(self) -> None:
        """Close every connection."""
        for pool in (*self.pools.values(), *self.unlisted.values()):
            pool.close()

    def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
        for pool in (*self.pools.values(), *self.unlisted.values()):
            pool.close_idle()

    def set_connections(self, connections: int) -> None:
        """Set the limit of connections per server."""
        self.connections = connections
        for pool in self.pools.values():
            pool.quota.limit = connections

    def set_relay_count(self, relay_count: int) -> None:
        """Set how many relays share a server's connections; 0: all hosts share them."""
        self.relay_count = relay_count
        for pool in self.pools.values():
            pool.quota.relays = relay_count

    def update_relayed(self, is_relayed: Callable[[ListedServer], bool]) -> None:
        """Have each pool connect through a relay or directly, as is due now."""
        for pool in self.pools.values():
            pool.set_relayed(is_relayed(pool.server))

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
            on_answer=lambda: self.observe_answer(server.server),
        )
        pool.quota.relays = self.relay_count
        return pool

    def find_gate(self, server: ServerId) -> ServerGate:
        """Return the gate that every statement to a server passes."""
        return self.gates.setdefault(server, ServerGate(server=server))

    def _forget_gates(self) -> None:
        """Forget the gates of servers that are gone, once nothing is in progress."""
        known = self.servers.keys() | self.unlisted.keys()
        for server, gate in list(self.gates.items()):
            if server not in known and not gate.running and not gate.is_shut:
                del self.gates[server]

    def _drop_pool(self, server: ServerId) -> None:
        pool = self.pools.pop(server, None)
        if pool is not None:
            pool.close()
        if server in self.servers:
            self.pools[server] = self._make_pool(self.servers[server])

    def _update_leaving(self, server: ListedServer, *, is_new: bool) -> None:
        if not server.leaving:
            self.leaving.pop(server.server, None)
            return
        # One that left before this host knew it may be about to end; this host has
        # to observe the bound once it has run for the window.
        known_ms = self.window_ms if is_new else LEARNED_AFTER_MS
        self.leaving.setdefault(server.server, read_boot_ms() - known_ms)

    @property
    def leaving_since(self) -> int | None:
        """Since when the primary is known to be leaving, None if it stays."""
        primary = self.primary
        return None if primary is None else self.leaving.get(primary)

    def set_leave_bounds(self, leave_ms: int, window_ms: int) -> None:
        """Set the time that a leaving server has, and the window without a fault."""
        self.leave_ms = leave_ms
        self.window_ms = window_ms

    @property
    def may_send_to_primary(self) -> bool:
        """Whether the primary still gets new statements."""
        return placement.may_send(self.leaving_since, self.leave_ms, read_boot_ms())

    # -- replacement of the primary --

    def is_quiesced(self, server: ServerId) -> bool:
        """Return whether nothing may be sent to a server that is being replaced."""
        gate = self.gates.get(server)
        return gate is not None and gate.is_shut

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

    def _open_gates(self, server: ServerId, term: Term) -> None:
        """Open the gates of former primaries, as another leads a later term."""
        for gate in self.gates.values():
            if gate.server != server and gate.is_passed(term):
                gate.open()

    # -- answers of servers --

    @property
    def primary(self) -> ServerId | None:
        """Server to send writes to, None while none is known."""
        return leadership.find_primary(self.primary_state, list(self.servers.values()))

    def observe_begin(
        self,
        server: ServerId,
        log_position: LogPosition,
        asked_at: int,
        status_term: Term | None = None,
    ) -> bool:
        """Record that a server began a transaction as the primary.

        That proves it to be the primary only where a replaced one stops at once.

        Parameters
        ----------
        server
            The server.
        log_position
            End of its log.
        asked_at
            When it was asked, in milliseconds since boot.
        status_term
            Term that its status named after that, None without one.

        Returns
        -------
        bool
            Whether that shows it to be the primary.
        """
        if self.prover is not None:
            leadership.observe_answer(self.primary_state, server)
            self.begun = BegunTransaction(
                server=server, log_position=log_position, asked_at=asked_at
            )
            return False
        log_term = log_position.term
        if not self.observe_primary(server, log_term, asked_at, status_term):
            return False
        self.observe_position(log_position, asked_at)
        return True

    def observe_write(
        self, server: ServerId, log_position: LogPosition | None, asked_at: int
    ) -> None:
        """Record that a server stored a lone write, which only the primary does.

        One that writes keep full answers no other question.

        Parameters
        ----------
        server, asked_at
            See `observe_begin`.
        log_position
            End of its log, None without one.
        """
        state = self.primary_state
        if log_position is None or self.prover is not None:
            return
        is_known = state.primary not in (None, server)
        if not is_known and asked_at - state.confirmed_at >= WRITE_PROOF_MS:
            self.observe_primary(server, log_position.term, asked_at)

    def observe_proof(self, server: ServerId, since: int) -> None:
        """Record that a server that began a transaction was primary at ``since``."""
        begun = self.begun
        if begun is not None and begun.server == server and begun.asked_at >= since:
            self.observe_position(begun.log_position, since)

    def observe_position(self, log_position: LogPosition, asked_at: int) -> None:
        """Record the log position that the primary had at ``asked_at`` or later."""
        position_history.observe(self.position_history, log_position, asked_at)

    def observe_primary(
        self,
        server: ServerId,
        log_term: Term,
        asked_at: int,
        status_term: Term | None = None,
    ) -> bool:
        """Record that a server is the primary; return False if more is known.

        Parameters
        ----------
        server, asked_at, status_term
            See `observe_begin`.
        log_term
            Term of the end of its log.
        """
        state = self.primary_state
        term = leadership.choose_term(state, server, log_term, status_term)
        if term is None:
            return False
        if leadership.is_outdated(state, server, term, asked_at):
            if term < state.term:
                self.observe_denial(server, asked_at)
            return False
        is_read = status_term is not None
        if leadership.observe_primary(
            state, server, term, asked_at, is_term_read=is_read
        ):
            self.journal.record(
                EventKind.PRIMARY_FOUND, group=self.group, server=server, term=term
            )
            self.writes.unanswered.clear()
        self._open_gates(server, state.term)
        self.no_primary_since = self.log_wait = None
        self.primary_confirmed.set()
        return True

    def observe_denial(self, server: ServerId, asked_at: int | None = None) -> None:
        """Record that a server denied being the primary.

        Parameters
        ----------
        server
            The server.
        asked_at
            When it was asked, in milliseconds since boot; None means now.
        """
        asked_at = read_boot_ms() if asked_at is None else asked_at
        if leadership.observe_denial(self.primary_state, server, asked_at):
            self.journal.record(EventKind.PRIMARY_LOST, group=self.group, server=server)
            self.primary_confirmed.clear()
            if self.no_primary_since is None:
                # An answer that ended a silence proved no lead.
                since = self.primary_state.unproven_since
                self.no_primary_since = read_boot_ms() if since is None else since
            self.probe_wanted.set()

    def observe_answer(self, server: ServerId) -> None:
        """Record that a server answered, whatever it was asked."""
        leadership.observe_answer(self.primary_state, server)

    def observe_silence(self, server: ServerId, asked_at: int | None = None) -> None:
        """Record that a server gave no answer.

        Parameters
        ----------
        server, asked_at
            See `observe_denial`.
        """
        self.check_loop()
        now = read_boot_ms()
        asked_at = now if asked_at is None else asked_at
        if self.primary_state.primary == server:
            self.probe_wanted.set()
        if loop_stalls.expired_amid(self.loop_stalled_until, asked_at, now):
            return
        was_silent = self.primary_state.silent_since
        leadership.observe_silence(self.primary_state, server, asked_at, now)
        if was_silent is None and self.primary_state.silent_since is not None:
            self.journal.record(
                EventKind.PRIMARY_SILENT, group=self.group, server=server
            )

    def observe_loop_stall(self, stall: Stall) -> None:
        """Count no silence for a time in which this process stood still."""
        self.loop_stalled_until = stall.ended_at
        leadership.leave_out(self.primary_state, stall)
        self.writes.leave_out(stall)
        if self.no_primary_since is not None:
            self.no_primary_since = loop_stalls.leave_out(self.no_primary_since, stall)
        self.probe_wanted.set()

    def rank_readers(self) -> list[ServerPool]:
        """Return the pools of servers that may serve a read, the best first."""
        pools = self.pools.values()
        loads = [pool.load for pool in pools if not pool.gate.is_shut]
        ranked = placement.rank_readers(loads, self.primary, read_boot_ms())
        return [self.pools[load.server] for load in ranked]
