"""Backend servers that serve the model of a group over the line protocol."""

import asyncio
import itertools
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from .model import Checker, Group, SentStatement, Server, now

COMMANDS = ("STATUS", "PAUSE", "RESUME", "STEPDOWN")
# Lateness of a command, and of the answer to one.
LATE_S = (0.05, 0.5)
HANG_POLL_S = 0.05
# Time after which a statement that runs ends once its connection is closed.
CLOSE_POLL_S = 0.01
HANDSHAKE_S = 0.005
LINE_LIMIT = 1 << 20


@dataclass(kw_only=True, eq=False)
class Connection:
    """State of one connection at a server."""

    number: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)
    transaction: str = ""
    failed: bool = False
    operation: int | None = None
    writes: list[str] = field(default_factory=list)

    def is_closed(self) -> bool:
        """Return whether the peer has closed it, or either side has reset it."""
        return self.reader.at_eof() or self.writer.is_closing()


class LineServer:
    """Server of the line protocol for one server of a group, on a loopback port.

    Parameters
    ----------
    group, server
        Group, and the server in it that is served.
    checker
        Provides the statements sent and records violations.
    connections
        Largest number of connections.
    random
        Source of service times and of lost or refused statements.
    """

    numbers = itertools.count(1)

    def __init__(
        self,
        *,
        group: Group,
        server: Server,
        checker: Checker,
        connections: int,
        random: random.Random,
    ) -> None:
        self.group = group
        self.server = server
        self.checker = checker
        self.connections = connections
        self.random = random
        self.leeway = group.leeway
        self.slots = asyncio.Semaphore(self.leeway.slots)
        self.running = 0
        self.queued = 0
        group.admit(server)
        self.writers: set[asyncio.StreamWriter] = set()
        self.transaction_connections: dict[int, int] = {}
        self.port = 0

    async def start(self) -> None:
        """Start listening."""
        server = await asyncio.start_server(
            self._handle, "127.0.0.1", 0, limit=LINE_LIMIT
        )
        self.port = server.sockets[0].getsockname()[1]

    def drop_connections(self) -> None:
        """Reset all connections, as a crash does."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self.server.up:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            await self._wait_while_silent()
            if await self._handshake(reader, writer):
                await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _wait_while_silent(self) -> None:
        while self.server.silent:
            await asyncio.sleep(0.02)

    async def _handshake(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        words = (await reader.readuntil(b"\r\n")).decode().split()
        if self.leeway.handshake_s is None:
            await asyncio.sleep(HANDSHAKE_S)
        else:
            async with self._slot():
                await asyncio.sleep(self.leeway.handshake_s)
        refusal = ""
        if words[1] != self.group.name or words[3:4] not in ([], [self.server.name]):
            refusal = "WRONGNODE"
        elif len(self.writers) > self.connections:
            refusal = "CONNLIMIT"
        if refusal:
            writer.write(f"ERROR {refusal} {self.server.name}\r\n".encode())
            return False
        writer.write(f"READY I {self._position()}\r\n".encode())
        return True

    def _position(self) -> str:
        return "{}.{}".format(*self.server.position)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(number=next(self.numbers), reader=reader, writer=writer)
        while True:
            line = (await reader.readuntil(b"\r\n"))[:-2].decode()
            if line == "CLOSE":
                return
            await self._wait_while_silent()
            _, request, text = line.split(" ", 2)
            self.checker.reached.add(request)
            rows, status_line = await self._run(connection, request, text)
            await self._wait_while_silent()
            if request != "-" and self.random.random() < self.server.lost_share:
                writer.transport.abort()
                return
            state = "I"
            if connection.transaction:
                state = "E" if connection.failed else "T"
            answer = "".join(f"ROW {row}\r\n" for row in rows)
            answer += f"{status_line}\r\nREADY {state} {self._position()}\r\n"
            writer.write(answer.encode())
            await writer.drain()

    # -- statements --

    async def _run(
        self, connection: Connection, request: str, text: str
    ) -> tuple[tuple[str, ...], str]:
        min_position = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, number = position.split(".")
            min_position = (int(term), int(number))
        verb, _, rest = text.partition(" ")
        if connection.failed and verb != "ROLLBACK":
            return (), "ERROR MALFORMED failed transaction"
        if verb in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            return await self._run_statement(
                connection, request, verb, rest, min_position
            )
        if (
            verb == "BEGIN"
            and min_position is not None
            and self.server.position < min_position
        ):
            return (), "ERROR LAGGING"
        handler: Callable[[Connection, str], tuple[tuple[str, ...], str]] | None
        handler = getattr(self, f"_do_{verb.lower()}", None)
        if handler is None:
            self.checker.add_violation("UNASKED", f"unknown statement {text!r}")
            return (), "ERROR MALFORMED"
        if verb in COMMANDS and self.leeway.commands_take_slots:
            return await self._run_command(
                connection, verb, lambda: handler(connection, rest)
            )
        if verb == "BEGIN" and self._is_busy():
            return (), "ERROR BUSY"
        return handler(connection, rest)

    async def _run_statement(
        self,
        connection: Connection,
        request: str,
        verb: str,
        rest: str,
        min_position: tuple[int, int] | None,
    ) -> tuple[tuple[str, ...], str]:
        restarts = self.server.restarts
        if self.leeway.queue is not None and self._is_full():
            return (), "ERROR BUSY"
        async with self._slot(), self._counted():
            has_led = self.server.is_primary and self.leeway.commits_after_step_down
            led_term = self.server.followed_term if has_led else None
            work_s = self.random.uniform(*self._choose_work(connection, verb))
            await self._work(connection, work_s * self.server.slowness)
            self._check_running(restarts)
            if self.random.random() < self.server.busy_share or self._is_busy():
                return (), "ERROR BUSY"
            if not self._check_statement(connection, request, verb, rest):
                return (), "ERROR FAILED"
            return await self._execute(
                connection, request, verb, rest, min_position, led_term
            )

    def _choose_work(self, connection: Connection, verb: str) -> tuple[float, float]:
        """Return the range of the time that a statement takes."""
        is_single = verb == "WRITE" and not connection.transaction
        stores = is_single or (verb == "COMMIT" and connection.writes)
        return (stores and self.leeway.store_s) or self.leeway.work_s

    async def _work(self, connection: Connection, seconds: float) -> None:
        """Work for a time; a connection that is closed rolls back at once."""
        ends = now() + seconds
        while not connection.is_closed():
            is_frozen = self.leeway.freezes_when_silent and self.server.silent
            if (left_s := ends - now()) <= 0 and not is_frozen:
                return
            left_s = max(left_s, CLOSE_POLL_S) if is_frozen else left_s
            await asyncio.sleep(min(left_s, CLOSE_POLL_S))
        raise ConnectionResetError

    def _is_full(self) -> bool:
        """Return whether no more may wait for a slot."""
        return self.slots.locked() and self.queued >= (self.leeway.queue or 0)

    @asynccontextmanager
    async def _slot(self) -> AsyncIterator[None]:
        """Take a slot, after those that wait for one already."""
        self.queued += 1
        try:
            await self.slots.acquire()
        finally:
            self.queued -= 1
        try:
            yield
        finally:
            self.slots.release()

    @asynccontextmanager
    async def _counted(self) -> AsyncIterator[None]:
        """Count a statement that runs."""
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1

    async def _run_command(
        self,
        connection: Connection,
        verb: str,
        carry_out: Callable[[], tuple[tuple[str, ...], str]],
    ) -> tuple[tuple[str, ...], str]:
        restarts = self.server.restarts
        late_s = 0.0
        if self.random.random() < self.leeway.late_command_share:
            late_s = self.random.uniform(*LATE_S)
            await asyncio.sleep(late_s)
            await self._wait_while_silent()
        if self._is_full() or self._is_busy():
            return (), "ERROR BUSY"
        async with self._slot():
            if self.leeway.queue is not None and connection.is_closed():
                if not self.leeway.carries_out_queued:
                    raise ConnectionResetError
                self.checker.add_note(f"{self.server.name} runs a queued {verb} late")
            duration_s = self.random.uniform(*self.leeway.command_s)
            before_s = duration_s * self.random.random()
            await asyncio.sleep(before_s)
            if self.leeway.freezes_when_silent:
                await self._wait_while_silent()
            self._check_running(restarts)
            if late_s and verb != "STATUS":
                name = self.server.name
                self.checker.add_note(f"{name} carries out {verb} {late_s:.3f} s late")
            answer = carry_out()
            await asyncio.sleep(duration_s - before_s)
        if self.random.random() < self.leeway.late_answer_share:
            await asyncio.sleep(self.random.uniform(*LATE_S))
        return answer

    def _is_busy(self) -> bool:
        """Return whether the server is busy after a roll-back."""
        return now() < self.server.busy_until

    def _check_running(self, restarts: int) -> None:
        """Raise if the server has crashed since it had restarted so many times."""
        has_crashed = self.server.restarts != restarts or not self.server.up
        if self.leeway.own_terms and has_crashed:
            raise ConnectionResetError

    def _check_statement(
        self, connection: Connection, request: str, verb: str, rest: str
    ) -> bool:
        statement = self.checker.statements.get(request)
        if statement is None:
            self.checker.add_violation("UNASKED", f"{request} {verb} {rest}")
            return False
        text = f"{verb} {rest}".strip()
        if verb == "EXECUTE":
            name, _, arguments = rest.partition(" ")
            shape = connection.prepared.get(name)
            if shape is None:
                return True
            text = f"EXECUTE {shape} {arguments}"
        if text != statement.text:
            self.checker.add_violation("UNASKED", f"{request} ran {text!r}")
        self._check_transaction(connection, request, statement)
        if verb != "COMMIT" and connection.values != statement.values:
            detail = f"{request} ran with {connection.values}, not {statement.values}"
            self.checker.add_violation("PINNED", detail)
        if connection.transaction:
            connection.operation = statement.operation
        return True

    def _check_transaction(
        self, connection: Connection, request: str, statement: SentStatement
    ) -> None:
        if connection.operation not in (None, statement.operation):
            self.checker.add_violation(
                "PINNED", f"{request} ran inside another transaction"
            )
        if statement.in_transaction and not connection.transaction:
            self.checker.add_violation(
                "PINNED", f"{request} ran outside its transaction"
            )
        if statement.in_transaction:
            expected = self.transaction_connections.setdefault(
                statement.operation, connection.number
            )
            if expected != connection.number:
                self.checker.add_violation(
                    "PINNED", f"{request} ran on another connection"
                )

    async def _execute(
        self,
        connection: Connection,
        request: str,
        verb: str,
        rest: str,
        min_position: tuple[int, int] | None,
        led_term: int | None,
    ) -> tuple[tuple[str, ...], str]:
        server = self.server
        # Its term ends at the latest when the server learns the next one.
        leads = server.is_primary or led_term == server.followed_term
        writes = verb == "WRITE"
        if verb == "EXECUTE":
            shape = connection.prepared.get(rest.partition(" ")[0])
            if shape is None:
                return (), "ERROR NOSTMT"
            writes = shape.startswith("WRITE")
        if min_position is not None and server.position < min_position:
            return (), "ERROR LAGGING"
        demoted = connection.transaction == "plain" and not leads
        if verb == "COMMIT":
            return await self._commit(connection, request, leads)
        if demoted or (writes and not leads):
            connection.failed = bool(connection.transaction)
            return (), "ERROR READONLY"
        if not writes:
            self.group.check_read(server, request)
            rows = (f"row.{server.name}.{self._position()}",)
            return rows, f"COMPLETE {self.checker.issue_receipt(request, rows)}"
        if connection.transaction:
            connection.writes.append(request)
        elif not await self.group.commit(server, (request,), connection.is_closed):
            await self._hang(connection)
        return (), f"COMPLETE {self.checker.issue_receipt(request, ())}"

    async def _hang(self, connection: Connection) -> None:
        """Wait without an answer until the peer closes the connection.

        Servers that lose the lead in their own time don't keep a slot for it.
        """
        if self.leeway.own_terms:
            connection.writer.transport.abort()
        while not connection.is_closed():
            await asyncio.sleep(HANG_POLL_S)
        raise ConnectionResetError

    async def _commit(
        self, connection: Connection, request: str, leads: bool
    ) -> tuple[tuple[str, ...], str]:
        writes, connection.writes = tuple(connection.writes), []
        connection.transaction, connection.operation = "", None
        if writes:
            if not leads:
                return (), "ERROR READONLY"
            is_closed = connection.is_closed
            if not await self.group.commit(self.server, writes, is_closed):
                await self._hang(connection)
        return (), f"COMPLETE {self.checker.issue_receipt(request, ())}"

    # -- statements and commands; _run finds them by name --

    def _do_begin(self, connection: Connection, rest: str):
        if rest != "READ" and not self.server.is_primary:
            return (), "ERROR READONLY"
        connection.transaction = "read" if rest == "READ" else "plain"
        return (), "COMPLETE -"

    def _do_rollback(self, connection: Connection, rest: str):
        connection.transaction, connection.operation = "", None
        connection.failed = False
        connection.writes.clear()
        return (), "COMPLETE -"

    def _do_set(self, connection: Connection, rest: str):
        name, _, value = rest.partition(" ")
        connection.values[name] = value
        return (), "COMPLETE -"

    def _do_prepare(self, connection: Connection, rest: str):
        name, _, shape = rest.partition(" ")
        connection.prepared[name] = shape
        return (), "COMPLETE -"

    def _do_reset(self, connection: Connection, rest: str):
        connection.values.clear()
        connection.prepared.clear()
        return (), "COMPLETE -"

    def _do_status(self, connection: Connection, rest: str):
        return self._report(int(self.leeway.status_counts_itself))

    def _report(self, is_counted: int):
        server = self.server
        role = "primary" if server.is_primary else "replica"
        received = "{}.{}".format(*server.received_position)
        busy = self.running + is_counted
        row = f"{role} {server.term} {received} {server.paused_term} 0 {busy} 0"
        return (row,), "COMPLETE -"

    def _do_pause(self, connection: Connection, rest: str):
        self.group.pause(self.server, int(rest))
        return self._report(0)

    def _do_resume(self, connection: Connection, rest: str):
        self.group.resume(self.server)
        return self._report(0)

    def _do_stepdown(self, connection: Connection, rest: str):
        self.group.step_down(self.server, int(rest))
        return self._report(0)
