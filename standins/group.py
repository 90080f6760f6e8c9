"""Group membership of a stand-in backend server: role, term, log and votes."""

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
    """Faults that tests inject while the server runs."""

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
    """Registry of connections that enforces a limit and records the peak."""

    def __init__(self, *, limit: int) -> None:
        super().__init__()
        self.limit = limit
        self.peak = 0

    async def add(self, connection) -> int:
        """Register a connection or reject it with error 1040."""
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
        """Return the database file of the current incarnation."""
        return os.path.join(self.folder.name, f"{self.incarnation}.db")

    def open_database(self) -> sqlite3.Connection:
        """Open the database of the current incarnation."""
        database = sqlite3.connect(self.path(), isolation_level=None, timeout=0)
        database.execute("PRAGMA journal_mode=WAL")
        database.execute("PRAGMA synchronous=OFF")
        return database

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Wait for a change, for at most ``CHANGE_WAIT_S``."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.changed.wait(), CHANGE_WAIT_S)

    def behind_ms(self) -> int:
        """Return the age of the oldest commit that is not applied here.

        It is never less than the time since the last contact with the primary.
        """
        if self.role == "primary":
            return 0
        unseen = self.last_contact
        if self.applied < min(self.known_commit, len(self.arrivals)):
            unseen = min(unseen, self.arrivals[self.applied])
        return int((time.monotonic() - unseen) * 1000)

    def advance_commit(self) -> None:
        """Raise the commit index to the end that a majority holds.

        As in Raft, only an entry of the current term may be committed in this way.
        """
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
        """Truncate the log after ``end``.

        If truncated entries were applied, the database is replaced by an empty one of
        the next incarnation, into which the log is applied again.
        """
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
        """Apply committed entries on a replica, delayed by the ``lag_ms`` fault."""
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
        """Adopt a term and end all streams; fence a primary and drop its clients."""
        self.term = term
        if self.role == "primary":
            self.role = "fenced"
            self.drop_connections()
        for task in list(self.streams):
            task.cancel()

    def fence(self, term: int, coordinator: str) -> bool:
        """Adopt a term for ``coordinator`` and return whether it was granted.

        Each term is granted to one coordinator only.
        """
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
        """Become the primary of a term that was granted to this coordinator."""
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
        """Become a replica of the primary of ``term``; return whether accepted."""
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
        """Return the row of ``group_status``."""
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
