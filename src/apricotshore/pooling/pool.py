"""Connection pool of this host for one backend server."""

import asyncio
import itertools
from collections.abc import Callable

from .. import spillover
from ..decisions import placement, quota, wait_queue
from ..decisions.placement import ServerLoad
from ..decisions.quota import ConnectionQuota
from ..decisions.wait_queue import Waiter, WaitQueue
from ..groups import LogPosition
from ..identifiers import OrganisationId
from ..queries import Answer, FailureCode, Query, QueryKind
from ..routes import ListedServer
from ..services.clock import read_boot_ms
from ..spillover import ServerTimes
from .pooled_connection import NoConnectionError, PooledConnection, WithheldError
from .ports import ConnectionLostError, ConnectionRejectedError, Dialer
from .server_gate import ServerGate

DIAL_TIMEOUT_S = 0.5
RETRY_STEP_S = 0.05
# A statement that follows an answer: its server has just answered, so it is waited for.
FOLLOWING_TIMEOUT_MS = 1_000
# The server keeps prepared statements per connection until it is reset: a
# connection with this many is reset.
PREPARED_LIMIT = 200
# Statements that read where they come with a position to be reached.
_READS = frozenset({QueryKind.READ, QueryKind.EXECUTE})


class ServerPool:
    """Bounded pool of connections to one backend server.

    Parameters
    ----------
    server
        The server.
    load
        Load and latency of the server as seen here; the pool updates it.
    limit
        Connections that the server accepts from all hosts together.
    dialer
        Factory of connections.
    gate
        Gate that its statements pass.
    on_answer
        Called when the server itself has answered, not a host on the way.
    """

    def __init__(
        self,
        *,
        server: ListedServer,
        load: ServerLoad,
        limit: int,
        dialer: Dialer,
        gate: ServerGate,
        on_answer: Callable[[], None] = lambda: None,
    ) -> None:
        self.server = server
        self.on_answer = on_answer
        self.gate = gate
        self.load = load
        self.dialer = dialer
        self.quota = ConnectionQuota(limit=limit)
        self.relayed = False
        self.wait_queue = WaitQueue()
        self.times = ServerTimes()
        self.idle: list[PooledConnection] = []
        self.used: set[int] = set()
        self.opening = 0
        self.numbers = itertools.count(1)
        # Get a connection, or None for leave to open one, which counts as being opened.
        self.futures: dict[int, asyncio.Future[PooledConnection | None]] = {}
        # Connections closed to make room for those of other organisations.
        self.evictions = 0
        self.closed = False

    @property
    def held(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self.idle) + len(self.used) + self.opening

    async def acquire(
        self,
        values: dict[str, str],
        priority: int,
        expires_at: int,
        *,
        organisation: OrganisationId | None = None,
        takes_any: bool = False,
    ) -> PooledConnection:
        """Acquire a connection, preferably one with the given session values.

        Parameters
        ----------
        values
            Session values.
        priority, expires_at
            Priority in the queue, and when the wait ends, in milliseconds since boot.
        organisation
            Organisation under which the connection has to be opened, None for callers
            without one.
        takes_any
            Whether a connection of any organisation will do. That is for statements
            of the proxy's own, which leave no state on it.

        Raises
        ------
        NoConnectionError
            When none became free in time.
        ConnectionLostError
            When the server cannot be reached.
        """
        since = read_boot_ms()
        while True:
            pooled = self._take_idle(values, organisation, takes_any=takes_any)
            if pooled is None:
                pooled = await self._open(organisation)
            if pooled is None:
                waiter = Waiter(
                    priority=priority,
                    number=next(self.numbers),
                    expires_at=expires_at,
                    organisation=organisation,
                    takes_any=takes_any,
                    since=since,
                )
                pooled = await self._wait(waiter)
            if pooled is not None:
                return self._mark_used(pooled)

    def _mark_used(self, pooled: PooledConnection) -> PooledConnection:
        pooled.acquired_at = read_boot_ms()
        self.used.add(id(pooled))
        return pooled

    def _take_idle(
        self,
        values: dict[str, str],
        organisation: OrganisationId | None,
        *,
        takes_any: bool,
    ) -> PooledConnection | None:
        while fitting := [
            p for p in self.idle if takes_any or p.organisation == organisation
        ]:
            same = [p for p in fitting if p.values == values]
            pooled = (same or fitting)[-1]
            self.idle.remove(pooled)
            if pooled.link.usable:
                return pooled
            pooled.link.close()
        return None

    async def _open(
        self, organisation: OrganisationId | None
    ) -> PooledConnection | None:
        if self.closed or not self._make_room(organisation):
            return None
        self._begin_opening()
        return await self._dial(organisation)

    def _make_room(self, organisation: OrganisationId | None) -> bool:
        """Return whether one more connection may be opened.

        If not, those of other organisations that have been idle longest are closed.
        """
        now = read_boot_ms()
        if quota.may_open(self.quota, self.held, now):
            return True
        others = [p for p in self.idle if p.organisation != organisation]
        excess = max(1, self.held + 1 - quota.find_max(self.quota, now))
        if len(others) < excess or not quota.may_replace(self.quota, now):
            return False
        for pooled in sorted(others, key=lambda p: p.idle_since)[:excess]:
            self.idle.remove(pooled)
            self._evict(pooled)
        return True

    def _evict(self, pooled: PooledConnection) -> None:
        pooled.link.close()
        self.evictions += 1

    def _begin_opening(self) -> None:
        quota.observe_opening(self.quota, read_boot_ms())
        self.opening += 1

    async def _dial(
        self, organisation: OrganisationId | None
    ) -> PooledConnection | None:
        """Open a connection that counts as being opened; None if the server is full."""
        relayed = self.relayed
        try:
            link = await self.dialer.dial(self.server, DIAL_TIMEOUT_S, organisation)
        except ConnectionRejectedError as error:
            if error.code is FailureCode.TOO_MANY_CONNECTIONS:
                held = self.held - 1
                quota.observe_refusal(self.quota, held, read_boot_ms())
                self.on_answer()
                return None
            if error.code is FailureCode.OVERLOADED:
                placement.observe_full(self.load, read_boot_ms())
                self.on_answer()
                return None
            placement.observe_silence(self.load, read_boot_ms())
            raise ConnectionLostError(
                f"refused: {error.code.value}", sent=False
            ) from None
        except ConnectionLostError:
            placement.observe_silence(self.load, read_boot_ms())
            raise
        finally:
            self.opening -= 1
        return PooledConnection(link=link, relayed=relayed, organisation=organisation)

    async def _wait(self, waiter: Waiter) -> PooledConnection | None:
        now = read_boot_ms()
        if now >= waiter.expires_at or self.closed:
            retry = wait_queue.advise_retry_ms(self.wait_queue, self.held)
            raise NoConnectionError(retry)
        future: asyncio.Future[PooledConnection | None] = (
            asyncio.get_running_loop().create_future()
        )
        self.futures[waiter.number] = future
        wait_queue.enqueue(self.wait_queue, waiter)
        # Retry periodically: the server may accept another connection by then.
        step = min(RETRY_STEP_S, max(waiter.expires_at - now, 1) / 1000)
        try:
            pooled = await asyncio.wait_for(future, step)
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                # In Python 3.11 that drops a cancellation that comes in the same turn.
                raise asyncio.CancelledError
        except TimeoutError:
            return None
        except BaseException:
            if future.done() and not future.cancelled():
                self._give_back(future.result())
            raise
        finally:
            wait_queue.remove(self.wait_queue, waiter)
            self.futures.pop(waiter.number, None)
        return pooled or await self._dial(waiter.organisation)

    def _give_back(self, pooled: PooledConnection | None) -> None:
        if pooled is None:
            self.opening -= 1
        else:
            self._reassign(pooled)

    def release(self, pooled: PooledConnection, *, clean: bool) -> None:
        """Return a connection to the pool; close it if its state is unknown."""
        if id(pooled) not in self.used:
            return
        self.used.discard(id(pooled))
        now = read_boot_ms()
        wait_queue.observe_hold(self.wait_queue, now - pooled.acquired_at)
        is_outdated = pooled.relayed != self.relayed
        if not clean or self.closed or is_outdated or not pooled.link.usable:
            pooled.link.close()
            return
        largest = quota.find_max(self.quota, now)
        while self.idle and self.held >= largest:
            self.idle.pop(0).link.close()
        # Passed on to statements that wait, it would never make room for other hosts.
        if self.held >= largest:
            pooled.link.close()
            return
        pooled.idle_since = now
        self._reassign(pooled)

    def _reassign(self, pooled: PooledConnection) -> None:
        """Have a released connection used by a statement that waits, or keep it idle.

        A statement of another organisation may open one in its place.
        """
        now = read_boot_ms()
        may_replace = quota.may_replace(self.quota, now)
        self.used.discard(id(pooled))
        while (
            waiter := wait_queue.dequeue_for(
                self.wait_queue, pooled.organisation, now, may_replace=may_replace
            )
        ) is not None:
            future = self.futures.get(waiter.number)
            if future is None or future.done():
                continue
            # Counted now: the statement goes on only in a later turn.
            if waiter.fits(pooled.organisation):
                self.used.add(id(pooled))
                future.set_result(pooled)
            else:
                self._evict(pooled)
                self._begin_opening()
                future.set_result(None)
            return
        self.idle.append(pooled)

    async def run(
        self,
        pooled: PooledConnection,
        queries: list[Query],
        after: LogPosition | None,
        timeout_ms: int,
    ) -> list[Answer]:
        """Run statements on a connection and record their latency.

        Raises
        ------
        QuiescedError
            When nothing may be sent, as the server is being replaced as the primary.
        ConnectionLostError
            When not all answers arrived.
        """
        began = read_boot_ms()
        number = self.gate.enter(pooled.link, queries)
        self.load.outstanding += 1
        try:
            answers = await pooled.link.run(queries, after, timeout_ms / 1000)
        except ConnectionLostError:
            self.close_idle_before(began)
            raise
        finally:
            self.load.outstanding -= 1
            self.gate.leave(number)
        now = read_boot_ms()
        placement.observe_answer(self.load, now - began, now)
        if after is not None:
            self._observe_reads(queries, answers, now - began)
        if any(a.failure is FailureCode.OVERLOADED for a in answers):
            placement.observe_full(self.load, now)
        if any(a.log_position is not None for a in answers):
            self.on_answer()
        return answers

    def _observe_reads(
        self, queries: list[Query], answers: list[Answer], took_ms: int
    ) -> None:
        """Record the response time and size of a read, or that it was shed."""
        if any(answer.failure is FailureCode.OVERLOADED for answer in answers):
            spillover.observe_full(self.times)
        elif any(query.kind in _READS for query in queries) and not any(
            answer.failure for answer in answers
        ):
            size = sum(len(row) for answer in answers for row in answer.rows)
            spillover.observe_answer(self.times, took_ms, size, read_boot_ms())

    async def run_alone(
        self,
        query: Query,
        priority: int,
        timeout_ms: int,
        may_send: Callable[[], bool] = lambda: True,
        choose_next: Callable[[Answer], Query | None] = lambda answer: None,
    ) -> Answer:
        """Run a statement of the proxy's own on a connection of its own.

        Parameters
        ----------
        query, priority, timeout_ms
            The statement, its priority for a connection, and the time limit for
            getting one and the answer together.
        may_send
            Returns whether it may be sent, once there is a connection.
        choose_next
            Returns the statement that follows an answer on the same connection, for
            which `FOLLOWING_TIMEOUT_MS` are waited, None without one.

        Returns
        -------
        Answer
            The answer to the last statement.

        Raises
        ------
        WithheldError
            When it may not be sent any more.
        NoConnectionError
            When no connection became free in time.
        ConnectionLostError
            When the server cannot be reached or gave no answer.
        """
        expires_at = read_boot_ms() + timeout_ms
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                pooled = await self.acquire({}, priority, expires_at, takes_any=True)
        except TimeoutError:
            why = f"no connection within {timeout_ms} ms"
            raise ConnectionLostError(why, sent=False) from None
        left_ms = max(expires_at - read_boot_ms(), 1)
        clean = False
        try:
            if not may_send():
                clean = True
                raise WithheldError(f"{query.kind.value} to {self.server.server!r}")
            (answer,) = await self.run(pooled, [query], None, left_ms)
            following = choose_next(answer)
            if following is not None:
                (answer,) = await self.run(
                    pooled, [following], None, FOLLOWING_TIMEOUT_MS
                )
            clean = True
        finally:
            self.release(pooled, clean=clean)
        return answer

    def set_relayed(self, relayed: bool) -> None:
        """Set whether this host is to connect through a relay.

        Connections opened the other way are closed, now or when they are released:
        direct ones would take the room of the relays' connections.
        """
        self.quota.is_relay = self.quota.relays > 0 and not relayed
        self.quota.is_relayed = self.quota.relays > 0 and relayed
        if relayed == self.relayed:
            return
        self.relayed = relayed
        for pooled in self.idle:
            pooled.link.close()
        self.idle.clear()

    def close_idle_before(self, moment: int) -> None:
        """Close connections idle since ``moment`` or longer: they may be dead too."""
        for pooled in list(self.idle):
            if pooled.idle_since <= moment:
                self.idle.remove(pooled)
                pooled.link.close()

    def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
        now = read_boot_ms()
        kept = quota.count_kept_idle(self.quota, now)
        limit = quota.find_idle_limit_ms(self.quota, now)
        for pooled in list(self.idle)[: max(0, len(self.idle) - kept)]:
            if now - pooled.idle_since > limit:
                self.idle.remove(pooled)
                pooled.link.close()

    def close(self) -> None:
        """Close idle connections now, and used ones when they are released."""
        self.closed = True
        for pooled in self.idle:
            pooled.link.close()
        self.idle.clear()
