"""Callers that keep using, and keep opening, sessions at a host that stops."""

import asyncio
import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from tests.soak.callers import NOT_RUN_CODES, Record, WriteOutcome
from tests.soak.model import Checker, SentStatement, now

LINE_LIMIT = 1 << 20
# PROTOCOL.md, Consumers: a caller closes its session if READY takes longer.
START_S = 2.0
# No statement takes this long at a host that works.
ANSWER_S = 15.0
COME_BACK_S = 0.01
# Seconds from an answer to the session's next operation.
PAUSES_S = (0, 0, 0.01, 0.1)
OPERATIONS = 4
LEAVE_SHARE = 0.5
WRITE_SHARE = 0.15
PRIMARY, BOUNDED = "orders", "lookups"
MAX_STALENESS_S = 1.5
# Above 16 KiB a statement waits for room; some letters take two bytes.
LARGE_TEXT = "Parañaque-" * 22_000


class Kind(Enum):
    """What the operations of a caller are."""

    STATEMENTS = "statements"
    TRANSACTIONS = "transactions"
    PREPARED = "prepared"
    LARGE = "large"


@dataclass(frozen=True, kw_only=True)
class Step:
    """A statement of an operation: what is sent, and what a server is to run."""

    sent: str
    text: str
    in_transaction: bool = False


@dataclass(kw_only=True)
class Request:
    """A statement that was sent.

    Parameters
    ----------
    name
        Its id.
    host
        Host that it was sent to.
    sent_at
        When its last byte was handed to the system, None before.
    ended_at
        When its answer was whole, or its connection ended.
    result
        The line with its result, empty without one.
    is_whole
        Whether its answer came to its end.
    """

    name: str
    host: str
    text: str
    sent_at: float | None = None
    ended_at: float = 0.0
    result: str = ""
    is_whole: bool = False


class SessionEndedError(Exception):
    """The connection ended, or no line came in time."""


def make_operation(kind: Kind, rng: random.Random, number: int) -> Iterator[Step]:
    """Yield the statements of an operation."""
    item = f"item{rng.randrange(50)}"
    if kind is Kind.TRANSACTIONS:
        for text in ("BEGIN", f"WRITE {item} a", "READ item2", "COMMIT"):
            yield Step(sent=text, text=text, in_transaction=True)
    elif kind is Kind.PREPARED:
        name, shape = f"p{number}", f"READ shape{rng.randrange(5)}"
        text = f"PREPARE {name} {shape}"
        yield Step(sent=text, text=text)
        for _ in range(2):
            yield Step(sent=f"EXECUTE {name} {item}", text=f"EXECUTE {shape} {item}")
    elif kind is Kind.LARGE:
        text = f"WRITE {item} {LARGE_TEXT}"
        yield Step(sent=text, text=text)
    else:
        writes = rng.random() < WRITE_SHARE
        text = f"WRITE {item} x" if writes else f"READ {item}"
        yield Step(sent=text, text=text)


@dataclass(kw_only=True, eq=False)
class Crowd:
    """Callers of one host, and the statements that they sent.

    Parameters
    ----------
    host, port
        Name of the host, and its port for callers.
    kind
        What their operations are.
    checker
        Knows the statements that servers may run.
    sends_at_once
        Whether a session's first statement is sent with its start, unasked.
    reads_after_s
        Time from a statement until anything is read; when its connection ended isn't
        seen then, so that only what a server was given can be lost.
    is_over
        Whether they stop once their statements have ended.
    refused
        Starts that were answered with an error.
    unanswered_starts
        Starts whose connection ended without a line.
    record
        What the callers know of the outcomes of writes.
    """

    host: str
    port: int
    kind: Kind
    checker: Checker
    sends_at_once: bool = False
    reads_after_s: float = 0.0
    is_over: bool = False
    requests: list[Request] = field(default_factory=list)
    refused: int = 0
    unanswered_starts: int = 0
    record: Record = field(default_factory=Record)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self, count: int) -> None:
        """Have callers come, each one again whenever its session has ended."""
        for number in range(len(self.tasks), len(self.tasks) + count):
            self.tasks.append(asyncio.create_task(self._run(number)))

    async def end(self) -> None:
        """Wait until the statements at work have ended."""
        self.is_over = True
        await asyncio.gather(*self.tasks)

    def list_served(self) -> list[Request]:
        """Return the statements that succeeded."""
        return [r for r in self.requests if r.result.startswith("COMPLETE")]

    async def _run(self, number: int) -> None:
        rng = random.Random(f"{self.host}{number}")
        database = BOUNDED if number % 3 == 1 else PRIMARY
        if self.kind in (Kind.TRANSACTIONS, Kind.LARGE):
            database = PRIMARY
        while not self.is_over:
            session = _Session(crowd=self, database=database, rng=rng)
            try:
                await session.run()
            except SessionEndedError:
                await asyncio.sleep(COME_BACK_S)
            finally:
                session.close()


class _Session:
    """One connection of a caller."""

    operations = itertools.count(1)
    names = itertools.count(1)

    def __init__(self, *, crowd: Crowd, database: str, rng: random.Random) -> None:
        self.crowd = crowd
        self.database = database
        self.rng = rng
        self.number = next(self.names)
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.first_byte_at = 0.0

    async def run(self) -> None:
        """Send some operations, each as the one before has ended."""
        await self._connect()
        start = f"STARTUP {self.database} u1\r\n"
        pending = None
        if self.crowd.sends_at_once:
            (step,) = make_operation(self.crowd.kind, self.rng, 0)
            pending = self._note(step, next(self.operations))
            start += f"QUERY {pending.name} {step.sent}\r\n"
        await self._start(start, pending)
        if pending is not None:
            await self._receive(pending)
        for count in range(1, OPERATIONS + 1):
            if self.crowd.is_over:
                return
            await asyncio.sleep(self.rng.choice(PAUSES_S))
            await self._run_operation(count)
            if self.rng.random() < LEAVE_SHARE:
                return

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()

    async def _connect(self) -> None:
        try:
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", self.crowd.port, limit=LINE_LIMIT
            )
        except OSError as error:
            raise SessionEndedError from error
        self.writer.transport.set_write_buffer_limits(high=0)

    async def _start(self, start: str, pending: Request | None) -> None:
        assert self.writer is not None
        self.writer.write(start.encode())
        if pending is not None:
            pending.sent_at = now()
        limit_s = START_S if pending is None else ANSWER_S
        try:
            line = await self._read_line(limit_s)
        except SessionEndedError:
            self.crowd.unanswered_starts += 1
            if pending is not None:
                pending.ended_at = now()
            raise
        if line.startswith("READY"):
            return
        self.crowd.refused += 1
        if pending is not None:
            pending.ended_at, pending.result = now(), line
            pending.is_whole = True
        raise SessionEndedError(line)

    async def _run_operation(self, count: int) -> None:
        operation = next(self.operations)
        requests: list[Request] = []
        try:
            await self._send_operation(count, operation, requests)
        finally:
            self._record_writes(requests)

    def _record_writes(self, requests: list[Request]) -> None:
        """Keep the outcome of an operation's writes, as its last statement tells it."""
        last = requests[-1]
        outcome = _find_outcome(last)
        if requests[0].text == "BEGIN" and last.text != "COMMIT":
            outcome = WriteOutcome.NOT_DONE
        for request in requests:
            if request.text.startswith("WRITE"):
                self.crowd.record.writes[request.name] = outcome

    async def _send_operation(
        self, count: int, operation: int, requests: list[Request]
    ) -> None:
        self.first_byte_at = now()
        for step in make_operation(self.crowd.kind, self.rng, count):
            if not step.in_transaction:
                self.first_byte_at = now()
            request = self._note(step, operation)
            requests.append(request)
            await self._send(request, step.sent)
            state = await self._receive(request)
            if request.result.startswith("ERROR"):
                if state != "I":
                    await self._roll_back(operation)
                return

    async def _roll_back(self, operation: int) -> None:
        step = Step(sent="ROLLBACK", text="ROLLBACK", in_transaction=True)
        request = self._note(step, operation)
        await self._send(request, step.sent)
        await self._receive(request)

    def _note(self, step: Step, operation: int) -> Request:
        name = f"{self.crowd.host}s{self.number}x{next(self.names)}"
        is_bounded = self.database == BOUNDED
        self.crowd.checker.statements[name] = SentStatement(
            session=self.number,
            operation=operation,
            text=step.text,
            in_transaction=step.in_transaction,
            first_byte_at=self.first_byte_at or now(),
            staleness_s=MAX_STALENESS_S if is_bounded else None,
            own_position=None,
            values={},
        )
        text = step.text[:40]
        request = Request(name=name, host=self.crowd.host, text=text)
        self.crowd.requests.append(request)
        return request

    async def _send(self, request: Request, sent: str) -> None:
        assert self.writer is not None
        request.ended_at = now()
        if self.crowd.reads_after_s:
            self.writer.transport.pause_reading()
        try:
            self.writer.write(f"QUERY {request.name} {sent}\r\n".encode())
            await self.writer.drain()
        except OSError as error:
            request.ended_at = now()
            raise SessionEndedError from error
        request.sent_at = now()

    async def _receive(self, request: Request) -> str:
        """Read an answer to its end; return the session's state after it."""
        await self._wait_to_read()
        try:
            while True:
                line = await self._read_line(ANSWER_S)
                word, _, rest = line.partition(" ")
                if word == "READY":
                    request.is_whole = True
                    return rest[:1]
                if word != "ROW":
                    request.result = line
        finally:
            is_unseen = self.crowd.reads_after_s and not request.is_whole
            request.ended_at = (is_unseen and request.sent_at) or now()

    async def _wait_to_read(self) -> None:
        assert self.writer is not None
        if self.crowd.reads_after_s:
            await asyncio.sleep(self.crowd.reads_after_s)
            self.writer.transport.resume_reading()

    async def _read_line(self, limit_s: float) -> str:
        assert self.reader is not None
        try:
            async with asyncio.timeout(limit_s):
                return (await self.reader.readuntil(b"\r\n"))[:-2].decode()
        except (OSError, EOFError, TimeoutError) as error:
            raise SessionEndedError from error


def _find_outcome(request: Request) -> WriteOutcome:
    """Return what an answer, or the lack of one, tells of a write or a commit."""
    words = request.result.split()
    if request.is_whole and words[0] == "COMPLETE":
        return WriteOutcome.DONE
    is_promise = request.is_whole and words[1] in NOT_RUN_CODES
    return WriteOutcome.NOT_DONE if is_promise else WriteOutcome.UNKNOWN
