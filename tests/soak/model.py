"""Model of a replicated database group, and the checker of guarantees.

All servers, callers and the store run in one process and share one clock, so the
order of events is known without coordination.
"""

import asyncio
import itertools
import random
import time
from collections import defaultdict
from dataclasses import dataclass, field

REPLICATION_PERIOD_S = 0.003
PROMOTION_S = 0.4
# Replicas receive at different times, so a commit may be on only one of them.
MAX_RECEIVE_PAUSE_S = 0.03
# Delay from a commit to its receipt, of each replica its own.
RECEIVE_DELAY_S = (0.001, 0.06)


def now() -> float:
    """Return the time of the soak's monotonic clock in seconds."""
    return time.monotonic()


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
    """A commit that was acknowledged, by whom, and thanks to which replicas."""

    at: float
    entry: Entry
    server: str
    receivers: tuple[str, ...]
    after_step_down: bool


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
    """

    delivers_after_step_down: bool = False
    leads_after_crash: bool = False
    own_delays: bool = False
    promotion_s: tuple[float, float] = (PROMOTION_S, PROMOTION_S)


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
    """Statements sent, receipts of statements that ran, and violations found."""

    statements: dict[str, SentStatement] = field(default_factory=dict)
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
        self.term = 1
        self.indexes = itertools.count(1)
        self.servers = {
            f"{name}-{i}": Server(name=f"{name}-{i}", zone=zone)
            for i, zone in enumerate(zones, 1)
        }
        self.acknowledged: list[Acknowledgement] = []
        self.promotions = 0
        # The server that leads this term, or led it until it stepped down.
        self.leader = next(iter(self.servers.values()))
        self.leader.is_primary = True

    def find_primary(self) -> Server | None:
        """Return the primary, None when there is none."""
        return next((s for s in self.servers.values() if s.is_primary), None)

    def step_down(self, server: Server, term: int) -> None:
        """Make a primary of a lower term a replica."""
        if term <= self.term:
            return
        if server.is_primary:
            self.checker.add_note(f"{server.name} steps down for term {term}")
        server.is_primary = False

    def restart(self, server: Server) -> None:
        """Start a server that crashed, with its log."""
        server.up = True
        server.paused_term = 0
        if self.leeway.leads_after_crash and server is self.leader:
            server.is_primary = True
            self.checker.add_note(f"{server.name} is back and leads term {self.term}")

    def _find_source(self) -> Server | None:
        """Return the server whose log is delivered, None without one."""
        if self.leeway.delivers_after_step_down:
            return self.servers.get(self.leader.name)
        return self.find_primary()

    def draw_promotion(self) -> float:
        """Return the time from an order to its effect, in seconds."""
        shortest, longest = self.leeway.promotion_s
        if shortest == longest:
            return shortest
        return self.random.uniform(shortest, longest)

    def draw_delays(self, random: random.Random) -> None:
        """Draw for each server the delay at which it receives."""
        for server in self.servers.values():
            server.receive_delay_s = random.uniform(*RECEIVE_DELAY_S)

    async def replicate(self) -> None:
        """Copy log entries to the replicas until cancelled."""
        while True:
            source = self._find_source()
            for server in self.servers.values():
                self._apply(server)
                if source is not None and server is not source:
                    self._receive(source, server)
            await asyncio.sleep(REPLICATION_PERIOD_S)

    def _receive(self, primary: Server, replica: Server) -> None:
        linked = (
            primary.up
            and replica.up
            and not (primary.partitioned or replica.partitioned)
        )
        if not linked or replica.receive_paused or replica.paused_term:
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

    async def commit(self, server: Server, writes: tuple[str, ...]) -> bool:
        """Append a commit and return whether a replica acknowledged it."""
        entry = Entry(
            term=self.term,
            index=next(self.indexes),
            writes=writes,
            committed_at=now(),
        )
        server.log.append(entry)
        at = len(server.log)
        while self._may_acknowledge(server, entry):
            others = [s for s in self.servers.values() if s is not server]
            receivers = [
                s.name for s in others if len(s.log) >= at and s.log[at - 1] is entry
            ]
            if receivers:
                server.applied = max(server.applied, at)
                self.acknowledged.append(
                    Acknowledgement(
                        at=now(),
                        entry=entry,
                        server=server.name,
                        receivers=tuple(receivers),
                        after_step_down=not server.is_primary,
                    )
                )
                return True
            await asyncio.sleep(REPLICATION_PERIOD_S)
        return False

    def _may_acknowledge(self, server: Server, entry: Entry) -> bool:
        if not server.up or server.silent:
            return False
        if self.leeway.delivers_after_step_down:
            return entry.term == self.term
        return server.is_primary

    def promote(self, name: str) -> None:
        """Make a server the primary of the next term, with the log it has received."""
        target = self.servers.get(name)
        if target is None or not target.up or target.is_primary:
            return
        self.term += 1
        self.promotions += 1
        self.leader = target
        held = {id(entry) for entry in target.log}
        lost = [a for a in self.acknowledged if id(a.entry) not in held]
        if lost:
            self.checker.add_violation("LOST", self._describe_loss(target, lost))
            self.acknowledged = [a for a in self.acknowledged if id(a.entry) in held]
        self.checker.add_note(f"{name} leads term {self.term}")
        for server in self.servers.values():
            server.is_primary = server is target
            shared = 0
            for mine, theirs in zip(server.log, target.log, strict=False):
                if mine is not theirs:
                    break
                shared += 1
            server.truncate(shared)
        target.paused_term = 0
        target.applied = len(target.log)
        target.scheduled_applies.clear()

    def _describe_loss(self, target: Server, lost: list[Acknowledgement]) -> str:
        """Return who lost what, and who had acknowledged and received it."""
        effect = now()
        commits = "; ".join(
            f"{a.entry.position} by {a.server} with {'+'.join(a.receivers)}, "
            f"{effect - a.at:.3f} s before the effect and "
            f"{a.at - a.entry.committed_at:.3f} s after its start"
            f"{', after the step-down' * a.after_step_down}"
            for a in lost
        )
        return (
            f"{target.name} became primary of term {self.term} with "
            f"{target.received_position}, without {len(lost)}: {commits}"
        )

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
