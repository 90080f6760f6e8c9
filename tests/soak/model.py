"""Model of a replicated database group, and the checker of guarantees.

All servers, callers and the store run in one process and share one clock, so the
order of events is known without coordination.
"""

import asyncio
import itertools
import random
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

REPLICATION_PERIOD_S = 0.003
PROMOTION_S = 0.4
# Replicas receive at different times, so a commit may be on only one of them.
MAX_RECEIVE_PAUSE_S = 0.03
# Delay from a commit to its receipt, of each replica its own.
RECEIVE_DELAY_S = (0.001, 0.06)
# Delay until a server learns a promotion, of most servers and of the others.
LEARNING_S = (0.0, 0.1)
LONG_LEARNING_S = (0.1, 0.4)
LONG_LEARNING_SHARE = 0.2
ROLL_BACK_S = (0.05, 0.3)
# Terms and lengths of logs with which groups begin that have had an earlier life, the
# most entries that a replica lacks, and the latest time at which it learns the term.
EARLIER_TERMS = (10, 14)
EARLIER_ENTRIES = (1_000, 3_400)
MOST_MISSING_ENTRIES = 20
EARLIER_LEARNING_S = 3.0
# Promotions of one group that count as close to each other.
CLOSE_PROMOTIONS_S = 4.0


def now() -> float:
    """Return the time of the soak's monotonic clock in seconds."""
    return time.monotonic()


class TargetStops(Enum):
    """When a server that is to be promoted receives nothing more."""

    AT_CALL = "call"
    AT_ACCEPTANCE = "acceptance"
    AT_EFFECT = "effect"


@dataclass(frozen=True, kw_only=True, eq=False)
class Entry:
    """One commit in the log of a server."""

    term: int
    index: int
    writes: tuple[str, ...]
    committed_at: float

    @property
    def position(self) -> tuple[int, int]:
        """Log position: the term and the index."""
        return (self.term, self.index)


@dataclass(frozen=True, kw_only=True)
class Acknowledgement:
    """A commit that was acknowledged, by whom, and thanks to which replicas.

    Parameters
    ----------
    at
        When its answer was written to a connection that was open.
    """

    at: float
    entry: Entry
    server: str
    receivers: tuple[str, ...]
    after_step_down: bool


@dataclass(kw_only=True, eq=False)
class Order:
    """An accepted order of a server.

    Parameters
    ----------
    server
        Name of the server.
    accepted_at, effect_at
        When it was accepted, and when it took effect, if it has.
    term
        Term that began with its effect.
    """

    server: str
    accepted_at: float
    effect_at: float | None = None
    term: int = 0

    def __str__(self) -> str:
        """Describe it in a few words."""
        effect = "no effect"
        if self.effect_at is not None:
            effect = f"effect at {self.effect_at:.3f} with term {self.term}"
        return f"{self.server} accepted at {self.accepted_at:.3f}, {effect}"


@dataclass(frozen=True, kw_only=True)
class Leeway:
    """What servers do that no page rules out; by default they do none of it.

    Parameters
    ----------
    delivers_after_step_down
        Whether a primary that has stepped down goes on delivering its log, and
        acknowledges what waits for a replica, until the term changes.
    leads_after_crash
        Whether a primary that crashed after it had stepped down leads again when it
        is back, unless another server was promoted.
    own_delays
        Whether each replica receives at a delay of its own.
    promotion_s
        Range of the time from an order to its effect.
    own_terms
        Whether each server but the promoted one learns a promotion at a time of its
        own, shows its own term, numbers its own log, and takes nothing up again that
        it had before a crash. Otherwise all learn at the effect.
    leads_until_learnt
        Whether a former primary goes on leading, with the replicas that have not
        learnt either, until it learns that another server was promoted. Otherwise
        it loses the lead at the effect, and only its term is late.
    acknowledges_by_position
        Whether a commit that waits goes on waiting beyond the lead, until any replica
        shows its position or a higher one, also of a later term.
    effect_ends_pauses
        Whether the effect of a promotion ends the pauses of all servers, also of those
        that learn it later.
    call_ends_pauses
        Whether the acceptance of a promotion ends the pauses of all servers.
    learning_ends_pauses
        Whether a server that learns a promotion ends its pause.
    step_down_raises_term, pause_raises_term
        Whether a server takes the term of a STEPDOWN or a PAUSE for its newest.
    terms_above_servers
        Whether the next term is above the terms of all servers. Otherwise the
        platform counts by itself.
    promotes_stepped_down
        Whether a primary that has stepped down can be promoted like any other.
        Otherwise it is the present primary until another server is promoted.
    roll_back_is_busy
        Whether a server is busy for a moment after it has rolled commits back.
    commands_take_slots
        Whether commands take a slot, and are refused when none is free.
    slots
        Number of statements that a server runs at a time.
    work_s
        Range of the time that a statement takes.
    store_s
        The same of a statement that stores a commit, None without a difference.
    command_s
        Range of the time that a command takes; its effect comes within it.
    status_counts_itself
        Whether a STATUS is among the busy statements that it reports.
    late_answer_share, late_command_share
        Share of commands that are answered long after they were carried out, and that
        are carried out long after they arrived, though nobody waits any more.
    target_stops
        From when on a server that is to be promoted receives nothing more.
    acceptance_s
        Range of the time from a call to the acceptance of a promotion.
    commits_after_step_down
        Whether a statement that runs when its primary steps down still commits.
    late_promotion_share
        Share of promotions that are answered long after they were accepted.
    unanswered_promotion_share
        Share of calls that get no answer, and are accepted seconds later.
    unanswered_s
        Range of the time until then.
    first_term, first_number
        Term and number of the log at the start.
    has_earlier_life
        Whether groups begin in a higher term, with long logs, of which a replica may
        lack the last entries, and with the lease of an earlier change, maybe open.
    most_in_first_term
        Most entries that an earlier life leaves in the first term.
    receive_s
        Range of the delay from a commit to its receipt.
    queue
        Statements and commands that wait for a slot before more are refused; None
        for no limit, and commands that are refused at once.
    carries_out_queued
        Whether a command that waited is carried out though its connection is closed.
    handshake_s
        Time for which a new connection takes a slot; None if it takes none.
    freezes_when_silent
        Whether a silent server goes on later where it stopped, and a commit that
        waits there is acknowledged then.
    promotes_frozen
        Whether the promotion of a server that is frozen takes effect.
    """

    delivers_after_step_down: bool = False
    leads_after_crash: bool = False
    own_delays: bool = False
    promotion_s: tuple[float, float] = (PROMOTION_S, PROMOTION_S)
    own_terms: bool = False
    leads_until_learnt: bool = False
    acknowledges_by_position: bool = False
    effect_ends_pauses: bool = False
    call_ends_pauses: bool = False
    learning_ends_pauses: bool = False
    step_down_raises_term: bool = False
    pause_raises_term: bool = False
    terms_above_servers: bool = False
    promotes_stepped_down: bool = True
    roll_back_is_busy: bool = False
    commands_take_slots: bool = False
    slots: int = 4
    work_s: tuple[float, float] = (0.0, 0.004)
    store_s: tuple[float, float] | None = None
    command_s: tuple[float, float] = (0.0, 0.002)
    status_counts_itself: bool = True
    late_answer_share: float = 0.0
    late_command_share: float = 0.0
    target_stops: TargetStops = TargetStops.AT_EFFECT
    acceptance_s: tuple[float, float] = (0.0, 0.0)
    commits_after_step_down: bool = False
    late_promotion_share: float = 0.0
    unanswered_promotion_share: float = 0.0
    unanswered_s: tuple[float, float] = (1.0, 4.0)
    first_term: int = 1
    first_number: int = 1
    has_earlier_life: bool = False
    most_in_first_term: int = MOST_MISSING_ENTRIES
    receive_s: tuple[float, float] = RECEIVE_DELAY_S
    queue: int | None = None
    carries_out_queued: bool = False
    handshake_s: float | None = None
    freezes_when_silent: bool = False
    promotes_frozen: bool = True


@dataclass(frozen=True, kw_only=True)
class Unheard:
    """A commit whose connection was closed while it waited for a replica.

    Parameters
    ----------
    length
        Length of its server's log with it.
    restarts
        How often its server had crashed.
    """

    entry: Entry
    server: "Server"
    length: int
    restarts: int


@dataclass(frozen=True, kw_only=True)
class SentStatement:
    """A statement that a caller sent.

    Parameters
    ----------
    session, operation
        Session that sent it, and the operation that it belongs to.
    text
        Its text; for a prepared statement its shape and the arguments.
    in_transaction
        Whether the operation is a transaction.
    first_byte_at
        When the first byte of the statement or of its transaction was sent.
    staleness_s
        Accepted staleness of the route, None when reads must see the latest commit.
    own_position
        Position of the session's own last commit, if a read must see it.
    values
        Session values that were acknowledged.
    """

    session: int
    operation: int
    text: str
    in_transaction: bool
    first_byte_at: float
    staleness_s: float | None
    own_position: tuple[int, int] | None
    values: dict[str, str]


@dataclass(kw_only=True)
class Checker:
    """Statements sent, those that reached a server, receipts, and violations found."""

    statements: dict[str, SentStatement] = field(default_factory=dict)
    reached: set[str] = field(default_factory=set)
    receipts: dict[str, dict[str, tuple[str, ...]]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    violations: list[str] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)
    counter: itertools.count = field(default_factory=itertools.count)

    def add_violation(self, rule: str, detail: str) -> None:
        """Record a violated guarantee."""
        self.violations.append(f"{now():.3f} {rule}: {detail}")

    def add_note(self, text: str) -> None:
        """Note an event, with the time of day that the hosts' logs carry."""
        self.notes.append(f"{time.time() * 1000:.0f} {now():.3f} {text}")

    def issue_receipt(self, request: str, rows: tuple[str, ...]) -> str:
        """Return a unique receipt for a statement that ran, and remember its rows."""
        receipt = f"m.{next(self.counter)}"
        self.receipts[request][receipt] = rows
        return receipt


@dataclass(kw_only=True, eq=False)
class Server:
    """A backend server, its log and the faults that act on it.

    Parameters
    ----------
    applied
        Number of log entries that are applied.
    scheduled_applies
        Times at which the log is applied up to a length.
    silent
        Whether it answers neither on open nor on new connections.
    partitioned
        Whether it is partitioned from the other servers.
    receive_paused
        Whether it receives no log entries.
    lost_share, busy_share
        Share of statements whose answer is lost, and that are refused with BUSY.
    slowness
        Factor by which statements take longer.
    unlisted
        Whether the store lacks its entry although it runs.
    term
        Newest term that it knows, as it shows it.
    followed_term
        Term whose primary it is, or receives from; 0 until its group knows it.
    learns_at
        When it learns the newest promotion, None once it has.
    busy_until
        End of the time in which it refuses everything after a roll-back.
    restarts
        Number of times that it crashed and came back.
    is_ordered
        Whether a promotion of it has not taken effect, and it receives nothing for it.
    """

    name: str
    zone: str
    log: list[Entry] = field(default_factory=list)
    applied: int = 0
    scheduled_applies: list[tuple[float, int]] = field(default_factory=list)
    is_primary: bool = False
    paused_term: int = 0
    up: bool = True
    silent: bool = False
    partitioned: bool = False
    receive_paused: bool = False
    leaving: bool = False
    lag_s: float = 0.02
    lost_share: float = 0.0
    busy_share: float = 0.0
    slowness: float = 1.0
    unlisted: bool = False
    started_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    down_since: float = 0.0
    next_receive_at: float = 0.0
    receive_delay_s: float = 0.0
    term: int = 0
    followed_term: int = 0
    learns_at: float | None = None
    busy_until: float = 0.0
    restarts: int = 0
    is_ordered: bool = False

    @property
    def position(self) -> tuple[int, int]:
        """Log position of the last applied entry."""
        return self.log[self.applied - 1].position if self.applied else (0, 0)

    @property
    def received_position(self) -> tuple[int, int]:
        """Log position of the last received entry."""
        return self.log[-1].position if self.log else (0, 0)

    def truncate(self, length: int) -> None:
        """Drop the log entries beyond a length."""
        del self.log[length:]
        self.applied = min(self.applied, length)
        self.scheduled_applies = [
            (at, min(n, length)) for at, n in self.scheduled_applies
        ]


class Group:
    """A primary, its replicas and the acknowledged commits."""

    def __init__(
        self,
        *,
        name: str,
        zones: list[str],
        checker: Checker,
        random: random.Random,
        leeway: Leeway,
    ) -> None:
        self.name = name
        self.leeway = leeway
        self.random = random
        self.checker = checker
        # Term of the newest promotion, as the platform counts.
        self.term = leeway.first_term
        if leeway.has_earlier_life:
            self.term = random.randint(*EARLIER_TERMS)
        self.indexes = itertools.count(leeway.first_number)
        self.servers = {
            f"{name}-{i}": Server(name=f"{name}-{i}", zone=zone)
            for i, zone in enumerate(zones, 1)
        }
        self.acknowledged: list[Acknowledgement] = []
        # What servers count as acknowledged though its connection was closed.
        self.counted: list[Acknowledgement] = []
        self.unheard: list[Unheard] = []
        self.orders: list[Order] = []
        self.promotions = 0
        self.close_promotions = 0
        self.promoted_at = 0.0
        # The server that leads this term, or led it until it stepped down.
        self.leader = next(iter(self.servers.values()))
        self.leader.is_primary = True
        # The same for each term.
        self.leaders = {self.term: self.leader}
        for server in self.servers.values():
            self.admit(server)
        if leeway.has_earlier_life:
            self._add_earlier_life()

    def _add_earlier_life(self) -> None:
        """Give the servers logs of earlier terms; the last replica may be behind."""
        rng, (leader, other, last) = self.random, self.servers.values()
        length = rng.randint(*EARLIER_ENTRIES)
        most = (MOST_MISSING_ENTRIES, self.leeway.most_in_first_term)
        missing, in_term = (rng.randint(0, each) for each in most)
        log = [
            Entry(
                term=self.term - (index <= length - in_term),
                index=index,
                writes=(),
                committed_at=0.0,
            )
            for index in range(1, length + 1)
        ]
        self.acknowledged = [
            Acknowledgement(
                at=0.0,
                entry=entry,
                server=leader.name,
                receivers=(other.name,),
                after_step_down=False,
            )
            for entry in log[length - missing :]
        ]
        for server in self.servers.values():
            server.log, server.applied = list(log), length
        last.truncate(length - missing)
        if missing > in_term:
            self.leaders[self.term - 1] = leader
            last.term = last.followed_term = self.term - 1
            last.learns_at = now() + rng.uniform(0.0, EARLIER_LEARNING_S)

    def find_primary(self) -> Server | None:
        """Return the primary of the newest term, None when there is none."""
        primaries = [s for s in self.servers.values() if s.is_primary]
        return max(primaries, key=lambda s: s.followed_term, default=None)

    def admit(self, server: Server) -> None:
        """Have a new server follow the newest primary that this group had."""
        if server.followed_term:
            return
        server.term = server.followed_term = self.term
        if self.leeway.own_terms:
            self._roll_back(server)

    def is_present(self, server: Server) -> bool:
        """Return whether the platform takes a server for the present primary."""
        is_leading = server.is_primary or not self.leeway.promotes_stepped_down
        return server is self.leader and is_leading

    # -- commands --

    def step_down(self, server: Server, term: int) -> None:
        """Make a primary of a lower term a replica."""
        if term <= server.term:
            return
        if server.is_primary:
            detail = f"for term {term}, at {server.received_position}"
            self.checker.add_note(f"{server.name} steps down {detail}")
        server.is_primary = False
        if self.leeway.step_down_raises_term:
            server.term = term

    def pause(self, server: Server, term: int) -> None:
        """Stop a replica from receiving, if the term is above its newest."""
        if term <= server.term or server.is_primary:
            return
        if server.paused_term != term:
            detail = f"for term {term}, at {server.received_position}"
            self.checker.add_note(f"{server.name} pauses {detail}")
        server.paused_term = term
        if self.leeway.pause_raises_term:
            server.term = term

    def resume(self, server: Server) -> None:
        """Have a paused replica receive again."""
        if server.paused_term:
            detail = f"of term {server.term}, at {server.received_position}"
            self.checker.add_note(f"{server.name} {detail}, is resumed")
        server.paused_term = 0

    def restart(self, server: Server) -> None:
        """Start a server that crashed, with its log."""
        server.up = True
        server.paused_term = 0
        server.restarts += 1
        if self.leeway.own_terms:
            if server.followed_term < self.term:
                self._learn(server)
            server.term = server.followed_term
        if self.leeway.leads_after_crash and server is self.leader:
            server.is_primary = True
            self.checker.add_note(f"{server.name} is back and leads term {self.term}")

    # -- replication --

    def _find_source(self, replica: Server) -> Server | None:
        """Return the server from which a replica receives, None without one."""
        leader = self.leaders[replica.followed_term]
        if leader.name not in self.servers or leader is replica:
            return None
        # It may have learnt of its successor before this replica.
        if leader.followed_term != replica.followed_term:
            return None
        if leader.is_primary or self.leeway.delivers_after_step_down:
            return leader
        return None

    def draw_promotion(self) -> float:
        """Return the time from an order to its effect, in seconds."""
        shortest, longest = self.leeway.promotion_s
        if shortest == longest:
            return shortest
        return self.random.uniform(shortest, longest)

    def draw_delays(self, random: random.Random) -> None:
        """Draw for each server the delay at which it receives."""
        for server in self.servers.values():
            server.receive_delay_s = random.uniform(*self.leeway.receive_s)

    async def replicate(self) -> None:
        """Copy log entries to the replicas until cancelled."""
        while True:
            self.advance()
            await asyncio.sleep(REPLICATION_PERIOD_S)

    def advance(self) -> None:
        """Have each server learn, apply and receive what is due."""
        for server in self.servers.values():
            if self._is_frozen(server):
                continue
            if server.up and server.learns_at is not None and server.learns_at <= now():
                self._learn(server)
            self._apply(server)
            source = self._find_source(server)
            if source is not None:
                self._receive(source, server)
        self._count_unheard()

    def _is_frozen(self, server: Server) -> bool:
        return server.silent and self.leeway.freezes_when_silent

    def _receive(self, primary: Server, replica: Server) -> None:
        linked = (
            primary.up
            and replica.up
            and not (primary.partitioned or replica.partitioned)
        )
        if not linked or replica.receive_paused or replica.paused_term:
            return
        if replica.is_ordered:
            return
        if now() < replica.next_receive_at:
            return
        missing = primary.log[len(replica.log) :]
        if self.leeway.own_delays:
            latest = now() - replica.receive_delay_s
            missing = [e for e in missing if e.committed_at <= latest]
        else:
            pause = self.random.uniform(0, MAX_RECEIVE_PAUSE_S)
            replica.next_receive_at = now() + pause
        if missing:
            replica.log += missing
            replica.scheduled_applies.append((now() + replica.lag_s, len(replica.log)))

    def _apply(self, server: Server) -> None:
        while server.scheduled_applies and server.scheduled_applies[0][0] <= now():
            server.applied = max(server.applied, server.scheduled_applies.pop(0)[1])

    async def commit(
        self,
        server: Server,
        writes: tuple[str, ...],
        is_closed: Callable[[], bool] = lambda: False,
    ) -> bool:
        """Append a commit and return whether it is acknowledged.

        It is, once a replica has received it, unless its connection is closed.
        """
        entry = Entry(
            term=server.followed_term,
            index=self._number_commit(server),
            writes=writes,
            committed_at=now(),
        )
        server.log.append(entry)
        at = len(server.log)
        if not server.is_primary:
            self.checker.add_note(f"{server.name} commits {entry.position} late")
        restarts = server.restarts
        while self._may_acknowledge(server, entry):
            if is_closed():
                unheard = Unheard(
                    entry=entry, server=server, length=at, restarts=restarts
                )
                self.unheard.append(unheard)
                return False
            receivers = self._find_receivers(server, entry, at)
            if receivers and not self._is_frozen(server):
                if server.log[at - 1 : at] == [entry]:
                    server.applied = max(server.applied, at)
                acknowledgement = Acknowledgement(
                    at=now(),
                    entry=entry,
                    server=server.name,
                    receivers=tuple(receivers),
                    after_step_down=not server.is_primary,
                )
                if entry.term == self.term or entry in self.leader.log:
                    self.acknowledged.append(acknowledgement)
                else:
                    self._record_late_acknowledgement("LATE-ACK", acknowledgement)
                return True
            await asyncio.sleep(REPLICATION_PERIOD_S)
        return False

    def _find_receivers(self, server: Server, entry: Entry, length: int) -> list[str]:
        others = [s for s in self.servers.values() if s is not server]
        return [s.name for s in others if self._has_received(server, s, entry, length)]

    def _count_unheard(self) -> None:
        """Have servers count commits that a replica received after the close."""
        waiting, self.unheard = self.unheard, []
        for unheard in waiting:
            server, entry = unheard.server, unheard.entry
            if server.silent:
                self.unheard.append(unheard)
                continue
            has_crashed = server.restarts != unheard.restarts
            if has_crashed or not self._may_acknowledge(server, entry):
                continue
            receivers = self._find_receivers(server, entry, unheard.length)
            if not receivers:
                self.unheard.append(unheard)
                continue
            counted = Acknowledgement(
                at=now(),
                entry=entry,
                server=server.name,
                receivers=tuple(receivers),
                after_step_down=not server.is_primary,
            )
            if entry.term == self.term or entry in self.leader.log:
                self.counted.append(counted)
            else:
                self._record_late_acknowledgement("LATE-BY-SERVER", counted)

    def _has_received(
        self, primary: Server, replica: Server, entry: Entry, length: int
    ) -> bool:
        """Return whether a replica has an entry, as the primary sees it."""
        if self.leeway.acknowledges_by_position:
            is_linked = replica.up and not (primary.partitioned or replica.partitioned)
            return is_linked and replica.received_position >= entry.position
        return len(replica.log) >= length and replica.log[length - 1] is entry

    def _number_commit(self, server: Server) -> int:
        if not self.leeway.own_terms:
            return next(self.indexes)
        return server.log[-1].index + 1 if server.log else self.leeway.first_number

    def _may_acknowledge(self, server: Server, entry: Entry) -> bool:
        if not server.up or (server.silent and not self.leeway.freezes_when_silent):
            return False
        known = server.followed_term if self.leeway.leads_until_learnt else self.term
        if entry.term != known and not self.leeway.acknowledges_by_position:
            return False
        return server.is_primary or self.leeway.delivers_after_step_down

    def _record_late_acknowledgement(self, rule: str, late: Acknowledgement) -> None:
        entry = late.entry
        self.checker.add_violation(
            rule,
            f"{self.leader.name} was primary of term {self.term}, without 1: "
            f"{entry.position} {'+'.join(entry.writes)} by {late.server} with "
            f"{'+'.join(late.receivers)}, {late.at - self.promoted_at:.3f} s after the "
            f"effect and {late.at - entry.committed_at:.3f} s after its start"
            f"{', after the step-down' * late.after_step_down}",
        )

    # -- promotions --

    def accept(self, name: str) -> Order:
        """Return the order of a server that is accepted now."""
        self.orders.append(Order(server=name, accepted_at=now()))
        return self.orders[-1]

    def promote(self, name: str, order: Order | None = None) -> None:
        """Make a server the primary of the next term, with the log it has received."""
        target = self.servers.get(name)
        if target is not None:
            target.is_ordered = False
        if target is None or not self._can_lead(target):
            return
        former, former_term = self.leader, self.term
        self.term = self._find_next_term()
        self.close_promotions += 0.0 < now() - self.promoted_at < CLOSE_PROMOTIONS_S
        self.promotions += 1
        self.promoted_at = now()
        if order is not None:
            order.effect_at, order.term = self.promoted_at, self.term
        self.leader = self.leaders[self.term] = target
        self._record_losses(target)
        self.checker.add_note(
            f"{name} leads term {self.term}, at {target.received_position}; "
            f"{former.name} led term {former_term}, at {former.received_position}"
        )
        target.is_primary = True
        target.term = target.followed_term = self.term
        target.learns_at = None
        target.paused_term = 0
        target.applied = len(target.log)
        target.scheduled_applies.clear()
        for server in self.servers.values():
            if server is target:
                continue
            if self.leeway.effect_ends_pauses:
                server.paused_term = 0
            if not self.leeway.own_terms:
                self._learn(server)
                continue
            server.learns_at = now() + self._draw_learning()
            if not self.leeway.leads_until_learnt:
                server.is_primary = False

    def _record_losses(self, target: Server) -> None:
        """Record a violation if the new primary lacks acknowledged commits."""
        held = {id(entry) for entry in target.log}
        lost = [a for a in self.acknowledged if id(a.entry) not in held]
        if lost:
            self.checker.add_violation("LOST", self._describe_loss(target, lost))
            self.acknowledged = [a for a in self.acknowledged if id(a.entry) in held]
        if unheard := [a for a in self.counted if id(a.entry) not in held]:
            detail = self._describe_loss(target, unheard)
            self.checker.add_violation("LOST-BY-SERVER", detail)
            self.counted = [a for a in self.counted if id(a.entry) in held]

    def _can_lead(self, target: Server) -> bool:
        """Return whether the promotion of a server takes effect."""
        if not target.up or self.is_present(target):
            return False
        return self.leeway.promotes_frozen or not self._is_frozen(target)

    def _find_next_term(self) -> int:
        if not self.leeway.terms_above_servers:
            return self.term + 1
        return max(self.term, *(s.term for s in self.servers.values())) + 1

    def _draw_learning(self) -> float:
        is_long = self.random.random() < LONG_LEARNING_SHARE
        return self.random.uniform(*(LONG_LEARNING_S if is_long else LEARNING_S))

    def _learn(self, server: Server) -> None:
        """Have a server learn the newest promotion, and follow its primary."""
        server.learns_at = None
        server.is_primary = False
        server.followed_term = self.term
        server.term = max(server.term, self.term)
        dropped = self._roll_back(server)
        if self.leeway.learning_ends_pauses:
            server.paused_term = 0
        if not self.leeway.own_terms:
            return
        if dropped and self.leeway.roll_back_is_busy:
            server.busy_until = now() + self.random.uniform(*ROLL_BACK_S)
        self.checker.add_note(
            f"{server.name} learns term {self.term}, at {server.received_position}, "
            f"{dropped} rolled back, paused {server.paused_term}"
        )

    def _roll_back(self, server: Server) -> int:
        """Drop what the newest primary's log lacks; return how many commits."""
        shared = 0
        for mine, theirs in zip(server.log, self.leader.log, strict=False):
            if mine is not theirs:
                break
            shared += 1
        dropped = len(server.log) - shared
        server.truncate(shared)
        return dropped

    def _describe_loss(self, target: Server, lost: list[Acknowledgement]) -> str:
        """Return who lost what, and who had acknowledged and received it."""
        effect = now()
        term = min(a.entry.term for a in lost)
        orders = self._list_orders_since(term)
        leader = self.leaders[term].name
        others = [o.accepted_at for o in orders if o.server != leader]
        late = sum(a.at > min(others, default=effect) for a in lost)
        commits = "; ".join(
            f"{a.entry.position} by {a.server} with {'+'.join(a.receivers)}, "
            f"at {a.at:.3f}, {effect - a.at:.3f} s before the effect and "
            f"{a.at - a.entry.committed_at:.3f} s after its start"
            f"{', after the step-down' * a.after_step_down}"
            for a in lost
        )
        return (
            f"{target.name} became primary of term {self.term} with "
            f"{target.received_position}, without {len(lost)}: {commits}; {late} after "
            f"the first order of another than {leader}: {', '.join(map(str, orders))}"
        )

    def _list_orders_since(self, term: int) -> list[Order]:
        """Return the orders that were accepted since a term began."""
        effects = [o.effect_at or 0.0 for o in self.orders if o.term == term]
        since = max(effects, default=0.0)
        return [o for o in self.orders if o.accepted_at > since]

    def check_read(self, server: Server, request: str) -> None:
        """Record a violation if a read misses a commit that it must see."""
        statement = self.checker.statements[request]
        latest = statement.first_byte_at - (statement.staleness_s or 0.0)
        visible = {id(e) for e in server.log[: server.applied]}
        for known in reversed(self.acknowledged):
            if known.at < latest - 30:
                break
            if known.at < latest and id(known.entry) not in visible:
                detail = f"{request} at {server.name} lacks {known.entry.position}"
                self.checker.add_violation("STALE", detail)
                return
        if (
            statement.own_position is not None
            and server.position < statement.own_position
        ):
            self.checker.add_violation(
                "STALE",
                f"{request} lacks its session's commit {statement.own_position}",
            )
