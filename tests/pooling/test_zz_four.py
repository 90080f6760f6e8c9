import asyncio

import pytest

from .support import running, wait_until, writing
from .test_orders_of_promotions import S1, S2, S3, S4, make_group
from .test_shorter_logs import COMMITS_OF_TWO, come_back, fail, make_hosts


@pytest.mark.parametrize("back_s", [6.0, 12.0])
@pytest.mark.parametrize("count", [1, 3])
async def test_two_of_four_servers_crash_before_any_order(count, back_s):
    model, platform = make_group(4)
    hosts = make_hosts(model, platform, count)
    loop = asyncio.get_running_loop()
    async with writing(model), running(*hosts):
        await wait_until(lambda: len(model.acknowledged) > 5)
        model.servers[S3].partitioned = model.servers[S4].partitioned = True
        before = len(model.acknowledged)
        await wait_until(lambda: len(model.acknowledged) > before + COMMITS_OF_TWO)
        await fail(model, hosts, S2, "crashed")
        loop.call_later(back_s, come_back, model, hosts, S2)
        await fail(model, hosts, S1, "crashed")
        model.servers[S3].partitioned = model.servers[S4].partitioned = False
        await asyncio.sleep(18)
        text = f"orders {platform.orders}, promotions {model.promotions}"
        assert model.lost == [], f"{len(model.lost)} lost: {text}"
        assert model.promotions, "nobody leads"
