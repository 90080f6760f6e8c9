"""Service of rate limits: several hosts in one process, in virtual time."""

import asyncio
import os
from dataclasses import replace

from aioprometheus import Registry

from apricotshore.decisions.relays import ListedHost
from apricotshore.identifiers import DataCentreId, HostId, StoreEra, StoreRevision
from apricotshore.pooling import rate_limiter
from apricotshore.pooling.journal import Journal
from apricotshore.pooling.limit_metrics import LimitMetrics
from apricotshore.pooling.ports import ConnectionLostError
from apricotshore.pooling.rate_limiter import RateLimiter
from apricotshore.pooling.settings import parse_pooling_settings
from apricotshore.rate_decisions import ADMITTED, Limited
from apricotshore.routes import Configuration
from tests.limits.model import LARGE, TINY, make_organisation
from tests.test_pooling_settings import GOOD

from .virtual_time import run_in_virtual_time

ORGANISATIONS = [make_organisation(LARGE, 100, 50), make_organisation(TINY, 1, 1)]
CONFIGURATION = Configuration(
    revision=StoreRevision(1),
    organisations={o.organisation: o for o in ORGANISATIONS},
)


class Network:
    """Hosts of the fleet, as each other's peers."""

    def __init__(self) -> None:
        self.limiters = {}
        self.down = set()
        self.requests = 0
        self.delay_s = 0.002

    async def ask(self, host, request, timeout_s):
        self.requests += 1
        await asyncio.sleep(self.delay_s)
        if host.host in self.down:
            await asyncio.sleep(timeout_s)
            raise ConnectionLostError("down", sent=True)
        reply = await self.limiters[host.host].answer(request)
        if reply is None:
            raise ConnectionLostError("no allocator", sent=True)
        return reply

    async def has_ended(self, host, timeout_s):
        return host.host in self.down

    def make(self, name, configuration=CONFIGURATION, window_ms=5_000):
        settings = replace(
            parse_pooling_settings(GOOD, "good"),
            host=HostId(name),
            limit_window_ms=window_ms,
            limit_excess=0.1,
            limit_slack=20,
        )
        limiter = RateLimiter(
            settings=settings,
            peers=self,
            host_peers=self,
            configuration=lambda: configuration,
            journal=Journal(host=name, descriptor=os.open(os.devnull, os.O_WRONLY)),
            metrics=LimitMetrics(registry=Registry()),
            process=7,
        )
        self.limiters[HostId(name)] = limiter
        return limiter

    async def start(self):
        listed = {
            h: ListedHost(host=h, data_centre=DataCentreId("z"), address=h, process=7)
            for h in self.limiters
        }
        for limiter in self.limiters.values():
            limiter.update_hosts(listed, StoreEra(1))
            await limiter.start()

    async def stop(self):
        for limiter in self.limiters.values():
            await limiter.stop()


def play(monkeypatch, work):
    run_in_virtual_time(monkeypatch, work, modules=(rate_limiter,))


def test_fleet_serves_the_limit_and_rejects_the_rest_at_once(monkeypatch):
    async def work():
        network = Network()
        limiters = [network.make(name) for name in "abc"]
        await network.start()
        await asyncio.sleep(5)
        loop = asyncio.get_running_loop()
        began = loop.time()
        verdicts, longest = [], 0.0
        while loop.time() < began + 5:
            for limiter in limiters:
                asked_at = loop.time()
                verdicts.append(await limiter.admit(LARGE))
                longest = max(longest, loop.time() - asked_at)
            await asyncio.sleep(0.004)
        admitted = verdicts.count(ADMITTED)
        assert 500 <= admitted <= (500 + 50) * 1.1 + 20
        assert all(v is ADMITTED or v.retry_ms >= 1 for v in verdicts)
        assert longest <= rate_limiter.WAIT_S + 0.001
        for limiter in limiters:
            limiter.refresh_metrics()
        await network.stop()

    play(monkeypatch, work())


def test_tiny_organisation_is_served_at_any_host(monkeypatch):
    async def work():
        network = Network()
        limiters = [network.make(name) for name in "abcdef"]
        await network.start()
        await asyncio.sleep(8)
        for number in range(20):
            assert await limiters[number % 6].admit(TINY) is ADMITTED
            await asyncio.sleep(1.05)
        await network.stop()

    play(monkeypatch, work())


def test_fleet_goes_on_without_an_allocator_that_died(monkeypatch):
    async def work():
        network = Network()
        limiters = {name: network.make(name) for name in "abc"}
        await network.start()
        await asyncio.sleep(5)
        died = limiters["a"].limits.choice.home[0]
        network.down.add(died)
        await limiters[died].stop()
        await asyncio.sleep(5)
        for name, limiter in limiters.items():
            if name != died:
                assert await limiter.admit(LARGE) is ADMITTED
        shares = [x.limits.allocator.share for n, x in limiters.items() if n != died]
        assert sum(shares) == 1
        await network.stop()

    play(monkeypatch, work())


def test_operation_waits_no_longer_than_its_time_for_a_silent_fleet(monkeypatch):
    async def work():
        network = Network()
        limiter = network.make("a")
        for name in "bcd":
            network.make(name)
        await network.start()
        network.down = {HostId(n) for n in "bcd"}
        network.delay_s = 60
        asked_at = asyncio.get_running_loop().time()
        verdict = await limiter.admit(LARGE)
        assert isinstance(verdict, Limited)
        assert asyncio.get_running_loop().time() - asked_at <= 0.16
        assert not limiter.waiters
        assert limiter.limits.holdings.holdings[LARGE].waiting == 0
        await network.stop()

    play(monkeypatch, work())


def test_nothing_runs_without_a_window_or_a_rate(monkeypatch):
    """Guards deployments without rate limits against messages and rejections."""

    async def work():
        network = Network()
        plain = Configuration(revision=StoreRevision(1))
        no_rate = replace(
            CONFIGURATION,
            organisations={LARGE: replace(ORGANISATIONS[0], rate_per_s=None)},
        )
        limiters = [
            network.make("a", window_ms=0),
            network.make("b", configuration=plain),
            network.make("c", configuration=no_rate),
        ]
        await network.start()
        for limiter in limiters:
            for _ in range(1_000):
                assert await limiter.admit(LARGE) is ADMITTED
            assert await limiter.admit(None) is ADMITTED
            limiter.refresh_metrics()
        await asyncio.sleep(10)
        assert network.requests == 0
        await network.stop()

    play(monkeypatch, work())
