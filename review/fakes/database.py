"""Stand-in for a service of backends: one primary and its replicas.

It speaks the line protocol. A commit is acknowledged once one replica has received
it. Nobody replaces a primary but `Service.promote`, which the platform calls.
"""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field

from .record import Record

SLOTS = 3
QUEUE = 24
HANDSHAKE_S = 0.012
APPLY_S = 0.02
STEP_S = 0.001
IN_ZONE_S = (0.0001, 0.001)
HANG_STEP_S = 0.02
Position = tuple[int, int]


@dataclass(frozen=True, kw_only=True, eq=False)
class Entry:
    """One commit in a log."""

    position: Position
    writes: tuple[str, ...]
    stored_at: float


@dataclass(kw_only=True, eq=False)
class Connection:
    """State of one connection to a backend."""

    reader: asyncio.StreamReader
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)
    transaction: str = ""
    failed: bool = False
    writes: list[str] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """Rows and status line of an answer."""

    status: str
    rows: tuple[str, ...] = ()


COMPLETE = Outcome(status="COMPLETE -")


def _fail(code: str) -> Outcome:
    return Outcome(status=f"ERROR {code} -")


def format_position(position: Position) -> str:
    """Return a position as ``TERM.NUMBER``."""
    return f"{position[0]}.{position[1]}"


class Backend:
    """One backend of a service, on a loopback port.

    Parameters
    ----------
    service
        The service.
    name
        Its id.
    zone
        Its zone.
    receive_s
        Shortest and longest time that a commit takes to reach it from another zone.
    work_s
        Time that a read, a write or a commit takes.
    """

    def __init__(
        self,
        *,
        service: "Service",
        name: str,
        zone: str,
        receive_s: tuple[float, float],
        work_s: float,
    ) -> None:
        self.service = service
        self.name = name
        self.zone = zone
        self.receive_s = receive_s
        self.work_s = work_s
        self.log: list[Entry] = []
        self.applied = 0
        self.paused_term = 0
        self.dark = False
        self.deaf = False
        self.draining = False
        self.born = int(time.time() * 1000)
        self.slots = asyncio.Semaphore(SLOTS)
        self.waiting = 0
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.random = random.Random(name)

    @property
    def is_primary(self) -> bool:
        """Whether it leads its service."""
        return self.service.primary is self

    @property
    def received(self) -> Position:
        """Position of its last entry."""
        return self.log[-1].position if self.log else (0, 0)

    @property
    def visible(self) -> Position:
        """Position of the last entry that reads see."""
        return self.log[self.applied - 1].position if self.applied else (0, 0)

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def copy_log(self, primary: "Backend") -> None:
        """Start with a copy of the primary's log."""
        self.log = list(primary.log)
        self.applied = len(self.log)

    def end(self) -> None:
        """End: close every connection and stop listening."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def receive(self) -> None:
        """Receive and apply the primary's commits until cancelled."""
        arrivals: list[tuple[float, int]] = []
        due_at = 0.0
        next_entry: Entry | None = None
        while True:
            await asyncio.sleep(STEP_S)
            now = self.service.record.now()
            while arrivals and arrivals[0][0] <= now:
                self.applied = max(self.applied, arrivals.pop(0)[1])
            self.applied = min(self.applied, len(self.log))
            primary = self.service.primary
            if primary is self:
                self.applied = len(self.log)
                continue
            if self.paused_term or self.deaf or self.dark or primary.dark:
                next_entry = None
                continue
            while len(self.log) < len(primary.log):
                entry = primary.log[len(self.log)]
                if entry is not next_entry:
                    next_entry = entry
                    is_near = primary.zone == self.zone
                    times = IN_ZONE_S if is_near else self.receive_s
                    due_at = entry.stored_at + self.random.uniform(*times)
                if due_at > now:
                    break
                self.log.append(entry)
                arrivals.append((now + APPLY_S, len(self.log)))

    def go_dark(self) -> None:
        """Stop answering and sending, without closing a connection."""
        self.dark = True

    def come_back(self) -> None:
        """Answer again, with the log; the connections of before are gone."""
        for writer in list(self.writers):
            writer.transport.abort()
        self.dark = False

    async def be_deaf(self, after_s: float, for_s: float) -> None:
        """Receive nothing for a while."""
        await asyncio.sleep(after_s)
        self.service.record.show(f"{self.name} receives nothing for {for_s:.1f} s")
        self.deaf = True
        await asyncio.sleep(for_s)
        self.deaf = False

    async def restart(self, after_s: float, down_s: float) -> None:
        """Crash, and come back with the log; a pause ends with that."""
        await asyncio.sleep(after_s)
        self.go_dark()
        self.service.record.show(f"{self.name} crashes")
        await asyncio.sleep(down_s)
        self.paused_term = 0
        self.come_back()
        self.service.record.show(f"{self.name} is back")

    # -- connections --

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            await self._wait_while_dark()
            words = (await reader.readuntil(b"\r\n")).decode().split()
            async with self.slots:
                await asyncio.sleep(HANDSHAKE_S)
            if words[1] != self.service.name or words[3:4] != [self.name]:
                writer.write(f"ERROR WRONGNODE {self.name}\r\n".encode())
                return
            if len(self.writers) > self.service.connections:
                writer.write(f"ERROR CONNLIMIT {self.name}\r\n".encode())
                return
            position = format_position(self.visible)
            writer.write(f"READY I {position}\r\n".encode())
            await self._serve(Connection(reader=reader), writer)
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _wait_while_dark(self) -> None:
        while self.dark:
            await asyncio.sleep(HANG_STEP_S)

    async def _serve(
        self, connection: Connection, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            line = (await connection.reader.readuntil(b"\r\n"))[:-2].decode()
            if line == "CLOSE":
                return
            await self._wait_while_dark()
            _, request, text = line.split(" ", 2)
            outcome = await self._run(connection, request, text)
            await self._wait_while_dark()
            if request != "-":
                self.service.record.add(
                    f"{self.name} ran {request} {text}: {outcome.status}"
                )
            state = "I"
            if connection.transaction:
                state = "E" if connection.failed else "T"
            position = format_position(self.visible)
            lines = [f"ROW {row}" for row in outcome.rows]
            lines += [outcome.status, f"READY {state} {position}"]
            writer.write("".join(f"{line}\r\n" for line in lines).encode())
            await writer.drain()

    # -- statements --

    async def _run(self, connection: Connection, request: str, text: str) -> Outcome:
        after = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, number = position.split(".")
            after = (int(term), int(number))
        verb, _, rest = text.partition(" ")
        if connection.failed and verb != "ROLLBACK":
            return _fail("MALFORMED")
        if verb in ("READ", "WRITE", "EXECUTE", "COMMIT", "STATUS"):
            if self.waiting >= QUEUE:
                return _fail("BUSY")
            self.waiting += 1
            try:
                async with self.slots:
                    await asyncio.sleep(self.work_s)
            finally:
                self.waiting -= 1
            return await self._execute(connection, request, verb, rest, after)
        return self._control(connection, verb, rest, after)

    async def _execute(
        self,
        connection: Connection,
        request: str,
        verb: str,
        rest: str,
        after: Position | None,
    ) -> Outcome:
        if verb == "STATUS":
            return self._report()
        if after is not None and self.visible < after:
            return _fail("LAGGING")
        if verb == "COMMIT":
            return await self._commit(connection, request)
        writes = verb == "WRITE"
        if verb == "EXECUTE":
            shape = connection.prepared.get(rest.partition(" ")[0])
            if shape is None:
                return _fail("NOSTMT")
            writes = shape.startswith("WRITE")
        is_plain = connection.transaction == "plain"
        if (writes or is_plain) and not self.is_primary:
            connection.failed = bool(connection.transaction)
            return _fail("READONLY")
        if not writes:
            return Outcome(status=self._sign(request), rows=(f"r{len(self.log)}",))
        if connection.transaction:
            connection.writes.append(request)
        else:
            await self._store(connection, (request,))
        return Outcome(status=self._sign(request))

    async def _commit(self, connection: Connection, request: str) -> Outcome:
        writes, connection.writes = tuple(connection.writes), []
        connection.transaction = ""
        if writes:
            if not self.is_primary:
                return _fail("READONLY")
            await self._store(connection, writes)
        return Outcome(status=self._sign(request))

    async def _store(self, connection: Connection, writes: tuple[str, ...]) -> None:
        """Append a commit and wait until a replica has received it.

        Raises
        ------
        ConnectionResetError
            When the peer left, or this backend lost the lead: nothing is answered.
        """
        entry = self.service.append(self, writes)
        while self.is_primary:
            if self.service.is_replicated(entry):
                self.service.acknowledge(entry)
                return
            if connection.reader.at_eof():
                break
            await asyncio.sleep(STEP_S)
        raise ConnectionResetError

    def _sign(self, request: str) -> str:
        return f"COMPLETE m.{self.name}.{request}"

    def _report(self) -> Outcome:
        role = "primary" if self.is_primary else "replica"
        received = format_position(self.received)
        row = f"{role} {self.service.term} {received} {self.paused_term} 0 0 1"
        return Outcome(status="COMPLETE -", rows=(row,))

    def _control(
        self, connection: Connection, verb: str, rest: str, after: Position | None
    ) -> Outcome:
        if verb == "BEGIN":
            return self._begin(connection, rest, after)
        if verb == "ROLLBACK":
            connection.transaction, connection.failed = "", False
            connection.writes.clear()
        elif verb == "SET":
            name, _, value = rest.partition(" ")
            connection.values[name] = value
        elif verb == "PREPARE":
            name, _, shape = rest.partition(" ")
            connection.prepared[name] = shape
        elif verb == "RESET":
            connection.values.clear()
            connection.prepared.clear()
        elif verb in ("PAUSE", "RESUME", "STEPDOWN"):
            return self._command(verb, rest)
        else:
            return _fail("MALFORMED")
        return COMPLETE

    def _begin(
        self, connection: Connection, rest: str, after: Position | None
    ) -> Outcome:
        if rest != "READ" and not self.is_primary:
            return _fail("READONLY")
        if after is not None and self.visible < after:
            return _fail("LAGGING")
        connection.transaction = "read" if rest == "READ" else "plain"
        return COMPLETE

    def _command(self, verb: str, rest: str) -> Outcome:
        if verb == "PAUSE" and int(rest) > self.service.term and not self.is_primary:
            self.paused_term = int(rest)
        elif verb == "RESUME":
            self.paused_term = 0
        self.service.record.add(f"{self.name} got {verb} {rest}")
        return self._report()


class Service:
    """A service: its backends, its term, and the commits that were acknowledged.

    Parameters
    ----------
    name
        Name of the service.
    record
        Record of the case.
    connections
        Connections that each backend accepts.
    promote_s
        Time from a promotion until it takes effect.
    """

    def __init__(
        self, *, name: str, record: Record, connections: int, promote_s: float
    ) -> None:
        self.name = name
        self.record = record
        self.connections = connections
        self.promote_s = promote_s
        self.term = 1
        self.numbers = itertools.count(1)
        self.backends: dict[str, Backend] = {}
        self.primary: Backend
        self.acknowledged: list[Entry] = []
        self.lost: list[Entry] = []

    def add(self, backend: Backend) -> None:
        """Add a backend; the first one is the primary."""
        if not self.backends:
            self.primary = backend
        self.backends[backend.name] = backend

    def append(self, primary: Backend, writes: tuple[str, ...]) -> Entry:
        """Append a commit to the primary's log."""
        entry = Entry(
            position=(self.term, next(self.numbers)),
            writes=writes,
            stored_at=self.record.now(),
        )
        primary.log.append(entry)
        return entry

    def is_replicated(self, entry: Entry) -> bool:
        """Return whether a replica has received a commit."""
        return any(
            entry in reversed(b.log[-200:])
            for b in self.backends.values()
            if not b.is_primary
        )

    def acknowledge(self, entry: Entry) -> None:
        """Record that a commit is acknowledged."""
        self.acknowledged.append(entry)

    async def promote(self, name: str) -> None:
        """Make a backend the primary of the next term, with what it has received."""
        await asyncio.sleep(self.promote_s)
        target = self.backends.get(name)
        if target is None or target.dark or target is self.primary:
            return
        held = set(map(id, target.log))
        lost = [e for e in self.acknowledged if id(e) not in held]
        self.term += 1
        self.primary = target
        for backend in self.backends.values():
            shared = 0
            for mine, theirs in zip(backend.log, target.log, strict=False):
                if mine is not theirs:
                    break
                shared += 1
            del backend.log[shared:]
            backend.applied = min(backend.applied, shared)
            backend.paused_term = 0
        target.applied = len(target.log)
        self.record.show(
            f"{name} leads term {self.term} of {self.name}, with "
            f"{format_position(target.received)}"
        )
        for entry in lost:
            self.record.show(
                f"LOST: {name} leads without the acknowledged commit "
                f"{format_position(entry.position)} of {', '.join(entry.writes)}"
            )
        self.lost += lost
        self.acknowledged = [e for e in self.acknowledged if id(e) in held]
