"""Service that asks other hosts to vouch for the configuration."""

import asyncio

from mode import Service

from ..decisions import relays
from ..decisions.relays import Fleet, ListedHost
from ..freshness import bounds as times
from ..freshness.vouchers import (
    VoucherOrder,
    choose_helpers,
    choose_vouchers,
    rank_vouchers,
)
from ..identifiers import HostId
from ..services.clock import read_boot_ms
from .ports import ConnectionLostError, FreshnessPeers
from .settings import PoolingSettings
from .stored_objects import StoredKind
from .supervision import keep_running
from .vouching import Vouching

# Longest time after which a proof that became too old is noticed without a request.
CHECK_S = 0.1


class FreshnessAsker(Service):
    """Service that asks other hosts how old their proofs are.

    Parameters
    ----------
    vouching
        Requests and responses of this host.
    settings
        Settings of the host.
    fleet
        The other hosts. Those that failed to vouch are kept apart from those that
        failed as relays.
    peers
        Client of the other hosts; None where none of them is asked.
    """

    def __init__(
        self,
        *,
        vouching: Vouching,
        settings: PoolingSettings,
        fleet: Fleet,
        peers: FreshnessPeers | None,
    ) -> None:
        super().__init__()
        self.vouching = vouching
        self.freshness = vouching.freshness
        self.settings = settings
        self.fleet = fleet
        self.peers = peers
        self.journal = self.freshness.journal
        self.failures = Fleet(local_host=fleet.local_host)
        self.order = VoucherOrder()
        # What the order was made of.
        self.ranked: tuple[dict[HostId, ListedHost], PoolingSettings] | None = None
        self.rounds = 0
        # Host beside the vouchers that was of use in the last round that needed one.
        self.helper: ListedHost | None = None

    @Service.task
    @keep_running
    async def _ask_periodically(self) -> None:
        while not self.should_stop:
            began = read_boot_ms()
            if self.freshness.is_active and self.peers is not None:
                await self.run_round()
            left_ms = began + times.ASK_PERIOD_MS - read_boot_ms()
            await asyncio.sleep(max(left_ms, 0) / 1000)

    @Service.task
    @keep_running
    async def _check_age(self) -> None:
        while not self.should_stop:
            self.freshness.check()
            await asyncio.sleep(CHECK_S)

    async def run_round(self) -> None:
        """Ask two vouchers in turn, and others if there is still no recent proof."""
        freshness = self.freshness
        local = self.fleet.local_host
        order = self._rank()
        backed_off = relays.list_backed_off(self.failures, read_boot_ms())
        asked = choose_vouchers(order, local, backed_off)
        freshness.is_voucher = not asked
        source: HostId | None = None
        for host in asked:
            if await self._ask(host):
                source = host.host
                break
        if not freshness.is_proven_for_round((StoredKind.CONFIGURATION,)):
            self.rounds += 1
            helpers = choose_helpers(order, asked, self.rounds)
            if self.helper in order.helpers and self.helper not in (*asked, *helpers):
                helpers.append(self.helper)
            useful = await asyncio.gather(*(self._ask(host) for host in helpers))
            found = [
                h for h, is_useful in zip(helpers, useful, strict=True) if is_useful
            ]
            self.helper = found[-1] if found else None
        gave_up = source is None and len(asked) == times.ASKED_PER_ROUND
        freshness.end_round(source, gave_up=gave_up)

    def _rank(self) -> VoucherOrder:
        """Return the order of the listed hosts, made anew when the list has changed."""
        hosts, settings = self.fleet.hosts, self.settings
        if self.ranked != (hosts, settings):
            self.ranked = (hosts, settings)
            self.order = rank_vouchers(
                hosts.values(),
                self.fleet.local_host,
                settings.data_centre,
                lambda data_centre: settings.regions.get(data_centre, data_centre),
            )
        return self.order

    async def _ask(self, host: ListedHost) -> bool:
        """Ask a host; return whether its response was of use."""
        if self.peers is None:
            return False
        asked_at = read_boot_ms()
        request = self.vouching.make_request()
        try:
            response = await self.peers.ask_freshness(
                host, request, times.ASK_TIMEOUT_MS / 1000
            )
        except ConnectionLostError:
            is_useful = False
        else:
            is_useful = self.vouching.observe_response(response, asked_at)
        if is_useful:
            relays.observe_success(self.failures, host.host)
        else:
            relays.observe_failure(self.failures, host.host, read_boot_ms())
        return is_useful
