"""Support for tests of a host with callers of several organisations."""

import asyncio
from dataclasses import replace

from aioprometheus import Registry

from apricotshore import shutdown
from apricotshore.identifiers import (
    DatabaseId,
    OrganisationId,
    RequestId,
    StoreRevision,
)
from apricotshore.organisations import Admission, digest_key
from apricotshore.pooling.callers import Callers
from apricotshore.pooling.journal import Journal
from apricotshore.pooling.metrics import PoolingMetrics
from apricotshore.queries import Query, QueryKind
from apricotshore.routes import Configuration, Organisation
from standins.in_memory import ModelGroup, ModelPlatform

from .support import ModelHost, make_route
from .test_caller_session import FakeCaller

SHOP = DatabaseId("shop")
HELP = DatabaseId("help")


class Loaded:
    """Readiness of a host that has read the store."""

    async def wait_until_loaded(self) -> bool:
        return True


def make_keys(*organisations: tuple[str, ...]) -> Configuration:
    """Return a configuration with organisations, each as its name and its keys."""
    listed = [
        Organisation(
            organisation=OrganisationId(name),
            keys=frozenset(digest_key(key) for key in keys),
        )
        for name, *keys in organisations
    ]
    return Configuration(
        revision=StoreRevision(1),
        routes={
            SHOP: make_route(),
            HELP: replace(make_route(), database=HELP, public=True),
        },
        idle_transaction_ms=400,
        organisations={o.organisation: o for o in listed},
    )


class OrganisationsBed:
    """A host with its model group and callers of organisations."""

    def __init__(self, *organisations: tuple[str, ...]) -> None:
        self.model = ModelGroup.make()
        self.host = ModelHost.make("h", self.model, ModelPlatform(group=self.model))
        self.host.group.primary_state.primary = "s1"
        self.configuration = make_keys(*organisations)
        context = self.host.make_context(make_route())
        context.configuration = lambda: self.configuration
        self.callers = Callers(
            context=context,
            readiness=Loaded(),
            drain=shutdown.Drain(grace_ms=6_000),
            metrics=PoolingMetrics(registry=Registry()),
        )
        self.callers.apply(self.configuration)
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def pool(self):
        return self.host.group.pools["s1"]

    def log_to(self, descriptor: int) -> None:
        journal = Journal(host="h", descriptor=descriptor)
        self.callers.context.journal = self.host.group.journal = journal

    def apply(self, *organisations: tuple[str, ...]) -> None:
        """Put another configuration in force."""
        self.configuration = make_keys(*organisations)
        self.callers.apply(self.configuration)

    async def open(self, key: str, database: DatabaseId = SHOP) -> FakeCaller:
        """Open a session with a key, which has to be admitted."""
        admission = await self.callers.admit(database, digest_key(key))
        assert isinstance(admission, Admission)
        caller = FakeCaller()
        self.tasks.append(asyncio.create_task(self.callers.serve(admission, caller)))
        await asyncio.sleep(0)
        return caller

    def find_links(self, request: str):
        """List the connections that a request ran on."""
        return [
            link
            for link in self.host.dialer.links
            for query, _ in link.received
            if query.request == request
        ]


def begin() -> Query:
    return Query(kind=QueryKind.BEGIN, request=RequestId("b"), text="BEGIN")


def end(kind: QueryKind) -> Query:
    return Query(kind=kind, request=RequestId("end"), text=kind.name)
