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


def now() -> float:
    """Return the time of the soak's monotonic clock in seconds."""
    return time.monotonic()


@dataclass(frozen=True, kw_only=True, eq=False)
class Entry:
    """One commit in the log of a server."""

    term: int
    index: int
    writes: tuple[str, ...]

    @property
    def position(self) -> tuple[int, int]:
        """Log position: the term and the index."""
        return (self.term, self.index)


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
    counter: itertools.count = field(default_factory=itertools.count)

    def add_violation(self, rule: str, detail: str) -> None:
        """Record a violated guarantee."""
        self.violations.append(f"{now():.3f} {rule}: {detail}")

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
        self, *, name: str, zones: list[str], checker: Checker, random: random.Random
    ) -> None:
        self.name = name
        self.random = random
        self.checker = checker
        self.term = 1
        self.indexes = itertools.count(1)
        self.servers = {
            f"{name}-{i}": Server(name=f"{name}-{i}", zone=zone)
            for i, zone in enumerate(zones, 1)
        }
        self.acknowledged: list[tuple[float, Entry]] = []
        self.promotions = 0
        next(iter(self.servers.values())).is_primary = True

    def find_primary(self) -> Server | None:
        """Return the primary, None when there is none."""
        return next((s for s in self.servers.values() if s.is_primary), None)

    async def replicate(self) -> None:
        """Copy log entries from the primary to its replicas until cancelled."""
        while True:
            primary = self.find_primary()
            for server in self.servers.values():
                self._apply(server)
                if primary is not None and server is not primary:
                    self._receive(primary, server)
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
        replica.next_receive_at = now() + self.random.uniform(0, MAX_RECEIVE_PAUSE_S)
        if len(replica.log) < len(primary.log):
            replica.log += primary.log[len(replica.log) :]
            replica.scheduled_applies.append((now() + replica.lag_s, len(replica.log)))

    def _apply(self, server: Server) -> None:
        while server.scheduled_applies and server.scheduled_applies[0][0] <= now():
            server.applied = max(server.applied, server.scheduled_applies.pop(0)[1])

    async def commit(self, server: Server, writes: tuple[str, ...]) -> bool:
        """Append a commit and return whether a replica acknowledged it."""
        entry = Entry(term=self.term, index=next(self.indexes), writes=writes)
        server.log.append(entry)
        at = len(server.log)
        while server.is_primary and server.up and not server.silent:
            others = [s for s in self.servers.values() if s is not server]
            if any(len(s.log) >= at and s.log[at - 1] is entry for s in others):
                server.applied = max(server.applied, at)
                self.acknowledged.append((now(), entry))
                return True
            await asyncio.sleep(REPLICATION_PERIOD_S)
        return False

    def promote(self, name: str) -> None:
        """Make a server the primary of the next term, with the log it has received."""
        target = self.servers.get(name)
        if target is None or not target.up or target.is_primary:
            return
        self.term += 1
        self.promotions += 1
        held = {id(entry) for entry in target.log}
        lost = [e for _, e in self.acknowledged if id(e) not in held]
        if lost:
            self.checker.add_violation(
                "LOST", f"{name} became primary without {lost[0].position}"
            )
            self.acknowledged = [a for a in self.acknowledged if id(a[1]) in held]
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

    def check_read(self, server: Server, request: str) -> None:
        """Record a violation if a read misses a commit that it must see."""
        statement = self.checker.statements[request]
        latest = statement.first_byte_at - (statement.staleness_s or 0.0)
        visible = {id(e) for e in server.log[: server.applied]}
        for at, entry in reversed(self.acknowledged):
            if at < latest - 30:
                break
            if at < latest and id(entry) not in visible:
                detail = f"{request} at {server.name} lacks {entry.position}"
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
