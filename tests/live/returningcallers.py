"""Callers that keep using, and opening, connections to a host until it is gone."""

import asyncio
import re
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

from pymysql.err import Error as MySqlError

from standins.deployment import Deployment, run_sql

ANSWER_TIMEOUT_S = 10.0
PAUSE_S = 0.002
_VERDICT = re.compile(r"\[verdict=([\w-]+) reason=([\w-]+)( retry-after-ms=)?")
FAILURES = (MySqlError, OSError, TimeoutError, asyncio.IncompleteReadError)


@dataclass(kw_only=True)
class Tally:
    """What callers saw of their statements."""

    answers: Counter[str] = field(default_factory=Counter)
    answered: set[str] = field(default_factory=set)
    not_run: set[str] = field(default_factory=set)
    cut: list[str] = field(default_factory=list)

    def count(self, tag: str, error: BaseException | None) -> None:
        """Count the end of a statement; without a verdict, it was cut."""
        if error is None:
            self.answers["ok"] += 1
            self.answered.add(tag)
            return
        match = _VERDICT.search(str(error))
        if match is None or match.group(1) == "may-have-run":
            self.cut.append(f"{tag}: {error!r}")
            return
        self.answers[match.group(2)] += 1
        self.not_run.add(tag)


@dataclass(kw_only=True)
class ReturningCaller:
    """A caller of one host that comes back after each end of its connection.

    Parameters
    ----------
    deployment, host, name
        Host that it uses, and the name that its rows carry.
    tally
        Where its statements are counted.
    work_ms
        How long the backend server works on a statement.
    statements
        Statements in a transaction; 0 for single statements.
    per_connection
        Operations over one connection.
    """

    deployment: Deployment
    host: int
    name: str
    tally: Tally
    work_ms: int = 20
    statements: int = 0
    per_connection: int = 1_000

    async def run(self) -> None:
        """Run until cancelled between two statements, or the port is closed."""
        number = 0
        while True:
            try:
                connection = await self.deployment.connect(self.host)
            except ConnectionRefusedError:
                return
            except FAILURES as error:
                if "2003" in str(error):
                    return
                await asyncio.sleep(PAUSE_S)
                continue
            for _ in range(self.per_connection):
                number += 1
                if not await self._run_operation(connection, f"{self.name}.{number}"):
                    break
                await asyncio.sleep(PAUSE_S)
            connection.close()

    async def _run_operation(self, connection, tag: str) -> bool:
        if not self.statements:
            return await self.run_statement(connection, tag, self.make_insert(tag))
        texts = [self.make_insert(f"{tag}.{n}") for n in range(self.statements)]
        for text in ["BEGIN", *texts, "COMMIT"]:
            if not await self.run_statement(connection, tag, text):
                return False
        return True

    def make_insert(self, note: str) -> str:
        """Return a write whose row carries a note."""
        return (
            f"INSERT INTO delivery (member, note) VALUES ('{self.name}', '{note}') "
            f"/* kind='delivery',work_ms='{self.work_ms}' */"
        )

    async def run_statement(self, connection, tag: str, text: str) -> bool:
        """Run a statement and count its end; return whether it was answered well."""
        try:
            await asyncio.wait_for(run_sql(connection, text), ANSWER_TIMEOUT_S)
        except FAILURES as error:
            self.tally.count(tag, error)
            return False
        self.tally.count(tag, None)
        return True


async def read_notes(deployment: Deployment) -> Counter[str]:
    """Return how often a backend server holds each note."""
    primary = await deployment.find_primary()
    rows = await deployment.command(
        primary, "SELECT note, COUNT(*) FROM delivery GROUP BY note"
    )
    return Counter({str(note): int(count) for note, count in rows})


async def finish(tasks: list[asyncio.Task[None]], timeout_s: float) -> None:
    """Wait for callers whose host is gone; cancel the others."""
    await asyncio.wait(tasks, timeout=timeout_s)
    for task in tasks:
        task.cancel()
    for task in tasks:
        with suppress(asyncio.CancelledError):
            await task
