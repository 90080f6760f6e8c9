"""Statements that this host has in progress at one backend server."""

import asyncio
import itertools
from dataclasses import dataclass

from ..identifiers import FencingToken, ServerId, Term
from ..queries import Query, QueryKind
from ..services.clock import read_boot_ms
from .ports import BackendConnection, ConnectionLostError, QuiesceReply

# Time for statements in progress to get their answers before they are given up.
END_WAIT_S = 0.2
# Time for the task of a statement to learn that its connection was closed.
CLOSE_WAIT_S = 0.1
# Time for which the reply to a repeated request counts what an earlier one ended or
# closed: longer than a round lasts.
COUNTS_KEPT_MS = 1_000
# Statements that may commit: a lone write does, whether it was prepared or not.
_COMMITTING = frozenset({QueryKind.WRITE, QueryKind.EXECUTE, QueryKind.COMMIT})
# Statements that go on at a server that is being replaced: commands, questions whether
# it leads, and reads of transactions that have begun.
_PASSING = frozenset(
    {
        QueryKind.BEGIN,
        QueryKind.READ,
        QueryKind.ROLLBACK,
        QueryKind.STATUS,
        QueryKind.PAUSE,
        QueryKind.RESUME,
        QueryKind.STEP_DOWN,
    }
)


class QuiescedError(ConnectionLostError):
    """Statement that was not sent, as its server is being replaced as the primary."""

    def __init__(self, server: ServerId) -> None:
        super().__init__(f"{server} is being replaced as the primary", sent=False)


@dataclass(kw_only=True, slots=True)
class _Count:
    """What one request to quiesce did.

    Parameters
    ----------
    at
        When it came, in milliseconds since boot.
    ended, closed
        Statements that got their answers, and that were closed without one.
    """

    at: int
    ended: int
    closed: int = 0


class ServerGate:
    """Gate that every statement of this host to one server passes.

    It outlives the pools of the server, so that it knows of statements on connections
    of a pool that was dropped.

    Parameters
    ----------
    server
        The server.
    """

    def __init__(self, *, server: ServerId) -> None:
        self.server = server
        # Term of the lead that ends, while the gate is shut, None if it isn't known.
        self.term: Term | None = Term(0)
        # Fencing token of the latest change that shut it.
        self.token = FencingToken(0)
        self.shut_until = 0
        self.opened = asyncio.Event()
        self.numbers = itertools.count(1)
        # Connections of statements that may commit and have no answer.
        self.running: dict[int, BackendConnection] = {}
        self.ended = asyncio.Event()
        self.counts: list[_Count] = []

    @property
    def is_shut(self) -> bool:
        """Whether no statement may be sent to the server."""
        return read_boot_ms() < self.shut_until

    def enter(self, link: BackendConnection, queries: list[Query]) -> int | None:
        """Let statements pass; return their number if they may commit.

        Raises
        ------
        QuiescedError
            When the gate is shut.
        """
        kinds = {query.kind for query in queries}
        if self.is_shut and not kinds <= _PASSING:
            raise QuiescedError(self.server)
        if kinds.isdisjoint(_COMMITTING):
            return None
        number = next(self.numbers)
        self.running[number] = link
        return number

    def leave(self, number: int | None) -> None:
        """Record that statements were answered or given up."""
        if number is None:
            return
        self.running.pop(number, None)
        if not self.running:
            self.ended.set()

    async def quiesce(
        self, term: Term, token: FencingToken, hold_ms: int, *, repeated: bool = False
    ) -> QuiesceReply:
        """Shut the gate, and end the statements that may commit.

        A server can only acknowledge to an open connection. So those whose answer does
        not come in time are closed, and their outcome is unknown.

        Parameters
        ----------
        term
            Term of the server's lead.
        token
            Fencing token of the change.
        hold_ms
            Time after which the gate opens by itself, in milliseconds; 0 opens it.
        repeated
            Whether what an earlier request of the same round ended or closed is counted
            too.
        """
        if hold_ms <= 0:
            self.reopen(token)
            return QuiesceReply()
        self.shut(term, token, hold_ms)
        count = self._begin_count()
        await self._wait_for_end(END_WAIT_S)
        late = list(self.running.values())
        for link in late:
            link.abandon()
        count.ended -= len(late)
        count.closed = len(late)
        await self._wait_for_end(CLOSE_WAIT_S)
        counts = self.counts if repeated else [count]
        return QuiesceReply(
            ended=sum(c.ended for c in counts), closed=sum(c.closed for c in counts)
        )

    def _begin_count(self) -> _Count:
        now = read_boot_ms()
        count = _Count(at=now, ended=len(self.running))
        self.counts = [c for c in self.counts if now - c.at < COUNTS_KEPT_MS]
        self.counts.append(count)
        return count

    def shut(self, term: Term | None, token: FencingToken, hold_ms: int) -> None:
        """Let no statement that may commit pass for a time; see `quiesce`.

        Without a term no lead of another server opens the gate.
        """
        if hold_ms <= 0:
            return
        self.token = max(self.token, token)
        if term is None or (self.is_shut and self.term is None):
            self.term = None
        else:
            self.term = max(self.term or Term(0), term)
        self.shut_until = max(self.shut_until, read_boot_ms() + hold_ms)
        self.opened.clear()

    def reopen(self, token: FencingToken) -> None:
        """Let statements pass again, unless a later change has shut the gate.

        A request of a former holder may come late.
        """
        if token >= self.token:
            self.open()

    def is_passed(self, term: Term) -> bool:
        """Return whether the lead of another server in a term opens the gate."""
        return self.term is not None and self.term < term

    async def _wait_for_end(self, limit_s: float) -> None:
        """Wait until no statement is in progress, or until the limit."""
        if not self.running:
            return
        self.ended.clear()
        try:
            async with asyncio.timeout(limit_s):
                await self.ended.wait()
        except TimeoutError:
            return

    def open(self) -> None:
        """Let statements pass again."""
        self.shut_until = 0
        self.opened.set()

    async def wait_until_open(self, limit_ms: int) -> None:
        """Wait until statements pass, or until the limit, in milliseconds."""
        left_ms = min(limit_ms, self.shut_until - read_boot_ms())
        if left_ms <= 0:
            return
        try:
            async with asyncio.timeout(left_ms / 1000):
                await self.opened.wait()
        except TimeoutError:
            return
