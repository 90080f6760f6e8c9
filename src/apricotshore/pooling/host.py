"""Application object of a pooling host: its parts, their start and their stop."""

import asyncio
import gc
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from aioprometheus import Registry
from mode import Service

from ..decisions.relays import Fleet, ListedHost
from ..freshness.messages import FreshnessRequest, FreshnessResponse
from ..identifiers import (
    DatabaseId,
    GroupId,
    HostId,
    KeyDigest,
    OrganisationId,
    ServerId,
)
from ..organisations import Admission
from ..queries import FailureCode
from ..rate_decisions import ADMITTED, RateDecision
from ..routes import Configuration
from ..services.clock import read_boot_ms
from ..services.eras import EraTracker
from ..shutdown import Drain, set_grace
from .adapters import Adapters
from .background_tasks import BackgroundTasks
from .callers import Callers
from .fleet_asker import FleetAsker
from .freshness import Freshness
from .freshness_asker import FreshnessAsker
from .host_groups import HostGroups
from .host_shutdown import HostShutdown
from .journal import EventKind, Journal
from .loop_ticker import LoopTicker
from .metrics import PoolingMetrics
from .other_hosts import OtherHosts
from .ports import CallerLink, HostLink, QuiesceReply, QuiesceRequest
from .process_numbers import draw_process
from .promotion_line import record_again, repeat_latest
from .readiness import Readiness
from .relay_dialer import RelayDialer
from .route_report import report_route
from .sessions import Context
from .settings import PoolingSettings
from .store_followers import make_sources
from .supervision import keep_running
from .vouching import Vouching

if TYPE_CHECKING:
    from .rate_limiter import RateLimiter

HOUSEKEEPING_S = 0.5
# Cancelled sessions need a few turns of the event loop to close their connections.
CLOSING_S = 0.25
CLOSING_STEP_S = 0.01


class PoolingHost(Service):
    """Service that serves callers over pooled connections until it is stopped.

    Parameters
    ----------
    settings
        Settings of the host.
    adapters
        Adapters to the platform.
    journal
        Journal of the host.
    registry
        Registry that exports the metrics.
    """

    def __init__(
        self,
        *,
        settings: PoolingSettings,
        adapters: Adapters,
        journal: Journal,
        registry: Registry,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.adapters = adapters
        self.journal = journal
        journal.after_failures = self._repeat_promotions
        self.drain = Drain(grace_ms=settings.grace_ms)
        self.metrics = PoolingMetrics(registry=registry)
        self.background = BackgroundTasks(journal=journal)
        self.fleet = Fleet(local_host=settings.host)
        self.dialer = RelayDialer(
            direct=adapters.dialer,
            fleet=self.fleet,
            measure=settings.measure,
            journal=journal,
        )
        self.asker = FleetAsker(peers=adapters.peers)
        self.ticker = LoopTicker(
            journal=journal,
            on_stall=lambda stall: self.host_groups.observe_loop_stall(stall),
        )
        self.eras = EraTracker()
        self.eras.listeners.append(self._record_restored)
        self.host_groups = HostGroups(
            settings=settings,
            adapters=adapters,
            journal=journal,
            fleet=self.fleet,
            dialer=self.dialer,
            asker=self.asker,
            eras=self.eras,
            check_loop=self.ticker.check,
            spawn=self.background.spawn,
            add_service=self.add_runtime_dependency,
        )
        self.groups = self.host_groups.groups
        self.freshness = Freshness(
            journal=journal, eras=self.eras, bounds=settings.freshness_bounds
        )
        self.freshness.shares_reads = self._shares_reads
        self.vouching = Vouching(freshness=self.freshness)
        self.freshness_asker = FreshnessAsker(
            vouching=self.vouching,
            settings=settings,
            fleet=self.fleet,
            peers=adapters.freshness_peers,
        )
        process = draw_process()
        sources = make_sources(
            settings=settings,
            adapters=adapters,
            journal=journal,
            eras=self.eras,
            host_groups=self.host_groups,
            on_hosts=self._update_hosts,
            on_configuration=self._apply_configuration,
            freshness=self.freshness,
            process=process,
        )
        self.store_watcher = sources.store_watcher
        self.host_watcher = sources.host_watcher
        self.open_changes = sources.open_changes
        self.host_groups.follow(sources)
        self.readiness = Readiness(
            store_watcher=self.store_watcher,
            host_watcher=self.host_watcher,
            open_changes=self.open_changes,
            groups=self.groups,
        )
        self.rate_limiter: RateLimiter | None = None
        if settings.limit_window_ms:
            self.rate_limiter = self._make_rate_limiter(registry, process)
        self._prepare_serving()

    def _make_rate_limiter(self, registry: Registry, process: int) -> "RateLimiter":
        # A host that restarts serves nobody until its imports are done.
        from .limit_metrics import LimitMetrics
        from .rate_limiter import RateLimiter

        return RateLimiter(
            settings=self.settings,
            peers=self.adapters.token_peers,
            host_peers=self.adapters.peers,
            configuration=lambda: self.store_watcher.configuration,
            journal=self.journal,
            metrics=LimitMetrics(registry=registry),
            process=process,
        )

    def _prepare_serving(self) -> None:
        """Make what serves callers and other hosts, and what ends their sessions."""
        self.context = context = Context(
            host=self.settings.host,
            find_group=self.groups.get,
            configuration=lambda: self.store_watcher.configuration,
            journal=self.journal,
            spawn=self.background.spawn,
            refuse_keyed=self.freshness.refuse_keyed,
            admit_rate=self._admit_rate,
            admit_rate_now=self._admit_rate_now,
        )
        self.callers = Callers(
            context=context,
            readiness=self.readiness,
            drain=self.drain,
            metrics=self.metrics,
        )
        self.freshness.on_stale = self.callers.end_refused
        self.other_hosts = OtherHosts(
            host_groups=self.host_groups,
            fleet=self.fleet,
            asker=self.asker,
            drain=self.drain,
            journal=self.journal,
            metrics=self.metrics,
        )
        self.host_shutdown = HostShutdown(
            drain=self.drain,
            callers=self.callers,
            other_hosts=self.other_hosts,
            host_groups=self.host_groups,
            host_watcher=self.host_watcher,
            journal=self.journal,
        )
        self.ended = self.host_shutdown.ended

    async def on_start(self) -> None:
        """Start the watchers of the store."""
        await self.add_runtime_dependency(self.ticker)
        await self.add_runtime_dependency(self.store_watcher)
        await self.add_runtime_dependency(self.host_watcher)
        await self.add_runtime_dependency(self.open_changes)
        await self.add_runtime_dependency(self.freshness_asker)
        if self.rate_limiter is not None:
            await self.add_runtime_dependency(self.rate_limiter)
        self.journal.record(
            EventKind.STARTED,
            data_centre=self.settings.data_centre,
            callers=self.settings.caller_address,
        )
        # Objects loaded at start live as long as the process: exclude them from
        # later collections.
        gc.collect()
        gc.freeze()

    async def on_stop(self) -> None:
        """Leave changes of primary to other hosts, and close every connection."""
        await self._stop_services(
            (*self.host_groups.changers.values(), *self.host_groups.probers)
        )
        self._close_connections()
        # Others ask the hosts that are listed: it is until it holds no connection.
        if await self._wait_until_closed():
            await self.host_watcher.remove_entry()
        # What follows the store would report its closed client as a lost store.
        if self.rate_limiter is not None:
            await self._stop_services((self.rate_limiter,))
        followers = (
            self.freshness_asker,
            self.store_watcher,
            self.host_watcher,
            self.open_changes,
        )
        await self._stop_services(followers)
        await self.adapters.close()
        self.journal.record_left_out()
        began = self.drain.began_at
        self.journal.record(
            EventKind.STOPPED,
            sessions=len(self.callers.sessions),
            cut=self.metrics.count_cuts(),
            stopping_ms=read_boot_ms() - began if began is not None else None,
        )
        self._record_promotions()

    async def on_shutdown(self) -> None:
        """Have promotions last, after the lines of tasks that ended since."""
        self.journal.record_left_out()
        if self.journal.bytes_since_repeat:
            self._record_promotions()

    async def _stop_services(self, services: Iterable[Service]) -> None:
        stops = (service.stop() for service in services)
        for outcome in await asyncio.gather(*stops, return_exceptions=True):
            if isinstance(outcome, Exception):
                self.journal.record(EventKind.ERROR, why=repr(outcome))

    def _close_connections(self) -> None:
        self.callers.close()
        self.background.cancel()
        self.other_hosts.close()
        self.host_groups.close()

    async def _wait_until_closed(self) -> bool:
        """Wait until no connection to a backend server is open; return whether so."""
        try:
            async with asyncio.timeout(CLOSING_S):
                while self.has_connections:
                    await asyncio.sleep(CLOSING_STEP_S)
        except TimeoutError:
            self.journal.record(EventKind.ERROR, why="connections are still open")
            return False
        return True

    @property
    def has_connections(self) -> bool:
        """Whether a connection to a backend server may be open."""
        has_sessions = bool(self.callers.sessions or self.other_hosts.sessions)
        return has_sessions or self.host_groups.has_connections

    # -- changes in the store and of the settings --

    def _shares_reads(self) -> bool:
        """Return whether the fleet is large enough for few hosts to read the store."""
        least = self.settings.share_reads_from
        return 0 < least <= len(self.fleet.hosts)

    def _record_restored(self) -> None:
        self.journal.record(
            EventKind.STORE_RESTORED, era=self.eras.era, earlier_era=self.eras.earlier
        )

    def _apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration that is in force from now on.

        First to callers: what is withdrawn must not be served any more.
        """
        self.callers.apply(configuration)
        self.host_groups.configure_all()

    def _update_hosts(self, listed: dict[HostId, ListedHost]) -> None:
        if listed.keys() != self.fleet.hosts.keys():
            self.journal.record(EventKind.HOSTS_LISTED, hosts=len(listed))
        self.fleet.hosts = listed
        if self.rate_limiter is not None:
            self.rate_limiter.update_hosts(listed, self.eras.era)
        self.host_groups.configure_all()
        self.other_hosts.release_relayed()

    def reload(self, settings: PoolingSettings) -> None:
        """Apply changed settings, except for the addresses to listen on."""
        self.settings = settings
        set_grace(self.drain, settings.grace_ms)
        if self.rate_limiter is not None:
            self.rate_limiter.apply_settings(settings)
        elif settings.limit_window_ms:
            why = "rate-limit-window takes effect at the next start"
            self.journal.record(EventKind.ERROR, why=why)
        self.store_watcher.set_bounds(
            settings.apply_ms, settings.leave_ms, settings.window_ms
        )
        if settings.freshness_bounds != self.freshness.bounds:
            self.freshness.set_bounds(settings.freshness_bounds)
            self.store_watcher.interrupt_watches()
        self.freshness_asker.settings = settings
        self.host_groups.apply_settings(settings)
        self.journal.record(
            EventKind.RELOADED,
            grace_ms=settings.grace_ms,
            apply_ms=settings.apply_ms,
            leave_ms=settings.leave_ms,
            window_ms=settings.window_ms,
            revoke_ms=settings.revoke_ms or None,
        )

    # -- callers and other hosts --

    async def admit(
        self, database: DatabaseId, key: KeyDigest | None = None
    ) -> Admission | FailureCode:
        """Return a caller's admission, or why it is refused."""
        return await self.callers.admit(database, key)

    async def serve(self, admission: Admission, link: CallerLink) -> None:
        """Serve one caller until it disconnects."""
        await self.callers.serve(admission, link)

    def admit_host(
        self,
        group: GroupId,
        server: ServerId,
        organisation: OrganisationId | None = None,
    ) -> FailureCode | None:
        """Return why a server is not reached through this host, None if it is."""
        return self.other_hosts.admit(group, server, organisation)

    async def serve_host(
        self,
        group: GroupId,
        server: ServerId,
        organisation: OrganisationId | None,
        link: HostLink,
    ) -> None:
        """Run another host's statements on this host's connections to a server."""
        await self.other_hosts.serve(group, server, organisation, link)

    async def quiesce(self, request: QuiesceRequest) -> QuiesceReply:
        """Send nothing more to a server that another host replaces, and confirm it."""
        return await self.other_hosts.quiesce(request)

    async def answer_freshness(
        self, request: FreshnessRequest
    ) -> FreshnessResponse | None:
        """Return how old the proof of this host's configuration is."""
        return await self.vouching.answer(request)

    async def _admit_rate(self, organisation: OrganisationId | None) -> RateDecision:
        """Return whether an operation is within its organisation's rate limit."""
        if self.rate_limiter is None:
            return ADMITTED
        return await self.rate_limiter.admit(organisation)

    def _admit_rate_now(self, organisation: OrganisationId) -> RateDecision:
        """Return the same by what this host knows already."""
        if self.rate_limiter is None:
            return ADMITTED
        return self.rate_limiter.admit_now(organisation)

    # -- readiness --

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers here."""
        draining = self.drain.began_at is not None
        is_able = self.readiness.reaches_servers and self.freshness.is_fresh
        return self.is_loaded and is_able and not draining

    @property
    def is_loaded(self) -> bool:
        """Whether the store has been read, and tells other hosts of this one."""
        return self.readiness.is_loaded

    @Service.task
    @keep_running
    async def _await_entry(self) -> None:
        await self.readiness.await_entry()

    # -- shutdown and housekeeping --

    def begin_drain(self) -> None:
        """Stop accepting callers and let open sessions end."""
        self.host_shutdown.begin()

    @Service.task
    @keep_running
    async def _run_housekeeping(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(HOUSEKEEPING_S if self.is_ready else 0.1)
            self.write_due_lines()
            self.host_groups.close_idle()

    def write_due_lines(self) -> None:
        """Write what the journal holds back, and promotions after it."""
        self.journal.flush()
        self._repeat_promotions()

    def _repeat_promotions(self) -> None:
        """Write promotions again where other lines push them out of an excerpt."""
        promotions = self.host_groups.list_promotions()
        repeat_latest(self.journal, promotions, read_boot_ms())

    def _record_promotions(self) -> None:
        record_again(self.journal, self.host_groups.list_promotions())
        self.journal.flush()

    def report_route(self, request: Mapping[str, str]) -> dict[str, object]:
        """Return where a request would go now; see `route_report.report_route`."""
        return report_route(self.context, request)

    def refresh_metrics(self) -> None:
        """Update the gauges."""
        self.metrics.refresh(
            self.groups.values(),
            len(self.callers.sessions),
            len(self.other_hosts.sessions),
        )
        if self.rate_limiter is not None:
            self.rate_limiter.refresh_metrics()
        self.metrics.refresh_store(
            self.store_watcher.configuration.version, self.eras.era
        )
        self.metrics.refresh_freshness(self.freshness, self.store_watcher.wait_ms)
        self.metrics.refresh_unresumed(
            {
                name: len(changer.resumption.unresumed)
                for name, changer in self.host_groups.changers.items()
            }
        )
