"""Selection of servers and preparation of connections for a session's statements."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import TypeVar

from ..decisions import placement, position_history, wait_queue
from ..groups import LogPosition
from ..queries import Answer, FailureCode, PreparedShape, Query, QueryKind
from ..routes import Consistency, Route
from ..services.clock import read_boot_ms
from .group import Group
from .pool import PREPARED_LIMIT, ServerPool
from .pooled_connection import NoConnectionError, PooledConnection
from .ports import ConnectionLostError
from .sessions import Job, Session, later_position, refuse_overloaded

CONTROL_TIMEOUT_MS = 500
ATTEMPTS = 4
OVERLOAD_PAUSE_S = 0.02

BEGIN = Query(kind=QueryKind.BEGIN)
BEGIN_READ = Query(kind=QueryKind.BEGIN_READ)
ROLLBACK = Query(kind=QueryKind.ROLLBACK)
RESET = Query(kind=QueryKind.RESET)


def find_min_position(
    group: Group, session: Session, route: Route, now: int
) -> LogPosition | None:
    """Return the log position that a replica must have reached to serve a read.

    Returns
    -------
    LogPosition or None
        None when only the primary may serve the read.
    """
    if not route.reads_replicas:
        return None
    found = position_history.find_lower_bound(
        group.position_history, route.staleness_ms, now
    )
    if found is None:
        return None
    min_position = LogPosition(term=found.term, position=found.position)
    if route.consistency is Consistency.SESSION:
        return later_position(min_position, session.log_position)
    return min_position


def list_preparation(
    pooled: PooledConnection, session: Session, shape: PreparedShape | None
) -> list[Query]:
    """List the statements that bring a connection into a session's state."""
    queries: list[Query] = []
    at_limit = len(pooled.prepared) >= PREPARED_LIMIT
    if pooled.values != session.values or at_limit:
        if pooled.values or at_limit:
            queries.append(RESET)
        queries += [
            Query(kind=QueryKind.SET, name=name, value=value)
            for name, value in session.values.items()
        ]
    is_known = shape is None or (shape.name in pooled.prepared and RESET not in queries)
    if shape is not None and not is_known:
        queries.append(Query(kind=QueryKind.PREPARE, name=shape.name, shape=shape))
    return queries


def record_preparation(pooled: PooledConnection, queries: list[Query]) -> None:
    """Record the state that the server acknowledged on a connection."""
    for query in queries:
        if query.kind is QueryKind.RESET:
            pooled.values.clear()
            pooled.prepared.clear()
        elif query.kind is QueryKind.SET:
            pooled.values[query.name] = query.value
        elif query.kind is QueryKind.PREPARE:
            pooled.prepared.add(query.name)


async def prepare_link(
    group: Group,
    pool: ServerPool,
    pooled: PooledConnection,
    session: Session,
    shape: PreparedShape | None,
    begin: Query | None,
    after: LogPosition | None,
) -> Answer | None:
    """Bring a connection into a session's state and begin a transaction.

    All answers are awaited before the caller's statement is sent: sent together
    with a preparation that fails, it would run with wrong session values or
    outside its transaction.

    Returns
    -------
    Answer or None
        The first failed answer, None when all succeeded.

    Raises
    ------
    ConnectionLostError
        When the connection was lost; the caller's statement was not sent.
    """
    preparation = list_preparation(pooled, session, shape)
    queries = [*preparation, begin] if begin is not None else preparation
    if not queries:
        return None
    asked_at = read_boot_ms()
    answers = await pool.run(pooled, queries, after, CONTROL_TIMEOUT_MS)
    for answer in answers:
        if answer.failure is not None:
            return answer
    record_preparation(pooled, preparation)
    if begin is not None and begin.kind is QueryKind.BEGIN:
        proof = answers[-1].log_position
        if proof is not None:
            group.observe_begin(pool.server.server, proof, asked_at)
    return None


async def prepare_shape(
    pool: ServerPool, pooled: PooledConnection, shape: PreparedShape | None
) -> Answer | None:
    """Prepare a statement inside a transaction, where a reset is impossible.

    Returns
    -------
    Answer or None
        The failed answer, None when the statement is prepared.
    """
    if shape is None or shape.name in pooled.prepared:
        return None
    prepare = Query(kind=QueryKind.PREPARE, name=shape.name, shape=shape)
    answers = await pool.run(pooled, [prepare], None, CONTROL_TIMEOUT_MS)
    if answers[0].failure is not None:
        return answers[0]
    pooled.prepared.add(shape.name)
    return None


async def may_retry(job: Job, failure: FailureCode | None, tries: int) -> bool:
    """Return whether to retry a statement that was not run, after a pause.

    A full primary is retried until ``offer_until``, since no other server can
    run the statement; other failures are retried a fixed number of times.
    """
    if failure is not FailureCode.OVERLOADED:
        return tries < ATTEMPTS
    if read_boot_ms() >= job.offer_until:
        return False
    await asyncio.sleep(OVERLOAD_PAUSE_S)
    return True


class Declined(Enum):
    """Reason why a server did not run a read."""

    FULL = "full"
    NO_CONNECTION = "no connection"
    # The server is behind, does not answer or cannot be reached.
    UNFIT = "unfit"


T = TypeVar("T")
Attempt = Callable[[ServerPool], Awaitable[T | Declined]]


async def offer_to_readers(group: Group, job: Job, attempt: Attempt[T]) -> T | None:
    """Try a read at the servers that may serve it, the best first.

    Full servers are retried until ``offer_until``. A read that finds them full
    does not fall back to a transaction at the primary, where it would displace
    statements that can run nowhere else.

    Returns
    -------
    T or None
        Result of the first attempt that is not declined; None when no server is fit
        to serve the read.

    Raises
    ------
    RefusedError
        When every server that is fit is full; the read was not run.
    """
    while True:
        reasons = set()
        for pool in group.rank_readers()[:ATTEMPTS]:
            found = await attempt(pool)
            if not isinstance(found, Declined):
                return found
            reasons.add(found)
        if reasons <= {Declined.UNFIT}:
            return None
        if Declined.FULL not in reasons or read_boot_ms() >= job.offer_until:
            raise refuse_overloaded("no server has room", wait_queue.MIN_RETRY_MS)
        await asyncio.sleep(OVERLOAD_PAUSE_S)


async def open_at_reader(
    group: Group, session: Session, job: Job, min_position: LogPosition
) -> tuple[ServerPool, PooledConnection] | None:
    """Begin a read transaction at a server that has reached a log position.

    Returns
    -------
    tuple or None
        The pool and the connection; None when no server has reached it.

    Raises
    ------
    RefusedError
        When the servers that have reached it are full.
    """

    async def attempt(
        pool: ServerPool,
    ) -> tuple[ServerPool, PooledConnection] | Declined:
        try:
            pooled = await pool.acquire(
                session.values,
                job.route.priority,
                job.expires_at,
                organisation=session.organisation,
            )
        except NoConnectionError:
            return Declined.NO_CONNECTION
        except ConnectionLostError:
            return Declined.UNFIT
        return await _begin_at_reader(group, pool, pooled, session, job, min_position)

    return await offer_to_readers(group, job, attempt)


async def _begin_at_reader(
    group: Group,
    pool: ServerPool,
    pooled: PooledConnection,
    session: Session,
    job: Job,
    min_position: LogPosition,
) -> tuple[ServerPool, PooledConnection] | Declined:
    try:
        failed = await prepare_link(
            group, pool, pooled, session, job.shape, BEGIN_READ, min_position
        )
    except ConnectionLostError:
        pool.release(pooled, clean=False)
        placement.observe_silence(pool.load, read_boot_ms())
        return Declined.UNFIT
    except BaseException:
        pool.release(pooled, clean=False)
        raise
    if failed is None:
        return pool, pooled
    behind = failed.failure is FailureCode.BEHIND
    if behind:
        placement.observe_behind(pool.load, read_boot_ms())
    # A failed preparation may be incomplete, so the connection is kept only if
    # the server was merely behind and the session state needed no change.
    pool.release(pooled, clean=behind and not list_preparation(pooled, session, None))
    full = failed.failure is FailureCode.OVERLOADED
    return Declined.FULL if full else Declined.UNFIT
