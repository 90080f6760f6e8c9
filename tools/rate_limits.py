"""Benchmark of rate limits: an admission with a held token, and an allocator's answer.

Prints microseconds, the smallest and the median of several rounds.
"""

import asyncio
import os
import statistics
import time
from collections.abc import Callable, Iterable

from aioprometheus import Registry

from apricotshore.decisions.relays import ListedHost
from apricotshore.identifiers import (
    DataCentreId,
    HostId,
    OrganisationId,
    StoreEra,
    StoreRevision,
)
from apricotshore.limits import allocator as allocators
from apricotshore.limits import host_limits
from apricotshore.limits.budget import LimitSettings, derive_budgets
from apricotshore.limits.holdings import find_holding
from apricotshore.limits.host_limits import HostLimits
from apricotshore.pooling.journal import Journal
from apricotshore.pooling.limit_metrics import LimitMetrics
from apricotshore.pooling.ports import HostPeers
from apricotshore.pooling.rate_limiter import RateLimiter
from apricotshore.pooling.settings import PoolingSettings
from apricotshore.rate_decisions import ADMITTED
from apricotshore.routes import Configuration, Organisation
from apricotshore.services.clock import read_boot_ms

ROUNDS = 9
ADMISSIONS = 50_000
REPORTS = 20
ORGANISATIONS = 85
FLEETS = (6, 86, 300)
WINDOW_MS = 5_000
LEASE_MS = 600_000


def make_organisations() -> dict[OrganisationId, Organisation]:
    """Return as many organisations as the large deployment has."""
    names = [OrganisationId(f"organisation-{n}") for n in range(ORGANISATIONS)]
    return {
        name: Organisation(organisation=name, rate_per_s=100, burst=100)
        for name in names
    }


def make_limiter(configuration: Configuration) -> RateLimiter:
    """Return the service of a host that isn't started and asks nobody."""
    settings = PoolingSettings(
        host=HostId("a"),
        data_centre=DataCentreId("z"),
        caller_address="",
        ready_address="",
        metrics_address="",
        store_address="",
        promotion_address="",
        limit_window_ms=WINDOW_MS,
    )
    return RateLimiter(
        settings=settings,
        peers=None,
        host_peers=NoPeers(),
        configuration=lambda: configuration,
        journal=Journal(host="a", descriptor=os.open(os.devnull, os.O_WRONLY)),
        metrics=LimitMetrics(registry=Registry()),
        process=1,
    )


class NoPeers(HostPeers):
    """Other hosts, which nobody asks."""


async def time_admissions() -> float:
    """Return the time of one admission with a held token, in microseconds."""
    organisations = make_organisations()
    limiter = make_limiter(
        Configuration(revision=StoreRevision(1), organisations=organisations)
    )
    name = next(iter(organisations))
    now = read_boot_ms()
    holding = find_holding(limiter.limits.holdings, name, now)
    holding.tokens = ADMISSIONS + 1
    holding.expires_at = now + LEASE_MS
    assert await limiter.admit(name) is ADMITTED
    began = time.perf_counter()
    for _ in range(ADMISSIONS):
        await limiter.admit(name)
    return (time.perf_counter() - began) / ADMISSIONS * 1e6


def time_answers(hosts: int, active: int) -> float:
    """Return the time of an allocator's answer to a report, in microseconds.

    Parameters
    ----------
    hosts
        Hosts of the fleet, all of which report.
    active
        Organisations that each report names.
    """
    organisations = make_organisations()
    settings = LimitSettings(window_ms=WINDOW_MS, excess=0.1, slack=20)
    budgets = derive_budgets(organisations, settings)
    listed = [
        ListedHost(
            host=HostId(f"h{n}"),
            data_centre=DataCentreId("z"),
            address="",
            process=1,
        )
        for n in range(hosts)
    ]
    fleet = []
    for entry in listed:
        limits = HostLimits(host=entry.host, process=1, started_at=0, budgets=budgets)
        host_limits.update_hosts(limits, listed, StoreEra(1), 0)
        fleet.append(limits)
    first = fleet[0]
    spent = 0.0
    for number in range(REPORTS + 10):
        for place, limits in enumerate(fleet):
            interval = limits.interval_ms
            now = 10_000 + number * interval + place * interval // hosts
            for name in list(organisations)[:active]:
                host_limits.try_admit(limits, name, now)
            ask = host_limits.make_ask(limits, now)
            began = time.perf_counter()
            reply = allocators.answer(
                first.allocator, first.roster, budgets, ask.request, now
            )
            if number >= 10:
                spent += time.perf_counter() - began
            host_limits.take_reply(limits, ask, reply, now)
    assert first.allocator.share == 1
    return spent / (REPORTS * hosts) * 1e6


def repeat(measure: Callable[[], float], rounds: int = ROUNDS) -> list[float]:
    """Return the results of several rounds."""
    return [measure() for _ in range(rounds)]


def show(name: str, results: Iterable[float]) -> None:
    """Print the smallest and the median result."""
    values = sorted(results)
    middle = statistics.median(values)
    print(f"{name}: {values[0]:.2f} us, median {middle:.2f} us", flush=True)


def main() -> None:
    """Run the benchmark."""
    show("admission", repeat(lambda: asyncio.run(time_admissions())))
    for hosts in FLEETS:
        for active in (0, 4):
            results = repeat(lambda h=hosts, a=active: time_answers(h, a), 3)
            show(f"answer, {hosts} hosts, {active} active", results)


if __name__ == "__main__":
    main()
