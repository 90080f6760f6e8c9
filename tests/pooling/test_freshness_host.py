"""A host whose configuration has organisations, as its proof gets too old."""

import asyncio
from dataclasses import replace

import pytest

from apricotshore.identifiers import KeyDigest, OrganisationId, StoreRevision
from apricotshore.pooling.journal import EventKind
from apricotshore.pooling.settings import parse_pooling_settings
from apricotshore.pooling.stored_objects import Change, StoredKind
from apricotshore.queries import FailureCode
from apricotshore.routes import Configuration, Organisation
from tests.test_pooling_settings import GOOD

from .support import make_route, wait_until
from .test_host import SHOP, configure, running_host

REVOKE_MS = 600
STRICT = GOOD.replace("[regions]", f"revoke-within = {REVOKE_MS} ms\n\n[regions]")
OLD_KEY, NEW_KEY = KeyDigest("a" * 64), KeyDigest("b" * 64)


def write_keys(store, version: int, *keys: KeyDigest) -> None:
    organisation = Organisation(organisation=OrganisationId("o"), keys=frozenset(keys))
    content = Configuration(
        revision=StoreRevision(version),
        version=version,
        routes={SHOP: make_route()},
        organisations={organisation.organisation: organisation},
    )
    change = Change(name="main", content=content, removed=False)
    store.lists[StoredKind.CONFIGURATION] = [change]
    store.events[StoredKind.CONFIGURATION].put_nowait(change)


@pytest.fixture
def lines(monkeypatch):
    """Return the events that hosts record."""
    found: list[tuple[EventKind, dict]] = []
    from apricotshore.pooling import journal

    record = journal.Journal.record

    def collect(self, step, **details):
        found.append((step, details))
        record(self, step, **details)

    monkeypatch.setattr(journal.Journal, "record", collect)
    return found


async def test_a_host_without_a_recent_proof_refuses_keyed_requests(lines):
    """Guards against keyed requests that run at a host that is cut off."""
    async with running_host(STRICT) as (host, store):
        write_keys(store, 1, OLD_KEY)
        await wait_until(lambda: host.is_ready)
        rolled_back = []
        host.freshness.on_stale = lambda: rolled_back.append(True)
        refuse_keyed = host.callers.context.refuse_keyed

        def may_serve():
            return refuse_keyed() is None

        assert may_serve()
        store.down = True
        await asyncio.sleep(REVOKE_MS / 1000)
        assert not may_serve()
        assert not host.is_ready
        assert rolled_back == [True]
        error = host.freshness.make_refusal()
        assert error.code is FailureCode.OVERLOADED
        assert "retry-after-ms=" in error.detail
        host.refresh_metrics()
        assert host.metrics.keyed_refusals.get({}) == 1
        store.down = False
        await wait_until(lambda: host.is_ready)
        assert may_serve()
    steps = [step for step, _ in lines]
    refused = dict(lines)[EventKind.KEYED_REFUSED]
    assert refused["proof_age_ms"] > refused["bound_ms"]
    assert steps.index(EventKind.CONFIGURATION_STALE) < steps.index(
        EventKind.CONFIGURATION_FRESH
    )


async def test_the_line_of_a_version_names_the_revoked_keys_in_part(lines):
    async with running_host(STRICT) as (host, store):
        write_keys(store, 1, OLD_KEY, NEW_KEY)
        await wait_until(lambda: host.is_ready)
        write_keys(store, 2, NEW_KEY)
        await wait_until(lambda: host.store_watcher.configuration.version == 2)
    applied = [d for step, d in lines if step is EventKind.CONFIGURATION_APPLIED]
    assert [d["revoked"] for d in applied] == [None, [OLD_KEY[:8]]]
    assert applied[1]["proof_age_ms"] >= 0


@pytest.mark.parametrize("text", [GOOD, STRICT])
async def test_without_organisations_or_a_bound_no_proof_is_needed(text):
    """Guards against a deployment that pays for what it does not use."""
    async with running_host(text) as (host, store):
        if text is GOOD:
            write_keys(store, 1, OLD_KEY)
        else:
            configure(store)
        await wait_until(lambda: host.is_ready)
        store.down = True
        await asyncio.sleep(REVOKE_MS / 1000)
        assert host.is_ready
        assert host.callers.context.refuse_keyed() is None
        assert host.freshness.choose_wait_ms(StoredKind.CONFIGURATION) is None
        assert host.freshness.should_read(StoredKind.SERVER)


async def test_a_bound_takes_effect_when_the_settings_are_reloaded():
    async with running_host(GOOD) as (host, store):
        write_keys(store, 1, OLD_KEY)
        await wait_until(lambda: host.is_ready)
        host.reload(parse_pooling_settings(STRICT, "host.ini"))
        await wait_until(lambda: host.freshness.is_fresh)
        store.down = True
        await wait_until(lambda: not host.is_ready)
        host.reload(replace(host.settings, revoke_ms=0))
        assert host.is_ready
