"""Running one statement of a session at a backend server."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from ..decisions import floors, placement, waiting
from ..groups import Mark
from ..identifiers import DatabaseId, GroupId, HostId
from ..queries import (
    Answer,
    FailureCode,
    PreparedShape,
    Query,
    QueryKind,
    TransactionState,
)
from ..routes import Configuration, Consistency, Route
from ..services.clock import read_boot_ms
from ..verdicts import Verdict
from .group import Group
from .journal import Journal, Step
from .pool import PREPARED_LIMIT, NoConnectionError, PooledLink, ServerPool
from .ports import LinkLostError

CONTROL_TIMEOUT_MS = 500
# A read without an answer for this long is sent to another server.
READ_ATTEMPT_MS = 450
OVERLOAD_PAUSE_S = 0.02
NO_PRIMARY_RETRY_MS = 800
ATTEMPTS = 4

BEGIN = Query(kind=QueryKind.BEGIN)
BEGIN_READ = Query(kind=QueryKind.BEGIN_READ)
ROLLBACK = Query(kind=QueryKind.ROLLBACK)
RESET = Query(kind=QueryKind.RESET)


@dataclass(kw_only=True)
class Context:
    """What serving a statement needs of the host.

    Parameters
    ----------
    host
        This host.
    find_group
        Returns a group by name, None when none is known.
    configuration
        Returns the configuration in force.
    journal
        Where decisions are written down.
    spawn
        Runs work that nobody waits for.
    """

    host: HostId
    find_group: Callable[[GroupId], Group | None]
    configuration: Callable[[], Configuration]
    journal: Journal
    spawn: Callable[[Coroutine[None, None, None]], None]


@dataclass(kw_only=True)
class Transaction:
    """A caller's open transaction.

    Parameters
    ----------
    route
        Route at its beginning.
    read_only
        Whether the caller said that it only reads.
    began_at
        When the caller began it, in milliseconds since boot.
    pool, link
        Where it runs; None until its first statement.
    failed
        Whether it failed and waits for its end.
    wrote
        Whether it wrote.
    aborted
        Why the proxy rolled it back, until its caller has been told.
    """

    route: Route
    read_only: bool
    began_at: int
    pool: ServerPool | None = None
    link: PooledLink | None = None
    failed: bool = False
    wrote: bool = False
    aborted: str = ""


@dataclass(kw_only=True)
class Session:
    """State of one caller's session.

    Parameters
    ----------
    database
        Database that the caller named.
    values
        Session values in force.
    prepared
        Prepared statements by the caller's names.
    mark
        Last log position that a commit of the session reached.
    transaction
        Open transaction.
    """

    database: DatabaseId
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedShape] = field(default_factory=dict)
    mark: Mark | None = None
    transaction: Transaction | None = None


class RefusedError(Exception):
    """A statement that is answered with an error of the proxy's own.

    Parameters
    ----------
    code, detail
        What the caller is told.
    """

    def __init__(self, code: FailureCode, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail


@dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """One statement on its way to a server.

    Parameters
    ----------
    query
        The statement, prepared names already replaced.
    shape
        Prepared statement that it executes, None for plain text.
    route
        How it is served.
    arrived_at
        When it was read from the caller, in milliseconds since boot.
    writes
        Whether it may change data.
    """

    query: Query
    shape: PreparedShape | None
    route: Route
    arrived_at: int
    writes: bool = False

    @property
    def deadline_at(self) -> int:
        """When the route's timeout is reached."""
        return self.arrived_at + self.route.timeout_ms

    @property
    def give_up_at(self) -> int:
        """Until when it may wait without being sent."""
        return self.arrived_at + waiting.limit_wait(
            self.route.target_ms, self.route.timeout_ms
        )


def later(one: Mark | None, other: Mark | None) -> Mark | None:
    """Return the later of two positions."""
    known = [m for m in (one, other) if m is not None]
    return max(known, key=lambda m: (m.term, m.position), default=None)


def find_need(group: Group, session: Session, route: Route, now: int) -> Mark | None:
    """Return the position that a replica must hold for a read.

    Returns
    -------
    Mark or None
        None when only the primary may serve the read.
    """
    if route.consistency is Consistency.LATEST:
        return None
    found = floors.find_floor(group.floors, route.staleness_ms, now)
    if found is None:
        return None
    floor = Mark(term=found.term, position=found.position)
    if route.consistency is Consistency.SESSION:
        return later(floor, session.mark)
    return floor


def refuse_overloaded(detail: str, retry_ms: int) -> RefusedError:
    """Return the refusal of a statement that did not run."""
    text = f"{detail}, retry-after-ms={retry_ms}"
    return RefusedError(FailureCode.OVERLOADED, text)


def list_preparation(
    pooled: PooledLink, session: Session, shape: PreparedShape | None
) -> list[Query]:
    """List the statements that bring a connection into a session's state."""
    queries: list[Query] = []
    crowded = len(pooled.prepared) >= PREPARED_LIMIT
    if pooled.values != session.values or crowded:
        if pooled.values or crowded:
            queries.append(RESET)
        queries += [
            Query(kind=QueryKind.SET, name=name, value=value)
            for name, value in session.values.items()
        ]
    is_known = shape is None or (shape.name in pooled.prepared and RESET not in queries)
    if shape is not None and not is_known:
        queries.append(Query(kind=QueryKind.PREPARE, name=shape.name, shape=shape))
    return queries


def apply_preparation(pooled: PooledLink, queries: list[Query]) -> None:
    """Record what the server acknowledged to have prepared."""
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
    pooled: PooledLink,
    session: Session,
    shape: PreparedShape | None,
    begin: Query | None,
    after: Mark | None,
) -> Answer | None:
    """Bring a connection into a session's state and begin a transaction.

    Every answer is awaited before the caller's statement is sent: behind a
    failed one it would run with other values or outside its transaction.

    Returns
    -------
    Answer or None
        The first failure, None when all went well.

    Raises
    ------
    LinkLostError
        When the connection was lost; nothing of the caller's was sent.
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
    apply_preparation(pooled, preparation)
    if begin is not None and begin.kind is QueryKind.BEGIN:
        proof = answers[-1].mark
        if proof is not None:
            group.observe_lead(pool.server.server, proof, asked_at)
    return None


async def find_primary_pool(group: Group, job: Job) -> ServerPool:
    """Return the pool of the primary, waiting a little for one to be found."""
    while True:
        primary = group.primary
        pool = group.pools.get(primary) if primary is not None else None
        if pool is not None and group.lead.silent_since is None:
            return pool
        now = read_boot_ms()
        left_ms = job.give_up_at - now
        if left_ms <= 0:
            lead = group.lead
            why = "no primary" if pool is None else "the primary gives no answer"
            since = lead.silent_since or group.headless_since
            raise refuse_overloaded(why, waiting.advise_outage_retry_ms(since, now))
        group.probe_wanted.set()
        group.lead_changed.clear()
        try:
            await asyncio.wait_for(group.lead_changed.wait(), left_ms / 1000)
        except TimeoutError:
            continue


async def open_at_primary(
    group: Group, session: Session, job: Job, begin: Query | None
) -> tuple[ServerPool, PooledLink]:
    """Take a prepared connection to the primary.

    Raises
    ------
    RefusedError
        When none can be had; nothing was sent.
    """
    detail = "no connection to the primary"
    for _ in range(ATTEMPTS):
        pool = await find_primary_pool(group, job)
        server = pool.server.server
        try:
            pooled = await pool.acquire(
                session.values, job.route.priority, job.give_up_at
            )
        except NoConnectionError as error:
            raise refuse_overloaded(
                "no free connection to the primary", error.retry_ms
            ) from None
        except LinkLostError as error:
            detail = f"primary unreachable: {error}"
            group.observe_silence(server)
            continue
        try:
            failed = await prepare_link(
                group, pool, pooled, session, job.shape, begin, None
            )
        except LinkLostError as error:
            pool.release(pooled, clean=False)
            detail = f"primary silent: {error}"
            group.observe_silence(server)
            continue
        except BaseException:
            pool.release(pooled, clean=False)
            raise
        if failed is None:
            return pool, pooled
        pool.release(pooled, clean=False)
        detail = f"primary refused: {failed.failure.value if failed.failure else ''}"
        if failed.failure is FailureCode.NOT_PRIMARY:
            group.observe_denial(server)
    raise refuse_overloaded(detail, NO_PRIMARY_RETRY_MS)


async def open_at_reader(
    group: Group, session: Session, job: Job, need: Mark
) -> tuple[ServerPool, PooledLink] | None:
    """Take a connection with a read transaction that holds a position.

    Returns
    -------
    tuple or None
        None when no server could begin it.
    """
    for pool in group.rank_readers()[:ATTEMPTS]:
        try:
            pooled = await pool.acquire(
                session.values, job.route.priority, job.give_up_at
            )
        except (NoConnectionError, LinkLostError):
            continue
        try:
            failed = await prepare_link(
                group, pool, pooled, session, job.shape, BEGIN_READ, need
            )
        except LinkLostError:
            pool.release(pooled, clean=False)
            placement.observe_silence(pool.load, read_boot_ms())
            continue
        except BaseException:
            pool.release(pooled, clean=False)
            raise
        if failed is None:
            return pool, pooled
        behind = failed.failure is FailureCode.BEHIND
        if behind:
            placement.observe_behind(pool.load, read_boot_ms())
        # The connection may be half prepared: only a clean one is kept.
        pool.release(
            pooled, clean=behind and not list_preparation(pooled, session, None)
        )
    return None


async def run_single(context: Context, session: Session, job: Job) -> Answer:
    """Run a statement outside a transaction."""
    group = context.find_group(job.route.group)
    if group is None:
        raise refuse_overloaded("no servers are known", NO_PRIMARY_RETRY_MS)
    if job.writes:
        return await run_write(context, group, session, job)
    need = find_need(group, session, job.route, job.arrived_at)
    if need is not None:
        answer = await run_read_near(context, group, session, job, need)
        if answer is not None:
            return answer
    return await run_read_at_primary(context, group, session, job)


async def run_read_near(
    context: Context, group: Group, session: Session, job: Job, need: Mark
) -> Answer | None:
    """Run a read at the best server that holds a position; None without one."""
    for pool in group.rank_readers()[:ATTEMPTS]:
        now = read_boot_ms()
        left = job.deadline_at - now
        if left <= 0:
            return None
        server = pool.server.server
        try:
            pooled = await pool.acquire(
                session.values, job.route.priority, job.give_up_at
            )
        except (NoConnectionError, LinkLostError) as error:
            note_retry(context, job, server, str(error))
            continue
        clean = False
        try:
            failed = await prepare_link(
                group, pool, pooled, session, job.shape, None, None
            )
            if failed is not None:
                note_retry(context, job, server, f"not prepared: {failed.failure}")
                continue
            timeout = min(left, READ_ATTEMPT_MS)
            answers = await pool.run(pooled, [job.query], need, timeout)
            clean = True
        except LinkLostError as error:
            placement.observe_silence(pool.load, read_boot_ms())
            note_retry(context, job, server, str(error))
            continue
        finally:
            pool.release(pooled, clean=clean)
        answer = answers[0]
        if answer.failure is FailureCode.BEHIND:
            placement.observe_behind(pool.load, read_boot_ms())
        if answer.failure is FailureCode.NOT_PREPARED:
            pooled.prepared.clear()
        if answer.failure is None or answer.failure.verdict is not Verdict.NOT_RUN:
            return answer
        note_retry(context, job, server, answer.failure.value)
    return None


async def run_read_at_primary(
    context: Context, group: Group, session: Session, job: Job
) -> Answer:
    """Run a read at a primary that proves its lead for it."""
    detail = "no answer"
    for _ in range(ATTEMPTS):
        left = job.deadline_at - read_boot_ms()
        if left <= 0:
            break
        pool, pooled = await open_at_primary(group, session, job, BEGIN)
        clean = False
        try:
            timeout = min(left, READ_ATTEMPT_MS)
            answers = await pool.run(pooled, [job.query, ROLLBACK], None, timeout)
            clean = answers[1].failure is None
        except LinkLostError as error:
            detail = str(error)
            note_retry(context, job, pool.server.server, detail)
            continue
        finally:
            pool.release(pooled, clean=clean)
        answer = answers[0]
        if answer.failure is FailureCode.NOT_PRIMARY:
            group.observe_denial(pool.server.server)
        if answer.failure is None or answer.failure.verdict is not Verdict.NOT_RUN:
            return answer
        detail = answer.failure.value
        note_retry(context, job, pool.server.server, detail)
        if answer.failure is FailureCode.OVERLOADED:
            await asyncio.sleep(OVERLOAD_PAUSE_S)
    if read_boot_ms() >= job.deadline_at:
        raise RefusedError(FailureCode.TIMED_OUT, detail)
    raise refuse_overloaded(detail, waiting.MIN_RETRY_MS)


async def run_write(
    context: Context, group: Group, session: Session, job: Job
) -> Answer:
    """Run a write outside a transaction, at most once."""
    detail = "no answer"
    for _ in range(ATTEMPTS):
        left = job.deadline_at - read_boot_ms()
        if left <= 0:
            break
        pool, pooled = await open_at_primary(group, session, job, None)
        clean = False
        number = group.writes.begin()
        answered = False
        try:
            answers = await pool.run(pooled, [job.query], None, left)
            clean = True
            answered = answers[0].failure is None
        except LinkLostError as error:
            raise RefusedError(FailureCode.UNKNOWN_OUTCOME, str(error)) from None
        finally:
            group.writes.end(number, answered=answered)
            pool.release(pooled, clean=clean)
        answer = answers[0]
        if answer.failure is None:
            session.mark = later(session.mark, answer.mark)
            return answer
        if answer.failure.verdict is not Verdict.NOT_RUN:
            return answer
        if answer.failure is FailureCode.NOT_PRIMARY:
            group.observe_denial(pool.server.server)
        if answer.failure is FailureCode.NOT_PREPARED:
            pooled.prepared.clear()
        detail = answer.failure.value
        note_retry(context, job, pool.server.server, detail)
        if answer.failure is FailureCode.OVERLOADED:
            await asyncio.sleep(OVERLOAD_PAUSE_S)
    raise refuse_overloaded(detail, waiting.MIN_RETRY_MS)


def note_retry(context: Context, job: Job, server: str, why: str) -> None:
    """Write down that a statement goes elsewhere or again."""
    context.journal.note(
        Step.REQUEST_RETRIED, request=job.query.request, server=server, why=why
    )


# -- transactions --


async def begin_transaction(
    context: Context, session: Session, transaction: Transaction, job: Job
) -> None:
    """Begin a caller's transaction at a server, if that was not done yet.

    Raises
    ------
    RefusedError
        When no server could begin it.
    """
    if transaction.link is not None:
        return
    group = context.find_group(transaction.route.group)
    if group is None:
        raise refuse_overloaded("no servers are known", NO_PRIMARY_RETRY_MS)
    found = None
    if transaction.read_only:
        need = find_need(group, session, transaction.route, transaction.began_at)
        if need is not None:
            found = await open_at_reader(group, session, job, need)
    if found is None:
        found = await open_at_primary(group, session, job, BEGIN)
    transaction.pool, transaction.link = found


async def run_in_transaction(context: Context, session: Session, job: Job) -> Answer:
    """Run a statement or the commit of a caller's transaction."""
    transaction = session.transaction
    assert transaction is not None
    await begin_transaction(context, session, transaction, job)
    pool, pooled = transaction.pool, transaction.link
    assert pool is not None
    assert pooled is not None
    is_commit = job.query.kind is QueryKind.COMMIT
    try:
        answer = await _run_pinned(session, pool, pooled, job)
    except LinkLostError as error:
        drop_transaction(transaction)
        if is_commit and transaction.wrote:
            raise RefusedError(FailureCode.UNKNOWN_OUTCOME, str(error)) from None
        raise RefusedError(FailureCode.ROLLED_BACK, str(error)) from None
    if job.writes:
        transaction.wrote = True
    if not is_commit and answer.failure is not None:
        return _fail_transaction(context, transaction, answer)
    return answer


def _fail_transaction(
    context: Context, transaction: Transaction, answer: Answer
) -> Answer:
    # The commit was never sent: whatever the server did is rolled back.
    transaction.failed = True
    context.spawn(roll_back(transaction))
    return Answer(
        failure=FailureCode.ROLLED_BACK,
        detail=answer.failure.value if answer.failure else "",
        state=TransactionState.FAILED,
    )


async def _run_pinned(
    session: Session, pool: ServerPool, pooled: PooledLink, job: Job
) -> Answer:
    if job.shape is not None and job.shape.name not in pooled.prepared:
        prepare = Query(kind=QueryKind.PREPARE, name=job.shape.name, shape=job.shape)
        answers = await pool.run(pooled, [prepare], None, CONTROL_TIMEOUT_MS)
        if answers[0].failure is not None:
            return answers[0]
        pooled.prepared.add(job.shape.name)
    for attempt in range(ATTEMPTS):
        left = job.deadline_at - read_boot_ms()
        if left <= 0:
            raise LinkLostError("the timeout of the route was reached", sent=False)
        answers = await pool.run(pooled, [job.query], None, left)
        answer = answers[0]
        busy = answer.failure is FailureCode.OVERLOADED
        if not busy or answer.state is not TransactionState.OPEN:
            break
        await asyncio.sleep(OVERLOAD_PAUSE_S * (attempt + 1))
    return answer


def drop_transaction(transaction: Transaction) -> None:
    """Close the connection of a transaction, which rolls it back."""
    if transaction.pool is not None and transaction.link is not None:
        transaction.pool.release(transaction.link, clean=False)
    transaction.pool = None
    transaction.link = None
    transaction.failed = True


async def roll_back(transaction: Transaction) -> None:
    """Roll a transaction back and keep its connection if that succeeds."""
    pool, pooled = transaction.pool, transaction.link
    if pool is None or pooled is None:
        return
    transaction.pool = None
    transaction.link = None
    clean = False
    try:
        answers = await pool.run(pooled, [ROLLBACK], None, CONTROL_TIMEOUT_MS)
        clean = answers[0].failure is None and answers[0].state is TransactionState.IDLE
    except LinkLostError:
        clean = False
    finally:
        pool.release(pooled, clean=clean)
