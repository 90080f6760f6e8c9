"""Model of a store, hosts and links, for the freshness of the configuration."""

import asyncio
import random
from dataclasses import dataclass, field, replace

from apricotshore.decisions.relays import Fleet, ListedHost
from apricotshore.freshness.bounds import Bounds, derive_bounds
from apricotshore.identifiers import (
    DataCentreId,
    HostId,
    KeyDigest,
    OrganisationId,
    StoreEra,
    StoreRevision,
)
from apricotshore.pooling import (
    configuration_entry,
    freshness,
    freshness_asker,
    server_entries,
    vouching,
)
from apricotshore.pooling import store_watcher as store_watchers
from apricotshore.pooling.freshness import Freshness
from apricotshore.pooling.freshness_asker import FreshnessAsker
from apricotshore.pooling.ports import (
    ConnectionLostError,
    HistoryLostError,
    StoreError,
)
from apricotshore.pooling.settings import parse_pooling_settings
from apricotshore.pooling.store_watcher import StoreWatcher
from apricotshore.pooling.stored_objects import Change, Snapshot, StoredKind
from apricotshore.pooling.vouching import Vouching
from apricotshore.routes import Configuration, Organisation
from apricotshore.services import eras as era_trackers
from apricotshore.services.eras import EraTracker
from standins.in_memory import ModelGroup
from tests.test_pooling_settings import GOOD

from .support import make_journal

MODULES = (
    configuration_entry,
    freshness,
    freshness_asker,
    server_entries,
    store_watchers,
    era_trackers,
    vouching,
)
REVOKE_MS = 5_000
APPLY_MS = 5_000
LEAVE_MS = 10_000
WINDOW_MS = 5_000
CALL_TIMEOUT_S = 0.8
WATCH_MARGIN_S = 0.5
# A store that forgets its history answers watches from an outdated copy this long.
MISSED_S = 1.3
BOUNDS = derive_bounds(REVOKE_MS, APPLY_MS, LEAVE_MS, WINDOW_MS)


def make_content(version: int, keys: frozenset[str], revision: int) -> Configuration:
    organisation = Organisation(
        organisation=OrganisationId("o"), keys=frozenset(map(KeyDigest, keys))
    )
    return Configuration(
        revision=StoreRevision(revision),
        version=version,
        organisations={organisation.organisation: organisation},
    )


@dataclass(frozen=True, kw_only=True)
class Entry:
    """A write to the store."""

    at: float
    kind: StoredKind
    change: Change
    revision: int


@dataclass(kw_only=True)
class ModelStore:
    """A linearizable store, whose watches may miss changes before they go silent."""

    era: int = 1
    revision: int = 0
    down: bool = False
    log: list[Entry] = field(default_factory=list)
    objects: dict[tuple[StoredKind, str], Change] = field(default_factory=dict)
    # Since when watches are answered from an outdated copy; None if they aren't.
    forgetting_since: float | None = None
    calls: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def write(self, kind: StoredKind, change: Change) -> None:
        self.revision += 1
        content = change.content
        if isinstance(content, Configuration):
            content = replace(content, revision=StoreRevision(self.revision))
            change = replace(change, content=content)
        change = replace(change, revision=StoreRevision(self.revision))
        now = asyncio.get_running_loop().time()
        if change.removed:
            self.objects.pop((kind, change.name), None)
        else:
            self.objects[kind, change.name] = change
        self.log.append(Entry(at=now, kind=kind, change=change, revision=self.revision))
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self, entries: int) -> None:
        """Come back from a copy that lacks the latest writes."""
        self.era += 1
        kept = self.log[: len(self.log) - entries]
        self.log = kept
        self.revision = kept[-1].revision if kept else 0
        self.objects = {}
        for entry in kept:
            if entry.change.removed:
                self.objects.pop((entry.kind, entry.change.name), None)
            else:
                self.objects[entry.kind, entry.change.name] = entry.change
        self.changed.set()
        self.changed = asyncio.Event()

    def list_now(self, kind: StoredKind) -> dict[str, object]:
        return {n: c.content for (k, n), c in self.objects.items() if k is kind}

    def snapshot(self, changes, revision=None) -> Snapshot:
        return Snapshot(
            changes=tuple(changes),
            revision=StoreRevision(self.revision if revision is None else revision),
            era=StoreEra(self.era),
        )


@dataclass(kw_only=True)
class Faults:
    """Faults of one host's links."""

    cut_from_store: bool = False
    cut_from: set[str] = field(default_factory=set)
    frozen_until: float = 0.0
    loss: float = 0.0
    # A host of the version before, which closes at the unknown word.
    is_earlier: bool = False


@dataclass(kw_only=True)
class StoreClient:
    """One host's client of the store."""

    store: ModelStore
    host: "ModelHost"

    async def _travel(self, timeout_s: float, began: float) -> None:
        await self.host.thaw()
        await asyncio.sleep(self.host.random.uniform(0.001, 0.012))
        lost = self.host.random.random() < self.host.faults.loss
        if self.store.down or self.host.faults.cut_from_store or lost:
            left = began + timeout_s - asyncio.get_running_loop().time()
            await asyncio.sleep(max(0.0, left))
            raise StoreError("no answer")

    async def list(self, kind, *, stale=False):
        began = asyncio.get_running_loop().time()
        self.store.calls += not stale
        await self._travel(CALL_TIMEOUT_S, began)
        found = [c for (k, _), c in self.store.objects.items() if k is kind]
        answer = self.store.snapshot(found)
        await self._travel(CALL_TIMEOUT_S, began)
        return answer

    async def watch(self, kind, revision, wait_ms):
        store, loop = self.store, asyncio.get_running_loop()
        began = loop.time()
        timeout_s = wait_ms / 1000 + WATCH_MARGIN_S
        store.calls += 1
        await self._travel(timeout_s, began)
        era = store.era
        while True:
            if store.era != era or revision > store.revision:
                raise HistoryLostError("restored")
            since = store.forgetting_since
            if since is not None and loop.time() - since > MISSED_S:
                await asyncio.sleep(max(0.0, began + timeout_s - loop.time()))
                raise StoreError("no answer")
            known = [e for e in store.log if since is None or e.at <= since]
            found = [e for e in known if e.kind is kind and e.revision > revision]
            if found or loop.time() >= began + wait_ms / 1000:
                break
            try:
                async with asyncio.timeout_at(began + wait_ms / 1000):
                    await store.changed.wait()
            except TimeoutError:
                pass
        last = max(revision, *(e.revision for e in known), 0)
        answer = store.snapshot((e.change for e in found), last)
        await self._travel(timeout_s + CALL_TIMEOUT_S, began)
        return answer


@dataclass(kw_only=True)
class PeerClient:
    """One host's client of the other hosts."""

    fleet: "ModelFleet"
    host: "ModelHost"

    async def ask_freshness(self, host, request, timeout_s):
        self.fleet.messages += 1
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._exchange(host.host, request)
        except TimeoutError:
            # The timeout of a frozen host is noticed when it goes on.
            await self.host.thaw()
            raise ConnectionLostError("no answer", sent=True) from None
        # Frozen between the arrival of the response and its use.
        await self.host.thaw()
        return response

    async def _exchange(self, name, request):
        await self._travel(name)
        other = self.fleet.hosts[name]
        if other.faults.is_earlier:
            raise ConnectionLostError("closed", sent=True)
        await other.thaw()
        response = await other.asker.vouching.answer(request)
        if response is None:
            raise ConnectionLostError("closed", sent=True)
        # Frozen between the reading of its clock and the sending of the response.
        await other.thaw()
        await self._travel(name)
        return response

    async def _travel(self, name: str) -> None:
        await self.host.thaw()
        other = self.fleet.hosts[name]
        is_cut = name in self.host.faults.cut_from or (
            self.host.name in other.faults.cut_from
        )
        if is_cut or self.host.random.random() < self.host.faults.loss:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.host.random.uniform(0.0002, 0.02))


class ModelHost:
    """What a host has of the freshness of its configuration."""

    def __init__(self, fleet: "ModelFleet", name: str, data_centre: str) -> None:
        self.fleet_model = fleet
        self.name = HostId(name)
        self.data_centre = DataCentreId(data_centre)
        self.random = random.Random(f"{fleet.seed}/{name}")
        self.faults = Faults()
        self.rolled_back = 0
        self._make()

    def _make(self) -> None:
        fleet = self.fleet_model
        journal = make_journal() if fleet.journal is None else fleet.journal
        eras = EraTracker()
        self.fleet = Fleet(local_host=self.name, hosts=fleet.listed)
        self.freshness = Freshness(journal=journal, eras=eras, bounds=fleet.bounds)
        self.freshness.on_stale = self._roll_back
        self.servers: dict[str, object] = {}
        self.watcher = StoreWatcher(
            store=StoreClient(store=fleet.store, host=self),
            journal=journal,
            eras=eras,
            apply_ms=APPLY_MS,
            leave_ms=LEAVE_MS,
            window_ms=WINDOW_MS,
            on_server=lambda s: self.servers.update({s.server: s}),
            on_server_gone=lambda s: self.servers.pop(s),
            on_configuration=lambda c: None,
            on_lease=lambda record: None,
            freshness=self.freshness,
        )
        self.freshness.configuration = lambda: self.watcher.configuration
        settings = parse_pooling_settings(GOOD, "host.ini")
        self.asker = FreshnessAsker(
            vouching=Vouching(freshness=self.freshness),
            settings=replace(
                settings,
                host=self.name,
                data_centre=self.data_centre,
                regions=fleet.regions,
            ),
            fleet=self.fleet,
            peers=PeerClient(fleet=fleet, host=self) if fleet.asks else None,
        )

    def _roll_back(self) -> None:
        self.rolled_back += 1

    async def start(self) -> None:
        await self.watcher.start()
        await self.asker.start()

    async def stop(self) -> None:
        await self.asker.stop()
        await self.watcher.stop()

    async def restart(self) -> None:
        await self.stop()
        self._make()
        await self.start()

    async def thaw(self) -> None:
        """Wait until the host is not frozen."""
        while (now := asyncio.get_running_loop().time()) < self.faults.frozen_until:
            await asyncio.sleep(self.faults.frozen_until - now)

    @property
    def is_frozen(self) -> bool:
        return asyncio.get_running_loop().time() < self.faults.frozen_until

    @property
    def version(self) -> int:
        return self.watcher.configuration.version

    def list_served_keys(self) -> set[str]:
        """Return the keys whose requests are served if they arrive now."""
        organisations = self.watcher.configuration.organisations
        if not organisations or not self.freshness.may_serve_keyed():
            return set()
        return {key for o in organisations.values() for key in o.keys}


class ModelFleet:
    """Hosts of a fleet in front of one store."""

    def __init__(
        self,
        count: int,
        regions: int = 1,
        *,
        seed: int = 0,
        bounds: Bounds = BOUNDS,
        asks: bool = True,
        journal=None,
    ) -> None:
        self.seed = seed
        self.bounds = bounds
        self.asks = asks
        self.journal = journal
        self.store = ModelStore()
        self.messages = 0
        self.regions = {
            DataCentreId(f"dc{i}"): f"region{i % regions}" for i in range(2 * regions)
        }
        zones = list(self.regions)
        names = [f"host-{i}" for i in range(count)]
        self.listed: dict[HostId, ListedHost] = {
            HostId(name): ListedHost(
                host=HostId(name), data_centre=zones[i % len(zones)], address=name
            )
            for i, name in enumerate(names)
        }
        self.hosts = {
            HostId(n): ModelHost(self, n, zones[i % len(zones)])
            for i, n in enumerate(names)
        }
        # When each revoked key's removal was acknowledged.
        self.revoked_at: dict[str, float] = {}
        self.keys: frozenset[str] = frozenset()
        self.version = 0

    def write_version(self, keys: frozenset[str], *, step: int = 1) -> None:
        """Write a version, and note which keys it revokes."""
        self.version += step
        content = make_content(self.version, keys, 0)
        self.store.write(
            StoredKind.CONFIGURATION,
            Change(name="main", content=content, removed=False),
        )
        self.note_keys(keys)

    def note_keys(self, keys: frozenset[str]) -> None:
        now = asyncio.get_running_loop().time()
        for key in self.keys - keys:
            self.revoked_at.setdefault(key, now)
        for key in keys:
            self.revoked_at.pop(key, None)
        self.keys = keys

    def write_servers(self) -> None:
        model = ModelGroup.make()
        for name, server in model.servers.items():
            self.store.write(
                StoredKind.SERVER,
                Change(name=name, content=model.list(server), removed=False),
            )

    async def start(self) -> None:
        await asyncio.gather(*(host.start() for host in self.hosts.values()))

    async def stop(self) -> None:
        await asyncio.gather(*(host.stop() for host in self.hosts.values()))

    def check(self) -> None:
        """Raise if a host serves a key that was revoked longer ago than the bound."""
        now = asyncio.get_running_loop().time()
        for host in self.hosts.values():
            if host.is_frozen:
                continue
            for key in host.list_served_keys() & self.revoked_at.keys():
                late_ms = (now - self.revoked_at[key]) * 1000
                assert late_ms <= REVOKE_MS, (host.name, key, late_ms)

    async def run(self, seconds: float, step_s: float = 0.02) -> None:
        """Let time pass, and check at each step."""
        until = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < until:
            self.check()
            await asyncio.sleep(step_s)

    def list_stale(self) -> list[str]:
        return [h.name for h in self.hosts.values() if not h.freshness.is_fresh]
