"""Rounds of questions that prove a group's primary, shared by all who need one."""

import asyncio
from dataclasses import dataclass, replace

from ..decisions import leadership, placement, primary_proof
from ..decisions.change_members import MemberStatus, read_status
from ..decisions.primary_proof import Finding, PrimaryProof, ProbeResult, Round
from ..groups import LogPosition, Role
from ..identifiers import ServerId, Term
from ..queries import FailureCode, Query, QueryKind, TransactionState
from ..services.clock import read_boot_ms
from .group import Group
from .journal import EventKind
from .pool import ServerPool
from .pooled_connection import NoConnectionError, PooledConnection
from .ports import ConnectionLostError
from .preparation import BEGIN, ROLLBACK

TIMEOUT_MS = 450
# A round doesn't wait longer for the others: a new connection and one question to
# another region.
OTHERS_WAIT_MS = 200
STATUS_TIMEOUT_MS = 200
PRIORITY = -1


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Reply of a server to a transaction that only the primary begins.

    Parameters
    ----------
    result
        What the reply shows.
    log_position
        End of the server's log if it is the primary.
    asked_at
        When it was asked, in milliseconds since boot.
    term
        Term that its status named after that, None if it wasn't read.
    """

    result: ProbeResult
    log_position: LogPosition | None = None
    asked_at: int = 0
    term: Term | None = None


async def ask_for_primary(group: Group, pool: ServerPool) -> Reply:
    """Ask a server whether it is the primary, by beginning a transaction.

    One that isn't known as the primary is asked for its term as well. Where rounds of
    questions prove the primary, they do that, as the answers of a round are awaited.
    """
    server = pool.server.server
    queries = [BEGIN, ROLLBACK] if server == group.primary else [BEGIN]
    wants_term = group.prover is None and leadership.needs_status(
        group.primary_state, server
    )
    asked_at = read_boot_ms()
    try:
        pooled = await pool.acquire({}, PRIORITY, asked_at + TIMEOUT_MS, takes_any=True)
        asked_at = read_boot_ms()
        reply = await _begin(pool, pooled, queries, asked_at, wants_term)
    except NoConnectionError:
        return Reply(result=ProbeResult.UNKNOWN)
    except ConnectionLostError:
        placement.observe_silence(pool.load, read_boot_ms())
        group.observe_silence(server, asked_at)
        return Reply(result=ProbeResult.NO_ANSWER)
    if reply.result is ProbeResult.NOT_PRIMARY:
        group.observe_denial(server, asked_at)
    return reply


async def _begin(
    pool: ServerPool,
    pooled: PooledConnection,
    queries: list[Query],
    asked_at: int,
    wants_term: bool,
) -> Reply:
    clean = False
    try:
        answers = await pool.run(pooled, queries, None, TIMEOUT_MS)
        began, state = answers[0], answers[-1].state
        reply = Reply(result=ProbeResult.UNKNOWN)
        if began.failure is None and began.log_position is not None:
            reply = Reply(
                result=ProbeResult.PRIMARY,
                log_position=began.log_position,
                asked_at=asked_at,
            )
            if wants_term:
                rollback = [ROLLBACK] if state is not TransactionState.IDLE else []
                reply, state = await _read_term(pool, pooled, rollback, reply)
        elif began.failure is FailureCode.NOT_PRIMARY:
            reply = Reply(result=ProbeResult.NOT_PRIMARY)
        # A transaction that was not rolled back ends with its connection.
        clean = state is TransactionState.IDLE
    finally:
        pool.release(pooled, clean=clean)
    return reply


async def _read_term(
    pool: ServerPool, pooled: PooledConnection, rollback: list[Query], reply: Reply
) -> tuple[Reply, TransactionState | None]:
    """Read the term of a server that began a transaction; return how it is left.

    One that refuses that, or gives no answer, is the primary of an unknown term.
    """
    queries = [*rollback, Query(kind=QueryKind.STATUS)]
    try:
        answers = await pool.run(pooled, queries, None, STATUS_TIMEOUT_MS)
    except ConnectionLostError:
        return reply, None
    state, report = answers[-1].state, answers[-1].report
    if report is None:
        return reply, state
    if report.role is not Role.PRIMARY:
        return Reply(result=ProbeResult.NOT_PRIMARY), state
    return replace(reply, term=report.term), state


def is_answer(result: ProbeResult) -> bool:
    """Return whether a server said whether it is the primary."""
    return result in (ProbeResult.PRIMARY, ProbeResult.NOT_PRIMARY)


async def probe_server(group: Group, pool: ServerPool) -> ProbeResult:
    """Ask a server whether it is the primary, and record what that shows."""
    reply = await ask_for_primary(group, pool)
    if reply.log_position is None or group.observe_begin(
        pool.server.server, reply.log_position, reply.asked_at, reply.term
    ):
        return reply.result
    return ProbeResult.UNKNOWN if reply.term is None else ProbeResult.NOT_PRIMARY


async def _skip() -> Reply:
    return Reply(result=ProbeResult.UNKNOWN)


class PrimaryProver:
    """Prover of one group's primary on platforms that let a replaced one answer.

    Parameters
    ----------
    group
        The group.
    """

    def __init__(self, *, group: Group) -> None:
        self.group = group
        self.round: asyncio.Task[None] | None = None
        self.round_began_at = 0
        self.sample_wanted = False
        self.heard_all = False
        self.has_answers = False
        self.is_proven = False
        self.asking: dict[ServerId, asyncio.Task[Reply]] = {}

    async def prove(self, since: int) -> ServerId | None:
        """Return the server that was primary at ``since`` if it accepts a transaction.

        The server that is taken for the primary is asked only if it is silent: whoever
        needs the proof begins a transaction there. Rounds that began later than
        ``since`` are joined, others are waited for.

        Returns
        -------
        ServerId or None
            None when the others' answers leave another primary possible.
        """
        return await self._prove(since)

    async def sample(self) -> ServerId | None:
        """Ask all servers; return the proven primary, None without one.

        Its log position is added to the group's history.
        """
        self.sample_wanted = True
        return await self._prove(read_boot_ms())

    async def _prove(self, since: int) -> ServerId | None:
        began_at = -1
        while began_at <= since:
            if self.round is None or self.round.done():
                self.round_began_at = max(read_boot_ms(), since + 1)
                self.round = asyncio.create_task(self._run_round())
            began_at = self.round_began_at
            await asyncio.shield(self.round)
        proof = self.group.proof
        is_proven = proof is not None and proof.asked_at > since
        return proof.server if proof is not None and is_proven else None

    async def _run_round(self) -> None:
        began_at = self.round_began_at
        state = self.group.primary_state
        is_silent = state.silent_since is not None
        ask_primary = self.sample_wanted or is_silent
        self.sample_wanted = False
        replies = await self._ask_all(ask_primary)
        round_ = Round(
            results={s: reply.result for s, reply in replies.items()},
            known_term=state.term,
        )
        self.heard_all = ProbeResult.UNKNOWN not in round_.results.values()
        self.has_answers = any(map(is_answer, round_.results.values()))
        unsettled = primary_proof.list_unsettled(round_)
        if unsettled:
            found = await asyncio.gather(*map(self._read_status, unsettled))
            round_.statuses = {
                s: status
                for s, status in zip(unsettled, found, strict=True)
                if status is not None
            }
        finding = primary_proof.judge(round_)
        self._record_change(round_, finding)
        if finding.primary is not None:
            reply = replies[finding.primary]
            if await self._observe_primary(round_, finding.primary, reply):
                self._apply(finding, reply, began_at)
        for server in finding.replaced:
            await self._step_down(server, finding.term)

    def _record_change(self, round_: Round, finding: Finding) -> None:
        if finding.proven == self.is_proven:
            return
        self.is_proven = finding.proven
        self.group.journal.record(
            EventKind.PRIMARY_PROOF,
            group=self.group.group,
            server=finding.primary,
            proven=finding.proven,
            answers={s: result.value for s, result in round_.results.items()},
            statuses=sorted(round_.statuses),
        )

    async def _ask_all(self, ask_primary: bool) -> dict[ServerId, Reply]:
        """Ask the servers; those that take too long count as not heard."""
        primary = self.group.primary
        replies: dict[ServerId, Reply] = {}
        tasks: dict[ServerId, asyncio.Task[Reply]] = {}
        for server in self.group.servers:
            if server == primary and not ask_primary:
                replies[server] = Reply(result=ProbeResult.PRIMARY)
            elif server == primary or not self._is_silent(server):
                tasks[server] = self._start_asking(server)
            else:
                replies[server] = Reply(result=ProbeResult.NO_ANSWER)
        if tasks:
            await asyncio.wait(tasks.values(), timeout=OTHERS_WAIT_MS / 1000)
        if primary in tasks and not self._is_silent(primary):
            await asyncio.wait({tasks[primary]})
        for server, task in tasks.items():
            unheard = Reply(result=ProbeResult.UNKNOWN)
            replies[server] = task.result() if task.done() else unheard
        return replies

    def _is_silent(self, server: ServerId) -> bool:
        pool = self.group.pools.get(server)
        return pool is None or pool.load.silent_until > read_boot_ms()

    def _start_asking(self, server: ServerId) -> asyncio.Task[Reply]:
        """Return the question to a server; one that it hasn't answered is too old."""
        asking = self.asking.get(server)
        if asking is not None and not asking.done():
            return asyncio.create_task(_skip())
        task = asyncio.create_task(self._ask(server))
        self.asking[server] = task
        return task

    async def _ask(self, server: ServerId) -> Reply:
        pool = self.group.pools.get(server)
        if pool is None:
            return Reply(result=ProbeResult.NO_ANSWER)
        return await ask_for_primary(self.group, pool)

    async def _observe_primary(
        self, round_: Round, primary: ServerId, reply: Reply
    ) -> bool:
        """Record the primary that a round shows; return False if more is known."""
        group, log_position = self.group, reply.log_position
        if log_position is None:
            return True
        status, asked_at = round_.statuses.get(primary), reply.asked_at
        if status is None and leadership.needs_status(group.primary_state, primary):
            asked_at = read_boot_ms()
            status = await self._read_status(primary)
        if status is not None and not status.is_primary:
            group.observe_denial(primary, asked_at)
            return False
        term = None if status is None else status.term
        return group.observe_primary(primary, log_position.term, reply.asked_at, term)

    def _apply(self, finding: Finding, reply: Reply, began_at: int) -> None:
        group, primary = self.group, finding.primary
        assert primary is not None
        if not finding.proven or group.primary != primary:
            return
        group.proof = PrimaryProof(server=primary, asked_at=began_at)
        if reply.log_position is not None:
            group.observe_position(reply.log_position, began_at)

    async def _read_status(self, server: ServerId) -> MemberStatus | None:
        return await self._command(server, Query(kind=QueryKind.STATUS))

    async def _step_down(self, server: ServerId, term: Term) -> None:
        """Make a replaced primary a replica; it refuses if its term is not lower."""
        status = await self._command(server, Query(kind=QueryKind.STEP_DOWN, term=term))
        self.group.journal.record(
            EventKind.PRIMARY_REPLACED,
            group=self.group.group,
            server=server,
            term=term,
            stepped_down=status is not None and not status.is_primary,
        )

    async def _command(self, server: ServerId, query: Query) -> MemberStatus | None:
        pool = self.group.pools.get(server)
        if pool is None:
            return None
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_MS / 1000):
                answer = await pool.run_alone(query, PRIORITY, STATUS_TIMEOUT_MS)
        except (NoConnectionError, ConnectionLostError, TimeoutError):
            # A server without a status proves nothing; the next round asks again.
            return None
        return None if answer.report is None else read_status(answer.report)
