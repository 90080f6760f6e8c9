"""Withdrawal of a caller and its proof, tested with live processes."""

import asyncio
import signal
import time

import aiomysql
from pymysql.err import MySQLError

from apricotshore.bundles import parse_bundle
from apricotshore.groups import LOG_START
from apricotshore.identifiers import CallerId
from apricotshore.requests import Action, Request
from apricotshore.services import operations
from apricotshore.services.backends import Endpoint
from apricotshore.services.owner import DatabaseOwner, OwnerHooks
from apricotshore.services.platform import PlatformClient
from apricotshore.verdicts import Verdict
from standins.deployment import Deployment, DeploymentOptions, run_sql

PROOF_TIMEOUT_S = 15.0
READ = "SELECT COUNT(*) FROM delivery /* kind='balance' */"
WITHDRAWN_CALLER = CallerId("old-branch")
FAILURES = (MySQLError, aiomysql.InterfaceError, OSError, RuntimeError)


def find_owner(deployment):
    for number in range(deployment.options.hosts):
        text = deployment.read_metrics(number)
        if "apricotshore_databases_owned 1" in text:
            return number
    raise AssertionError("no host owns the database")


async def is_served(connection):
    try:
        await asyncio.wait_for(run_sql(connection, READ), 3)
        return True
    except (*FAILURES, TimeoutError):
        return False


async def wait_for_proof(deployment, bound_s=PROOF_TIMEOUT_S):
    client = PlatformClient(address=deployment.platform_address)
    deadline = time.monotonic() + bound_s
    try:
        while True:
            proof = (await operations.prove_withdrawal(client, WITHDRAWN_CALLER)).proof
            if proof.proved or time.monotonic() > deadline:
                return proof
            await asyncio.sleep(0.1)
    finally:
        await client.close()


async def test_withdrawn_caller_is_disconnected_everywhere_with_proof():
    deployment = Deployment(options=DeploymentOptions(hosts=3))
    try:
        await deployment.start()
        withdrawn_connections = [
            await deployment.connect(n, caller=WITHDRAWN_CALLER) for n in range(3)
        ]
        other_connection = await deployment.connect(0)
        assert all(
            [
                await is_served(withdrawn_connection)
                for withdrawn_connection in withdrawn_connections
            ]
        )
        await run_sql(withdrawn_connections[0], "BEGIN")
        await run_sql(
            withdrawn_connections[0], "INSERT INTO delivery (member) VALUES ('open')"
        )
        await deployment.roll_out(("members-app",))
        proof = await wait_for_proof(deployment)
        assert proof.proved, proof.missing
        assert not any(
            [
                await is_served(withdrawn_connection)
                for withdrawn_connection in withdrawn_connections
            ]
        )
        try:
            await deployment.connect(1, caller=WITHDRAWN_CALLER)
            raise AssertionError("the withdrawn caller could log in")
        except FAILURES:
            pass
        assert await run_sql(other_connection, READ) == ((0,),)
    finally:
        deployment.stop()


async def test_owner_frozen_during_a_withdrawal_does_not_serve_the_caller():
    deployment = Deployment(options=DeploymentOptions(hosts=3))
    try:
        await deployment.start()
        warm = await deployment.connect(0, caller=WITHDRAWN_CALLER)
        assert await is_served(warm)
        owner = find_owner(deployment)
        withdrawn_connection = await deployment.connect(owner, caller=WITHDRAWN_CALLER)
        assert await is_served(withdrawn_connection)
        deployment.signal(f"host-{owner}", signal.SIGSTOP)
        await deployment.roll_out(("members-app",))
        # A new owner is only chosen when a request for the database arrives.
        other = await deployment.connect((owner + 1) % 3)
        await run_sql(other, READ)
        proof = await wait_for_proof(deployment)
        assert proof.proved, proof.missing
        deployment.signal(f"host-{owner}", signal.SIGCONT)
        assert not await is_served(withdrawn_connection)
    finally:
        deployment.stop()


async def test_platform_outage_stops_neither_service_nor_an_accepted_rollout():
    deployment = Deployment(options=DeploymentOptions(hosts=3))
    try:
        await deployment.start()
        withdrawn_connection = await deployment.connect(0, caller=WITHDRAWN_CALLER)
        other_connection = await deployment.connect(1)
        # This host resumes without the platform, so only peers have the bundle.
        deployment.signal("host-2", signal.SIGSTOP)
        await deployment.roll_out(("members-app",))
        await asyncio.sleep(1.0)
        deployment.signal("platform", signal.SIGKILL)
        deployment.signal("host-2", signal.SIGCONT)
        deadline = time.monotonic() + PROOF_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                (await deployment.connect(2, caller=WITHDRAWN_CALLER)).close()
            except FAILURES:
                break
            await asyncio.sleep(0.1)
        assert time.monotonic() < deadline
        assert not await is_served(withdrawn_connection)
        await asyncio.sleep(2.5)
        assert await is_served(other_connection)
    finally:
        deployment.stop()


def make_owner(deployment, host, callers, version, on_fenced=lambda owner: None):
    bundle = parse_bundle(deployment.make_bundle(callers, version), "bundle")
    endpoints = {
        server: Endpoint(server=s, user="apricotshore", password="", host=host)
        for server, s in bundle.servers.items()
    }

    async def ask_no_witnesses(address):
        return []

    return DatabaseOwner(
        database="deliveries",
        local_host=host,
        address="127.0.0.1:1",
        endpoints=endpoints,
        bundle=bundle,
        hooks=OwnerHooks(
            record_event=lambda *step: None,
            ask_witnesses=ask_no_witnesses,
            on_fenced=on_fenced,
            on_bundle_behind=lambda: None,
        ),
    )


async def claim_database(owner):
    await owner.start()
    for _ in range(100):
        await asyncio.sleep(0.05)
        if await owner.try_claim():
            return
    raise AssertionError("the database could not be claimed")


async def send_read(owner, caller=WITHDRAWN_CALLER, deadline_ms=1_000):
    request = Request(
        caller=caller,
        database="deliveries",
        session="s",
        sql="SELECT COUNT(*) FROM delivery",
        action=Action.READ,
        fingerprint="f",
        kind="balance",
        token=LOG_START,
        deadline_ms=deadline_ms,
    )
    return await owner.handle(request, "h")


async def test_host_that_reaches_only_backend_servers_learns_of_the_withdrawal():
    # The isolated host reaches neither the platform nor peers; it learns of the
    # newer bundle from the claim.
    deployment = Deployment(options=DeploymentOptions(hosts=0))
    owners = []
    try:
        await deployment.start()
        isolated = make_owner(
            deployment, "isolated", ("members-app", WITHDRAWN_CALLER), 1
        )
        owners.append(isolated)
        await claim_database(isolated)
        assert (await send_read(isolated)).reply is not None
        # Without a withdrawal it continues to serve.
        await asyncio.sleep(2.5)
        assert (await send_read(isolated)).reply is not None
        fenced = asyncio.Event()
        informed = make_owner(
            deployment, "informed", ("members-app",), 2, lambda owner: fenced.set()
        )
        owners.append(informed)
        await claim_database(informed)
        # The withdrawal is in force once every server has confirmed the claim.
        await asyncio.wait_for(fenced.wait(), PROOF_TIMEOUT_S)
        outcome = await send_read(isolated)
        assert outcome.reply is None
        assert (await send_read(informed)).failure.verdict is Verdict.NOT_RUN
        assert not await isolated.try_claim()
    finally:
        for owner in owners:
            await owner.stop()
        deployment.stop()


async def test_host_without_a_majority_of_the_group_stops_serving():
    deployment = Deployment(options=DeploymentOptions(hosts=0))
    owner = None
    try:
        await deployment.start()
        owner = make_owner(deployment, "cut", ("members-app", WITHDRAWN_CALLER), 1)
        await claim_database(owner)
        for name in deployment.server_names("deliveries")[1:]:
            deployment.signal(name, signal.SIGSTOP)
        await asyncio.sleep(3.5)
        outcome = await send_read(owner)
        assert outcome.reply is None
        assert outcome.failure.verdict is Verdict.NOT_RUN
    finally:
        if owner is not None:
            await owner.stop()
        deployment.stop()
