"""Freshness of the configuration over a model of hosts, store and links."""

import asyncio
import random
from dataclasses import replace

import pytest

from apricotshore.freshness.bounds import Bounds
from apricotshore.pooling.stored_objects import Change, StoredKind
from standins.in_memory import ModelGroup

from .freshness_model import MODULES, REVOKE_MS, ModelFleet
from .virtual_time import run_in_virtual_time

KEYS = frozenset(f"{i:08x}" for i in range(40))
# Of a host whose calls all fail at once, for both kinds that it follows.
MOST_CALLS_PER_S = 2 / 0.15
# Longer than the longest time for which a host is frozen.
SETTLE_S = 12.0


def play(monkeypatch, fleet_of, work) -> None:
    """Run a fleet in virtual time; the work gets it once its hosts have started."""

    async def run() -> None:
        fleet = fleet_of()
        fleet.write_servers()
        fleet.write_version(KEYS)
        await fleet.start()
        try:
            await work(fleet)
        finally:
            await fleet.stop()

    run_in_virtual_time(monkeypatch, run(), MODULES)


def revoke(fleet: ModelFleet, rng: random.Random) -> None:
    kept = fleet.keys - {rng.choice(sorted(fleet.keys))}
    fleet.write_version(frozenset(kept), step=rng.choice((0, 1, 1, 3)))


def go_back(fleet: ModelFleet, rng: random.Random) -> None:
    """Write a lower version, in which no key returns."""
    fleet.write_version(fleet.keys, step=-1)
    fleet.version += 1


def cut_from_store(fleet: ModelFleet, rng: random.Random) -> None:
    hosts = list(fleet.hosts.values())
    for host in rng.sample(hosts, max(1, len(hosts) // 3)):
        host.faults.cut_from_store = True


def cut_link(fleet: ModelFleet, rng: random.Random) -> None:
    one, other = rng.sample(list(fleet.hosts.values()), 2)
    one.faults.cut_from.add(other.name)


def freeze(fleet: ModelFleet, rng: random.Random) -> None:
    now = asyncio.get_running_loop().time()
    host = rng.choice(list(fleet.hosts.values()))
    host.faults.frozen_until = now + rng.choice((0.2, 1, 4, 9))


def lose(fleet: ModelFleet, rng: random.Random) -> None:
    rng.choice(list(fleet.hosts.values())).faults.loss = rng.choice((0.05, 0.3))


def stop_store(fleet: ModelFleet, rng: random.Random) -> None:
    fleet.store.down = not fleet.store.down


def forget_history(fleet: ModelFleet, rng: random.Random) -> None:
    now = asyncio.get_running_loop().time()
    fleet.store.forgetting_since = None if fleet.store.forgetting_since else now


def restore(fleet: ModelFleet, rng: random.Random) -> None:
    """Restore the store, and write what it lost as another version."""
    fleet.store.restore(rng.randrange(3))
    fleet.write_version(fleet.keys, step=rng.choice((0, 1)))


def break_version(fleet: ModelFleet, rng: random.Random) -> None:
    """Write a malformed version."""
    change = Change(name="main", content=None, removed=False)
    fleet.store.write(StoredKind.CONFIGURATION, change)


def change_server(fleet: ModelFleet, rng: random.Random) -> None:
    """Have a server leave, be removed, or be listed again."""
    model = ModelGroup.make()
    name, server = rng.choice(list(model.servers.items()))
    content = model.list(server, leaving=rng.random() < 0.5)
    removed = rng.random() < 0.3
    fleet.store.write(
        StoredKind.SERVER,
        Change(name=name, content=None if removed else content, removed=removed),
    )


FAULTS = (
    *(revoke,) * 4,
    *(cut_from_store,) * 2,
    *(change_server,) * 2,
    cut_link,
    freeze,
    lose,
    stop_store,
    forget_history,
)
# A host that first reads a restored store can't tell a copy from later writes.
FAULTS_IN_ONE_ERA = (*FAULTS, go_back, break_version)
FAULTS_OF_RESTORES = (*FAULTS, restore)


async def disturb(fleet, rng, faults, seconds: float) -> None:
    """Play random faults, restarts and revocations for a time."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while loop.time() < until:
        if rng.random() < 0.1:
            await rng.choice(list(fleet.hosts.values())).restart()
        elif rng.random() < 0.1:
            heal(fleet)
        else:
            rng.choice(faults)(fleet, rng)
        await fleet.run(rng.uniform(0.0, 1.5))


def heal(fleet: ModelFleet) -> None:
    fleet.store.down = False
    fleet.store.forgetting_since = None
    for host in fleet.hosts.values():
        host.faults = replace(
            host.faults, cut_from_store=False, cut_from=set(), loss=0.0
        )


@pytest.mark.parametrize("seed", range(24))
def test_no_host_serves_a_revoked_key_later_than_the_bound(monkeypatch, seed):
    """Guards against a proof that is younger than what its store response showed."""

    async def work(fleet: ModelFleet) -> None:
        rng = random.Random(seed)
        await fleet.run(2.0)
        assert not fleet.list_stale()
        faults = FAULTS_IN_ONE_ERA if seed % 2 else FAULTS_OF_RESTORES
        await disturb(fleet, rng, faults, 60.0)
        assert fleet.store.calls < MOST_CALLS_PER_S * 60.0 * len(fleet.hosts)
        heal(fleet)
        fleet.write_version(fleet.keys)
        await fleet.run(SETTLE_S)
        assert not fleet.list_stale()
        assert {h.version for h in fleet.hosts.values()} == {fleet.version}
        listed = fleet.store.list_now(StoredKind.SERVER)
        assert all(h.servers == listed for h in fleet.hosts.values())

    count = (3, 6, 9)[seed % 3]
    play(monkeypatch, lambda: ModelFleet(count, 1 + seed // 3 % 2, seed=seed), work)


def test_all_serve_again_within_a_second_of_the_first_fresh_proof(monkeypatch):
    """Guards against back-offs and pauses that outlast an outage of the store."""

    async def work(fleet: ModelFleet) -> None:
        await fleet.run(3.0)
        fleet.store.down = True
        await fleet.run(REVOKE_MS / 1000 + 12.3)
        assert len(fleet.list_stale()) == len(fleet.hosts)
        assert all(h.rolled_back for h in fleet.hosts.values())
        fleet.store.down = False
        while len(fleet.list_stale()) == len(fleet.hosts):
            await fleet.run(0.02)
        await fleet.run(1.0)
        assert not fleet.list_stale()

    play(monkeypatch, lambda: ModelFleet(24, 3), work)


def test_a_third_cut_from_the_store_is_served_by_the_others_proofs(monkeypatch):
    """Guards against hosts that refuse requests while others could vouch for them."""

    async def work(fleet: ModelFleet) -> None:
        await fleet.run(3.0)
        for host in list(fleet.hosts.values())[::3]:
            host.faults.cut_from_store = True
        for _ in range(30):
            await fleet.run(0.5)
            assert not fleet.list_stale()
        fleet.write_version(KEYS - {min(KEYS)})
        await fleet.run(REVOKE_MS / 1000)
        cut = list(fleet.hosts.values())[::3]
        assert all(not h.freshness.is_fresh for h in cut)

    play(monkeypatch, lambda: ModelFleet(12, 1), work)


def test_an_isolated_host_stops_in_time_and_two_cannot_vouch_each_other(monkeypatch):
    """Guards against a chain of vouched proofs that keeps itself alive."""

    async def work(fleet: ModelFleet) -> None:
        await fleet.run(3.0)
        one, two, *others = fleet.hosts.values()
        for host in (one, two):
            host.faults.cut_from_store = True
            host.faults.cut_from = {h.name for h in others}
        fleet.write_version(KEYS - {min(KEYS)})
        await fleet.run(REVOKE_MS / 1000)
        assert set(fleet.list_stale()) == {one.name, two.name}
        assert one.rolled_back == two.rolled_back == 1

    play(monkeypatch, lambda: ModelFleet(6, 1), work)


def test_a_freeze_between_request_and_response_counts_as_age(monkeypatch):
    """Guards against the age of a response that is counted from its arrival."""

    async def work(fleet: ModelFleet) -> None:
        await fleet.run(3.0)
        asker = next(h for h in fleet.hosts.values() if not h.freshness.is_voucher)
        ask = asker.asker.peers.ask_freshness

        async def ask_and_freeze(host, request, timeout_s):
            response = await ask(host, request, timeout_s)
            asker.asker.peers.ask_freshness = ask
            asker.faults.cut_from_store = True
            asker.faults.cut_from = set(fleet.hosts)
            asker.faults.frozen_until = asyncio.get_running_loop().time() + 4.0
            fleet.write_version(KEYS - {min(KEYS)})
            await asker.thaw()
            return response

        asker.asker.peers.ask_freshness = ask_and_freeze
        await fleet.run(4.0 + REVOKE_MS / 1000)
        assert fleet.list_stale() == [asker.name]

    play(monkeypatch, lambda: ModelFleet(6, 1), work)


def test_a_watch_proves_nothing_that_it_may_have_missed(monkeypatch):
    """Guards against a watch's answer that is taken for one as of its request."""

    async def work(fleet: ModelFleet) -> None:
        (host,) = fleet.hosts.values()
        watch, asked = host.watcher.store.watch, []

        async def note(kind, revision, wait_ms):
            if kind is StoredKind.CONFIGURATION:
                asked.append(int(asyncio.get_running_loop().time() * 1000))
            return await watch(kind, revision, wait_ms)

        host.watcher.store.watch = note
        await fleet.run(5.0)
        read_at = host.freshness.proofs[StoredKind.CONFIGURATION].read_at
        assert read_at + 1_300 in asked

    play(monkeypatch, lambda: ModelFleet(1, 1), work)


def test_a_gap_before_a_malformed_version_costs_few_calls(monkeypatch):
    """Guards against a host that calls the store without a pause for lack of a proof.

    It has no proof until a version that can be used is written.
    """

    async def work(fleet: ModelFleet) -> None:
        (host,) = fleet.hosts.values()
        await fleet.run(3.0)
        fleet.store.down = True
        await fleet.run(3.0)
        break_version(fleet, random.Random(0))
        fleet.store.down = False
        await fleet.run(8.0)
        assert fleet.list_stale()
        before = fleet.store.calls
        await fleet.run(10.0)
        assert fleet.store.calls - before <= 20
        fleet.write_version(KEYS)
        await fleet.run(1.5)
        assert not fleet.list_stale()

    play(monkeypatch, lambda: ModelFleet(1, 1), work)


def test_changes_of_servers_reach_hosts_that_do_not_watch(monkeypatch):
    """Guards against servers that leave unnoticed where others vouch for the list."""

    async def work(fleet: ModelFleet) -> None:
        await fleet.run(4.0)
        model = ModelGroup.make()
        name, server = next(iter(model.servers.items()))
        leaving = Change(
            name=name, content=model.list(server, leaving=True), removed=False
        )
        fleet.store.write(StoredKind.SERVER, leaving)
        await fleet.run(3.0)
        assert all(h.servers[name].leaving for h in fleet.hosts.values())
        gone = Change(name=name, content=None, removed=True)
        fleet.store.write(StoredKind.SERVER, gone)
        await fleet.run(6.0)
        assert all(name not in h.servers for h in fleet.hosts.values())

    play(monkeypatch, lambda: ModelFleet(20, 2), work)


def test_a_list_hides_what_changed_back_before_it(monkeypatch):
    """Guards against a voucher that tells too early a revision of the last change."""

    async def work(fleet: ModelFleet) -> None:
        (host,) = fleet.hosts.values()
        await fleet.run(3.0)
        fleet.store.down = True
        model = ModelGroup.make()
        name, server = next(iter(model.servers.items()))
        for leaving in (True, False):
            content = model.list(server, leaving=leaving)
            change = Change(name=name, content=content, removed=False)
            fleet.store.write(StoredKind.SERVER, change)
        await fleet.run(5.0)
        fleet.store.down = False
        await fleet.run(3.0)
        assert host.freshness.servers_state.changed == fleet.store.revision

    play(monkeypatch, lambda: ModelFleet(1, 1), work)


def test_hosts_of_the_version_before_vouch_for_nobody(monkeypatch):
    """Guards against a rolling upgrade in which hosts wait for responses."""

    async def work(fleet: ModelFleet) -> None:
        for host in list(fleet.hosts.values())[::2]:
            host.faults.is_earlier = True
        for _ in range(20):
            await fleet.run(1.0)
            assert not fleet.list_stale()

    play(monkeypatch, lambda: ModelFleet(8, 1), work)


def count_calls(monkeypatch, fleet_of, seconds: float = 30.0) -> float:
    """Return the calls to the store per host and second."""
    counts: list[float] = []

    async def work(fleet: ModelFleet) -> None:
        await fleet.run(8.0, 1.0)
        before = fleet.store.calls
        await fleet.run(seconds, 1.0)
        counts.append((fleet.store.calls - before) / seconds / len(fleet.hosts))

    play(monkeypatch, fleet_of, work)
    return counts[0]


@pytest.mark.parametrize(("count", "regions", "share"), [(6, 3, 0.9), (40, 2, 0.2)])
def test_calls_to_the_store_fall(monkeypatch, count, regions, share):
    """Guards against hosts that watch though others vouch for them."""
    today = count_calls(
        monkeypatch, lambda: ModelFleet(count, regions, bounds=Bounds(), asks=False)
    )
    vouched = count_calls(monkeypatch, lambda: ModelFleet(count, regions))
    assert vouched <= share * today
