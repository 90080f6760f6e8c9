"""Service that keeps operations within the fleet's rate limits."""

import asyncio
from collections import deque
from collections.abc import Callable, Mapping

from mode import Service

from ..decisions.relays import ListedHost
from ..identifiers import HostId, OrganisationId, StoreEra
from ..limits import allocator as allocators
from ..limits import host_limits
from ..limits.budget import LimitSettings, derive_budgets
from ..limits.host_limits import Ask, HostLimits
from ..limits.messages import TokensReply, TokensRequest
from ..rate_decisions import ADMITTED, Limited, RateDecision
from ..routes import Configuration
from ..services.clock import read_boot_ms
from .journal import Journal
from .limit_lines import LimitLines
from .limit_metrics import LimitMetrics
from .ports import ConnectionLostError, HostPeers, TokenPeers
from .settings import PoolingSettings
from .supervision import keep_running

# Several round trips between regions.
TIMEOUT_S = 0.15
# An operation waits no longer for tokens.
WAIT_S = 0.15
# Pause before the next request while operations wait that the last reply left waiting.
RETRY_MS = 10
# Whether an organisation has a limit is looked at this often while none has.
IDLE_S = 0.5
PROBE_TIMEOUT_S = 0.15
PROBES_AT_ONCE = 8

Waiter = tuple[OrganisationId, asyncio.Future[RateDecision]]


class RateLimiter(Service):
    """Service that holds tokens, reports to an allocator and answers other hosts.

    It does nothing while no organisation has a rate limit, or the settings have no
    window.

    Parameters
    ----------
    settings
        Settings of the host.
    peers
        Client of other hosts as allocators, None when it only allocates itself.
    host_peers
        Client that tells whether a host's process has ended.
    configuration
        Returns the configuration in force.
    journal
        Journal of the host.
    metrics
        Metrics of rate limits.
    process
        Random number of this process, which its entry in the store holds.
    """

    def __init__(
        self,
        *,
        settings: PoolingSettings,
        peers: TokenPeers | None,
        host_peers: HostPeers,
        configuration: Callable[[], Configuration],
        journal: Journal,
        metrics: LimitMetrics,
        process: int,
    ) -> None:
        super().__init__()
        self.peers = peers
        self.host_peers = host_peers
        self.configuration = configuration
        self.journal = journal
        self.metrics = metrics
        self.limits = HostLimits(
            host=settings.host,
            process=process,
            started_at=read_boot_ms(),
        )
        self.waiters: deque[Waiter] = deque()
        self.wake = asyncio.Event()
        # Configuration and settings that the budgets are derived from.
        self.derived_from: Configuration | None = None
        self.limit_settings = _read_limits(settings)
        self.lines = LimitLines(journal=journal, limits=self.limits)

    def apply_settings(self, settings: PoolingSettings) -> None:
        """Apply changed settings."""
        self.limit_settings = _read_limits(settings)
        self.derived_from = None

    def update_hosts(
        self, listed: Mapping[HostId, ListedHost], era: StoreEra | None
    ) -> None:
        """Take over a list of the store."""
        host_limits.update_hosts(self.limits, listed.values(), era, read_boot_ms())

    @property
    def is_limiting(self) -> bool:
        """Whether any organisation has a rate limit."""
        configuration = self.configuration()
        if configuration is not self.derived_from:
            self.derived_from = configuration
            self.limits.budgets = derive_budgets(
                configuration.organisations, self.limit_settings
            )
        return bool(self.limits.budgets)

    # -- operations --

    async def admit(self, organisation: OrganisationId | None) -> RateDecision:
        """Return whether an operation is within its organisation's rate limit.

        Parameters
        ----------
        organisation
            The organisation, None for an operation of none.

        Returns
        -------
        RateDecision
            At once when a token is held, no limit applies or no token will come soon;
            else within `WAIT_S`.
        """
        if organisation is None or not self.is_limiting:
            return ADMITTED
        if organisation not in self.limits.budgets:
            return ADMITTED
        verdict = host_limits.try_admit(self.limits, organisation, read_boot_ms())
        if verdict is None:
            verdict = await self._wait(organisation)
        admitted = not isinstance(verdict, Limited)
        self.metrics.count(organisation, admitted=admitted)
        if isinstance(verdict, Limited):
            self.lines.record_limited(organisation, verdict, read_boot_ms())
        return verdict

    def admit_now(self, organisation: OrganisationId) -> RateDecision:
        """Return whether an operation is within the limit by the tokens held now."""
        if not self.is_limiting:
            return ADMITTED
        now = read_boot_ms()
        decision = host_limits.try_admit(self.limits, organisation, now)
        return decision or host_limits.refuse_now(self.limits, organisation, now)

    async def _wait(self, organisation: OrganisationId) -> RateDecision:
        """Wait for the reply to a request that asks for a token."""
        waiter = (organisation, asyncio.get_running_loop().create_future())
        self.waiters.append(waiter)
        host_limits.change_waiting(self.limits, organisation, 1, read_boot_ms())
        self.wake.set()
        try:
            async with asyncio.timeout(WAIT_S):
                return await waiter[1]
        except TimeoutError:
            return host_limits.refuse_now(self.limits, organisation, read_boot_ms())
        finally:
            self._stop_waiting(waiter)

    def _stop_waiting(self, waiter: Waiter) -> None:
        if waiter in self.waiters:
            self.waiters.remove(waiter)
            host_limits.change_waiting(self.limits, waiter[0], -1, read_boot_ms())

    def _serve_waiters(self) -> None:
        now = read_boot_ms()
        for waiter in list(self.waiters):
            if waiter[1].done():
                continue
            verdict = host_limits.try_take(self.limits, waiter[0], now)
            if verdict is not None:
                self._stop_waiting(waiter)
                waiter[1].set_result(verdict)

    # -- requests to the allocator --

    @Service.task
    @keep_running
    async def _report(self) -> None:
        while not self.should_stop:
            if not self.is_limiting:
                await asyncio.sleep(IDLE_S)
                continue
            self.wake.clear()
            again = await self._exchange()
            if not again:
                wait_ms = RETRY_MS if self.waiters else self.limits.interval_ms
                await self._pause(wait_ms / 1000)
            # An exchange with this host itself may not have waited for anything.
            await asyncio.sleep(0)

    async def _pause(self, seconds: float) -> None:
        """Wait until the next report is due, or an operation waits for a token."""
        try:
            async with asyncio.timeout(seconds):
                await self.wake.wait()
        except TimeoutError:
            return

    async def _exchange(self) -> bool:
        """Ask the allocator once; return whether the next request is due at once."""
        ask = host_limits.make_ask(self.limits, read_boot_ms())
        try:
            reply = await self._ask(ask)
        except ConnectionLostError:
            self.metrics.count_request(answered=False)
            host_limits.take_failure(self.limits, ask, read_boot_ms())
            self._serve_waiters()
            return True
        again = host_limits.take_reply(self.limits, ask, reply, read_boot_ms())
        self._serve_waiters()
        return again

    async def _ask(self, ask: Ask) -> TokensReply:
        if ask.allocator == self.limits.host:
            return self._answer(ask.request)
        host = self.limits.hosts.get(ask.allocator)
        if self.peers is None or host is None:
            raise ConnectionLostError("no way to other hosts", sent=False)
        reply = await self.peers.ask(host, ask.request, TIMEOUT_S)
        self.metrics.count_request(answered=True)
        return reply

    # -- answers to other hosts --

    async def answer(self, request: TokensRequest) -> TokensReply | None:
        """Answer a host that reports here; None while there are no limits."""
        return self._answer(request) if self.is_limiting else None

    def _answer(self, request: TokensRequest) -> TokensReply:
        now = read_boot_ms()
        reply = host_limits.make_reply(self.limits, request, now)
        self.lines.record_share(now)
        return reply

    @Service.task
    @keep_running
    async def _probe(self) -> None:
        """Ask hosts that don't report here whether their processes have ended.

        An ended process holds no tokens, so its part is handed out by the others.
        """
        while not self.should_stop:
            limits = self.limits
            await asyncio.sleep(limits.interval_ms / 1000)
            if not self.is_limiting or not limits.allocator.missing:
                continue
            now = read_boot_ms()
            if not limits.allocator.reporters:
                continue
            missing = allocators.list_missing(limits.allocator, limits.roster, now)
            hosts = [limits.hosts[h] for h in missing if h in limits.hosts]
            await asyncio.gather(*map(self._probe_host, hosts[:PROBES_AT_ONCE]))

    async def _probe_host(self, host: ListedHost) -> None:
        limits, asked_at = self.limits, read_boot_ms()
        if await self.host_peers.has_ended(host, PROBE_TIMEOUT_S):
            allocators.observe_ended(
                limits.allocator, host.host, asked_at, limits.validity_ms
            )

    # -- metrics --

    def refresh_metrics(self) -> None:
        """Update what is exported."""
        if not self.is_limiting:
            return
        now, limits = read_boot_ms(), self.limits
        share = allocators.measure_share(limits.allocator, limits.roster, now)
        self.metrics.refresh(share, now - limits.replied_at)


def _read_limits(settings: PoolingSettings) -> LimitSettings:
    return LimitSettings(
        window_ms=settings.limit_window_ms,
        excess=settings.limit_excess,
        slack=settings.limit_slack,
    )
