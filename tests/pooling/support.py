"""Support for tests of one or more hosts in front of a model group."""

import asyncio
import os
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field, replace

from apricotshore.decisions.log_members import LogMembers
from apricotshore.decisions.placement import Distance
from apricotshore.decisions.relays import Fleet, ListedHost
from apricotshore.groups import LogPosition
from apricotshore.identifiers import (
    DatabaseId,
    DataCentreId,
    HostId,
    Position,
    RequestId,
    ServerId,
    StoreEra,
    StoreRevision,
    Term,
)
from apricotshore.pooling.autocommit import run_write
from apricotshore.pooling.change_lease import ChangeLease
from apricotshore.pooling.detours import Detours
from apricotshore.pooling.group import Group
from apricotshore.pooling.journal import EventKind, Journal
from apricotshore.pooling.ports import (
    ConnectionLostError,
    HostStoppedError,
    QuiesceReply,
    QuiesceRequest,
    StoreError,
)
from apricotshore.pooling.primary_changer import PrimaryChanger
from apricotshore.pooling.primary_prover import PrimaryProver
from apricotshore.pooling.prober import Prober
from apricotshore.pooling.sessions import Context, Job, RefusedError, Session
from apricotshore.pooling.write_barrier import WriteBarrier
from apricotshore.queries import Query, QueryKind
from apricotshore.routes import Configuration, Consistency, ListedServer, Route
from apricotshore.services.clock import read_boot_ms
from apricotshore.services.eras import EraTracker
from standins.in_memory import (
    GROUP,
    ModelConnection,
    ModelDialer,
    ModelGroup,
    ModelPlatform,
)

# Callers of each host that commit one write after another.
CALLERS_PER_HOST = 4
CALLER_PAUSE_S = 0.01
# Longer than the statements of any test, so that the route's timeout ends none.
COMMIT_TIMEOUT_MS = 5_000


def read(request: str = "r1") -> Query:
    return Query(kind=QueryKind.READ, request=RequestId(request), text="READ a")


def write(request: str = "w1") -> Query:
    return Query(kind=QueryKind.WRITE, request=RequestId(request), text="WRITE a b")


def log_position(term: int, position: int) -> LogPosition:
    return LogPosition(term=Term(term), position=Position(position))


def make_route(
    consistency: Consistency = Consistency.LATEST, staleness_ms: int = 0
) -> Route:
    return Route(
        database=DatabaseId("shop"),
        group=GROUP,
        consistency=consistency,
        staleness_ms=staleness_ms,
        timeout_ms=800,
        target_ms=400,
    )


def make_configuration(route: Route) -> Configuration:
    return Configuration(
        revision=StoreRevision(1), routes={route.database: route}, groups={}
    )


def make_journal() -> Journal:
    return Journal(host="h", descriptor=os.open(os.devnull, os.O_WRONLY))


def make_lease(platform: ModelPlatform, name: str) -> ChangeLease:
    eras = EraTracker()
    eras.accept(StoreEra(platform.era))
    return ChangeLease(
        group=GROUP,
        host=HostId(name),
        address="10.0.0.9:1",
        store=platform,
        eras=eras,
    )


@dataclass(kw_only=True)
class OtherHosts:
    """Dialer that reaches servers through other hosts, at whose addresses it dials."""

    group: ModelGroup

    async def dial(
        self, server: ListedServer, timeout_s: float, organisation=None
    ) -> ModelConnection:
        other = ModelDialer(group=self.group, host_name=server.address)
        return await other.dial(server, timeout_s, organisation)


@dataclass(kw_only=True)
class ModelPeers:
    """Client of the other hosts of a model, known by their names."""

    platform: ModelPlatform

    async def quiesce(
        self, host: ListedHost, request: QuiesceRequest, timeout_s: float
    ) -> QuiesceReply:
        """Have a host of the model quiesce a server."""
        await asyncio.sleep(0.001)
        if host.host in self.platform.ended_hosts:
            raise HostStoppedError("cannot connect", sent=False)
        handler = self.platform.quiesce_handlers.get(host.host)
        if handler is None:
            return QuiesceReply()
        try:
            async with asyncio.timeout(timeout_s):
                return await handler(request)
        except TimeoutError:
            raise ConnectionLostError("no confirmation", sent=True) from None

    async def has_ended(self, host: ListedHost, timeout_s: float) -> bool:
        """Return whether a host of the model refuses connections."""
        await asyncio.sleep(0.001)
        return host.host in self.platform.ended_hosts


@dataclass(kw_only=True)
class ModelHost:
    """A host in front of a model group."""

    name: HostId
    model: ModelGroup
    platform: ModelPlatform
    dialer: ModelDialer
    group: Group
    prober: Prober
    changer: PrimaryChanger
    eras: EraTracker
    fleet: Fleet

    @classmethod
    def make(
        cls,
        name: str,
        model: ModelGroup,
        platform: ModelPlatform,
        *,
        fenced: bool = True,
    ) -> "ModelHost":
        journal = make_journal()
        dialer = ModelDialer(group=model, host_name=name)
        group = Group(
            group=GROUP,
            dialer=dialer,
            locate=lambda data_centre: Distance.SAME_DATA_CENTRE,
            journal=journal,
        )
        if not fenced:
            group.prover = PrimaryProver(group=group)
        group.members = LogMembers()
        for server in model.servers.values():
            group.update_server(model.list(server))
        eras = EraTracker()
        eras.accept(StoreEra(platform.era))

        async def refresh_servers() -> None:
            for server in model.servers.values():
                if server.listed:
                    leaving = server.name in group.leaving
                    group.update_server(model.list(server, leaving=leaving))

        fleet = Fleet(local_host=HostId(name))

        async def refresh_hosts() -> None:
            if platform.down:
                raise StoreError("down")

        changer = PrimaryChanger(
            group=group,
            host=HostId(name),
            address="10.0.0.9:1",
            store=platform,
            promoter=platform,
            journal=journal,
            eras=eras,
            rank=lambda: 0,
            refresh_servers=refresh_servers,
            detours=Detours(
                direct=OtherHosts(group=model), fleet=fleet, journal=journal
            ),
            barrier=WriteBarrier(
                group=group,
                fleet=fleet,
                peers=ModelPeers(platform=platform),
                refresh_hosts=refresh_hosts,
            ),
        )
        platform.quiesce_handlers[name] = group.quiesce
        return cls(
            name=HostId(name),
            model=model,
            platform=platform,
            dialer=dialer,
            group=group,
            prober=Prober(group=group),
            changer=changer,
            eras=eras,
            fleet=fleet,
        )

    def add_other_host(self, address: str) -> None:
        """List another host, known by its address."""
        host = ListedHost(
            host=HostId(address), data_centre=DataCentreId("a"), address=address
        )
        self.fleet.hosts[host.host] = host

    def mark_leaving(self, server: str) -> None:
        """Report a server as leaving."""
        model = self.model.servers[ServerId(server)]
        self.group.update_server(self.model.list(model, leaving=True))

    def make_context(self, route: Route) -> Context:
        """Return a context that serves one route."""
        configuration = make_configuration(route)
        return Context(
            host=self.name,
            find_group=lambda name: self.group,
            configuration=lambda: configuration,
            journal=self.group.journal,
            spawn=lambda work: asyncio.get_running_loop().create_task(work),
        )


@asynccontextmanager
async def running(*hosts: ModelHost, short_promotions: int = 0) -> AsyncIterator[None]:
    """Run the probers and changers of hosts, whose tasks are to end by no error.

    Parameters
    ----------
    hosts
        The hosts.
    short_promotions
        Promotions that they order, on purpose, of servers whose logs lack known
        entries.
    """
    async with running_with_errors(*hosts, short_promotions=short_promotions) as errors:
        yield
    assert errors == [], errors


@asynccontextmanager
async def running_with_errors(
    *hosts: ModelHost, short_promotions: int = 0
) -> AsyncIterator[list[str]]:
    """Run the probers and changers of hosts; yield the errors that end their tasks."""
    services = [s for host in hosts for s in (host.prober, host.changer)]
    errors: list[str] = []
    for host in hosts:
        collect_errors(host.group.journal, errors)
    for service in services:
        await service.start()
    try:
        yield errors
    finally:
        for service in services:
            await service.stop()
    counted = sum(host.group.changes.short_promotions for host in hosts)
    assert counted == short_promotions, f"{counted} short promotions"


def collect_errors(journal: Journal, errors: list[str]) -> None:
    """Have a list get the errors that end a task, as they are recorded."""
    record = journal.record

    def collect(kind: EventKind, **details: object) -> None:
        if kind is EventKind.ERROR and "task" in details:
            errors.append(f"{details['task']}: {details['why']}")
        record(kind, **details)

    journal.record = collect


async def wait_until(condition, limit_s: float = 8.0) -> None:
    """Wait until a condition holds; raise `TimeoutError` if it does not in time."""
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)


@asynccontextmanager
async def writing(model: ModelGroup) -> AsyncIterator[list[str]]:
    """Keep writing at the primary; yield the list of acknowledged writes."""

    async def write_on() -> None:
        number = 0
        while True:
            number += 1
            primary = model.find_primary()
            if primary is not None and primary.up:
                work = asyncio.create_task(model.commit(primary, f"w{number}"))
                jobs.add(work)
                work.add_done_callback(jobs.discard)
            await asyncio.sleep(0.01)

    jobs: set[asyncio.Task[bool]] = set()
    task = asyncio.create_task(write_on())
    try:
        yield model.acknowledged
    finally:
        task.cancel()
        for job in list(jobs):
            job.cancel()


@dataclass(kw_only=True)
class Commits:
    """Writes of a group's callers.

    Parameters
    ----------
    model
        The group.
    told
        Writes that their callers were told to have succeeded.
    """

    model: ModelGroup
    told: list[str] = field(default_factory=list)

    def list_missing(self) -> list[str]:
        """Return the writes of which a caller was told that the primary lacks."""
        primary = self.model.find_primary()
        held = set() if primary is None else {text for _, _, text in primary.log}
        return [text for text in self.told if text not in held]


@asynccontextmanager
async def committing(
    model: ModelGroup,
    hosts: Sequence[ModelHost],
    *,
    callers: int = CALLERS_PER_HOST,
) -> AsyncIterator[Commits]:
    """Keep writing through hosts; yield what their callers were told.

    Every write goes over its host's connections, so that the host can end it.
    """
    route = replace(make_route(), timeout_ms=COMMIT_TIMEOUT_MS, target_ms=1_000)
    commits = Commits(model=model)

    async def commit_on(host: ModelHost, caller: int) -> None:
        context = host.make_context(route)
        session = Session(database=route.database)
        number = 0
        while True:
            number += 1
            text = f"{host.name}-c{caller}-w{number}"
            job = Job(
                query=write(text),
                shape=None,
                route=route,
                arrived_at=read_boot_ms(),
                writes=True,
            )
            with suppress(RefusedError):
                answer = await run_write(context, host.group, session, job)
                if answer.failure is None:
                    commits.told.append(text)
            await asyncio.sleep(CALLER_PAUSE_S)

    tasks = [
        asyncio.create_task(commit_on(host, caller))
        for host in hosts
        for caller in range(callers)
    ]
    try:
        yield commits
    finally:
        failed = [task for task in tasks if task.done()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for task in failed:
            task.result()
