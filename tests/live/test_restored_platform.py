"""A fleet whose platform comes back from an older copy, tested with live processes."""

import asyncio
import json
import time
import urllib.request

from apricotshore.services import operations
from apricotshore.services.platform import PlatformClient
from standins.deployment import Deployment, DeploymentOptions

from .test_withdrawal import wait_for_proof

# Within this time a change is in force everywhere.
IN_FORCE_S = 15.0


def set_faults(deployment: Deployment, **faults) -> None:
    request = urllib.request.Request(
        f"http://{deployment.platform_address}/faults",
        data=json.dumps(faults).encode(),
        headers={"Content-Type": "application/json"},
    )
    urllib.request.urlopen(request, timeout=2).read()


async def wait_until(condition):
    deadline = time.monotonic() + IN_FORCE_S
    while not await condition():
        assert time.monotonic() < deadline
        await asyncio.sleep(0.1)


def is_in_force(deployment: Deployment, version: int):
    async def check() -> bool:
        pages = [deployment.read_metrics(n) for n in range(deployment.options.hosts)]
        return all(f"apricotshore_bundle_version {version}" in page for page in pages)

    return check


async def test_withdrawal_that_the_platform_lost_stays_in_force_and_proved():
    deployment = Deployment(options=DeploymentOptions(hosts=3))
    client = PlatformClient(address=deployment.platform_address)
    try:
        await deployment.start()
        await deployment.connect(0)
        set_faults(deployment, copy=True)
        await deployment.roll_out(("members-app",))
        assert (await wait_for_proof(deployment)).proved
        set_faults(deployment, restore=True)

        async def is_back() -> bool:
            return (await operations.read_current_bundle(client)).bundle.version == 2

        await wait_until(is_back)
        logs = [path.read_text() for path in deployment.folder.glob("host-*.log")]
        assert any("restored: era 2 after 1" in text for text in logs)
        assert (await wait_for_proof(deployment)).proved

        async def is_accepted() -> bool:
            try:
                deployment.version = 2
                await deployment.roll_out(("members-app", "new-branch"))
            except operations.ConflictError:
                return False
            return True

        await wait_until(is_accepted)
        await wait_until(is_in_force(deployment, 3))
    finally:
        await client.close()
        deployment.stop()
