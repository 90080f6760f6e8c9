"""Callers over the line protocol, and the outcomes reported to them."""

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from .model import Checker, Group, SentStatement, now

ANSWER_TIMEOUT_S = 6.0
CONNECT_TIMEOUT_S = 2.0
MAX_PAUSE_S = 0.12
MAX_SESSION_OPERATIONS = 30
WRITE_SHARE = 0.3
NOT_RUN_CODES = frozenset(
    {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}
)


class WriteOutcome(Enum):
    """What a caller knows about the outcome of a write."""

    DONE = "done"
    NOT_DONE = "not done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class Database:
    """A database as callers see it.

    Parameters
    ----------
    staleness_s
        Accepted staleness of reads; None when they must see the latest commit.
    reads_own_writes
        Whether the reads of a session must see its own writes.
    """

    name: str
    group: Group
    staleness_s: float | None = None
    reads_own_writes: bool = False


@dataclass(frozen=True, kw_only=True)
class Unanswered:
    """A statement whose connection ended without an answer."""

    host: str
    request: str
    sent_at: float
    ended_at: float


@dataclass(frozen=True, kw_only=True)
class Reply:
    """An answer: its status line, its rows and the session state after it."""

    status_line: str
    rows: tuple[str, ...]
    state: str

    @property
    def code(self) -> str:
        """Error code, empty for a success."""
        words = self.status_line.split(" ", 2)
        return words[1] if words[0] == "ERROR" else ""


class SessionEndedError(Exception):
    """The connection ended, or no answer arrived in time."""


@dataclass(kw_only=True)
class Record:
    """Outcomes of all callers' statements."""

    writes: dict[str, WriteOutcome] = field(default_factory=dict)
    unanswered: list[Unanswered] = field(default_factory=list)
    served: list[tuple[float, str, str]] = field(default_factory=list)
    refused: int = 0


class Caller:
    """A caller that sends operations in one session after another.

    Parameters
    ----------
    number
        Number of the caller, which makes its request ids unique.
    database
        Database that it connects to.
    choose_host
        Returns the name and the port of a host to connect to.
    checker, record
        Record the statements and their outcomes.
    random
        Source of random choices.
    write_share
        Share of statements that write.
    max_pause_s
        Longest pause between two operations.
    """

    sessions = itertools.count(1)
    operations = itertools.count(1)

    def __init__(
        self,
        *,
        number: int,
        database: Database,
        choose_host: Callable[[], tuple[str, int]],
        checker: Checker,
        record: Record,
        random: random.Random,
        write_share: float = WRITE_SHARE,
        max_pause_s: float = MAX_PAUSE_S,
    ) -> None:
        self.number = number
        self.write_share = write_share
        self.max_pause_s = max_pause_s
        self.database = database
        self.choose_host = choose_host
        self.checker = checker
        self.record = record
        self.random = random
        self.requests = itertools.count(1)

    async def run(self) -> None:
        """Run one session after another until cancelled."""
        while True:
            host, port = self.choose_host()
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    streams = await asyncio.open_connection("127.0.0.1", port)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.1)
                continue
            session = _Session(caller=self, host=host, streams=streams)
            try:
                await session.run()
            except SessionEndedError:
                await asyncio.sleep(0.05)
            finally:
                streams[1].transport.abort()


class _Session:
    def __init__(self, *, caller: Caller, host: str, streams: tuple) -> None:
        self.caller = caller
        self.host = host
        self.reader, self.writer = streams
        self.number = next(Caller.sessions)
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}
        self.own_position: tuple[int, int] | None = None
        self.began_at = 0.0

    async def run(self) -> None:
        """Open the session and send operations until it ends."""
        self.writer.write(f"STARTUP {self.caller.database.name} soak\r\n".encode())
        if not (await self._read_line()).startswith("READY"):
            self.caller.record.refused += 1
            raise SessionEndedError
        rng = self.caller.random
        for _ in range(rng.randint(1, MAX_SESSION_OPERATIONS)):
            await asyncio.sleep(rng.random() * self.caller.max_pause_s)
            await self._run_operation()
        self.writer.write(b"CLOSE\r\n")

    async def _read_line(self) -> str:
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return (await self.reader.readuntil(b"\r\n"))[:-2].decode()
        except (OSError, EOFError, TimeoutError) as error:
            raise SessionEndedError(repr(error)) from None

    async def _send(
        self, text: str, operation: int, sent: str = "", transaction: bool = False
    ) -> tuple[str, Reply]:
        """Send a statement and return its request id and reply.

        ``sent`` is the text on the wire if it differs from ``text``: a prepared
        statement is sent by its name and recorded by its shape.
        """
        caller = self.caller
        request = f"{caller.number}-{next(caller.requests)}"
        if not transaction:
            self.began_at = now()
        caller.checker.statements[request] = SentStatement(
            session=self.number,
            operation=operation,
            text=text,
            in_transaction=transaction,
            first_byte_at=self.began_at,
            staleness_s=caller.database.staleness_s,
            own_position=self.own_position
            if caller.database.reads_own_writes
            else None,
            values=dict(self.values),
        )
        self.writer.write(f"QUERY {request} {sent or text}\r\n".encode())
        sent_at = now()
        try:
            return request, await self._read_reply(request)
        except SessionEndedError as error:
            if "Timeout" not in str(error):
                caller.record.unanswered.append(
                    Unanswered(
                        host=self.host, request=request, sent_at=sent_at, ended_at=now()
                    )
                )
            raise

    async def _read_reply(self, request: str) -> Reply:
        rows: list[str] = []
        status_line = ""
        while True:
            word, _, rest = (await self._read_line()).partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "READY":
                return self._check(
                    request,
                    Reply(status_line=status_line, rows=tuple(rows), state=rest[0]),
                )
            else:
                status_line = f"{word} {rest}"

    def _check(self, request: str, reply: Reply) -> Reply:
        statement = self.caller.checker.statements[request]
        runs_at_server = statement.text.split(" ")[0] in (
            "READ",
            "WRITE",
            "EXECUTE",
            "COMMIT",
        )
        receipt = reply.status_line.removeprefix("COMPLETE ")
        if reply.code:
            return reply
        given = self.caller.checker.receipts.get(request, {})
        if runs_at_server and given.get(receipt) != reply.rows:
            self.caller.checker.add_violation(
                "MIXED", f"{request} got {reply.status_line} {reply.rows}"
            )
        if runs_at_server:
            served = (now(), self.host, self.caller.database.group.name)
            self.caller.record.served.append(served)
        return reply

    # -- operations --

    async def _run_operation(self) -> None:
        draw = self.caller.random.random()
        operation = next(Caller.operations)
        if draw < 0.15:
            await self._change_session(operation)
        elif draw < 0.4:
            await self._run_transaction(operation)
        else:
            await self._run_autocommit(operation)

    async def _change_session(self, operation: int) -> None:
        rng = self.caller.random
        name = f"n{rng.randint(1, 3)}"
        if rng.random() < 0.5:
            value = f"v{rng.randint(1, 9)}"
            _, reply = await self._send(f"SET {name} {value}", operation)
            if not reply.code:
                self.values[name] = value
        else:
            access = rng.choice(["READ", "WRITE"])
            shape = f"{access} q{rng.randint(1, 5)}"
            _, reply = await self._send(f"PREPARE {name} {shape}", operation)
            if not reply.code:
                self.prepared[name] = shape
        if reply.code:
            raise SessionEndedError(reply.status_line)

    def _make_statement(self) -> tuple[str, str, bool]:
        """Return a statement, the text to send if it differs, and whether it writes."""
        rng = self.caller.random
        item = f"i{rng.randint(1, 50)}"
        if self.prepared and rng.random() < 0.3:
            name = rng.choice(sorted(self.prepared))
            shape = self.prepared[name]
            writes = shape.startswith("WRITE")
            arguments = f"{item} data" if writes else item
            return f"EXECUTE {shape} {arguments}", f"EXECUTE {name} {arguments}", writes
        if rng.random() < self.caller.write_share:
            return f"WRITE {item} d{rng.random():.6f}", "", True
        return f"READ {item}", "", False

    async def _run_autocommit(self, operation: int) -> None:
        text, sent, writes = self._make_statement()
        outcomes = self.caller.record.writes
        if not writes:
            await self._send(text, operation, sent)
            return
        request, reply = await self._send(text, operation, sent)
        outcomes[request] = _find_outcome(reply)
        if not reply.code:
            self._update_own_position(request)

    def _update_own_position(self, request: str) -> None:
        for known in reversed(self.caller.database.group.acknowledged):
            if request in known.entry.writes:
                position = known.entry.position
                self.own_position = max(self.own_position or (0, 0), position)
                return

    async def _run_transaction(self, operation: int) -> None:
        rng = self.caller.random
        read_only = rng.random() < 0.5
        written: list[str] = []
        self.began_at = now()
        commit_sent = False
        try:
            begin = "BEGIN READ" if read_only else "BEGIN"
            _, reply = await self._send(begin, operation, transaction=True)
            for _ in range(rng.randint(1, 4)):
                if reply.code:
                    break
                await asyncio.sleep(rng.random() * 0.03)
                text, sent, writes = self._make_statement()
                if writes and read_only:
                    continue
                request, reply = await self._send(text, operation, sent, True)
                if writes:
                    written.append(request)
            if reply.code or rng.random() < 0.15:
                await self._send("ROLLBACK", operation, transaction=True)
                self._record_outcomes(written, WriteOutcome.NOT_DONE)
                return
            commit_sent = True
            request, reply = await self._send("COMMIT", operation, transaction=True)
        except SessionEndedError:
            # If no COMMIT was sent, none of the writes may be durable.
            self._record_outcomes(
                written, WriteOutcome.UNKNOWN if commit_sent else WriteOutcome.NOT_DONE
            )
            raise
        self._record_outcomes(written, _find_outcome(reply))
        if not reply.code and written:
            self._update_own_position(written[0])
        if reply.state != "I":
            raise SessionEndedError(reply.status_line)

    def _record_outcomes(self, written: list[str], outcome: WriteOutcome) -> None:
        for request in written:
            self.caller.record.writes[request] = outcome


def _find_outcome(reply: Reply) -> WriteOutcome:
    if not reply.code:
        return WriteOutcome.DONE
    return (
        WriteOutcome.NOT_DONE if reply.code in NOT_RUN_CODES else WriteOutcome.UNKNOWN
    )


def check_writes(record: Record, groups: list[Group], checker: Checker) -> None:
    """Compare the outcomes reported to callers with the logs at the end of the run."""
    count: dict[str, int] = {}
    for group in groups:
        primary = group.find_primary()
        if primary is None:
            checker.add_violation("RECOVER", f"{group.name} has no primary at the end")
            primary = max(group.servers.values(), key=lambda s: s.received_position)
        for entry in primary.log:
            for request in entry.writes:
                count[request] = count.get(request, 0) + 1
    for request, times in count.items():
        if times > 1:
            checker.add_violation("TWICE", f"{request} {times} times")
    for request, outcome in record.writes.items():
        if outcome is WriteOutcome.DONE and request not in count:
            checker.add_violation("LOST", f"{request} was acknowledged")
        if outcome is WriteOutcome.NOT_DONE and request in count:
            checker.add_violation("REFUSED", f"{request} was reported as not done")
