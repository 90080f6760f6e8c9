"""Application object of a pooling host."""

import asyncio
import gc
from collections.abc import Coroutine, Iterable

from aioprometheus import Registry
from mode import Service

from ..decisions import relays, shutdown
from ..decisions.loop_stalls import Stall
from ..decisions.relays import Fleet, ListedHost
from ..decisions.shutdown import Drain
from ..identifiers import DatabaseId, GroupId, HostId, ServerId
from ..queries import FailureCode
from ..routes import Configuration
from ..services.clock import read_boot_ms
from ..services.eras import EraTracker
from .adapters import Adapters
from .caller_session import CallerSession
from .fleet_asker import FleetAsker
from .host_groups import HostGroups, Sources
from .host_session import HostSession
from .host_watcher import HostWatcher
from .journal import EventKind, Journal
from .loop_ticker import LoopTicker
from .metrics import PoolingMetrics
from .open_changes import OpenChanges
from .ports import CallerLink, HostLink, QuiesceReply, QuiesceRequest
from .promotion_line import record_again, repeat_latest
from .relay_dialer import RelayDialer
from .sessions import Context
from .settings import PoolingSettings
from .store_watcher import StoreWatcher
from .supervision import keep_running

HOUSEKEEPING_S = 0.5
# Callers time out when their session is not open after 2 s.
LOADING_S = 1.5
LOADING_STEP_S = 0.01
# A store that takes no writes does not keep a host that has read it from serving.
LISTING_S = 1.0
# The leases are read once others can know of the host, page by page.
LEASES_S = 1.0
# Cancelled sessions need a few turns of the event loop to close their connections.
CLOSING_S = 0.25
CLOSING_STEP_S = 0.01


def _make_entry(settings: PoolingSettings) -> ListedHost | None:
    """Return a host's entry in the store, None if it is no relay."""
    if not settings.peer_address:
        return None
    return ListedHost(
        host=settings.host,
        data_centre=settings.data_centre,
        address=settings.peer_address,
    )


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
        self.has_awaited_entry = False
        self.drain = Drain(grace_ms=settings.grace_ms)
        self.metrics = PoolingMetrics(registry=registry)
        self.caller_sessions: dict[CallerSession, asyncio.Task[None]] = {}
        self.host_sessions: set[HostSession] = set()
        self.fleet = Fleet(local_host=settings.host)
        self.dialer = RelayDialer(
            direct=adapters.dialer,
            fleet=self.fleet,
            measure=settings.measure,
            journal=journal,
        )
        self.asker = FleetAsker(peers=adapters.peers)
        self.ticker = LoopTicker(journal=journal, on_stall=self._observe_loop_stall)
        self.background: set[asyncio.Task[None]] = set()
        self.ended = asyncio.Event()
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
            spawn=self._spawn,
            add_service=self.add_runtime_dependency,
        )
        self.groups = self.host_groups.groups
        self.store_watcher = StoreWatcher(
            store=adapters.store,
            journal=journal,
            eras=self.eras,
            apply_ms=settings.apply_ms,
            leave_ms=settings.leave_ms,
            window_ms=settings.window_ms,
            on_server=self.host_groups.update_server,
            on_server_gone=self.host_groups.remove_server,
            on_configuration=self._apply_configuration,
            on_lease=self.host_groups.observe_lease,
        )
        self.host_watcher = HostWatcher(
            store=adapters.store,
            journal=journal,
            eras=self.eras,
            host=settings.host,
            entry=_make_entry(settings),
            on_hosts=self._update_hosts,
        )
        self.open_changes = OpenChanges(
            store_watcher=self.store_watcher,
            host_watcher=self.host_watcher,
            journal=journal,
            find_group=self.groups.get,
            follow=self.host_groups.observe_lease,
        )
        self.host_groups.follow(
            Sources(
                store_watcher=self.store_watcher,
                host_watcher=self.host_watcher,
                open_changes=self.open_changes,
            )
        )
        self.context = Context(
            host=settings.host,
            find_group=self.groups.get,
            configuration=lambda: self.store_watcher.configuration,
            journal=journal,
            spawn=self._spawn,
        )

    async def on_start(self) -> None:
        """Start the watchers of the store."""
        await self.add_runtime_dependency(self.ticker)
        await self.add_runtime_dependency(self.store_watcher)
        await self.add_runtime_dependency(self.host_watcher)
        await self.add_runtime_dependency(self.open_changes)
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
        followers = (self.store_watcher, self.host_watcher, self.open_changes)
        await self._stop_services(followers)
        await self.adapters.close()
        self.journal.record_left_out()
        self.journal.record(EventKind.STOPPED, sessions=len(self.caller_sessions))
        self._record_promotions()

    async def on_shutdown(self) -> None:
        """Have promotions last, after the lines of tasks that ended since."""
        self.journal.record_left_out()
        if self.journal.bytes_since_repeat:
            self._record_promotions()

    def _record_promotions(self) -> None:
        record_again(self.journal, self.host_groups.list_promotions())
        self.journal.flush()

    def write_due_lines(self) -> None:
        """Write what the journal holds back, and promotions after it."""
        self.journal.flush()
        self._repeat_promotions()

    def _repeat_promotions(self) -> None:
        """Write promotions again where other lines push them out of an excerpt."""
        promotions = self.host_groups.list_promotions()
        repeat_latest(self.journal, promotions, read_boot_ms())

    async def _stop_services(self, services: Iterable[Service]) -> None:
        stops = (service.stop() for service in services)
        for outcome in await asyncio.gather(*stops, return_exceptions=True):
            if isinstance(outcome, Exception):
                self.journal.record(EventKind.ERROR, why=repr(outcome))

    def _close_connections(self) -> None:
        for task in (*self.caller_sessions.values(), *self.background):
            task.cancel()
        for session in self.host_sessions:
            session.link.close()
        for group in self.groups.values():
            group.all_pools.close()

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
        groups = self.groups.values()
        pools = [p for g in groups for p in (*g.pools.values(), *g.unlisted.values())]
        sessions = bool(self.caller_sessions or self.host_sessions)
        return sessions or any(pool.held for pool in pools)

    # -- changes in the store --

    def _record_restored(self) -> None:
        self.journal.record(
            EventKind.STORE_RESTORED, era=self.eras.era, earlier_era=self.eras.earlier
        )

    def _observe_loop_stall(self, stall: Stall) -> None:
        for group in self.groups.values():
            group.observe_loop_stall(stall)

    def _update_hosts(self, listed: dict[HostId, ListedHost]) -> None:
        if listed.keys() != self.fleet.hosts.keys():
            self.journal.record(EventKind.HOSTS_LISTED, hosts=len(listed))
        self.fleet.hosts = listed
        for group in self.groups.values():
            self.host_groups.configure(group)
        self._release_relayed()

    def _release_relayed(self) -> None:
        """Send other hosts away from servers that this host is no relay of any more."""
        for session in list(self.host_sessions):
            if session.pool.relayed:
                session.leave()

    def _apply_configuration(self, configuration: Configuration) -> None:
        for group in self.groups.values():
            self.host_groups.configure(group)

    def reload(self, settings: PoolingSettings) -> None:
        """Apply changed settings, except for the addresses to listen on."""
        self.settings = self.host_groups.settings = settings
        self.drain.grace_ms = settings.grace_ms
        self.store_watcher.set_bounds(
            settings.apply_ms, settings.leave_ms, settings.window_ms
        )
        for group in self.groups.values():
            group.set_leave_bounds(settings.leave_ms, settings.window_ms)
        self.journal.record(
            EventKind.RELOADED,
            grace_ms=settings.grace_ms,
            apply_ms=settings.apply_ms,
            leave_ms=settings.leave_ms,
            window_ms=settings.window_ms,
        )

    # -- callers --

    async def admit(self, database: DatabaseId) -> FailureCode | None:
        """Return why a database is not served, None if it is.

        A host that has just started waits for the store: without a configuration
        it cannot tell whether a database exists.
        """
        try:
            async with asyncio.timeout(LOADING_S):
                while not self.is_loaded:
                    await asyncio.sleep(LOADING_STEP_S)
        except TimeoutError:
            self.journal.record(EventKind.CALLER_REFUSED, why="no configuration yet")
            return FailureCode.OVERLOADED
        if database in self.store_watcher.configuration.routes:
            return None
        self.journal.record(
            EventKind.CALLER_REFUSED,
            database=database,
            why="no route",
            version=self.store_watcher.configuration.version,
        )
        return FailureCode.NO_DATABASE

    async def serve(self, database: DatabaseId, link: CallerLink) -> None:
        """Serve one caller until it disconnects."""
        caller_session = CallerSession(
            database=database,
            link=link,
            context=self.context,
            drain=self.drain,
            metrics=self.metrics,
        )
        task = asyncio.current_task()
        assert task is not None
        self.caller_sessions[caller_session] = task
        try:
            await caller_session.run()
        finally:
            self.caller_sessions.pop(caller_session, None)

    # -- other hosts --

    def admit_host(self, group: GroupId, server: ServerId) -> FailureCode | None:
        """Return why a server is not reached through this host, None if it is."""
        known = self.groups.get(group)
        # Two hosts that reach a server through each other would reach it never.
        is_detoured = relays.find_detour(self.fleet, server) is not None
        if known is None or server not in known.pools or is_detoured:
            return FailureCode.WRONG_SERVER
        return FailureCode.OVERLOADED if self.drain.began_at is not None else None

    async def serve_host(
        self, group: GroupId, server: ServerId, link: HostLink
    ) -> None:
        """Run another host's statements on this host's connections to a server."""
        known = self.groups[group]
        session = HostSession(group=known, pool=known.pools[server], link=link)
        self.host_sessions.add(session)
        try:
            await session.run()
        finally:
            self.host_sessions.discard(session)

    async def quiesce(self, request: QuiesceRequest) -> QuiesceReply:
        """Send nothing more to a server that another host replaces, and confirm it.

        The hosts of the request's share are asked as well.
        """
        if request.share:
            return await self.asker.forward(request, self._quiesce)
        return await self._quiesce(request)

    async def _quiesce(self, request: QuiesceRequest) -> QuiesceReply:
        """Quiesce a server at this host, whose group may be known a moment later."""
        known = self.groups.get(request.group)
        return await (known or self.host_groups.early_gates).quiesce(request)

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers here."""
        draining = self.drain.began_at is not None
        return self.is_loaded and self.reaches_servers and not draining

    @property
    def reaches_servers(self) -> bool:
        """Whether any server is not marked as silent, or none is known."""
        now = read_boot_ms()
        pools = [p for group in self.groups.values() for p in group.pools.values()]
        return not pools or any(p.load.silent_until <= now for p in pools)

    @property
    def is_loaded(self) -> bool:
        """Whether the store has been read, and tells other hosts of this one.

        Then this host also knows of the changes of primary that are under way.
        """
        return self.has_read_store and self.has_awaited_entry

    @property
    def has_read_store(self) -> bool:
        """Whether the configuration and the servers have been read."""
        store_watcher = self.store_watcher
        return (
            bool(store_watcher.configuration.revision) and store_watcher.servers_listed
        )

    @Service.task
    @keep_running
    async def _await_entry(self) -> None:
        while not self.has_read_store:
            await asyncio.sleep(LOADING_STEP_S)
        await self.host_watcher.wait_until_written(LISTING_S)
        # A holder that can't have listed this host has told it of no change.
        await self.open_changes.wait_until_read(LEASES_S)
        self.has_awaited_entry = True

    def refresh_metrics(self) -> None:
        """Update the gauges."""
        self.metrics.refresh(
            self.groups.values(),
            len(self.caller_sessions),
            len(self.host_sessions),
        )
        self.metrics.refresh_store(
            self.store_watcher.configuration.version, self.eras.era
        )
        self.metrics.refresh_unresumed(
            {
                name: len(changer.resumption.unresumed)
                for name, changer in self.host_groups.changers.items()
            }
        )

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.background.add(task)
        task.add_done_callback(self._reap)

    def _reap(self, task: asyncio.Task[None]) -> None:
        self.background.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.journal.record(EventKind.ERROR, why=repr(task.exception()))

    # -- shutdown --

    def begin_drain(self) -> None:
        """Stop accepting callers and let open sessions end."""
        if self.drain.began_at is not None:
            return
        self.drain.began_at = read_boot_ms()
        self.journal.record(EventKind.STOPPING, sessions=len(self.caller_sessions))
        self.host_watcher.mark_leaving()
        for changer in self.host_groups.changers.values():
            changer.is_draining = True
        self._close_idle()

    def _close_idle(self) -> None:
        now = read_boot_ms()
        for session in list(self.host_sessions):
            session.leave()
        for caller_session, task in list(self.caller_sessions.items()):
            if not caller_session.idle:
                continue
            if shutdown.should_abort_transactions(self.drain, now):
                caller_session.abort_transaction("the host stops")
            if caller_session.should_close():
                task.cancel()

    @Service.task
    @keep_running
    async def _run_housekeeping(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(HOUSEKEEPING_S if self.is_ready else 0.1)
            self.write_due_lines()
            for group in self.groups.values():
                group.all_pools.close_idle()
            if self.drain.began_at is None:
                continue
            self._close_idle()
            open_sessions = len(self.caller_sessions) + len(self.host_sessions)
            changing = sum(c.is_critical for c in self.host_groups.changers.values())
            busy = open_sessions + changing
            if shutdown.should_exit(self.drain, busy, read_boot_ms()):
                self.ended.set()
