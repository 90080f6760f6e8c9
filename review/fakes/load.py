"""Traffic of consumers: sessions that send one operation after another."""

import asyncio
import itertools
import random
from dataclasses import dataclass

from .consumer import ConsumerSession, SessionEndedError, open_session
from .fleet import Host
from .record import Record

ANSWER_TIMEOUT_S = 4.0
RETRY_PAUSE_S = 0.1
SESSION_OPERATIONS = 20


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """A statement that a consumer sent, and what came of it.

    Parameters
    ----------
    request
        Its id.
    sent_at
        When it was sent, in seconds since the start of the case.
    status
        Status line of the answer, empty when there was none.
    """

    request: str
    sent_at: float
    status: str

    @property
    def succeeded(self) -> bool:
        """Whether it succeeded."""
        return self.status.startswith("COMPLETE")


class Load:
    """Consumers that send operations until they are stopped.

    Parameters
    ----------
    record
        Record of the case.
    hosts
        Hosts that they connect to.
    """

    def __init__(self, *, record: Record, hosts: list[Host]) -> None:
        self.record = record
        self.hosts = hosts
        self.numbers = itertools.count(1)
        self.attempts: list[Attempt] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.random = random.Random(7)

    def add(self, database: str, kind: str, count: int, pause_s: float) -> None:
        """Add consumers of a database that pause between their operations.

        Parameters
        ----------
        database
            Name of the database.
        kind
            ``READ`` or ``WRITE`` for single statements, ``TRANSACTION`` for
            transactions of one write.
        count
            Number of consumers.
        pause_s
            Pause after a success.
        """
        for _ in range(count):
            work = self._consume(database, kind, pause_s)
            self.tasks.append(asyncio.create_task(work))

    async def _consume(self, database: str, kind: str, pause_s: float) -> None:
        while True:
            host = self.random.choice(self.hosts)
            opened_at = self.record.now()
            try:
                session = await open_session(host.front_port, database)
            except SessionEndedError as error:
                # The request that the session was opened for is not served.
                request = f"s{next(self.numbers)}"
                self.record.add(f"{host.name} opens no session of {database}: {error}")
                self._finish(request, opened_at, "")
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            try:
                for _ in range(SESSION_OPERATIONS):
                    succeeded = await self._operate(host, session, kind)
                    await asyncio.sleep(pause_s if succeeded else RETRY_PAUSE_S)
            except SessionEndedError:
                await asyncio.sleep(RETRY_PAUSE_S)
            finally:
                session.close()

    async def _operate(self, host: Host, session: ConsumerSession, kind: str) -> bool:
        """Send an operation; return whether it succeeded."""
        number = next(self.numbers)
        item = f"{self.random.randrange(2000):x}"
        if kind == "READ":
            return await self._send(host, session, f"q{number}", f"READ {item}")
        write = f"WRITE {item} d{number}"
        if kind == "WRITE":
            return await self._send(host, session, f"q{number}", write)
        texts = ("BEGIN", write, "COMMIT")
        for part, text in zip(("b", "w", "c"), texts, strict=True):
            if not await self._send(host, session, f"{part}{number}", text):
                if part == "w":
                    await self._send(host, session, f"r{number}", "ROLLBACK")
                return False
        return True

    async def _send(
        self, host: Host, session: ConsumerSession, request: str, text: str
    ) -> bool:
        sent_at = self.record.now()
        self.record.add(f"{host.name} gets {request} {text}")
        status = ""
        try:
            reply = await session.send(request, text, ANSWER_TIMEOUT_S)
            status = reply.status
        finally:
            self._finish(request, sent_at, status)
        return reply.succeeded

    def _finish(self, request: str, sent_at: float, status: str) -> None:
        self.record.add(f"{request} answered: {status or 'no answer'}")
        self.attempts.append(
            Attempt(
                request=request,
                sent_at=sent_at,
                status=status,
            )
        )

    async def stop(self) -> None:
        """Stop the consumers."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()
