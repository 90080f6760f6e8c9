"""Open-loop load generator that records a history."""

import asyncio
import itertools
import random
import re
import time
from collections import Counter
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field

import aiomysql
from pymysql.err import Error as MySqlError

from .checker import PAIR_SUFFIXES
from .history import Operation, Stored, Verdicts, Work
from .scenario import Scenario, Stream

CONNECT_TIMEOUT_S = 5.0
ANSWER_TIMEOUT_S = 20.0
FINISH_TIMEOUT_S = 30.0

_VERDICT = re.compile(r"\[verdict=([\w-]+) reason=([\w-]+)")
_FAILURES = (MySqlError, OSError, TimeoutError, asyncio.IncompleteReadError)


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryHost:
    """Caller address of a host that receives load."""

    host: str
    port: int


@dataclass(kw_only=True)
class LoadResult:
    """Recorded data of a load run.

    Parameters
    ----------
    operations
        All operations.
    stored
        Notes found in the databases after the run, with their row counts.
    """

    operations: list[Operation] = field(default_factory=list)
    stored: list[Stored] = field(default_factory=list)


@dataclass(kw_only=True)
class Arrival:
    """A planned operation and its arrival time."""

    at_s: float
    stream: Stream


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """Outcome of an operation as reported to a session."""

    verdict: Verdicts
    sequence: int = 0
    echo: str = ""
    reason: str = ""


def plan_arrivals(scenario: Scenario) -> list[Arrival]:
    """Return all arrivals of a scenario; the seed determines them."""
    arrivals: list[Arrival] = []
    for stream in scenario.streams:
        rng = random.Random(f"{scenario.seed}/{stream.name}")
        now_s = 0.0
        while True:
            now_s += rng.expovariate(_get_rate(stream, now_s))
            if now_s * 1000 >= scenario.duration_ms:
                break
            arrivals.append(Arrival(at_s=now_s, stream=stream))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _get_rate(stream: Stream, now_s: float) -> float:
    since_ms = now_s * 1000 - stream.surge_at_ms
    if stream.surge_rate and 0 <= since_ms < stream.surge_for_ms:
        return stream.surge_rate
    return stream.rate


class SessionClient:
    """One session and its connection to an entry host.

    Parameters
    ----------
    name
        Session name.
    stream
        First stream of the group; defines caller, database and moves.
    entry_hosts
        Hosts to connect to.
    password
        Password of the caller.
    rng
        Random generator of this session.
    """

    def __init__(
        self,
        *,
        name: str,
        stream: Stream,
        entry_hosts: Sequence[EntryHost],
        password: str,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.stream = stream
        self.entry_hosts = entry_hosts
        self.password = password
        self.rng = rng
        self.host = rng.randrange(len(entry_hosts))
        self.connection: aiomysql.Connection | None = None
        self.lock = asyncio.Lock()
        self.moved_at = time.monotonic()
        self.token = ""
        self.sequence = 0

    async def _connect(self) -> aiomysql.Connection:
        if self.connection is not None and not self.connection.closed:
            return self.connection
        entry = self.entry_hosts[self.host]
        self.connection = await asyncio.wait_for(
            aiomysql.connect(
                host=entry.host,
                port=entry.port,
                user=self.stream.caller,
                password=self.password,
                db=self.stream.database,
                autocommit=True,
            ),
            CONNECT_TIMEOUT_S,
        )
        await self._run(f"SET @apricotshore_session = '{self.name}'")
        if self.token and self.stream.with_token:
            await self._run(f"SET @apricotshore_token = '{self.token}'")
        return self.connection

    async def _run(self, sql: str) -> tuple[tuple[object, ...], ...]:
        assert self.connection is not None
        async with self.connection.cursor() as cursor:
            await asyncio.wait_for(cursor.execute(sql), ANSWER_TIMEOUT_S)
            return tuple(await cursor.fetchall()) if cursor.description else ()

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    async def _move(self) -> None:
        due = self.moved_at + self.stream.move_ms / 1000
        if not self.stream.move_ms or time.monotonic() < due:
            return
        self.moved_at = time.monotonic()
        if self.connection is not None and self.stream.with_token:
            with suppress(*_FAILURES):
                rows = await self._run("SELECT @apricotshore_token")
                self.token = str(rows[0][0])
        self.close()
        self.host = self.rng.randrange(len(self.entry_hosts))

    async def perform(
        self, stream: Stream, number: int, arrived_s: float, started_at: float
    ) -> Operation:
        """Run one operation after the previous one of the session has finished."""
        async with self.lock:
            await self._move()
            tag = f"{self.name}.{number}"
            repeated = self.rng.randrange(100) < stream.repeat_percent
            repeated = repeated and stream.work is Work.ENTRY
            host = self.host
            if stream.work is Work.ENTRY:
                self.sequence += 1
            answer = await self._attempt(stream, tag)
            if repeated:
                answer = self._combine(answer, await self._attempt(stream, tag))
            return Operation(
                number=number,
                stream=stream.name,
                kind=stream.kind,
                session=self.name,
                host=host,
                work=stream.work,
                arrived_s=arrived_s,
                ended_s=time.monotonic() - started_at,
                verdict=answer.verdict,
                tag=tag,
                sequence=answer.sequence,
                echo=answer.echo,
                reason=answer.reason,
                repeated=repeated,
            )

    def _combine(self, first: Answer, second: Answer) -> Answer:
        # The request ran if either attempt ran, and may have run if either may have.
        for verdict in (Verdicts.RAN, Verdicts.MAY_HAVE_RUN):
            for answer in (first, second):
                if answer.verdict is verdict:
                    return answer
        return first

    async def _attempt(self, stream: Stream, tag: str) -> Answer:
        connected = False
        try:
            await self._connect()
            connected = True
            return await self._run_operation(stream, tag)
        except _FAILURES as error:
            return self._classify_error(stream, error, connected)

    def _classify_error(
        self, stream: Stream, error: BaseException, connected: bool
    ) -> Answer:
        match = _VERDICT.search(str(error))
        if match:
            if match.group(2) == "draining":
                self._switch_host()
            return Answer(verdict=Verdicts(match.group(1)), reason=match.group(2))
        self._switch_host()
        writes = stream.work in (Work.ENTRY, Work.PAIR)
        verdict = Verdicts.MAY_HAVE_RUN if connected and writes else Verdicts.NOT_RUN
        return Answer(verdict=verdict, reason="link")

    def _switch_host(self) -> None:
        self.close()
        self.host = self.rng.randrange(len(self.entry_hosts))

    async def _run_operation(self, stream: Stream, tag: str) -> Answer:
        if stream.work is Work.ENTRY:
            return await self._insert_entry(stream, tag)
        if stream.work is Work.PAIR:
            return await self._insert_pair(stream, tag)
        return await self._read(stream, tag)

    def _comment(self, stream: Stream, tag: str = "") -> str:
        parts = [f"kind='{stream.kind}'"]
        if tag:
            parts += [f"request_id='{tag}'", "idempotent='no'"]
        if stream.work_ms:
            parts.append(f"work_ms='{stream.work_ms}'")
        return f"/* {','.join(parts)} */"

    def _insert(self, note: str, sequence: int) -> str:
        return (
            "INSERT INTO delivery (member, amount, note) "
            f"VALUES ('{self.name}', {sequence}, '{note}')"
        )

    async def _insert_entry(self, stream: Stream, tag: str) -> Answer:
        sequence = self.sequence
        await self._run(f"{self._insert(tag, sequence)} {self._comment(stream, tag)}")
        return Answer(verdict=Verdicts.RAN, sequence=sequence)

    async def _insert_pair(self, stream: Stream, tag: str) -> Answer:
        await self._run(f"BEGIN {self._comment(stream, tag)}")
        for suffix in PAIR_SUFFIXES:
            insert = self._insert(tag + suffix, 0)
            await self._run(f"{insert} {self._comment(stream)}")
        await self._run("COMMIT")
        return Answer(verdict=Verdicts.RAN)

    async def _read(self, stream: Stream, tag: str) -> Answer:
        select = f"SELECT '{tag}' AS tag, COALESCE(MAX(amount), 0) FROM delivery"
        if stream.work is Work.BATCH:
            select = f"SELECT '{tag}' AS tag, COUNT(*) FROM delivery"
        where = f"WHERE member = '{self.name}'"
        rows = await self._run(f"{select} {where} {self._comment(stream)}")
        echo, sequence = rows[0]
        if stream.work is Work.BATCH:
            sequence = 0
        return Answer(verdict=Verdicts.RAN, sequence=int(str(sequence)), echo=str(echo))


async def _connect_anywhere(
    entry_hosts: Sequence[EntryHost], caller: str, password: str, database: str
) -> aiomysql.Connection:
    for entry in entry_hosts:
        with suppress(*_FAILURES):
            return await asyncio.wait_for(
                aiomysql.connect(
                    host=entry.host,
                    port=entry.port,
                    user=caller,
                    password=password,
                    db=database,
                    autocommit=True,
                ),
                CONNECT_TIMEOUT_S,
            )
    raise ConnectionError(
        f"no entry host accepted a connection of {caller!r} to {database!r}"
    )


async def _read_stored(
    scenario: Scenario, entry_hosts: Sequence[EntryHost], password: str
) -> list[Stored]:
    counts: Counter[str] = Counter()
    callers = {s.database: s.caller for s in scenario.streams}
    for database, caller in sorted(callers.items()):
        connection = await _connect_anywhere(entry_hosts, caller, password, database)
        async with connection.cursor() as cursor:
            await cursor.execute(
                "SELECT note, COUNT(*) FROM delivery GROUP BY note "
                "/* kind='final',deadline_ms='20000' */"
            )
            counts.update({str(n): int(c) for n, c in await cursor.fetchall()})
        connection.close()
    return [Stored(note=note, count=count) for note, count in sorted(counts.items())]


def _make_clients(
    scenario: Scenario, entry_hosts: Sequence[EntryHost], password: str
) -> dict[str, list[SessionClient]]:
    clients: dict[str, list[SessionClient]] = {}
    for stream in scenario.streams:
        if stream.group in clients:
            continue
        names = [f"{stream.group}-{index}" for index in range(stream.sessions)]
        clients[stream.group] = [
            SessionClient(
                name=name,
                stream=stream,
                entry_hosts=entry_hosts,
                password=password,
                rng=random.Random(f"{scenario.seed}/{name}"),
            )
            for name in names
        ]
    return clients


async def run_load(
    scenario: Scenario, entry_hosts: Sequence[EntryHost], password: str
) -> LoadResult:
    """Run the load of a scenario and record its history.

    Parameters
    ----------
    scenario
        The scenario.
    entry_hosts
        Caller addresses of the hosts that receive load.
    password
        Password of the callers.

    Returns
    -------
    LoadResult
        The history; latencies are measured from the planned arrival.
    """
    rng = random.Random(scenario.seed)
    clients = _make_clients(scenario, entry_hosts, password)
    numbers = itertools.count(1)
    started_at = time.monotonic()
    jobs: list[asyncio.Task[Operation]] = []
    for arrival in plan_arrivals(scenario):
        wait_s = started_at + arrival.at_s - time.monotonic()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        client = rng.choice(clients[arrival.stream.group])
        work = client.perform(arrival.stream, next(numbers), arrival.at_s, started_at)
        jobs.append(asyncio.create_task(work))
    done, _ = await asyncio.wait(jobs, timeout=FINISH_TIMEOUT_S)
    result = LoadResult(operations=[job.result() for job in done])
    result.operations.sort(key=lambda operation: operation.number)
    for session in itertools.chain.from_iterable(clients.values()):
        session.close()
    result.stored = await _read_stored(scenario, entry_hosts, password)
    return result
