"""Reload of settings that change while a host runs."""

import asyncio

from apricotshore_platform import program
from apricotshore_platform.program import SettingsFile
from apricotshore_platform.store import PlatformStore

from tests.pooling.support import wait_until
from tests.pooling.test_host import running_host
from tests.test_pooling_settings import GOOD


async def test_changed_file_is_applied_with_and_without_a_signal(tmp_path, monkeypatch):
    monkeypatch.setattr(program, "SETTINGS_PERIOD_S", 0.05)
    path = tmp_path / "host.ini"
    path.write_text(GOOD)
    store = PlatformStore(store_address="127.0.0.1:1", promotion_address="127.0.0.1:2")
    async with running_host() as (host, _):
        settings_file = SettingsFile(path=path)
        watch_task = asyncio.create_task(settings_file.watch(host, store))
        path.write_text(GOOD.replace("grace = 6 s", "grace = 7 s"))
        await wait_until(lambda: host.drain.grace_ms == 7_000)
        path.write_text("nonsense")
        await asyncio.sleep(0.2)
        assert host.drain.grace_ms == 7_000
        path.write_text(GOOD.replace("10.200.1.7:8783", "10.200.1.8:8783"))
        settings_file.reload_requested.set()
        await wait_until(lambda: "10.200.1.8:8783" in store.objects_url)
        watch_task.cancel()
