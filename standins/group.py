"""State of a stand-in backend server as a member of its group."""

import asyncio
import contextlib
import json
import os
import sqlite3
import tempfile
import time
from dataclasses import dataclass, field

from mysql_mimic.control import LocalControl, TooManyConnections

from .log import Entry, Log

CHANGE_WAIT_S = 0.05


@dataclass(kw_only=True)
class Faults:
    """Settings that tests change while the server runs."""

    lag_ms: int = 0
    work_ms: int = 1
    latency_ms: int = 0
    connect_ms: int = 0
    mute: int = 0
    cut_replication: int = 0
    hold_commits: int = 0
    leaving: int = 0


@dataclass(kw_only=True)
class Options:
    """Start-up settings of a stand-in server."""

    server: str
    port: int
    replication_port: int
    members: int = 3
    slots: int = 3
    connections: int = 20
    primary: bool = False
    schema: list[str] = field(default_factory=list)


class CountingControl(LocalControl):
    """Holds the connection limit."""

    def __init__(self, *, limit: int) -> None:
        super().__init__()
        self.limit = limit
        self.peak = 0

    async def add(self, connection) -> int:
        """Admit a connection or refuse it with error 1040."""
        if len(self._connections) >= self.limit:
            raise TooManyConnections
        number = await super().add(connection)
        self.peak = max(self.peak, len(self._connections))
        return number

    @property
    def connections(self) -> dict:
        """Open connections by number."""
        return self._connections


class Group:
    """State of this server as a member of its group."""

    def __init__(self, *, options: Options, faults: Faults) -> None:
        self.options = options
        self.faults = faults
        self.log = Log()
        self.role = "primary" if options.primary else "replica"
        self.term = 1
        self.voted: dict[int, str] = {}
        self.commit = 0
        self.applied = 0
        self.incarnation = 0
        self.acks: dict[str, int] = {}
        self.primary_address: tuple[str, int] | None = None
        self.primary_name = options.server if options.primary else ""
        self.last_contact = time.monotonic()
        self.known_commit = 0
        self.changed = asyncio.Event()
        self.write_lock = asyncio.Lock()
        self.slots = asyncio.Semaphore(options.slots)
        self.arrivals: list[float] = []
        self.folder = tempfile.TemporaryDirectory(prefix="standin-")
        self.control = CountingControl(limit=options.connections)
        self.writer = self.open_database()
        self.streams: set[asyncio.Task] = set()
        self.ack_times: dict[str, float] = {}
        self.ping = asyncio.Event()
        self.reads = 0
        for statement in options.schema:
            self.writer.execute(statement)

    def path(self) -> str:
        """Return the file of the database in use."""
        return os.path.join(self.folder.name, f"{self.incarnation}.db")

    def open_database(self) -> sqlite3.Connection:
        """Open the database of the current incarnation."""
        database = sqlite3.connect(self.path(), isolation_level=None, timeout=0)
        database.execute("PRAGMA journal_mode=WAL")
        database.execute("PRAGMA synchronous=OFF")
        return database

    def notify(self) -> None:
        """Wake everybody who waits for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Wait a short while for a change."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.changed.wait(), CHANGE_WAIT_S)

    def behind_ms(self) -> int:
        """Return the age of the oldest commit that reads here do not see."""
        if self.role == "primary":
            return 0
        unseen = self.last_contact
        if self.applied < min(self.known_commit, len(self.arrivals)):
            unseen = min(unseen, self.arrivals[self.applied])
        return int((time.monotonic() - unseen) * 1000)

    def advance_commit(self) -> None:
        """Raise the commit index to what a majority holds (own term only)."""
        if self.faults.hold_commits:
            return
        ends = sorted([self.log.end, *self.acks.values()], reverse=True)
        majority = self.options.members // 2 + 1
        if len(ends) < majority:
            return
        end = min(ends[majority - 1], self.log.end)
        if end > self.commit and self.log.entries[end - 1].term == self.term:
            self.commit = end

    def rebuild(self, end: int) -> None:
        """Drop the log behind ``end`` and replay the rest into a new database."""
        self.log.truncate(end)
        self.commit = min(self.commit, end)
        if self.applied > end:
            self.incarnation += 1
            self.writer = self.open_database()
            for statement in self.options.schema:
                self.writer.execute(statement)
            self.applied = 0
            self.drop_connections()

    def drop_connections(self) -> None:
        """Close every client connection."""
        for connection in list(self.control.connections.values()):
            connection.kill()

    def apply_next(self) -> None:
        """Apply the next log entry to the database."""
        entry = self.log.entries[self.applied]
        self.writer.execute("BEGIN IMMEDIATE")
        for statement in entry.statements:
            self.writer.execute(statement)
        self.writer.execute("COMMIT")
        self.applied += 1

    async def apply_loop(self) -> None:
        """Apply committed entries on a replica, after the set lag."""
        while True:
            lag = self.faults.lag_ms / 1000
            moved = False
            while self.role == "replica" and self.applied < self.commit:
                due = self.arrivals[self.applied] + lag
                if due > time.monotonic():
                    break
                async with self.write_lock:
                    if self.role != "replica" or self.applied >= self.commit:
                        break
                    self.apply_next()
                    moved = True
            if moved:
                self.notify()
            await asyncio.sleep(0.005)

    def step_down(self, term: int) -> None:
        """Adopt a term and stop leading."""
        self.term = term
        if self.role == "primary":
            self.role = "fenced"
            self.drop_connections()
        for task in list(self.streams):
            task.cancel()

    def fence(self, term: int, coordinator: str) -> bool:
        """Adopt a higher term for ``coordinator``; one coordinator per term."""
        if term < self.term or (
            term == self.term and self.voted.get(term) != coordinator
        ):
            return False
        if term > self.term:
            self.voted[term] = coordinator
            self.primary_name = ""
            self.primary_address = None
            was_primary = self.role == "primary"
            self.step_down(term)
            if not was_primary and self.role != "fenced":
                self.role = "replica"
        return True

    async def promote(self, term: int, coordinator: str) -> bool:
        """Become primary of a term that this coordinator fenced."""
        if term != self.term or self.voted.get(term) != coordinator:
            return False
        if self.role == "primary":
            return True
        if self.role == "replica":
            async with self.write_lock:
                while self.applied < self.log.end:
                    self.apply_next()
        self.role = "primary"
        self.primary_name = self.options.server
        self.acks = {}
        self.log.append(Entry(term=self.term, statements=()))
        self.arrivals = self.arrivals[: self.log.end - 1] + [time.monotonic()]
        self.applied = self.log.end
        self.notify()
        return True

    def follow(self, term: int, name: str, host: str, port: int) -> bool:
        """Follow a primary at ``term``."""
        if term < self.term or (term == self.term and self.role == "primary"):
            return False
        if self.primary_name == name and term == self.term and self.role == "replica":
            return True
        if term > self.term:
            self.step_down(term)
        self.primary_name = name
        self.primary_address = (host, port)
        return True

    def status(self) -> list:
        """Return the row that ``group_status`` shows."""
        contact_ms = 0
        if self.role != "primary":
            contact_ms = int((time.monotonic() - self.last_contact) * 1000)
        return [
            self.options.server,
            self.role,
            self.term,
            self.log.last_term,
            self.log.end,
            self.applied,
            json.dumps(self.log.starts()),
            self.behind_ms(),
            contact_ms,
            self.faults.leaving,
            self.incarnation,
        ]
