"""What one host knows of the primary of a group, from what servers answered."""

import asyncio
from collections.abc import Callable

from ..decisions import known_ends, leadership, loop_stalls, position_history
from ..decisions.known_ends import KnownEnds
from ..decisions.leadership import PrimaryState
from ..decisions.loop_stalls import Stall
from ..decisions.position_history import PositionHistory
from ..decisions.primary_proof import PrimaryProof
from ..groups import LogPosition
from ..identifiers import GroupId, ServerId, Term
from ..outages import OutageHistory
from ..routes import ListedServer
from ..services.clock import read_boot_ms
from .journal import EventKind, Journal
from .pending_writes import PendingWrites
from .primary_source import BegunTransaction, PrimarySource

# A write shows that its server leads where nothing has for this long.
WRITE_PROOF_MS = 50


class PrimaryObserver:
    """Observes which server of a group is the primary, and what its log holds.

    Parameters
    ----------
    group
        The group.
    journal
        Journal of the host.
    open_gates
        Opens the gates of former primaries, given the leader and its term.
    """

    def __init__(
        self,
        *,
        group: GroupId,
        journal: Journal,
        open_gates: Callable[[ServerId, Term], None],
    ) -> None:
        self.group = group
        self.journal = journal
        self.open_gates = open_gates
        # Servers that the store lists.
        self.servers: dict[ServerId, ListedServer] = {}
        self.primary_state = PrimaryState()
        # Set where a replaced primary may go on answering.
        self.prover: PrimarySource | None = None
        self.proof: PrimaryProof | None = None
        self.begun: BegunTransaction | None = None
        self.position_history = PositionHistory()
        self.known_ends = KnownEnds()
        self.sample_period_ms = position_history.choose_period_ms(())
        self.writes = PendingWrites()
        self.primary_confirmed = asyncio.Event()
        self.probe_wanted = asyncio.Event()
        self.no_primary_since: int | None = None
        # Whether statements are rejected by what is known of an outage.
        self.early_rejection = False
        self.outages = OutageHistory()
        self.outage_rejections = 0
        # Why this host's change found that nobody may be ordered, `NO_WAIT` if somebody
        # may be, None while it isn't known.
        self.log_wait: str | None = None
        # Notices a stall of this process that has just ended.
        self.check_loop: Callable[[], None] = lambda: None
        self.loop_stalled_until = 0

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
        known_ends.observe_leader(self.known_ends, state.term)
        self.open_gates(server, state.term)
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
