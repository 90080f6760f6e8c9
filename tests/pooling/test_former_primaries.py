"""Primaries that the lease of a change names, so that hosts that start find them."""

import pytest

from apricotshore.decisions.lease import FormerPrimaries, list_replaced
from apricotshore.identifiers import ServerId, StoreEra, Term
from apricotshore.pooling.ports import QuiesceReply, QuiesceRequest
from apricotshore.services.clock import read_boot_ms
from standins.in_memory import GROUP, ModelGroup, ModelPlatform

from .support import make_lease
from .test_commits_by_the_clock import S1, S2, S3, Scene, playing
from .test_server_gate import make_host

LED_BY_S1 = FormerPrimaries(servers=(S1,), term=Term(3))
LED_BY_S2 = FormerPrimaries(servers=(S2,), term=Term(4))


def find_lease(platform: ModelPlatform):
    return platform.leases[GROUP, StoreEra(platform.era)]


@pytest.mark.parametrize(
    ("former", "target", "replaced"),
    [
        ((S1,), None, (S1,)),
        ((S1,), S2, (S1,)),
        ((S1, S2), S2, (S1,)),
        ((S1,), S1, ()),
        # The holder doesn't know who led.
        ((), S2, (S1, S3)),
        ((), None, (S1, S2, S3)),
    ],
)
def test_servers_but_the_target_that_may_have_led_get_no_writes(
    former, target, replaced
):
    named = FormerPrimaries(servers=former)
    assert list_replaced(named, target, [S3, S2, S1]) == replaced


async def test_lease_names_former_primaries_until_it_is_released():
    platform = ModelPlatform(group=ModelGroup.make())
    lease = make_lease(platform, "a")
    await lease.acquire(LED_BY_S1)
    assert find_lease(platform).former == LED_BY_S1
    await lease.extend()
    await lease.write(still_open=True, target=S2)
    assert find_lease(platform).former == LED_BY_S1
    await lease.release()
    assert find_lease(platform).former == FormerPrimaries()
    await lease.acquire(LED_BY_S2)
    assert find_lease(platform).former == LED_BY_S2


async def test_next_holder_keeps_the_former_primaries_of_an_unfinished_change():
    platform = ModelPlatform(group=ModelGroup.make())
    first, second = make_lease(platform, "a"), make_lease(platform, "b")
    await first.acquire(LED_BY_S1)
    await first.hand_on()
    assert find_lease(platform).former == LED_BY_S1
    await second.acquire(LED_BY_S2)
    both = FormerPrimaries(servers=(S1, S2), term=Term(4))
    assert find_lease(platform).former == both


@pytest.mark.parametrize("reason", ["leaving", "silent"])
async def test_lease_names_the_former_primary_before_hosts_are_asked(reason):
    """A host that isn't on the list that is read then reads the lease later."""
    scene = Scene.make(2)
    named: list[tuple[ServerId, ...]] = []
    ask = scene.hosts[1].group.quiesce

    async def quiesce(request: QuiesceRequest) -> QuiesceReply:
        named.append(find_lease(scene.platform).former.servers)
        return await ask(request)

    scene.platform.quiesce_handlers["host-1"] = quiesce
    async with playing(scene):
        if reason == "leaving":
            scene.leave()
        else:
            scene.fall_silent()
        await scene.end_change()
    assert named
    assert all(S1 in servers for servers in named)
    assert not find_lease(scene.platform).former.servers


async def test_primary_that_is_found_under_the_lease_is_named():
    host = make_host()
    token = await host.changer.lease.acquire(LED_BY_S2)
    host.group.observe_primary(S1, Term(5), read_boot_ms(), Term(5))
    named = await host.changer._name_former(token)
    assert named > token
    both = FormerPrimaries(servers=(S1, S2), term=Term(5))
    assert find_lease(host.platform).former == both
    assert await host.changer._name_former(named) == named
