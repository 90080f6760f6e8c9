"""Database groups of a host, and the services that run for each."""

from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass

from mode import Service

from ..decisions import position_history, relays
from ..decisions.loop_stalls import Stall
from ..decisions.relays import Fleet
from ..identifiers import GroupId, ServerId
from ..routes import DEFAULT_TARGET_MS, ListedServer
from ..services.eras import EraTracker
from ..spillover import Prices
from . import promotion_summary
from .adapters import Adapters
from .detours import Detours
from .early_gates import EarlyGates
from .fleet_asker import FleetAsker
from .group import Group
from .group_spillover import GroupSpillover
from .host_watcher import HostWatcher
from .journal import Journal
from .open_changes import OpenChanges
from .primary_changer import PrimaryChanger
from .primary_prover import PrimaryProver
from .prober import Prober
from .promotion_summary import Promotion
from .relay_dialer import RelayDialer
from .settings import PoolingSettings
from .store_watcher import StoreWatcher
from .stored_objects import LeaseRecord
from .write_barrier import WriteBarrier


@dataclass(frozen=True, kw_only=True)
class Sources:
    """What follows the store for a host.

    Parameters
    ----------
    store_watcher
        Configuration and servers.
    host_watcher
        The other hosts.
    open_changes
        Changes of primary that are under way.
    """

    store_watcher: StoreWatcher
    host_watcher: HostWatcher
    open_changes: OpenChanges


class HostGroups:
    """Groups of a host.

    Parameters
    ----------
    settings
        Settings of the host.
    adapters
        Adapters to the platform.
    journal
        Journal of the host.
    fleet, dialer, asker
        The other hosts, the connections to servers through them, and what asks them.
    eras
        Tracker of the store's era.
    check_loop
        Notices a stall of this process that has just ended.
    spawn
        Runs a coroutine until the host stops.
    add_service
        Starts a service that stops with the host.
    """

    def __init__(
        self,
        *,
        settings: PoolingSettings,
        adapters: Adapters,
        journal: Journal,
        fleet: Fleet,
        dialer: RelayDialer,
        asker: FleetAsker,
        eras: EraTracker,
        check_loop: Callable[[], None],
        spawn: Callable[[Coroutine[None, None, None]], None],
        add_service: Callable[[Service], Awaitable[object]],
    ) -> None:
        self.settings = settings
        self.adapters = adapters
        self.journal = journal
        self.fleet = fleet
        self.dialer = dialer
        self.asker = asker
        self.eras = eras
        self.check_loop = check_loop
        self.spawn = spawn
        self.add_service = add_service
        self.groups: dict[GroupId, Group] = {}
        self.changers: dict[GroupId, PrimaryChanger] = {}
        self.probers: list[Prober] = []
        self.server_groups: dict[ServerId, GroupId] = {}
        self.early_gates = EarlyGates()

    def follow(self, sources: Sources) -> None:
        """Set what follows the store, before any of it starts."""
        self.sources = sources

    def _get_group(self, name: GroupId) -> Group:
        group = self.groups.get(name)
        if group is None:
            group = Group(
                group=name,
                dialer=self.dialer,
                locate=self.settings.locate,
                journal=self.journal,
            )
            if not self.settings.fenced:
                group.prover = PrimaryProver(group=group)
            group.gates.update(self.early_gates.take(name))
            group.check_loop = self.check_loop
            self._apply_options(group)
            self.groups[name] = group
            group.set_leave_bounds(self.settings.leave_ms, self.settings.window_ms)
            self.configure(group)
            self.spawn(self._start_services(group))
        return group

    async def _start_services(self, group: Group) -> None:
        prober = Prober(group=group)
        self.probers.append(prober)
        await self.add_service(prober)
        changer = PrimaryChanger(
            group=group,
            host=self.settings.host,
            address=self.settings.caller_address,
            store=self.adapters.store,
            promoter=self.adapters.promoter,
            journal=self.journal,
            eras=self.eras,
            rank=lambda: relays.rank_host(self.fleet, group.group),
            refresh_servers=self.sources.store_watcher.refresh_servers,
            detours=Detours(
                direct=self.adapters.dialer, fleet=self.fleet, journal=self.journal
            ),
            barrier=WriteBarrier(
                group=group,
                fleet=self.fleet,
                peers=self.adapters.peers,
                refresh_hosts=self.sources.host_watcher.refresh,
                asker=self.asker,
            ),
            on_lease=self.sources.open_changes.observe,
        )
        self.changers[group.group] = changer
        found = self.sources.open_changes.found.get(group.group)
        if found is not None:
            changer.observe_lease(found.record)
        await self.add_service(changer)

    def observe_lease(self, record: LeaseRecord) -> None:
        """Tell a group's changer of a lease from a list."""
        changer = self.changers.get(record.group)
        if changer is not None:
            changer.observe_lease(record)

    def update_server(self, server: ListedServer) -> None:
        """Record a server that was listed or changed in the store."""
        home = self.server_groups.get(server.server)
        if home is not None and home != server.group:
            self.groups[home].remove_server(server.server)
        self.server_groups[server.server] = server.group
        group = self._get_group(server.group)
        group.update_server(server)
        group.all_pools.update_relayed(self.dialer.is_relayed)
        self.sources.open_changes.renew(group)

    def remove_server(self, server: ServerId) -> None:
        """Record that a server was removed from the store."""
        home = self.server_groups.pop(server, None)
        if home is not None:
            self.groups[home].remove_server(server)

    def configure(self, group: Group) -> None:
        """Apply the latest configuration to a group."""
        configuration = self.sources.store_watcher.configuration
        self.fleet.by_organisation = configuration.organisations is not None
        group.all_pools.set_by_organisation(self.fleet.by_organisation)
        settings = configuration.groups.get(group.group)
        if settings is not None:
            group.all_pools.set_connections(settings.connections)
            self.dialer.limits[group.group] = settings.connections
            count = relays.count_relays(self.fleet, settings.connections)
            group.all_pools.set_relay_count(count)
            group.all_pools.update_relayed(self.dialer.is_relayed)
        self._set_objective(group)
        group.sample_period_ms = position_history.choose_period_ms(
            route.staleness_ms
            for route in configuration.routes.values()
            if route.group == group.group and route.reads_replicas
        )

    def configure_all(self) -> None:
        """Apply the latest configuration to all groups."""
        for group in self.groups.values():
            self.configure(group)

    def apply_settings(self, settings: PoolingSettings) -> None:
        """Apply changed settings of the host."""
        self.settings = settings
        for group in self.groups.values():
            group.set_leave_bounds(settings.leave_ms, settings.window_ms)
            self._apply_options(group)
            self._set_objective(group)

    def _apply_options(self, group: Group) -> None:
        """Have a group serve as the settings ask for it."""
        settings = self.settings
        group.early_rejection = settings.early_rejection
        if not settings.spillover:
            group.spillover = None
            return
        prices = Prices(hop_ms=settings.hop_price_ms, kib_ms=settings.kib_price_ms)
        if group.spillover is None:
            group.spillover = GroupSpillover(
                group=group.group, journal=self.journal, prices=prices
            )
        group.spillover.prices = prices

    def _set_objective(self, group: Group) -> None:
        """Take the shortest latency objective of the routes whose reads may leave."""
        if group.spillover is None:
            return
        routes = self.sources.store_watcher.configuration.routes.values()
        group.spillover.objective_ms = min(
            (
                r.target_ms
                for r in routes
                if r.group == group.group and r.reads_replicas
            ),
            default=DEFAULT_TARGET_MS,
        )

    def observe_loop_stall(self, stall: Stall) -> None:
        """Tell all groups of a time in which this process stood still."""
        for group in self.groups.values():
            group.observe_loop_stall(stall)

    @property
    def has_connections(self) -> bool:
        """Whether a pool holds a connection to a backend server."""
        groups = self.groups.values()
        pools = [p for g in groups for p in (*g.pools.values(), *g.unlisted.values())]
        return any(pool.held for pool in pools)

    def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
        for group in self.groups.values():
            group.all_pools.close_idle()

    def close(self) -> None:
        """Close every connection."""
        for group in self.groups.values():
            group.all_pools.close()

    def list_promotions(self) -> list[Promotion]:
        """Return the latest promotions that this host ran."""
        groups = self.groups.values()
        return promotion_summary.list_latest(group.promotions for group in groups)
