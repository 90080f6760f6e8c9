"""In-memory model of the systems around a pooling host: servers, store, promotions.

A primary appends commits to its log and acknowledges one when a replica has
received it. Commands and promotions behave as the users describe their platform;
tests inject faults by setting attributes.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from random import Random

from apricotshore.decisions.relays import ListedHost
from apricotshore.groups import LogPosition, Role
from apricotshore.identifiers import (
    DataCentreId,
    FencingToken,
    GroupId,
    HostId,
    OrganisationId,
    Position,
    ServerId,
    StoreEra,
    StoreRevision,
    Term,
)
from apricotshore.pooling.listeners import Quiesce
from apricotshore.pooling.ports import (
    ConnectionLostError,
    ConnectionRejectedError,
    HistoryLostError,
    ServerStoppedError,
    StoreConflictError,
    StoreError,
)
from apricotshore.pooling.stored_objects import (
    Change,
    LeaseRead,
    LeaseRecord,
    LeaseWrite,
    Snapshot,
    StoredKind,
)
from apricotshore.queries import (
    Answer,
    FailureCode,
    Query,
    QueryKind,
    ServerReport,
    TransactionState,
)
from apricotshore.routes import ListedServer

GROUP = GroupId("ledger")
HANG_S = 60.0
SEED = 37
# Pause until a commit that waits for a replica is looked at again.
COMMIT_POLL_S = 0.002
Entry = tuple[int, int, str]
# What a commit that waits at a primary depends on there.
Lead = tuple[bool, bool, int, int, int]
Log = list[Entry]
_POSITION_KINDS = (QueryKind.BEGIN, QueryKind.BEGIN_READ, QueryKind.READ)
_COMMAND_KINDS = (
    QueryKind.STATUS,
    QueryKind.PAUSE,
    QueryKind.RESUME,
    QueryKind.STEP_DOWN,
)


class StopsReceiving(Enum):
    """Event from which the target of a promotion receives no more of the old log."""

    CALL = "call"
    ACCEPTANCE = "acceptance"
    EFFECT = "effect"


@dataclass(kw_only=True, eq=False)
class ModelServer:
    """Backend server of the model.

    Parameters
    ----------
    name
        Identifier of the server.
    log
        Entries received: term, number and what was written.
    applied
        Number of entries that reads at this server observe.
    is_primary
        Whether it takes itself for the primary.
    term
        Term that it has adopted.
    paused_term
        Term of the pause in force, 0 without one.
    up
        Whether it answers; connections and statements time out otherwise.
    has_ended
        Whether its process has ended, so that its machine refuses connections.
    partitioned
        Whether it receives no log entries from the primary.
    lag_s
        Delay from the receipt of an entry to its application.
    unreachable_by
        Names of the hosts that cannot reach it.
    mute
        Whether it runs statements but sends no answers.
    busy
        Whether it rejects statements as overloaded.
    refuses_commands
        Whether it rejects commands as overloaded, and nothing else.
    learns_after_s
        Time after the promotion of another server in which it goes on as before.
    listed
        Whether the store lists it.
    shown_term
        Term that its reports show while it doesn't show the one that it has adopted,
        None where they are the same.
    begins_late
        Whether it accepts BEGIN although another leads, as it hasn't learnt it yet.
    receive_s
        Delay from the writing of an entry until this server can receive it.
    running, commands
        Statements and commands that it runs.
    is_stopped
        Whether it receives nothing, as it is to become the primary.
    followed_term
        Term of the last promotion that it has learnt of.
    """

    name: ServerId
    log: list[Entry] = field(default_factory=list)
    applied: int = 0
    is_primary: bool = False
    term: int = 1
    paused_term: int = 0
    up: bool = True
    has_ended: bool = False
    partitioned: bool = False
    lag_s: float = 0.0
    mute: bool = False
    unreachable_by: set[str] = field(default_factory=set)
    busy: bool = False
    refuses_commands: bool = False
    learns_after_s: float = 0.0
    listed: bool = True
    shown_term: int | None = None
    begins_late: bool = False
    receive_s: float = 0.0
    running: int = 0
    commands: int = 0
    is_stopped: bool = False
    followed_term: int = 0
    connections: int = 0
    started_ms: int = 1
    # Wakes the commits that wait at it, None while none does.
    tick: asyncio.Event | None = field(default=None, compare=False, repr=False)

    @property
    def end(self) -> LogPosition:
        """Log position of the last entry received."""
        term, number, _ = self.log[-1] if self.log else (0, 0, "")
        return LogPosition(term=Term(term), position=Position(number))

    def get_applied_position(self) -> LogPosition:
        """Return the log position of the last entry applied."""
        term, number, _ = self.log[self.applied - 1] if self.applied else (0, 0, "")
        return LogPosition(term=Term(term), position=Position(number))


@dataclass(kw_only=True)
class ModelGroup:
    """Database group: its servers and the writes acknowledged and lost.

    Parameters
    ----------
    replaced_goes_on
        Whether a replaced primary goes on until it is told to step down.
    acknowledges_late
        Whether a primary that has stepped down goes on to send its log, and
        acknowledges a commit that waited for a replica.
    checks_terms
        Whether pauses and step-downs need a term above that of the server, and change
        nothing at a server in the other role.
    promotion_resumes
        Whether the effect of a promotion ends the pauses of all servers.
    acknowledges_until_learnt
        Whether a primary that has stepped down acknowledges until it learns of the
        effect, as with `acknowledges_late`, but past the effect. A replica follows the
        former primary until it learns of the effect.
    run_s
        How long a write runs before it is numbered and stored. One that has begun ends
        even if its server is told to step down meanwhile.
    counts_statements
        Whether reports name the writes in progress as `busy`, which is 0 otherwise.
    status_counts_itself
        Whether a STATUS counts itself as `busy`, too.
    slots
        Statements and commands that a server runs at once, None without a limit.
    command_delay_s
        Range of the time that a command takes, part of it before it is carried out.
    random
        Source of these times.
    stops_receiving
        From when on the target of a promotion receives no more.
    """

    replaced_goes_on: bool = False
    acknowledges_late: bool = False
    checks_terms: bool = False
    promotion_resumes: bool = False
    acknowledges_until_learnt: bool = False
    run_s: float = 0.0
    counts_statements: bool = False
    status_counts_itself: bool = True
    slots: int | None = None
    command_delay_s: tuple[float, float] = (0.0, 0.0)
    random: Random = field(default_factory=lambda: Random(SEED))
    stops_receiving: StopsReceiving = StopsReceiving.EFFECT
    # When each entry was written, in seconds of the loop's clock.
    written_at: dict[Entry, float] = field(default_factory=dict)
    servers: dict[ServerId, ModelServer] = field(default_factory=dict)
    term: int = 1
    acknowledged: list[str] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
    stale: list[str] = field(default_factory=list)
    promotions: list[tuple[ServerId, int]] = field(default_factory=list)
    limit: int = 20

    @classmethod
    def make(cls, count: int = 3, *, replaced_goes_on: bool = False) -> "ModelGroup":
        """Return a group of servers ``s1`` to ``sN`` with ``s1`` as the primary."""
        group = cls(replaced_goes_on=replaced_goes_on)
        for number in range(1, count + 1):
            name = ServerId(f"s{number}")
            group.servers[name] = ModelServer(name=name, is_primary=number == 1)
        return group

    def add_server(self, name: ServerId) -> ModelServer:
        """Start a replica with a copy of the primary's log, and return it."""
        primary = self.find_primary()
        log = list(primary.log) if primary is not None else []
        server = ModelServer(name=name, log=log, applied=len(log), term=self.term)
        server.followed_term = self.promotions[-1][1] if self.promotions else 0
        self.servers[name] = server
        return server

    def find_primary(self) -> ModelServer | None:
        """Return the primary of the highest term, None without one."""
        leaders = [s for s in self.servers.values() if s.is_primary]
        return max(leaders, key=lambda s: s.term, default=None)

    def list(self, server: ModelServer, *, leaving: bool = False) -> ListedServer:
        """Return a server as the store would list it."""
        names = list(self.servers)
        number = names.index(server.name) + 1 if server.name in names else 0
        return ListedServer(
            server=server.name,
            group=GROUP,
            address=f"10.0.0.{number}:1",
            data_centre=DataCentreId("braga-a"),
            slots=3,
            leaving=leaving,
            reports_primary=server.is_primary,
            started_ms=server.started_ms,
        )

    def is_full(self, server: ModelServer) -> bool:
        """Return whether a server has no slot for another statement or command."""
        taken = server.running + server.commands
        return self.slots is not None and taken >= self.slots

    def count_busy(self, server: ModelServer, kind: QueryKind) -> int:
        """Return the statements in progress that an answer to a command names."""
        if not self.counts_statements:
            return 0
        counts_itself = kind is QueryKind.STATUS and self.status_counts_itself
        return server.running + counts_itself

    async def delay_command(self) -> float:
        """Wait until a command is carried out; return the time left to its answer."""
        delay_s = self.random.uniform(*self.command_delay_s)
        if not delay_s:
            return 0.0
        before_s = self.random.uniform(0.0, delay_s)
        await asyncio.sleep(before_s)
        return delay_s - before_s

    async def commit(self, primary: ModelServer, text: str) -> bool:
        """Append an entry and return whether it was acknowledged."""
        if self.is_full(primary) or not primary.is_primary:
            return False
        primary.running += 1
        try:
            return await self._commit(primary, text)
        finally:
            primary.running -= 1

    async def _commit(self, primary: ModelServer, text: str) -> bool:
        entry_term, followed = primary.term, primary.followed_term
        if self.run_s:
            await asyncio.sleep(self.run_s)
            if not primary.up or primary.followed_term != followed:
                return False
        entry = (entry_term, len(primary.log) + 1, text)
        primary.log.append(entry)
        self.written_at[entry] = asyncio.get_running_loop().time()
        primary.applied = len(primary.log)
        term = self.term
        while primary.up and (
            primary.is_primary
            or (self.acknowledges_late and self.term == term)
            or (self.acknowledges_until_learnt and primary.followed_term == followed)
        ):
            if self._replicate(primary, entry):
                self.acknowledged.append(text)
                if self.acknowledges_until_learnt and self._is_replaced(entry):
                    self.lost.append(text)
                return True
            await self._wait_for_change(primary)
        return False

    async def _wait_for_change(self, primary: ModelServer) -> None:
        """Wait until a commit that waits at a primary is to be looked at again.

        All that wait there share one timer. It wakes nobody while no replica receives.
        """
        if primary.tick is None:
            primary.tick = asyncio.Event()
            self._schedule_tick(primary, self._describe_lead(primary))
        await primary.tick.wait()

    def _schedule_tick(self, primary: ModelServer, lead: Lead) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(COMMIT_POLL_S, self._tick, primary, lead)

    def _tick(self, primary: ModelServer, lead: Lead) -> None:
        is_same = self._describe_lead(primary) == lead
        if is_same and primary.running and not self._list_receivers(primary):
            self._schedule_tick(primary, lead)
        elif primary.tick is not None:
            primary.tick.set()
            primary.tick = None

    def _describe_lead(self, primary: ModelServer) -> Lead:
        """Describe what a commit that waits at a primary depends on there."""
        return (
            primary.up,
            primary.is_primary,
            primary.term,
            primary.followed_term,
            self.term,
        )

    def _is_replaced(self, entry: Entry) -> bool:
        """Return whether the server that was promoted last lacks an entry."""
        if not self.promotions:
            return False
        return entry not in self.servers[self.promotions[-1][0]].log

    def _replicate(self, primary: ModelServer, entry: Entry) -> bool:
        received = False
        for replica in self._list_receivers(primary):
            if entry not in replica.log:
                replica.log = self._list_received(primary, replica)
                if replica.lag_s:
                    loop = asyncio.get_running_loop()
                    loop.call_later(replica.lag_s, self._apply, replica)
                else:
                    self._apply(replica)
            received = received or entry in replica.log
        return received

    def _list_receivers(self, primary: ModelServer) -> Sequence[ModelServer]:
        """List the replicas that receive the log of a primary now."""
        return [r for r in self.servers.values() if self._receives(primary, r)]

    def _receives(self, primary: ModelServer, replica: ModelServer) -> bool:
        able = replica.up and not replica.partitioned and not replica.paused_term
        able = able and not replica.is_stopped
        if self.acknowledges_until_learnt:
            able = able and replica.followed_term == primary.followed_term
        follows = not replica.is_primary and replica.term <= primary.term
        return replica is not primary and able and follows

    def _list_received(self, primary: ModelServer, replica: ModelServer) -> Log:
        """Return what a replica has received of a primary's log by now."""
        if not replica.receive_s:
            return list(primary.log)
        latest = asyncio.get_running_loop().time() - replica.receive_s
        ready = [e for e in primary.log if self.written_at.get(e, 0.0) <= latest]
        return replica.log if len(ready) < len(replica.log) else ready

    def _apply(self, replica: ModelServer) -> None:
        replica.applied = len(replica.log)

    def promote(self, name: ServerId) -> None:
        """Make a server the primary of the next term.

        Acknowledged entries that its log lacks are recorded as lost, and the logs of
        the other servers are truncated to its own.
        """
        target = self.servers[name]
        if target.is_primary or not target.up:
            return
        self.term += 1
        self.promotions.append((name, self.term))
        others = [s for s in self.servers.values() if s is not target]
        late = [s for s in others if s.learns_after_s]
        for server in self.servers.values():
            goes_on = self.replaced_goes_on and server.is_primary
            if not goes_on and server not in late:
                server.is_primary = False
                server.term = self.term
                server.followed_term = self.term
        target.is_primary = True
        target.followed_term = self.term
        target.is_stopped = False
        target.paused_term = 0
        if self.promotion_resumes:
            for server in self.servers.values():
                server.paused_term = 0
        target.applied = len(target.log)
        held = {text for _, _, text in target.log}
        self.lost += [text for text in self.acknowledged if text not in held]
        for server in self.servers.values():
            if not server.is_primary and server not in late:
                self._roll_back(server, target)
        for server in late:
            asyncio.get_running_loop().call_later(
                server.learns_after_s, self._learn, server, target, self.term
            )

    def _roll_back(self, server: ModelServer, target: ModelServer) -> None:
        if server.log[: len(target.log)] != target.log:
            server.log = server.log[: len(target.log)]
            server.applied = min(server.applied, len(server.log))

    def _learn(self, server: ModelServer, target: ModelServer, term: int) -> None:
        """Have a server learn of a promotion that took effect before."""
        if self.term != term or (self.replaced_goes_on and server.is_primary):
            return
        server.is_primary = False
        server.term = term
        server.followed_term = term
        kept = [entry for entry in server.log if entry in target.log]
        gone = {text for _, _, text in server.log} - {text for _, _, text in kept}
        self.lost += [
            text for text in self.acknowledged if text in gone and text not in self.lost
        ]
        server.log, server.applied = kept, min(server.applied, len(kept))


class ModelConnection:
    """Connection to a server of the model."""

    def __init__(
        self,
        *,
        group: ModelGroup,
        server: ModelServer,
        host_name: str,
        organisation: OrganisationId | None = None,
    ) -> None:
        self.organisation = organisation
        self.group = group
        self.server = server
        self.host_name = host_name
        self.state = TransactionState.IDLE
        self.plain = False
        self.pending: list[str] = []
        self.values: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.received: list[tuple[Query, dict[str, str]]] = []
        self.open = True
        self.work: asyncio.Task[list[Answer]] | None = None
        server.connections += 1

    @property
    def usable(self) -> bool:
        """Whether the connection is open."""
        return self.open

    def close(self) -> None:
        """Close the connection; statements without an answer are rolled back."""
        if self.open:
            self.open = False
            self.server.connections -= 1
            if self.work is not None:
                self.work.cancel()

    def abandon(self) -> None:
        """Reset the connection."""
        self.close()

    async def run(
        self, queries: Sequence[Query], after: LogPosition | None, timeout_s: float
    ) -> list[Answer]:
        """Run statements in order and return their answers."""
        if not self.open:
            raise ConnectionLostError("broken: closed", sent=True)
        self.work = asyncio.create_task(self._run_all(queries, after))
        try:
            async with asyncio.timeout(timeout_s):
                return await self.work
        except TimeoutError:
            self.close()
            raise ConnectionLostError("no answer in time", sent=True) from None
        except asyncio.CancelledError:
            # Either the caller is cancelled, or the connection was closed meanwhile.
            caller = asyncio.current_task()
            if self.open or (caller is not None and caller.cancelling()):
                raise
            raise ConnectionLostError("broken: closed", sent=True) from None
        finally:
            self.work = None

    async def _run_all(
        self, queries: Sequence[Query], after: LogPosition | None
    ) -> list[Answer]:
        await asyncio.sleep(0.001)
        if not self.server.up or self.host_name in self.server.unreachable_by:
            await asyncio.sleep(HANG_S)
        answers = [await self._run(query, after) for query in queries]
        if self.server.mute:
            await asyncio.sleep(HANG_S)
        return answers

    async def _run(self, query: Query, after: LogPosition | None) -> Answer:
        self.received.append((query, dict(self.values)))
        if self.group.is_full(self.server):
            return self._describe(query, FailureCode.OVERLOADED)
        if query.kind not in _COMMAND_KINDS:
            return self._describe(query, await self._execute(query, after))
        self.server.commands += 1
        try:
            left_s = await self.group.delay_command()
            answer = self._describe(query, await self._execute(query, after))
            if left_s:
                await asyncio.sleep(left_s)
            return answer
        finally:
            self.server.commands -= 1

    def _describe(self, query: Query, failure: FailureCode | None) -> Answer:
        """Return the answer to a statement that succeeded or failed by now."""
        server = self.server
        rows = ("row",) if query.kind is QueryKind.READ and failure is None else ()
        report = None
        if query.kind in _COMMAND_KINDS and failure is None:
            report = ServerReport(
                role=Role.PRIMARY if server.is_primary else Role.REPLICA,
                term=Term(
                    server.term if server.shown_term is None else server.shown_term
                ),
                received=server.end,
                paused_term=Term(server.paused_term),
                busy=self.group.count_busy(server, query.kind),
            )
            end = f"{server.end.term}.{server.end.position}"
            role = "primary" if server.is_primary else "replica"
            rows = (f"{role} {server.term} {end} {server.paused_term} 0 0 0",)
        return Answer(
            rows=rows,
            receipt=f"r.{server.name}" if failure is None else "",
            failure=failure,
            state=self.state,
            log_position=server.get_applied_position(),
            report=report,
        )

    async def _execute(
        self, query: Query, after: LogPosition | None
    ) -> FailureCode | None:
        kind = query.kind
        if self.server.busy or (
            self.server.refuses_commands and kind in _COMMAND_KINDS
        ):
            return FailureCode.OVERLOADED
        if self.state is TransactionState.FAILED and kind is not QueryKind.ROLLBACK:
            return FailureCode.MALFORMED
        if kind in _POSITION_KINDS and after is not None:
            seen = self.server.get_applied_position()
            if (seen.term, seen.position) < (after.term, after.position):
                return FailureCode.BEHIND
        if kind in (QueryKind.WRITE, QueryKind.EXECUTE):
            return await self._write(query)
        if kind is QueryKind.COMMIT:
            return await self._commit()
        if kind is QueryKind.READ:
            return self._read(self.server)
        if kind in _COMMAND_KINDS:
            self._run_command(query)
            return None
        return self._change_session(query)

    def _run_command(self, query: Query) -> None:
        if self.group.checks_terms and self._is_void(query):
            return
        if query.kind is QueryKind.PAUSE:
            self.server.paused_term = int(query.term)
        elif query.kind is QueryKind.RESUME:
            self.server.paused_term = 0
        elif query.kind is QueryKind.STEP_DOWN and query.term > self.server.term:
            self.server.is_primary = False
            self.server.term = int(query.term)

    def _is_void(self, query: Query) -> bool:
        """Return whether a server that checks terms leaves a command without effect."""
        server = self.server
        if query.kind is QueryKind.PAUSE:
            return server.is_primary or query.term <= server.term
        if query.kind is QueryKind.STEP_DOWN:
            return not server.is_primary or query.term <= server.term
        return False

    def _change_session(self, query: Query) -> FailureCode | None:
        kind = query.kind
        leads = self.server.is_primary or self.server.begins_late
        if kind is QueryKind.BEGIN and not leads:
            return FailureCode.NOT_PRIMARY
        if kind in (QueryKind.BEGIN, QueryKind.BEGIN_READ):
            self.state = TransactionState.OPEN
            self.plain = kind is QueryKind.BEGIN
        elif kind is QueryKind.ROLLBACK:
            self.state, self.pending = TransactionState.IDLE, []
        elif kind is QueryKind.SET:
            self.values[query.name] = query.value
        elif kind is QueryKind.RESET:
            self.values.clear()
            self.prepared.clear()
        elif kind is QueryKind.PREPARE:
            self.prepared.add(query.name)
        return None

    def _read(self, server: ModelServer) -> FailureCode | None:
        in_plain = self.state is TransactionState.OPEN and self.plain
        if in_plain and not server.is_primary:
            self.state = TransactionState.FAILED
            return FailureCode.NOT_PRIMARY
        return None

    async def _write(self, query: Query) -> FailureCode | None:
        if query.kind is QueryKind.EXECUTE and query.name not in self.prepared:
            return FailureCode.NOT_PREPARED
        if not self.server.is_primary:
            return FailureCode.NOT_PRIMARY
        if self.state is TransactionState.OPEN:
            self.pending.append(query.request)
            return None
        done = await self.group.commit(self.server, query.request)
        return None if done else FailureCode.NOT_PRIMARY

    async def _commit(self) -> FailureCode | None:
        pending, self.pending = self.pending, []
        self.state = TransactionState.IDLE
        if not pending:
            return None
        if not self.server.is_primary:
            return FailureCode.NOT_PRIMARY
        done = await self.group.commit(self.server, "+".join(pending))
        return None if done else FailureCode.NOT_PRIMARY


@dataclass(kw_only=True)
class ModelDialer:
    """Factory of a host's connections to the servers of a model."""

    group: ModelGroup
    host_name: str
    links: list[ModelConnection] = field(default_factory=list)

    async def dial(
        self,
        server: ListedServer,
        timeout_s: float,
        organisation: OrganisationId | None = None,
    ) -> ModelConnection:
        """Connect to a server, subject to its faults and the connection limit."""
        model = self.group.servers[server.server]
        await asyncio.sleep(0.001)
        if model.has_ended:
            raise ServerStoppedError("cannot connect", sent=False)
        if not model.up or self.host_name in model.unreachable_by:
            await asyncio.sleep(timeout_s)
            raise ConnectionLostError("cannot connect", sent=False)
        if model.connections >= self.group.limit:
            raise ConnectionRejectedError(FailureCode.TOO_MANY_CONNECTIONS)
        link = ModelConnection(
            group=self.group,
            server=model,
            host_name=self.host_name,
            organisation=organisation,
        )
        self.links.append(link)
        return link


@dataclass(kw_only=True)
class ModelPlatform:
    """Store and promotion API of the model, shared by all hosts.

    Parameters
    ----------
    group
        Group whose servers are promoted.
    promote_s
        Time from the acceptance of a promotion to its effect.
    call_s
        Time from a call to its acceptance.
    down
        Whether every call fails.
    quiesce_handlers
        What each host does when another asks it to quiesce a server.
    ended_hosts
        Hosts whose process has ended, so that they refuse connections.
    unanswered_delay_s
        If not 0, promotions get no answer and are accepted after this delay,
        provided that no promotion with a higher token was accepted by then.
    promotes_stepped_down
        Whether a primary that has stepped down is promoted like any other. Otherwise it
        is the present primary until another server is promoted, and an accepted
        promotion of it changes nothing.
    """

    group: ModelGroup
    promote_s: float = 0.05
    call_s: float = 0.0
    down: bool = False
    unanswered_delay_s: float = 0.0
    promotes_stepped_down: bool = True
    revision: int = 10
    era: int = 1
    leases: dict[tuple[GroupId, StoreEra], LeaseRecord] = field(default_factory=dict)
    tokens: dict[GroupId, int] = field(default_factory=dict)
    orders: list[tuple[HostId, ServerId, int]] = field(default_factory=list)
    hosts: dict[HostId, ListedHost] = field(default_factory=dict)
    quiesce_handlers: dict[str, Quiesce] = field(default_factory=dict)
    ended_hosts: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Write the lease of an earlier change of primary that has ended."""
        self.leases[GROUP, StoreEra(self.era)] = LeaseRecord(
            group=GROUP,
            era=StoreEra(self.era),
            revision=StoreRevision(self.revision),
            holder="",
            open=False,
        )

    def _check(self) -> None:
        if self.down:
            raise StoreError("down")

    async def list(self, kind: StoredKind, *, stale: bool = False) -> Snapshot:
        """List the hosts; tests fill the store watcher themselves."""
        self._check()
        hosts = self.hosts.values() if kind is StoredKind.HOST else ()
        return Snapshot(
            changes=tuple(Change(name=h.host, content=h, removed=False) for h in hosts),
            revision=StoreRevision(self.revision),
            era=StoreEra(self.era),
        )

    def restore(self, revision: int = 10) -> None:
        """Come back from a copy that holds nothing that hosts wrote.

        Promotions and the tokens that were accepted are not part of the store.
        """
        self.era += 1
        self.revision = revision
        self.hosts.clear()
        self.leases.clear()

    async def watch(
        self, kind: StoredKind, revision: StoreRevision, wait_ms: int
    ) -> Snapshot:
        """Raise: the model keeps no history of changes."""
        raise HistoryLostError("no history")

    async def read_lease(self, group: GroupId, era: StoreEra) -> LeaseRead:
        """Return an era's lease on a group's change of primary."""
        self._check()
        record = self.leases.get((group, era))
        return LeaseRead(era=StoreEra(self.era), record=record)

    async def write_lease(self, record: LeaseRecord) -> LeaseWrite:
        """Write a lease if the stored one is at the record's revision.

        A write that changes nothing does not increase the revision.
        """
        self._check()
        old = self.leases.get((record.group, record.era))
        if (old.revision if old else 0) != record.revision:
            raise StoreConflictError("another revision")
        if record == old:
            return LeaseWrite(era=StoreEra(self.era), record=old)
        self.revision += 1
        written = replace(record, revision=StoreRevision(self.revision))
        self.leases[record.group, record.era] = written
        return LeaseWrite(era=StoreEra(self.era), record=written)

    async def remove_lease(self, group: GroupId, era: StoreEra) -> None:
        """Remove an era's lease if there is one."""
        self._check()
        self.leases.pop((group, era), None)

    async def write_host(self, host: ListedHost) -> StoreEra:
        """Create or replace the entry of a host."""
        self._check()
        self.hosts[host.host] = host
        return StoreEra(self.era)

    async def remove_host(self, host: HostId) -> StoreEra:
        """Remove the entry of a host if there is one."""
        self._check()
        self.hosts.pop(host, None)
        return StoreEra(self.era)

    async def promote(
        self, group: GroupId, server: ServerId, holder: HostId, token: FencingToken
    ) -> bool:
        """Record a promotion and accept it, at once or after the set delay."""
        self._check()
        self.orders.append((holder, server, token))
        target = self.group.servers[server]
        if self.group.stops_receiving is StopsReceiving.CALL and not target.is_primary:
            target.is_stopped = True
        if self.call_s:
            await asyncio.sleep(self.call_s)
        loop = asyncio.get_running_loop()
        if self.unanswered_delay_s and not self.group.servers[server].is_primary:
            loop.call_later(
                self.unanswered_delay_s,
                self._accept_promotion,
                group,
                server,
                token,
                self.promote_s,
            )
            raise StoreError("no answer")
        return self._accept_promotion(group, server, token, self.promote_s)

    def _accept_promotion(
        self, group: GroupId, server: ServerId, token: int, delay_s: float
    ) -> bool:
        target = self.group.servers[server]
        if token < self.tokens.get(group, 0) or not target.up:
            target.is_stopped = False
            return False
        self.tokens[group] = token
        if not target.is_primary and not self._is_present(server):
            is_late = self.group.stops_receiving is StopsReceiving.EFFECT
            target.is_stopped = not is_late
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self.group.promote, server)
        return True

    def _is_present(self, server: ServerId) -> bool:
        """Return whether a stepped-down server is taken for the present primary."""
        if self.promotes_stepped_down:
            return False
        promotions = self.group.promotions
        present = promotions[-1][0] if promotions else next(iter(self.group.servers))
        return server == present
