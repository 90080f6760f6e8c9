"""Connections that belong to organisations."""

import asyncio

import pytest

from apricotshore.decisions import wait_queue
from apricotshore.decisions.relays import Detour, Fleet, ListedHost
from apricotshore.identifiers import DataCentreId, HostId, OrganisationId, RequestId
from apricotshore.pooling.pooled_connection import NoConnectionError
from apricotshore.pooling.ports import ConnectionLostError
from apricotshore.pooling.relay_dialer import RelayDialer
from apricotshore.queries import Query, QueryKind
from apricotshore.services.clock import read_boot_ms
from standins.in_memory import GROUP, ModelGroup

from .callers_of_organisations import HELP, OrganisationsBed, begin, end
from .support import make_journal, read, write
from .test_pool import S1, make_pool

ACME, AJAX = OrganisationId("acme"), OrganisationId("ajax")


def set_value(name: str) -> Query:
    return Query(kind=QueryKind.SET, request=RequestId("s"), name="who", value=name)


@pytest.mark.parametrize(("callers", "pause_s"), [(3, 0.0), (1, 0.01)])
async def test_statements_of_organisations_never_meet_under_pool_pressure(
    callers, pause_s
):
    """Two connections for the callers of three organisations and of a public route.

    With pauses the connections are idle in between, without they are passed on.
    """
    names = ["acme", "ajax", "apex"]
    bed = OrganisationsBed(*((name, f"key-{name}") for name in names))
    for pool in bed.host.group.pools.values():
        pool.quota.limit = 6
    owners: dict[str, str | None] = {}

    async def work(name: str | None, number: int) -> None:
        database = {"database": HELP} if name is None else {}
        caller = await bed.open(f"key-{name}", **database)
        await caller.ask(set_value(str(name)))
        for turn in range(6):
            request = f"{name}-{number}-{turn}"
            owners[request] = name
            await asyncio.sleep(pause_s * (1 + names.index(name) if name else 1))
            if turn % 2:
                await caller.ask(read(request))
                continue
            await caller.ask(begin())
            await caller.ask(write(request))
            await caller.ask(end(QueryKind.COMMIT))

    async with asyncio.TaskGroup() as tasks:
        for number in range(callers):
            for name in (*names, None):
                tasks.create_task(work(name, number))
    links = bed.host.dialer.links
    seen = [
        (link.organisation, owners[query.request], values)
        for link in links
        for query, values in link.received
        if query.request in owners
    ]
    assert len({organisation for organisation, _, _ in seen}) == 4
    assert all(organisation == owner for organisation, owner, _ in seen)
    assert all(values == {"who": str(owner)} for _, owner, values in seen)
    assert bed.pool.evictions > 0
    assert bed.pool.held <= 3


async def acquire(pool, organisation=None, wait_ms=5_000, **fields):
    expires_at = read_boot_ms() + wait_ms
    return await pool.acquire({}, 1, expires_at, organisation=organisation, **fields)


def make_full_pool(held: int = 2):
    model = ModelGroup.make()
    pool = make_pool(model)
    pool.quota.limit = held * 2 + 2
    return model, pool


async def test_full_pool_closes_the_longest_idle_connection_of_another_organisation():
    _, pool = make_full_pool(3)
    own, first, second = [await acquire(pool, o) for o in (AJAX, ACME, None)]
    for pooled, since in ((second, 3), (first, 2), (own, 1)):
        pool.release(pooled, clean=True)
        pooled.idle_since = since
    kept = await acquire(pool, AJAX)
    assert kept is own
    taken = await acquire(pool, AJAX)
    assert taken.organisation == AJAX
    assert not first.link.open
    assert second.link.open
    assert pool.held == 3


async def test_pause_after_a_refusal_does_not_keep_an_organisation_waiting():
    """Closing one connection for another takes none from other hosts."""
    model, pool = make_full_pool()
    model.limit = 1
    pool.release(await acquire(pool, ACME), clean=True)
    with pytest.raises(NoConnectionError):
        one = await acquire(pool, ACME)
        await acquire(pool, ACME, 20)
    pool.release(one, clean=True)
    assert (await acquire(pool, AJAX)).organisation == AJAX
    assert model.servers[S1].connections == 1


async def test_released_connection_goes_to_its_organisation_for_a_bounded_time(
    monkeypatch,
):
    monkeypatch.setattr(wait_queue, "REUSE_MS", 10_000)
    _, pool = make_full_pool(1)
    pooled = await acquire(pool, ACME)
    other = asyncio.create_task(acquire(pool, AJAX))
    await asyncio.sleep(0)
    own = asyncio.create_task(acquire(pool, ACME))
    await asyncio.sleep(0.005)
    pool.release(pooled, clean=True)
    assert await own is pooled
    again = asyncio.create_task(acquire(pool, ACME))
    await asyncio.sleep(0.005)
    monkeypatch.setattr(wait_queue, "REUSE_MS", 1)
    pool.release(pooled, clean=True)
    taken = await other
    assert taken.organisation == AJAX
    assert not pooled.link.open
    pool.release(taken, clean=True)
    assert (await again).organisation == ACME
    assert pool.held == 1


async def test_room_for_a_statement_that_gives_up_is_not_lost():
    _, pool = make_full_pool(1)
    pooled = await acquire(pool, ACME)
    other = asyncio.create_task(acquire(pool, AJAX))
    await asyncio.sleep(0.01)
    pool.release(pooled, clean=True)
    other.cancel()
    await asyncio.gather(other, return_exceptions=True)
    assert pool.held == 0
    assert (await acquire(pool, ACME)).organisation == ACME


async def test_statement_of_the_proxy_itself_runs_on_any_idle_connection():
    """A connection of its own at each server would take room from organisations."""
    model, pool = make_full_pool()
    pool.release(await acquire(pool, ACME), clean=True)
    await pool.run_alone(Query(kind=QueryKind.STATUS), 0, 200)
    assert model.servers[S1].connections == 1
    assert (await acquire(pool)).organisation is None


class RecordingDialer:
    """Dialer that reaches nobody and keeps whom it was asked for."""

    def __init__(self) -> None:
        self.asked: list[tuple[str, str | None]] = []

    async def dial(self, server, timeout_s, organisation=None):
        self.asked.append((server.address, organisation))
        raise ConnectionLostError("nobody", sent=False)


def make_relayed(
    knowing: int, local: str = "h9"
) -> tuple[RecordingDialer, RelayDialer]:
    """Return a host behind relays, the first of which know organisations."""
    hosts = {
        HostId(f"h{n}"): ListedHost(
            host=HostId(f"h{n}"),
            data_centre=DataCentreId("a"),
            address=f"h{n}",
            knows_organisations=n < knowing,
        )
        for n in range(30)
    }
    direct = RecordingDialer()
    dialer = RelayDialer(
        direct=direct,
        fleet=Fleet(local_host=HostId(local), hosts=hosts, by_organisation=True),
        measure=lambda one, other: 0,
        journal=make_journal(),
    )
    dialer.limits[GROUP] = 20
    return direct, dialer


async def list_asked(knowing: int, organisation, local: str = "h9") -> list[str]:
    direct, dialer = make_relayed(knowing, local)
    model = ModelGroup.make()
    listed = model.list(model.servers[S1])
    with pytest.raises(ConnectionLostError):
        await dialer.dial(listed, 0.1, organisation)
    assert {o for _, o in direct.asked} == {organisation}
    return [address for address, _ in direct.asked if address != listed.address]


async def test_relays_of_the_previous_version_get_nothing_of_organisations():
    """They would run it under the word of no organisation."""
    asked = await list_asked(8, ACME)
    assert len(asked) >= 3
    assert set(asked) <= {f"h{n}" for n in range(8)}
    assert await list_asked(0, ACME) == []


async def test_detour_of_the_previous_version_gets_nothing_of_organisations():
    direct, dialer = make_relayed(0)
    model = ModelGroup.make()
    listed = model.list(model.servers[S1])
    for organisation, ways in ((ACME, [listed.address]), (None, ["h5"])):
        direct.asked.clear()
        dialer.fleet.detours.clear()
        relays_until = read_boot_ms() + 10_000
        dialer.fleet.detours[S1] = Detour(host=HostId("h5"), until=relays_until)
        with pytest.raises(ConnectionLostError):
            await dialer.dial(listed, 0.1, organisation)
        assert [address for address, _ in direct.asked][:1] == ways


async def test_all_hosts_send_an_organisation_through_the_same_relay():
    """Each relay then holds connections of few organisations, and uses them again."""
    first = {(await list_asked(30, ACME, local))[0] for local in ("h9", "h8", "h7")}
    assert len(first) == 1
    chosen = {(await list_asked(30, OrganisationId(f"o{n}")))[0] for n in range(40)}
    assert len(chosen) == 4
