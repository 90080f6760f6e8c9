"""Proposal and approval of bundles against the platform stand-in.

Covers concurrent approvals, lost answers to writes, history and withdrawals.
"""

import asyncio
from contextlib import asynccontextmanager

import pytest
from aiohttp.test_utils import TestServer

from apricotshore.bundles import parse_bundle
from apricotshore.exceptions import ConflictError, SignatureError
from apricotshore.services import operations
from apricotshore.services.platform import PlatformClient
from standins.platform import Store, make_application

from .test_bundles import KEY, VALID_BUNDLE
from .test_manifests import KEYS, get_public


def make_bundle(version, staleness="5 s"):
    text = VALID_BUNDLE.replace(KEY, get_public("ana"), 1).replace(
        KEY, get_public("rui"), 1
    )
    text = text.replace("version = 4", f"version = {version}")
    return parse_bundle(text.replace("5 s", staleness), "bundle")


@asynccontextmanager
async def run_platform():
    store = Store()
    server = TestServer(make_application(store))
    await server.start_server()
    client = PlatformClient(address=f"{server.host}:{server.port}")
    try:
        yield store, client
    finally:
        await client.close()
        await server.close()


async def propose(client, bundle, author="ana"):
    return await operations.propose_bundle(client, bundle, author, KEYS[author])


async def approve(client, name, approver="rui"):
    return await operations.approve_bundle(client, name, approver, KEYS[approver])


async def test_bundle_is_accepted_and_kept_in_history():
    async with run_platform() as (_, client):
        await approve(client, await propose(client, make_bundle(1)))
        await approve(client, await propose(client, make_bundle(2, "6 s")))
        current = await operations.read_current_bundle(client)
        assert current.bundle.version == 2
        history = await operations.list_history(client)
        assert [root.version for root in history] == [1, 2]


async def test_author_cannot_approve_own_bundle():
    async with run_platform() as (_, client):
        name = await propose(client, make_bundle(1))
        with pytest.raises(SignatureError):
            await approve(client, name, approver="ana")
        assert (await operations.read_current_bundle(client)).bundle.version == 0


async def test_concurrent_approvals_accept_one_and_name_it_to_the_other():
    async with run_platform() as (_, client):
        await approve(client, await propose(client, make_bundle(1)))
        one = await propose(client, make_bundle(2, "6 s"), "ana")
        two = await propose(client, make_bundle(2, "7 s"), "rui")
        results = await asyncio.gather(
            approve(client, one, "rui"),
            approve(client, two, "ana"),
            return_exceptions=True,
        )
        lost = [r for r in results if isinstance(r, ConflictError)]
        won = [r for r in results if not isinstance(r, Exception)]
        assert len(lost) == 1 and len(won) == 1
        assert won[0].author.person in lost[0].message
        assert operations.make_proposal_name(won[0]) in lost[0].message
        current = await operations.read_current_bundle(client)
        assert current.root.attempt == won[0].attempt


async def test_lost_response_to_accepted_write_is_resolved():
    async with run_platform() as (store, client):
        name = await propose(client, make_bundle(1))
        store.lose_answers = 1
        root = await approve(client, name)
        current = await operations.read_current_bundle(client)
        assert current.root.attempt == root.attempt
        assert current.bundle.version == 1


async def test_versions_only_go_up():
    async with run_platform() as (_, client):
        old = await propose(client, make_bundle(1))
        await approve(client, old)
        with pytest.raises(ConflictError):
            await propose(client, make_bundle(1, "9 s"))
        with pytest.raises(ConflictError):
            await approve(client, old)


async def test_withdrawal_is_recorded_in_signed_root():
    async with run_platform() as (_, client):
        await approve(client, await propose(client, make_bundle(1)))
        text = VALID_BUNDLE.replace(KEY, get_public("ana"), 1)
        text = text.replace(KEY, get_public("rui"), 1).replace("= 4", "= 2")
        bundle = parse_bundle(text.replace("members-app", "other"), "bundle")
        await approve(client, await propose(client, bundle))
        version, databases = await operations.find_withdrawal(client, "members-app")
        assert version == 2 and databases == ("deliveries",)
        proof = (await operations.prove_withdrawal(client, "members-app")).proof
        assert not proof.proved
        assert "no record" in proof.missing[0]
